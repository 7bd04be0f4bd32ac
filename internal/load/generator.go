package load

import (
	"math/rand/v2"
	"time"

	"pumicecroft/internal/eventqueue"
)

// Independent streams of random numbers: the arrival times don't depend on how many numbers are drawn for the requests.
const (
	streamArrivals uint64 = iota + 1
	streamRequests
)

// maxRecentKeys is the number of recent idempotency keys per kind of request that may be repeated.
const maxRecentKeys = 1000

// Generator generates a plan's requests, in order of time. The same plan gives the same requests.
type Generator struct {
	plan     *Plan
	times    *rand.Rand // for the times between requests
	requests *rand.Rand // for all other properties of requests
	zipf     *rand.Zipf // picks customers; nil if all are equally popular
	plans    eventqueue.WeightedPicker
	kinds    eventqueue.WeightedPicker
	at       time.Duration // when the last request is due
	number   uint64        // requests generated so far
	recent   [][]uint64    // recent idempotency keys, by kind
}

// NewGenerator returns a generator that starts with a plan's first request.
func NewGenerator(p *Plan) *Generator {
	g := &Generator{
		plan:     p,
		times:    eventqueue.NewRand(p.Seed, streamArrivals),
		requests: eventqueue.NewRand(p.Seed, streamRequests),
		recent:   make([][]uint64, len(p.Kinds)),
	}
	var plans, kinds []float64
	for _, plan := range p.Plans {
		plans = append(plans, plan.Weight)
	}
	for _, kind := range p.Kinds {
		kinds = append(kinds, kind.Weight)
	}
	g.plans, g.kinds = eventqueue.NewWeightedPicker(plans...), eventqueue.NewWeightedPicker(kinds...)
	if p.ZipfExponent > 0 && p.Customers > 1 {
		g.zipf = rand.NewZipf(g.requests, p.ZipfExponent, 1, uint64(p.Customers-1))
	}
	return g
}

// Next returns the next request, or false after the last one.
func (g *Generator) Next() (Request, bool) {
	p := g.plan
	step := 1 / p.Rate
	if !p.EvenArrivals {
		step *= g.times.ExpFloat64()
	}
	g.at += time.Duration(step * float64(time.Second))
	if g.at >= p.Duration || g.number >= uint64(p.MaxRequests) {
		return Request{}, false
	}
	g.number++
	r := Request{
		At: g.at, Number: p.FirstNumber + g.number, Plan: p.Plans[g.plans.Pick(g.requests.Float64())].Name,
		Kind: g.kinds.Pick(g.requests.Float64()), FollowsRetryAfter: g.requests.Float64() < p.FollowRetryAfter,
	}
	if p.RetryImmediately > 0 {
		r.RetriesImmediately = g.requests.Float64() < p.RetryImmediately
		r.FollowsRetryAfter = r.FollowsRetryAfter && !r.RetriesImmediately
	}
	if g.zipf != nil {
		r.Customer = int(g.zipf.Uint64())
	} else {
		r.Customer = g.requests.IntN(p.Customers)
	}
	r.Customer += p.FirstCustomer
	r.Key = g.pickKey(&r)
	return r, true
}

// pickKey returns the idempotency key of a request: a new one, or that of a recent request of its kind.
func (g *Generator) pickKey(r *Request) uint64 {
	repeatShare := g.plan.Kinds[r.Kind].RepeatKeyShare
	recent := g.recent[r.Kind]
	if len(recent) > 0 && g.requests.Float64() < repeatShare {
		return recent[g.requests.IntN(len(recent))]
	}
	key := eventqueue.Mix(g.plan.Seed ^ r.Number)
	if repeatShare > 0 {
		if recent = append(recent, key); len(recent) > maxRecentKeys {
			recent = recent[1:]
		}
		g.recent[r.Kind] = recent
	}
	return key
}
