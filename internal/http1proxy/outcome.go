package http1proxy

import "pumicecroft/decision"

// EndReason says why an attempt ended without a response, as the transport saw it.
type EndReason uint8

// The reasons.
const (
	ConnectionLost    EndReason = iota // the connection broke or was closed
	MalformedResponse                  // what arrived can't be forwarded
	AttemptCancelled                   // the decision engine cancelled the attempt
	DeadlineExceeded                   // the attempt's deadline passed
	ClientWriteFailed                  // the client does not take its response
)

// Progress is how far an attempt has got.
type Progress struct {
	HeadBytes    int // the length of the request's head
	WrittenBytes int // how much of the request the connection has taken
}

// MayHaveRun reports whether the backend may have run the request. It can't have before the whole
// head was written, as there is no request then. From there on it may begin before it has the body.
func (p Progress) MayHaveRun() bool { return p.WrittenBytes >= p.HeadBytes }

// Result returns what the end of an attempt without a response proves.
//
//	                  | did not run   | may have run
//	ConnectionLost    | ConnectFailed | ConnectionLost
//	MalformedResponse | -             | Unknown
//	AttemptCancelled  | Cancelled     | Cancelled
//	DeadlineExceeded  | NotSent       | TimedOut
//	ClientWriteFailed | -             | Cancelled
//
// A deadline that passed before the head was written tells nothing about the backend: the network or
// this process was slow.
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
