package platform

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"pumicecroft/internal/unread"
)

// watchState is the state of the watch that Sync needs: whether the watch is alive, and whether everything
// that has arrived on its connection was reported. It is safe for concurrent use.
type watchState struct {
	mu         sync.Mutex
	conn       *unread.Conn  // of the current watch, or of one that is being opened; nil if there is none
	caughtUp   bool          // the watch has reported the changes made before it was opened
	endedAt    time.Time     // when the last watch that had caught up ended; zero if there was none yet
	progressAt time.Time     // when the watch last made progress
	changed    chan struct{} // closed at the next state change; nil if there are no waiters
	retryNow   chan struct{} // see retryRequests
}

// update applies a change to the state and wakes all calls of Sync, which check the state again.
func (s *watchState) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// dial opens a connection that tracks unread bytes. It is the transport's DialContext.
func (s *watchState) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	observed := unread.New(conn, func() { s.update(func() {}) }) // only wakes, as FullyRead may have changed
	s.update(func() { s.conn = observed })
	return observed, nil
}

// watchEnded records the end of a watch whose call began at calledAt. It returns whether the watch had caught
// up, and for how long changes may have been missed: since the last progress of a watch that had, or since the
// call otherwise, as the progress of a call that discovery has queued does not prove that the list is up to date.
func (s *watchState) watchEnded(calledAt time.Time) (caughtUp bool, staleFor time.Duration) {
	staleSince := calledAt
	s.update(func() {
		caughtUp = s.caughtUp
		if caughtUp {
			staleSince, s.endedAt = s.progressAt, time.Now()
		}
		s.conn, s.caughtUp = nil, false
	})
	return caughtUp, time.Since(staleSince)
}

// fullyRead reports whether everything that has arrived on the connection was read and handled, or there is no
// connection.
func (s *watchState) fullyRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fullyReadLocked()
}

// fullyReadLocked is fullyRead for callers that hold the lock.
func (s *watchState) fullyReadLocked() bool { return s.conn == nil || s.conn.FullyRead() }

// requestRetry makes the next watch start at once instead of after its backoff delay.
func (s *watchState) requestRetry() {
	select {
	case s.retryRequests() <- struct{}{}:
	default: // a request is already pending
	}
}

// retryRequests returns the channel to which requestRetry sends. It buffers one value.
func (s *watchState) retryRequests() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retryNow == nil {
		s.retryNow = make(chan struct{}, 1)
	}
	return s.retryNow
}

// Sync blocks until everything that had arrived from discovery before the call has been reported.
//
// If the watch has timed out, or has ended after since, Sync waits for the next one, which is opened at
// once if calls cost discovery nothing. If the current watch has not caught up, nothing that has arrived on its
// connection is unread, and no earlier watch that had caught up ended after since, Sync returns an error at
// once: discovery is unreachable, and the gateway was already running without it.
func (d *Discovery) Sync(ctx context.Context, since time.Time) error {
	s := &d.state
	for {
		s.mu.Lock()
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		alive := s.caughtUp && time.Since(s.progressAt) < watchTimeout
		endedBefore := !s.caughtUp && s.endedAt.Before(since)
		// Under the lock: otherwise an update could be reported, and caughtUp set, between the two reads.
		fullyRead := s.fullyReadLocked()
		s.mu.Unlock()
		switch {
		case alive && fullyRead:
			return nil
		case endedBefore && fullyRead:
			return fmt.Errorf("platform: discovery: %w", errNoProgress)
		case !alive && d.PollWithin == 0:
			s.requestRetry()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("platform: discovery: %w", errNoProgress)
		}
	}
}
