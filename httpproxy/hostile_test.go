package httpproxy_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc/test/bufconn"

	"pumicecroft"
	"pumicecroft/httpproxy"
)

var (
	heads = flag.Int("heads", 3000, "number of hostile request heads that TestHostileRequestHeads sends")
	seed  = flag.Uint64("seed", 1, "random seed of these heads")
)

// hostileRequest returns a request with ambiguous framing, or that is invalid in one or two places,
// followed by a second request that is part of the first one's body by at least one interpretation.
// No backend may receive the second one as a request.
func hostileRequest(rng *rand.Rand) string {
	oneOf := func(values ...string) string { return values[rng.IntN(len(values))] }
	pick := func(usual string, unusual ...string) string { // mostly usual, so that most heads have few faults
		if rng.IntN(6) > 0 {
			return usual
		}
		return oneOf(unusual...)
	}
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: x\r\nX-A: b\r\n\r\n"
	body := oneOf("0\r\n\r\n"+smuggled, "5\r\nhello\r\n0\r\n\r\n"+smuggled,
		fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(smuggled), smuggled), "0\r\nX: y\r\n\r\n"+smuggled,
		"0;ext=\"\r\n\r\n"+smuggled, "00000000000000000000\r\n\r\n"+smuggled, "0\n\n"+smuggled, "-1\r\n"+smuggled,
		"0x0\r\n\r\n"+smuggled)
	mutate := rng.IntN(5) == 0
	correctLength := fmt.Sprint("Content-Length: ", len(body))
	chunked := pick("Transfer-Encoding: chunked", "transfer-encoding:chunked", "Transfer-Encoding:\tchunked",
		"Transfer-Encoding : chunked", "Transfer-Encoding: xchunked", "Transfer-Encoding: chunked, identity",
		"Transfer-Encoding: identity, chunked", "Transfer-Encoding: \"chunked\"",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
		"X: y\rTransfer-Encoding: chunked", "X: y\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked\x00",
		"Transfer\x00-Encoding: chunked", "Transfer-Encoding: CHUNKED", "Transfer-Encoding:\x0bchunked")
	var fields []string
	switch rng.IntN(4) {
	case 0:
		fields = []string{correctLength}
	case 1:
		fields = []string{chunked}
	default:
		length := oneOf("0", "1", "5", fmt.Sprint(len(body)-len(smuggled)), "+3", "-1", "0x5", "5, 5", "5,6", "", " ",
			"99999999999999999999", "1e1", "٣", fmt.Sprint(len(body)))
		if mutate { // the mutation may invalidate Transfer-Encoding, and then Content-Length must be correct
			length = fmt.Sprint(len(body))
		}
		fields = []string{"Content-Length: " + length, chunked}
		if rng.IntN(4) == 0 && !mutate {
			fields = append(fields, "Content-Length: "+oneOf("0", "7"))
		}
	}
	if rng.IntN(2) == 0 {
		fields = append(fields, oneOf("Host: y", "Connection: close", "Connection: Content-Length, Transfer-Encoding",
			"Expect: 100-continue", "Upgrade: h2c", "X-"+strings.Repeat("n", rng.IntN(300))+": v",
			": novalue", "novalue", "\tfold: x", "X-Forwarded-For: ::", "Via: x", "Te: trailers, chunked",
			"Trailer: Content-Length", "Content-Encoding: gzip", "X: \xff\xfe",
			"Idempotency-Key: "+strings.Repeat("k", rng.IntN(3000))))
	}
	rng.Shuffle(len(fields), func(i, j int) { fields[i], fields[j] = fields[j], fields[i] })
	line := pick("POST", "GET", "PUT", "P\x00ST", "post", "", "POST ", "PRI") + pick(" ", "  ", "\t") + pick("/",
		"/a%00b", "*", "/\x7f", "//", "http://x/", "/a b", "/..;/x", "/%", "\\",
		"/"+strings.Repeat("a", rng.IntN(2000))) +
		pick(" HTTP/1.1", " HTTP/1.0", " HTTP/2.0", " HTTP/0.9", "", " HTTP/1.1 ", " http/1.1") + pick("\r\n", "\n",
		"\r")
	head := line + "Host: x\r\n" + strings.Join(fields, "\r\n") + "\r\n\r\n"
	// Without Transfer-Encoding, a mutated Content-Length would be wrong by every interpretation.
	if mutate && slices.Contains(fields, chunked) {
		b := []byte(head)
		// A line feed is never inserted: the head would end there by every interpretation.
		b[rng.IntN(len(b)-2)] = "\x00\r\t :;,aZ0\x7f\xff"[rng.IntN(12)]
		head = string(b)
	}
	return head + body
}

