// Command nethttp is a server on net/http, the host of a Gateway: requests for two of its paths go through the Gateway
// to backends, and it serves all others itself.
package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net/http"
	"os"
	"os/signal"
	"time"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/membership"
	"pumicecroft/middleware"
	"pumicecroft/middleware/nethttp"
)

func main() {
	gateway, err := pumicecroft.New(pumicecroft.Config{
		Settings: decision.Settings{
			CanCancel:     true,
			MaxRetryAfter: time.Second,
			Classes: []decision.Class{
				{Name: "stock-lookup", LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1},
				{Name: "activate", Idempotency: decision.IdempotentByKey, DedupScope: decision.DedupScopeCell,
					DedupWindow: 5 * time.Second, LatencyObjective: time.Second, Deadline: 4 * time.Second,
					PriorityWeight: 5},
			},
			Plans: []decision.Plan{{Name: "shop", Rate: 10, Burst: 20, Price: 1}},
		},
		InitialEndpoints: membership.Update{Nodes: []membership.Node{
			{Name: "node-1", Addr: "127.0.0.1:9001", Cell: 1},
			{Name: "node-2", Addr: "127.0.0.1:9002", Cell: 1},
		}},
	})
	if err != nil {
		log.Fatal(err)
	}

	mux := http.NewServeMux()
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "the host's own page") })
	server := &http.Server{Addr: "127.0.0.1:8080",
		Handler: nethttp.New(gateway, middleware.Routes("/stock-lookup", "/activate"))(mux)}

	interrupted, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	go func() {
		<-interrupted.Done()
		// The server stops first, so that no new requests arrive. The gateway is closed after it.
		_ = server.Shutdown(context.Background())
	}()
	err = server.ListenAndServe()
	cancel()
	if !errors.Is(err, http.ErrServerClosed) {
		log.Fatal(err)
	}
	closing, cancelClosing := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancelClosing()
	if err := gateway.Close(closing); err != nil {
		log.Print(err)
	}
}
