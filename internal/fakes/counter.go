package fakes

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Counter is a fake of the platform's shared counter: it adds amounts to named totals and returns them. It is safe for
// concurrent use.
type Counter struct {
	addr   string
	server *http.Server

	mu          sync.Mutex
	totals      map[string]total // by name
	unavailable bool             // valid calls get 503
	calls       int              // calls that were answered with a total
}

// total is the sum of the amounts of one name, until it expires.
type total struct {
	sum     float64
	expires time.Time
}

// StartCounter starts a counter on a free loopback port.
func StartCounter() (*Counter, error) {
	c := &Counter{totals: map[string]total{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tally/{name}", c.handleAdd)
	var err error
	c.server, c.addr, err = listen(mux)
	return c, err
}

// Addr returns the address that the counter listens on.
func (c *Counter) Addr() string { return c.addr }

// Close stops the counter.
func (c *Counter) Close() { c.server.Close() }

// Reset removes all totals, as a restart of the counter does.
func (c *Counter) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.totals)
}

// SetUnavailable makes the counter respond 503, or respond normally again.
func (c *Counter) SetUnavailable(unavailable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unavailable = unavailable
}

// Calls returns the number of calls that were answered with a total.
func (c *Counter) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Limits of a call, as the platform's counter has them. A longer TTL is reduced to maxTTLMillis; an amount or a name
// beyond its limit is rejected.
const (
	maxAmount     = 1e9
	maxTTLMillis  = 60_000
	maxNameLength = 64
)

// handleAdd adds an amount to a total and responds with the total.
func (c *Counter) handleAdd(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	amount, err := strconv.ParseFloat(r.URL.Query().Get("n"), 64)
	ttlMillis, err2 := strconv.Atoi(r.URL.Query().Get("keep_ms"))
	validName := name != "" && len(name) <= maxNameLength
	validAmount := err == nil && !math.IsNaN(amount) && math.Abs(amount) <= maxAmount
	if !validName || !validAmount || err2 != nil || ttlMillis < 1 {
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
		t = total{expires: now.Add(time.Duration(min(ttlMillis, maxTTLMillis)) * time.Millisecond)}
	}
	t.sum += amount
	c.totals[name] = t
	c.calls++
	io.WriteString(w, strconv.FormatFloat(t.sum, 'g', 7, 64))
}
