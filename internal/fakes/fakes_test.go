package fakes

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"pumicecroft/internal/platform"
)

const waitTimeout = 20 * time.Second

// startBackend starts a backend that is killed when the test ends.
func startBackend(t *testing.T, c BackendConfig) *Backend {
	t.Helper()
	if c.Ledger == nil {
		c.Ledger = &Ledger{}
	}
	b, err := StartBackend(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Kill)
	return b
}

var lastID uint64

// sendRequest sends a request with an ID of its own.
func sendRequest(t *testing.T, addr, key string, timeout time.Duration) Reply {
	t.Helper()
	lastID++
	a := Request{ID: lastID, Class: "pay", Plan: "p", Key: key, Timeout: timeout}
	return a.Do(t.Context(), &http.Transport{DisableKeepAlives: true}, addr)
}

// A client repeats an idempotency key at several backends. The backends of the same cell must drop the repeat, those of
// another cell must not, and after the window the key must count as new.
func TestCell_DropsRepeatedKeys(t *testing.T) {
	l := &Ledger{}
	one, two := &Cell{Number: 1, Window: 200 * time.Millisecond}, &Cell{Number: 2, Window: time.Hour}
	keyed := func(string) bool { return true }
	a := startBackend(t, BackendConfig{Cell: one, Ledger: l, IdempotentByKey: keyed})
	b := startBackend(t, BackendConfig{Cell: one, Ledger: l, IdempotentByKey: keyed})
	c := startBackend(t, BackendConfig{Cell: two, Ledger: l, IdempotentByKey: keyed})
	for i, step := range []struct {
		b    *Backend
		want int
	}{{a, 1}, {b, 1}, {a, 1}, {c, 2}, {c, 2}} {
		if r := sendRequest(t, step.b.Addr(), "k", waitTimeout); r.Status != 200 || l.Effects("k") != step.want {
			t.Errorf("step %d: %v, %d effects, want %d", i, r, l.Effects("k"), step.want)
		}
	}
	time.Sleep(210 * time.Millisecond) // longer than the window
	sendRequest(t, a.Addr(), "k", waitTimeout)
	if l.Effects("k") != 3 || len(l.RepeatedEffects()) != 1 || len(one.firstUses) != 1 || len(one.keysByAge) != 1 {
		t.Errorf("after the window: %d effects, want 3; repeated effects %v, want 1; %d keys stored, %d in order, want 1",
			l.Effects("k"), l.RepeatedEffects(), len(one.firstUses), len(one.keysByAge))
	}
}

// A backend must reject attempts beyond its slots and its queue, and all new ones while it drains.
func TestBackend_SlotsQueueAndDrain(t *testing.T) {
	l := &Ledger{}
	b := startBackend(t, BackendConfig{
		Ledger: l, Slots: 1, Queue: 1, WorkTime: func(string) time.Duration { return 50 * time.Millisecond },
		Behavior: func(Attempt) Behavior { return ServeNormally },
	})
	replies := make(chan Reply, 3)
	for i := range 3 {
		go func() {
			a := Request{ID: 1000 + uint64(i), Class: "c", Plan: "p", Timeout: waitTimeout}
			replies <- a.Do(t.Context(), &http.Transport{DisableKeepAlives: true}, b.Addr())
		}()
	}
	kinds := map[string]int{}
	for range 3 {
		kinds[(<-replies).String()]++
	}
	if kinds["served"] != 2 || kinds["refused"] != 1 {
		t.Errorf("three concurrent requests with one slot and a queue of one: got %v, want 2 served and 1 refused", kinds)
	}
	b.Drain()
	if r := sendRequest(t, b.Addr(), "", waitTimeout); r.Status != 503 {
		t.Errorf("a draining backend: got %v with status %d, want 503", r, r.Status)
	}
	b.Kill()
	if r := sendRequest(t, b.Addr(), "", waitTimeout); r.Status != 0 || r.Err == nil {
		t.Errorf("a killed backend: got status %d, error %v; want an error and no status", r.Status, r.Err)
	}
}

