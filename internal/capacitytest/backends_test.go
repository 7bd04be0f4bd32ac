package capacitytest

import (
	"runtime"
	"slices"
	"testing"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/fakes"
	"pumicecroft/internal/platform"
)

// membershipInSteps says that a gateway takes in a list of any length in steps, and an update at the cost of what
// changed. Assertions on that fail without it.
const membershipInSteps = true

// listCosts are the costs of an endpoint list of one size.
type listCosts struct {
	hosts     int
	listBytes int
	known     int           // endpoints that the gateway knows
	list      time.Duration // until it was taken in; 0 means never
	served    time.Duration // until the first request was served
	listCPU   time.Duration
	asks      int64 // calls to the agent until the list was taken in
	wrote     int64
	resident  int64
	peak      int64
	newsCPU   time.Duration // of one change
	newsTime  time.Duration // from the agent's update until the gateway had processed it
	calm      Report
	rate      float64 // share of a core in calm
	dials     float64 // connections to backends opened a second in calm
	bursts    []burst
}

// burst is the cost of an update of many endpoints.
type burst struct {
	name       string
	hosts      int
	nodes      int64 // endpoints that were processed in time
	cpu, spent time.Duration
	told       Report
	wrote      int64
	said       int // lines in the gateway's log
}

// fixture is a gateway's process with its agent and its backend.
type fixture struct {
	t       *testing.T
	agent   *Agent
	gateway *GatewayProcess
	cpuRate float64 // share of a core in calm; a high value until that is known
}

