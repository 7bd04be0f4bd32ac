// Package load is a load generator. It sends requests to a gateway or a backend in open loop: the time at which each
// request is due is independent of earlier responses, and its latency counts from that time. (A closed loop, which
// sends a request after the response to the one before, doesn't measure the requests that it should have sent while it
// waited; this error is known as coordinated omission.)
//
// The target must be on this machine unless the caller allows another one. A run is bounded in time, requests and
// connections.
package load

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"time"

	"pumicecroft/internal/eventqueue"
	"pumicecroft/internal/settings"
)

// Plan describes the requests of a run.
type Plan struct {
	Name             string
	Seed             uint64
	Rate             float64       // requests per second
	EvenArrivals     bool          // requests are due at even intervals; otherwise as a Poisson process
	Duration         time.Duration // the run ends after this time
	MaxRequests      int           // the run ends after this number of requests
	Connections      int           // largest number of open connections to a target, per protocol
	MaxOpen          int           // largest number of requests in flight; requests due beyond that are dropped
	Timeout          time.Duration // of a request including its retries, from when it is due
	FollowRetryAfter float64       // share of clients that retry a rejected request after the delay that it asks for
	RetryImmediately float64       // share of clients that retry a rejected request at once instead
	MaxTries         int           // largest number of tries of a request, including the first
	Customers        int           // number of customers
	FirstCustomer    int           // number of the first customer
	FirstNumber      uint64        // added to the requests' numbers, so that the request IDs of two plans differ
	ZipfExponent     float64       // of the customers' popularity, above 1; 0 means that all are equally popular
	Plans            []Share       // the customers' plans
	Kinds            []RequestKind
	MaxLag           time.Duration // a run whose 99th percentile of the sending lag exceeds it is invalid
}

// Share is a name with its weight relative to those of others.
type Share struct {
	Name   string
	Weight float64
}

// RequestKind is one kind of request. In Path, Headers and Body, {id}, {customer}, {plan}, {key} and {timeout} are
// replaced by the request's values.
type RequestKind struct {
	Name           string
	Weight         float64
	GRPC           bool // Path is a method such as /shop.Desk/Pay, and Headers are metadata
	Method         string
	Path           string
	Headers        []Header
	Body           string
	RepeatKeyShare float64 // share of requests that have the idempotency key of an earlier one
}

// Header is one header field of a request.
type Header struct{ Name, Value string }

// Request is one generated request.
type Request struct {
	At                 time.Duration // when it is due, from the start of the run
	Number             uint64        // position in the run, counted from Plan.FirstNumber + 1
	Kind               int           // index in Plan.Kinds
	Customer           int
	Plan               string
	Key                uint64 // idempotency key
	FollowsRetryAfter  bool   // see Plan.FollowRetryAfter
	RetriesImmediately bool   // see Plan.RetryImmediately
}

// expand replaces the placeholders in a text by a request's values.
func expand(text string, r *Request, try int, timeout time.Duration) string {
	if !strings.Contains(text, "{") {
		return text
	}
	return strings.NewReplacer(
		"{id}", requestID(r, try),
		"{customer}", fmt.Sprintf("%016x", r.Customer),
		"{plan}", r.Plan,
		"{key}", fmt.Sprintf("%016x", r.Key),
		"{timeout}", fmt.Sprintf("%.3f", timeout.Seconds())).Replace(text)
}

// requestID returns the ID of one try of a request. Each try has an ID of its own.
func requestID(r *Request, try int) string {
	return fmt.Sprintf("%016x", eventqueue.Mix(r.Number<<8|uint64(try)))
}

// platformHeaders returns the headers of requests of a class in the platform's protocol.
func platformHeaders(class string) []Header {
	return []Header{
		{"Request-Id", "{id}"}, {"Request-Class", class}, {"X-Tier", "{plan}"}, {"X-Api-Key", "{customer}"},
		{"Request-Timeout", "{timeout}"}, {"X-Call-Terms", "units=1,spread=1,first=0"}, {"Idempotency-Key", "{key}"},
	}
}

