package sim

import (
	"errors"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/platformhttp"
)

// attempt is one attempt of a request, or a probe, which has no request. Its state machine is
// platformhttp.Exchange; the gateway carries out the operations that this asks for.
type attempt struct {
	exchange  platformhttp.Exchange
	request   *clientRequest // nil: it is a probe
	number    int
	backend   decision.BackendID
	deadline  time.Duration
	notAfter  time.Duration // nothing of it may leave later; 0: no limit
	decidedAt time.Duration

	cancelCause     platformhttp.CancelReason
	cancelWait      func() // ends the wait for the current operation; nil: it waits for none
	waitSerial      int    // of the operation that it waits for
	sent            bool   // a byte of it has left
	responseStarted bool   // its response is being passed on
	onEnd           func(*attempt)
}

// cancel ends the wait for an attempt.
func (a *attempt) cancel(cause platformhttp.CancelReason) {
	if a.cancelCause != platformhttp.NotCancelled {
		return
	}
	if a.cancelCause = cause; a.cancelWait != nil {
		a.cancelWait()
	}
}

// randKey is what random draws for an attempt depend on.
func (a *attempt) randKey() []uint64 {
	if a.request == nil {
		return []uint64{uint64(a.backend), uint64(a.deadline)}
	}
	return []uint64{uint64(a.request.number), uint64(a.number)}
}

// startAttempt begins an attempt.
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

// runAttempt carries out an attempt's operations until one has to be waited for.
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

// resumeFunc gives what is called when the operation that an attempt waits for has ended. The
// attempt then goes on by what next says, once, if its process still runs.
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

// dialForAttempt opens a connection, and has the attempt go on with it.
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

// writeRequest sends a request on its connection.
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
			err = errConnReset // noticed at once, else by the read
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

// confirmSend asks the lifecycle machine whether an attempt may leave whose decision has become
// old.
func (g *gateway) confirmSend(a *attempt) bool {
	if a.request == nil || g.world.now-a.decidedAt <= g.machine.Deadlines().MaxDecisionAge {
		return true
	}
	effects, allowed := g.machine.ConfirmSend(g.world.now, decision.RequestID(a.request.id), a.number)
	g.execute(effects)
	return allowed
}

// noteSent tells the checker of an attempt's first byte.
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

// waitForResponse has an attempt wait until there is something to read, and tells whether it has
// to.
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

// readResponse takes in what has arrived. A streamed response may be passed on from its head on.
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

// startResponse asks the lifecycle machine whether an attempt's response may be passed on, once.
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

// attemptEnded tells the lifecycle machine how an attempt ended, by an event of its own.
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

// probeEnded tells the lifecycle machine of a probe's end.
func (g *gateway) probeEnded(a *attempt) {
	delete(g.attempts, a)
	result := decision.ProbeResult{Backend: a.backend, Result: a.exchange.Result.Result}
	g.execute(g.machine.ProbeAnswered(g.world.now, result))
}
