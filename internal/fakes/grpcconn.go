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

	mu            sync.Mutex // guards what follows, and writing
	framer        *http2.Framer
	headerBuffer  bytes.Buffer
	encoder       *hpack.Encoder
	streams       map[uint32]*grpcStream
	highestStream uint32
	window        int64 // for what the backend sends, of the connection
	initialWindow int64
	windowChanged *sync.Cond // a window has grown, or a stream or the connection has ended
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

// grpcStream is one call.
type grpcStream struct {
	id          uint32
	fields      map[string]string
	metadata    map[string][]string
	body        []byte
	window      int64
	resetByPeer bool // by the other side
	dropped     bool // it must not be executed
	ctx         context.Context
	cancel      context.CancelFunc
}

// serve reads frames until the connection ends.
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

// handleSettings applies the client's initial window and acknowledges its settings. c.mu must be held.
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

// handleHeaders opens a stream. c.mu must be held.
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

// handleData adds to a stream's request body and opens the windows again by its length. c.mu must be held.
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

// grpcPrefixBytes is the length of the prefix of a gRPC message: a flag for compression and the message's length.
const grpcPrefixBytes = 5

// handleRequest starts the response to a request that has arrived completely. c.mu must be held.
func (c *grpcConn) handleRequest(s *grpcStream) {
	config := &c.backend.config
	attempt := &Attempt{
		Backend: config.Name, Class: s.fields[":path"], ID: s.fields["request-id"], Key: s.fields["idempotency-key"],
		At: time.Now(), RemoteAddr: c.conn.RemoteAddr().String(), Timeout: s.fields["grpc-timeout"], Metadata: s.metadata,
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

// removeStream removes a stream that has been answered.
func (c *grpcConn) removeStream(s *grpcStream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.cancel()
	delete(c.streams, s.id)
}
