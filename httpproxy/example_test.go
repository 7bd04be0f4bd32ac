package httpproxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/httpproxy"
	"pumicecroft/identity"
	"pumicecroft/membership"
	"pumicecroft/routes"
)

// A program serves its own handlers, and forwards the requests of a route to an HTTP backend.
func Example() {
	shop := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter,
		r *http.Request) {
		fmt.Fprint(w, "item ", r.URL.Path)
	}))
	defer shop.Close()

	gateway, err := pumicecroft.New(pumicecroft.Config{
		Settings: decision.Settings{CanCancel: true,
			Classes: []decision.Class{{Name: "read", LatencyObjective: time.Second, Deadline: 5 * time.Second,
				PriorityWeight: 1},
				{Name: "write", Idempotency: decision.NonIdempotent, LatencyObjective: time.Second,
					Deadline: 5 * time.Second, PriorityWeight: 2}},
			Plans: []decision.Plan{{Name: "everyone", Rate: 100, Burst: 200, Price: 1}}},
		InitialEndpoints: membership.Update{Nodes: []membership.Node{{Name: "shop-1",
			Addr: strings.TrimPrefix(shop.URL, "http://"), Protocol: httpproxy.Protocol("shop")}}},
	}, httpproxy.WithService(httpproxy.ServiceConfig{Name: "shop"}))
	if err != nil {
		panic(err)
	}
	defer func() { _ = gateway.Close(context.Background()) }()
	table, err := routes.New([]routes.Rule[*httpproxy.Route]{
		{Name: "items", Path: "/items/{id}", Target: &httpproxy.Route{Service: "shop",
			Class: httpproxy.Classes{Idempotent: "read", NonIdempotent: "write"}}}})
	if err != nil {
		panic(err)
	}
	proxy, err := httpproxy.New(gateway, httpproxy.Config{Rules: httpproxy.Rules{Routes: table,
		Resolver: identity.New(nil, identity.NamedRule{Name: "address",
			Rule: &identity.AddressRule{Plan: "everyone"}})}})
	if err != nil {
		panic(err)
	}
	fallback := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "the host's own") })
	server := httptest.NewServer(proxy.WithFallback(fallback))
	defer server.Close()

	for _, path := range []string{"/items/7", "/about"} {
		res, err := http.Get(server.URL + path)
		if err != nil {
			panic(err)
		}
		body, _ := io.ReadAll(res.Body)
		res.Body.Close()
		fmt.Println(res.StatusCode, string(body))
	}
	// Output:
	// 200 item /items/7
	// 200 the host's own
}
