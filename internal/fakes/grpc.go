package fakes

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// GRPCAct is what a gRPC backend does with one attempt, down to the frames.
type GRPCBehavior int

// The acts. All but those that say "unrun" have run the request before they do what they say.
const (
	GRPCServe             GRPCBehavior = iota // head, one message, status 0
	GRPCStream                                // head, three messages, status 0
	GRPCHeadersThenHang                       // head, and then nothing
	GRPCHang                                  // nothing
	GRPCRefuseStream                          // RST_STREAM with REFUSED_STREAM; unrun
	GRPCGoAwayBelow                           // GOAWAY with a last stream below this one; unrun
	GRPCResetCancel                           // RST_STREAM with CANCEL
	GRPCResetAfterMessage                     // head and message, and RST_STREAM in place of the status
	GRPCClose                                 // the connection ends
	GRPCCloseMidMessage                       // head and half a message, and the connection ends
	GRPCInternal                              // trailers only: status 13
	GRPCNotFound                              // trailers only: status 5
	GRPCRetryPushback                         // trailers only: status 14 with grpc-retry-pushback-ms; unrun
	GRPCNoMessage                             // status 0 without a message
	GRPCTwoMessages                           // status 0 with two
	GRPCMissingTrailers                       // the stream ends with its data
	GRPCMessageTooLarge                       // a message of GRPCTooLongBytes
	GRPCStreamClose                           // head, one message, and the connection ends
	GRPCStreamHang                            // head, one message, and then nothing
	GRPCStreamInternal                        // head, one message, and status 13
	GRPCEndless                               // messages of GRPCEndlessBytes, as the windows allow, until the other side ends it
)

// GRPCEndlessBytes is the length of each message of GRPCEndless.
const GRPCEndlessBytes = 16 << 10

// GRPCTooLongBytes is the length of the message of GRPCTooLong.
const GRPCLargeMessageBytes = 8 << 20

// unrun tells whether an act leaves the request unrun.
func (a GRPCBehavior) notExecuted() bool {
	return a == GRPCRefuseStream || a == GRPCGoAwayBelow || a == GRPCRetryPushback
}

// GRPCConfig says what a gRPC backend is like.
type GRPCConfig struct {
	Name            string
	Cell            *Cell
	IdempotentByKey func(method string) bool   // which methods have effects that must stay single
	Behavior        func(Attempt) GRPCBehavior // nil: GRPCServe
	WorkTime        time.Duration
	Ledger          *Ledger
	// MaxStreams is told as SETTINGS_MAX_CONCURRENT_STREAMS; 0: nothing is told.
	MaxStreams uint32
	// Window is told as SETTINGS_INITIAL_WINDOW_SIZE, and no window is ever opened again: a longer message gets stuck.
	// 0: the usual one, opened again as it is used.
	Window uint32
	// Between, if it is there, is waited for after the message of GRPCResetLate and of the acts that end a stream after one.
	AfterMessage func(Attempt)

	// deal, if it is there, has the backend act as a Backend does, and all but MaxStreams and Window is its.
	execute func(ctx context.Context, a *Attempt) (act Behavior, use string, ok bool)
}

// GRPCBackend is a stand-in for a backend that speaks gRPC, written on HTTP/2's frames so that it can fail in each of
// HTTP/2's ways. Its methods' names are its classes. A unary answer is "done " and the request's id.
type GRPCBackend struct {
	config  GRPCConfig
	ln      net.Listener
	running sync.WaitGroup

	mu         sync.Mutex
	conns      map[*grpcConn]bool
	closed     bool
	totalConns int // connections so far
	sentBytes  atomic.Int64
	resets     atomic.Int64
}

// StartGRPC starts one on a loopback port of the system's choosing.
func StartGRPC(c GRPCConfig) (*GRPCBackend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &GRPCBackend{config: c, ln: ln, conns: map[*grpcConn]bool{}}
	b.running.Go(b.acceptConns)
	return b, nil
}

// Addr is where it listens.
func (b *GRPCBackend) Addr() string { return b.ln.Addr().String() }

