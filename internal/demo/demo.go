// Package demo runs a whole deployment on loopback for a short time: fake backends, discovery and counter, a gateway
// that listens on a socket, and clients. Meanwhile one backend drains, one crashes, one starts cold, and one customer
// sends far more than its quota. The package evaluates the responses to the clients and the attempts at the backends.
package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/internal/fakes"
	"pumicecroft/internal/httplistener"
	"pumicecroft/internal/platform"
)

// Options configure Run.
type Options struct {
	Duration time.Duration
	Addr     string    // listen address of the gateway, such as 127.0.0.1:0
	Out      io.Writer // receives events, a line of figures each second, and a summary
	Seed     uint64    // seed of the clients' random numbers
}

// Counts holds the results of the requests that clients sent, their retries included. Duplicates is the number of
// repeated executions.
type Counts struct {
	Sent, Served, Rejected, WithRetryAfter, Failed, Lost int
	Duplicates                                           int
}

// String returns the last line of the demo's output.
func (c Counts) String() string {
	return fmt.Sprintf("served=%d refused=%d failed=%d lost=%d duplicates=%d",
		c.Served, c.Rejected, c.Failed, c.Lost, c.Duplicates)
}

// OK reports whether requests were sent, and none of them was lost or executed twice.
func (c Counts) OK() bool { return c.Lost == 0 && c.Duplicates == 0 && c.Sent > 0 }

const (
	customerCount       = 24
	customerRate        = 4.0                    // requests per second of a customer within its quota
	overQuotaFactor     = 60.0                   // the customer over its quota sends this many times customerRate
	discoveryDelay      = 200 * time.Millisecond // from a change of a backend until discovery reports it
	crashDetectionDelay = time.Second            // from a crash until discovery reports it
	slowStartWindow     = 4 * time.Second
)

// Settings returns the settings of the demo: one gateway, three classes, a plan with a quota, and a plan with a quota
// and a hard limit.
func Settings() decision.Settings {
	return decision.Settings{
		GatewayCount: 1, MaxAttempts: 4, CanCancel: true, UsagePeriod: 500 * time.Millisecond, MaxCost: 6,
		MaxRetryAfter: time.Second, DrainGrace: 2 * time.Second,
		SlowStartMinCapacity: 0.2, SlowStartWindow: slowStartWindow,
		OverloadFactor: 4, OverloadDuration: 2 * time.Second,
		Classes: []decision.Class{
			{Name: "id-check", LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 3},
			{Name: "stock-lookup", LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1},
			{
				Name: "activate", Idempotency: decision.IdempotentByKey,
				DedupScope: decision.DedupScopeCell, DedupWindow: 5 * time.Second,
				LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 5,
			},
		},
		Plans: []decision.Plan{
			{Name: "shop", Rate: 10, Burst: 20, Price: 1},
			{Name: "flagship", Rate: 20, Burst: 20, Price: 1.6,
				HardLimitRate: 40, HardLimitBurst: 40, HardLimitOverdraft: 6},
		},
	}
}

// workTimes are the service times of a warm backend, by class.
var workTimes = map[string]time.Duration{
	"id-check": 15 * time.Millisecond, "stock-lookup": 30 * time.Millisecond, "activate": 45 * time.Millisecond,
}

// deployment holds the running parts of the demo and its figures.
type deployment struct {
	options   Options
	settings  decision.Settings
	ledger    *fakes.Ledger
	meter     *fakes.Meter
	cells     []*fakes.Cell
	discovery *fakes.Discovery
	counter   *fakes.Counter
	backends  []*fakes.Backend
	addr      string
	transport *http.Transport
	closers   []func()

	mu             sync.Mutex
	counts         Counts
	thisSecond     Counts
	latencies      []time.Duration // of the requests served in this second
	drainedBackend string
	drainedAt      time.Time       // when discovery reported the drain
	overQuotaIDs   map[string]bool // request IDs of the customer over its quota
}

