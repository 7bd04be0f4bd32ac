package grpcproxy

import (
	"container/list"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/grpc"
	"google.golang.org/grpc/peer"

	"pumicecroft/internal/socketpeek"
)

// minIdle is how long a connection is idle after a call before it may be closed to make room: a call ends before its
// response has been written.
const minIdle = 100 * time.Millisecond

// The first evictionLogBurst evictions are logged, then at most one per evictionLogInterval.
const (
	evictionLogBurst    = 10
	evictionLogInterval = time.Second
)

// clientListener limits the client connections of a server. A connection that exceeds the limit takes the place of the
// one that has had no open call for longest. If all have one, it waits until one of them has none or is closed. It is
// safe for concurrent use.
type clientListener struct {
	net.Listener
	maxConns int
	log      *slog.Logger
	logLimit rate.Sometimes
	closed   chan struct{} // closed by Close

	mu       sync.Mutex
	open     int
	byID     map[connID]*clientConn
	idle     *list.List    // of *clientConn without open calls, the one that is idle for longest first
	roomMade chan struct{} // closed and replaced when a connection is closed or becomes idle
	evicted  int
}

// connID identifies a TCP connection. The zero value stands for connections of other networks, whose calls are not
// tracked and which are never closed to make room.
type connID struct{ client, server netip.AddrPort }

// clientConn is a connection of a clientListener.
type clientConn struct {
	net.Conn
	listener  *clientListener
	id        connID
	openCalls int
	idleSince time.Time     // end of the last call; zero if there was none
	idleEntry *list.Element // its entry in clientListener.idle; nil while it has open calls
	isClosed  bool
}

func newClientListener(ln net.Listener, maxConns int, log *slog.Logger) *clientListener {
	return &clientListener{
		Listener: ln,
		maxConns: maxConns,
		log:      log,
		logLimit: rate.Sometimes{First: evictionLogBurst, Interval: evictionLogInterval},
		closed:   make(chan struct{}),
		byID:     map[connID]*clientConn{},
		idle:     list.New(),
		roomMade: make(chan struct{}),
	}
}

// Accept implements net.Listener. It returns a connection when there is room for it.
func (l *clientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for {
		c, victim, wait := l.admit(conn)
		switch {
		case c != nil:
			return c, nil
		case victim != nil:
			_ = victim.Close()
			continue
		}
		select {
		case <-wait:
		case <-time.After(minIdle): // one that was used may be closed now
		case <-l.closed:
			_ = conn.Close()
			return nil, net.ErrClosed
		}
	}
}

// admit returns conn as a clientConn if there is room for it. Otherwise it returns the connection to close, or nil and a
// channel that is closed when there may be one.
func (l *clientListener) admit(conn net.Conn) (c, victim *clientConn, wait <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open < l.maxConns {
		l.open++
		c = &clientConn{Conn: conn, listener: l, id: newConnID(conn.RemoteAddr(), conn.LocalAddr())}
		if c.id != (connID{}) {
			c.idleEntry = l.idle.PushBack(c)
			l.byID[c.id] = c
		}
		return c, nil, nil
	}
	for e := l.idle.Front(); e != nil; e = e.Next() {
		victim = e.Value.(*clientConn)
		callMayHaveArrived := socketpeek.Peek(victim.Conn) == socketpeek.Readable
		if callMayHaveArrived || time.Since(victim.idleSince) < minIdle {
			continue
		}
		l.evicted++
		l.logLimit.Do(func() {
			l.log.Warn("client connection closed to make room", "from", victim.id.client, "open", l.open,
				"limit", l.maxConns, "evicted", l.evicted)
		})
		return nil, victim, nil
	}
	return nil, nil, l.roomMade
}

// Close closes the listener.
func (l *clientListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return l.Listener.Close()
}

// trackCalls returns a handler that records which connections have open calls.
func (l *clientListener) trackCalls(handle grpc.StreamHandler) grpc.StreamHandler {
	return func(server any, stream grpc.ServerStream) error {
		if client, ok := peer.FromContext(stream.Context()); ok {
			if c := l.callStarted(newConnID(client.Addr, client.LocalAddr)); c != nil {
				defer l.callEnded(c)
			}
		}
		return handle(server, stream)
	}
}

func (l *clientListener) callStarted(id connID) *clientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.byID[id]
	if c == nil {
		return nil
	}
	c.openCalls++
	if c.idleEntry != nil {
		l.idle.Remove(c.idleEntry)
		c.idleEntry = nil
	}
	return c
}

func (l *clientListener) callEnded(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.openCalls--; c.openCalls == 0 && !c.isClosed {
		c.idleEntry, c.idleSince = l.idle.PushBack(c), time.Now()
		l.notifyRoom()
	}
}

// notifyRoom wakes up Accept. l.mu must be held.
func (l *clientListener) notifyRoom() {
	close(l.roomMade)
	l.roomMade = make(chan struct{})
}

// Close closes the connection and makes room for another one.
func (c *clientConn) Close() error {
	l := c.listener
	err := c.Conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.isClosed {
		return err
	}
	c.isClosed = true
	l.open--
	delete(l.byID, c.id)
	if c.idleEntry != nil {
		l.idle.Remove(c.idleEntry)
		c.idleEntry = nil
	}
	l.notifyRoom()
	return err
}

func newConnID(client, server net.Addr) connID {
	clientAddr, isTCP := client.(*net.TCPAddr)
	serverAddr, isServerTCP := server.(*net.TCPAddr)
	if !isTCP || !isServerTCP {
		return connID{}
	}
	return connID{clientAddr.AddrPort(), serverAddr.AddrPort()}
}
