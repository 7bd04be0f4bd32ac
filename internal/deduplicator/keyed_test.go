package deduplicator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pumicecroft/idempotency"
	"pumicecroft/internal/journal"
	"pumicecroft/internal/simdisk"
	"pumicecroft/internal/testkit"
)

// disk is a simulated disk as the files of one process after another.
type disk struct {
	mu   sync.Mutex
	d    *simdisk.Disk
	hang chan struct{} // not nil: operations wait for its end
}

func newDisk() *disk { return &disk{d: simdisk.New()} }

func (d *disk) Do(op journal.Op) error {
	d.mu.Lock()
	hang := d.hang
	d.mu.Unlock()
	if hang != nil {
		<-hang
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.d.Do(op)
}

func (d *disk) List() ([]uint64, error) { return d.d.List(), nil }

func (d *disk) Load(n uint64, most int64) ([]byte, error) { return d.d.Load(n, most) }

func (d *disk) Close() error { return nil }

// with changes the disk while no operation is on it.
func (d *disk) with(f func(*simdisk.Disk)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.d)
}

func open(t *testing.T, d *disk, change func(*JournalConfig)) *Deduplicator {
	t.Helper()
	j := JournalConfig{WriteTimeout: 10 * time.Second, files: d}
	if change != nil {
		change(&j)
	}
	k, err := Open(idempotency.Limits{}, j)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// ask asks with a key; act is what its request comes to, if it is made.
func ask(k *Deduplicator, key string, act func() Result) (string, error) {
	d, err := k.Do(context.Background(), 1, key, idempotency.Fingerprint{1}, 5*time.Second, func(context.Context) Result { return act() })
	if err != nil {
		return "", err
	}
	if d.Verdict != idempotency.Replay {
		return d.Verdict.String(), nil
	}
	return string(d.Response.Body), nil
}

func answer(text string) func() Result {
	return func() Result { return Result{Response: idempotency.Response{Status: 200, Body: []byte(text)}} }
}

func ends(end idempotency.Outcome) func() Result {
	return func() Result { return Result{Outcome: end, Err: errEnded} }
}

var errEnded = errors.New("no answer")

// What a key comes to before the process ends, and what its repeat gets from the next one: after an end in peace, after a kill, and
// after a crash of the machine that loses what was not synced.
func TestRestarts(t *testing.T) {
	big := strings.Repeat("x", 100<<10)
	cases := []struct {
		key  string
		act  func() Result
		want string // "new": it is a new request
		kill string // after a kill; "": the same
	}{
		{"answered", answer("a1"), "a1", ""},
		{"empty answer", answer(""), "", ""},
		{"too large", answer(big), "done", ""},
		{"never ran", ends(idempotency.NotExecuted), "new", ""},
		{"may have run", ends(idempotency.Unknown), "undecided", ""},
	}
	for _, how := range []string{"peace", "kill", "crash"} {
		t.Run(how, func(t *testing.T) {
			d := newDisk()
			k := open(t, d, nil)
			for _, c := range cases {
				if _, err := ask(k, c.key, c.act); err != nil && err != errEnded {
					t.Fatal(err)
				}
			}
			if _, err := ask(k, "settles it", answer("")); err != nil { // what came before it is durable when it goes on
				t.Fatal(err)
			}
			next := d
			begun, release := make(chan bool), make(chan bool)
			if how == "peace" {
				if err := k.Close(context.Background()); err != nil {
					t.Fatal(err)
				}
			} else {
				go ask(k, "in flight", func() Result { begun <- true; <-release; return answer("late")() })
				<-begun
				d.with(func(s *simdisk.Disk) { next = &disk{d: s.Clone()} })
				if how == "crash" {
					next.d.Crash(rand.New(rand.NewPCG(1, 2)))
				}
				close(release)
				defer k.Close(context.Background())
			}
			k = open(t, next, nil)
			defer k.Close(context.Background())
			for _, c := range cases {
				if got, err := ask(k, c.key, answer("new")); got != c.want || err != nil {
					t.Errorf("%s: %q, %v, want %q", c.key, got, err, c.want)
				}
			}
			if got, _ := ask(k, "in flight", answer("new")); how != "peace" && got != "undecided" {
				t.Errorf("what was in flight is %q", got)
			}
			d2, err := k.Do(context.Background(), 1, "answered", idempotency.Fingerprint{2}, time.Second, nil)
			if err != nil || d2.Verdict != idempotency.Conflict {
				t.Errorf("another request with a key of before: %v, %v", d2.Verdict, err)
			}
		})
	}
}

// A disk that is full, fails, or hangs: requests go on or are refused, as is set; none waits for longer than its patience; and what was asked meanwhile is on
// disk as soon as it can be.
func TestABadDisk(t *testing.T) {
	for _, how := range []string{"full", "fails", "hangs"} {
		for _, refuse := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, refuse %v", how, refuse), func(t *testing.T) {
				d := newDisk()
				k := open(t, d, func(j *JournalConfig) {
					j.RejectOnFailure = refuse
					if how == "hangs" {
						j.WriteTimeout = 20 * time.Millisecond
					}
				})
				if got, err := ask(k, "before", answer("b")); got != "b" || err != nil {
					t.Fatal(got, err)
				}
				release := make(chan struct{})
				switch how {
				case "full":
					d.with(func(s *simdisk.Disk) { s.Capacity = s.Bytes() + 1 })
				case "fails":
					d.with(func(s *simdisk.Disk) { s.Fault = func(journal.Op) error { return simdisk.ErrIO } })
				case "hangs":
					d.mu.Lock()
					d.hang = release
					d.mu.Unlock()
				}
				for i := range 20 {
					ran := false
					got, err := ask(k, fmt.Sprint("k", i), func() Result { ran = true; return answer("a")() })
					if refuse && (ran || !errors.Is(err, ErrNotPersisted)) || !refuse && (got != "a" || err != nil) {
						t.Fatalf("request %d: %q, %v, ran %v", i, got, err, ran)
					}
				}
				if got, err := ask(k, "before", answer("new")); got != "b" || err != nil {
					t.Errorf("what was answered before: %q, %v", got, err)
				}
				if _, err := k.JournalUsage(); (err != nil) != (how != "hangs") {
					t.Errorf("it says %v of its journal", err)
				}
				d.mu.Lock()
				d.hang = nil
				d.d.Fault, d.d.Capacity = nil, 0
				d.mu.Unlock()
				close(release)
				for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
					u, err := k.JournalUsage()
					if err == nil && u.UnwrittenBytes == 0 && u.PendingBytes == 0 {
						break
					}
					if time.Now().After(end) {
						t.Fatalf("the journal never comes back: %+v, %v", u, err)
					}
				}
				if err := k.Close(context.Background()); err != nil {
					t.Fatal(err)
				}
				k = open(t, d, nil)
				defer k.Close(context.Background())
				for i := range 20 {
					want := "a"
					if refuse {
						want = "new"
					}
					got, err := ask(k, fmt.Sprint("k", i), answer("new"))
					if how == "fails" && refuse && got == "undecided" && i == 0 {
						continue // its record may be there although the write failed, and that it never ran could not be written
					}
					if got != want || err != nil {
						t.Errorf("after a restart, request %d: %q, %v, want %q", i, got, err, want)
					}
				}
			})
		}
	}
}

