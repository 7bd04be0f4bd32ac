// Package testkit is what tests of several packages share: backends on bare connections, a decision module that
// does as it is told, and waits that end only when something has gone wrong.
package testkit

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"
)

// Patient is how long a test waits for something that must happen: it fails then, and only then.
const WaitTimeout = 20 * time.Second

// Do makes a request on a connection of its own and reads the whole answer.
func Do(t testing.TB, req *http.Request) (*http.Response, string) {
	t.Helper()
	client := &http.Client{Timeout: WaitTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	res, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res, string(body)
}

// Serve is a backend over HTTP; it gives the address.
func Serve(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Accept hands each connection to serve, in a goroutine of its own, and closes it when serve returns; it gives the
// address.
func Accept(t testing.TB, serve func(conn net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return ln.Addr().String()
}

// Raw is a backend on bare connections: it reads whole requests and hands each to answer, with its number.
func ServeRaw(t testing.TB, answer func(n int, conn net.Conn)) string {
	t.Helper()
	numbers := make(chan int)
	go func() {
		for n := 1; ; n++ {
			select {
			case numbers <- n:
			case <-t.Context().Done():
				return
			}
		}
	}()
	return Accept(t, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			answer(<-numbers, conn)
		}
	})
}

// Await waits for a value.
func Await[T any](t testing.TB, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(WaitTimeout):
		t.Fatalf("waited in vain for %s", what)
	}
	return v
}

// Scripted is a decision module that does as it is told and keeps what it hears; On says what to do about each event.
type ScriptedEngine struct {
	Events  chan decision.Event
	Respond func(decision.Event) []decision.Action
}

// Handle keeps the event.
func (s *ScriptedEngine) Handle(_ time.Duration, ev decision.Event, as []decision.Action) []decision.Action {
	s.Events <- ev
	if s.Respond != nil {
		as = append(as, s.Respond(ev)...)
	}
	return as
}

// Script makes one; on may be nil.
func NewScriptedEngine(on func(decision.Event) []decision.Action) *ScriptedEngine {
	return &ScriptedEngine{Events: make(chan decision.Event, 100), Respond: on}
}

// Next is the next event of a type.
func Next[E decision.Event](t testing.TB, s *ScriptedEngine) E {
	t.Helper()
	timeout := time.After(WaitTimeout)
	for {
		select {
		case ev := <-s.Events:
			if e, ok := ev.(E); ok {
				return e
			}
		case <-timeout:
			t.Fatalf("no %T was heard", *new(E))
		}
	}
}

// UntilEnd waits until the other side has closed a connection and gives what it said before.
func ReadUntilClosed(t testing.TB, c net.Conn) string {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(WaitTimeout))
	said, err := io.ReadAll(c)
	if ne, ok := errors.AsType[net.Error](err); ok && ne.Timeout() {
		t.Errorf("the connection was never closed; it said %q", said)
	}
	return string(said)
}
