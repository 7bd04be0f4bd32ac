package sim

import (
	"errors"
	"slices"
	"time"

	"pumicecroft/decision"
	"pumicecroft/idempotency"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/internal/platformhttp"
	"pumicecroft/membership"
)

// gateway is one front door's process. What it does is the shipped packages' word; here that is only carried out: bytes,
// timers, and one event after another.
type gateway struct {
	world            *world
	check            *checker
	runner           *runner
	number           int
	machine          *lifecycle.Machine
	httpPool         *platformhttp.BackendSet
	table            *membership.Table
	up               bool
	closing          bool // it takes nothing more
	epoch            int
	pausedUntil      time.Duration // until then
	pauses           [][2]time.Duration
	deferred         []deferredEvent       // what came while it stood still
	lastByOrderKey   map[any]time.Duration // when the last of it is seen
	attempts         map[*attempt]bool
	dedup            *idempotency.Store // nil: it recognises none
	wakeups          [5]time.Duration   // when core, table, pool, keys and their journal are called next; 0: not planned
	journal          gatewayJournal
	openConns        int // connections
	conns            map[*conn]bool
	dialCount        uint64
	maxDescriptors   int // connections that it may have
	partitionedUntil map[*backend]time.Duration
	discoveryLag     time.Duration                        // of discovery's word
	usageHidden      bool                                 // the meter's word does not come
	requestByKey     map[idempotency.Entry]*clientRequest // what is in flight by keys
	killPoints       [2]func()                            // what happens at the instant of the next attempt, and of the next answer
	endpoints        endpointSources
}

// deferredEvent is something that waits for a process that stands still.
type deferredEvent struct {
	orderKey any // what has the same one keeps its order
	run      func()
}

// attempt is one attempt on its way, or a probe, which has no ask.
type attempt struct {
	exchange        platformhttp.Exchange
	request         *clientRequest
	number          int
	backend         decision.BackendID
	deadline        time.Duration
	notAfter        time.Duration // it must not leave after that; 0: none
	decidedAt       time.Duration
	cancelCause     platformhttp.CancelReason
	cancelWait      func() // ends the wait that it is in
	waitSerial      int    // of the operation that it waits for
	sent            bool   // something of it has left
	responseStarted bool   // its answer is being passed on
	onEnd           func(try *attempt)
}

const (
	connectTimeout = 250 * time.Millisecond
	probeTimeout   = time.Second
)

// boot starts the process with its last lists.
func (d *gateway) boot() {
	d.up, d.closing, d.pausedUntil = true, false, 0
	d.epoch++
	set := d.runner.engineSettings(d.number)
	gateway, err := decision.New(set, mix(d.world.seed^uint64(d.number)^uint64(d.epoch)<<8), d.world.now)
	if err != nil {
		panic(err) // the run's own settings
	}
	var decider lifecycle.DecisionEngine = gateway
	if d.runner.config.perturbsEngine {
		decider = &perturbedEngine{gateway, d.world.newRand(9, uint64(d.number), uint64(d.epoch)), len(d.runner.backends), &d.runner.stopped}
	}
	d.machine = lifecycle.New(decider, set.Classes, lifecycle.Limits{MaxOpenRequests: d.runner.config.maxOpenRequests, MaxAttempts: d.runner.config.maxAttempts, MaxRememberedIDs: d.runner.config.maxRequestIDs,
		IDRetention: 15 * time.Second, DetectPauses: true, DrainGrace: d.runner.config.drainGrace}, d.world.now)
	d.httpPool = platformhttp.NewBackendSet(d.runner.config.maxConns, d.runner.config.idleTimeout, nil)
	d.attempts, d.deferred, d.conns, d.openConns, d.wakeups = map[*attempt]bool{}, nil, map[*conn]bool{}, 0, [5]time.Duration{}
	d.requestByKey = map[idempotency.Entry]*clientRequest{}
	if d.dedup = nil; d.runner.config.dedupBytes > 0 {
		d.dedup = idempotency.New(idempotency.Limits{MaxBytes: d.runner.config.dedupBytes, TTL: time.Hour}, d.world.now)
	}
	if d.journal.log = nil; d.dedup != nil && d.runner.config.journalsKeys {
		d.openJournal()
	}
	d.startSources()
}

