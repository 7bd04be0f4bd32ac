package httpwire

import (
	"errors"
	"fmt"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/connpool"
	"pumicecroft/internal/core"
)

// AnswerTime bounds an answer that has begun and did not come whole at once: one that does not end within it is a spoilt one,
// as backends write theirs at once.
const AnswerTime = 500 * time.Millisecond

// Op is what an Exchange wants done next.
type Op uint8

// The operations. Each is answered by the method of its name, once.
const (
	Look   Op = iota // whether anything has come on the kept connection Conn: Looked
	Dial             // a connection to Addr: Dialed
	Write            // what Text gives, on Conn: Wrote
	Read             // what comes next on Conn, into Room; from when it is set, by Until: Came
	Finish           // nothing: call Finish, which gives End
	End              // nothing any more: Result, Answer and Err are there
)

// Off says why an attempt was called off.
type Off uint8

// The reasons.
const (
	On        Off = iota // it was not
	CalledOff            // its request wants it no more
	TimeUp               // its time is up
)

// Why an attempt was not made or came to nothing, beside what its I/O says.
var (
	// ErrShort is what a dial ends with that could not be tried for want of descriptors: it says nothing of the backend.
	ErrShort = errors.New("too few descriptors")
	// ErrStale is what Wrote is told of a request that must not leave any more.
	ErrStale = errors.New("the backend may be sent nothing new")
	errEnded = errors.New("the connection ended before an answer")
)

// Exchange is one attempt: it takes a connection, sends its request once and reads the answer. It never sends a request
// whose last byte may have left again, and its outcome claims no more than what was seen proves. Its driver carries out one
// operation at a time and says how it ended. The methods that say so touch the Fleet; the others may be called beside them.
// Times are the Fleet's; the zero time is never.
type Exchange struct {
	Result  core.Outcome
	Answer  *Answer         // of one that was answered well
	Err     error           // what went wrong, for people
	Conn    *connpool.Conn  // in use, from Look or Opened until Finish
	Place   *connpool.Place // where it leads; nil: the backend may be sent nothing
	Until   time.Duration   // what has begun must have come whole by then; 0: nothing has, or all has
	fleet   *Fleet
	id      decision.BackendID
	request *Request
	due     time.Duration
	latest  time.Duration // it must not leave after that; 0: none
	off     Off
	reader  reader
	failed  bool // there is no answer that can be used
}

// Begin begins an attempt at a backend, that ends by due, and whose request must not leave after latest, if that is not 0. It
// touches the Fleet.
func (x *Exchange) Begin(f *Fleet, id decision.BackendID, m *Request, due, latest, now time.Duration) Op {
	*x = Exchange{fleet: f, id: id, request: m, due: due, latest: latest, reader: reader{raw: x.reader.raw}}
	x.Result.Result = decision.NotSent
	if x.Place = f.ready(id); x.Place == nil {
		return End
	}
	return x.connect(now, false)
}

// CallOff says that nobody waits for the attempt any more; the operation that it is in is cut short by its driver and still
// answered. Only the first reason counts.
func (x *Exchange) CallOff(why Off) {
	if x.off == On {
		x.off = why
	}
}

// Addr is where Dial leads.
func (x *Exchange) Addr() string { return x.Place.Addr }

// connect takes a connection, kept or new.
func (x *Exchange) connect(now time.Duration, fresh bool) Op {
	if x.off != On {
		return x.unsent(ErrStale)
	}
	c, err := x.fleet.Pool.Take(now, x.Place, fresh)
	switch {
	case err != nil:
		return x.unsent(err)
	case c != nil:
		x.Conn = c
		return Look
	}
	return Dial
}

// Looked says whether nothing has come on the connection and its other side holds it. It touches the Fleet.
func (x *Exchange) Looked(now time.Duration, clean bool) Op {
	if clean {
		return x.connected(now)
	}
	x.drop()
	return x.connect(now, false)
}

// Dialed says whether the connection is up; owner is what its driver knows it by. It touches the Fleet.
func (x *Exchange) Dialed(now time.Duration, owner any, err error) Op {
	if err != nil {
		x.fleet.Pool.Release()
		return x.unsent(err)
	}
	x.Conn = x.fleet.Pool.Opened(x.Place, owner)
	return x.connected(now)
}

