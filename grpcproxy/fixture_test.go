package grpcproxy

import (
	"cmp"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/internal/fakes"
	"pumicecroft/internal/testkit"
	"pumicecroft/membership"
)

// deskMethods are the methods of the test's service: Look is idempotent, Pay idempotent by key
// within a cell, Once not idempotent, Watch idempotent and streaming, Buy idempotent by key and
// streaming.
var deskMethods = map[string]Method{"/shop.Desk/Look": {Class: "look"}, "/shop.Desk/Pay": {Class: "pay"},
	"/shop.Desk/Once":  {Class: "once"},
	"/shop.Desk/Watch": {Class: "look", Streaming: true}, "/shop.Desk/Buy": {Class: "pay", Streaming: true},
	"/shop.More/*": {Class: "look"}}

func deskSettings(plans ...decision.Plan) decision.Settings {
	class := func(name string, e decision.Idempotency) decision.Class {
		return decision.Class{Name: name, Idempotency: e, DedupScope: decision.DedupScopeCell,
			DedupWindow: 5 * time.Second, LatencyObjective: 10 * time.Second, Deadline: 15 * time.Second,
			PriorityWeight: 1}
	}
	return decision.Settings{CanCancel: true, MaxRetryAfter: 900 * time.Millisecond,
		Classes: []decision.Class{class("look", decision.Idempotent), class("pay", decision.IdempotentByKey),
			class("once", decision.NonIdempotent)},
		Plans: append(plans, decision.Plan{Name: "shop", Rate: 1e6, Burst: 1e6, Price: 1})}
}

// fixture is a gateway behind a gRPC server, with fake backends and a client.
type fixture struct {
	t        testing.TB
	ledger   *fakes.Ledger
	backends []*fakes.GRPCBackend
	gateway  *pumicecroft.Gateway
	proxy    *Proxy
	addr     string
	stop     context.CancelFunc
	served   chan error
	client   *grpc.ClientConn
	lastID   atomic.Uint64
}

// options are what a test may change.
type options struct {
	cells            []int // of the backends; two of one cell
	behavior         func(fakes.Attempt) fakes.GRPCBehavior
	workTime         time.Duration
	afterMessage     func(fakes.Attempt)
	settings         decision.Settings
	config           Config
	backendConfig    BackendConfig
	otherNodes       []membership.Node // of other protocols
	ledger           *fakes.Ledger
	newServer        func(*Proxy) *grpc.Server
	configureGateway func(*pumicecroft.Config)
}

func newFixture(t testing.TB, change func(*options)) *fixture {
	t.Helper()
	before := runtime.NumGoroutine()
	o := options{cells: []int{0, 0}, settings: deskSettings(), config: Config{Methods: deskMethods},
		backendConfig: BackendConfig{ConnectTimeout: testkit.WaitTimeout}}
	if change != nil {
		change(&o)
	}
	r := &fixture{t: t, ledger: cmp.Or(o.ledger, &fakes.Ledger{}), served: make(chan error, 1)}
	known := membership.Update{Nodes: o.otherNodes}
	memories := map[int]*fakes.Cell{}
	for i, cell := range o.cells {
		if memories[cell] == nil {
			memories[cell] = &fakes.Cell{Number: cell, Window: 5 * time.Second}
		}
		b, err := fakes.StartGRPC(fakes.GRPCConfig{Name: fmt.Sprintf("g%d", i), Cell: memories[cell],
			Ledger: r.ledger, Behavior: o.behavior, WorkTime: o.workTime, AfterMessage: o.afterMessage,
			IdempotentByKey: func(m string) bool { return m != "/shop.Desk/Look" && m != "/shop.Desk/Watch" }})
		if err != nil {
			t.Fatal(err)
		}
		r.backends = append(r.backends, b)
		known.Nodes = append(known.Nodes, membership.Node{Name: fmt.Sprintf("g%d", i), Addr: b.Addr(), Cell: cell,
			Protocol: membership.ProtocolGRPC})
	}
	var err error
	gateway := pumicecroft.Config{Settings: o.settings, InitialEndpoints: known, MaxOpenRequests: 1 << 15}
	if o.configureGateway != nil {
		o.configureGateway(&gateway)
	}
	r.gateway, err = pumicecroft.New(gateway, WithBackends(o.backendConfig))
	if err != nil {
		t.Fatal(err)
	}
	if r.proxy, err = New(r.gateway, o.config); err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.addr = ln.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	if o.newServer != nil {
		s := o.newServer(r.proxy)
		go func() { r.served <- s.Serve(ln) }()
		go func() { <-ctx.Done(); s.Stop() }()
	} else {
		go func() { r.served <- r.proxy.Serve(ctx, ln) }()
	}
	r.client = r.connect()
	t.Cleanup(func() {
		stop()
		_ = r.client.Close()
		if err := <-r.served; err != nil {
			t.Error(err)
		}
		_ = r.gateway.Close(context.Background())
		for _, b := range r.backends {
			b.Kill()
		}
		for end := time.Now().Add(testkit.WaitTimeout); runtime.NumGoroutine() > before; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				buf := make([]byte, 1<<20)
				t.Errorf("%d goroutines, %d before:\n%s", runtime.NumGoroutine(), before,
					buf[:runtime.Stack(buf, true)])
				return
			}
		}
	})
	return r
}

