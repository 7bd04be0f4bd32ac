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
	// maxHeaderBytes bounds a head, in bytes as they are counted in HPACK.
	maxHeaderBytes = 16 << 10
	// A write that has made no way for this long ends its connection: nothing behind it could go out either.
	writeTimeout = time.Second
	// maxIdleFrames is how many frames that carry nothing (pings, settings, empty data) a backend may send for each
	// stream that it ends.
	maxIdleFrames = 1000
)

var (
	errFlood        = errors.New("grpcback: too many frames that carry nothing")
	errNoFreeStream = errors.New("grpcback: no stream is free")
	errGoAway       = errors.New("grpcback: the backend has said GOAWAY")
)

// Field is one field of metadata, its name in lower case.
type Field struct{ Name, Value string }

// stream is one attempt on a connection. Its fields are guarded by conn.mu but for those that say otherwise.
type stream struct {
	conn             *conn
	id               uint32
	call             grpcproto.Call
	sendWindow       int64 // for what this side sends
	response         Response
	messages         messageBuffer // of the answer: of a unary one all of it, of a streamed one what was not taken
	changed          chan struct{} // holds one when a streamed answer has gone on; nil: it is a unary one
	unreturnedWindow uint32        // of the stream's window, given back when what was sent is taken
	done             chan struct{} // closed when call has ended
	ended            bool          // done is closed
}

// conn is one connection over HTTP/2 to a backend. The reader is a goroutine of its own; whoever has something to
// write writes it, under wmu. mu is never held while something waits for the network; wmu is taken before mu.
type conn struct {
	netConn     net.Conn
	maxStreams  int // streams at once, by this side's configuration
	onClose     func(*conn)
	frameReader *http2.Framer

	writeMu     sync.Mutex
	writeBuffer *bufio.Writer
	frameWriter *http2.Framer
	headerBlock bytes.Buffer
	encoder     *hpack.Encoder

	mu                sync.Mutex
	changed           *sync.Cond // a window was opened, a stream has ended, or the connection has
	streams           map[uint32]*stream
	reserved          int // streams that are about to be opened
	nextStreamID      uint32
	peerMaxStreams    uint32    // streams at once, by the backend's settings
	peerInitialWindow int64     // window of a new stream, by the backend's settings
	peerMaxFrame      int       // largest frame that the backend takes
	sendWindow        int64     // for what this side sends on all streams
	draining          bool      // GOAWAY has come
	err               error     // why it has ended
	emptyFrames       int       // frames that carried nothing since the last end of a stream
	idleSince         time.Time // it has had no stream since
}

// newConn begins a connection; onEnd is called once, when it takes nothing any more.
func newConn(nc net.Conn, most int, onEnd func(*conn)) (*conn, error) {
	c := &conn{netConn: nc, maxStreams: most, onClose: onEnd, streams: map[uint32]*stream{}, nextStreamID: 1, peerMaxStreams: 100, peerInitialWindow: 65535, peerMaxFrame: 16384, sendWindow: 65535,
		idleSince: time.Now()}
	c.changed = sync.NewCond(&c.mu)
	c.writeBuffer = bufio.NewWriterSize(deadlineWriter{nc}, 16<<10)
	c.frameWriter = http2.NewFramer(c.writeBuffer, nil)
	c.encoder = hpack.NewEncoder(&c.headerBlock)
	c.frameReader = http2.NewFramer(nil, bufio.NewReaderSize(nc, 16<<10))
	c.frameReader.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	c.frameReader.MaxHeaderListSize = maxHeaderBytes
	c.frameReader.SetMaxReadFrameSize(16 << 10)
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, err := io.WriteString(c.writeBuffer, http2.ClientPreface)
	err = errors.Join(err, c.frameWriter.WriteSettings(http2.Setting{ID: http2.SettingEnablePush, Val: 0},
		http2.Setting{ID: http2.SettingInitialWindowSize, Val: streamWindow}, http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: maxHeaderBytes}),
		c.frameWriter.WriteWindowUpdate(0, connWindow-65535), c.writeBuffer.Flush())
	if err != nil {
		nc.Close()
		return nil, err
	}
	go c.readLoop()
	return c, nil
}