// Many at once, each pressed twice: each has one effect, whatever of it comes before the restart and whatever after.
func TestPairsOverARestart(t *testing.T) {
	d := newDisk()
	var effects [400]atomic.Int32
	pressAll := func(k *Deduplicator, from, to int) {
		var pressing sync.WaitGroup
		for i := from; i < to; i++ {
			pressing.Go(func() {
				got, err := ask(k, fmt.Sprint("k", i), func() Result { effects[i].Add(1); return answer(fmt.Sprint("a", i))() })
				if got != fmt.Sprint("a", i) || err != nil {
					t.Errorf("%d: %q, %v", i, got, err)
				}
			})
		}
		pressing.Wait()
	}
	k := open(t, d, nil)
	pressAll(k, 0, 300)
	if err := k.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	if _, err := ask(k, "x", answer("")); !errors.Is(err, ErrClosed) {
		t.Errorf("after the end: %v", err)
	}
	k = open(t, d, nil)
	defer k.Close(context.Background())
	pressAll(k, 100, 400)
	for i := range effects {
		if n := effects[i].Load(); n != 1 {
			t.Errorf("%d had its effect %d times", i, n)
		}
	}
}

// A directory with a journal needs the secret of its digests, and is one process's.
func TestTheDirectory(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keys")
	j := JournalConfig{Dir: dir, WriteTimeout: 10 * time.Second}
	k, err := Open(idempotency.Limits{}, j)
	if err != nil {
		t.Fatal(err)
	}
	digest := k.Fingerprint([]byte("a"), []byte("b"))
	if _, err := ask(k, "k", answer("a")); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(idempotency.Limits{}, j); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("opened twice: %v", err)
	}
	if err := k.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	if k, err = Open(idempotency.Limits{}, j); err != nil {
		t.Fatal(err)
	}
	if k.Fingerprint([]byte("a"), []byte("b")) != digest {
		t.Error("the digest of one request is another after a restart")
	}
	if err := k.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	hurt(t, filepath.Join(dir, "secret"))
	if _, err := Open(idempotency.Limits{}, j); err == nil || !strings.Contains(err.Error(), "secret has 3 bytes") {
		t.Errorf("with a secret cut short: %v", err)
	}
}

