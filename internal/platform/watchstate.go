package platform

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"pumicecroft/internal/unread"
)

// watchState is what Sync knows of the watch: whether it is alive, and whether all that arrived on its
// connection has been reported. It is safe for concurrent use.
type watchState struct {
	mu         sync.Mutex
	conn       *unread.Conn  // of the watch, or of the one that is being opened; nil if there is none
	synced     bool          // the watch has reported what had changed before it was opened
	endedAt    time.Time     // when the last synced watch ended; zero if there was none yet
	progressAt time.Time     // when the watch made progress last
	changed    chan struct{} // closed at the next change; nil if nobody waits for it
	wake       chan struct{} // see wakeups
}

// update changes the state and wakes those who wait for a change.
func (s *watchState) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// dial opens a connection whose unread bytes are observed. It is a transport's DialContext.
func (s *watchState) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	observed := unread.New(conn, func() { s.update(func() {}) })
	s.update(func() { s.conn = observed })
	return observed, nil
}

// watchEnded notes the end of a watch whose call began at a time. It returns whether the watch was
// synced, and for how long changes may have been missed: since the watch's last progress, or since the
// call if it was not synced. Progress of a call that waits for its turn proves nothing.
func (s *watchState) watchEnded(calledAt time.Time) (synced bool, unsure time.Duration) {
	unsureSince := calledAt
	s.update(func() {
		synced = s.synced
		if synced {
			unsureSince, s.endedAt = s.progressAt, time.Now()
		}
		s.conn, s.synced = nil, false
	})
	return synced, time.Since(unsureSince)
}

// idle reports whether everything that has arrived on the connection has been read and dealt with.
func (s *watchState) idle() bool {
	s.mu.Lock()
	conn := s.conn
	s.mu.Unlock()
	return conn == nil || conn.FullyRead()
}

// wakeUp has the next watch opened at once instead of after its backoff.
func (s *watchState) wakeUp() {
	select {
	case s.wakeups() <- struct{}{}:
	default: // it is woken already
	}
}

// wakeups returns the channel that wakeUp sends to. It holds one value.
func (s *watchState) wakeups() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
	}
	return s.wake
}

// Sync returns when all that discovery had sent when it was called has been reported.
//
// If the watch has been silent for too long, or has ended after since, the next one is waited for; it is
// opened at once where a call costs discovery nothing. If it had ended before since, Sync returns an
// error at once: discovery can't be reached, and the gateway has been going on without it.
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
			return fmt.Errorf("platform: discovery: %w", errSilent)
		case alive && conn.FullyRead():
			return nil
		case !alive && d.PollWithin == 0:
			s.wakeUp()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("platform: discovery: %w", errSilent)
		}
	}
}
