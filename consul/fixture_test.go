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
		if err := os.Unsetenv(name); err != nil { // the API client reads them
			panic(err)
		}
	}
	flag.Parse()
	if err := flag.Set("test.parallel", "16"); err != nil { // the tests mostly wait
		panic(err)
	}
	os.Exit(m.Run())
}

// fixture is an agent, backends that are registered at it, and gateways that follow it.
type fixture struct {
	t        *testing.T
	agent    *fakes.Consul
	client   *Client
	ledger   *fakes.Ledger
	cell     *fakes.Cell
	backends map[string]*fakes.Backend // by id
	last     int
	id       atomic.Uint64
}

const service = "identity"

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
	r := &fixture{
		t:        t,
		agent:    startAgent(t),
		ledger:   &fakes.Ledger{},
		cell:     &fakes.Cell{Window: 5 * time.Second},
		backends: map[string]*fakes.Backend{},
	}
	c := Config{Address: r.agent.Addr(), Wait: 300 * time.Millisecond, RetryMax: 200 * time.Millisecond, Seed: 1}
	if change != nil {
		change(&c)
	}
	var err error
	if r.client, err = New(c); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, b := range r.backends {
			b.Kill()
		}
	})
	return r
}

// instance returns a backend's registration.
func (r *fixture) instance(id string) fakes.Instance {
	host, port, err := net.SplitHostPort(r.backends[id].Addr())
	if err != nil {
		r.t.Fatal(err)
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		r.t.Fatal(err)
	}
	return fakes.Instance{
		Node:     "n1",
		NodeAddr: host,
		ID:       id,
		Service:  service,
		Port:     n,
		Meta:     map[string]string{"cell": "0"},
		Checks:   []fakes.Check{{ID: "web", Status: "passing"}},
	}
}

// start starts a backend and registers it.
func (r *fixture) start(change func(*fakes.BackendConfig)) string {
	r.t.Helper()
	id := fmt.Sprintf("b%d", r.last)
	r.last++
	c := fakes.BackendConfig{
		Name:            id,
		Ledger:          r.ledger,
		Cell:            r.cell,
		IdempotentByKey: func(class string) bool { return class != "look" },
	}
	if change != nil {
		change(&c)
	}
	b, err := fakes.StartBackend(c)
	if err != nil {
		r.t.Fatal(err)
	}
	r.backends[id] = b
	r.agent.Register(r.instance(id))
	return id
}

// gateway starts a gateway that follows the agent, and waits until it knows n nodes.
func (r *fixture) gateway(n int, change func(*pumicecroft.Config)) *pumicecroft.Gateway {
	r.t.Helper()
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
	w := r.client.Service(Service{Name: service, Mapping: Mapping{Cell: "cell", Zone: "zone", Started: "boot"}})
	d, err := pumicecroft.New(c, pumicecroft.WithNamedSource(w.SourceInfo(), w))
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), hosttest.WaitTimeout)
		defer cancel()
		if err := d.Close(ctx); err != nil {
			r.t.Errorf("closing the gateway: %v", err)
		}
	})
	r.await(d, fmt.Sprintf("%d nodes", n), func(ms statuses) bool { return len(ms) == n })
	return d
}

// statuses are the statuses of a gateway's backends by ID.
type statuses map[string]pumicecroft.BackendStatus

func statusesOf(d *pumicecroft.Gateway) statuses {
	out := statuses{}
	for _, m := range d.Backends() {
		out[m.Name[len("n1/"):]] = m
	}
	return out
}

// await waits until the status of a gateway's backends is as wanted.
func (r *fixture) await(d *pumicecroft.Gateway, what string, ok func(statuses) bool) {
	r.t.Helper()
	for end := time.Now().Add(hosttest.WaitTimeout); !ok(statusesOf(d)); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("waited in vain for %s; the gateway has %+v", what, statusesOf(d))
		}
	}
}

// wantState waits until a gateway has a node in a state; "gone" means that it does not know it.
func (r *fixture) wantState(d *pumicecroft.Gateway, id, state string) {
	r.t.Helper()
	r.await(d, id+" to be "+state, func(ms statuses) bool {
		m, ok := ms[id]
		return ok && m.State == state || !ok && state == "gone"
	})
}

// load sends requests to gateways from many clients at once, until stop is called.
type load struct {
	rounds                         []atomic.Int64 // requests that have ended, by client
	sent, served, rejected, failed atomic.Int64
	firstErr                       atomic.Value
	stop                           func()
}

// String returns the counts.
func (l *load) String() string {
	return fmt.Sprintf("sent=%d served=%d rejected=%d failed=%d (%v)",
		l.sent.Load(), l.served.Load(), l.rejected.Load(), l.failed.Load(), l.firstErr.Load())
}

// awaitResponses waits until each client has the response to the request that is out when it is called.
func (l *load) awaitResponses() {
	for i := range l.rounds {
		for n := l.rounds[i].Load(); l.rounds[i].Load() == n; {
			time.Sleep(time.Millisecond)
		}
	}
}

func (r *fixture) load(clients int, class string, pause time.Duration, gateways ...*pumicecroft.Gateway) *load {
	l := &load{rounds: make([]atomic.Int64, clients)}
	ctx, cancel := context.WithCancel(context.Background())
	var ran sync.WaitGroup
	for i := range clients {
		ran.Go(func() {
			for ctx.Err() == nil {
				n := r.id.Add(1)
				req := pumicecroft.Request{ID: n, Class: class, Plan: "shop", Customer: uint64(i)}
				if class != "look" {
					req.IdempotencyKey = fmt.Sprintf("key-%d", n)
				}
				_, err := gateways[i%len(gateways)].Do(context.Background(), req)
				l.sent.Add(1)
				l.rounds[i].Add(1)
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
	l.stop = func() { once.Do(func() { cancel(); ran.Wait() }) }
	r.t.Cleanup(l.stop)
	return l
}

// attempts returns the attempts that reached a backend.
func (r *fixture) attempts(id string) []fakes.Attempt {
	var out []fakes.Attempt
	for _, a := range r.ledger.Attempts() {
		if a.Backend == id {
			out = append(out, a)
		}
	}
	return out
}

// wantNoLoss ends a load and checks that no request was lost or failed and none executed twice. A few may be
// rejected: clients that send again at once meet the engine's reserves now and then, whatever the agent does.
func (r *fixture) wantNoLoss(l *load) {
	r.t.Helper()
	l.stop()
	sent, rejected := l.sent.Load(), l.rejected.Load()
	if sent == 0 || l.failed.Load() > 0 || rejected*20 > sent || l.served.Load()+rejected != sent {
		r.t.Errorf("requests were lost: %v", l)
	}
	if d := r.ledger.RepeatedEffects(); len(d) > 0 {
		r.t.Errorf("executed twice: %q", d)
	}
}
