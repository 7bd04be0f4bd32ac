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

// A client cancels a call that waits for a connection to a backend, in the first attempt or a later
// one. When the connection is up, the call must not be sent on it; the connection serves others.
func TestCallCancelledWhileDialing(t *testing.T) {
	for _, further := range []bool{false, true} {
		t.Run(fmt.Sprintf("further %t", further), func(t *testing.T) {
			dials, waiting, release := atomic.Int32{}, make(chan bool, 10), make(chan bool)
			r := newFixture(t, func(o *options) {
				if further {
					o.behavior = firstThen(fakes.GRPCRetryPushback, fakes.GRPCServe)
				}
				o.backendConfig.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
					if n := dials.Add(1); n == 1 && !further || n == 2 && further {
						waiting <- true
						<-release
					}
					return (&net.Dialer{}).DialContext(ctx, network, addr)
				}
			})
			ctx, leave := context.WithCancel(t.Context())
			c, ended := r.call("Look"), make(chan result, 1)
			go func() { ended <- c.invoke(ctx, r.client) }()
			testkit.Await(t, waiting, "it to wait")
			leave()
			if res := testkit.Await(t, ended, "its client to have left"); res.st.Code() != codes.Canceled {
				t.Errorf("it ended with %v", res.st)
			}
			await(t, "the end of all that was open", func() bool { return r.gateway.OpenRequests() == 0 })
			close(release)
			for range 4 { // at both backends
				if res := r.do(r.call("Look")); res.st.Code() != codes.OK {
					t.Errorf("another call: %v", res.st)
				}
			}
			want := 0
			if further {
				want = 1
			}
			if n := len(r.ledger.ForRequest(c.id)); n != want {
				t.Errorf("%d attempts, want %d", n, want)
			}
		})
	}
}
