package pumicecroft_test

import (
	"context"
	"errors"
	"math"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/internal/fakes"
	"pumicecroft/internal/hosttest"
	"pumicecroft/membership"
)

func newRequest(class string) pumicecroft.Request {
	r := pumicecroft.Request{Class: class, Plan: "shop", Customer: 7}
	if class != "look" {
		r.IdempotencyKey, r.Body = "k", []byte("amount=3")
	}
	return r
}

func TestDo(t *testing.T) {
	r := hosttest.New(t, 1, nil, nil)
	for _, class := range []string{"look", "pay", "once"} {
		a, err := r.Gateway.Do(t.Context(), newRequest(class))
		if err != nil || !strings.HasPrefix(string(a.Body), "done ") || a.Attempts != 1 || a.ContentType == "" {
			t.Errorf("%s: %+v, %v", class, a, err)
		}
	}
	req := newRequest("pay")
	req.ID, req.Target, req.Host, req.ContentType = 0xabc, "/pay/x?y=1", "h", "text/plain"
	if _, err := r.Gateway.Do(t.Context(), req); err != nil {
		t.Error(err)
	}
	seen := r.Ledger.ForRequest("0000000000000abc")
	if len(seen) != 1 || seen[0].Body != "amount=3" || seen[0].Key != "k" {
		t.Errorf("%+v", seen)
	}
}

