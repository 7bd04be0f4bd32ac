package unread

import (
	"errors"
	"io"
	"net"
	"testing"

	"pumicecroft/internal/testkit"
)

// Nothing returns true while the reader waits, false from the arrival of bytes until it waits
// again, and false after the end.
func TestFullyRead(t *testing.T) {
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
	told := make(chan bool, 100)
	c := New(near, func() { told <- true })
	if c.FullyRead() {
		t.Error("nobody reads, and nothing is unread")
	}
	got, deal := make(chan string), make(chan bool)
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
			<-deal
		}
	}()
	for range 3 {
		testkit.Await(t, told, "the reader to wait")
		if !c.FullyRead() {
			t.Error("the reader waits for more, and something is unread")
		}
		io.WriteString(far, "x")
		if s := testkit.Await(t, got, "what was written"); s != "x" {
			t.Errorf("read %q", s)
		}
		if c.FullyRead() {
			t.Error("what was read is not dealt with, and nothing is unread")
		}
		deal <- true
	}
	testkit.Await(t, told, "the reader to wait")
	far.Close()
	if err := testkit.Await(t, ended, "the end"); !errors.Is(err, io.EOF) {
		t.Errorf("it ended with %v", err)
	}
	_ = c.Close()
	if c.FullyRead() {
		t.Error("it is closed, and nothing is unread")
	}
}
