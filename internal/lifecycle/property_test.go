package lifecycle

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumicecroft/decision"
	"pumicecroft/recovery"
)

// TestMain sets the random seed and the number of checks of the property tests, and turns off files for failed checks.
// Flags on the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// The property tests pass random events to a Machine whose engine responds with random actions, or is the real
// decision.Engine. They check that each submitted request gets exactly one Respond, that the engine gets exactly one
// outcome for each StartAttempt and no other outcomes, and that no state is left once everything has ended.

// requestRecord is what the test has seen of one request.
type requestRecord struct {
	responses         int    // number of Respond effects
	inFlight          []bool // by attempt number
	startedAttempts   []int  // numbers of the attempts that were started
	cancelled         []bool // by attempt number
	startActions      int    // number of StartAttempt actions of the engine
	outcomes          []int  // number of outcomes, by attempt number
	respondingAttempt int    // the attempt whose response has started, counted from 1; 0: none
}

type propertyRun struct {
	t             *rapid.T
	machine       *Machine
	engine        DecisionEngine // nil: random actions
	now           time.Duration
	records       map[decision.RequestID]*requestRecord
	ids           []decision.RequestID
	engineCalls   int           // of the random engine in the current step
	pendingSyncID uint64        // the SyncID for which SourcesSynced is awaited; 0: none
	lastEventAt   time.Duration // when checkEffects was last called
	detectPauses  bool
}

// Handle implements DecisionEngine with the real or the random engine, and checks its events and actions.
func (r *propertyRun) Handle(now time.Duration, event decision.Event, actions []decision.Action) []decision.Action {
	if outcome, ok := event.(decision.Outcome); ok {
		record := r.records[outcome.Request]
		if record == nil || outcome.Attempt >= record.startActions {
			r.t.Fatalf("outcome without a StartAttempt: %+v", outcome)
		}
		for len(record.outcomes) < record.startActions {
			record.outcomes = append(record.outcomes, 0)
		}
		if record.outcomes[outcome.Attempt]++; record.outcomes[outcome.Attempt] > 1 {
			r.t.Fatalf("got %d outcomes for one attempt, want 1: %+v", record.outcomes[outcome.Attempt], outcome)
		}
		// Final must say whether the request is answered. A Respond effect of the current call is not recorded yet, so
		// if the record differs from Final, the Machine's own state of the request must agree with it.
		if outcome.Final != (record.responses > 0) && r.machine.requests[outcome.Request] != nil &&
			outcome.Final != r.machine.requests[outcome.Request].answered {
			r.t.Fatalf("got Final %v for a request with %d final answers: %+v", outcome.Final, record.responses, outcome)
		}
	}
	if r.engine != nil {
		actions = r.engine.Handle(now, event, actions)
	} else {
		actions = r.randomActions(actions)
	}
	for _, action := range actions {
		if start, ok := action.(decision.StartAttempt); ok && r.records[start.Request] != nil &&
			r.machine.requests[start.Request] != nil {
			r.records[start.Request].startActions++
		}
	}
	return actions
}

func (r *propertyRun) randomActions(actions []decision.Action) []decision.Action {
	if r.engineCalls++; r.engineCalls > 50 { // otherwise NotSent outcomes could lead to new attempts forever
		return actions
	}
	for range rapid.IntRange(0, 2).Draw(r.t, "actions") {
		id := rapid.SampledFrom(append(slices.Clone(r.ids), 1<<40)).Draw(r.t, "id")
		after := time.Duration(rapid.IntRange(-5, 800).Draw(r.t, "after")) * ms
		switch rapid.IntRange(0, 6).Draw(r.t, "action") {
		case 0, 1:
			actions = append(actions, decision.StartAttempt{Request: id, Backend: 1, Timeout: max(0, after)})
		case 2:
			actions = append(actions, decision.Reject{Request: id, RetryAfter: max(0, after)})
		case 3:
			actions = append(actions, decision.Fail{Request: id})
		case 4:
			actions = append(actions, decision.CancelAttempt{Request: id, Attempt: rapid.IntRange(-1, 3).Draw(r.t, "attempt")})
		case 5:
			actions = append(actions, decision.SetTimer{
				After: after, Token: uint64(rapid.IntRange(1, 3).Draw(r.t, "token")), Request: id,
			})
		}
	}
	return actions
}

