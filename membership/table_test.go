package membership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"
)

const sec = time.Second

// tableTest is a table whose reports and changes are short lines. A node is "a", with ":draining" or ":gone" behind it,
// "@addr" and "^7" for a start at 7 s.
type tableTest struct {
	t  *testing.T
	tb *Table
}

func newTableTest(t *testing.T, r Policy, sources ...string) *tableTest {
	return &tableTest{t, NewTable(r, sourceInfos(sources...)...)}
}

// sourceInfos are sources by name; one with a "!" behind it is plain.
func sourceInfos(names ...string) []SourceInfo {
	var out []SourceInfo
	for _, name := range names {
		name, plain := strings.CutSuffix(name, "!")
		out = append(out, SourceInfo{Name: name, Trusted: plain})
	}
	return out
}

func startOffset(at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return time.Duration(at.UnixNano())
}

func parseNodes(text string) []Node {
	var out []Node
	for field := range strings.FieldsSeq(text) {
		field, start, _ := strings.Cut(field, "^")
		field, addr, _ := strings.Cut(field, "@")
		name, state, _ := strings.Cut(field, ":")
		n := Node{Name: name, Addr: "h:" + name + addr, State: map[string]decision.BackendState{"draining": decision.Draining, "gone": decision.Removed}[state]}
		if start != "" {
			var s int64
			fmt.Sscan(start, &s)
			n.StartedAt = time.Unix(s, 0)
		}
		out = append(out, n)
	}
	return out
}

func formatChanges(cs []Change) string {
	var out []string
	for _, c := range cs {
		line := fmt.Sprintf("%s#%d:%s", c.Name, c.ID, []string{"ready", "draining", "gone"}[c.State])
		if c.StartedAt > 0 {
			line += fmt.Sprintf("^%d", int(c.StartedAt/sec))
		}
		if c.Replaced {
			line += " moved to " + c.Addr
		}
		out = append(out, line)
	}
	return strings.Join(out, "; ")
}

func (r *tableTest) changes(at time.Duration, source, text, want string) {
	r.t.Helper()
	cs, bad := r.tb.Report(at, source, Update{Nodes: parseNodes(text)}, startOffset)
	r.want(at, cs, want)
	if len(bad) > 0 {
		r.t.Errorf("at %v: %v", at, bad)
	}
}

func (r *tableTest) full(at time.Duration, source, text, want string) {
	r.t.Helper()
	cs, _ := r.tb.Report(at, source, Update{Full: true, Nodes: parseNodes(text)}, startOffset)
	r.want(at, cs, want)
}

func (r *tableTest) tick(at time.Duration, want string) {
	r.t.Helper()
	r.want(at, r.tb.Tick(at), want)
}

func (r *tableTest) want(at time.Duration, cs []Change, want string) {
	r.t.Helper()
	if got := formatChanges(cs); got != want {
		r.t.Errorf("at %v: %q, want %q", at, got, want)
	}
}

// wantStatus is a node as people see it.
func (r *tableTest) wantStatus(name, want string) {
	r.t.Helper()
	got := "unknown"
	for _, v := range r.tb.Statuses() {
		if v.Name == name {
			got = fmt.Sprintf("%v since %v by %s", v.EffectiveState, v.Since, v.Source)
			if v.Stale {
				got += ", old"
			}
			if v.ProbationUntil > 0 {
				got += fmt.Sprintf(", until %v", v.ProbationUntil)
			}
		}
	}
	if got != want {
		r.t.Errorf("%s: %q, want %q", name, got, want)
	}
}

func TestOneSource(t *testing.T) {
	r := newTableTest(t, Policy{}, "s!")
	r.full(1*sec, "s", "a b", "a#1:ready; b#2:ready")
	r.full(2*sec, "s", "a b", "") // nothing has changed
	r.changes(3*sec, "s", "c", "c#3:ready")
	r.changes(4*sec, "s", "b:gone", "b#2:gone")
	r.changes(5*sec, "s", "b", "b#4:ready") // a new one, under a new id
	r.full(6*sec, "s", "b", "a#1:gone; c#3:gone")
	r.changes(7*sec, "s", "z:gone", "") // never named
	r.changes(7*sec, "nobody", "z", "") // no such source
	if r.tb.Len() != 1 {
		t.Errorf("%d nodes", r.tb.Len())
	}
	r.wantStatus("b", "ready since 5s by s")
	r.wantStatus("a", "unknown")
}

