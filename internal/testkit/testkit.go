// Package testkit holds helpers that tests of several packages share: backends on raw TCP connections, a scripted
// decision engine, and waits whose timeout is so long that it expires only if something is wrong.
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

// WaitTimeout is how long a test waits for something that must happen before it fails.
const WaitTimeout = 20 * time.Second

// Do sends a request on a connection of its own and reads the complete response.
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

// Serve starts a backend over HTTP and returns its address.
func Serve(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Accept starts a listener and returns its address. It calls serve for each connection, in a goroutine of its own, and
// closes the connection when serve returns.
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

// ServeRaw starts a backend on raw TCP connections and returns its address. It reads complete requests and calls
// respond for each, with the number of the request, from 1.
func ServeRaw(t testing.TB, respond func(n int, conn net.Conn)) string {
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
			respond(<-numbers, conn)
		}
	})
}

// Await receives a value, and fails the test after WaitTimeout.
func Await[T any](t testing.TB, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(WaitTimeout):
		t.Fatalf("timed out waiting for %s", what)
	}
	return v
}

// ScriptedEngine is a decision engine whose actions are chosen by the test. Events receives each event; Respond, unless
// nil, returns the actions.
type ScriptedEngine struct {
	Events  chan decision.Event
	Respond func(decision.Event) []decision.Action
}

// Handle sends the event to Events and appends the actions of Respond.
func (s *ScriptedEngine) Handle(
	_ time.Duration, event decision.Event, actions []decision.Action,
) []decision.Action {
	s.Events <- event
	if s.Respond != nil {
		actions = append(actions, s.Respond(event)...)
	}
	return actions
}

// NewScriptedEngine returns an engine that responds to each event with the actions of respond, which may be nil.
func NewScriptedEngine(respond func(decision.Event) []decision.Action) *ScriptedEngine {
	return &ScriptedEngine{Events: make(chan decision.Event, 100), Respond: respond}
}

// Next returns the next event of a type. Events of other types are skipped.
func Next[E decision.Event](t testing.TB, s *ScriptedEngine) E {
	t.Helper()
	timeout := time.After(WaitTimeout)
	for {
		select {
		case event := <-s.Events:
			if wanted, ok := event.(E); ok {
				return wanted
			}
		case <-timeout:
			t.Fatalf("timed out waiting for a %T", *new(E))
		}
	}
}

// ReadUntilClosed reads until the peer closes the connection, and returns what it read.
func ReadUntilClosed(t testing.TB, conn net.Conn) string {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(WaitTimeout))
	received, err := io.ReadAll(conn)
	if netError, ok := errors.AsType[net.Error](err); ok && netError.Timeout() {
		t.Errorf("the peer did not close the connection within %v, received %q", WaitTimeout, received)
	}
	return string(received)
}
