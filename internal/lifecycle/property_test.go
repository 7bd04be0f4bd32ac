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

// TestMain has the property tests draw the same values every time, unless -rapid.seed is given.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// The property tests drive a Machine with events in any order, over an engine that does anything at all in answer, or
// over the one in use. Whatever happens: one Respond for each submitted request, none for another; one outcome at the
// engine for each StartAttempt, and none without one; nothing left once all has ended.

type requestRecord struct {
	finals            int
	running           []bool // open
	madeAttempts      []int  // numbers of attempts that were started
	cancelled         []bool
	requested         int // StartAttempt actions of the engine
	outcomes          []int
	respondingAttempt int // the attempt whose response has started, counted from 1
}

type propertyRun struct {
	t            *rapid.T
	machine      *Machine
	engine       DecisionEngine // nil: random actions
	now          time.Duration
	records      map[decision.RequestID]*requestRecord
	order        []decision.RequestID
	depth        int
	pendingSync  uint64        // the SyncID that awaits SourcesSynced; 0: none
	lastEventAt  time.Duration // of the last effects
	detectPauses bool          // pauses are noticed
}

// Handle is the engine, random or the one in use, with its events and actions checked.
func (w *propertyRun) Handle(now time.Duration, ev decision.Event, as []decision.Action) []decision.Action {
	if o, ok := ev.(decision.Outcome); ok {
		s := w.records[o.Request]
		if s == nil || o.Attempt >= s.requested {
			w.t.Fatalf("an outcome without a send: %+v", o)
		}
		for len(s.outcomes) < s.requested {
			s.outcomes = append(s.outcomes, 0)
		}
		if s.outcomes[o.Attempt]++; s.outcomes[o.Attempt] > 1 {
			w.t.Fatalf("a second outcome: %+v", o)
		}
		if o.Final != (s.finals > 0) && w.machine.requests[o.Request] != nil && o.Final != w.machine.requests[o.Request].answered {
			w.t.Fatalf("%+v, and the request has %d final answers", o, s.finals)
		}
	}
	if w.engine != nil {
		as = w.engine.Handle(now, ev, as)
	} else {
		as = w.randomActions(as)
	}
	for _, a := range as {
		if s, ok := a.(decision.StartAttempt); ok && w.records[s.Request] != nil && w.machine.requests[s.Request] != nil {
			w.records[s.Request].requested++
		}
	}
	return as
}

func (w *propertyRun) randomActions(as []decision.Action) []decision.Action {
	if w.depth++; w.depth > 50 { // else attempts that are not made lead to further ones for ever
		return as
	}
	for range rapid.IntRange(0, 2).Draw(w.t, "actions") {
		id := rapid.SampledFrom(append(slices.Clone(w.order), 1<<40)).Draw(w.t, "id")
		after := time.Duration(rapid.IntRange(-5, 800).Draw(w.t, "after")) * ms
		switch rapid.IntRange(0, 6).Draw(w.t, "action") {
		case 0, 1:
			as = append(as, decision.StartAttempt{Request: id, Backend: 1, Timeout: max(0, after)})
		case 2:
			as = append(as, decision.Reject{Request: id, RetryAfter: max(0, after)})
		case 3:
			as = append(as, decision.Fail{Request: id})
		case 4:
			as = append(as, decision.CancelAttempt{Request: id, Attempt: rapid.IntRange(-1, 3).Draw(w.t, "attempt")})
		case 5:
			as = append(as, decision.SetTimer{After: after, Token: uint64(rapid.IntRange(1, 3).Draw(w.t, "token")), Request: id})
		}
	}
	return as
}

// checkEffects checks the effects of one step.
func (w *propertyRun) checkEffects(es []Effect) {
	w.lastEventAt = w.now
	for _, e := range es {
		s := w.records[e.Request]
		switch e.Kind {
		case SyncSources:
			if !w.detectPauses || e.SyncID <= w.pendingSync {
				w.t.Fatalf("%+v after %d", e, w.pendingSync)
			}
			w.pendingSync = e.SyncID
		case StartAttempt:
			if w.pendingSync > 0 {
				w.t.Fatalf("%+v before the sources have synced", e)
			}
			if s.respondingAttempt > 0 {
				w.t.Fatalf("a start after a response has started: %+v", e)
			}
			if s.finals > 0 {
				w.t.Fatalf("a start after the final answer: %+v", e)
			}
			if e.Deadline > w.now+900*ms || e.Attempt < len(s.running) {
				w.t.Fatalf("an odd start: %+v", e)
			}
			for len(s.running) <= e.Attempt {
				s.running, s.cancelled = append(s.running, false), append(s.cancelled, false)
			}
			s.running[e.Attempt] = true
			s.madeAttempts = append(s.madeAttempts, e.Attempt)
		case CancelAttempt:
			if !s.running[e.Attempt] || s.cancelled[e.Attempt] {
				w.t.Fatalf("an attempt cancelled that is not in flight, or twice: %+v", e)
			}
			s.cancelled[e.Attempt] = true
		case Respond:
			if s.finals++; s.finals > 1 {
				w.t.Fatalf("a second final answer: %+v", e)
			}
			if s.respondingAttempt > 0 && (e.Verdict == Rejected || e.Verdict == Served && e.Attempt != s.respondingAttempt-1) {
				w.t.Fatalf("%+v, and the response of attempt %d has started", e, s.respondingAttempt-1)
			}
		}
	}
}