// Going away is believed at once; coming back is earned, for longer each time.
func TestFlapping(t *testing.T) {
	r := newTableTest(t, Policy{ProbationMin: sec, ProbationMax: 5 * sec, ProbationReset: 20 * sec}, "s")
	r.changes(0, "s", "a", "a#1:ready")
	at := time.Duration(0)
	for i, hold := range []time.Duration{1 * sec, 2 * sec, 4 * sec, 5 * sec, 5 * sec} {
		at += sec
		r.changes(at, "s", "a:draining", "a#1:draining")
		at += sec / 2
		r.changes(at, "s", "a", "")
		r.wantStatus("a", fmt.Sprintf("suspect since %v by s, until %v", at, at+hold))
		r.tick(at+hold-1, "")
		at += hold
		if next, ok := r.tb.Next(); !ok || next != at {
			t.Errorf("time %d: next at %v %v, want %v", i, next, ok, at)
		}
		r.tick(at, "a#1:ready")
	}
	// Well for long, it is forgiven one time after another.
	r.tick(at+35*sec, "")
	if got := r.tb.Statuses()[0].RecentOutages; got != 3 {
		t.Errorf("%d times are remembered, want 3", got)
	}
	r.tick(at+200*sec, "")
	if _, ok := r.tb.Next(); ok || r.tb.Statuses()[0].RecentOutages != 0 {
		t.Errorf("%d times are remembered for good", r.tb.Statuses()[0].RecentOutages)
	}
	r.changes(at+201*sec, "s", "a:draining", "a#1:draining")
	r.changes(at+202*sec, "s", "a", "")
	r.tick(at+203*sec, "a#1:ready")
}

// A node that flaps every second for a minute is taken back a few times at the most, and the decision module is not
// flooded with events.
func TestAMinuteOfFlapping(t *testing.T) {
	tb := NewTable(Policy{}, sourceInfos("s")...)
	in, events := 0, 0
	ready := false
	see := func(cs []Change) {
		for _, c := range cs {
			events++
			if ready = c.State == decision.Ready; ready {
				in++
			}
		}
	}
	for half := range 120 {
		at := time.Duration(half) * sec / 2
		state := []decision.BackendState{decision.Ready, decision.Draining}[half%2]
		cs, _ := tb.Report(at, "s", Update{Nodes: []Node{{Name: "a", Addr: "h:1", State: state}}}, startOffset)
		see(cs)
		if state == decision.Draining && ready {
			t.Fatalf("at %v it fails and is believed ready", at)
		}
		for next, ok := tb.Next(); ok && next < at+sec/2; next, ok = tb.Next() {
			see(tb.Tick(next))
		}
	}
	if in > 1 || events > 3 {
		t.Errorf("taken back %d times in %d events", in-1, events)
	}
}

// Whether a node is sent anything is the most careful word of those that know it; one that does not know it says
// nothing.
func TestTwoSources(t *testing.T) {
	r := newTableTest(t, Policy{ProbationMin: sec}, "consul", "platform")
	r.full(0, "platform", "a b", "a#1:ready; b#2:ready")
	r.full(1*sec, "consul", "a@x c", "a#1:ready moved to h:ax; c#3:ready") // the first source's address counts
	r.changes(2*sec, "consul", "a:draining@x", "a#1:draining")             // they disagree
	r.wantStatus("a", "draining since 2s by consul")
	r.changes(3*sec, "platform", "a:draining", "")
	r.changes(4*sec, "consul", "a@x", "") // the other is late: it still says draining
	r.wantStatus("a", "draining since 2s by platform")
	r.changes(14*sec, "platform", "a", "") // by 10 s
	r.tick(15*sec, "a#1:ready")
	r.changes(16*sec, "consul", "c:gone", "c#3:gone")               // which only one of them knew
	r.changes(17*sec, "consul", "a:gone", "a#1:ready moved to h:a") // the other still knows it, by its address
	r.changes(18*sec, "platform", "a:gone", "a#1:gone")
	r.changes(19*sec, "consul", "b:draining", "b#2:draining")
	r.changes(20*sec, "consul", "b:gone", "") // and then does not know it: the platform's word alone counts
	r.tick(21*sec, "b#2:ready")
}