// deadlineWriter gives each write a time.
type deadlineWriter struct{ net.Conn }

func (d deadlineWriter) Write(p []byte) (int, error) {
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
	case c.draining:
		return errGoAway
	case len(c.streams)+c.reserved >= min(c.maxStreams, int(c.peerMaxStreams)) || c.nextStreamID > 1<<30:
		return errNoFreeStream
	}
	c.reserved++
	return nil
}

// What a connection takes.
const (
	stateOpen     = iota // new streams
	stateDraining        // none, and ends what it has
	stateClosed          // nothing
)

func (c *conn) state() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.err != nil:
		return stateClosed
	case c.draining:
		return stateDraining
	}
	return stateOpen
}

// openStream opens the stream that was reserved and writes its head.
func (c *conn) openStream(s *stream, fields []Field) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.mu.Lock()
	c.reserved--
	err := c.err
	if err == nil && c.draining {
		err = errGoAway
	}
	if err != nil {
		c.noteIdle()
		c.mu.Unlock()
		return err
	}
	s.conn, s.id, s.sendWindow = c, c.nextStreamID, c.peerInitialWindow
	c.nextStreamID += 2
	c.streams[s.id] = s
	s.call.Opened()
	frame := c.peerMaxFrame
	c.mu.Unlock()

	c.headerBlock.Reset()
	for _, f := range fields {
		_ = c.encoder.WriteField(hpack.HeaderField{Name: f.Name, Value: f.Value})
	}
	block := c.headerBlock.Bytes()
	first := block[:min(len(block), frame)]
	block = block[len(first):]
	err = c.frameWriter.WriteHeaders(http2.HeadersFrameParam{StreamID: s.id, BlockFragment: first, EndHeaders: len(block) == 0})
	for err == nil && len(block) > 0 {
		next := block[:min(len(block), frame)]
		block = block[len(next):]
		err = c.frameWriter.WriteContinuation(s.id, len(block) == 0, next)
	}
	return c.checkWrite(err)
}

// checkWrite ends the connection if a write has failed; it wants wmu.
func (c *conn) checkWrite(err error) error {
	if err != nil {
		c.fail(fmt.Errorf("grpcback: write: %w", err))
	}
	return err
}

// sendBody writes the request's body, as the windows allow. It returns early when the stream has ended.
func (c *conn) sendBody(s *stream, p []byte) {
	for {
		c.mu.Lock()
		n := 0
		for {
			if s.ended || c.err != nil {
				c.mu.Unlock()
				return
			}
			if n = int(min(int64(len(p)), int64(c.peerMaxFrame), c.sendWindow, s.sendWindow)); n > 0 || len(p) == 0 {
				break
			}
			c.changed.Wait()
		}
		c.sendWindow -= int64(n)
		s.sendWindow -= int64(n)
		last := n == len(p)
		c.mu.Unlock()

		c.writeMu.Lock()
		c.mu.Lock()
		over := s.ended
		if last && !over {
			s.call.Sent()
		}
		c.mu.Unlock()
		if !over {
			err := c.frameWriter.WriteData(s.id, last, p[:n])
			if err == nil { // also of a part: the backend may open the window only when it has it
				err = c.writeBuffer.Flush()
			}
			if c.checkWrite(err) != nil {
				over = true
			}
		}
		c.writeMu.Unlock()
		if p = p[n:]; last || over {
			return
		}
	}
}

// resetStream ends a stream from this side: as says how.
func (c *conn) resetStream(s *stream, as func(*grpcproto.Call)) {
	c.mu.Lock()
	if s.ended {
		c.mu.Unlock()
		return
	}
	as(&s.call)
	c.finishStream(s)
	c.mu.Unlock()
	c.sendReset(s.id)
}

