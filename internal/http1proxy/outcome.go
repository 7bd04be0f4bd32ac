package http1proxy

import "pumicecroft/decision"

// EndReason is why an attempt ended without a complete response, as the transport observed it.
type EndReason uint8

// Values of EndReason.
const (
	ConnectionLost    EndReason = iota // the connection failed or was closed
	MalformedResponse                  // the response can't be forwarded
	AttemptCancelled                   // the decision engine cancelled the attempt
	DeadlineExceeded                   // the attempt's deadline passed
	ClientWriteFailed                  // writing the response to the client failed
)

// Progress is how much of an attempt's request has been sent.
type Progress struct {
	HeadBytes    int // the length of the request's head
	WrittenBytes int // bytes of the request that were written to the connection
}

// MayHaveRun reports whether the backend may have run the request. A backend can't run a request
// whose head is incomplete, but may run one before it has received the body.
func (p Progress) MayHaveRun() bool { return p.WrittenBytes >= p.HeadBytes }

// Result returns the result of an attempt that ended for the given reason.
//
//	                  | did not run   | may have run
//	ConnectionLost    | ConnectFailed | ConnectionLost
//	MalformedResponse | -             | Unknown
//	AttemptCancelled  | Cancelled     | Cancelled
//	DeadlineExceeded  | NotSent       | TimedOut
//	ClientWriteFailed | -             | Cancelled
//
// A deadline that passed before the head was written is not the backend's fault: the network or this
// process was slow.
func (p Progress) Result(reason EndReason) decision.Result {
	switch reason {
	case AttemptCancelled, ClientWriteFailed:
		return decision.Cancelled
	case MalformedResponse:
		return decision.Unknown
	case DeadlineExceeded:
		if !p.MayHaveRun() {
			return decision.NotSent
		}
		return decision.TimedOut
	}
	if !p.MayHaveRun() {
		return decision.ConnectFailed
	}
	return decision.ConnectionLost
}
