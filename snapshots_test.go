package pumicecroft

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/snapshotfile"
	"pumicecroft/internal/testkit"
	"pumicecroft/membership"
	"pumicecroft/recovery"
)

// A gateway restarts after a customer has used up its burst: with the snapshot, the customer must not get a fresh one.
// A gateway that finds no snapshot, a damaged one or one in use by another process must assume that all customers have
// used up their bursts. Without a StateDir nothing is stored, and all customers start with full bursts.
func TestSnapshotOutlivesProcess(t *testing.T) {
	addr := testkit.Serve(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "done") })
	dir := t.TempDir()
	var logged bytes.Buffer
	start := func(dir string) *Gateway {
		t.Helper()
		g, err := New(Config{Seed: 1, StateDir: dir, Settings: decision.Settings{CanCancel: true, MaxRetryAfter: time.Second,
			Classes: []decision.Class{
				{Name: "look", LatencyObjective: 10 * time.Second, Deadline: 20 * time.Second, PriorityWeight: 1}},
			Plans: []decision.Plan{{Name: "shop", Rate: 0.01, Burst: 40, Price: 1}}}},
			WithLogger(slog.New(slog.NewTextHandler(&logged, nil))))
		if err != nil {
			t.Fatal(err)
		}
		g.Update(membership.Update{Full: true, Nodes: []membership.Node{{Name: "b", Addr: addr, Weight: 1}}})
		return g
	}
	countServed := func(g *Gateway, customer uint64, requests int) (n int) {
		t.Helper()
		for range requests {
			if _, err := g.Do(t.Context(), Request{Class: "look", Plan: "shop", Customer: customer}); err == nil {
				n++
			}
		}
		return n
	}
	stop := func(g *Gateway) {
		t.Helper()
		if err := g.Close(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	g := start(dir)
	if n := countServed(g, 1, 5); n != 0 || !strings.Contains(logged.String(), "no snapshot found") {
		t.Errorf("without a snapshot: %d of 5 served, want 0, and %q logged; log:\n%s", n, "no snapshot found", &logged)
	}
	stop(g)
	g = start(dir)
	if n := countServed(g, 1, 5); n != 0 {
		t.Errorf("after a restart with the snapshot of a process that had none: %d of 5 served, want 0", n)
	}
	stop(g)
	fresh := recovery.Snapshot{GatewayCount: 1, TakenAt: time.Now(),
		SettingsDigest: recovery.SettingsDigest(g.Settings()), Complete: true}
	encoded, err := recovery.Encode(&fresh)
	if err == nil {
		err = os.WriteFile(snapshotfile.Path(dir, 0), encoded, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	g = start(dir)
	if n := countServed(g, 2, 20); n != 20 {
		t.Errorf("with a complete snapshot in which the customer has no debt: %d of 20 served, want 20", n)
	}
	second := start(dir) // same StateDir and index while the first gateway is running
	if n := countServed(second, 2, 5); n != 0 || !strings.Contains(logged.String(), "in use by another process") {
		t.Errorf("second gateway with the same index: %d of 5 served, want 0, and %q logged; log:\n%s",
			n, "in use by another process", &logged)
	}
	stop(second)
	stop(g)
	g = start(dir)
	// The customer has used 20 of its burst of 40, and the restarted gateway keeps back a part of the rest.
	if n := countServed(g, 2, 60); n == 0 || n > 16 {
		t.Errorf("after a restart with 20 of a burst of 40 used: %d of 60 served, want 1 to 16", n)
	}
	stop(g)
	if err := os.Truncate(snapshotfile.Path(dir, 0), 100); err != nil {
		t.Fatal(err)
	}
	g = start(dir)
	if n := countServed(g, 3, 5); n != 0 || !strings.Contains(logged.String(), "torn") {
		t.Errorf("with a truncated snapshot: %d of 5 served, want 0, and %q logged; log:\n%s", n, "torn", &logged)
	}
	stop(g)
	g = start("")
	if n := countServed(g, 1, 20); n != 20 {
		t.Errorf("without a StateDir: %d of 20 served, want 20", n)
	}
	stop(g)
}