// Run runs the demo. It returns an error if a part of the deployment could not be started, or if ctx ended first.
func Run(ctx context.Context, o Options) (Counts, error) {
	d := &deployment{
		options: o, settings: Settings(), ledger: &fakes.Ledger{}, meter: &fakes.Meter{},
		overQuotaIDs: map[string]bool{}, transport: &http.Transport{MaxIdleConnsPerHost: 256},
	}
	defer func() {
		for _, closeOne := range slices.Backward(d.closers) {
			closeOne()
		}
	}()
	if err := d.start(); err != nil {
		return Counts{}, err
	}
	fmt.Fprintf(o.Out, "gateway on %s, %d backends, discovery on %s, counter on %s; running for %v\n", d.addr,
		len(d.backends), d.discovery.Addr(), d.counter.Addr(), o.Duration)
	sendCtx, stop := context.WithTimeout(ctx, o.Duration)
	defer stop()
	var clients sync.WaitGroup
	for i := range customerCount {
		clients.Go(func() { d.runCustomer(sendCtx, ctx, i) })
	}
	eventsDone := make(chan struct{})
	go func() {
		defer close(eventsDone)
		d.runEvents(sendCtx)
	}()
	d.report(sendCtx)
	clients.Wait()
	<-eventsDone
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.Duplicates = len(d.ledger.RepeatedEffects())
	d.reportInvariants()
	fmt.Fprintln(o.Out, d.counts)
	return d.counts, ctx.Err()
}

// startBackend starts backend number i. A cold backend begins with a reduced capacity.
func (d *deployment) startBackend(i int, cold bool) (*fakes.Backend, error) {
	b, err := fakes.StartBackend(fakes.BackendConfig{
		Name: fmt.Sprintf("node-%d", i), Zone: fmt.Sprintf("floor-%d", i%2+2), InstanceType: "standard",
		Cell: d.cells[i%2], Slots: 4, Queue: 40, WorkTime: func(class string) time.Duration { return workTimes[class] },
		IdempotentByKey:      func(class string) bool { return class == "activate" },
		SlowStartMinCapacity: 0.25, SlowStartWindow: slowStartWindow,
		OverloadFactor: 4, OverloadDuration: 2 * time.Second,
		StartCold: cold, Ledger: d.ledger, Meter: d.meter,
	})
	if err == nil {
		d.backends = append(d.backends, b)
		d.closers = append(d.closers, b.Kill)
	}
	return b, err
}

// start starts discovery, the counter, the backends and the gateway.
func (d *deployment) start() (err error) {
	if d.discovery, err = fakes.StartDiscovery(); err != nil {
		return err
	}
	d.closers = append(d.closers, d.discovery.Close)
	if d.counter, err = fakes.StartCounter(); err != nil {
		return err
	}
	d.closers = append(d.closers, d.counter.Close)
	for n := range 2 {
		d.cells = append(d.cells, &fakes.Cell{Number: n, Window: 5 * time.Second})
	}
	for i := range 6 {
		b, err := d.startBackend(i, false)
		if err != nil {
			return err
		}
		d.discovery.Set(b.Endpoint())
	}
	return d.startGateway()
}

// startGateway starts the gateway and its listener.
func (d *deployment) startGateway() error {
	list := d.discovery.List()
	gateway, err := pumicecroft.New(pumicecroft.Config{Settings: d.settings, InitialEndpoints: list.Membership()},
		pumicecroft.WithSource(&platform.Discovery{Addr: d.discovery.Addr(), FromVersion: list.Seq}))
	if err != nil {
		return err
	}
	d.closers = append(d.closers, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = gateway.Close(ctx)
	})
	ln, err := net.Listen("tcp", d.options.Addr)
	if err != nil {
		return err
	}
	d.addr = ln.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	logger := slog.New(slog.DiscardHandler)
	server := httplistener.NewServer(gateway, 512, 3*time.Second, logger, httplistener.Options{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Run(ctx, ln)
	}()
	d.closers = append(d.closers, func() {
		d.transport.CloseIdleConnections()
		stop()
		<-ended
	})
	return nil
}

