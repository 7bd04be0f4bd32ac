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
	errTimeout   = errors.New("no response in time")
	errRestarted = errors.New("query is restarted")
)

// responseGrace is the extra time for a response that has begun to arrive when its query times out.
const responseGrace = time.Second

// queryFunc sends one query. It returns the metadata of the response, and a function that applies its entries
// according to the verdict on the metadata.
type queryFunc func(*api.QueryOptions) (blockingquery.Response, func(blockingquery.Verdict), error)

// runQueryLoop repeats a blocking query until ctx ends. seedOffset is added to the seed of its retry delays.
// failed is called with each failure.
func (w *Watch) runQueryLoop(ctx context.Context, seedOffset uint64, query queryFunc, failed func(error)) {
	start := time.Now()
	config := w.client.config
	policy := blockingquery.Policy{Wait: config.Wait, MaxStale: config.MaxStale, RetryMax: config.RetryMax}
	loop := blockingquery.New(policy, config.Seed+seedOffset)
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

// send sends one query and waits for its response. If the context was canceled, the error is the cause of
// the cancellation. send always cancels the context before it returns.
func (w *Watch) send(ctx context.Context, cancel context.CancelCauseFunc, state *queryState, next blockingquery.Query,
	query queryFunc) (response blockingquery.Response, apply func(blockingquery.Verdict), err error) {
	defer cancel(nil)
	timer := state.startTimeout(next.Timeout, func() { cancel(errTimeout) })
	defer timer.Stop()
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { state.setConn(info.Conn) },
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

// Sync sends the service's queries again and returns when their responses have been reported. It does not
// wait for a query that has been failing since before the time since, unless a response to it has begun to
// arrive. If no query is left to wait for, or ctx ends, Sync returns an error.
func (w *Watch) Sync(ctx context.Context, since time.Time) error {
	w.mu.Lock()
	queries := slices.Clone(w.queries)
	w.mu.Unlock()
	var results []chan error
	for _, state := range queries {
		if result := state.requestRefresh(since); result != nil {
			results = append(results, result)
		}
	}
	timeoutErr := fmt.Errorf("consul: %s: %w", w.service.Name, errTimeout)
	if len(results) == 0 {
		return timeoutErr
	}
	var errs error
	for _, result := range results {
		select {
		case err := <-result:
			errs = errors.Join(errs, err)
		case <-ctx.Done():
			return timeoutErr
		}
	}
	return errs
}

// queryState lets Sync refresh a query that runQueryLoop repeats. It is safe for concurrent use.
type queryState struct {
	wake chan struct{} // capacity 1; a value means that the next query is to be sent at once

	mu          sync.Mutex
	waiters     []chan error       // calls of Sync that wait for the next query; each receives its result
	cancel      context.CancelFunc // restarts the query in flight; nil if there is none
	conn        *unread.Conn       // connection of the query in flight; nil if not assigned or not observable
	readBefore  uint64             // bytes read from conn before the query
	failedSince time.Time          // zero if the last query did not fail
}

// requestRefresh requests a query that is sent from now on, and returns a channel that receives its result.
// A query in flight is restarted, unless its response has begun to arrive: that response is then reported
// first, even if the next query fails. requestRefresh returns nil if the query has been failing since before
// the time since, and no response has begun to arrive.
func (s *queryState) requestRefresh(since time.Time) chan error {
	s.mu.Lock()
	defer s.mu.Unlock()
	inFlight := s.cancel != nil
	arriving := inFlight && s.responseStarted()
	failing := !s.failedSince.IsZero() && s.failedSince.Before(since)
	if failing && !arriving {
		return nil
	}
	result := make(chan error, 1)
	s.waiters = append(s.waiters, result)
	s.wakeUp()
	if inFlight && !arriving {
		s.cancel()
	}
	return result
}

func (s *queryState) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// responseStarted reports whether any byte of the response to the query in flight has arrived. mu must be
// held.
func (s *queryState) responseStarted() bool {
	return s.conn != nil && (!s.conn.FullyRead() || s.conn.BytesRead() > s.readBefore)
}

// startTimeout calls onTimeout after a timeout. If the response has begun to arrive by then, for example
// while this process was paused, the query gets responseGrace more, once.
func (s *queryState) startTimeout(timeout time.Duration, onTimeout func()) *time.Timer {
	extended := false
	return unread.AfterInactivity(timeout, func() time.Duration {
		s.mu.Lock()
		defer s.mu.Unlock()
		if extended || !s.responseStarted() {
			return 0
		}
		extended = true
		return responseGrace
	}, onTimeout)
}

// setConn records the connection that the query is sent on.
func (s *queryState) setConn(conn net.Conn) {
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

// begin starts a query and returns the waiters that receive its result. Waiters that are added later wait
// for the next query.
func (s *queryState) begin(cancel context.CancelFunc) (waiters []chan error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiters, s.waiters = s.waiters, nil
	s.cancel, s.conn = cancel, nil
	select {
	case <-s.wake: // the query that now starts is the one that was requested
	default:
	}
	return waiters
}

// restart ends a canceled query and requests another one for its waiters and those added since.
func (s *queryState) restart(waiters []chan error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel = nil
	s.waiters = append(waiters, s.waiters...)
	s.wakeUp()
}

// end ends a query and sends its result to the waiters.
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
