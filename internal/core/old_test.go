package core

import (
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"
)

// still is a rig whose core notices pauses, and has seen something happen at 0.
func still(t *testing.T, on func(decision.Event) []decision.Action) *rig {
	r := newRig(t, Limits{Standstills: true}, on)
	r.c.Tick(r.now)
	return r
}

// catchUp is the serial of the only CatchUp among effects; 0: there is none.
func (r *rig) catchUp(es []Effect) (serial uint64) {
	r.t.Helper()
	for _, e := range es {
		if e.Kind == CatchUp {
			if serial > 0 {
				r.t.Errorf("two at once: %+v", es)
			}
			serial = e.Serial
		}
	}
	return serial
}

func drains(id decision.BackendID) decision.BackendList {
	return decision.BackendList{Kind: decision.ListChanges, Backends: []decision.BackendInfo{{ID: id, State: decision.Draining}}}
}

// What is decided first after a standstill waits for what the sources were told meanwhile, and is decided again if that speaks against it.
func TestWhatIsDecidedAfterAStandstillWaits(t *testing.T) {
	elsewhere := func(ev decision.Event) []decision.Action {
		if o, ok := ev.(decision.Outcome); ok && o.Result == decision.NotSent && o.Attempt == 0 {
			return []decision.Action{decision.Send{Request: o.Request, Backend: 8}}
		}
		return nil
	}
	for name, c := range map[string]struct {
		list *decision.BackendList
		want string
	}{
		"no news":            {nil, "start 1/0 at 7 by 6.96s"},
		"its backend drains": {new(drains(7)), "start 1/1 at 8 by 6.96s"},
		"its backend is not on the whole list": {&decision.BackendList{Kind: decision.ListFull, Backends: []decision.BackendInfo{{ID: 8}}},
			"start 1/1 at 8 by 6.96s"},
		"another one drains": {new(drains(8)), "start 1/0 at 7 by 6.96s"},
		"asking failed":      {&decision.BackendList{Kind: decision.ListFailed}, "start 1/0 at 7 by 6.96s"},
	} {
		t.Run(name, func(t *testing.T) {
			r := still(t, sendOn(elsewhere))
			r.at(6 * time.Second)
			es := r.arrive(1, "safe")
			serial := r.catchUp(es)
			r.want("an arrival", es, "")
			r.at(6*time.Second + ms)
			if c.list != nil {
				r.want("the news", r.c.List(r.now, *c.list), "")
			}
			r.want("an older answer", r.c.CaughtUp(r.now, serial-1), "")
			r.want("all is taken in", r.c.CaughtUp(r.now, serial), c.want)
			if r.c.CatchingUp() || serial == 0 {
				t.Error("it still catches up, or never did")
			}
			r.want("the next one waits for nothing", r.arrive(2, "safe"), "start 2/0 at 7 by 6.961s")
		})
	}
}

// What waits ends like what is out: by its client, by its time, at the end; and its backend never hears of it.
func TestWhatWaitsEnds(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(r *rig) []Effect
		want string
	}{
		"its client leaves": {func(r *rig) []Effect { return r.c.Leave(r.now, decision.RequestID(1), 1) }, "final 1 left"},
		"its time is up": {func(r *rig) []Effect {
			r.c.Tick(r.at(6*time.Second + 970*ms))
			return r.c.Tick(r.at(6*time.Second + 990*ms))
		}, "final 1 late"},
		"the core is shut": {func(r *rig) []Effect { return r.c.Abort(r.now) }, "final 1 aborted"},
	} {
		t.Run(name, func(t *testing.T) {
			r := still(t, sendOn(func(ev decision.Event) []decision.Action {
				if g, ok := ev.(decision.ClientGone); ok {
					return []decision.Action{decision.Cancel{Request: g.Request}}
				}
				return nil
			}))
			r.at(6 * time.Second)
			serial := r.catchUp(r.arrive(1, "unsafe"))
			r.want("its end", c.do(r), c.want)
			if !strings.Contains(strings.Join(r.heard, "; "), "result=7") {
				t.Errorf("the decision module never heard that it was not sent: %q", r.heard)
			}
			r.want("all is taken in", r.c.CaughtUp(r.now, serial), "")
			if r.c.Open() != 0 || r.c.Remembered() != 0 {
				t.Errorf("%d are open, and %d ids count as run", r.c.Open(), r.c.Remembered())
			}
		})
	}
}