func (w *propertyRun) drawID() decision.RequestID {
	if len(w.order) == 0 {
		return 0
	}
	return rapid.SampledFrom(w.order).Draw(w.t, "request")
}

func (w *propertyRun) step() {
	w.depth = 0
	w.now += time.Duration(rapid.IntRange(0, 300).Draw(w.t, "pass")) * ms
	if w.detectPauses && rapid.IntRange(0, 9).Draw(w.t, "stands still") == 0 {
		w.now += time.Duration(rapid.IntRange(100, 7000).Draw(w.t, "for")) * ms
	}
	if w.now-w.lastEventAt > recovery.DefaultCheckInterval+recovery.DefaultTolerance && w.detectPauses && w.lastEventAt > 0 {
		before, from := w.pendingSync, w.lastEventAt
		defer func() {
			if w.lastEventAt > from && w.pendingSync == before {
				w.t.Fatalf("%v went by, and no sync was asked for", w.now-from)
			}
		}()
	}
	switch rapid.IntRange(0, 9).Draw(w.t, "event") {
	case 9:
		serial := w.pendingSync
		if rapid.IntRange(0, 4).Draw(w.t, "older") == 0 {
			serial--
		}
		w.sourcesSynced(serial)
	case 0, 1, 2:
		id := decision.RequestID(len(w.order) + 1)
		if len(w.order) > 0 && rapid.IntRange(0, 9).Draw(w.t, "again") == 0 {
			id = w.drawID()
		}
		for at, ok := w.machine.Next(); ok && at <= w.now; at, ok = w.machine.Next() {
			w.checkEffects(w.machine.Tick(w.now)) // what is due may end the one that has the id
		}
		old := w.records[id]
		if old != nil && w.machine.requests[id] == nil {
			return // an id that was used is used again on purpose only: see TestAReplayedIDIsNotSentAgain
		}
		if old == nil {
			w.records[id] = &requestRecord{}
			w.order = append(w.order, id)
		}
		class := rapid.SampledFrom([]string{"safe", "keyed", "unsafe"}).Draw(w.t, "class")
		es, err := w.machine.Submit(w.now, w.records[id], decision.Request{ID: id, Class: class, Plan: "p", Cost: 1, GatewaySpread: 1,
			Timeout: 900 * ms}, 950*ms)
		w.checkEffects(es)
		if (err != nil) != (old != nil) {
			w.t.Fatalf("request %d: %v, open before: %v", id, err, old != nil)
		}
	case 3, 4:
		id := w.drawID()
		if s := w.records[id]; s != nil && len(s.running) > 0 {
			w.endAttempt(id, rapid.IntRange(0, len(s.running)-1).Draw(w.t, "attempt"))
		}
	case 8:
		id := w.drawID()
		if s := w.records[id]; s != nil && len(s.running) > 0 {
			n := rapid.IntRange(0, len(s.running)-1).Draw(w.t, "begins")
			es, may := w.machine.ResponseStarted(w.now, id, n)
			w.checkEffects(es)
			if may && (s.respondingAttempt > 0 || !s.running[n] || s.cancelled[n] || s.finals > 0) {
				w.t.Fatalf("the answer of attempt %d may begin: %+v", n, s)
			}
			if may || len(es) > 0 && w.machine.requests[id] != nil && w.machine.requests[id].respondingAttempt > 0 {
				s.respondingAttempt = w.machine.requests[id].respondingAttempt
			}
		}
	case 5:
		if id := w.drawID(); w.records[id] != nil {
			w.checkEffects(w.machine.Disconnect(w.now, w.records[id], id))
		}
	case 6:
		w.checkEffects(w.machine.Tick(w.now))
	case 7:
		w.checkMarkDrained()
		w.checkEffects(w.machine.UpdateEndpoints(w.now, decision.EndpointUpdate{Kind: decision.UpdateFull, Endpoints: []decision.Endpoint{{ID: 1}, {ID: 2, Cell: 1}}}))
	}
}

