package grpctransport

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"pumicecroft/decision"
	"pumicecroft/internal/executor"
	"pumicecroft/internal/fakes"
	"pumicecroft/internal/grpcproto"
	"pumicecroft/internal/testkit"
	"pumicecroft/membership"
)

// fixture is a backend and a transport to it.
type fixture struct {
	t       *testing.T
	backend *fakes.GRPCBackend
	ledger  *fakes.Ledger
	back    *Transport
	lastID  atomic.Uint64
}

func newRig(t *testing.T, act func(fakes.Attempt) fakes.GRPCBehavior, change func(*fakes.GRPCConfig, *Config)) *fixture {
	t.Helper()
	r := &fixture{t: t, ledger: &fakes.Ledger{}}
	sc := fakes.GRPCConfig{Name: "g", Ledger: r.ledger, Behavior: act, Cell: &fakes.Cell{Window: 5 * time.Second},
		IdempotentByKey: func(m string) bool { return m == "/shop.Desk/Pay" }}
	c := Config{ConnectTimeout: testkit.WaitTimeout, MaxMessageBytes: 1 << 20}
	if change != nil {
		change(&sc, &c)
	}
	var err error
	if r.backend, err = fakes.StartGRPC(sc); err != nil {
		t.Fatal(err)
	}
	r.back = New(c)
	r.back.Apply([]membership.Change{{Endpoint: decision.Endpoint{ID: 1}, Addr: r.backend.Addr()}})
	t.Cleanup(func() { r.back.Close(); r.backend.Kill() })
	return r
}

func framed(n int) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{0}, uint32(n)), make([]byte, n)...)
}

func (r *fixture) request(size int) *Request {
	id := fmt.Sprintf("%016x", r.lastID.Add(1))
	return &Request{Method: "/shop.Desk/Pay", Body: framed(size),
		Metadata: []Field{{"request-id", id}, {"idempotency-key", "key-" + id}}}
}

// attempt makes one attempt; patience 0 means a long one.
func (r *fixture) attempt(req *Request, patience time.Duration) executor.Response {
	if patience == 0 {
		patience = testkit.WaitTimeout
	}
	return r.back.RoundTrip(executor.NewAttempt(1, time.Now().Add(patience), req))
}

// Each way in which a backend can end an attempt has the result that grpcproto states, and a call
// whose result says that it did not run did not.
func TestResults(t *testing.T) {
	for act, want := range map[fakes.GRPCBehavior]decision.Result{
		fakes.GRPCServe: decision.Succeeded, fakes.GRPCNotFound: decision.Succeeded,
		fakes.GRPCStream:       decision.Unknown, // three messages for a unary call
		fakes.GRPCRefuseStream: decision.Rejected, fakes.GRPCGoAwayBelow: decision.Rejected,
		fakes.GRPCRetryPushback: decision.Rejected,
		fakes.GRPCHang:          decision.TimedOut, fakes.GRPCHeadersThenHang: decision.TimedOut,
		fakes.GRPCResetCancel: decision.ConnectionLost, fakes.GRPCResetAfterMessage: decision.ConnectionLost,
		fakes.GRPCClose: decision.ConnectionLost, fakes.GRPCCloseMidMessage: decision.ConnectionLost,
		fakes.GRPCInternal:  decision.ErrorResponse,
		fakes.GRPCNoMessage: decision.Unknown, fakes.GRPCTwoMessages: decision.Unknown,
		fakes.GRPCMissingTrailers: decision.Unknown, fakes.GRPCMessageTooLarge: decision.Unknown,
	} {
		t.Run(fmt.Sprint(act), func(t *testing.T) {
			t.Parallel()
			r := newRig(t, func(fakes.Attempt) fakes.GRPCBehavior { return act }, nil)
			patience := time.Duration(0)
			if want == decision.TimedOut {
				patience = 300 * time.Millisecond
			}
			for range 3 { // the connection is fit for the next one, or another is made
				req := r.request(100)
				reply := r.attempt(req, patience)
				if reply.Result != want {
					t.Errorf("%v, want %v", reply.Result, want)
				}
				key := req.Metadata[1].Value
				unrun := want == decision.Rejected
				if n := r.ledger.Effects(key); unrun && n != 0 || n > 1 {
					t.Errorf("%d effects", n)
				}
				if as := r.ledger.ForRequest(req.Metadata[0].Value); len(as) != 1 { // never again by itself
					t.Errorf("it reached the backend %d times", len(as))
				}
				if a, ok := reply.Body.(*Response); act == fakes.GRPCServe &&
					(!ok || string(a.Body[5:]) != "done "+req.Metadata[0].Value) {
					t.Errorf("answered %+v", reply.Body)
				} else if act == fakes.GRPCNotFound && (!ok || a.Code != grpcproto.NotFound ||
					a.Message != "as scripted") {
					t.Errorf("answered %+v", reply.Body)
				}
			}
		})
	}
}