// newFixture starts a gateway with n endpoints, each of them padded.
func newFixture(t *testing.T, n, pad int) *fixture {
	t.Helper()
	b := &fixture{t: t, cpuRate: 0.1, agent: &Agent{ChunkBytes: *piece, ChunkPause: 2 * time.Millisecond, Padding: pad}}
	if err := b.agent.Start(Endpoints(n)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.agent.Close)
	backend, err := fakes.StartBackend(fakes.BackendConfig{Name: "s", Ledger: &fakes.Ledger{}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(backend.Kill)
	b.gateway, err = StartGateway(Plan{
		Config: platformConfig(b.agent.Addr()), Backend: backend.Addr(), PerSecond: 286, Customers: 290, Most: *maxNodes,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = b.gateway.Stop() })
	return b
}

// must returns a value that the gateway's process reported, and fails the test on an error.
func must[T any](b *fixture, value T, err error) T {
	b.t.Helper()
	if err != nil {
		b.t.Fatal(err)
	}
	return value
}

// report returns a full report.
func (b *fixture) report() Report {
	b.t.Helper()
	told, err := b.gateway.Full()
	return must(b, told, err)
}

// ready returns the number of backends that are ready to the gateway.
func (b *fixture) ready() int {
	b.t.Helper()
	n, err := b.gateway.ReadyBackends()
	return must(b, n, err)
}

// awaitNodes waits until the gateway has processed so many endpoints in total and its processor is calm again. It
// returns when that was and what it cost in addition to calm.
func (b *fixture) awaitNodes(nodes int64, from time.Time, before Report, patience time.Duration) (out burst, ok bool) {
	b.t.Helper()
	told, err := b.gateway.Await(nodes, patience)
	last := must(b, told, err)
	ok, out.spent = last.Nodes >= nodes, last.At.Sub(from)
	for i := 0; ok && i < 100; i++ { // until the work after the update is done
		time.Sleep(100 * time.Millisecond)
		told, err := b.gateway.Quick()
		now := must(b, told, err)
		rest := now.CPU - last.CPU
		if last = now; rest < time.Duration((b.cpuRate*2+0.05)*float64(100*time.Millisecond)) {
			break
		}
	}
	out.told = b.report()
	out.cpu = out.told.CPU - before.CPU - time.Duration(b.cpuRate*float64(time.Since(from)))
	return out, ok
}

// burstPatience is how long the update of a zone may take.
const burstPatience = time.Minute

// measureList measures how a gateway takes in a list of n endpoints, then a calm time, single changes, and the removal
// and return of a zone.
func measureList(t *testing.T, n, pad int, patience time.Duration) (out listCosts) {
	t.Helper()
	out.hosts = n
	f := newFixture(t, n, pad)
	out.listBytes = len(f.agent.List())
	list, ok := f.awaitNodes(int64(n), f.gateway.StartedAt, Report{}, patience)
	out.asks, out.wrote = f.agent.Calls.Load(), f.agent.BytesWritten.Load()
	out.resident, out.peak = list.told.Resident, list.told.Peak
	if !ok {
		t.Logf("%d hosts: the door says %s", n, f.gateway.Log)
		return out
	}
	settled := time.Since(f.gateway.StartedAt)
	out.list, out.served = list.spent, list.told.First.Sub(f.gateway.StartedAt)
	f.measureCalm(&out)
	out.listCPU = list.told.CPU - time.Duration(f.cpuRate*float64(settled))
	out.known = f.ready()
	f.measureChanges(&out, patience)
	f.measureZone(&out)
	return out
}

// measureCalm measures what a gateway costs without any update.
func (b *fixture) measureCalm(out *listCosts) {
	b.t.Helper()
	pause := time.Second
	if *full {
		pause = 20 * time.Second // longer than a connection is idle
	}
	time.Sleep(500 * time.Millisecond)
	before := b.report()
	start := time.Now()
	time.Sleep(pause)
	out.calm = b.report()
	out.dials = float64(out.calm.Dialled-before.Dialled) / time.Since(start).Seconds()
	b.cpuRate = float64(out.calm.CPU-before.CPU) / float64(time.Since(start))
	out.rate = b.cpuRate
	out.resident, out.peak = out.calm.Resident, out.calm.Peak
}

// measureChanges measures single changes of one endpoint, each of them alone.
func (b *fixture) measureChanges(out *listCosts, patience time.Duration) {
	b.t.Helper()
	const changes = 300
	before, start := b.report(), time.Now()
	var waits []time.Duration
	for i := range changes {
		e := b.agent.endpoints[out.hosts/2]
		e.Health = []string{"Terminating", "Ready"}[i%2]
		changedAt := time.Now()
		b.agent.Update([]platform.Endpoint{e}, true)
		report, err := b.gateway.Await(before.Nodes+int64(i)+1, patience)
		now := must(b, report, err)
		if now.Nodes <= before.Nodes+int64(i) {
			b.t.Fatalf("%d hosts: change %d was never taken in: %s", out.hosts, i, b.gateway.Log)
		}
		waits = append(waits, now.At.Sub(changedAt))
	}
	last := b.report()
	out.newsCPU = (last.CPU - before.CPU - time.Duration(b.cpuRate*float64(time.Since(start)))) / changes
	slices.Sort(waits)
	out.newsTime = waits[len(waits)/2]
}

// measureZone measures the removal and the return of a zone, each in one update and in one update for each endpoint.
func (b *fixture) measureZone(out *listCosts) {
	b.t.Helper()
	n := out.hosts
	for _, step := range []struct {
		name, health string
		single       bool
	}{
		{"lost, single lines", "Gone", true},
		{"back, one line", "Ready", false},
		{"lost, one line", "Gone", false},
		{"back, single lines", "Ready", true},
	} {
		var zone []platform.Endpoint
		for _, e := range b.agent.endpoints[:n-n%9] {
			if e.Zone == "z3" {
				e.Health = step.health
				zone = append(zone, e)
			}
		}
		before, start := b.report(), time.Now()
		wrote, lines := b.agent.BytesWritten.Load(), b.gateway.Log.Lines()
		b.agent.Update(zone, step.single)
		result, ok := b.awaitNodes(before.Nodes+int64(len(zone)), start, before, burstPatience)
		result.name, result.hosts, result.nodes = step.name, len(zone), result.told.Nodes-before.Nodes
		result.wrote, result.said = b.agent.BytesWritten.Load()-wrote, b.gateway.Log.Lines()-lines
		if ok {
			result.told.Ready = b.ready()
		}
		out.bursts = append(out.bursts, result)
		if !ok {
			break // the next step would wait for this one
		}
	}
}

// log logs the costs.
func (r listCosts) log(t *testing.T) {
	t.Helper()
	mb := func(n int64) float64 { return float64(n) / (1 << 20) }
	if r.list == 0 {
		t.Logf("%d hosts, a list of %.1f MB: NEVER taken in; the agent was asked %d times and wrote %.1f MB; "+
			"resident %.0f MB, at most %.0f",
			r.hosts, mb(int64(r.listBytes)), r.asks, mb(r.wrote), mb(r.resident), mb(r.peak))
		return
	}
	t.Logf("%d hosts, a list of %.1f MB: %v until told, %v until the first request was served, %v of a core; "+
		"ready known %d; asked %d times, %.1f MB; resident %.0f MB, at most %.0f",
		r.hosts, mb(int64(r.listBytes)), r.list, r.served, r.listCPU, r.known, r.asks, mb(r.wrote),
		mb(r.resident), mb(r.peak))
	t.Logf("  calm: p50 %v, p99 %v, worst %v of %d requests, %d served, %.3f of a core in all, descriptors %d, "+
		"%.1f connections opened a second", r.calm.P50, r.calm.P99, r.calm.Worst,
		r.calm.Asked, r.calm.Served, r.rate, r.calm.Files, r.dials)
	t.Logf("  one change: %v of a core, known after %v", r.newsCPU, r.newsTime)
	for _, s := range r.bursts {
		if s.nodes < int64(s.hosts) {
			t.Logf("  a zone %s: of %d changes only %d were taken in within %v, %v of a core, p99 %v, worst %v, "+
				"%d of %d served, peak %.0f MB %v", s.name, s.hosts, s.nodes, burstPatience, s.cpu, s.told.P99,
				s.told.Worst, s.told.Served, s.told.Asked, mb(s.told.Peak), s.told.Errors)
			break
		}
		t.Logf("  a zone %s: %.2f MB, told after %v, %v of a core, p99 %v, worst %v, %d of %d served, "+
			"ready known %d, peak %.0f MB, %d lines of log %v", s.name, mb(s.wrote), s.spent,
			s.cpu, s.told.P99, s.told.Worst, s.told.Served, s.told.Asked, s.told.Ready, mb(s.told.Peak), s.said, s.told.Errors)
	}
}

// An agent that writes in chunks reports more and more backends to a gateway. The cost of a change must not grow with
// the number of backends.
func TestBackends(t *testing.T) {
	var all []listCosts
	for _, n := range sizesFor(t, []int{100, 10_000}, []int{100, 1000, 10_000, 110_000}) {
		patience := 10 * time.Second
		r := measureList(t, n, 0, patience)
		r.log(t)
		all = append(all, r)
	}
	least, largest := all[0], all[len(all)-1]
	if !membershipInSteps || len(all) < 2 {
		return
	}
	if largest.known != largest.hosts {
		t.Errorf("of %d hosts the door knows %d", largest.hosts, largest.known)
	}
	if r := ratio(largest.newsCPU, least.newsCPU); r > 3 {
		t.Errorf("news of one costs %v at %d hosts and %v at %d: %.1f times",
			largest.newsCPU, largest.hosts, least.newsCPU, least.hosts, r)
	}
	for _, s := range largest.bursts {
		if each := s.cpu / time.Duration(s.hosts); ratio(each, least.newsCPU) > 3 {
			t.Errorf("a zone %s: %v of a core for each of %d hosts, where news of one costs %v at %d hosts",
				s.name, each, s.hosts, least.newsCPU, least.hosts)
		}
	}
}

// A list whose text is longer than a gateway can hold in memory must be taken in all the same.
func TestLongListIsAccepted(t *testing.T) {
	if !membershipInSteps {
		t.Skip("until membership is taken in steps: the list is asked for again and again")
	}
	const hosts = 2000
	if r := measureList(t, hosts, 5000, 10*time.Second); r.known != hosts {
		t.Errorf("of %d hosts in %d bytes the door knows %d, after %d calls", hosts, r.listBytes, r.known, r.asks)
	}
}

// ratio returns a / b.
func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(b, 1)) }

