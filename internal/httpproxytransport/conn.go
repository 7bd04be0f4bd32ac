package httpproxytransport

import (
	"bufio"
	"errors"
	"net"
	"time"

	"pumicecroft/internal/connpool"
	"pumicecroft/internal/socketpeek"
)

// readBufferBytes is a connection's room for what has come.
const readBufferBytes = 4 << 10

// errHeadTooLarge says that an answer's head is larger than heads may be.
var errHeadTooLarge = errors.New("the answer's head is larger than heads may be")

// conn is one connection. One attempt at a time uses it.
type conn struct {
	netConn   net.Conn
	addr      string // its backend's address
	peeker    *socketpeek.Peeker
	pooled    *connpool.Conn
	reader    *bufio.Reader
	readLimit int // bytes that may still be read; below 0: no bound
}

// newConn takes a connection, and the one below it that the system knows.
func newConn(nc, raw net.Conn) *conn {
	c := &conn{netConn: nc, peeker: socketpeek.New(raw), readLimit: -1}
	c.reader = bufio.NewReaderSize((*limitedReader)(c), readBufferBytes)
	return c
}

// limitedReader reads with the bound of the conn.
type limitedReader conn

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.readLimit == 0 {
		return 0, errHeadTooLarge
	}
	if l.readLimit > 0 && len(p) > l.readLimit {
		p = p[:l.readLimit]
	}
	n, err := l.netConn.Read(p)
	if l.readLimit > 0 {
		l.readLimit -= n
	}
	return n, err
}

// expiredDeadline is a deadline that ends what waits.
var expiredDeadline = time.Unix(1, 0)

// abort ends every wait on the connection, for good.
func (c *conn) abort() { c.netConn.SetDeadline(expiredDeadline) }

func (c *conn) close() { c.netConn.Close() }
