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
	// streamWindow is the flow-control window of a stream, in bytes. A stream buffers about as much
	// in addition to its current message.
	streamWindow = 64 << 10
	// connWindow is the flow-control window of a connection, in bytes. Its credit is returned as
	// bytes arrive, so that a stream that nobody reads does not delay the others.
	connWindow = 1 << 20
	// maxHeaderBytes limits a header list that the backend sends, as HPACK counts its size.
	maxHeaderBytes = 16 << 10
	// maxFrameBytes limits a frame that the backend sends.
	maxFrameBytes = 16 << 10
	// maxSendFrameBytes limits a frame that is sent to the backend, in addition to the backend's own
	// limit.
	maxSendFrameBytes = 64 << 10
	// writeTimeout limits each write to a connection. The connection is closed when it passes, as
	// frames behind a blocked write could not be sent either.
	writeTimeout = time.Second
	// maxEmptyFrames is the number of frames without content that a backend may send between the ends
	// of two streams. All frames count (such as pings, settings and empty data) but WINDOW_UPDATE and
	// DATA with content.
	maxEmptyFrames = 1000
	// maxStreamID is the highest stream ID that a connection uses. HTTP/2 allows IDs up to 2^31-1.
	maxStreamID = 1 << 30
)

// Values that apply until the backend's settings arrive (RFC 9113, 6.5.2 and 6.9.2). HTTP/2 itself does
// not limit the number of streams until then.
const (
	initialPeerStreams = 100
	initialWindow      = 65535 // bytes
	initialPeerFrame   = 16384 // bytes
)

var (
	errEmptyFrameFlood = errors.New("grpctransport: too many frames without content")
	errNoFreeStream    = errors.New("grpctransport: no free stream")
	errGoAway          = errors.New("grpctransport: connection is draining")
)

// conn is an HTTP/2 connection to a backend. One goroutine reads from it; any goroutine may write to it
// while it holds writeMu. A goroutine that needs both locks takes writeMu before mu. mu is never held
// during network I/O.
type conn struct {
	netConn     net.Conn
	maxStreams  int // limit of concurrent streams from Config
	onClose     func(*conn)
	frameReader *http2.Framer

	writeMu     sync.Mutex
	writeBuffer *bufio.Writer
	frameWriter *http2.Framer
	headerBlock bytes.Buffer
	encoder     *hpack.Encoder

	mu                sync.Mutex
	changed           *sync.Cond // signals that a send window has grown, or a stream or the connection has ended
	streams           map[uint32]*stream
	reserved          int // streams that are reserved and not opened yet
	nextStreamID      uint32
	peerMaxStreams    uint32    // the backend's limit of concurrent streams
	peerInitialWindow int64     // the backend's initial window for each stream, in bytes
	peerMaxFrame      int       // largest frame that may be sent, in bytes
	sendWindow        int64     // bytes that may be sent on all streams together
	draining          bool      // no new streams: the backend has sent GOAWAY, or drain was called
	err               error     // why the connection has ended, or nil while it is open
	emptyFrames       int       // frames without content since the last stream ended
	idleSince         time.Time // valid while no streams are open or reserved
}

// newConn starts HTTP/2 on netConn. onClose is called once, when the connection has ended.
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

// writePreface writes the HTTP/2 client preface, the settings and the connection's window.
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

// deadlineWriter limits each write to writeTimeout.
type deadlineWriter struct{ net.Conn }

func (w deadlineWriter) Write(p []byte) (int, error) {
	w.SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.Conn.Write(p)
}

// reserve reserves a stream for openStream. It fails if the connection has no free stream, drains or
// has ended.
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

// unreserve gives back a stream that reserve has reserved and that is not opened.
func (c *conn) unreserve() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reserved--
	c.updateIdle()
}

// connState is the state of a connection.
type connState int

