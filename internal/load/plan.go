// Package load asks a door or a backend in open loop: when each request is asked is drawn ahead, and its latency counts from then, whatever
// the one before it did (a closed loop leaves out what it could not ask while it waited: coordinated omission). plan.go reads what to
// ask and draws it, run.go asks, http.go and grpc.go are the ways to ask, result.go what came of it.
//
// It opens connections to one target, and files that its caller names. A run is bounded in time, requests and connections.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"pumicecroft/internal/eventqueue"
	"pumicecroft/internal/settings"
)

// Plan is what is asked.
type Plan struct {
	Name             string
	Seed             uint64
	Rate             float64 // requests a second
	EvenArrivals     bool    // at even steps; else as a Poisson process
	Duration         time.Duration
	MaxRequests      int           // at the most
	Connections      int           // that are open at once
	MaxOpen          int           // requests that wait at once, for a connection or an answer; one more counts as lost
	Timeout          time.Duration // of a request, from when it should have been asked
	FollowRetryAfter float64       // the share of clients that come back when a refusal says; others do not
	RetryImmediately float64       // the share that comes back at once, whatever a refusal says; they are not among those that follow it
	MaxTries         int           // of a client that comes back
	Customers        int
	FirstCustomer    int     // the number of the first customer
	FirstNumber      uint64  // that requests are numbered from, so that two plans' ids differ
	ZipfExponent     float64 // exponent of their popularity, above 1; 0: all alike
	Plans            []Share
	Kinds            []RequestKind
	MaxLag           time.Duration // the 99th percentile of how late requests are asked, over which the run is not valid
}

// Weight is how much of something there is.
type Share struct {
	Name   string
	Weight float64
}

// Kind is one kind of request. In Path, Headers and Body, {id}, {customer}, {plan}, {key} and {timeout} are filled in.
type RequestKind struct {
	Name           string
	Weight         float64
	GRPC           bool // Path is a method such as /shop.Desk/Pay, Headers are metadata
	Method         string
	Path           string
	Headers        []Header
	Body           string
	RepeatKeyShare float64 // the share that asks again with the key of an earlier one
}

// Header is one field.
type Header struct{ Name, Value string }

// Shot is one request as it was drawn.
type Request struct {
	At                 time.Duration // from the run's start
	Number             uint64
	Kind               int
	Customer           int
	Plan               string
	Key                uint64
	FollowsRetryAfter  bool // its client follows advice
	RetriesImmediately bool // its client comes back at once
}

const (
	streamArrivals uint64 = iota + 1
	streamRequests
	streamRun
)

// repeatWithin is how many earlier ones a repeated key is drawn from.
const maxRecentKeys = 1000

// Drawer draws a plan's shots, one after another. The same plan gives the same shots.
type Generator struct {
	plan     *Plan
	times    *rand.Rand
	requests *rand.Rand
	zipf     *rand.Zipf
	plans    eventqueue.WeightedPicker
	kinds    eventqueue.WeightedPicker
	at       time.Duration
	number   uint64
	recent   [][]uint64 // keys, by kind
}

// NewDrawer begins to draw.
func NewGenerator(p *Plan) *Generator {
	d := &Generator{plan: p, times: eventqueue.NewRand(p.Seed, streamArrivals), requests: eventqueue.NewRand(p.Seed, streamRequests), recent: make([][]uint64, len(p.Kinds))}
	var plans, kinds []float64
	for _, v := range p.Plans {
		plans = append(plans, v.Weight)
	}
	for _, k := range p.Kinds {
		kinds = append(kinds, k.Weight)
	}
	d.plans, d.kinds = eventqueue.NewWeightedPicker(plans...), eventqueue.NewWeightedPicker(kinds...)
	if p.ZipfExponent > 0 && p.Customers > 1 {
		d.zipf = rand.NewZipf(d.requests, p.ZipfExponent, 1, uint64(p.Customers-1))
	}
	return d
}

