package counterclient

import (
	"bufio"
	"context"
	"net"
	"time"

	"pumicecroft/decision"
)

// readBufferSize is the size of the read buffer in bytes, which holds many responses.
const readBufferSize = 1 << 10

// conn is one connection to the counter, from its creation before dialing to its end. Its fields are guarded
// by the client's lock.
type conn struct {
	client    *Client
	ctx       context.Context
	cancel    context.CancelFunc
	netConn   net.Conn // nil until connected
	queued    []*call  // calls that are not written yet
	inFlight  []*call  // calls that are written or being written, in the order of their responses
	wake      chan struct{}
	idleSince time.Time // when the last response arrived
	closed    bool
}

func (cn *conn) wakeWriter() {
	select {
	case cn.wake <- struct{}{}:
	default:
	}
}

// close closes the connection. The goroutine of run then ends its calls. The caller must hold the lock.
func (cn *conn) close() {
	if cn.closed {
		return
	}
	cn.closed = true
	if cn.client.conn == cn {
		cn.client.conn = nil
	}
	cn.cancel()
	if cn.netConn != nil {
		_ = cn.netConn.Close()
	}
	cn.wakeWriter()
}

// run dials the counter and writes calls until the connection is closed. A second goroutine reads the responses.
func (cn *conn) run() {
	defer cn.failAll()
	n := cn.connect()
	if n == nil {
		return
	}
	defer func() { _ = n.Close() }()
	cn.client.goroutines.Go(cn.readResponses)
	cn.writeRequests(n)
}

// connect dials the counter. It returns nil if dialing failed or the connection was closed in the meantime.
func (cn *conn) connect() net.Conn {
	c := cn.client
	ctx, cancel := context.WithTimeout(cn.ctx, c.config.ConnectTimeout)
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
	if cn.closed {
		_ = n.Close()
		return nil
	}
	cn.netConn = n
	return n
}

// writeRequests writes queued calls until the connection is closed or a write fails.
func (cn *conn) writeRequests(n net.Conn) {
	c := cn.client
	var buf []byte
	for {
		c.mu.Lock()
		if cn.closed {
			c.mu.Unlock()
			return
		}
		buf = buf[:0]
		for _, pending := range cn.queued {
			buf = append(buf, pending.request...)
		}
		cn.inFlight = append(cn.inFlight, cn.queued...)
		cn.queued = nil
		c.mu.Unlock()
		if len(buf) > 0 {
			_ = n.SetWriteDeadline(time.Now().Add(stallTimeout))
			if _, err := n.Write(buf); err != nil {
				return
			}
		}
		<-cn.wake
	}
}

// readResponses reads responses and ends their calls until the connection ends.
func (cn *conn) readResponses() {
	in := bufio.NewReaderSize(cn.netConn, readBufferSize)
	for {
		result, total, last, err := readResponse(in)
		if !cn.onResponse(result, total, last, err) {
			return
		}
	}
}

// onResponse ends the oldest call in flight and reports whether more responses may arrive.
func (cn *conn) onResponse(result decision.Result, total float64, last bool, err error) bool {
	c := cn.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || len(cn.inFlight) == 0 { // read error, or a response without a call
		cn.close()
		return false
	}
	pending := cn.inFlight[0]
	cn.inFlight = cn.inFlight[1:]
	cn.idleSince = time.Now()
	if last {
		cn.close()
	}
	c.finish(pending, result, total)
	return !last
}

// failAll ends the calls that have no response when the connection ends.
func (cn *conn) failAll() {
	c := cn.client
	c.mu.Lock()
	defer c.mu.Unlock()
	cn.close()
	inFlight, queued := cn.inFlight, cn.queued
	cn.inFlight, cn.queued = nil, nil
	for _, pending := range inFlight {
		c.finish(pending, decision.ConnectionLost, 0)
	}
	for _, pending := range queued {
		c.finish(pending, decision.ConnectFailed, 0)
	}
}
