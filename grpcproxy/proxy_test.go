package grpcproxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"

	"pumicecroft/decision"
	"pumicecroft/internal/fakes"
	"pumicecroft/internal/testkit"
	"pumicecroft/membership"
)

// Backends end the first attempt in all possible ways, for each class. The client must get the status
// that the class allows, and no call may have its effect twice.
func TestCallOutcomes(t *testing.T) {
	type end struct {
		code     codes.Code
		pushback string
		attempts int
	}
	served, failed := end{codes.OK, "", 1}, func(c codes.Code) end { return end{c, "-1", 1} }
	afterRetry := func(e end) end { e.attempts++; return e }
	type row struct{ look, pay, once end } // with two backends in one cell; later attempts are served
	rows := map[fakes.GRPCBehavior]row{
		fakes.GRPCServe:             {served, served, served},
		fakes.GRPCNotFound:          {failed(codes.NotFound), failed(codes.NotFound), failed(codes.NotFound)},
		fakes.GRPCRefuseStream:      {afterRetry(served), afterRetry(served), afterRetry(served)},
		fakes.GRPCGoAwayBelow:       {afterRetry(served), afterRetry(served), afterRetry(served)},
		fakes.GRPCRetryPushback:     {afterRetry(served), afterRetry(served), afterRetry(served)},
		fakes.GRPCInternal:          {afterRetry(served), afterRetry(served), failed(codes.Unknown)},
		fakes.GRPCResetCancel:       {afterRetry(served), afterRetry(served), failed(codes.Unknown)},
		fakes.GRPCResetAfterMessage: {afterRetry(served), afterRetry(served), failed(codes.Unknown)},
		fakes.GRPCClose:             {afterRetry(served), afterRetry(served), failed(codes.Unknown)},
		fakes.GRPCCloseMidMessage:   {afterRetry(served), afterRetry(served), failed(codes.Unknown)},
		fakes.GRPCNoMessage:         {afterRetry(served), afterRetry(served), failed(codes.Unknown)},
		fakes.GRPCTwoMessages:       {afterRetry(served), afterRetry(served), failed(codes.Unknown)},
		fakes.GRPCMissingTrailers:   {afterRetry(served), afterRetry(served), failed(codes.Unknown)},
		fakes.GRPCMessageTooLarge:   {afterRetry(served), afterRetry(served), failed(codes.Unknown)},
	}
	for behavior, row := range rows {
		for method, want := range map[string]end{"Look": row.look, "Pay": row.pay, "Once": row.once} {
			t.Run(fmt.Sprintf("%d %s", behavior, method), func(t *testing.T) {
				r := newFixture(t, func(o *options) { o.behavior = firstThen(behavior, fakes.GRPCServe) })
				c := r.call(method)
				res := r.do(c)
				seen := r.ledger.ForRequest(c.id)
				if res.st.Code() != want.code || res.pushback != want.pushback || len(seen) != want.attempts {
					t.Errorf("got %v, pushback %q, %d attempts; want %+v", res.st, res.pushback, len(seen), want)
				}
				if want.code == codes.OK && res.text != "done "+c.id {
					t.Errorf("got message %q, want %q", res.text, "done "+c.id)
				}
				if c.key != "" && r.ledger.Effects(c.key) > 1 {
					t.Errorf("got %d effects, want at most 1", r.ledger.Effects(c.key))
				}
			})
		}
	}
}

// A rejection must say when to retry, both in the pushback trailer, which clients' retry policies follow,
// and in the details of the status.
func TestRejections(t *testing.T) {
	r := newFixture(t, func(o *options) { o.cells = nil })
	for _, method := range []string{"Look", "Pay", "Once"} {
		res := r.do(r.call(method))
		var info *errdetails.RetryInfo
		for _, d := range res.st.Details() {
			info, _ = d.(*errdetails.RetryInfo)
		}
		if res.st.Code() != codes.ResourceExhausted || info == nil || info.RetryDelay.AsDuration() <= 0 ||
			res.pushback != fmt.Sprint((info.RetryDelay.AsDuration()+time.Millisecond-1).Milliseconds()) {
			t.Errorf("%s: got %v, pushback %q, details %v; want %v, and the same retry time in both", method, res.st,
				res.pushback, info, codes.ResourceExhausted)
		}
	}
	if len(r.ledger.Attempts()) != 0 {
		t.Errorf("the backends received %d attempts, want 0", len(r.ledger.Attempts()))
	}
}

