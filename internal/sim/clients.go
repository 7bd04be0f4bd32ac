package sim

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"pumicecroft/idempotency"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/internal/platformhttp"
)

// clientRequest is one request of a client, and what became of it. A client's retry is another one
// with the same key.
type clientRequest struct {
	number      int
	id          uint64
	class       string
	key         uint64 // idempotency key, over the client's retries
	customer    int
	cost        float64
	timeout     time.Duration
	bodySize    int
	fingerprint byte // tells requests of one key apart

	idReused  bool // its id was used before
	keyReused bool // its key was used by a client that was not told that this is harmless
	duplicate bool // it is the second of a client that sends twice
	retry     bool // of a rejected one

	gateway      *gateway
	gatewayEpoch int // of the process that took it
	arrivedAt    time.Duration
	ticket       *idempotency.Ticket // of its key at the gateway; nil: it has none there
	attempts     []*attempt
	notAdmitted  bool

	disconnected   bool // its client has gone
	disconnectedAt time.Duration

	finalCount      int
	verdict         string
	response        *platformhttp.Response // of the attempt that ended last before the final answer
	responseAttempt int
	streamedAttempt int    // the attempt whose response is being passed on, counted from 1; 0: none
	responseBody    string // expectedBody's, once it was asked for

	attemptCount int // attempts started for it
	executions   int // by backends
	effectCount  int
}

// classes are what clients ask for, the idempotent "look" twice as often as the others.
var requestClasses = [...]string{"look", "look", "pay", "once", "feed"}

// Bounds on how long clients wait.
const (
	minClientTimeout = 300 * time.Millisecond
	maxClientTimeout = 2500 * time.Millisecond
)

// floodFactor is how many times its usual rate a flooding customer sends.
const floodFactor = 12

// idempotent tells whether executing a request twice is harmless.
func (q *clientRequest) idempotent() bool { return q.class == "look" || q.class == "feed" }

// keyHeader is the request's Idempotency-Key for backends; empty: it has none.
func (q *clientRequest) keyHeader() string {
	if q.class != "pay" {
		return ""
	}
	return fmt.Sprintf("key-%x", q.key)
}

// dedupKey is the key by which the gateway recognises the request.
func (q *clientRequest) dedupKey() string { return fmt.Sprintf("%s-%x", q.class, q.key) }

// dedupIdentity is dedupKey with what else tells requests apart at the gateway.
func (q *clientRequest) dedupIdentity() string {
	return fmt.Sprintf("%d-%s-%d", q.customer, q.dedupKey(), q.fingerprint)
}

// giveUpAfter is how long after its arrival the gateway gives up on the request.
func (q *clientRequest) responseTimeout() time.Duration { return q.timeout - lifecycle.ResponseMargin }

// duplicateOf is the same request once more, by a client that presses twice.
func (q *clientRequest) newDuplicate() *clientRequest {
	return &clientRequest{
		class: q.class, key: q.key, customer: q.customer, cost: q.cost, timeout: q.timeout, bodySize: q.bodySize,
		duplicate: true, keyReused: true,
	}
}

// padding is what bodies are made of.
var padding = strings.Repeat("x", 40<<10)

// httpRequest is the request as each attempt sends it.
func (q *clientRequest) httpRequest() *platformhttp.Request {
	method := "POST"
	if q.bodySize == 0 {
		method = "GET"
	}
	return &platformhttp.Request{
		Method: method, Target: "/" + q.class + "?ask=" + strconv.Itoa(q.number), Host: "world",
		ID: q.id, HasID: true, Key: q.keyHeader(), Body: []byte(padding[:q.bodySize]),
	}
}

// expectedBody is the body of a response to this request, of a length of its own: mostly short, and
// sometimes long.
func (q *clientRequest) expectedBody() string {
	if q.responseBody != "" {
		return q.responseBody
	}
	size := int(mix(q.id) % 200)
	if mix(q.id+1)%32 == 0 {
		size = int(mix(q.id+2) % uint64(len(padding)))
	}
	q.responseBody = "ask=" + strconv.Itoa(q.number) + ";" + padding[:size]
	return q.responseBody
}

// generateRequests has a customer's clients send requests, at exponential intervals, until the run
// stops.
func (r *runner) generateRequests(customer int, rng *rand.Rand) {
	rate := r.config.requestRate
	if r.flooding[customer] {
		rate *= floodFactor
	}
	r.scheduleAfter(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if r.clientsStopped {
			return
		}
		r.lastKey++
		request := &clientRequest{key: r.lastKey, customer: customer}
		request.class = oneOf(rng, requestClasses[:]...)
		request.cost = float64(1 + rng.IntN(2))
		request.timeout = randDuration(rng, minClientTimeout, maxClientTimeout)
		request.bodySize = oneOf(rng, 0, 0, 10, 3000)
		r.submit(request, rng.IntN(r.config.gateways), 1)
		r.generateRequests(customer, rng)
	})
}