// Conns tells how many connections are open, and how many there were.
func (b *GRPCBackend) Conns() (open, total int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns), b.totalConns
}

// Resets tells how many streams the other side has reset while they were open.
func (b *GRPCBackend) Resets() int64 { return b.resets.Load() }

// Sent tells how many bytes of answers' bodies it has sent.
func (b *GRPCBackend) Sent() int64 { return b.sentBytes.Load() }

// Kill ends it with all its connections.
func (b *GRPCBackend) Kill() {
	b.ln.Close()
	b.mu.Lock()
	b.closed = true
	for c := range b.conns {
		c.conn.Close()
	}
	b.mu.Unlock()
	b.running.Wait()
}

// GoAway sends GOAWAY on all connections, with the highest stream so far less some as the last: those above it were not
// looked at, and their attempts must not be in an act that has run.
func (b *GRPCBackend) GoAway(less uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.mu.Lock()
		_ = c.framer.WriteGoAway(c.highestStream-min(less, c.highestStream), http2.ErrCodeNo, nil)
		c.mu.Unlock()
	}
}

// ForgetAbove drops the streams of the highest numbers on each connection, less as in GoAway: they are not run, whatever
// their acts wait for.
func (b *GRPCBackend) DropAbove(less uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.mu.Lock()
		for id, s := range c.streams {
			if id > c.highestStream-min(less, c.highestStream) {
				s.dropped = true
			}
		}
		c.mu.Unlock()
	}
}

func (b *GRPCBackend) acceptConns() {
	for {
		conn, err := b.ln.Accept()
		if err != nil {
			return
		}
		c := &grpcConn{backend: b, conn: conn, framer: http2.NewFramer(conn, conn), streams: map[uint32]*grpcStream{}, window: 65535, initialWindow: 65535}
		c.encoder = hpack.NewEncoder(&c.headerBuffer)
		c.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
		c.windowChanged = sync.NewCond(&c.mu)
		b.mu.Lock()
		if b.closed {
			b.mu.Unlock()
			conn.Close()
			return
		}
		b.conns[c] = true
		b.totalConns++
		b.running.Go(c.serve)
		b.mu.Unlock()
	}
}

// grpcConn is one connection. mu guards what is written, and the windows.
type grpcConn struct {
	backend *GRPCBackend
	conn    net.Conn

	mu            sync.Mutex
	framer        *http2.Framer
	headerBuffer  bytes.Buffer
	encoder       *hpack.Encoder
	streams       map[uint32]*grpcStream
	highestStream uint32
	window        int64 // for what this side sends
	initialWindow int64
	windowChanged *sync.Cond // windows or ends have changed
	closed        bool
}

type grpcStream struct {
	id          uint32
	fields      map[string]string
	metadata    map[string][]string
	body        []byte
	window      int64
	resetByPeer bool // by the other side
	dropped     bool // it is not run
	ctx         context.Context
	cancel      context.CancelFunc
}

func (c *grpcConn) serve() {
	defer func() {
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
	}()
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
		var f http2.Frame
		if f, err = c.framer.ReadFrame(); err == nil {
			err = c.handleFrame(f)
		}
	}
}

// take deals with one frame.
func (c *grpcConn) handleFrame(f http2.Frame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch f := f.(type) {
	case *http2.SettingsFrame:
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
		s := &grpcStream{id: f.StreamID, fields: map[string]string{}, metadata: map[string][]string{}, window: c.initialWindow}
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
	case *http2.DataFrame:
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
	}
	return nil
}

// whole is a request that has come whole; it wants the lock.
func (c *grpcConn) handleRequest(s *grpcStream) {
	a := &Attempt{Backend: c.backend.config.Name, Class: s.fields[":path"], ID: s.fields["request-id"], Key: s.fields["idempotency-key"], At: time.Now(),
		RemoteAddr: c.conn.RemoteAddr().String(), Timeout: s.fields["grpc-timeout"], Metadata: s.metadata}
	if len(s.body) >= 5 {
		a.Body = string(s.body[5:])
	}
	if c.backend.config.execute != nil {
		a.Class = a.Class[strings.LastIndexByte(a.Class, '/')+1:]
		c.backend.running.Go(func() { c.answerAsBackend(s, a) })
		return
	}
	if c.backend.config.Cell != nil {
		a.Cell = c.backend.config.Cell.Number
	}
	c.backend.config.Ledger.add(a)
	c.backend.running.Go(func() { c.answer(s, a) })
}

