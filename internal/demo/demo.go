// Package demo runs a whole deployment on loopback for a short while: stand-in backends, discovery and counter, a
// front door on a socket, and clients. Meanwhile one backend drains, one dies, one starts cold and one customer
// floods. It counts what clients got and what backends saw.
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

// Options say how long and where.
type Options struct {
	Duration time.Duration
	Addr     string    // the door's, such as 127.0.0.1:0
	Out      io.Writer // a line a second, and one at the end
	Seed     uint64    // of the clients' chance
}

// Counts are what became of the clients' tries.
type Counts struct {
	Sent, Served, Rejected, WithRetryAfter, Failed, Lost int
	Duplicates                                           int
}

// String is the demo's last line.
func (c Counts) String() string {
	return fmt.Sprintf("served=%d refused=%d failed=%d lost=%d duplicates=%d", c.Served, c.Rejected, c.Failed, c.Lost, c.Duplicates)
}

// OK tells whether nothing was lost or duplicated.
func (c Counts) OK() bool { return c.Lost == 0 && c.Duplicates == 0 && c.Sent > 0 }

const (
	customerCount     = 24
	customerRate      = 4.0  // requests of an ordinary customer
	floodFactor       = 60.0 // times as many of the one that floods
	discoveryLag      = 200 * time.Millisecond
	crashDetectionLag = time.Second // until discovery notices a death
	slowStartWindow   = 4 * time.Second
)

// Settings are the demo's deployment: one door, three classes, an ordinary plan and one with a hard ceiling.
func Settings() decision.Settings {
	return decision.Settings{
		GatewayCount: 1, MaxAttempts: 4, CanCancel: true, UsagePeriod: 500 * time.Millisecond, MaxCost: 6,
		MaxRetryAfter: time.Second, SlowStartMinCapacity: 0.2, SlowStartWindow: slowStartWindow, OverloadFactor: 4, OverloadDuration: 2 * time.Second,
		DrainGrace: 2 * time.Second,
		Classes: []decision.Class{
			{Name: "id-check", LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 3},
			{Name: "stock-lookup", LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1},
			{Name: "activate", Idempotency: decision.IdempotentByKey, DedupScope: decision.DedupScopeCell, DedupWindow: 5 * time.Second,
				LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 5},
		},
		Plans: []decision.Plan{
			{Name: "shop", Rate: 10, Burst: 20, Price: 1},
			{Name: "flagship", Rate: 20, Burst: 20, Price: 1.6, HardLimitRate: 40, HardLimitBurst: 40, HardLimitOverdraft: 6},
		},
	}
}

var workTimes = map[string]time.Duration{"id-check": 15 * time.Millisecond, "stock-lookup": 30 * time.Millisecond,
	"activate": 45 * time.Millisecond}

// stage is all that runs.
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
	latencies      []time.Duration // of this second's served
	drainedBackend string
	drainedAt      time.Time       // when discovery told it
	floodingIDs    map[string]bool // ids of the customer that floods
}

// Run runs the demo. The error tells what could not be started, or that ctx ended first.
func Run(ctx context.Context, o Options) (Counts, error) {
	s := &deployment{options: o, settings: Settings(), ledger: &fakes.Ledger{}, floodingIDs: map[string]bool{}, meter: &fakes.Meter{},
		transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer func() {
		for _, f := range slices.Backward(s.closers) {
			f()
		}
	}()
	if err := s.start(); err != nil {
		return Counts{}, err
	}
	fmt.Fprintf(o.Out, "a door on %s, %d backends, discovery on %s, the counter on %s; %v\n", s.addr, len(s.backends),
		s.discovery.Addr(), s.counter.Addr(), o.Duration)
	playing, stop := context.WithTimeout(ctx, o.Duration)
	defer stop()
	var clients sync.WaitGroup
	for i := range customerCount {
		clients.Go(func() { s.runCustomer(playing, ctx, i) })
	}
	story := make(chan struct{})
	go func() {
		defer close(story)
		s.playEvents(playing)
	}()
	s.report(playing)
	clients.Wait()
	<-story
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Duplicates = len(s.ledger.RepeatedEffects())
	s.reportRules()
	fmt.Fprintln(o.Out, s.counts)
	return s.counts, ctx.Err()
}

func (s *deployment) startBackend(i int, cold bool) (*fakes.Backend, error) {
	b, err := fakes.StartBackend(fakes.BackendConfig{Name: fmt.Sprintf("node-%d", i), Zone: fmt.Sprintf("floor-%d", i%2+2),
		InstanceType: "standard", Cell: s.cells[i%2], Slots: 4, Queue: 40, WorkTime: func(class string) time.Duration { return workTimes[class] },
		IdempotentByKey: func(class string) bool { return class == "activate" }, SlowStartMinCapacity: 0.25, SlowStartWindow: slowStartWindow,
		OverloadFactor: 4, OverloadDuration: 2 * time.Second, StartCold: cold, Ledger: s.ledger, Meter: s.meter})
	if err == nil {
		s.backends = append(s.backends, b)
		s.closers = append(s.closers, b.Kill)
	}
	return b, err
}

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
	list := s.discovery.List()
	door, err := pumicecroft.New(pumicecroft.Config{Settings: s.settings, InitialEndpoints: list.Membership()},
		pumicecroft.WithSource(&platform.Discovery{Addr: s.discovery.Addr(), FromVersion: list.Seq}))
	if err != nil {
		return err
	}
	s.closers = append(s.closers, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = door.Close(ctx)
	})
	ln, err := net.Listen("tcp", s.options.Addr)
	if err != nil {
		return err
	}
	s.addr = ln.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = httplistener.NewServer(door, 512, 3*time.Second, slog.New(slog.DiscardHandler), httplistener.Options{}).Run(ctx, ln)
	}()
	s.closers = append(s.closers, func() { s.transport.CloseIdleConnections(); stop(); <-ended })
	return nil
}

