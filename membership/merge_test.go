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

// appliedChanges holds the last change of each node, as a consumer of a table's changes would.
type appliedChanges map[string]Change

// apply applies changes and returns the nodes that became ready.
func (m appliedChanges) apply(changes []Change) (ready []string) {
	for _, c := range changes {
		switch previous, known := m[c.Name]; {
		case c.State == decision.Removed:
			delete(m, c.Name)
			continue
		case c.State == decision.Ready && (!known || previous.State != decision.Ready):
			ready = append(ready, c.Name)
		}
		c.Replaced = false
		m[c.Name] = c
	}
	return ready
}

// randomUpdate returns an update of a few nodes, some of which may be named more than once or be invalid.
func randomUpdate(rng *rand.Rand) Update {
	update := Update{Full: rng.IntN(3) > 0, DrainsOnly: rng.IntN(6) == 0}
	if update.DrainsOnly {
		update.Full = false
	}
	for range rng.IntN(12) {
		name := fmt.Sprintf("n%d", rng.IntN(8))
		n := Node{Name: name, Addr: fmt.Sprintf("h:%d", rng.IntN(2)), State: decision.BackendState(rng.IntN(4)), Weight: 1}
		if rng.IntN(8) == 0 {
			n.Addr = ""
		}
		if rng.IntN(10) == 0 {
			update.Invalid = append(update.Invalid, name)
		} else {
			update.Nodes = append(update.Nodes, n)
		}
	}
	return update
}

// A long update is merged in steps, and requests are routed between them. For any step size, and with ticks
// between steps, the result must be that of merging the update at once. In between, a node may become ready only
// if the update's last entry for it says so, or, for a new node, an earlier entry.
func TestMergeInStepsEqualsReport(t *testing.T) {
	for seed := range uint64(4000) {
		rng := rand.New(rand.NewPCG(seed, 17))
		policy := Policy{MaxNodes: []int{4, 100}[rng.IntN(2)]}
		atOnce, inSteps := NewTable(policy, sourceInfos("a!", "b!")...), NewTable(policy, sourceInfos("a!", "b!")...)
		want, got, modelNodes := appliedChanges{}, appliedChanges{}, map[string]Node{}
		for round := range 12 {
			at := time.Duration(round) * sec
			update := randomUpdate(rng)
			changes, wantInvalid := atOnce.Report(at, "a", update, startOffset)
			last := map[string]decision.BackendState{} // by the last entry of each node
			for _, n := range update.Nodes {
				if update.DrainsOnly || n.Check() == nil {
					last[n.Name] = n.State
				}
			}
			before := map[string]bool{}
			for name := range want {
				before[name] = true
			}
			want.apply(changes)
			applyInOrder(modelNodes, update)
			invalidInSteps := 0
			merge := inSteps.BeginMerge("a", update, startOffset)
			for more, step := true, 0; more; step++ {
				var changes []Change
				var invalid []error
				changes, invalid, more = merge.Next(at, 1+rng.IntN(3))
				invalidInSteps += len(invalid)
				for _, name := range got.apply(changes) {
					state, named := last[name]
					if !named || state != decision.Ready && (before[name] || !namedTwice(update, name)) {
						t.Fatalf("seed %d, round %d: step %d makes %s ready, update %+v", seed, round, step, name, update)
					}
				}
				if rng.IntN(3) == 0 {
					got.apply(inSteps.Tick(at))
				}
			}
			if invalidInSteps != len(wantInvalid) {
				t.Fatalf("seed %d, round %d: %d invalid entries in steps, %d at once",
					seed, round, invalidInSteps, len(wantInvalid))
			}
			if !maps.EqualFunc(want, got, func(a, b Change) bool { a.ID, b.ID = 0, 0; return a == b }) ||
				atOnce.SkippedEntries() != inSteps.SkippedEntries() {
				t.Fatalf("seed %d, round %d: merged in steps %+v, at once %+v, update %+v", seed, round, got, want, update)
			}
			if policy.MaxNodes == 100 && !maps.EqualFunc(want, modelNodes, func(c Change, n Node) bool {
				return c.Addr == n.Addr && (c.State == decision.Ready) == (n.State == decision.Ready)
			}) {
				t.Fatalf("seed %d, round %d: merged %+v, entries applied in order %+v, update %+v",
					seed, round, want, modelNodes, update)
			}
		}
	}
}

