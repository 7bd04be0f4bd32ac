// Package blockingquery is the state machine of a blocking query that is sent again and again, as Consul's
// API documentation describes it ("Blocking Queries", "Consistency Modes"). It decides when to send the
// next query, from which index, and how far a response may be trusted. It is pure: responses and the time
// go in, the next query comes out, and the caller sends it.
package blockingquery

import (
	"cmp"
	"math/rand/v2"
	"time"

	"pumicecroft/internal/backoff"
)

// Policy limits the rate of queries and the age of responses. A zero field takes its default.
type Policy struct {
	// Wait is how long the server may hold a query until something changes. Default 10 s.
	Wait time.Duration
	// MaxStale is how long ago the responding server may have heard from its leader. An older response is
	// not complete. Default 10 s.
	MaxStale time.Duration
	// RetryMin is the delay after a query that failed, doubled for each further one up to RetryMax. A random
	// part of up to a half is taken from each delay. Defaults 100 ms and 5 s.
	RetryMin, RetryMax time.Duration
	// UnchangedInterval is the least time between queries to a server that responds at once although nothing
	// has changed. Default 500 ms.
	UnchangedInterval time.Duration
	// ChangeInterval and Burst limit queries to a server at which something changes all the time: Burst at
	// once, and then one each ChangeInterval. Defaults 100 ms and 20.
	ChangeInterval time.Duration
	Burst          int
}

const (
	defaultWait              = 10 * time.Second
	defaultMaxStale          = 10 * time.Second
	defaultMinRetry          = 100 * time.Millisecond
	defaultMaxRetry          = 5 * time.Second
	defaultUnchangedInterval = 500 * time.Millisecond
	defaultChangeInterval    = 100 * time.Millisecond
	defaultBurst             = 20
)

func (p Policy) withDefaults() Policy {
	return Policy{
		Wait:              cmp.Or(max(0, p.Wait), defaultWait),
		MaxStale:          cmp.Or(max(0, p.MaxStale), defaultMaxStale),
		RetryMin:          cmp.Or(max(0, p.RetryMin), defaultMinRetry),
		RetryMax:          cmp.Or(max(0, p.RetryMax), defaultMaxRetry),
		UnchangedInterval: cmp.Or(max(0, p.UnchangedInterval), defaultUnchangedInterval),
		ChangeInterval:    cmp.Or(max(0, p.ChangeInterval), defaultChangeInterval),
		Burst:             cmp.Or(max(0, p.Burst), defaultBurst),
	}
}

// repeatsAfterRemoval is how often a response that lost most entries is asked for again, each
// UnchangedInterval, so that the membership table has it confirmed.
const repeatsAfterRemoval = 4

// Query is a query to send.
type Query struct {
	NotBefore time.Duration
	Index     uint64 // respond when the index is another; 0 means at once
	Wait      time.Duration
	// Timeout is how long after it was sent the query has failed without a response. The server may add a
	// sixteenth to Wait.
	Timeout time.Duration
}

// timeoutSlack is how long a response may take beside the wait.
const timeoutSlack = 2 * time.Second

// Response is the head of a response.
type Response struct {
	Index       uint64
	KnownLeader bool
	LastContact time.Duration // how long ago the server heard from its leader
	Filtered    bool          // ACLs removed entries
	Entries     int           // how many entries follow
}

// Verdict says how far a response may be trusted.
type Verdict struct {
	Full       bool   // what the response lacks does not exist; otherwise only what it lists counts
	Reason     string // why it is not full
	IndexReset bool   // the index went back: the server restarted with other data
}

// Loop is one blocking query that is sent again and again. It is not safe for concurrent use.
type Loop struct {
	policy       Policy
	rng          *rand.Rand
	index        uint64 // of the next query
	highestIndex uint64 // of the responses since the index was reset
	notBefore    time.Duration
	failures     int // consecutive
	sentAt       time.Duration
	tokens       float64 // of the token bucket that ChangeInterval and Burst describe
	refilledAt   time.Duration
	lastEntries  int // of the last full response; -1 if there was none
	repeats      int // queries left that repeat one without waiting for a change
}

// New returns a loop whose first query is due at once.
func New(policy Policy, seed uint64) *Loop {
	policy = policy.withDefaults()
	return &Loop{
		policy:      policy,
		rng:         rand.New(rand.NewPCG(seed, 0xb10c)),
		tokens:      float64(policy.Burst),
		lastEntries: -1,
	}
}

// Next returns the next query.
func (l *Loop) Next() Query {
	wait := l.policy.Wait
	return Query{NotBefore: l.notBefore, Index: l.index, Wait: wait, Timeout: wait + wait/16 + timeoutSlack}
}

// Refresh has the next query be due now and be responded to at once.
func (l *Loop) Refresh(now time.Duration) { l.index, l.notBefore = 0, now }

// Sent tells that the query was sent.
func (l *Loop) Sent(now time.Duration) { l.sentAt = now }

// Failed tells that the query got no response, or none that could be read.
func (l *Loop) Failed(now time.Duration) {
	delay := backoff.Exponential{Initial: l.policy.RetryMin, Max: l.policy.RetryMax}.Delay(l.failures)
	l.failures++
	l.notBefore = now + delay - time.Duration(l.rng.Float64()*float64(delay)/2)
}

// Answered takes in a response and returns how far it may be trusted. The index of a response that is not
// full is not trusted either: the query counts as failed.
func (l *Loop) Answered(now time.Duration, response Response) Verdict {
	if reason := l.incomplete(response); reason != "" {
		l.index = 0
		l.Failed(now)
		return Verdict{Reason: reason}
	}
	l.failures = 0
	verdict := Verdict{Full: true, IndexReset: response.Index > 0 && response.Index < l.highestIndex}
	if response.Index > 0 {
		l.highestIndex = response.Index
	}
	unchanged := l.index > 0 && response.Index == l.index && now-l.sentAt < l.policy.Wait/2
	l.index = response.Index
	if verdict.IndexReset {
		l.index = 0
	}
	if response.Index == 0 || unchanged || verdict.IndexReset {
		l.notBefore = now + l.policy.UnchangedInterval
	} else {
		l.notBefore = l.takeToken(now)
	}
	l.repeatAfterRemoval(now, response.Entries)
	return verdict
}

// incomplete returns why a response may lack entries, or an empty string.
func (l *Loop) incomplete(response Response) string {
	switch {
	case !response.KnownLeader:
		return "the server knows no leader"
	case response.LastContact > l.policy.MaxStale:
		return "the server has not heard from its leader for too long"
	case response.Filtered:
		return "ACLs removed entries"
	}
	return ""
}

// takeToken takes a token for the next query and returns when there is one.
func (l *Loop) takeToken(now time.Duration) time.Duration {
	refill := float64(now-l.refilledAt) / float64(l.policy.ChangeInterval)
	l.tokens = min(float64(l.policy.Burst), l.tokens+refill)
	l.refilledAt = now
	l.tokens--
	if l.tokens >= 0 {
		return now
	}
	return now + time.Duration(-l.tokens*float64(l.policy.ChangeInterval))
}

// repeatAfterRemoval has the query repeated a few times after a response that lacks most of the entries that
// the one before had.
func (l *Loop) repeatAfterRemoval(now time.Duration, entries int) {
	if l.lastEntries > 0 && entries*2 < l.lastEntries {
		l.repeats = repeatsAfterRemoval
	}
	l.lastEntries = entries
	if l.repeats > 0 {
		l.repeats--
		l.index = 0
		l.notBefore = max(l.notBefore, now+l.policy.UnchangedInterval)
	}
}
