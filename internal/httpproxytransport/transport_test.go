package httpproxytransport

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/executor"
	"pumicecroft/internal/http1proxy"
	"pumicecroft/membership"
)

// dialCounter counts the connections that the transport has dialed and not closed.
type dialCounter struct {
	mu         sync.Mutex
	open, peak int
}

func (d *dialCounter) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open++
	d.peak = max(d.peak, d.open)
	return &countedConn{Conn: c, counter: d}, nil
}

func (d *dialCounter) maxOpen() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peak
}

type countedConn struct {
	net.Conn
	counter *dialCounter
	closed  sync.Once
}

func (c *countedConn) Close() error {
	c.closed.Do(func() {
		c.counter.mu.Lock()
		defer c.counter.mu.Unlock()
		c.counter.open--
	})
	return c.Conn.Close()
}

// The number of connections to all backends together must stay within MaxConns, over HTTP/2 within
// MaxHTTP2Conns for each backend. All must be closed when they have been idle for too long or, over
// HTTP/2, when their backends are removed.
func TestConnectionsAreBounded(t *testing.T) {
	for name, h2 := range map[string]bool{"HTTP/1.1": false, "HTTP/2": true} {
		t.Run(name, func(t *testing.T) {
			var open atomic.Int64 // connections at the backends, which see them closed later than the transport
			var dials dialCounter
			var changes []membership.Change
			for i := range 3 {
				s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					time.Sleep(time.Millisecond)
					w.Write([]byte("ok"))
				}))
				s.Config.Protocols = new(http.Protocols)
				s.Config.Protocols.SetHTTP1(true)
				s.Config.Protocols.SetUnencryptedHTTP2(true)
				s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
					switch state {
					case http.StateNew:
						open.Add(1)
					case http.StateClosed, http.StateHijacked:
						open.Add(-1)
					}
				}
				s.Start()
				t.Cleanup(s.Close)
				changes = append(changes, membership.Change{Endpoint: decision.Endpoint{ID: decision.BackendID(i)},
					Addr: strings.TrimPrefix(s.URL, "http://")})
			}
			transport := New(Config{Service: "shop", MaxConns: 4, HTTP2: h2, MaxHTTP2Conns: 1,
				IdleTimeout: 100 * time.Millisecond, Dial: dials.dial})
			defer transport.Close()
			transport.Apply(changes)
			var wg sync.WaitGroup
			var succeeded, notSent, other atomic.Int64
			for i := range 40 {
				wg.Go(func() {
					for range 20 {
						req := &Request{Request: http1proxy.Request{Method: "GET", Target: "/", Host: "x"},
							Service: "shop", Statuses: &http1proxy.Statuses{}, MaxResponseBytes: 100}
						switch transport.RoundTrip(executor.NewAttempt(decision.BackendID(i%3),
							time.Now().Add(20*time.Second), req)).Result {
						case decision.Succeeded:
							succeeded.Add(1)
						case decision.NotSent: // no connection was available
							notSent.Add(1)
						default:
							other.Add(1)
						}
					}
				})
			}
			wg.Wait()
			if peak := dials.maxOpen(); succeeded.Load() == 0 || other.Load() > 0 || transport.Conns() > 4 || h2 &&
				(notSent.Load() > 0 || peak > 3) || !h2 && (notSent.Load() == 0 || peak > 4) {
				t.Errorf("%d succeeded, want more than 0; %d not sent, want any: %t; %d other results, want 0; "+
					"%d connections, want at most 4; %d at the peak, want at most 3 for HTTP/2 and 4 for HTTP/1.1",
					succeeded.Load(), notSent.Load(), !h2, other.Load(), transport.Conns(), peak)
			}
			if h2 {
				for i := range changes {
					changes[i].State = decision.Removed
				}
				transport.Apply(changes)
			}
			for end := time.Now().Add(20 * time.Second); transport.Conns() > 0 ||
				open.Load() > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d connections in the transport and %d at the backends are open after 20 s, want 0",
						transport.Conns(), open.Load())
				}
			}
		})
	}
}