// kill ends the process at once. What it had taken is its clients' to ask again; what is on its way to backends arrives.
func (d *gateway) kill() {
	d.up = false
	d.epoch++
	d.deferred = nil
	for _, l := range sortedConns(d.conns) {
		l.closed = true
		l.deliver(&l.toBackend, 0, l.onGatewayClosed)
	}
}

// pausedDuring tells whether the process stood still at any time from one to another.
func (d *gateway) pausedDuring(from, to time.Duration) bool {
	for _, s := range d.pauses {
		if s[0] <= to && s[1]+resumeDelay >= from {
			return true
		}
	}
	return false
}

// enqueue lets something happen in a process, or when it goes on; a later process never hears of it. lane keeps an order among
// what waits.
func (d *gateway) enqueue(epoch int, lane any, f func()) {
	if after := d.lastByOrderKey[lane]; lane != nil && after >= d.world.now && d.up && d.world.now >= d.pausedUntil { // what came before it is not seen yet
		d.lastByOrderKey[lane] = after + 1
		d.world.scheduleAt(after+1, func() { d.dispatch(epoch, lane, f) })
		return
	}
	d.dispatch(epoch, lane, f)
}

// dispatch is in, of what is first in its lane.
func (d *gateway) dispatch(epoch int, lane any, f func()) {
	switch {
	case !d.up || epoch != d.epoch:
	case d.world.now < d.pausedUntil:
		d.deferred = append(d.deferred, deferredEvent{lane, f})
	default:
		f()
	}
}

// resumeDelay is how long a process that stood still needs until it has seen all that waits for it.
const resumeDelay = 20 * time.Millisecond

// pause has the process stand still. What has come meanwhile it sees in no order but that of single connections, as a process
// reads its sockets; its timers are all due at once.
func (d *gateway) pause(length time.Duration) {
	if !d.up || d.world.now < d.pausedUntil {
		return
	}
	d.pausedUntil = d.world.now + length
	d.pauses = append(d.pauses, [2]time.Duration{d.world.now, d.pausedUntil})
	epoch := d.epoch
	d.world.scheduleAfter(length, func() {
		if epoch != d.epoch {
			return
		}
		waiting, rng := d.deferred, d.world.newRand(8, uint64(d.number), uint64(d.world.now))
		d.deferred, d.lastByOrderKey = nil, map[any]time.Duration{}
		for _, h := range waiting {
			at := d.world.now + randDuration(rng, 0, resumeDelay)
			if h.orderKey != nil {
				at = max(at, d.lastByOrderKey[h.orderKey]+1)
				d.lastByOrderKey[h.orderKey] = at
			}
			d.world.scheduleAt(at, func() { d.dispatch(epoch, h.orderKey, h.run) })
		}
	})
}

// onRequest takes a client's ask.
func (d *gateway) onRequest(a *clientRequest) {
	a.gatewayEpoch, a.arrivedAt = d.epoch, d.world.now
	d.check.unanswered = append(d.check.unanswered, a)
	d.world.tracef("door %d takes %d, id %x, key %d: %s of customer %d, %v", d.number, a.number, a.id, a.key, a.class, a.customer, a.timeout)
	if !a.idempotent() && d.dedup != nil && !d.checkKey(a) {
		return
	}
	if a.ticket != nil && d.journal.log != nil {
		d.whenDurable(a, func() { d.admit(a) })
		d.scheduleWakeups()
		return
	}
	d.admit(a)
}

// admit lets an ask in.
func (d *gateway) admit(a *clientRequest) {
	left := a.timeout - (d.world.now - a.arrivedAt) // it may have waited for the disk
	if a.ticket != nil && left <= lifecycle.TimeoutMargin {
		d.completeKey(a, idempotency.NotExecuted, "refused")
		return
	}
	effects, err := d.machine.Submit(d.world.now, a, decision.Request{ID: decision.RequestID(a.id), Customer: decision.CustomerID(a.customer), Class: a.class,
		Plan: d.runner.planOf(a.customer), Cost: a.cost, Timeout: left - lifecycle.TimeoutMargin, GatewaySpread: d.runner.config.gateways, Protocol: membership.ProtocolHTTP},
		left-lifecycle.ResponseMargin)
	d.execute(effects)
	if err != nil {
		a.notAdmitted = true
		if !d.completeKey(a, idempotency.NotExecuted, "turned away") {
			d.check.onFinal(a, "turned away", nil)
		}
	}
}

