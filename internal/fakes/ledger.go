// Package fakes has fake servers and clients of a gateway, for tests and the demo: backends with concurrency limits,
// queues, draining, slow start and deduplication; discovery with its watch; a Consul agent; the shared counter; and the
// requests of clients. The servers listen on loopback only. A Ledger records the attempts that reached the backends, so
// that a test can compare what a gateway did with what it reported. Each fake has its own state and is safe for
// concurrent use.
package fakes

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Attempt is one attempt that a backend has received completely.
type Attempt struct {
	Backend    string
	Cell       int
	Class      string
	ID         string    // Request-Id as received
	Key        string    // idempotency key as received
	At         time.Time // when it arrived
	RemoteAddr string
	Body       string
	Timeout    string // as received
	Outcome    string // such as "served", "error", "rejected", "hung", "broken" or "spoilt"; empty until it is known
	// Metadata is all metadata of a call over gRPC, by name, as received.
	Metadata map[string][]string
	Effect   bool // it was executed, and not dropped as a repeat
}

// Ledger records the attempts that reached the backends that share it. It is safe for concurrent use, and its zero
// value is ready to use.
type Ledger struct {
	mu       sync.Mutex
	attempts []*Attempt
	arrivals map[string]BackendArrivals
	effects  map[string]int // number of effects, by effectKey
	changed  chan struct{}  // closed at the next change; nil while no goroutine waits
}

// add records an attempt that has arrived.
func (l *Ledger) add(a *Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
	if l.arrivals == nil {
		l.arrivals = map[string]BackendArrivals{}
	}
	l.arrivals[a.Backend] = BackendArrivals{l.arrivals[a.Backend].Count + 1, a.At}
	l.notifyChanged()
}

// BackendArrivals summarizes the attempts that reached one backend.
type BackendArrivals struct {
	Count int
	Last  time.Time // of the last arrival
}

// Arrivals returns a summary of the attempts that have reached a backend so far, in constant time.
func (l *Ledger) Arrivals(backend string) BackendArrivals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivals[backend]
}

// notifyChanged wakes the goroutines that wait for a change. l.mu must be held.
func (l *Ledger) notifyChanged() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// finish records the outcome of an attempt, and whether it had an effect.
func (l *Ledger) finish(a *Attempt, outcome string, effect bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.Outcome = outcome
	if effect {
		if l.effects == nil {
			l.effects = map[string]int{}
		}
		a.Effect = true
		l.effects[a.effectKey()]++
	}
	l.notifyChanged()
}

// effectKey identifies the effect of an attempt: by its idempotency key, or by its request ID if it has no key.
func (a *Attempt) effectKey() string {
	if a.Key != "" {
		return "key " + a.Key
	}
	return "id " + a.ID
}

// Attempts returns a copy of all attempts, in order of arrival.
func (l *Ledger) Attempts() []Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Attempt, len(l.attempts))
	for i, a := range l.attempts {
		out[i] = *a
	}
	return out
}

// ForRequest returns the attempts with a request ID, in order of arrival.
func (l *Ledger) ForRequest(id string) []Attempt {
	return slices.DeleteFunc(l.Attempts(), func(a Attempt) bool { return a.ID != id })
}

// RepeatedEffects returns the effects that happened more than once, sorted: "key " with the idempotency key, or "id "
// with the request ID of requests without a key.
func (l *Ledger) RepeatedEffects() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, key := range slices.Sorted(maps.Keys(l.effects)) {
		if l.effects[key] > 1 {
			out = append(out, key)
		}
	}
	return out
}

// Effects returns how often the effect of an idempotency key happened.
func (l *Ledger) Effects(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.effects["key "+key]
}

// Await waits until condition holds for the attempts, and reports whether it held before the timeout.
func (l *Ledger) Await(timeout time.Duration, condition func([]Attempt) bool) bool {
	end := time.NewTimer(timeout)
	defer end.Stop()
	for {
		l.mu.Lock()
		if l.changed == nil {
			l.changed = make(chan struct{})
		}
		changed := l.changed
		l.mu.Unlock()
		if condition(l.Attempts()) {
			return true
		}
		select {
		case <-changed:
		case <-end.C:
			return condition(l.Attempts())
		}
	}
}

// Cell is the deduplication state that the backends of one cell share. A repeat of an idempotency key within Window is
// dropped: it is answered like the first request, without a second effect. It is safe for concurrent use.
type Cell struct {
	Number int
	Window time.Duration

	mu        sync.Mutex
	firstUses map[string]time.Time // time of first use
	keysByAge []string             // keys by time of first use
}

// firstUse reports whether a key is new to the cell, and records it. If c is nil or the key is empty, it is always new.
func (c *Cell) firstUse(key string, now time.Time) bool {
	if c == nil || key == "" {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.keysByAge) > 0 && now.Sub(c.firstUses[c.keysByAge[0]]) >= c.Window {
		delete(c.firstUses, c.keysByAge[0])
		c.keysByAge = c.keysByAge[1:]
	}
	if _, known := c.firstUses[key]; known {
		return false
	}
	if c.firstUses == nil {
		c.firstUses = map[string]time.Time{}
	}
	c.firstUses[key] = now
	c.keysByAge = append(c.keysByAge, key)
	return true
}
