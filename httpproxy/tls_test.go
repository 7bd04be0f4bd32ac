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

// startTLSListener serves a fixture's proxy as the daemon does, by the [tls] of its file.
func startTLSListener(t testing.TB, fx *fixture) (addr string, store *certs.Store) {
	t.Helper()
	config, store, err := httpproxyconfig.Listener(&fx.file, os.ReadFile, time.Now, slog.New(slog.DiscardHandler))
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
		ended <- httplistener.NewServer(fx.proxy, 2000, 5*time.Second, slog.New(slog.DiscardHandler),
			httplistener.Options{TLS: config, GeneralPurpose: true}).Run(ctx, ln)
	}()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String(), store
}

func newTLSClient(a *testcerts.Authority, name string, h2 bool, own ...tls.Certificate) *http.Client {
	return &http.Client{Transport: &http.Transport{ForceAttemptHTTP2: h2, MaxIdleConnsPerHost: 2000,
		TLSClientConfig: &tls.Config{RootCAs: a.Pool(), ServerName: name, Certificates: own}}}
}

// A certificate is replaced 100 times, sometimes by an invalid one, while 1,000 requests at a time
// are open: none may fail, and new connections must see the new certificate.
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
	waiting := newTLSClient(a, "shop.example", true)
	defer waiting.CloseIdleConnections()
	var wg sync.WaitGroup
	var failed atomic.Int64
	var first atomic.Value
	fail := func(err error) {
		if err != nil {
			failed.Add(1)
			first.CompareAndSwap(nil, err.Error())
		}
	}
	for range 1000 {
		wg.Go(func() { fail(get(waiting, "/held")) })
	}
	for range 1000 {
		select {
		case <-held:
		case <-time.After(3 * testTimeout):
			close(release)
			wg.Wait()
			t.Fatalf("not all requests: %d failed, first: %v", failed.Load(), first.Load())
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	var asked atomic.Int64
	for i := range 4 {
		wg.Go(func() {
			for ctx.Err() == nil {
				c := newTLSClient(a, []string{"shop.example", "x.wild.example"}[i%2], i < 2)
				fail(get(c, "/"))
				fail(get(c, "/"))
				c.CloseIdleConnections()
				asked.Add(2)
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
	bad := 0
	for i := range 200 {
		before := serial()
		cert, key := a.Issue(nil, "shop.example", "*.wild.example")
		switch i % 6 {
		case 1: // the key is not there yet
			key, bad = []byte("SECRET half of a key"), bad+1
		case 3:
			cert, key = a.Issue(func(c *x509.Certificate) { c.NotAfter = time.Now().Add(-time.Minute) }, "shop.example")
			bad++
		case 5:
			_, key = a.Issue(nil, "other.example")
			bad++
		}
		testcerts.WriteFiles(t, dir, map[string][]byte{"c": cert, "k": key})
		err := store.Reload()
		if good := i%2 == 0; (err == nil) != good || (serial() != before) != good {
			t.Fatalf("swap %d: %v, serial %s before and %s now", i, err, before, serial())
		}
		if err != nil && strings.Contains(err.Error(), "SECRET") {
			t.Fatalf("an error tells of a key: %v", err)
		}
	}
	stop()
	close(release)
	wg.Wait()
	t.Logf("100 swaps and %d that were bad, over 1,000 held and %d other requests", bad, asked.Load())
	if failed.Load() > 0 || asked.Load() == 0 {
		t.Errorf("%d of %d failed, first: %v", failed.Load(), asked.Load(), first.Load())
	}
}

// Backends are verified by authority, name and pins, and verify the proxy's certificate: no request
// is sent where one of them is wrong.
func TestTLSToBackends(t *testing.T) {
	a, other := testcerts.New(t), testcerts.New(t)
	cert, key := a.Issue(nil, "backend.example", "127.0.0.1")
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	own, ownKey := a.Issue(nil, "door.example")
	path := testcerts.WriteFiles(t, t.TempDir(), map[string][]byte{"ca": a.PEM, "other": other.PEM, "c": own, "k": ownKey})
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
	mine := fmt.Sprintf("cert_file = %q\nkey_file = %q\n", path("c"), path("k"))
	for name, c := range map[string]struct {
		text string
		good bool
	}{
		"by the address":    {fmt.Sprintf("ca_file = %q\n", path("ca")) + mine, true},
		"by a name":         {fmt.Sprintf("ca_file = %q\nname = \"backend.example\"\n", path("ca")) + mine, true},
		"another name":      {fmt.Sprintf("ca_file = %q\nname = \"else.example\"\n", path("ca")) + mine, false},
		"another authority": {fmt.Sprintf("ca_file = %q\n", path("other")) + mine, false},
		"pinned":            {fmt.Sprintf("ca_file = %q\npins = [%q]\n", path("ca"), pin) + mine, true},
		"pinned alone":      {fmt.Sprintf("verify = \"pins\"\npins = [%q]\n", pin) + mine, true},
		"another pin": {"verify = \"pins\"\npins = [\"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\"]\n" +
			mine, false},
		"without a certificate": {fmt.Sprintf("ca_file = %q\n", path("ca")), false},
	} {
		t.Run(name, func(t *testing.T) {
			fx := startProxy(t, serviceSection("shop", backend)+"[service.tls]\n"+c.text)
			before := requests.Load()
			for range 3 {
				res, err := http.Get("http://" + fx.addr + "/")
				if err != nil {
					t.Fatal(err)
				}
				body, _ := io.ReadAll(res.Body)
				res.Body.Close()
				if good := res.StatusCode == 200 && string(body) == "door.example"; good != c.good {
					t.Errorf("%d %s", res.StatusCode, body)
				}
			}
			if (requests.Load() > before) != c.good {
				t.Errorf("%d requests", requests.Load()-before)
			}
		})
	}
	if resumed.Load() == 0 {
		t.Error("no session was resumed")
	}
}

// A client's certificate identifies the caller, if the authority has issued it.
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
		own    []tls.Certificate
		status int
	}{
		"known":               {[]tls.Certificate{load(a, "d", "spiffe://x/desk")}, 200},
		"without such a name": {[]tls.Certificate{load(a, "d")}, 401},
		"without a plan":      {[]tls.Certificate{load(a, "d", "spiffe://x/else")}, 401},
		"none":                {nil, 401},
		"another authority's": {[]tls.Certificate{load(other, "d", "spiffe://x/desk")}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			hc := newTLSClient(a, "shop.example", false, c.own...)
			defer hc.CloseIdleConnections()
			res, err := hc.Get("https://" + addr + "/")
			if err != nil || c.status == 0 {
				if c.status != 0 || err == nil && res.StatusCode == 200 {
					t.Errorf("%v %v", res, err)
				}
				return
			}
			res.Body.Close()
			if res.StatusCode != c.status {
				t.Errorf("%d", res.StatusCode)
			}
		})
	}
}