// Next is the next shot, if the plan has one more.
func (d *Generator) Next() (Request, bool) {
	p := d.plan
	step := 1 / p.Rate
	if !p.EvenArrivals {
		step *= d.times.ExpFloat64()
	}
	d.at += time.Duration(step * float64(time.Second))
	if d.at >= p.Duration || d.number >= uint64(p.MaxRequests) {
		return Request{}, false
	}
	d.number++
	s := Request{At: d.at, Number: p.FirstNumber + d.number, Plan: p.Plans[d.plans.Pick(d.requests.Float64())].Name,
		Kind: d.kinds.Pick(d.requests.Float64()), FollowsRetryAfter: d.requests.Float64() < p.FollowRetryAfter}
	if p.RetryImmediately > 0 {
		s.RetriesImmediately = d.requests.Float64() < p.RetryImmediately
		s.FollowsRetryAfter = s.FollowsRetryAfter && !s.RetriesImmediately
	}
	if d.zipf != nil {
		s.Customer = int(d.zipf.Uint64())
	} else {
		s.Customer = d.requests.IntN(p.Customers)
	}
	s.Customer += p.FirstCustomer
	s.Key = eventqueue.Mix(p.Seed ^ s.Number)
	if keys := d.recent[s.Kind]; len(keys) > 0 && d.requests.Float64() < p.Kinds[s.Kind].RepeatKeyShare {
		s.Key = keys[d.requests.IntN(len(keys))]
		return s, true
	}
	if p.Kinds[s.Kind].RepeatKeyShare > 0 {
		if d.recent[s.Kind] = append(d.recent[s.Kind], s.Key); len(d.recent[s.Kind]) > maxRecentKeys {
			d.recent[s.Kind] = d.recent[s.Kind][1:]
		}
	}
	return s, true
}

// fill puts a shot's values into a text.
func expand(text string, s *Request, try int, timeout time.Duration) string {
	if !strings.Contains(text, "{") {
		return text
	}
	return strings.NewReplacer("{id}", requestID(s, try), "{customer}", fmt.Sprintf("%016x", s.Customer), "{plan}", s.Plan,
		"{key}", fmt.Sprintf("%016x", s.Key), "{timeout}", fmt.Sprintf("%.3f", timeout.Seconds())).Replace(text)
}

// id names a try.
func requestID(s *Request, try int) string {
	return fmt.Sprintf("%016x", eventqueue.Mix(s.Number<<8|uint64(try)))
}

// platform are the fields of the platform's dialect.
func platformHeaders(class string) []Header {
	return []Header{{"Request-Id", "{id}"}, {"Request-Class", class}, {"X-Tier", "{plan}"}, {"X-Api-Key", "{customer}"}, {"Request-Timeout", "{timeout}"},
		{"X-Call-Terms", "units=1,spread=1,first=0"}, {"Idempotency-Key", "{key}"}}
}

// Parse reads a plan's file; all that is wrong comes in one error, settings.Problems.
func Parse(text []byte) (*Plan, error) {
	d, err := settings.Parse(text)
	if err != nil {
		return nil, err
	}
	s := d.Top()
	p := &Plan{Name: s.Text("name", true), Seed: uint64(s.Int("seed", 1, 0, math.MaxInt)), Rate: s.Float("rate", 100, 1e-3, 1e6), EvenArrivals: s.OneOf("arrivals", "poisson", "poisson", "even") == 1,
		Duration: s.Duration("duration", 10*time.Second, time.Millisecond, 24*time.Hour), MaxRequests: s.Int("requests", 1_000_000, 1, 1e9), Connections: s.Int("connections", 64, 1, 60_000),
		MaxOpen: s.Int("open", 10_000, 1, 1_000_000), Timeout: s.Duration("timeout", 10*time.Second, time.Millisecond, time.Hour), FollowRetryAfter: s.Float("follow", 0, 0, 1), RetryImmediately: s.Float("hasty", 0, 0, 1),
		MaxTries: s.Int("tries", 3, 1, 100), Customers: s.Int("customers", 100, 1, 1e9), ZipfExponent: s.Float("zipf", 0, 0, 10), MaxLag: s.Duration("most_lag", 10*time.Millisecond, time.Microsecond, time.Minute)}
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
	for _, e := range s.List("request") {
		p.Kinds = append(p.Kinds, parseKind(e))
	}
	sum := 0.0
	for _, k := range p.Kinds {
		sum += k.Weight
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

func parseKind(e *settings.Section) RequestKind {
	k := RequestKind{Name: e.Text("name", true), Weight: e.Float("share", 1, 0, 1e6), GRPC: e.OneOf("protocol", "http", "http", "grpc") == 1, Path: e.Text("path", true),
		Body: e.Text("body", false), RepeatKeyShare: e.Float("repeat_key", 0, 0, 1)}
	usual := http.MethodGet
	if k.Body != "" {
		usual = http.MethodPost
	}
	if k.Method = e.Text("method", false); k.Method == "" {
		k.Method = usual
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
	for _, f := range e.Texts("headers") {
		name, value, ok := strings.Cut(f, ":")
		if !ok || strings.TrimSpace(name) == "" {
			e.Problemf("headers", "%q is no NAME: VALUE", f)
		}
		k.Headers = append(k.Headers, Header{strings.TrimSpace(name), strings.TrimSpace(value)})
	}
	e.RejectUnknownKeys()
	return k
}

// Change puts another rate and duration into a plan; 0 and empty leave the plan's.
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
