// Package demo runs a deployment on loopback for a short time: fake backends, discovery and counter, a gateway on a
// socket, and clients. Meanwhile one backend drains, one crashes, one starts cold, and one customer sends far more than
// its quota. The package counts the responses of the clients and the attempts that backends received.
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
	Addr     string    // of the gateway, such as 127.0.0.1:0
	Out      io.Writer // gets a line a second, and one at the end
	Seed     uint64    // of the clients' random numbers
}

// Counts are the results of the clients' tries.
type Counts struct {
	Sent, Served, Rejected, WithRetryAfter, Failed, Lost int
	Duplicates                                           int
}

// String returns the demo's last line.
func (c Counts) String() string {
	return fmt.Sprintf("served=%d refused=%d failed=%d lost=%d duplicates=%d",
		c.Served, c.Rejected, c.Failed, c.Lost, c.Duplicates)
}

// OK reports whether requests were sent, and none of them was lost or executed twice.
func (c Counts) OK() bool { return c.Lost == 0 && c.Duplicates == 0 && c.Sent > 0 }

const (
	customerCount     = 24
	customerRate      = 4.0  // requests a second of a customer within its quota
	floodFactor       = 60.0 // times as many from the customer over its quota
	discoveryLag      = 200 * time.Millisecond
	crashDetectionLag = time.Second // until discovery notices a crash
	slowStartWindow   = 4 * time.Second
)

// Settings returns the settings of the demo: one gateway, three classes, a plan with a quota and one with a hard limit
// as well.
func Settings() decision.Settings {
	return decision.Settings{
		GatewayCount: 1, MaxAttempts: 4, CanCancel: true, UsagePeriod: 500 * time.Millisecond, MaxCost: 6,
		MaxRetryAfter: time.Second, DrainGrace: 2 * time.Second,
		SlowStartMinCapacity: 0.2, SlowStartWindow: slowStartWindow, OverloadFactor: 4, OverloadDuration: 2 * time.Second,
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
			{Name: "flagship", Rate: 20, Burst: 20, Price: 1.6, HardLimitRate: 40, HardLimitBurst: 40, HardLimitOverdraft: 6},
		},
	}
}

// workTimes are the service times of a warm backend, by class.
var workTimes = map[string]time.Duration{
	"id-check": 15 * time.Millisecond, "stock-lookup": 30 * time.Millisecond, "activate": 45 * time.Millisecond,
}

// deployment is everything that runs.
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
	drainedAt      time.Time       // when discovery reported it
	floodingIDs    map[string]bool // request IDs of the customer over its quota
}

// Run runs the demo. It returns an error if something could not be started, or if ctx ended first.
func Run(ctx context.Context, o Options) (Counts, error) {
	s := &deployment{
		options: o, settings: Settings(), ledger: &fakes.Ledger{}, meter: &fakes.Meter{},
		floodingIDs: map[string]bool{}, transport: &http.Transport{MaxIdleConnsPerHost: 256},
	}
	defer func() {
		for _, closeOne := range slices.Backward(s.closers) {
			closeOne()
		}
	}()
	if err := s.start(); err != nil {
		return Counts{}, err
	}
	fmt.Fprintf(o.Out, "a door on %s, %d backends, discovery on %s, the counter on %s; %v\n", s.addr, len(s.backends),
		s.discovery.Addr(), s.counter.Addr(), o.Duration)
	sending, stop := context.WithTimeout(ctx, o.Duration)
	defer stop()
	var clients sync.WaitGroup
	for i := range customerCount {
		clients.Go(func() { s.runCustomer(sending, ctx, i) })
	}
	eventsDone := make(chan struct{})
	go func() {
		defer close(eventsDone)
		s.playEvents(sending)
	}()
	s.report(sending)
	clients.Wait()
	<-eventsDone
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Duplicates = len(s.ledger.RepeatedEffects())
	s.reportRules()
	fmt.Fprintln(o.Out, s.counts)
	return s.counts, ctx.Err()
}

// startBackend starts backend i.
func (s *deployment) startBackend(i int, cold bool) (*fakes.Backend, error) {
	b, err := fakes.StartBackend(fakes.BackendConfig{
		Name: fmt.Sprintf("node-%d", i), Zone: fmt.Sprintf("floor-%d", i%2+2), InstanceType: "standard",
		Cell: s.cells[i%2], Slots: 4, Queue: 40, WorkTime: func(class string) time.Duration { return workTimes[class] },
		IdempotentByKey:      func(class string) bool { return class == "activate" },
		SlowStartMinCapacity: 0.25, SlowStartWindow: slowStartWindow, OverloadFactor: 4, OverloadDuration: 2 * time.Second,
		StartCold: cold, Ledger: s.ledger, Meter: s.meter,
	})
	if err == nil {
		s.backends = append(s.backends, b)
		s.closers = append(s.closers, b.Kill)
	}
	return b, err
}

