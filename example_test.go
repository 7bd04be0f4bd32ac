package pumicecroft_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/membership"
)

func exampleSettings() decision.Settings {
	return decision.Settings{
		CanCancel:     true,
		MaxRetryAfter: time.Second,
		Classes: []decision.Class{
			{Name: "lookup", LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1}},
		Plans: []decision.Plan{{Name: "shop", Rate: 0.1, Burst: 2, Price: 1}},
	}
}

// Requests are made in the same process with Do.
func ExampleGateway_Do() {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "looked up %s", r.URL.RequestURI())
	}))
	defer backend.Close()
	gateway, err := pumicecroft.New(pumicecroft.Config{Settings: exampleSettings(), InitialEndpoints: membership.Update{
		Nodes: []membership.Node{{Name: "one", Addr: strings.TrimPrefix(backend.URL, "http://")}}}})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = gateway.Close(context.Background()) }()
	for range 3 {
		response, err := gateway.Do(context.Background(), pumicecroft.Request{Class: "lookup", Plan: "shop", Customer: 7,
			Target: "/lookup?serial=3"})
		var rejected *pumicecroft.RejectedError
		switch {
		case err == nil:
			fmt.Println(string(response.Body))
		case errors.As(err, &rejected):
			fmt.Println("over the quota: come back in", rejected.RetryAfter)
		default:
			fmt.Println(err)
		}
	}
	// Output:
	// looked up /lookup?serial=3
	// over the quota: come back in 1s
	// over the quota: come back in 1s
}

// A Gateway is an http.Handler that reads the platform's headers.
func ExampleGateway_ServeHTTP() {
	gateway, err := pumicecroft.New(pumicecroft.Config{Settings: exampleSettings()})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = gateway.Close(context.Background()) }()
	server := httptest.NewServer(gateway)
	defer server.Close()
	req, _ := http.NewRequest("GET", server.URL+"/lookup", nil)
	req.Header = http.Header{"Request-Id": {"9b1f03aa5c7e2d41"}, "Request-Class": {"lookup"}, "X-Tier": {"shop"},
		"X-Api-Key": {"00000000b4d65521"}, "Request-Timeout": {"0.480"}, "X-Call-Terms": {"units=1,spread=1,first=0"}}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	fmt.Println(res.StatusCode, "Retry-After", res.Header.Get("Retry-After")) // rejected: there is no backend
	// Output: 503 Retry-After 0.250
}
