// Package retrylistener keeps a server accepting connections while accept fails for a moment. net/http and grpc-go go on
// only after errors whose Temporary method returns true, which few of those that accept may return do; after any other
// they stop serving, and the process ends.
package retrylistener

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"pumicecroft/internal/backoff"

	"golang.org/x/time/rate"
)

// delays are the waits between two calls of Accept that fail. They are short, as connections that are not accepted may
// have brought requests.
var delays = backoff.Exponential{Initial: 5 * time.Millisecond, Max: 100 * time.Millisecond}

// logInterval is the time between two log lines about failures.
const logInterval = time.Second

// permanentErrors are those of a listener that can't be used any more.
var permanentErrors = []error{
	net.ErrClosed, syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP,
}

// Listener is a net.Listener whose Accept returns only connections and permanent errors.
type Listener struct {
	net.Listener
	log      *slog.Logger
	logLimit rate.Sometimes
	closed   chan struct{}
	close    sync.Once
}

// New returns a Listener that accepts from ln.
func New(ln net.Listener, log *slog.Logger) *Listener {
	return &Listener{Listener: ln, log: log, logLimit: rate.Sometimes{Interval: logInterval}, closed: make(chan struct{})}
}

// Accept waits for a connection. It calls the underlying Accept again, after a wait, when that fails.
func (l *Listener) Accept() (net.Conn, error) {
	for failures := 0; ; failures++ {
		c, err := l.Listener.Accept()
		if err == nil || isPermanent(err) {
			return c, err
		}
		delay := delays.Delay(failures)
		l.logLimit.Do(func() { l.log.Warn("accept failed", "err", err, "retry_in", delay) })
		select {
		case <-time.After(delay):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close closes the listener, and ends a wait of Accept.
func (l *Listener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// isPermanent reports whether an error of Accept is permanent. An error that is not of the operating system is: it may
// be a listener's own way to say that it was closed.
func isPermanent(err error) bool {
	for _, permanent := range permanentErrors {
		if errors.Is(err, permanent) {
			return true
		}
	}
	var errno syscall.Errno
	return !errors.As(err, &errno)
}
