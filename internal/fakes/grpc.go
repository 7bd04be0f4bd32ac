package fakes

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
)

// GRPCBehavior is what a gRPC backend does with one attempt, down to the frames.
type GRPCBehavior int

// The behaviors. The request has been executed before, except where "not executed" is said.
const (
	GRPCServe             GRPCBehavior = iota // headers, one message, status 0
	GRPCStream                                // headers, three messages, status 0
	GRPCHeadersThenHang                       // headers, then nothing
	GRPCHang                                  // nothing
	GRPCRefuseStream                          // RST_STREAM with REFUSED_STREAM; not executed
	GRPCGoAwayBelow                           // GOAWAY with a last stream below this one; not executed
	GRPCResetCancel                           // RST_STREAM with CANCEL
	GRPCResetAfterMessage                     // headers and message, then RST_STREAM in place of the status
	GRPCClose                                 // the connection is closed
	GRPCCloseMidMessage                       // headers and half a message, then the connection is closed
	GRPCInternal                              // trailers only: status 13
	GRPCNotFound                              // trailers only: status 5
	GRPCRetryPushback                         // trailers only: status 14 with grpc-retry-pushback-ms; not executed
	GRPCNoMessage                             // status 0 without a message
	GRPCTwoMessages                           // status 0 with two messages
	GRPCMissingTrailers                       // the stream ends with its data, without trailers
	GRPCMessageTooLarge                       // a message of GRPCLargeMessageBytes
	GRPCStreamClose                           // headers, one message, then the connection is closed
	GRPCStreamHang                            // headers, one message, then nothing
	GRPCStreamInternal                        // headers, one message, status 13
	GRPCEndless                               // messages of GRPCEndlessBytes until the client ends the stream
)

// GRPCEndlessBytes is the length of each message of GRPCEndless.
const GRPCEndlessBytes = 16 << 10

// GRPCLargeMessageBytes is the length of the message of GRPCMessageTooLarge.
const GRPCLargeMessageBytes = 8 << 20

// notExecuted reports whether a behavior leaves the request unexecuted.
func (b GRPCBehavior) notExecuted() bool {
	return b == GRPCRefuseStream || b == GRPCGoAwayBelow || b == GRPCRetryPushback
}

// GRPCConfig configures a GRPCBackend.
type GRPCConfig struct {
	Name            string
	Cell            *Cell
	IdempotentByKey func(method string) bool   // methods whose repeats the cell drops; nil means none
	Behavior        func(Attempt) GRPCBehavior // nil means GRPCServe
	WorkTime        time.Duration
	Ledger          *Ledger
	// MaxStreams is sent as SETTINGS_MAX_CONCURRENT_STREAMS. 0 means that the setting is not sent.
	MaxStreams uint32
	// Window, in bytes, is sent as SETTINGS_INITIAL_WINDOW_SIZE, and no window is updated after that: a longer
	// message stalls. 0 means HTTP/2's default window, updated as it is used.
	Window uint32
	// AfterMessage, unless nil, is called after the message of GRPCResetAfterMessage and of the GRPCStream behaviors
	// that fail after one.
	AfterMessage func(Attempt)

	// execute, unless nil, makes the backend behave as a Backend does. All but MaxStreams and Window is ignored then.
	execute func(ctx context.Context, attempt *Attempt) (behavior Behavior, usage string, ok bool)
}

// GRPCBackend is a fake backend that speaks gRPC. It is written on HTTP/2 frames, so that it can fail in each way
// that HTTP/2 has. The names of its methods are the classes. A unary response is "done " and the request ID.
type GRPCBackend struct {
	config  GRPCConfig
	ln      net.Listener
	running sync.WaitGroup

	mu         sync.Mutex
	conns      map[*grpcConn]bool
	closed     bool
	totalConns int // connections accepted so far
	sentBytes  atomic.Int64
	resets     atomic.Int64
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

// Conns returns the number of open connections, and of all connections so far.
func (b *GRPCBackend) Conns() (open, total int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns), b.totalConns
}

// Resets returns the number of open streams that clients have reset.
func (b *GRPCBackend) Resets() int64 { return b.resets.Load() }

// Sent returns the number of bytes of response bodies that have been sent.
func (b *GRPCBackend) Sent() int64 { return b.sentBytes.Load() }

// Kill closes the listener and all connections, and waits for the backend's goroutines.
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

// GoAway sends GOAWAY on all connections. The last stream is the highest one so far minus less: the streams above it
// count as not executed, and their attempts must not have been executed.
func (b *GRPCBackend) GoAway(less uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.mu.Lock()
		_ = c.framer.WriteGoAway(c.highestStream-min(less, c.highestStream), http2.ErrCodeNo, nil)
		c.mu.Unlock()
	}
}

// DropAbove drops the streams above the highest one minus less on each connection, as GoAway counts them: they are
// not executed, whatever their behaviors wait for.
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
