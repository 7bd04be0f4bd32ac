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
type Asking struct {
	Name      string
	Plan      string
	Class     string
	Rate      float64 // requests a second, of all of them
	Customers int
	First     int           // the number of the first customer
	Follow    float64       // the share that comes back when a refusal says
	Hasty     float64       // the share that comes back at once
	Tries     int           // of those
	Timeout   time.Duration // 0: the class's deadline
}

// Ask asks in open loop until ctx ends, and gives when all that was asked has its end. Each Asking must have its own number.
func (f *Fleet) Ask(ctx context.Context, number int, a Asking) error {
	timeout := a.Timeout
	if timeout == 0 {
		timeout = f.Shape.Deadline
	}
	method, body := http.MethodGet, ""
	if a.Class == "pay" {
		method, body = http.MethodPost, "pay {key}"
	}
	seed := eventqueue.Mix(f.Shape.Seed + uint64(number))
	p := &load.Plan{Name: a.Name, Seed: seed, Rate: a.Rate, Duration: time.Hour, Requests: 1_000_000, Connections: 512, Open: 4096, Timeout: timeout, Follow: a.Follow,
		Hasty: a.Hasty, Tries: max(1, a.Tries), Customers: max(1, a.Customers), FirstOne: a.First, Plans: []load.Weight{{Name: a.Plan, Part: 1}}, First: uint64(number) << 32,
		Kinds: []load.Kind{{Name: a.Class, Part: 1, Method: method, Path: "/" + a.Class, Body: body, Headers: []load.Header{{Name: "Request-Id", Value: "{id}"},
			{Name: "Request-Class", Value: a.Class}, {Name: "X-Tier", Value: "{plan}"}, {Name: "X-Api-Key", Value: "{customer}"}, {Name: "Request-Timeout", Value: "{timeout}"},
			{Name: "X-Call-Terms", Value: fmt.Sprintf("units=1,spread=%d,first=0", f.Shape.Doors)}, {Name: "Idempotency-Key", Value: "{key}"}}}}}
	_, err := load.Run(ctx, p, load.Options{Route: f.route, Before: func(s *load.Shot, _ int, id string) {
		if f.Meter != nil && a.Plan == "shop" {
			f.Meter.Enter(id, uint64(s.Customer), 1, f.Shape.Rate)
		}
	}, Ended: func(e load.End) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.ends = append(f.ends, e)
	}})
	return err
}

// route sends a try to one of the doors that clients are sent to; with none of them in, to any.
func (f *Fleet) route(s *load.Shot, try int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var in []*Door
	for _, d := range f.Doors {
		if f.in[d.Number] {
			in = append(in, d)
		}
	}
	if len(in) == 0 {
		in = f.Doors
	}
	return in[eventqueue.Mix(s.Key^uint64(try)<<56)%uint64(len(in))].Addr
}

// Ends are the ends of tries that were asked from one time to another.
func (f *Fleet) Ends(from, to time.Time, keep func(e load.End) bool) (out []load.End) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.ends {
		if !e.At.Before(from) && e.At.Before(to) && (keep == nil || keep(e)) {
			out = append(out, e)
		}
	}
	return out
}

// Good is how many of ends were served.
func Good(ends []load.End) (n int) {
	return len(slices.DeleteFunc(slices.Clone(ends), func(e load.End) bool { return !e.Good }))
}
