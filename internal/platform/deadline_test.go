package platform

import (
	"context"
	"errors"
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

// visibilityDeadline is when a change counts as known, after discovery had it and could be reached, whatever
// became of earlier calls.
const visibilityDeadline = 6 * time.Second

// pollWithin is the time within which discovery must be asked.
const pollWithin = 10 * time.Second

// Discovery is back, with a change, at the moment at which a call or a watch of a gateway begins to fail in
// one of these ways; earlier calls have failed too. The gateway must know the change within 6 s all the
// same: the time that the call takes to fail, the backoff and the next call's response together.
func TestChangeVisibleInTimeAfterFailedCall(t *testing.T) {
	t.Parallel()
	before := fmt.Sprintf(`{"seq":42,"whole":true,"hosts":[`+entry+"]}\n", 7, "Ready")
	change := fmt.Sprintf(`{"seq":43,"whole":true,"hosts":[`+entry+"]}\n", 7, "Terminating")
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	reset := func(w http.ResponseWriter, _ *http.Request) {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			if err := errors.Join(c.(*net.TCPConn).SetLinger(0), c.Close()); err != nil {
				t.Error(err)
			}
		}
	}
	sends := func(text string, then http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			flushed(w, text)
			then(w, r)
		}
	}
	trickles := func(piece string, every time.Duration) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			tick := time.NewTicker(every)
			defer tick.Stop()
			for r.Context().Err() == nil {
				flushed(w, piece)
				<-tick.C
			}
		}
	}
	ends := func(http.ResponseWriter, *http.Request) {}
	rejects := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	var gateways sync.WaitGroup
	for _, c := range []struct {
		name  string
		from  int64
		fails http.HandlerFunc
		calls int64 // until the change is known
	}{
		{"rejected", 42, rejects, 2},
		{"reset", 42, reset, 2},
		{"no response", 42, silent, 2},
		{"headers alone", 42, sends("", silent), 2},
		{"empty response", 42, ends, 2},
		{"half an update", 42, sends(`{"seq":43,"whole":true,`, ends), 2},
		{"a byte a second", 42, sends(`{"seq":43,"whole":true,`, trickles(" ", time.Second)), 2},
		{"watch falls silent", 42, sends(before, silent), 2},
		{"watch is reset", 42, sends(before, reset), 2},
		{"full update, no response", FromFullUpdate, silent, 2},
		{"call waits for its turn", 42, sends("\n", func(w http.ResponseWriter, r *http.Request) {
			for range 5 {
				time.Sleep(800 * time.Millisecond) // in all for longer than watchTimeout
				flushed(w, "\n")
			}
			flushed(w, change)
			<-r.Context().Done()
		}), 1},
	} {
		for seed := range uint64(6) {
			gateways.Go(func() {
				retry := pollbackoff.New(pollWithin, seed)
				for range 6 {
					retry.AfterLoss(false, 0)
				}
				delay, calls := measureDelay(t, pollWithin, retry, c.from, c.fails, change)
				if delay > visibilityDeadline || calls != c.calls {
					t.Errorf("%s, seed %d: the change is known %v after discovery was back, by call %d", c.name, seed, delay, calls)
				}
			})
		}
	}
	gateways.Go(func() {
		const within = 2 * time.Second
		neverItsTurn := sends("\n", trickles("\n", 300*time.Millisecond))
		delay, _ := measureDelay(t, within, pollbackoff.New(within, 1), 42, neverItsTurn, change)
		if delay > within+2*time.Second {
			t.Errorf("a turn that never comes: the change is known %v after the call, which may wait %v", delay, within)
		}
	})
	gateways.Wait()
}

// measureDelay follows a discovery whose first response fails, and returns how long after the beginning of
// that call it reports the change that every later response begins with, and by which call.
func measureDelay(t *testing.T, within time.Duration, retry *pollbackoff.Backoff, from int64, fails http.HandlerFunc,
	change string) (delay time.Duration, call int64) {
	t.Helper()
	var calls atomic.Int64
	calledAt := make(chan time.Time, 1)
	addr := testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			calledAt <- time.Now()
			fails(w, r)
			return
		}
		flushed(w, change)
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
		}
	})
	ctx, stop := context.WithTimeout(t.Context(), testkit.WaitTimeout)
	defer stop()
	(&Discovery{PollWithin: within}).followAddr(ctx, addr, from, 0, retry, func(u EndpointUpdate) {
		if u.Seq == 43 && call == 0 {
			delay, call = time.Since(<-calledAt), calls.Load()
			stop()
		}
	})
	if call == 0 {
		return testkit.WaitTimeout, 0
	}
	return delay, call
}

// SIGHUP moves a gateway to another discovery. Its list must be known within 4 s, however rarely discovery
// must be asked.
func TestNewAddressVisibleInTime(t *testing.T) {
	t.Parallel()
	serve := func(update string) string {
		return testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
			flushed(w, update)
			if r.URL.RawQuery != "" {
				<-r.Context().Done()
			}
		})
	}
	before, after := serve(`{"seq":5,"whole":true,"hosts":[]}`), serve(`{"seq":7,"whole":true,"hosts":[]}`)
	var gateways sync.WaitGroup
	for seed := range uint64(12) {
		gateways.Go(func() {
			ctx, stop := context.WithTimeout(t.Context(), testkit.WaitTimeout)
			defer stop()
			addrs, delay := make(chan string, 1), testkit.WaitTimeout
			var moved time.Time
			d := &Discovery{Addr: before, FromVersion: FromFullUpdate, AddrChanges: addrs, PollWithin: time.Minute, Seed: seed}
			d.Follow(ctx, func(u EndpointUpdate) {
				if u.Seq == 5 && moved.IsZero() {
					moved = time.Now()
					addrs <- after
				} else if u.Seq == 7 {
					delay = time.Since(moved)
					stop()
				}
			})
			if delay > 4*time.Second {
				t.Errorf("seed %d: the new discovery's list is known after %v", seed, delay)
			}
		})
	}
	gateways.Wait()
}