// checkEffects checks effects of the Machine and records them.
func (r *propertyRun) checkEffects(effects []Effect) {
	r.lastEventAt = r.now
	for _, effect := range effects {
		record := r.records[effect.Request]
		switch effect.Kind {
		case SyncSources:
			if !r.detectPauses || effect.SyncID <= r.pendingSyncID {
				r.t.Fatalf("unexpected SyncSources: %+v; detectPauses %v, pending SyncID %d",
					effect, r.detectPauses, r.pendingSyncID)
			}
			r.pendingSyncID = effect.SyncID
		case StartAttempt:
			if r.pendingSyncID > 0 {
				r.t.Fatalf("StartAttempt while SyncID %d is pending: %+v", r.pendingSyncID, effect)
			}
			if record.respondingAttempt > 0 {
				r.t.Fatalf("StartAttempt after the response of attempt %d has started: %+v", record.respondingAttempt-1, effect)
			}
			if record.responses > 0 {
				r.t.Fatalf("StartAttempt after %d final answers: %+v", record.responses, effect)
			}
			if effect.Deadline > r.now+900*ms || effect.Attempt < len(record.inFlight) {
				r.t.Fatalf("got StartAttempt %+v, want a deadline up to %v and an attempt number from %d",
					effect, r.now+900*ms, len(record.inFlight))
			}
			for len(record.inFlight) <= effect.Attempt {
				record.inFlight, record.cancelled = append(record.inFlight, false), append(record.cancelled, false)
			}
			record.inFlight[effect.Attempt] = true
			record.startedAttempts = append(record.startedAttempts, effect.Attempt)
		case CancelAttempt:
			if !record.inFlight[effect.Attempt] || record.cancelled[effect.Attempt] {
				r.t.Fatalf("CancelAttempt for an attempt with in flight %v, cancelled %v: %+v",
					record.inFlight[effect.Attempt], record.cancelled[effect.Attempt], effect)
			}
			record.cancelled[effect.Attempt] = true
		case Respond:
			if record.responses++; record.responses > 1 {
				r.t.Fatalf("got %d final answers, want 1: %+v", record.responses, effect)
			}
			if record.respondingAttempt > 0 && (effect.Verdict == Rejected ||
				effect.Verdict == Served && effect.Attempt != record.respondingAttempt-1) {
				r.t.Fatalf("got %+v after the response of attempt %d has started", effect, record.respondingAttempt-1)
			}
		}
	}
}

func (r *propertyRun) drawID() decision.RequestID {
	if len(r.ids) == 0 {
		return 0
	}
	return rapid.SampledFrom(r.ids).Draw(r.t, "request")
}

