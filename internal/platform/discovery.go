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

// Discovery watches the platform's discovery service and reports its updates. It implements
// pumicecroft.Syncer, and must not be copied after Run or Follow was called.
type Discovery struct {
	Addr string // host:port
	// FromVersion is the version of the endpoint list that is already known, or FromFullUpdate.
	FromVersion int64
	// AddrChanges receives the address of each discovery server that replaces the previous one. Nil means
	// that the address never changes.
	AddrChanges <-chan string
	// PollWithin is set if each call costs the discovery service work, so that calls must be spread and may be
	// queued: it is the time within which the gateway must call the service. Zero means that calls are free, so
	// the gateway may call at once.
	PollWithin time.Duration
	// Seed seeds the jitter of the delays before calls.
	Seed uint64
	// DrainGrace is how long a gateway that does not know yet that a backend drains may still send requests to
	// that backend. If PollWithin is 0, the first update of a watch must begin to arrive within half of
	// DrainGrace, limited to between 250 ms and 1 s. Zero means 2 s.
	DrainGrace time.Duration
	// MaxEntries is the maximum number of entries in an update; a larger update is rejected. Zero means
	// membership.DefaultMaxNodes.
	MaxEntries int

	state   watchState
	summary updateSummary
}

// FromFullUpdate in Discovery.FromVersion means that no version is known: the full list is requested first.
const FromFullUpdate = -1

const (
	// watchTimeout is how long a watch may go without progress. Discovery sends an empty line as a keepalive
	// every 2 s.
	watchTimeout = 3 * time.Second
	// addrChangeTimeout is the time within which the full list of a new address should be received. It limits the
	// random delay before the first call.
	addrChangeTimeout = 2 * time.Second
	// fetchTimeout is the time within which a full list, or the first update of a watch, must begin to arrive.
	fetchTimeout = time.Second
	// minFirstTimeout is the minimum timeout for the first update of a watch, as this process may be slow
	// to read it.
	minFirstTimeout = 250 * time.Millisecond
	// recheckDelay is the delay before a watch that has timed out with unread bytes is checked again.
	recheckDelay = 100 * time.Millisecond
)

// Run watches discovery until ctx ends. It implements pumicecroft.Source.
func (d *Discovery) Run(ctx context.Context, update func(membership.Update)) {
	d.Follow(ctx, func(u EndpointUpdate) { update(u.Membership()) })
}

// Follow watches discovery until ctx ends and reports its updates as EndpointUpdates. After a change of
// address it requests the full list first, as each discovery server numbers its versions independently.
func (d *Discovery) Follow(ctx context.Context, update func(EndpointUpdate)) {
	d.summary.limiter = rate.Sometimes{First: 10, Interval: time.Second}
	retry := pollbackoff.New(d.PollWithin, d.Seed)
	addr, from, within := d.Addr, d.FromVersion, d.PollWithin
	if from == FromFullUpdate {
		within = 0
	}
	for {
		wait := retry.First(within)
		watching, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func(addr string, from int64) { // copies, as an address change assigns both while this runs
			defer close(ended)
			d.followAddr(watching, addr, from, wait, retry, update)
		}(addr, from)
		select {
		case addr = <-d.AddrChanges:
			from, within = FromFullUpdate, addrChangeTimeout
		case <-ctx.Done():
		}
		stop()
		<-ended // no update from the old address may be reported after the new one's list
		if ctx.Err() != nil {
			return
		}
	}
}

// followAddr watches discovery at one address until ctx ends, opening a new watch whenever one ends. It
// makes the first call after wait.
func (d *Discovery) followAddr(ctx context.Context, addr string, from int64, wait time.Duration,
	retry *pollbackoff.Backoff, update func(EndpointUpdate)) {
	transport := &http.Transport{
		DialContext:        d.state.dial,
		DisableKeepAlives:  true,
		DisableCompression: true,
		ReadBufferSize:     readBufferSize,
	}
	retryRequests := d.state.retryRequests()
	logLimit := rate.Sometimes{First: 3, Interval: 5 * time.Second}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		case <-retryRequests:
		}
		startedAt := time.Now()
		err := d.followOnce(ctx, transport, addr, &from, update)
		caughtUp, staleFor := d.state.watchEnded(startedAt)
		if ctx.Err() != nil {
			return
		}
		wait = retryDelay(retry, err, time.Since(startedAt), caughtUp, staleFor)
		logLimit.Do(func() {
			slog.Warn("discovery watch ended", "addr", addr, "from_version", from, "err", err, "retry_in", wait)
		})
	}
}

// followOnce opens one watch and reads it to its end. If no version is known, it fetches the full list first.
func (d *Discovery) followOnce(ctx context.Context, transport http.RoundTripper, addr string, from *int64,
	update func(EndpointUpdate)) error {
	if *from == FromFullUpdate {
		if err := d.fetch(ctx, transport, addr, watchTimeout, from, update); err != nil {
			return err
		}
	}
	timeouts := watchTimeouts{firstUpdate: d.firstUpdateTimeout(), queueing: d.PollWithin, idle: watchTimeout}
	return d.watch(ctx, transport, addr, timeouts, from, update)
}

// firstUpdateTimeout returns the time within which the first update of a watch must begin to arrive. Zero means that
// it has no timeout of its own, as discovery may queue the call.
func (d *Discovery) firstUpdateTimeout() time.Duration {
	switch {
	case d.PollWithin > 0:
		return 0
	case d.DrainGrace > 0:
		return min(fetchTimeout, max(minFirstTimeout, d.DrainGrace/2))
	}
	return fetchTimeout
}

// retryDelay returns how long to wait after a watch that ended with err and lasted for a time.
//
// A call counts as served only once its watch has caught up: a proxy in front of the discovery server may accept
// the call before the server does, and end the response if the server has not accepted it in time. A watch that
// ended with an invalid update must also have lasted for longer than watchTimeout: a server that sends a valid
// update before each invalid one would otherwise reset the backoff, and each of these calls costs the server as
// much work.
func retryDelay(retry *pollbackoff.Backoff, err error, lasted time.Duration, caughtUp bool,
	staleFor time.Duration) time.Duration {
	var invalid *invalidUpdateError
	if errors.As(err, &invalid) {
		return retry.AfterInvalidUpdate(caughtUp && lasted > watchTimeout, staleFor)
	}
	return retry.AfterFailure(caughtUp, staleFor)
}
