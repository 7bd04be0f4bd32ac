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
type GRPCAct int

// The acts. All but those that say "unrun" have run the request before they do what they say.
const (
	GRPCServe          GRPCAct = iota // head, one message, status 0
	GRPCStream                        // head, three messages, status 0
	GRPCHeadThenHang                  // head, and then nothing
	GRPCHang                          // nothing
	GRPCRefuseStream                  // RST_STREAM with REFUSED_STREAM; unrun
	GRPCGoAwayBelow                   // GOAWAY with a last stream below this one; unrun
	GRPCResetCancel                   // RST_STREAM with CANCEL
	GRPCResetLate                     // head and message, and RST_STREAM in place of the status
	GRPCBreak                         // the connection ends
	GRPCBreakLate                     // head and half a message, and the connection ends
	GRPCInternal                      // trailers only: status 13
	GRPCNotFound                      // trailers only: status 5
	GRPCPushBack                      // trailers only: status 14 with grpc-retry-pushback-ms; unrun
	GRPCNoMessage                     // status 0 without a message
	GRPCTwoMessages                   // status 0 with two
	GRPCTrailersCut                   // the stream ends with its data
	GRPCTooLong                       // a message of GRPCTooLongBytes
	GRPCStreamBreak                   // head, one message, and the connection ends
	GRPCStreamHang                    // head, one message, and then nothing
	GRPCStreamInternal                // head, one message, and status 13
	GRPCEndless                       // messages of GRPCEndlessBytes, as the windows allow, until the other side ends it
)

// GRPCEndlessBytes is the length of each message of GRPCEndless.
const GRPCEndlessBytes = 16 << 10

// GRPCTooLongBytes is the length of the message of GRPCTooLong.
const GRPCTooLongBytes = 8 << 20

// unrun tells whether an act leaves the request unrun.
func (a GRPCAct) unrun() bool {
	return a == GRPCRefuseStream || a == GRPCGoAwayBelow || a == GRPCPushBack
}

// GRPCConfig says what a gRPC backend is like.
type GRPCConfig struct {
	Name   string
	Cell   *Cell
	Keyed  func(method string) bool // which methods have effects that must stay single
	Act    func(Attempt) GRPCAct    // nil: GRPCServe
	Work   time.Duration
	Ledger *Ledger
	// MaxStreams is told as SETTINGS_MAX_CONCURRENT_STREAMS; 0: nothing is told.
	MaxStreams uint32
	// Window is told as SETTINGS_INITIAL_WINDOW_SIZE, and no window is ever opened again: a longer message gets stuck.
	// 0: the usual one, opened again as it is used.
	Window uint32
	// Between, if it is there, is waited for after the message of GRPCResetLate and of the acts that end a stream after one.
	Between func(Attempt)

	// deal, if it is there, has the backend act as a Backend does, and all but MaxStreams and Window is its.
	deal func(ctx context.Context, a *Attempt) (act Act, use string, ok bool)
}

// GRPCBackend is a stand-in for a backend that speaks gRPC, written on HTTP/2's frames so that it can fail in each of
// HTTP/2's ways. Its methods' names are its classes. A unary answer is "done " and the request's id.
type GRPCBackend struct {
	config GRPCConfig
	ln     net.Listener
	ran    sync.WaitGroup

	mu    sync.Mutex
	conns map[*grpcConn]bool
	ended bool
	total int // connections so far
	sent  atomic.Int64
	reset atomic.Int64
}

// StartGRPC starts one on a loopback port of the system's choosing.
func StartGRPC(c GRPCConfig) (*GRPCBackend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &GRPCBackend{config: c, ln: ln, conns: map[*grpcConn]bool{}}
	b.ran.Go(b.accept)
	return b, nil
}

// Addr is where it listens.
func (b *GRPCBackend) Addr() string { return b.ln.Addr().String() }

// Conns tells how many connections are open, and how many there were.
func (b *GRPCBackend) Conns() (open, total int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns), b.total
}

// Resets tells how many streams the other side has reset while they were open.
func (b *GRPCBackend) Resets() int64 { return b.reset.Load() }

// Sent tells how many bytes of answers' bodies it has sent.
func (b *GRPCBackend) Sent() int64 { return b.sent.Load() }

