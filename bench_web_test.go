package pumicecroft_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"testing"
	"time"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/httpproxy"
	"pumicecroft/identity"
	"pumicecroft/internal/httplistener"
	"pumicecroft/internal/testcerts"
	"pumicecroft/membership"
	"pumicecroft/routes"
)

// webAccessPaths are direct, through httputil.ReverseProxy, and through the HTTP proxy with one route and with 10,000.
func webAccessPaths(b *testing.B, secure bool) []accessPath {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }))
	b.Cleanup(backend.Close)
	addr := strings.TrimPrefix(backend.URL, "http://")
	gateway, err := pumicecroft.New(pumicecroft.Config{
		Settings: decision.Settings{CanCancel: true,
			Classes: []decision.Class{{Name: "look", LatencyObjective: time.Second, Deadline: 20 * time.Second, PriorityWeight: 1}},
			Plans:   []decision.Plan{{Name: "basic", Rate: 1e6, Burst: 1e6, Price: 1}}},
		InitialEndpoints: membership.Update{Nodes: []membership.Node{{Name: "one", Addr: addr, Protocol: httpproxy.Protocol("shop")}}}},
		httpproxy.WithService(httpproxy.ServiceConfig{Name: "shop"}))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = gateway.Close(context.Background()) })
	front := func(n int) http.Handler {
		to := &httpproxy.Route{Service: "shop", Class: httpproxy.Classes{Idempotent: "look"}}
		rules := []routes.Rule[*httpproxy.Route]{{Name: "all", Path: "/{rest...}", Target: to}}
		for i := range n - 1 {
			rules = append(rules, routes.Rule[*httpproxy.Route]{Name: fmt.Sprint(i), Line: i, Path: fmt.Sprintf("/v%d/items-%d/{id}", i%10, i), Target: to})
		}
		table, err := routes.New(rules)
		if err != nil {
			b.Fatal(err)
		}
		f, err := httpproxy.New(gateway, httpproxy.Config{Rules: httpproxy.Rules{Routes: table,
			Resolver: identity.New(nil, identity.NamedRule{Name: "address", Rule: &identity.AddressRule{Plan: "basic"}})}})
		if err != nil {
			b.Fatal(err)
		}
		return f
	}
	target, _ := url.Parse(backend.URL)
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	a := testcerts.New(b)
	var config *tls.Config
	if secure {
		pair, err := tls.X509KeyPair(a.Issue(nil, "shop.example"))
		if err != nil {
			b.Fatal(err)
		}
		config = &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
	}
	ctx, stop := context.WithCancel(context.Background())
	b.Cleanup(stop)
	over := func(name string, h http.Handler, to string) accessPath {
		scheme := "http"
		if h != nil {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			to = ln.Addr().String()
			go func() {
				_ = httplistener.NewServer(h, 400, time.Minute, slog.New(slog.DiscardHandler), httplistener.Options{TLS: config, GeneralPurpose: true}).Run(ctx, ln)
			}()
			if secure {
				scheme = "https"
			}
		}
		client := &http.Transport{DisableCompression: true, TLSClientConfig: &tls.Config{RootCAs: a.Pool(), ServerName: "shop.example"}}
		b.Cleanup(client.CloseIdleConnections)
		return accessPath{name, func() error {
			req, err := http.NewRequest(http.MethodGet, scheme+"://"+to+"/v7/items-4567/9", nil)
			if err != nil {
				return err
			}
			req.Header = http.Header{"Accept": {"application/json"}, "User-Agent": {"bench"}, "Authorization": {"Bearer abc"}, "Cookie": {"a=b; c=d"}}
			return requestOnce(client, req)
		}}
	}
	direct := over("direct", nil, addr)
	if secure { // straight to the backend there is no TLS: what it costs is both proxies' own
		direct = over("direct-over-TLS", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }), "")
	}
	return []accessPath{direct, over("ReverseProxy", proxy, ""), over("front", front(1), ""), over("front-10000", front(10_000), "")}
}

// BenchmarkWebOwnPart is BenchmarkOwnPart for ordinary HTTP: the proxy's own part with 1 route and with 10,000 as a share
// of ReverseProxy's, over plain connections and over TLS 1.3 (where the direct path is a server with TLS).
//
//	go test -run xxx -bench WebOwnPart -benchtime 100x -cpu 1 .
func BenchmarkWebOwnPart(b *testing.B) {
	for name, secure := range map[string]bool{"plain": false, "TLS": true} {
		b.Run(name, func(b *testing.B) {
			ownPart(b, webAccessPaths(b, secure), func(i int) bool { return i >= 2 })
		})
	}
}
