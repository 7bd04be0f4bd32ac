package httpproxy_test

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pumicecroft/internal/certs"
	"pumicecroft/internal/httplistener"
	"pumicecroft/internal/httpproxyconfig"
	"pumicecroft/internal/testcerts"
)

// maxTLSRequestTimeout is the longest deadline of the classes behind startTLSListener. The listener cuts responses that
// end later than that.
const maxTLSRequestTimeout = time.Hour

// startTLSListener serves a fixture's proxy as the daemon does, with the [tls] section of its file.
func startTLSListener(t testing.TB, fx *fixture) (addr string, store *certs.Store) {
	t.Helper()
	config, store, err := httpproxyconfig.ListenerTLS(&fx.file, os.ReadFile, time.Now, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- httplistener.NewServer(fx.proxy, 2000, maxTLSRequestTimeout, slog.New(slog.DiscardHandler),
			httplistener.Options{TLS: config, GeneralPurpose: true, HeaderTimeout: testTimeout}).Run(ctx, ln)
	}()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String(), store
}

func newTLSClient(a *testcerts.Authority, name string, h2 bool, clientCerts ...tls.Certificate) *http.Client {
	return &http.Client{Transport: &http.Transport{ForceAttemptHTTP2: h2, MaxIdleConnsPerHost: 2000,
		TLSClientConfig: &tls.Config{RootCAs: a.Pool(), ServerName: name, Certificates: clientCerts}}}
}

// The certificate files are replaced 200 times, alternately by a valid and by one of 100 invalid pairs,
// while 1,000 requests are open and others are sent. No request may fail, and new connections must get
// the new certificate if it is valid, and otherwise the old one.
func TestCertificateReloadUnderLoad(t *testing.T) {
	a := testcerts.New(t)
	dir := t.TempDir()
	cert, key := a.Issue(nil, "shop.example", "*.wild.example")
	path := testcerts.WriteFiles(t, dir, map[string][]byte{"c": cert, "k": key})
	held, release := make(chan bool, 1000), make(chan bool)
	backend := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			held <- true
			<-release
		}
		io.WriteString(w, r.Proto)
	}), nil)
	fx := startProxy(t, serviceSection("shop",
		backend)+"backend_connections = 2000\nconnect_timeout = \"20s\"\ndeadline = \"1h\"\naim = \"1h\"\n"+fmt.Sprintf("[tls]\n[[tls.certificate]]\ncert_file = %q\nkey_file = %q\n", path("c"), path("k")))
	addr, store := startTLSListener(t, fx)
	get := func(c *http.Client, path string) error {
		res, err := c.Get("https://" + addr + path)
		if err != nil {
			return err
		}
		defer res.Body.Close()
		if _, err := io.ReadAll(res.Body); err != nil || res.StatusCode != 200 {
			return fmt.Errorf("%s %w", res.Status, err)
		}
		return nil
	}
	heldClient := newTLSClient(a, "shop.example", true)
	defer heldClient.CloseIdleConnections()
	var wg sync.WaitGroup
	var failed atomic.Int64
	var first atomic.Value
	fail := func(err error) {
		if err != nil {
			failed.Add(1)
			first.CompareAndSwap(nil, err.Error())
		}
	}
	// One by one: 1,000 TLS handshakes at once can take longer than HTTP/2 servers wait for SETTINGS.
	for range 1000 {
		wg.Go(func() { fail(get(heldClient, "/held")) })
		select {
		case <-held:
		case <-time.After(3 * testTimeout):
			close(release)
			wg.Wait()
			t.Fatalf("not all 1000 requests arrived at the backend: %d failed, first error: %v", failed.Load(),
				first.Load())
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	var sent atomic.Int64
	for i := range 4 {
		wg.Go(func() {
			for ctx.Err() == nil {
				c := newTLSClient(a, []string{"shop.example", "x.wild.example"}[i%2], i < 2)
				fail(get(c, "/"))
				fail(get(c, "/"))
				c.CloseIdleConnections()
				sent.Add(2)
			}
		})
	}
	serial := func() string {
		c, err := tls.Dial("tcp", addr, &tls.Config{RootCAs: a.Pool(), ServerName: "shop.example"})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		return c.ConnectionState().PeerCertificates[0].SerialNumber.String()
	}
	invalid := 0
	for i := range 200 {
		before := serial()
		cert, key := a.Issue(nil, "shop.example", "*.wild.example")
		switch i % 6 {
		case 1: // an incomplete key file
			key, invalid = []byte("SECRET half of a key"), invalid+1
		case 3: // an expired certificate
			cert, key = a.Issue(func(c *x509.Certificate) { c.NotAfter = time.Now().Add(-time.Minute) }, "shop.example")
			invalid++
		case 5: // the key of another certificate
			_, key = a.Issue(nil, "other.example")
			invalid++
		}
		testcerts.WriteFiles(t, dir, map[string][]byte{"c": cert, "k": key})
		err := store.Reload()
		if valid := i%2 == 0; (err == nil) != valid || (serial() != before) != valid {
			t.Fatalf("reload %d: error %v, serial %s before and %s after; want success and a new serial: %t", i, err,
				before, serial(), valid)
		}
		if err != nil && strings.Contains(err.Error(), "SECRET") {
			t.Fatalf("the error contains a part of the private key: %v", err)
		}
	}
	stop()
	close(release)
	wg.Wait()
	t.Logf("100 valid and %d invalid reloads during 1,000 open requests and %d others", invalid, sent.Load())
	if failed.Load() > 0 || sent.Load() == 0 {
		t.Errorf("%d requests failed, want 0; %d others sent, want more than 0; first error: %v", failed.Load(),
			sent.Load(), first.Load())
	}
}

// The proxy verifies backends by certificate authority, name and pins, and backends verify the
// proxy's certificate. If one of these checks fails, no request may reach the backend.
func TestTLSToBackends(t *testing.T) {
	a, other := testcerts.New(t), testcerts.New(t)
	cert, key := a.Issue(nil, "backend.example", "127.0.0.1")
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	clientCert, clientKey := a.Issue(nil, "proxy.example")
	path := testcerts.WriteFiles(t, t.TempDir(),
		map[string][]byte{"ca": a.PEM, "other": other.PEM, "c": clientCert, "k": clientKey})
	var resumed, requests atomic.Int64
	backend := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		if r.TLS.DidResume {
			resumed.Add(1)
		}
		w.Header().Set("Connection", "close")
		io.WriteString(w, r.TLS.PeerCertificates[0].Subject.CommonName)
	}), &tls.Config{Certificates: []tls.Certificate{pair}, ClientAuth: tls.RequireAndVerifyClientCert,
		ClientCAs: a.Pool()})
	sum := sha256.Sum256(pair.Leaf.RawSubjectPublicKeyInfo)
	pin := base64.StdEncoding.EncodeToString(sum[:])
	clientPair := fmt.Sprintf("cert_file = %q\nkey_file = %q\n", path("c"), path("k"))
	for name, c := range map[string]struct {
		settings string // of the [service.tls] section
		ok       bool   // requests must reach the backend
	}{
		"name from the address": {fmt.Sprintf("ca_file = %q\n", path("ca")) + clientPair, true},
		"configured name":       {fmt.Sprintf("ca_file = %q\nname = \"backend.example\"\n", path("ca")) + clientPair, true},
		"wrong name":            {fmt.Sprintf("ca_file = %q\nname = \"else.example\"\n", path("ca")) + clientPair, false},
		"wrong authority":       {fmt.Sprintf("ca_file = %q\n", path("other")) + clientPair, false},
		"authority and pin":     {fmt.Sprintf("ca_file = %q\npins = [%q]\n", path("ca"), pin) + clientPair, true},
		"pin only":              {fmt.Sprintf("verify = \"pins\"\npins = [%q]\n", pin) + clientPair, true},
		"wrong pin": {"verify = \"pins\"\npins = [\"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\"]\n" +
			clientPair, false},
		"no client certificate": {fmt.Sprintf("ca_file = %q\n", path("ca")), false},
	} {
		t.Run(name, func(t *testing.T) {
			fx := startProxy(t, serviceSection("shop", backend)+"[service.tls]\n"+c.settings)
			before := requests.Load()
			for range 3 {
				res, err := http.Get("http://" + fx.addr + "/")
				if err != nil {
					t.Fatal(err)
				}
				body, _ := io.ReadAll(res.Body)
				res.Body.Close()
				if ok := res.StatusCode == 200 && string(body) == "proxy.example"; ok != c.ok {
					t.Errorf("status %d, body %q, want 200 and \"proxy.example\": %t", res.StatusCode, body, c.ok)
				}
			}
			if (requests.Load() > before) != c.ok {
				t.Errorf("%d requests reached the backend, want any: %t", requests.Load()-before, c.ok)
			}
		})
	}
	if resumed.Load() == 0 {
		t.Error("0 TLS sessions were resumed, want more")
	}
}

