package membership

import (
	"testing"
	"time"
)

// A source's update lacks most of its nodes. They are removed after a delay and a confirmation; after a
// longer delay if the update is empty or the source was reset. What the update says of the nodes that it
// names counts at once.
func TestMassRemoval(t *testing.T) {
	all := "a b c d e f"
	ready := "a#1:ready; b#2:ready; c#3:ready; d#4:ready; e#5:ready; f#6:ready"
	t.Run("most", func(t *testing.T) {
		tt := newTableTest(t, Policy{}, "s")
		tt.full(0, "s", all, ready)
		tt.full(1*sec, "s", "a b:draining g", "b#2:draining; g#7:ready") // lacks four of six
		tt.wantStatus("c", "ready since 0s by s")
		if !hasPendingRemoval(tt.table, "s") {
			t.Error("it does not doubt")
		}
		tt.tick(10*sec, "") // it was said once only
		tt.full(11*sec, "s", "a b:draining d g", "c#3:gone; e#5:gone; f#6:gone")
		tt.wantStatus("d", "ready since 0s by s")
		if hasPendingRemoval(tt.table, "s") {
			t.Error("it doubts still")
		}
	})
	t.Run("said twice, then due", func(t *testing.T) {
		tt := newTableTest(t, Policy{}, "s")
		tt.full(0, "s", all, ready)
		tt.full(1*sec, "s", "a b", "")
		tt.full(1200*time.Millisecond, "s", "a b", "")
		if at, ok := tt.table.Next(); !ok || at != 2500*time.Millisecond {
			t.Errorf("next at %v, %v", at, ok)
		}
		tt.tick(2499*time.Millisecond, "")
		tt.tick(2500*time.Millisecond, "") // silence says nothing
		if at, ok := tt.table.Next(); ok {
			t.Errorf("it waits for its source alone, and for %v", at)
		}
		tt.full(3*sec, "s", "a b", "c#3:gone; d#4:gone; e#5:gone; f#6:gone")
		tt.full(4*sec, "s", all, "c#7:draining; d#8:draining; e#9:draining; f#10:draining") // back, and not trusted at once
		tt.tick(5*sec, "c#7:ready; d#8:ready; e#9:ready; f#10:ready")
	})
	t.Run("little by little", func(t *testing.T) { // one that loses the rest after most has lost more, not less
		tt := newTableTest(t, Policy{}, "s")
		tt.full(0, "s", all, ready)
		tt.full(1*sec, "s", "a b", "")
		tt.full(2*sec, "s", "a", "") // b counts from now
		tt.tick(2500*time.Millisecond, "")
		tt.full(2600*time.Millisecond, "s", "a", "c#3:gone; d#4:gone; e#5:gone; f#6:gone")
		tt.wantStatus("b", "ready since 0s by s")
		tt.tick(3500*time.Millisecond, "")
		tt.full(3600*time.Millisecond, "s", "a b", "") // and was not gone
		tt.full(4*sec, "s", "a", "b#2:gone")           // one of two that are left is no failure of the source
	})
	t.Run("half", func(t *testing.T) {
		tt := newTableTest(t, Policy{}, "s")
		tt.full(0, "s", all, ready)
		tt.full(1*sec, "s", "a b c", "d#4:gone; e#5:gone; f#6:gone")
		tt.full(2*sec, "s", "a", "b#2:gone; c#3:gone") // two are too few to be doubted
	})
	t.Run("all", func(t *testing.T) {
		tt := newTableTest(t, Policy{}, "s")
		tt.full(0, "s", "a", "a#1:ready")
		tt.full(1*sec, "s", "", "")
		tt.full(2*sec, "s", "", "")
		tt.tick(300*sec, "")
		tt.full(300*sec, "s", "a", "") // and is back as if nothing had been
		tt.tick(400*sec, "")
		tt.full(401*sec, "s", "", "")
		tt.full(402*sec, "s", "", "")
		tt.tick(701*sec, "")
		tt.tick(702*sec, "")
		tt.full(703*sec, "s", "", "a#1:gone")
	})
	t.Run("anew", func(t *testing.T) {
		tt := newTableTest(t, Policy{}, "s")
		tt.full(0, "s", all, ready)
		reset := Update{Full: true, SourceReset: true, Nodes: parseNodes("a b")}
		tt.want(1*sec, changesOf(tt.table.Report(1*sec, "s", reset, startOffset)), "")
		tt.full(10*sec, "s", "a b c d e", "")       // f alone is lacked, and still only not back yet
		tt.full(11*sec, "s", "a b c d", "e#5:gone") // e was back, and has gone since
		tt.wantStatus("f", "ready since 0s by s")
		tt.tick(301*sec, "")
		tt.full(310*sec, "s", "a b c d", "f#6:gone")
	})
	t.Run("fails meanwhile", func(t *testing.T) {
		tt := newTableTest(t, Policy{}, "s")
		tt.full(0, "s", all, ready)
		tt.full(1*sec, "s", "a b", "")
		tt.full(2*sec, "s", "a b", "")
		reportFailure(tt.table, 2200*time.Millisecond, "s")
		tt.tick(60*sec, "")
		tt.full(61*sec, "s", "a b", "") // once more, and since it failed
		tt.tick(64*sec, "")
		tt.full(65*sec, "s", "a b", "c#3:gone; d#4:gone; e#5:gone; f#6:gone")
	})
	t.Run("a plain source", func(t *testing.T) {
		tt := newTableTest(t, Policy{}, "s!")
		tt.full(0, "s", all, ready)
		tt.full(1*sec, "s", "", "a#1:gone; b#2:gone; c#3:gone; d#4:gone; e#5:gone; f#6:gone")
		tt.full(2*sec, "s", "a", "a#7:ready")
		tt.delta(3*sec, "s", "a:draining", "a#7:draining")
		tt.delta(4*sec, "s", "a", "a#7:ready")
	})
}

// A mass removal comes due while the process is paused. The update that is read after the pause may be as
// old as the first, so it confirms nothing: the delay starts anew.
func TestMassRemovalAcrossPause(t *testing.T) {
	for _, ticks := range []bool{false, true} {
		tt := newTableTest(t, Policy{}, "s")
		tt.full(0, "s", "a b c d e f", "a#1:ready; b#2:ready; c#3:ready; d#4:ready; e#5:ready; f#6:ready")
		tt.full(1*sec, "s", "a", "")
		tt.full(1200*time.Millisecond, "s", "a", "")
		if ticks {
			tt.tick(4*sec, "")
		}
		tt.full(4*sec, "s", "a", "") // it waited meanwhile
		tt.full(4100*time.Millisecond, "s", "a b", "")
		tt.tick(5400*time.Millisecond, "")
		tt.full(5500*time.Millisecond, "s", "a b", "c#3:gone; d#4:gone; e#5:gone; f#6:gone")
	}
}
