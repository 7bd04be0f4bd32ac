package fakes

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Counter is a stand-in for the platform's quota counter: it adds an amount to a named number and tells the total.
type Counter struct {
	addr   string
	server *http.Server

	mu          sync.Mutex
	totals      map[string]total
	unavailable bool // it turns all calls away
	calls       int
}

type total struct {
	sum     float64
	expires time.Time
}

// StartCounter starts one on a loopback port of the system's choosing.
func StartCounter() (*Counter, error) {
	c := &Counter{totals: map[string]total{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tally/{name}", c.handleAdd)
	var err error
	c.server, c.addr, err = listen(mux)
	return c, err
}

// Addr is where it listens.
func (c *Counter) Addr() string { return c.addr }

// Close ends it.
func (c *Counter) Close() { c.server.Close() }

// Lose has it forget every number, as a restart does.
func (c *Counter) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.totals)
}

// TurnAway has it answer 503, or not any more.
func (c *Counter) SetUnavailable(yes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unavailable = yes
}

// Calls is how many calls it has answered with a total.
func (c *Counter) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// most is the largest amount of a call, and the longest that a name is kept without one.
const (
	maxAmount     = 1e9
	maxTTLMillis  = 60_000
	maxNameLength = 64
)

func (c *Counter) handleAdd(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	n, err := strconv.ParseFloat(r.URL.Query().Get("n"), 64)
	keep, err2 := strconv.Atoi(r.URL.Query().Get("keep_ms"))
	if err != nil || err2 != nil || name == "" || len(name) > maxNameLength || math.IsNaN(n) || math.Abs(n) > maxAmount || keep < 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	now := time.Now()
	t, ok := c.totals[name]
	if !ok || !now.Before(t.expires) {
		t = total{expires: now.Add(time.Duration(min(keep, maxTTLMillis)) * time.Millisecond)}
	}
	t.sum += n
	c.totals[name] = t
	c.calls++
	io.WriteString(w, strconv.FormatFloat(t.sum, 'g', 7, 64))
}
