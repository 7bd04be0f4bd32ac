package decision

import "time"

// Action is something that the gateway must do, at once and in order.
type Action interface{ isAction() }

// StartAttempt starts an attempt: the first one of a request, or a retry.
type StartAttempt struct {
	Request RequestID
	Backend BackendID
	// Timeout is how long to wait for the response. Zero, which the Engine always gives: until the
	// request's deadline.
	Timeout time.Duration
	// NotAfter is the time after which the attempt must not be sent any more: it then ends as
	// NotSent. Zero: no limit. Backends drop repeats of what may have run for the DedupWindow only.
	NotAfter time.Duration
}

// Reject is a final answer. It tells the client that trying again does no harm.
type Reject struct {
	Request RequestID
	// RetryAfter is when the client should try again, from now. Zero: it is told nothing.
	RetryAfter time.Duration
	Reason     Reason
}

// Reason is why a request was rejected, for people and for the form of the answer. The zero value
// is Invalid.
type Reason uint8

// The reasons.
const (
	Invalid     Reason = iota // no such class or plan, a cost that is no cost, or no time
	OverQuota                 // the plan's quota or hard limit is used up, as far as this gateway knows
	NoBackend                 // there is no backend that it may be sent to now
	Overloaded                // the backends have as much in flight as they can respond to in time
	Unprocessed               // it was attempted, and ran nowhere or may run again
)

// String returns the reason as it stands in traces and in rejections.
func (r Reason) String() string {
	return [...]string{"unfit", "over quota", "no backend", "no room", "not taken"}[min(r, Unprocessed)]
}

// Fail is a final answer that promises nothing: the request may have run.
type Fail struct{ Request RequestID }

// CancelAttempt stops the wait for one attempt. Its Outcome still follows.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// SetTimer asks for a Timer event with the same Token. Token 0 is the Engine's own tick; any other
// belongs to Request, and once that has its final answer the timer need not come any more.
type SetTimer struct {
	After   time.Duration
	Token   uint64
	Request RequestID
}

// Probe asks a backend for its load report. One ProbeResult follows. The Engine makes none.
type Probe struct{ Backend BackendID }

// CounterAdd adds Amount to a number that all gateways share, and asks for the total. One
// CounterResult follows.
type CounterAdd struct {
	Ref    uint64
	Key    uint64 // of the number, below 2^63
	Amount float64
	TTL    time.Duration // how long a key that is new is kept
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