// checkMarkDrained has the Machine mark the attempts that a random update drains, and compares them with those that a
// walk over all attempts finds.
func (w *propertyRun) checkMarkDrained() {
	list := decision.EndpointUpdate{Kind: decision.UpdateKind(rapid.IntRange(0, int(decision.UpdateFailed)).Draw(w.t, "kind"))}
	last := map[decision.BackendID]decision.BackendState{}
	for range rapid.IntRange(0, 3).Draw(w.t, "entries") {
		b := decision.Endpoint{ID: decision.BackendID(rapid.IntRange(0, 3).Draw(w.t, "backend")), State: decision.BackendState(rapid.IntRange(0, 2).Draw(w.t, "state"))}
		list.Endpoints, last[b.ID] = append(list.Endpoints, b), b.State
	}
	want, open := map[attemptRef]bool{}, 0
	for _, k := range w.machine.requests {
		for i, t := range k.attempts {
			state, named := last[t.backend]
			if t.open {
				open++
			}
			hit := t.open && list.Kind != decision.UpdateFailed && (named && state != decision.Ready || !named && list.Kind != decision.UpdateDelta)
			want[attemptRef{k, i}] = t.drained || hit
		}
	}
	w.machine.markDrained(&list)
	for r, is := range want {
		if r.attempt().drained != is {
			w.t.Fatalf("request %d, attempt %d at %d, after %+v: stopped %v, want %v", r.request.id, r.number, r.attempt().backend, list, !is, is)
		}
	}
	for id, r := range w.machine.openAttempts {
		for ; r.request != nil; r = r.attempt().next {
			if open--; !r.attempt().open || r.attempt().backend != id {
				w.t.Fatalf("request %d, attempt %d is among those open at %d: %+v", r.request.id, r.number, id, *r.attempt())
			}
		}
	}
	if open != 0 {
		w.t.Fatalf("%d open attempts are not found by their backends", open)
	}
}

// sourcesSynced answers a SyncSources. One that is asked for in the same step is another.
func (w *propertyRun) sourcesSynced(serial uint64) {
	owed := w.pendingSync
	if serial == owed {
		w.pendingSync = 0
	}
	es := w.machine.SourcesSynced(w.now, serial)
	if len(es) > 0 && es[0].Kind == SyncSources {
		w.pendingSync = owed
	}
	w.checkEffects(es)
}

func (w *propertyRun) endAttempt(id decision.RequestID, attempt int) {
	s := w.records[id]
	if !s.running[attempt] {
		return
	}
	result := decision.Result(rapid.IntRange(0, int(decision.Unknown)).Draw(w.t, "result"))
	w.checkEffects(w.machine.AttemptEnded(w.now, id, attempt, Outcome{Result: result})) // what was due may call it off first
	s.running[attempt] = false
}

func (w *propertyRun) run() {
	for range rapid.IntRange(1, 60).Draw(w.t, "steps") {
		w.step()
	}
	// All time passes, and each attempt that was started ends.
	for range 200 {
		w.depth = 0
		w.sourcesSynced(w.pendingSync)
		if at, ok := w.machine.Next(); ok {
			w.now = max(w.now, at)
		}
		w.checkEffects(w.machine.Tick(w.now))
		for _, id := range w.order {
			for n := range w.records[id].running {
				w.depth = 0
				w.endAttempt(id, n)
			}
		}
		if w.machine.OpenRequests() == 0 {
			break
		}
	}
	if w.machine.OpenRequests() != 0 {
		w.t.Fatalf("%d requests are left", w.machine.OpenRequests())
	}
	for _, id := range w.order {
		s := w.records[id]
		if s.finals != 1 {
			w.t.Fatalf("request %d has %d final answers", id, s.finals)
		}
		for _, n := range s.madeAttempts {
			if n >= len(s.outcomes) || s.outcomes[n] != 1 {
				w.t.Fatalf("request %d: attempts %v were made, and the outcomes are %v", id, s.madeAttempts, s.outcomes)
			}
		}
	}
	for _, t := range w.machine.timers {
		if t.request != nil || t.token != 0 {
			w.t.Fatalf("a timer of a request is left: %+v", t)
		}
	}
}

func TestAnyOrderOfEvents_RandomEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &propertyRun{t: t, records: map[decision.RequestID]*requestRecord{}}
		w.detectPauses = rapid.Bool().Draw(t, "pauses are noticed")
		w.machine = New(w, classes, Limits{MaxAttempts: 4, DetectPauses: w.detectPauses}, 0)
		w.run()
	})
}

func TestAnyOrderOfEvents_DecisionEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &propertyRun{t: t, records: map[decision.RequestID]*requestRecord{}}
		set := decision.Settings{GatewayCount: 1, MaxAttempts: 3, CanCancel: rapid.Bool().Draw(t, "cancel"),
			MaxRetryAfter: time.Second, Plans: []decision.Plan{{Name: "p", Rate: 50, Burst: 50, Price: 1}}}
		for _, c := range classes {
			c.LatencyObjective, c.Deadline, c.PriorityWeight, c.DedupWindow = time.Second, 2*time.Second, 1, 5*time.Second
			set.Classes = append(set.Classes, c)
		}
		g, err := decision.New(set, rapid.Uint64().Draw(t, "seed"), 0)
		if err != nil {
			t.Fatal(err)
		}
		w.engine = g
		w.detectPauses = rapid.Bool().Draw(t, "pauses are noticed")
		w.machine = New(w, set.Classes, Limits{DetectPauses: w.detectPauses}, 0)
		w.run()
		if w.machine.UnmatchedActions() != 0 {
			t.Fatalf("%d actions of the engine match no request", w.machine.UnmatchedActions())
		}
	})
}
