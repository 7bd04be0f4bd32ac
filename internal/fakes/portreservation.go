package fakes

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// portReservation keeps a loopback port for a server that stops listening and listens again later: meanwhile the
// operating system would give the port to others. Connections to the port are refused while nothing listens on it.
type portReservation struct {
	addr   netip.AddrPort
	socket *os.File // bound to addr and never listening
}

// reservePort reserves a free loopback port.
func reservePort() (*portReservation, error) {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		return nil, fmt.Errorf("fakes: reserve a port: %w", err)
	}
	unix.CloseOnExec(socket)
	port, err := bindToFreePort(socket)
	if err != nil {
		_ = unix.Close(socket)
		return nil, fmt.Errorf("fakes: reserve a port: %w", err)
	}
	return &portReservation{addr: port, socket: os.NewFile(uintptr(socket), "reserved port")}, nil
}

// bindToFreePort binds a socket to a free loopback port, which other sockets that share it may listen on.
func bindToFreePort(socket int) (netip.AddrPort, error) {
	loopback := [4]byte{127, 0, 0, 1}
	if err := sharePort(socket); err != nil {
		return netip.AddrPort{}, err
	}
	if err := unix.Bind(socket, &unix.SockaddrInet4{Addr: loopback}); err != nil {
		return netip.AddrPort{}, err
	}
	name, err := unix.Getsockname(socket)
	if err != nil {
		return netip.AddrPort{}, err
	}
	port := name.(*unix.SockaddrInet4).Port
	return netip.AddrPortFrom(netip.AddrFrom4(loopback), uint16(port)), nil
}

// sharePort allows other sockets of this user to be bound to the socket's port, if they allow it too.
func sharePort(socket int) error {
	return unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
}

// listen listens on the reserved port.
func (p *portReservation) listen() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var shareErr error
		err := c.Control(func(socket uintptr) { shareErr = sharePort(int(socket)) })
		if err != nil {
			return err
		}
		return shareErr
	}}
	return config.Listen(context.Background(), "tcp4", p.addr.String())
}

// release ends the reservation.
func (p *portReservation) release() { _ = p.socket.Close() }
