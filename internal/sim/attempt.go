package sim

import (
	"errors"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/platformhttp"
)

// attempt is one attempt of a request, or a probe, which has no request. Its state machine is
// platformhttp.Exchange; the gateway executes the operations that the exchange asks for.
type attempt struct {
	exchange  platformhttp.Exchange
	request   *clientRequest // nil: the attempt is a probe
	number    int            // within the request, from 0
	backend   decision.BackendID
	deadline  time.Duration
	notAfter  time.Duration // the request must not be sent later; 0: no limit
	decidedAt time.Duration // when the lifecycle machine started the attempt

	cancelCause     platformhttp.CancelReason
	cancelWait      func() // ends the wait for the pending operation; nil: no operation is pending
	waitSerial      int    // number of the pending operation, by which outdated callbacks are ignored
	sent            bool   // the request's first byte was sent
	responseStarted bool   // the response is being streamed to the client
	onEnd           func(*attempt)
}

// cancel cancels the attempt with a cause and ends its wait for the pending operation. Only the first
// call has an effect.
func (a *attempt) cancel(cause platformhttp.CancelReason) {
	if a.cancelCause != platformhttp.NotCancelled {
		return
	}
	if a.cancelCause = cause; a.cancelWait != nil {
		a.cancelWait()
	}
}

// randKey returns the key of the attempt's random draws, for world.newRand.
func (a *attempt) randKey() []uint64 {
	if a.request == nil {
		return []uint64{uint64(a.backend), uint64(a.deadline)}
	}
	return []uint64{uint64(a.request.number), uint64(a.number)}
}

// startAttempt starts an attempt, unless it has already been cancelled.
func (g *gateway) startAttempt(a *attempt) {
	if a.cancelCause != platformhttp.NotCancelled {
		a.exchange.Result.Result = decision.NotSent
		g.runAttempt(a, platformhttp.End)
		return
	}
	message := &platformhttp.Request{Method: "GET", Target: "/health", Host: "world"}
	if a.request != nil {
		message = a.request.httpRequest()
	}
	g.runAttempt(a, a.exchange.Start(g.httpPool, a.backend, message, a.deadline, a.notAfter, g.world.now))
}

// runAttempt executes an attempt's operations until one of them has to wait.
func (g *gateway) runAttempt(a *attempt, op platformhttp.Op) {
	exchange := &a.exchange
	for {
		g.closeDiscarded()
		switch op {
		case platformhttp.CheckConn:
			c := exchange.Conn.Owner.(*conn)
			op = exchange.ConnChecked(g.world.now, len(c.received) == 0 && c.readErr == nil)
		case platformhttp.Dial:
			g.dialForAttempt(a)
			return
		case platformhttp.Write:
			g.world.scheduleAfter(0, g.resumeFunc(a, func() platformhttp.Op { return g.writeRequest(a) }))
			return
		case platformhttp.Read:
			if g.waitForResponse(a) {
				return
			}
			op = g.readResponse(a)
		case platformhttp.Finish:
			exchange.Cancel(a.cancelCause)
			exchange.Conn.Owner.(*conn).readBuffer = exchange.ReusableBuffer()
			op = exchange.Finish(g.world.now)
		case platformhttp.End:
			g.closeDiscarded()
			g.scheduleWakeups()
			a.onEnd(a)
			return
		}
	}
}

// resumeFunc returns the callback for the end of an attempt's pending operation. The callback resumes
// the attempt with the operation that next returns. It does nothing if it was called before, or if the
// process has ended.
func (g *gateway) resumeFunc(a *attempt, next func() platformhttp.Op) func() {
	a.waitSerial++
	serial, epoch := a.waitSerial, g.epoch
	return func() {
		g.enqueue(epoch, nil, func() {
			if a.waitSerial == serial {
				a.waitSerial++
				a.cancelWait = nil
				g.runAttempt(a, next())
			}
		})
	}
}

// dialForAttempt opens a connection and then resumes the attempt with it, or with the error.
func (g *gateway) dialForAttempt(a *attempt) {
	exchange := &a.exchange
	a.cancelWait = g.dial(exchange.Addr(), a.randKey(), func(c *conn, err error) {
		g.resumeFunc(a, func() platformhttp.Op {
			exchange.Cancel(a.cancelCause)
			if err != nil {
				return exchange.Dialed(g.world.now, nil, err)
			}
			g.conns[c] = true
			g.openConns++
			return exchange.Dialed(g.world.now, c, nil)
		})()
	})
}

