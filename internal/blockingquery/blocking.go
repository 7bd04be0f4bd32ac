// Package blockingquery is the course of a blocking query, as Consul's API documentation ("Blocking Queries", "Consistency
// Modes") describes it: when to ask next, from which index, and how far an answer may be believed. It is pure: what
// was answered and the time go in, the next question comes out; asking is the caller's.
package blockingquery

import (
	"math/rand/v2"
	"time"

	"pumicecroft/internal/backoff"
)

// Policy are the figures. What is 0 takes the default.
type Policy struct {
	Wait     time.Duration // for how long a question may be held; 10 s
	MaxStale time.Duration // an answer whose server heard its leader longer ago is believed in part only; 10 s
	// A question that failed is asked again after RetryFirst, twice as long for each further one, RetryMost at the
	// most, each time less a random part of up to a half.
	RetryMin time.Duration // 100 ms
	RetryMax time.Duration // 5 s
	// A server that answers at once although nothing has changed is asked every Calm. One at which something always
	// changes is asked Burst times at once and then every Gap.
	UnchangedInterval time.Duration // 500 ms
	ChangeInterval    time.Duration // 100 ms
	Burst             int           // 20
}

func (r Policy) withDefaults() Policy {
	for _, d := range []struct {
		v  *time.Duration
		is time.Duration
	}{{&r.Wait, 10 * time.Second}, {&r.MaxStale, 10 * time.Second}, {&r.RetryMin, 100 * time.Millisecond},
		{&r.RetryMax, 5 * time.Second}, {&r.UnchangedInterval, 500 * time.Millisecond}, {&r.ChangeInterval, 100 * time.Millisecond}} {
		if *d.v <= 0 {
			*d.v = d.is
		}
	}
	if r.Burst <= 0 {
		r.Burst = 20
	}
	return r
}

// repeatsAfterRemoval is how often, every Calm, a loss of most entries is asked for again.
const repeatsAfterRemoval = 4

// Query is what to ask next.
type Query struct {
	NotBefore time.Duration // not before
	Index     uint64        // 0: answer at once
	Wait      time.Duration
	// Timeout is after how long a question without an answer has failed: the documentation lets a server add a
	// sixteenth of the wait.
	Timeout time.Duration
}

// Response is what an answer's head says.
type Response struct {
	Index       uint64
	KnownLeader bool
	LastContact time.Duration
	Filtered    bool // by ACLs
	Entries     int  // entries
}

// Verdict is how far an answer may be believed.
type Verdict struct {
	// Full: what it lacks is not there. Else only what it lists counts, and Why says why.
	Full   bool
	Reason string
	// IndexReset: the index went back, so the server began anew with other data.
	IndexReset bool
}

// Loop is one blocking query that is asked again and again. It is not safe for concurrent use.
type Loop struct {
	policy       Policy
	rng          *rand.Rand
	index        uint64 // to ask from
	highestIndex uint64 // the highest of the answers so far, since the server began
	notBefore    time.Duration
	failures     int // in a row
	sentAt       time.Duration
	tokens       float64
	refilledAt   time.Duration
	lastEntries  int // of the last whole answer
	repeats      int // times to ask again at once, as most were lacking
}

// New starts a loop; the first question is due at once.
func New(rules Policy, seed uint64) *Loop {
	r := rules.withDefaults()
	return &Loop{policy: r, rng: rand.New(rand.NewPCG(seed, 0xb10c)), tokens: float64(r.Burst), lastEntries: -1}
}

// Next is the next question.
func (l *Loop) Next() Query {
	wait := l.policy.Wait
	return Query{NotBefore: l.notBefore, Index: l.index, Wait: wait, Timeout: wait + wait/16 + 2*time.Second}
}

// Refresh has the next question be due now, and be answered at once, whatever was asked before it: of what was answered meanwhile nothing
// has been seen.
func (l *Loop) Refresh(now time.Duration) { l.index, l.notBefore = 0, now }

// Sent tells that the question is on its way.
func (l *Loop) Sent(now time.Duration) { l.sentAt = now }

// Failed tells that it got no answer, or none that could be read.
func (l *Loop) Failed(now time.Duration) {
	d := backoff.Exponential{Initial: l.policy.RetryMin, Max: l.policy.RetryMax}.Delay(l.failures)
	l.failures++
	l.notBefore = now + d - time.Duration(l.rng.Float64()*float64(d)/2)
}

// Answered tells what the answer was and says how far to believe it.
func (l *Loop) Answered(now time.Duration, a Response) Verdict {
	v := Verdict{Full: true}
	switch {
	case !a.KnownLeader:
		v = Verdict{Reason: "the server knows no leader"}
	case a.LastContact > l.policy.MaxStale:
		v = Verdict{Reason: "the server has not heard its leader for too long"}
	case a.Filtered:
		v = Verdict{Reason: "ACLs have taken entries away"}
	}
	if !v.Full { // its index is not trusted either
		l.index = 0
		l.Failed(now)
		return v
	}
	l.failures = 0
	v.IndexReset = a.Index > 0 && a.Index < l.highestIndex
	if a.Index > 0 {
		l.highestIndex = a.Index
	}
	same := l.index > 0 && a.Index == l.index
	early := now-l.sentAt < l.policy.Wait/2
	l.index = a.Index // 0: ask at once, as if for the first time
	if v.IndexReset {
		l.index = 0
	}
	l.notBefore = now
	switch {
	case a.Index == 0, same && early, v.IndexReset:
		l.notBefore = now + l.policy.UnchangedInterval
	default:
		l.tokens = min(float64(l.policy.Burst), l.tokens+float64(now-l.refilledAt)/float64(l.policy.ChangeInterval))
		l.refilledAt = now
		if l.tokens--; l.tokens < 0 {
			l.notBefore = now + time.Duration(-l.tokens*float64(l.policy.ChangeInterval))
		}
	}
	// One that lacks most of what the last one listed is asked for again: who weighs it wants to hear it for a while.
	if l.lastEntries > 0 && a.Entries*2 < l.lastEntries {
		l.repeats = repeatsAfterRemoval
	}
	l.lastEntries = a.Entries
	if l.repeats > 0 {
		l.repeats--
		l.index = 0
		l.notBefore = max(l.notBefore, now+l.policy.UnchangedInterval)
	}
	return v
}
