package consul

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pumicecroft"
	"pumicecroft/internal/fakes"
	"pumicecroft/internal/hosttest"
	"pumicecroft/membership"
)

func TestMain(m *testing.M) {
	for _, name := range []string{"CONSUL_HTTP_TOKEN", "CONSUL_NAMESPACE", "CONSUL_PARTITION", "CONSUL_HTTP_ADDR"} {
		if err := os.Unsetenv(name); err != nil { // Consul's API client reads these variables
			panic(err)
		}
	}
	flag.Parse()
	if err := flag.Set("test.parallel", "16"); err != nil { // the tests spend most of their time waiting
		panic(err)
	}
	os.Exit(m.Run())
}

// fixture holds a fake agent, the backends that are registered at it, and the client of gateways that follow it.
type fixture struct {
	t             *testing.T
	agent         *fakes.Consul
	client        *Client
	ledger        *fakes.Ledger
	cell          *fakes.Cell
	backends      map[string]*fakes.Backend // by service ID
	nextBackend   int
	lastRequestID atomic.Uint64
}

const serviceName = "identity"

func startAgent(t *testing.T) *fakes.Consul {
	t.Helper()
	agent, err := fakes.StartConsul(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	return agent
}

func newFixture(t *testing.T, change func(*Config)) *fixture {
	t.Helper()
	f := &fixture{
		t:        t,
		agent:    startAgent(t),
		ledger:   &fakes.Ledger{},
		cell:     &fakes.Cell{Window: 5 * time.Second},
		backends: map[string]*fakes.Backend{},
	}
	c := Config{Address: f.agent.Addr(), Wait: 300 * time.Millisecond, RetryMax: 200 * time.Millisecond, Seed: 1}
	if change != nil {
		change(&c)
	}
	var err error
	if f.client, err = New(c); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, b := range f.backends {
			b.Kill()
		}
	})
	return f
}

// instance returns a backend's registration.
func (f *fixture) instance(id string) fakes.ConsulInstance {
	host, port, err := net.SplitHostPort(f.backends[id].Addr())
	if err != nil {
		f.t.Fatal(err)
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		f.t.Fatal(err)
	}
	return fakes.ConsulInstance{
		Node:     "n1",
		NodeAddr: host,
		ID:       id,
		Service:  serviceName,
		Port:     n,
		Meta:     map[string]string{"cell": "0"},
		Checks:   []fakes.ConsulCheck{{ID: "web", Status: "passing"}},
	}
}

// startBackend starts a backend, registers it at the agent, and returns its service ID.
func (f *fixture) startBackend(change func(*fakes.BackendConfig)) string {
	f.t.Helper()
	id := fmt.Sprintf("b%d", f.nextBackend)
	f.nextBackend++
	c := fakes.BackendConfig{
		Name:            id,
		Ledger:          f.ledger,
		Cell:            f.cell,
		IdempotentByKey: func(class string) bool { return class != "look" },
	}
	if change != nil {
		change(&c)
	}
	b, err := fakes.StartBackend(c)
	if err != nil {
		f.t.Fatal(err)
	}
	f.backends[id] = b
	f.agent.Register(f.instance(id))
	return id
}

// startGatewayWithNodes starts a gateway that follows the agent, and waits until it knows n nodes.
func (f *fixture) startGatewayWithNodes(n int, change func(*pumicecroft.Config)) *pumicecroft.Gateway {
	f.t.Helper()
	c := hosttest.Config()
	c.Settings.SlowStartMinCapacity = 0.2
	c.Settings.SlowStartWindow = 200 * time.Millisecond
	c.Settings.DrainGrace = 2 * time.Second
	c.Membership = membership.Policy{
		ProbationMin:     100 * time.Millisecond,
		MassRemovalDelay: 600 * time.Millisecond,
		WarmupWindow:     200 * time.Millisecond,
	}
	if change != nil {
		change(&c)
	}
	w := f.client.Service(Service{Name: serviceName, Mapping: Mapping{Cell: "cell", Zone: "zone", Started: "boot"}})
	gateway, err := pumicecroft.New(c, pumicecroft.WithNamedSource(w.SourceInfo(), w))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), hosttest.WaitTimeout)
		defer cancel()
		if err := gateway.Close(ctx); err != nil {
			f.t.Errorf("closing the gateway: %v", err)
		}
	})
	f.waitFor(gateway, fmt.Sprintf("%d nodes", n), func(nodes statuses) bool { return len(nodes) == n })
	return gateway
}

