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

// After a pause of the process, Sync must return only when all that discovery had sent is reported: what is
// unread, and what a watch that has ended would have sent. If discovery could not be reached before, Sync
// must not wait for it.
func TestSync(t *testing.T) {
	d := newScriptedDiscovery(t)
	var reported atomic.Int64
	gate := make(chan bool, 1) // full: nothing is reported
	source := &Discovery{Addr: d.addr, FromVersion: 1}
	if err := source.Sync(t.Context(), time.Now()); !errors.Is(err, errSilent) {
		t.Errorf("before the first request: %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() {
		source.Follow(ctx, func(l EndpointUpdate) {
			gate <- true
			reported.Store(l.Seq)
			<-gate
		})
		close(ended)
	}()
	sync := func(since time.Time, want int64) {
		t.Helper()
		long, stop := context.WithTimeout(t.Context(), testkit.WaitTimeout)
		defer stop()
		if err := source.Sync(long, since); err != nil || reported.Load() < want {
			t.Fatalf("synced (%v) with version %d reported, want %d", err, reported.Load(), want)
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
	gate <- true // from now on nothing can be reported
	d.publish(t, 30)
	done := make(chan bool)
	go func() { sync(time.Now(), 30); close(done) }()
	select {
	case <-done:
		t.Error("synced with an update that is not reported")
	case <-time.After(50 * time.Millisecond):
	}
	<-gate
	testkit.Await(t, done, "Sync")
	d.publish(t, 31)
	d.cut() // the update is unread, or lost with its watch: the next one has it
	sync(begin, 31)
	d.down()
	d.cut()
	for open := true; open; time.Sleep(time.Millisecond) { // until the end of the watch is noticed
		source.state.mu.Lock()
		open = source.state.synced
		source.state.mu.Unlock()
	}
	short, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer stop()
	if err := source.Sync(short, begin); err == nil {
		t.Error("synced though discovery is down")
	}
	if err := source.Sync(t.Context(), time.Now()); !errors.Is(err, errSilent) {
		t.Errorf("waited for a discovery that was down before: %v", err)
	}
	cancel()
	testkit.Await(t, ended, "the end")
}

// scriptedDiscovery is a discovery whose watches send the versions that the test sets.
type scriptedDiscovery struct {
	addr    string
	mu      sync.Mutex
	seq     int64
	dead    bool
	changed chan bool  // closed at each change
	end     chan bool  // closed to cut the watches
	wrote   chan int64 // receives each version that was written
}

func newScriptedDiscovery(t *testing.T) *scriptedDiscovery {
	d := &scriptedDiscovery{seq: 2, changed: make(chan bool), end: make(chan bool), wrote: make(chan int64, 100)}
	d.addr = testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		for {
			d.mu.Lock()
			seq, dead, changed, end := d.seq, d.dead, d.changed, d.end
			d.mu.Unlock()
			if dead {
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(w, `{"seq":%d,"whole":false,"hosts":[]}`+"\n", seq)
			w.(http.Flusher).Flush()
			d.wrote <- seq
			select {
			case <-changed:
			case <-end:
				panic(http.ErrAbortHandler)
			case <-r.Context().Done():
				return
			}
		}
	})
	return d
}

// publish sends a version to all watches and returns when it has been written.
func (d *scriptedDiscovery) publish(t *testing.T, seq int64) {
	t.Helper()
	d.mu.Lock()
	d.seq = seq
	close(d.changed)
	d.changed = make(chan bool)
	d.mu.Unlock()
	wrote := testkit.Await(t, d.wrote, "a version to be written")
	for wrote != seq {
		wrote = testkit.Await(t, d.wrote, "a version to be written")
	}
}

func (d *scriptedDiscovery) cut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.end)
	d.end = make(chan bool)
}

func (d *scriptedDiscovery) down() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dead = true
}