// A backend sends GOAWAY while streams are open: those above its last stream did not run and end
// so, the others succeed, and later calls use another connection.
func TestGoAwayDuringCalls(t *testing.T) {
	t.Parallel()
	hold := make(chan bool)
	r := newRig(t, func(fakes.Attempt) fakes.GRPCBehavior { <-hold; return fakes.GRPCServe }, nil)
	release := sync.OnceFunc(func() { close(hold) })
	t.Cleanup(release)
	var mu sync.Mutex
	results := map[decision.Result]int{}
	var ran sync.WaitGroup
	for range 100 {
		ran.Go(func() {
			reply := r.attempt(r.request(10), 0)
			mu.Lock()
			defer mu.Unlock()
			results[reply.Result]++
		})
	}
	if !r.ledger.Await(testkit.WaitTimeout, func(as []fakes.Attempt) bool { return len(as) == 100 }) {
		t.Fatal("the attempts did not come")
	}
	open, _ := r.backend.Conns()
	if open != 1 {
		t.Errorf("100 attempts at once made %d connections", open)
	}
	r.backend.GoAway(100) // streams are numbered in steps of two: half of them are above
	for end := time.Now().Add(testkit.WaitTimeout); ; time.Sleep(time.Millisecond) {
		mu.Lock()
		n := results[decision.Rejected]
		mu.Unlock()
		if n == 50 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%v on %d connections", results, open)
		}
	}
	release()
	ran.Wait()
	if results[decision.Succeeded] != 50 {
		t.Errorf("%v", results)
	}
	if reply := r.attempt(r.request(10), 0); reply.Result != decision.Succeeded {
		t.Errorf("the next one: %v", reply.Result)
	}
	if _, total := r.backend.Conns(); total != open+1 {
		t.Errorf("%d connections, %d before", total, open)
	}
}

// A backend sends GOAWAY repeatedly, each time with a stream that does not end: calls use new
// connections, of which there are a limited number.
func TestGoAwayAfterEachCall(t *testing.T) {
	t.Parallel()
	r := newRig(t, func(fakes.Attempt) fakes.GRPCBehavior { return fakes.GRPCHang },
		func(_ *fakes.GRPCConfig, c *Config) { c.MaxConnsPerBackend = 1 })
	var ran sync.WaitGroup
	defer ran.Wait()
	for i := range 2 {
		ran.Go(func() { r.attempt(r.request(10), time.Second) })
		if !r.ledger.Await(testkit.WaitTimeout, func(as []fakes.Attempt) bool { return len(as) == i+1 }) {
			t.Fatalf("attempt %d did not come", i)
		}
		r.backend.GoAway(0)
		for end := time.Now().Add(testkit.WaitTimeout); ; time.Sleep(time.Millisecond) {
			r.back.mu.Lock()
			conns := r.back.byID[1].conns
			left := len(conns) == i+1 && conns[i].state() == stateDraining
			r.back.mu.Unlock()
			if left {
				break
			}
			if time.Now().After(end) {
				t.Fatal("GOAWAY is not heard")
			}
		}
	}
	if reply := r.attempt(r.request(10), 0); reply.Result != decision.NotSent {
		t.Errorf("with two connections that are ending: %v", reply.Result)
	}
	if open, total := r.backend.Conns(); open != 2 || total != 2 {
		t.Errorf("%d connections open of %d", open, total)
	}
}

