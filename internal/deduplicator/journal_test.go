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
	"time"

	"pumicecroft/idempotency"
	"pumicecroft/internal/journal"
	"pumicecroft/internal/simdisk"
)

// restartCases are requests before a restart, and what their repeats get after it.
var restartCases = []struct {
	key  string
	run  func() Result
	want string // "new": the repeat is executed
}{
	{"succeeded", succeed("a1"), "a1"},
	{"empty response", succeed(""), ""},
	{"too large", succeed(strings.Repeat("x", 100<<10)), "done"},
	{"not executed", fail(idempotency.NotExecuted), "new"},
	{"unknown outcome", fail(idempotency.Unknown), "undecided"},
}

// A process ends: by Close, by a kill, or by a crash of the machine that loses what was not synced. The next
// process must know what each key came to, and that a request in flight has an unknown outcome.
func TestRestart(t *testing.T) {
	for _, how := range []string{"close", "kill", "crash"} {
		t.Run(how, func(t *testing.T) { testRestart(t, how) })
	}
}

func testRestart(t *testing.T, how string) {
	disk := newTestDisk()
	d := openOn(t, disk, nil)
	for _, c := range restartCases {
		if _, err := request(d, c.key, c.run); err != nil && !errors.Is(err, errNoResponse) {
			t.Fatal(err)
		}
	}
	// When this one is executed, the records before it are durable.
	if _, err := request(d, "last", succeed("")); err != nil {
		t.Fatal(err)
	}
	if how == "close" {
		if err := d.Close(context.Background()); err != nil {
			t.Fatal(err)
		}
	} else {
		started, release := make(chan bool), make(chan bool)
		go func() {
			_, _ = request(d, "in flight", func() Result { started <- true; <-release; return succeed("late")() })
		}()
		<-started
		disk.change(func(s *simdisk.Disk) { disk = &testDisk{disk: s.Clone()} })
		if how == "crash" {
			disk.disk.Crash(rand.New(rand.NewPCG(1, 2)))
		}
		close(release)
		closeAtEnd(t, d)
	}
	next := openOn(t, disk, nil)
	closeAtEnd(t, next)
	for _, c := range restartCases {
		if got, err := request(next, c.key, succeed("new")); got != c.want || err != nil {
			t.Errorf("%s: %q, %v, want %q", c.key, got, err, c.want)
		}
	}
	if got, _ := request(next, "in flight", succeed("new")); how != "close" && got != "undecided" {
		t.Errorf("the request in flight is %q", got)
	}
	got, err := next.Do(context.Background(), 1, "succeeded", idempotency.Fingerprint{2}, time.Second, nil)
	if err != nil || got.Verdict != idempotency.Conflict {
		t.Errorf("another request with an earlier key: %v, %v", got.Verdict, err)
	}
}

// The disk is full, fails or hangs. Requests must be executed or rejected, as configured, none may wait for
// longer than WriteTimeout, and what happened meanwhile must be on disk once that works again.
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
	d := openOn(t, disk, func(config *JournalConfig) {
		config.RejectOnFailure = reject
		if how == "hangs" {
			config.WriteTimeout = 20 * time.Millisecond
		}
	})
	if got, err := request(d, "before", succeed("b")); got != "b" || err != nil {
		t.Fatal(got, err)
	}
	release := make(chan struct{})
	breakDisk(disk, how, release)
	for i := range requests {
		ran := false
		got, err := request(d, fmt.Sprint("k", i), func() Result { ran = true; return succeed("a")() })
		if reject && (ran || !errors.Is(err, ErrNotPersisted)) || !reject && (got != "a" || err != nil) {
			t.Fatalf("request %d: %q, %v, ran %v", i, got, err, ran)
		}
	}
	if got, err := request(d, "before", succeed("new")); got != "b" || err != nil {
		t.Errorf("the key from before: %q, %v", got, err)
	}
	if _, err := d.JournalUsage(); (err != nil) != (how != "hangs") {
		t.Errorf("the journal's error is %v", err)
	}
	disk.change(func(s *simdisk.Disk) { s.Fault, s.Capacity = nil, 0 })
	disk.hang(nil)
	close(release)
	awaitJournal(t, d)
	if err := d.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	next := openOn(t, disk, nil)
	closeAtEnd(t, next)
	for i := range requests {
		want := "a"
		if reject {
			want = "new"
		}
		got, err := request(next, fmt.Sprint("k", i), succeed("new"))
		if how == "fails" && reject && got == "undecided" && i == 0 {
			continue // its record may be there although the write failed, and its removal could not be written
		}
		if got != want || err != nil {
			t.Errorf("after a restart, request %d: %q, %v, want %q", i, got, err, want)
		}
	}
}