// statuses holds the statuses of a gateway's backends by service ID.
type statuses map[string]pumicecroft.BackendStatus

func statusesOf(gateway *pumicecroft.Gateway) statuses {
	out := statuses{}
	for _, m := range gateway.Backends() {
		out[m.Name[len("n1/"):]] = m
	}
	return out
}

// waitFor waits until the statuses of a gateway's backends meet a condition, which what describes.
func (f *fixture) waitFor(gateway *pumicecroft.Gateway, what string, condition func(statuses) bool) {
	f.t.Helper()
	for end := time.Now().Add(hosttest.WaitTimeout); !condition(statusesOf(gateway)); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting for %s; the gateway has %+v", what, statusesOf(gateway))
		}
	}
}

// waitForState waits until a gateway has a node in a state. "gone" means that the gateway does not list the node.
func (f *fixture) waitForState(gateway *pumicecroft.Gateway, id, state string) {
	f.t.Helper()
	f.waitFor(gateway, id+" to be "+state, func(nodes statuses) bool {
		m, ok := nodes[id]
		return ok && m.State == state || !ok && state == "gone"
	})
}

// loadGenerator sends requests to gateways from several concurrent clients until stop is called.
type loadGenerator struct {
	completed                          []atomic.Int64 // number of completed requests, by client
	answered, served, rejected, failed atomic.Int64
	firstErr                           atomic.Value
	stop                               func()
}

// String returns the counts.
func (l *loadGenerator) String() string {
	return fmt.Sprintf("answered=%d served=%d rejected=%d failed=%d (%v)",
		l.answered.Load(), l.served.Load(), l.rejected.Load(), l.failed.Load(), l.firstErr.Load())
}

// waitForResponses waits until each client has received the response to the request it has in flight now.
func (l *loadGenerator) waitForResponses() {
	for i := range l.completed {
		for n := l.completed[i].Load(); l.completed[i].Load() == n; {
			time.Sleep(time.Millisecond)
		}
	}
}

// startLoad starts clients that send requests of a class of hosttest.Config, each with a pause after a response.
// The clients are spread over the gateways. Requests of all classes but the idempotent "look" have a key.
func (f *fixture) startLoad(clients int, class string, pause time.Duration,
	gateways ...*pumicecroft.Gateway) *loadGenerator {
	l := &loadGenerator{completed: make([]atomic.Int64, clients)}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			for ctx.Err() == nil {
				n := f.lastRequestID.Add(1)
				req := pumicecroft.Request{ID: n, Class: class, Plan: "shop", Customer: uint64(i)}
				if class != "look" {
					req.IdempotencyKey = fmt.Sprintf("key-%d", n)
				}
				_, err := gateways[i%len(gateways)].Do(context.Background(), req)
				l.answered.Add(1)
				l.completed[i].Add(1)
				switch {
				case err == nil:
					l.served.Add(1)
				case errors.Is(err, pumicecroft.ErrRejected):
					l.rejected.Add(1)
				default:
					l.failed.Add(1)
					l.firstErr.CompareAndSwap(nil, err.Error())
				}
				select {
				case <-time.After(pause):
				case <-ctx.Done():
				}
			}
		})
	}
	var once sync.Once
	l.stop = func() { once.Do(func() { cancel(); running.Wait() }) }
	f.t.Cleanup(l.stop)
	return l
}

// attemptsAt returns the attempts that reached a backend.
func (f *fixture) attemptsAt(id string) []fakes.Attempt {
	var out []fakes.Attempt
	for _, a := range f.ledger.Attempts() {
		if a.Backend == id {
			out = append(out, a)
		}
	}
	return out
}

// stopAndCheckNoLoss stops a load and checks that no request was lost or failed and none was executed twice. Up to
// 5% may be rejected: clients that send again at once sometimes reach the engine's reserves, whatever the agent does.
func (f *fixture) stopAndCheckNoLoss(l *loadGenerator) {
	f.t.Helper()
	l.stop()
	answered, rejected := l.answered.Load(), l.rejected.Load()
	if answered == 0 || l.failed.Load() > 0 || rejected*20 > answered || l.served.Load()+rejected != answered {
		f.t.Errorf("%v, want answered above 0, no failed requests, at most 5%% rejected, all others served", l)
	}
	if repeated := f.ledger.RepeatedEffects(); len(repeated) > 0 {
		f.t.Errorf("requests executed twice: %q, want none", repeated)
	}
}