const (
	stateOpen     connState = iota // accepts new streams
	stateDraining                  // accepts no new streams; open ones may finish
	stateClosed                    // has ended
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

// openStream opens a reserved stream and writes the request headers. If it returns an error and s.conn
// is nil, nothing was written.
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
		c.updateIdle()
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

// writeHeader writes a header block in frames of at most maxFrame bytes. The caller holds writeMu.
func (c *conn) writeHeader(id uint32, fields []Field, maxFrame int) error {
	c.headerBlock.Reset()
	for _, f := range fields {
		_ = c.encoder.WriteField(hpack.HeaderField{Name: f.Name, Value: f.Value}) // writing to a buffer cannot fail
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

// checkWrite ends the connection if err, the result of a write, is not nil. It returns err. The caller
// holds writeMu.
func (c *conn) checkWrite(err error) error {
	if err != nil {
		c.fail(fmt.Errorf("grpctransport: write: %w", err))
	}
	return err
}

// sendBody writes a request body. It blocks while the send windows are exhausted, and returns when the
// body is written or the stream has ended.
func (c *conn) sendBody(s *stream, body []byte) {
	for {
		n, ok := c.takeSendWindow(s, len(body))
		if !ok || !c.writeData(s, body[:n], n == len(body)) {
			return
		}
		body = body[n:]
	}
}

// takeSendWindow takes up to n bytes from the send windows of the connection and the stream. Unless n is
// 0, it blocks until at least one byte is available. It returns false if the stream has ended.
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

// writeData writes a part of a request body. It reports whether the caller should write more.
func (c *conn) writeData(s *stream, data []byte, last bool) bool {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.mu.Lock()
	ended := s.ended
	if last && !ended {
		s.call.OnRequestSent()
	}
	c.mu.Unlock()
	if ended {
		return false
	}
	err := c.frameWriter.WriteData(s.id, last, data)
	if err == nil { // parts are flushed too, as the backend may wait for them before it extends the window
		err = c.writeBuffer.Flush()
	}
	return c.checkWrite(err) == nil && !last
}

// resetStream resets a stream that has not ended. event reports the reason to its call.
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

// sendReset sends RST_STREAM with the code CANCEL.
func (c *conn) sendReset(id uint32) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	// checkWrite handles the error by closing the connection.
	_ = c.checkWrite(errors.Join(c.frameWriter.WriteRSTStream(id, http2.ErrCodeCancel), c.writeBuffer.Flush()))
}

// finishStream marks a stream as ended and removes it from the connection. The caller holds mu.
func (c *conn) finishStream(s *stream) {
	if s.ended {
		return
	}
	s.ended = true
	close(s.done)
	s.notify()
	delete(c.streams, s.id)
	c.emptyFrames = 0
	c.updateIdle()
	c.changed.Broadcast()
}

// finishIfEnded finishes a stream if its call has ended. The caller holds mu.
func (c *conn) finishIfEnded(s *stream) {
	if _, ended := s.call.Ended(); !ended || s.ended {
		return
	}
	if !s.response.complete || !s.call.RequestSent() { // the backend may still be sending or waiting for data
		go c.sendReset(s.id)
	}
	c.finishStream(s)
}

// updateIdle sets idleSince if the connection has no streams, and then closes the connection if it is
// draining. The caller holds mu.
func (c *conn) updateIdle() {
	if len(c.streams)+c.reserved > 0 {
		return
	}
	c.idleSince = time.Now()
	if c.draining && c.err == nil {
		c.err = errGoAway
		c.netConn.Close()
	}
}

// idleFor returns for how long the connection has had no streams, or 0 if it has any.
func (c *conn) idleFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.streams)+c.reserved > 0 {
		return 0
	}
	return now.Sub(c.idleSince)
}

// drain stops new streams on the connection, and closes it when its open streams have ended.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.updateIdle()
}

// fail closes the connection and ends all its streams. The caller may hold writeMu but not mu.
func (c *conn) fail(err error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = err
	}
	for _, s := range c.streams {
		s.call.OnConnectionLost()
		c.finishStream(s)
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	c.netConn.Close()
}