// story is what happens to the backends, at shares of the time.
func (s *deployment) playEvents(ctx context.Context) {
	at := func(share float64, what string, do func()) bool {
		select {
		case <-time.After(time.Duration(share * float64(s.options.Duration))):
		case <-ctx.Done():
			return false
		}
		fmt.Fprintln(s.options.Out, "  --", what)
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
	ok := at(0.2, "node-0 drains", func() {
		s.backends[0].Drain()
		later(discoveryLag, func() {
			s.discovery.SetHealth("node-0", "Terminating")
			s.mu.Lock()
			s.drainedBackend, s.drainedAt = "node-0", time.Now()
			s.mu.Unlock()
		})
	}) && at(0.2, "node-1 dies", func() {
		s.backends[1].Kill()
		later(crashDetectionLag, func() { s.discovery.SetHealth("node-1", "Gone") })
	})
	if ok {
		at(0.15, "node-6 starts cold", func() {
			if b, err := s.startBackend(6, true); err == nil {
				later(discoveryLag, func() { s.discovery.Set(b.Endpoint()) })
			}
		})
	}
}

// customer asks at its rate until playing ends; what it has asked then it still waits for.
func (s *deployment) runCustomer(playing, ctx context.Context, i int) {
	rng := rand.New(rand.NewPCG(s.options.Seed, uint64(i)))
	plan, rate, from, to := "shop", customerRate, 0.0, 1.0
	if i == 0 {
		plan, rate, from, to = "flagship", customerRate*floodFactor, 0.3, 0.7
	}
	start := time.Now()
	var asking sync.WaitGroup
	defer asking.Wait()
	for n := uint64(0); ; n++ {
		now := rate
		if share := float64(time.Since(start)) / float64(s.options.Duration); share < from || share > to {
			now = customerRate
		}
		select {
		case <-time.After(time.Duration(rng.ExpFloat64() / now * float64(time.Second))):
		case <-playing.Done():
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
		asking.Go(func() { s.sendRequest(ctx, ask, ids) })
	}
}

// ask is one request and, after a refusal that says when to come back, one retry.
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

func (s *deployment) planRate(plan string) float64 {
	for _, p := range s.settings.Plans {
		if p.Name == plan {
			return p.Rate
		}
	}
	return 0
}

func (s *deployment) record(r fakes.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range []*Counts{&s.counts, &s.thisSecond} {
		c.Sent++
		switch r.String() {
		case "served":
			c.Served++
		case "refused":
			c.Rejected++
			if r.RetryAfter != "" {
				c.WithRetryAfter++
			}
		case "lost":
			c.Lost++
		default:
			c.Failed++
		}
	}
	if r.Status == http.StatusOK {
		s.latencies = append(s.latencies, r.Latency)
	}
	if r.Status == 0 {
		fmt.Fprintln(s.options.Out, "  lost:", r.Err)
	}
}

// report prints a line a second.
func (s *deployment) report(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	start := time.Now()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		slices.Sort(s.latencies)
		c := s.thisSecond
		fmt.Fprintf(s.options.Out, "%3.0fs asked=%d served=%d refused=%d (with Retry-After %d) failed=%d p50=%v p99=%v\n",
			time.Since(start).Seconds(), c.Sent, c.Served, c.Rejected, c.WithRetryAfter, c.Failed, quantile(s.latencies, 0.5), quantile(s.latencies, 0.99))
		s.thisSecond, s.latencies = Counts{}, s.latencies[:0]
		s.mu.Unlock()
	}
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))].Round(100 * time.Microsecond)
}

// rules prints what the backends saw of the other rules; it wants the lock.
func (s *deployment) reportRules() {
	late := 0
	for _, a := range s.ledger.Attempts() {
		if s.drainedBackend != "" && a.Backend == s.drainedBackend && a.At.After(s.drainedAt.Add(s.settings.DrainGrace)) {
			late++
		}
	}
	fallen := 0
	for _, b := range s.backends {
		if b.Overloaded() {
			fallen++
		}
	}
	fmt.Fprintf(s.options.Out, "sent to the drained backend after its grace: %d; cold backends that fell: %d; "+
		"lowest store of the flooding customer's hard ceiling: %.1f units (%.1f allowed)\n", late, fallen, s.lowestHardLimitTokens(),
		-s.settings.Plans[1].HardLimitOverdraft)
}

// ceiling plays what was sent on for the flooding customer against its hard ceiling, each try once, and gives how
// low the store went.
func (s *deployment) lowestHardLimitTokens() float64 {
	plan := s.settings.Plans[1]
	store, least := plan.HardLimitBurst, plan.HardLimitBurst
	var last time.Time
	seen := map[string]bool{}
	for _, a := range s.ledger.Attempts() {
		if !s.floodingIDs[a.ID] || seen[a.ID] {
			continue
		}
		seen[a.ID] = true
		if !last.IsZero() {
			store = min(plan.HardLimitBurst, store+plan.HardLimitRate*a.At.Sub(last).Seconds())
		}
		last = a.At
		store--
		least = min(least, store)
	}
	return least
}
