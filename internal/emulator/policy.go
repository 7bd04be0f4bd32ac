package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/eventqueue"
	"pumicecroft/internal/lifecycle"
)

// The policies.
const (
	PolicyEngine     = "module"      // the decision module that ships
	PolicyRoundRobin = "round-robin" // the next ready backend, once
	PolicyTwoChoices = "two-choices" // of two by chance the one with less out; again where it provably did not run
	PolicyBlindRetry = "blind"       // any by chance, with three further attempts whatever came of the first, a quarter of the time each
	PolicyRateLimit  = "limit"       // round-robin under a limit on requests a second at each door
)

// Policies are all of them.
var Policies = []string{PolicyEngine, PolicyRoundRobin, PolicyTwoChoices, PolicyBlindRetry, PolicyRateLimit}

func knownPolicy(policy string) bool { return slices.Contains(Policies, policy) }

// newPolicy makes what decides at one door.
func newPolicy(c *Config, set decision.Settings, seed uint64, now time.Duration) (lifecycle.DecisionEngine, error) {
	p := &baseline{settings: set, rng: eventqueue.NewRand(seed, purposePolicy), inFlight: map[decision.BackendID]int{}, requests: map[decision.RequestID]*openRequest{}, deadlines: map[string]time.Duration{}}
	for _, k := range set.Classes {
		p.deadlines[k.Name] = k.Deadline
	}
	switch c.Policy {
	case PolicyEngine:
		return decision.New(set, seed, now)
	case PolicyRoundRobin:
		p.useRoundRobin()
	case PolicyTwoChoices:
		p.pick = p.pickLessLoaded
		p.retry = func(a *openRequest, r decision.Result) bool {
			return a.attempts < set.MaxAttempts && neverRan(r)
		}
	case PolicyBlindRetry:
		p.pick = func() int { return p.rng.IntN(len(p.ready)) }
		p.retry = func(a *openRequest, _ decision.Result) bool { return a.attempts <= 3 }
		p.deadlineParts = 4
	case PolicyRateLimit:
		p.useRoundRobin()
		p.rate = c.RateLimit / float64(c.Gateways)
		p.tokens, p.tokensAt = max(1, p.rate), now
	default:
		return nil, fmt.Errorf("there is no policy %q", c.Policy)
	}
	return p, nil
}

// baseline is what the decision module is compared with: simple ways to choose and to try again, by the same events and actions.
type baseline struct {
	settings      decision.Settings
	rng           *rand.Rand
	ready         []decision.BackendID
	inFlight      map[decision.BackendID]int
	requests      map[decision.RequestID]*openRequest
	deadlines     map[string]time.Duration
	cursor        int
	pick          func() int // of those that are ready
	retry         func(a *openRequest, r decision.Result) bool
	deadlineParts int     // of the deadline, for each attempt; 0: it has all of it
	rate          float64 // requests a second; 0: no limit
	tokens        float64
	tokensAt      time.Duration
}

// openRequest is a request that is open.
type openRequest struct {
	attempts int
	timeout  time.Duration
	deadline time.Duration
}

// Handle is core.Decider's.
func (p *baseline) Handle(now time.Duration, ev decision.Event, actions []decision.Action) []decision.Action {
	switch ev := ev.(type) {
	case decision.EndpointUpdate:
		p.updateBackends(ev)
	case decision.Request:
		if p.rate > 0 {
			p.tokens = min(max(1, p.rate), p.tokens+p.rate*(now-p.tokensAt).Seconds())
			if p.tokensAt = now; p.tokens < 1 {
				return append(actions, decision.Reject{Request: ev.ID, RetryAfter: min(time.Second, p.settings.MaxRetryAfter), Reason: decision.Overloaded})
			}
			p.tokens--
		}
		if len(p.ready) == 0 {
			return append(actions, decision.Reject{Request: ev.ID, Reason: decision.NoBackend})
		}
		a := &openRequest{deadline: now + ev.Timeout}
		if p.deadlineParts > 0 {
			a.timeout = p.deadlines[ev.Class] / time.Duration(p.deadlineParts)
		}
		p.requests[ev.ID] = a
		return p.startAttempt(ev.ID, a, actions)
	case decision.Outcome:
		p.addInFlight(ev.Backend, -1)
		a := p.requests[ev.Request]
		switch {
		case a == nil:
		case ev.Final:
			delete(p.requests, ev.Request)
		case len(p.ready) > 0 && now < a.deadline && p.retry(a, ev.Result):
			return p.startAttempt(ev.Request, a, actions)
		default:
			delete(p.requests, ev.Request)
			if neverRan(ev.Result) {
				return append(actions, decision.Reject{Request: ev.Request, Reason: decision.Unprocessed})
			}
			return append(actions, decision.Fail{Request: ev.Request})
		}
	case decision.ClientDisconnected:
		delete(p.requests, ev.Request)
	}
	return actions
}

func (p *baseline) startAttempt(id decision.RequestID, a *openRequest, actions []decision.Action) []decision.Action {
	a.attempts++
	b := p.ready[p.pick()]
	p.addInFlight(b, 1)
	return append(actions, decision.StartAttempt{Request: id, Backend: b, Timeout: a.timeout})
}

// updateBackends keeps the backends that are ready, in the order of their ids.
func (p *baseline) updateBackends(list decision.EndpointUpdate) {
	if list.Kind != decision.UpdateDelta {
		p.ready = nil
	}
	for _, b := range list.Endpoints {
		i, there := slices.BinarySearch(p.ready, b.ID)
		switch ready := b.State == decision.Ready; {
		case ready && !there:
			p.ready = slices.Insert(p.ready, i, b.ID)
		case !ready && there:
			p.ready = slices.Delete(p.ready, i, i+1)
		}
	}
}

func (p *baseline) addInFlight(b decision.BackendID, by int) {
	if p.inFlight[b] += by; p.inFlight[b] == 0 {
		delete(p.inFlight, b)
	}
}

// useRoundRobin has each request go once, to the backend after the last one's; each door begins somewhere else.
func (p *baseline) useRoundRobin() {
	p.cursor = 1 + p.rng.IntN(1<<30)
	p.pick, p.retry = p.pickNext, func(*openRequest, decision.Result) bool { return false }
}

// neverRan tells whether a result proves that the attempt never ran.
func neverRan(r decision.Result) bool {
	return r == decision.Rejected || r == decision.ConnectFailed || r == decision.NotSent
}

func (p *baseline) pickNext() int {
	p.cursor++
	return p.cursor % len(p.ready)
}

func (p *baseline) pickLessLoaded() int {
	i, j := p.rng.IntN(len(p.ready)), p.rng.IntN(len(p.ready))
	if p.inFlight[p.ready[j]] < p.inFlight[p.ready[i]] {
		return j
	}
	return i
}
