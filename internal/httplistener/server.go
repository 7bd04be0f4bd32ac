// Package httplistener serves HTTP clients of the daemon: HTTP/1.1 and, optionally, HTTP/2. It limits
// the number of client connections and the time that a client may take to send a request, and shuts
// down gracefully without losing a request. Requests are passed to a handler; the package makes no
// decisions about them. conntable.go has the connections, eviction.go selects those that make
// room for others, clientconn.go reads from one, readahead.go keeps what arrives behind an open request, and
// headerfields.go limits the fields of a request.
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

	"pumicecroft/internal/retrylistener"
)

const (
	// defaultHeaderTimeout limits the time in which a client must send a request header. On a new
	// connection it starts when the connection is accepted.
	defaultHeaderTimeout   = 1500 * time.Millisecond
	defaultMaxHeaderBytes  = 16 << 10
	defaultMaxHeaderFields = 128
	// idleTimeout is how long a connection may stay open without a request.
	idleTimeout = 15 * time.Second
	// pipeliningPause, times the number of connections that pause, is how long a connection pauses after maxUnpaused
	// requests, and maxPipeliningPause the limit of that. The scheduler notices what has arrived on other connections
	// only when no goroutine can run, and that of a client which sends faster than it is answered can always run.
	pipeliningPause    = 500 * time.Microsecond
	maxPipeliningPause = 10 * time.Millisecond
	// writeGrace is added to maxRequestTimeout for writing the response.
	writeGrace = 10 * time.Second
)

// When shutdown begins, the server keeps accepting connections for at least minDrain, then until no
// connection has been accepted for drainQuietPeriod, but for at most maxDrain. The platform kills the
// process no earlier than the longest request deadline plus maxDrain after the start of the shutdown.
const (
	minDrain          = 500 * time.Millisecond
	drainQuietPeriod  = 150 * time.Millisecond
	maxDrain          = 700 * time.Millisecond
	drainPollInterval = 10 * time.Millisecond
)

// Server serves the gateway's clients over HTTP.
type Server struct {
	handler           http.Handler
	maxRequestTimeout time.Duration
	options           Options
	log               *slog.Logger
	conns             *connTable
	draining          atomic.Bool  // shutdown has begun
	rejecting         atomic.Bool  // new requests are rejected; requests in progress complete
	lastAccept        atomic.Int64 // Unix time in nanoseconds
	pausing           atomic.Int64 // connections that pause because of pipelined requests
}

// Options configures a Server. The zero value is for the platform's clients.
type Options struct {
	TLS            *tls.Config   // nil: connections are not encrypted
	GeneralPurpose bool          // also serve HTTP/2, and pass every path, /ready included, to the handler
	HeaderTimeout  time.Duration // limit for reading a complete request header; default 1.5 s
	MaxHeaderBytes int           // default 16 KiB
	// MaxHeaderFields limits the fields of a request header; default 128. A request with more gets status 431. Over TLS
	// and HTTP/2 they are counted only after the whole header was read.
	MaxHeaderFields int
}

// NewServer returns a Server that passes requests to handler. maxConns limits the client connections,
// maxRequestTimeout is the longest timeout that a request can have.
func NewServer(handler http.Handler, maxConns int, maxRequestTimeout time.Duration, log *slog.Logger,
	o Options) *Server {
	o.HeaderTimeout = cmp.Or(o.HeaderTimeout, defaultHeaderTimeout)
	o.MaxHeaderBytes = cmp.Or(o.MaxHeaderBytes, defaultMaxHeaderBytes)
	o.MaxHeaderFields = cmp.Or(o.MaxHeaderFields, defaultMaxHeaderFields)
	return &Server{handler: handler, maxRequestTimeout: maxRequestTimeout, log: log,
		conns: newConnTable(maxConns, log), options: o}
}

// Run serves clients on a listener until ctx is done, then shuts down without losing a request: it keeps
// accepting while clients still connect, closes the listener, and returns when no request is open.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	listener = retrylistener.New(listener, s.log)
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
	// A request accepted from here on might not complete before the platform kills the process.
	s.rejecting.Store(true)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), s.maxRequestTimeout)
	defer cancel()
	_ = listener.Close()
	// Wait until Serve has released the listener. Otherwise Shutdown closes the listener a second time
	// and returns the error of that close.
	if err := <-served; !errors.Is(err, net.ErrClosed) {
		s.log.Warn("listener failed", "err", err)
	}
	s.conns.closeIdle(shutdownCtx)
	return server.Shutdown(shutdownCtx)
}

// httpServer returns an http.Server with the configured limits and hooks.
func (s *Server) httpServer() *http.Server {
	server := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: s.options.HeaderTimeout,
		// ReadTimeout is not set: it also runs while a request waits for its response, and a read that
		// times out then looks like a client disconnect. Request bodies have a timeout of their own.
		WriteTimeout:   s.maxRequestTimeout + writeGrace,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: s.options.MaxHeaderBytes,
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
	clients := clientListener{Listener: listener, conns: s.conns}
	if s.options.TLS != nil {
		return server.ServeTLS(clients, "", "")
	}
	clients.maxFields = s.options.MaxHeaderFields
	return server.Serve(clients)
}

// drain waits until clients have stopped connecting, between minDrain and maxDrain.
func (s *Server) drain() {
	start := time.Now()
	for time.Since(start) < minDrain ||
		time.Since(start) < maxDrain && time.Since(time.Unix(0, s.lastAccept.Load())) < drainQuietPeriod {
		time.Sleep(drainPollInterval)
	}
}

// ServeHTTP answers /ready itself, unless Options.GeneralPurpose is set, and passes all other requests to
// the handler. Responses that start while the server is draining close their connection. After the
// drain, new requests get status 503.
func (s *Server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w := &responseWriter{ResponseWriter: rw, server: s}
	if c, ok := r.Context().Value(connContextKey{}).(*clientConn); ok {
		var cancel context.CancelFunc
		r, cancel = s.prepareRequest(c, r)
		defer cancel()
	}
	body := trackBody(r)
	defer s.limitLinger(rw, body)
	switch {
	case countFields(r) > s.options.MaxHeaderFields:
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
	case r.URL.Path == "/ready" && !s.options.GeneralPurpose:
		if s.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		} else {
			w.WriteHeader(http.StatusOK)
		}
	case s.rejecting.Load():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		s.handler.ServeHTTP(w, r)
		w.start() // if the handler wrote nothing, net/http writes an empty response
	}
}

// prepareRequest prepares a connection for the handling of a request. The returned request replaces the given one; cancel
// releases its context.
func (s *Server) prepareRequest(c *clientConn, r *http.Request) (_ *http.Request, cancel context.CancelFunc) {
	if r.Body == http.NoBody && r.ProtoMajor == 1 {
		c.bodyless()
	}
	if c.takePause() {
		s.pause()
	}
	if !clientDisconnected(c) {
		return r, func() {}
	}
	// The client disconnected before its request was read. net/http would detect this only while
	// the handler is running, and by then the handler could have forwarded the request. With a
	// cancelled context the handler treats the request as cancelled.
	ctx, cancel := context.WithCancel(r.Context())
	cancel()
	return r.WithContext(ctx), cancel
}

// pause gives other connections a turn. The more connections pause, the longer it takes.
func (s *Server) pause() {
	n := s.pausing.Add(1)
	defer s.pausing.Add(-1)
	time.Sleep(min(time.Duration(n)*pipeliningPause, maxPipeliningPause))
}

// connContextKey is the context key under which a request's net.Conn is stored.
type connContextKey struct{}