// writeRequest writes the attempt's request to its connection.
func (g *gateway) writeRequest(a *attempt) platformhttp.Op {
	exchange := &a.exchange
	c := exchange.Conn.Owner.(*conn)
	c.sentAt = g.world.now
	text, err := exchange.AppendRequest(nil, g.world.now)
	if err == nil && !g.confirmSend(a) {
		err = platformhttp.ErrSendForbidden
	}
	switch {
	case err != nil:
	case a.cancelCause != platformhttp.NotCancelled:
		err = errCancelled
	case errors.Is(c.readErr, errConnReset):
		err = errConnReset
	case c.backend.affectedBy(ConnLostBeforeRequest, a.randKey()...):
		rng := g.world.newRand(append(a.randKey(), 3)...)
		c.sendToBackend(text[:rng.IntN(len(text))], 0)
		c.deliver(&c.toBackend, 0, c.reset)
		if rng.IntN(2) == 0 {
			err = errConnReset // the write fails; otherwise the next read does
		}
	default:
		rng := g.world.newRand(append(a.randKey(), 4)...)
		sendInPieces(rng, text, c.backend.affectedBy(SlowBytes, a.randKey()...), c.sendToBackend)
	}
	if err != nil {
		exchange.Cancel(a.cancelCause)
		return exchange.Wrote(g.world.now, nil, err)
	}
	g.noteSent(a, c)
	return exchange.Wrote(g.world.now, c.readBuffer, nil)
}

// confirmSend reports whether an attempt may still be sent. It asks the lifecycle machine if the
// decision to start the attempt is older than MaxDecisionAge.
func (g *gateway) confirmSend(a *attempt) bool {
	if a.request == nil || g.world.now-a.decidedAt <= g.machine.Deadlines().MaxDecisionAge {
		return true
	}
	effects, allowed := g.machine.ConfirmSend(g.world.now, decision.RequestID(a.request.id), a.number)
	g.execute(effects)
	return allowed
}

// noteSent reports an attempt's first byte to the checker.
func (g *gateway) noteSent(a *attempt, c *conn) {
	if a.sent {
		return
	}
	a.sent = true
	g.check.attemptsSent++
	if a.request != nil {
		g.check.onAttemptSent(g, a)
		g.world.tracef("door %d sends %d/%d to backend %d", g.number, a.request.number, a.number,
			c.backend.number)
	}
}

// waitForResponse registers the attempt to be resumed by the next readable bytes, read error,
// cancellation or read deadline. It returns false, and registers nothing, if the attempt need not wait.
func (g *gateway) waitForResponse(a *attempt) bool {
	c := a.exchange.Conn.Owner.(*conn)
	if len(c.received) > 0 || c.readErr != nil || a.cancelCause != platformhttp.NotCancelled {
		return false
	}
	resume := g.resumeFunc(a, func() platformhttp.Op { return g.readResponse(a) })
	c.onReadable, a.cancelWait = resume, func() { g.world.scheduleAfter(0, resume) }
	if a.exchange.ReadDeadline > 0 {
		g.world.scheduleAt(a.exchange.ReadDeadline, resume)
	}
	return true
}

// readResponse reads the bytes that have arrived. The response of a streaming class is passed on to
// the client as soon as it has begun.
func (g *gateway) readResponse(a *attempt) platformhttp.Op {
	exchange := &a.exchange
	c := exchange.Conn.Owner.(*conn)
	if a.cancelCause != platformhttp.NotCancelled {
		return exchange.Received(g.world.now, 0, errCancelled)
	}
	if exchange.ReadDeadline > 0 && g.world.now >= exchange.ReadDeadline {
		return exchange.Received(g.world.now, 0, errReadTimeout)
	}
	n, err := copy(exchange.ReadBuffer(), c.received), error(nil)
	if c.received = c.received[n:]; n == 0 {
		err = c.readErr
	}
	op := exchange.Received(g.world.now, n, err)
	if op == platformhttp.Read && exchange.ReadDeadline > 0 && a.request != nil && a.request.class == "feed" {
		g.startResponse(a)
	}
	return op
}

// startResponse asks the lifecycle machine whether the attempt's response may be streamed to the
// client, and cancels the attempt if not. Once the response is being streamed it does nothing.
func (g *gateway) startResponse(a *attempt) {
	if a.responseStarted {
		return
	}
	effects, allowed := g.machine.ResponseStarted(g.world.now, decision.RequestID(a.request.id), a.number)
	if allowed {
		a.responseStarted = true
		g.check.onResponseStarted(a)
	} else {
		a.cancel(platformhttp.Cancelled)
	}
	g.execute(effects)
}

// attemptEnded reports an attempt's result to the lifecycle machine in a separate event, so that a kill
// can occur before it.
func (g *gateway) attemptEnded(a *attempt) {
	epoch := g.epoch
	g.triggerKillPoint(atAttemptEnd)
	g.world.scheduleAfter(0, func() {
		g.enqueue(epoch, nil, func() {
			delete(g.attempts, a)
			request := a.request
			if request.finalCount == 0 || g.isKeyLeader(request) {
				request.response, request.responseAttempt = a.exchange.Response, a.number
			}
			result := a.exchange.Result
			g.world.tracef("door %d: %d/%d ended %d", g.number, request.number, a.number, int(result.Result))
			g.execute(g.machine.AttemptEnded(g.world.now, decision.RequestID(request.id), a.number, result))
		})
	})
}

// probeEnded reports a probe's result to the lifecycle machine.
func (g *gateway) probeEnded(a *attempt) {
	delete(g.attempts, a)
	result := decision.ProbeResult{Backend: a.backend, Result: a.exchange.Result.Result}
	g.execute(g.machine.ProbeAnswered(g.world.now, result))
}
