package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pumicecroft/decision"
)

// A drain applies at once. A node that reports ready again is put in probation first, for longer after each outage.
func TestFlappingNodeServesLongerProbation(t *testing.T) {
	tt := newTableTest(t, Policy{ProbationMin: sec, ProbationMax: 5 * sec, ProbationReset: 20 * sec}, "s")
	tt.partial(0, "s", "a", "a#1:ready")
	at := time.Duration(0)
	for i, probation := range []time.Duration{1 * sec, 2 * sec, 4 * sec, 5 * sec, 5 * sec} {
		at += sec
		tt.partial(at, "s", "a:draining", "a#1:draining")
		at += sec / 2
		tt.partial(at, "s", "a", "")
		tt.wantStatus("a", fmt.Sprintf("suspect since %v by s, until %v", at, at+probation))
		tt.tick(at+probation-1, "")
		at += probation
		if next, ok := tt.table.Next(); !ok || next != at {
			t.Errorf("outage %d: Next returns %v, %v, want %v, true", i, next, ok, at)
		}
		tt.tick(at, "a#1:ready")
	}
	// While the node stays healthy, its outages are forgotten one after another.
	tt.tick(at+35*sec, "")
	if got := tt.table.Statuses()[0].RecentOutages; got != 3 {
		t.Errorf("%d recent outages, want 3", got)
	}
	tt.tick(at+200*sec, "")
	if _, ok := tt.table.Next(); ok || tt.table.Statuses()[0].RecentOutages != 0 {
		t.Errorf("%d recent outages and something scheduled: %v, want 0 and false", tt.table.Statuses()[0].RecentOutages, ok)
	}
	tt.partial(at+201*sec, "s", "a:draining", "a#1:draining")
	tt.partial(at+202*sec, "s", "a", "")
	tt.tick(at+203*sec, "a#1:ready")
}

// A health check flaps every second for a minute. The node must not become Ready again, and the decision engine
// must not get a change for each flap.
func TestFlappingEverySecondEmitsFewChanges(t *testing.T) {
	table := NewTable(Policy{}, sourceInfos("s")...)
	readyCount, changeCount := 0, 0
	ready := false
	record := func(changes []Change) {
		for _, c := range changes {
			changeCount++
			if ready = c.State == decision.Ready; ready {
				readyCount++
			}
		}
	}
	for half := range 120 {
		at := time.Duration(half) * sec / 2
		state := []decision.BackendState{decision.Ready, decision.Draining}[half%2]
		changes, _ := table.Report(at, "s", Update{Nodes: []Node{{Name: "a", Addr: "h:1", State: state}}}, startOffset)
		record(changes)
		if state == decision.Draining && ready {
			t.Fatalf("at %v the node is ready, want draining", at)
		}
		for next, ok := table.Next(); ok && next < at+sec/2; next, ok = table.Next() {
			record(table.Tick(next))
		}
	}
	if readyCount > 1 || changeCount > 3 {
		t.Errorf("ready %d times, %d changes, want at most 1 and at most 3", readyCount, changeCount)
	}
}

// A node is removed and registered again under the same name every second. It is put in probation like a node whose
// health check flaps, and the number of tombstones stays bounded.
func TestReturningNodeIsPutInProbation(t *testing.T) {
	tt := newTableTest(t, Policy{}, "s")
	tt.partial(0, "s", "a b", "a#1:ready; b#2:ready")
	readyCount, changeCount := 0, 0
	for i := range 60 {
		now := time.Duration(i+1) * sec
		entry := []string{"a:gone", "a"}[i%2]
		ticked := slices.Clone(tt.table.Tick(now))
		reported := changesOf(tt.table.Report(now, "s", Update{Nodes: parseNodes(entry)}, startOffset))
		for _, changes := range [][]Change{ticked, reported} {
			for _, c := range changes {
				changeCount++
				if c.State == decision.Ready {
					readyCount++
				}
				if c.Name != "a" {
					t.Errorf("change of another node than a: %+v", c)
				}
			}
		}
	}
	if readyCount > 1 || changeCount > 62 {
		t.Errorf("ready %d times, %d changes, want at most 1 and at most 62", readyCount, changeCount)
	}
	tt.partial(70*sec, "s", "a:gone", "a#32:gone")
	tt.partial(20*60*sec, "s", "a", "a#33:ready") // its tombstone has expired
	if len(tt.table.tombstones) > 0 || len(tt.table.tombstoneOrder) > 0 {
		t.Errorf("%d tombstones, %d in order, want none", len(tt.table.tombstones), len(tt.table.tombstoneOrder))
	}
	for i := range 30_000 { // always new names, removed at once
		tt.partial(21*60*sec, "s", fmt.Sprintf("n%d", i), fmt.Sprintf("n%d#%d:ready", i, 34+i))
		tt.partial(21*60*sec, "s", fmt.Sprintf("n%d:gone", i), fmt.Sprintf("n%d#%d:gone", i, 34+i))
	}
	if len(tt.table.tombstones) > 20_001 || len(tt.table.tombstoneOrder) > 20_001 {
		t.Errorf("%d tombstones, %d in order, want at most 20001", len(tt.table.tombstones), len(tt.table.tombstoneOrder))
	}
}