// A source that fails keeps its last words, and they are marked.
func TestASourceThatFails(t *testing.T) {
	r := newTableTest(t, Policy{}, "s")
	r.full(0, "s", "a b", "a#1:ready; b#2:ready")
	if cs := reportFailure(r.tb, 1*sec, "s"); len(cs) > 0 {
		t.Errorf("%v", cs)
	}
	r.tick(time.Hour, "")
	r.wantStatus("a", "ready since 0s by s, old")
	r.full(time.Hour, "s", "a c", "c#3:ready; b#2:gone") // the difference alone
	r.wantStatus("a", "ready since 0s by s")
}

// One whose process or registration is new is a new one at the same name: it is cold, and connections lead nowhere.
func TestStartedAnew(t *testing.T) {
	r := newTableTest(t, Policy{}, "s", "o")
	r.changes(100*sec, "s", "a^90", "a#1:ready^90")
	r.wantStatus("a", "cold since 1m40s by s")
	r.tick(106*sec, "")
	r.wantStatus("a", "ready since 1m40s by s")
	r.changes(110*sec, "s", "a^109", "a#1:ready^109 moved to h:a")
	r.changes(111*sec, "o", "a^105", "") // an older word
	r.changes(112*sec, "o", "a^111", "a#1:ready^111 moved to h:a")
	r.changes(113*sec, "s", "a:draining^109", "a#1:draining^111")
	r.changes(114*sec, "s", "a^109", "") // well again without a restart
	r.tick(115*sec, "a#1:ready^111")
}

func TestWhatMakesNoSense(t *testing.T) {
	tb := NewTable(Policy{MaxNodes: 2}, sourceInfos("s")...)
	cs, bad := tb.Report(0, "s", Update{Nodes: []Node{{Name: ""}, {Name: "a"}, {Name: "b", Addr: "h", State: 7},
		{Name: "c", Addr: "h"}, {Name: "d", Addr: "h"}, {Name: "e", Addr: "h"}}}, startOffset)
	if len(cs) != 2 || len(bad) != 3 || tb.Len() != 2 || tb.SkippedEntries() != 1 {
		t.Errorf("%s, %v, %d kept, %d passed over", formatChanges(cs), bad, tb.Len(), tb.SkippedEntries())
	}
	for i := range 10_000 { // names that are ever new
		name := fmt.Sprint("n", i)
		tb.Report(0, "s", Update{Full: true, Nodes: []Node{{Name: name, Addr: "h"}}}, startOffset)
		tb.Report(0, "s", Update{Nodes: []Node{{Name: name, Addr: "h", State: decision.Draining}}}, startOffset)
	}
	if tb.Len() > 2 || len(tb.queue) > 2 {
		t.Errorf("%d nodes, %d waits", tb.Len(), len(tb.queue))
	}
}

// model is the table's rules told once more, without a thought for cost: what each source said last.
type model struct {
	reports map[string]map[string]Node // by node, by source
}

func (m *model) apply(source string, l Update) {
	if l.Full {
		for _, w := range m.reports {
			delete(w, source)
		}
	}
	for _, n := range l.Nodes {
		if m.reports[n.Name] == nil {
			m.reports[n.Name] = map[string]Node{}
		}
		if n.State == decision.Removed {
			delete(m.reports[n.Name], source)
		} else {
			m.reports[n.Name][source] = n
		}
	}
}

// reportFailure tells a table that a source can't be heard.
func reportFailure(tb *Table, now time.Duration, source string) []Change {
	return changesOf(tb.Report(now, source, Update{Err: errors.New("cut")}, startOffset))
}

// doubtsRemoval tells whether a table keeps what a source's whole list lacks.
func doubtsRemoval(tb *Table, source string) bool {
	return len(tb.sources[tb.sourceIndex(source)].missing) > 0
}