func (r *propertyRun) step() {
	r.engineCalls = 0
	r.now += time.Duration(rapid.IntRange(0, 300).Draw(r.t, "elapsed")) * ms
	if r.detectPauses && rapid.IntRange(0, 9).Draw(r.t, "paused") == 0 {
		r.now += time.Duration(rapid.IntRange(100, 7000).Draw(r.t, "paused for")) * ms
	}
	if r.now-r.lastEventAt > recovery.DefaultCheckInterval+recovery.DefaultTolerance &&
		r.detectPauses && r.lastEventAt > 0 {
		before, from := r.pendingSyncID, r.lastEventAt
		defer func() {
			if r.lastEventAt > from && r.pendingSyncID == before {
				r.t.Fatalf("no SyncSources after a pause of %v", r.now-from)
			}
		}()
	}
	switch rapid.IntRange(0, 9).Draw(r.t, "event") {
	case 9: // the sources have synced
		syncID := r.pendingSyncID
		if rapid.IntRange(0, 4).Draw(r.t, "older SyncID") == 0 {
			syncID--
		}
		r.sourcesSynced(syncID)
	case 0, 1, 2: // a request is submitted
		id := decision.RequestID(len(r.ids) + 1)
		if len(r.ids) > 0 && rapid.IntRange(0, 9).Draw(r.t, "reuse id") == 0 {
			id = r.drawID()
		}
		for at, ok := r.machine.Next(); ok && at <= r.now; at, ok = r.machine.Next() {
			r.checkEffects(r.machine.Tick(r.now)) // due timers may end the request that has the id
		}
		old := r.records[id]
		if old != nil && r.machine.requests[id] == nil {
			return // ids of ended requests are not reused here; see TestSubmit_ReplayedID
		}
		if old == nil {
			r.records[id] = &requestRecord{}
			r.ids = append(r.ids, id)
		}
		class := rapid.SampledFrom([]string{"safe", "keyed", "unsafe"}).Draw(r.t, "class")
		effects, err := r.machine.Submit(r.now, r.records[id], decision.Request{
			ID: id, Class: class, Plan: "p", Cost: 1, GatewaySpread: 1, Timeout: 900 * ms,
		}, 950*ms)
		r.checkEffects(effects)
		if (err != nil) != (old != nil) {
			r.t.Fatalf("Submit of request %d: got error %v, want an error: %v", id, err, old != nil)
		}
	case 3, 4: // an attempt ends
		id := r.drawID()
		if record := r.records[id]; record != nil && len(record.inFlight) > 0 {
			r.endAttempt(id, rapid.IntRange(0, len(record.inFlight)-1).Draw(r.t, "attempt"))
		}
	case 8: // an attempt's response starts
		id := r.drawID()
		if record := r.records[id]; record != nil && len(record.inFlight) > 0 {
			n := rapid.IntRange(0, len(record.inFlight)-1).Draw(r.t, "responding attempt")
			effects, allowed := r.machine.ResponseStarted(r.now, id, n)
			r.checkEffects(effects)
			if allowed && (record.respondingAttempt > 0 || !record.inFlight[n] || record.cancelled[n] ||
				record.responses > 0) {
				r.t.Fatalf("ResponseStarted of attempt %d: got allowed, want not allowed: %+v", n, record)
			}
			if allowed || len(effects) > 0 && r.machine.requests[id] != nil && r.machine.requests[id].respondingAttempt > 0 {
				record.respondingAttempt = r.machine.requests[id].respondingAttempt
			}
		}
	case 5: // a client disconnects
		if id := r.drawID(); r.records[id] != nil {
			r.checkEffects(r.machine.Disconnect(r.now, r.records[id], id))
		}
	case 6: // Tick is called
		r.checkEffects(r.machine.Tick(r.now))
	case 7: // the endpoints are updated
		r.checkMarkBackendsNotReady()
		r.checkEffects(r.machine.UpdateEndpoints(r.now, decision.EndpointUpdate{
			Kind:      decision.UpdateFull,
			Endpoints: []decision.Endpoint{{ID: 1}, {ID: 2, Cell: 1}},
		}))
	}
}

// checkMarkBackendsNotReady calls markBackendsNotReady with a random update and compares the marked attempts with those
// found by a scan of all attempts. It also checks the lists of open attempts by backend.
func (r *propertyRun) checkMarkBackendsNotReady() {
	update := decision.EndpointUpdate{
		Kind: decision.UpdateKind(rapid.IntRange(0, int(decision.UpdateFailed)).Draw(r.t, "kind")),
	}
	last := map[decision.BackendID]decision.BackendState{}
	for range rapid.IntRange(0, 3).Draw(r.t, "entries") {
		endpoint := decision.Endpoint{
			ID:    decision.BackendID(rapid.IntRange(0, 3).Draw(r.t, "backend")),
			State: decision.BackendState(rapid.IntRange(0, 2).Draw(r.t, "state")),
		}
		update.Endpoints, last[endpoint.ID] = append(update.Endpoints, endpoint), endpoint.State
	}
	want, open := map[attemptRef]bool{}, 0
	for _, request := range r.machine.requests {
		for number, attempt := range request.attempts {
			state, named := last[attempt.backend]
			if attempt.open {
				open++
			}
			drains := attempt.open && update.Kind != decision.UpdateFailed &&
				(named && state != decision.Ready || !named && update.Kind != decision.UpdateDelta)
			want[attemptRef{request, number}] = attempt.backendNotReady || drains
		}
	}
	r.machine.markBackendsNotReady(&update)
	for ref, wantNotReady := range want {
		if ref.attempt().backendNotReady != wantNotReady {
			r.t.Fatalf("request %d, attempt %d at backend %d, after %+v: backendNotReady is %v, want %v",
				ref.request.id, ref.number, ref.attempt().backend, update, !wantNotReady, wantNotReady)
		}
	}
	for id, ref := range r.machine.openAttempts {
		for ; ref.request != nil; ref = ref.attempt().next {
			if open--; !ref.attempt().open || ref.attempt().backend != id {
				r.t.Fatalf("request %d, attempt %d is in the list of open attempts at backend %d: %+v",
					ref.request.id, ref.number, id, *ref.attempt())
			}
		}
	}
	if open != 0 {
		r.t.Fatalf("the lists of open attempts lack %d attempts, want 0", open)
	}
}

