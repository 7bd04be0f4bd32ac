package socketpeek

import (
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"pumicecroft/internal/testkit"
)

// Peeking shows what has arrived on a connection and does not read it.
func TestPeek(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	far, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	near, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	seen := []State{Peek(near)}
	io.WriteString(far, "x")
	_, _ = near.Read(nil)
	for deadline := time.Now().Add(testkit.WaitTimeout); Peek(near) == Idle && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	seen = append(seen, Peek(near), Peek(near))
	_, _ = near.Read(make([]byte, 1))
	far.Close()
	for deadline := time.Now().Add(testkit.WaitTimeout); Peek(near) == Idle && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	seen = append(seen, Peek(near))
	if want := []State{Idle, Readable, Readable, Closed}; !slices.Equal(seen, want) {
		t.Errorf("seen %v, want %v", seen, want)
	}
}
