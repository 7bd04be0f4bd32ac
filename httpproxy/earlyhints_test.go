package httpproxy_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/httpproxy"
	"pumicecroft/internal/executor"
	"pumicecroft/internal/httpproxytransport"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/internal/testkit"
	"pumicecroft/membership"
)

// lateHintTransport makes attempts that last until they are cancelled, and then forwards one more 103
// response, while the handler writes its own. An HTTP/2 connection does so, as the goroutine that reads
// it forwards 1xx responses and does not wait for the end of the attempt.
type lateHintTransport struct {
	sent      chan struct{} // closed when the attempt begins
	answering chan struct{} // closed when the handler writes its response
	forwarded chan struct{} // closed when the late response was passed to the sink
}

func (t *lateHintTransport) RoundTrip(a *executor.Attempt) executor.Response {
	cancelled := make(chan struct{})
	if a.OnCancel(func() { close(cancelled) }) != nil {
		return executor.Response{Outcome: lifecycle.Outcome{Result: decision.NotSent}}
	}
	sink := a.Payload.(*httpproxytransport.Request).Sink
	go func() {
		<-t.answering
		sink.WriteInformational(http.StatusEarlyHints, http.Header{"Link": {"</late.css>; rel=preload"}})
		close(t.forwarded)
	}()
	close(t.sent)
	<-cancelled
	return executor.Response{Outcome: lifecycle.Outcome{Result: decision.Cancelled}}
}

func (t *lateHintTransport) Probe(id decision.BackendID, _ time.Duration) decision.ProbeResult {
	return decision.ProbeResult{Backend: id, Result: decision.NotSent}
}

func (t *lateHintTransport) Apply([]membership.Change) {}

func (t *lateHintTransport) Close() {}

// blockingWriter is a ResponseWriter that records statuses. The write of a final status lasts until the
// late response of a lateHintTransport was passed to the sink.
type blockingWriter struct {
	*httptest.ResponseRecorder
	transport *lateHintTransport
	mu        sync.Mutex
	statuses  []int
}

func (w *blockingWriter) WriteHeader(status int) {
	w.mu.Lock()
	w.statuses = append(w.statuses, status)
	w.mu.Unlock()
	select {
	case <-w.transport.sent: // the request was not rejected
	default:
		return
	}
	if status >= http.StatusOK {
		close(w.transport.answering)
		<-w.transport.forwarded
	}
}

// Guards against a crash with "concurrent map writes": a 1xx response of a backend arrives when the
// request has ended without a response, because its client has left or its time is up. The handler then
// writes the header of its own response, so the late 1xx response must not touch the ResponseWriter.
func TestLateInformationalResponseIsDropped(t *testing.T) {
	for name, c := range map[string]struct {
		deadline string
		end      func(context.Context) (context.Context, context.CancelFunc) // how the request's context ends
		leave    bool                                                        // the client leaves
		status   int
	}{
		"client leaves":        {"10s", context.WithCancel, true, http.StatusBadGateway},
		"deadline of class":    {"300ms", context.WithCancel, false, http.StatusBadGateway},
		"deadline of the host": {"10s", withShortTimeout, false, http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			transport := &lateHintTransport{make(chan struct{}), make(chan struct{}), make(chan struct{})}
			section := fmt.Sprintf("deadline = %q\naim = %q\n", c.deadline, c.deadline)
			fx := startProxyWithDialer(t, serviceSection("shop", "127.0.0.1:1")+section, nil,
				pumicecroft.WithProtocol(httpproxy.Protocol("shop"), transport))
			ctx, cancel := c.end(t.Context())
			defer cancel()
			if c.leave {
				go func() { <-transport.sent; cancel() }()
			}
			w := &blockingWriter{ResponseRecorder: httptest.NewRecorder(), transport: transport}
			served := make(chan bool)
			go func() {
				fx.proxy.ServeHTTP(w, httptest.NewRequestWithContext(ctx, http.MethodPost, "/", nil))
				close(served)
			}()
			testkit.Await(t, served, "the end of the request")
			if want := []int{c.status}; !slices.Equal(w.statuses, want) {
				t.Errorf("statuses written = %v, want %v: the late 1xx response was forwarded", w.statuses, want)
			}
			if link := w.Header().Get("Link"); link != "" {
				t.Errorf("Link = %q, want none: the header has a field of the late 1xx response", link)
			}
		})
	}
}

// withShortTimeout returns a context that ends soon, as that of a host program with a timeout of its own.
func withShortTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, 300*time.Millisecond)
}

// Guards against the same crash over sockets, where net/http and golang.org/x/net have goroutines of
// their own: clients leave at random times while HTTP/2 backends send 103 responses. The process must not
// crash, and a client that stays must get all 103 responses before its page.
func TestClientsLeaveDuringEarlyHints(t *testing.T) {
	const hints, hintInterval = 8, 200 * time.Microsecond
	sendHints := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Link", "</style.css>; rel=preload") // not changed later: see writeInformational
		for range hints {
			w.WriteHeader(http.StatusEarlyHints)
			time.Sleep(hintInterval)
		}
		fmt.Fprint(w, r.URL.Path)
	})
	backends := []string{startServer(t, sendHints, nil), startServer(t, sendHints, nil)}
	for _, clientHTTP2 := range []bool{false, true} {
		t.Run(fmt.Sprintf("client HTTP/2 %t", clientHTTP2), func(t *testing.T) {
			t.Parallel()
			fx := startProxy(t, serviceSection("shop", backends...)+"speaks = \"h2\"\n")
			var clients sync.WaitGroup
			var served atomic.Int32
			for i := range 8 {
				clients.Go(func() {
					client := newHintClient(fx.addr, clientHTTP2)
					defer client.transport.CloseIdleConnections()
					random := rand.New(rand.NewPCG(uint64(i), 0))
					for range requestsPerHintClient {
						leaveAfter := time.Duration(random.Int64N(int64(hints * hintInterval)))
						ctx, leave := context.WithTimeout(t.Context(), leaveAfter)
						_, _ = client.get(ctx, "/left") // the client leaves: it has no response to check
						leave()
						page, err := client.get(t.Context(), "/stayed")
						switch {
						case err != nil:
							t.Errorf("client that stays: %v", err)
						case page.status != http.StatusOK: // the gateway may reject requests while all backends are held
						case page.body != "/stayed" || page.hints != hints:
							t.Errorf("client that stays: %+v, want %d 103 responses and /stayed", page, hints)
						default:
							served.Add(1)
						}
					}
				})
			}
			clients.Wait()
			if served.Load() == 0 {
				t.Error("no client that stayed was served")
			}
		})
	}
}

// requestsPerHintClient is how often each client of TestClientsLeaveDuringEarlyHints leaves, and stays.
const requestsPerHintClient = 50

// hintClient sends requests to a proxy.
type hintClient struct {
	addr      string
	transport *http.Transport
}

func newHintClient(addr string, useHTTP2 bool) *hintClient {
	return &hintClient{addr: addr, transport: newTransport(useHTTP2)}
}

// hintedPage is a response that 103 responses precede.
type hintedPage struct {
	hints, status int
	body          string
}

func (c *hintClient) get(ctx context.Context, path string) (hintedPage, error) {
	var hints atomic.Int32
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			hints.Add(1)
			return nil
		},
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addr+path, nil)
	if err != nil {
		return hintedPage{}, err
	}
	res, err := c.transport.RoundTrip(req)
	if err != nil {
		return hintedPage{}, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return hintedPage{int(hints.Load()), res.StatusCode, string(body)}, err
}