// A closed gateway must reject calls with a status by which clients try another gateway.
func TestClosedGateway(t *testing.T) {
	r := newFixture(t, nil)
	_ = r.gateway.Close(t.Context())
	if res := r.do(r.call("Pay")); res.st.Code() != codes.Unavailable || res.pushback != "" {
		t.Errorf("got %v, pushback %q; want %v without pushback", res.st, res.pushback, codes.Unavailable)
	}
}

// startMixedProtocols returns a fixture that also has a backend over HTTP/1.1, and a function that sends
// a request over HTTP.
func startMixedProtocols(t *testing.T, plan decision.Plan) (r *fixture, overHTTP func(id int) fakes.Reply) {
	t.Helper()
	ledger := &fakes.Ledger{}
	backend, err := fakes.StartBackend(fakes.BackendConfig{Name: "h", Ledger: ledger})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(backend.Kill)
	r = newFixture(t, func(o *options) {
		o.settings = deskSettings(plan)
		o.otherNodes = []membership.Node{{Name: "h", Addr: backend.Addr()}}
		o.ledger = ledger
	})
	addr, transport := testkit.Serve(t, r.gateway.ServeHTTP), &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return r, func(id int) fakes.Reply {
		a := fakes.Request{ID: uint64(1<<40 + id), Class: "look", Customer: 7, Plan: plan.Name, Timeout: 10 * time.Second}
		return a.Do(t.Context(), transport, addr)
	}
}

// A customer sends requests over both HTTP and gRPC: it must get no more quota than over one of them.
func TestQuotaSharedByHTTPAndGRPC(t *testing.T) {
	// Each element of useHTTP says whether a request is sent over HTTP; they are used in turn.
	count := func(useHTTP ...bool) (served int) {
		r, overHTTP := startMixedProtocols(t, decision.Plan{Name: "tiny", Rate: 0.001, Burst: 16, Price: 1})
		for i := range 60 {
			c := r.call("Look")
			c.md.Set("x-tier", "tiny")
			switch {
			case useHTTP[i%len(useHTTP)]:
				served += boolToInt(overHTTP(i).String() == "served")
			default:
				served += boolToInt(r.do(c).st.Code() == codes.OK)
			}
		}
		if n := len(r.ledger.Attempts()); n != served {
			t.Errorf("the backends received %d attempts, but %d requests were served", n, served)
		}
		return served
	}
	httpOnly, grpcOnly, both := count(true), count(false), count(true, false, false)
	if httpOnly == 0 || httpOnly > 16 || both != httpOnly || grpcOnly != httpOnly {
		t.Errorf("got %d served over HTTP, %d over gRPC, %d over both; want equal numbers from 1 to 16", httpOnly,
			grpcOnly, both)
	}
}

// A customer floods the gateway over HTTP and gRPC at once: the attempts that are sent must stay within
// the plan's hard limit.
func TestHardLimitSharedByHTTPAndGRPC(t *testing.T) {
	const rate, burst, overdraft = 40.0, 16.0, 1.0
	r, overHTTP := startMixedProtocols(t, decision.Plan{Name: "capped", Rate: 1e5, Burst: 1e5, Price: 1,
		HardLimitRate: rate, HardLimitBurst: burst, HardLimitOverdraft: overdraft})
	var clients sync.WaitGroup
	var ids atomic.Int64
	end := time.Now().Add(1200 * time.Millisecond)
	for i := range 8 {
		clients.Go(func() {
			for time.Now().Before(end) {
				if i%2 == 0 {
					overHTTP(int(ids.Add(1)))
				} else {
					c := r.call("Look")
					c.md.Set("x-tier", "capped")
					r.do(c)
				}
			}
		})
	}
	clients.Wait()
	tokens, least, last, attempts := burst, burst, time.Time{}, map[bool]int{}
	for _, a := range r.ledger.Attempts() {
		if !last.IsZero() {
			tokens = min(burst, tokens+rate*a.At.Sub(last).Seconds())
		}
		tokens, last = tokens-1, a.At
		least = min(least, tokens)
		attempts[a.Backend == "h"]++
	}
	if least < -overdraft || attempts[true] == 0 || attempts[false] == 0 {
		t.Errorf("got %d attempts over HTTP, %d over gRPC, and a token bucket at %.1f; want both above 0, and %.1f or more",
			attempts[true], attempts[false], least, -overdraft)
	}
}

