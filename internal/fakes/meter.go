package fakes

import (
	"sync"
	"time"
)

// Meter counts what customers use over all backends, each request once, and tells of the last period that has
// ended. Backends are not told who asks, so the clients enter their requests.
type Meter struct {
	Period time.Duration // 500 ms if 0

	mu    sync.Mutex
	asked map[string]asked // requests that no backend has seen yet, and those of this and the last period
	use   map[uint64]*use
}

type asked struct {
	customer uint64
	units    float64
	rate     float64
	seen     bool
}

type use struct {
	period    int64
	now, last float64 // units
}

// Enter tells whose a request is, what it takes and the rate of its customer's plan.
func (m *Meter) Enter(id string, customer uint64, units, rate float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.asked == nil {
		m.asked, m.use = map[string]asked{}, map[uint64]*use{}
	}
	m.asked[id] = asked{customer: customer, units: units, rate: rate}
}

// Forget drops a request that has its answer.
func (m *Meter) Forget(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.asked, id)
}

func (m *Meter) period() time.Duration {
	if m.Period <= 0 {
		return 500 * time.Millisecond
	}
	return m.Period
}

// count counts an attempt and gives its customer's use in the last finished period, in percent of its rate.
func (m *Meter) count(id string, now time.Time) (percent float64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a, ok := m.asked[id]
	if !ok || a.rate <= 0 {
		return 0, false
	}
	u := m.use[a.customer]
	if u == nil {
		u = &use{}
		m.use[a.customer] = u
	}
	p := now.UnixNano() / int64(m.period())
	if p != u.period {
		u.last = 0
		if p == u.period+1 {
			u.last = u.now
		}
		u.period, u.now = p, 0
	}
	if !a.seen {
		a.seen = true
		m.asked[id] = a
		u.now += a.units
	}
	return 100 * u.last / (a.rate * m.period().Seconds()), true
}