// start starts discovery, counter, backends and the gateway.
func (s *deployment) start() (err error) {
	if s.discovery, err = fakes.StartDiscovery(); err != nil {
		return err
	}
	s.closers = append(s.closers, s.discovery.Close)
	if s.counter, err = fakes.StartCounter(); err != nil {
		return err
	}
	s.closers = append(s.closers, s.counter.Close)
	for n := range 2 {
		s.cells = append(s.cells, &fakes.Cell{Number: n, Window: 5 * time.Second})
	}
	for i := range 6 {
		b, err := s.startBackend(i, false)
		if err != nil {
			return err
		}
		s.discovery.Set(b.Endpoint())
	}
	return s.startGateway()
}

// startGateway starts the gateway with its listener.
func (s *deployment) startGateway() error {
	list := s.discovery.List()
	gateway, err := pumicecroft.New(pumicecroft.Config{Settings: s.settings, InitialEndpoints: list.Membership()},
		pumicecroft.WithSource(&platform.Discovery{Addr: s.discovery.Addr(), FromVersion: list.Seq}))
	if err != nil {
		return err
	}
	s.closers = append(s.closers, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = gateway.Close(ctx)
	})
	ln, err := net.Listen("tcp", s.options.Addr)
	if err != nil {
		return err
	}
	s.addr = ln.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	logger := slog.New(slog.DiscardHandler)
	server := httplistener.NewServer(gateway, 512, 3*time.Second, logger, httplistener.Options{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Run(ctx, ln)
	}()
	s.closers = append(s.closers, func() {
		s.transport.CloseIdleConnections()
		stop()
		<-ended
	})
	return nil
}

// playEvents plays what happens to the backends, at shares of the duration.
func (s *deployment) playEvents(ctx context.Context) {
	after := func(share float64, event string, do func()) bool {
		select {
		case <-time.After(time.Duration(share * float64(s.options.Duration))):
		case <-ctx.Done():
			return false
		}
		fmt.Fprintln(s.options.Out, "  --", event)
		do()
		return true
	}
	later := func(d time.Duration, do func()) {
		select {
		case <-time.After(d):
			do()
		case <-ctx.Done():
		}
	}
	ok := after(0.2, "node-0 drains", func() {
		s.backends[0].Drain()
		later(discoveryLag, func() {
			s.discovery.SetHealth("node-0", "Terminating")
			s.mu.Lock()
			s.drainedBackend, s.drainedAt = "node-0", time.Now()
			s.mu.Unlock()
		})
	}) && after(0.2, "node-1 dies", func() {
		s.backends[1].Kill()
		later(crashDetectionLag, func() { s.discovery.SetHealth("node-1", "Gone") })
	})
	if ok {
		after(0.15, "node-6 starts cold", func() {
			if b, err := s.startBackend(6, true); err == nil {
				later(discoveryLag, func() { s.discovery.Set(b.Endpoint()) })
			}
		})
	}
}

// runCustomer sends the requests of customer i until sending ends, and waits for their responses.
func (s *deployment) runCustomer(sending, ctx context.Context, i int) {
	rng := rand.New(rand.NewPCG(s.options.Seed, uint64(i)))
	plan, rate, from, to := "shop", customerRate, 0.0, 1.0
	if i == 0 {
		plan, rate, from, to = "flagship", customerRate*floodFactor, 0.3, 0.7
	}
	start := time.Now()
	var requests sync.WaitGroup
	defer requests.Wait()
	for n := uint64(0); ; n++ {
		currentRate := rate
		if share := float64(time.Since(start)) / float64(s.options.Duration); share < from || share > to {
			currentRate = customerRate
		}
		select {
		case <-time.After(time.Duration(rng.ExpFloat64() / currentRate * float64(time.Second))):
		case <-sending.Done():
			return
		}
		ask := fakes.Request{Customer: uint64(i + 1), Plan: plan, Cost: 1, Timeout: 2 * time.Second}
		switch p := rng.Float64(); {
		case p < 0.49:
			ask.Class = "id-check"
		case p < 0.88:
			ask.Class = "stock-lookup"
		default:
			ask.Class, ask.Key, ask.Body = "activate", fmt.Sprintf("%08x%016x", i, rng.Uint64()), "sim=1"
		}
		ids := [2]uint64{rng.Uint64(), rng.Uint64()}
		requests.Go(func() { s.sendRequest(ctx, ask, ids) })
	}
}

// sendRequest sends a request and, after a rejection with Retry-After, one retry.
func (s *deployment) sendRequest(ctx context.Context, ask fakes.Request, ids [2]uint64) {
	for try, id := range ids {
		ask.ID = id
		s.meter.Register(ask.RequestID(), ask.Customer, ask.Cost, s.planRate(ask.Plan))
		if ask.Plan == "flagship" {
			s.mu.Lock()
			s.floodingIDs[ask.RequestID()] = true
			s.mu.Unlock()
		}
		reply := ask.Do(ctx, s.transport, s.addr)
		s.meter.Forget(ask.RequestID())
		s.record(reply)
		if reply.String() != "refused" || reply.RetryAfter == "" || try > 0 {
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
func (s *deployment) planRate(plan string) float64 {
	for _, p := range s.settings.Plans {
		if p.Name == plan {
			return p.Rate
		}
	}
	return 0
}
