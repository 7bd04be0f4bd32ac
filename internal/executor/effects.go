package executor

import (
	"context"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/lifecycle"
)

const (
	probeTimeout        = time.Second
	maxConcurrentProbes = 64 // further probes end as NotSent
)

// executeEffects carries out effects in order. The caller holds the lock.
func (e *Executor) executeEffects(effects []lifecycle.Effect) {
	for i := range effects {
		e.executeEffect(&effects[i])
	}
	e.armTimer()
	if e.idle != nil && e.machine.OpenRequests() == 0 {
		close(e.idle)
		e.idle = nil
	}
}

func (e *Executor) executeEffect(effect *lifecycle.Effect) {
	switch effect.Kind {
	case lifecycle.StartAttempt:
		e.startAttempt(effect)
	case lifecycle.CancelAttempt:
		cause := ErrCancelled
		if effect.TimedOut {
			cause = ErrDeadlineExceeded
		}
		effect.Tag.(*openRequest).attempts[effect.Attempt].Cancel(cause)
	case lifecycle.Respond:
		e.respond(effect)
	case lifecycle.ProbeBackend:
		e.probesInFlight++
		go e.probe(effect.Backend, e.probesInFlight <= maxConcurrentProbes)
	case lifecycle.AddToCounter:
		e.addToCounter(effect.CounterAdd)
	case lifecycle.SyncSources:
		go e.runSync(effect.SyncID, effect.PausedFor)
	case lifecycle.Subscribe: // sources send updates without being asked; only the simulator uses this effect
	}
}

// respond sets the result of a request and wakes up its serving goroutine.
func (e *Executor) respond(effect *lifecycle.Effect) {
	request := effect.Tag.(*openRequest)
	result := &request.result
	request.done = true
	result.Verdict, result.RetryAfter, result.Reason = effect.Verdict, effect.RetryAfter, effect.Reason
	errorResponse := effect.Verdict == lifecycle.Failed && result.Response.Result == decision.ErrorResponse
	if effect.Verdict != lifecycle.Served && !errorResponse {
		result.Response = Response{}
	}
	request.wakeUp()
}

// startAttempt passes an attempt to the serving goroutine if that may make attempts and is not occupied. Otherwise the
// attempt gets its own goroutine.
func (e *Executor) startAttempt(effect *lifecycle.Effect) {
	request := effect.Tag.(*openRequest)
	attempt := e.newAttempt(request, effect)
	for len(request.attempts) < effect.Attempt { // skip the numbers of attempts that the machine did not start
		request.attempts = append(request.attempts, nil)
	}
	request.attempts = append(request.attempts, attempt)
	request.result.Attempts++
	if request.inline && !request.attemptRunning && len(request.pending) == 0 {
		request.pending = append(request.pending, attempt)
		request.wakeUp()
		return
	}
	go func() {
		response := e.roundTrip(attempt)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.attemptEnded(attempt, response)
	}()
}

func (e *Executor) newAttempt(request *openRequest, effect *lifecycle.Effect) *Attempt {
	attempt := &request.firstAttempt
	if len(request.attempts) > 0 {
		attempt = &Attempt{}
	}
	attempt.Backend = effect.Backend
	attempt.Deadline = e.clock.ToWallTime(effect.Deadline)
	attempt.Payload = request.payload
	attempt.request = request
	attempt.number = effect.Attempt
	attempt.decidedAt = e.clock.ToWallTime(effect.DecidedAt)
	if effect.NotAfter > 0 {
		attempt.NotAfter = e.clock.ToWallTime(effect.NotAfter)
	}
	return attempt
}

// roundTrip makes an attempt, unless it is already cancelled.
func (e *Executor) roundTrip(attempt *Attempt) Response {
	if attempt.CancelCause() != nil {
		return Response{Outcome: lifecycle.Outcome{Result: decision.NotSent}}
	}
	return e.transport.RoundTrip(attempt)
}

// attemptEnded reports the end of an attempt to the machine. The caller holds the lock.
func (e *Executor) attemptEnded(attempt *Attempt, response Response) {
	request := attempt.request
	if !request.done {
		request.result.Response = response // respond clears it unless it is the answer to the request
	}
	e.executeEffects(e.machine.AttemptEnded(e.clock.Now(), request.id, attempt.number, response.Outcome))
}

func (e *Executor) clientDisconnected(request *openRequest) {
	e.handleEvent(func(now time.Duration) []lifecycle.Effect { return e.machine.Disconnect(now, request, request.id) })
}

// probe asks a backend for its load, if allowed, and reports the result to the machine.
func (e *Executor) probe(id decision.BackendID, allowed bool) {
	result := decision.ProbeResult{Backend: id, Result: decision.NotSent}
	if allowed {
		result = e.transport.Probe(id, probeTimeout)
	}
	e.handleEvent(func(now time.Duration) []lifecycle.Effect {
		e.probesInFlight--
		return e.machine.ProbeAnswered(now, result)
	})
}

func (e *Executor) addToCounter(call decision.CounterAdd) {
	if e.counter == nil {
		go e.counterAnswered(decision.CounterResult{Ref: call.Ref, Result: decision.NotSent})
		return
	}
	e.counter.Add(call, e.counterAnswered)
}

func (e *Executor) counterAnswered(result decision.CounterResult) {
	e.handleEvent(func(now time.Duration) []lifecycle.Effect { return e.machine.CounterAnswered(now, result) })
}

// runSync makes the sources apply the updates that have arrived, and reports this to the machine.
func (e *Executor) runSync(syncID uint64, pausedFor time.Duration) {
	if e.syncSources != nil {
		ctx, cancel := context.WithTimeout(e.ctx, e.pauseLimits.SyncTimeout)
		defer cancel()
		e.syncSources(ctx, pausedFor)
	}
	e.handleEvent(func(now time.Duration) []lifecycle.Effect { return e.machine.SourcesSynced(now, syncID) })
}