// isMissing tells whether a node is kept although a whole list lacks it.
func isMissing(tb *Table, name string) bool {
	return slices.ContainsFunc(tb.sources, func(o source) bool { return o.missing[name] != nil })
}

// Whatever sources say in whatever order: what was emitted adds up to what a table believes, nothing that any
// source calls draining is ready, nothing is ready that nobody knows, an id is never used twice, and a list said
// twice changes nothing.
func TestAnyReports(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		sources := []string{"x", "y", "z"}[:1+rng.IntN(3)]
		tb := NewTable(Policy{ProbationMin: sec, ProbationMax: 8 * sec, ProbationReset: 10 * sec}, sourceInfos(sources...)...)
		m := &model{reports: map[string]map[string]Node{}}
		known := map[string]Change{}
		ids := map[decision.BackendID]string{}
		now := time.Duration(0)
		see := func(cs []Change) {
			for _, c := range cs {
				old, was := known[c.Name]
				if was && old.ID != c.ID || !was && ids[c.ID] != "" || !was && c.State == decision.Removed {
					t.Fatalf("seed %d: %+v after %+v", seed, c, old)
				}
				if was && old == c {
					t.Fatalf("seed %d: %+v twice", seed, c)
				}
				ids[c.ID] = c.Name
				known[c.Name] = c
				if c.State == decision.Removed {
					delete(known, c.Name)
				}
			}
		}
		for range 100 {
			now += time.Duration(rng.IntN(3000)) * time.Millisecond
			source := sources[rng.IntN(len(sources))]
			l := Update{Full: rng.IntN(4) == 0}
			for _, name := range []string{"a", "b", "c", "d"} {
				if rng.IntN(2) == 0 {
					l.Nodes = append(l.Nodes, Node{Name: name, Addr: fmt.Sprint("h:", rng.IntN(3)), State: decision.BackendState(rng.IntN(3)),
						StartedAt: []time.Time{{}, time.Unix(int64(rng.IntN(5)), 0)}[rng.IntN(2)]})
				}
			}
			switch rng.IntN(5) {
			case 0:
				see(tb.Tick(now))
			case 1:
				see(reportFailure(tb, now, source))
			default:
				cs, bad := tb.Report(now, source, l, startOffset)
				if len(bad) > 0 {
					t.Fatal(bad)
				}
				see(cs)
				m.apply(source, l)
				doubtful := doubtsRemoval(tb, source) // and what is said twice may end a doubt
				if cs, _ := tb.Report(now, source, l, startOffset); len(cs) > 0 && !doubtful {
					t.Fatalf("seed %d: said twice: %s", seed, formatChanges(cs))
				} else {
					see(cs)
				}
			}
			for name, words := range m.reports {
				careful := slices.ContainsFunc(sources, func(s string) bool { n, ok := words[s]; return ok && n.State == decision.Draining })
				c, ok := known[name]
				if !ok && len(words) > 0 || ok && len(words) == 0 && !isMissing(tb, name) || ok && careful && c.State == decision.Ready {
					t.Fatalf("seed %d: %s is %+v (%v), and the sources say %+v", seed, name, c, ok, words)
				}
			}
		}
		// In the end everybody who is called ready by all is taken back.
		for at, ok := tb.Next(); ok && at <= now+2*time.Hour; at, ok = tb.Next() {
			see(tb.Tick(at))
		}
		for name, words := range m.reports {
			careful := slices.ContainsFunc(sources, func(s string) bool { n, ok := words[s]; return ok && n.State == decision.Draining })
			if c, ok := known[name]; ok && !careful && c.State != decision.Ready && !isMissing(tb, name) {
				t.Fatalf("seed %d: %s is out for good: %+v", seed, name, c)
			}
		}
	}
}

