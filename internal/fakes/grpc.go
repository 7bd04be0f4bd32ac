package fakes

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
)

// GRPCBehavior is the HTTP/2 frames with which a gRPC backend responds to one attempt.
type GRPCBehavior int

// The behaviors of a gRPC backend. It executes the request before its response, unless "not executed" is said.
const (
	GRPCServe             GRPCBehavior = iota // headers, one message, status 0
	GRPCStream                                // headers, three messages, status 0
	GRPCHeadersThenHang                       // headers, then nothing
	GRPCHang                                  // nothing
	GRPCRefuseStream                          // RST_STREAM with REFUSED_STREAM; not executed
	GRPCGoAwayBelow                           // GOAWAY whose last stream ID is below this stream's; not executed
	GRPCResetCancel                           // RST_STREAM with CANCEL
	GRPCResetAfterMessage                     // headers and one message, then RST_STREAM instead of the status
	GRPCClose                                 // the connection is closed
	GRPCCloseMidMessage                       // headers and a part of a message, then the connection is closed
	GRPCInternal                              // trailers only: status 13
	GRPCNotFound                              // trailers only: status 5
	GRPCRetryPushback                         // trailers only: status 14 with grpc-retry-pushback-ms; not executed
	GRPCNoMessage                             // status 0 without a message
	GRPCTwoMessages                           // status 0 with two messages
	GRPCMissingTrailers                       // headers and one message, which ends the stream without trailers
	GRPCMessageTooLarge                       // a message of GRPCLargeMessageBytes
	GRPCStreamClose                           // headers, one message, then the connection is closed
	GRPCStreamHang                            // headers, one message, then nothing
	GRPCStreamInternal                        // headers, one message, status 13
	GRPCEndless                               // messages of GRPCEndlessBytes until the client ends the stream
	GRPCStreamPause                           // headers, one message, a pause of AfterMessage, another message, status 0
)

// GRPCEndlessBytes is the length of each message of GRPCEndless.
const GRPCEndlessBytes = 16 << 10

// GRPCLargeMessageBytes is the length of the message of GRPCMessageTooLarge.
const GRPCLargeMessageBytes = 8 << 20

// notExecuted reports whether the request is not executed with a behavior.
func (b GRPCBehavior) notExecuted() bool {
	return b == GRPCRefuseStream || b == GRPCGoAwayBelow || b == GRPCRetryPushback
}

// GRPCConfig configures a GRPCBackend.
type GRPCConfig struct {
	Name string
	Cell *Cell
	// IdempotentByKey reports whether the effects of a method are recorded. Those of repeated keys, which Cell drops,
	// are not. nil means that no effects are recorded.
	IdempotentByKey func(method string) bool
	Behavior        func(Attempt) GRPCBehavior // nil means GRPCServe
	WorkTime        time.Duration              // before the response
	Ledger          *Ledger
	// MaxStreams is sent as SETTINGS_MAX_CONCURRENT_STREAMS. 0 means that the setting is not sent.
	MaxStreams uint32
	// Window, in bytes, is sent as SETTINGS_INITIAL_WINDOW_SIZE, and no WINDOW_UPDATE is sent later, so that a longer
	// message stalls. 0 means HTTP/2's default window, which is updated when data arrives.
	Window uint32
	// AfterMessage, unless nil, is called after the message of GRPCResetAfterMessage, GRPCStreamClose, GRPCStreamHang
	// and GRPCStreamInternal, and after the first one of GRPCStreamPause.
	AfterMessage func(Attempt)

	// execute, unless nil, makes the backend respond like a Backend. All other fields but MaxStreams and Window are
	// ignored then.
	execute func(ctx context.Context, attempt *Attempt) (behavior Behavior, usage string, ok bool)
}

// GRPCBackend is a fake backend that speaks gRPC. It writes HTTP/2 frames itself, so that it can fail in every way that
// HTTP/2 allows. The class of an attempt is its full method name. A unary response is "done " and the request ID.
type GRPCBackend struct {
	config  GRPCConfig
	ln      net.Listener
	running sync.WaitGroup

	mu         sync.Mutex
	conns      map[*grpcConn]bool
	closed     bool
	totalConns int          // connections accepted so far
	sentBytes  atomic.Int64 // length of all DATA frames written
	resets     atomic.Int64 // open streams that clients have reset
}

// StartGRPC starts a gRPC backend on a free loopback port.
func StartGRPC(c GRPCConfig) (*GRPCBackend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &GRPCBackend{config: c, ln: ln, conns: map[*grpcConn]bool{}}
	b.running.Go(b.acceptConns)
	return b, nil
}

// Addr returns the address that the backend listens on.
func (b *GRPCBackend) Addr() string { return b.ln.Addr().String() }

// Conns returns the number of open connections and the number of connections accepted so far.
func (b *GRPCBackend) Conns() (open, total int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns), b.totalConns
}

// Resets returns the number of streams that clients reset while they were open.
func (b *GRPCBackend) Resets() int64 { return b.resets.Load() }

// SentBytes returns the total length of the response bodies sent so far, in bytes.
func (b *GRPCBackend) SentBytes() int64 { return b.sentBytes.Load() }

// Kill closes the listener and all connections, and waits until the backend's goroutines have ended.
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

// GoAway sends GOAWAY on all connections. The last stream ID in it is the highest one so far minus less. To the client,
// streams above it were not executed, so the caller must make sure that they are not; see DropAbove.
func (b *GRPCBackend) GoAway(less uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.mu.Lock()
		_ = c.framer.WriteGoAway(c.highestStream-min(less, c.highestStream), http2.ErrCodeNo, nil)
		c.mu.Unlock()
	}
}

// DropAbove drops the streams of each connection whose ID is above the highest one minus less, as in GoAway: they are
// not executed and get no response, whatever their behavior is.
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

// acceptConns serves connections until the listener is closed.
func (b *GRPCBackend) acceptConns() {
	for {
		conn, err := b.ln.Accept()
		if err != nil {
			return
		}
		c := newGRPCConn(b, conn)
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