// engineCosts are the costs of one number of backends in the decision engine alone.
type engineCosts struct {
	hosts                           int
	whole, again                    time.Duration // a list when none is known; the same once more
	one, tick, request, burst, line time.Duration
	bytes                           float64 // for each backend
}

// measureEngine measures a decision engine with n backends.
func measureEngine(t *testing.T, n int) (out engineCosts) {
	t.Helper()
	out.hosts = n
	m := newEngineFixture(t, nil)
	handle := func(ev decision.Event) time.Duration {
		m.now += time.Millisecond
		return m.handle(ev)
	}
	list := engineEndpoints(n, 1)
	empty := heapInUse()
	out.whole = handle(list)
	out.bytes = (heapInUse() - empty) / float64(n)
	out.again = handle(list)
	change := func(i int, s decision.BackendState) decision.EndpointUpdate {
		b := list.Endpoints[i]
		b.State = s
		return decision.EndpointUpdate{Endpoints: []decision.Endpoint{b}}
	}
	out.one = median(20, func(i int) time.Duration {
		return handle(change(n/2, []decision.BackendState{decision.Draining, decision.Ready}[i%2]))
	})
	out.tick = median(5, func(int) time.Duration {
		m.now += time.Second
		return handle(decision.Timer{})
	})
	out.request = median(200, func(int) time.Duration {
		m.now += time.Millisecond
		return m.ask(7, "big", "service-0")
	})
	// a ninth of the backends in single events: some of them tell of all
	for i := 0; i < min(n/9, 200); i++ {
		out.line += handle(change(i*9, decision.Removed))
	}
	out.line /= time.Duration(max(1, min(n/9, 200)))
	back := decision.EndpointUpdate{}
	for i := 0; i < n; i += 9 {
		back.Endpoints = append(back.Endpoints, list.Endpoints[i])
	}
	out.burst = handle(back)
	runtime.KeepAlive(list)
	return out
}

