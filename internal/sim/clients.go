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

// clientRequest is one request of a client, with its outcome. A client's retry is another clientRequest
// with the same key.
type clientRequest struct {
	number      int
	id          uint64
	class       string
	key         uint64 // idempotency key, the same for the client's retries
	customer    int
	cost        float64
	timeout     time.Duration // of the client, from the request's arrival at the gateway
	bodySize    int
	fingerprint byte // distinguishes different requests that were sent with the same key

	idReused  bool // another request had the same id before
	keyReused bool // another request has the same key, without a rejection that allowed the retry
	duplicate bool // it is the second request of a client that sends a request twice
	retry     bool // it is the retry of a rejected request

	gateway      *gateway
	gatewayEpoch int // of the process that received it
	arrivedAt    time.Duration
	ticket       *idempotency.Ticket // for its key in the gateway's deduplication store; nil: none
	attempts     []*attempt
	notAdmitted  bool // the lifecycle machine did not accept it

	disconnected   bool // its client has disconnected
	disconnectedAt time.Duration

	finalCount      int                    // final answers given; more than one is a violation
	verdict         string                 // of the last final answer
	response        *platformhttp.Response // of the attempt that ended last before the final answer
	responseAttempt int                    // number of the attempt with this response
	streamedAttempt int                    // 1 + number of the attempt that streams to the client; 0: none
	responseBody    string                 // cached result of expectedBody

	attemptCount int // attempts started
	executions   int // by backends
	effectCount  int // executions with an effect, for classes that are not idempotent
}

// requestClasses are the classes from which clients draw: the idempotent "look" is drawn twice as often
// as each of the others.
var requestClasses = [...]string{"look", "look", "pay", "once", "feed"}

// Bounds of client timeouts.
const (
	minClientTimeout = 300 * time.Millisecond
	maxClientTimeout = 2500 * time.Millisecond
)

// floodFactor multiplies the request rate of a flooding customer.
const floodFactor = 12

// idempotent reports whether executing the request more than once is harmless.
func (q *clientRequest) idempotent() bool { return q.class == "look" || q.class == "feed" }

// keyHeader returns the Idempotency-Key that is sent to backends, or "" if the class has none.
func (q *clientRequest) keyHeader() string {
	if q.class != "pay" {
		return ""
	}
	return fmt.Sprintf("key-%x", q.key)
}

// dedupKey returns the idempotency key under which the gateway deduplicates the request.
func (q *clientRequest) dedupKey() string { return fmt.Sprintf("%s-%x", q.class, q.key) }

// dedupIdentity returns a text that is equal for requests that the gateway treats as repeats of one
// request: their customer, dedupKey and fingerprint are equal.
func (q *clientRequest) dedupIdentity() string {
	return fmt.Sprintf("%d-%s-%d", q.customer, q.dedupKey(), q.fingerprint)
}

// responseTimeout returns how long after the request's arrival the gateway answers it at the latest.
func (q *clientRequest) responseTimeout() time.Duration { return q.timeout - lifecycle.ResponseMargin }

// newDuplicate returns a second request with the same key, as sent by a client that sends its request
// twice.
func (q *clientRequest) newDuplicate() *clientRequest {
	return &clientRequest{
		class: q.class, key: q.key, customer: q.customer, cost: q.cost, timeout: q.timeout, bodySize: q.bodySize,
		duplicate: true, keyReused: true,
	}
}

// padding fills bodies; its length bounds theirs.
var padding = strings.Repeat("x", 40<<10)

// httpRequest returns the HTTP request that each attempt sends.
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

// expectedBody returns the body of a correct response. It names the request; its length depends on the
// request's id and is mostly short, sometimes long.
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

// generateRequests sends the requests of a customer's clients at exponentially distributed intervals
// until the clients are stopped.
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

// submit sends a request to the gateway at index, or to the next one if that gateway accepts no
// requests. tried is the number of gateways tried so far, including this one; if all were tried, the
// request is not sent.
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

// maybeReuseID gives a request the id and key of an earlier one if the fault ReusedIDs affects it.
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

// findEarlier returns the latest of the last 60 requests that had the same class and gateway, or nil.
// With onlyFailed it must have failed at the gateway's current process.
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

// maybeDuplicate sends a second request with the same key to the same gateway, at once or later, if the
// fault DuplicateRequests affects the request. The duplicate has its own timeout and sometimes another
// fingerprint, as if a client used one key for two different requests.
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

// maybeDisconnect disconnects a request's client before its timeout if the fault ClientDisconnects
// affects the request.
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

// maybeRetry retries half of the rejected requests, through any gateway, after the rejection's
// retryAfter. The protocol allows clients one retry (BRIEF 6).
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