// finishStream lets a stream go that has ended; it wants mu.
func (c *conn) finishStream(s *stream) {
	if s.ended {
		return
	}
	s.ended = true
	close(s.done)
	s.notify()
	delete(c.streams, s.id)
	c.emptyFrames = 0
	c.noteIdle()
	c.changed.Broadcast()
}

// noteIdle notes that the connection has no streams; one that takes none any more is closed then. It wants mu.
func (c *conn) noteIdle() {
	if len(c.streams)+c.reserved > 0 {
		return
	}
	c.idleSince = time.Now()
	if c.draining && c.err == nil {
		c.err = errGoAway
		c.netConn.Close()
	}
}

// idleFor tells for how long the connection has had no stream; 0: it has one.
func (c *conn) idleFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.streams)+c.reserved > 0 {
		return 0
	}
	return now.Sub(c.idleSince)
}

// fail ends the connection and all that is on it. It may be called with wmu held, not with mu.
func (c *conn) fail(err error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = err
	}
	for _, s := range c.streams {
		s.call.ConnectionLost()
		c.finishStream(s)
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	c.netConn.Close()
}

// readLoop takes frames until the connection ends.
func (c *conn) readLoop() {
	defer c.onClose(c)
	for {
		f, err := c.frameReader.ReadFrame()
		var se http2.StreamError
		if errors.As(err, &se) { // such as a head that makes no sense
			c.failStream(se.StreamID)
			continue
		}
		if err == nil {
			err = c.handleFrame(f)
		}
		if err != nil {
			c.fail(fmt.Errorf("grpcback: read: %w", err))
			return
		}
	}
}

// failStream ends a stream of which came what can't be read.
func (c *conn) failStream(id uint32) {
	c.mu.Lock()
	s := c.streams[id]
	c.mu.Unlock()
	if s != nil {
		c.resetStream(s, func(k *grpcproto.Call) { k.MalformedResponse("a head that can't be read") })
	}
}