// submit sends a request to a gateway, or to the next one if that is down; tried counts gateways.
func (r *runner) submit(request *clientRequest, index, tried int) {
	g := r.gateways[index]
	if !g.up || g.closing {
		if index = (index + 1) % len(r.gateways); tried < len(r.gateways) {
			r.submit(request, index, tried+1)
		}
		return
	}
	request.number = len(r.requests)
	r.requests = append(r.requests, request)
	request.id = mix(r.seed ^ uint64(request.number)<<20)
	r.maybeReuseID(request, g)
	request.gateway = g
	epoch := g.epoch
	r.maybeDuplicate(request, index)
	g.enqueue(epoch, request, func() { g.onRequest(request) })
	r.maybeDisconnect(request, epoch)
}

// maybeReuseID gives a request the id and key of an earlier one, while its customer's clients do
// that.
func (r *runner) maybeReuseID(request *clientRequest, g *gateway) {
	share := r.reuseShare[request.customer]
	if share <= 0 {
		return
	}
	rng := r.newRand(12, uint64(request.number))
	if rng.Float64() >= share {
		return
	}
	if earlier := r.findEarlier(request, g, rng.IntN(3) > 0); earlier != nil {
		request.id, request.key, request.idReused = earlier.id, earlier.key, true
		request.keyReused, earlier.keyReused = true, true
	}
}

// findEarlier finds one of the last 60 requests of the same class at the same gateway; with
// onlyFailed one that failed at the process that runs now.
func (r *runner) findEarlier(request *clientRequest, g *gateway, onlyFailed bool) *clientRequest {
	for number := request.number - 1; number >= max(0, request.number-60); number-- {
		earlier := r.requests[number]
		if earlier.gateway != g || earlier.class != request.class {
			continue
		}
		if !onlyFailed || earlier.verdict == verdictFailed && earlier.gatewayEpoch == g.epoch {
			return earlier
		}
	}
	return nil
}

// maybeDuplicate has the request sent once more to the same gateway, at once or later, while its
// customer's clients do that. The second has a timeout of its own and is sometimes another request
// of the same key.
func (r *runner) maybeDuplicate(request *clientRequest, index int) {
	share := r.duplicateShare[request.customer]
	if share <= 0 || request.duplicate {
		return
	}
	rng := r.newRand(14, uint64(request.number))
	if rng.Float64() >= share {
		return
	}
	duplicate := request.newDuplicate()
	duplicate.timeout = randDuration(rng, minClientTimeout, maxClientTimeout)
	request.keyReused = true
	if rng.IntN(8) == 0 {
		duplicate.fingerprint = 1
	}
	delays := [...]time.Duration{0, 0, request.timeout, randDuration(rng, 0, 2*time.Second)}
	r.scheduleAfter(oneOf(rng, delays[:]...), func() {
		if !r.clientsStopped {
			r.submit(duplicate, index, len(r.gateways))
		}
	})
}

// maybeDisconnect has a request's client go before its timeout, while its customer's clients do
// that.
func (r *runner) maybeDisconnect(request *clientRequest, epoch int) {
	share := r.disconnectShare[request.customer]
	if share <= 0 {
		return
	}
	rng := r.newRand(4, uint64(request.number))
	if rng.Float64() >= share {
		return
	}
	g := request.gateway
	r.scheduleAfter(randDuration(rng, 0, request.timeout), func() {
		request.disconnected, request.disconnectedAt = true, r.now
		g.enqueue(epoch, request, func() {
			if request.finalCount == 0 {
				g.world.tracef("the client of %d leaves", request.number)
			}
			g.onDisconnect(request)
		})
	})
}

// maybeRetry has a client that was told of a rejection try once more, in every second case, through
// any gateway. The protocol allows clients one retry (BRIEF 6).
func (r *runner) maybeRetry(request *clientRequest, verdict string, retryAfter time.Duration) {
	if verdict != verdictRejected || r.clientsStopped || request.retry {
		return
	}
	rng := r.newRand(5, uint64(request.number))
	if rng.IntN(2) == 0 {
		return
	}
	retry := &clientRequest{
		class: request.class, key: request.key, customer: request.customer, cost: request.cost,
		timeout: request.timeout, bodySize: request.bodySize, keyReused: request.keyReused, retry: true,
	}
	index := rng.IntN(r.config.gateways)
	r.scheduleAfter(retryAfter+randDuration(rng, 0, 20*time.Millisecond), func() {
		if !r.clientsStopped {
			r.submit(retry, index, 1)
		}
	})
}
