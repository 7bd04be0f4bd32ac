package membership

import (
	"testing"
	"time"
)

// A source's full update lacks most of its nodes. They are removed only after a second update confirms this and
// a delay has passed; the delay is longer if the update is empty or the source was reset. The update's reports
// on the nodes that it names apply at once.
func TestMassRemoval(t *testing.T) {
	all := "a b c d e f"
	ready := "a#1:ready; b#2:ready; c#3:ready; d#4:ready; e#5:ready; f#6:ready"
	t.Run("most nodes missing", func(t *testing.T) {
		tt := newTableTest(t, Policy{}, "s")
		tt.full(0, "s", all, ready)
		tt.full(1*sec, "s", "a b:draining g", "b#2:draining; g#7:ready") // four of six are missing
		tt.wantStatus("c", "ready since 0s by s")
		if !hasPendingRemoval(tt.table, "s") {
			t.Error("no removal is pending, want one")
		}
		tt.tick(10*sec, "") // only one update lacked them
		tt.full(11*sec, "s", "a b:draining d g", "c#3:gone; e#5:gone; f#6:gone")
		tt.wantStatus("d", "ready since 0s by s")
		if hasPendingRemoval(tt.table, "s") {
			t.Error("a removal is pending, want none")
		}
	})
	t.Run("confirmed before the delay ends", func(t *testing.T) {
		tt := newTableTest(t, Policy{}, "s")
		tt.full(0, "s", all, ready)
		tt.full(1*sec, "s", "a b", "")
		tt.full(1200*time.Millisecond, "s", "a b", "")
		if at, ok := tt.table.Next(); !ok || at != 2500*time.Millisecond {
			t.Errorf("Next returns %v, %v, want 2.5s, true", at, ok)
		}
		tt.tick(2499*time.Millisecond, "")
		tt.tick(2500*time.Millisecond, "") // due, but no update has come since
		if at, ok := tt.table.Next(); ok {
			t.Errorf("Next returns %v, want nothing scheduled until the source reports", at)
		}
		tt.full(3*sec, "s", "a b", "c#3:gone; d#4:gone; e#5:gone; f#6:gone")
		tt.full(4*sec, "s", all, "c#7:draining; d#8:draining; e#9:draining; f#10:draining") // back, on probation first
		tt.tick(5*sec, "c#7:ready; d#8:ready; e#9:ready; f#10:ready")
	})
	// A node that goes missing after most others is not removed at once, either.
	t.Run("nodes missing in several updates", func(t *testing.T) {
		tt := newTableTest(t, Policy{}, "s")
		tt.full(0, "s", all, ready)
		tt.full(1*sec, "s", "a b", "")
		tt.full(2*sec, "s", "a", "") // the delay of b begins now
		tt.tick(2500*time.Millisecond, "")
		tt.full(2600*time.Millisecond, "s", "a", "c#3:gone; d#4:gone; e#5:gone; f#6:gone")
		tt.wantStatus("b", "ready since 0s by s")
		tt.tick(3500*time.Millisecond, "")
		tt.full(3600*time.Millisecond, "s", "a b", "") // b was not removed
		tt.full(4*sec, "s", "a", "b#2:gone")           // one of two known nodes is no mass removal
	})
	t.Run("half of the nodes missing", func(t *testing.T) {
		tt := newTableTest(t, Policy{}, "s")
		tt.full(0, "s", all, ready)
		tt.full(1*sec, "s", "a b c", "d#4:gone; e#5:gone; f#6:gone")
		tt.full(2*sec, "s", "a", "b#2:gone; c#3:gone") // two are fewer than MassRemovalMin
	})
	t.Run("empty update", func(t *testing.T) {
		tt := newTableTest(t, Policy{}, "s")
		tt.full(0, "s", "a", "a#1:ready")
		tt.full(1*sec, "s", "", "")
		tt.full(2*sec, "s", "", "")
		tt.tick(300*sec, "")
		tt.full(300*sec, "s", "a", "") // back, without a change
		tt.tick(400*sec, "")
		tt.full(401*sec, "s", "", "")
		tt.full(402*sec, "s", "", "")
		tt.tick(701*sec, "")
		tt.tick(702*sec, "")
		tt.full(703*sec, "s", "", "a#1:gone")
	})
	t.Run("source reset", func(t *testing.T) {
		tt := newTableTest(t, Policy{}, "s")
		tt.full(0, "s", all, ready)
		reset := Update{Full: true, SourceReset: true, Nodes: parseNodes("a b")}
		tt.want(1*sec, changesOf(tt.table.Report(1*sec, "s", reset, startOffset)), "")
		tt.full(10*sec, "s", "a b c d e", "")       // f is still missing since the reset
		tt.full(11*sec, "s", "a b c d", "e#5:gone") // only e and f are missing: no mass removal
		tt.wantStatus("f", "ready since 0s by s")
		tt.tick(301*sec, "")
		tt.full(310*sec, "s", "a b c d", "f#6:gone")
	})
	t.Run("source fails during the delay", func(t *testing.T) {
		tt := newTableTest(t, Policy{}, "s")
		tt.full(0, "s", all, ready)
		tt.full(1*sec, "s", "a b", "")
		tt.full(2*sec, "s", "a b", "")
		reportFailure(tt.table, 2200*time.Millisecond, "s")
		tt.tick(60*sec, "")
		tt.full(61*sec, "s", "a b", "") // the first confirmation since the failure
		tt.tick(64*sec, "")
		tt.full(65*sec, "s", "a b", "c#3:gone; d#4:gone; e#5:gone; f#6:gone")
	})
	t.Run("trusted source", func(t *testing.T) {
		tt := newTableTest(t, Policy{}, "s!")
		tt.full(0, "s", all, ready)
		tt.full(1*sec, "s", "", "a#1:gone; b#2:gone; c#3:gone; d#4:gone; e#5:gone; f#6:gone")
		tt.full(2*sec, "s", "a", "a#7:ready")
		tt.partial(3*sec, "s", "a:draining", "a#7:draining")
		tt.partial(4*sec, "s", "a", "a#7:ready")
	})
}

// A mass removal comes due while the process is paused. The update that is read after the pause may have been sent
// before it, so it does not confirm the removal, and the delay starts over. After the pause, the table may notice the
// time that has passed in a Tick or only in the next update.
func TestMassRemovalAcrossPause(t *testing.T) {
	for _, ticks := range []bool{false, true} {
		tt := newTableTest(t, Policy{}, "s")
		tt.full(0, "s", "a b c d e f", "a#1:ready; b#2:ready; c#3:ready; d#4:ready; e#5:ready; f#6:ready")
		tt.full(1*sec, "s", "a", "")
		tt.full(1200*time.Millisecond, "s", "a", "")
		if ticks {
			tt.tick(4*sec, "")
		}
		tt.full(4*sec, "s", "a", "") // sent before or during the pause
		tt.full(4100*time.Millisecond, "s", "a b", "")
		tt.tick(5400*time.Millisecond, "")
		tt.full(5500*time.Millisecond, "s", "a b", "c#3:gone; d#4:gone; e#5:gone; f#6:gone")
	}
}