// Each behavior must give the client its reply, and must execute the request or not as its name says.
func TestBackend_Behaviors(t *testing.T) {
	for behavior, want := range map[Behavior]struct {
		reply  string
		effect int
	}{
		ServeNormally:         {"served", 1},
		ExecuteThenError:      {"failed 500", 1},
		RejectNotStarted:      {"refused", 0},
		ExecuteThenReset:      {"lost", 1},
		ResetWithoutExecution: {"lost", 0},
		ExecuteThenGarble:     {"lost", 1},
		ExecuteThenTruncate:   {"lost", 1},
		ExecuteThenHang:       {"lost", 1},
		HangWithoutExecution:  {"lost", 0},
	} {
		l := &Ledger{}
		b := startBackend(t, BackendConfig{Ledger: l, Behavior: func(Attempt) Behavior { return behavior }})
		timeout := waitTimeout
		if behavior == ExecuteThenHang || behavior == HangWithoutExecution {
			timeout = 300 * time.Millisecond
		}
		r := sendRequest(t, b.Addr(), "k", timeout)
		ended := l.Await(waitTimeout, func(as []Attempt) bool { return len(as) == 1 && as[0].Outcome != "" })
		if r.String() != want.reply || !ended || l.Effects("k") != want.effect {
			t.Errorf("behavior %d: %v (%v), one attempt with an outcome: %t, %d effects; want %v, true, %d",
				behavior, r, r.Err, ended, l.Effects("k"), want.reply, want.effect)
		}
	}
}

// A backend in slow start that gets too many attempts must become overloaded and reject all later ones; a warm one with
// the same configuration must not.
func TestBackend_OverloadedWhileCold(t *testing.T) {
	cold := BackendConfig{
		Capacity: 1000, SlowStartMinCapacity: 0.01, SlowStartWindow: time.Hour,
		OverloadFactor: 2, OverloadDuration: 100 * time.Millisecond, StartCold: true,
	}
	b := startBackend(t, cold)
	for end := time.Now().Add(waitTimeout); !b.Overloaded(); {
		sendRequest(t, b.Addr(), "", waitTimeout)
		if time.Now().After(end) {
			t.Fatalf("the backend is not overloaded after %v of requests", waitTimeout)
		}
	}
	if r := sendRequest(t, b.Addr(), "", waitTimeout); r.Status != 503 {
		t.Errorf("an overloaded backend: got %v with status %d, want 503", r, r.Status)
	}
	cold.StartCold = false
	b = startBackend(t, cold)
	for range 200 {
		sendRequest(t, b.Addr(), "", waitTimeout)
	}
	if b.Overloaded() {
		t.Error("a warm backend is overloaded after 200 requests")
	}
}

// The usage is that of the last complete period: each request counts once, and an idle period resets it.
func TestMeter(t *testing.T) {
	m := &Meter{Period: time.Second}
	m.Register("a", 1, 3, 2)
	m.Register("b", 1, 1, 2)
	at := time.Unix(100, 0)
	for i, step := range []struct {
		id   string
		at   time.Duration
		want float64
	}{{"a", 0, 0}, {"a", 1, 0}, {"b", 2, 0}, {"b", time.Second, 200}, {"b", 3 * time.Second, 0}} {
		if got, ok := m.recordAttempt(step.id, at.Add(step.at)); !ok || got != step.want {
			t.Errorf("step %d: got %v%%, %t, want %v%%, true", i, got, ok, step.want)
		}
	}
	m.Forget("a")
	if percent, ok := m.recordAttempt("a", at); ok {
		t.Errorf("a forgotten request: got a usage of %v%%, want none", percent)
	}
}