// Each end of a request is an error of its own, and one of the general ones.
func TestErrors(t *testing.T) {
	r := hosttest.New(t, 1, nil, nil)
	bad := func(change func(*pumicecroft.Request)) error {
		req := newRequest("pay")
		change(&req)
		_, err := r.Gateway.Do(t.Context(), req)
		return err
	}
	for name, change := range map[string]func(*pumicecroft.Request){
		"class":         func(q *pumicecroft.Request) { q.Class = "nap" },
		"plan":          func(q *pumicecroft.Request) { q.Plan = "gold" },
		"units":         func(q *pumicecroft.Request) { q.Cost = -1 },
		"units NaN":     func(q *pumicecroft.Request) { q.Cost = math.NaN() },
		"units without": func(q *pumicecroft.Request) { q.Cost = math.Inf(1) },
		"spread":        func(q *pumicecroft.Request) { q.GatewaySpread = 2 },
		"first":         func(q *pumicecroft.Request) { q.FirstGateway = 1 },
		"timeout":       func(q *pumicecroft.Request) { q.Timeout = -1 },
		"no key":        func(q *pumicecroft.Request) { q.IdempotencyKey = "" },
		"key":           func(q *pumicecroft.Request) { q.IdempotencyKey = "a\r\nX: y" },
		"method":        func(q *pumicecroft.Request) { q.Method = "GET /x HTTP/1.1\r\n" },
		"target":        func(q *pumicecroft.Request) { q.Target = "/a b" },
		"no path":       func(q *pumicecroft.Request) { q.Target = "pay" },
		"host":          func(q *pumicecroft.Request) { q.Host = "a\nb" },
		"content type":  func(q *pumicecroft.Request) { q.ContentType = "a\nb" },
		"GET with body": func(q *pumicecroft.Request) { q.Method = "GET" },
	} {
		if err := bad(change); !errors.Is(err, pumicecroft.ErrBadRequest) || errors.Is(err, pumicecroft.ErrFailed) || errors.Is(err, pumicecroft.ErrRejected) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := bad(func(q *pumicecroft.Request) { q.Body = make([]byte, pumicecroft.MaxBody+1) }); !errors.Is(err, pumicecroft.ErrBodyTooLarge) || !errors.Is(err, pumicecroft.ErrBadRequest) {
		t.Errorf("too large: %v", err)
	}
	if n := len(r.Ledger.Attempts()); n > 0 {
		t.Errorf("%d were sent", n)
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	why := errors.New("the shop has closed")
	cancel(why)
	if _, err := r.Gateway.Do(ctx, newRequest("look")); !errors.Is(err, why) {
		t.Errorf("a context that has ended: %v", err)
	}

	empty := hosttest.New(t, 0, nil, nil)
	_, err := empty.Gateway.Do(t.Context(), newRequest("look"))
	var refused *pumicecroft.RejectedError
	if !errors.Is(err, pumicecroft.ErrRejected) || !errors.As(err, &refused) || refused.RetryAfter <= 0 || errors.Is(err, pumicecroft.ErrFailed) {
		t.Errorf("nobody there: %v", err)
	}

	broken := hosttest.New(t, 1, func(fakes.Attempt) fakes.Behavior { return fakes.ExecuteThenError }, nil)
	if _, err := broken.Gateway.Do(t.Context(), newRequest("once")); !errors.Is(err, pumicecroft.ErrFailed) || errors.Is(err, pumicecroft.ErrRejected) {
		t.Errorf("failed: %v", err)
	}
	hung := hosttest.New(t, 1, func(fakes.Attempt) fakes.Behavior { return fakes.ExecuteThenHang }, nil)
	req := newRequest("once")
	req.Timeout = 200 * time.Millisecond
	start := time.Now()
	if _, err := hung.Gateway.Do(t.Context(), req); !errors.Is(err, pumicecroft.ErrFailed) || time.Since(start) > 15*time.Second {
		t.Errorf("hung: %v after %v", err, time.Since(start))
	}
}

func TestDo_DuplicateAndReplayedID(t *testing.T) {
	goOn := make(chan bool)
	r := hosttest.New(t, 1, func(fakes.Attempt) fakes.Behavior { <-goOn; return fakes.ServeNormally }, nil)
	req := newRequest("pay")
	req.ID = 5
	first := make(chan error, 1)
	go func() {
		_, err := r.Gateway.Do(t.Context(), req)
		first <- err
	}()
	r.Ledger.Await(hosttest.WaitTimeout, func(as []fakes.Attempt) bool { return len(as) == 1 })
	if _, err := r.Gateway.Do(t.Context(), req); !errors.Is(err, pumicecroft.ErrDuplicateID) || !errors.Is(err, pumicecroft.ErrBadRequest) {
		t.Errorf("open: %v", err)
	}
	close(goOn)
	if err := <-first; err != nil {
		t.Error(err)
	}
	if _, err := r.Gateway.Do(t.Context(), req); !errors.Is(err, pumicecroft.ErrReplayed) || !errors.Is(err, pumicecroft.ErrFailed) {
		t.Errorf("again: %v", err)
	}
	if n := len(r.Ledger.Attempts()); n != 1 {
		t.Errorf("%d were sent", n)
	}
}

func TestMaxOpenRequests(t *testing.T) {
	r := hosttest.New(t, 1, func(fakes.Attempt) fakes.Behavior { return fakes.ExecuteThenHang }, func(c *pumicecroft.Config) { c.MaxOpenRequests = 3 })
	ctx, leave := context.WithCancel(t.Context())
	var asking sync.WaitGroup
	for range 3 {
		asking.Go(func() { _, _ = r.Gateway.Do(ctx, newRequest("look")) })
	}
	r.Ledger.Await(hosttest.WaitTimeout, func(as []fakes.Attempt) bool { return len(as) == 3 })
	if _, err := r.Gateway.Do(t.Context(), newRequest("look")); !errors.Is(err, pumicecroft.ErrTooManyRequests) || !errors.Is(err, pumicecroft.ErrRejected) {
		t.Errorf("one too many: %v", err)
	}
	leave()
	asking.Wait()
	r.AwaitIdle()
}

// Close loses no request: open ones are answered before it returns, new ones are rejected, and when its own context ends
// the rest ends as ErrAborted at once.
func TestClose(t *testing.T) {
	goOn := make(chan bool)
	r := hosttest.New(t, 1, func(a fakes.Attempt) fakes.Behavior {
		if a.Class == "pay" {
			<-goOn
		}
		return fakes.ServeNormally
	}, nil)
	first := make(chan error, 1)
	go func() {
		_, err := r.Gateway.Do(t.Context(), newRequest("pay"))
		first <- err
	}()
	r.Ledger.Await(hosttest.WaitTimeout, func(as []fakes.Attempt) bool { return len(as) == 1 })
	closed := make(chan error, 1)
	go func() { closed <- r.Gateway.Close(context.Background()) }()
	for end := time.Now().Add(hosttest.WaitTimeout); ; time.Sleep(time.Millisecond) {
		if _, err := r.Gateway.Do(t.Context(), newRequest("look")); errors.Is(err, pumicecroft.ErrClosed) && errors.Is(err, pumicecroft.ErrRejected) {
			break
		}
		if time.Now().After(end) {
			t.Fatal("requests are taken while it closes")
		}
	}
	select {
	case err := <-closed:
		t.Errorf("it closed with a request open: %v", err)
	default:
	}
	close(goOn)
	if err := <-first; err != nil {
		t.Errorf("what was taken: %v", err)
	}
	if err := <-closed; err != nil {
		t.Error(err)
	}
	if err := r.Gateway.Close(context.Background()); err != nil {
		t.Errorf("once more: %v", err)
	}
	r.Gateway.Update(membership.Update{Full: true}) // does nothing, and no harm

	hung := hosttest.New(t, 1, func(fakes.Attempt) fakes.Behavior { return fakes.ExecuteThenHang }, nil)
	go func() {
		_, err := hung.Gateway.Do(t.Context(), newRequest("pay"))
		first <- err
	}()
	hung.Ledger.Await(hosttest.WaitTimeout, func(as []fakes.Attempt) bool { return len(as) == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := hung.Gateway.Close(ctx); !errors.Is(err, pumicecroft.ErrAborted) || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a close that is given no time: %v", err)
	}
	if err := <-first; !errors.Is(err, pumicecroft.ErrAborted) || !errors.Is(err, pumicecroft.ErrFailed) {
		t.Errorf("what it held: %v", err)
	}
}

// pushedSource is a source whose updates the test pushes.
type pushedSource struct {
	lists chan membership.Update
	ended chan bool
}

func (s pushedSource) Run(ctx context.Context, update func(membership.Update)) {
	defer close(s.ended)
	for {
		select {
		case l := <-s.lists:
			update(l)
			s.lists <- membership.Update{} // it has counted
		case <-ctx.Done():
			return
		}
	}
}

func TestSource(t *testing.T) {
	s := pushedSource{make(chan membership.Update), make(chan bool)}
	r := hosttest.New(t, 1, nil, nil, pumicecroft.WithSource(s))
	push := func(l membership.Update) { s.lists <- l; <-s.lists }
	if _, err := r.Gateway.Do(t.Context(), newRequest("look")); err != nil {
		t.Error(err)
	}
	push(membership.Update{Nodes: []membership.Node{{Name: "b0", Addr: r.Backends[0].Addr(), State: decision.Draining}}})
	if _, err := r.Gateway.Do(t.Context(), newRequest("look")); !errors.Is(err, pumicecroft.ErrRejected) {
		t.Errorf("while the one backend drains: %v", err)
	}
	push(membership.Update{Full: true, Nodes: []membership.Node{{Name: ""}, {Name: "bad", State: 9}, {Name: "none"},
		{Name: "new", Addr: r.Backends[0].Addr()}}}) // three make no sense
	if _, err := r.Gateway.Do(t.Context(), newRequest("look")); err != nil {
		t.Errorf("a new one: %v", err)
	}
	if err := r.Gateway.Close(t.Context()); err != nil {
		t.Error(err)
	}
	select {
	case <-s.ended:
	case <-time.After(hosttest.WaitTimeout):
		t.Error("the source outlives the gateway")
	}
}

func TestConfig(t *testing.T) {
	if _, err := pumicecroft.New(pumicecroft.Config{}); !errors.Is(err, pumicecroft.ErrConfig) {
		t.Errorf("nothing at all: %v", err)
	}
	for name, change := range map[string]func(*pumicecroft.Config){
		"a time below 0":     func(c *pumicecroft.Config) { c.IdleTimeout = -1 },
		"a count below 0":    func(c *pumicecroft.Config) { c.MaxOpenRequests = -1 },
		"a number too high":  func(c *pumicecroft.Config) { c.Settings.GatewayIndex = 1 },
		"a number below 0":   func(c *pumicecroft.Config) { c.Settings.GatewayIndex = -1 },
		"a plan that is odd": func(c *pumicecroft.Config) { c.Settings.Plans[0].Rate = math.NaN() },
		"no class":           func(c *pumicecroft.Config) { c.Settings.Classes = nil },
	} {
		c := hosttest.Config()
		change(&c)
		if _, err := pumicecroft.New(c); !errors.Is(err, pumicecroft.ErrConfig) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Gateways come and go in one process: Close leaves no goroutine, and several Gateways share nothing.
func TestCloseLeavesNoGoroutines(t *testing.T) {
	before := runtime.NumGoroutine()
	for range 20 {
		var gateways []*pumicecroft.Gateway
		for i := range 3 {
			c := hosttest.Config()
			c.InitialEndpoints.Nodes = []membership.Node{{Name: "one", Addr: "127.0.0.1:1"}}
			d, err := pumicecroft.New(c, pumicecroft.WithDialer(func(context.Context, string, string) (net.Conn, error) {
				return nil, errors.New("no way")
			}))
			if err != nil {
				t.Fatal(err)
			}
			req := newRequest("once")
			req.ID = 77 // the same at each: they do not know of one another
			if _, err := d.Do(t.Context(), req); !errors.Is(err, pumicecroft.ErrRejected) {
				t.Errorf("gateway %d: %v", i, err)
			}
			gateways = append(gateways, d)
		}
		for _, d := range gateways {
			if err := d.Close(t.Context()); err != nil {
				t.Error(err)
			}
		}
	}
	for end := time.Now().Add(hosttest.WaitTimeout); runtime.NumGoroutine() > before+2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d goroutines, %d before", runtime.NumGoroutine(), before)
		}
	}
}

type idleSource struct{}

func (idleSource) Run(context.Context, func(membership.Update)) {}

// A source without a name, or of a name that is trusted here and not there, is an ErrConfig.
func TestInvalidSources(t *testing.T) {
	for _, os := range [][]membership.SourceInfo{{{}}, {{Name: "x"}, {Name: "x", Trusted: true}}, {{Name: "own"}}} {
		var options []pumicecroft.Option
		for _, o := range os {
			options = append(options, pumicecroft.WithNamedSource(o, idleSource{}))
		}
		if _, err := pumicecroft.New(hosttest.Config(), options...); !errors.Is(err, pumicecroft.ErrConfig) {
			t.Errorf("%+v: %v", os, err)
		}
	}
}
