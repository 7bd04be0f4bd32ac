package decision

import "time"

// Action is an instruction to the gateway, to be carried out at once and in order.
type Action interface{ isAction() }

// StartAttempt starts an attempt: the first one of a request, or a retry.
type StartAttempt struct {
	Request RequestID
	Backend BackendID
	// Timeout is how long to wait for the response. Zero, which is the only value that the Engine
	// uses: until the request's deadline.
	Timeout time.Duration
	// NotAfter is the time, on the Engine's clock, after which the attempt must not be sent any
	// more; its result is then NotSent. Zero: no limit. It is set because backends drop repeats of
	// an attempt that may have been executed only for the DedupWindow.
	NotAfter time.Duration
}

// Reject is a final answer after which the client may safely try again.
type Reject struct {
	Request RequestID
	// RetryAfter is how long the client should wait before it tries again. Zero: none is given.
	RetryAfter time.Duration
	Reason     Reason
}

// Reason is why a request was rejected, for operators and for the choice of the response. The zero
// value is Invalid.
type Reason uint8

// The reasons.
const (
	Invalid Reason = iota // unknown class or plan, invalid cost, or no time left
	// OverQuota: a limit of the plan does not allow it, by this gateway's estimate: the quota
	// (including random rejection by admit probability or of newcomers), MaxInFlight, or the hard
	// limit, of which a gateway that the customer does not use has no share. Tokens that the shared
	// counter did not grant, or not in time, count as used up.
	OverQuota
	NoBackend  // no backend is eligible now
	Overloaded // the concurrency limit leaves no slot for its priority
	// Unprocessed: its attempts failed, or its deadline has passed, and the client may safely send
	// it again: it was never executed, its class is idempotent, or backends drop the repeat.
	Unprocessed
)

// String returns the text of the reason in traces and rejections. The texts are older than the
// names of the constants and stay, as they are matched outside of this program. An unknown value
// has the text of Unprocessed.
func (r Reason) String() string {
	return [...]string{"unfit", "over quota", "no backend", "no room", "not taken"}[min(r, Unprocessed)]
}

// Fail is a final answer to a request that may have been executed: it is not known whether a retry is
// safe.
type Fail struct{ Request RequestID }

// CancelAttempt cancels one attempt. Its Outcome still follows.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// SetTimer asks for a Timer event with the same Token. Token 0 is the Engine's own tick. Any other
// belongs to Request, and need not fire once that request has its final answer.
type SetTimer struct {
	After   time.Duration
	Token   uint64
	Request RequestID
}

// Probe asks a backend for its load report. One ProbeResult follows. The Engine never emits it.
type Probe struct{ Backend BackendID }

// CounterAdd adds Amount to a value of the shared counter and asks for the new total. One
// CounterResult follows.
type CounterAdd struct {
	Ref    uint64
	Key    uint64 // of the value, below 2^63
	Amount float64
	TTL    time.Duration // how long the value is kept if the key is new
}

// Subscribe asks for endpoint updates.
type Subscribe struct{}

func (StartAttempt) isAction()  {}
func (Reject) isAction()        {}
func (Fail) isAction()          {}
func (CancelAttempt) isAction() {}
func (SetTimer) isAction()      {}
func (Probe) isAction()         {}
func (CounterAdd) isAction()    {}
func (Subscribe) isAction()     {}