func BenchmarkTable(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		list := Update{Full: true}
		for i := range n {
			list.Nodes = append(list.Nodes, Node{Name: fmt.Sprint("node-", i), Addr: fmt.Sprint("10.0.0.1:", i), Zone: "z", Cell: i % 20})
		}
		b.Run(fmt.Sprintf("change/%d", n), func(b *testing.B) {
			tb := NewTable(Policy{}, sourceInfos("s")...)
			tb.Report(0, "s", list, startOffset)
			b.ReportAllocs()
			now := time.Duration(0)
			for i := 0; b.Loop(); i++ {
				now += sec
				one := list.Nodes[i%n]
				one.State = decision.BackendState(i / n % 2)
				tb.Report(now, "s", Update{Nodes: []Node{one}}, startOffset)
			}
		})
		b.Run(fmt.Sprintf("whole/%d", n), func(b *testing.B) {
			tb := NewTable(Policy{}, sourceInfos("s")...)
			b.ReportAllocs()
			now := time.Duration(0)
			for b.Loop() {
				now += sec
				tb.Report(now, "s", list, startOffset)
			}
		})
	}
}

// A list that loses most of its nodes is believed after a while and when it was said twice; one that loses all, or
// began anew, after a longer one; what it says of the nodes that it lists counts at once.
func TestLosingMost(t *testing.T) {
	all := "a b c d e f"
	ready := "a#1:ready; b#2:ready; c#3:ready; d#4:ready; e#5:ready; f#6:ready"
	t.Run("most", func(t *testing.T) {
		r := newTableTest(t, Policy{}, "s")
		r.full(0, "s", all, ready)
		r.full(1*sec, "s", "a b:draining g", "b#2:draining; g#7:ready") // lacks four of six
		r.wantStatus("c", "ready since 0s by s")
		if !doubtsRemoval(r.tb, "s") {
			t.Error("it does not doubt")
		}
		r.tick(10*sec, "") // it was said once only
		r.full(11*sec, "s", "a b:draining d g", "c#3:gone; e#5:gone; f#6:gone")
		r.wantStatus("d", "ready since 0s by s")
		if doubtsRemoval(r.tb, "s") {
			t.Error("it doubts still")
		}
	})
	t.Run("said twice, then due", func(t *testing.T) {
		r := newTableTest(t, Policy{}, "s")
		r.full(0, "s", all, ready)
		r.full(1*sec, "s", "a b", "")
		r.full(1200*time.Millisecond, "s", "a b", "")
		if at, ok := r.tb.Next(); !ok || at != 2500*time.Millisecond {
			t.Errorf("next at %v, %v", at, ok)
		}
		r.tick(2499*time.Millisecond, "")
		r.tick(2500*time.Millisecond, "") // silence says nothing
		if at, ok := r.tb.Next(); ok {
			t.Errorf("it waits for its source alone, and for %v", at)
		}
		r.full(3*sec, "s", "a b", "c#3:gone; d#4:gone; e#5:gone; f#6:gone")
		r.full(4*sec, "s", all, "c#7:draining; d#8:draining; e#9:draining; f#10:draining") // back, and not trusted at once
		r.tick(5*sec, "c#7:ready; d#8:ready; e#9:ready; f#10:ready")
	})
	t.Run("little by little", func(t *testing.T) { // a source that loses most nodes and then the rest has lost more, not less
		r := newTableTest(t, Policy{}, "s")
		r.full(0, "s", all, ready)
		r.full(1*sec, "s", "a b", "")
		r.full(2*sec, "s", "a", "") // b counts from now
		r.tick(2500*time.Millisecond, "")
		r.full(2600*time.Millisecond, "s", "a", "c#3:gone; d#4:gone; e#5:gone; f#6:gone")
		r.wantStatus("b", "ready since 0s by s")
		r.tick(3500*time.Millisecond, "")
		r.full(3600*time.Millisecond, "s", "a b", "") // and was not gone
		r.full(4*sec, "s", "a", "b#2:gone")           // one of two that are left is no failure of the source
	})
	t.Run("half", func(t *testing.T) {
		r := newTableTest(t, Policy{}, "s")
		r.full(0, "s", all, ready)
		r.full(1*sec, "s", "a b c", "d#4:gone; e#5:gone; f#6:gone")
		r.full(2*sec, "s", "a", "b#2:gone; c#3:gone") // two are too few to be doubted
	})
	t.Run("all", func(t *testing.T) {
		r := newTableTest(t, Policy{}, "s")
		r.full(0, "s", "a", "a#1:ready")
		r.full(1*sec, "s", "", "")
		r.full(2*sec, "s", "", "")
		r.tick(300*sec, "")
		r.full(300*sec, "s", "a", "") // and is back as if nothing had been
		r.tick(400*sec, "")
		r.full(401*sec, "s", "", "")
		r.full(402*sec, "s", "", "")
		r.tick(701*sec, "")
		r.tick(702*sec, "")
		r.full(703*sec, "s", "", "a#1:gone")
	})
	t.Run("anew", func(t *testing.T) {
		r := newTableTest(t, Policy{}, "s")
		r.full(0, "s", all, ready)
		r.want(1*sec, changesOf(r.tb.Report(1*sec, "s", Update{Full: true, SourceReset: true, Nodes: parseNodes("a b")}, startOffset)), "")
		r.full(10*sec, "s", "a b c d e", "")       // f alone is lacked, and still only not back yet
		r.full(11*sec, "s", "a b c d", "e#5:gone") // e was back, and has gone since
		r.wantStatus("f", "ready since 0s by s")
		r.tick(301*sec, "")
		r.full(310*sec, "s", "a b c d", "f#6:gone")
	})
	t.Run("fails meanwhile", func(t *testing.T) {
		r := newTableTest(t, Policy{}, "s")
		r.full(0, "s", all, ready)
		r.full(1*sec, "s", "a b", "")
		r.full(2*sec, "s", "a b", "")
		reportFailure(r.tb, 2200*time.Millisecond, "s")
		r.tick(60*sec, "")
		r.full(61*sec, "s", "a b", "") // once more, and since it failed
		r.tick(64*sec, "")
		r.full(65*sec, "s", "a b", "c#3:gone; d#4:gone; e#5:gone; f#6:gone")
	})
	t.Run("a plain source", func(t *testing.T) {
		r := newTableTest(t, Policy{}, "s!")
		r.full(0, "s", all, ready)
		r.full(1*sec, "s", "", "a#1:gone; b#2:gone; c#3:gone; d#4:gone; e#5:gone; f#6:gone")
		r.full(2*sec, "s", "a", "a#7:ready")
		r.changes(3*sec, "s", "a:draining", "a#7:draining")
		r.changes(4*sec, "s", "a", "a#7:ready")
	})
}

