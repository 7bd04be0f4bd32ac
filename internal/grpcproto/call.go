// Package grpcproto implements the parts of gRPC over HTTP/2 that a reverse proxy needs, as specified
// in grpc/grpc doc/PROTOCOL-HTTP2.md, gRFC A6 and RFC 9113: timeouts, message framing, and whether the
// backend has executed an attempt, may have executed it or never did.
//
// The package does no I/O: the transport reads and writes the frames and reports what it sees on a
// stream, and the package returns the outcome.
package grpcproto

import (
	"fmt"
	"strconv"

	"pumicecroft/decision"
)

// Code is a gRPC status code.
type Code uint32

// The codes, in the order of their numbers in the gRPC specification.
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

// Proof says what the way in which an attempt ended proves about whether the backend has executed it.
type Proof uint8

// The values of Proof.
const (
	MayHaveRun Proof = iota // no proof: the attempt may have been executed
	NeverRan                // the attempt was not executed, and a retry is safe
	Ran                     // the attempt was executed
)

// String returns the text that is logged for the proof.
func (p Proof) String() string { return [...]string{"may have run", "never ran", "ran"}[p] }

// refusedStream is the HTTP/2 error code REFUSED_STREAM, which guarantees that the backend has not
// processed the stream.
const refusedStream = 0x7

// Trailer holds the gRPC fields of a response's trailers, unparsed. A missing field is empty.
type Trailer struct {
	Status   string // grpc-status
	Pushback string // grpc-retry-pushback-ms
}

// Outcome describes how an attempt ended.
type Outcome struct {
	Result decision.Result
	Proof  Proof
	Code   Code   // the status code of a response that is forwarded
	Reason string // explanation for logs
}

// Call tracks one attempt of a unary or server-streaming call and determines its outcome. The transport
// reports events by the On methods, in the order in which they occur. The first event that decides the
// outcome ends the call, and later events have no effect. The zero value is a call that has not been
// sent. A Call is not safe for concurrent use.
type Call struct {
	Streaming       bool // the response may have any number of messages
	MaxMessageBytes int  // limit for each message of the response; 0 means no limit

	requestSent     bool // the last byte of the request may have been written
	headersReceived bool // the response headers have arrived
	parser          MessageParser
	ended           bool
	outcome         Outcome
}

// OnRequestSent must be called just before the last frame of the request is written. Until then the
// backend cannot have the complete request message, without which it does not execute a unary or
// server-streaming method.
func (c *Call) OnRequestSent() { c.requestSent = true }

// RequestSent reports whether the last frame of the request may have been written.
func (c *Call) RequestSent() bool { return c.requestSent }

// OnMalformedResponse ends the call because the backend has sent an invalid response. what describes the
// fault.
func (c *Call) OnMalformedResponse(what string) { c.end(decision.Unknown, MayHaveRun, "%s", what) }

// ResponseStarted reports whether the response headers have arrived.
func (c *Call) ResponseStarted() bool { return c.headersReceived }

// Ended returns the outcome, and whether the call has ended. The outcome is valid only if it has.
func (c *Call) Ended() (Outcome, bool) { return c.outcome, c.ended }

// end sets the outcome, unless the call has already ended.
func (c *Call) end(r decision.Result, p Proof, format string, args ...any) {
	if !c.ended {
		c.ended = true
		c.outcome.Result, c.outcome.Proof, c.outcome.Reason = r, p, fmt.Sprintf(format, args...)
	}
}

// endIfIncomplete ends the call as not sent if the request was not sent completely, and reports whether
// that was so. event says what ended the call.
func (c *Call) endIfIncomplete(event string) bool {
	if !c.requestSent {
		c.end(decision.NotSent, NeverRan, "%s before the request was whole", event)
	}
	return !c.requestSent
}

// OnConnectFailed ends the call because no connection could be opened.
func (c *Call) OnConnectFailed() { c.end(decision.ConnectFailed, NeverRan, "no connection") }

// OnConnectionLost ends the call because the connection broke.
func (c *Call) OnConnectionLost() {
	if !c.endIfIncomplete("the connection broke") {
		c.end(decision.ConnectionLost, MayHaveRun, "the connection broke")
	}
}

// OnTimeout ends the call because the attempt's deadline has passed. The transport resets the stream.
func (c *Call) OnTimeout() {
	switch {
	case c.endIfIncomplete("the time was up"):
	case c.headersReceived:
		c.end(decision.TimedOut, MayHaveRun, "a head, and then nothing in time")
	default:
		c.end(decision.TimedOut, MayHaveRun, "no answer in time")
	}
}

// OnCancel ends the call because the proxy has cancelled the attempt.
func (c *Call) OnCancel() {
	if !c.endIfIncomplete("called off") {
		c.end(decision.Cancelled, MayHaveRun, "called off")
	}
}

