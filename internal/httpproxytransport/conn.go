package httpproxytransport

import (
	"bufio"
	"errors"
	"net"
	"time"

	"pumicecroft/internal/connpool"
	"pumicecroft/internal/socketpeek"
)

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 4 << 10

// errHeadTooLarge means that a response's head exceeds Config.MaxHeadBytes.
var errHeadTooLarge = errors.New("httpproxytransport: response head too large")

// conn is one HTTP/1.1 connection. One attempt at a time uses it.
type conn struct {
	netConn   net.Conn
	addr      string // the backend's address
	peeker    *socketpeek.Peeker
	pooled    *connpool.Conn
	reader    *bufio.Reader
	readLimit int // bytes that may still be read from netConn; negative: no limit
}

// newConn returns a conn. raw is netConn itself or, with TLS, the network connection below it.
func newConn(netConn, raw net.Conn) *conn {
	c := &conn{netConn: netConn, peeker: socketpeek.New(raw), readLimit: -1}
	c.reader = bufio.NewReaderSize((*limitedReader)(c), readBufferBytes)
	return c
}

// limitedReader reads from a conn up to its readLimit.
type limitedReader conn

func (r *limitedReader) Read(p []byte) (int, error) {
	if r.readLimit == 0 {
		return 0, errHeadTooLarge
	}
	if r.readLimit > 0 && len(p) > r.readLimit {
		p = p[:r.readLimit]
	}
	n, err := r.netConn.Read(p)
	if r.readLimit > 0 {
		r.readLimit -= n
	}
	return n, err
}

// expiredDeadline is a deadline in the past. It makes pending and later reads and writes fail.
var expiredDeadline = time.Unix(1, 0)

// abort makes all pending and later reads and writes on the connection fail.
func (c *conn) abort() { c.netConn.SetDeadline(expiredDeadline) }

func (c *conn) close() { c.netConn.Close() }
