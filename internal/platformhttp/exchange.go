package platformhttp

import (
	"errors"
	"fmt"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/connpool"
	"pumicecroft/internal/lifecycle"
)

// ResponseReadTimeout is the time within which the rest of a response must arrive after its first bytes.
// Backends write responses at once, so a response that takes longer is treated as invalid.
const ResponseReadTimeout = 500 * time.Millisecond

// Status codes of the platform's protocol.
const (
	statusOK                 = 200
	statusServiceUnavailable = 503
	statusGatewayTimeout     = 504
)

// Op is the operation that the driver of an Exchange must carry out next.
type Op uint8

// The operations. The driver must report the result of each by one call of the method named after the arrow.
const (
	CheckConn Op = iota // check whether the idle connection Conn has received bytes or was closed -> ConnChecked
	Dial                // open a connection to Addr -> Dialed
	Write               // write the bytes from AppendRequest to Conn -> Wrote
	Read                // read from Conn into ReadBuffer, until ReadDeadline if that is set -> Received
	Finish              // no I/O: call Finish, which uses the BackendSet and returns End -> Finish
	End                 // the exchange has ended: Result, Response and Err are set
)

// CancelReason is why an attempt was cancelled.
type CancelReason uint8

// The reasons for a cancellation.
const (
	NotCancelled CancelReason = iota
	Cancelled                 // the attempt's result is no longer needed
	TimedOut                  // the attempt's deadline has passed
)

// Errors of attempts that were not sent or failed, in addition to I/O errors.
var (
	// ErrNoDescriptors means that a dial failed because this process has no file descriptors left. It must
	// not count against the backend.
	ErrNoDescriptors = errors.New("platformhttp: out of file descriptors")
	// ErrSendForbidden means that the request must no longer be sent.
	ErrSendForbidden = errors.New("platformhttp: sending is not allowed any more")

	errConnClosed = errors.New("platformhttp: connection ended before a response")
)

// Exchange is the state machine of one attempt: it acquires a connection, sends the request once and reads
// the response. It sends the request a second time only if the last byte was certainly not sent the first time.
// Its result says that the request was not executed only if the last byte was not sent or the backend said so.
// Its driver carries out one operation at a time and reports the result.
// Calls of methods that are documented to use the BackendSet must be serialized with calls of the set's
// methods. Times are on the set's clock.
type Exchange struct {
	Result       lifecycle.Outcome
	Response     *Response             // set if the attempt succeeded
	Err          error                 // why the attempt failed, for logs
	Conn         *connpool.Conn        // the connection in use, from CheckConn or Dialed until Finish
	Destination  *connpool.Destination // nil if the backend must not be sent requests
	ReadDeadline time.Duration         // for the rest of a response that has begun; 0: none

	backends     *BackendSet
	id           decision.BackendID
	request      *Request
	deadline     time.Duration
	notAfter     time.Duration // the request must not be sent later; 0: no limit
	cancelReason CancelReason
	reader       responseReader
	failed       bool // no usable response was received
}

// Start begins an attempt at a backend. The request carries the time left until deadline as its timeout, and
// must not be sent after notAfter (0: no limit). It uses the BackendSet.
func (x *Exchange) Start(s *BackendSet, id decision.BackendID, m *Request,
	deadline, notAfter, now time.Duration) Op {
	*x = Exchange{backends: s, id: id, request: m, deadline: deadline, notAfter: notAfter,
		reader: responseReader{raw: x.reader.raw}}
	x.Result.Result = decision.NotSent
	if x.Destination = s.readyDestination(id); x.Destination == nil {
		return End
	}
	return x.connect(now, false)
}

// Cancel records why the attempt must end early. The driver must interrupt the operation in progress and still
// report its result. Only the first reason is kept.
func (x *Exchange) Cancel(reason CancelReason) {
	if x.cancelReason == NotCancelled {
		x.cancelReason = reason
	}
}

// Addr returns the address to dial.
func (x *Exchange) Addr() string { return x.Destination.Addr }

// connect acquires an idle connection, or has a new one dialed. If fresh is true, it uses no idle one.
func (x *Exchange) connect(now time.Duration, fresh bool) Op {
	if x.cancelReason != NotCancelled {
		return x.endUnsent(ErrSendForbidden)
	}
	c, err := x.backends.Pool.Acquire(now, x.Destination, fresh)
	switch {
	case err != nil:
		return x.endUnsent(err)
	case c != nil:
		x.Conn = c
		return CheckConn
	}
	return Dial
}

// ConnChecked takes the result of CheckConn. clean means that the idle connection has no unread bytes and
// that the backend has not closed it. It uses the BackendSet.
func (x *Exchange) ConnChecked(now time.Duration, clean bool) Op {
	if clean {
		return x.connected(now)
	}
	x.discardConn()
	return x.connect(now, false)
}

// Dialed takes the result of Dial: the error, or the driver's connection, which becomes Conn.Owner. It uses the
// BackendSet.
func (x *Exchange) Dialed(now time.Duration, driverConn any, err error) Op {
	if err != nil {
		x.backends.Pool.OpenFailed()
		return x.endUnsent(err)
	}
	x.Conn = x.backends.Pool.Opened(x.Destination, driverConn)
	return x.connected(now)
}