// A client cancels a call that is running at a backend: the attempt must end, the effect must not be
// repeated, and the call must no longer count towards the plan's MaxInFlight.
func TestCancelDuringCall(t *testing.T) {
	for _, method := range []string{"Pay", "Buy"} {
		t.Run(method, func(t *testing.T) {
			behavior := fakes.GRPCHang
			if method == "Buy" {
				behavior = fakes.GRPCStreamHang
			}
			r := newFixture(t, func(o *options) {
				o.behavior = firstThen(behavior, fakes.GRPCServe)
				o.settings = deskSettings(decision.Plan{Name: "narrow", MaxInFlight: 1, Price: 1})
			})
			c := r.call(method)
			c.md.Set("x-tier", "narrow")
			ctx, cancelCall := context.WithCancel(t.Context())
			started, ended := make(chan bool), make(chan error, 1)
			go func() {
				callCtx, cancel := c.context(ctx)
				defer cancel()
				s, err := r.client.NewStream(callCtx, serverStreamDesc, c.method)
				if err != nil {
					ended <- err
					return
				}
				err = errors.Join(s.SendMsg(frame(c.text)), s.CloseSend())
				if method == "Buy" && err == nil {
					var first framedMessage
					err = s.RecvMsg(&first)
				}
				close(started)
				var m framedMessage
				ended <- errors.Join(err, s.RecvMsg(&m))
			}()
			if !r.ledger.Await(testkit.WaitTimeout, func(attempts []fakes.Attempt) bool {
				return len(attempts) == 1 &&
					attempts[0].Outcome != ""
			}) {
				t.Fatalf("got attempts %+v, want one with an outcome", r.ledger.Attempts())
			}
			testkit.Await(t, started, "the first message")
			otherCall := func() codes.Code {
				c := r.call("Look")
				c.md.Set("x-tier", "narrow")
				return r.do(c).st.Code()
			}
			if got := otherCall(); got != codes.ResourceExhausted {
				t.Errorf("another call while the first is open: got %v, want %v", got, codes.ResourceExhausted)
			}
			cancelCall()
			if err := <-ended; err == nil {
				t.Error("the cancelled call succeeded")
			}
			await(t, "another call to be accepted", func() bool { return otherCall() == codes.OK })
			if n := len(r.ledger.ForRequest(c.id)); n != 1 || r.ledger.Effects(c.key) != 1 {
				t.Errorf("got %d attempts and %d effects of the cancelled call, want 1 of each", n,
					r.ledger.Effects(c.key))
			}
			await(t, "a backend to receive RST_STREAM",
				func() bool { return r.backends[0].Resets()+r.backends[1].Resets() == 1 })
			await(t, "the end of all open requests", func() bool { return r.gateway.OpenRequests() == 0 })
		})
	}
}

// All backends send headers and then nothing. Every call must end with an error before its deadline. A
// call that is not idempotent must be sent only once, and its client must be told not to retry: no other
// backend in its cell could drop the repeat. Clients of idempotent calls may retry.
func TestHeadersThenNoResponse(t *testing.T) {
	r := newFixture(t, func(o *options) { o.behavior, o.cells = always(fakes.GRPCHeadersThenHang), []int{0, 1} })
	var calls sync.WaitGroup
	for _, method := range []string{"Look", "Pay", "Once", "Watch", "Buy"} {
		calls.Go(func() {
			c := r.call(method)
			c.timeout = 700 * time.Millisecond
			start := time.Now()
			var res result
			if method == "Watch" || method == "Buy" {
				res = r.doStreaming(c, nil)
			} else {
				res = r.do(c)
			}
			idempotent := method == "Look" || method == "Watch"
			if took := time.Since(start); took >= c.timeout || res.pushback == "" ||
				idempotent == (res.pushback == "-1") || res.st.Code() == codes.OK {
				t.Errorf("%s: got %v after %v, pushback %q; want an error before %v, and pushback -1 only if not idempotent",
					method, res.st, took, res.pushback, c.timeout)
			}
			if n := len(r.ledger.ForRequest(c.id)); !idempotent && n != 1 {
				t.Errorf("%s: got %d attempts, want 1", method, n)
			}
		})
	}
	calls.Wait()
}