// dealt answers as a Backend does.
func (c *grpcConn) answerAsBackend(s *grpcStream, a *Attempt) {
	defer c.removeStream(s)
	act, use, ok := c.backend.config.execute(s.ctx, a)
	if !ok {
		return
	}
	end := [][2]string{{"grpc-status", "0"}}
	if use != "" {
		end = append(end, [2]string{"x-ratelimit-used", use})
	}
	switch act {
	case ServeNormally:
		c.writeHeaders(s, false, nil)
		c.writeMessage(s, responseBody(a.ID), false)
		c.writeHeaders(s, true, end)
	case RejectNotStarted:
		c.writeTrailersOnly(s, "14", "20")
	case ExecuteThenError:
		c.writeTrailersOnly(s, "13", "")
	case ExecuteThenHang, HangWithoutExecution:
		<-s.ctx.Done()
	case ExecuteThenGarble:
		c.writeHeaders(s, false, nil)
		c.writeData(s, []byte("\x07noise noise"), false)
		c.writeHeaders(s, true, end)
	case ExecuteThenTruncate:
		c.writeHeaders(s, false, nil)
		c.writeData(s, []byte{0, 0, 0, 0, 99, 1, 2}, false)
		c.conn.Close()
	default: // RunAndBreak, BreakUnheard
		c.conn.Close()
	}
}

// forget drops a stream that has its answer.
func (c *grpcConn) removeStream(s *grpcStream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.cancel()
	delete(c.streams, s.id)
}

// answer does what the act says.
func (c *grpcConn) answer(s *grpcStream, a *Attempt) {
	b := c.backend.config
	act := GRPCServe
	if b.Behavior != nil {
		act = b.Behavior(*a)
	}
	if b.WorkTime > 0 {
		time.Sleep(b.WorkTime)
	}
	c.mu.Lock()
	dropped := s.dropped
	c.mu.Unlock()
	if dropped {
		b.Ledger.finish(a, "dropped", false)
		c.removeStream(s)
		return
	}
	effect := !act.notExecuted() && b.IdempotentByKey != nil && b.IdempotentByKey(a.Class) && b.Cell.firstUse(a.Key, time.Now())
	how := "served"
	if act != GRPCServe && act != GRPCStream && act != GRPCEndless {
		how = "act " + strconv.Itoa(int(act))
	}
	b.Ledger.finish(a, how, effect)
	done := "done " + a.ID
	ok := [][2]string{{"grpc-status", "0"}}
	switch act {
	case GRPCServe:
		c.writeHeaders(s, false, nil)
		c.writeMessage(s, done, false)
		c.writeHeaders(s, true, ok)
	case GRPCStream:
		c.writeHeaders(s, false, nil)
		for i := range 3 {
			c.writeMessage(s, done+" "+strconv.Itoa(i), false)
		}
		c.writeHeaders(s, true, ok)
	case GRPCHeadersThenHang:
		c.writeHeaders(s, false, nil)
		return
	case GRPCHang:
		return
	case GRPCRefuseStream:
		c.resetStream(s, http2.ErrCodeRefusedStream)
	case GRPCGoAwayBelow:
		c.mu.Lock()
		_ = c.framer.WriteGoAway(s.id-1, http2.ErrCodeNo, nil)
		c.mu.Unlock()
	case GRPCResetCancel:
		c.resetStream(s, http2.ErrCodeCancel)
	case GRPCResetAfterMessage:
		c.writeHeaders(s, false, nil)
		c.writeMessage(s, done, false)
		c.afterMessage(a)
		c.resetStream(s, http2.ErrCodeInternal)
	case GRPCClose:
		c.conn.Close()
	case GRPCCloseMidMessage:
		c.writeHeaders(s, false, nil)
		c.writeData(s, []byte{0, 0, 0, 0, 99, 1, 2}, false)
		c.conn.Close()
	case GRPCInternal:
		c.writeTrailersOnly(s, "13", "")
	case GRPCNotFound:
		c.writeTrailersOnly(s, "5", "")
	case GRPCRetryPushback:
		c.writeTrailersOnly(s, "14", "20")
	case GRPCNoMessage:
		c.writeHeaders(s, false, nil)
		c.writeHeaders(s, true, ok)
	case GRPCTwoMessages:
		c.writeHeaders(s, false, nil)
		c.writeMessage(s, done, false)
		c.writeMessage(s, done, false)
		c.writeHeaders(s, true, ok)
	case GRPCMissingTrailers:
		c.writeHeaders(s, false, nil)
		c.writeMessage(s, done, true)
	case GRPCStreamClose, GRPCStreamHang, GRPCStreamInternal:
		c.writeHeaders(s, false, nil)
		c.writeMessage(s, done, false)
		c.afterMessage(a)
		switch act {
		case GRPCStreamClose:
			c.conn.Close()
		case GRPCStreamHang:
			<-s.ctx.Done()
		default:
			c.writeHeaders(s, true, [][2]string{{"grpc-status", "13"}, {"grpc-message", "as scripted"}})
		}
	case GRPCEndless:
		c.writeHeaders(s, false, nil)
		for s.ctx.Err() == nil {
			c.writeMessage(s, string(make([]byte, GRPCEndlessBytes)), false)
		}
	case GRPCMessageTooLarge:
		c.writeHeaders(s, false, nil)
		c.writeMessage(s, string(make([]byte, GRPCLargeMessageBytes)), false)
		c.writeHeaders(s, true, ok)
	}
	c.removeStream(s)
}

