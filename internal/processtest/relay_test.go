package processtest

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// A relay applies each fault to its connections and undoes it. No data is lost, except on connections that were reset.
func TestRelay(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); io.Copy(c, c) }()
		}
	}()
	r, err := NewRelay("127.0.0.1", ln.Addr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	dial := func() net.Conn {
		t.Helper()
		c, err := net.Dial("tcp", r.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	read := func(c net.Conn, within time.Duration) (string, error) {
		c.SetReadDeadline(time.Now().Add(within))
		b := make([]byte, 10)
		n, err := c.Read(b)
		return string(b[:n]), err
	}
	requireNothing := func(description string, c net.Conn) {
		t.Helper()
		if s, err := read(c, 30*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: read %q (%v), want nothing until the deadline", description, s, err)
		}
	}
	requireData := func(description string, c net.Conn, want string) {
		t.Helper()
		if s, err := read(c, waitTimeout); s != want || err != nil {
			t.Errorf("%s: read %q (%v), want %q", description, s, err, want)
		}
	}
	requireClosed := func(description string, c net.Conn) {
		t.Helper()
		if s, err := read(c, waitTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: read %q (%v), want a closed connection", description, s, err)
		}
	}
	c := dial()
	io.WriteString(c, "a")
	requireData("without faults", c, "a")
	for _, direction := range []Direction{Upstream, Downstream, BothDirections} {
		r.Stall(direction)
		io.WriteString(c, "b")
		requireNothing("stalled", c)
		r.Heal()
		requireData("healed", c, "b")
	}
	r.Delay(20 * time.Millisecond)
	start := time.Now()
	io.WriteString(c, "c")
	requireData("delayed", c, "c")
	if d := time.Since(start); d < 40*time.Millisecond {
		t.Errorf("delay of both directions together %v, want at least 40ms", d)
	}
	r.Heal()
	r.Stall(BothDirections)
	lateConn := dial()
	io.WriteString(lateConn, "d")
	requireNothing("opened while stalled", lateConn)
	r.Heal()
	requireData("opened while stalled, after Heal", lateConn, "d")
	r.Refuse()
	requireClosed("refused", dial())
	r.Heal()
	r.SetSilentShare(1)
	silentConn := dial()
	io.WriteString(silentConn, "e")
	requireNothing("silent", silentConn)
	r.Heal()
	requireNothing("silent, after Heal", silentConn)
	r.HalfOpen()
	requireNothing("half open", c)
	io.WriteString(c, "f")
	requireClosed("half open, written to", c)
	r.Reset()
	requireClosed("reset", silentConn)
	if n := r.Opened(); n != 4 {
		t.Errorf("%d connections were opened, want 4", n)
	}
}

// Guards against a Close that never returns: a connection is reset while the relay dials the server. The
// connection to the server must then be closed too, as nothing else ends it.
func TestRelayResetWhileDialing(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	r, err := NewRelay("127.0.0.1", ln.Addr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan struct{}) // closed when the client's Dial has returned, which a reset may fail before
	r.update(func() {
		r.dial = func(target string) (net.Conn, error) {
			conn, err := dialServer(target)
			<-accepted
			r.Reset()
			return conn, err
		}
	})
	client, err := net.Dial("tcp", r.Addr())
	close(accepted)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	server.SetReadDeadline(time.Now().Add(waitTimeout))
	if _, err := server.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read at the server after the reset: %v, want a closed connection", err)
	}
	closed := make(chan struct{})
	go func() { r.Close(); close(closed) }()
	select {
	case <-closed:
	case <-time.After(waitTimeout):
		t.Error("Close has not returned")
	}
}
