package region

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/core"
	"pumicecroft/internal/virtual"
)

// The policies.
const (
	PolicyModule = "module"      // the decision module that ships
	PolicyRound  = "round-robin" // the next ready backend, once
	PolicyTwo    = "two-choices" // of two by chance the one with less out; again where it provably did not run
	PolicyBlind  = "blind"       // any by chance, with three further attempts whatever came of the first, a quarter of the time each
	PolicyLimit  = "limit"       // round-robin under a limit on requests a second at each door
)

// Policies are all of them.
var Policies = []string{PolicyModule, PolicyRound, PolicyTwo, PolicyBlind, PolicyLimit}

func known(policy string) bool { return slices.Contains(Policies, policy) }

// newPolicy makes what decides at one door.
func newPolicy(c *Config, set decision.Settings, seed uint64, now time.Duration) (core.Decider, error) {
	p := &plain{set: set, rng: virtual.Chance(seed, forPolicy), out: map[decision.BackendID]int{}, open: map[decision.RequestID]*asking{}, deadlines: map[string]time.Duration{}}
	for _, k := range set.Classes {
		p.deadlines[k.Name] = k.Deadline
	}
	switch c.Policy {
	case PolicyModule:
		return decision.New(set, seed, now)
	case PolicyRound:
		p.inTurn()
	case PolicyTwo:
		p.pick = p.lessOfTwo
		p.again = func(a *asking, r decision.Result) bool {
			return a.tries < set.MaxAttempts && unrun(r)
		}
	case PolicyBlind:
		p.pick = func() int { return p.rng.IntN(len(p.ready)) }
		p.again = func(a *asking, r decision.Result) bool { return a.tries <= 3 }
		p.parts = 4
	case PolicyLimit:
		p.inTurn()
		p.rate = c.Ceiling / float64(c.Doors)
		p.tokens, p.at = max(1, p.rate), now
	default:
		return nil, fmt.Errorf("there is no policy %q", c.Policy)
	}
	return p, nil
}

// plain is what the decision module is compared with: simple ways to choose and to try again, by the same events and actions.
type plain struct {
	set       decision.Settings
	rng       *rand.Rand
	ready     []decision.BackendID
	out       map[decision.BackendID]int
	open      map[decision.RequestID]*asking
	deadlines map[string]time.Duration
	turn      int
	pick      func() int // of those that are ready
	again     func(a *asking, r decision.Result) bool
	parts     int     // of the deadline, for each attempt; 0: it has all of it
	rate      float64 // requests a second; 0: no limit
	tokens    float64
	at        time.Duration
}

// asking is a request that is open.
type asking struct {
	tries   int
	timeout time.Duration
	due     time.Duration
}

// Handle is core.Decider's.
func (p *plain) Handle(now time.Duration, ev decision.Event, actions []decision.Action) []decision.Action {
	switch ev := ev.(type) {
	case decision.BackendList:
		p.hear(ev)
	case decision.Request:
		if p.rate > 0 {
			p.tokens = min(max(1, p.rate), p.tokens+p.rate*(now-p.at).Seconds())
			if p.at = now; p.tokens < 1 {
				return append(actions, decision.Refuse{Request: ev.ID, RetryAfter: min(time.Second, p.set.MaxRetryAfter), Why: decision.NoRoom})
			}
			p.tokens--
		}
		if len(p.ready) == 0 {
			return append(actions, decision.Refuse{Request: ev.ID, Why: decision.NoBackend})
		}
		a := &asking{due: now + ev.Patience}
		if p.parts > 0 {
			a.timeout = p.deadlines[ev.Class] / time.Duration(p.parts)
		}
		p.open[ev.ID] = a
		return p.send(ev.ID, a, actions)
	case decision.Outcome:
		p.count(ev.Backend, -1)
		a := p.open[ev.Request]
		switch {
		case a == nil:
		case ev.Final:
			delete(p.open, ev.Request)
		case len(p.ready) > 0 && now < a.due && p.again(a, ev.Result):
			return p.send(ev.Request, a, actions)
		default:
			delete(p.open, ev.Request)
			if unrun(ev.Result) {
				return append(actions, decision.Refuse{Request: ev.Request, Why: decision.Untaken})
			}
			return append(actions, decision.Fail{Request: ev.Request})
		}
	case decision.ClientGone:
		delete(p.open, ev.Request)
	}
	return actions
}

func (p *plain) send(id decision.RequestID, a *asking, actions []decision.Action) []decision.Action {
	a.tries++
	b := p.ready[p.pick()]
	p.count(b, 1)
	return append(actions, decision.Send{Request: id, Backend: b, Timeout: a.timeout})
}

// hear keeps the backends that are ready, in the order of their ids.
func (p *plain) hear(list decision.BackendList) {
	if list.Kind != decision.ListChanges {
		p.ready = nil
	}
	for _, b := range list.Backends {
		i, there := slices.BinarySearch(p.ready, b.ID)
		switch ready := b.State == decision.Ready; {
		case ready && !there:
			p.ready = slices.Insert(p.ready, i, b.ID)
		case !ready && there:
			p.ready = slices.Delete(p.ready, i, i+1)
		}
	}
}

func (p *plain) count(b decision.BackendID, by int) {
	if p.out[b] += by; p.out[b] == 0 {
		delete(p.out, b)
	}
}

// inTurn has each request go once, to the backend after the last one's; each door begins somewhere else.
func (p *plain) inTurn() {
	p.turn = 1 + p.rng.IntN(1<<30)
	p.pick, p.again = p.next, func(*asking, decision.Result) bool { return false }
}

// unrun tells whether a result proves that the attempt never ran.
func unrun(r decision.Result) bool {
	return r == decision.Refused || r == decision.NoConnection || r == decision.NotSent
}

func (p *plain) next() int {
	p.turn++
	return p.turn % len(p.ready)
}

func (p *plain) lessOfTwo() int {
	i, j := p.rng.IntN(len(p.ready)), p.rng.IntN(len(p.ready))
	if p.out[p.ready[j]] < p.out[p.ready[i]] {
		return j
	}
	return i
}
