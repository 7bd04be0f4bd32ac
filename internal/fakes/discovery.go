package fakes

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"pumicecroft/internal/platform"
)

// Discovery is a fake of the platform's discovery service. It is safe for concurrent use.
type Discovery struct {
	addr   string
	server *http.Server

	mu        sync.Mutex
	seq       int64            // version of the endpoint list
	endpoints map[string]entry // by name
	changed   chan struct{}    // closed and replaced when the endpoint list or down changes
	down      bool             // watches send nothing
}

// entry is an endpoint with the version of the endpoint list at its last change.
type entry struct {
	platform.Endpoint
	seq int64
}

// StartDiscovery starts a discovery service with an empty endpoint list on a free loopback port.
func StartDiscovery() (*Discovery, error) {
	d := &Discovery{endpoints: map[string]entry{}, changed: make(chan struct{}), seq: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.handleEndpoints)
	var err error
	d.server, d.addr, err = listen(mux)
	return d, err
}

// Addr returns the address that discovery listens on.
func (d *Discovery) Addr() string { return d.addr }

// Close stops discovery.
func (d *Discovery) Close() { d.server.Close() }

// Set adds endpoints to the list, or changes them, in one new version.
func (d *Discovery) Set(endpoints ...platform.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for _, e := range endpoints {
		d.endpoints[e.Name] = entry{e, d.seq}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetHealth changes the health of one endpoint: Ready, Terminating or Gone.
func (d *Discovery) SetHealth(name, health string) {
	d.mu.Lock()
	e := d.endpoints[name].Endpoint
	d.mu.Unlock()
	e.Health = health
	d.Set(e)
}

// SetDown sets whether watches, open and new ones, send nothing. Other calls are answered all the time.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	close(d.changed)
	d.changed = make(chan struct{})
}

// List returns a full update with the current endpoint list, as a gateway gets it.
func (d *Discovery) List() platform.EndpointUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changesSince(-1)
}

// changesSince returns the changes after a version. If from is negative, it returns a full update of all endpoints
// that aren't Gone.
// d.mu must be held.
func (d *Discovery) changesSince(from int64) platform.EndpointUpdate {
	update := platform.EndpointUpdate{Seq: d.seq, Full: from < 0, Endpoints: []platform.Endpoint{}}
	for _, e := range d.endpoints {
		if e.seq > from && (from >= 0 || e.Health != "Gone") {
			update.Endpoints = append(update.Endpoints, e.Endpoint)
		}
	}
	slices.SortFunc(update.Endpoints, func(a, b platform.Endpoint) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return update
}

// watchHeartbeat is the time between the empty lines that a watch sends as heartbeats.
const watchHeartbeat = 2 * time.Second

// handleEndpoints responds with the full endpoint list, or with a watch of the changes after a version.
func (d *Discovery) handleEndpoints(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") != "1" {
		_ = json.NewEncoder(w).Encode(d.List()) // fails only if the client has disconnected
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	controller := http.NewResponseController(w)
	heartbeat := time.NewTicker(watchHeartbeat)
	defer heartbeat.Stop()
	first := true
	for {
		d.mu.Lock()
		down, changed := d.down, d.changed
		update := d.changesSince(from)
		d.mu.Unlock()
		if !down && (first || len(update.Endpoints) > 0) {
			if json.NewEncoder(w).Encode(update) != nil || controller.Flush() != nil {
				return
			}
			first, from = false, update.Seq
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			if !down {
				io.WriteString(w, "\n")
				_ = controller.Flush()
			}
		case <-r.Context().Done():
			return
		}
	}
}
