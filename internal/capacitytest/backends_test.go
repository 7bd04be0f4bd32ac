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

// membershipInSteps says that a door takes a list of any length in steps, and news at the cost of what changed. What is asserted of that
// fails without it.
const membershipInSteps = true

// taken is what one size has shown.
type listCosts struct {
	hosts     int
	listBytes int
	known     int           // of the hosts
	list      time.Duration // until all was taken in; 0: never
	served    time.Duration // until the first request was
	listCPU   time.Duration
	asks      int64 // calls to the agent until then
	wrote     int64
	resident  int64
	peak      int64
	newsCPU   time.Duration // of one change
	newsTime  time.Duration // from the agent's write until the door had done with it
	calm      Report
	rate      float64 // of a core in calm, all in all
	dials     float64 // connections to backends that were opened a second in calm
	bursts    []burst
}

type burst struct {
	name       string
	hosts      int
	nodes      int64 // of them that the door was done with in time
	cpu, spent time.Duration
	told       Report
	wrote      int64
	said       int // lines in the door's log
}

// bench is one door's process, its agent and its backend.
type fixture struct {
	t       *testing.T
	agent   *Agent
	gateway *GatewayProcess
	cpuRate float64 // processor time a second in calm; until that is known, much
}

func newFixture(t *testing.T, n, pad int) *fixture {
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
	b.gateway, err = StartGateway(Plan{Config: platformConfig(b.agent.Addr()), Backend: backend.Addr(), PerSecond: 286, Customers: 290, Most: *maxNodes})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = b.gateway.Stop() })
	return b
}

// look is what a door's process tells.
func must[T any](b *fixture, told T, err error) T {
	b.t.Helper()
	if err != nil {
		b.t.Fatal(err)
	}
	return told
}

func (b *fixture) report() Report {
	b.t.Helper()
	told, err := b.gateway.Full()
	return must(b, told, err)
}

func (b *fixture) ready() int {
	b.t.Helper()
	n, err := b.gateway.ReadyBackends()
	return must(b, n, err)
}

// until waits until discovery has told of so many nodes in all and the door's processor rests again, and gives when that was told and
// what it has cost over calm.
func (b *fixture) awaitNodes(nodes int64, from time.Time, before Report, patience time.Duration) (out burst, ok bool) {
	b.t.Helper()
	told, err := b.gateway.Await(nodes, patience)
	last := must(b, told, err)
	ok, out.spent = last.Nodes >= nodes, last.At.Sub(from)
	for i := 0; ok && i < 100; i++ { // what it still does behind that
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

// burstPatience is how long a zone's loss may take to be told.
const burstPatience = time.Minute

// took has a door take a list of n hosts, then news.
func measureList(t *testing.T, n, pad int, patience time.Duration) (out listCosts) {
	t.Helper()
	out.hosts = n
	b := newFixture(t, n, pad)
	out.listBytes = len(b.agent.List())
	list, ok := b.awaitNodes(int64(n), b.gateway.StartedAt, Report{}, patience)
	out.asks, out.wrote, out.resident, out.peak = b.agent.Calls.Load(), b.agent.BytesWritten.Load(), list.told.Resident, list.told.Peak
	if !ok {
		t.Logf("%d hosts: the door says %s", n, b.gateway.Log)
		return out
	}
	settled := time.Since(b.gateway.StartedAt)
	out.list, out.served = list.spent, list.told.First.Sub(b.gateway.StartedAt)
	// calm
	pause := time.Second
	if *full {
		pause = 20 * time.Second // longer than a connection rests
	}
	time.Sleep(500 * time.Millisecond)
	from := b.report()
	began := time.Now()
	time.Sleep(pause)
	out.calm = b.report()
	out.dials = float64(out.calm.Dialled-from.Dialled) / time.Since(began).Seconds()
	b.cpuRate = float64(out.calm.CPU-from.CPU) / float64(time.Since(began))
	out.rate = b.cpuRate
	out.listCPU = list.told.CPU - time.Duration(b.cpuRate*float64(settled))
	out.resident, out.peak = out.calm.Resident, out.calm.Peak
	out.known = b.ready()
	// one change, and back: each by itself
	before, began := b.report(), time.Now()
	var waits []time.Duration
	const changes = 300
	for i := range changes {
		h := b.agent.endpoints[n/2]
		h.Health = []string{"Terminating", "Ready"}[i%2]
		at := time.Now()
		b.agent.Update([]platform.Endpoint{h}, true)
		told, err := b.gateway.Await(before.Nodes+int64(i)+1, patience)
		if now := must(b, told, err); now.Nodes <= before.Nodes+int64(i) {
			t.Fatalf("%d hosts: change %d was never taken in: %s", n, i, b.gateway.Log)
		} else {
			waits = append(waits, now.At.Sub(at))
		}
	}
	last := b.report()
	out.newsCPU = (last.CPU - before.CPU - time.Duration(b.cpuRate*float64(time.Since(began)))) / changes
	slices.Sort(waits)
	out.newsTime = waits[len(waits)/2]
	// a zone's loss and return, in single lines and in one
	for _, s := range []struct {
		name, health string
		single       bool
	}{{"lost, single lines", "Gone", true}, {"back, one line", "Ready", false}, {"lost, one line", "Gone", false}, {"back, single lines", "Ready", true}} {
		var zone []platform.Endpoint
		for _, h := range b.agent.endpoints[:n-n%9] {
			if h.Zone == "z3" {
				h.Health = s.health
				zone = append(zone, h)
			}
		}
		before, wrote, said, began := b.report(), b.agent.BytesWritten.Load(), b.gateway.Log.Lines(), time.Now()
		b.agent.Update(zone, s.single)
		told, ok := b.awaitNodes(before.Nodes+int64(len(zone)), began, before, burstPatience)
		told.hosts, told.nodes = len(zone), told.told.Nodes-before.Nodes
		told.name, told.wrote, told.said = s.name, b.agent.BytesWritten.Load()-wrote, b.gateway.Log.Lines()-said
		if ok {
			told.told.Ready = b.ready()
		}
		out.bursts = append(out.bursts, told)
		if !ok {
			break // what comes behind would wait for this
		}
	}
	return out
}

func (r listCosts) log(t *testing.T) {
	t.Helper()
	mb := func(n int64) float64 { return float64(n) / (1 << 20) }
	if r.list == 0 {
		t.Logf("%d hosts, a list of %.1f MB: NEVER taken in; the agent was asked %d times and wrote %.1f MB; resident %.0f MB, at most %.0f",
			r.hosts, mb(int64(r.listBytes)), r.asks, mb(r.wrote), mb(r.resident), mb(r.peak))
		return
	}
	t.Logf("%d hosts, a list of %.1f MB: %v until told, %v until the first request was served, %v of a core; ready known %d; asked %d times, %.1f MB; resident %.0f MB, at most %.0f",
		r.hosts, mb(int64(r.listBytes)), r.list, r.served, r.listCPU, r.known, r.asks, mb(r.wrote), mb(r.resident), mb(r.peak))
	t.Logf("  calm: p50 %v, p99 %v, worst %v of %d requests, %d served, %.3f of a core in all, descriptors %d, %.1f connections opened a second", r.calm.P50, r.calm.P99, r.calm.Worst,
		r.calm.Asked, r.calm.Served, r.rate, r.calm.Files, r.dials)
	t.Logf("  one change: %v of a core, known after %v", r.newsCPU, r.newsTime)
	for _, s := range r.bursts {
		if s.nodes < int64(s.hosts) {
			t.Logf("  a zone %s: of %d changes only %d were taken in within %v, %v of a core, p99 %v, worst %v, %d of %d served, peak %.0f MB %v", s.name, s.hosts,
				s.nodes, burstPatience, s.cpu, s.told.P99, s.told.Worst, s.told.Served, s.told.Asked, mb(s.told.Peak), s.told.Errors)
			break
		}
		t.Logf("  a zone %s: %.2f MB, told after %v, %v of a core, p99 %v, worst %v, %d of %d served, ready known %d, peak %.0f MB, %d lines of log %v", s.name, mb(s.wrote), s.spent,
			s.cpu, s.told.P99, s.told.Worst, s.told.Served, s.told.Asked, s.told.Ready, mb(s.told.Peak), s.said, s.told.Errors)
	}
}

// A door is told of more and more backends by an agent that writes in pieces.
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
		t.Errorf("news of one costs %v at %d hosts and %v at %d: %.1f times", largest.newsCPU, largest.hosts, least.newsCPU, least.hosts, r)
	}
	for _, s := range largest.bursts {
		if each := s.cpu / time.Duration(s.hosts); ratio(each, least.newsCPU) > 3 {
			t.Errorf("a zone %s: %v of a core for each of %d hosts, where news of one costs %v at %d hosts", s.name, each, s.hosts, least.newsCPU, least.hosts)
		}
	}
}

