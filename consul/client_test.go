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

// The fake agent must behave as Consul's API client expects: blocking queries, health, the catalog, registration,
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
		t.Fatalf("entries %+v, meta %+v; want w1 at port 80, critical, with a known leader and an index", found, meta)
	}
	created := found[0].Service.CreateIndex
	// A blocking query returns on a change, or without one after its wait time.
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
		t.Errorf("the blocking query returned %s, want passing", got)
	}
	if f, _, err := c.Health().Service("web", "", true, nil); err != nil || len(f) != 1 {
		t.Errorf("passing instances: %v, error %v; want 1 instance", f, err)
	}
	_, meta = health(nil)
	start := time.Now()
	_, unchanged := health(&api.QueryOptions{WaitIndex: meta.LastIndex, WaitTime: 50 * time.Millisecond})
	if unchanged.LastIndex != meta.LastIndex || time.Since(start) < 50*time.Millisecond {
		t.Errorf("without a change: index %d after %v, want %d after at least 50ms", unchanged.LastIndex,
			time.Since(start), meta.LastIndex)
	}
	// Registering a service again keeps its CreateIndex, unless it was deregistered in between.
	if err := register("w1"); err != nil {
		t.Fatal(err)
	}
	if found, _ = health(nil); found[0].Service.CreateIndex != created {
		t.Errorf("registered again: CreateIndex %d, want %d", found[0].Service.CreateIndex, created)
	}
	if err := errors.Join(c.Agent().ServiceDeregister("w1"), register("w1")); err != nil {
		t.Fatal(err)
	}
	if found, _ = health(nil); found[0].Service.CreateIndex == created {
		t.Errorf("registered after a deregistration: CreateIndex %d as before, want another", created)
	}
	if err := c.Agent().EnableServiceMaintenance("w1", "repairs"); err != nil {
		t.Fatal(err)
	}
	if found, _ = health(nil); found[0].Checks.AggregatedStatus() != "maintenance" {
		t.Errorf("status in maintenance mode is %s, want maintenance", found[0].Checks.AggregatedStatus())
	}
	// Its TTL check is not renewed: it turns critical, and the service is deregistered.
	for end := time.Now().Add(hosttest.WaitTimeout); len(found) > 0; found, _ = health(nil) {
		if time.Now().After(end) {
			t.Fatalf("w1 was not deregistered within %v", hosttest.WaitTimeout)
		}
		time.Sleep(10 * time.Millisecond)
	}
	agent.Register(
		fakes.ConsulInstance{Node: "n", NodeAddr: "10.0.0.1", ID: "x", Service: "web", Port: 81,
			Tags: []string{"blue", "new"}, Meta: map[string]string{"v": "3"}},
		fakes.ConsulInstance{Node: "m", NodeAddr: "10.0.0.2", ID: "x", Service: "web", Port: 81,
			Tags: []string{"blue"}, Meta: map[string]string{"v": "2"}},
	)
	for what, o := range map[string]*api.QueryOptions{"filter": {Filter: `Service.Meta.v == "3"`}, "near": {Near: "n"}} {
		if f, _ := health(o); f[0].Node.Node != "n" || what == "filter" && len(f) != 1 {
			t.Errorf("%s: got %+v, want n first, and n alone by the filter", what, f)
		}
	}
	all, _, err := c.Catalog().Service("web", "new", nil)
	if err != nil || len(all) != 1 || all[0].ServicePort != 81 || all[0].Address != "10.0.0.1" {
		t.Errorf("catalog by tag new: %+v, error %v; want one service at 10.0.0.1, port 81", all, err)
	}
	if _, _, err := c.Health().Service("web", "", false, &api.QueryOptions{Filter: "nonsense"}); err == nil {
		t.Error("invalid filter: no error")
	}
	agent.RequireToken("secret")
	var status api.StatusError
	if _, _, err := c.Health().Service("web", "", false, nil); !errors.As(err, &status) || status.Code != 403 {
		t.Errorf("without a token: error %v, want status 403", err)
	}
	if f, _ := health(&api.QueryOptions{Token: "secret"}); len(f) != 2 {
		t.Errorf("with the token: %+v, want 2 entries", f)
	}
}

