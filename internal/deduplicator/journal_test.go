package deduplicator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pumicecroft/idempotency"
	"pumicecroft/internal/journal"
	"pumicecroft/internal/simdisk"
)

// restartCases are requests before a restart, and the results of repeating them after it.
var restartCases = []struct {
	key  string
	run  func() Result
	want string // "new": the repeated request is executed
}{
	{"succeeded", succeedWith("a1"), "a1"},
	{"empty response", succeedWith(""), ""},
	{"too large", succeedWith(strings.Repeat("x", 100<<10)), "done"},
	{"not executed", failWith(idempotency.NotExecuted), "new"},
	{"unknown outcome", failWith(idempotency.Unknown), "undecided"},
}

// A process ends: by Close, by a kill, or by a crash of the machine that loses unsynced data. The next process
// must return the outcome of each key, and an unknown outcome for a request that was in flight.
func TestRestart(t *testing.T) {
	for _, how := range []string{"close", "kill", "crash"} {
		t.Run(how, func(t *testing.T) { testRestart(t, how) })
	}
}

func testRestart(t *testing.T, how string) {
	disk := newTestDisk()
	d := openOnDisk(t, disk, nil)
	for _, c := range restartCases {
		if _, err := request(d, c.key, c.run); err != nil && !errors.Is(err, errNoResponse) {
			t.Fatal(err)
		}
	}
	// When this request is executed, the records of the earlier ones are durable.
	if _, err := request(d, "last", succeedWith("")); err != nil {
		t.Fatal(err)
	}
	if how == "close" {
		if err := d.Close(context.Background()); err != nil {
			t.Fatal(err)
		}
	} else {
		started, release := make(chan bool), make(chan bool)
		go func() {
			_, _ = request(d, "in flight", func() Result { started <- true; <-release; return succeedWith("late")() })
		}()
		<-started
		disk.withDisk(func(s *simdisk.Disk) { disk = &testDisk{disk: s.Clone()} })
		if how == "crash" {
			disk.disk.Crash(rand.New(rand.NewPCG(1, 2)))
		}
		close(release)
		closeAtEnd(t, d)
	}
	next := openOnDisk(t, disk, nil)
	closeAtEnd(t, next)
	for _, c := range restartCases {
		if got, err := request(next, c.key, succeedWith("new")); got != c.want || err != nil {
			t.Errorf("repeated request %q: %q, error %v, want %q", c.key, got, err, c.want)
		}
	}
	if got, _ := request(next, "in flight", succeedWith("new")); how != "close" && got != "undecided" {
		t.Errorf("repeated request that was in flight: %q, want %q", got, "undecided")
	}
	got, err := next.Do(context.Background(), 1, "succeeded", idempotency.Fingerprint{2}, time.Second, nil)
	if err != nil || got.Verdict != idempotency.Conflict {
		t.Errorf("different request with an earlier key: verdict %v, error %v, want %v", got.Verdict, err,
			idempotency.Conflict)
	}
}

// The disk is full, fails or hangs. Requests must be executed or rejected, as configured, without waiting for
// longer than WriteTimeout. Their outcomes must be on disk once it works again.
func TestJournalFailure(t *testing.T) {
	for _, how := range []string{"full", "fails", "hangs"} {
		for _, reject := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reject %v", how, reject), func(t *testing.T) { testJournalFailure(t, how, reject) })
		}
	}
}

func testJournalFailure(t *testing.T, how string, reject bool) {
	const requests = 20
	disk := newTestDisk()
	d := openOnDisk(t, disk, func(config *JournalConfig) {
		config.RejectOnFailure = reject
		if how == "hangs" {
			config.WriteTimeout = 20 * time.Millisecond
		}
	})
	if got, err := request(d, "before", succeedWith("b")); got != "b" || err != nil {
		t.Fatalf("request before the failure: %q, error %v, want %q", got, err, "b")
	}
	release := make(chan struct{})
	breakDisk(disk, how, release)
	for i := range requests {
		ran := false
		got, err := request(d, fmt.Sprint("k", i), func() Result { ran = true; return succeedWith("a")() })
		if reject && (ran || !errors.Is(err, ErrNotPersisted)) || !reject && (got != "a" || err != nil) {
			t.Fatalf("request %d: %q, error %v, executed: %v; want it rejected: %v", i, got, err, ran, reject)
		}
	}
	if got, err := request(d, "before", succeedWith("new")); got != "b" || err != nil {
		t.Errorf("key from before the failure: %q, error %v, want %q", got, err, "b")
	}
	if _, err := d.JournalUsage(); (err != nil) != (how != "hangs") {
		t.Errorf("JournalUsage returned error %v; want an error: %v", err, how != "hangs")
	}
	disk.withDisk(func(s *simdisk.Disk) { s.Fault, s.Capacity = nil, 0 })
	disk.setHang(nil)
	close(release)
	awaitJournal(t, d)
	if err := d.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	next := openOnDisk(t, disk, nil)
	closeAtEnd(t, next)
	for i := range requests {
		want := "a"
		if reject {
			want = "new"
		}
		got, err := request(next, fmt.Sprint("k", i), succeedWith("new"))
		if how == "fails" && reject && got == "undecided" && i == 0 {
			continue // its record may be on disk although the write failed, and its removal could not be written
		}
		if got != want || err != nil {
			t.Errorf("request %d repeated after a restart: %q, error %v, want %q", i, got, err, want)
		}
	}
}

