package httpproxy_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// startFrameBackend starts a backend that reads and writes HTTP/2 frames itself. It calls respond, if
// not nil, with the number of the request, and responds with 200 if respond returns false.
func startFrameBackend(t testing.TB, respond func(n int64, f *http2.Framer, stream uint32) (responded bool)) (
	addr string, requests *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
					return
				}
				f := http2.NewFramer(c, c)
				_ = f.WriteSettings()
				for {
					frame, err := f.ReadFrame()
					if err != nil {
						return
					}
					h, ok := frame.(*http2.HeadersFrame)
					if !ok {
						continue
					}
					if respond != nil && respond(requests.Add(1), f, h.StreamID) {
						continue
					}
					var b bytes.Buffer
					_ = hpack.NewEncoder(&b).WriteField(hpack.HeaderField{Name: ":status", Value: "200"})
					_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: h.StreamID, BlockFragment: b.Bytes(),
						EndHeaders: true, EndStream: true})
				}
			}()
		}
	}()
	return ln.Addr().String(), requests
}

// An HTTP/2 backend ends the first stream in various ways. A request whose stream was refused, or
// follows the last stream of a GOAWAY, did not run and must be retried whatever its method. After any
// other end of its stream, a non-idempotent request must not be retried.
func TestHTTP2BackendBehaviours(t *testing.T) {
	for name, c := range map[string]struct {
		endStream func(f *http2.Framer, stream uint32)
		post, get int  // expected statuses
		retryPost bool // a POST must be retried
	}{
		"REFUSED_STREAM": {func(f *http2.Framer, s uint32) { _ = f.WriteRSTStream(s, http2.ErrCodeRefusedStream) }, 200,
			200, true},
		"GOAWAY before the stream": {func(f *http2.Framer, s uint32) { _ = f.WriteGoAway(s-1, http2.ErrCodeNo, nil) },
			200, 200, true},
		"INTERNAL_ERROR": {func(f *http2.Framer, s uint32) { _ = f.WriteRSTStream(s, http2.ErrCodeInternal) }, 502, 200,
			false},
		"GOAWAY including the stream": {func(f *http2.Framer, s uint32) {
			_ = f.WriteGoAway(s, http2.ErrCodeInternal, nil)
			_ = f.WriteRSTStream(s, http2.ErrCodeCancel)
		}, 502, 200, false},
		"DATA before HEADERS": {func(f *http2.Framer, s uint32) {
			_ = f.WriteRawFrame(http2.FrameData, 0, s, []byte("data before a head"))
		}, 502, 200, false},
	} {
		for _, method := range []string{"POST", "GET"} {
			t.Run(name+" "+method, func(t *testing.T) {
				t.Parallel()
				addr, requests := startFrameBackend(t, func(n int64, f *http2.Framer, s uint32) bool {
					if n == 1 {
						c.endStream(f, s)
					}
					return n == 1
				})
				fx := startProxy(t, serviceSection("shop", addr,
					strings.Replace(addr, "127.0.0.1", "localhost", 1))+"speaks = \"h2\"\n")
				req, _ := http.NewRequest(method, "http://"+fx.addr+"/", nil)
				res, err := http.DefaultClient.Do(req)
				if err != nil {
					t.Fatal(err)
				}
				res.Body.Close()
				want, attempts := c.get, int64(2)
				if method == "POST" {
					if want = c.post; !c.retryPost {
						attempts = 1
					}
				}
				if res.StatusCode != want || requests.Load() != attempts {
					t.Errorf("status %d after %d attempts, want %d after %d", res.StatusCode, requests.Load(), want, attempts)
				}
			})
		}
	}
}

// Concurrent requests over HTTP/2 must share the connections to a backend, two at most, and each must
// get its own response.
func TestManyRequestsOverHTTP2(t *testing.T) {
	var mu sync.Mutex
	conns := map[string]bool{}
	backend := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		conns[r.RemoteAddr] = true
		mu.Unlock()
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s", r.Proto, body)
	}), nil)
	fx := startProxy(t, serviceSection("shop", backend)+"speaks = \"h2\"\n")
	var wg sync.WaitGroup
	var failed atomic.Int64
	for i := range 64 {
		wg.Go(func() {
			for n := range 20 {
				want := fmt.Sprint(i, " ", n)
				res, err := http.Post("http://"+fx.addr+"/", "text/plain", strings.NewReader(want))
				if err != nil {
					failed.Add(1)
					continue
				}
				body, _ := io.ReadAll(res.Body)
				res.Body.Close()
				if res.StatusCode != 200 || string(body) != "HTTP/2.0 "+want {
					failed.Add(1)
					t.Logf("status %d, body %q, want 200 and %q", res.StatusCode, body, "HTTP/2.0 "+want)
				}
			}
		})
	}
	wg.Wait()
	if failed.Load() > 0 || len(conns) > 2 {
		t.Errorf("%d requests failed over %d connections, want 0 over at most 2", failed.Load(), len(conns))
	}
}
