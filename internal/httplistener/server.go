// Package httplistener is the daemon's listener for clients: HTTP/1.1 on a socket, with bounds on the connections
// that clients hold and on how long they may take to ask, and an end that loses nothing. What it serves is a
// handler; it decides nothing about requests. conns.go bounds the connections.
package httplistener

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// A client that sends no whole head within headTime of its beginning is not one of ours. A new connection's
	// head counts from its accept.
	defaultHeaderTimeout = 1500 * time.Millisecond
	idleTimeout          = 15 * time.Second // that a client may keep a connection without a request

	// After SIGTERM new connections are taken for at least drainLeast, then until none has come for
	// drainQuiet, and for no longer than drainMost. The platform kills us no sooner than drainMost after the
	// longest deadline.
	minDrain   = 500 * time.Millisecond
	drainQuiet = 150 * time.Millisecond
	maxDrain   = 700 * time.Millisecond
)

// Server is the side of the front door that clients see.
type Server struct {
	handler           http.Handler
	maxRequestTimeout time.Duration // of all deadlines
	options           Options
	log               *slog.Logger
	conns             *connTable
	draining          atomic.Bool  // it is to end
	stopped           atomic.Bool  // nothing new is taken any more
	lastAccept        atomic.Int64 // when the last connection was accepted, Unix time in nanoseconds
}

// Options are for clients that nobody here knows. The zero value is for the platform's.
type Options struct {
	TLS            *tls.Config   // nil: connections are plain
	GeneralPurpose bool          // HTTP/2 too, and no path is the server's own
	HeaderTimeout  time.Duration // for a head to come whole; 0: headTime
	MaxHeaderBytes int           // bytes; 0: 16 KiB
}

// NewServer serves clients with a handler. conns is how many connections they may hold, longest the longest
// deadline of a request.
func NewServer(handler http.Handler, conns int, longest time.Duration, log *slog.Logger, o Options) *Server {
	return &Server{handler: handler, maxRequestTimeout: longest, log: log, conns: newConnTable(conns), options: o}
}

// Run serves clients on a listener until ctx ends, and then for as long as it takes to lose nothing: it goes
// on accepting while clients still come, stops listening, and returns when it holds no request.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	srv := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: cmp.Or(s.options.HeaderTimeout, defaultHeaderTimeout),
		// There is no ReadTimeout: it would also run while a request waits for its answer, and a read that times
		// out then would look as if the client had gone. Bodies have a limit of their own.
		WriteTimeout:   s.maxRequestTimeout + 10*time.Second,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: cmp.Or(s.options.MaxHeaderBytes, 16<<10),
		TLSConfig:      s.options.TLS,
		ErrorLog:       slog.NewLogLogger(s.log.Handler(), slog.LevelWarn),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, underlyingConn(c))
		},
		ConnState: func(conn net.Conn, state http.ConnState) {
			if state == http.StateNew {
				s.lastAccept.Store(time.Now().UnixNano())
			}
			s.conns.onStateChange(conn, state)
		},
	}
	ended := make(chan error, 1)
	if s.options.GeneralPurpose {
		srv.Protocols = new(http.Protocols)
		srv.Protocols.SetHTTP1(true)
		srv.Protocols.SetHTTP2(s.options.TLS != nil)
		srv.Protocols.SetUnencryptedHTTP2(s.options.TLS == nil)
	}
	go func() {
		if s.options.TLS != nil {
			ended <- srv.ServeTLS(clientListener{listener}, "", "")
			return
		}
		ended <- srv.Serve(clientListener{listener})
	}()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	s.draining.Store(true)
	s.log.Info("told to end")
	start := time.Now()
	for time.Since(start) < minDrain ||
		time.Since(start) < maxDrain && time.Since(time.Unix(0, s.lastAccept.Load())) < drainQuiet {
		time.Sleep(10 * time.Millisecond)
	}
	// What is taken from here on might not be answered before the platform's patience ends.
	s.stopped.Store(true)
	stop, cancel := context.WithTimeout(context.Background(), s.maxRequestTimeout)
	defer cancel()
	_ = listener.Close()
	if err := <-ended; !errors.Is(err, net.ErrClosed) { // Serve has let go of the listener: Shutdown would close it once more, and say that it can't
		s.log.Warn("the listener ended", "err", err)
	}
	s.conns.closeIdle(stop)
	return srv.Shutdown(stop)
}

// ServeHTTP answers /ready itself and passes on the rest. Once the server is to end, each answer says that its connection ends with it,
// whenever its request came; what comes when nothing new may be taken is refused.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a := &responseWriter{ResponseWriter: w, server: s}
	if c, ok := r.Context().Value(connContextKey{}).(net.Conn); ok && clientDisconnected(c) {
		// What it sent was read late, and the server hears of its end only beside the handler: it must not be sent on meanwhile.
		ctx, leave := context.WithCancel(r.Context())
		leave()
		r = r.WithContext(ctx)
	}
	switch {
	case r.URL.Path == "/ready" && !s.options.GeneralPurpose:
		if s.draining.Load() {
			a.WriteHeader(http.StatusServiceUnavailable)
		} else {
			a.WriteHeader(http.StatusOK)
		}
	case s.stopped.Load():
		a.WriteHeader(http.StatusServiceUnavailable)
	default:
		s.handler.ServeHTTP(a, r)
		a.start() // of a handler that said nothing the server makes an answer
	}
}

// connContextKey is a request's connection, in its context.
type connContextKey struct{}

// responseWriter is the writer of one answer. Its handler may have begun long before the server was to end, so it is the beginning of the answer
// that counts.
type responseWriter struct {
	http.ResponseWriter
	server  *Server
	started bool
}

// WriteHeader begins the answer, or says what goes ahead of it.
func (a *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		a.start()
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write begins the answer if nothing has, as http.ResponseWriter's does.
func (a *responseWriter) Write(b []byte) (int, error) {
	a.start()
	return a.ResponseWriter.Write(b)
}

// FlushError is http.ResponseController's Flush: it begins the answer.
func (a *responseWriter) FlushError() error {
	a.start()
	return http.NewResponseController(a.ResponseWriter).Flush()
}

// Unwrap is for http.ResponseController.
func (a *responseWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }

func (a *responseWriter) start() {
	if !a.started {
		a.started = true
		if a.server.draining.Load() {
			a.Header().Set("Connection", "close")
		}
	}
}