// applyInOrder applies an update's entries one after another, in the update's order. It serves as a model.
func applyInOrder(nodes map[string]Node, update Update) {
	named := map[string]bool{}
	for _, name := range update.Invalid {
		named[name] = true
	}
	for _, n := range update.Nodes {
		named[n.Name] = true
		known, ok := nodes[n.Name]
		switch {
		case update.DrainsOnly && ok:
			known.State = decision.Draining
			nodes[n.Name] = known
		case update.DrainsOnly || n.Check() != nil:
		case n.State == decision.Removed:
			delete(nodes, n.Name)
		default:
			if n.Addr == "" {
				n.Addr = known.Addr
			}
			nodes[n.Name] = n
		}
	}
	if update.Full {
		maps.DeleteFunc(nodes, func(name string, _ Node) bool { return !named[name] })
	}
}

// namedTwice reports whether an update names a node more than once.
func namedTwice(update Update, name string) bool {
	n := 0
	for _, node := range update.Nodes {
		if node.Name == name {
			n++
		}
	}
	return n > 1
}

// Drains are merged before all other entries, and missing nodes are removed after them. Another source's report
// between two steps applies at once.
func TestMergeTakesDrainsFirst(t *testing.T) {
	tt := newTableTest(t, Policy{}, "s!", "t!")
	tt.full(0, "s", "a b c d", "a#1:ready; b#2:ready; c#3:ready; d#4:ready")
	merge := tt.table.BeginMerge("s", Update{Full: true, Nodes: parseNodes("e a f b:draining g d")}, startOffset)
	next := func(n int, want string, wantMore bool) {
		t.Helper()
		changes, _, more := merge.Next(sec, n)
		tt.want(sec, changes, want)
		if more != wantMore {
			t.Errorf("step with changes %q: more is %v, want %v", want, more, wantMore)
		}
	}
	next(1, "b#2:draining", true)
	next(1, "e#5:ready", true)
	tt.partial(sec, "t", "d:draining", "d#4:draining")
	next(1, "", true)
	next(3, "f#6:ready; g#7:ready", true)
	next(1, "", true)
	next(math.MaxInt, "c#3:gone", false)
	next(1, "", false)
}

// A source reports the drains of an update before it has received the rest. Those of known nodes apply even if the
// rest never arrives; nothing else may change.
func TestDrainsOnlyUpdate(t *testing.T) {
	tt := newTableTest(t, Policy{}, "s!", "t!")
	tt.full(0, "s", "a b", "a#1:ready; b#2:ready")
	tt.full(0, "t", "c", "c#3:ready")
	early := Update{DrainsOnly: true, Nodes: []Node{
		{Name: "a", State: decision.Draining}, {Name: "c", State: decision.Draining}, {Name: "z", State: decision.Draining},
	}}
	changes, invalid := tt.table.Report(sec, "s", early, startOffset)
	tt.want(sec, changes, "a#1:draining; c#3:draining")
	if len(invalid) > 0 || tt.table.Len() != 3 || changes[0].Addr != "h:a" || changes[0].Replaced {
		t.Errorf("invalid entries %v, %d nodes, first change %+v; want none, 3, and h:a not replaced",
			invalid, tt.table.Len(), changes[0])
	}
	tt.full(2*sec, "s", "a b", "a#1:ready; c#3:ready") // c is not a node of s
}

// A full update replaces the nodes of a table that holds MaxNodes. Entries that don't fit at first must be merged
// after the missing nodes are removed.
func TestFullUpdateReplacesFullTable(t *testing.T) {
	tt := newTableTest(t, Policy{MaxNodes: 3}, "s!")
	tt.full(0, "s", "a b c", "a#1:ready; b#2:ready; c#3:ready")
	tt.full(sec, "s", "x c y z", "a#1:gone; b#2:gone; x#4:ready; y#5:ready")
	if tt.table.SkippedEntries() != 1 {
		t.Errorf("%d entries were skipped, want 1", tt.table.SkippedEntries())
	}
}
