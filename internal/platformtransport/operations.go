package platformtransport

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"pumicecroft/internal/executor"
	"pumicecroft/internal/platformhttp"
	"pumicecroft/internal/socketpeek"
)

// aLongTimeAgo is a deadline in the past, which makes pending reads and writes fail at once.
var aLongTimeAgo = time.Unix(1, 0)

// execute carries out one operation of an exchange and returns the next one.
func (t *Transport) execute(a *executor.Attempt, x *platformhttp.Exchange, op platformhttp.Op) platformhttp.Op {
	switch op {
	case platformhttp.Dial:
		return t.executeDial(a, x)
	case platformhttp.Write:
		return t.executeWrite(a, x)
	case platformhttp.Read:
		return t.executeRead(a, x)
	case platformhttp.Finish:
		return t.executeFinish(a, x)
	}
	panic(fmt.Sprintf("platformtransport: unexpected operation %d", op))
}

// checkIdleConns carries out CheckConn operations, on one idle connection after another, until a different operation
// follows, and closes the connections that the pool has discarded. It does not block. The caller must hold the lock.
func (t *Transport) checkIdleConns(x *platformhttp.Exchange, op platformhttp.Op) platformhttp.Op {
	for op == platformhttp.CheckConn {
		clean := x.Conn.Owner.(*conn).peeker.Peek() == socketpeek.Idle
		op = x.ConnChecked(t.now(), clean)
	}
	t.closeDiscardedAndSetTimer()
	return op
}

func (t *Transport) executeDial(a *executor.Attempt, x *platformhttp.Exchange) platformhttp.Op {
	c, err := t.connect(a, x)
	propagateCancel(a, x)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.checkIdleConns(x, x.Dialed(t.now(), c, err))
}

// connect opens a connection. It returns early if the attempt is cancelled.
func (t *Transport) connect(a *executor.Attempt, x *platformhttp.Exchange) (*conn, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := a.OnCancel(cancel); err != nil {
		return nil, err
	}
	defer func() { _ = a.OnCancel(nil) }()
	c, err := t.dial(ctx, "tcp", x.Addr())
	if errors.Is(err, syscall.EMFILE) {
		return nil, fmt.Errorf("%w: %w", platformhttp.ErrNoDescriptors, err)
	} else if err != nil {
		return nil, err
	}
	return &conn{Conn: c, peeker: socketpeek.New(c)}, nil
}

func (t *Transport) executeWrite(a *executor.Attempt, x *platformhttp.Exchange) platformhttp.Op {
	c := x.Conn.Owner.(*conn)
	err := a.OnCancel(func() { _ = c.SetDeadline(aLongTimeAgo) })
	if err == nil {
		err = t.write(a, x, c)
	}
	if err == nil {
		return x.Wrote(t.now(), c.readBuf, nil) // needs no lock: it uses the BackendSet only after an error
	}
	propagateCancel(a, x)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.checkIdleConns(x, x.Wrote(t.now(), nil, err))
}

// write writes the request, unless it is too late to send it.
func (t *Transport) write(a *executor.Attempt, x *platformhttp.Exchange, c *conn) error {
	now := time.Now()
	if a.SendForbiddenAt(now) {
		return platformhttp.ErrSendForbidden
	}
	var err error
	if c.writeBuf, err = x.AppendRequest(c.writeBuf[:0], now.Sub(t.start)); err != nil {
		return err
	}
	_, err = c.Write(c.writeBuf)
	if cap(c.writeBuf) > maxKeptBuffer {
		c.writeBuf = nil
	}
	return err
}

func (t *Transport) executeRead(a *executor.Attempt, x *platformhttp.Exchange) platformhttp.Op {
	c := x.Conn.Owner.(*conn)
	n, err := c.Read(x.ReadBuffer())
	previous := x.ReadDeadline
	op := x.Received(t.now(), n, err)
	if op == platformhttp.Read && x.ReadDeadline != previous {
		// A cancellation sets a deadline in the past. IfActive makes sure that it is not overwritten.
		_ = a.IfActive(func() { _ = c.SetReadDeadline(t.start.Add(x.ReadDeadline)) })
	}
	return op
}

func (t *Transport) executeFinish(a *executor.Attempt, x *platformhttp.Exchange) platformhttp.Op {
	c := x.Conn.Owner.(*conn)
	if x.ReadDeadline > 0 { // reset for the next request; after a cancellation the connection is not reused
		_ = a.IfActive(func() { _ = c.SetReadDeadline(time.Time{}) })
	}
	if c.readBuf = x.ReusableBuffer(); cap(c.readBuf) > maxKeptBuffer {
		c.readBuf = nil
	}
	_ = a.OnCancel(nil)
	propagateCancel(a, x)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.checkIdleConns(x, x.Finish(t.now()))
}

// propagateCancel cancels the exchange if its attempt was cancelled.
func propagateCancel(a *executor.Attempt, x *platformhttp.Exchange) {
	switch cause := a.CancelCause(); {
	case errors.Is(cause, executor.ErrCancelled):
		x.Cancel(platformhttp.Cancelled)
	case cause != nil:
		x.Cancel(platformhttp.TimedOut)
	}
}
