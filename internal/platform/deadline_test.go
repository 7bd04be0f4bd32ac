package platform

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pumicecroft/internal/pollbackoff"
	"pumicecroft/internal/testkit"
)

// visibilityDeadline is when a change counts as told, after discovery had it and could be reached, whatever became of calls.
const visibilityDeadline = 6 * time.Second

const pollWithin = 10 * time.Second // within which doors have to ask

// Discovery is back, and has news, in the moment in which a call or a watch of a door fails in one of these ways, which says nothing any more itself; the door has
// been turned away often before. It hears the news within 6 s all the same: what the call took to fail, the wait, and the next call's answer together.
func TestNewsIsHeardAfterFailedCalls(t *testing.T) {
	t.Parallel()
	list := fmt.Sprintf(`{"seq":42,"whole":true,"hosts":[`+entry+"]}\n", 7, "Ready")
	news := fmt.Sprintf(`{"seq":43,"whole":true,"hosts":[`+entry+"]}\n", 7, "Terminating")
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	reset := func(w http.ResponseWriter, _ *http.Request) {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
	says := func(text string, then http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			flushed(w, text)
			then(w, r)
		}
	}
	drips := func(drop string, every time.Duration) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			drip := time.NewTicker(every)
			defer drip.Stop()
			for r.Context().Err() == nil {
				flushed(w, drop)
				<-drip.C
			}
		}
	}
	ends := func(http.ResponseWriter, *http.Request) {}
	var doors sync.WaitGroup
	for _, c := range []struct {
		name  string
		from  int64
		fails http.HandlerFunc
		calls int64 // until it is heard
	}{
		{"turned away", 42, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, 2},
		{"reset", 42, reset, 2},
		{"no answer", 42, silent, 2},
		{"a head and no more", 42, says("", silent), 2},
		{"an answer that ends", 42, ends, 2},
		{"half a list", 42, says(`{"seq":43,"whole":true,`, ends), 2},
		{"a byte a second", 42, says(`{"seq":43,"whole":true,`, drips(" ", time.Second)), 2},
		{"a watch that falls silent", 42, says(list, silent), 2},
		{"a watch that is reset", 42, says(list, reset), 2},
		{"the whole list, no answer", FromFullUpdate, silent, 2},
		{"a call that waits for its turn", 42, says("\n", func(w http.ResponseWriter, r *http.Request) {
			for range 5 {
				time.Sleep(800 * time.Millisecond) // what is within the test: longer than a watch may be silent
				flushed(w, "\n")
			}
			flushed(w, news)
			<-r.Context().Done()
		}), 1},
	} {
		for seed := range uint64(6) {
			doors.Go(func() {
				asking := pollbackoff.New(pollWithin, seed)
				for range 6 {
					asking.AfterLoss(false, 0)
				}
				if late, calls := measureDelay(t, pollWithin, asking, c.from, c.fails, news); late > visibilityDeadline || calls != c.calls {
					t.Errorf("%s, seed %d: the news is heard %v after discovery was back, by call %d", c.name, seed, late, calls)
				}
			})
		}
	}
	doors.Go(func() {
		const ask = 2 * time.Second
		if late, _ := measureDelay(t, ask, pollbackoff.New(ask, 1), 42, says("\n", drips("\n", 300*time.Millisecond)), news); late > ask+2*time.Second {
			t.Errorf("a turn that never comes: the news is heard %v after the call, which may wait %v", late, ask)
		}
	})
	doors.Wait()
}

// measureDelay has a door follow a discovery whose first answer fails, and tells how long after that call's beginning it hears the news that every
// later answer begins with, and by which call.
func measureDelay(t *testing.T, ask time.Duration, asking *pollbackoff.Backoff, from int64, fails http.HandlerFunc, news string) (late time.Duration, call int64) {
	var calls atomic.Int64
	begun := make(chan time.Time, 1)
	addr := testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			begun <- time.Now()
			fails(w, r)
			return
		}
		flushed(w, news)
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
		}
	})
	ctx, heard := context.WithTimeout(t.Context(), testkit.Patient)
	defer heard()
	(&Discovery{PollWithin: ask}).followAddr(ctx, addr, from, 0, asking, func(l EndpointUpdate) {
		if l.Seq == 43 && call == 0 {
			late, call = time.Since(<-begun), calls.Load()
			heard()
		}
	})
	if call == 0 {
		return testkit.Patient, 0
	}
	return late, call
}

// What the new discovery has counts 4 s after SIGHUP, however seldom a door has to ask it.
func TestAMoveIsHeardInTime(t *testing.T) {
	t.Parallel()
	serve := func(list string) string {
		return testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
			flushed(w, list)
			if r.URL.RawQuery != "" {
				<-r.Context().Done()
			}
		})
	}
	before, after := serve(`{"seq":5,"whole":true,"hosts":[]}`), serve(`{"seq":7,"whole":true,"hosts":[]}`)
	var doors sync.WaitGroup
	for seed := range uint64(12) {
		doors.Go(func() {
			ctx, heard := context.WithTimeout(t.Context(), testkit.Patient)
			defer heard()
			moves, late := make(chan string, 1), testkit.Patient
			var moved time.Time
			(&Discovery{Addr: before, FromVersion: FromFullUpdate, AddrChanges: moves, PollWithin: time.Minute, Seed: seed}).Follow(ctx, func(l EndpointUpdate) {
				if l.Seq == 5 && moved.IsZero() {
					moved = time.Now()
					moves <- after
				} else if l.Seq == 7 {
					late = time.Since(moved)
					heard()
				}
			})
			if late > 4*time.Second {
				t.Errorf("seed %d: the new one's list is heard after %v", seed, late)
			}
		})
	}
	doors.Wait()
}
