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

// startFrameBackend starts a backend that handles HTTP/2 frames itself: act ends each stream, and
// the backend answers if it is nil.
func startFrameBackend(t testing.TB, act func(n int64, f *http2.Framer, stream uint32) (answered bool)) (addr string,
	requests *atomic.Int64) {
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
					h, is := frame.(*http2.HeadersFrame)
					if !is {
						continue
					}
					if act != nil && act(requests.Add(1), f, h.StreamID) {
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

// An HTTP/2 backend ends streams in various ways. A stream that was refused or is beyond a GOAWAY
// did not run: its request goes to another backend whatever its method. Otherwise a request that is
// not idempotent must not be retried.
func TestHTTP2BackendBehaviours(t *testing.T) {
	for name, c := range map[string]struct {
		act       func(f *http2.Framer, stream uint32)
		post, get int // statuses
		again     bool
	}{
		"refused": {func(f *http2.Framer, s uint32) { _ = f.WriteRSTStream(s, http2.ErrCodeRefusedStream) }, 200,
			200, true},
		"leaving": {func(f *http2.Framer, s uint32) { _ = f.WriteGoAway(s-1, http2.ErrCodeNo, nil) }, 200, 200, true},
		"an error": {func(f *http2.Framer, s uint32) { _ = f.WriteRSTStream(s, http2.ErrCodeInternal) }, 502, 200,
			false},
		"leaving badly": {func(f *http2.Framer, s uint32) {
			_ = f.WriteGoAway(s, http2.ErrCodeInternal, nil)
			_ = f.WriteRSTStream(s, http2.ErrCodeCancel)
		}, 502, 200, false},
		"noise": {func(f *http2.Framer, s uint32) {
			_ = f.WriteRawFrame(http2.FrameData, 0, s, []byte("data before a head"))
		}, 502, 200, false},
	} {
		for _, method := range []string{"POST", "GET"} {
			t.Run(name+" "+method, func(t *testing.T) {
				t.Parallel()
				addr, requests := startFrameBackend(t, func(n int64, f *http2.Framer, s uint32) bool {
					if n == 1 {
						c.act(f, s)
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
					if want = c.post; !c.again {
						attempts = 1
					}
				}
				if res.StatusCode != want || requests.Load() != attempts {
					t.Errorf("%d after %d attempts, want %d after %d", res.StatusCode, requests.Load(), want, attempts)
				}
			})
		}
	}
}

// Many concurrent requests share few connections, with and without TLS. Streams beyond the
// backend's limit are not queued behind others.
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
	var bad atomic.Int64
	for i := range 64 {
		wg.Go(func() {
			for n := range 20 {
				want := fmt.Sprint(i, " ", n)
				res, err := http.Post("http://"+fx.addr+"/", "text/plain", strings.NewReader(want))
				if err != nil {
					bad.Add(1)
					continue
				}
				body, _ := io.ReadAll(res.Body)
				res.Body.Close()
				if res.StatusCode != 200 || string(body) != "HTTP/2.0 "+want {
					bad.Add(1)
					t.Logf("%d %s", res.StatusCode, body)
				}
			}
		})
	}
	wg.Wait()
	if bad.Load() > 0 || len(conns) > 2 {
		t.Errorf("%d bad, over %d connections", bad.Load(), len(conns))
	}
}
