package grpcproxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"

	"pumicecroft/internal/fakes"
	"pumicecroft/internal/testkit"
)

// A client cancels a call while its first attempt, or a retry, waits for a connection to a backend. When
// the connection is open, the cancelled call must not be sent on it, but other calls must be.
func TestCallCancelledWhileDialing(t *testing.T) {
	for _, retry := range []bool{false, true} {
		t.Run(fmt.Sprintf("retry %t", retry), func(t *testing.T) {
			dials, waiting, release := atomic.Int32{}, make(chan bool, 10), make(chan bool)
			r := newFixture(t, func(o *options) {
				if retry {
					o.behavior = firstThen(fakes.GRPCRetryPushback, fakes.GRPCServe)
				}
				o.backendConfig.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
					if n := dials.Add(1); n == 1 && !retry || n == 2 && retry {
						waiting <- true
						<-release
					}
					return (&net.Dialer{}).DialContext(ctx, network, addr)
				}
			})
			ctx, cancel := context.WithCancel(t.Context())
			c, ended := r.call("Look"), make(chan result, 1)
			go func() { ended <- c.invoke(ctx, r.client) }()
			testkit.Await(t, waiting, "the attempt to dial a backend")
			cancel()
			if res := testkit.Await(t, ended, "the end of the cancelled call"); res.st.Code() != codes.Canceled {
				t.Errorf("cancelled call: got %v, want %v", res.st, codes.Canceled)
			}
			await(t, "the end of all open requests", func() bool { return r.gateway.OpenRequests() == 0 })
			close(release)
			for range 4 { // enough to reach both backends
				if res := r.do(r.call("Look")); res.st.Code() != codes.OK {
					t.Errorf("another call: got %v, want %v", res.st, codes.OK)
				}
			}
			want := 0
			if retry {
				want = 1
			}
			if n := len(r.ledger.ForRequest(c.id)); n != want {
				t.Errorf("the backends received %d attempts of the cancelled call, want %d", n, want)
			}
		})
	}
}

// Guards against a crash with "send on closed channel": the client of a streaming call leaves, the attempt
// is not cancelled with its request (Settings.CanCancel is false), and the backend sends another message
// after the call has ended. The attempt must end without using the call's stream, and other calls must be
// served.
func TestClientLeavesStreamThatIsNotCancelled(t *testing.T) {
	ended := make(chan struct{})
	r := newFixture(t, func(o *options) {
		o.settings.CanCancel = false
		o.behavior = firstThen(fakes.GRPCStreamPause, fakes.GRPCServe)
		o.afterMessage = func(fakes.Attempt) { <-ended }
		o.newServer = func(p *Proxy) *grpc.Server {
			var first sync.Once
			return grpc.NewServer(grpc.ForceServerCodecV2(Codec()),
				grpc.UnknownServiceHandler(func(srv any, stream grpc.ServerStream) error {
					defer first.Do(func() { close(ended) })
					return p.Handle(srv, stream)
				}))
		}
	})
	c := r.call("Watch")
	ctx, leave := c.context(t.Context())
	defer leave()
	s, err := r.client.NewStream(ctx, serverStreamDesc, c.method)
	if err != nil {
		t.Fatal(err)
	}
	var message framedMessage
	if err := errors.Join(s.SendMsg(frame(c.text)), s.CloseSend(), s.RecvMsg(&message)); err != nil {
		t.Fatal(err)
	}
	leave()
	testkit.Await(t, ended, "the end of the call at the gateway")
	await(t, "the end of all open requests", func() bool { return r.gateway.OpenRequests() == 0 })
	if res := r.do(r.call("Look")); res.st.Code() != codes.OK {
		t.Errorf("another call: got %v, want %v", res.st, codes.OK)
	}
}

// An attempt that outlasts its call must get an error from the sink, and must not use the call's stream,
// whether or not the response had started.
func TestResponseSinkAfterCallEnded(t *testing.T) {
	for name, startResponse := range map[string]bool{"response started": true, "response not started": false} {
		t.Run(name, func(t *testing.T) {
			stream := &countingStream{}
			sink := newResponseSink(stream)
			if startResponse {
				sink.WriteHeader(nil)
				if err := sink.WriteMessage(t.Context(), frame("first")); err != nil {
					t.Fatal(err)
				}
			}
			calls := stream.calls.Load()
			if started := sink.close(); started != startResponse {
				t.Errorf("close() = %t, want %t", started, startResponse)
			}
			if !startResponse {
				sink.WriteHeader(nil)
			}
			if err := sink.WriteMessage(t.Context(), frame("late")); !errors.Is(err, errCallEnded) {
				t.Errorf("WriteMessage after close: got %v, want %v", err, errCallEnded)
			}
			if n := stream.calls.Load() - calls; n != 0 {
				t.Errorf("%d calls of the stream after close, want 0", n)
			}
		})
	}
}

// countingStream is a grpc.ServerStream that counts how often headers and messages are sent.
type countingStream struct {
	grpc.ServerStream
	calls atomic.Int32
}

func (s *countingStream) SetHeader(metadata.MD) error {
	s.calls.Add(1)
	return nil
}

func (s *countingStream) SendMsg(any) error {
	s.calls.Add(1)
	return nil
}
