// Package counterclient is the way to the platform's counter over sockets: calls go one behind another on one connection, and
// each has its answer or its end within its time. It decides nothing: when to call, and what a total means, is for
// package quota and the decision module. A Client owns its connection and the calls that are out on it, under its own
// lock; nothing under the lock waits.
package counterclient

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"pumicecroft/decision"
)

const (
	maxResponseLag = time.Second     // a connection whose oldest call is older than this is given up
	maxIdle        = 4 * time.Second // a connection that was idle for this long is not used again: the counter closes it soon
	maxInFlight    = 256             // calls on the connection, those whose time was up among them
	maxBodyBytes   = 64              // bytes of a total
)

// Config is what a Client is made of.
type Config struct {
	Addr                    string
	Timeout, ConnectTimeout time.Duration // for an answer; for a connection to come up
	// Dial makes connections, in place of TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client asks one counter. It is safe for concurrent use.
type Client struct {
	config Config

	mu         sync.Mutex
	addr       string
	conn       *conn // nil: none
	closed     bool
	goroutines sync.WaitGroup
}

// call is one call, from Add to its answer.
type call struct {
	ref     uint64
	request []byte
	sentAt  time.Time
	done    func(decision.CounterResult) // nil: it has ended
	timer   *time.Timer
}

// conn is one connection, from its dialling to its end.
type conn struct {
	client    *Client
	ctx       context.Context
	cancel    context.CancelFunc
	netConn   net.Conn // nil: it is not up yet
	queued    []*call  // not yet written
	inFlight  []*call  // written or being written, in the order of their answers
	wake      chan struct{}
	idleSince time.Time // since when nothing is out
	closed    bool
}

// New makes a client; it connects when it is first asked.
func New(config Config) *Client {
	if config.Dial == nil {
		config.Dial = (&net.Dialer{}).DialContext
	}
	return &Client{config: config, addr: config.Addr}
}

// SetAddr has further calls go to a counter at another address.
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

// Close ends the connection and all calls, and waits for what runs for them.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	if c.conn != nil {
		c.conn.close()
	}
	c.mu.Unlock()
	c.goroutines.Wait()
}

// Add makes a call. done is called once, from another goroutine: with the total; as Refused or NoConnection if nothing was
// added; as TimedOut or Broken if it may have been.
func (c *Client) Add(n decision.CounterAdd, done func(decision.CounterResult)) {
	k := &call{ref: n.Ref, sentAt: time.Now(), done: done}
	k.request = fmt.Appendf(nil, "POST /tally/%s?n=%s&keep_ms=%d HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n",
		strconv.FormatUint(n.Key, 36), strconv.FormatFloat(n.Amount, 'f', -1, 64), n.TTL.Milliseconds())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		go done(decision.CounterResult{Ref: n.Ref, Result: decision.NotSent})
		return
	}
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
	if len(t.inFlight)+len(t.queued) >= maxInFlight {
		go done(decision.CounterResult{Ref: n.Ref, Result: decision.NotSent})
		return
	}
	t.queued = append(t.queued, k)
	k.timer = time.AfterFunc(c.config.Timeout, func() { c.onTimeout(t, k) })
	t.wakeWriter()
}

func (t *conn) wakeWriter() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// finish ends a call; it wants the lock, which it lets go of while the caller hears.
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

// onTimeout ends a call without an answer. What was written keeps its place, as answers come in their order.
func (c *Client) onTimeout(t *conn, k *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := decision.TimedOut
	for i, w := range t.queued {
		if w == k {
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

// close gives the connection up; it wants the lock. The goroutine of the connection tells those whose calls were out.
func (t *conn) close() {
	if t.closed {
		return
	}
	t.closed = true
	if t.client.conn == t {
		t.client.conn = nil
	}
	t.cancel()
	if t.netConn != nil {
		t.netConn.Close()
	}
	t.wakeWriter()
}

// run dials, writes what comes, and has a second goroutine read the answers.
func (t *conn) run() {
	c := t.client
	defer t.failAll()
	ctx, cancel := context.WithTimeout(t.ctx, c.config.ConnectTimeout)
	c.mu.Lock()
	addr := c.addr
	c.mu.Unlock()
	n, err := c.config.Dial(ctx, "tcp", addr)
	cancel()
	if err != nil {
		return
	}
	defer n.Close()
	c.mu.Lock()
	if t.closed {
		c.mu.Unlock()
		return
	}
	t.netConn = n
	c.mu.Unlock()
	c.goroutines.Go(t.readResponses)
	var text []byte
	for {
		c.mu.Lock()
		if t.closed {
			c.mu.Unlock()
			return
		}
		text = text[:0]
		for _, k := range t.queued {
			text = append(text, k.request...)
		}
		t.inFlight = append(t.inFlight, t.queued...)
		t.queued = nil
		c.mu.Unlock()
		if len(text) > 0 {
			n.SetWriteDeadline(time.Now().Add(maxResponseLag))
			if _, err := n.Write(text); err != nil {
				return
			}
		}
		<-t.wake
	}
}

// readResponses takes answers until the connection ends.
func (t *conn) readResponses() {
	c := t.client
	in := bufio.NewReaderSize(t.netConn, 1<<10)
	for {
		result, total, last, err := readResponse(in)
		c.mu.Lock()
		if err != nil || len(t.inFlight) == 0 { // or it is an answer to no call
			t.close()
			c.mu.Unlock()
			return
		}
		k := t.inFlight[0]
		t.inFlight = t.inFlight[1:]
		t.idleSince = time.Now()
		if last {
			t.close()
		}
		c.finish(k, result, total)
		c.mu.Unlock()
		if last {
			return
		}
	}
}

// failAll tells those whose calls the connection took with it.
func (t *conn) failAll() {
	c := t.client
	c.mu.Lock()
	defer c.mu.Unlock()
	t.close()
	out, waiting := t.inFlight, t.queued
	t.inFlight, t.queued = nil, nil
	for _, k := range out {
		c.finish(k, decision.ConnectionLost, 0)
	}
	for _, k := range waiting {
		c.finish(k, decision.ConnectFailed, 0)
	}
}

// readResponse reads one answer. last: the counter closes the connection behind it. What is no answer to a call is an error, as
// whatever comes behind it can't be told apart.
func readResponse(in *bufio.Reader) (result decision.Result, total float64, last bool, err error) {
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, 0, false, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		return 0, 0, false, fmt.Errorf("an answer of the counter's that is not whole, or too long: %w", err)
	}
	switch res.StatusCode {
	case http.StatusOK:
		total, err = strconv.ParseFloat(strings.TrimSpace(string(body)), 64)
		if err != nil || math.IsNaN(total) || math.IsInf(total, 0) {
			return 0, 0, false, fmt.Errorf("a total %q of the counter's", body)
		}
		return decision.Succeeded, total, res.Close, nil
	case http.StatusServiceUnavailable, http.StatusBadRequest, http.StatusNotFound:
		return decision.Rejected, 0, res.Close, nil
	}
	return 0, 0, false, fmt.Errorf("status %d of the counter's", res.StatusCode)
}