// breakDisk makes a disk full, fail, or hang until release is closed.
func breakDisk(disk *testDisk, how string, release chan struct{}) {
	switch how {
	case "full":
		disk.change(func(s *simdisk.Disk) { s.Capacity = s.Bytes() + 1 })
	case "fails":
		disk.change(func(s *simdisk.Disk) { s.Fault = func(journal.Op) error { return simdisk.ErrIO } })
	case "hangs":
		disk.hang(release)
	}
}

// awaitJournal waits until the journal works and everything is on disk.
func awaitJournal(t *testing.T, d *Deduplicator) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		u, err := d.JournalUsage()
		if err == nil && u.UnwrittenBytes == 0 && u.PendingBytes == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the journal does not recover: %+v, %v", u, err)
		}
	}
}

// Many requests at once, each repeated: some before a restart, some after it, some on both sides. Each must
// have one effect.
func TestRestart_RepeatsHaveOneEffect(t *testing.T) {
	disk := newTestDisk()
	var effects [400]atomic.Int32
	requestAll := func(d *Deduplicator, from, to int) {
		var requests sync.WaitGroup
		for i := from; i < to; i++ {
			body := fmt.Sprint("a", i)
			requests.Go(func() {
				got, err := request(d, fmt.Sprint("k", i), func() Result { effects[i].Add(1); return succeed(body)() })
				if got != body || err != nil {
					t.Errorf("%d: %q, %v", i, got, err)
				}
			})
		}
		requests.Wait()
	}
	d := openOn(t, disk, nil)
	requestAll(d, 0, 300)
	if err := d.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	if _, err := request(d, "x", succeed("")); !errors.Is(err, ErrClosed) {
		t.Errorf("after Close: %v", err)
	}
	next := openOn(t, disk, nil)
	closeAtEnd(t, next)
	requestAll(next, 100, 400)
	for i := range effects {
		if n := effects[i].Load(); n != 1 {
			t.Errorf("%d had its effect %d times", i, n)
		}
	}
}

// A journal's directory belongs to one process, and needs the key of its fingerprints.
func TestOpen_Directory(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keys")
	config := JournalConfig{Dir: dir, WriteTimeout: 10 * time.Second}
	d, err := Open(idempotency.Limits{}, config)
	if err != nil {
		t.Fatal(err)
	}
	fingerprint := d.Fingerprint([]byte("a"), []byte("b"))
	if _, err := request(d, "k", succeed("a")); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(idempotency.Limits{}, config); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("opened twice: %v", err)
	}
	if err := d.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	if d, err = Open(idempotency.Limits{}, config); err != nil {
		t.Fatal(err)
	}
	if d.Fingerprint([]byte("a"), []byte("b")) != fingerprint {
		t.Error("a request has another fingerprint after a restart")
	}
	if err := d.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, fingerprintKeyFile), []byte("cut"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(idempotency.Limits{}, config); err == nil || !strings.Contains(err.Error(), "secret has 3 bytes") {
		t.Errorf("with a key cut short: %v", err)
	}
}

// The disk hangs when the gateway shuts down. A request that waits for it must be rejected when the closer's
// time is up, and Close must return.
func TestClose_HangingDisk(t *testing.T) {
	disk := newTestDisk()
	d := openOn(t, disk, func(config *JournalConfig) { config.WriteTimeout = 2 * time.Second })
	if _, err := request(d, "before", succeed("b")); err != nil {
		t.Fatal(err)
	}
	release := make(chan struct{})
	defer close(release)
	disk.hang(release)
	ended := make(chan error, 1)
	ran := false
	go func() {
		_, err := request(d, "k", func() Result { ran = true; return succeed("a")() })
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
			t.Fatal("the request does not wait for the disk")
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := d.Close(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("closed: %v", err)
	}
	if err := <-ended; !errors.Is(err, ErrClosed) || ran {
		t.Errorf("the request that waited: %v, ran %v", err, ran)
	}
}
