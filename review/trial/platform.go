package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// host is an entry of discovery's list, as the protocol page has it.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// hostList is a list of discovery, whole or of changes.
type hostList struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// discovery is the platform's discovery agent.
type discovery struct {
	t    *trial
	addr string

	mu      sync.Mutex
	hosts   []host
	changes []hostList
	changed chan struct{}
}

func (t *trial) startDiscovery(hosts ...host) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{t: t, addr: ln.Addr().String(), hosts: hosts, changed: make(chan struct{})}
	go func() { _ = http.Serve(ln, d) }() // ends with the trial
	return d, nil
}

// list returns the whole list.
func (d *discovery) list() hostList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return hostList{Seq: 1 + len(d.changes), Whole: true, Hosts: append([]host(nil), d.hosts...)}
}

// change changes one entry and tells all watches.
func (d *discovery) change(h host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.hosts {
		if d.hosts[i].Host == h.Host {
			d.hosts[i] = h
		}
	}
	d.changes = append(d.changes, hostList{Seq: 2 + len(d.changes), Hosts: []host{h}})
	close(d.changed)
	d.changed = make(chan struct{})
	d.t.note("discovery tells: %+v", h)
}

// ServeHTTP answers a call or serves a watch.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	encoder := json.NewEncoder(w)
	if r.URL.Query().Get("watch") == "" {
		_ = encoder.Encode(d.list()) // a gateway that has gone asks again
		return
	}
	first := d.list()
	_ = encoder.Encode(first)
	seen := first.Seq
	for {
		_ = http.NewResponseController(w).Flush()
		d.mu.Lock()
		news, changed := d.changes[seen-1:], d.changed
		d.mu.Unlock()
		for _, list := range news {
			_ = encoder.Encode(list)
			seen = list.Seq
		}
		if len(news) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
			fmt.Fprintln(w)
		case <-r.Context().Done():
			return
		}
	}
}

// object is a table of a configuration file.
type object = map[string]any

// servePlatform writes the configuration of a small deployment and starts the gateway by it. It returns when
// the gateway is ready.
func (t *trial) servePlatform(d *discovery, listen string, sockets int) (*process, error) {
	class := func(name, effect string, goal, deadline time.Duration, gain float64) object {
		return object{"name": name, "effect": effect, "group": "cell", "key_ttl_us": 5_000_000,
			"goal_time_us": goal.Microseconds(), "deadline_us": deadline.Microseconds(), "gain": gain}
	}
	config, err := json.MarshalIndent(object{
		"name": "n0", "listen": listen, "discovery": d.addr, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": sockets},
		"known":  d.list(),
		"settings": object{
			"balancers": 1, "me": 0, "discovery": "pushed",
			"lanes": []object{
				class("id-check", "retryable", 750*time.Millisecond, 2*time.Second, 3),
				class("activate", "dedup", 2500*time.Millisecond, 7500*time.Millisecond, 5),
			},
			"tariffs":     []object{{"name": "shop", "units_per_s": 0, "burst": 0, "value_factor": 1}},
			"family_info": object{"largest": 6},
			"policy_limits": object{
				"cancel": true, "max_attempts": 5, "retry_after": true, "max_retry_after_us": 500_000,
				"conn_idle_us": 15_000_000, "connect_timeout_us": 250_000,
			},
			"obligations": object{
				"grace_to_answer_us": 50_000, "stop_sending_within_us": 2_000_000, "cold_from": 0.19,
				"warm_within_us": 14_000_000, "fall_multiple": 4, "fall_us": 3_000_000,
			},
		},
	}, "", " ")
	if err != nil {
		return nil, err
	}
	file := filepath.Join(t.dir, "config.json")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return nil, err
	}
	t.note("NODE_CONFIG:\n%s", config)
	env := []string{"NODE_CONFIG=" + file, "NODE_NAME=n0", "NODE_LISTEN=" + listen, "NODE_DISCOVERY=" + d.addr,
		"TMPDIR=" + t.dir}
	p, err := t.startGateway(env, "")
	if err != nil {
		return nil, err
	}
	if err := waitForListener(p, listen); err != nil {
		return nil, err
	}
	response, err := http.Get("http://" + listen + "/ready")
	if err != nil {
		return nil, err
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("/ready answers %s", response.Status)
	}
	return p, nil
}

