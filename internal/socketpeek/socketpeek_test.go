package socketpeek

import (
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"pumicecroft/internal/testkit"
)

// Peek must return the state of a connection without reading from it.
func TestPeek(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	peer, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	got := []State{Peek(conn)}
	io.WriteString(peer, "x")
	_, _ = conn.Read(nil)
	for deadline := time.Now().Add(testkit.WaitTimeout); Peek(conn) == Idle && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	got = append(got, Peek(conn), Peek(conn))
	_, _ = conn.Read(make([]byte, 1))
	peer.Close()
	for deadline := time.Now().Add(testkit.WaitTimeout); Peek(conn) == Idle && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	got = append(got, Peek(conn))
	if want := []State{Idle, Readable, Readable, Closed}; !slices.Equal(got, want) {
		t.Errorf("got states %v, want %v", got, want)
	}
}