// A list that is longer than any one of which a door has room for the text is taken in all the same.
func TestLongListIsAccepted(t *testing.T) {
	if !membershipInSteps {
		t.Skip("until membership is taken in steps: the list is asked for again and again")
	}
	const hosts = 2000
	if r := measureList(t, hosts, 5000, 10*time.Second); r.known != hosts {
		t.Errorf("of %d hosts in %d bytes the door knows %d, after %d calls", hosts, r.listBytes, r.known, r.asks)
	}
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(b, 1)) }

// gateway is what one size has shown of the decision module alone.
type engineCosts struct {
	hosts                           int
	whole, again                    time.Duration // a list when none is known; the same once more
	one, tick, request, burst, line time.Duration
	bytes                           float64 // for each backend
}

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

// middle is the middle one of n takes.
func median(n int, take func(i int) time.Duration) time.Duration {
	var all []time.Duration
	for i := range n {
		all = append(all, take(i))
	}
	slices.Sort(all)
	return all[n/2]
}

// The decision module alone is told of more and more backends.
func TestEngineBackends(t *testing.T) {
	var all []engineCosts
	for _, n := range sizesFor(t, []int{100, 10_000}, []int{100, 1000, 10_000, 110_000}) {
		g := measureEngine(t, n)
		t.Logf("%d backends: %.0f bytes each; a whole list %v, again %v; one change %v; a ninth gone, each %v; a ninth back in one %v; the tick %v; a request %v",
			g.hosts, g.bytes, g.whole, g.again, g.one, g.line, g.burst, g.tick, g.request)
		all = append(all, g)
	}
	least, largest := all[0], all[len(all)-1]
	if r := ratio(largest.request, least.request); r > 20 { // a walk over all would be a hundred
		t.Errorf("a request takes %v of %d backends and %v of %d: %.1f times", largest.request, largest.hosts, least.request, least.hosts, r)
	}
	if !membershipInSteps {
		return
	}
	if r := ratio(largest.one, least.one); r > 10 {
		t.Errorf("news of one takes %v of %d backends and %v of %d: %.1f times", largest.one, largest.hosts, least.one, least.hosts, r)
	}
}
