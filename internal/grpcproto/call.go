// Package grpcproto has the rules of gRPC over HTTP/2 for a reverse proxy, after the protocol's own
// description (grpc/grpc doc/PROTOCOL-HTTP2.md, gRFC A6) and RFC 9113: timeouts, the framing of
// messages, and what the end of an attempt proves, namely that it never ran, that it may have, or
// that it did.
//
// The package is pure: what was seen on a stream goes in, the outcome comes out. Frames are the
// transport's.
package grpcproto

import (
	"fmt"
	"strconv"

	"pumicecroft/decision"
)

// Code is a gRPC status code.
type Code uint32

// The codes.
const (
	OK Code = iota
	Canceled
	Unknown
	InvalidArgument
	DeadlineExceeded
	NotFound
	AlreadyExists
	PermissionDenied
	ResourceExhausted
	FailedPrecondition
	Aborted
	OutOfRange
	Unimplemented
	Internal
	Unavailable
	DataLoss
	Unauthenticated
	codeCount // the number of codes
)

// Proof is what the end of an attempt proves about the call.
type Proof uint8

// The proofs.
const (
	MayHaveRun Proof = iota
	NeverRan
	Ran
)

// String returns the proof's name, for logs.
func (p Proof) String() string { return [...]string{"may have run", "never ran", "ran"}[p] }

// refusedStream is HTTP/2's error code that proves that a stream was not processed.
const refusedStream = 0x7

// Trailer is what the last header of a stream says.
type Trailer struct {
	Status   string // grpc-status as it came; empty: there was none
	Pushback string // grpc-retry-pushback-ms as it came; empty: there was none
}

// Outcome is how an attempt ended.
type Outcome struct {
	Result decision.Result
	Proof  Proof
	Code   Code   // of a response that is forwarded
	Reason string // for people
}

// Call is what was seen of one attempt of a unary or server-streaming call. The zero value is a call
// that has not begun. Events are reported in their order; after the end they change nothing. It is
// not safe for concurrent use.
type Call struct {
	Streaming       bool // the response may have any number of messages
	MaxMessageBytes int  // 0: no limit

	requestSent     bool // the last byte of the request may have been written
	headersReceived bool // the response's header has arrived
	messages        Messages
	ended           bool
	outcome         Outcome
}

// Sent says that the last frame of the request is about to be written. Before it the backend can't
// have the complete message, without which no unary or server-streaming method begins.
func (c *Call) Sent() { c.requestSent = true }

// RequestSent reports whether the last frame of the request may have been written.
func (c *Call) RequestSent() bool { return c.requestSent }

// MalformedResponse says that what has arrived is invalid.
func (c *Call) MalformedResponse(what string) { c.end(decision.Unknown, MayHaveRun, "%s", what) }

// ResponseStarted reports whether the response's header has arrived.
func (c *Call) ResponseStarted() bool { return c.headersReceived }

// Ended returns the outcome, and whether there is one.
func (c *Call) Ended() (Outcome, bool) { return c.outcome, c.ended }

// end sets the outcome, unless there is one.
func (c *Call) end(r decision.Result, p Proof, format string, args ...any) {
	if !c.ended {
		c.ended = true
		c.outcome.Result, c.outcome.Proof, c.outcome.Reason = r, p, fmt.Sprintf(format, args...)
	}
}

// endIfUnsent ends an attempt whose request was not sent completely. It reports whether it did.
func (c *Call) endIfUnsent(what string) bool {
	if !c.requestSent {
		c.end(decision.NotSent, NeverRan, "%s before the request was whole", what)
	}
	return !c.requestSent
}

// ConnectFailed says that there was no connection.
func (c *Call) ConnectFailed() { c.end(decision.ConnectFailed, NeverRan, "no connection") }

// ConnectionLost says that the connection broke.
func (c *Call) ConnectionLost() {
	if !c.endIfUnsent("the connection broke") {
		c.end(decision.ConnectionLost, MayHaveRun, "the connection broke")
	}
}

// TimedOut says that the attempt's deadline passed, and that this side resets the stream.
func (c *Call) TimedOut() {
	switch {
	case c.endIfUnsent("the time was up"):
	case c.headersReceived:
		c.end(decision.TimedOut, MayHaveRun, "a head, and then nothing in time")
	default:
		c.end(decision.TimedOut, MayHaveRun, "no answer in time")
	}
}

// Cancelled says that this side cancelled the attempt.
func (c *Call) Cancelled() {
	if !c.endIfUnsent("called off") {
		c.end(decision.Cancelled, MayHaveRun, "called off")
	}
}

