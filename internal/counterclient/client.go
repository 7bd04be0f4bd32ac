// Package counterclient is a client of the platform's shared counter. It pipelines calls on one connection,
// and each call ends within its timeout. Packages quota and decision decide when to call and how to use a
// total. A Client guards its connection and the calls in flight with a lock, which is not held while
// anything blocks.
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
	// stallTimeout is the age of the oldest call in flight, counted from Add, above which the connection is
	// closed when any call times out. It is also the timeout of a write.
	stallTimeout = time.Second
	// maxIdle is the maximum time for which a connection may have been idle to be used again. The counter
	// closes idle connections soon after it.
	maxIdle = 4 * time.Second
	// maxPendingCalls is the maximum number of calls on the connection: queued, in flight, and those that have
	// timed out and whose responses may still arrive.
	maxPendingCalls = 256
)

// Config configures a Client.
type Config struct {
	Addr           string        // of the counter, host:port
	Timeout        time.Duration // of each call
	ConnectTimeout time.Duration
	// Dial opens connections. Nil means a net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client makes calls to one counter. It is safe for concurrent use.
type Client struct {
	config Config

	mu         sync.Mutex
	addr       string
	conn       *conn // nil if there is none
	closed     bool
	goroutines sync.WaitGroup
}

// call is a call that has not ended, or one that has timed out and whose response may still arrive.
type call struct {
	ref      uint64 // the caller's reference, returned in the result
	request  []byte
	calledAt time.Time // when Add was called
	timer    *time.Timer
	done     func(decision.CounterResult) // nil once the call has ended
}

// New returns a Client. It connects when the first call is made.
func New(config Config) *Client {
	if config.Dial == nil {
		config.Dial = (&net.Dialer{}).DialContext
	}
	return &Client{config: config, addr: config.Addr}
}

// SetAddr changes the address for further calls. An empty address is ignored.
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

// Close closes the connection, ends all calls, and waits for the Client's goroutines to end.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	if c.conn != nil {
		c.conn.close()
	}
	c.mu.Unlock()
	c.goroutines.Wait()
}

// Add adds an amount to one key of the counter. It does not block. done is called once, from another
// goroutine, with the result: Succeeded and the total; Rejected, ConnectFailed or NotSent if the amount was
// not added; TimedOut or ConnectionLost if it may have been added.
func (c *Client) Add(n decision.CounterAdd, done func(decision.CounterResult)) {
	pending := &call{ref: n.Ref, calledAt: time.Now(), done: done, request: encodeRequest(n)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		go done(decision.CounterResult{Ref: n.Ref, Result: decision.NotSent})
		return
	}
	cn := c.usableConn()
	if len(cn.inFlight)+len(cn.queued) >= maxPendingCalls {
		go done(decision.CounterResult{Ref: n.Ref, Result: decision.NotSent})
		return
	}
	cn.queued = append(cn.queued, pending)
	pending.timer = time.AfterFunc(c.config.Timeout, func() { c.onTimeout(cn, pending) })
	cn.wakeWriter()
}

// encodeRequest returns the encoded HTTP request of a call, as the counter's protocol defines it.
func encodeRequest(n decision.CounterAdd) []byte {
	return fmt.Appendf(nil, "POST /tally/%s?n=%s&keep_ms=%d HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n",
		strconv.FormatUint(n.Key, 36), strconv.FormatFloat(n.Amount, 'f', -1, 64), n.TTL.Milliseconds())
}

// usableConn returns the current connection, or a new one if there is none or it was idle for too long. The
// caller must hold the lock.
func (c *Client) usableConn() *conn {
	cn := c.conn
	if cn != nil && len(cn.inFlight)+len(cn.queued) == 0 && time.Since(cn.idleSince) > maxIdle {
		cn.close()
		cn = nil
	}
	if cn == nil {
		cn = &conn{client: c, wake: make(chan struct{}, 1), idleSince: time.Now()}
		cn.ctx, cn.cancel = context.WithCancel(context.Background())
		c.conn = cn
		c.goroutines.Go(cn.run)
	}
	return cn
}

// finish ends a call, if it has not ended yet. The caller must hold the lock, which is released while done runs.
func (c *Client) finish(pending *call, r decision.Result, total float64) {
	done := pending.done
	if done == nil {
		return
	}
	pending.done = nil
	pending.timer.Stop()
	c.mu.Unlock()
	done(decision.CounterResult{Ref: pending.ref, Result: r, Total: total})
	c.mu.Lock()
}

// onTimeout ends a call that got no response in time. If it was already written, it stays in inFlight, as its
// response may still arrive and responses are matched to calls by their order.
func (c *Client) onTimeout(cn *conn, pending *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := decision.TimedOut
	for i, queued := range cn.queued {
		if queued == pending {
			cn.queued = append(cn.queued[:i:i], cn.queued[i+1:]...)
			result = decision.ConnectFailed // it was not written, and this result proves that nothing was added
			break
		}
	}
	if len(cn.inFlight) > 0 && time.Since(cn.inFlight[0].calledAt) > stallTimeout {
		cn.close()
	}
	c.finish(pending, result, 0)
}