// handleFrame deals with one frame.
func (c *conn) handleFrame(f http2.Frame) error {
	var answer func() error // to be written once mu is let go
	c.mu.Lock()
	idle := true
	switch f := f.(type) {
	case *http2.SettingsFrame:
		if !f.IsAck() {
			err := f.ForeachSetting(func(s http2.Setting) error { return c.applySetting(s) })
			if err != nil {
				c.mu.Unlock()
				return err
			}
			answer = c.frameWriter.WriteSettingsAck
		}
	case *http2.PingFrame:
		if data := f.Data; !f.IsAck() {
			answer = func() error { return c.frameWriter.WritePing(true, data) }
		}
	case *http2.WindowUpdateFrame:
		if f.StreamID == 0 {
			c.sendWindow += int64(f.Increment)
		} else if s := c.streams[f.StreamID]; s != nil {
			s.sendWindow += int64(f.Increment)
		}
		c.changed.Broadcast()
		idle = false
	case *http2.GoAwayFrame:
		c.draining = true
		for _, s := range c.streams {
			s.call.GoAway(f.LastStreamID, s.id)
			c.finishIfEnded(s)
		}
		c.noteIdle()
	case *http2.RSTStreamFrame:
		if s := c.streams[f.StreamID]; s != nil {
			s.call.Reset(uint32(f.ErrCode))
			c.finishIfEnded(s)
		}
	case *http2.MetaHeadersFrame:
		if s := c.streams[f.StreamID]; s != nil {
			s.handleHeaders(f)
			c.finishIfEnded(s)
		}
	case *http2.DataFrame:
		n := f.Length
		idle = n == 0
		s := c.streams[f.StreamID]
		if s != nil {
			s.handleData(f.Data(), f.StreamEnded())
			c.finishIfEnded(s)
		}
		if n > 0 {
			id, back := f.StreamID, uint32(0)
			if s != nil && !s.ended {
				s.unreturnedWindow += n
				back = s.takeWindowCredit()
			}
			answer = func() error {
				err := c.frameWriter.WriteWindowUpdate(0, n)
				if back > 0 {
					err = errors.Join(err, c.frameWriter.WriteWindowUpdate(id, back))
				}
				return err
			}
		}
	}
	if idle {
		c.emptyFrames++
	}
	flood := c.emptyFrames > maxIdleFrames
	c.mu.Unlock()
	if flood {
		return errFlood
	}
	if answer == nil {
		return nil
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return errors.Join(answer(), c.writeBuffer.Flush())
}

// applySetting takes one of the backend's settings; it wants mu.
func (c *conn) applySetting(s http2.Setting) error {
	if err := s.Valid(); err != nil {
		return err
	}
	switch s.ID {
	case http2.SettingMaxConcurrentStreams:
		c.peerMaxStreams = s.Val
	case http2.SettingMaxFrameSize:
		c.peerMaxFrame = int(min(s.Val, 64<<10))
	case http2.SettingInitialWindowSize:
		for _, st := range c.streams {
			st.sendWindow += int64(s.Val) - c.peerInitialWindow
		}
		c.peerInitialWindow = int64(s.Val)
		c.changed.Broadcast()
	}
	return nil
}

// finishIfEnded lets a stream go whose call has ended; it wants mu.
func (c *conn) finishIfEnded(s *stream) {
	if _, ended := s.call.Ended(); ended && !s.ended {
		if id := s.id; !s.response.complete || !s.call.RequestSent() { // the backend may still be sending: it need not
			go c.sendReset(id)
		}
		c.finishStream(s)
	}
}

// sendReset tells the backend that a stream is not waited for.
func (c *conn) sendReset(id uint32) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_ = c.checkWrite(errors.Join(c.frameWriter.WriteRSTStream(id, http2.ErrCodeCancel), c.writeBuffer.Flush()))
}

// handleHeaders takes a head of the answer.
func (s *stream) handleHeaders(f *http2.MetaHeadersFrame) {
	if f.Truncated {
		s.call.MalformedResponse("a head over the limit")
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
			s.response.Message = h.Value
		case "grpc-retry-pushback-ms":
			t.Pushback = h.Value
		case "content-type":
			contentType = h.Value
		case "x-ratelimit-used": // this and the next are for the door, in a head or in trailers
			s.response.usage = h.Value
		case "server-load":
			s.response.loadReport = h.Value
		default:
			rest = append(rest, Field{h.Name, h.Value})
		}
	}
	if !s.call.ResponseStarted() {
		if !f.StreamEnded() {
			s.response.Header = rest
			s.call.ResponseHeaders(f.PseudoValue("status"), contentType)
			return
		}
		if status := f.PseudoValue("status"); status != "200" {
			s.call.ResponseHeaders(status, contentType)
			return
		}
	} else if !f.StreamEnded() {
		s.call.ResponseHeaders("", "") // a second one
		return
	}
	s.response.complete = true
	s.response.Trailer = rest
	s.call.Trailers(t)
}

// handleData takes a part of the answer's body.
func (s *stream) handleData(p []byte, last bool) {
	s.call.Data(p, last)
	if _, ended := s.call.Ended(); !ended {
		s.messages.add(p)
		s.notify()
	}
}

// takeWindowCredit is how much of its window a stream gives back now: what has come, unless it is a streamed answer that is not
// read as fast as it comes. A message that is not whole is waited for, however long it is; its length is bounded. It wants
// the connection's lock.
func (s *stream) takeWindowCredit() uint32 {
	if s.changed != nil && len(s.messages.complete) > 0 {
		return 0
	}
	n := s.unreturnedWindow
	s.unreturnedWindow = 0
	return n
}