// median returns the median of n calls of take.
func median(n int, take func(i int) time.Duration) time.Duration {
	var all []time.Duration
	for i := range n {
		all = append(all, take(i))
	}
	slices.Sort(all)
	return all[n/2]
}

// A decision engine alone gets more and more backends. The cost of a request and of a change must not grow with them.
func TestEngineBackends(t *testing.T) {
	var all []engineCosts
	for _, n := range sizesFor(t, []int{100, 10_000}, []int{100, 1000, 10_000, 110_000}) {
		g := measureEngine(t, n)
		t.Logf("%d backends: %.0f bytes each; a whole list %v, again %v; one change %v; a ninth gone, each %v; "+
			"a ninth back in one %v; the tick %v; a request %v",
			g.hosts, g.bytes, g.whole, g.again, g.one, g.line, g.burst, g.tick, g.request)
		all = append(all, g)
	}
	least, largest := all[0], all[len(all)-1]
	if r := ratio(largest.request, least.request); r > 20 { // a walk over all would be a hundred
		t.Errorf("a request takes %v of %d backends and %v of %d: %.1f times",
			largest.request, largest.hosts, least.request, least.hosts, r)
	}
	if !membershipInSteps {
		return
	}
	if r := ratio(largest.one, least.one); r > 10 {
		t.Errorf("news of one takes %v of %d backends and %v of %d: %.1f times",
			largest.one, largest.hosts, least.one, least.hosts, r)
	}
}
