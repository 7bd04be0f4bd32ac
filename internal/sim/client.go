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

// clientRequest is one try of a client, and what has become of it.
type clientRequest struct {
	number          int
	id              uint64
	class           string
	key             uint64 // of the client's request, over its tries
	customer        int
	cost            float64
	bodySize        int                 // of its body
	responseBody    string              // of a good answer's body, once it was wanted
	digest          byte                // of what it asks beside its key
	ticket          *idempotency.Ticket // of its key at the door
	gateway         *gateway
	gatewayEpoch    int // of the door's process that took it
	arrivedAt       time.Duration
	timeout         time.Duration
	attempts        []*attempt
	notAdmitted     bool
	idReused        bool          // its id was used before
	keyReused       bool          // its key was, by a client that was not told that this is harmless
	disconnected    bool          // its client has left
	disconnectedAt  time.Duration // then
	duplicate       bool          // its client pressed twice
	retry           bool          // of a refused one
	finalCount      int
	verdict         string
	response        *platformhttp.Response // of the attempt that ended last before the final answer
	responseAttempt int
	streamedAttempt int // the attempt whose answer has begun to be passed on, from 1
	executions      int // attempts that ran
	effectCount     int
	sentCount       int
}

// classes are what clients ask for: safe twice as often as the others.
var classes = []string{"look", "look", "pay", "once", "feed"}

// idempotent tells whether repeating an ask is harmless.
func (a *clientRequest) idempotent() bool { return a.class == "look" || a.class == "feed" }

func (a *clientRequest) keyHeader() string {
	if a.class != "pay" {
		return ""
	}
	return fmt.Sprintf("key-%x", a.key)
}

// dedupKey is what the door knows it by.
func (a *clientRequest) dedupKey() string { return fmt.Sprintf("%s-%x", a.class, a.key) }

// dedupIdentity is its key with all that the door knows beside it.
func (a *clientRequest) dedupIdentity() string {
	return fmt.Sprintf("%d-%s-%d", a.customer, a.dedupKey(), a.digest)
}

// giveUpAfter is when its door gives up on it, after its arrival.
func (a *clientRequest) giveUpAfter() time.Duration { return a.timeout - lifecycle.ResponseMargin }

// padding is what bodies are made of.
var padding = strings.Repeat("x", 40<<10)

// httpRequest is the ask as it goes on with each attempt.
func (a *clientRequest) httpRequest() *platformhttp.Request {
	method := "POST"
	if a.bodySize == 0 {
		method = "GET"
	}
	return &platformhttp.Request{Method: method, Target: "/" + a.class + "?ask=" + strconv.Itoa(a.number), Host: "world", ID: a.id, HasID: true, Key: a.keyHeader(),
		Body: []byte(padding[:a.bodySize])}
}

// expectedBody is the body of a good answer to it: its own, of a length of its own.
func (a *clientRequest) expectedBody() string {
	if a.responseBody != "" {
		return a.responseBody
	}
	n := int(mix(a.id) % 200)
	if mix(a.id+1)%32 == 0 {
		n = int(mix(a.id+2) % uint64(len(padding)))
	}
	a.responseBody = "ask=" + strconv.Itoa(a.number) + ";" + padding[:n]
	return a.responseBody
}

// generateRequests has a customer's clients ask.
func (r *runner) generateRequests(customer int, rng *rand.Rand) {
	rate := r.config.requestRate
	if r.flooding[customer] {
		rate *= 12
	}
	r.scheduleAfter(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if r.stopped {
			return
		}
		r.lastKey++
		a := &clientRequest{class: classes[rng.IntN(len(classes))], key: r.lastKey, customer: customer, cost: float64(1 + rng.IntN(2)),
			timeout: randDuration(rng, 300*time.Millisecond, 2500*time.Millisecond), bodySize: []int{0, 0, 10, 3000}[rng.IntN(4)]}
		r.submit(a, rng.IntN(r.config.gateways), 1)
		r.generateRequests(customer, rng)
	})
}

// submit sends a client's try to a door, or another one if that is down.
func (r *runner) submit(a *clientRequest, at, tries int) {
	d := r.gateways[at]
	if !d.up || d.closing {
		if at = (at + 1) % len(r.gateways); tries < len(r.gateways) {
			r.submit(a, at, tries+1)
		}
		return
	}
	a.number = len(r.requests)
	r.requests = append(r.requests, a)
	a.id = mix(r.seed ^ uint64(a.number)<<20)
	if share := r.reuseShare[a.customer]; share > 0 {
		if rng := r.newRand(12, uint64(a.number)); rng.Float64() < share {
			if old := r.findEarlier(a, d, rng.IntN(3) > 0); old != nil {
				a.id, a.key, a.idReused = old.id, old.key, true
				a.keyReused, old.keyReused = true, true
			}
		}
	}
	a.gateway = d
	epoch := d.epoch
	if share := r.duplicateShare[a.customer]; share > 0 && !a.duplicate {
		if rng := r.newRand(14, uint64(a.number)); rng.Float64() < share { // the same once more, by a client of its own
			twin := &clientRequest{class: a.class, key: a.key, customer: a.customer, timeout: randDuration(rng, 300*time.Millisecond, 2500*time.Millisecond), cost: a.cost, bodySize: a.bodySize,
				duplicate: true, keyReused: true}
			if a.keyReused = true; rng.IntN(8) == 0 {
				twin.digest = 1
			}
			r.scheduleAfter([]time.Duration{0, 0, a.timeout, randDuration(rng, 0, 2*time.Second)}[rng.IntN(4)], func() {
				if !r.stopped {
					r.submit(twin, at, len(r.gateways))
				}
			})
		}
	}
	d.enqueue(epoch, a, func() {
		d.onRequest(a)
	})
	if share := r.disconnectShare[a.customer]; share > 0 {
		if rng := r.newRand(4, uint64(a.number)); rng.Float64() < share {
			r.scheduleAfter(randDuration(rng, 0, a.timeout), func() {
				a.disconnected, a.disconnectedAt = true, r.now
				d.enqueue(epoch, a, func() {
					if a.finalCount == 0 {
						d.world.tracef("the client of %d leaves", a.number)
					}
					d.onDisconnect(a)
				})
			})
		}
	}
}

// findEarlier finds one of the last asks of the same class at the same door; one that failed, if that is wanted.
func (r *runner) findEarlier(a *clientRequest, d *gateway, failed bool) *clientRequest {
	for i := a.number - 1; i >= max(0, a.number-60); i-- {
		if old := r.requests[i]; old.gateway == d && old.class == a.class && (!failed || old.verdict == "failed" && old.gatewayEpoch == d.epoch) {
			return old
		}
	}
	return nil
}

// maybeRetry is a client that has its answer: a refusal is tried once more, through another door maybe.
func (r *runner) maybeRetry(a *clientRequest, verdict string, wait time.Duration) {
	if verdict != "refused" || r.stopped || a.retry { // clients try again once at the most (BRIEF 6)
		return
	}
	rng := r.newRand(5, uint64(a.number))
	if rng.IntN(2) == 0 {
		return
	}
	again := &clientRequest{class: a.class, key: a.key, customer: a.customer, timeout: a.timeout, cost: a.cost, bodySize: a.bodySize, keyReused: a.keyReused, retry: true}
	at := rng.IntN(r.config.gateways)
	r.scheduleAfter(wait+randDuration(rng, 0, 20*time.Millisecond), func() {
		if !r.stopped {
			r.submit(again, at, 1)
		}
	})
}