// Cancelled calls reset their streams at once, and free them.
func TestCancelledAttempt(t *testing.T) {
	t.Parallel()
	r := newRig(t, func(fakes.Attempt) fakes.GRPCBehavior { return fakes.GRPCHang },
		func(_ *fakes.GRPCConfig, c *Config) { c.MaxConnsPerBackend, c.MaxStreamsPerConn = 1, 4 })
	for range 20 {
		a := executor.NewAttempt(1, time.Now().Add(testkit.WaitTimeout), r.request(10))
		before := len(r.ledger.Attempts())
		go func() {
			r.ledger.Await(testkit.WaitTimeout, func(as []fakes.Attempt) bool { return len(as) > before })
			a.Cancel(executor.ErrCancelled)
		}()
		if reply := r.back.RoundTrip(a); reply.Result != decision.Cancelled {
			t.Fatalf("%v", reply.Result)
		}
	}
	a := executor.NewAttempt(1, time.Now().Add(testkit.WaitTimeout), r.request(10))
	a.Cancel(executor.ErrCancelled)
	if reply := r.back.RoundTrip(a); reply.Result != decision.NotSent {
		t.Errorf("called off before it began: %v", reply.Result)
	}
	if _, total := r.backend.Conns(); total != 1 {
		t.Errorf("%d connections", total)
	}
}

// Streams and connections are limited by both sides. A call that finds no free stream was not sent.
func TestConnectionAndStreamLimits(t *testing.T) {
	t.Parallel()
	r := newRig(t, func(fakes.Attempt) fakes.GRPCBehavior { return fakes.GRPCHang },
		func(s *fakes.GRPCConfig, c *Config) {
			c.MaxConnsPerBackend, c.MaxStreamsPerConn, s.MaxStreams = 2, 8, 5
		})
	// so that the settings have come
	warm := executor.NewAttempt(1, time.Now().Add(100*time.Millisecond), r.request(10))
	r.back.RoundTrip(warm)
	var open sync.WaitGroup
	sent := atomic.Int64{}
	for range 40 {
		open.Go(func() {
			if reply := r.attempt(r.request(10), time.Second); reply.Result != decision.NotSent {
				sent.Add(1)
			}
		})
	}
	open.Wait()
	if n := sent.Load(); n < 5 || n > 13 { // five on the one, and up to eight on the other until its settings have come
		t.Errorf("%d were sent", n)
	}
	if _, total := r.backend.Conns(); total > 2 {
		t.Errorf("%d connections", total)
	}
}

// A backend stops reading when a request is half written: the call did not run, and calls on other
// connections go on.
func TestClosedSendWindow(t *testing.T) {
	t.Parallel()
	r := newRig(t, nil, func(s *fakes.GRPCConfig, c *Config) { s.Window, c.MaxConnsPerBackend = 1000, 1 })
	r.attempt(r.request(10), 0) // the settings have come
	if reply := r.attempt(r.request(5000), 300*time.Millisecond); reply.Result != decision.NotSent {
		t.Errorf("half written: %v", reply.Result)
	}
	if n := len(r.ledger.Attempts()); n != 1 {
		t.Errorf("%d requests came whole", n)
	}
	if reply := r.attempt(r.request(10), 0); reply.Result != decision.Succeeded {
		t.Errorf("the next one on the connection: %v", reply.Result)
	}
}

