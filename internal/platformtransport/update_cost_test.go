package platformtransport

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/executor"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/internal/testkit"
	"pumicecroft/membership"
)

// observedConn is a connection that calls onClose before it is closed.
type observedConn struct {
	*net.TCPConn
	onClose func()
}

func (c *observedConn) Close() error {
	c.onClose()
	return c.TCPConn.Close()
}

// Many backends are removed at once. The removals must be applied in batches, and the connections of each batch closed
// with it, so that the lock is held for only one batch at a time.
func TestApply_Batches(t *testing.T) {
	const backends = 100
	addr := testkit.ServeRaw(t, write(okResponse))
	var tr *Transport
	var known []int // number of known backends when each connection is closed; guarded by the lock
	config := testConfig()
	config.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &observedConn{c.(*net.TCPConn), func() { known = append(known, tr.backends.Len()) }}, nil
	}
	tr = New(config)
	var changes []membership.Change
	for i := range backends {
		changes = append(changes, membership.Change{Endpoint: decision.Endpoint{ID: decision.BackendID(i + 1)}, Addr: addr})
	}
	tr.Apply(changes)
	for i := range backends {
		a := executor.NewAttempt(decision.BackendID(i+1), time.Now().Add(testkit.WaitTimeout), getRequest)
		if r := tr.RoundTrip(a); r.Result != decision.Succeeded {
			t.Fatalf("attempt at backend %d: got %v, want Succeeded", i, r.Result)
		}
		changes[i].State = decision.Removed
	}
	tr.Apply(changes)
	if len(known) != backends || tr.backends.Len() != 0 {
		t.Fatalf("%d connections were closed, %d backends are known, want %d and 0", len(known), tr.backends.Len(), backends)
	}
	for i, n := range known {
		if removed := backends - n; removed > i+applyBatchSize {
			t.Fatalf("%d backends were removed when connection %d was closed, want %d at most", removed, i, i+applyBatchSize)
		}
	}
}

// updateChain holds all layers below the membership table that process a change of endpoints.
type updateChain struct {
	mux      *executor.TransportMux
	executor *executor.Executor
	changes  []membership.Change // of all backends
}

func newUpdateChain(t testing.TB, backends int) *updateChain {
	t.Helper()
	clock := executor.NewClock()
	settings := decision.Settings{
		GatewayCount:         2800,
		MaxAttempts:          2,
		CanCancel:            true,
		MaxRetryAfter:        time.Second,
		OverloadFactor:       2,
		SlowStartMinCapacity: 0.2,
		SlowStartWindow:      30 * time.Second,
		Classes: []decision.Class{{Name: "look", LatencyObjective: time.Second, Deadline: 2 * time.Second,
			PriorityWeight: 1}},
		Plans: []decision.Plan{{Name: "free", Price: 1}},
	}
	engine, err := decision.New(settings, 1, clock.Now())
	if err != nil {
		t.Fatal(err)
	}
	machine := lifecycle.New(engine, settings.Classes, lifecycle.Limits{DetectPauses: true}, clock.Now())
	c := &updateChain{
		mux: executor.NewTransportMux(map[string]executor.BackendTransport{"": New(testConfig())}),
	}
	c.executor = executor.New(clock, machine, c.mux, true)
	t.Cleanup(c.executor.Stop)
	t.Cleanup(c.mux.Close)
	for i := range backends {
		endpoint := decision.Endpoint{ID: decision.BackendID(i + 1), Zone: fmt.Sprint(i % 9), Weight: 1}
		c.changes = append(c.changes, membership.Change{Endpoint: endpoint, Addr: "127.0.0.1:1"})
	}
	c.update(c.changes)
	return c
}

func (c *updateChain) update(changes []membership.Change) {
	c.mux.Apply(changes)
	update := decision.EndpointUpdate{}
	for _, change := range changes {
		update.Endpoints = append(update.Endpoints, change.Endpoint)
	}
	c.executor.UpdateEndpoints(update)
}

// replace removes count backends, every step-th one, and adds them again, in updates of batch changes each.
func (c *updateChain) replace(count, step, batch int) {
	for _, state := range []decision.BackendState{decision.Removed, decision.Ready} {
		var changes []membership.Change
		for i := range count {
			change := c.changes[i*step]
			change.State = state
			if changes = append(changes, change); len(changes) == batch || i == count-1 {
				c.update(changes)
				changes = changes[:0]
			}
		}
	}
}

// Single backends change while 100 or 20,000 are known. In all layers below the membership table together, a change
// must cost about the same. The fastest of 20 rounds is compared.
func TestUpdateCost_IndependentOfBackendCount(t *testing.T) {
	best := func(backends int) time.Duration {
		c, best := newUpdateChain(t, backends), time.Hour
		for range 20 {
			start := time.Now()
			c.replace(100, 1, 1)
			best = min(best, time.Since(start))
		}
		return best
	}
	if few, many := best(100), best(20_000); many > 10*few {
		t.Errorf("200 changes take %v with 20,000 backends, %v with 100, want 10 times as long at most", many, few)
	}
}

// BenchmarkUpdate replaces a ninth of the backends, in updates of one and of many changes.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000, 110_000} {
		for _, batch := range []int{1, 256} {
			b.Run(strings.Join([]string{"zone", fmt.Sprint(batch), fmt.Sprint(n)}, "/"), func(b *testing.B) {
				c := newUpdateChain(b, n)
				b.ResetTimer()
				for range b.N {
					c.replace(n/9, 9, batch)
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*2*(n/9)), "ns/change")
			})
		}
	}
}