func (c *grpcConn) afterMessage(a *Attempt) {
	if f := c.backend.config.AfterMessage; f != nil {
		f(*a)
	}
}

// headers writes the answer's head, or its last one with more fields.
func (c *grpcConn) writeHeaders(s *grpcStream, last bool, fields [][2]string) {
	if !last {
		fields = append([][2]string{{":status", "200"}, {"content-type", "application/grpc"}}, fields...)
	}
	c.writeHeaderFields(s, last, fields)
}

// only writes an answer that is trailers alone.
func (c *grpcConn) writeTrailersOnly(s *grpcStream, status, pushback string) {
	fields := [][2]string{{":status", "200"}, {"content-type", "application/grpc"}, {"grpc-status", status}, {"grpc-message", "as scripted"}}
	if pushback != "" {
		fields = append(fields, [2]string{"grpc-retry-pushback-ms", pushback})
	}
	c.writeHeaderFields(s, true, fields)
}

func (c *grpcConn) writeHeaderFields(s *grpcStream, last bool, fields [][2]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.resetByPeer || c.closed {
		return
	}
	c.headerBuffer.Reset()
	for _, f := range fields {
		_ = c.encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	_ = c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: s.id, BlockFragment: c.headerBuffer.Bytes(), EndHeaders: true, EndStream: last})
}

func (c *grpcConn) resetStream(s *grpcStream, code http2.ErrCode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.resetByPeer && !c.closed {
		_ = c.framer.WriteRSTStream(s.id, code)
	}
}

// data writes a message.
func (c *grpcConn) writeMessage(s *grpcStream, message string, last bool) {
	c.writeData(s, append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message))), message...), last)
}

// raw writes bytes as the windows allow.
func (c *grpcConn) writeData(s *grpcStream, p []byte, last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(p) > 0 {
		n := min(int64(len(p)), 16384, c.window, s.window)
		if s.resetByPeer || c.closed {
			return
		}
		if n <= 0 {
			c.windowChanged.Wait()
			continue
		}
		c.window -= n
		c.backend.sentBytes.Add(n)
		s.window -= n
		if c.framer.WriteData(s.id, last && int(n) == len(p), p[:n]) != nil {
			return
		}
		p = p[n:]
	}
}
