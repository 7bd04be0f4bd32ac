package fakes

import (
	"sync"
	"time"
)

// Meter counts what customers use over all backends, each request once, and tells of the last period that has
// ended. Backends are not told who asks, so the clients enter their requests.
type Meter struct {
	Period time.Duration // 500 ms if 0

	mu       sync.Mutex
	requests map[string]meteredRequest // requests that no backend has seen yet, and those of this and the last period
	usage    map[uint64]*customerUsage
}

type meteredRequest struct {
	customer uint64
	cost     float64
	rate     float64
	counted  bool
}

type customerUsage struct {
	period            int64
	current, previous float64 // units
}

// Enter tells whose a request is, what it takes and the rate of its customer's plan.
func (m *Meter) Register(id string, customer uint64, units, rate float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.requests == nil {
		m.requests, m.usage = map[string]meteredRequest{}, map[uint64]*customerUsage{}
	}
	m.requests[id] = meteredRequest{customer: customer, cost: units, rate: rate}
}

// Forget drops a request that has its answer.
func (m *Meter) Forget(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.requests, id)
}

func (m *Meter) period() time.Duration {
	if m.Period <= 0 {
		return 500 * time.Millisecond
	}
	return m.Period
}

// count counts an attempt and gives its customer's use in the last finished period, in percent of its rate.
func (m *Meter) recordAttempt(id string, now time.Time) (percent float64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a, ok := m.requests[id]
	if !ok || a.rate <= 0 {
		return 0, false
	}
	u := m.usage[a.customer]
	if u == nil {
		u = &customerUsage{}
		m.usage[a.customer] = u
	}
	p := now.UnixNano() / int64(m.period())
	if p != u.period {
		u.previous = 0
		if p == u.period+1 {
			u.previous = u.current
		}
		u.period, u.current = p, 0
	}
	if !a.counted {
		a.counted = true
		m.requests[id] = a
		u.current += a.cost
	}
	return 100 * u.previous / (a.rate * m.period().Seconds()), true
}
