// Package fakes holds stand-ins for what a front door meets: backends with work, queues, drains, cold starts and
// memories of keys; discovery with its watch; the counter; and the requests of clients. They are written from the
// platform's pages, listen on loopback only, and count what reached them, so that tests and the demo can tell what
// a front door really did. ledger.go is where they count.
package fakes

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Attempt is one attempt that has come whole to a backend.
type Attempt struct {
	Backend    string
	Cell       int
	Class      string
	ID         string // Request-Id as it came
	Key        string
	At         time.Time
	RemoteAddr string // the address that it came from
	Body       string
	Timeout    string
	Outcome    string // how the backend dealt with it: served, error, turned away, hung, broken, spoilt; "" until then
	// Metadata is all that came with a call over gRPC, by name, as it stood on the wire.
	Metadata map[string][]string
	Effect   bool // it had an effect: it ran and no repeat of it was dropped
}

// Ledger keeps what reached the backends that share it. It is safe for concurrent use, and its zero value is
// ready.
type Ledger struct {
	mu       sync.Mutex
	attempts []*Attempt
	arrivals map[string]BackendArrivals
	effects  map[string]int // by key, or by id where there is none
	changed  chan struct{}  // closed at the next change
}

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

// Reached is what has come to one backend.
type BackendArrivals struct {
	Count int
	Last  time.Time
}

// Reached tells what has come to a backend so far. It costs the same however much that is.
func (l *Ledger) Arrivals(backend string) BackendArrivals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivals[backend]
}

func (l *Ledger) notifyChanged() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// end notes how an attempt ended; effect tells that it ran and counts.
func (l *Ledger) finish(a *Attempt, how string, effect bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.Outcome = how
	if effect {
		if l.effects == nil {
			l.effects = map[string]int{}
		}
		a.Effect = true
		l.effects[a.effectKey()]++
	}
	l.notifyChanged()
}

func (a *Attempt) effectKey() string {
	if a.Key != "" {
		return "key " + a.Key
	}
	return "id " + a.ID
}

// Attempts gives a copy of all attempts, in the order in which they came.
func (l *Ledger) Attempts() []Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Attempt, len(l.attempts))
	for i, a := range l.attempts {
		out[i] = *a
	}
	return out
}

// Of gives the attempts of one request id.
func (l *Ledger) ForRequest(id string) []Attempt {
	return slices.DeleteFunc(l.Attempts(), func(a Attempt) bool { return a.ID != id })
}

// Doubled gives the keys (and, without keys, ids) whose effect happened more than once.
func (l *Ledger) RepeatedEffects() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, k := range slices.Sorted(maps.Keys(l.effects)) {
		if l.effects[k] > 1 {
			out = append(out, k)
		}
	}
	return out
}

// Effects tells how often the effect of a key happened.
func (l *Ledger) Effects(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.effects["key "+key]
}

// Await waits until ok says yes of all attempts, and tells whether it did before the time was up.
func (l *Ledger) Await(patience time.Duration, ok func([]Attempt) bool) bool {
	end := time.NewTimer(patience)
	defer end.Stop()
	for {
		l.mu.Lock()
		if l.changed == nil {
			l.changed = make(chan struct{})
		}
		heard := l.changed
		l.mu.Unlock()
		if ok(l.Attempts()) {
			return true
		}
		select {
		case <-heard:
		case <-end.C:
			return ok(l.Attempts())
		}
	}
}

// Cell is the memory that the backends of one cell share: a repeat of a key within the window is dropped, which
// is to say answered as the first was, without a second effect.
type Cell struct {
	Number int
	Window time.Duration

	mu    sync.Mutex
	keys  map[string]time.Time
	order []string
}

// first tells whether a key is new to the cell, and keeps it.
func (c *Cell) firstUse(key string, now time.Time) bool {
	if c == nil || key == "" {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.order) > 0 && now.Sub(c.keys[c.order[0]]) >= c.Window {
		delete(c.keys, c.order[0])
		c.order = c.order[1:]
	}
	if _, known := c.keys[key]; known {
		return false
	}
	if c.keys == nil {
		c.keys = map[string]time.Time{}
	}
	c.keys[key] = now
	c.order = append(c.order, key)
	return true
}