// A loss that comes due while this process stands still is not believed by what is heard then, which may be as old as the loss:
// it counts anew.
func TestALossOverAPause(t *testing.T) {
	for _, ticks := range []bool{false, true} {
		r := newTableTest(t, Policy{}, "s")
		r.full(0, "s", "a b c d e f", "a#1:ready; b#2:ready; c#3:ready; d#4:ready; e#5:ready; f#6:ready")
		r.full(1*sec, "s", "a", "")
		r.full(1200*time.Millisecond, "s", "a", "")
		if ticks {
			r.tick(4*sec, "")
		}
		r.full(4*sec, "s", "a", "") // it waited meanwhile
		r.full(4100*time.Millisecond, "s", "a b", "")
		r.tick(5400*time.Millisecond, "")
		r.full(5500*time.Millisecond, "s", "a b", "c#3:gone; d#4:gone; e#5:gone; f#6:gone")
	}
}

func changesOf(cs []Change, _ []error) []Change { return cs }

// A node that comes and goes under the same name has to earn its place as one that is critical now and then does.
func TestComingAndGoing(t *testing.T) {
	r := newTableTest(t, Policy{}, "s")
	r.changes(0, "s", "a b", "a#1:ready; b#2:ready")
	taken, events := 0, 0
	for i := range 60 {
		now := time.Duration(i+1) * sec
		word := []string{"a:gone", "a"}[i%2]
		for _, cs := range [][]Change{r.tb.Tick(now), changesOf(r.tb.Report(now, "s", Update{Nodes: parseNodes(word)}, startOffset))} {
			for _, c := range cs {
				events++
				if c.State == decision.Ready {
					taken++
				}
				if c.Name != "a" {
					t.Errorf("%+v", c)
				}
			}
		}
	}
	if taken > 1 || events > 62 {
		t.Errorf("taken back %d times, %d events", taken, events)
	}
	r.changes(70*sec, "s", "a:gone", "a#32:gone")
	r.changes(20*60*sec, "s", "a", "a#33:ready") // long forgotten
	if len(r.tb.tombstones) > 0 || len(r.tb.tombstoneOrder) > 0 {
		t.Errorf("%d ghosts, %d in order", len(r.tb.tombstones), len(r.tb.tombstoneOrder))
	}
	for i := range 30_000 { // names that are ever new, gone at once
		r.changes(21*60*sec, "s", fmt.Sprintf("n%d", i), fmt.Sprintf("n%d#%d:ready", i, 34+i))
		r.changes(21*60*sec, "s", fmt.Sprintf("n%d:gone", i), fmt.Sprintf("n%d#%d:gone", i, 34+i))
	}
	if len(r.tb.tombstones) > 20_001 || len(r.tb.tombstoneOrder) > 20_001 {
		t.Errorf("%d ghosts, %d in order", len(r.tb.tombstones), len(r.tb.tombstoneOrder))
	}
}

