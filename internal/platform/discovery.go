package platform

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"pumicecroft/internal/pollbackoff"
	"pumicecroft/membership"

	"golang.org/x/time/rate"
)

// Discovery follows the platform's discovery service and reports its updates. It is a
// pumicecroft.Source with Sync, and must not be copied once it runs.
type Discovery struct {
	Addr string // host:port
	// FromVersion is the version of the list that is known already, or FromFullUpdate.
	FromVersion int64
	// AddrChanges receives the address of a discovery that takes the place of the one before. Nil means
	// that there are no changes.
	AddrChanges <-chan string
	// PollWithin is the time within which discovery must be asked, where each call costs it work. Zero
	// means that calls cost nothing.
	PollWithin time.Duration
	// Seed makes the random part of waits before calls.
	Seed uint64
	// DrainGrace is how long after a backend is told to drain a gateway that does not know it yet may still
	// send to it. Where calls cost nothing, a watch
	// must begin within half of it, and within a second. Default 2 s.
	DrainGrace time.Duration
	// MaxEntries limits the entries of an update; one with more is rejected. Default
	// membership.DefaultMaxNodes.
	MaxEntries int

	state      watchState
	logSummary updateLog
}

// FromFullUpdate in Discovery.FromVersion means that no version is known: the full list is asked for first.
const FromFullUpdate = -1

const (
	// watchTimeout is how long a watch may make no progress. Discovery sends an empty line every 2 s.
	watchTimeout = 3 * time.Second
	// moveDeadline is the time within which the list of a new address is wanted.
	moveDeadline = 2 * time.Second
	// fetchTimeout is the time within which a full list, or a watch, must begin.
	fetchTimeout = time.Second
	// minFirstTimeout is the least time that a watch gets to begin, as this process may be slow to read.
	minFirstTimeout = 250 * time.Millisecond
	// recheckDelay is how long a watch that has timed out is kept while bytes of it are unread.
	recheckDelay = 100 * time.Millisecond
)

// Run follows discovery until ctx ends. It implements pumicecroft.Source.
func (d *Discovery) Run(ctx context.Context, update func(membership.Update)) {
	d.Follow(ctx, func(u EndpointUpdate) { update(u.Membership()) })
}

// Follow follows discovery until ctx ends, and reports its updates in the protocol's form. After a change
// of address the full list is asked for first, as each discovery numbers its versions by itself.
func (d *Discovery) Follow(ctx context.Context, update func(EndpointUpdate)) {
	d.logSummary.limiter = rate.Sometimes{First: 10, Interval: time.Second}
	retry := pollbackoff.New(d.PollWithin, d.Seed)
	addr, from, wanted := d.Addr, d.FromVersion, d.PollWithin
	if from == FromFullUpdate {
		wanted = 0
	}
	for {
		wait := retry.First(wanted)
		watching, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func(addr string, from int64) { // copies: a change of address sets both while this runs
			defer close(ended)
			d.followAddr(watching, addr, from, wait, retry, update)
		}(addr, from)
		select {
		case addr = <-d.AddrChanges:
			from, wanted = FromFullUpdate, moveDeadline
		case <-ctx.Done():
		}
		stop()
		<-ended // no update of the old address may follow the new one's list
		if ctx.Err() != nil {
			return
		}
	}
}

// followAddr follows discovery at one address, over as many watches as it takes, until ctx ends. The first
// call is made after wait.
func (d *Discovery) followAddr(ctx context.Context, addr string, from int64, wait time.Duration,
	retry *pollbackoff.Backoff, update func(EndpointUpdate)) {
	transport := &http.Transport{
		DialContext:        d.state.dial,
		DisableKeepAlives:  true,
		DisableCompression: true,
		ReadBufferSize:     readBufferSize,
	}
	wakeups := d.state.wakeups()
	logLimit := rate.Sometimes{First: 3, Interval: 5 * time.Second}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		case <-wakeups:
		}
		startedAt := time.Now()
		err := d.followOnce(ctx, transport, addr, &from, update)
		synced, unsure := d.state.watchEnded(startedAt)
		if ctx.Err() != nil {
			return
		}
		wait = retryDelay(retry, err, time.Since(startedAt), synced, unsure)
		logLimit.Do(func() {
			slog.Warn("discovery watch ended", "addr", addr, "from_version", from, "err", err, "retry_in", wait)
		})
	}
}

// followOnce opens one watch and follows it to its end, after a full list if no version is known.
func (d *Discovery) followOnce(ctx context.Context, transport http.RoundTripper, addr string, from *int64,
	update func(EndpointUpdate)) error {
	if *from == FromFullUpdate {
		if err := d.fetch(ctx, transport, addr, watchTimeout, from, update); err != nil {
			return err
		}
	}
	timeouts := watchTimeouts{first: d.firstUpdateTimeout(), turn: d.PollWithin, silence: watchTimeout}
	return d.watch(ctx, transport, addr, timeouts, from, update)
}

// firstUpdateTimeout returns the time within which a watch must begin. Zero means that it has no limit of
// its own, as the call may have to wait for its turn.
func (d *Discovery) firstUpdateTimeout() time.Duration {
	switch {
	case d.PollWithin > 0:
		return 0
	case d.DrainGrace > 0:
		return min(fetchTimeout, max(minFirstTimeout, d.DrainGrace/2))
	}
	return fetchTimeout
}

// retryDelay returns how long to wait after a watch that ended with err after some time.
//
// A call counts as granted once its watch was synced: an agent may accept it at once by itself, and end
// the response when discovery has not taken the call in time. A watch that ended with an invalid update
// must also have lasted, as a valid update before each invalid one costs discovery as much.
func retryDelay(retry *pollbackoff.Backoff, err error, lasted time.Duration, synced bool,
	unsure time.Duration) time.Duration {
	var invalid *invalidUpdateError
	if errors.As(err, &invalid) {
		return retry.AfterInvalid(synced && lasted > watchTimeout, unsure)
	}
	return retry.AfterLoss(synced, unsure)
}
