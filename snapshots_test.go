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

// A customer uses up its burst and the gateway restarts: the snapshot must keep it from a fresh burst. A gateway that
// finds no snapshot, or one that another process has open, begins with customers that have used theirs up; without a
// directory nothing is kept, and all begin with their bursts.
func TestSnapshotOutlivesProcess(t *testing.T) {
	addr := testkit.Serve(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "done") })
	dir := t.TempDir()
	var said bytes.Buffer
	begin := func(dir string) *Gateway {
		t.Helper()
		d, err := New(Config{Seed: 1, StateDir: dir, Settings: decision.Settings{CanCancel: true, MaxRetryAfter: time.Second,
			Classes: []decision.Class{{Name: "look", LatencyObjective: 10 * time.Second, Deadline: 20 * time.Second, PriorityWeight: 1}},
			Plans:   []decision.Plan{{Name: "shop", Rate: 0.01, Burst: 40, Price: 1}}}},
			WithLogger(slog.New(slog.NewTextHandler(&said, nil))))
		if err != nil {
			t.Fatal(err)
		}
		d.Update(membership.Update{Full: true, Nodes: []membership.Node{{Name: "b", Addr: addr, Weight: 1}}})
		return d
	}
	served := func(d *Gateway, customer uint64, tries int) (n int) {
		t.Helper()
		for range tries {
			if _, err := d.Do(t.Context(), Request{Class: "look", Plan: "shop", Customer: customer}); err == nil {
				n++
			}
		}
		return n
	}
	end := func(d *Gateway) {
		t.Helper()
		if err := d.Close(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	d := begin(dir)
	if n := served(d, 1, 5); n != 0 || !strings.Contains(said.String(), "no snapshot found") {
		t.Errorf("%d served of a burst that nobody knows of: %s", n, &said)
	}
	end(d)
	d = begin(dir)
	if n := served(d, 1, 5); n != 0 {
		t.Errorf("%d served after two restarts of whom neither process knew anything", n)
	}
	end(d)
	young := recovery.Snapshot{GatewayCount: 1, TakenAt: time.Now(), SettingsDigest: recovery.SettingsDigest(d.Settings()), Complete: true}
	text, err := recovery.Encode(&young)
	if err == nil {
		err = os.WriteFile(snapshotfile.Path(dir, 0), text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	d = begin(dir)
	if n := served(d, 2, 20); n != 20 {
		t.Errorf("%d of 20 served of who is known to owe nothing", n)
	}
	second := begin(dir) // by mistake
	if n := served(second, 2, 5); n != 0 || !strings.Contains(said.String(), "in use by another process") {
		t.Errorf("%d served by a second gateway of the same number: %s", n, &said)
	}
	end(second)
	end(d)
	d = begin(dir)
	if n := served(d, 2, 60); n == 0 || n > 16 {
		t.Errorf("%d served after a restart, 20 of 40 were before and some stay back", n)
	}
	end(d)
	if err := os.Truncate(snapshotfile.Path(dir, 0), 100); err != nil {
		t.Fatal(err)
	}
	d = begin(dir)
	if n := served(d, 3, 5); n != 0 || !strings.Contains(said.String(), "torn") {
		t.Errorf("%d served with what was kept torn: %s", n, &said)
	}
	end(d)
	d = begin("")
	if n := served(d, 1, 20); n != 20 {
		t.Errorf("%d of 20 served where nothing is kept", n)
	}
	end(d)
}