// execute carries out what the core asks for. What leaves the process leaves it by an event of its own, so that a kill can
// come between.
func (d *gateway) execute(effects []lifecycle.Effect) {
	epoch := d.epoch
	for _, e := range effects {
		switch e.Kind {
		case lifecycle.StartAttempt:
			try := &attempt{request: e.Tag.(*clientRequest), number: e.Attempt, backend: e.Backend, deadline: e.Deadline, notAfter: e.NotAfter, decidedAt: d.world.now, onEnd: d.attemptEnded}
			try.request.attempts = append(try.request.attempts, try)
			d.attempts[try] = true
			d.check.onAttemptStarted(d, try)
			d.triggerKillPoint(0)
			d.world.scheduleAfter(0, func() { d.enqueue(epoch, nil, func() { d.startAttempt(try) }) })
		case lifecycle.CancelAttempt:
			for _, try := range e.Tag.(*clientRequest).attempts {
				if try.number == e.Attempt {
					why := platformhttp.Cancelled
					if e.TimedOut {
						why = platformhttp.TimedOut
					}
					try.cancel(why)
				}
			}
		case lifecycle.SyncSources:
			d.syncSources(e)
		case lifecycle.Respond:
			a := e.Tag.(*clientRequest)
			verdict := [...]string{"served", "refused", "failed", "late", "left", "aborted"}[e.Verdict]
			if end := [...]idempotency.Outcome{idempotency.Succeeded, idempotency.NotExecuted, idempotency.Unknown, idempotency.Unknown, idempotency.Unknown, idempotency.Unknown}[e.Verdict]; d.completeKey(a, end, verdict) {
				continue
			}
			d.world.tracef("door %d answers %d: %s", d.number, a.number, verdict)
			d.check.onFinal(a, verdict, &e)
			d.runner.maybeRetry(a, verdict, e.RetryAfter)
		case lifecycle.ProbeBackend:
			try := &attempt{backend: e.Backend, deadline: d.world.now + probeTimeout, onEnd: d.probeEnded}
			d.attempts[try] = true
			d.world.scheduleAfter(probeTimeout, func() { d.enqueue(epoch, nil, func() { try.cancel(platformhttp.TimedOut) }) })
			d.world.scheduleAfter(0, func() { d.enqueue(epoch, nil, func() { d.startAttempt(try) }) })
		}
	}
	d.scheduleWakeups()
}

// syncSources has the sources take in what has arrived: discovery when its reader has seen all of it, and the catalogue by asking anew; for so
// long as the driver waits for them.
func (d *gateway) syncSources(e lifecycle.Effect) {
	d.world.tracef("door %d stood still for %v", d.number, e.PausedFor)
	epoch, left := d.epoch, 1
	caught := func() {
		d.enqueue(epoch, nil, func() {
			d.world.tracef("door %d has caught up", d.number)
			d.execute(d.machine.SourcesSynced(d.world.now, e.SyncID))
		})
	}
	done := func() {
		if left--; left == 0 {
			caught()
		}
	}
	if d.runner.config.usesDiscovery {
		left++
		d.world.scheduleAfter(0, func() { d.enqueue(epoch, discoverySource, done) })
	}
	if d.runner.config.usesCatalog && d.endpoints.watch != nil {
		left++
		d.world.scheduleAfter(0, func() { d.enqueue(epoch, nil, func() { d.endpoints.watch.sync(d.world.now-e.PausedFor, done) }) })
	}
	d.world.scheduleAfter(d.machine.Deadlines().SyncTimeout, func() { d.enqueue(epoch, nil, func() { left = -1; caught() }) })
	done()
}

// checkKey tells whether an ask with a key is to go on; if not, it waits or has its answer.
func (d *gateway) checkKey(a *clientRequest) bool {
	got, given := d.dedup.Begin(d.world.now, decision.CustomerID(a.customer), a.dedupKey(), idempotency.Fingerprint{a.digest}, a, d.world.now+a.timeout-lifecycle.ResponseMargin)
	d.answerWaiters(given, "late")
	a.ticket = got.Ticket
	d.world.tracef("the key of %d: %v", a.number, got.Verdict.String())
	if answer, known := d.journal.mustReplay[a.dedupIdentity()]; known && d.runner.config.dedupBytes >= 1<<20 && d.journal.log != nil &&
		(got.Verdict != idempotency.Replay || string(got.Response.Body) != answer) {
		d.world.violatef("what was answered is answered alike", "door %d had answered the key of ask %d, and says %v", d.number, a.number, got.Verdict)
	}
	switch got.Verdict {
	case idempotency.Proceed:
		d.requestByKey[got.Ticket.Entry()] = a
		return true
	case idempotency.Join:
		d.scheduleWakeups()
	case idempotency.Replay:
		a.response = &platformhttp.Response{Body: got.Response.Body}
		d.check.onFinal(a, "served", nil)
	case idempotency.Busy:
		d.check.onFinal(a, "refused", nil)
		d.runner.maybeRetry(a, "refused", got.RetryAfter)
	default:
		d.check.onFinal(a, got.Verdict.String(), nil)
	}
	return false
}

