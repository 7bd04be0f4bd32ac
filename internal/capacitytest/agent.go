// Package capacitytest measures the costs of large deployments. It has a fake discovery agent that reports any number
// of backends in chunks, and a process with one gateway that reports its CPU time, memory and latencies. The figures of
// docs/CAPACITY.md are from the output of its tests. The package listens on loopback only, and the processes that it
// starts run the test's own executable.
package capacitytest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pumicecroft/internal/platform"
)

// Endpoints returns n backends in 9 zones and 2,300 cells, of one instance type.
func Endpoints(n int) []platform.Endpoint {
	out := make([]platform.Endpoint, n)
	for i := range out {
		out[i] = platform.Endpoint{
			Name: fmt.Sprintf("s-%08x", i), Addr: fmt.Sprintf("10.%d.%d.%d:8443", 1+i>>16, i>>8&255, i&255),
			Zone: "z" + strconv.Itoa(i%9), InstanceType: "m2", Cell: i % 2300, Health: "Ready", Weight: 1,
		}
	}
	return out
}

// Agent is a fake discovery agent on loopback. It writes its responses in chunks, whose bounds are independent of
// line ends, and pauses between them.
type Agent struct {
	ChunkBytes int           // 0 means that a response is written at once
	ChunkPause time.Duration // between two chunks
	Padding    int           // spaces after each endpoint, as in an indented list

	Silent atomic.Bool // new calls are accepted and not answered, and open watches get no heartbeats

	Calls        atomic.Int64
	BytesWritten atomic.Int64

	ln        net.Listener
	running   sync.WaitGroup
	mu        sync.Mutex
	seq       int64 // version of the endpoint list
	endpoints []platform.Endpoint
	position  map[string]int           // index in endpoints, by name
	watches   map[net.Conn]chan []byte // updates to be written to each open connection
}

// Start starts the agent with an endpoint list on a free loopback port.
func (a *Agent) Start(endpoints []platform.Endpoint) error {
	a.seq, a.endpoints = 41, endpoints
	a.position, a.watches = map[string]int{}, map[net.Conn]chan []byte{}
	for i, e := range endpoints {
		a.position[e.Name] = i
	}
	var err error
	if a.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	a.running.Go(func() {
		for {
			conn, err := a.ln.Accept()
			if err != nil {
				return
			}
			a.running.Go(func() { a.serve(conn) })
		}
	})
	return nil
}

// Addr returns the address that the agent listens on.
func (a *Agent) Addr() string { return a.ln.Addr().String() }

// Close stops the agent, closes its connections and waits for its goroutines.
func (a *Agent) Close() {
	a.ln.Close()
	a.mu.Lock()
	for c := range a.watches {
		c.Close()
	}
	a.mu.Unlock()
	a.running.Wait()
}

// Update sends changed endpoints to all watches, in one update or, with single, in one for each endpoint.
func (a *Agent) Update(endpoints []platform.Endpoint, single bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var text bytes.Buffer
	for _, e := range endpoints {
		a.endpoints[a.position[e.Name]] = e
		if single {
			a.seq++
			text.Write(a.encodeUpdate(false, []platform.Endpoint{e}))
		}
	}
	if !single {
		a.seq++
		text.Write(a.encodeUpdate(false, endpoints))
	}
	for _, updates := range a.watches {
		updates <- text.Bytes()
	}
}

// encodeUpdate returns the line of a full or delta update in the platform's format. a.mu must be held.
func (a *Agent) encodeUpdate(whole bool, endpoints []platform.Endpoint) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"seq":%d,"whole":%t,"hosts":[`, a.seq, whole)
	for i, e := range endpoints {
		if i > 0 {
			b.WriteByte(',')
		}
		text, err := json.Marshal(e)
		if err != nil {
			panic(err) // the endpoint comes from a test
		}
		b.Write(text)
		b.Write(bytes.Repeat([]byte(" "), a.Padding))
	}
	b.WriteString("]}\n")
	return b.Bytes()
}

// List returns the full update with the current endpoint list.
func (a *Agent) List() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.encodeUpdate(true, a.endpoints)
}

// serve answers the only call of a connection.
func (a *Agent) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	a.Calls.Add(1)
	updates := make(chan []byte, 64)
	gone := make(chan struct{})
	a.running.Go(func() {
		defer close(gone)
		_, _ = c.Read(make([]byte, 1)) // returns when the client closes the connection, as it sends only one call
	})
	if a.Silent.Load() {
		<-gone
		return
	}
	a.mu.Lock()
	if r.URL.Query().Get("from") == strconv.FormatInt(a.seq, 10) {
		updates <- a.encodeUpdate(false, nil)
	} else {
		updates <- a.encodeUpdate(true, a.endpoints)
	}
	a.watches[c] = updates
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.watches, c)
		a.mu.Unlock()
	}()
	heartbeat := time.NewTicker(2 * time.Second)
	defer heartbeat.Stop()
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := c.Write([]byte(head)); err != nil {
		return
	}
	for {
		text := []byte("\n")
		select {
		case text = <-updates:
		case <-heartbeat.C:
			if a.Silent.Load() {
				continue
			}
		case <-gone:
			return
		}
		for len(text) > 0 {
			n := len(text)
			if a.ChunkBytes > 0 {
				n = min(n, a.ChunkBytes)
			}
			if _, err := c.Write(fmt.Appendf(nil, "%x\r\n%s\r\n", n, text[:n])); err != nil {
				return
			}
			a.BytesWritten.Add(int64(n))
			if text = text[n:]; len(text) > 0 {
				time.Sleep(a.ChunkPause)
			}
		}
		if r.URL.Query().Get("watch") == "" {
			_, _ = c.Write([]byte("0\r\n\r\n"))
			return
		}
	}
}
