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
	silent := func(what string, c net.Conn) {
		t.Helper()
		if s, err := read(c, 30*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: %q, %v", what, s, err)
		}
	}
	arrives := func(what string, c net.Conn, want string) {
		t.Helper()
		if s, err := read(c, waitTimeout); s != want || err != nil {
			t.Errorf("%s: %q, %v, want %q", what, s, err, want)
		}
	}
	ends := func(what string, c net.Conn) {
		t.Helper()
		if s, err := read(c, waitTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: %q, %v", what, s, err)
		}
	}
	c := dial()
	io.WriteString(c, "a")
	arrives("it passes", c, "a")
	for _, direction := range []Direction{Upstream, Downstream, BothDirections} {
		r.Stall(direction)
		io.WriteString(c, "b")
		silent("stalled", c)
		r.Heal()
		arrives("healed", c, "b")
	}
	r.Delay(20 * time.Millisecond)
	start := time.Now()
	io.WriteString(c, "c")
	arrives("delayed", c, "c")
	if d := time.Since(start); d < 40*time.Millisecond {
		t.Errorf("delayed both ways by %v", d)
	}
	r.Heal()
	r.Stall(BothDirections)
	late := dial()
	io.WriteString(late, "d")
	silent("opened while stalled", late)
	r.Heal()
	arrives("it passes then", late, "d")
	r.Refuse()
	ends("refused", dial())
	r.Heal()
	r.SetSilentShare(1)
	lost := dial()
	io.WriteString(lost, "e")
	silent("lost", lost)
	r.Heal()
	silent("for good", lost)
	r.HalfOpen()
	silent("half open", c)
	io.WriteString(c, "f")
	ends("half open, written to", c)
	r.Reset()
	ends("reset", lost)
	if n := r.Opened(); n != 4 {
		t.Errorf("%d connections, want 4", n)
	}
}