// sourcesSynced reports a SyncSources as done. The Machine may request another one in the same call.
func (r *propertyRun) sourcesSynced(syncID uint64) {
	pending := r.pendingSyncID
	if syncID == pending {
		r.pendingSyncID = 0
	}
	effects := r.machine.SourcesSynced(r.now, syncID)
	if len(effects) > 0 && effects[0].Kind == SyncSources {
		r.pendingSyncID = pending
	}
	r.checkEffects(effects)
}

func (r *propertyRun) endAttempt(id decision.RequestID, attempt int) {
	record := r.records[id]
	if !record.inFlight[attempt] {
		return
	}
	result := decision.Result(rapid.IntRange(0, int(decision.Unknown)).Draw(r.t, "result"))
	// Timers that are due may cancel the attempt first.
	r.checkEffects(r.machine.AttemptEnded(r.now, id, attempt, Outcome{Result: result}))
	record.inFlight[attempt] = false
}

func (r *propertyRun) run() {
	for range rapid.IntRange(1, 60).Draw(r.t, "steps") {
		r.step()
	}
	// Let all timers fire and all started attempts end.
	for range 200 {
		r.engineCalls = 0
		r.sourcesSynced(r.pendingSyncID)
		if at, ok := r.machine.Next(); ok {
			r.now = max(r.now, at)
		}
		r.checkEffects(r.machine.Tick(r.now))
		for _, id := range r.ids {
			for number := range r.records[id].inFlight {
				r.engineCalls = 0
				r.endAttempt(id, number)
			}
		}
		if r.machine.OpenRequests() == 0 {
			break
		}
	}
	if r.machine.OpenRequests() != 0 {
		r.t.Fatalf("got %d open requests at the end, want 0", r.machine.OpenRequests())
	}
	for _, id := range r.ids {
		record := r.records[id]
		if record.responses != 1 {
			r.t.Fatalf("request %d: got %d final answers, want 1", id, record.responses)
		}
		for _, n := range record.startedAttempts {
			if n >= len(record.outcomes) || record.outcomes[n] != 1 {
				r.t.Fatalf("request %d: attempts %v were started, got outcome counts %v by attempt, want 1 for each of them",
					id, record.startedAttempts, record.outcomes)
			}
		}
	}
	for _, timer := range r.machine.timers {
		if timer.request != nil || timer.token != 0 {
			r.t.Fatalf("got a timer at the end that belongs to a request, want none: %+v", timer)
		}
	}
}

func TestRandomEvents_RandomEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &propertyRun{t: t, records: map[decision.RequestID]*requestRecord{}}
		r.detectPauses = rapid.Bool().Draw(t, "detect pauses")
		r.machine = New(r, classes, Limits{MaxAttempts: 4, DetectPauses: r.detectPauses}, 0)
		r.run()
	})
}

func TestRandomEvents_DecisionEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &propertyRun{t: t, records: map[decision.RequestID]*requestRecord{}}
		settings := decision.Settings{GatewayCount: 1, MaxAttempts: 3, CanCancel: rapid.Bool().Draw(t, "cancel"),
			MaxRetryAfter: time.Second, Plans: []decision.Plan{{Name: "p", Rate: 50, Burst: 50, Price: 1}}}
		for _, class := range classes {
			class.LatencyObjective, class.Deadline, class.PriorityWeight, class.DedupWindow =
				time.Second, 2*time.Second, 1, 5*time.Second
			settings.Classes = append(settings.Classes, class)
		}
		engine, err := decision.New(settings, rapid.Uint64().Draw(t, "seed"), 0)
		if err != nil {
			t.Fatal(err)
		}
		r.engine = engine
		r.detectPauses = rapid.Bool().Draw(t, "detect pauses")
		r.machine = New(r, settings.Classes, Limits{DetectPauses: r.detectPauses}, 0)
		r.run()
		if r.machine.UnmatchedActions() != 0 {
			t.Fatalf("got %d unmatched actions, want 0", r.machine.UnmatchedActions())
		}
	})
}
