package grpctransport

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"pumicecroft/decision"
	"pumicecroft/internal/executor"
	"pumicecroft/internal/grpcproto"
)

const (
	// streamWindow is what a stream may have on its way to us unread, in bytes, and so what one holds at the most beside
	// its message; connWindow is the same for a connection, and is given back as bytes come, so that a stream that is not
	// read holds up no other.
	streamWindow = 64 << 10
	connWindow   = 1 << 20
	// maxHeads bounds a head, in bytes as they are counted in HPACK.
	maxHeads = 16 << 10
	// A write that has made no way for this long ends its connection: nothing behind it could go out either.
	writeTimeout = time.Second
	// maxIdleFrames is how many frames that carry nothing (pings, settings, empty data) a backend may send for each
	// stream that it ends.
	maxIdleFrames = 1000
)

var (
	errFlood   = errors.New("grpcback: too many frames that carry nothing")
	errTooMany = errors.New("grpcback: no stream is free")
	errLeaving = errors.New("grpcback: the backend has said GOAWAY")
)

// Field is one field of metadata, its name in lower case.
type Field struct{ Name, Value string }

// stream is one attempt on a connection. Its fields are guarded by conn.mu but for those that say otherwise.
type stream struct {
	conn   *conn
	id     uint32
	call   grpcproto.Call
	window int64 // for what this side sends
	answer Answer
	body   messages      // of the answer: of a unary one all of it, of a streamed one what was not taken
	news   chan struct{} // holds one when a streamed answer has gone on; nil: it is a unary one
	owed   uint32        // of the stream's window, given back when what was sent is taken
	done   chan struct{} // closed when call has ended
	over   bool          // done is closed
}

// conn is one connection over HTTP/2 to a backend. The reader is a goroutine of its own; whoever has something to
// write writes it, under wmu. mu is never held while something waits for the network; wmu is taken before mu.
type conn struct {
	nc     net.Conn
	most   int // streams at once, by this side's configuration
	onEnd  func(*conn)
	reader *http2.Framer

	wmu     sync.Mutex
	out     *bufio.Writer
	writer  *http2.Framer
	head    bytes.Buffer
	encoder *hpack.Encoder

	mu       sync.Mutex
	opened   *sync.Cond // a window was opened, a stream has ended, or the connection has
	streams  map[uint32]*stream
	reserved int // streams that are about to be opened
	next     uint32
	allowed  uint32    // streams at once, by the backend's settings
	initial  int64     // window of a new stream, by the backend's settings
	frame    int       // largest frame that the backend takes
	window   int64     // for what this side sends on all streams
	leaving  bool      // GOAWAY has come
	err      error     // why it has ended
	idle     int       // frames that carried nothing since the last end of a stream
	since    time.Time // it has had no stream since
}

// newConn begins a connection; onEnd is called once, when it takes nothing any more.
func newConn(nc net.Conn, most int, onEnd func(*conn)) (*conn, error) {
	c := &conn{nc: nc, most: most, onEnd: onEnd, streams: map[uint32]*stream{}, next: 1, allowed: 100, initial: 65535, frame: 16384, window: 65535,
		since: time.Now()}
	c.opened = sync.NewCond(&c.mu)
	c.out = bufio.NewWriterSize(deadlined{nc}, 16<<10)
	c.writer = http2.NewFramer(c.out, nil)
	c.encoder = hpack.NewEncoder(&c.head)
	c.reader = http2.NewFramer(nil, bufio.NewReaderSize(nc, 16<<10))
	c.reader.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	c.reader.MaxHeaderListSize = maxHeads
	c.reader.SetMaxReadFrameSize(16 << 10)
	c.wmu.Lock()
	defer c.wmu.Unlock()
	_, err := io.WriteString(c.out, http2.ClientPreface)
	err = errors.Join(err, c.writer.WriteSettings(http2.Setting{ID: http2.SettingEnablePush, Val: 0},
		http2.Setting{ID: http2.SettingInitialWindowSize, Val: streamWindow}, http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: maxHeads}),
		c.writer.WriteWindowUpdate(0, connWindow-65535), c.out.Flush())
	if err != nil {
		nc.Close()
		return nil, err
	}
	go c.read()
	return c, nil
}

// deadlined gives each write a time.
type deadlined struct{ net.Conn }

func (d deadlined) Write(p []byte) (int, error) {
	d.SetWriteDeadline(time.Now().Add(writeTimeout))
	return d.Conn.Write(p)
}

// reserve takes one of the connection's streams, if one is free.
func (c *conn) reserve() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.err != nil:
		return c.err
	case c.leaving:
		return errLeaving
	case len(c.streams)+c.reserved >= min(c.most, int(c.allowed)) || c.next > 1<<30:
		return errTooMany
	}
	c.reserved++
	return nil
}