// Kill ends it with all its connections.
func (b *GRPCBackend) Kill() {
	b.ln.Close()
	b.mu.Lock()
	b.ended = true
	for c := range b.conns {
		c.conn.Close()
	}
	b.mu.Unlock()
	b.ran.Wait()
}

// GoAway sends GOAWAY on all connections, with the highest stream so far less some as the last: those above it were not
// looked at, and their attempts must not be in an act that has run.
func (b *GRPCBackend) GoAway(less uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.mu.Lock()
		_ = c.framer.WriteGoAway(c.highest-min(less, c.highest), http2.ErrCodeNo, nil)
		c.mu.Unlock()
	}
}

// ForgetAbove drops the streams of the highest numbers on each connection, less as in GoAway: they are not run, whatever
// their acts wait for.
func (b *GRPCBackend) ForgetAbove(less uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.mu.Lock()
		for id, s := range c.streams {
			if id > c.highest-min(less, c.highest) {
				s.dropped = true
			}
		}
		c.mu.Unlock()
	}
}

func (b *GRPCBackend) accept() {
	for {
		conn, err := b.ln.Accept()
		if err != nil {
			return
		}
		c := &grpcConn{b: b, conn: conn, framer: http2.NewFramer(conn, conn), streams: map[uint32]*grpcStream{}, window: 65535, initial: 65535}
		c.encoder = hpack.NewEncoder(&c.head)
		c.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
		c.opened = sync.NewCond(&c.mu)
		b.mu.Lock()
		if b.ended {
			b.mu.Unlock()
			conn.Close()
			return
		}
		b.conns[c] = true
		b.total++
		b.ran.Go(c.serve)
		b.mu.Unlock()
	}
}

// grpcConn is one connection. mu guards what is written, and the windows.
type grpcConn struct {
	b    *GRPCBackend
	conn net.Conn

	mu      sync.Mutex
	framer  *http2.Framer
	head    bytes.Buffer
	encoder *hpack.Encoder
	streams map[uint32]*grpcStream
	highest uint32
	window  int64 // for what this side sends
	initial int64
	opened  *sync.Cond // windows or ends have changed
	ended   bool
}

type grpcStream struct {
	id      uint32
	fields  map[string]string
	all     map[string][]string
	body    []byte
	window  int64
	reset   bool // by the other side
	dropped bool // it is not run
	ctx     context.Context
	leave   context.CancelFunc
}

func (c *grpcConn) serve() {
	defer func() {
		c.mu.Lock()
		c.ended = true
		for _, s := range c.streams {
			s.leave()
		}
		c.opened.Broadcast()
		c.mu.Unlock()
		c.conn.Close()
		c.b.mu.Lock()
		delete(c.b.conns, c)
		c.b.mu.Unlock()
	}()
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(c.conn, preface); err != nil || string(preface) != http2.ClientPreface {
		return
	}
	var settings []http2.Setting
	if n := c.b.config.MaxStreams; n > 0 {
		settings = append(settings, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: n})
	}
	if n := c.b.config.Window; n > 0 {
		settings = append(settings, http2.Setting{ID: http2.SettingInitialWindowSize, Val: n})
	}
	c.mu.Lock()
	err := c.framer.WriteSettings(settings...)
	c.mu.Unlock()
	for err == nil {
		var f http2.Frame
		if f, err = c.framer.ReadFrame(); err == nil {
			err = c.take(f)
		}
	}
}

