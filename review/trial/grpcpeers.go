package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// grpcMessage returns a message with the prefix that gRPC sends before it.
func grpcMessage(text string) []byte {
	message := make([]byte, 5, 5+len(text))
	binary.BigEndian.PutUint32(message[1:], uint32(len(text)))
	return append(message, text...)
}

// grpcServer is a server of unary gRPC calls, which it answers with status 0.
func grpcServer(args []string) error {
	flags := flag.NewFlagSet("grpcserver", flag.ContinueOnError)
	work := flags.Duration("work", 5*time.Millisecond, "time that a call takes")
	if err := flags.Parse(args); err != nil {
		return err
	}
	return listenH2(&h2Config{window: 64 << 10, maxStreams: 1000,
		serve: func(*h2Request) (head []hpack.HeaderField, body []byte, trailer []hpack.HeaderField) {
			time.Sleep(*work)
			return []hpack.HeaderField{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "application/grpc"}},
				grpcMessage("done"), []hpack.HeaderField{{Name: "grpc-status", Value: "0"}}
		}})
}

// grpcClient is one connection of a gRPC client.
type grpcClient struct {
	conn    net.Conn
	encoded bytes.Buffer
	encoder *hpack.Encoder

	mu     sync.Mutex // guards the writing side and calls
	framer *http2.Framer
	out    bytes.Buffer
	nextID uint32
	calls  map[uint32]chan grpcEnd
	err    error
}

// grpcEnd is how a call ended.
type grpcEnd struct {
	status, message string
	err             error
}

func dialGRPC(addr string) (*grpcClient, error) {
	conn, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		return nil, err
	}
	c := &grpcClient{conn: conn, nextID: 1, calls: map[uint32]chan grpcEnd{}}
	c.encoder = hpack.NewEncoder(&c.encoded)
	c.framer = http2.NewFramer(&c.out, conn)
	c.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	c.out.WriteString(http2.ClientPreface)
	err = errors.Join(c.framer.WriteSettings(), c.framer.WriteWindowUpdate(0, 1<<20), c.flush())
	if err != nil {
		conn.Close()
		return nil, err
	}
	go c.read()
	return c, nil
}

func (c *grpcClient) flush() error {
	_, err := c.conn.Write(c.out.Bytes())
	c.out.Reset()
	return err
}

func (c *grpcClient) read() {
	for {
		frame, err := c.framer.ReadFrame()
		c.mu.Lock()
		if err != nil {
			c.err = err
			for id, end := range c.calls {
				end <- grpcEnd{err: err}
				delete(c.calls, id)
			}
			c.mu.Unlock()
			return
		}
		switch f := frame.(type) {
		case *http2.SettingsFrame:
			if !f.IsAck() {
				_ = errors.Join(c.framer.WriteSettingsAck(), c.flush()) // an error shows in the next read
			}
		case *http2.PingFrame:
			if !f.IsAck() {
				_ = errors.Join(c.framer.WritePing(true, f.Data), c.flush())
			}
		case *http2.MetaHeadersFrame:
			if end := c.calls[f.StreamID]; end != nil && f.StreamEnded() {
				var e grpcEnd
				for _, field := range f.Fields {
					switch field.Name {
					case "grpc-status":
						e.status = field.Value
					case "grpc-message":
						e.message = field.Value
					}
				}
				end <- e
				delete(c.calls, f.StreamID)
			}
		case *http2.RSTStreamFrame:
			if end := c.calls[f.StreamID]; end != nil {
				end <- grpcEnd{err: fmt.Errorf("reset: %v", f.ErrCode)}
				delete(c.calls, f.StreamID)
			}
		}
		c.mu.Unlock()
	}
}

// begin sends a whole unary call. The channel receives its end.
func (c *grpcClient) begin(method, timeout string) (chan grpcEnd, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, end := c.nextID, make(chan grpcEnd, 1)
	c.nextID += 2
	c.encoded.Reset()
	for _, field := range []hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"},
		{Name: ":path", Value: method}, {Name: ":authority", Value: "origin.svc"}, {Name: "te", Value: "trailers"},
		{Name: "content-type", Value: "application/grpc"}, {Name: "grpc-timeout", Value: timeout},
		{Name: "x-api-key", Value: "00000000b4d65521"}, {Name: "x-tier", Value: "shop"}} {
		if err := c.encoder.WriteField(field); err != nil {
			return end, err
		}
	}
	c.calls[id] = end
	err := errors.Join(c.err,
		c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: c.encoded.Bytes(), EndHeaders: true}),
		c.framer.WriteData(id, true, grpcMessage("look")), c.flush())
	return end, err
}