// runsForKey tells whether an ask goes on for whoever waits with its key, whether or not its own client has left.
func (d *gateway) runsForKey(a *clientRequest) bool {
	return a.ticket != nil && d.requestByKey[a.ticket.Entry()] == a
}

// completeKey gives the end of a request that passed to all that wait for it; not if it has no key here.
func (d *gateway) completeKey(a *clientRequest, end idempotency.Outcome, verdict string) bool {
	if !d.runsForKey(a) {
		return false
	}
	finish := func() {
		delete(d.requestByKey, a.ticket.Entry())
		var answer idempotency.Response
		if end == idempotency.Succeeded {
			answer.Body = a.response.Body
		}
		d.answerWaiters(d.dedup.Complete(d.world.now, a.ticket, end, answer), verdict)
	}
	if end == idempotency.Succeeded && d.journal.log != nil {
		d.whenWritten(a, finish)
	} else {
		finish()
	}
	return true
}

// answerWaiters gives those that waited with a key their end; verdict is that of what they waited for, if it was not answered.
func (d *gateway) answerWaiters(given []idempotency.Completion, verdict string) {
	for _, g := range slices.Clone(given) {
		a := g.Tag.(*clientRequest)
		told := verdict
		switch g.Verdict {
		case idempotency.Replay:
			a.response, told = &platformhttp.Response{Body: g.Response.Body}, "served"
		case idempotency.DeadlineExceeded:
			told = "late"
		}
		d.world.tracef("door %d answers %d, by its key: %s", d.number, a.number, told)
		d.check.onFinal(a, told, nil)
		d.runner.maybeRetry(a, told, g.RetryAfter)
	}
	d.scheduleWakeups()
}

// onDisconnect is a client that has gone.
func (d *gateway) onDisconnect(a *clientRequest) {
	if a.ticket == nil {
		d.execute(d.machine.Disconnect(d.world.now, a, decision.RequestID(a.id)))
		return
	}
	if a.finalCount > 0 {
		return
	}
	first := d.requestByKey[a.ticket.Entry()]
	nobody, given := d.dedup.Abandon(d.world.now, a.ticket)
	d.answerWaiters(given, "late")
	if a.finalCount == 0 {
		d.check.onFinal(a, "left", nil)
	}
	if nobody && first != nil {
		d.execute(d.machine.Disconnect(d.world.now, first, decision.RequestID(first.id)))
	}
}

// triggerKillPoint lets a trap happen at this instant, in some order with what else does.
func (d *gateway) triggerKillPoint(n int) {
	if do := d.killPoints[n]; do != nil {
		d.killPoints[n] = nil
		d.world.scheduleAfter(0, do)
	}
}

// scheduleWakeups plans when core, table and pool are called next.
func (d *gateway) scheduleWakeups() {
	at, ok := d.machine.Next()
	d.scheduleWakeup(0, at, ok, func() { d.execute(d.machine.Tick(d.world.now)) })
	at, ok = d.table.Next()
	d.scheduleWakeup(1, at, ok, func() { d.applyChanges(decision.UpdateDelta, d.table.Tick(d.world.now)) })
	at, ok = d.httpPool.Pool.NextExpiry()
	d.scheduleWakeup(2, at, ok, func() { d.httpPool.Pool.CloseExpired(d.world.now); d.closeDiscarded() })
	if d.dedup != nil {
		at, ok = d.dedup.Next()
		d.scheduleWakeup(3, at, ok, func() { d.answerWaiters(d.dedup.Tick(d.world.now), "late") })
	}
	d.pumpJournal()
}

// scheduleWakeup plans one of these calls, in place of a later one.
func (d *gateway) scheduleWakeup(i int, at time.Duration, ok bool, do func()) {
	if !ok || d.wakeups[i] > d.world.now && d.wakeups[i] <= at {
		return
	}
	at = max(at, d.world.now)
	d.wakeups[i] = at
	epoch := d.epoch
	d.world.scheduleAt(at, func() {
		d.enqueue(epoch, nil, func() {
			if d.wakeups[i] == at {
				d.wakeups[i] = 0
			}
			do()
			d.scheduleWakeups()
		})
	})
}