// What a connection takes.
const (
	fresh   = iota // new streams
	leaving        // none, and ends what it has
	ended          // nothing
)

func (c *conn) takes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.err != nil:
		return ended
	case c.leaving:
		return leaving
	}
	return fresh
}

// open opens the stream that was reserved and writes its head.
func (c *conn) open(s *stream, fields []Field) error {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	c.mu.Lock()
	c.reserved--
	err := c.err
	if err == nil && c.leaving {
		err = errLeaving
	}
	if err != nil {
		c.settle()
		c.mu.Unlock()
		return err
	}
	s.conn, s.id, s.window = c, c.next, c.initial
	c.next += 2
	c.streams[s.id] = s
	s.call.Opened()
	frame := c.frame
	c.mu.Unlock()

	c.head.Reset()
	for _, f := range fields {
		_ = c.encoder.WriteField(hpack.HeaderField{Name: f.Name, Value: f.Value})
	}
	block := c.head.Bytes()
	first := block[:min(len(block), frame)]
	block = block[len(first):]
	err = c.writer.WriteHeaders(http2.HeadersFrameParam{StreamID: s.id, BlockFragment: first, EndHeaders: len(block) == 0})
	for err == nil && len(block) > 0 {
		next := block[:min(len(block), frame)]
		block = block[len(next):]
		err = c.writer.WriteContinuation(s.id, len(block) == 0, next)
	}
	return c.wrote(err)
}

// wrote ends the connection if a write has failed; it wants wmu.
func (c *conn) wrote(err error) error {
	if err != nil {
		c.fail(fmt.Errorf("grpcback: write: %w", err))
	}
	return err
}

// send writes the request's body, as the windows allow. It returns early when the stream has ended.
func (c *conn) send(s *stream, p []byte) {
	for {
		c.mu.Lock()
		n := 0
		for {
			if s.over || c.err != nil {
				c.mu.Unlock()
				return
			}
			if n = int(min(int64(len(p)), int64(c.frame), c.window, s.window)); n > 0 || len(p) == 0 {
				break
			}
			c.opened.Wait()
		}
		c.window -= int64(n)
		s.window -= int64(n)
		last := n == len(p)
		c.mu.Unlock()

		c.wmu.Lock()
		c.mu.Lock()
		over := s.over
		if last && !over {
			s.call.Sent()
		}
		c.mu.Unlock()
		if !over {
			err := c.writer.WriteData(s.id, last, p[:n])
			if err == nil { // also of a part: the backend may open the window only when it has it
				err = c.out.Flush()
			}
			if c.wrote(err) != nil {
				over = true
			}
		}
		c.wmu.Unlock()
		if p = p[n:]; last || over {
			return
		}
	}
}

// giveUp ends a stream from this side: as says how.
func (c *conn) giveUp(s *stream, as func(*grpcproto.Call)) {
	c.mu.Lock()
	if s.over {
		c.mu.Unlock()
		return
	}
	as(&s.call)
	c.finish(s)
	c.mu.Unlock()
	c.cancel(s.id)
}

// finish lets a stream go that has ended; it wants mu.
func (c *conn) finish(s *stream) {
	if s.over {
		return
	}
	s.over = true
	close(s.done)
	s.tell()
	delete(c.streams, s.id)
	c.idle = 0
	c.settle()
	c.opened.Broadcast()
}

// settle notes that the connection has no streams; one that takes none any more is closed then. It wants mu.
func (c *conn) settle() {
	if len(c.streams)+c.reserved > 0 {
		return
	}
	c.since = time.Now()
	if c.leaving && c.err == nil {
		c.err = errLeaving
		c.nc.Close()
	}
}

// idleFor tells for how long the connection has had no stream; 0: it has one.
func (c *conn) idleFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.streams)+c.reserved > 0 {
		return 0
	}
	return now.Sub(c.since)
}

// fail ends the connection and all that is on it. It may be called with wmu held, not with mu.
func (c *conn) fail(err error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = err
	}
	for _, s := range c.streams {
		s.call.Lost()
		c.finish(s)
	}
	c.opened.Broadcast()
	c.mu.Unlock()
	c.nc.Close()
}

// read takes frames until the connection ends.
func (c *conn) read() {
	defer c.onEnd(c)
	for {
		f, err := c.reader.ReadFrame()
		var se http2.StreamError
		if errors.As(err, &se) { // such as a head that makes no sense
			c.broken(se.StreamID)
			continue
		}
		if err == nil {
			err = c.take(f)
		}
		if err != nil {
			c.fail(fmt.Errorf("grpcback: read: %w", err))
			return
		}
	}
}

