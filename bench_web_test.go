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

// httpProxyAccessPaths returns paths to a backend: direct, through httputil.ReverseProxy, and through the HTTP proxy
// with one route and with 10,000.
func httpProxyAccessPaths(b *testing.B, secure bool) []accessPath {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "ok")
	}))
	b.Cleanup(backend.Close)
	addr := strings.TrimPrefix(backend.URL, "http://")
	gateway, err := pumicecroft.New(pumicecroft.Config{
		Settings: decision.Settings{CanCancel: true,
			Classes: []decision.Class{
				{Name: "look", LatencyObjective: time.Second, Deadline: 20 * time.Second, PriorityWeight: 1}},
			Plans: []decision.Plan{{Name: "basic", Rate: 1e6, Burst: 1e6, Price: 1}}},
		InitialEndpoints: membership.Update{Nodes: []membership.Node{
			{Name: "one", Addr: addr, Protocol: httpproxy.Protocol("shop")}}}},
		httpproxy.WithService(httpproxy.ServiceConfig{Name: "shop"}))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = gateway.Close(context.Background()) })
	newHTTPProxy := func(routeCount int) http.Handler {
		route := &httpproxy.Route{Service: "shop", Class: httpproxy.Classes{Idempotent: "look"}}
		rules := []routes.Rule[*httpproxy.Route]{{Name: "all", Path: "/{rest...}", Target: route}}
		for i := range routeCount - 1 {
			rules = append(rules, routes.Rule[*httpproxy.Route]{Name: fmt.Sprint(i), Line: i,
				Path: fmt.Sprintf("/v%d/items-%d/{id}", i%10, i), Target: route})
		}
		table, err := routes.New(rules)
		if err != nil {
			b.Fatal(err)
		}
		httpProxy, err := httpproxy.New(gateway, httpproxy.Config{Rules: httpproxy.Rules{Routes: table,
			Resolver: identity.New(nil, identity.NamedRule{Name: "address", Rule: &identity.AddressRule{Plan: "basic"}})}})
		if err != nil {
			b.Fatal(err)
		}
		return httpProxy
	}
	target, _ := url.Parse(backend.URL)
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	authority := testcerts.New(b)
	var config *tls.Config
	if secure {
		pair, err := tls.X509KeyPair(authority.Issue(nil, "shop.example"))
		if err != nil {
			b.Fatal(err)
		}
		config = &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
	}
	ctx, stop := context.WithCancel(context.Background())
	b.Cleanup(stop)
	// newPath returns a path to a server of handler, or to serverAddr if handler is nil.
	newPath := func(name string, handler http.Handler, serverAddr string) accessPath {
		scheme := "http"
		if handler != nil {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			serverAddr = ln.Addr().String()
			go func() {
				_ = httplistener.NewServer(handler, 400, time.Minute, slog.New(slog.DiscardHandler),
					httplistener.Options{TLS: config, GeneralPurpose: true}).Run(ctx, ln)
			}()
			if secure {
				scheme = "https"
			}
		}
		client := &http.Transport{DisableCompression: true,
			TLSClientConfig: &tls.Config{RootCAs: authority.Pool(), ServerName: "shop.example"}}
		b.Cleanup(client.CloseIdleConnections)
		return accessPath{name, func() error {
			req, err := http.NewRequest(http.MethodGet, scheme+"://"+serverAddr+"/v7/items-4567/9", nil)
			if err != nil {
				return err
			}
			req.Header = http.Header{"Accept": {"application/json"}, "User-Agent": {"bench"},
				"Authorization": {"Bearer abc"}, "Cookie": {"a=b; c=d"}}
			return requestOnce(client, req)
		}}
	}
	direct := newPath("direct", nil, addr)
	if secure { // the backend itself has no TLS, whose cost would count as overhead of both proxies
		direct = newPath("direct-over-TLS", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, "ok")
		}), "")
	}
	return []accessPath{
		direct,
		newPath("ReverseProxy", proxy, ""),
		newPath("httpproxy", newHTTPProxy(1), ""),
		newPath("httpproxy-10000", newHTTPProxy(10_000), ""),
	}
}

// BenchmarkHTTPProxyOverhead is BenchmarkOverhead for ordinary HTTP: it reports the overhead of the HTTP proxy with 1
// route and with 10,000, relative to that of ReverseProxy, over plain connections and over TLS 1.3 (where the direct
// path is a server with TLS).
//
//	go test -run xxx -bench HTTPProxyOverhead -benchtime 100x -cpu 1 .
func BenchmarkHTTPProxyOverhead(b *testing.B) {
	for name, secure := range map[string]bool{"plain": false, "TLS": true} {
		b.Run(name, func(b *testing.B) {
			measureOverhead(b, httpProxyAccessPaths(b, secure), func(i int) bool { return i >= 2 })
		})
	}
}
