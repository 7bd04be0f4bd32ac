// Package counterclient calls the platform's shared counter over sockets. Calls are pipelined on one
// connection, and each ends within its timeout. The package decides nothing: packages quota and
// decision choose when to call, and what a total means. A Client owns its connection and the calls in
// flight on it, under its own lock; nothing waits while the lock is held.
package counterclient

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"pumicecroft/decision"
)

const (
	// maxResponseLag is the age of the oldest call in flight at which its connection is given up, and
	// the time that a write may take.
	maxResponseLag = time.Second
	// maxIdle is how long a connection may have been idle to be used again. The counter closes idle
	// connections soon after.
	maxIdle = 4 * time.Second
	// maxInFlight bounds the calls on the connection, with those that have timed out.
	maxInFlight = 256
)

// Config configures a Client.
type Config struct {
	Addr           string        // of the counter, host:port
	Timeout        time.Duration // of a call
	ConnectTimeout time.Duration
	// Dial opens connections. nil: net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client calls one counter. It is safe for concurrent use.
type Client struct {
	config Config

	mu         sync.Mutex
	addr       string
	conn       *conn // nil: none
	closed     bool
	goroutines sync.WaitGroup
}

// call is one call, from Add to its end.
type call struct {
	ref     uint64
	request []byte
	sentAt  time.Time
	timer   *time.Timer
	done    func(decision.CounterResult) // nil: it has ended
}

// New returns a Client, which connects at the first call.
func New(config Config) *Client {
	if config.Dial == nil {
		config.Dial = (&net.Dialer{}).DialContext
	}
	return &Client{config: config, addr: config.Addr}
}

// SetAddr sends further calls to another address. An empty one is ignored.
func (c *Client) SetAddr(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr != "" && addr != c.addr {
		c.addr = addr
		if c.conn != nil {
			c.conn.close()
		}
	}
}

// Close ends the connection and all calls, and waits for the Client's goroutines.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	if c.conn != nil {
		c.conn.close()
	}
	c.mu.Unlock()
	c.goroutines.Wait()
}

// Add adds to a number of the counter. It does not block. done is called once, from another goroutine:
// with the total; as Rejected, ConnectFailed or NotSent if nothing was added; as TimedOut or
// ConnectionLost if it may have been.
func (c *Client) Add(n decision.CounterAdd, done func(decision.CounterResult)) {
	k := &call{ref: n.Ref, sentAt: time.Now(), done: done, request: encodeRequest(n)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		go done(decision.CounterResult{Ref: n.Ref, Result: decision.NotSent})
		return
	}
	t := c.usableConn()
	if len(t.inFlight)+len(t.queued) >= maxInFlight {
		go done(decision.CounterResult{Ref: n.Ref, Result: decision.NotSent})
		return
	}
	t.queued = append(t.queued, k)
	k.timer = time.AfterFunc(c.config.Timeout, func() { c.onTimeout(t, k) })
	t.wakeWriter()
}

// encodeRequest returns the request of a call as it stands on the wire.
func encodeRequest(n decision.CounterAdd) []byte {
	return fmt.Appendf(nil, "POST /tally/%s?n=%s&keep_ms=%d HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n",
		strconv.FormatUint(n.Key, 36), strconv.FormatFloat(n.Amount, 'f', -1, 64), n.TTL.Milliseconds())
}

// usableConn returns the connection, or a new one if there is none that may be used. The caller holds
// the lock.
func (c *Client) usableConn() *conn {
	t := c.conn
	if t != nil && len(t.inFlight)+len(t.queued) == 0 && time.Since(t.idleSince) > maxIdle {
		t.close()
		t = nil
	}
	if t == nil {
		t = &conn{client: c, wake: make(chan struct{}, 1), idleSince: time.Now()}
		t.ctx, t.cancel = context.WithCancel(context.Background())
		c.conn = t
		c.goroutines.Go(t.run)
	}
	return t
}

// finish ends a call. The caller holds the lock, which is released while done runs.
func (c *Client) finish(k *call, r decision.Result, total float64) {
	done := k.done
	if done == nil {
		return
	}
	k.done = nil
	k.timer.Stop()
	c.mu.Unlock()
	done(decision.CounterResult{Ref: k.ref, Result: r, Total: total})
	c.mu.Lock()
}

// onTimeout ends a call that got no response in time. A call that was written keeps its place among
// those in flight, as responses come in the order of the calls.
func (c *Client) onTimeout(t *conn, k *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := decision.TimedOut
	for i, queued := range t.queued {
		if queued == k {
			t.queued = append(t.queued[:i:i], t.queued[i+1:]...)
			result = decision.ConnectFailed // it was not written
			break
		}
	}
	if len(t.inFlight) > 0 && time.Since(t.inFlight[0].sentAt) > maxResponseLag {
		t.close()
	}
	c.finish(k, result, 0)
}