// connected looks once more whether the backend may be sent anything: a connection may have taken long to come up.
func (x *Exchange) connected(now time.Duration) Op {
	if x.off != On || x.late(now) || x.fleet.ready(x.id) != x.Place {
		x.drop()
		return x.unsent(ErrStale)
	}
	return Write
}

// late tells whether the request must not leave any more.
func (x *Exchange) late(now time.Duration) bool { return x.latest > 0 && now > x.latest }

// Text appends what is to be written. An error says that it is too late for that, as this process may have stood still since
// Write was wanted; Wrote takes it.
func (x *Exchange) Text(b []byte, now time.Duration) ([]byte, error) {
	if x.late(now) {
		return b, ErrStale
	}
	return x.request.Append(b, x.due-now), nil
}

// Wrote says whether all has been written. If not, its last byte was not, so it has never run. A kept connection that turns
// out to be dead before then is made up for by a new one. room is what the answer is read into. It touches the Fleet.
func (x *Exchange) Wrote(now time.Duration, room []byte, err error) Op {
	if err == nil {
		x.reader.reset(x.request.Method, room)
		return Read
	}
	kept := x.Conn.Used()
	x.drop()
	if !kept || x.off != On {
		return x.unsent(err)
	}
	return x.connect(now, true)
}

// Room is where Read puts what comes.
func (x *Exchange) Room() []byte { return x.reader.room() }

// Kept is what the room for the next answer on this connection may be.
func (x *Exchange) Kept() []byte { return x.reader.raw[:0] }

// Came says that n bytes have come into Room, and how reading ended if it did.
func (x *Exchange) Came(now time.Duration, n int, err error) Op {
	whole, bad := x.reader.came(n)
	switch {
	case whole:
		x.answered()
		return Finish
	case bad != nil:
		x.Err = bad
	case err != nil && !x.reader.begun():
		x.Err = fmt.Errorf("%w: %w", errEnded, err)
	case err != nil:
		x.Err = err
	default:
		if x.Until == 0 && x.reader.begun() { // most answers come in one piece, and then there is nothing to time
			x.Until = now + AnswerTime
		}
		return Read
	}
	x.failed = true
	return Finish
}

// answered is an answer that is whole.
func (x *Exchange) answered() {
	h := &x.reader.head
	switch {
	case h.status == 200:
		x.Result.Result, x.Answer = decision.Answered, &Answer{ContentType: h.contentType, Body: x.reader.body}
	case (h.status == 503 || h.status == 504) && h.notStarted:
		x.Result.Result = decision.Refused
	default:
		x.Result.Result = decision.AnsweredErr // it may have run
	}
	if v, ok := x.fleet.readings.Use(h.use); ok {
		x.Result.HasUse, x.Result.Use = true, v
	}
	x.Result.Load = x.fleet.readings.Load(h.load)
}

// Finish gives the connection back and says what the end proves. It touches the Fleet.
func (x *Exchange) Finish(now time.Duration) Op {
	if !x.failed && x.off == On && !x.reader.head.close && !x.reader.extra {
		x.fleet.Pool.Put(now, x.Conn)
		x.Conn = nil
	} else {
		x.drop()
	}
	switch {
	case !x.failed:
	case x.off == CalledOff:
		x.Result.Result = decision.Cancelled
	case x.off == TimeUp:
		x.Result.Result = decision.TimedOut
	case errors.Is(x.Err, errEnded):
		x.Result.Result = decision.Broken
	default: // spoilt: the backend is as well as before, and the request may have run
		x.Result.Result = decision.Unknown
	}
	return End
}

// unsent ends an attempt that has provably never run.
func (x *Exchange) unsent(err error) Op {
	x.Err = err
	switch {
	case x.off == CalledOff:
		x.Result.Result = decision.Cancelled
	case x.off == On && !errors.Is(err, ErrStale) && !errors.Is(err, connpool.ErrFull) && !errors.Is(err, ErrShort):
		x.Result.Result = decision.NoConnection
	}
	return End
}

func (x *Exchange) drop() {
	x.fleet.Pool.Drop(x.Conn)
	x.Conn = nil
}