// Guards against results that are late because a request waited for a hanging disk until its deadline. It must stop
// DeadlineMargin before that, both before its execution and with its response.
func TestHangingDiskLeavesDeadlineMargin(t *testing.T) {
	for _, hangs := range []string{"before", "during"} { // the execution
		t.Run(hangs, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { testDeadlineMargin(t, hangs) }) })
	}
}

func testDeadlineMargin(t *testing.T, hangs string) {
	const margin = 20 * time.Millisecond
	disk, release := newTestDisk(), make(chan struct{})
	d := openOnDisk(t, disk, func(config *JournalConfig) { config.DeadlineMargin = margin })
	closeAtEnd(t, d)
	defer close(release)
	if hangs == "before" {
		disk.setHang(release)
	}
	start := time.Now()
	got, err := request(d, "key", func() Result {
		disk.setHang(release)
		return succeedWith("a")()
	})
	if elapsed := time.Since(start); got != "a" || err != nil || elapsed != requestTimeout-margin {
		t.Errorf("got %q, error %v, after %v, want %q after %v", got, err, elapsed, "a", requestTimeout-margin)
	}
}

// breakDisk makes a disk full, fail, or hang until release is closed.
func breakDisk(disk *testDisk, how string, release chan struct{}) {
	switch how {
	case "full":
		disk.withDisk(func(s *simdisk.Disk) { s.Capacity = s.Bytes() + 1 })
	case "fails":
		disk.withDisk(func(s *simdisk.Disk) { s.Fault = func(journal.Op) error { return simdisk.ErrIO } })
	case "hangs":
		disk.setHang(release)
	}
}

// awaitJournal waits until the journal has recovered and all its records are on disk.
func awaitJournal(t *testing.T, d *Deduplicator) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		u, err := d.JournalUsage()
		if err == nil && u.UnwrittenBytes == 0 && u.PendingBytes == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the journal has not recovered after 20 s: usage %+v, error %v", u, err)
		}
	}
}

// Many requests run at once, and some are repeated after a restart. Each must be executed exactly once.
func TestRestart_RepeatsHaveOneEffect(t *testing.T) {
	disk := newTestDisk()
	var effects [400]atomic.Int32
	requestAll := func(d *Deduplicator, from, to int) {
		var requests sync.WaitGroup
		for i := from; i < to; i++ {
			body := fmt.Sprint("a", i)
			requests.Go(func() {
				got, err := request(d, fmt.Sprint("k", i), func() Result { effects[i].Add(1); return succeedWith(body)() })
				if got != body || err != nil {
					t.Errorf("request %d: %q, error %v, want %q", i, got, err, body)
				}
			})
		}
		requests.Wait()
	}
	d := openOnDisk(t, disk, nil)
	requestAll(d, 0, 300)
	if err := d.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	if _, err := request(d, "x", succeedWith("")); !errors.Is(err, ErrClosed) {
		t.Errorf("request after Close: error %v, want %v", err, ErrClosed)
	}
	next := openOnDisk(t, disk, nil)
	closeAtEnd(t, next)
	requestAll(next, 100, 400)
	for i := range effects {
		if n := effects[i].Load(); n != 1 {
			t.Errorf("request %d was executed %d times, want 1", i, n)
		}
	}
}

// A journal's directory is opened by two processes, and with a truncated fingerprint key. Open must return an
// error. After a regular restart, fingerprints must be the same.
func TestOpen_Directory(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keys")
	config := JournalConfig{Dir: dir, WriteTimeout: 10 * time.Second}
	d, err := Open(idempotency.Limits{}, config)
	if err != nil {
		t.Fatal(err)
	}
	fingerprint := d.Fingerprint([]byte("a"), []byte("b"))
	if _, err := request(d, "k", succeedWith("a")); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(idempotency.Limits{}, config); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("second Open: error %v, want one that names another process", err)
	}
	if err := d.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	if d, err = Open(idempotency.Limits{}, config); err != nil {
		t.Fatal(err)
	}
	if d.Fingerprint([]byte("a"), []byte("b")) != fingerprint {
		t.Errorf("fingerprint after a restart: %x, want %x", d.Fingerprint([]byte("a"), []byte("b")), fingerprint)
	}
	if err := d.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, fingerprintKeyFile), []byte("cut"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(idempotency.Limits{}, config); err == nil || !strings.Contains(err.Error(), "secret has 3 bytes") {
		t.Errorf("Open with a truncated key: error %v, want one that gives its length", err)
	}
}

// The disk hangs when the gateway shuts down. When the context of Close ends, a request that waits for the disk
// must be rejected, and Close must return.
func TestClose_HangingDisk(t *testing.T) {
	disk := newTestDisk()
	d := openOnDisk(t, disk, func(config *JournalConfig) { config.WriteTimeout = 2 * time.Second })
	if _, err := request(d, "before", succeedWith("b")); err != nil {
		t.Fatal(err)
	}
	release := make(chan struct{})
	defer close(release)
	disk.setHang(release)
	ended := make(chan error, 1)
	ran := false
	go func() {
		_, err := request(d, "k", func() Result { ran = true; return succeedWith("a")() })
		ended <- err
	}()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) { // until it waits
		d.mu.Lock()
		n := len(d.awaitingDurable)
		d.mu.Unlock()
		if n > 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the request is not waiting for the disk after 20 s")
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := d.Close(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Close returned %v, want %v", err, context.DeadlineExceeded)
	}
	if err := <-ended; !errors.Is(err, ErrClosed) || ran {
		t.Errorf("waiting request: error %v, executed: %v; want %v, not executed", err, ran, ErrClosed)
	}
}
