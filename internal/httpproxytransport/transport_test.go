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

// dialCounter counts the connections that this side holds.
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
	return &countedConn{Conn: c, of: d}, nil
}

func (d *dialCounter) maxOpen() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peak
}

type countedConn struct {
	net.Conn
	of     *dialCounter
	closed sync.Once
}

func (c *countedConn) Close() error {
	c.closed.Do(func() {
		c.of.mu.Lock()
		defer c.of.mu.Unlock()
		c.of.open--
	})
	return c.Conn.Close()
}

// Connections are limited over all backends. Kept ones make room for others, idle ones are closed,
// and a backend that was removed has none.
func TestConnectionsAreBounded(t *testing.T) {
	for name, h2 := range map[string]bool{"HTTP/1.1": false, "HTTP/2": true} {
		t.Run(name, func(t *testing.T) {
			var open atomic.Int64 // at the backends, who see a connection's end a little later than this side
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
			b := New(Config{Service: "shop", MaxConns: 4, HTTP2: h2, MaxHTTP2Conns: 1,
				IdleTimeout: 100 * time.Millisecond, Dial: dials.dial})
			defer b.Close()
			b.Apply(changes)
			var wg sync.WaitGroup
			var answered, notSent, other atomic.Int64
			for i := range 40 {
				wg.Go(func() {
					for range 20 {
						req := &Request{Request: http1proxy.Request{Method: "GET", Target: "/", Host: "x"},
							Service: "shop", Statuses: &http1proxy.Statuses{}, MaxResponseBytes: 100}
						switch b.RoundTrip(executor.NewAttempt(decision.BackendID(i%3),
							time.Now().Add(20*time.Second), req)).Result {
						case decision.Succeeded:
							answered.Add(1)
						case decision.NotSent: // there was no room: it has not run
							notSent.Add(1)
						default:
							other.Add(1)
						}
					}
				})
			}
			wg.Wait()
			if most := dials.maxOpen(); answered.Load() == 0 || other.Load() > 0 || b.Conns() > 4 || h2 &&
				(notSent.Load() > 0 || most > 3) || !h2 && (notSent.Load() == 0 || most > 4) {
				t.Errorf("%d answered, %d not sent, %d other; %d connections, %d at most", answered.Load(),
					notSent.Load(), other.Load(), b.Conns(), most)
			}
			if h2 {
				for i := range changes {
					changes[i].State = decision.Removed
				}
				b.Apply(changes)
			}
			for end := time.Now().Add(20 * time.Second); b.Conns() > 0 ||
				open.Load() > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d connections are kept, %d open", b.Conns(), open.Load())
				}
			}
		})
	}
}
