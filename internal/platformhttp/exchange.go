package platformhttp

import (
	"errors"
	"fmt"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/connpool"
	"pumicecroft/internal/lifecycle"
)

// ResponseReadTimeout bounds an answer that has begun and did not come whole at once: one that does not end within it is a spoilt one,
// as backends write theirs at once.
const ResponseReadTimeout = 500 * time.Millisecond

// Op is what an Exchange wants done next.
type Op uint8

// The operations. Each is answered by the method of its name, once.
const (
	CheckConn Op = iota // whether anything has come on the kept connection Conn: Looked
	Dial                // a connection to Addr: Dialed
	Write               // what Text gives, on Conn: Wrote
	Read                // what comes next on Conn, into Room; from when it is set, by Until: Came
	Finish              // nothing: call Finish, which gives End
	End                 // nothing any more: Result, Answer and Err are there
)

// CancelReason says why an attempt was called off.
type CancelReason uint8

// The reasons.
const (
	NotCancelled CancelReason = iota // it was not
	Cancelled                        // its request wants it no more
	TimedOut                         // its time is up
)

// Why an attempt was not made or came to nothing, beside what its I/O says.
var (
	// ErrNoDescriptors is what a dial ends with that could not be tried for want of descriptors: it says nothing of the backend.
	ErrNoDescriptors = errors.New("too few descriptors")
	// ErrSendForbidden is what Wrote is told of a request that must not leave any more.
	ErrSendForbidden = errors.New("the backend may be sent nothing new")
	errConnClosed    = errors.New("the connection ended before an answer")
)

// Exchange is one attempt: it takes a connection, sends its request once and reads the answer. It never sends a request
// whose last byte may have left again, and its outcome claims no more than what was seen proves. Its driver carries out one
// operation at a time and says how it ended. The methods that say so touch the Fleet; the others may be called beside them.
// Times are the Fleet's; the zero time is never.
type Exchange struct {
	Result       lifecycle.Outcome
	Response     *Response             // of one that was answered well
	Err          error                 // what went wrong, for people
	Conn         *connpool.Conn        // in use, from Look or Opened until Finish
	Destination  *connpool.Destination // where it leads; nil: the backend may be sent nothing
	ReadDeadline time.Duration         // what has begun must have come whole by then; 0: nothing has, or all has
	backends     *BackendSet
	id           decision.BackendID
	request      *Request
	deadline     time.Duration
	notAfter     time.Duration // it must not leave after that; 0: none
	cancelReason CancelReason
	reader       responseReader
	failed       bool // there is no answer that can be used
}

// Start begins an attempt at a backend, that ends by due, and whose request must not leave after latest, if that is not 0. It
// touches the Fleet.
func (x *Exchange) Start(f *BackendSet, id decision.BackendID, m *Request, due, latest, now time.Duration) Op {
	*x = Exchange{backends: f, id: id, request: m, deadline: due, notAfter: latest, reader: responseReader{raw: x.reader.raw}}
	x.Result.Result = decision.NotSent
	if x.Destination = f.readyDestination(id); x.Destination == nil {
		return End
	}
	return x.connect(now, false)
}

// Cancel says that nobody waits for the attempt any more; the operation that it is in is cut short by its driver and still
// answered. Only the first reason counts.
func (x *Exchange) Cancel(why CancelReason) {
	if x.cancelReason == NotCancelled {
		x.cancelReason = why
	}
}

// Addr is where Dial leads.
func (x *Exchange) Addr() string { return x.Destination.Addr }

// connect takes a connection, kept or new.
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

// ConnChecked says whether nothing has come on the connection and its other side holds it. It touches the Fleet.
func (x *Exchange) ConnChecked(now time.Duration, clean bool) Op {
	if clean {
		return x.connected(now)
	}
	x.discardConn()
	return x.connect(now, false)
}

// Dialed says whether the connection is up; owner is what its driver knows it by. It touches the Fleet.
func (x *Exchange) Dialed(now time.Duration, owner any, err error) Op {
	if err != nil {
		x.backends.Pool.OpenFailed()
		return x.endUnsent(err)
	}
	x.Conn = x.backends.Pool.Opened(x.Destination, owner)
	return x.connected(now)
}

