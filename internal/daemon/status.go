package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"pumicecroft"
)

// statusPath is the HTTP path of the status of backends.
const statusPath = "/members"

// Limits of the status server and its client.
const (
	statusReadTimeout    = 5 * time.Second
	statusWriteTimeout   = 10 * time.Second
	statusMaxHeaderBytes = 8 << 10
	statusFetchTimeout   = 10 * time.Second
)

// serveBackendStatus serves the status of a gateway's backends as JSON until stop is called.
func serveBackendStatus(gateway *pumicecroft.Gateway, addr string) (stop func(), err error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statusPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(gateway.Backends()) // fails only if the client is gone
	})
	server := &http.Server{
		Handler:        mux,
		ReadTimeout:    statusReadTimeout,
		WriteTimeout:   statusWriteTimeout,
		MaxHeaderBytes: statusMaxHeaderBytes,
	}
	go func() { _ = server.Serve(ln) }() // returns once stop closes the server
	slog.Info("members", "listen", ln.Addr().String())
	return func() { server.Close() }, nil
}

// FetchBackendStatus fetches the status of backends from the status address of a running gateway.
func FetchBackendStatus(ctx context.Context, addr string) ([]pumicecroft.BackendStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusFetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+statusPath, nil)
	if err != nil {
		return nil, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("status request to the gateway failed: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answered %s", addr, res.Status)
	}
	var backends []pumicecroft.BackendStatus
	if err := json.NewDecoder(res.Body).Decode(&backends); err != nil {
		return nil, fmt.Errorf("%s answered with an invalid list of backends: %w", addr, err)
	}
	return backends, nil
}
