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
		os.Unsetenv(name) // the client looks there
	}
	flag.Parse()
	if err := flag.Set("test.parallel", "16"); err != nil { // the cases mostly wait
		panic(err)
	}
	os.Exit(m.Run())
}

// fixture is an agent, backends that are registered at it, and doors that follow it.
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
	r := &fixture{t: t, agent: startAgent(t), ledger: &fakes.Ledger{}, cell: &fakes.Cell{Window: 5 * time.Second}, backends: map[string]*fakes.Backend{}}
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

// instance is a backend's registration.
func (r *fixture) instance(id string) fakes.Instance {
	host, port, err := net.SplitHostPort(r.backends[id].Addr())
	if err != nil {
		r.t.Fatal(err)
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		r.t.Fatal(err)
	}
	return fakes.Instance{Node: "n1", NodeAddr: host, ID: id, Service: service, Port: n, Meta: map[string]string{"cell": "0"},
		Checks: []fakes.Check{{ID: "web", Status: "passing"}}}
}

// start starts a backend and registers it.
func (r *fixture) start(change func(*fakes.BackendConfig)) string {
	r.t.Helper()
	id := fmt.Sprintf("b%d", r.last)
	r.last++
	c := fakes.BackendConfig{Name: id, Ledger: r.ledger, Cell: r.cell, IdempotentByKey: func(class string) bool { return class != "look" }}
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

// door starts a door that follows the agent, and waits until it knows n nodes.
func (r *fixture) door(n int, change func(*pumicecroft.Config), options ...pumicecroft.Option) *pumicecroft.Gateway {
	r.t.Helper()
	c := hosttest.Config()
	c.Settings.SlowStartMinCapacity, c.Settings.SlowStartWindow, c.Settings.DrainGrace = 0.2, 200*time.Millisecond, 2*time.Second
	c.Membership = membership.Policy{ProbationMin: 100 * time.Millisecond, MassRemovalDelay: 600 * time.Millisecond, WarmupWindow: 200 * time.Millisecond}
	if change != nil {
		change(&c)
	}
	w := r.client.Service(Service{Name: service, Mapping: Mapping{Cell: "cell", Zone: "zone", Started: "boot"}})
	d, err := pumicecroft.New(c, append(options, pumicecroft.WithNamedSource(w.SourceInfo(), w))...)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), hosttest.WaitTimeout)
		defer cancel()
		if err := d.Close(ctx); err != nil {
			r.t.Errorf("the door's end: %v", err)
		}
	})
	r.await(d, fmt.Sprintf("%d nodes", n), func(ms map[string]pumicecroft.BackendStatus) bool { return len(ms) == n })
	return d
}

// members are what a door believes, by id.
func members(d *pumicecroft.Gateway) map[string]pumicecroft.BackendStatus {
	out := map[string]pumicecroft.BackendStatus{}
	for _, m := range d.Backends() {
		out[m.Name[len("n1/"):]] = m
	}
	return out
}

// await waits until a door believes something.
func (r *fixture) await(d *pumicecroft.Gateway, what string, ok func(map[string]pumicecroft.BackendStatus) bool) {
	r.t.Helper()
	for end := time.Now().Add(hosttest.WaitTimeout); !ok(members(d)); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("waited in vain for %s; the door believes %+v", what, members(d))
		}
	}
}

// state waits until a door believes a node to be in a state; "gone" is one that it does not know.
func (r *fixture) state(d *pumicecroft.Gateway, id, state string) {
	r.t.Helper()
	r.await(d, id+" to be "+state, func(ms map[string]pumicecroft.BackendStatus) bool {
		m, ok := ms[id]
		return ok && m.State == state || !ok && state == "gone"
	})
}

// load asks doors from many clients at once until stop is called, which tells what became of it.
type load struct {
	rounds                      []atomic.Int64 // requests that have ended, by client
	asked, served, refused, bad atomic.Int64
	firstBad                    atomic.Value
	stop                        func()
}

// String is the load's counts.
func (l *load) String() string {
	return fmt.Sprintf("asked=%d served=%d refused=%d bad=%d (%v)", l.asked.Load(), l.served.Load(), l.refused.Load(), l.bad.Load(), l.firstBad.Load())
}

// turn waits until each client has had the answer to what it had asked when this was called.
func (l *load) turn() {
	for i := range l.rounds {
		for n := l.rounds[i].Load(); l.rounds[i].Load() == n; {
			time.Sleep(time.Millisecond)
		}
	}
}

func (r *fixture) load(clients int, class string, pause time.Duration, doors ...*pumicecroft.Gateway) *load {
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
				_, err := doors[i%len(doors)].Do(context.Background(), req)
				l.asked.Add(1)
				l.rounds[i].Add(1)
				switch {
				case err == nil:
					l.served.Add(1)
				case errors.Is(err, pumicecroft.ErrRejected):
					l.refused.Add(1)
				default:
					l.bad.Add(1)
					l.firstBad.CompareAndSwap(nil, err.Error())
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

// attempts are those that reached a backend.
func (r *fixture) attempts(id string) []fakes.Attempt {
	var out []fakes.Attempt
	for _, a := range r.ledger.Attempts() {
		if a.Backend == id {
			out = append(out, a)
		}
	}
	return out
}

// whole checks that no request of a load was lost or failed, and every effect single. A few may be refused: clients that
// ask again at once meet the decision module's reserves now and then, whatever the agent does (2 in 100 over half a
// minute on a calm machine).
func (r *fixture) whole(l *load) {
	r.t.Helper()
	l.stop()
	if asked, refused := l.asked.Load(), l.refused.Load(); asked == 0 || l.bad.Load() > 0 || refused*20 > asked || l.served.Load()+refused != asked {
		r.t.Errorf("requests were lost: %v", l)
	}
	if d := r.ledger.RepeatedEffects(); len(d) > 0 {
		r.t.Errorf("effects that happened twice: %q", d)
	}
}
