// Package load sends requests to a gateway or a backend in open loop: the time of each request is drawn ahead, and its
// latency counts from that time, whatever became of the request before it. (A closed loop omits the requests that it
// can't send while it waits: coordinated omission.)
//
// It opens connections to one target, which must be on this machine unless its caller says otherwise. A run is bounded
// in time, requests and connections.
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

// Plan is the load of a run.
type Plan struct {
	Name             string
	Seed             uint64
	Rate             float64 // requests a second
	EvenArrivals     bool    // requests arrive at even intervals; otherwise as a Poisson process
	Duration         time.Duration
	MaxRequests      int           // the run ends after so many
	Connections      int           // open at once
	MaxOpen          int           // requests that wait for a connection or a response; one more is dropped
	Timeout          time.Duration // of a request with its retries, from when it is due
	FollowRetryAfter float64       // share of clients that retry a rejected request when the rejection says
	RetryImmediately float64       // share of clients that retry a rejected request at once instead
	MaxTries         int           // of a client that retries
	Customers        int
	FirstCustomer    int     // number of the first customer
	FirstNumber      uint64  // requests are numbered from here, so that the IDs of two plans differ
	ZipfExponent     float64 // of the customers' popularity, above 1; 0 means that all are equally popular
	Plans            []Share
	Kinds            []RequestKind
	MaxLag           time.Duration // a run whose 99th percentile of the sending lag exceeds it is invalid
}

// Share is a name with its weight among others.
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
	RepeatKeyShare float64 // share of requests with the idempotency key of an earlier one
}

// Header is one field of a request's head.
type Header struct{ Name, Value string }

// Request is one generated request.
type Request struct {
	At                 time.Duration // when it is due, from the start of the run
	Number             uint64
	Kind               int // index in Plan.Kinds
	Customer           int
	Plan               string
	Key                uint64
	FollowsRetryAfter  bool
	RetriesImmediately bool
}

// expand replaces the placeholders in a text by a request's values.
func expand(text string, r *Request, try int, timeout time.Duration) string {
	if !strings.Contains(text, "{") {
		return text
	}
	return strings.NewReplacer("{id}", requestID(r, try), "{customer}", fmt.Sprintf("%016x", r.Customer), "{plan}", r.Plan,
		"{key}", fmt.Sprintf("%016x", r.Key), "{timeout}", fmt.Sprintf("%.3f", timeout.Seconds())).Replace(text)
}

// requestID returns the ID of a try.
func requestID(r *Request, try int) string {
	return fmt.Sprintf("%016x", eventqueue.Mix(r.Number<<8|uint64(try)))
}

// platformHeaders returns the headers of a class's requests in the platform's protocol.
func platformHeaders(class string) []Header {
	return []Header{
		{"Request-Id", "{id}"}, {"Request-Class", class}, {"X-Tier", "{plan}"}, {"X-Api-Key", "{customer}"},
		{"Request-Timeout", "{timeout}"}, {"X-Call-Terms", "units=1,spread=1,first=0"}, {"Idempotency-Key", "{key}"},
	}
}

// Parse parses a plan's file. All problems are returned in one error, settings.Problems.
func Parse(text []byte) (*Plan, error) {
	d, err := settings.Parse(text)
	if err != nil {
		return nil, err
	}
	s := d.Top()
	p := parsePlan(s)
	if p.ZipfExponent > 0 && p.ZipfExponent <= 1 {
		s.Problemf("zipf", "%v is not above 1, nor 0 for customers that are alike", p.ZipfExponent)
	}
	for _, e := range s.List("plan") {
		p.Plans = append(p.Plans, Share{e.Text("name", true), e.Float("share", 1, 0, 1e6)})
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
		d.Problemf("", "request", "there is none with a share: [[request]] with a name and a path")
	}
	s.RejectUnknownKeys()
	if err := d.Err(); err != nil {
		return nil, err
	}
	return p, nil
}

// parsePlan reads the plan's own keys.
func parsePlan(s *settings.Section) *Plan {
	return &Plan{
		Name:             s.Text("name", true),
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

// parseKind reads one [[request]].
func parseKind(e *settings.Section) RequestKind {
	k := RequestKind{
		Name:           e.Text("name", true),
		Weight:         e.Float("share", 1, 0, 1e6),
		GRPC:           e.OneOf("protocol", "http", "http", "grpc") == 1,
		Path:           e.Text("path", true),
		Body:           e.Text("body", false),
		RepeatKeyShare: e.Float("repeat_key", 0, 0, 1),
		Method:         e.Text("method", false),
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
		e.Problemf("path", "%q is no method such as /shop.Desk/Pay", k.Path)
	}
	if e.OneOf("dialect", "plain", "plain", "platform") == 1 {
		k.Headers = platformHeaders(k.Name)
		if k.Path == "/" {
			k.Path = "/" + k.Name
		}
	}
	for _, field := range e.Texts("headers") {
		name, value, ok := strings.Cut(field, ":")
		if !ok || strings.TrimSpace(name) == "" {
			e.Problemf("headers", "%q is no NAME: VALUE", field)
		}
		k.Headers = append(k.Headers, Header{strings.TrimSpace(name), strings.TrimSpace(value)})
	}
	e.RejectUnknownKeys()
	return k
}

// Override replaces the rate and the duration of a plan, unless they are 0 or empty.
func (p *Plan) Override(rate float64, duration string) error {
	if rate != 0 {
		if !(rate >= 1e-3 && rate <= 1e6) {
			return fmt.Errorf("a rate of %v a second: 0.001 to 1e6", rate)
		}
		p.Rate = rate
	}
	if duration != "" {
		d, err := time.ParseDuration(duration)
		if err != nil {
			return err
		}
		if d < time.Millisecond || d > 24*time.Hour {
			return fmt.Errorf("a duration of %v: 1ms to 24h", d)
		}
		p.Duration = d
	}
	return nil
}
