package platform

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"pumicecroft/internal/unread"

	"golang.org/x/time/rate"
)

var (
	errNoProgress      = errors.New("no progress in time")
	errNotFullUpdate   = errors.New("response is not a full update")
	errVersionWentBack = errors.New("version went back")
)

// updateSummary counts the updates since the last log line, which is rate-limited: updates may arrive one
// by one at a high rate.
type updateSummary struct {
	limiter            rate.Sometimes
	updates, endpoints int // since the last log line
}

// watchTimeouts limits how long a response may go without progress.
type watchTimeouts struct {
	firstUpdate time.Duration // until its first update begins; 0 means the idle timeout
	queueing    time.Duration // for so long, empty lines count as progress even before the first update
	idle        time.Duration // between two signs of progress
}

// updateStream is one streamed response of discovery. It is canceled when it makes no progress in time.
type updateStream struct {
	*updateReader
	ctx   context.Context
	close func()
}

// open sends a request and returns its response, which the caller must close.
//
// Progress is an empty line, the beginning or the end of an update, and each progressEntries entries within
// it. So an update may take long, but one that trickles in without completing entries times out. If there
// are unread bytes when the timeout expires, they are read first: they may have arrived while this process
// was paused.
func (d *Discovery) open(ctx context.Context, rt http.RoundTripper, url string,
	timeouts watchTimeouts) (*updateStream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	requestedAt := time.Now()
	idleTimer := unread.AfterInactivity(cmp.Or(timeouts.firstUpdate, timeouts.idle), func() time.Duration {
		if d.state.fullyRead() {
			return 0
		}
		return recheckDelay
	}, func() { cancel(errNoProgress) })
	stream := &updateStream{ctx: ctx, close: func() { idleTimer.Stop(); cancel(nil) }}
	res, err := get(ctx, rt, url) //nolint:bodyclose // stream.close closes it
	if err != nil {
		stream.close()
		return nil, stream.cause(err)
	}
	stream.close = func() {
		idleTimer.Stop()
		cancel(nil)
		_ = res.Body.Close() // it was only read, so an error would tell nothing
	}
	stream.updateReader = newUpdateReader(res.Body, d.MaxEntries)
	started := timeouts.firstUpdate == 0 && timeouts.queueing == 0
	stream.onProgress = func(begins bool) {
		started = started || begins
		if started {
			idleTimer.Reset(timeouts.idle)
			d.state.update(func() { d.state.progressAt = time.Now() })
		} else if remaining := time.Until(requestedAt.Add(timeouts.queueing)); remaining > 0 {
			idleTimer.Reset(min(remaining, timeouts.idle))
		}
	}
	return stream, nil
}

// get sends a GET request and returns its response if the status is 200 OK.
func get(ctx context.Context, rt http.RoundTripper, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	res, err := rt.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		return nil, errors.Join(fmt.Errorf("response status %s", res.Status), res.Body.Close())
	}
	return res, nil
}

// cause returns why the stream ended with err. If its context was canceled, that is the cause of the
// cancellation, as err is only a consequence of it.
func (s *updateStream) cause(err error) error {
	cause := context.Cause(s.ctx)
	var invalid *invalidUpdateError
	if cause != nil && errors.As(err, &invalid) {
		return &invalidUpdateError{cause}
	}
	return cmp.Or(cause, err)
}

// reportDrains reports the drains read so far of an incomplete update. They are valid whether or not the
// update is ever completed.
func (s *updateStream) reportDrains(update func(EndpointUpdate)) {
	if len(s.drains) == 0 {
		return
	}
	drains := s.drains
	s.drains = nil
	update(EndpointUpdate{DrainsOnly: true, Endpoints: drains})
}

// fetch requests the full list once, reports it and sets from to its version.
func (d *Discovery) fetch(ctx context.Context, rt http.RoundTripper, addr string, idle time.Duration, from *int64,
	update func(EndpointUpdate)) error {
	url := fmt.Sprintf("http://%s/v1/endpoints", addr)
	stream, err := d.open(ctx, rt, url, watchTimeouts{firstUpdate: min(fetchTimeout, idle), idle: idle})
	if err != nil {
		return err
	}
	defer stream.close()
	stream.beforeBlock = func() { stream.reportDrains(update) }
	full, err := stream.next()
	stream.reportDrains(update)
	if err != nil {
		return stream.cause(err)
	}
	if !full.Full {
		return errNotFullUpdate
	}
	seq := full.Seq
	slog.Info("full endpoint update received", "addr", addr, "seq", seq, "endpoints", len(full.Endpoints))
	update(full)
	*from = seq
	return nil
}

// watch opens one watch for the updates after version from, reports them and advances from. An invalid
// update ends the watch, and the next watch requests the same changes again: skipping the update could lose
// a drain.
//
// Changes that arrived together are merged into one update, just as discovery would have sent them to a
// gateway that called later. No update is delayed to merge more changes into it.
func (d *Discovery) watch(ctx context.Context, rt http.RoundTripper, addr string, timeouts watchTimeouts, from *int64,
	update func(EndpointUpdate)) error {
	stream, err := d.open(ctx, rt, fmt.Sprintf("http://%s/v1/endpoints?watch=1&from=%d", addr, *from), timeouts)
	if err != nil {
		return err
	}
	defer stream.close()
	pending := EndpointUpdate{Seq: *from}
	flush := func() {
		if pending.MergedUpdates == 0 {
			return
		}
		merged := pending
		pending = EndpointUpdate{Seq: merged.Seq}
		d.report(merged, update)
		*from = pending.Seq
	}
	stream.beforeBlock = func() {
		flush()
		stream.reportDrains(update)
	}
	for {
		next, err := stream.next()
		switch {
		case err != nil:
			stream.beforeBlock()
			return stream.cause(err)
		case next.Full:
			flush()
			pending = next
			pending.MergedUpdates = 1
			flush()
		case next.Seq < pending.Seq: // discovery was reset: the changes up to this version are unknown
			flush()
			*from = FromFullUpdate
			return errVersionWentBack
		default:
			pending.Seq = next.Seq
			pending.Endpoints = append(pending.Endpoints, next.Endpoints...)
			pending.MergedUpdates++
		}
	}
}

// report logs an update of a watch and passes it on.
func (d *Discovery) report(merged EndpointUpdate, update func(EndpointUpdate)) {
	d.summary.updates += merged.MergedUpdates
	d.summary.endpoints += len(merged.Endpoints)
	d.summary.limiter.Do(func() {
		slog.Info("endpoint updates received", "seq", merged.Seq, "full", merged.Full,
			"updates", d.summary.updates, "endpoints", d.summary.endpoints)
		d.summary.updates, d.summary.endpoints = 0, 0
	})
	update(merged)
	d.state.update(func() { d.state.caughtUp = true })
}
