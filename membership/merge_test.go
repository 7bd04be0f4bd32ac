package membership

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pumicecroft/decision"
)

// mirror is what somebody has made of a table's changes.
type mirror map[string]Change

// apply follows changes, and tells which nodes have become ready by them.
func (h mirror) apply(cs []Change) (ready []string) {
	for _, c := range cs {
		switch was, known := h[c.Name]; {
		case c.State == decision.Removed:
			delete(h, c.Name)
			continue
		case c.State == decision.Ready && (!known || was.State != decision.Ready):
			ready = append(ready, c.Name)
		}
		c.Replaced = false
		h[c.Name] = c
	}
	return ready
}

// any list of a few nodes, some of them named more than once, some of which make no sense.
func randomUpdate(rng *rand.Rand) Update {
	l := Update{Full: rng.IntN(3) > 0, DrainsOnly: rng.IntN(6) == 0}
	if l.DrainsOnly {
		l.Full = false
	}
	for range rng.IntN(12) {
		name := fmt.Sprintf("n%d", rng.IntN(8))
		n := Node{Name: name, Addr: fmt.Sprintf("h:%d", rng.IntN(2)), State: decision.BackendState(rng.IntN(4)), Weight: 1}
		if rng.IntN(8) == 0 {
			n.Addr = ""
		}
		if rng.IntN(10) == 0 {
			l.Invalid = append(l.Invalid, name)
		} else {
			l.Nodes = append(l.Nodes, n)
		}
	}
	return l
}

// A list that is taken in steps of any size, with other sources' reports and ticks between them, ends where the same list in one piece ends
// with those behind it or before it; and between two steps nothing is sent that the list takes out, or that neither it nor the state before it had ready.
func TestStepsComeToWhatOnePieceDoes(t *testing.T) {
	for seed := range uint64(4000) {
		rng := rand.New(rand.NewPCG(seed, 17))
		rules := Policy{MaxNodes: []int{4, 100}[rng.IntN(2)]}
		whole, steps := NewTable(rules, sourceInfos("a!", "b!")...), NewTable(rules, sourceInfos("a!", "b!")...)
		one, other, words := mirror{}, mirror{}, map[string]Node{}
		for round := range 12 {
			at := time.Duration(round) * sec
			l := randomUpdate(rng)
			cs, badOne := whole.Report(at, "a", l, startOffset)
			last := map[string]decision.BackendState{} // what the list comes to
			for _, n := range l.Nodes {
				if l.DrainsOnly || n.Check() == nil {
					last[n.Name] = n.State
				}
			}
			before := map[string]bool{}
			for name := range one {
				before[name] = true
			}
			one.apply(cs)
			applyInOrder(words, l)
			badSteps := 0
			walk := steps.BeginMerge("a", l, startOffset)
			for more, n := true, 0; more; n++ {
				var cs []Change
				var bad []error
				cs, bad, more = walk.Next(at, 1+rng.IntN(3))
				badSteps += len(bad)
				for _, name := range other.apply(cs) {
					if state, named := last[name]; !named || state != decision.Ready && (before[name] || !namedTwice(l, name)) {
						t.Fatalf("seed %d, round %d: step %d makes %s ready; the list: %+v", seed, round, n, name, l)
					}
				}
				if rng.IntN(3) == 0 {
					other.apply(steps.Tick(at))
				}
			}
			if badSteps != len(badOne) {
				t.Fatalf("seed %d, round %d: %d entries that make no sense in steps, %d in one piece", seed, round, badSteps, len(badOne))
			}
			if !maps.EqualFunc(one, other, func(a, b Change) bool { a.ID, b.ID = 0, 0; return a == b }) || whole.SkippedEntries() != steps.SkippedEntries() {
				t.Fatalf("seed %d, round %d: in steps %+v, in one piece %+v, by %+v", seed, round, other, one, l)
			}
			if rules.MaxNodes == 100 && !maps.EqualFunc(one, words, func(c Change, n Node) bool {
				return c.Addr == n.Addr && (c.State == decision.Ready) == (n.State == decision.Ready)
			}) {
				t.Fatalf("seed %d, round %d: %+v, by the words themselves %+v, by %+v", seed, round, one, words, l)
			}
		}
	}
}

