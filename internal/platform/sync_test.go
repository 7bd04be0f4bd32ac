package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pumicecroft/internal/testkit"
)

// After a pause of the process, Sync must return only once everything that discovery had sent is reported:
// also bytes that are still unread, and changes that were lost with a watch that ended. If discovery was
// already unreachable before the pause, Sync must not wait for it.
func TestSync(t *testing.T) {
	d := newScriptedDiscovery(t)
	var reported atomic.Int64
	reporting := make(chan bool, 1) // while it is full, the report of an update blocks
	source := &Discovery{Addr: d.addr, FromVersion: 1}
	if err := source.Sync(t.Context(), time.Now()); !errors.Is(err, errNoProgress) {
		t.Errorf("before the first request: got %v, want %v", err, errNoProgress)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() {
		source.Follow(ctx, func(u EndpointUpdate) {
			reporting <- true
			reported.Store(u.Seq)
			<-reporting
		})
		close(ended)
	}()
	sync := func(since time.Time, want int64) {
		t.Helper()
		ctx, stop := context.WithTimeout(t.Context(), testkit.WaitTimeout)
		defer stop()
		if err := source.Sync(ctx, since); err != nil || reported.Load() < want {
			t.Fatalf("Sync returned %v with version %d reported, want nil and version %d", err, reported.Load(), want)
		}
	}
	begin := time.Now()
	for reported.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	for seq := int64(3); seq < 30; seq++ {
		d.publish(t, seq)
		sync(time.Now(), seq)
	}
	reporting <- true // blocks further reports
	d.publish(t, 30)
	done := make(chan bool)
	go func() { sync(time.Now(), 30); close(done) }()
	select {
	case <-done:
		t.Error("Sync returned before version 30 was reported")
	case <-time.After(50 * time.Millisecond):
	}
	<-reporting
	testkit.Await(t, done, "Sync")
	d.publish(t, 31)
	d.abortWatches() // the update is unread, or lost with its watch and sent again by the next one
	sync(begin, 31)
	d.refuseRequests(true)
	d.abortWatches()
	for open := true; open; time.Sleep(time.Millisecond) { // until the source has noticed the end of the watch
		source.state.mu.Lock()
		open = source.state.caughtUp
		source.state.mu.Unlock()
	}
	short, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer stop()
	if err := source.Sync(short, begin); err == nil {
		t.Error("Sync returned nil while discovery is unreachable, want an error")
	}
	if err := source.Sync(t.Context(), time.Now()); !errors.Is(err, errNoProgress) {
		t.Errorf("discovery unreachable before the pause: got %v, want %v at once", err, errNoProgress)
	}
	cancel()
	testkit.Await(t, ended, "the end")
}

// Guards against sends to a backend whose drain had arrived during a pause: discovery was unreachable before the pause,
// and the first update of the next watch has arrived when Sync is called. Sync must wait until it is reported.
func TestSyncWaitsForFirstUpdateAfterOutage(t *testing.T) {
	d := newScriptedDiscovery(t)
	d.refuseRequests(true)
	var reported atomic.Int64
	release := make(chan bool)
	source := &Discovery{Addr: d.addr, FromVersion: 1}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() {
		source.Follow(ctx, func(u EndpointUpdate) {
			<-release
			reported.Store(u.Seq)
		})
		close(ended)
	}()
	if err := source.Sync(t.Context(), time.Now()); !errors.Is(err, errNoProgress) {
		t.Errorf("discovery unreachable: got %v, want %v at once", err, errNoProgress)
	}
	d.refuseRequests(false)
	testkit.Await(t, d.written, "the first update to be written")
	synced := make(chan error, 1)
	go func() { synced <- source.Sync(t.Context(), time.Now()) }()
	select {
	case err := <-synced:
		t.Errorf("Sync returned %v before the update that had arrived was reported", err)
		synced <- err
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	if err := testkit.Await(t, synced, "Sync"); err != nil || reported.Load() != 2 {
		t.Errorf("Sync returned %v with version %d reported, want nil and version 2", err, reported.Load())
	}
	cancel()
	testkit.Await(t, ended, "the end")
}

// scriptedDiscovery is a discovery whose watches send the versions that the test publishes.
type scriptedDiscovery struct {
	addr     string
	mu       sync.Mutex
	seq      int64
	refusing bool       // requests are aborted without a response
	changed  chan bool  // closed when seq changes
	aborted  chan bool  // closed to abort the open watches
	written  chan int64 // receives each version that was written
}

func newScriptedDiscovery(t *testing.T) *scriptedDiscovery {
	d := &scriptedDiscovery{seq: 2, changed: make(chan bool), aborted: make(chan bool), written: make(chan int64, 100)}
	d.addr = testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		for {
			d.mu.Lock()
			seq, refusing, changed, aborted := d.seq, d.refusing, d.changed, d.aborted
			d.mu.Unlock()
			if refusing {
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(w, `{"seq":%d,"whole":false,"hosts":[]}`+"\n", seq)
			w.(http.Flusher).Flush()
			d.written <- seq
			select {
			case <-changed:
			case <-aborted:
				panic(http.ErrAbortHandler)
			case <-r.Context().Done():
				return
			}
		}
	})
	return d
}

// publish sends a version to the open watches and returns once it has been written.
func (d *scriptedDiscovery) publish(t *testing.T, seq int64) {
	t.Helper()
	d.mu.Lock()
	d.seq = seq
	close(d.changed)
	d.changed = make(chan bool)
	d.mu.Unlock()
	written := testkit.Await(t, d.written, "a version to be written")
	for written != seq {
		written = testkit.Await(t, d.written, "a version to be written")
	}
}

// abortWatches closes the connections of the open watches.
func (d *scriptedDiscovery) abortWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.aborted)
	d.aborted = make(chan bool)
}

// refuseRequests sets whether further requests are aborted without a response.
func (d *scriptedDiscovery) refuseRequests(refuse bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refusing = refuse
}
