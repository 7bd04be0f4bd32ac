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
	synced     bool          // the watch has reported the changes made before it was opened
	endedAt    time.Time     // when the last synced watch ended; zero if there was none yet
	progressAt time.Time     // when the watch last made progress
	changed    chan struct{} // closed at the next state change; nil if there are no waiters
	wake       chan struct{} // see wakeups
}

// update applies a change to the state and wakes its waiters.
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
	observed := unread.New(conn, func() { s.update(func() {}) })
	s.update(func() { s.conn = observed })
	return observed, nil
}

// watchEnded records the end of a watch whose call began at calledAt. It returns whether the watch was
// synced, and for how long changes may have been missed: since the last progress of a synced watch, or
// since the call otherwise, as progress of a queued call does not prove that the list is up to date.
func (s *watchState) watchEnded(calledAt time.Time) (synced bool, staleFor time.Duration) {
	staleSince := calledAt
	s.update(func() {
		synced = s.synced
		if synced {
			staleSince, s.endedAt = s.progressAt, time.Now()
		}
		s.conn, s.synced = nil, false
	})
	return synced, time.Since(staleSince)
}

// idle reports whether everything that has arrived on the connection was read and handled.
func (s *watchState) idle() bool {
	s.mu.Lock()
	conn := s.conn
	s.mu.Unlock()
	return conn == nil || conn.FullyRead()
}

// wakeUp makes the next watch start at once instead of after its backoff delay.
func (s *watchState) wakeUp() {
	select {
	case s.wakeups() <- struct{}{}:
	default: // a wakeup is already pending
	}
}

// wakeups returns the channel to which wakeUp sends. It buffers one value.
func (s *watchState) wakeups() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
	}
	return s.wake
}

// Sync blocks until everything that discovery had sent before the call has been reported.
//
// If the watch has timed out, or has ended after since, Sync waits for the next one, which is opened at
// once if calls cost discovery nothing. If the watch had already ended before since, Sync returns an error
// at once: discovery is unreachable, and the gateway was already running without it.
func (d *Discovery) Sync(ctx context.Context, since time.Time) error {
	s := &d.state
	for {
		s.mu.Lock()
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed, conn := s.changed, s.conn
		alive := s.synced && time.Since(s.progressAt) < watchTimeout
		endedBefore := !s.synced && s.endedAt.Before(since)
		s.mu.Unlock()
		switch {
		case endedBefore:
			return fmt.Errorf("platform: discovery: %w", errNoProgress)
		case alive && conn.FullyRead():
			return nil
		case !alive && d.PollWithin == 0:
			s.wakeUp()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("platform: discovery: %w", errNoProgress)
		}
	}
}