// broken ends a stream of which came what can't be read.
func (c *conn) broken(id uint32) {
	c.mu.Lock()
	s := c.streams[id]
	c.mu.Unlock()
	if s != nil {
		c.giveUp(s, func(k *grpcproto.Call) { k.Garbled("a head that can't be read") })
	}
}

// take deals with one frame.
func (c *conn) take(f http2.Frame) error {
	var answer func() error // to be written once mu is let go
	c.mu.Lock()
	idle := true
	switch f := f.(type) {
	case *http2.SettingsFrame:
		if !f.IsAck() {
			err := f.ForeachSetting(func(s http2.Setting) error { return c.set(s) })
			if err != nil {
				c.mu.Unlock()
				return err
			}
			answer = c.writer.WriteSettingsAck
		}
	case *http2.PingFrame:
		if data := f.Data; !f.IsAck() {
			answer = func() error { return c.writer.WritePing(true, data) }
		}
	case *http2.WindowUpdateFrame:
		if f.StreamID == 0 {
			c.window += int64(f.Increment)
		} else if s := c.streams[f.StreamID]; s != nil {
			s.window += int64(f.Increment)
		}
		c.opened.Broadcast()
		idle = false
	case *http2.GoAwayFrame:
		c.leaving = true
		for _, s := range c.streams {
			s.call.GoAway(f.LastStreamID, s.id)
			c.ifEnded(s)
		}
		c.settle()
	case *http2.RSTStreamFrame:
		if s := c.streams[f.StreamID]; s != nil {
			s.call.Reset(uint32(f.ErrCode))
			c.ifEnded(s)
		}
	case *http2.MetaHeadersFrame:
		if s := c.streams[f.StreamID]; s != nil {
			s.headers(f)
			c.ifEnded(s)
		}
	case *http2.DataFrame:
		n := f.Length
		idle = n == 0
		s := c.streams[f.StreamID]
		if s != nil {
			s.data(f.Data(), f.StreamEnded())
			c.ifEnded(s)
		}
		if n > 0 {
			id, back := f.StreamID, uint32(0)
			if s != nil && !s.over {
				s.owed += n
				back = s.credit()
			}
			answer = func() error {
				err := c.writer.WriteWindowUpdate(0, n)
				if back > 0 {
					err = errors.Join(err, c.writer.WriteWindowUpdate(id, back))
				}
				return err
			}
		}
	}
	if idle {
		c.idle++
	}
	flood := c.idle > maxIdleFrames
	c.mu.Unlock()
	if flood {
		return errFlood
	}
	if answer == nil {
		return nil
	}
	c.wmu.Lock()
	defer c.wmu.Unlock()
	return errors.Join(answer(), c.out.Flush())
}

// set takes one of the backend's settings; it wants mu.
func (c *conn) set(s http2.Setting) error {
	if err := s.Valid(); err != nil {
		return err
	}
	switch s.ID {
	case http2.SettingMaxConcurrentStreams:
		c.allowed = s.Val
	case http2.SettingMaxFrameSize:
		c.frame = int(min(s.Val, 64<<10))
	case http2.SettingInitialWindowSize:
		for _, st := range c.streams {
			st.window += int64(s.Val) - c.initial
		}
		c.initial = int64(s.Val)
		c.opened.Broadcast()
	}
	return nil
}

// ifEnded lets a stream go whose call has ended; it wants mu.
func (c *conn) ifEnded(s *stream) {
	if _, ended := s.call.Ended(); ended && !s.over {
		if id := s.id; !s.answer.whole || !s.call.HasSent() { // the backend may still be sending: it need not
			go c.cancel(id)
		}
		c.finish(s)
	}
}

// cancel tells the backend that a stream is not waited for.
func (c *conn) cancel(id uint32) {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	_ = c.wrote(errors.Join(c.writer.WriteRSTStream(id, http2.ErrCodeCancel), c.out.Flush()))
}

// headers takes a head of the answer.
func (s *stream) headers(f *http2.MetaHeadersFrame) {
	if f.Truncated {
		s.call.Garbled("a head over the limit")
		return
	}
	var t grpcproto.Trailer
	var rest []Field
	contentType := ""
	for _, h := range f.RegularFields() {
		switch h.Name {
		case "grpc-status":
			t.Status = h.Value
		case "grpc-message":
			s.answer.Message = h.Value
		case "grpc-retry-pushback-ms":
			t.Pushback = h.Value
		case "content-type":
			contentType = h.Value
		case "x-ratelimit-used": // this and the next are for the door, in a head or in trailers
			s.answer.use = h.Value
		case "server-load":
			s.answer.load = h.Value
		default:
			rest = append(rest, Field{h.Name, h.Value})
		}
	}
	if !s.call.Started() {
		if !f.StreamEnded() {
			s.answer.Header = rest
			s.call.Head(f.PseudoValue("status"), contentType)
			return
		}
		if status := f.PseudoValue("status"); status != "200" {
			s.call.Head(status, contentType)
			return
		}
	} else if !f.StreamEnded() {
		s.call.Head("", "") // a second one
		return
	}
	s.answer.whole = true
	s.answer.Trailer = rest
	s.call.Trailers(t)
}