// A backend drains or is removed: no new call uses its connections, and the calls on them succeed.
func TestDrain(t *testing.T) {
	t.Parallel()
	hold := make(chan bool)
	r := newRig(t, func(fakes.Attempt) fakes.GRPCBehavior { <-hold; return fakes.GRPCServe }, nil)
	release := sync.OnceFunc(func() { close(hold) })
	t.Cleanup(release)
	ended := make(chan decision.Result)
	go func() { ended <- r.attempt(r.request(10), 0).Result }()
	r.ledger.Await(testkit.WaitTimeout, func(as []fakes.Attempt) bool { return len(as) == 1 })
	change := membership.Change{Endpoint: decision.Endpoint{ID: 1, State: decision.Draining}, Addr: r.backend.Addr()}
	r.back.Apply([]membership.Change{change})
	if reply := r.attempt(r.request(10), 0); reply.Result != decision.NotSent {
		t.Errorf("to a draining backend: %v", reply.Result)
	}
	change.State = decision.Removed
	r.back.Apply([]membership.Change{change})
	release()
	if got := <-ended; got != decision.Succeeded {
		t.Errorf("what was in flight: %v", got)
	}
	for end := time.Now().Add(testkit.WaitTimeout); ; time.Sleep(time.Millisecond) { // and its connection ends then
		if open, _ := r.backend.Conns(); open == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("its connection is never closed")
		}
	}
}

func TestConnectFailure(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	b := New(Config{})
	defer b.Close()
	b.Apply([]membership.Change{{Endpoint: decision.Endpoint{ID: 1}, Addr: ln.Addr().String()}})
	r := &fixture{t: t, back: b}
	if reply := r.attempt(r.request(1), 0); reply.Result != decision.ConnectFailed {
		t.Errorf("%v", reply.Result)
	}
	if reply := b.RoundTrip(executor.NewAttempt(9, time.Now().Add(time.Second),
		r.request(1))); reply.Result != decision.NotSent {
		t.Errorf("to a backend that is not known: %v", reply.Result)
	}
}

// startRawBackend starts a backend that handles HTTP/2 frames itself, after the preface and the
// settings.
func startRawBackend(t *testing.T, serve func(c net.Conn, f *http2.Framer)) *fixture {
	t.Helper()
	addr := testkit.Accept(t, func(conn net.Conn) {
		buf := make([]byte, len(http2.ClientPreface))
		if _, err := conn.Read(buf); err != nil {
			return
		}
		f := http2.NewFramer(conn, conn)
		_ = f.WriteSettings()
		serve(conn, f)
	})
	r := &fixture{t: t, back: New(Config{ConnectTimeout: testkit.WaitTimeout})}
	r.back.Apply([]membership.Change{{Endpoint: decision.Endpoint{ID: 1}, Addr: addr}})
	t.Cleanup(r.back.Close)
	return r
}

