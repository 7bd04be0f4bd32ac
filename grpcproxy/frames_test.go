package grpcproxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/codes"

	"pumicecroft/internal/fakes"
	"pumicecroft/internal/testkit"
)

// rawClient is a client that handles HTTP/2 frames itself.
type rawClient struct {
	t            *testing.T
	conn         net.Conn
	framer       *http2.Framer
	headerBlock  bytes.Buffer
	encoder      *hpack.Encoder
	nextStreamID uint32
	writeMu      sync.Mutex    // guards writes in tests that run readUntilEnd in a goroutine
	lastEnded    atomic.Uint32 // last stream whose trailers readUntilEnd has read
}

// newRawClient connects a rawClient and writes the HTTP/2 preface and settings.
func (r *fixture) newRawClient(t *testing.T) *rawClient {
	t.Helper()
	conn, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	w := &rawClient{t: t, conn: conn, framer: http2.NewFramer(conn, conn), nextStreamID: 1}
	w.encoder = hpack.NewEncoder(&w.headerBlock)
	w.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	_, err = io.WriteString(conn, http2.ClientPreface)
	if err = errors.Join(err, w.framer.WriteSettings()); err != nil {
		t.Fatal(err)
	}
	return w
}

// open writes the request headers of a call, with more as additional names and values, and returns the
// ID of its stream.
func (w *rawClient) open(c call, more ...string) (id uint32, err error) {
	id = w.nextStreamID
	w.nextStreamID += 2
	fields := []string{":method", "POST", ":scheme", "http", ":path", c.method, ":authority", "desk", "content-type",
		"application/grpc", "te", "trailers"}
	for name, vs := range c.md {
		for _, v := range vs {
			fields = append(fields, name, v)
		}
	}
	w.headerBlock.Reset()
	for fields = append(fields, more...); len(fields) > 1; fields = fields[2:] {
		_ = w.encoder.WriteField(hpack.HeaderField{Name: fields[0], Value: fields[1]})
	}
	block := w.headerBlock.Bytes()
	first := block[:min(len(block), 16<<10)]
	block = block[len(first):]
	err = w.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: first, EndHeaders: len(block) == 0})
	for err == nil && len(block) > 0 {
		n := min(len(block), 16<<10)
		err = w.framer.WriteContinuation(id, n == len(block), block[:n])
		block = block[n:]
	}
	return id, err
}

// do makes a call and returns how it ended, as readUntilEnd does.
func (w *rawClient) do(c call, more ...string) string {
	w.t.Helper()
	id, err := w.open(c, more...)
	if err == nil {
		err = w.framer.WriteData(id, true, frame(c.text))
	}
	if err != nil {
		return err.Error()
	}
	return w.readUntilEnd(id)
}

// readUntilEnd reads frames until a stream or the connection ends. It returns the grpc-status of the
// stream as "status N", or a description of another end.
func (w *rawClient) readUntilEnd(id uint32) string {
	for {
		f, err := w.framer.ReadFrame()
		if err != nil {
			return err.Error()
		}
		switch f := f.(type) {
		case *http2.SettingsFrame:
			if !f.IsAck() {
				w.writeMu.Lock()
				_ = w.framer.WriteSettingsAck()
				w.writeMu.Unlock()
			}
		case *http2.PingFrame:
			if !f.IsAck() {
				w.writeMu.Lock()
				_ = w.framer.WritePing(true, f.Data)
				w.writeMu.Unlock()
			}
		case *http2.GoAwayFrame:
			return fmt.Sprintf("goaway %v %s", f.ErrCode, f.DebugData())
		case *http2.RSTStreamFrame:
			if f.StreamID == id {
				return fmt.Sprintf("reset %v", f.ErrCode)
			}
		case *http2.MetaHeadersFrame:
			if f.StreamEnded() {
				w.lastEnded.Store(f.StreamID)
			}
			if f.StreamID == id && f.StreamEnded() {
				for _, h := range f.RegularFields() {
					if h.Name == "grpc-status" {
						return "status " + h.Value
					}
				}
				return "no status, " + f.PseudoValue("status")
			}
		}
	}
}

// Clients send a grpc-timeout that is 0, negative, malformed or longer than any duration. Calls with an
// invalid one must be rejected, and backends must never get more time than the class's deadline.
func TestUnusualTimeouts(t *testing.T) {
	r := newFixture(t, nil)
	w := r.newRawClient(t)
	for timeout, want := range map[string]string{"0S": "status 4", "0n": "status 4", "-1S": "status 13",
		"soon": "status 13", "": "status 13",
		"123456789S": "status 13", "5x": "status 13", "99999999H": "status 0", "99999999M": "status 0",
		"5S": "status 0"} {
		if got := w.do(r.call("Look"), "grpc-timeout", timeout); got != want {
			t.Errorf("grpc-timeout %q: got %s, want %s", timeout, got, want)
		}
	}
	if got := w.do(r.call("Look")); got != "status 0" { // the class's deadline is used
		t.Errorf("without grpc-timeout: got %s, want status 0", got)
	}
	for _, a := range r.ledger.Attempts() { // the class's deadline is 15 s
		if d, err := time.ParseDuration(a.Timeout[:len(a.Timeout)-1] +
			map[byte]string{'u': "us", 'n': "ns", 'm': "ms", 'S': "s"}[a.Timeout[len(a.Timeout)-1]]); err != nil ||
			d > 15*time.Second {
			t.Errorf("a backend got the timeout %q (%v, %v), want at most 15 s", a.Timeout, d, err)
		}
	}
	if n := len(r.ledger.Attempts()); n != 4 {
		t.Errorf("got %d attempts, want 4: three valid timeouts and a call without one", n)
	}
}

