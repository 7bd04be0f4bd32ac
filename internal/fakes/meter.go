package fakes

import (
	"sync"
	"time"
)

// Meter measures the usage of each customer over all backends and reports that of the last complete period. A request
// counts once, however many attempts it has. Requests to backends don't name the customer, so clients must register
// their requests. It is safe for concurrent use.
type Meter struct {
	Period time.Duration // 0 means 500 ms

	mu       sync.Mutex
	requests map[string]meteredRequest // by request ID, until Forget
	usage    map[uint64]*customerUsage // by customer
}

// meteredRequest is a registered request.
type meteredRequest struct {
	customer uint64
	cost     float64
	rate     float64
	counted  bool // a backend has received it, and usage includes it
}

// customerUsage is the usage of one customer, in units of cost.
type customerUsage struct {
	period            int64 // number of the period that current belongs to
	current, previous float64
}

// Register registers a request with its customer, its cost, and the rate of the customer's plan in units per second.
func (m *Meter) Register(id string, customer uint64, cost, rate float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.requests == nil {
		m.requests, m.usage = map[string]meteredRequest{}, map[uint64]*customerUsage{}
	}
	m.requests[id] = meteredRequest{customer: customer, cost: cost, rate: rate}
}

// Forget removes a request that has been answered.
func (m *Meter) Forget(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.requests, id)
}

// defaultPeriod is used if Meter.Period is 0.
const defaultPeriod = 500 * time.Millisecond

func (m *Meter) period() time.Duration {
	if m.Period <= 0 {
		return defaultPeriod
	}
	return m.Period
}

// recordAttempt counts the request of an attempt, unless it was counted before, and returns its customer's usage in the
// last complete period, in percent of the plan's rate. ok is false for a request that isn't registered or whose plan
// has no rate.
func (m *Meter) recordAttempt(id string, now time.Time) (percent float64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	request, ok := m.requests[id]
	if !ok || request.rate <= 0 {
		return 0, false
	}
	usage := m.usage[request.customer]
	if usage == nil {
		usage = &customerUsage{}
		m.usage[request.customer] = usage
	}
	usage.advance(now.UnixNano() / int64(m.period()))
	if !request.counted {
		request.counted = true
		m.requests[id] = request
		usage.current += request.cost
	}
	return 100 * usage.previous / (request.rate * m.period().Seconds()), true
}

// advance starts a period, unless it is the current one.
func (u *customerUsage) advance(period int64) {
	if period == u.period {
		return
	}
	u.previous = 0
	if period == u.period+1 {
		u.previous = u.current
	}
	u.period, u.current = period, 0
}
