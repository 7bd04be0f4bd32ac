package consul

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/consul/api"

	"pumicecroft/internal/fakes"
	"pumicecroft/internal/hosttest"
	"pumicecroft/membership"
)

// The fake agent is what Consul's API client expects: blocking queries, health, the catalog, registration,
// TTL checks, maintenance and tokens.
func TestFakeConsulAgainstClient(t *testing.T) {
	t.Parallel()
	agent := startAgent(t)
	c, err := api.NewClient(&api.Config{Address: agent.Addr()})
	if err != nil {
		t.Fatal(err)
	}
	register := func(id string) error {
		return c.Agent().ServiceRegister(&api.AgentServiceRegistration{
			ID:      id,
			Name:    "web",
			Address: "127.0.0.1",
			Port:    80,
			Tags:    []string{"blue"},
			Meta:    map[string]string{"v": "2"},
			Check: &api.AgentServiceCheck{
				CheckID:                        "ttl-" + id,
				TTL:                            "300ms",
				DeregisterCriticalServiceAfter: "200ms",
			},
		})
	}
	if err := register("w1"); err != nil {
		t.Fatal(err)
	}
	health := func(o *api.QueryOptions) ([]*api.ServiceEntry, *api.QueryMeta) {
		t.Helper()
		found, meta, err := c.Health().Service("web", "", false, o)
		if err != nil {
			t.Fatal(err)
		}
		return found, meta
	}
	found, meta := health(nil)
	if len(found) != 1 || found[0].Service.ID != "w1" || found[0].Service.Port != 80 ||
		found[0].Checks.AggregatedStatus() != "critical" || !meta.KnownLeader || meta.LastIndex == 0 {
		t.Fatalf("%+v %+v", found, meta)
	}
	created := found[0].Service.CreateIndex
	// A blocking query ends with the change, and one without a change at its time.
	changed := make(chan string)
	go func() {
		f, m, err := c.Health().Service("web", "", false, &api.QueryOptions{WaitIndex: meta.LastIndex, WaitTime: time.Minute})
		if err != nil || m.LastIndex <= meta.LastIndex {
			changed <- "no change"
			return
		}
		changed <- f[0].Checks.AggregatedStatus()
	}()
	if err := c.Agent().UpdateTTL("ttl-w1", "fine", "pass"); err != nil {
		t.Fatal(err)
	}
	if got := <-changed; got != "passing" {
		t.Errorf("the blocking query told %s", got)
	}
	if f, _, err := c.Health().Service("web", "", true, nil); err != nil || len(f) != 1 {
		t.Errorf("passing: %v %v", f, err)
	}
	_, meta = health(nil)
	start := time.Now()
	_, unchanged := health(&api.QueryOptions{WaitIndex: meta.LastIndex, WaitTime: 50 * time.Millisecond})
	if unchanged.LastIndex != meta.LastIndex || time.Since(start) < 50*time.Millisecond {
		t.Errorf("without a change: index %d after %v", unchanged.LastIndex, time.Since(start))
	}
	// Registered again it is the same registration; deregistered meanwhile it is another.
	if err := register("w1"); err != nil {
		t.Fatal(err)
	}
	if found, _ = health(nil); found[0].Service.CreateIndex != created {
		t.Errorf("registered again: created at %d, before at %d", found[0].Service.CreateIndex, created)
	}
	if err := errors.Join(c.Agent().ServiceDeregister("w1"), register("w1")); err != nil {
		t.Fatal(err)
	}
	if found, _ = health(nil); found[0].Service.CreateIndex == created {
		t.Error("a new registration bears the old index")
	}
	if err := c.Agent().EnableServiceMaintenance("w1", "repairs"); err != nil {
		t.Fatal(err)
	}
	if found, _ = health(nil); found[0].Checks.AggregatedStatus() != "maintenance" {
		t.Errorf("in maintenance it is %s", found[0].Checks.AggregatedStatus())
	}
	// Nobody renews its check: it turns critical, and is deregistered.
	for end := time.Now().Add(hosttest.WaitTimeout); len(found) > 0; found, _ = health(nil) {
		if time.Now().After(end) {
			t.Fatal("it was never deregistered")
		}
		time.Sleep(10 * time.Millisecond)
	}
	agent.Register(
		fakes.Instance{Node: "n", NodeAddr: "10.0.0.1", ID: "x", Service: "web", Port: 81,
			Tags: []string{"blue", "new"}, Meta: map[string]string{"v": "3"}},
		fakes.Instance{Node: "m", NodeAddr: "10.0.0.2", ID: "x", Service: "web", Port: 81,
			Tags: []string{"blue"}, Meta: map[string]string{"v": "2"}},
	)
	for what, o := range map[string]*api.QueryOptions{"filter": {Filter: `Service.Meta.v == "3"`}, "near": {Near: "n"}} {
		if f, _ := health(o); f[0].Node.Node != "n" || what == "filter" && len(f) != 1 {
			t.Errorf("%s: %+v", what, f)
		}
	}
	all, _, err := c.Catalog().Service("web", "new", nil)
	if err != nil || len(all) != 1 || all[0].ServicePort != 81 || all[0].Address != "10.0.0.1" {
		t.Errorf("the catalog by tag: %+v %v", all, err)
	}
	if _, _, err := c.Health().Service("web", "", false, &api.QueryOptions{Filter: "nonsense"}); err == nil {
		t.Error("a filter that makes no sense: no error")
	}
	agent.RequireToken("secret")
	var status api.StatusError
	if _, _, err := c.Health().Service("web", "", false, nil); !errors.As(err, &status) || status.Code != 403 {
		t.Errorf("without a token: %v", err)
	}
	if f, _ := health(&api.QueryOptions{Token: "secret"}); len(f) != 2 {
		t.Errorf("with it: %+v", f)
	}
}

