package httplistener

import "net"

// clientListener accepts connections of clients. It wraps each in a clientConn.
type clientListener struct {
	net.Listener
	conns     *connTable
	maxFields int // of a request header; 0: no limit
}

// Accept implements net.Listener. Connections that the table does not admit are closed.
func (l clientListener) Accept() (net.Conn, error) {
	for {
		l.conns.awaitEvicted()
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.conns.admits(c) {
			return newClientConn(c, l.maxFields, &l.conns.readAhead), nil
		}
		_ = c.Close()
	}
}