// connected checks again whether the request may be sent to the backend, as opening the connection may have
// taken a long time.
func (x *Exchange) connected(now time.Duration) Op {
	if x.cancelReason != NotCancelled || x.pastNotAfter(now) ||
		x.backends.readyDestination(x.id) != x.Destination {
		x.discardConn()
		return x.endUnsent(ErrSendForbidden)
	}
	return Write
}

// pastNotAfter reports whether it is too late to send the request.
func (x *Exchange) pastNotAfter(now time.Duration) bool { return x.notAfter > 0 && now > x.notAfter }

// AppendRequest appends the encoded request to b. If it is too late to send the request, it returns
// ErrSendForbidden, which the driver passes to Wrote: the process may have been paused since Write was
// returned.
func (x *Exchange) AppendRequest(b []byte, now time.Duration) ([]byte, error) {
	if x.pastNotAfter(now) {
		return b, ErrSendForbidden
	}
	return x.request.Append(b, x.deadline-now), nil
}

// Wrote takes the result of Write. The driver may pass an error only if the last byte was not written, so that
// the request can't have been executed. After an error on a reused connection, a new one is dialed in its
// place. buffer is reused for reading the response. Wrote uses the BackendSet if err is not nil.
func (x *Exchange) Wrote(now time.Duration, buffer []byte, err error) Op {
	if err == nil {
		x.reader.reset(x.request.Method, buffer)
		return Read
	}
	reused := x.Conn.Used()
	x.discardConn()
	if !reused || x.cancelReason != NotCancelled {
		return x.endUnsent(err)
	}
	return x.connect(now, true)
}

// ReadBuffer returns the buffer for the next Read.
func (x *Exchange) ReadBuffer() []byte { return x.reader.buffer() }

// ReusableBuffer returns the buffer to pass to Wrote for the next response on this connection.
func (x *Exchange) ReusableBuffer() []byte { return x.reader.raw[:0] }

// Received takes the result of Read: n bytes in ReadBuffer, and the error of the read.
func (x *Exchange) Received(now time.Duration, n int, err error) Op {
	complete, invalid := x.reader.advance(n)
	switch {
	case complete:
		x.onResponse()
		return Finish
	case invalid != nil:
		x.Err = invalid
	case err != nil && !x.reader.started():
		x.Err = fmt.Errorf("%w: %w", errConnClosed, err)
	case err != nil:
		x.Err = err
	default:
		if x.ReadDeadline == 0 && x.reader.started() { // most responses arrive in one read and need no deadline
			x.ReadDeadline = now + ResponseReadTimeout
		}
		return Read
	}
	x.failed = true
	return Finish
}

// onResponse sets the result from a complete response.
func (x *Exchange) onResponse() {
	h := &x.reader.header
	switch {
	case h.status == statusOK:
		x.Result.Result = decision.Succeeded
		x.Response = &Response{ContentType: h.contentType, Body: x.reader.body}
	case (h.status == statusServiceUnavailable || h.status == statusGatewayTimeout) && h.notStarted:
		x.Result.Result = decision.Rejected
	default:
		x.Result.Result = decision.ErrorResponse // the request may have been executed
	}
	if usage, ok := x.backends.loadParser.ParseUsage(h.usage); ok {
		x.Result.HasUsage, x.Result.Usage = true, usage
	}
	x.Result.LoadReport = x.backends.loadParser.ParseLoad(h.load)
}

// Finish returns the connection to the pool, or discards it if it can't be reused, and sets the result of a
// failed attempt. It uses the BackendSet.
func (x *Exchange) Finish(now time.Duration) Op {
	if !x.failed && x.cancelReason == NotCancelled && !x.reader.header.closeConn && !x.reader.hasTrailingBytes {
		x.backends.Pool.Put(now, x.Conn)
		x.Conn = nil
	} else {
		x.discardConn()
	}
	switch {
	case !x.failed:
	case x.cancelReason == Cancelled:
		x.Result.Result = decision.Cancelled
	case x.cancelReason == TimedOut:
		x.Result.Result = decision.TimedOut
	case errors.Is(x.Err, errConnClosed):
		x.Result.Result = decision.ConnectionLost
	default: // invalid or incomplete response: the request may have been executed, and nothing counts against the backend
		x.Result.Result = decision.Unknown
	}
	return End
}

// endUnsent ends an attempt whose request was not sent. The result is Cancelled if the attempt was no longer
// needed, NotSent if its deadline passed or the gateway prevented sending, and otherwise ConnectFailed.
func (x *Exchange) endUnsent(err error) Op {
	x.Err = err
	switch {
	case x.cancelReason == Cancelled:
		x.Result.Result = decision.Cancelled
	case x.cancelReason == NotCancelled && !errors.Is(err, ErrSendForbidden) &&
		!errors.Is(err, connpool.ErrPoolFull) && !errors.Is(err, ErrNoDescriptors):
		x.Result.Result = decision.ConnectFailed
	}
	return End
}

func (x *Exchange) discardConn() {
	x.backends.Pool.Discard(x.Conn)
	x.Conn = nil
}