// data takes a part of the answer's body.
func (s *stream) data(p []byte, last bool) {
	s.call.Data(p, last)
	if _, ended := s.call.Ended(); !ended {
		s.body.add(p)
		s.tell()
	}
}

// credit is how much of its window a stream gives back now: what has come, unless it is a streamed answer that is not
// read as fast as it comes. A message that is not whole is waited for, however long it is; its length is bounded. It wants
// the connection's lock.
func (s *stream) credit() uint32 {
	if s.news != nil && len(s.body.whole) > 0 {
		return 0
	}
	n := s.owed
	s.owed = 0
	return n
}

// messages are those of an answer that are there, each in memory of its own, with its prefix.
type messages struct {
	whole [][]byte
	part  []byte // the one that is coming
}

// mostRoom is how much memory a message is given before it has come, in bytes: its prefix may promise more than follows.
const mostRoom = 64 << 10

// add takes in the next bytes, which are known to be framed well.
func (m *messages) add(p []byte) {
	for len(p) > 0 {
		if m.part == nil {
			room := 5
			if len(p) >= 5 {
				room = min(5+int(binary.BigEndian.Uint32(p[1:])), mostRoom)
			}
			m.part = make([]byte, 0, room)
		}
		want := 5
		if len(m.part) >= 5 {
			want += int(binary.BigEndian.Uint32(m.part[1:]))
		}
		if want > cap(m.part) && cap(m.part) <= 5 {
			m.part = append(make([]byte, 0, min(want, mostRoom)), m.part...)
		}
		n := min(want-len(m.part), len(p))
		m.part = append(m.part, p[:n]...)
		p = p[n:]
		if len(m.part) >= 5 && len(m.part) == 5+int(binary.BigEndian.Uint32(m.part[1:])) {
			m.whole, m.part = append(m.whole, m.part), nil
		}
	}
}

// first takes the first whole message out; nil: there is none.
func (m *messages) first() []byte {
	if len(m.whole) == 0 {
		return nil
	}
	p := m.whole[0]
	m.whole[0] = nil
	if m.whole = m.whole[1:]; len(m.whole) == 0 {
		m.whole = nil
	}
	return p
}

// tell rouses who passes a streamed answer on.
func (s *stream) tell() {
	if s.news != nil {
		select {
		case s.news <- struct{}{}:
		default:
		}
	}
}

// take gives the next message of a streamed answer, or nil once it has ended; a message that came before a good end is
// given, one before a bad end need not be.
func (s *stream) take() []byte {
	c := s.conn
	for {
		c.mu.Lock()
		if o, _ := s.call.Ended(); s.over && (len(s.body.whole) == 0 || o.Result != decision.Succeeded) {
			c.mu.Unlock()
			return nil
		}
		p := s.body.first()
		c.mu.Unlock()
		if p != nil {
			return p
		}
		<-s.news
	}
}

// taken gives the backend's window back for what was taken.
func (s *stream) taken() {
	c := s.conn
	c.mu.Lock()
	n := uint32(0)
	if !s.over {
		n = s.credit()
	}
	c.mu.Unlock()
	if n == 0 {
		return
	}
	c.wmu.Lock()
	defer c.wmu.Unlock()
	_ = c.wrote(errors.Join(c.writer.WriteWindowUpdate(s.id, n), c.out.Flush()))
}

// pass passes a streamed answer on, and tells how that has ended: Answered, or why its client did not get all of it.
func (s *stream) pass(ctx context.Context, a *executor.Attempt, sink Sink) decision.Result {
	for begun := false; ; begun = true {
		p := s.take()
		if p == nil {
			return decision.Succeeded
		}
		if !begun {
			if !a.StartResponse() {
				s.conn.giveUp(s, (*grpcproto.Call).CalledOff)
				return decision.Cancelled
			}
			s.conn.mu.Lock()
			head := s.answer.Header
			s.conn.mu.Unlock()
			sink.Head(head)
		}
		if sink.Message(ctx, p) != nil {
			if errors.Is(a.CancelCause(), executor.ErrCancelled) || ctx.Err() == nil {
				s.conn.giveUp(s, (*grpcproto.Call).CalledOff)
				return decision.Cancelled
			}
			s.conn.giveUp(s, (*grpcproto.Call).TimedOut)
			return decision.TimedOut
		}
		s.taken()
	}
}