// A backend floods the connection with frames without content, or does not speak HTTP/2: it loses
// its connection, and memory does not grow.
func TestFrameFloods(t *testing.T) {
	for name, serve := range map[string]func(c net.Conn, f *http2.Framer){
		"pings": func(_ net.Conn, f *http2.Framer) {
			for f.WritePing(false, [8]byte{}) == nil {
			}
		},
		"settings": func(_ net.Conn, f *http2.Framer) {
			for f.WriteSettings() == nil {
			}
		},
		"empty data": func(_ net.Conn, f *http2.Framer) {
			for f.WriteData(1, false, nil) == nil {
			}
		},
		"noise": func(c net.Conn, _ *http2.Framer) {
			for {
				if _, err := c.Write(make([]byte, 1<<16)); err != nil {
					return
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			dropped := make(chan bool, 10)
			r := startRawBackend(t, func(c net.Conn, f *http2.Framer) {
				go func() { // it reads, so that nothing is held up by that
					for {
						if _, err := c.Read(make([]byte, 1<<16)); err != nil {
							return
						}
					}
				}()
				serve(c, f)
				dropped <- true
			})
			runtime.GC()
			runtime.ReadMemStats(&before)
			switch reply := r.attempt(r.request(10), 0); reply.Result {
			case decision.ConnectionLost, decision.NotSent, decision.Unknown:
			default:
				t.Errorf("%v", reply.Result)
			}
			testkit.Await(t, dropped, "the connection to be ended")
			runtime.GC()
			runtime.ReadMemStats(&after)
			if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 8<<20 {
				t.Errorf("%d bytes more", grown)
			}
		})
	}
}

// Many concurrent calls on few connections get their own responses while one is stuck.
func TestManyStreams(t *testing.T) {
	t.Parallel()
	r := newRig(t, func(a fakes.Attempt) fakes.GRPCBehavior {
		if a.ID == fmt.Sprintf("%016x", 1) {
			return fakes.GRPCHang
		}
		return fakes.GRPCServe
	}, func(_ *fakes.GRPCConfig, c *Config) { c.MaxConnsPerBackend, c.MaxStreamsPerConn = 1, 1000 })
	ctx, cancel := context.WithCancel(t.Context())
	stuck := executor.NewAttempt(1, time.Now().Add(testkit.WaitTimeout), r.request(10))
	ended := make(chan decision.Result)
	go func() { ended <- r.back.RoundTrip(stuck).Result }()
	r.ledger.Await(testkit.WaitTimeout, func(as []fakes.Attempt) bool { return len(as) == 1 })
	var ran sync.WaitGroup
	for range 90 { // a backend that says nothing of it is taken to allow 100
		ran.Go(func() {
			for range 20 {
				req := r.request(2000)
				reply := r.attempt(req, 0)
				a, ok := reply.Body.(*Response)
				if !ok || string(a.Body[5:]) != "done "+req.Metadata[0].Value {
					t.Errorf("%v %+v", reply.Result, reply.Body)
					cancel()
				}
				if ctx.Err() != nil {
					return
				}
			}
		})
	}
	ran.Wait()
	stuck.Cancel(executor.ErrDeadlineExceeded)
	if got := <-ended; got != decision.TimedOut {
		t.Errorf("the one that is stuck: %v", got)
	}
	if _, total := r.backend.Conns(); total != 1 {
		t.Errorf("%d connections", total)
	}
	cancel()
}

// A response larger than the windows arrives completely, as they are returned while it is read.
func TestLargeResponse(t *testing.T) {
	t.Parallel()
	r := newRig(t, func(fakes.Attempt) fakes.GRPCBehavior { return fakes.GRPCMessageTooLarge },
		func(_ *fakes.GRPCConfig, c *Config) { c.MaxConnsPerBackend, c.MaxMessageBytes = 1, 16<<20 })
	for range 2 {
		reply := r.attempt(r.request(10), 0)
		if a, ok := reply.Body.(*Response); !ok || len(a.Body) != fakes.GRPCLargeMessageBytes+5 {
			t.Fatalf("%v", reply.Result)
		}
	}
}

// A backend opens the windows of streams by a setting while a request is half written: it gets the
// rest.
func TestSettingsChangeDuringCall(t *testing.T) {
	t.Parallel()
	r := startRawBackend(t, func(_ net.Conn, f *http2.Framer) {
		_ = f.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 10})
		var head bytes.Buffer
		encoder := hpack.NewEncoder(&head)
		got := map[uint32]int{}
		for {
			frame, err := f.ReadFrame()
			if err != nil {
				return
			}
			d, ok := frame.(*http2.DataFrame)
			if !ok {
				continue
			}
			if got[d.StreamID] += len(d.Data()); got[d.StreamID] == 10 && !d.StreamEnded() {
				_ = f.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1000})
			}
			if !d.StreamEnded() {
				continue
			}
			head.Reset()
			for _, h := range [][2]string{{":status", "200"}, {"content-type", "application/grpc"},
				{"grpc-status", "5"}} {
				_ = encoder.WriteField(hpack.HeaderField{Name: h[0], Value: h[1]})
			}
			_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: d.StreamID, BlockFragment: head.Bytes(),
				EndHeaders: true, EndStream: true})
		}
	})
	for _, size := range []int{1, 100} { // with the first answer the first settings have come
		if reply := r.attempt(r.request(size), 0); reply.Result != decision.Succeeded {
			t.Errorf("%d bytes: %v", size, reply.Result)
		}
	}
}
