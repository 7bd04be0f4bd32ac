package grpcproxy

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"google.golang.org/grpc/codes"

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