// closeDiscarded closes what the pool has let go of.
func (d *gateway) closeDiscarded() {
	for _, c := range d.httpPool.Pool.TakeDiscarded() {
		c.Owner.(*conn).closeByGateway()
	}
	d.check.checkBounds(d)
}

// cancel ends the wait for an attempt.
func (try *attempt) cancel(why platformhttp.CancelReason) {
	if try.cancelCause == platformhttp.NotCancelled {
		if try.cancelCause = why; try.cancelWait != nil {
			try.cancelWait()
		}
	}
}

// startAttempt begins to make an attempt.
func (d *gateway) startAttempt(try *attempt) {
	if try.cancelCause != platformhttp.NotCancelled {
		try.exchange.Result.Result = decision.NotSent
		d.runAttempt(try, platformhttp.End)
		return
	}
	m := &platformhttp.Request{Method: "GET", Target: "/health", Host: "world"}
	if try.request != nil {
		m = try.request.httpRequest()
	}
	d.runAttempt(try, try.exchange.Start(d.httpPool, try.backend, m, try.deadline, try.notAfter, d.world.now))
}

// resumeFunc gives what must be called when the operation that an attempt waits for has ended: it goes on once, by what then says,
// if its process is there.
func (d *gateway) resumeFunc(try *attempt, then func() platformhttp.Op) func() {
	try.waitSerial++
	serial, epoch := try.waitSerial, d.epoch
	return func() {
		d.enqueue(epoch, nil, func() {
			if try.waitSerial == serial {
				try.waitSerial++
				try.cancelWait = nil
				d.runAttempt(try, then())
			}
		})
	}
}

// runAttempt carries out an attempt's operations until one is to be waited for.
func (d *gateway) runAttempt(try *attempt, op platformhttp.Op) {
	x := &try.exchange
	for {
		d.closeDiscarded()
		switch op {
		case platformhttp.CheckConn:
			l := x.Conn.Owner.(*conn)
			op = x.ConnChecked(d.world.now, len(l.received) == 0 && l.readErr == nil)
		case platformhttp.Dial:
			try.cancelWait = d.dial(x.Addr(), try.randKey(), func(l *conn, err error) {
				d.resumeFunc(try, func() platformhttp.Op {
					x.Cancel(try.cancelCause)
					if err != nil {
						return x.Dialed(d.world.now, nil, err)
					}
					d.conns[l] = true
					d.openConns++
					return x.Dialed(d.world.now, l, nil)
				})()
			})
			return
		case platformhttp.Write:
			d.world.scheduleAfter(0, d.resumeFunc(try, func() platformhttp.Op { return d.writeRequest(try) }))
			return
		case platformhttp.Read:
			l := x.Conn.Owner.(*conn)
			if len(l.received) == 0 && l.readErr == nil && try.cancelCause == platformhttp.NotCancelled {
				done := d.resumeFunc(try, func() platformhttp.Op { return d.readResponse(try) })
				l.onReadable, try.cancelWait = done, func() { d.world.scheduleAfter(0, done) }
				if x.ReadDeadline > 0 {
					d.world.scheduleAt(x.ReadDeadline, done)
				}
				return
			}
			op = d.readResponse(try)
		case platformhttp.Finish:
			x.Cancel(try.cancelCause)
			x.Conn.Owner.(*conn).readBuffer = x.ReusableBuffer()
			op = x.Finish(d.world.now)
		case platformhttp.End:
			d.closeDiscarded()
			d.scheduleWakeups()
			try.onEnd(try)
			return
		}
	}
}