// A client certificate that the configured authority has issued must identify the caller; without
// one, or without a plan for its name, requests must be rejected.
func TestClientCertificates(t *testing.T) {
	a, other := testcerts.New(t), testcerts.New(t)
	cert, key := a.Issue(nil, "shop.example")
	path := testcerts.WriteFiles(t, t.TempDir(), map[string][]byte{"c": cert, "k": key, "ca": a.PEM})
	backend := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), nil)
	fx := startProxy(t, serviceSection("shop", backend)+fmt.Sprintf("[tls]\nclient_ca_file = %q\nclient_auth = \"ask\"\n[[tls.certificate]]\ncert_file = %q\nkey_file = %q\n", path("ca"), path("c"), path("k"))+`
[[identity]]
kind = "certificate"
customer = "uri"
plans = ["spiffe://x/desk=p"]
[[plan]]
name = "p"
`)
	addr, _ := startTLSListener(t, fx)
	load := func(a *testcerts.Authority, names ...string) tls.Certificate {
		c, err := tls.X509KeyPair(a.Issue(nil, names...))
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	for name, c := range map[string]struct {
		certs  []tls.Certificate
		status int // 0: no response, or not 200
	}{
		"known URI":          {[]tls.Certificate{load(a, "d", "spiffe://x/desk")}, 200},
		"no URI":             {[]tls.Certificate{load(a, "d")}, 401},
		"URI without a plan": {[]tls.Certificate{load(a, "d", "spiffe://x/else")}, 401},
		"no certificate":     {nil, 401},
		"unknown authority":  {[]tls.Certificate{load(other, "d", "spiffe://x/desk")}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			hc := newTLSClient(a, "shop.example", false, c.certs...)
			defer hc.CloseIdleConnections()
			res, err := hc.Get("https://" + addr + "/")
			if err != nil || c.status == 0 {
				if c.status != 0 || err == nil && res.StatusCode == 200 {
					t.Errorf("response %v, error %v; want status %d, or no 200 if that is 0", res, err, c.status)
				}
				return
			}
			res.Body.Close()
			if res.StatusCode != c.status {
				t.Errorf("status %d, want %d", res.StatusCode, c.status)
			}
		})
	}
}
