// Package capacitytest is what the tests of the coming size share: an agent of discovery that tells of as many backends as are wanted, in
// pieces, and a process that holds one shipped Door and tells what that costs. docs/CAPACITY.md rests on what its tests print.
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

// Hosts are n backends, spread over 9 zones, 2,300 services' cells and one kind.
func Endpoints(n int) []platform.Endpoint {
	out := make([]platform.Endpoint, n)
	for i := range out {
		out[i] = platform.Endpoint{Name: fmt.Sprintf("s-%08x", i), Addr: fmt.Sprintf("10.%d.%d.%d:8443", 1+i>>16, i>>8&255, i&255),
			Zone: "z" + strconv.Itoa(i%9), InstanceType: "m2", Cell: i % 2300, Health: "Ready", Weight: 1}
	}
	return out
}

// Agent is discovery as a door sees it, an agent on loopback. What it writes it cuts into pieces, which do not keep to lines, and rests
// between them.
type Agent struct {
	ChunkBytes int           // bytes; 0: all that there is to say is written at once
	ChunkPause time.Duration // between two pieces
	Padding    int           // spaces behind each entry: a list may come indented

	Silent atomic.Bool // it takes calls and says nothing

	Calls        atomic.Int64 // calls
	BytesWritten atomic.Int64 // bytes

	ln        net.Listener
	running   sync.WaitGroup
	mu        sync.Mutex
	seq       int64
	endpoints []platform.Endpoint
	position  map[string]int
	watches   map[net.Conn]chan []byte // watches that have told all up to seq
}

// Start has it listen on a loopback port of the system's choosing.
func (a *Agent) Start(hosts []platform.Endpoint) error {
	a.seq, a.endpoints, a.position, a.watches = 41, hosts, map[string]int{}, map[net.Conn]chan []byte{}
	for i, h := range hosts {
		a.position[h.Name] = i
	}
	var err error
	if a.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	a.running.Go(func() {
		for {
			c, err := a.ln.Accept()
			if err != nil {
				return
			}
			a.running.Go(func() { a.serve(c) })
		}
	})
	return nil
}

// Addr is where it listens.
func (a *Agent) Addr() string { return a.ln.Addr().String() }

// Close ends it.
func (a *Agent) Close() {
	a.ln.Close()
	a.mu.Lock()
	for c := range a.watches {
		c.Close()
	}
	a.mu.Unlock()
	a.running.Wait()
}

// Tell tells of new states of hosts, in one line or in a line for each.
func (a *Agent) Update(hosts []platform.Endpoint, single bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var text bytes.Buffer
	for _, h := range hosts {
		a.endpoints[a.position[h.Name]] = h
		if single {
			a.seq++
			text.Write(a.encodeUpdate(false, []platform.Endpoint{h}))
		}
	}
	if !single {
		a.seq++
		text.Write(a.encodeUpdate(false, hosts))
	}
	for _, say := range a.watches {
		say <- text.Bytes()
	}
}

func (a *Agent) encodeUpdate(whole bool, hosts []platform.Endpoint) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"seq":%d,"whole":%t,"hosts":[`, a.seq, whole)
	for i, h := range hosts {
		if i > 0 {
			b.WriteByte(',')
		}
		text, err := json.Marshal(h)
		if err != nil {
			panic(err) // it is the tests' own
		}
		b.Write(text)
		b.Write(bytes.Repeat([]byte(" "), a.Padding))
	}
	b.WriteString("]}\n")
	return b.Bytes()
}

// List is the whole list as it is written now.
func (a *Agent) List() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.encodeUpdate(true, a.endpoints)
}

func (a *Agent) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	a.Calls.Add(1)
	say := make(chan []byte, 64)
	gone := make(chan struct{})
	a.running.Go(func() {
		defer close(gone)
		_, _ = c.Read(make([]byte, 1)) // a watch asks once
	})
	if a.Silent.Load() {
		<-gone
		return
	}
	a.mu.Lock()
	if r.URL.Query().Get("from") == strconv.FormatInt(a.seq, 10) {
		say <- a.encodeUpdate(false, nil)
	} else {
		say <- a.encodeUpdate(true, a.endpoints)
	}
	a.watches[c] = say
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.watches, c)
		a.mu.Unlock()
	}()
	quiet := time.NewTicker(2 * time.Second)
	defer quiet.Stop()
	if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		return
	}
	for {
		text := []byte("\n")
		select {
		case text = <-say:
		case <-quiet.C:
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