// connect returns a client with a connection of its own.
func (r *fixture) connect() *grpc.ClientConn {
	c, err := grpc.NewClient("passthrough:///"+r.addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(Codec()), grpc.MaxCallRecvMsgSize(64<<20),
			grpc.MaxCallSendMsgSize(64<<20)))
	if err != nil {
		r.t.Fatal(err)
	}
	return c
}

func frame(text string) framedMessage {
	return append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(text))), text...)
}

// call is a client's call.
type call struct {
	id      string
	key     string
	md      metadata.MD
	method  string
	text    string
	timeout time.Duration
}

// call makes one of a method with an id and a key of its own.
func (r *fixture) call(method string) call {
	id := fmt.Sprintf("%016x", r.lastID.Add(1))
	c := call{id: id, method: "/shop.Desk/" + method, text: "amount=3", timeout: 15 * time.Second,
		md: metadata.Pairs("x-api-key", "0000000000000007", "x-tier", "shop", "request-id", id)}
	if method != "Look" && method != "Watch" {
		c.key = "key-" + id
		c.md.Set("idempotency-key", c.key)
	}
	return c
}

// result is how a call ended at its client.
type result struct {
	st       *status.Status
	text     string   // of a unary call
	texts    []string // of a streamed one
	header   metadata.MD
	trailer  metadata.MD
	pushback string
}

func (c call) context(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(metadata.NewOutgoingContext(ctx, c.md), c.timeout)
}

// do makes a unary call.
func (r *fixture) do(c call) result { return c.invoke(r.t.Context(), r.client) }

func (c call) invoke(ctx context.Context, conn grpc.ClientConnInterface) result {
	ctx, cancel := c.context(ctx)
	defer cancel()
	var out framedMessage
	var res result
	err := conn.Invoke(ctx, c.method, frame(c.text), &out, grpc.Header(&res.header), grpc.Trailer(&res.trailer))
	res.st = status.Convert(err)
	if err == nil {
		res.text = string(out[5:])
	}
	res.pushback = strings.Join(res.trailer[PushbackTrailer], ",")
	return res
}

var serverStreamDesc = &grpc.StreamDesc{ServerStreams: true}

var bidiStreamDesc = grpc.StreamDesc{ServerStreams: true, ClientStreams: true}

func codeOf(err error) codes.Code { return status.Code(err) }

// watch makes a server-streaming call and reads it to its end. seen, if it is not nil, is called
// after each message.
func (r *fixture) doStreaming(c call, seen func(n int)) result {
	ctx, cancel := c.context(r.t.Context())
	defer cancel()
	var res result
	s, err := r.client.NewStream(ctx, serverStreamDesc, c.method)
	if err == nil {
		if err = s.SendMsg(frame(c.text)); err == nil {
			err = s.CloseSend()
		}
	}
	for err == nil {
		var out framedMessage
		if err = s.RecvMsg(&out); err == nil {
			res.texts = append(res.texts, string(out[5:]))
			if seen != nil {
				seen(len(res.texts))
			}
		}
	}
	if err.Error() != "EOF" {
		res.st = status.Convert(err)
	}
	if s != nil {
		res.header, _ = s.Header()
		res.trailer = s.Trailer()
		res.pushback = strings.Join(res.trailer[PushbackTrailer], ",")
	}
	return res
}

// once returns an act for the first of all attempts, and another for the rest.
func firstThen(first, rest fakes.GRPCBehavior) func(fakes.Attempt) fakes.GRPCBehavior {
	var done sync.Once
	return func(fakes.Attempt) fakes.GRPCBehavior {
		act := rest
		done.Do(func() { act = first })
		return act
	}
}

func always(act fakes.GRPCBehavior) func(fakes.Attempt) fakes.GRPCBehavior {
	return func(fakes.Attempt) fakes.GRPCBehavior { return act }
}

// await waits until ok returns true.
func await(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testkit.WaitTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}
