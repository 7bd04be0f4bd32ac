// Command stream has the clients and the backend of the case about streamed gRPC answers: a backend that answers each
// call with one message every 20 ms, shops that read the whole answer, and others that leave in its middle.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"pumicecroft/review/standin/record"
)

const (
	method   = "/shop.Stock/List"
	messages = 40 // of one answer
	interval = 20 * time.Millisecond
	shops    = 3 // that read the whole answer, all the time
	leaving  = 5 // calls whose clients leave, one after another
	readOnly = 5 // messages that a client reads before it leaves
	length   = 8 * time.Second
	deadline = 4 * time.Second
)

var (
	gateway = flag.String("gateway", "", "address at which the gateway takes calls")
	backend = flag.String("backend", "", "address of the backend")
	trouble = flag.Bool("trouble", true, "whether clients leave in the middle of their answers")
	path    = flag.String("record", "record.txt", "file of the record")
)

// text is the codec of messages that are plain bytes.
type text struct{}

func (text) Name() string                       { return "proto" }
func (text) Marshal(v any) ([]byte, error)      { return []byte(*v.(*string)), nil }
func (text) Unmarshal(data []byte, v any) error { *v.(*string) = string(data); return nil }

// list is the handler of the backend.
func list(r *record.Record) grpc.StreamHandler {
	return func(_ any, stream grpc.ServerStream) error {
		var name string
		if err := stream.RecvMsg(&name); err != nil {
			return err
		}
		r.Printf("backend begins the answer to %s", name)
		for i := range messages {
			message := fmt.Sprintf("%s %d", name, i)
			if err := stream.SendMsg(&message); err != nil {
				r.Printf("backend can't go on with the answer to %s: %v", name, err)
				return err
			}
			time.Sleep(interval)
		}
		r.Printf("backend has given the answer to %s", name)
		return nil
	}
}

// call makes one call and reads up to most messages, then it leaves. It returns how many it has read.
func call(conn *grpc.ClientConn, name string, customer, most int) (read int, err error) {
	ctx, leave := context.WithTimeout(context.Background(), deadline)
	defer leave()
	ctx = metadata.AppendToOutgoingContext(ctx, "x-api-key", fmt.Sprintf("%016x", customer), "x-tier", "everyone")
	stream, err := conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, method)
	if err != nil {
		return 0, err
	}
	if err := stream.SendMsg(&name); err != nil {
		return 0, err
	}
	if err := stream.CloseSend(); err != nil {
		return 0, err
	}
	for read < most {
		var message string
		if err = stream.RecvMsg(&message); err != nil {
			break
		}
		if message != fmt.Sprintf("%s %d", name, read) {
			return read, fmt.Errorf("message %d is %q", read, message)
		}
		read++
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return read, err
}

func run() (code int, err error) {
	r, err := record.Create(*path)
	if err != nil {
		return 2, err
	}
	listener, err := net.Listen("tcp", *backend)
	if err != nil {
		return 2, err
	}
	server := grpc.NewServer(grpc.ForceServerCodec(text{}), grpc.UnknownServiceHandler(list(r)))
	go func() { _ = server.Serve(listener) }() // ends with the process
	conn, err := grpc.NewClient(*gateway, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(text{})), grpc.WithDisableRetry())
	if err != nil {
		return 2, err
	}
	if read, err := call(conn, "warm-up", 1, messages+1); err != nil || read != messages {
		return 2, fmt.Errorf("the deployment does not serve: %d messages, %w", read, err)
	}
	var mu sync.Mutex
	lost, whole := 0, 0
	var calls sync.WaitGroup
	end := time.Now().Add(length)
	for shop := range shops {
		calls.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				name := fmt.Sprintf("shop-%d-%d", shop, i)
				read, err := call(conn, name, shop+1, messages+1)
				r.Printf("client has %d of %d messages of %s: %v", read, messages, name, err)
				isWhole := err == nil && read == messages
				mu.Lock()
				if isWhole {
					whole++
				} else {
					lost++
				}
				mu.Unlock()
				if !isWhole {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	if *trouble {
		for i := range leaving {
			time.Sleep(time.Second)
			name := fmt.Sprintf("leaver-%d", i)
			read, err := call(conn, name, 100+i, readOnly)
			r.Printf("client of %s leaves after %d messages: %v", name, read, err)
		}
	}
	calls.Wait()
	r.Printf("%d answers came whole, %d did not", whole, lost)
	if lost > 0 {
		r.Printf("BROKEN: calls of clients that stayed have no whole answer")
		return 1, nil
	}
	return 0, nil
}

func main() {
	flag.Parse()
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