// A watch must send the changes after its version, and nothing while discovery is down.
func TestDiscovery(t *testing.T) {
	d, err := StartDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	d.Set(platform.Endpoint{Name: "a", Addr: "x:1", Health: "Ready"},
		platform.Endpoint{Name: "b", Addr: "x:2", Health: "Ready"})
	list := d.List()
	if !list.Full || len(list.Endpoints) != 2 || list.Endpoints[0].Name != "a" {
		t.Fatalf("got %+v, want a full update with a and b", list)
	}
	res, err := http.Get(fmt.Sprintf("http://%s/v1/endpoints?watch=1&from=%d", d.Addr(), list.Seq))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	lines := bufio.NewReader(res.Body)
	next := func() platform.EndpointUpdate {
		t.Helper()
		for {
			line, err := lines.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			if strings.TrimSpace(line) != "" {
				var l platform.EndpointUpdate
				if err := json.Unmarshal([]byte(line), &l); err != nil {
					t.Fatal(err)
				}
				return l
			}
		}
	}
	if l := next(); l.Full || len(l.Endpoints) != 0 || l.Seq != list.Seq {
		t.Errorf("without a change: got %+v, want an empty delta update of version %d", l, list.Seq)
	}
	d.SetHealth("b", "Terminating")
	if l := next(); len(l.Endpoints) != 1 || l.Endpoints[0].Name != "b" ||
		l.Endpoints[0].Health != "Terminating" || l.Seq <= list.Seq {
		t.Errorf("got %+v, want b Terminating and a version above %d", l, list.Seq)
	}
	d.SetDown(true)
	d.SetHealth("a", "Gone")
	d.SetDown(false)
	if l := next(); len(l.Endpoints) != 1 || l.Endpoints[0].Health != "Gone" {
		t.Errorf("after discovery was down: got %+v, want one endpoint, Gone", l)
	}
	if l := d.List(); len(l.Endpoints) != 1 {
		t.Errorf("the full list has %d endpoints, want 1 without the one that is Gone: %+v", len(l.Endpoints), l)
	}
	res, err = http.Get("http://" + d.Addr() + "/v1/endpoints?watch=1&from=x")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != 400 {
		t.Errorf("an invalid version: got status %d, want 400", res.StatusCode)
	}
}

// The counter must add up valid amounts, reject invalid calls, and lose its totals in a reset.
func TestCounter(t *testing.T) {
	c, err := StartCounter()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	call := func(path string) string {
		t.Helper()
		res, err := http.Post("http://"+c.Addr()+path, "", nil)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		body, _ := io.ReadAll(res.Body)
		return fmt.Sprintf("%d %s", res.StatusCode, body)
	}
	for _, step := range [][2]string{{"/tally/a?n=2.5&keep_ms=60000", "200 2.5"}, {"/tally/a?n=-1&keep_ms=1", "200 1.5"},
		{"/tally/b?n=1&keep_ms=60000", "200 1"}, {"/tally/a?n=1", "400 "}, {"/tally/a?n=x&keep_ms=1", "400 "},
		{"/tally/a?n=NaN&keep_ms=1", "400 "}, {"/tally/a?n=1&keep_ms=0", "400 "}, {"/tally/a?n=2e9&keep_ms=1", "400 "},
		{"/tally/" + strings.Repeat("x", 65) + "?n=1&keep_ms=1", "400 "}, {"/other", "404 404 page not found\n"}} {
		if got := call(step[0]); got != step[1] {
			t.Errorf("%s: %q, want %q", step[0], got, step[1])
		}
	}
	c.Reset()
	if got := call("/tally/a?n=1&keep_ms=60000"); got != "200 1" {
		t.Errorf("after a reset: got %q, want %q", got, "200 1")
	}
	c.SetUnavailable(true)
	if got := call("/tally/a?n=1&keep_ms=60000"); got != "503 " || c.Calls() != 4 {
		t.Errorf("while unavailable: got %q, want %q; %d calls answered, want 4", got, "503 ", c.Calls())
	}
}

// A gateway could confuse two responses. The client must detect a response that belongs to another request.
func TestRequest_WrongResponseCountsAsLost(t *testing.T) {
	l := &Ledger{}
	b := startBackend(t, BackendConfig{Ledger: l})
	a := Request{
		ID: 5, Class: "c", Plan: "p", Timeout: waitTimeout,
		Header: http.Header{"Request-Id": {"0000000000000006"}},
	}
	if r := a.Do(context.Background(), &http.Transport{DisableKeepAlives: true}, b.Addr()); r.String() != "lost" {
		t.Errorf("got %v with status %d, error %v; want lost", r, r.Status, r.Err)
	}
}

// Guards against "address already in use" when an agent recovers: while it refuses connections, the operating system
// must not give its port to another server.
func TestConsulKeepsItsPort(t *testing.T) {
	agent, err := StartConsul(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	if err := agent.SetFault(ConsulRefusesConnections); err != nil {
		t.Fatal(err)
	}
	if ln, err := net.Listen("tcp", agent.Addr()); err == nil {
		_ = ln.Close()
		t.Error("another server listens on the agent's port")
	}
	if conn, err := net.Dial("tcp", agent.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("connection to the agent: %v, error %v, want %v", conn, err, syscall.ECONNREFUSED)
	}
	if err := agent.SetFault(ConsulHealthy); err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", agent.Addr())
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
}
