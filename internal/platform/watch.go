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
	errSilent          = errors.New("no progress in time")
	errNotFullUpdate   = errors.New("response is not a full update")
	errVersionWentBack = errors.New("version went back")
)

// updateLog counts updates for the log: updates that arrive one by one take a few lines a second there.
type updateLog struct {
	limiter            rate.Sometimes
	updates, endpoints int // since the last line
}

// watchTimeouts limit how long a response may make no progress.
type watchTimeouts struct {
	first   time.Duration // until its first update has begun; 0 means silence
	turn    time.Duration // while this has not passed, empty lines are progress before the first update too
	silence time.Duration // after that
}

// updateStream is one response of discovery. It is canceled when it makes no progress in time.
type updateStream struct {
	*updateReader
	ctx   context.Context
	close func()
}

// open sends a request and returns its response, which must be closed.
//
// Progress is an empty line, the beginning of an update, its end, and each progressEntries of its entries.
// An update may be long, but one that trickles without end is no progress. Bytes that are unread when the
// time is over are read first: if this process was paused, they arrived meanwhile.
func (d *Discovery) open(ctx context.Context, rt http.RoundTripper, url string,
	timeouts watchTimeouts) (*updateStream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	asked := time.Now()
	alarm := unread.AfterSilence(cmp.Or(timeouts.first, timeouts.silence), func() time.Duration {
		if d.state.idle() {
			return 0
		}
		return recheckDelay
	}, func() { cancel(errSilent) })
	stream := &updateStream{ctx: ctx, close: func() { alarm.Stop(); cancel(nil) }}
	res, err := get(ctx, rt, url) //nolint:bodyclose // stream.close closes it
	if err != nil {
		stream.close()
		return nil, stream.cause(err)
	}
	stream.close = func() {
		alarm.Stop()
		cancel(nil)
		_ = res.Body.Close() // it was read only
	}
	stream.updateReader = newUpdateReader(res.Body, d.MaxEntries)
	started := timeouts.first == 0 && timeouts.turn == 0
	stream.onProgress = func(begins bool) {
		started = started || begins
		if started {
			alarm.Reset(timeouts.silence)
			d.state.update(func() { d.state.progressAt = time.Now() })
		} else if remaining := time.Until(asked.Add(timeouts.turn)); remaining > 0 {
			alarm.Reset(min(remaining, timeouts.silence))
		}
	}
	return stream, nil
}

// get sends a request and returns its response if that is 200 OK.
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

// cause returns why the stream ended with err: the cause of its context's end goes before the errors that
// follow from that.
func (s *updateStream) cause(err error) error {
	cause := context.Cause(s.ctx)
	var invalid *invalidUpdateError
	if cause != nil && errors.As(err, &invalid) {
		return &invalidUpdateError{cause}
	}
	return cmp.Or(cause, err)
}

// reportDrains reports the drains that have been read of an unfinished update. They hold whether or not the
// update is ever completed.
func (s *updateStream) reportDrains(update func(EndpointUpdate)) {
	if len(s.drains) == 0 {
		return
	}
	drains := s.drains
	s.drains = nil
	update(EndpointUpdate{DrainsOnly: true, Endpoints: drains})
}

// fetch asks for the full list once, reports it and sets from to its version.
func (d *Discovery) fetch(ctx context.Context, rt http.RoundTripper, addr string, silence time.Duration, from *int64,
	update func(EndpointUpdate)) error {
	url := fmt.Sprintf("http://%s/v1/endpoints", addr)
	stream, err := d.open(ctx, rt, url, watchTimeouts{first: min(fetchTimeout, silence), silence: silence})
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

// watch reports the updates that follow a version, over one connection, and moves from on with them. An
// invalid update ends the watch, and the next one asks for the same changes again: skipping it could lose
// a drain.
//
// Changes that arrived together are reported as one update, as discovery would have sent them to a gateway
// that asked later. Nothing waits for more of them.
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
		case next.Seq < pending.Seq: // discovery was reset: what changed before is not known here
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

// report passes on an update of a watch.
func (d *Discovery) report(merged EndpointUpdate, update func(EndpointUpdate)) {
	d.logSummary.updates += merged.MergedUpdates
	d.logSummary.endpoints += len(merged.Endpoints)
	d.logSummary.limiter.Do(func() {
		slog.Info("endpoint updates received", "seq", merged.Seq, "full", merged.Full,
			"updates", d.logSummary.updates, "endpoints", d.logSummary.endpoints)
		d.logSummary.updates, d.logSummary.endpoints = 0, 0
	})
	update(merged)
	d.state.update(func() { d.state.synced = true })
}
