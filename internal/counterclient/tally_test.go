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

func client(t *testing.T, addr string, patience time.Duration) *Client {
	c := New(Config{Addr: addr, Timeout: patience, ConnectTimeout: testkit.WaitTimeout})
	t.Cleanup(c.Close)
	return c
}

// add makes a call and waits for its end.
func add(t *testing.T, c *Client, name uint64, amount float64) decision.CounterResult {
	t.Helper()
	got := make(chan decision.CounterResult, 2)
	c.Add(decision.CounterAdd{Ref: 7, Key: name, Amount: amount, TTL: time.Minute}, func(a decision.CounterResult) { got <- a })
	select {
	case a := <-got:
		if a.Ref != 7 {
			t.Errorf("Ref %d", a.Ref)
		}
		return a
	case <-time.After(2 * testkit.WaitTimeout):
		t.Fatal("a call without an end")
		return decision.CounterResult{}
	}
}

func TestCallsAreCounted(t *testing.T) {
	counter, err := fakes.StartCounter()
	if err != nil {
		t.Fatal(err)
	}
	defer counter.Close()
	c := client(t, counter.Addr(), testkit.WaitTimeout)
	for i, amount := range []float64{3, -1.25, 0, 1e-3} {
		want := []float64{3, 1.75, 1.75, 1.751}[i]
		if a := add(t, c, 1<<62, amount); a.Result != decision.Succeeded || a.Total != want {
			t.Errorf("%v: %+v, want %v", amount, a, want)
		}
	}
	counter.SetUnavailable(true)
	if a := add(t, c, 1, 1); a.Result != decision.Rejected {
		t.Errorf("turned away: %+v", a)
	}
	counter.SetUnavailable(false)
	// a hundred at once, one behind another, each with its own answer
	got := make(chan decision.CounterResult, 100)
	for i := range 100 {
		c.Add(decision.CounterAdd{Ref: uint64(i), Key: uint64(1000 + i), Amount: float64(i), TTL: time.Minute}, func(a decision.CounterResult) { got <- a })
	}
	for range 100 {
		if a := <-got; a.Result != decision.Succeeded || a.Total != float64(a.Ref) {
			t.Errorf("%+v", a)
		}
	}
}

// What a counter may do instead of answering, and what it proves.
func TestWhatIsNoAnswer(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		want         decision.Result
	}{
		{"no number", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", decision.ConnectionLost},
		{"not a finite one", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nInf", decision.ConnectionLost},
		{"another status", "HTTP/1.1 302 Found\r\nContent-Length: 0\r\n\r\n", decision.ConnectionLost},
		{"no HTTP", "hello\r\n\r\n", decision.ConnectionLost},
		{"too long", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + fmt.Sprintf("%0100d", 1), decision.ConnectionLost},
		{"cut short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1", decision.ConnectionLost},
		{"not such a call", "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n", decision.Rejected},
		{"the end", "", decision.ConnectionLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr := testkit.Accept(t, func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					conn.Write([]byte(c.answer))
				}
			})
			if a := add(t, client(t, addr, testkit.WaitTimeout), 1, 1); a.Result != c.want {
				t.Errorf("%+v, want result %v", a, c.want)
			}
		})
	}
}

// Silence ends a call at its time; a late answer is not taken for that of the next call.
func TestLateAnswersKeepTheirPlace(t *testing.T) {
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
	c := client(t, addr, 50*time.Millisecond)
	if a := add(t, c, 1, 1); a.Result != decision.TimedOut {
		t.Errorf("silence: %+v", a)
	}
	c.mu.Lock()
	c.config.Timeout = testkit.WaitTimeout
	c.mu.Unlock()
	got := make(chan decision.CounterResult, 1)
	c.Add(decision.CounterAdd{Key: 2, TTL: time.Minute}, func(a decision.CounterResult) { got <- a })
	close(late)
	if a := <-got; a.Result != decision.Succeeded || a.Total != 2 {
		t.Errorf("the second call: %+v", a)
	}
}

// Where nobody listens nothing was added; a counter that moves is followed; a closed client takes nothing.
func TestNobodyThereAndMoving(t *testing.T) {
	counter, err := fakes.StartCounter()
	if err != nil {
		t.Fatal(err)
	}
	defer counter.Close()
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := dead.Addr().String()
	dead.Close()
	c := client(t, addr, testkit.WaitTimeout)
	if a := add(t, c, 1, 1); a.Result != decision.ConnectFailed {
		t.Errorf("refused: %+v", a)
	}
	c.SetAddr(counter.Addr())
	if a := add(t, c, 1, 1); a.Result != decision.Succeeded || a.Total != 1 {
		t.Errorf("after it moved: %+v", a)
	}
	c.Close()
	if a := add(t, c, 1, 1); a.Result != decision.NotSent {
		t.Errorf("closed: %+v", a)
	}
	hung := New(Config{Addr: "x", Timeout: 20 * time.Millisecond, ConnectTimeout: testkit.WaitTimeout,
		Dial: func(ctx context.Context, _, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }})
	if a := add(t, hung, 1, 1); a.Result != decision.ConnectFailed {
		t.Errorf("a connection that does not come up: %+v", a)
	}
	hung.Close()
}