// rack is a group of backends that drop the repeat of a key for some seconds.
type rack struct {
	t    *trial
	name string

	mu  sync.Mutex
	ran map[string]*activation // by key
}

// activation is one run of a request.
type activation struct {
	key, rack, node string
	at              time.Time
	body            string
	done            chan struct{} // closed when it has run
}

// rackMemory is for how long a rack drops a repeat.
const rackMemory = 5 * time.Second

// node is one backend in the platform's dialect.
type node struct {
	name string
	rack *rack
	work time.Duration // from a request's last byte to its run
	wait time.Duration // from its run to its answer
	addr string
	log  *runLog

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]bool
}

// runLog holds all runs of all racks.
type runLog struct {
	mu   sync.Mutex
	runs []*activation
}

func (l *runLog) add(a *activation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, a)
}

// runsOf returns the runs of a key.
func (l *runLog) runsOf(key string) (runs []*activation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.runs {
		if a.key == key {
			runs = append(runs, a)
		}
	}
	return runs
}

func (n *node) start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	n.ln, n.addr, n.conns = ln, ln.Addr().String(), map[net.Conn]bool{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n.mu.Lock()
			n.conns[c] = true
			n.mu.Unlock()
			go n.serve(c)
		}
	}()
	return nil
}

// crash ends the node as a process that dies: its connections are reset, and new ones are refused.
func (n *node) crash() {
	n.rack.t.note("node %s (%s) dies", n.name, n.addr)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ln.Close()
	for c := range n.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// serve answers the requests of one connection, one after another.
func (n *node) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if r.Header.Get("Request-Id") == "" {
			fmt.Fprint(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		body := n.run(r)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}

// run runs a request, or finds that its rack has run it, and returns the answer.
func (n *node) run(r *http.Request) string {
	key := r.Header.Get("Idempotency-Key")
	n.rack.t.note("node %s of %s got %s %s id %s key %s", n.name, n.rack.name, r.Method, r.URL.Path,
		r.Header.Get("Request-Id"), key)
	if key == "" {
		time.Sleep(n.work)
		return "checked by " + n.name
	}
	n.rack.mu.Lock()
	known := n.rack.ran[key]
	if known != nil && time.Since(known.at) < rackMemory {
		n.rack.mu.Unlock()
		<-known.done
		n.rack.t.note("node %s of %s drops the repeat of key %s", n.name, n.rack.name, key)
		return known.body
	}
	a := &activation{key: key, rack: n.rack.name, node: n.name, at: time.Now(), done: make(chan struct{}),
		body: "activated by " + n.name + " of " + n.rack.name}
	n.rack.ran[key] = a
	n.rack.mu.Unlock()
	time.Sleep(n.work)
	n.log.add(a)
	close(a.done)
	n.rack.t.note("node %s of %s HAS RUN key %s", n.name, n.rack.name, key)
	time.Sleep(n.wait)
	return a.body
}

// platformAnswer is the answer to a request of a platform's client.
type platformAnswer struct {
	status int
	body   string
	err    error
}

// activate sends one keyed request in the platform's dialect.
func activate(t *trial, transport http.RoundTripper, listen, id, key string) platformAnswer {
	var answer platformAnswer
	r, err := http.NewRequest(http.MethodPost, "http://"+listen+"/activate", strings.NewReader("sim=1"))
	if err != nil {
		return platformAnswer{err: err}
	}
	r.Host = "origin.svc"
	for name, value := range map[string]string{"Request-Id": id, "Request-Class": "activate", "X-Tier": "shop",
		"X-Api-Key": "00000000b4d65521", "Request-Timeout": "7.500", "Idempotency-Key": key,
		"X-Call-Terms": "units=1,spread=1,first=0"} {
		r.Header.Set(name, value)
	}
	t.note("client sends id %s key %s", id, key)
	response, err := transport.RoundTrip(r)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		response.Body.Close()
		answer.status, answer.body = response.StatusCode, string(body)
	}
	answer.err = err
	t.note("client got for id %s: status %d %q, err %v", id, answer.status, answer.body, err)
	return answer
}
