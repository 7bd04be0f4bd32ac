package deduplicator

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pumicecroft/idempotency"
	"pumicecroft/internal/journal"
	"pumicecroft/internal/simdisk"
	"pumicecroft/internal/testkit"
)

// testDisk is a simulated disk that can hang. Several processes may use it in turn.
type testDisk struct {
	mu        sync.Mutex
	disk      *simdisk.Disk
	hangUntil chan struct{} // not nil: operations block until it is closed
}

func newTestDisk() *testDisk { return &testDisk{disk: simdisk.New()} }

func (d *testDisk) Do(op journal.Op) error {
	d.mu.Lock()
	hangs := d.hangUntil
	d.mu.Unlock()
	if hangs != nil {
		<-hangs
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.disk.Do(op)
}

func (d *testDisk) List() ([]uint64, error) { return d.disk.List(), nil }

func (d *testDisk) Load(segment uint64, limit int64) ([]byte, error) {
	return d.disk.Load(segment, limit)
}

func (d *testDisk) Close() error { return nil }

// withDisk calls f with the disk while no operation runs.
func (d *testDisk) withDisk(f func(*simdisk.Disk)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.disk)
}

// setHang makes operations block until the channel is closed; nil: they don't block.
func (d *testDisk) setHang(until chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hangUntil = until
}

// openOnDisk opens a Deduplicator with its journal on a disk.
func openOnDisk(t *testing.T, disk *testDisk, configure func(*JournalConfig)) *Deduplicator {
	t.Helper()
	config := JournalConfig{WriteTimeout: 10 * time.Second, files: disk}
	if configure != nil {
		configure(&config)
	}
	d, err := Open(idempotency.Limits{}, config)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// closeAtEnd closes a Deduplicator at the end of the test.
func closeAtEnd(t *testing.T, d *Deduplicator) {
	t.Helper()
	t.Cleanup(func() { _ = d.Close(context.Background()) })
}

// requestTimeout is the timeout of the requests that request makes.
const requestTimeout = 5 * time.Second

// request makes a request with a key; run is called if it proceeds. It returns the body of the response, or the
// name of the verdict if there is no response.
func request(d *Deduplicator, key string, run func() Result) (string, error) {
	got, err := d.Do(context.Background(), 1, key, idempotency.Fingerprint{1}, requestTimeout,
		func(context.Context) Result { return run() })
	if err != nil {
		return "", err
	}
	if got.Verdict != idempotency.Replay {
		return got.Verdict.String(), nil
	}
	return string(got.Response.Body), nil
}

// succeedWith returns a run function that succeeds with a response.
func succeedWith(body string) func() Result {
	return func() Result { return Result{Response: idempotency.Response{Status: 200, Body: []byte(body)}} }
}

// failWith returns a run function that ends with an outcome and no response.
func failWith(outcome idempotency.Outcome) func() Result {
	return func() Result { return Result{Outcome: outcome, Err: errNoResponse} }
}

var errNoResponse = errors.New("no response")

// closedWhen returns a channel that is closed when a condition holds.
func closedWhen(condition func() bool) <-chan bool {
	holds := make(chan bool)
	go func() {
		for !condition() {
			runtime.Gosched()
		}
		close(holds)
	}()
	return holds
}

// A client disconnects before its request is executed: before Do is called, or while the request waits for the
// disk. The request must not be executed.
func TestDo_DisconnectedClientStartsNothing(t *testing.T) {
	for _, waits := range []bool{false, true} {
		t.Run(fmt.Sprintf("waits for the disk %t", waits), func(t *testing.T) {
			disk, released := newTestDisk(), make(chan struct{})
			d := openOnDisk(t, disk, nil)
			ctx, disconnect := context.WithCancel(t.Context())
			defer disconnect()
			if waits {
				disk.setHang(released)
			} else {
				disconnect()
			}
			var ran atomic.Bool
			ended := make(chan error, 1)
			go func() {
				_, err := d.Do(ctx, 1, "key", idempotency.Fingerprint{1}, 5*time.Second, func(context.Context) Result {
					ran.Store(true)
					return Result{Outcome: idempotency.NotExecuted}
				})
				ended <- err
			}()
			if waits {
				testkit.Await(t, closedWhen(func() bool { _, _, n := d.Stats(); return n == 1 }), "the request to wait")
				disconnect()
			}
			if err := testkit.Await(t, ended, "the end of the request"); !errors.Is(err, context.Canceled) {
				t.Errorf("Do returned error %v, want %v", err, context.Canceled)
			}
			executed := func() bool {
				d.mu.Lock()
				defer d.mu.Unlock()
				return !waits || len(d.cancels) == 0 || ran.Load()
			}
			testkit.Await(t, closedWhen(executed), "the end of its execution")
			close(released)
			if err := d.Close(t.Context()); err != nil {
				t.Error(err)
			}
			if ran.Load() {
				t.Errorf("request of a disconnected client was executed: %v, want false", ran.Load())
			}
		})
	}
}