// A backend sends GOAWAY while 100 calls are open on two backends, and about half of its own are above
// the last stream ID: those were not executed and must be retried, the others must succeed, and each
// effect must happen once.
func TestGoAwayDuringCalls(t *testing.T) {
	hold := make(chan bool)
	var held sync.Map
	r := newFixture(t, func(o *options) {
		o.cells = []int{0, 1}
		o.behavior = func(a fakes.Attempt) fakes.GRPCBehavior {
			if _, again := held.LoadOrStore(a.ID, true); !again {
				<-hold
			}
			return fakes.GRPCServe
		}
	})
	release := sync.OnceFunc(func() { close(hold) })
	defer release()
	const n = 100
	results := make(chan result, n)
	for range n {
		go func() { results <- r.do(r.call("Once")) }()
	}
	if !r.ledger.Await(testkit.WaitTimeout, func(attempts []fakes.Attempt) bool { return len(attempts) == n }) {
		t.Fatalf("the backends received %d attempts, want %d", len(r.ledger.Attempts()), n)
	}
	before := len(r.ledger.Attempts())
	b := r.backends[0]
	onFirst := 0
	for _, a := range r.ledger.Attempts() {
		onFirst += boolToInt(a.Backend == "g0")
	}
	// Stream IDs are odd, so about half of the first backend's streams are above onFirst. DropAbove makes
	// the backend drop them without executing them, as GOAWAY promises.
	b.DropAbove(uint32(onFirst))
	b.GoAway(uint32(onFirst))
	if !r.ledger.Await(testkit.WaitTimeout, func(attempts []fakes.Attempt) bool {
		return len(attempts) >= before+onFirst/2-1
	}) {
		t.Errorf("%d attempts were retried, want at least %d", len(r.ledger.Attempts())-before, onFirst/2-1)
	}
	release()
	for range n {
		if res := <-results; res.st.Code() != codes.OK {
			t.Errorf("got %v, want %v", res.st, codes.OK)
		}
	}
	if repeated := r.ledger.RepeatedEffects(); len(repeated) > 0 {
		t.Errorf("repeated effects: got %v, want none", repeated)
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// A streaming call may be retried until its first message. An error after that must end the call,
// because the client has already received a part of the response.
func TestServerStreaming(t *testing.T) {
	for name, c := range map[string]struct {
		first    fakes.GRPCBehavior
		method   string
		code     codes.Code
		texts    int
		attempts int
	}{
		"three messages":                                {fakes.GRPCStream, "Watch", codes.OK, 3, 1},
		"no message":                                    {fakes.GRPCNoMessage, "Watch", codes.OK, 0, 1},
		"stream refused":                                {fakes.GRPCRefuseStream, "Buy", codes.OK, 3, 2},
		"connection lost before a message":              {fakes.GRPCClose, "Watch", codes.OK, 3, 2},
		"connection lost in the first message":          {fakes.GRPCCloseMidMessage, "Buy", codes.OK, 3, 2},
		"connection lost after a message":               {fakes.GRPCStreamClose, "Watch", codes.Unknown, 1, 1},
		"error after a message":                         {fakes.GRPCStreamInternal, "Watch", codes.Internal, 1, 1},
		"error after a message, idempotent by key only": {fakes.GRPCStreamInternal, "Buy", codes.Unknown, 1, 1},
		"error of the service":                          {fakes.GRPCNotFound, "Watch", codes.NotFound, 0, 1},
		"reset after a message":                         {fakes.GRPCResetAfterMessage, "Buy", codes.Unknown, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			// Closed when the client has its first message. A failure before that would be retried.
			first := make(chan bool)
			r := newFixture(t, func(o *options) {
				o.behavior = firstThen(c.first, fakes.GRPCStream)
				o.afterMessage = func(fakes.Attempt) { <-first }
			})
			k := r.call(c.method)
			res := r.doStreaming(k, func(n int) {
				if n == 1 {
					close(first)
				}
			})
			if res.st.Code() != c.code || len(res.texts) != c.texts || len(r.ledger.ForRequest(k.id)) != c.attempts {
				t.Errorf("got %v, messages %q, %d attempts; want %+v", res.st, res.texts,
					len(r.ledger.ForRequest(k.id)), c)
			}
			if c.code != codes.OK && res.pushback != "-1" {
				t.Errorf("got pushback %q, want -1", res.pushback)
			}
			if c.code == codes.OK && c.texts == 3 && res.texts[2] != "done "+k.id+" 2" {
				t.Errorf("got messages %q, want the last to be %q", res.texts, "done "+k.id+" 2")
			}
			if k.key != "" && r.ledger.Effects(k.key) != 1 {
				t.Errorf("got %d effects, want 1", r.ledger.Effects(k.key))
			}
		})
	}
}

// A client that sometimes pauses must get a streamed response that is much larger than the flow-control
// windows, and the backend must not run ahead of it by more than the buffers hold.
func TestLongStream(t *testing.T) {
	r := newFixture(t, func(o *options) { o.behavior = always(fakes.GRPCEndless) })
	ctx, cancelCall := context.WithCancel(t.Context())
	defer cancelCall()
	c := r.call("Watch")
	callCtx, cancel := c.context(ctx)
	defer cancel()
	s, err := r.client.NewStream(callCtx, serverStreamDesc, c.method)
	if err == nil {
		err = errors.Join(s.SendMsg(frame(c.text)), s.CloseSend())
	}
	for n := 0; err == nil && n < 1000; n++ {
		var m framedMessage
		if err = s.RecvMsg(&m); err == nil && len(m) != 5+fakes.GRPCEndlessBytes {
			t.Fatalf("message %d has %d bytes, want %d", n, len(m), 5+fakes.GRPCEndlessBytes)
		}
		if n%200 == 0 {
			time.Sleep(20 * time.Millisecond) // long enough for the windows to be exhausted
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	if got := r.backends[0].SentBytes() + r.backends[1].SentBytes(); got > 1000*(5+fakes.GRPCEndlessBytes)+2<<20 {
		t.Errorf("the backends sent %d bytes when the client had read 1000 messages, want at most %d", got,
			1000*(5+fakes.GRPCEndlessBytes)+2<<20)
	}
	cancelCall()
	await(t, "the end of the call", func() bool { return r.gateway.OpenRequests() == 0 })
}

// A backend streams past the deadline, or stops without an end: the call must end with DEADLINE_EXCEEDED
// and without a retry, before the client's own deadline.
func TestStreamPastDeadline(t *testing.T) {
	for _, behavior := range []fakes.GRPCBehavior{fakes.GRPCStreamHang, fakes.GRPCEndless} {
		r := newFixture(t, func(o *options) { o.behavior = always(behavior) })
		c := r.call("Watch")
		c.timeout = 600 * time.Millisecond
		start := time.Now()
		res := r.doStreaming(c, nil)
		if took := time.Since(start); res.st.Code() != codes.DeadlineExceeded || res.pushback != "-1" ||
			took > c.timeout || len(res.texts) == 0 {
			t.Errorf("behavior %d: got %v after %v, %d messages, pushback %q; want %v within %v, some messages, pushback -1",
				behavior, res.st, took, len(res.texts), res.pushback, codes.DeadlineExceeded, c.timeout)
		}
	}
}

// A client does not read its stream: flow control must stop the backend, so that the bytes in transit stay
// bounded, and the call must end by its deadline.
func TestSlowStreamReader(t *testing.T) {
	r := newFixture(t, func(o *options) { o.behavior, o.cells = always(fakes.GRPCEndless), []int{0} })
	c := r.call("Watch")
	c.timeout = 1500 * time.Millisecond
	ctx, cancel := c.context(t.Context())
	defer cancel()
	s, err := r.client.NewStream(ctx, serverStreamDesc, c.method)
	if err == nil {
		err = errors.Join(s.SendMsg(frame(c.text)), s.CloseSend())
	}
	if err != nil {
		t.Fatal(err)
	}
	await(t, "messages", func() bool { return r.backends[0].SentBytes() > 0 })
	last := int64(-1)
	await(t, "flow control to stop the backend", func() bool {
		time.Sleep(50 * time.Millisecond)
		now := r.backends[0].SentBytes()
		held := now == last
		last = now
		return held
	})
	// The limit covers the stream's window at the gateway, what grpc buffers for a client that does not
	// read, and the client's window and buffers.
	if last > 1<<20 {
		t.Errorf("%d bytes are in transit to a client that does not read, want at most %d", last, 1<<20)
	}
	t.Logf("%d bytes in transit", last)
	r.backends[0].GoAway(0)
	await(t, "the end of the call", func() bool { return r.gateway.OpenRequests() == 0 })
	if r.backends[0].SentBytes() > last+64<<10 {
		t.Errorf("the backend has sent %d bytes, want at most 64 KiB more than %d", r.backends[0].SentBytes(), last)
	}
}

// Metadata, also with binary values, must be forwarded to the backend unchanged, but not hop-by-hop
// metadata. The backend's timeout must not be longer than the client's.
func TestMetadataIsForwardedUnchanged(t *testing.T) {
	r := newFixture(t, func(o *options) { o.cells = []int{0} })
	c := r.call("Look")
	c.md.Set("x-trace", "a", "b")
	c.md.Set("x-raw-bin", "\x00\xff,\x01")
	if res := r.do(c); res.st.Code() != codes.OK {
		t.Fatalf("got %v, want %v", res.st, codes.OK)
	}
	seen := r.ledger.Attempts()[0].Metadata
	if !slices.Equal(seen["x-trace"], []string{"a", "b"}) || !slices.Equal(seen["x-raw-bin"], []string{"AP8sAQ"}) ||
		!slices.Equal(seen["request-id"], []string{c.id}) {
		t.Errorf("the backend got metadata %q, want that of the client: %q", seen, c.md)
	}
	if seen["user-agent"] != nil || len(seen["grpc-timeout"]) != 1 || len(seen["content-type"]) != 1 {
		t.Errorf("the backend got metadata %q, want one grpc-timeout, one content-type and no user-agent", seen)
	}
	if timeout, err := time.ParseDuration(seen["grpc-timeout"][0] + "s"); err == nil && timeout > c.timeout {
		t.Errorf("the backend got the timeout %q, want at most %v", seen["grpc-timeout"], c.timeout)
	}
}

// For a call without an ID the gateway must generate one and send it to the backend.
func TestMissingRequestIDIsGenerated(t *testing.T) {
	r := newFixture(t, nil)
	c := r.call("Look")
	c.md.Delete("request-id")
	if res := r.do(c); res.st.Code() != codes.OK {
		t.Fatalf("got %v, want %v", res.st, codes.OK)
	}
	if id := r.ledger.Attempts()[0].ID; len(id) != 16 {
		t.Errorf("the backend got the ID %q, want 16 characters", id)
	}
}

// Invalid calls must be rejected at once, and must not reach a backend.
func TestInvalidCalls(t *testing.T) {
	r := newFixture(t, func(o *options) {
		o.config.Names = PlatformNames
		o.config.Names.Cost = "x-units"
		o.config.MaxMessageBytes = 1 << 10
	})
	for name, c := range map[string]struct {
		method string
		change func(*call)
		want   codes.Code
	}{
		"unknown method": {"Nap", nil, codes.Unimplemented},
		"no customer":    {"Look", func(c *call) { c.md.Delete("x-api-key") }, codes.InvalidArgument},
		"two customers": {"Look", func(c *call) { c.md.Append("x-api-key", "0000000000000008") },
			codes.InvalidArgument},
		"customer in text":   {"Look", func(c *call) { c.md.Set("x-api-key", "shop-7") }, codes.InvalidArgument},
		"no plan":            {"Look", func(c *call) { c.md.Delete("x-tier") }, codes.InvalidArgument},
		"cost not a number":  {"Look", func(c *call) { c.md.Set("x-units", "lots") }, codes.InvalidArgument},
		"negative cost":      {"Look", func(c *call) { c.md.Set("x-units", "-1") }, codes.InvalidArgument},
		"infinite cost":      {"Look", func(c *call) { c.md.Set("x-units", "+Inf") }, codes.InvalidArgument},
		"cost NaN":           {"Look", func(c *call) { c.md.Set("x-units", "NaN") }, codes.InvalidArgument},
		"malformed terms":    {"Look", func(c *call) { c.md.Set("x-call-terms", "units") }, codes.InvalidArgument},
		"malformed ID":       {"Look", func(c *call) { c.md.Set("request-id", "7") }, codes.InvalidArgument},
		"no idempotency key": {"Pay", func(c *call) { c.md.Delete("idempotency-key") }, codes.InvalidArgument},
		"two idempotency keys": {"Pay", func(c *call) { c.md.Append("idempotency-key", "another") },
			codes.InvalidArgument},
		"message too large": {"Look", func(c *call) { c.text = string(make([]byte, 2<<10)) }, codes.ResourceExhausted},
	} {
		k := r.call(c.method)
		if c.change != nil {
			c.change(&k)
		}
		start := time.Now()
		if res := r.do(k); res.st.Code() != c.want || time.Since(start) > 5*time.Second ||
			name != "message too large" && res.pushback != "-1" {
			t.Errorf("%s: got %v after %v, pushback %q; want %v within 5 s, pushback -1", name, res.st,
				time.Since(start), res.pushback, c.want)
		}
	}
	if attempts := r.ledger.Attempts(); len(attempts) > 0 {
		t.Errorf("the backends received %d attempts of invalid calls, want 0", len(attempts))
	}
	if res := r.do(r.call("Pay")); res.st.Code() != codes.OK {
		t.Errorf("a valid call afterwards: got %v, want %v", res.st, codes.OK)
	}
	wildcardCall := r.call("Look")
	wildcardCall.method = "/shop.More/Anything"
	if res := r.do(wildcardCall); res.st.Code() != codes.OK {
		t.Errorf("a method that matches a wildcard: got %v, want %v", res.st, codes.OK)
	}
}

// Client streaming must be rejected with INVALID_ARGUMENT: at once when a second message arrives, and
// after the read timeout if the client does not half-close.
func TestClientStreaming(t *testing.T) {
	r := newFixture(t, func(o *options) { o.config.ReadTimeout = 200 * time.Millisecond })
	for name, send := range map[string]int{"second message": 2, "no half-close": 1, "no message": 0} {
		c := r.call("Look")
		ctx, cancel := c.context(t.Context())
		defer cancel()
		s, err := r.client.NewStream(ctx, &bidiStreamDesc, c.method)
		if err != nil {
			t.Fatal(err)
		}
		for range send {
			if err := s.SendMsg(frame("m")); err != nil {
				t.Fatal(err)
			}
		}
		var out framedMessage
		if err := s.RecvMsg(&out); codeOf(err) != codes.InvalidArgument {
			t.Errorf("%s: got %v, want %v", name, err, codes.InvalidArgument)
		}
	}
	if attempts := r.ledger.Attempts(); len(attempts) > 0 {
		t.Errorf("the backends received %d attempts, want 0", len(attempts))
	}
}

// A client of a bidirectional method sends one message and waits for the response before it half-closes:
// it must get the response. A second message must end the call with INVALID_ARGUMENT.
func TestBidirectional(t *testing.T) {
	r := newFixture(t, func(o *options) { o.behavior = firstThen(fakes.GRPCStream, fakes.GRPCStreamHang) })
	for _, more := range []bool{false, true} {
		c := r.call("Buy")
		ctx, cancel := c.context(t.Context())
		defer cancel()
		s, err := r.client.NewStream(ctx, &bidiStreamDesc, c.method)
		if err != nil {
			t.Fatal(err)
		}
		var out framedMessage
		if err := errors.Join(s.SendMsg(frame("m")), s.RecvMsg(&out)); err != nil {
			t.Fatal(err)
		}
		if more {
			if err = s.SendMsg(frame("m")); err == nil {
				err = s.RecvMsg(&out)
			}
			if codeOf(err) != codes.InvalidArgument || len(s.Trailer()[PushbackTrailer]) != 1 {
				t.Errorf("second message: got %v, pushback %q; want %v with a pushback", err,
					s.Trailer()[PushbackTrailer], codes.InvalidArgument)
			}
		} else if err := errors.Join(s.RecvMsg(&out), s.RecvMsg(&out), s.CloseSend()); err != nil ||
			!errors.Is(s.RecvMsg(&out), io.EOF) {
			t.Errorf("one message: got %v, want three messages and the end of the stream", err)
		}
		if n := len(r.ledger.ForRequest(c.id)); n != 1 || r.ledger.Effects(c.key) != 1 {
			t.Errorf("got %d attempts and %d effects, want 1 of each", n, r.ledger.Effects(c.key))
		}
	}
}

// One of 1,000 calls on a client's connection gets no response: the others must be served. Some of them
// may be rejected.
func TestManyCallsOnOneConnection(t *testing.T) {
	r := newFixture(t, func(o *options) {
		o.behavior = func(a fakes.Attempt) fakes.GRPCBehavior {
			if a.Body == "stuck" {
				return fakes.GRPCHang
			}
			return fakes.GRPCServe
		}
		o.workTime = 20 * time.Millisecond
		o.backendConfig.MaxConnsPerBackend = 10
	})
	stuck := r.call("Once")
	stuck.text = "stuck"
	ctx, cancelCall := context.WithCancel(t.Context())
	ended := make(chan result, 1)
	go func() { ended <- stuck.invoke(ctx, r.client) }()
	if !r.ledger.Await(testkit.WaitTimeout, func(attempts []fakes.Attempt) bool { return len(attempts) == 1 }) {
		t.Fatalf("the backends received %d attempts, want 1", len(r.ledger.Attempts()))
	}
	var calls sync.WaitGroup
	codeCounts := map[codes.Code]int{}
	var mu sync.Mutex
	for range 999 {
		calls.Go(func() {
			c := r.call("Look")
			res := r.do(c)
			if res.st.Code() == codes.OK && res.text != "done "+c.id {
				t.Errorf("got message %q, want %q", res.text, "done "+c.id)
			}
			mu.Lock()
			codeCounts[res.st.Code()]++
			mu.Unlock()
		})
	}
	calls.Wait()
	if codeCounts[codes.OK]+codeCounts[codes.ResourceExhausted] != 999 || codeCounts[codes.OK] < 700 {
		t.Errorf("got codes %v, want at least 700 %v and otherwise %v", codeCounts, codes.OK, codes.ResourceExhausted)
	}
	cancelCall()
	if res := <-ended; res.st.Code() != codes.Canceled {
		t.Errorf("call without a response: got %v, want %v", res.st, codes.Canceled)
	}
}

// The context of Serve ends while streaming calls are open: these must succeed, and later calls must not
// be accepted.
func TestDrain(t *testing.T) {
	hold := make(chan bool)
	r := newFixture(t, func(o *options) {
		o.behavior = func(fakes.Attempt) fakes.GRPCBehavior {
			<-hold
			return fakes.GRPCStream
		}
	})
	const n = 10
	results := make(chan result, n)
	for range n {
		go func() { results <- r.doStreaming(r.call("Buy"), nil) }()
	}
	if !r.ledger.Await(testkit.WaitTimeout, func(attempts []fakes.Attempt) bool { return len(attempts) == n }) {
		t.Fatalf("the backends received %d attempts, want %d", len(r.ledger.Attempts()), n)
	}
	r.stop()
	await(t, "the listener to be closed", func() bool {
		late := r.connect()
		defer func() { _ = late.Close() }()
		c := r.call("Look")
		c.timeout = time.Second
		return c.invoke(t.Context(), late).st.Code() == codes.Unavailable
	})
	close(hold)
	for range n {
		if res := <-results; res.st.Code() != codes.OK || len(res.texts) != 3 {
			t.Errorf("open call: got %v, messages %q; want %v and 3 messages", res.st, res.texts, codes.OK)
		}
	}
	if err := <-r.served; err != nil {
		t.Error(err)
	}
	r.served <- nil
}

// A customer given as text must get the same ID for the same text and another ID for another text. Empty
// text must be rejected.
func TestCustomerText(t *testing.T) {
	r := newFixture(t, func(o *options) { o.config.CustomerText = true })
	a, err := r.proxy.customerID("shop-7")
	b, err2 := r.proxy.customerID("shop-8")
	repeated, _ := r.proxy.customerID("shop-7")
	if err != nil || err2 != nil || a == b || a != repeated {
		t.Errorf("shop-7: got ID %x, %v, then %x; shop-8: got ID %x, %v", a, err, repeated, b, err2)
	}
	if _, err := r.proxy.customerID(""); err == nil {
		t.Error("empty text was accepted as a customer")
	}
	c := r.call("Look")
	c.md.Set("x-api-key", "any shop")
	if res := r.do(c); res.st.Code() != codes.OK {
		t.Errorf("call with a customer in text: got %v, want %v", res.st, codes.OK)
	}
}
