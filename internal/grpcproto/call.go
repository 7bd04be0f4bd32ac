// Package grpcproto is gRPC over HTTP/2 as far as a front door must know it, after the protocol's own description
// (grpc/grpc doc/PROTOCOL-HTTP2.md, gRFC A6) and RFC 9113: time-outs, the framing of messages, and what the end of an
// attempt proves: that it never ran, that it may have, or that it did. It is pure: what was seen on a stream goes in,
// the outcome comes out; frames are the driver's.
package grpcproto

import (
	"fmt"
	"strconv"

	"pumicecroft/decision"
)

// Code is a status, by its number in the protocol.
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
	codeCount // how many there are
)

// Proof is what the end of an attempt proves.
type Proof uint8

// The proofs.
const (
	MayHaveRun Proof = iota
	NeverRan
	Ran
)

// String is the proof's name.
func (p Proof) String() string { return [...]string{"may have run", "never ran", "ran"}[p] }

// HTTP/2's error codes that prove something.
const (
	noError       = 0x0
	refusedStream = 0x7
)

// Trailer is what a stream's last head says.
type Trailer struct {
	Status   string // grpc-status as it came; empty: it was not there
	Pushback string // grpc-retry-pushback-ms as it came
}

// Outcome is how an attempt ended.
type Outcome struct {
	Result decision.Result
	Proof  Proof
	Code   Code   // of an answer that is passed on
	Reason string // in words
}

// Call is what was seen of one attempt of a unary or server-streaming call. The zero value is one that has not begun;
// it is told in the order of events, and what comes after the end changes nothing. It is not safe for concurrent use.
type Call struct {
	Streaming       bool // any number of messages may come
	MaxMessageBytes int  // of a message, in bytes; 0: none

	opened          bool // the request's head may have been written
	requestSent     bool // and so may be the last byte of its message
	headersReceived bool // the answer's head has come
	messages        Messages
	ended           bool
	outcome         Outcome
}

// Opened tells that the request's head is about to be written.
func (c *Call) Opened() { c.opened = true }

// Sent tells that the last frame of the request is about to be written: before it the backend can't have the whole
// message, and a unary or server-streaming method does not begin without.
func (c *Call) Sent() { c.requestSent = true }

// RequestSent tells whether the request's last frame is on its way.
func (c *Call) RequestSent() bool { return c.requestSent }

// MalformedResponse tells that what came can't be read.
func (c *Call) MalformedResponse(what string) { c.end(decision.Unknown, MayHaveRun, "%s", what) }

// ResponseStarted tells whether the answer has begun.
func (c *Call) ResponseStarted() bool { return c.headersReceived }

// Ended gives the outcome, once there is one.
func (c *Call) Ended() (Outcome, bool) { return c.outcome, c.ended }

func (c *Call) end(r decision.Result, p Proof, format string, args ...any) {
	if !c.ended {
		c.ended = true
		c.outcome.Result, c.outcome.Proof, c.outcome.Reason = r, p, fmt.Sprintf(format, args...)
	}
}

// endIfUnsent ends an attempt whose request has not left whole; it tells whether it did.
func (c *Call) endIfUnsent(what string) bool {
	if !c.requestSent {
		c.end(decision.NotSent, NeverRan, "%s before the request was whole", what)
	}
	return !c.requestSent
}

// ConnectFailed tells that none came up.
func (c *Call) ConnectFailed() { c.end(decision.ConnectFailed, NeverRan, "no connection") }

// ConnectionLost tells that the connection broke.
func (c *Call) ConnectionLost() {
	if !c.endIfUnsent("the connection broke") {
		c.end(decision.ConnectionLost, MayHaveRun, "the connection broke")
	}
}

// TimedOut tells that the attempt's time was up; the stream is reset by this side.
func (c *Call) TimedOut() {
	switch {
	case c.endIfUnsent("the time was up"):
	case c.headersReceived:
		c.end(decision.TimedOut, MayHaveRun, "a head, and then nothing in time")
	default:
		c.end(decision.TimedOut, MayHaveRun, "no answer in time")
	}
}

// Cancelled tells that this side gave the attempt up.
func (c *Call) Cancelled() {
	if !c.endIfUnsent("called off") {
		c.end(decision.Cancelled, MayHaveRun, "called off")
	}
}

// GoAway tells of a GOAWAY whose last stream is below this one's: the backend has not looked at it, and will not (RFC
// 9113, 6.8). One whose last stream is not below changes nothing: the answer may still come.
func (c *Call) GoAway(last, own uint32) {
	if own > last && !c.headersReceived {
		c.end(decision.Rejected, NeverRan, "GOAWAY with last stream %d, this is %d", last, own)
	}
}

// Reset tells of a RST_STREAM from the backend.
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

// ResponseHeaders tells of the answer's first head: its HTTP status and content type.
func (c *Call) ResponseHeaders(status, contentType string) {
	if c.headersReceived {
		c.end(decision.Unknown, MayHaveRun, "a second head")
		return
	}
	c.headersReceived = true
	switch {
	case status != "200": // a proxy in between, or no gRPC server: see the protocol's http-grpc-status-mapping
		c.end(decision.ErrorResponse, MayHaveRun, "HTTP status %.10q", status)
	case !IsContentType(contentType):
		c.end(decision.Unknown, MayHaveRun, "content type %.40q", contentType)
	}
}

// Data tells of bytes of the answer's body; last, that the stream ends with them, without a status.
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

// Trailers tells of the head that ends the stream; after Head, or in its place (a trailers-only answer).
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
		n = uint64(Unknown) // so the protocol has it
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
		// gRFC A6: the backend itself asks for the same again after a while, which is harmless only if it did not run.
		c.end(decision.Rejected, NeverRan, "status %d with a pushback of %s ms", code, t.Pushback)
	default:
		c.outcome.Code = code
		c.end(decision.ErrorResponse, MayHaveRun, "status %d", code)
	}
}

// isFinalStatus tells whether a status is the service's word on the request, which goes to the client as it is, and not one
// that tells of a failure on the way.
func isFinalStatus(c Code) bool {
	switch c {
	case InvalidArgument, NotFound, AlreadyExists, PermissionDenied, FailedPrecondition, Aborted, OutOfRange, Unimplemented, Unauthenticated:
		return true
	}
	return false
}

// allowsRetry tells whether a pushback asks for the same again; one below 0 or that is no number says not to.
func allowsRetry(ms string) bool {
	n, err := strconv.ParseInt(ms, 10, 32)
	return err == nil && n >= 0
}