// All settings must reach the agent as query parameters, and a changed token file must be read again.
func TestQueryParameters(t *testing.T) {
	t.Parallel()
	agent := startAgent(t)
	agent.RequireToken("two")
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("one\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	agent.Register(fakes.ConsulInstance{Node: "n", NodeAddr: "10.0.0.1", ID: "a", Service: "web", Port: 81,
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
	updates := make(chan membership.Update, 1000)
	ended := make(chan bool)
	go func() {
		defer close(ended)
		service := Service{Name: "web", Tags: []string{"blue"}, Near: "_agent", Filter: `Service.Meta.v == "2"`}
		c.Service(service).Run(ctx, func(u membership.Update) { updates <- u })
	}()
	if u := <-updates; u.Err == nil || !strings.Contains(u.Err.Error(), "consul: web: Unexpected response code: 403") {
		t.Errorf("with the old token: %+v, want an error with status 403", u)
	}
	if err := os.WriteFile(token, []byte("two\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for u := range updates {
		if u.Err == nil && len(u.Nodes) == 1 && u.Nodes[0].Name == "n/a" && u.Nodes[0].Addr == "10.0.0.1:81" {
			break
		}
	}
	findQuery := func(path string) (int, []fakes.ConsulQuery) {
		all := agent.Queries()
		return slices.IndexFunc(all, func(q fakes.ConsulQuery) bool { return q.Path == path && q.Token == "two" }), all
	}
	for i, _ := findQuery("/v1/catalog/service/web"); i < 0; i, _ = findQuery("/v1/catalog/service/web") {
		time.Sleep(time.Millisecond) // the catalog query may still be in its retry delay
	}
	cancel()
	<-ended
	for _, path := range []string{"/v1/health/service/web", "/v1/catalog/service/web"} {
		i, all := findQuery(path)
		p := all[i].Params
		if p.Get("dc") != "dc1" || p.Get("ns") != "team" || p.Get("partition") != "part" || !p.Has("consistent") ||
			p.Get("tag") != "blue" || p.Get("wait") != "7000ms" {
			t.Errorf("%s: parameters %v, want dc=dc1 ns=team partition=part consistent tag=blue wait=7000ms", path, p)
		}
		if strings.HasPrefix(path, "/v1/health") &&
			(p.Get("near") != "_agent" || p.Get("filter") != `Service.Meta.v == "2"`) {
			t.Errorf("%s: parameters %v, want near=_agent and filter=%s", path, p, `Service.Meta.v == "2"`)
		}
	}
}

// newCertificate returns a self-signed certificate for loopback, and the files with it and its key.
func newCertificate(t *testing.T, dir, name string) (tls.Certificate, string, string) {
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

// With mutual TLS, both a server certificate of another CA and a missing client certificate must be rejected.
func TestTLS(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	server, ca, _ := newCertificate(t, dir, "agent")
	_, clientCert, clientKey := newCertificate(t, dir, "gateway")
	_, otherCA, _ := newCertificate(t, dir, "other")
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
	agent.Register(fakes.ConsulInstance{Node: "n", NodeAddr: "10.0.0.1", ID: "a", Service: "web", Port: 81})
	firstUpdate := func(c Config) membership.Update {
		t.Helper()
		c.Address = "https://" + agent.Addr()
		client, err := New(c)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		updates := make(chan membership.Update, 100)
		go client.Service(Service{Name: "web", HealthOnly: true}).Run(ctx, func(u membership.Update) {
			select {
			case updates <- u:
			default:
			}
		})
		return <-updates
	}
	if u := firstUpdate(Config{CAFile: ca, CertFile: clientCert, KeyFile: clientKey}); len(u.Nodes) != 1 || u.Err != nil {
		t.Errorf("first update %+v, want one node and no error", u)
	}
	if u := firstUpdate(Config{CAFile: otherCA, CertFile: clientCert, KeyFile: clientKey}); u.Err == nil {
		t.Errorf("server certificate of another CA: first update %+v, want an error", u)
	}
	if u := firstUpdate(Config{CAFile: ca}); u.Err == nil {
		t.Errorf("no client certificate: first update %+v, want an error", u)
	}
}

func TestInvalidConfig(t *testing.T) {
	empty := filepath.Join(t.TempDir(), "empty")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]Config{
		"no address":          {},
		"no port":             {Address: "localhost"},
		"unsupported scheme":  {Address: "ftp://localhost:1"},
		"no such token file":  {Address: "h:1", TokenFile: empty + "-not"},
		"empty token file":    {Address: "h:1", TokenFile: empty},
		"TLS files over http": {Address: "h:1", CAFile: empty},
		"empty CA file":       {Address: "https://h:1", CAFile: empty},
		"empty certificate":   {Address: "https://h:1", CertFile: empty, KeyFile: empty},
	} {
		if _, err := New(c); !errors.Is(err, ErrConfig) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want %v on one line", name, err, ErrConfig)
		}
	}
}

// A response over maxResponseBytes is truncated, which is reported as an error.
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
	ended, updates := make(chan bool), make(chan membership.Update, 100)
	go func() {
		defer close(ended)
		c.Service(Service{Name: "web", HealthOnly: true}).Run(ctx, func(u membership.Update) { updates <- u })
	}()
	if u := <-updates; u.Err == nil {
		t.Errorf("first update %+v, want an error", u)
	}
	cancel()
	<-ended
}