// addressedListener gives in-memory connections a remote IP address, which identifies the caller.
type addressedListener struct{ net.Listener }

type addressedConn struct{ net.Conn }

func (l addressedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return addressedConn{c}, err
}

func (addressedConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

// A client sends malformed and ambiguous request heads to smuggle a request past the proxy. Each must
// get a response, or its connection be closed, within 10 s, and no backend may receive a smuggled
// request.
//
//	go test ./httpproxy -run HostileRequestHeads -heads 1000000 -seed 7 -timeout 30m
func TestHostileRequestHeads(t *testing.T) {
	var smuggled, arrived atomic.Int64
	backends := bufconn.Listen(64 << 10)
	var mu sync.Mutex
	var smuggledHeader string
	backendServer := &http.Server{ErrorLog: log.New(io.Discard, "", 0),
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			arrived.Add(1)
			if strings.Contains(r.RequestURI, "smuggled") {
				smuggled.Add(1)
				mu.Lock()
				smuggledHeader = fmt.Sprint(r.Header)
				mu.Unlock()
			}
			io.Copy(io.Discard, r.Body)
		})}
	go backendServer.Serve(backends)
	defer backendServer.Close()
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) { return backends.DialContext(ctx) }
	f := parseFile(t, serviceSection("shop", "127.0.0.1:1")+"deadline = \"2s\"\n")
	gateway, err := pumicecroft.New(f.Gateway, httpproxy.WithService(httpproxy.ServiceConfig{Name: "shop", Dial: dial}))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = gateway.Close(context.Background()) }()
	gateway.Update(f.Backends)
	proxy, err := httpproxy.New(gateway, httpproxy.Config{Rules: (&fixture{t: t}).rules(f),
		BodyReadTimeout: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	clients := bufconn.Listen(64 << 10)
	proxyServer := &http.Server{Handler: proxy, ErrorLog: log.New(io.Discard, "", 0),
		ReadHeaderTimeout: 100 * time.Millisecond, IdleTimeout: 100 * time.Millisecond}
	go proxyServer.Serve(addressedListener{clients})
	defer proxyServer.Close()
	t.Logf("seed %d", *seed)
	var next, responded, closed atomic.Int64
	var slowest atomic.Int64
	var wg sync.WaitGroup
	for range 32 {
		wg.Go(func() {
			for {
				i := next.Add(1)
				if i > int64(*heads) || t.Failed() {
					return
				}
				text := hostileRequest(rand.New(rand.NewPCG(*seed, uint64(i))))
				smuggledBefore, start := smuggled.Load(), time.Now()
				c, err := clients.Dial()
				if err != nil {
					t.Error(err)
					return
				}
				go func() {
					io.WriteString(c, text)
				}()
				c.SetReadDeadline(time.Now().Add(10 * time.Second))
				all, err := io.ReadAll(bufio.NewReader(c))
				c.Close()
				if err != nil && strings.Contains(err.Error(), "timeout") {
					t.Errorf("head %d: no response and no end of the connection in 10 s:\n%q", i, text)
				}
				if len(all) > 0 {
					responded.Add(1)
				} else {
					closed.Add(1)
				}
				if duration := int64(time.Since(start)); duration > slowest.Load() {
					slowest.Store(duration)
				}
				if smuggled.Load() > smuggledBefore && strings.Count(string(all), "HTTP/1.1 ") > 1 {
					mu.Lock()
					t.Errorf("head %d: a request was smuggled, with header %s:\nsent %q\nreceived %q", i, smuggledHeader,
						text, all)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d heads: %d got a response, %d closed without, %d requests at the backend, slowest %v", *heads,
		responded.Load(), closed.Load(), arrived.Load(), time.Duration(slowest.Load()))
	if arrived.Load() < int64(*heads)/20 || smuggled.Load() > 0 || gateway.OpenRequests() > 0 {
		t.Errorf("%d requests arrived at the backend, want at least %d; %d of them smuggled and %d still open, want 0",
			arrived.Load(), *heads/20, smuggled.Load(), gateway.OpenRequests())
	}
}
