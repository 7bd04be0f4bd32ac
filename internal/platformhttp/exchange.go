package platformhttp

import (
	"errors"
	"fmt"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/connpool"
	"pumicecroft/internal/lifecycle"
)

// ResponseReadTimeout bounds a response that has begun and did not arrive in one piece. Backends write
// theirs at once, so one that does not end within it is broken.
const ResponseReadTimeout = 500 * time.Millisecond

// Status codes of the platform's protocol.
const (
	statusOK                 = 200
	statusServiceUnavailable = 503
	statusGatewayTimeout     = 504
)

// Op is what an Exchange wants done next.
type Op uint8

// The operations, with the method that takes the result. Each is to be called once.
const (
	CheckConn Op = iota // whether any byte has come on the idle connection Conn: ConnChecked
	Dial                // open a connection to Addr: Dialed
	Write               // write what AppendRequest gives on Conn: Wrote
	Read                // read from Conn into ReadBuffer, until ReadDeadline if that is set: Received
	Finish              // nothing to do: call Finish, which returns End
	End                 // the exchange has ended: Result, Response and Err are set
)

// CancelReason says why an attempt was cancelled.
type CancelReason uint8

// The reasons.
const (
	NotCancelled CancelReason = iota
	Cancelled                 // the request does not need it any more
	TimedOut                  // its deadline has passed
)

// Why an attempt was not made or failed, beside the errors of its I/O.
var (
	// ErrNoDescriptors is a dial that failed because this process has no file descriptors left. It says
	// nothing about the backend.
	ErrNoDescriptors = errors.New("platformhttp: out of file descriptors")
	// ErrSendForbidden is a request that must not leave any more.
	ErrSendForbidden = errors.New("platformhttp: sending is not allowed any more")

	errConnClosed = errors.New("platformhttp: connection ended before a response")
)

// Exchange is one attempt: it acquires a connection, sends its request once and reads the response. It
// never sends a request again whose last byte may have left, and its outcome claims no more than what was
// observed proves. Its driver carries out one operation at a time and reports the result. Methods that
// say that they use the BackendSet are serialized with those of the set; the others need not be. Times are
// on the set's clock.
type Exchange struct {
	Result       lifecycle.Outcome
	Response     *Response             // of an attempt that succeeded
	Err          error                 // why it failed, for logs
	Conn         *connpool.Conn        // in use, from CheckConn or Dialed until Finish
	Destination  *connpool.Destination // nil: the backend may not be sent requests
	ReadDeadline time.Duration         // for the rest of a response that has begun; 0: none

	backends     *BackendSet
	id           decision.BackendID
	request      *Request
	deadline     time.Duration
	notAfter     time.Duration // the request must not leave later; 0: no limit
	cancelReason CancelReason
	reader       responseReader
	failed       bool // there is no usable response
}

// Start begins an attempt at a backend. It ends by deadline, and its request must not leave after notAfter;
// 0: no limit. It uses the BackendSet.
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

// Cancel says that nobody waits for the attempt any more. The driver cuts short the operation in progress
// and still reports its result. Only the first reason counts.
func (x *Exchange) Cancel(reason CancelReason) {
	if x.cancelReason == NotCancelled {
		x.cancelReason = reason
	}
}

// Addr returns the address to dial.
func (x *Exchange) Addr() string { return x.Destination.Addr }

// connect acquires an idle connection, or asks for a new one.
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

// ConnChecked reports whether the idle connection is clean: no byte has come on it, and the other side has
// not closed it. It uses the BackendSet.
func (x *Exchange) ConnChecked(now time.Duration, clean bool) Op {
	if clean {
		return x.connected(now)
	}
	x.discardConn()
	return x.connect(now, false)
}

// Dialed reports whether the connection is open; owner is what the driver knows it by. It uses the
// BackendSet.
func (x *Exchange) Dialed(now time.Duration, owner any, err error) Op {
	if err != nil {
		x.backends.Pool.OpenFailed()
		return x.endUnsent(err)
	}
	x.Conn = x.backends.Pool.Opened(x.Destination, owner)
	return x.connected(now)
}

// connected checks again whether the backend may be sent requests, as opening a connection may have taken
// long.
func (x *Exchange) connected(now time.Duration) Op {
	if x.cancelReason != NotCancelled || x.tooLate(now) ||
		x.backends.readyDestination(x.id) != x.Destination {
		x.discardConn()
		return x.endUnsent(ErrSendForbidden)
	}
	return Write
}

// tooLate reports whether the request must not leave any more.
func (x *Exchange) tooLate(now time.Duration) bool { return x.notAfter > 0 && now > x.notAfter }

// AppendRequest appends what is to be written. It returns ErrSendForbidden, for Wrote, if it is too late:
// the process may have been paused since it was told to write.
func (x *Exchange) AppendRequest(b []byte, now time.Duration) ([]byte, error) {
	if x.tooLate(now) {
		return b, ErrSendForbidden
	}
	return x.request.Append(b, x.deadline-now), nil
}

// Wrote reports whether all was written. If not, the last byte was not, so the request can't have been
// executed; if the connection was idle before, a new one takes its place. buffer is where the response
// is read into. It uses the BackendSet if err is not nil.
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

// ReadBuffer returns where the next bytes are to be read into.
func (x *Exchange) ReadBuffer() []byte { return x.reader.buffer() }

// ReusableBuffer returns the buffer for the next response on this connection.
func (x *Exchange) ReusableBuffer() []byte { return x.reader.raw[:0] }

// Received reports that n bytes were read into ReadBuffer, and the error with which reading ended.
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
		if x.ReadDeadline == 0 && x.reader.started() { // most responses come in one piece, without a deadline
			x.ReadDeadline = now + ResponseReadTimeout
		}
		return Read
	}
	x.failed = true
	return Finish
}

// onResponse sets the outcome from a complete response.
func (x *Exchange) onResponse() {
	h := &x.reader.header
	switch {
	case h.status == statusOK:
		x.Result.Result = decision.Succeeded
		x.Response = &Response{ContentType: h.contentType, Body: x.reader.body}
	case (h.status == statusServiceUnavailable || h.status == statusGatewayTimeout) && h.notStarted:
		x.Result.Result = decision.Rejected
	default:
		x.Result.Result = decision.ErrorResponse // it may have been executed
	}
	if usage, ok := x.backends.loadReader.Use(h.usage); ok {
		x.Result.HasUsage, x.Result.Usage = true, usage
	}
	x.Result.LoadReport = x.backends.loadReader.Load(h.load)
}

// Finish gives the connection back and sets the result that the end proves. It uses the BackendSet.
func (x *Exchange) Finish(now time.Duration) Op {
	if !x.failed && x.cancelReason == NotCancelled && !x.reader.header.close && !x.reader.trailing {
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
	default: // an invalid response: the backend is no worse than before, and the request may have been executed
		x.Result.Result = decision.Unknown
	}
	return End
}

// endUnsent ends an attempt of which nothing was sent. A cancelled one is reported as Cancelled.
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
