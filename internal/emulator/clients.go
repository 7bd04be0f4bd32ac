package emulator

import (
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/eventqueue"
	"pumicecroft/internal/lifecycle"
)

// call is one call of a client, over all its tries. Each try is a request at a gateway, which makes
// attempts of it at backends.
type call struct {
	number    uint64
	startedAt time.Duration
	customer  int32
	class     uint8
	cost      float32
}

const (
	// maxTryNumber is the largest number of a try: a request ID has 7 bits for it.
	maxTryNumber = 127
	// stormBackoff is the longest wait before a retry during a retry storm.
	stormBackoff = 50 * time.Millisecond
	// maxBackoffDoublings limits the exponential backoff.
	maxBackoffDoublings = 20
)

// requestID returns the request ID of a client's try.
func requestID(call *call, try uint8) decision.RequestID {
	return decision.RequestID(call.number<<7 | uint64(try))
}

// scheduleArrival schedules the next call of an arrival stream, if it has one.
func (s *shard) scheduleArrival(stream *arrivalStream) {
	if next, ok := stream.next(); ok {
		s.schedule(next.startedAt, message{kind: msgArrival, call: next, stream: stream})
	}
}

// sendTry sends a client's try to a random one of its customer's gateways.
func (s *shard) sendTry(call *call, try uint8, at time.Duration) {
	r := s.region
	first, spread := r.gatewaysOf(call.customer)
	draw := eventqueue.RandFloat64(r.seed, purposeClient, call.number, uint64(try))
	g := r.gateways[(first+int(draw*float64(spread)))%r.config.Gateways]
	arrival := at + r.delay(call.number, uint64(try))
	s.send(g.shard, arrival, message{kind: msgRequest, gateway: g.number, call: *call, tryNumber: try})
}

// gatewaysOf returns the gateways that a customer uses: spread of them with consecutive numbers,
// which wrap around.
func (r *Region) gatewaysOf(customer int32) (first, spread int) {
	first = int(eventqueue.Mix(uint64(customer)+r.seed) % uint64(r.config.Gateways))
	return first, min(r.config.Clients.GatewaySpread, r.config.Gateways)
}

// customerPlan returns a customer's plan.
func (r *Region) customerPlan(customer int32) *decision.Plan {
	if r.planOf == nil {
		return &r.config.Settings.Plans[r.config.planIndex[0]]
	}
	return &r.config.Settings.Plans[r.planOf[customer]]
}

// finishTry ends a try. The client counts the call as served, tries again after a wait, or gives up.
func (g *gateway) finishTry(request *request, verdict lifecycle.Verdict, retryAfter time.Duration) {
	s, r := g.shard, g.region
	call := &request.call
	seenAt := s.now + r.delay(call.number, uint64(request.tryNumber), delayFinal)
	if verdict == lifecycle.Served {
		s.counts.recordServed(r, call, seenAt)
		return
	}
	class := &r.config.Settings.Classes[call.class]
	maxTries, wait := r.retryPolicy(request, class, verdict, retryAfter, seenAt)
	tries := int(request.tryNumber) + 1
	if tries >= min(maxTries, maxTryNumber) || seenAt+wait >= call.startedAt+class.Deadline {
		s.counts.recordUnserved(r, call, verdict)
		return
	}
	s.sendTry(call, request.tryNumber+1, seenAt+wait)
}

// retryPolicy returns the largest number of tries for a call, and how long its client waits before
// the next one.
func (r *Region) retryPolicy(request *request, class *decision.Class, verdict lifecycle.Verdict,
	retryAfter, seenAt time.Duration,
) (maxTries int, wait time.Duration) {
	call, clients := &request.call, &r.config.Clients
	maxTries = clients.MaxTries
	draw := eventqueue.RandFloat64(r.seed, purposeClient, call.number, uint64(request.tryNumber), 1)
	if storm := r.retryStorm(seenAt); storm != nil {
		return maxTries + int(storm.Magnitude), time.Duration(draw * float64(stormBackoff))
	}
	wait = time.Duration((0.5 + draw) * float64(clients.Backoff<<min(request.tryNumber, maxBackoffDoublings)))
	switch {
	case verdict != lifecycle.Rejected && class.Idempotency == decision.NonIdempotent:
		return 0, wait // the request may have been executed
	case retryAfter > 0 && r.followsRetryAfter(call.customer):
		return maxTries, retryAfter
	}
	return maxTries, wait
}

// followsRetryAfter reports whether a customer's clients wait as Retry-After says.
func (r *Region) followsRetryAfter(customer int32) bool {
	draw := eventqueue.RandFloat64(r.seed, purposeClient, uint64(customer))
	return draw < r.config.Clients.FollowRetryAfter
}
