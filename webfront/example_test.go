package webfront_test

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
	"pumicecroft/identity"
	"pumicecroft/membership"
	"pumicecroft/routes"
	"pumicecroft/webfront"
)

// An ordinary server behind a Door in a program of one's own, beside handlers of its own.
func Example() {
	shop := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "item ", r.URL.Path) }))
	defer shop.Close()

	door, err := pumicecroft.New(pumicecroft.Config{
		Settings: decision.Settings{CanCancel: true,
			Classes: []decision.Class{{Name: "read", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1},
				{Name: "write", Effect: decision.Unsafe, Aim: time.Second, Deadline: 5 * time.Second, Worth: 2}},
			Plans: []decision.Plan{{Name: "everyone", Rate: 100, Burst: 200, Price: 1}}},
		Known: membership.List{Nodes: []membership.Node{{Name: "shop-1", Addr: strings.TrimPrefix(shop.URL, "http://"), Protocol: webfront.Protocol("shop")}}},
	}, webfront.WithService(webfront.ServiceConfig{Name: "shop"}))
	if err != nil {
		panic(err)
	}
	defer door.Close(context.Background())
	table, err := routes.New([]routes.Rule[*webfront.Route]{
		{Name: "items", Path: "/items/{id}", To: &webfront.Route{Service: "shop", Class: webfront.Classes{Safe: "read", Unsafe: "write"}}}})
	if err != nil {
		panic(err)
	}
	front, err := webfront.New(door, webfront.Config{Rules: webfront.Rules{Routes: table,
		Who: identity.New(nil, identity.Named{Name: "address", Rule: &identity.Address{Plan: "everyone"}})}})
	if err != nil {
		panic(err)
	}
	own := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "the host's own") })
	server := httptest.NewServer(front.Or(own))
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
