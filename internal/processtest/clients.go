package processtest

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"pumicecroft/internal/eventqueue"
	"pumicecroft/internal/load"
)

// Asking is who asks: customers of a plan, each request at any door that clients are sent to.
type ClientGroup struct {
	Name             string
	Plan             string
	Class            string
	Rate             float64 // requests a second, of all of them
	Customers        int
	FirstCustomer    int           // the number of the first customer
	FollowRetryAfter float64       // the share that comes back when a refusal says
	RetryImmediately float64       // the share that comes back at once
	MaxTries         int           // of those
	Timeout          time.Duration // 0: the class's deadline
}

// Ask asks in open loop until ctx ends, and gives when all that was asked has its end. Each Asking must have its own number.
func (f *Fleet) RunClients(ctx context.Context, number int, a ClientGroup) error {
	timeout := a.Timeout
	if timeout == 0 {
		timeout = f.Config.Deadline
	}
	method, body := http.MethodGet, ""
	if a.Class == "pay" {
		method, body = http.MethodPost, "pay {key}"
	}
	seed := eventqueue.Mix(f.Config.Seed + uint64(number))
	p := &load.Plan{Name: a.Name, Seed: seed, Rate: a.Rate, Duration: time.Hour, MaxRequests: 1_000_000, Connections: 512, MaxOpen: 4096, Timeout: timeout, FollowRetryAfter: a.FollowRetryAfter,
		RetryImmediately: a.RetryImmediately, MaxTries: max(1, a.MaxTries), Customers: max(1, a.Customers), FirstCustomer: a.FirstCustomer, Plans: []load.Share{{Name: a.Plan, Weight: 1}}, FirstNumber: uint64(number) << 32,
		Kinds: []load.RequestKind{{Name: a.Class, Weight: 1, Method: method, Path: "/" + a.Class, Body: body, Headers: []load.Header{{Name: "Request-Id", Value: "{id}"},
			{Name: "Request-Class", Value: a.Class}, {Name: "X-Tier", Value: "{plan}"}, {Name: "X-Api-Key", Value: "{customer}"}, {Name: "Request-Timeout", Value: "{timeout}"},
			{Name: "X-Call-Terms", Value: fmt.Sprintf("units=1,spread=%d,first=0", f.Config.Gateways)}, {Name: "Idempotency-Key", Value: "{key}"}}}}}
	_, err := load.Run(ctx, p, load.Options{Route: f.route, BeforeTry: func(s *load.Request, _ int, id string) {
		if f.Meter != nil && a.Plan == "shop" {
			f.Meter.Register(id, uint64(s.Customer), 1, f.Config.Rate)
		}
	}, OnOutcome: func(e load.Outcome) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.outcomes = append(f.outcomes, e)
	}})
	return err
}

// route sends a try to one of the doors that clients are sent to; with none of them in, to any.
func (f *Fleet) route(s *load.Request, try int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var in []*Gateway
	for _, d := range f.Gateways {
		if f.routable[d.Number] {
			in = append(in, d)
		}
	}
	if len(in) == 0 {
		in = f.Gateways
	}
	return in[eventqueue.Mix(s.Key^uint64(try)<<56)%uint64(len(in))].Addr
}

// Ends are the ends of tries that were asked from one time to another.
func (f *Fleet) Outcomes(from, to time.Time, keep func(e load.Outcome) bool) (out []load.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.outcomes {
		if !e.SentAt.Before(from) && e.SentAt.Before(to) && (keep == nil || keep(e)) {
			out = append(out, e)
		}
	}
	return out
}

// Good is how many of ends were served.
func CountGood(ends []load.Outcome) (n int) {
	return len(slices.DeleteFunc(slices.Clone(ends), func(e load.Outcome) bool { return !e.Good }))
}
