package unread

import (
	"errors"
	"io"
	"net"
	"testing"

	"pumicecroft/internal/testkit"
)

// FullyRead must return true while the reader waits for bytes, and false before the first read, from the
// arrival of bytes until the reader waits again, and after Close.
func TestFullyRead(t *testing.T) {
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
	waiting := make(chan bool, 100)
	c := New(conn, func() { waiting <- true })
	if c.FullyRead() {
		t.Error("before the first read: FullyRead returned true, want false")
	}
	got, handled := make(chan string), make(chan bool)
	ended := make(chan error, 1)
	go func() {
		b := make([]byte, 10)
		for {
			n, err := c.Read(b)
			if err != nil {
				ended <- err
				return
			}
			got <- string(b[:n])
			<-handled
		}
	}()
	for range 3 {
		testkit.Await(t, waiting, "the reader to wait")
		if !c.FullyRead() {
			t.Error("while the reader waits: FullyRead returned false, want true")
		}
		io.WriteString(peer, "x")
		if s := testkit.Await(t, got, "the written byte"); s != "x" {
			t.Errorf("read %q, want \"x\"", s)
		}
		if c.FullyRead() {
			t.Error("while the read byte is handled: FullyRead returned true, want false")
		}
		handled <- true
	}
	testkit.Await(t, waiting, "the reader to wait")
	peer.Close()
	if err := testkit.Await(t, ended, "the reader to end"); !errors.Is(err, io.EOF) {
		t.Errorf("Read ended with error %v, want %v", err, io.EOF)
	}
	_ = c.Close()
	if c.FullyRead() {
		t.Error("after Close: FullyRead returned true, want false")
	}
}
