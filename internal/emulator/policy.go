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

// The policies, by their names in files.
const (
	// PolicyEngine is the decision engine that ships.
	PolicyEngine = "module"
	// PolicyRoundRobin sends each request once, to the next ready backend.
	PolicyRoundRobin = "round-robin"
	// PolicyTwoChoices sends to the less loaded of two random backends, and retries what was not
	// executed.
	PolicyTwoChoices = "two-choices"
	// PolicyBlindRetry sends to random backends, with up to three retries of whatever did not
	// succeed.
	PolicyBlindRetry = "blind"
	// PolicyRateLimit is PolicyRoundRobin under a limit on requests a second at each gateway.
	PolicyRateLimit = "limit"
)

// Policies are the names of all policies.
var Policies = []string{PolicyEngine, PolicyRoundRobin, PolicyTwoChoices, PolicyBlindRetry, PolicyRateLimit}

const (
	blindRetries = 3
	// rejectionRetryAfter is what PolicyRateLimit tells clients to wait, within
	// Settings.MaxRetryAfter.
	rejectionRetryAfter = time.Second
)

func knownPolicy(policy string) bool { return slices.Contains(Policies, policy) }

// newPolicy makes what decides at one gateway.
func newPolicy(config *Config, settings decision.Settings, seed uint64,
	now time.Duration,
) (lifecycle.DecisionEngine, error) {
	policy := newBaseline(settings, eventqueue.NewRand(seed, purposePolicy))
	switch config.Policy {
	case PolicyEngine:
		return decision.New(settings, seed, now)
	case PolicyRoundRobin:
		policy.useRoundRobin()
	case PolicyTwoChoices:
		policy.pick = policy.pickLessLoaded
		policy.retry = func(request *openRequest, result decision.Result) bool {
			return request.attempts < settings.MaxAttempts && neverExecuted(result)
		}
	case PolicyBlindRetry:
		policy.pick = func() int { return policy.rng.IntN(len(policy.ready)) }
		policy.retry = func(request *openRequest, _ decision.Result) bool { return request.attempts <= blindRetries }
		policy.attemptsPerDeadline = blindRetries + 1
	case PolicyRateLimit:
		policy.useRoundRobin()
		policy.rate = config.RateLimit / float64(config.Gateways)
		policy.tokens, policy.tokensAt = max(1, policy.rate), now
	default:
		return nil, fmt.Errorf("there is no policy %q", config.Policy)
	}
	return policy, nil
}

// baseline is what the decision engine is compared with: simple ways to select and to retry, by the
// same events and actions.
type baseline struct {
	settings  decision.Settings
	deadlines map[string]time.Duration // by class
	rng       *rand.Rand
	ready     []decision.BackendID // in the order of their ids
	inFlight  map[decision.BackendID]int
	requests  map[decision.RequestID]*openRequest

	cursor int        // of round-robin
	pick   func() int // gives an index in ready, which is not empty
	retry  func(request *openRequest, result decision.Result) bool
	// attemptsPerDeadline divides the deadline into the attempts' timeouts; 0: they have no
	// timeout.
	attemptsPerDeadline int

	rate     float64 // requests a second; 0: there is no limit
	tokens   float64
	tokensAt time.Duration
}

// openRequest is a request that has no end yet.
type openRequest struct {
	attempts int
	timeout  time.Duration // of each attempt; 0: none
	deadline time.Duration
}

func newBaseline(settings decision.Settings, rng *rand.Rand) *baseline {
	p := &baseline{
		settings: settings, rng: rng, deadlines: map[string]time.Duration{},
		inFlight: map[decision.BackendID]int{}, requests: map[decision.RequestID]*openRequest{},
	}
	for _, class := range settings.Classes {
		p.deadlines[class.Name] = class.Deadline
	}
	return p
}

