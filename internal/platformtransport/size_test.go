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

// watched is a connection that tells when it is closed.
type watched struct {
	*net.TCPConn
	closing func()
}

func (w *watched) Close() error {
	w.closing()
	return w.TCPConn.Close()
}

// Of many backends that go at once only some are taken in under one hold of the lock, their connections' closing with them.
func TestBackendsGoSomeAtATime(t *testing.T) {
	const n = 100
	addr := testkit.ServeRaw(t, func(_ int, conn net.Conn) { fmt.Fprint(conn, okReply) })
	var b *Transport
	var known []int // at each closing, under the lock
	c := config()
	c.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &watched{nc.(*net.TCPConn), func() { known = append(known, b.backends.Len()) }}, nil
	}
	b = New(c)
	var changes []membership.Change
	for i := range n {
		changes = append(changes, membership.Change{Endpoint: decision.Endpoint{ID: decision.BackendID(i + 1)}, Addr: addr})
	}
	b.Apply(changes)
	for i := range n {
		if r := b.RoundTrip(executor.NewAttempt(decision.BackendID(i+1), time.Now().Add(testkit.WaitTimeout), lookMessage)); r.Result != decision.Succeeded {
			t.Fatal(r.Result)
		}
		changes[i].State = decision.Removed
	}
	b.Apply(changes)
	if len(known) != n || b.backends.Len() != 0 {
		t.Fatalf("%d connections of %d were closed, %d backends are known", len(known), n, b.backends.Len())
	}
	for i, k := range known {
		if gone := n - k; gone > i+applyBatchSize {
			t.Fatalf("%d backends were taken in when connection %d was closed", gone, i)
		}
	}
}

// below is all that news meets below the table.
type below struct {
	mux    *executor.TransportMux
	driver *executor.Executor
	all    []membership.Change
}

func newBelow(t testing.TB, n int) *below {
	clock := executor.NewClock()
	classes := []decision.Class{{Name: "look", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1}}
	g, err := decision.New(decision.Settings{GatewayCount: 2800, MaxAttempts: 2, CanCancel: true, MaxRetryAfter: time.Second, OverloadFactor: 2, SlowStartMinCapacity: 0.2,
		SlowStartWindow: 30 * time.Second, Classes: classes, Plans: []decision.Plan{{Name: "free", Price: 1}}}, 1, clock.Now())
	if err != nil {
		t.Fatal(err)
	}
	b := &below{mux: executor.NewTransportMux(map[string]executor.BackendTransport{"": New(config())})}
	b.driver = executor.New(clock, lifecycle.New(g, classes, lifecycle.Limits{DetectPauses: true}, clock.Now()), b.mux, true)
	t.Cleanup(b.driver.Stop)
	t.Cleanup(b.mux.Close)
	for i := range n {
		b.all = append(b.all, membership.Change{Endpoint: decision.Endpoint{ID: decision.BackendID(i + 1), Zone: fmt.Sprint(i % 9), Weight: 1}, Addr: "127.0.0.1:1"})
	}
	b.news(b.all)
	return b
}

func (b *below) news(changes []membership.Change) {
	b.mux.Apply(changes)
	list := decision.EndpointUpdate{}
	for _, c := range changes {
		list.Endpoints = append(list.Endpoints, c.Endpoint)
	}
	b.driver.UpdateEndpoints(list)
}

// turn has the backends at i, i+step, ... go and come back, in lists of so many each.
func (b *below) turn(count, step, each int) {
	for _, state := range []decision.BackendState{decision.Removed, decision.Ready} {
		var list []membership.Change
		for i := range count {
			c := b.all[i*step]
			c.State = state
			if list = append(list, c); len(list) == each || i == count-1 {
				b.news(list)
				list = list[:0]
			}
		}
	}
}

// News of one costs about the same whether 100 or 20,000 are known, in all layers below the table together. The best of some rounds counts.
func TestNewsBelowTheTable(t *testing.T) {
	best := func(n int) time.Duration {
		b, least := newBelow(t, n), time.Hour
		for range 20 {
			at := time.Now()
			b.turn(100, 1, 1)
			least = min(least, time.Since(at))
		}
		return least
	}
	if few, many := best(100), best(20_000); many > 10*few {
		t.Errorf("200 changes take %v where 20,000 are known, %v where 100 are", many, few)
	}
}

func BenchmarkNewsBelowTheTable(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000, 110_000} {
		for _, each := range []int{1, 256} {
			b.Run(strings.Join([]string{"zone", fmt.Sprint(each), fmt.Sprint(n)}, "/"), func(b *testing.B) {
				all := newBelow(b, n)
				b.ResetTimer()
				for range b.N {
					all.turn(n/9, 9, each)
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*2*(n/9)), "ns/change")
			})
		}
	}
}
