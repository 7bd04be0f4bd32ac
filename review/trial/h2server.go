package main

import (
	"bytes"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// h2Config configures a server of HTTP/2 without TLS.
type h2Config struct {
	window     uint32 // flow-control window of each stream; that of the connection is eight times as large
	maxStreams uint32 // 0: no limit
	readBuffer int    // SO_RCVBUF, bytes; 0: the system's default
	// serve is called in a goroutine of its own for each request that has come whole. It returns the answer's
	// fields, its body and its trailer (nil: none).
	serve func(r *h2Request) (head []hpack.HeaderField, body []byte, trailer []hpack.HeaderField)
}

// h2Request is a request that has come whole.
type h2Request struct {
	fields map[string]string
	body   []byte
	conn   *h2Conn
}

// h2Conn is one connection of a client.
type h2Conn struct {
	net.Conn
	config *h2Config

	mu      sync.Mutex // guards the writing side
	framer  *http2.Framer
	encoded bytes.Buffer
	encoder *hpack.Encoder
	reset   map[uint32]bool // streams that the client has called off
}

// listenH2 serves HTTP/2 at a free loopback port and prints its address.
func listenH2(config *h2Config) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println("listening", ln.Addr())
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		if config.readBuffer > 0 {
			_ = c.(*net.TCPConn).SetReadBuffer(config.readBuffer)
		}
		go config.serveConn(c)
	}
}

func (config *h2Config) serveConn(netConn net.Conn) {
	defer netConn.Close()
	c := &h2Conn{Conn: netConn, config: config, framer: http2.NewFramer(netConn, netConn), reset: map[uint32]bool{}}
	c.encoder = hpack.NewEncoder(&c.encoded)
	c.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	preface := make([]byte, len(http2.ClientPreface))
	for n := 0; n < len(preface); {
		m, err := netConn.Read(preface[n:])
		if n += m; err != nil {
			return
		}
	}
	settings := []http2.Setting{{ID: http2.SettingInitialWindowSize, Val: config.window}}
	if config.maxStreams > 0 {
		settings = append(settings, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: config.maxStreams})
	}
	c.write(func() error { return c.framer.WriteSettings(settings...) })
	c.write(func() error { return c.framer.WriteWindowUpdate(0, 8*config.window-65535) })
	requests := map[uint32]*h2Request{}
	for {
		frame, err := c.framer.ReadFrame()
		if err != nil {
			return
		}
		c.handle(frame, requests)
	}
}

// handle processes one frame of the client. requests has the requests that have not come whole.
func (c *h2Conn) handle(frame http2.Frame, requests map[uint32]*h2Request) {
	switch f := frame.(type) {
	case *http2.SettingsFrame:
		if !f.IsAck() {
			c.write(c.framer.WriteSettingsAck)
		}
	case *http2.PingFrame:
		if !f.IsAck() {
			c.write(func() error { return c.framer.WritePing(true, f.Data) })
		}
	case *http2.RSTStreamFrame:
		delete(requests, f.StreamID)
		c.mu.Lock()
		c.reset[f.StreamID] = true
		c.mu.Unlock()
	case *http2.MetaHeadersFrame:
		r := &h2Request{fields: map[string]string{}, conn: c}
		for _, field := range f.Fields {
			r.fields[field.Name] = field.Value
		}
		if f.StreamEnded() {
			go c.answer(f.StreamID, r)
			return
		}
		requests[f.StreamID] = r
	case *http2.DataFrame:
		if n := uint32(len(f.Data())); n > 0 {
			c.write(func() error { return c.framer.WriteWindowUpdate(0, n) })
			c.write(func() error { return c.framer.WriteWindowUpdate(f.StreamID, n) })
		}
		r := requests[f.StreamID]
		if r == nil {
			return
		}
		r.body = append(r.body, f.Data()...)
		if f.StreamEnded() {
			delete(requests, f.StreamID)
			go c.answer(f.StreamID, r)
		}
	}
}

func (c *h2Conn) write(frame func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = frame() // an error shows in the next read
}

// answer runs a request and writes its answer, unless the client has called it off meanwhile.
func (c *h2Conn) answer(stream uint32, r *h2Request) {
	head, body, trailer := c.config.serve(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	if head == nil || c.reset[stream] {
		return
	}
	_ = c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: c.encode(head), EndHeaders: true})
	_ = c.framer.WriteData(stream, trailer == nil, body)
	if trailer != nil {
		_ = c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: c.encode(trailer),
			EndHeaders: true, EndStream: true})
	}
}

func (c *h2Conn) encode(fields []hpack.HeaderField) []byte {
	c.encoded.Reset()
	for _, field := range fields {
		_ = c.encoder.WriteField(field) // writing to a buffer can't fail
	}
	return c.encoded.Bytes()
}

// plainAnswer returns the head and the body of a text with status 200.
func plainAnswer(text string) (head []hpack.HeaderField, body []byte, trailer []hpack.HeaderField) {
	return []hpack.HeaderField{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "text/plain"},
		{Name: "content-length", Value: strconv.Itoa(len(text))}}, []byte(text), nil
}

// h2Server is a server of ordinary HTTP over HTTP/2. A request for /reports/ takes long. Any other works for a
// while and is answered 200 some time after. With a memory, a request whose Idempotency-Key it has is dropped for
// rackMemory after the first: it is answered alike and not run. The server writes a line for each request that it
// has run.
func h2Server(args []string) error {
	flags := flag.NewFlagSet("h2server", flag.ContinueOnError)
	name := flags.String("name", "server", "name in the record")
	work := flags.Duration("work", 20*time.Millisecond, "time that a request takes")
	wait := flags.Duration("wait", 0, "time from a request's run to its answer")
	report := flags.Duration("report", 0, "time that a report takes")
	memory := flags.String("memory", "", "folder that the servers of a group share, for the keys that they have run")
	streams := flags.Uint("streams", 0, "requests at once on a connection; 0: no limit")
	readBuffer := flags.Int("read-buffer", 0, "SO_RCVBUF, bytes; 0: the system's default")
	if err := flags.Parse(args); err != nil {
		return err
	}
	return listenH2(&h2Config{
		window:     16 << 20,
		maxStreams: uint32(*streams),
		readBuffer: *readBuffer,
		serve: func(r *h2Request) ([]hpack.HeaderField, []byte, []hpack.HeaderField) {
			path, key := r.fields[":path"], r.fields["idempotency-key"]
			if strings.HasPrefix(path, "/reports/") {
				time.Sleep(*report)
				return plainAnswer("report by " + *name)
			}
			if *memory != "" && key != "" && recall(*memory, key) {
				fmt.Printf("dropped key %s\n", key)
				return plainAnswer("run before")
			}
			time.Sleep(*work)
			fmt.Printf("ran %s %s %d key %s\n", r.fields[":method"], path, len(r.body), key)
			time.Sleep(*wait)
			return plainAnswer(fmt.Sprintf("%s %d by %s", path, len(r.body), *name))
		},
	})
}

// recall reports whether a group of servers has begun to run a key within rackMemory. If not, it remembers
// that it begins now.
func recall(folder, key string) bool {
	file := filepath.Join(folder, key)
	if info, err := os.Stat(file); err == nil && time.Since(info.ModTime()) < rackMemory {
		return true
	}
	_ = os.WriteFile(file, []byte(time.Now().String()), 0o600)
	return false
}
