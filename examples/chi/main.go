// Command chi is a server on chi, the host of a Gateway: it authenticates clients itself, and the Gateway enforces the
// quotas of their plans.
package main

import (
	"fmt"
	"log"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/membership"
	mw "pumicecroft/middleware"
	"pumicecroft/middleware/nethttp"
)

// shops maps tokens to identities. A real host would look them up in its own store.
var shops = map[string]pumicecroft.Identity{"secret": {Customer: 7, Plan: "shop"}}

func main() {
	gateway, err := pumicecroft.New(pumicecroft.Config{
		Settings: decision.Settings{CanCancel: true, MaxRetryAfter: time.Second,
			Classes: []decision.Class{{Name: "stock-lookup", LatencyObjective: time.Second, Deadline: 4 * time.Second,
				PriorityWeight: 1}},
			Plans: []decision.Plan{{Name: "shop", Rate: 10, Burst: 20, Price: 1}}},
		InitialEndpoints: membership.Update{Nodes: []membership.Node{{Name: "node-1", Addr: "127.0.0.1:9001"}}},
	})
	if err != nil {
		log.Fatal(err)
	}

	r := chi.NewRouter()
	r.Use(middleware.Recoverer, middleware.Timeout(10*time.Second), identify)
	// The Mapper describes a request to the Gateway, instead of the platform's headers.
	r.Use(nethttp.New(gateway, mw.Routes("/api/stock"), mw.Mapper(func(r *http.Request) (pumicecroft.Request, error) {
		identity, ok := pumicecroft.IdentityFrom(r.Context())
		if !ok {
			return pumicecroft.Request{}, fmt.Errorf("%w: no token", pumicecroft.ErrBadRequest)
		}
		return pumicecroft.Request{Class: "stock-lookup", Customer: identity.Customer, Plan: identity.Plan,
			Target: r.URL.RequestURI(), Timeout: 2 * time.Second}, nil
	})))
	r.Get("/", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "the host's own page") })
	log.Fatal(http.ListenAndServe("127.0.0.1:8080", r))
}

// identify is a middleware that authenticates clients and sets their identity in the request's context.
func identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if identity, ok := shops[r.Header.Get("Authorization")]; ok {
			r = r.WithContext(pumicecroft.WithIdentity(r.Context(), identity))
		}
		next.ServeHTTP(w, r)
	})
}
