package counterclient

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/fakes"
	"pumicecroft/internal/testkit"
)

// newClient returns a Client that is closed at the end of the test.
func newClient(t *testing.T, addr string, timeout time.Duration) *Client {
	t.Helper()
	c := New(Config{Addr: addr, Timeout: timeout, ConnectTimeout: testkit.WaitTimeout})
	t.Cleanup(c.Close)
	return c
}

// newCounter starts a counter that is closed at the end of the test.
func newCounter(t *testing.T) *fakes.Counter {
	t.Helper()
	counter, err := fakes.StartCounter()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(counter.Close)
	return counter
}

// add makes a call and waits for its end.
func add(t *testing.T, c *Client, key uint64, amount float64) decision.CounterResult {
	t.Helper()
	results := make(chan decision.CounterResult, 2)
	c.Add(decision.CounterAdd{Ref: 7, Key: key, Amount: amount, TTL: time.Minute},
		func(r decision.CounterResult) { results <- r })
	select {
	case r := <-results:
		if r.Ref != 7 {
			t.Errorf("got Ref %d, want 7", r.Ref)
		}
		return r
	case <-time.After(2 * testkit.WaitTimeout):
		t.Fatalf("the call has not ended after %v", 2*testkit.WaitTimeout)
		return decision.CounterResult{}
	}
}

// Amounts are added one after another, then a hundred at once. Each call must get its own total.
func TestAdd_Totals(t *testing.T) {
	counter := newCounter(t)
	c := newClient(t, counter.Addr(), testkit.WaitTimeout)
	for _, call := range []struct{ amount, total float64 }{{3, 3}, {-1.25, 1.75}, {0, 1.75}, {1e-3, 1.751}} {
		if r := add(t, c, 1<<62, call.amount); r.Result != decision.Succeeded || r.Total != call.total {
			t.Errorf("adding %v: got %+v, want Succeeded with total %v", call.amount, r, call.total)
		}
	}
	counter.SetUnavailable(true)
	if r := add(t, c, 1, 1); r.Result != decision.Rejected {
		t.Errorf("while the counter rejects calls: got %+v, want Rejected", r)
	}
	counter.SetUnavailable(false)
	results := make(chan decision.CounterResult, 100)
	for i := range 100 {
		c.Add(decision.CounterAdd{Ref: uint64(i), Key: uint64(1000 + i), Amount: float64(i), TTL: time.Minute},
			func(r decision.CounterResult) { results <- r })
	}
	for range 100 {
		if r := <-results; r.Result != decision.Succeeded || r.Total != float64(r.Ref) {
			t.Errorf("concurrent call %d: got %+v, want Succeeded with total %d", r.Ref, r, r.Ref)
		}
	}
}

// The counter responds with something else than a total. Only a rejection proves that nothing was added, so any
// other such response must end the call as ConnectionLost.
func TestAdd_InvalidResponses(t *testing.T) {
	for _, c := range []struct {
		name, response string
		want           decision.Result
	}{
		{"not a number", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", decision.ConnectionLost},
		{"not finite", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nInf", decision.ConnectionLost},
		{"another status", "HTTP/1.1 302 Found\r\nContent-Length: 0\r\n\r\n", decision.ConnectionLost},
		{"not HTTP", "hello\r\n\r\n", decision.ConnectionLost},
		{"too long", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + fmt.Sprintf("%0100d", 1), decision.ConnectionLost},
		{"truncated", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1", decision.ConnectionLost},
		{"bad request", "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n", decision.Rejected},
		{"no response", "", decision.ConnectionLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr := testkit.Accept(t, func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = conn.Write([]byte(c.response))
				}
			})
			if r := add(t, newClient(t, addr, testkit.WaitTimeout), 1, 1); r.Result != c.want {
				t.Errorf("got %+v, want result %v", r, c.want)
			}
		})
	}
}

// The response to a call arrives after its timeout. It must not be matched to the next call.
func TestAdd_LateResponseKeepsItsPlace(t *testing.T) {
	late := make(chan bool)
	addr := testkit.Accept(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		for i := 1; ; i++ {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			if i == 1 {
				<-late
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", i)
		}
	})
	c := newClient(t, addr, 50*time.Millisecond)
	if r := add(t, c, 1, 1); r.Result != decision.TimedOut {
		t.Errorf("first call, without a response: got %+v, want TimedOut", r)
	}
	c.mu.Lock()
	c.config.Timeout = testkit.WaitTimeout
	c.mu.Unlock()
	results := make(chan decision.CounterResult, 1)
	c.Add(decision.CounterAdd{Key: 2, TTL: time.Minute}, func(r decision.CounterResult) { results <- r })
	close(late)
	if r := <-results; r.Result != decision.Succeeded || r.Total != 2 {
		t.Errorf("second call: got %+v, want Succeeded with total 2", r)
	}
}

// The counter is unreachable, then its address changes. Calls must end as ConnectFailed while it is unreachable, and
// succeed at the new address. After the client is closed they must end as NotSent.
func TestAdd_UnreachableCounter(t *testing.T) {
	counter := newCounter(t)
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := unused.Addr().String()
	_ = unused.Close()
	c := newClient(t, addr, testkit.WaitTimeout)
	if r := add(t, c, 1, 1); r.Result != decision.ConnectFailed {
		t.Errorf("connection refused: got %+v, want ConnectFailed", r)
	}
	c.SetAddr(counter.Addr())
	if r := add(t, c, 1, 1); r.Result != decision.Succeeded || r.Total != 1 {
		t.Errorf("after the address change: got %+v, want Succeeded with total 1", r)
	}
	c.Close()
	if r := add(t, c, 1, 1); r.Result != decision.NotSent {
		t.Errorf("after Close: got %+v, want NotSent", r)
	}
}

// Dialing does not complete. The call must end at its timeout, as ConnectFailed.
func TestAdd_ConnectionDoesNotComeUp(t *testing.T) {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }
	c := New(Config{Addr: "x", Timeout: 20 * time.Millisecond, ConnectTimeout: testkit.WaitTimeout, Dial: dial})
	defer c.Close()
	if r := add(t, c, 1, 1); r.Result != decision.ConnectFailed {
		t.Errorf("got %+v, want ConnectFailed", r)
	}
}