// GoAway says that a GOAWAY has arrived that names last, on a connection where this stream is own. If
// last is below own, the backend has not processed the stream and never will (RFC 9113, 6.8);
// otherwise the response may still arrive.
func (c *Call) GoAway(last, own uint32) {
	if own > last && !c.headersReceived {
		c.end(decision.Rejected, NeverRan, "GOAWAY with last stream %d, this is %d", last, own)
	}
}

// Reset says that the backend has sent RST_STREAM.
func (c *Call) Reset(code uint32) {
	switch {
	case code == refusedStream && !c.headersReceived: // RFC 9113, 8.7
		c.end(decision.Rejected, NeverRan, "REFUSED_STREAM")
	case c.endIfUnsent("RST_STREAM"):
	case c.messages.Complete > 0:
		c.end(decision.ConnectionLost, Ran, "RST_STREAM (%d) after a message and before the status", code)
	default:
		c.end(decision.ConnectionLost, MayHaveRun, "RST_STREAM (%d)", code)
	}
}

// ResponseHeaders says that a header has arrived that does not end the stream.
func (c *Call) ResponseHeaders(status, contentType string) {
	if c.headersReceived {
		c.end(decision.Unknown, MayHaveRun, "a second head")
		return
	}
	c.headersReceived = true
	switch {
	case status != "200": // from a proxy or a server without gRPC (see http-grpc-status-mapping.md)
		c.end(decision.ErrorResponse, MayHaveRun, "HTTP status %.10q", status)
	case !IsContentType(contentType):
		c.end(decision.Unknown, MayHaveRun, "content type %.40q", contentType)
	}
}

// Data says that bytes of the response's body have arrived. last means that the stream ends with them,
// without a status.
func (c *Call) Data(p []byte, last bool) {
	if c.ended {
		return
	}
	if !c.headersReceived {
		c.end(decision.Unknown, MayHaveRun, "data before a head")
		return
	}
	c.messages.MaxMessageBytes = c.MaxMessageBytes
	if err := c.messages.Add(p); err != nil {
		c.end(decision.Unknown, Ran, "%v", err)
	} else if !c.Streaming && c.messages.Complete > 1 {
		c.end(decision.Unknown, Ran, "%d messages in a unary answer", c.messages.Complete)
	} else if last {
		c.end(decision.Unknown, MayHaveRun, "the stream ended without a status")
	}
}

// Trailers says that the header has arrived that ends the stream, after ResponseHeaders or in its
// place (a trailers-only response).
func (c *Call) Trailers(t Trailer) {
	if c.ended {
		return
	}
	n, err := strconv.ParseUint(t.Status, 10, 32)
	switch {
	case err != nil || t.Status == "" || len(t.Status) > 2:
		c.end(decision.Unknown, MayHaveRun, "grpc-status %.10q", t.Status)
		return
	case n >= uint64(codeCount):
		n = uint64(Unknown) // as the protocol asks
	}
	code := Code(n)
	alone := !c.headersReceived || c.messages.Complete == 0 && c.messages.PartialBytes() == 0
	switch {
	case code == OK && c.messages.PartialBytes() > 0:
		c.end(decision.Unknown, Ran, "the last message was cut off")
	case code == OK && !c.Streaming && c.messages.Complete == 0:
		c.end(decision.Unknown, Ran, "a good status without a message")
	case code == OK, isFinalStatus(code):
		c.outcome.Code = code
		c.end(decision.Succeeded, Ran, "status %d", code)
	case (code == Unavailable || code == ResourceExhausted) && alone && allowsRetry(t.Pushback):
		// gRFC A6: the backend itself asks for a retry, which is safe only if the call did not run.
		c.end(decision.Rejected, NeverRan, "status %d with a pushback of %s ms", code, t.Pushback)
	default:
		c.outcome.Code = code
		c.end(decision.ErrorResponse, MayHaveRun, "status %d", code)
	}
}

// isFinalStatus reports whether a status is the service's answer to the request, which is forwarded,
// and not one of a failure on the way.
func isFinalStatus(c Code) bool {
	switch c {
	case InvalidArgument, NotFound, AlreadyExists, PermissionDenied, FailedPrecondition, Aborted, OutOfRange,
		Unimplemented, Unauthenticated:
		return true
	}
	return false
}

// allowsRetry reports whether a pushback asks for a retry. A negative or invalid one forbids it.
func allowsRetry(ms string) bool {
	n, err := strconv.ParseInt(ms, 10, 32)
	return err == nil && n >= 0
}
