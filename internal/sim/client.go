package sim

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"pumicecroft/internal/core"
	"pumicecroft/internal/httpwire"
	"pumicecroft/keys"
)

// ask is one try of a client, and what has become of it.
type ask struct {
	number     int
	id         uint64
	class      string
	key        uint64 // of the client's request, over its tries
	customer   int
	units      float64
	size       int          // of its body
	text       string       // of a good answer's body, once it was wanted
	digest     byte         // of what it asks beside its key
	ticket     *keys.Ticket // of its key at the door
	door       *door
	epoch      int // of the door's process that took it
	arrived    time.Duration
	timeout    time.Duration
	tries      []*attempt
	turnedAway bool
	again      bool          // its id was used before
	tainted    bool          // its key was, by a client that was not told that this is harmless
	leaves     bool          // its client has left
	leftAt     time.Duration // then
	pressed    bool          // its client pressed twice
	retry      bool          // of a refused one
	finals     int
	verdict    string
	reply      *httpwire.Answer // of the attempt that ended last before the final answer
	replyOf    int
	streams    int // the attempt whose answer has begun to be passed on, from 1
	runs       int // attempts that ran
	effects    int
	sent       int
}

// classes are what clients ask for: safe twice as often as the others.
var classes = []string{"look", "look", "pay", "once", "feed"}

// safe tells whether repeating an ask is harmless.
func (a *ask) safe() bool { return a.class == "look" || a.class == "feed" }

func (a *ask) keyText() string {
	if a.class != "pay" {
		return ""
	}
	return fmt.Sprintf("key-%x", a.key)
}

// storeKey is what the door knows it by.
func (a *ask) storeKey() string { return fmt.Sprintf("%s-%x", a.class, a.key) }

// whole is its key with all that the door knows beside it.
func (a *ask) whole() string { return fmt.Sprintf("%d-%s-%d", a.customer, a.storeKey(), a.digest) }

// until is when its door gives up on it, after its arrival.
func (a *ask) until() time.Duration { return a.timeout - core.LastMargin }

// padding is what bodies are made of.
var padding = strings.Repeat("x", 40<<10)

// message is the ask as it goes on with each attempt.
func (a *ask) message() *httpwire.Request {
	method := "POST"
	if a.size == 0 {
		method = "GET"
	}
	return &httpwire.Request{Method: method, Target: "/" + a.class + "?ask=" + strconv.Itoa(a.number), Host: "world", ID: a.id, HasID: true, Key: a.keyText(),
		Body: []byte(padding[:a.size])}
}

// answer is the body of a good answer to it: its own, of a length of its own.
func (a *ask) answer() string {
	if a.text != "" {
		return a.text
	}
	n := int(mix(a.id) % 200)
	if mix(a.id+1)%32 == 0 {
		n = int(mix(a.id+2) % uint64(len(padding)))
	}
	a.text = "ask=" + strconv.Itoa(a.number) + ";" + padding[:n]
	return a.text
}

// asking has a customer's clients ask.
func (r *runner) asking(customer int, rng *rand.Rand) {
	rate := r.shape.rate
	if r.floods[customer] {
		rate *= 12
	}
	r.after(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if r.over {
			return
		}
		r.keys++
		a := &ask{class: classes[rng.IntN(len(classes))], key: r.keys, customer: customer, units: float64(1 + rng.IntN(2)),
			timeout: between(rng, 300*time.Millisecond, 2500*time.Millisecond), size: []int{0, 0, 10, 3000}[rng.IntN(4)]}
		r.ask(a, rng.IntN(r.shape.doors), 1)
		r.asking(customer, rng)
	})
}

// ask sends a client's try to a door, or another one if that is down.
func (r *runner) ask(a *ask, at, tries int) {
	d := r.doors[at]
	if !d.up || d.closing {
		if at = (at + 1) % len(r.doors); tries < len(r.doors) {
			r.ask(a, at, tries+1)
		}
		return
	}
	a.number = len(r.asks)
	r.asks = append(r.asks, a)
	a.id = mix(r.seed ^ uint64(a.number)<<20)
	if share := r.replays[a.customer]; share > 0 {
		if rng := r.chance(12, uint64(a.number)); rng.Float64() < share {
			if old := r.earlier(a, d, rng.IntN(3) > 0); old != nil {
				a.id, a.key, a.again = old.id, old.key, true
				a.tainted, old.tainted = true, true
			}
		}
	}
	a.door = d
	epoch := d.epoch
	if share := r.presses[a.customer]; share > 0 && !a.pressed {
		if rng := r.chance(14, uint64(a.number)); rng.Float64() < share { // the same once more, by a client of its own
			twin := &ask{class: a.class, key: a.key, customer: a.customer, timeout: between(rng, 300*time.Millisecond, 2500*time.Millisecond), units: a.units, size: a.size,
				pressed: true, tainted: true}
			if a.tainted = true; rng.IntN(8) == 0 {
				twin.digest = 1
			}
			r.after([]time.Duration{0, 0, a.timeout, between(rng, 0, 2*time.Second)}[rng.IntN(4)], func() {
				if !r.over {
					r.ask(twin, at, len(r.doors))
				}
			})
		}
	}
	d.in(epoch, a, func() {
		d.arrive(a)
	})
	if share := r.leaving[a.customer]; share > 0 {
		if rng := r.chance(4, uint64(a.number)); rng.Float64() < share {
			r.after(between(rng, 0, a.timeout), func() {
				a.leaves, a.leftAt = true, r.now
				d.in(epoch, a, func() {
					if a.finals == 0 {
						d.w.tell("the client of %d leaves", a.number)
					}
					d.leave(a)
				})
			})
		}
	}
}

// earlier finds one of the last asks of the same class at the same door; one that failed, if that is wanted.
func (r *runner) earlier(a *ask, d *door, failed bool) *ask {
	for i := a.number - 1; i >= max(0, a.number-60); i-- {
		if old := r.asks[i]; old.door == d && old.class == a.class && (!failed || old.verdict == "failed" && old.epoch == d.epoch) {
			return old
		}
	}
	return nil
}

// answered is a client that has its answer: a refusal is tried once more, through another door maybe.
func (r *runner) answered(a *ask, verdict string, wait time.Duration) {
	if verdict != "refused" || r.over || a.retry { // clients try again once at the most (BRIEF 6)
		return
	}
	rng := r.chance(5, uint64(a.number))
	if rng.IntN(2) == 0 {
		return
	}
	again := &ask{class: a.class, key: a.key, customer: a.customer, timeout: a.timeout, units: a.units, size: a.size, tainted: a.tainted, retry: true}
	at := rng.IntN(r.shape.doors)
	r.after(wait+between(rng, 0, 20*time.Millisecond), func() {
		if !r.over {
			r.ask(again, at, 1)
		}
	})
}