// runEvents drains one backend, crashes one and starts one cold. Each event follows the previous one after a fixed
// share of the duration.
func (d *deployment) runEvents(ctx context.Context) {
	after := func(share float64, event string, do func()) bool {
		select {
		case <-time.After(time.Duration(share * float64(d.options.Duration))):
		case <-ctx.Done():
			return false
		}
		fmt.Fprintln(d.options.Out, "  --", event)
		do()
		return true
	}
	later := func(delay time.Duration, do func()) {
		select {
		case <-time.After(delay):
			do()
		case <-ctx.Done():
		}
	}
	ok := after(0.2, "node-0 drains", func() {
		d.backends[0].Drain()
		later(discoveryDelay, func() {
			d.discovery.SetHealth("node-0", "Terminating")
			d.mu.Lock()
			d.drainedBackend, d.drainedAt = "node-0", time.Now()
			d.mu.Unlock()
		})
	}) && after(0.2, "node-1 crashes", func() {
		d.backends[1].Kill()
		later(crashDetectionDelay, func() { d.discovery.SetHealth("node-1", "Gone") })
	})
	if ok {
		after(0.15, "node-6 starts cold", func() {
			if b, err := d.startBackend(6, true); err == nil {
				later(discoveryDelay, func() { d.discovery.Set(b.Endpoint()) })
			}
		})
	}
}

// runCustomer sends the requests of customer i until sendCtx ends, and waits for their responses.
func (d *deployment) runCustomer(sendCtx, ctx context.Context, i int) {
	rng := rand.New(rand.NewPCG(d.options.Seed, uint64(i)))
	plan, rate, from, to := "shop", customerRate, 0.0, 1.0
	if i == 0 {
		plan, rate, from, to = "flagship", customerRate*overQuotaFactor, 0.3, 0.7
	}
	start := time.Now()
	var requests sync.WaitGroup
	defer requests.Wait()
	for n := uint64(0); ; n++ {
		currentRate := rate
		if share := float64(time.Since(start)) / float64(d.options.Duration); share < from || share > to {
			currentRate = customerRate
		}
		select {
		case <-time.After(time.Duration(rng.ExpFloat64() / currentRate * float64(time.Second))):
		case <-sendCtx.Done():
			return
		}
		request := fakes.Request{Customer: uint64(i + 1), Plan: plan, Cost: 1, Timeout: 2 * time.Second}
		switch p := rng.Float64(); {
		case p < 0.49:
			request.Class = "id-check"
		case p < 0.88:
			request.Class = "stock-lookup"
		default:
			request.Class, request.Key, request.Body = "activate", fmt.Sprintf("%08x%016x", i, rng.Uint64()), "sim=1"
		}
		ids := [2]uint64{rng.Uint64(), rng.Uint64()}
		requests.Go(func() { d.sendRequest(ctx, request, ids) })
	}
}

// sendRequest sends a request and, if it is rejected with Retry-After, retries it once. ids holds the request ID of
// the first send and that of the retry.
func (d *deployment) sendRequest(ctx context.Context, request fakes.Request, ids [2]uint64) {
	for i, id := range ids {
		request.ID = id
		d.meter.Register(request.RequestID(), request.Customer, request.Cost, d.planRate(request.Plan))
		if request.Plan == "flagship" {
			d.mu.Lock()
			d.overQuotaIDs[request.RequestID()] = true
			d.mu.Unlock()
		}
		reply := request.Do(ctx, d.transport, d.addr)
		d.meter.Forget(request.RequestID())
		d.record(reply)
		if reply.String() != "refused" || reply.RetryAfter == "" || i > 0 {
			return
		}
		wait, err := time.ParseDuration(reply.RetryAfter + "s")
		if err != nil {
			return
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// planRate returns the rate of a plan.
func (d *deployment) planRate(plan string) float64 {
	for _, p := range d.settings.Plans {
		if p.Name == plan {
			return p.Rate
		}
	}
	return 0
}
