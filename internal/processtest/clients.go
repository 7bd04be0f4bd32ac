package processtest

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"pumicecroft/internal/eventqueue"
	"pumicecroft/internal/load"
)

// ClientGroup is a group of clients: customers of one plan. Each request goes to any gateway that has been started and
// not been killed or terminated since.
type ClientGroup struct {
	Name             string
	Plan             string
	Class            string
	Rate             float64 // requests a second, of all customers
	Customers        int
	FirstCustomer    int           // number of the first customer
	FollowRetryAfter float64       // share of clients that retry after the Retry-After of a rejection
	RetryImmediately float64       // share of clients that retry at once
	MaxTries         int           // of a client that retries; 0 means 1
	Timeout          time.Duration // 0 means Config.Deadline
}

// Limits of the clients of one group.
const (
	maxRequests    = 1_000_000
	maxConnections = 512
	maxOpen        = 4096
	maxDuration    = time.Hour
)

// RunClients sends requests at the group's rate, without waiting for responses, until ctx ends. It returns when each
// request has an outcome. Each group of a fleet must have a different number.
func (f *Fleet) RunClients(ctx context.Context, number int, group ClientGroup) error {
	_, err := load.Run(ctx, f.loadPlan(number, group), load.Options{
		Route: f.route,
		BeforeTry: func(r *load.Request, _ int, id string) {
			if f.Meter != nil && group.Plan == "shop" {
				f.Meter.Register(id, uint64(r.Customer), 1, f.Config.Rate)
			}
		},
		OnOutcome: func(outcome load.Outcome) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.outcomes = append(f.outcomes, outcome)
		},
	})
	return err
}

// loadPlan returns the load plan of a client group.
func (f *Fleet) loadPlan(number int, group ClientGroup) *load.Plan {
	timeout := group.Timeout
	if timeout == 0 {
		timeout = f.Config.Deadline
	}
	method, body := http.MethodGet, ""
	if group.Class == "pay" {
		method, body = http.MethodPost, "pay {key}"
	}
	terms := fmt.Sprintf("units=1,spread=%d,first=0", f.Config.Gateways)
	kind := load.RequestKind{
		Name: group.Class, Weight: 1, Method: method, Path: "/" + group.Class, Body: body,
		Headers: []load.Header{
			{Name: "Request-Id", Value: "{id}"}, {Name: "Request-Class", Value: group.Class},
			{Name: "X-Tier", Value: "{plan}"}, {Name: "X-Api-Key", Value: "{customer}"},
			{Name: "Request-Timeout", Value: "{timeout}"}, {Name: "X-Call-Terms", Value: terms},
			{Name: "Idempotency-Key", Value: "{key}"},
		},
	}
	return &load.Plan{
		Name: group.Name, Seed: eventqueue.Mix(f.Config.Seed + uint64(number)), Rate: group.Rate,
		Duration: maxDuration, MaxRequests: maxRequests, Connections: maxConnections, MaxOpen: maxOpen,
		Timeout: timeout, FollowRetryAfter: group.FollowRetryAfter, RetryImmediately: group.RetryImmediately,
		MaxTries: max(1, group.MaxTries), Customers: max(1, group.Customers), FirstCustomer: group.FirstCustomer,
		Plans:       []load.Share{{Name: group.Plan, Weight: 1}},
		FirstNumber: uint64(number) << 32, Kinds: []load.RequestKind{kind},
	}
}

// route selects one of the gateways that clients are sent to, or one of all gateways if there is none.
func (f *Fleet) route(r *load.Request, try int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var candidates []*Gateway
	for _, g := range f.Gateways {
		if f.routable[g.Number] {
			candidates = append(candidates, g)
		}
	}
	if len(candidates) == 0 {
		candidates = f.Gateways
	}
	return candidates[eventqueue.Mix(r.Key^uint64(try)<<56)%uint64(len(candidates))].Addr
}

// Outcomes returns the outcomes of tries that were sent within [from, to) and that keep accepts; nil accepts all.
func (f *Fleet) Outcomes(from, to time.Time, keep func(load.Outcome) bool) (out []load.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.outcomes {
		if !o.SentAt.Before(from) && o.SentAt.Before(to) && (keep == nil || keep(o)) {
			out = append(out, o)
		}
	}
	return out
}

// CountGood returns the number of outcomes that were served.
func CountGood(outcomes []load.Outcome) (n int) {
	for _, o := range outcomes {
		if o.Good {
			n++
		}
	}
	return n
}
