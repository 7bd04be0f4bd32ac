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

// deskMethods are the methods of the test service: Look is idempotent, Pay is idempotent by key within a
// cell, Once is not idempotent, Watch is idempotent and streaming, and Buy is idempotent by key and
// streaming.
var deskMethods = map[string]Method{"/shop.Desk/Look": {Class: "look"}, "/shop.Desk/Pay": {Class: "pay"},
	"/shop.Desk/Once":  {Class: "once"},
	"/shop.Desk/Watch": {Class: "look", Streaming: true}, "/shop.Desk/Buy": {Class: "pay", Streaming: true},
	"/shop.More/*": {Class: "look"}}

// deskSettings returns settings with the classes of deskMethods, the given plans and a plan "shop" that
// is practically unlimited.
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

// options are the settings of a fixture that a test may change.
type options struct {
	cells            []int // cell of each backend; by default two backends in one cell
	behavior         func(fakes.Attempt) fakes.GRPCBehavior
	workTime         time.Duration
	afterMessage     func(fakes.Attempt)
	settings         decision.Settings
	config           Config
	backendConfig    BackendConfig
	otherNodes       []membership.Node // backends that speak another protocol
	ledger           *fakes.Ledger
	newServer        func(*Proxy) *grpc.Server
	configureGateway func(*pumicecroft.Config)
}

// newFixture starts a fixture with the options that change, unless nil, has changed. At the end of the
// test it checks that all goroutines have ended.
func newFixture(t testing.TB, change func(*options)) *fixture {
	t.Helper()
	before := runtime.NumGoroutine()
	o := options{cells: []int{0, 0}, settings: deskSettings(), config: Config{Methods: deskMethods},
		backendConfig: BackendConfig{ConnectTimeout: testkit.WaitTimeout}}
	if change != nil {
		change(&o)
	}
	r := &fixture{t: t, ledger: cmp.Or(o.ledger, &fakes.Ledger{}), served: make(chan error, 1)}
	endpoints := membership.Update{Nodes: o.otherNodes}
	cells := map[int]*fakes.Cell{}
	for i, cell := range o.cells {
		if cells[cell] == nil {
			cells[cell] = &fakes.Cell{Number: cell, Window: 5 * time.Second}
		}
		b, err := fakes.StartGRPC(fakes.GRPCConfig{Name: fmt.Sprintf("g%d", i), Cell: cells[cell],
			Ledger: r.ledger, Behavior: o.behavior, WorkTime: o.workTime, AfterMessage: o.afterMessage,
			IdempotentByKey: func(m string) bool { return m != "/shop.Desk/Look" && m != "/shop.Desk/Watch" }})
		if err != nil {
			t.Fatal(err)
		}
		r.backends = append(r.backends, b)
		endpoints.Nodes = append(endpoints.Nodes, membership.Node{Name: fmt.Sprintf("g%d", i), Addr: b.Addr(), Cell: cell,
			Protocol: membership.ProtocolGRPC})
	}
	var err error
	config := pumicecroft.Config{Settings: o.settings, InitialEndpoints: endpoints, MaxOpenRequests: 1 << 15}
	if o.configureGateway != nil {
		o.configureGateway(&config)
	}
	r.gateway, err = pumicecroft.New(config, WithBackends(o.backendConfig))
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
				t.Errorf("%d goroutines are running, want at most the %d from before the test:\n%s",
					runtime.NumGoroutine(), before,
					buf[:runtime.Stack(buf, true)])
				return
			}
		}
	})
	return r
}

// connect returns a new client, which has a connection of its own.
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

// frame returns text as a message with its prefix.
func frame(text string) framedMessage {
	return append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(text))), text...)
}

// call is a call that a client makes.
type call struct {
	id      string
	key     string
	md      metadata.MD
	method  string
	text    string
	timeout time.Duration
}

// call returns a call of a method, with an ID of its own and, for methods that are not idempotent, an
// idempotency key of its own.
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

// result is how a call ended for its client.
type result struct {
	st       *status.Status
	text     string   // message of a unary call
	texts    []string // messages of a streaming call
	header   metadata.MD
	trailer  metadata.MD
	pushback string
}

// context returns a context with the call's metadata and timeout.
func (c call) context(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(metadata.NewOutgoingContext(ctx, c.md), c.timeout)
}

// do makes a unary call.
func (r *fixture) do(c call) result { return c.invoke(r.t.Context(), r.client) }

// invoke makes a unary call on conn.
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

// doStreaming makes a server-streaming call and reads the response to its end. It calls seen, unless nil,
// after each message with the number of messages so far.
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

// firstThen returns a Behavior that is first for the first of all attempts, and rest for all others.
func firstThen(first, rest fakes.GRPCBehavior) func(fakes.Attempt) fakes.GRPCBehavior {
	var done sync.Once
	return func(fakes.Attempt) fakes.GRPCBehavior {
		behavior := rest
		done.Do(func() { behavior = first })
		return behavior
	}
}

// always returns a Behavior that is the same for all attempts.
func always(behavior fakes.GRPCBehavior) func(fakes.Attempt) fakes.GRPCBehavior {
	return func(fakes.Attempt) fakes.GRPCBehavior { return behavior }
}

// await waits until ok returns true.
func await(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testkit.WaitTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out after %v while waiting for %s", testkit.WaitTimeout, what)
		}
	}
}
