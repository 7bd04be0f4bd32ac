// Package blockingquery implements the state machine of a repeated blocking query, as described in Consul's
// API documentation ("Blocking Queries", "Consistency Modes"). It decides when to send the next query, with
// which index, and whether a response is complete. It does no I/O and reads no clock: the caller passes in
// responses and times, and sends the queries.
package blockingquery

import (
	"cmp"
	"math/rand/v2"
	"time"

	"pumicecroft/internal/backoff"
)

// Policy limits the rate of queries and the staleness of responses. Zero fields have default values.
type Policy struct {
	// Wait is how long the server may hold a query until something changes. Default 10 s.
	Wait time.Duration
	// MaxStale is the maximum time since the responding server's last contact with its leader. A staler
	// response counts as incomplete. Default 10 s.
	MaxStale time.Duration
	// RetryMin is the delay after a failed query. It doubles with each consecutive failure up to RetryMax.
	// Jitter of up to a half is subtracted from each delay. Defaults 100 ms and 5 s.
	RetryMin, RetryMax time.Duration
	// UnchangedInterval is the minimum time between queries to a server that responds at once although
	// nothing has changed. Default 500 ms.
	UnchangedInterval time.Duration
	// ChangeInterval and Burst limit queries to a server whose data changes all the time: up to Burst queries
	// at once, then one per ChangeInterval. Defaults 100 ms and 20.
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

// repeatsAfterRemoval is how often the query is repeated, once per UnchangedInterval, after a response that
// lacks most of the previous entries. The membership table removes so many backends only once further
// responses have confirmed it.
const repeatsAfterRemoval = 4

// Query is a query to send.
type Query struct {
	NotBefore time.Duration
	Index     uint64 // the server responds once its index differs; 0: at once
	Wait      time.Duration
	// Timeout is the time after sending at which a query without a response has failed. The server may
	// extend Wait by a sixteenth.
	Timeout time.Duration
}

// timeoutSlack is the time that a response may take in addition to the server's wait.
const timeoutSlack = 2 * time.Second

// Response holds the metadata of a response.
type Response struct {
	Index       uint64
	KnownLeader bool
	LastContact time.Duration // time since the server's last contact with its leader
	Filtered    bool          // entries were removed by ACLs
	Entries     int           // number of entries in the response
}

// Verdict says whether a response is complete.
type Verdict struct {
	Full       bool   // entries that the response lacks do not exist; otherwise only the listed ones are known
	Reason     string // why the response is not full
	IndexReset bool   // the index went back: the server has restarted with other data
}

// Loop is the state of one blocking query that is repeated. It is not safe for concurrent use.
type Loop struct {
	policy       Policy
	rng          *rand.Rand
	index        uint64 // of the next query
	highestIndex uint64 // of the full responses since the index was reset
	notBefore    time.Duration
	failures     int // consecutive failures
	sentAt       time.Duration
	tokens       float64 // of the token bucket configured by ChangeInterval and Burst
	refilledAt   time.Duration
	lastEntries  int // number of entries of the last full response; -1 if there was none
	repeatsLeft  int // remaining queries to send without waiting for a change
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

// Refresh makes the next query due now, without waiting for a change.
func (l *Loop) Refresh(now time.Duration) { l.index, l.notBefore = 0, now }

// Sent records that the query was sent.
func (l *Loop) Sent(now time.Duration) { l.sentAt = now }

// Failed records that the query had no response, or one that could not be read. The next query has index 0: held
// until something changes, it would leave unknown for its whole wait whether the server can be reached again.
func (l *Loop) Failed(now time.Duration) {
	l.index = 0
	delay := backoff.Exponential{Initial: l.policy.RetryMin, Max: l.policy.RetryMax}.Delay(l.failures)
	l.failures++
	l.notBefore = now + delay - time.Duration(l.rng.Float64()*float64(delay)/2)
}

// Answered records a response and returns whether it is complete. If it is not, its index is ignored and the
// query counts as failed.
func (l *Loop) Answered(now time.Duration, response Response) Verdict {
	if reason := l.incompleteReason(response); reason != "" {
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

// incompleteReason returns why a response may lack entries, or an empty string if it is complete.
func (l *Loop) incompleteReason(response Response) string {
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

// takeToken takes a token for the next query and returns the time at which the token is available.
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

// repeatAfterRemoval makes the next queries return at once, repeatsAfterRemoval times, after a response that
// has fewer than half of the entries of the previous one.
func (l *Loop) repeatAfterRemoval(now time.Duration, entries int) {
	if l.lastEntries > 0 && entries*2 < l.lastEntries {
		l.repeatsLeft = repeatsAfterRemoval
	}
	l.lastEntries = entries
	if l.repeatsLeft > 0 {
		l.repeatsLeft--
		l.index = 0
		l.notBefore = max(l.notBefore, now+l.policy.UnchangedInterval)
	}
}
