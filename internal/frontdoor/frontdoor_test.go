package frontdoor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"
)

// patient is how long a test waits for something that must happen: it fails then, and only then.
const patient = 20 * time.Second

const testConfig = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"seq":41,"whole":true,"hosts":[]},
 "settings":{"balancers":2,"me":0,
  "lanes":[{"name":"look","effect":"retryable","goal_time_us":20000000,"deadline_us":60000000,"gain":1},
   {"name":"pay","effect":"dedup","group":"cell","key_ttl_us":5000000,"goal_time_us":20000000,"deadline_us":60000000,"gain":5}],
  "tariffs":[{"name":"basic","units_per_s":1000,"burst":1000,"value_factor":1},
   {"name":"tiny","units_per_s":0.5,"burst":1,"value_factor":1}],
  "family_info":{"meter_period_us":500000,"largest":3},
  "policy_limits":{"cancel":true,"max_attempts":3,"max_retry_after_us":500000,"retry_after":true,
   "conn_idle_us":15000000,"connect_timeout_us":250000},
  "stats":{"columns":["depth","tps"],"how":"answers"},
  "obligations":{"cold_from":0.2,"warm_within_us":1000000,"fall_multiple":4,"fall_us":1000000}}}`

func config(t testing.TB) Config {
	t.Helper()
	c, err := parseConfig([]byte(testConfig))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func ready(addrs ...string) EndpointList {
	list := EndpointList{Seq: 42, Whole: true}
	for i, addr := range addrs {
		list.Hosts = append(list.Hosts, Endpoint{Host: fmt.Sprintf("s-%d", i), Dial: addr, Health: "Ready", Share: 1})
	}
	return list
}

// door is a front door that serves on a port of the system's choosing.
type door struct {
	addr string
	loop *Loop
	stop context.CancelFunc
	done chan error
}

func startDoor(t testing.TB, gateway decider, addrs ...string) *door {
	t.Helper()
	c := config(t)
	backends := NewBackends(c)
	loop, err := NewLoop(c, backends)
	if err != nil {
		t.Fatal(err)
	}
	if gateway != nil {
		loop = newLoop(loop.clock, gateway, backends)
	}
	loop.Update(ready(addrs...))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &door{addr: ln.Addr().String(), loop: loop, stop: stop, done: make(chan error, 1)}
	go func() { d.done <- NewClients(c, loop).Run(ctx, ln) }()
	t.Cleanup(stop)
	return d
}

// ask builds a good request; change alters it.
func (d *door) ask(t testing.TB, class string, change func(*http.Request)) *http.Request {
	t.Helper()
	method, body := http.MethodGet, io.Reader(nil)
	if class == "pay" {
		method, body = http.MethodPost, strings.NewReader("amount=3")
	}
	req, err := http.NewRequest(method, "http://"+d.addr+"/"+class, body)
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range map[string]string{"Request-Id": "9b1f03aa5c7e2d41", "Request-Class": class, "X-Tier": "basic",
		"X-Api-Key": "00000000b4d65521", "Request-Timeout": "20.5", "X-Call-Terms": "units=2,spread=2,first=1"} {
		req.Header.Set(k, v)
	}
	if class == "pay" {
		req.Header.Set("Idempotency-Key", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
	}
	if change != nil {
		change(req)
	}
	return req
}

func do(t *testing.T, req *http.Request) (*http.Response, string) {
	t.Helper()
	client := &http.Client{Timeout: patient, Transport: &http.Transport{}}
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

func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// raw is a backend on bare connections: it reads whole requests and hands each to answer, with its number.
func raw(t *testing.T, answer func(n int, conn net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
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
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
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
			}()
		}
	}()
	return ln.Addr().String()
}

// scripted is a gateway that does as it is told and keeps what it hears.
type scripted struct {
	heard chan decision.Event
	on    func(decision.Event) []decision.Action
}

func (s *scripted) Handle(_ time.Duration, ev decision.Event, as []decision.Action) []decision.Action {
	s.heard <- ev
	if s.on != nil {
		as = append(as, s.on(ev)...)
	}
	return as
}

func script(on func(decision.Event) []decision.Action) *scripted {
	return &scripted{heard: make(chan decision.Event, 100), on: on}
}

// next is the next event of a type.
func next[E decision.Event](t testing.TB, s *scripted) E {
	t.Helper()
	timeout := time.After(patient)
	for {
		select {
		case ev := <-s.heard:
			if e, ok := ev.(E); ok {
				return e
			}
		case <-timeout:
			t.Fatalf("no %T was heard", *new(E))
		}
	}
}
