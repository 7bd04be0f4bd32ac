// Package httplistener is the daemon's listener for clients: HTTP/1.1 on a socket, with bounds on the
// connections of clients and on the time they may take to send a request, and a graceful shutdown that
// loses no request. It serves a handler and decides nothing about requests. conntable.go bounds the
// connections.
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
	// defaultHeaderTimeout is how long a client may take to send a request's header; on a new connection
	// it counts from the accept.
	defaultHeaderTimeout  = 1500 * time.Millisecond
	defaultMaxHeaderBytes = 16 << 10
	// idleTimeout is how long a client may keep a connection without a request.
	idleTimeout = 15 * time.Second
	// writeGrace is the time to write a response after the longest request.
	writeGrace = 10 * time.Second
)

// When the server is told to end it goes on accepting connections for at least minDrain, then until none
// has come for drainQuiet, but for no longer than maxDrain. The platform kills the process no sooner than
// maxDrain after the longest deadline.
const (
	minDrain          = 500 * time.Millisecond
	drainQuiet        = 150 * time.Millisecond
	maxDrain          = 700 * time.Millisecond
	drainPollInterval = 10 * time.Millisecond
)

// Server serves the gateway's clients.
type Server struct {
	handler           http.Handler
	maxRequestTimeout time.Duration
	options           Options
	log               *slog.Logger
	conns             *connTable
	draining          atomic.Bool  // it was told to end
	stopped           atomic.Bool  // it takes no new requests
	lastAccept        atomic.Int64 // Unix time in nanoseconds
}

// Options configures a Server for clients other than the platform's, for which the zero value is.
type Options struct {
	TLS            *tls.Config   // nil: plain connections
	GeneralPurpose bool          // serves HTTP/2 too, and all paths go to the handler
	HeaderTimeout  time.Duration // for a complete request header; default 1.5 s
	MaxHeaderBytes int           // default 16 KiB
}

// NewServer returns a Server for a handler. maxConns bounds the connections of clients, maxRequestTimeout
// is the longest deadline of a request.
func NewServer(handler http.Handler, maxConns int, maxRequestTimeout time.Duration, log *slog.Logger,
	o Options) *Server {
	return &Server{handler: handler, maxRequestTimeout: maxRequestTimeout, log: log,
		conns: newConnTable(maxConns), options: o}
}

// Run serves clients on a listener until ctx ends, and then until no request is lost: it goes on
// accepting while clients still connect, stops listening, and returns when no request is open.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	server := s.httpServer()
	served := make(chan error, 1)
	go func() { served <- s.serve(server, listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	s.draining.Store(true)
	s.log.Info("told to end")
	s.drain()
	// What is accepted from here on might not be answered before the platform kills the process.
	s.stopped.Store(true)
	stop, cancel := context.WithTimeout(context.Background(), s.maxRequestTimeout)
	defer cancel()
	_ = listener.Close()
	// Serve must have let go of the listener: Shutdown would close it again and return that error.
	if err := <-served; !errors.Is(err, net.ErrClosed) {
		s.log.Warn("listener failed", "err", err)
	}
	s.conns.closeIdle(stop)
	return server.Shutdown(stop)
}

// httpServer returns the http.Server with the bounds of this one.
func (s *Server) httpServer() *http.Server {
	server := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: cmp.Or(s.options.HeaderTimeout, defaultHeaderTimeout),
		// There is no ReadTimeout: it would run while a request waits for its response, and a read that
		// times out then looks as if the client had disconnected. Bodies have a limit of their own.
		WriteTimeout:   s.maxRequestTimeout + writeGrace,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: cmp.Or(s.options.MaxHeaderBytes, defaultMaxHeaderBytes),
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
	if s.options.GeneralPurpose {
		server.Protocols = new(http.Protocols)
		server.Protocols.SetHTTP1(true)
		server.Protocols.SetHTTP2(s.options.TLS != nil)
		server.Protocols.SetUnencryptedHTTP2(s.options.TLS == nil)
	}
	return server
}

func (s *Server) serve(server *http.Server, listener net.Listener) error {
	if s.options.TLS != nil {
		return server.ServeTLS(clientListener{listener}, "", "")
	}
	return server.Serve(clientListener{listener})
}

// drain waits while clients still connect.
func (s *Server) drain() {
	start := time.Now()
	for time.Since(start) < minDrain ||
		time.Since(start) < maxDrain && time.Since(time.Unix(0, s.lastAccept.Load())) < drainQuiet {
		time.Sleep(drainPollInterval)
	}
}

// ServeHTTP answers /ready itself and passes all else to the handler. Once the server drains, each
// response says that its connection ends with it; once it has stopped, requests are rejected.
func (s *Server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w := &responseWriter{ResponseWriter: rw, server: s}
	if c, ok := r.Context().Value(connContextKey{}).(net.Conn); ok && clientDisconnected(c) {
		// The request was read late. net/http notices the disconnect only while the handler runs, which
		// must not forward the request meanwhile.
		ctx, cancel := context.WithCancel(r.Context())
		cancel()
		r = r.WithContext(ctx)
	}
	switch {
	case r.URL.Path == "/ready" && !s.options.GeneralPurpose:
		if s.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		} else {
			w.WriteHeader(http.StatusOK)
		}
	case s.stopped.Load():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		s.handler.ServeHTTP(w, r)
		w.start() // if the handler wrote nothing, net/http makes a response
	}
}

// connContextKey is the context key of a request's connection.
type connContextKey struct{}
