package grpctransport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"pumicecroft/internal/grpcproto"
)

const (
	// streamWindow is how many bytes of a stream may be unread, and so about what a stream holds
	// beside its message.
	streamWindow = 64 << 10
	// connWindow is the same for a connection. It is returned as bytes arrive, so that a stream that
	// is not read delays no other.
	connWindow = 1 << 20
	// maxHeaderBytes limits a header, as HPACK counts it.
	maxHeaderBytes = 16 << 10
	// maxFrameBytes limits a frame that the backend sends.
	maxFrameBytes = 16 << 10
	// maxSendFrameBytes limits a frame that is sent, in addition to the backend's own limit.
	maxSendFrameBytes = 64 << 10
	// writeTimeout ends a connection on which a write makes no progress: nothing after it could be
	// sent either.
	writeTimeout = time.Second
	// maxIdleFrames is how many frames without content (pings, settings, empty data) a backend may
	// send for each stream that it ends.
	maxIdleFrames = 1000
	// maxStreamID is the stream after which a connection takes no new ones. HTTP/2 has 2^31.
	maxStreamID = 1 << 30
)

// Values that hold until the backend's settings arrive (RFC 9113, 6.5.2 and 6.9.2). HTTP/2 has no
// limit of streams then.
const (
	initialPeerStreams = 100
	initialWindow      = 65535
	initialPeerFrame   = 16384
)

var (
	errFlood        = errors.New("grpctransport: too many frames without content")
	errNoFreeStream = errors.New("grpctransport: no free stream")
	errGoAway       = errors.New("grpctransport: connection is draining")
)

// conn is one HTTP/2 connection to a backend. A goroutine of its own reads it; whoever has something
// to write writes it, with writeMu held. mu is never held while something waits for the network, and
// is taken after writeMu.
type conn struct {
	netConn     net.Conn
	maxStreams  int // open at once, by Config
	onClose     func(*conn)
	frameReader *http2.Framer

	writeMu     sync.Mutex
	writeBuffer *bufio.Writer
	frameWriter *http2.Framer
	headerBlock bytes.Buffer
	encoder     *hpack.Encoder

	mu                sync.Mutex
	changed           *sync.Cond // a window has grown, a stream has ended, or the connection has
	streams           map[uint32]*stream
	reserved          int // streams that are about to be opened
	nextStreamID      uint32
	peerMaxStreams    uint32    // open at once, by the backend's settings
	peerInitialWindow int64     // send window of a new stream, by the backend's settings
	peerMaxFrame      int       // largest frame that the backend takes, in bytes
	sendWindow        int64     // bytes that may be sent on all streams
	draining          bool      // no new streams: the backend has sent GOAWAY, or drain was called
	err               error     // why the connection has ended; nil: it has not
	emptyFrames       int       // frames without content since a stream ended
	idleSince         time.Time // valid while there are no streams
}

// newConn starts HTTP/2 on a connection. onClose is called once, when the connection has ended.
func newConn(netConn net.Conn, maxStreams int, onClose func(*conn)) (*conn, error) {
	c := &conn{
		netConn:           netConn,
		maxStreams:        maxStreams,
		onClose:           onClose,
		streams:           map[uint32]*stream{},
		nextStreamID:      1,
		peerMaxStreams:    initialPeerStreams,
		peerInitialWindow: initialWindow,
		peerMaxFrame:      initialPeerFrame,
		sendWindow:        initialWindow,
		idleSince:         time.Now(),
	}
	c.changed = sync.NewCond(&c.mu)
	c.writeBuffer = bufio.NewWriterSize(deadlineWriter{netConn}, 16<<10)
	c.frameWriter = http2.NewFramer(c.writeBuffer, nil)
	c.encoder = hpack.NewEncoder(&c.headerBlock)
	c.frameReader = http2.NewFramer(nil, bufio.NewReaderSize(netConn, 16<<10))
	c.frameReader.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	c.frameReader.MaxHeaderListSize = maxHeaderBytes
	c.frameReader.SetMaxReadFrameSize(maxFrameBytes)
	if err := c.writePreface(); err != nil {
		netConn.Close()
		return nil, err
	}
	go c.readLoop()
	return c, nil
}

// writePreface writes the client's preface and settings.
func (c *conn) writePreface() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, err := io.WriteString(c.writeBuffer, http2.ClientPreface)
	return errors.Join(err,
		c.frameWriter.WriteSettings(
			http2.Setting{ID: http2.SettingEnablePush, Val: 0},
			http2.Setting{ID: http2.SettingInitialWindowSize, Val: streamWindow},
			http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: maxHeaderBytes}),
		c.frameWriter.WriteWindowUpdate(0, connWindow-initialWindow),
		c.writeBuffer.Flush())
}

// deadlineWriter gives each write writeTimeout.
type deadlineWriter struct{ net.Conn }

