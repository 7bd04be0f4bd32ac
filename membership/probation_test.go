package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pumicecroft/decision"
)

// A drain counts at once. A node that reports ready again is on probation first, for longer each time.
func TestFlappingNodeServesLongerProbation(t *testing.T) {
	tt := newTableTest(t, Policy{ProbationMin: sec, ProbationMax: 5 * sec, ProbationReset: 20 * sec}, "s")
	tt.delta(0, "s", "a", "a#1:ready")
	at := time.Duration(0)
	for i, hold := range []time.Duration{1 * sec, 2 * sec, 4 * sec, 5 * sec, 5 * sec} {
		at += sec
		tt.delta(at, "s", "a:draining", "a#1:draining")
		at += sec / 2
		tt.delta(at, "s", "a", "")
		tt.wantStatus("a", fmt.Sprintf("suspect since %v by s, until %v", at, at+hold))
		tt.tick(at+hold-1, "")
		at += hold
		if next, ok := tt.table.Next(); !ok || next != at {
			t.Errorf("time %d: next at %v %v, want %v", i, next, ok, at)
		}
		tt.tick(at, "a#1:ready")
	}
	// While it stays healthy, its outages are forgotten one after another.
	tt.tick(at+35*sec, "")
	if got := tt.table.Statuses()[0].RecentOutages; got != 3 {
		t.Errorf("%d times are remembered, want 3", got)
	}
	tt.tick(at+200*sec, "")
	if _, ok := tt.table.Next(); ok || tt.table.Statuses()[0].RecentOutages != 0 {
		t.Errorf("%d times are remembered for good", tt.table.Statuses()[0].RecentOutages)
	}
	tt.delta(at+201*sec, "s", "a:draining", "a#1:draining")
	tt.delta(at+202*sec, "s", "a", "")
	tt.tick(at+203*sec, "a#1:ready")
}

// A health check flaps every second for a minute. The node must be taken back a few times at most, and
// the decision engine must not be flooded with changes.
func TestFlappingEverySecondEmitsFewChanges(t *testing.T) {
	table := NewTable(Policy{}, sourceInfos("s")...)
	in, events := 0, 0
	ready := false
	see := func(changes []Change) {
		for _, c := range changes {
			events++
			if ready = c.State == decision.Ready; ready {
				in++
			}
		}
	}
	for half := range 120 {
		at := time.Duration(half) * sec / 2
		state := []decision.BackendState{decision.Ready, decision.Draining}[half%2]
		changes, _ := table.Report(at, "s", Update{Nodes: []Node{{Name: "a", Addr: "h:1", State: state}}}, startOffset)
		see(changes)
		if state == decision.Draining && ready {
			t.Fatalf("at %v it fails and is believed ready", at)
		}
		for next, ok := table.Next(); ok && next < at+sec/2; next, ok = table.Next() {
			see(table.Tick(next))
		}
	}
	if in > 1 || events > 3 {
		t.Errorf("taken back %d times in %d events", in-1, events)
	}
}

// A node is removed and registered again under the same name every second. It serves its probation like
// one whose health check flaps, and tombstones stay bounded.
func TestReturningNodeServesProbation(t *testing.T) {
	tt := newTableTest(t, Policy{}, "s")
	tt.delta(0, "s", "a b", "a#1:ready; b#2:ready")
	taken, events := 0, 0
	for i := range 60 {
		now := time.Duration(i+1) * sec
		entry := []string{"a:gone", "a"}[i%2]
		ticked := slices.Clone(tt.table.Tick(now))
		reported := changesOf(tt.table.Report(now, "s", Update{Nodes: parseNodes(entry)}, startOffset))
		for _, changes := range [][]Change{ticked, reported} {
			for _, c := range changes {
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
	tt.delta(70*sec, "s", "a:gone", "a#32:gone")
	tt.delta(20*60*sec, "s", "a", "a#33:ready") // long forgotten
	if len(tt.table.tombstones) > 0 || len(tt.table.tombstoneOrder) > 0 {
		t.Errorf("%d ghosts, %d in order", len(tt.table.tombstones), len(tt.table.tombstoneOrder))
	}
	for i := range 30_000 { // names that are ever new, gone at once
		tt.delta(21*60*sec, "s", fmt.Sprintf("n%d", i), fmt.Sprintf("n%d#%d:ready", i, 34+i))
		tt.delta(21*60*sec, "s", fmt.Sprintf("n%d:gone", i), fmt.Sprintf("n%d#%d:gone", i, 34+i))
	}
	if len(tt.table.tombstones) > 20_001 || len(tt.table.tombstoneOrder) > 20_001 {
		t.Errorf("%d ghosts, %d in order", len(tt.table.tombstones), len(tt.table.tombstoneOrder))
	}
}