// What was saved is old until its source is heard.
func TestSaved(t *testing.T) {
	r := newTableTest(t, Policy{}, "s")
	r.want(0, changesOf(r.tb.Report(0, "s", Update{Full: true, Cached: true, Nodes: parseNodes("a b")}, startOffset)), "a#1:ready; b#2:ready")
	r.wantStatus("a", "ready since 0s by s, old")
	r.changes(1*sec, "s", "a", "") // of the rest nothing is known
	r.wantStatus("b", "ready since 0s by s, old")
	r.full(2*sec, "s", "a b", "")
	r.wantStatus("a", "ready since 0s by s")
	reportFailure(r.tb, 3*sec, "s")
	r.wantStatus("a", "ready since 0s by s, old")
}

// BenchmarkServices is a table of twenty services of one catalogue, each a source: what one change costs, alone and as
// the whole list of its service, in which form a catalogue tells it; and what a node takes in memory.
func BenchmarkServices(b *testing.B) {
	const services = 20
	for _, n := range []int{100, 1000, 10_000} {
		var names []string
		lists := make([]Update, services)
		for s := range services {
			names = append(names, fmt.Sprint("consul:service-", s))
			lists[s].Full = true
		}
		for i := range n {
			l := &lists[i%services]
			l.Nodes = append(l.Nodes, Node{Name: fmt.Sprint("node-", i, "/instance"), Addr: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Zone: "z", Cell: i % 50, Weight: 1})
		}
		fill := func() *Table {
			tb := NewTable(Policy{}, sourceInfos(names...)...)
			for s := range lists {
				tb.Report(0, names[s], lists[s], startOffset)
			}
			return tb
		}
		turn := func(i int) (int, Node) {
			s := i % services
			node := lists[s].Nodes[i/services%len(lists[s].Nodes)]
			node.Weight = float64(2 + i%2)
			return s, node
		}
		b.Run(fmt.Sprintf("change/%d", n), func(b *testing.B) {
			tb := fill()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s, node := turn(i)
				tb.Report(time.Duration(i), names[s], Update{Nodes: []Node{node}}, startOffset)
			}
		})
		b.Run(fmt.Sprintf("service/%d", n), func(b *testing.B) {
			tb := fill()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s, node := turn(i)
				l := Update{Full: true, Nodes: slices.Clone(lists[s].Nodes)}
				l.Nodes[i/services%len(l.Nodes)] = node
				tb.Report(time.Duration(i), names[s], l, startOffset)
			}
		})
		b.Run(fmt.Sprintf("all/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			tb := fill()
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				fill()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/node")
			if tb.Len() != n {
				b.Fatal(tb.Len())
			}
		})
	}
}

// A node that one source lets go keeps the start that another has told, and its connections.
func TestLetGoByOneSource(t *testing.T) {
	r := newTableTest(t, Policy{}, "s", "o!")
	r.full(1*sec, "o", "a^90 b^90 c^90 d^90", "a#1:ready^90; b#2:ready^90; c#3:ready^90; d#4:ready^90")
	r.full(2*sec, "s", "a b c d", "")
	r.full(3*sec, "s", "a b c", "")
	r.full(4*sec, "s", "a", "")
	r.changes(5*sec, "s", "a:gone", "")
}
