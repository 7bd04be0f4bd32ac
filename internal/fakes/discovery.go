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

// Discovery is a stand-in for the platform's discovery.
type Discovery struct {
	addr   string
	server *http.Server

	mu        sync.Mutex
	seq       int64
	endpoints map[string]entry
	changed   chan struct{} // closed at the next change
	down      bool
}

type entry struct {
	platform.Endpoint
	seq int64
}

// StartDiscovery starts one on a loopback port of the system's choosing.
func StartDiscovery() (*Discovery, error) {
	d := &Discovery{endpoints: map[string]entry{}, changed: make(chan struct{}), seq: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.handleEndpoints)
	var err error
	d.server, d.addr, err = listen(mux)
	return d, err
}

// Addr is where it listens.
func (d *Discovery) Addr() string { return d.addr }

// Close ends it.
func (d *Discovery) Close() { d.server.Close() }

// Set puts entries into the list, or changes them, in one version.
func (d *Discovery) Set(es ...platform.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for _, e := range es {
		d.endpoints[e.Name] = entry{e, d.seq}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetHealth changes the health of one entry: Ready, Terminating or Gone.
func (d *Discovery) SetHealth(host, health string) {
	d.mu.Lock()
	e := d.endpoints[host].Endpoint
	d.mu.Unlock()
	e.Health = health
	d.Set(e)
}

// SetDown has it keep silent: it answers nothing until it is up again.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	close(d.changed)
	d.changed = make(chan struct{})
}

// List is the whole list, as a front door would be told it.
func (d *Discovery) List() platform.EndpointUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changesSince(-1)
}

// since gives what changed after a version; -1: all that is not gone.
func (d *Discovery) changesSince(from int64) platform.EndpointUpdate {
	l := platform.EndpointUpdate{Seq: d.seq, Full: from < 0, Endpoints: []platform.Endpoint{}}
	for _, e := range d.endpoints {
		if e.seq > from && (from >= 0 || e.Health != "Gone") {
			l.Endpoints = append(l.Endpoints, e.Endpoint)
		}
	}
	slices.SortFunc(l.Endpoints, func(a, b platform.Endpoint) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return l
}

// endpoints answers with the whole list, or with a watch.
func (d *Discovery) handleEndpoints(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") != "1" {
		_ = json.NewEncoder(w).Encode(d.List()) // the client has gone
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	control := http.NewResponseController(w)
	quiet := time.NewTicker(2 * time.Second)
	defer quiet.Stop()
	first := true
	for {
		d.mu.Lock()
		down, changed := d.down, d.changed
		l := d.changesSince(from)
		d.mu.Unlock()
		if !down && (first || len(l.Endpoints) > 0) {
			if json.NewEncoder(w).Encode(l) != nil || control.Flush() != nil {
				return
			}
			first, from = false, l.Seq
		}
		select {
		case <-changed:
		case <-quiet.C:
			if !down {
				io.WriteString(w, "\n")
				_ = control.Flush()
			}
		case <-r.Context().Done():
			return
		}
	}
}
