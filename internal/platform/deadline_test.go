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

// visibilityDeadline is the time within which a gateway must know a change after discovery had it and was
// reachable, whatever happened to earlier calls.
const visibilityDeadline = 6 * time.Second

// pollWithin is the time within which discovery must be called.
const pollWithin = 10 * time.Second

// Discovery becomes reachable again, with a change, just when a gateway's call or watch begins to fail in one
// of the ways below; earlier calls have failed too. The time until the call has failed, the backoff delay
// and the response to the next call must together take at most 6 s.
func TestChangeVisibleInTimeAfterFailedCall(t *testing.T) {
	t.Parallel()
	before := fmt.Sprintf(`{"seq":42,"whole":true,"hosts":[`+entryFormat+"]}\n", 7, "Ready")
	change := fmt.Sprintf(`{"seq":43,"whole":true,"hosts":[`+entryFormat+"]}\n", 7, "Terminating")
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	reset := func(w http.ResponseWriter, _ *http.Request) {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			if err := errors.Join(c.(*net.TCPConn).SetLinger(0), c.Close()); err != nil {
				t.Error(err)
			}
		}
	}
	writeThen := func(text string, then http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			writeAndFlush(w, text)
			then(w, r)
		}
	}
	repeat := func(text string, interval time.Duration) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			tick := time.NewTicker(interval)
			defer tick.Stop()
			for r.Context().Err() == nil {
				writeAndFlush(w, text)
				<-tick.C
			}
		}
	}
	end := func(http.ResponseWriter, *http.Request) {}
	reject := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	var gateways sync.WaitGroup
	for _, c := range []struct {
		name    string
		from    int64
		failure http.HandlerFunc
		calls   int64 // until the change is known
	}{
		{"rejected", 42, reject, 2},
		{"reset", 42, reset, 2},
		{"no response", 42, silent, 2},
		{"headers only", 42, writeThen("", silent), 2},
		{"empty response", 42, end, 2},
		{"half an update", 42, writeThen(`{"seq":43,"whole":true,`, end), 2},
		{"one byte a second", 42, writeThen(`{"seq":43,"whole":true,`, repeat(" ", time.Second)), 2},
		{"watch makes no more progress", 42, writeThen(before, silent), 2},
		{"watch is reset", 42, writeThen(before, reset), 2},
		{"full update, no response", FromFullUpdate, silent, 2},
		{"call is queued", 42, writeThen("\n", func(w http.ResponseWriter, r *http.Request) {
			for range 5 {
				time.Sleep(800 * time.Millisecond) // in total longer than watchTimeout
				writeAndFlush(w, "\n")
			}
			writeAndFlush(w, change)
			<-r.Context().Done()
		}), 1},
	} {
		for seed := range uint64(6) {
			gateways.Go(func() {
				retry := pollbackoff.New(pollWithin, seed)
				for range 6 {
					retry.AfterFailure(false, 0)
				}
				delay, calls := measureDelay(t, pollWithin, retry, c.from, c.failure, change)
				if delay > visibilityDeadline || calls != c.calls {
					t.Errorf("%s, seed %d: change known %v after discovery was back, by call %d, want within %v by call %d",
						c.name, seed, delay, calls, visibilityDeadline, c.calls)
				}
			})
		}
	}
	gateways.Go(func() {
		const within = 2 * time.Second
		queuedForever := writeThen("\n", repeat("\n", 300*time.Millisecond))
		delay, _ := measureDelay(t, within, pollbackoff.New(within, 1), 42, queuedForever, change)
		if delay > within+2*time.Second {
			t.Errorf("call queued forever: change known %v after the call, want within %v", delay, within+2*time.Second)
		}
	})
	gateways.Wait()
}

// measureDelay follows a discovery whose first response is a failure and whose later ones begin with a change.
// It returns how long after the start of the first call the change is reported, and by which call.
func measureDelay(t *testing.T, within time.Duration, retry *pollbackoff.Backoff, from int64, failure http.HandlerFunc,
	change string) (delay time.Duration, call int64) {
	t.Helper()
	var calls atomic.Int64
	calledAt := make(chan time.Time, 1)
	addr := testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			calledAt <- time.Now()
			failure(w, r)
			return
		}
		writeAndFlush(w, change)
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

// The address of discovery changes (by SIGHUP in the daemon). The full list of the new discovery must be
// known within 4 s, however long PollWithin is.
func TestNewAddressVisibleInTime(t *testing.T) {
	t.Parallel()
	serve := func(update string) string {
		return testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
			writeAndFlush(w, update)
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
				t.Errorf("seed %d: the new discovery's list is known after %v, want 4 s at most", seed, delay)
			}
		})
	}
	gateways.Wait()
}