func (w deadlineWriter) Write(p []byte) (int, error) {
	w.SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.Conn.Write(p)
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
	case len(c.streams)+c.reserved >= min(c.maxStreams, int(c.peerMaxStreams)), c.nextStreamID > maxStreamID:
		return errNoFreeStream
	}
	c.reserved++
	return nil
}

// connState says what a connection takes.
type connState int

const (
	stateOpen     connState = iota // new streams
	stateDraining                  // none, and its streams end
	stateClosed                    // it has ended
)

func (c *conn) state() connState {
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

// openStream opens the stream that was reserved and writes its header. If it returns an error and
// s.conn is nil, nothing was written.
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
	maxFrame := c.peerMaxFrame
	c.mu.Unlock()
	return c.checkWrite(c.writeHeader(s.id, fields, maxFrame))
}

// writeHeader writes a header in frames of maxFrame bytes at most. The caller holds writeMu.
func (c *conn) writeHeader(id uint32, fields []Field, maxFrame int) error {
	c.headerBlock.Reset()
	for _, f := range fields {
		_ = c.encoder.WriteField(hpack.HeaderField{Name: f.Name, Value: f.Value}) // into memory
	}
	block := c.headerBlock.Bytes()
	first := block[:min(len(block), maxFrame)]
	block = block[len(first):]
	err := c.frameWriter.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: first,
		EndHeaders: len(block) == 0})
	for err == nil && len(block) > 0 {
		next := block[:min(len(block), maxFrame)]
		block = block[len(next):]
		err = c.frameWriter.WriteContinuation(id, len(block) == 0, next)
	}
	return err
}

// checkWrite ends the connection if a write has failed. The caller holds writeMu.
func (c *conn) checkWrite(err error) error {
	if err != nil {
		c.fail(fmt.Errorf("grpctransport: write: %w", err))
	}
	return err
}

// sendBody writes a request's body. It blocks while the windows are closed, and returns when the body
// is written or the stream has ended.
func (c *conn) sendBody(s *stream, body []byte) {
	for {
		n, ok := c.takeSendWindow(s, len(body))
		if !ok || !c.writeData(s, body[:n], n == len(body)) {
			return
		}
		body = body[n:]
	}
}

// takeSendWindow takes up to n bytes of the windows, and blocks until there is one unless n is 0. It
// returns false if the stream has ended.
func (c *conn) takeSendWindow(s *stream, n int) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if s.ended || c.err != nil {
			return 0, false
		}
		size := int(min(int64(n), int64(c.peerMaxFrame), c.sendWindow, s.sendWindow))
		if size > 0 || n == 0 {
			c.sendWindow -= int64(size)
			s.sendWindow -= int64(size)
			return size, true
		}
		c.changed.Wait()
	}
}

// writeData writes a part of a request's body. It reports whether more is to be written.
func (c *conn) writeData(s *stream, data []byte, last bool) bool {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.mu.Lock()
	ended := s.ended
	if last && !ended {
		s.call.Sent()
	}
	c.mu.Unlock()
	if ended {
		return false
	}
	err := c.frameWriter.WriteData(s.id, last, data)
	if err == nil { // a part is flushed too: the backend may open the window only when it has it
		err = c.writeBuffer.Flush()
	}
	return c.checkWrite(err) == nil && !last
}

// resetStream ends a stream from this side. event tells its call why.
func (c *conn) resetStream(s *stream, event func(*grpcproto.Call)) {
	c.mu.Lock()
	if s.ended {
		c.mu.Unlock()
		return
	}
	event(&s.call)
	c.finishStream(s)
	c.mu.Unlock()
	c.sendReset(s.id)
}

// sendReset tells the backend that a stream is not waited for.
func (c *conn) sendReset(id uint32) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	// the connection knows
	_ = c.checkWrite(errors.Join(c.frameWriter.WriteRSTStream(id, http2.ErrCodeCancel), c.writeBuffer.Flush()))
}

// finishStream removes a stream that has ended. The caller holds mu.
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

// finishIfEnded removes a stream whose call has ended. The caller holds mu.
func (c *conn) finishIfEnded(s *stream) {
	if _, ended := s.call.Ended(); !ended || s.ended {
		return
	}
	if !s.response.complete || !s.call.RequestSent() { // the backend may still be sending, in vain
		go c.sendReset(s.id)
	}
	c.finishStream(s)
}

// noteIdle notes if the connection has no streams, and closes it then if it is draining. The caller
// holds mu.
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

// idleFor returns for how long the connection has had no stream; 0 means that it has one.
func (c *conn) idleFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.streams)+c.reserved > 0 {
		return 0
	}
	return now.Sub(c.idleSince)
}

// drain lets no new stream onto the connection, and closes it when its streams have ended.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.noteIdle()
}

// fail ends the connection and all streams on it. writeMu may be held, mu may not.
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
