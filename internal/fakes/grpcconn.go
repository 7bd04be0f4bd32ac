package fakes

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// defaultWindow is HTTP/2's initial flow-control window, in bytes.
const defaultWindow = 65535

// grpcConn is one connection of a GRPCBackend.
type grpcConn struct {
	backend *GRPCBackend
	conn    net.Conn

	mu            sync.Mutex // guards the fields below and writes to conn
	framer        *http2.Framer
	headerBuffer  bytes.Buffer // output of encoder
	encoder       *hpack.Encoder
	streams       map[uint32]*grpcStream // open streams by ID
	highestStream uint32                 // largest stream ID so far
	window        int64                  // the connection's flow-control window for sending
	initialWindow int64                  // initial size of a stream's window, as set by the client
	windowChanged *sync.Cond             // a window has grown, or a stream or the connection has ended
	closed        bool
}

// newGRPCConn returns the state of an accepted connection.
func newGRPCConn(b *GRPCBackend, conn net.Conn) *grpcConn {
	c := &grpcConn{
		backend: b, conn: conn, framer: http2.NewFramer(conn, conn), streams: map[uint32]*grpcStream{},
		window: defaultWindow, initialWindow: defaultWindow,
	}
	c.encoder = hpack.NewEncoder(&c.headerBuffer)
	c.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	c.windowChanged = sync.NewCond(&c.mu)
	return c
}

// grpcStream is the HTTP/2 stream of one call.
type grpcStream struct {
	id          uint32
	fields      map[string]string   // header fields by name, the last value of each
	metadata    map[string][]string // header fields by name, all values
	body        []byte
	window      int64 // flow-control window for sending
	resetByPeer bool  // the client has sent RST_STREAM
	dropped     bool  // the call must not be executed; see GRPCBackend.DropAbove
	ctx         context.Context
	cancel      context.CancelFunc
}

// serve reads and handles frames until the connection ends.
func (c *grpcConn) serve() {
	defer c.end()
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(c.conn, preface); err != nil || string(preface) != http2.ClientPreface {
		return
	}
	var settings []http2.Setting
	if n := c.backend.config.MaxStreams; n > 0 {
		settings = append(settings, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: n})
	}
	if n := c.backend.config.Window; n > 0 {
		settings = append(settings, http2.Setting{ID: http2.SettingInitialWindowSize, Val: n})
	}
	c.mu.Lock()
	err := c.framer.WriteSettings(settings...)
	c.mu.Unlock()
	for err == nil {
		var frame http2.Frame
		if frame, err = c.framer.ReadFrame(); err == nil {
			err = c.handleFrame(frame)
		}
	}
}

// end cancels the calls of a connection and removes it from its backend.
func (c *grpcConn) end() {
	c.mu.Lock()
	c.closed = true
	for _, s := range c.streams {
		s.cancel()
	}
	c.windowChanged.Broadcast()
	c.mu.Unlock()
	c.conn.Close()
	c.backend.mu.Lock()
	delete(c.backend.conns, c)
	c.backend.mu.Unlock()
}

// handleFrame handles one frame from the client.
func (c *grpcConn) handleFrame(f http2.Frame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch f := f.(type) {
	case *http2.SettingsFrame:
		return c.handleSettings(f)
	case *http2.PingFrame:
		if !f.IsAck() {
			return c.framer.WritePing(true, f.Data)
		}
	case *http2.WindowUpdateFrame:
		if f.StreamID == 0 {
			c.window += int64(f.Increment)
		} else if s := c.streams[f.StreamID]; s != nil {
			s.window += int64(f.Increment)
		}
		c.windowChanged.Broadcast()
	case *http2.RSTStreamFrame:
		if s := c.streams[f.StreamID]; s != nil {
			s.resetByPeer = true
			c.backend.resets.Add(1)
			s.cancel()
			c.windowChanged.Broadcast()
		}
	case *http2.MetaHeadersFrame:
		c.handleHeaders(f)
	case *http2.DataFrame:
		return c.handleData(f)
	}
	return nil
}

// handleSettings applies the client's initial window size and acknowledges its settings. c.mu must be held.
func (c *grpcConn) handleSettings(f *http2.SettingsFrame) error {
	if f.IsAck() {
		return nil
	}
	if v, ok := f.Value(http2.SettingInitialWindowSize); ok {
		for _, s := range c.streams {
			s.window += int64(v) - c.initialWindow
		}
		c.initialWindow = int64(v)
		c.windowChanged.Broadcast()
	}
	return c.framer.WriteSettingsAck()
}

// handleHeaders opens a stream, and handles its request if that has no body. c.mu must be held.
func (c *grpcConn) handleHeaders(f *http2.MetaHeadersFrame) {
	s := &grpcStream{
		id: f.StreamID, fields: map[string]string{}, metadata: map[string][]string{}, window: c.initialWindow,
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for _, h := range f.Fields {
		s.fields[h.Name] = h.Value
		s.metadata[h.Name] = append(s.metadata[h.Name], h.Value)
	}
	c.streams[s.id] = s
	c.highestStream = max(c.highestStream, s.id)
	if f.StreamEnded() {
		c.handleRequest(s)
	}
}

// handleData appends to a stream's request body and updates the flow-control windows by its length, unless
// GRPCConfig.Window is set. c.mu must be held.
func (c *grpcConn) handleData(f *http2.DataFrame) error {
	s := c.streams[f.StreamID]
	if s == nil {
		return nil
	}
	s.body = append(s.body, f.Data()...)
	if n := uint32(len(f.Data())); n > 0 && c.backend.config.Window == 0 {
		if err := c.framer.WriteWindowUpdate(0, n); err != nil {
			return err
		}
		if !f.StreamEnded() {
			if err := c.framer.WriteWindowUpdate(s.id, n); err != nil {
				return err
			}
		}
	}
	if f.StreamEnded() {
		c.handleRequest(s)
	}
	return nil
}

// grpcPrefixBytes is the length of the prefix of a gRPC message: a compression flag of one byte and the length of the
// message in four.
const grpcPrefixBytes = 5

// handleRequest records a request that was received completely as an attempt, and answers it on a new goroutine. c.mu
// must be held.
func (c *grpcConn) handleRequest(s *grpcStream) {
	config := &c.backend.config
	attempt := &Attempt{
		Backend: config.Name, Class: s.fields[":path"], ID: s.fields["request-id"], Key: s.fields["idempotency-key"],
		At: time.Now(), RemoteAddr: c.conn.RemoteAddr().String(), Timeout: s.fields["grpc-timeout"],
		Metadata: s.metadata,
	}
	if len(s.body) >= grpcPrefixBytes {
		attempt.Body = string(s.body[grpcPrefixBytes:])
	}
	if config.execute != nil {
		attempt.Class = attempt.Class[strings.LastIndexByte(attempt.Class, '/')+1:]
		c.backend.running.Go(func() { c.answerAsBackend(s, attempt) })
		return
	}
	if config.Cell != nil {
		attempt.Cell = config.Cell.Number
	}
	config.Ledger.add(attempt)
	c.backend.running.Go(func() { c.answer(s, attempt) })
}

// removeStream removes a stream whose response is complete.
func (c *grpcConn) removeStream(s *grpcStream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.cancel()
	delete(c.streams, s.id)
}
