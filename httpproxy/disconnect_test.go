package httpproxy_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"pumicecroft/internal/testkit"
)

// A client disconnects while its request waits for a connection to a backend, in the first attempt
// or the second: it closes its connection or cancels its stream. When the connection is established,
// the request must not be sent on it, over HTTP/1.1 or HTTP/2.
func TestClientDisconnectsWhileDialing(t *testing.T) {
	for _, clientHTTP2 := range []bool{false, true} {
		for _, backendProtocol := range []string{"", "speaks = \"h2\"\n"} {
			for _, secondAttempt := range []bool{false, true} {
				t.Run(fmt.Sprintf("client HTTP/2 %t, backends %q, second attempt %t", clientHTTP2, backendProtocol,
					secondAttempt), func(t *testing.T) {
					received := make(chan string, 10)
					backend := func() string {
						return startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
							received <- r.URL.Path
							if r.URL.Path == "/disconnected" && secondAttempt {
								w.WriteHeader(http.StatusServiceUnavailable)
							}
						}), nil)
					}
					first, second := backend(), backend()
					dials, dialing, release := atomic.Int32{}, make(chan bool, 10), make(chan bool)
					fx := startProxyWithDialer(t, serviceSection("shop", first, second)+backendProtocol,
						func(_ context.Context, network, addr string) (net.Conn, error) {
							if n := dials.Add(1); n == 1 && !secondAttempt || n == 2 && secondAttempt {
								dialing <- true
								<-release // the connection is established although the client has disconnected
							}
							return net.Dial(network, addr)
						})
					disconnected := make(chan bool, 1)
					addr := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
						context.AfterFunc(req.Context(), func() { disconnected <- true })
						fx.proxy.ServeHTTP(w, req)
					}), nil)
					tr := newTransport(clientHTTP2)
					defer tr.CloseIdleConnections()
					ctx, disconnect := context.WithCancel(t.Context())
					ended := make(chan error, 1)
					go func() {
						req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+addr+"/disconnected", nil)
						res, err := tr.RoundTrip(req)
						if err == nil {
							res.Body.Close()
						}
						ended <- err
					}()
					testkit.Await(t, dialing, "the dial")
					if secondAttempt {
						testkit.Await(t, received, "the first attempt")
					}
					disconnect()
					if err := testkit.Await(t, ended, "the end of the client's request"); err == nil {
						t.Error("the client's request succeeded, want an error")
					}
					testkit.Await(t, disconnected, "the server to notice that the client has disconnected")
					close(release)
					closeCtx, cancel := context.WithTimeout(t.Context(), testkit.WaitTimeout)
					defer cancel()
					if err := fx.gateway.Close(closeCtx); err != nil { // afterwards no attempt is open
						t.Error(err)
					}
					select {
					case path := <-received:
						t.Errorf("the request for %s was sent to a backend after its client had disconnected", path)
					default:
					}
				})
			}
		}
	}
}
