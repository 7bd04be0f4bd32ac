package connpool

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is a simple reference implementation of the pool, run next to the pool under test.
type model struct {
	pool   *Pool
	limits Limits
	now    time.Duration

	destinations []*Destination
	opening      []*Destination // of the connections being opened
	inUse        map[*Conn]*Destination
	idle         []idleConn // longest idle first
	closedDests  map[*Destination]bool
	poolClosed   bool
	closedConns  map[*Conn]bool
	lastOwner    int
}

type idleConn struct {
	conn  *Conn
	to    *Destination
	since time.Duration
}

func newModel(t *rapid.T) *model {
	limits := Limits{
		MaxConns:      rapid.IntRange(1, 4).Draw(t, "max"),
		IdleTimeout:   10,
		ReuseDelay:    3,
		MinReuseDelay: time.Duration(rapid.IntRange(1, 3).Draw(t, "min delay")),
	}
	return &model{
		pool:         New(limits),
		limits:       limits,
		destinations: []*Destination{{Addr: "a"}, {Addr: "b"}, {Addr: "a"}},
		inUse:        map[*Conn]*Destination{},
		closedDests:  map[*Destination]bool{},
		closedConns:  map[*Conn]bool{},
	}
}

func (m *model) count() int { return len(m.opening) + len(m.inUse) + len(m.idle) }

func sortByOwner(conns []*Conn) {
	slices.SortFunc(conns, func(a, b *Conn) int { return a.Owner.(int) - b.Owner.(int) })
}

// checkDiscarded compares the connections that the pool tells its caller to close with the expected ones.
func (m *model) checkDiscarded(t *rapid.T, want ...*Conn) {
	t.Helper()
	got := m.pool.TakeDiscarded()
	sortByOwner(got)
	sortByOwner(want)
	if !slices.Equal(got, want) {
		t.Fatalf("the pool closes %d connections, want %d: %v, want %v", len(got), len(want), got, want)
	}
	for _, c := range got {
		if m.closedConns[c] {
			t.Fatalf("connection %v is closed twice", c.Owner)
		}
		m.closedConns[c] = true
	}
}

// drawInUse draws one of the connections in use.
func (m *model) drawInUse(t *rapid.T) *Conn {
	var conns []*Conn
	for c := range m.inUse {
		conns = append(conns, c)
	}
	sortByOwner(conns)
	if len(conns) == 0 {
		t.Skip("none in use")
	}
	return rapid.SampledFrom(conns).Draw(t, "connection")
}

// takeIdle removes the idle connections that Acquire must remove. It returns the connection to use, or nil if there is
// none, and the expired ones to close.
func (m *model) takeIdle(to *Destination) (conn *Conn, expired []*Conn) {
	for i := len(m.idle) - 1; i >= 0; i-- {
		idle := m.idle[i]
		if idle.to != to || m.now-idle.since < m.limits.ReuseDelay {
			continue
		}
		m.idle = slices.Delete(m.idle, i, i+1)
		if m.now-idle.since < m.limits.IdleTimeout {
			return idle.conn, expired
		}
		expired = append(expired, idle.conn)
	}
	first := slices.IndexFunc(m.idle, func(idle idleConn) bool { return idle.to == to })
	if m.count() >= m.limits.MaxConns && first >= 0 && m.now-m.idle[first].since >= m.limits.MinReuseDelay {
		conn = m.idle[first].conn
		m.idle = slices.Delete(m.idle, first, first+1)
	}
	return conn, expired
}

func (m *model) acquire(t *rapid.T) {
	to := rapid.SampledFrom(m.destinations).Draw(t, "destination")
	fresh := rapid.Bool().Draw(t, "fresh")
	var want *Conn
	var closed []*Conn
	if !fresh {
		want, closed = m.takeIdle(to)
	}
	c, err := m.pool.Acquire(m.now, to, fresh)
	if c != want {
		t.Fatalf("Acquire returns %v, want %v", c, want)
	}
	switch full := m.count() >= m.limits.MaxConns; {
	case want != nil:
		m.inUse[c] = to
	case full && len(m.idle) == 0:
		if err == nil {
			t.Fatalf("Acquire returns no error with all %d connections in use, want %v", m.limits.MaxConns, ErrPoolFull)
		}
	default:
		if full {
			closed = append(closed, m.idle[0].conn)
			m.idle = m.idle[1:]
		}
		if err != nil {
			t.Fatalf("Acquire: %v, want no error", err)
		}
		m.opening = append(m.opening, to)
	}
	m.checkDiscarded(t, closed...)
}