func hurt(t *testing.T, path string) {
	t.Helper()
	if err := os.WriteFile(path, []byte("cut"), 0o600); err != nil {
		t.Fatal(err)
	}
}

// A disk that hangs at the end: who waits for it is refused when the closer's time is up, and Close ends.
func TestTheEndOnADiskThatHangs(t *testing.T) {
	d := newDisk()
	k := open(t, d, func(j *JournalConfig) { j.WriteTimeout = 2 * time.Second })
	if _, err := ask(k, "before", answer("b")); err != nil {
		t.Fatal(err)
	}
	release := make(chan struct{})
	defer close(release)
	d.mu.Lock()
	d.hang = release
	d.mu.Unlock()
	asked := make(chan error, 1)
	ran := false
	go func() {
		_, err := ask(k, "k", func() Result { ran = true; return answer("a")() })
		asked <- err
	}()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) { // until it waits
		k.mu.Lock()
		n := len(k.awaitingDurable)
		k.mu.Unlock()
		if n > 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("it never waits for the disk")
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := k.Close(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("closed: %v", err)
	}
	if err := <-asked; !errors.Is(err, ErrClosed) || ran {
		t.Errorf("who waited: %v, ran %v", err, ran)
	}
}

// A request whose client has gone is not begun: not if it had gone before, and not when the disk has its record, if it went while that was
// waited for.
func TestWhoHasLeftBeginsNothing(t *testing.T) {
	for _, waits := range []bool{false, true} {
		t.Run(fmt.Sprintf("waits for the disk %t", waits), func(t *testing.T) {
			d, went := newDisk(), make(chan struct{})
			k := open(t, d, nil)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			if waits {
				d.mu.Lock()
				d.hang = went
				d.mu.Unlock()
			} else {
				leave()
			}
			var ran atomic.Bool
			ended := make(chan error, 1)
			go func() {
				_, err := k.Do(ctx, 1, "key", idempotency.Fingerprint{1}, 5*time.Second, func(context.Context) Result { ran.Store(true); return Result{Outcome: idempotency.NotExecuted} })
				ended <- err
			}()
			if waits {
				testkit.Await(t, until(func() bool { _, _, n := k.Stats(); return n == 1 }), "it to wait")
				leave()
			}
			if err := testkit.Await(t, ended, "its end"); !errors.Is(err, context.Canceled) {
				t.Errorf("it ended with %v", err)
			}
			testkit.Await(t, until(func() bool { k.mu.Lock(); defer k.mu.Unlock(); return !waits || len(k.cancels) == 0 || ran.Load() }), "its request's end")
			close(went)
			if err := k.Close(t.Context()); err != nil {
				t.Error(err)
			}
			if ran.Load() {
				t.Error("it was begun")
			}
		})
	}
}

// until tells when something is so.
func until(is func() bool) <-chan bool {
	so := make(chan bool)
	go func() {
		for !is() {
			runtime.Gosched()
		}
		close(so)
	}()
	return so
}
