package httpproxy_test

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/httpproxy"
	"pumicecroft/identity"
	"pumicecroft/routes"
)

// effectNames are the names of effects in configuration files.
var effectNames = map[decision.Idempotency]string{
	decision.Idempotent:      "safe",
	decision.IdempotentByKey: "keyed",
	decision.NonIdempotent:   "unsafe",
}

// effectsFile returns a configuration file with a class "shop" and a route to it that have the given
// effects.
func effectsFile(class, route decision.Idempotency, backends ...string) string {
	return serviceSection("shop", backends...) + fmt.Sprintf(`[[class]]
name = "shop"
effect = %q
key_window = "5s"
deadline = "5s"
[[route]]
path = "/pay"
effect = %q
`, effectNames[class], effectNames[route])
}

// Guards against requests that run twice although their route or class forbids it: of the effects of a
// class and its route, the stricter one must hold. A backend runs the first request and resets its
// connection. Only an idempotent request, or one whose key makes backends drop the repeat, may be retried.
func TestStricterEffectOfClassAndRouteHolds(t *testing.T) {
	for class := range effectNames {
		for route := range effectNames {
			for _, key := range []string{"", "k"} {
				name := fmt.Sprintf("class %s, route %s, key %q", effectNames[class], effectNames[route], key)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					runs := &atomic.Int32{}
					backend := func() string {
						return startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
							if runs.Add(1) == 1 {
								panic(http.ErrAbortHandler)
							}
						}), nil)
					}
					fx := startProxy(t, effectsFile(class, route, backend(), backend()))
					status := post(t, fx.addr, key)
					stricter := max(class, route)
					wantStatus, wantRuns := http.StatusBadGateway, int32(1)
					switch {
					case key == "" && class == decision.IdempotentByKey && stricter == class:
						wantStatus, wantRuns = http.StatusBadRequest, 0 // the class requires a key
					case stricter == decision.Idempotent, stricter == decision.IdempotentByKey && key != "":
						wantStatus, wantRuns = http.StatusOK, 2
					}
					if status != wantStatus || runs.Load() != wantRuns {
						t.Errorf("status %d after %d runs, want %d after %d", status, runs.Load(), wantStatus, wantRuns)
					}
				})
			}
		}
	}
}

// post sends a POST to /pay and returns the status of the response. An empty key is not sent.
func post(t testing.TB, addr, key string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+"/pay", strings.NewReader("3"))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	return res.StatusCode
}

// With [keys], a repeated key of an unsafe route must be answered by the stored response, although the
// class of the route is safe.
func TestKeysOfUnsafeRouteInSafeClass(t *testing.T) {
	runs := &atomic.Int32{}
	backend := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }), nil)
	fx := startProxy(t, effectsFile(decision.Idempotent, decision.NonIdempotent, backend)+"[keys]\n")
	for range 2 {
		if status := post(t, fx.addr, "k"); status != http.StatusOK {
			t.Errorf("status %d, want 200", status)
		}
	}
	if runs.Load() != 1 {
		t.Errorf("the request ran %d times, want once", runs.Load())
	}
}

// Rules in which a route's requests would take a class that permits more retries than the route's
// Idempotency are invalid: the Gateway would retry by the class.
func TestRulesWithClassLessStrictThanRoute(t *testing.T) {
	class := func(name string, i decision.Idempotency) decision.Class {
		return decision.Class{Name: name, Idempotency: i, DedupWindow: time.Second, LatencyObjective: time.Second,
			Deadline: time.Second, PriorityWeight: 1}
	}
	gateway, err := pumicecroft.New(pumicecroft.Config{Settings: decision.Settings{
		Classes: []decision.Class{class("safe", decision.Idempotent), class("keyed", decision.IdempotentByKey),
			class("unsafe", decision.NonIdempotent)},
		Plans: []decision.Plan{{Name: "everyone", Price: 1}}}},
		httpproxy.WithService(httpproxy.ServiceConfig{Name: "shop"}))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = gateway.Close(t.Context()) }()
	for _, c := range []struct {
		classes     httpproxy.Classes
		idempotency decision.Idempotency
		valid       bool
	}{
		{httpproxy.Classes{Idempotent: "safe"}, decision.Idempotent, true},
		{httpproxy.Classes{Idempotent: "safe"}, decision.IdempotentByKey, false},
		{httpproxy.Classes{Idempotent: "safe"}, decision.NonIdempotent, false},
		{httpproxy.Classes{IdempotentByKey: "keyed"}, decision.Idempotent, true},
		{httpproxy.Classes{IdempotentByKey: "keyed"}, decision.NonIdempotent, false},
		{httpproxy.Classes{IdempotentByKey: "keyed", NonIdempotent: "safe"}, decision.IdempotentByKey, false},
		{httpproxy.Classes{Idempotent: "safe", NonIdempotent: "unsafe"}, decision.IdempotentByKey, true},
		{httpproxy.Classes{Idempotent: "safe", NonIdempotent: "unsafe"}, decision.NonIdempotent, true},
	} {
		table, err := routes.New([]routes.Rule[*httpproxy.Route]{{Name: "pay", Path: "/pay",
			Target: &httpproxy.Route{Service: "shop", Class: c.classes, Idempotency: &c.idempotency}}})
		if err != nil {
			t.Fatal(err)
		}
		_, err = httpproxy.New(gateway, httpproxy.Config{Rules: httpproxy.Rules{Routes: table,
			Resolver: identity.New(nil, identity.NamedRule{Name: "address",
				Rule: &identity.AddressRule{Plan: "everyone"}})}})
		if c.valid != (err == nil) || err != nil && !errors.Is(err, httpproxy.ErrInvalidRules) {
			t.Errorf("%+v, %s: got %v, want valid %t", c.classes, effectNames[c.idempotency], err, c.valid)
		}
	}
}
