// Package idempotency deduplicates requests that carry an idempotency key. For each request it
// decides whether to execute it, to wait for an earlier request with the same key, to replay the
// stored response, or to reject it. All keys share one memory budget, divided fairly among customers.
//
// The package is pure: events and times go in, decisions come out. It does no I/O, reads no clock,
// takes no lock and starts no goroutine. A Store belongs to its caller, which serializes all calls
// (package deduplicator does so for the running gateway). Times are durations since one origin. A
// time earlier than a previous one is treated as the previous one, so that a clock that steps back
// never expires an entry twice.
package idempotency

import "time"

// MaxKeyBytes is the longest key that is accepted.
const MaxKeyBytes = 255

// Fingerprint distinguishes different requests that reuse a key. The caller computes it as a keyed
// hash of method, path, class and body.
type Fingerprint [16]byte

// Response is a response as it was sent and will be replayed.
type Response struct {
	Status      int
	ContentType string
	Body        []byte // must not be modified
}

// Verdict says how one request is to be handled.
type Verdict uint8

// The verdicts.
const (
	// Proceed: execute the request. The caller must call Complete once with the Ticket.
	Proceed Verdict = iota
	// Join: a request with the same key is in flight. This one waits until that request ends, its
	// own deadline passes or its client disconnects.
	Join
	// Replay: the key's request succeeded; send the stored Response.
	Replay
	// ResponseNotStored: the key's request succeeded, but its response was too large to be stored.
	ResponseNotStored
	// Conflict: the key was used by a different request (other method, path, class or body).
	Conflict
	// OutcomeUnknown: the key's request may have been executed, and its outcome is not known. The
	// verdict stays the same until RetryAfter has passed; then the key expires and a repeated
	// request would be executed.
	OutcomeUnknown
	// Busy: the customer's share of memory for requests in flight is used up, or nothing can be
	// evicted. The request was not executed; retry after RetryAfter.
	Busy
	// InvalidKey: the key is empty, too long, or has characters other than visible ASCII and space.
	InvalidKey
	// Rejected: the request that this one waited for was definitely not executed. A retry is safe.
	Rejected
	// DeadlineExceeded: the deadline passed before the request that this one waited for ended.
	DeadlineExceeded
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"pass", "join", "replay", "done", "conflict", "undecided", "busy", "bad key",
		"refused", "late"}[v]
}

// Decision is the result of Begin, or of waiting for a request with the same key.
type Decision struct {
	Verdict    Verdict
	Ticket     *Ticket  // set with Proceed and Join
	Response   Response // set with Replay
	RetryAfter time.Duration
}

// Completion is the final decision about one request that waited.
type Completion struct {
	Tag any // as passed to Begin
	Decision
}

// Outcome says how the execution of a request ended.
type Outcome uint8

// The outcomes.
const (
	Succeeded   Outcome = iota // it was executed; its response is replayed to later requests with the key
	NotExecuted                // definitely: it was rejected, or no attempt left the gateway
	Unknown                    // it may have been executed
)

// Limits configures the bounds of a Store. A zero field takes its default.
type Limits struct {
	// MaxBytes bounds the memory of all entries, by their accounted cost. Default 64 MiB.
	MaxBytes int
	// MaxResponseBytes is the largest response that is stored, body and content type together.
	// Default 64 KiB; at most 8 MiB.
	MaxResponseBytes int
	// TTL is how long the response of a succeeded request is replayed. Default 24 h.
	TTL time.Duration
	// UnknownTTL is how long a request that may have been executed is answered with
	// OutcomeUnknown. Default TTL.
	UnknownTTL time.Duration
	// RetryAfter is the hint given with Busy and Rejected. Default 1 s.
	RetryAfter time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.MaxBytes <= 0 {
		l.MaxBytes = 64 << 20
	}
	if l.MaxResponseBytes <= 0 {
		l.MaxResponseBytes = 64 << 10
	}
	l.MaxResponseBytes = min(l.MaxResponseBytes, maxStoredResponse)
	if l.TTL <= 0 {
		l.TTL = 24 * time.Hour
	}
	if l.UnknownTTL <= 0 {
		l.UnknownTTL = l.TTL
	}
	if l.RetryAfter <= 0 {
		l.RetryAfter = time.Second
	}
	return l
}

// isValidKey reports whether key is a valid string of the Idempotency-Key draft: 1 to MaxKeyBytes
// visible ASCII characters and spaces.
func isValidKey(key string) bool {
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return false
		}
	}
	return len(key) > 0 && len(key) <= MaxKeyBytes
}