// The timeout that a backend receives must be shorter than the client's.
func TestRemainingTimeoutIsForwarded(t *testing.T) {
	r := newFixture(t, nil)
	w := r.newRawClient(t)
	if got := w.do(r.call("Look"), "grpc-timeout", "2S"); got != "status 0" {
		t.Fatalf("got %s, want status 0", got)
	}
	got := r.ledger.Attempts()[0].Timeout
	if d, err := time.ParseDuration(strings.TrimSuffix(got, "u") + "us"); err != nil || d >= 2*time.Second ||
		d < time.Second {
		t.Errorf("the backend got the timeout %q (%v, %v), want 1 s or more and less than 2 s", got, d, err)
	}
}

// A call has more metadata than the limit allows: it must be rejected, and other clients must still be
// served.
func TestHeaderListOverLimit(t *testing.T) {
	r := newFixture(t, nil)
	w := r.newRawClient(t)
	if got := w.do(r.call("Look"), "x-much", strings.Repeat("m", 40<<10)); got == "status 0" {
		t.Errorf("metadata of 40 KiB: got %s, want an error", got)
	}
	if n := len(r.ledger.Attempts()); n != 0 {
		t.Errorf("the backends received %d attempts, want 0", n)
	}
	if res := r.do(r.call("Look")); res.st.Code() != codes.OK {
		t.Errorf("another client: got %v, want %v", res.st, codes.OK)
	}
}

// A client floods the server with pings: its connection must be closed, and other clients must still be
// served.
func TestPingFlood(t *testing.T) {
	r := newFixture(t, nil)
	w := r.newRawClient(t)
	if got := w.do(r.call("Look")); got != "status 0" {
		t.Fatalf("got %s, want status 0", got)
	}
	go func() {
		for range 100_000 {
			w.writeMu.Lock()
			err := w.framer.WritePing(false, [8]byte{1})
			w.writeMu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	if got := w.readUntilEnd(99); !strings.HasPrefix(got, "goaway ENHANCE_YOUR_CALM") {
		t.Errorf("the flooding client's connection: got %s, want goaway ENHANCE_YOUR_CALM", got)
	}
	if res := r.do(r.call("Look")); res.st.Code() != codes.OK {
		t.Errorf("another client: got %v, want %v", res.st, codes.OK)
	}
}

// A client opens calls and resets them in a loop (HTTP/2 rapid reset, CVE-2023-44487). The number of open
// requests must stay bounded by the client's stream limit, no effect may happen twice, and other clients
// must be served.
func TestRapidReset(t *testing.T) {
	r := newFixture(t, func(o *options) {
		o.behavior = func(a fakes.Attempt) fakes.GRPCBehavior {
			if a.Class == "/shop.Desk/Once" {
				return fakes.GRPCHang
			}
			return fakes.GRPCServe
		}
		o.config.MaxStreamsPerConn = 20
		o.backendConfig.MaxConnsPerBackend = 10
	})
	w := r.newRawClient(t)
	var reading sync.WaitGroup
	reading.Go(func() { w.readUntilEnd(1 << 30) })
	most := 0
	const n = 2000
	for i := range n {
		c := r.call("Once")
		w.writeMu.Lock()
		id, err := w.open(c)
		if err == nil {
			err = w.framer.WriteData(id, true, frame(c.text))
		}
		w.writeMu.Unlock()
		// Every tenth call is reset only after it has become an attempt. Most others are reset before they do.
		if err == nil && i%10 == 0 {
			await(t, "an attempt or a rejection", func() bool {
				return len(r.ledger.ForRequest(c.id)) > 0 ||
					w.lastEnded.Load() == id
			})
			most = max(most, r.gateway.OpenRequests())
		}
		if err == nil {
			w.writeMu.Lock()
			err = w.framer.WriteRSTStream(id, http2.ErrCodeCancel)
			w.writeMu.Unlock()
		}
		if err != nil {
			t.Fatalf("after %d calls: %v", i, err)
		}
		if i%100 == 0 {
			if res := r.do(r.call("Look")); res.st.Code() != codes.OK {
				t.Errorf("another client, after %d calls: got %v, want %v", i, res.st, codes.OK)
			}
		}
		most = max(most, r.gateway.OpenRequests())
	}
	await(t, "the end of all open requests", func() bool { return r.gateway.OpenRequests() == 0 })
	w.conn.Close()
	reading.Wait()
	// A cancelled request stays open until its attempt has ended, so twice the stream limit may be open.
	if most == 0 || most > 2*20+2 {
		t.Errorf("%d requests were open at once, want 1 to %d", most, 2*20+2)
	}
	if repeated := r.ledger.RepeatedEffects(); len(repeated) > 0 {
		t.Errorf("repeated effects: got %v, want none", repeated)
	}
	t.Logf("%d calls, %d attempts, at most %d open", n, len(r.ledger.Attempts()), most)
}

// A connection on which the client does not speak HTTP/2 must be closed.
func TestClientWithoutHTTP2(t *testing.T) {
	r := newFixture(t, nil)
	conn, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, "GET /shop.Desk/Look HTTP/1.1\r\nHost: desk\r\n\r\n")
	testkit.ReadUntilClosed(t, conn)
	if res := r.do(r.call("Look")); res.st.Code() != codes.OK {
		t.Errorf("another client: got %v, want %v", res.st, codes.OK)
	}
}