// messageBuffer are those of an answer that are there, each in memory of its own, with its prefix.
type messageBuffer struct {
	complete [][]byte
	partial  []byte // the one that is coming
}

// maxInitialBuffer is how much memory a message is given before it has come, in bytes: its prefix may promise more than follows.
const maxInitialBuffer = 64 << 10

// add takes in the next bytes, which are known to be framed well.
func (m *messageBuffer) add(p []byte) {
	for len(p) > 0 {
		if m.partial == nil {
			room := 5
			if len(p) >= 5 {
				room = min(5+int(binary.BigEndian.Uint32(p[1:])), maxInitialBuffer)
			}
			m.partial = make([]byte, 0, room)
		}
		want := 5
		if len(m.partial) >= 5 {
			want += int(binary.BigEndian.Uint32(m.partial[1:]))
		}
		if want > cap(m.partial) && cap(m.partial) <= 5 {
			m.partial = append(make([]byte, 0, min(want, maxInitialBuffer)), m.partial...)
		}
		n := min(want-len(m.partial), len(p))
		m.partial = append(m.partial, p[:n]...)
		p = p[n:]
		if len(m.partial) >= 5 && len(m.partial) == 5+int(binary.BigEndian.Uint32(m.partial[1:])) {
			m.complete, m.partial = append(m.complete, m.partial), nil
		}
	}
}

// next takes the first whole message out; nil: there is none.
func (m *messageBuffer) next() []byte {
	if len(m.complete) == 0 {
		return nil
	}
	p := m.complete[0]
	m.complete[0] = nil
	if m.complete = m.complete[1:]; len(m.complete) == 0 {
		m.complete = nil
	}
	return p
}

// notify rouses who passes a streamed answer on.
func (s *stream) notify() {
	if s.changed != nil {
		select {
		case s.changed <- struct{}{}:
		default:
		}
	}
}

// nextMessage gives the next message of a streamed answer, or nil once it has ended; a message that came before a good end is
// given, one before a bad end need not be.
func (s *stream) nextMessage() []byte {
	c := s.conn
	for {
		c.mu.Lock()
		if o, _ := s.call.Ended(); s.ended && (len(s.messages.complete) == 0 || o.Result != decision.Succeeded) {
			c.mu.Unlock()
			return nil
		}
		p := s.messages.next()
		c.mu.Unlock()
		if p != nil {
			return p
		}
		<-s.changed
	}
}

// returnWindow gives the backend's window back for what was taken.
func (s *stream) returnWindow() {
	c := s.conn
	c.mu.Lock()
	n := uint32(0)
	if !s.ended {
		n = s.takeWindowCredit()
	}
	c.mu.Unlock()
	if n == 0 {
		return
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_ = c.checkWrite(errors.Join(c.frameWriter.WriteWindowUpdate(s.id, n), c.writeBuffer.Flush()))
}

// forwardTo passes a streamed answer on, and tells how that has ended: Answered, or why its client did not get all of it.
func (s *stream) forwardTo(ctx context.Context, a *executor.Attempt, sink Sink) decision.Result {
	for begun := false; ; begun = true {
		p := s.nextMessage()
		if p == nil {
			return decision.Succeeded
		}
		if !begun {
			if !a.StartResponse() {
				s.conn.resetStream(s, (*grpcproto.Call).Cancelled)
				return decision.Cancelled
			}
			s.conn.mu.Lock()
			head := s.response.Header
			s.conn.mu.Unlock()
			sink.WriteHeader(head)
		}
		if sink.WriteMessage(ctx, p) != nil {
			if errors.Is(a.CancelCause(), executor.ErrCancelled) || ctx.Err() == nil {
				s.conn.resetStream(s, (*grpcproto.Call).Cancelled)
				return decision.Cancelled
			}
			s.conn.resetStream(s, (*grpcproto.Call).TimedOut)
			return decision.TimedOut
		}
		s.returnWindow()
	}
}
