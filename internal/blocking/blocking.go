// Package blocking is the course of a blocking query, as Consul's API documentation ("Blocking Queries", "Consistency
// Modes") describes it: when to ask next, from which index, and how far an answer may be believed. It is pure: what
// was answered and the time go in, the next question comes out; asking is the caller's.
package blocking

import (
	"math/rand/v2"
	"time"

	"pumicecroft/internal/backoff"
)

// Rules are the figures. What is 0 takes the default.
type Rules struct {
	Wait     time.Duration // for how long a question may be held; 10 s
	MaxStale time.Duration // an answer whose server heard its leader longer ago is believed in part only; 10 s
	// A question that failed is asked again after RetryFirst, twice as long for each further one, RetryMost at the
	// most, each time less a random part of up to a half.
	RetryFirst time.Duration // 100 ms
	RetryMost  time.Duration // 5 s
	// A server that answers at once although nothing has changed is asked every Calm. One at which something always
	// changes is asked Burst times at once and then every Gap.
	Calm  time.Duration // 500 ms
	Gap   time.Duration // 100 ms
	Burst int           // 20
}

func (r Rules) withDefaults() Rules {
	for _, d := range []struct {
		v  *time.Duration
		is time.Duration
	}{{&r.Wait, 10 * time.Second}, {&r.MaxStale, 10 * time.Second}, {&r.RetryFirst, 100 * time.Millisecond},
		{&r.RetryMost, 5 * time.Second}, {&r.Calm, 500 * time.Millisecond}, {&r.Gap, 100 * time.Millisecond}} {
		if *d.v <= 0 {
			*d.v = d.is
		}
	}
	if r.Burst <= 0 {
		r.Burst = 20
	}
	return r
}

// askAgain is how often, every Calm, a loss of most entries is asked for again.
const askAgain = 4

// Question is what to ask next.
type Question struct {
	At    time.Duration // not before
	Index uint64        // 0: answer at once
	Wait  time.Duration
	// Patience is after how long a question without an answer has failed: the documentation lets a server add a
	// sixteenth of the wait.
	Patience time.Duration
}

// Answer is what an answer's head says.
type Answer struct {
	Index       uint64
	KnownLeader bool
	LastContact time.Duration
	Filtered    bool // by ACLs
	Size        int  // entries
}

// Verdict is how far an answer may be believed.
type Verdict struct {
	// Whole: what it lacks is not there. Else only what it lists counts, and Why says why.
	Whole bool
	Why   string
	// Anew: the index went back, so the server began anew with other data.
	Anew bool
}

// Loop is one blocking query that is asked again and again. It is not safe for concurrent use.
type Loop struct {
	rules  Rules
	rng    *rand.Rand
	index  uint64 // to ask from
	seen   uint64 // the highest of the answers so far, since the server began
	at     time.Duration
	failed int // in a row
	asked  time.Duration
	tokens float64
	filled time.Duration
	size   int // of the last whole answer
	again  int // times to ask again at once, as most were lacking
}

// New starts a loop; the first question is due at once.
func New(rules Rules, seed uint64) *Loop {
	r := rules.withDefaults()
	return &Loop{rules: r, rng: rand.New(rand.NewPCG(seed, 0xb10c)), tokens: float64(r.Burst), size: -1}
}

// Next is the next question.
func (l *Loop) Next() Question {
	wait := l.rules.Wait
	return Question{At: l.at, Index: l.index, Wait: wait, Patience: wait + wait/16 + 2*time.Second}
}

// Refresh has the next question be due now, and be answered at once, whatever was asked before it: of what was answered meanwhile nothing
// has been seen.
func (l *Loop) Refresh(now time.Duration) { l.index, l.at = 0, now }

// Asked tells that the question is on its way.
func (l *Loop) Asked(now time.Duration) { l.asked = now }

// Failed tells that it got no answer, or none that could be read.
func (l *Loop) Failed(now time.Duration) {
	d := backoff.Exponential{Initial: l.rules.RetryFirst, Max: l.rules.RetryMost}.Delay(l.failed)
	l.failed++
	l.at = now + d - time.Duration(l.rng.Float64()*float64(d)/2)
}

// Answered tells what the answer was and says how far to believe it.
func (l *Loop) Answered(now time.Duration, a Answer) Verdict {
	v := Verdict{Whole: true}
	switch {
	case !a.KnownLeader:
		v = Verdict{Why: "the server knows no leader"}
	case a.LastContact > l.rules.MaxStale:
		v = Verdict{Why: "the server has not heard its leader for too long"}
	case a.Filtered:
		v = Verdict{Why: "ACLs have taken entries away"}
	}
	if !v.Whole { // its index is not trusted either
		l.index = 0
		l.Failed(now)
		return v
	}
	l.failed = 0
	v.Anew = a.Index > 0 && a.Index < l.seen
	if a.Index > 0 {
		l.seen = a.Index
	}
	same := l.index > 0 && a.Index == l.index
	early := now-l.asked < l.rules.Wait/2
	l.index = a.Index // 0: ask at once, as if for the first time
	if v.Anew {
		l.index = 0
	}
	l.at = now
	switch {
	case a.Index == 0, same && early, v.Anew:
		l.at = now + l.rules.Calm
	default:
		l.tokens = min(float64(l.rules.Burst), l.tokens+float64(now-l.filled)/float64(l.rules.Gap))
		l.filled = now
		if l.tokens--; l.tokens < 0 {
			l.at = now + time.Duration(-l.tokens*float64(l.rules.Gap))
		}
	}
	// One that lacks most of what the last one listed is asked for again: who weighs it wants to hear it for a while.
	if l.size > 0 && a.Size*2 < l.size {
		l.again = askAgain
	}
	l.size = a.Size
	if l.again > 0 {
		l.again--
		l.index = 0
		l.at = max(l.at, now+l.rules.Calm)
	}
	return v
}