// OnGoAway handles a GOAWAY frame. lastStreamID is the last stream ID in the frame, streamID is the ID of
// this call's stream on the same connection. If streamID is above lastStreamID, the backend has not
// processed the stream and never will (RFC 9113, 6.8). Otherwise the response may still arrive.
func (c *Call) OnGoAway(lastStreamID, streamID uint32) {
	if streamID > lastStreamID && !c.headersReceived {
		c.end(decision.Rejected, NeverRan, "GOAWAY with last stream %d, this is %d", lastStreamID, streamID)
	}
}

// OnReset ends the call because the backend has sent RST_STREAM with this error code.
func (c *Call) OnReset(code uint32) {
	switch {
	case code == refusedStream && !c.headersReceived: // RFC 9113, 8.7
		c.end(decision.Rejected, NeverRan, "REFUSED_STREAM")
	case c.endIfIncomplete("RST_STREAM"):
	case c.parser.CompleteCount > 0:
		c.end(decision.ConnectionLost, Ran, "RST_STREAM (%d) after a message and before the status", code)
	default:
		c.end(decision.ConnectionLost, MayHaveRun, "RST_STREAM (%d)", code)
	}
}

// OnHeaders handles a header block that does not end the stream.
func (c *Call) OnHeaders(status, contentType string) {
	if c.headersReceived {
		c.end(decision.Unknown, MayHaveRun, "a second head")
		return
	}
	c.headersReceived = true
	switch {
	case status != "200": // from a proxy, or from a server that does not speak gRPC (see http-grpc-status-mapping.md)
		c.end(decision.ErrorResponse, MayHaveRun, "HTTP status %.10q", status)
	case !IsContentType(contentType):
		c.end(decision.Unknown, MayHaveRun, "content type %.40q", contentType)
	}
}

// OnData handles bytes of the response body. last means that the stream ends with them. It then has no
// status, as the status is in the trailers, which would have come after them.
func (c *Call) OnData(p []byte, last bool) {
	if c.ended {
		return
	}
	if !c.headersReceived {
		c.end(decision.Unknown, MayHaveRun, "data before a head")
		return
	}
	c.parser.MaxMessageBytes = c.MaxMessageBytes
	if err := c.parser.Parse(p); err != nil {
		c.end(decision.Unknown, Ran, "%v", err)
	} else if !c.Streaming && c.parser.CompleteCount > 1 {
		c.end(decision.Unknown, Ran, "%d messages in a unary answer", c.parser.CompleteCount)
	} else if last {
		c.end(decision.Unknown, MayHaveRun, "the stream ended without a status")
	}
}

// OnTrailers handles the header block that ends the stream. In a trailers-only response it is the only
// one, and OnHeaders was not called.
func (c *Call) OnTrailers(t Trailer) {
	if c.ended {
		return
	}
	n, err := strconv.ParseUint(t.Status, 10, 32)
	switch {
	case err != nil || t.Status == "" || len(t.Status) > 2:
		c.end(decision.Unknown, MayHaveRun, "grpc-status %.10q", t.Status)
		return
	case n >= uint64(codeCount):
		n = uint64(Unknown) // the protocol says to treat unknown codes as UNKNOWN
	}
	code := Code(n)
	withoutMessage := !c.headersReceived || c.parser.CompleteCount == 0 && c.parser.PartialBytes() == 0
	switch {
	case code == OK && c.parser.PartialBytes() > 0:
		c.end(decision.Unknown, Ran, "the last message was cut off")
	case code == OK && !c.Streaming && c.parser.CompleteCount == 0:
		c.end(decision.Unknown, Ran, "a good status without a message")
	case code == OK, isApplicationError(code): // Succeeded means that the service has responded
		c.outcome.Code = code
		c.end(decision.Succeeded, Ran, "status %d", code)
	case (code == Unavailable || code == ResourceExhausted) && withoutMessage && allowsRetry(t.Pushback):
		// gRFC A6: the backend asks for a retry, which it may do only for a call that it has not executed.
		c.end(decision.Rejected, NeverRan, "status %d with a pushback of %s ms", code, t.Pushback)
	default:
		c.outcome.Code = code
		c.end(decision.ErrorResponse, MayHaveRun, "status %d", code)
	}
}

// isApplicationError reports whether a status is an error that the service itself returned for the
// request. Such a status is forwarded to the client as the response, while the others may stand for a
// failure of the transport or the backend.
func isApplicationError(c Code) bool {
	switch c {
	case InvalidArgument, NotFound, AlreadyExists, PermissionDenied, FailedPrecondition, Aborted, OutOfRange,
		Unimplemented, Unauthenticated:
		return true
	}
	return false
}

// allowsRetry reports whether a grpc-retry-pushback-ms value permits a retry. A negative or invalid
// value forbids it (gRFC A6).
func allowsRetry(ms string) bool {
	n, err := strconv.ParseInt(ms, 10, 32)
	return err == nil && n >= 0
}