// take deals with one frame.
func (c *grpcConn) take(f http2.Frame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch f := f.(type) {
	case *http2.SettingsFrame:
		if f.IsAck() {
			return nil
		}
		if v, ok := f.Value(http2.SettingInitialWindowSize); ok {
			for _, s := range c.streams {
				s.window += int64(v) - c.initial
			}
			c.initial = int64(v)
			c.opened.Broadcast()
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
		c.opened.Broadcast()
	case *http2.RSTStreamFrame:
		if s := c.streams[f.StreamID]; s != nil {
			s.reset = true
			c.b.reset.Add(1)
			s.leave()
			c.opened.Broadcast()
		}
	case *http2.MetaHeadersFrame:
		s := &grpcStream{id: f.StreamID, fields: map[string]string{}, all: map[string][]string{}, window: c.initial}
		s.ctx, s.leave = context.WithCancel(context.Background())
		for _, h := range f.Fields {
			s.fields[h.Name] = h.Value
			s.all[h.Name] = append(s.all[h.Name], h.Value)
		}
		c.streams[s.id] = s
		c.highest = max(c.highest, s.id)
		if f.StreamEnded() {
			c.whole(s)
		}
	case *http2.DataFrame:
		s := c.streams[f.StreamID]
		if s == nil {
			return nil
		}
		s.body = append(s.body, f.Data()...)
		if n := uint32(len(f.Data())); n > 0 && c.b.config.Window == 0 {
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
			c.whole(s)
		}
	}
	return nil
}

// whole is a request that has come whole; it wants the lock.
func (c *grpcConn) whole(s *grpcStream) {
	a := &Attempt{Backend: c.b.config.Name, Class: s.fields[":path"], ID: s.fields["request-id"], Key: s.fields["idempotency-key"], At: time.Now(),
		Conn: c.conn.RemoteAddr().String(), Timeout: s.fields["grpc-timeout"], Metadata: s.all}
	if len(s.body) >= 5 {
		a.Body = string(s.body[5:])
	}
	if c.b.config.deal != nil {
		a.Class = a.Class[strings.LastIndexByte(a.Class, '/')+1:]
		c.b.ran.Go(func() { c.dealt(s, a) })
		return
	}
	if c.b.config.Cell != nil {
		a.Cell = c.b.config.Cell.Number
	}
	c.b.config.Ledger.add(a)
	c.b.ran.Go(func() { c.answer(s, a) })
}

// dealt answers as a Backend does.
func (c *grpcConn) dealt(s *grpcStream, a *Attempt) {
	defer c.forget(s)
	act, use, ok := c.b.config.deal(s.ctx, a)
	if !ok {
		return
	}
	end := [][2]string{{"grpc-status", "0"}}
	if use != "" {
		end = append(end, [2]string{"x-ratelimit-used", use})
	}
	switch act {
	case Work:
		c.headers(s, false, nil)
		c.data(s, answerTo(a.ID), false)
		c.headers(s, true, end)
	case TurnAway:
		c.only(s, "14", "20")
	case RunAndError:
		c.only(s, "13", "")
	case Hang, HangUnrun:
		<-s.ctx.Done()
	case RunAndSpoil:
		c.headers(s, false, nil)
		c.raw(s, []byte("\x07noise noise"), false)
		c.headers(s, true, end)
	case RunAndCut:
		c.headers(s, false, nil)
		c.raw(s, []byte{0, 0, 0, 0, 99, 1, 2}, false)
		c.conn.Close()
	default: // RunAndBreak, BreakUnheard
		c.conn.Close()
	}
}

// forget drops a stream that has its answer.
func (c *grpcConn) forget(s *grpcStream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.leave()
	delete(c.streams, s.id)
}

// answer does what the act says.
func (c *grpcConn) answer(s *grpcStream, a *Attempt) {
	b := c.b.config
	act := GRPCServe
	if b.Act != nil {
		act = b.Act(*a)
	}
	if b.Work > 0 {
		time.Sleep(b.Work)
	}
	c.mu.Lock()
	dropped := s.dropped
	c.mu.Unlock()
	if dropped {
		b.Ledger.end(a, "dropped", false)
		c.forget(s)
		return
	}
	effect := !act.unrun() && b.Keyed != nil && b.Keyed(a.Class) && b.Cell.first(a.Key, time.Now())
	how := "served"
	if act != GRPCServe && act != GRPCStream && act != GRPCEndless {
		how = "act " + strconv.Itoa(int(act))
	}
	b.Ledger.end(a, how, effect)
	done := "done " + a.ID
	ok := [][2]string{{"grpc-status", "0"}}
	switch act {
	case GRPCServe:
		c.headers(s, false, nil)
		c.data(s, done, false)
		c.headers(s, true, ok)
	case GRPCStream:
		c.headers(s, false, nil)
		for i := range 3 {
			c.data(s, done+" "+strconv.Itoa(i), false)
		}
		c.headers(s, true, ok)
	case GRPCHeadThenHang:
		c.headers(s, false, nil)
		return
	case GRPCHang:
		return
	case GRPCRefuseStream:
		c.reset(s, http2.ErrCodeRefusedStream)
	case GRPCGoAwayBelow:
		c.mu.Lock()
		_ = c.framer.WriteGoAway(s.id-1, http2.ErrCodeNo, nil)
		c.mu.Unlock()
	case GRPCResetCancel:
		c.reset(s, http2.ErrCodeCancel)
	case GRPCResetLate:
		c.headers(s, false, nil)
		c.data(s, done, false)
		c.between(a)
		c.reset(s, http2.ErrCodeInternal)
	case GRPCBreak:
		c.conn.Close()
	case GRPCBreakLate:
		c.headers(s, false, nil)
		c.raw(s, []byte{0, 0, 0, 0, 99, 1, 2}, false)
		c.conn.Close()
	case GRPCInternal:
		c.only(s, "13", "")
	case GRPCNotFound:
		c.only(s, "5", "")
	case GRPCPushBack:
		c.only(s, "14", "20")
	case GRPCNoMessage:
		c.headers(s, false, nil)
		c.headers(s, true, ok)
	case GRPCTwoMessages:
		c.headers(s, false, nil)
		c.data(s, done, false)
		c.data(s, done, false)
		c.headers(s, true, ok)
	case GRPCTrailersCut:
		c.headers(s, false, nil)
		c.data(s, done, true)
	case GRPCStreamBreak, GRPCStreamHang, GRPCStreamInternal:
		c.headers(s, false, nil)
		c.data(s, done, false)
		c.between(a)
		switch act {
		case GRPCStreamBreak:
			c.conn.Close()
		case GRPCStreamHang:
			<-s.ctx.Done()
		default:
			c.headers(s, true, [][2]string{{"grpc-status", "13"}, {"grpc-message", "as scripted"}})
		}
	case GRPCEndless:
		c.headers(s, false, nil)
		for s.ctx.Err() == nil {
			c.data(s, string(make([]byte, GRPCEndlessBytes)), false)
		}
	case GRPCTooLong:
		c.headers(s, false, nil)
		c.data(s, string(make([]byte, GRPCTooLongBytes)), false)
		c.headers(s, true, ok)
	}
	c.forget(s)
}

func (c *grpcConn) between(a *Attempt) {
	if f := c.b.config.Between; f != nil {
		f(*a)
	}
}

// headers writes the answer's head, or its last one with more fields.
func (c *grpcConn) headers(s *grpcStream, last bool, fields [][2]string) {
	if !last {
		fields = append([][2]string{{":status", "200"}, {"content-type", "application/grpc"}}, fields...)
	}
	c.fields(s, last, fields)
}

// only writes an answer that is trailers alone.
func (c *grpcConn) only(s *grpcStream, status, pushback string) {
	fields := [][2]string{{":status", "200"}, {"content-type", "application/grpc"}, {"grpc-status", status}, {"grpc-message", "as scripted"}}
	if pushback != "" {
		fields = append(fields, [2]string{"grpc-retry-pushback-ms", pushback})
	}
	c.fields(s, true, fields)
}

func (c *grpcConn) fields(s *grpcStream, last bool, fields [][2]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.reset || c.ended {
		return
	}
	c.head.Reset()
	for _, f := range fields {
		_ = c.encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	_ = c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: s.id, BlockFragment: c.head.Bytes(), EndHeaders: true, EndStream: last})
}

func (c *grpcConn) reset(s *grpcStream, code http2.ErrCode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.reset && !c.ended {
		_ = c.framer.WriteRSTStream(s.id, code)
	}
}

// data writes a message.
func (c *grpcConn) data(s *grpcStream, message string, last bool) {
	c.raw(s, append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message))), message...), last)
}

// raw writes bytes as the windows allow.
func (c *grpcConn) raw(s *grpcStream, p []byte, last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(p) > 0 {
		n := min(int64(len(p)), 16384, c.window, s.window)
		if s.reset || c.ended {
			return
		}
		if n <= 0 {
			c.opened.Wait()
			continue
		}
		c.window -= n
		c.b.sent.Add(n)
		s.window -= n
		if c.framer.WriteData(s.id, last && int(n) == len(p), p[:n]) != nil {
			return
		}
		p = p[n:]
	}
}