// Parse parses the file of a plan. If it is invalid, the error is a settings.Problems with all problems.
func Parse(text []byte) (*Plan, error) {
	d, err := settings.Parse(text)
	if err != nil {
		return nil, err
	}
	s := d.RootSection()
	p := parsePlan(s)
	if p.ZipfExponent > 0 && p.ZipfExponent <= 1 {
		s.Problemf("zipf", "%v is not above 1, and not 0 for equally popular customers", p.ZipfExponent)
	}
	for _, e := range s.List("plan") {
		p.Plans = append(p.Plans, Share{e.String("name", true), e.Float("share", 1, 0, 1e6)})
		e.RejectUnknownKeys()
	}
	if len(p.Plans) == 0 {
		p.Plans = []Share{{"everyone", 1}}
	}
	sum := 0.0
	for _, e := range s.List("request") {
		kind := parseKind(e)
		p.Kinds = append(p.Kinds, kind)
		sum += kind.Weight
	}
	if len(p.Kinds) == 0 || sum <= 0 {
		d.Problemf("", "request", "there is none with a share above 0; add [[request]] with a name and a path")
	}
	s.RejectUnknownKeys()
	if err := d.Err(); err != nil {
		return nil, err
	}
	return p, nil
}

// parsePlan reads the keys at the top level of the file.
func parsePlan(s *settings.Section) *Plan {
	return &Plan{
		Name:             s.String("name", true),
		Seed:             uint64(s.Int("seed", 1, 0, math.MaxInt)),
		Rate:             s.Float("rate", 100, 1e-3, 1e6),
		EvenArrivals:     s.OneOf("arrivals", "poisson", "poisson", "even") == 1,
		Duration:         s.Duration("duration", 10*time.Second, time.Millisecond, 24*time.Hour),
		MaxRequests:      s.Int("requests", 1_000_000, 1, 1e9),
		Connections:      s.Int("connections", 64, 1, 60_000),
		MaxOpen:          s.Int("open", 10_000, 1, 1_000_000),
		Timeout:          s.Duration("timeout", 10*time.Second, time.Millisecond, time.Hour),
		FollowRetryAfter: s.Float("follow", 0, 0, 1),
		RetryImmediately: s.Float("hasty", 0, 0, 1),
		MaxTries:         s.Int("tries", 3, 1, 100),
		Customers:        s.Int("customers", 100, 1, 1e9),
		ZipfExponent:     s.Float("zipf", 0, 0, 10),
		MaxLag:           s.Duration("most_lag", 10*time.Millisecond, time.Microsecond, time.Minute),
	}
}

// parseKind reads one [[request]] table.
func parseKind(e *settings.Section) RequestKind {
	k := RequestKind{
		Name:           e.String("name", true),
		Weight:         e.Float("share", 1, 0, 1e6),
		GRPC:           e.OneOf("protocol", "http", "http", "grpc") == 1,
		Path:           e.String("path", true),
		Body:           e.String("body", false),
		RepeatKeyShare: e.Float("repeat_key", 0, 0, 1),
		Method:         e.String("method", false),
	}
	if k.Method == "" && k.Body != "" {
		k.Method = http.MethodPost
	} else if k.Method == "" {
		k.Method = http.MethodGet
	}
	if k.Path != "" && !strings.HasPrefix(k.Path, "/") {
		e.Problemf("path", "%q does not begin with /", k.Path)
	}
	if k.GRPC && strings.Count(k.Path, "/") != 2 {
		e.Problemf("path", "%q is not a gRPC method such as /shop.Desk/Pay", k.Path)
	}
	if e.OneOf("dialect", "plain", "plain", "platform") == 1 {
		k.Headers = platformHeaders(k.Name)
		if k.Path == "/" {
			k.Path = "/" + k.Name
		}
	}
	for _, field := range e.Strings("headers") {
		name, value, ok := strings.Cut(field, ":")
		if !ok || strings.TrimSpace(name) == "" {
			e.Problemf("headers", "%q is not of the form NAME: VALUE", field)
		}
		k.Headers = append(k.Headers, Header{strings.TrimSpace(name), strings.TrimSpace(value)})
	}
	e.RejectUnknownKeys()
	return k
}

// Override replaces the rate and the duration of a plan. A rate of 0 and an empty duration replace nothing.
func (p *Plan) Override(rate float64, duration string) error {
	if rate != 0 {
		if !(rate >= 1e-3 && rate <= 1e6) {
			return fmt.Errorf("a rate of %v requests per second is not from 0.001 to 1e6", rate)
		}
		p.Rate = rate
	}
	if duration != "" {
		d, err := time.ParseDuration(duration)
		if err != nil {
			return err
		}
		if d < time.Millisecond || d > 24*time.Hour {
			return fmt.Errorf("a duration of %v is not from 1ms to 24h", d)
		}
		p.Duration = d
	}
	return nil
}