// All settings reach the agent as parameters, and the token is read again when its file has changed.
func TestQueryParameters(t *testing.T) {
	t.Parallel()
	agent := startAgent(t)
	agent.RequireToken("two")
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("one\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	agent.Register(fakes.Instance{Node: "n", NodeAddr: "10.0.0.1", ID: "a", Service: "web", Port: 81,
		Tags: []string{"blue"}, Meta: map[string]string{"v": "2"}, Namespace: "team", Partition: "part"})
	c, err := New(Config{
		Address:     "http://" + agent.Addr(),
		TokenFile:   token,
		Datacenter:  "dc1",
		Namespace:   "team",
		Partition:   "part",
		Consistency: Consistent,
		Wait:        7 * time.Second,
		RetryMax:    50 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	lists := make(chan membership.Update, 1000)
	ended := make(chan bool)
	go func() {
		defer close(ended)
		service := Service{Name: "web", Tags: []string{"blue"}, Near: "_agent", Filter: `Service.Meta.v == "2"`}
		c.Service(service).Run(ctx, func(u membership.Update) { lists <- u })
	}()
	if l := <-lists; l.Err == nil || !strings.Contains(l.Err.Error(), "consul: web: Unexpected response code: 403") {
		t.Errorf("with an old token: %+v", l)
	}
	if err := os.WriteFile(token, []byte("two\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for l := range lists {
		if l.Err == nil && len(l.Nodes) == 1 && l.Nodes[0].Name == "n/a" && l.Nodes[0].Addr == "10.0.0.1:81" {
			break
		}
	}
	asked := func(path string) (int, []fakes.ConsulQuery) {
		all := agent.Queries()
		return slices.IndexFunc(all, func(q fakes.ConsulQuery) bool { return q.Path == path && q.Token == "two" }), all
	}
	for i, _ := asked("/v1/catalog/service/web"); i < 0; i, _ = asked("/v1/catalog/service/web") {
		time.Sleep(time.Millisecond) // it may still wait after the failure
	}
	cancel()
	<-ended
	for _, path := range []string{"/v1/health/service/web", "/v1/catalog/service/web"} {
		i, all := asked(path)
		p := all[i].Params
		if p.Get("dc") != "dc1" || p.Get("ns") != "team" || p.Get("partition") != "part" || !p.Has("consistent") ||
			p.Get("tag") != "blue" || p.Get("wait") != "7000ms" {
			t.Errorf("%s with %v", path, p)
		}
		if strings.HasPrefix(path, "/v1/health") &&
			(p.Get("near") != "_agent" || p.Get("filter") != `Service.Meta.v == "2"`) {
			t.Errorf("%s with %v", path, p)
		}
	}
}

// certificate returns a self-signed certificate for loopback, and the files that hold it and its key.
func certificate(t *testing.T, dir, name string) (tls.Certificate, string, string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certFile, keyFile := filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem")
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	if err := errors.Join(os.WriteFile(certFile, certPEM, 0o600), os.WriteFile(keyFile, keyPEM, 0o600)); err != nil {
		t.Fatal(err)
	}
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		t.Fatal(err)
	}
	return pair, certFile, keyFile
}

// Over TLS both sides present certificates. An agent whose certificate the CA did not sign is rejected.
func TestTLS(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	server, ca, _ := certificate(t, dir, "agent")
	_, clientCert, clientKey := certificate(t, dir, "gateway")
	_, otherCA, _ := certificate(t, dir, "other")
	pool := x509.NewCertPool()
	text, err := os.ReadFile(clientCert)
	if err != nil || !pool.AppendCertsFromPEM(text) {
		t.Fatal(err)
	}
	agent, err := fakes.StartConsul(&tls.Config{
		Certificates: []tls.Certificate{server},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	agent.Register(fakes.Instance{Node: "n", NodeAddr: "10.0.0.1", ID: "a", Service: "web", Port: 81})
	first := func(c Config) membership.Update {
		t.Helper()
		c.Address = "https://" + agent.Addr()
		client, err := New(c)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		lists := make(chan membership.Update, 100)
		go client.Service(Service{Name: "web", HealthOnly: true}).Run(ctx, func(l membership.Update) {
			select {
			case lists <- l:
			default:
			}
		})
		return <-lists
	}
	if l := first(Config{CAFile: ca, CertFile: clientCert, KeyFile: clientKey}); len(l.Nodes) != 1 || l.Err != nil {
		t.Errorf("%+v", l)
	}
	if l := first(Config{CAFile: otherCA, CertFile: clientCert, KeyFile: clientKey}); l.Err == nil {
		t.Error("an agent whose certificate another CA signed was accepted")
	}
	if l := first(Config{CAFile: ca}); l.Err == nil {
		t.Error("accepted without a client certificate")
	}
}

func TestInvalidConfig(t *testing.T) {
	empty := filepath.Join(t.TempDir(), "empty")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]Config{
		"no address":           {},
		"no port":              {Address: "localhost"},
		"another scheme":       {Address: "ftp://localhost:1"},
		"no such token file":   {Address: "h:1", TokenFile: empty + "-not"},
		"an empty token file":  {Address: "h:1", TokenFile: empty},
		"TLS files over http":  {Address: "h:1", CAFile: empty},
		"a CA that is none":    {Address: "https://h:1", CAFile: empty},
		"a certificate, empty": {Address: "https://h:1", CertFile: empty, KeyFile: empty},
	} {
		if _, err := New(c); !errors.Is(err, ErrConfig) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A response that does not end is cut off, and is an error.
func TestResponseOverLimit(t *testing.T) {
	t.Parallel()
	addr := hosttest.Serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Consul-Index", "7")
		w.Header().Set("X-Consul-KnownLeader", "true")
		w.Header().Set("X-Consul-LastContact", "0")
		blanks := bytes.Repeat([]byte(" "), 1<<20)
		for range maxResponseBytes>>20 + 1 {
			if _, err := w.Write(blanks); err != nil {
				return
			}
		}
		io.WriteString(w, "[]")
	}), nil)
	c, err := New(Config{Address: addr, RetryMax: 10 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended, lists := make(chan bool), make(chan membership.Update, 100)
	go func() {
		defer close(ended)
		c.Service(Service{Name: "web", HealthOnly: true}).Run(ctx, func(l membership.Update) { lists <- l })
	}()
	if l := <-lists; l.Err == nil {
		t.Errorf("%+v", l)
	}
	cancel()
	<-ended
}