// A second standstill before the first one's answer makes that answer worthless.
func TestAStandstillWithinAnother(t *testing.T) {
	r := still(t, sendOn(nil))
	r.at(6 * time.Second)
	first := r.catchUp(r.arrive(1, "safe"))
	es := r.c.CaughtUp(r.at(6*time.Second+700*ms), first)
	if r.catchUp(es) != 0 || tell(es) != "start 1/0 at 7 by 6.96s" {
		t.Errorf("half a second later: %q", tell(es))
	}
	r.at(9 * time.Second)
	second := r.catchUp(r.arrive(2, "safe"))
	es = r.c.CaughtUp(r.at(15*time.Second), second)
	third := r.catchUp(es)
	if third <= second || strings.Contains(tell(es), "start") {
		t.Errorf("six seconds later: %q, and CatchUp %d", tell(es), third)
	}
}

// What was decided before and has not left is asked for: it may not leave before the news is in, and not to a backend that drains by it.
func TestWhatHasNotLeft(t *testing.T) {
	r := still(t, sendOn(nil))
	r.want("an arrival", r.arrive(1, "safe"), "start 1/0 at 7 by 960ms")
	if _, may := r.c.Leaves(r.at(600*ms), 1, 0); !may {
		t.Error("a slow connection is no standstill")
	}
	es, may := r.c.Leaves(r.at(6*time.Second), 1, 0)
	if serial := r.catchUp(es); may || serial == 0 {
		t.Errorf("it leaves after a standstill: %v, %q", may, tell(es))
	}

	r = still(t, sendOn(nil))
	r.arrive(1, "safe")
	r.c.List(r.at(100*ms), drains(7))
	if _, may := r.c.Leaves(r.at(600*ms), 1, 0); may {
		t.Error("it leaves for a backend that drains")
	}
	if _, may := r.c.Leaves(r.now, 2, 0); may {
		t.Error("what nobody asked for leaves")
	}
}

// An attempt that was out while the process stood still proves nothing of its backend: not its time, not its reading.
func TestWhatWasOutProvesNothing(t *testing.T) {
	r := still(t, sendOn(nil))
	es, err := r.c.Arrive(r.now, decision.RequestID(1), decision.Request{ID: 1, Class: "safe", Patience: 20 * time.Second}, 20*time.Second)
	r.want("an arrival", es, "start 1/0 at 7 by 20s")
	if err != nil {
		t.Fatal(err)
	}
	r.c.Tick(r.at(100 * ms))
	r.c.Tick(r.at(6 * time.Second))
	r.heardLast("process_paused{duration=5.9s}")
	r.c.Ended(r.at(6*time.Second+10*ms), 1, 0, Outcome{Result: decision.Answered, HasUse: true, Use: 300})
	r.heardLast("result=0 latency=110ms final=true has_usage=false")
}

// A process that does something often enough, or nothing because nothing is due, does not stand still.
func TestNoStandstill(t *testing.T) {
	r := still(t, sendOn(nil))
	for i := range 100 {
		at, ok := r.c.Next()
		if !ok {
			t.Fatal("it does not look at its clock")
		}
		r.now = at + time.Duration(i%5)*50*ms
		if r.catchUp(r.c.Tick(r.now)) != 0 {
			t.Fatalf("it stood still at %v, called %v late", r.now, r.now-at)
		}
	}
}
