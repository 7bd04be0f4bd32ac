package httpproxytransport

import (
	"bufio"
	"errors"
	"net"
	"time"

	"pumicecroft/internal/connpool"
	"pumicecroft/internal/socketpeek"
)

// readRoom is a connection's room for what has come.
const readRoom = 4 << 10

// errBigHead says that an answer's head is larger than heads may be.
var errBigHead = errors.New("the answer's head is larger than heads may be")

// conn is one connection. One attempt at a time uses it.
type conn struct {
	nc     net.Conn
	host   string // its backend's address
	look   *socketpeek.Peeker
	pooled *connpool.Conn
	br     *bufio.Reader
	left   int // bytes that may still be read; below 0: no bound
}

// newConn takes a connection, and the one below it that the system knows.
func newConn(nc, raw net.Conn) *conn {
	c := &conn{nc: nc, look: socketpeek.New(raw), left: -1}
	c.br = bufio.NewReaderSize((*limited)(c), readRoom)
	return c
}

// limited reads with the bound of the conn.
type limited conn

func (l *limited) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, errBigHead
	}
	if l.left > 0 && len(p) > l.left {
		p = p[:l.left]
	}
	n, err := l.nc.Read(p)
	if l.left > 0 {
		l.left -= n
	}
	return n, err
}

// past is a deadline that ends what waits.
var past = time.Unix(1, 0)

// cut ends every wait on the connection, for good.
func (c *conn) cut() { c.nc.SetDeadline(past) }

func (c *conn) close() { c.nc.Close() }
