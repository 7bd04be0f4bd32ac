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

// The policies, by their names in experiment files.
const (
	// PolicyEngine is the shipped decision engine.
	PolicyEngine = "module"
	// PolicyRoundRobin sends each request once, to the next ready backend.
	PolicyRoundRobin = "round-robin"
	// PolicyTwoChoices sends each attempt to the less loaded of two random backends, and retries
	// attempts that were not executed.
	PolicyTwoChoices = "two-choices"
	// PolicyBlindRetry sends each attempt to a random backend, and retries up to three times after
	// any result but success.
	PolicyBlindRetry = "blind"
	// PolicyRateLimit is PolicyRoundRobin with a limit on requests per second at each gateway.
	PolicyRateLimit = "limit"
)

// Policies are the names of all policies.
var Policies = []string{PolicyEngine, PolicyRoundRobin, PolicyTwoChoices, PolicyBlindRetry, PolicyRateLimit}

const (
	blindRetries = 3
	// rejectionRetryAfter is the Retry-After of requests that PolicyRateLimit rejects. It is limited
	// to Settings.MaxRetryAfter.
	rejectionRetryAfter = time.Second
)

func knownPolicy(policy string) bool { return slices.Contains(Policies, policy) }

// newPolicy returns the policy of one gateway.
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
		return nil, fmt.Errorf("unknown policy %q", config.Policy)
	}
	return policy, nil
}

// baseline implements the simple policies that the decision engine is compared with. It has the same
// events and actions as the engine.
type baseline struct {
	settings  decision.Settings
	deadlines map[string]time.Duration // by class
	rng       *rand.Rand
	ready     []decision.BackendID // sorted
	inFlight  map[decision.BackendID]int
	requests  map[decision.RequestID]*openRequest

	cursor int        // of round-robin
	pick   func() int // returns an index in ready, which is not empty
	retry  func(request *openRequest, result decision.Result) bool
	// attemptsPerDeadline is the number of attempts whose timeouts add up to the class's deadline; 0
	// means attempts without a timeout.
	attemptsPerDeadline int

	rate     float64 // requests per second; 0 means no limit
	tokens   float64
	tokensAt time.Duration
}

// openRequest is a request that has not ended.
type openRequest struct {
	attempts int
	timeout  time.Duration // of each attempt; 0 means none
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

// Handle implements lifecycle.DecisionEngine.
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
	if !p.takeToken(now) {
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

// takeToken takes a token from the rate limit's bucket, and reports whether there was one. Without a
// rate limit it returns true.
func (p *baseline) takeToken(now time.Duration) bool {
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

// updateBackends updates the list of ready backends.
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

// useRoundRobin makes the policy send each request once, to the ready backends in turn, starting with
// a random one.
func (p *baseline) useRoundRobin() {
	p.cursor = 1 + p.rng.IntN(1<<30)
	p.pick, p.retry = p.pickNext, func(*openRequest, decision.Result) bool { return false }
}

// neverExecuted reports whether a result proves that the attempt was not executed.
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