// writeRequest puts a request on its way.
func (d *gateway) writeRequest(try *attempt) platformhttp.Op {
	x := &try.exchange
	l, err := x.Conn.Owner.(*conn), error(nil)
	b := l.backend
	l.sentAt = d.world.now
	text, late := x.AppendRequest(nil, d.world.now)
	if a := try.request; late == nil && a != nil && d.world.now-try.decidedAt > d.machine.Deadlines().MaxDecisionAge {
		effects, may := d.machine.ConfirmSend(d.world.now, decision.RequestID(a.id), try.number)
		if d.execute(effects); !may {
			late = platformhttp.ErrSendForbidden
		}
	}
	switch {
	case late != nil:
		err = late
	case try.cancelCause != platformhttp.NotCancelled:
		err = errCancelled
	case errors.Is(l.readErr, errConnReset):
		err = errConnReset
	case b.hitBy(ConnLostBeforeRequest, try.randKey()...):
		rng := d.world.newRand(append(try.randKey(), 3)...)
		l.sendToBackend(text[:rng.IntN(len(text))], 0)
		l.deliver(&l.toBackend, 0, l.reset)
		if rng.IntN(2) == 0 {
			err = errConnReset // seen at once; else only when it is read
		}
	default:
		sendInPieces(d.world.newRand(append(try.randKey(), 4)...), text, b.hitBy(SlowBytes, try.randKey()...), l.sendToBackend)
	}
	if err != nil {
		x.Cancel(try.cancelCause)
		return x.Wrote(d.world.now, nil, err)
	}
	if !try.sent {
		try.sent = true
		d.check.attemptsSent++
		if try.request != nil {
			d.check.onAttemptSent(d, try)
			d.world.tracef("door %d sends %d/%d to backend %d", d.number, try.request.number, try.number, b.number)
		}
	}
	return x.Wrote(d.world.now, l.readBuffer, nil)
}

// readResponse takes in what has come. An answer that streams may begin to be passed on before it is whole.
func (d *gateway) readResponse(try *attempt) platformhttp.Op {
	x := &try.exchange
	l := x.Conn.Owner.(*conn)
	if try.cancelCause != platformhttp.NotCancelled {
		return x.Received(d.world.now, 0, errCancelled)
	}
	if x.ReadDeadline > 0 && d.world.now >= x.ReadDeadline {
		return x.Received(d.world.now, 0, errReadTimeout)
	}
	n, err := copy(x.ReadBuffer(), l.received), error(nil)
	if l.received = l.received[n:]; n == 0 {
		err = l.readErr
	}
	op := x.Received(d.world.now, n, err)
	if op == platformhttp.Read && x.ReadDeadline > 0 && try.request != nil && try.request.class == "feed" && !try.responseStarted {
		effects, may := d.machine.ResponseStarted(d.world.now, decision.RequestID(try.request.id), try.number)
		if may {
			try.responseStarted = true
			d.check.onResponseStarted(try)
		} else {
			try.cancel(platformhttp.Cancelled)
		}
		d.execute(effects)
	}
	return op
}

// attemptEnded tells the core how an attempt ended, by an event of its own.
func (d *gateway) attemptEnded(try *attempt) {
	epoch := d.epoch
	d.triggerKillPoint(1)
	d.world.scheduleAfter(0, func() {
		d.enqueue(epoch, nil, func() {
			delete(d.attempts, try)
			a := try.request
			if a.finalCount == 0 || d.runsForKey(a) {
				a.response, a.responseAttempt = try.exchange.Response, try.number
			}
			d.world.tracef("door %d: %d/%d ended %d", d.number, a.number, try.number, int(try.exchange.Result.Result))
			d.execute(d.machine.AttemptEnded(d.world.now, decision.RequestID(a.id), try.number, try.exchange.Result))
		})
	})
}

// probeEnded tells the core of a probe's end.
func (d *gateway) probeEnded(try *attempt) {
	delete(d.attempts, try)
	d.execute(d.machine.ProbeAnswered(d.world.now, decision.ProbeResult{Backend: try.backend, Result: try.exchange.Result.Result}))
}

// randKey is what an attempt's chance hangs on.
func (try *attempt) randKey() []uint64 {
	if try.request == nil {
		return []uint64{uint64(try.backend), uint64(try.deadline)}
	}
	return []uint64{uint64(try.request.number), uint64(try.number)}
}

// shutdown has the process end: it takes nothing more, what is open has a while, and the rest ends at once.
func (d *gateway) shutdown(patience time.Duration, back func()) {
	if !d.up || d.closing {
		return
	}
	epoch := d.epoch
	d.enqueue(epoch, nil, func() {
		d.closing = true
		d.machine.Close()
		d.world.scheduleAfter(patience, func() {
			d.enqueue(epoch, nil, func() {
				d.execute(d.machine.Abort(d.world.now))
				d.closeJournal()
				d.httpPool.Close()
				d.closeDiscarded()
				d.check.onGatewayStopped(d)
				d.kill()
				back()
			})
		})
	})
}