// applyInOrder follows a list's words as they stand in it, one after another.
func applyInOrder(words map[string]Node, l Update) {
	named := map[string]bool{}
	for _, name := range l.Invalid {
		named[name] = true
	}
	for _, n := range l.Nodes {
		named[n.Name] = true
		known, there := words[n.Name]
		switch {
		case l.DrainsOnly && there:
			known.State = decision.Draining
			words[n.Name] = known
		case l.DrainsOnly || n.Check() != nil:
		case n.State == decision.Removed:
			delete(words, n.Name)
		default:
			if n.Addr == "" {
				n.Addr = known.Addr
			}
			words[n.Name] = n
		}
	}
	if l.Full {
		maps.DeleteFunc(words, func(name string, _ Node) bool { return !named[name] })
	}
}

// namedTwice tells whether a list names a node more than once.
func namedTwice(l Update, name string) bool {
	n := 0
	for _, node := range l.Nodes {
		if node.Name == name {
			n++
		}
	}
	return n > 1
}

// What drains comes in front of all else, what is gone by not being named behind it, and another source's word between two steps counts at once.
func TestTheOrderOfSteps(t *testing.T) {
	r := newTableTest(t, Policy{}, "s!", "t!")
	r.full(0, "s", "a b c d", "a#1:ready; b#2:ready; c#3:ready; d#4:ready")
	walk := r.tb.BeginMerge("s", Update{Full: true, Nodes: parseNodes("e a f b:draining g d")}, startOffset)
	next := func(n int, want string, wantMore bool) {
		t.Helper()
		cs, _, more := walk.Next(sec, n)
		r.want(sec, cs, want)
		if more != wantMore {
			t.Errorf("%q: more %v", want, more)
		}
	}
	next(1, "b#2:draining", true)
	next(1, "e#5:ready", true)
	r.changes(sec, "t", "d:draining", "d#4:draining")
	next(1, "", true)
	next(3, "f#6:ready; g#7:ready", true)
	next(1, "", true)
	next(math.MaxInt, "c#3:gone", false)
	next(1, "", false)
}

// Nodes that a list has draining before it has ended drain if they are known, whatever becomes of the list; nothing else comes of it.
func TestEarlyDrains(t *testing.T) {
	r := newTableTest(t, Policy{}, "s!", "t!")
	r.full(0, "s", "a b", "a#1:ready; b#2:ready")
	r.full(0, "t", "c", "c#3:ready")
	early := Update{DrainsOnly: true, Nodes: []Node{{Name: "a", State: decision.Draining}, {Name: "c", State: decision.Draining}, {Name: "z", State: decision.Draining}}}
	cs, bad := r.tb.Report(sec, "s", early, startOffset)
	r.want(sec, cs, "a#1:draining; c#3:draining")
	if len(bad) > 0 || r.tb.Len() != 3 || cs[0].Addr != "h:a" || cs[0].Replaced {
		t.Errorf("%v, %d nodes, %+v", bad, r.tb.Len(), cs[0])
	}
	r.full(2*sec, "s", "a b", "a#1:ready; c#3:ready") // it says nothing of c
}

// A whole list takes the place of one that filled the table.
func TestRoomThatAListMakes(t *testing.T) {
	r := newTableTest(t, Policy{MaxNodes: 3}, "s!")
	r.full(0, "s", "a b c", "a#1:ready; b#2:ready; c#3:ready")
	r.full(sec, "s", "x c y z", "a#1:gone; b#2:gone; x#4:ready; y#5:ready")
	if r.tb.SkippedEntries() != 1 {
		t.Errorf("%d were passed over", r.tb.SkippedEntries())
	}
}