// Handle handles an event as a lifecycle.DecisionEngine does.
func (p *baseline) Handle(now time.Duration, event decision.Event, actions []decision.Action) []decision.Action {
	switch event := event.(type) {
	case decision.EndpointUpdate:
		p.updateBackends(event)
	case decision.Request:
		return p.onRequest(now, &event, actions)
	case decision.Outcome:
		return p.onOutcome(now, &event, actions)
	case decision.ClientDisconnected:
		delete(p.requests, event.Request)
	}
	return actions
}

func (p *baseline) onRequest(now time.Duration, event *decision.Request, actions []decision.Action) []decision.Action {
	if !p.withinRate(now) {
		retryAfter := min(rejectionRetryAfter, p.settings.MaxRetryAfter)
		return append(actions, decision.Reject{Request: event.ID, RetryAfter: retryAfter, Reason: decision.Overloaded})
	}
	if len(p.ready) == 0 {
		return append(actions, decision.Reject{Request: event.ID, Reason: decision.NoBackend})
	}
	request := &openRequest{deadline: now + event.Timeout}
	if p.attemptsPerDeadline > 0 {
		request.timeout = p.deadlines[event.Class] / time.Duration(p.attemptsPerDeadline)
	}
	p.requests[event.ID] = request
	return p.startAttempt(event.ID, request, actions)
}

// withinRate takes a token of the rate limit, if there is one.
func (p *baseline) withinRate(now time.Duration) bool {
	if p.rate <= 0 {
		return true
	}
	p.tokens = min(max(1, p.rate), p.tokens+p.rate*(now-p.tokensAt).Seconds())
	p.tokensAt = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

func (p *baseline) onOutcome(now time.Duration, event *decision.Outcome, actions []decision.Action) []decision.Action {
	p.addInFlight(event.Backend, -1)
	request := p.requests[event.Request]
	switch {
	case request == nil:
		return actions
	case event.Final:
		delete(p.requests, event.Request)
		return actions
	case len(p.ready) > 0 && now < request.deadline && p.retry(request, event.Result):
		return p.startAttempt(event.Request, request, actions)
	}
	delete(p.requests, event.Request)
	if neverExecuted(event.Result) {
		return append(actions, decision.Reject{Request: event.Request, Reason: decision.Unprocessed})
	}
	return append(actions, decision.Fail{Request: event.Request})
}

func (p *baseline) startAttempt(id decision.RequestID, request *openRequest,
	actions []decision.Action,
) []decision.Action {
	request.attempts++
	backend := p.ready[p.pick()]
	p.addInFlight(backend, 1)
	return append(actions, decision.StartAttempt{Request: id, Backend: backend, Timeout: request.timeout})
}

// updateBackends keeps the backends that are ready.
func (p *baseline) updateBackends(update decision.EndpointUpdate) {
	if update.Kind != decision.UpdateDelta {
		p.ready = nil
	}
	for i := range update.Endpoints {
		endpoint := &update.Endpoints[i]
		at, listed := slices.BinarySearch(p.ready, endpoint.ID)
		switch ready := endpoint.State == decision.Ready; {
		case ready && !listed:
			p.ready = slices.Insert(p.ready, at, endpoint.ID)
		case !ready && listed:
			p.ready = slices.Delete(p.ready, at, at+1)
		}
	}
}

func (p *baseline) addInFlight(backend decision.BackendID, change int) {
	if p.inFlight[backend] += change; p.inFlight[backend] == 0 {
		delete(p.inFlight, backend)
	}
}

// useRoundRobin has each request sent once, to the backend after the last one's. Each gateway
// begins at a random one.
func (p *baseline) useRoundRobin() {
	p.cursor = 1 + p.rng.IntN(1<<30)
	p.pick, p.retry = p.pickNext, func(*openRequest, decision.Result) bool { return false }
}

// neverExecuted tells whether a result proves that the attempt was not executed.
func neverExecuted(result decision.Result) bool {
	return result == decision.Rejected || result == decision.ConnectFailed || result == decision.NotSent
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
