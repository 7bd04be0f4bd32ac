package counterclient

import (
	"bufio"
	"context"
	"net"
	"time"

	"pumicecroft/decision"
)

// readBufferSize has room for many responses, in bytes.
const readBufferSize = 1 << 10

// conn is one connection, from its dialing to its end. Its fields are under the client's lock.
type conn struct {
	client    *Client
	ctx       context.Context
	cancel    context.CancelFunc
	netConn   net.Conn // nil: not connected yet
	queued    []*call  // not written yet
	inFlight  []*call  // written or being written, in the order of their responses
	wake      chan struct{}
	idleSince time.Time // when the last response came
	closed    bool
}

func (t *conn) wakeWriter() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// close gives the connection up. Its goroutine ends the calls on it. The caller holds the lock.
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
		_ = t.netConn.Close()
	}
	t.wakeWriter()
}

// run dials and writes calls until the connection is closed; a second goroutine reads the responses.
func (t *conn) run() {
	defer t.failAll()
	n := t.connect()
	if n == nil {
		return
	}
	defer func() { _ = n.Close() }()
	t.client.goroutines.Go(t.readResponses)
	t.writeRequests(n)
}

// connect dials the counter. It returns nil if that failed, or the connection was closed meanwhile.
func (t *conn) connect() net.Conn {
	c := t.client
	ctx, cancel := context.WithTimeout(t.ctx, c.config.ConnectTimeout)
	defer cancel()
	c.mu.Lock()
	addr := c.addr
	c.mu.Unlock()
	n, err := c.config.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.closed {
		_ = n.Close()
		return nil
	}
	t.netConn = n
	return n
}

// writeRequests writes queued calls until the connection is closed or a write fails.
func (t *conn) writeRequests(n net.Conn) {
	c := t.client
	var buf []byte
	for {
		c.mu.Lock()
		if t.closed {
			c.mu.Unlock()
			return
		}
		buf = buf[:0]
		for _, k := range t.queued {
			buf = append(buf, k.request...)
		}
		t.inFlight = append(t.inFlight, t.queued...)
		t.queued = nil
		c.mu.Unlock()
		if len(buf) > 0 {
			_ = n.SetWriteDeadline(time.Now().Add(maxResponseLag))
			if _, err := n.Write(buf); err != nil {
				return
			}
		}
		<-t.wake
	}
}

// readResponses ends calls with their responses until the connection ends.
func (t *conn) readResponses() {
	in := bufio.NewReaderSize(t.netConn, readBufferSize)
	for {
		result, total, last, err := readResponse(in)
		if !t.onResponse(result, total, last, err) {
			return
		}
	}
}

// onResponse ends the oldest call in flight and reports whether more responses may come.
func (t *conn) onResponse(result decision.Result, total float64, last bool, err error) bool {
	c := t.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || len(t.inFlight) == 0 { // or it is a response to no call
		t.close()
		return false
	}
	k := t.inFlight[0]
	t.inFlight = t.inFlight[1:]
	t.idleSince = time.Now()
	if last {
		t.close()
	}
	c.finish(k, result, total)
	return !last
}

// failAll ends the calls that had no response when the connection ended.
func (t *conn) failAll() {
	c := t.client
	c.mu.Lock()
	defer c.mu.Unlock()
	t.close()
	inFlight, queued := t.inFlight, t.queued
	t.inFlight, t.queued = nil, nil
	for _, k := range inFlight {
		c.finish(k, decision.ConnectionLost, 0)
	}
	for _, k := range queued {
		c.finish(k, decision.ConnectFailed, 0)
	}
}
