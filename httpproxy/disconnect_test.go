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
// or a later one: it closes its connection or cancels its stream. When the connection is up, the
// request must not be sent on it, over HTTP/1.1 or HTTP/2.
func TestClientDisconnectsWhileDialing(t *testing.T) {
	for _, h2 := range []bool{false, true} { // the client's
		for _, backs := range []string{"", "speaks = \"h2\"\n"} {
			for _, further := range []bool{false, true} {
				t.Run(fmt.Sprintf("HTTP/2 %t, backends %q, further %t", h2, backs, further), func(t *testing.T) {
					received := make(chan string, 10)
					backend := func() string {
						return startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
							received <- r.URL.Path
							if r.URL.Path == "/left" && further {
								w.WriteHeader(http.StatusServiceUnavailable)
							}
						}), nil)
					}
					first, second := backend(), backend()
					dials, waiting, release := atomic.Int32{}, make(chan bool, 10), make(chan bool)
					fx := startProxyWithDialer(t, serviceSection("shop", first, second)+backs,
						func(_ context.Context, network, addr string) (net.Conn, error) {
							if n := dials.Add(1); n == 1 && !further || n == 2 && further {
								waiting <- true
								<-release // it comes up all the same
							}
							return net.Dial(network, addr)
						})
					left := make(chan bool, 1)
					addr := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
						context.AfterFunc(req.Context(), func() { left <- true })
						fx.proxy.ServeHTTP(w, req)
					}), nil)
					tr := &http.Transport{Protocols: new(http.Protocols)}
					tr.Protocols.SetUnencryptedHTTP2(h2)
					tr.Protocols.SetHTTP1(!h2)
					defer tr.CloseIdleConnections()
					ctx, leave := context.WithCancel(t.Context())
					ended := make(chan error, 1)
					go func() {
						req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+addr+"/left", nil)
						res, err := tr.RoundTrip(req)
						if err == nil {
							res.Body.Close()
						}
						ended <- err
					}()
					testkit.Await(t, waiting, "it to wait")
					if further {
						testkit.Await(t, received, "its first attempt")
					}
					leave()
					if err := testkit.Await(t, ended, "its client to have left"); err == nil {
						t.Error("it was answered")
					}
					testkit.Await(t, left, "it to be seen that its client has left")
					close(release)
					patient, stop := context.WithTimeout(t.Context(), testkit.WaitTimeout)
					defer stop()
					if err := fx.gateway.Close(patient); err != nil { // what was to leave has left
						t.Error(err)
					}
					select {
					case path := <-received:
						t.Errorf("%s was sent on", path)
					default:
					}
				})
			}
		}
	}
}