func (m *model) open(t *rapid.T) {
	if len(m.opening) == 0 {
		t.Skip("none is being opened")
	}
	to := m.opening[0]
	m.opening = m.opening[1:]
	if rapid.Bool().Draw(t, "succeeds") {
		m.lastOwner++
		m.inUse[m.pool.Opened(to, m.lastOwner)] = to
	} else {
		m.pool.OpenFailed()
	}
}

func (m *model) put(t *rapid.T) {
	c := m.drawInUse(t)
	to := m.inUse[c]
	delete(m.inUse, c)
	m.pool.Put(m.now, c)
	if m.poolClosed || m.closedDests[to] {
		m.checkDiscarded(t, c)
		return
	}
	m.idle = append(m.idle, idleConn{c, to, m.now})
	if !c.Used() {
		t.Fatalf("Used() of connection %v is false after a response, want true", c.Owner)
	}
}

func (m *model) discard(t *rapid.T) {
	c := m.drawInUse(t)
	delete(m.inUse, c)
	m.pool.Discard(c)
	m.checkDiscarded(t, c)
}

func (m *model) closeDestination(t *rapid.T) {
	i := rapid.IntRange(0, len(m.destinations)-1).Draw(t, "destination")
	to := m.destinations[i]
	m.pool.CloseDestination(to)
	m.closedDests[to] = true
	var closed []*Conn
	m.idle = slices.DeleteFunc(m.idle, func(idle idleConn) bool {
		if idle.to == to {
			closed = append(closed, idle.conn)
		}
		return idle.to == to
	})
	m.checkDiscarded(t, closed...)
	m.destinations[i] = &Destination{Addr: to.Addr}
}

func (m *model) closeExpired(t *rapid.T) {
	m.pool.CloseExpired(m.now)
	var expired []*Conn
	for len(m.idle) > 0 && m.now-m.idle[0].since >= m.limits.IdleTimeout {
		expired = append(expired, m.idle[0].conn)
		m.idle = m.idle[1:]
	}
	m.checkDiscarded(t, expired...)
}

func (m *model) close(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "one in ten") > 0 {
		t.Skip("the pool is closed in a tenth of the cases only")
	}
	m.pool.Close()
	m.poolClosed = true
	var closed []*Conn
	for _, idle := range m.idle {
		closed = append(closed, idle.conn)
	}
	m.idle = nil
	m.checkDiscarded(t, closed...)
}

func (m *model) checkCounts(t *rapid.T) {
	if m.pool.Count() != m.count() || m.pool.Idle() != len(m.idle) || m.pool.Count() > m.limits.MaxConns {
		t.Fatalf("%d connections, %d idle; want %d and %d, at most %d", m.pool.Count(), m.pool.Idle(), m.count(),
			len(m.idle), m.limits.MaxConns)
	}
	at, ok := m.pool.NextExpiry()
	if ok != (len(m.idle) > 0) || ok && at != m.idle[0].since+m.limits.IdleTimeout {
		t.Fatalf("NextExpiry returns %v, %v; want IdleTimeout after the first of %d idle connections", at, ok, len(m.idle))
	}
}

// Runs random operations on the pool and on the model, whose results must be equal. A connection that the pool returns
// belongs to the destination, has been idle for the reuse delay, has not expired, and is the most recently used one.
// Each connection is closed once and never returned after that. The limit on connections holds.
func TestPool_AgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"wait":              func(t *rapid.T) { m.now += time.Duration(rapid.IntRange(0, 6).Draw(t, "duration")) },
			"acquire":           m.acquire,
			"open":              m.open,
			"put":               m.put,
			"discard":           m.discard,
			"close destination": m.closeDestination,
			"close expired":     m.closeExpired,
			"close":             m.close,
			"":                  m.checkCounts,
		})
	})
}
