package consul

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http/httptrace"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/consul/api"

	"pumicecroft/internal/blockingquery"
	"pumicecroft/internal/unread"
)

var (
	errSilent    = errors.New("no response in time")
	errRestarted = errors.New("query is restarted")
)

// responseGrace is how long a response may still take that has begun to arrive when its query times out.
const responseGrace = time.Second

// queryFunc sends one query. It returns the head of the response, and a function that takes in the rest by
// the verdict on it.
type queryFunc func(*api.QueryOptions) (blockingquery.Response, func(blockingquery.Verdict), error)

// follow sends a blocking query again and again until ctx ends. number tells the queries of one watch
// apart. failed is called with each failure.
func (w *Watch) follow(ctx context.Context, number uint64, query queryFunc, failed func(error)) {
	start := time.Now()
	config := w.client.config
	policy := blockingquery.Policy{Wait: config.Wait, MaxStale: config.MaxStale, RetryMax: config.RetryMax}
	loop := blockingquery.New(policy, config.Seed+number)
	state := &queryState{wake: make(chan struct{}, 1)}
	w.addQuery(state)
	defer w.removeQuery(state)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		next := loop.Next()
		timer.Reset(max(0, next.NotBefore-time.Since(start)))
		select {
		case <-timer.C:
		case <-state.wake:
		case <-ctx.Done():
			return
		}
		queryCtx, cancel := context.WithCancelCause(ctx)
		waiters := state.begin(func() { cancel(errRestarted) })
		if len(waiters) > 0 {
			loop.Refresh(time.Since(start))
			next = loop.Next()
		}
		loop.Sent(time.Since(start))
		response, apply, err := w.send(queryCtx, cancel, state, next, query)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errRestarted):
			state.restart(waiters)
		case err != nil:
			loop.Failed(time.Since(start))
			failed(fmt.Errorf("consul: %s: %w", w.service.Name, err))
			state.end(waiters, err)
		default:
			apply(loop.Answered(time.Since(start), response))
			state.end(waiters, nil)
		}
	}
}

// send sends one query and waits for its response. Where the context was canceled, the error is the cause
// of that. The context has ended when it returns.
func (w *Watch) send(ctx context.Context, cancel context.CancelCauseFunc, state *queryState, next blockingquery.Query,
	query queryFunc) (response blockingquery.Response, apply func(blockingquery.Verdict), err error) {
	defer cancel(nil)
	alarm := state.startAlarm(next.Timeout, func() { cancel(errSilent) })
	defer alarm.Stop()
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { state.onConn(info.Conn) },
	})
	options, err := w.client.options(traced)
	if err == nil {
		options.WaitIndex, options.WaitTime = next.Index, next.Wait
		response, apply, err = query(options)
	}
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	return response, apply, err
}

func (w *Watch) addQuery(state *queryState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queries = append(w.queries, state)
}

func (w *Watch) removeQuery(state *queryState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queries = slices.DeleteFunc(w.queries, func(other *queryState) bool { return other == state })
}

// Sync sends the service's queries anew and returns when their responses have been reported. A query that
// has been failing since before since is not waited for. If no query is left to wait for, or ctx ends,
// Sync returns an error.
func (w *Watch) Sync(ctx context.Context, since time.Time) error {
	w.mu.Lock()
	queries := slices.Clone(w.queries)
	w.mu.Unlock()
	var results []chan error
	for _, state := range queries {
		if result := state.request(since); result != nil {
			results = append(results, result)
		}
	}
	silent := fmt.Errorf("consul: %s: %w", w.service.Name, errSilent)
	if len(results) == 0 {
		return silent
	}
	var errs error
	for _, result := range results {
		select {
		case err := <-result:
			errs = errors.Join(errs, err)
		case <-ctx.Done():
			return silent
		}
	}
	return errs
}

// queryState is what Sync knows of a query that is sent again and again. It is safe for concurrent use.
type queryState struct {
	wake chan struct{} // holds one value: the next query is to be sent at once

	mu          sync.Mutex
	waiters     []chan error       // of Sync, for the next query; each receives its result
	cancel      context.CancelFunc // restarts the query that is out; nil if none is
	conn        *unread.Conn       // its connection; nil if it has none yet, or one that can't be observed
	readBefore  uint64             // what had been read of conn before
	failedSince time.Time          // zero if the last query did not fail
}

// request asks for a query that is sent from now on, and returns a channel that receives its result, or nil
// if the query has been failing since before since. A query that is out is restarted, unless its response
// has begun to arrive: that is reported first, whatever becomes of the next query.
func (s *queryState) request(since time.Time) chan error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.failedSince.IsZero() && s.failedSince.Before(since) {
		return nil
	}
	result := make(chan error, 1)
	s.waiters = append(s.waiters, result)
	s.wakeUp()
	if s.cancel != nil && !s.responseStarted() {
		s.cancel()
	}
	return result
}

func (s *queryState) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default: // it is woken already
	}
}

// responseStarted reports whether any byte of the response to the query that is out has arrived. mu must be
// held.
func (s *queryState) responseStarted() bool {
	return s.conn != nil && (!s.conn.FullyRead() || s.conn.BytesRead() > s.readBefore)
}

// startAlarm calls silent after a timeout. If the response has begun to arrive by then, as it may have while
// this process was paused, the query gets responseGrace more, once.
func (s *queryState) startAlarm(timeout time.Duration, silent func()) *time.Timer {
	extended := false
	return unread.AfterSilence(timeout, func() time.Duration {
		s.mu.Lock()
		defer s.mu.Unlock()
		if extended || !s.responseStarted() {
			return 0
		}
		extended = true
		return responseGrace
	}, silent)
}

// onConn notes the connection that the query is sent on.
func (s *queryState) onConn(conn net.Conn) {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	observed, _ := conn.(*unread.Conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = observed
	if observed != nil {
		s.readBefore = observed.BytesRead()
	}
}

// begin begins a query and returns the waiters that it is for. Later ones wait for the next query.
func (s *queryState) begin(cancel context.CancelFunc) (waiters []chan error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiters, s.waiters = s.waiters, nil
	s.cancel, s.conn = cancel, nil
	select {
	case <-s.wake: // this is the query that was asked for
	default:
	}
	return waiters
}

// restart ends a query that is sent again for the same waiters and those that have come since.
func (s *queryState) restart(waiters []chan error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel = nil
	s.waiters = append(waiters, s.waiters...)
	s.wakeUp()
}

// end ends a query, and gives its result to the waiters.
func (s *queryState) end(waiters []chan error, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel = nil
	if err == nil {
		s.failedSince = time.Time{}
	} else if s.failedSince.IsZero() {
		s.failedSince = time.Now()
	}
	for _, waiter := range waiters {
		waiter <- err
	}
}