// connected looks once more whether the backend may be sent anything: a connection may have taken long to come up.
func (x *Exchange) connected(now time.Duration) Op {
	if x.cancelReason != NotCancelled || x.tooLate(now) || x.backends.readyDestination(x.id) != x.Destination {
		x.discardConn()
		return x.endUnsent(ErrSendForbidden)
	}
	return Write
}

// tooLate tells whether the request must not leave any more.
func (x *Exchange) tooLate(now time.Duration) bool { return x.notAfter > 0 && now > x.notAfter }

// AppendRequest appends what is to be written. An error says that it is too late for that, as this process may have stood still since
// Write was wanted; Wrote takes it.
func (x *Exchange) AppendRequest(b []byte, now time.Duration) ([]byte, error) {
	if x.tooLate(now) {
		return b, ErrSendForbidden
	}
	return x.request.Append(b, x.deadline-now), nil
}

// Wrote says whether all has been written. If not, its last byte was not, so it has never run. A kept connection that turns
// out to be dead before then is made up for by a new one. room is what the answer is read into. It touches the Fleet.
func (x *Exchange) Wrote(now time.Duration, room []byte, err error) Op {
	if err == nil {
		x.reader.reset(x.request.Method, room)
		return Read
	}
	kept := x.Conn.Used()
	x.discardConn()
	if !kept || x.cancelReason != NotCancelled {
		return x.endUnsent(err)
	}
	return x.connect(now, true)
}

// ReadBuffer is where Read puts what comes.
func (x *Exchange) ReadBuffer() []byte { return x.reader.buffer() }

// ReusableBuffer is what the room for the next answer on this connection may be.
func (x *Exchange) ReusableBuffer() []byte { return x.reader.raw[:0] }

// Received says that n bytes have come into Room, and how reading ended if it did.
func (x *Exchange) Received(now time.Duration, n int, err error) Op {
	whole, bad := x.reader.advance(n)
	switch {
	case whole:
		x.onResponse()
		return Finish
	case bad != nil:
		x.Err = bad
	case err != nil && !x.reader.started():
		x.Err = fmt.Errorf("%w: %w", errConnClosed, err)
	case err != nil:
		x.Err = err
	default:
		if x.ReadDeadline == 0 && x.reader.started() { // most answers come in one piece, and then there is nothing to time
			x.ReadDeadline = now + ResponseReadTimeout
		}
		return Read
	}
	x.failed = true
	return Finish
}

// onResponse is an answer that is whole.
func (x *Exchange) onResponse() {
	h := &x.reader.header
	switch {
	case h.status == 200:
		x.Result.Result, x.Response = decision.Succeeded, &Response{ContentType: h.contentType, Body: x.reader.body}
	case (h.status == 503 || h.status == 504) && h.notStarted:
		x.Result.Result = decision.Rejected
	default:
		x.Result.Result = decision.ErrorResponse // it may have run
	}
	if v, ok := x.backends.loadReader.Use(h.usage); ok {
		x.Result.HasUsage, x.Result.Usage = true, v
	}
	x.Result.LoadReport = x.backends.loadReader.Load(h.load)
}

// Finish gives the connection back and says what the end proves. It touches the Fleet.
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
	default: // spoilt: the backend is as well as before, and the request may have run
		x.Result.Result = decision.Unknown
	}
	return End
}

// endUnsent ends an attempt that has provably never run.
func (x *Exchange) endUnsent(err error) Op {
	x.Err = err
	switch {
	case x.cancelReason == Cancelled:
		x.Result.Result = decision.Cancelled
	case x.cancelReason == NotCancelled && !errors.Is(err, ErrSendForbidden) && !errors.Is(err, connpool.ErrPoolFull) && !errors.Is(err, ErrNoDescriptors):
		x.Result.Result = decision.ConnectFailed
	}
	return End
}

func (x *Exchange) discardConn() {
	x.backends.Pool.Discard(x.Conn)
	x.Conn = nil
}
