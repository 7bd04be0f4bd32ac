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

// incrementalMembership states that a gateway processes an endpoint list of any length in batches, and a delta update
// at a cost that depends only on the changed endpoints. If it is false, the assertions that rely on it are skipped.
const incrementalMembership = true

// listCosts are the costs of an endpoint list of one size. The steady state is the time without endpoint updates, in
// which the gateway forwards requests.
type listCosts struct {
	endpoints       int
	listBytes       int           // length of the full update
	readyBackends   int           // backends that are ready to the gateway
	listTime        time.Duration // until the gateway had processed the full list; 0 means never
	firstServedTime time.Duration // until the first request was served
	listCPU         time.Duration // CPU time until the gateway had processed the full list, without that of the requests
	agentCalls      int64         // calls to the agent until the full list was processed
	agentBytes      int64         // bytes that the agent wrote in these calls
	resident        int64         // resident memory in the steady state, in bytes
	peak            int64         // largest resident memory so far, in bytes
	changeCPU       time.Duration // mean CPU time of a change of one endpoint
	changeTime      time.Duration // median time from the agent's update until the gateway had processed it
	steady          Report
	steadyCPU       float64 // CPU usage in the steady state, as a share of a core
	connRate        float64 // connections to backends opened per second in the steady state
	zoneUpdates     []updateCosts
}

// updateCosts are the costs of an update of many endpoints.
type updateCosts struct {
	name         string
	endpoints    int
	processed    int64 // endpoints that were processed before the timeout
	cpu, elapsed time.Duration
	report       Report
	agentBytes   int64 // bytes that the agent wrote
	logLines     int   // lines in the gateway's log
}

// fixture is a gateway process with its agent and its backend.
type fixture struct {
	t         *testing.T
	agent     *Agent
	gateway   *GatewayProcess
	steadyCPU float64 // CPU usage in the steady state, as a share of a core; a high estimate until it is measured
}

// newFixture starts a gateway with n endpoints. In the agent's responses, pad spaces follow each endpoint.
func newFixture(t *testing.T, n, pad int) *fixture {
	t.Helper()
	f := &fixture{t: t, steadyCPU: 0.1,
		agent: &Agent{ChunkBytes: *chunkBytes, ChunkPause: 2 * time.Millisecond, Padding: pad}}
	if err := f.agent.Start(Endpoints(n)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.agent.Close)
	backend, err := fakes.StartBackend(fakes.BackendConfig{Name: "s", Ledger: &fakes.Ledger{}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(backend.Kill)
	f.gateway, err = StartGateway(Plan{
		Config: platformConfig(f.agent.Addr()), Backend: backend.Addr(), PerSecond: 286, Customers: 290, Most: *maxNodes,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.gateway.Stop() })
	return f
}

// must returns value, which was reported by the gateway process, and fails the test if err is not nil.
func must[T any](f *fixture, value T, err error) T {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
	return value
}

// report returns a full report of the gateway process.
func (f *fixture) report() Report {
	f.t.Helper()
	report, err := f.gateway.FullReport()
	return must(f, report, err)
}

// readyBackends returns the number of backends that are ready to the gateway.
func (f *fixture) readyBackends() int {
	f.t.Helper()
	n, err := f.gateway.ReadyBackends()
	return must(f, n, err)
}

// awaitNodes waits until the gateway has processed a total number of endpoints and its CPU usage is about that of the
// steady state again. It returns the time since from and the costs since before, with the CPU time of the steady state
// subtracted. ok is false if the endpoints were not processed before the timeout.
func (f *fixture) awaitNodes(
	nodes int64, from time.Time, before Report, timeout time.Duration,
) (out updateCosts, ok bool) {
	f.t.Helper()
	report, err := f.gateway.AwaitNodes(nodes, timeout)
	last := must(f, report, err)
	ok, out.elapsed = last.Nodes >= nodes, last.At.Sub(from)
	for i := 0; ok && i < 100; i++ { // until the gateway has finished the work that follows the update
		time.Sleep(100 * time.Millisecond)
		report, err := f.gateway.QuickReport()
		now := must(f, report, err)
		rest := now.CPU - last.CPU
		if last = now; rest < time.Duration((f.steadyCPU*2+0.05)*float64(100*time.Millisecond)) {
			break
		}
	}
	out.report = f.report()
	out.cpu = out.report.CPU - before.CPU - time.Duration(f.steadyCPU*float64(time.Since(from)))
	return out, ok
}

// zoneUpdateTimeout is the longest time that the update of a zone may take.
const zoneUpdateTimeout = time.Minute

// measureList measures the costs of a full update with n endpoints, then of the steady state, of changes of one
// endpoint, and of the removal and return of a zone.
func measureList(t *testing.T, n, pad int, timeout time.Duration) (out listCosts) {
	t.Helper()
	out.endpoints = n
	f := newFixture(t, n, pad)
	out.listBytes = len(f.agent.List())
	list, ok := f.awaitNodes(int64(n), f.gateway.StartedAt, Report{}, timeout)
	out.agentCalls, out.agentBytes = f.agent.Calls.Load(), f.agent.BytesWritten.Load()
	out.resident, out.peak = list.report.Resident, list.report.Peak
	if !ok {
		t.Logf("%d endpoints were not processed within %v; the gateway's log: %s", n, timeout, f.gateway.Log)
		return out
	}
	settled := time.Since(f.gateway.StartedAt)
	out.listTime, out.firstServedTime = list.elapsed, list.report.First.Sub(f.gateway.StartedAt)
	f.measureSteadyState(&out)
	out.listCPU = list.report.CPU - time.Duration(f.steadyCPU*float64(settled))
	out.readyBackends = f.readyBackends()
	f.measureSingleChanges(&out, timeout)
	f.measureZoneUpdates(&out)
	return out
}

// measureSteadyState measures the costs of a gateway without endpoint updates.
func (f *fixture) measureSteadyState(out *listCosts) {
	f.t.Helper()
	pause := time.Second
	if *fullSize {
		pause = 20 * time.Second // longer than the idle timeout of connections
	}
	time.Sleep(500 * time.Millisecond)
	before := f.report()
	start := time.Now()
	time.Sleep(pause)
	out.steady = f.report()
	out.connRate = float64(out.steady.Dialled-before.Dialled) / time.Since(start).Seconds()
	f.steadyCPU = float64(out.steady.CPU-before.CPU) / float64(time.Since(start))
	out.steadyCPU = f.steadyCPU
	out.resident, out.peak = out.steady.Resident, out.steady.Peak
}

// measureSingleChanges measures changes of one endpoint, one after another.
func (f *fixture) measureSingleChanges(out *listCosts, timeout time.Duration) {
	f.t.Helper()
	const changes = 300
	before, start := f.report(), time.Now()
	var waits []time.Duration
	for i := range changes {
		e := f.agent.endpoints[out.endpoints/2]
		e.Health = []string{"Terminating", "Ready"}[i%2]
		changedAt := time.Now()
		f.agent.Update([]platform.Endpoint{e}, true)
		report, err := f.gateway.AwaitNodes(before.Nodes+int64(i)+1, timeout)
		now := must(f, report, err)
		if now.Nodes <= before.Nodes+int64(i) {
			f.t.Fatalf("%d endpoints: change %d was not processed within %v: processed %d endpoints, want %d; "+
				"the gateway's log: %s", out.endpoints, i, timeout, now.Nodes, before.Nodes+int64(i)+1, f.gateway.Log)
		}
		waits = append(waits, now.At.Sub(changedAt))
	}
	last := f.report()
	out.changeCPU = (last.CPU - before.CPU - time.Duration(f.steadyCPU*float64(time.Since(start)))) / changes
	slices.Sort(waits)
	out.changeTime = waits[len(waits)/2]
}

// measureZoneUpdates measures the removal and the return of a zone, each in one update and in one update for each
// endpoint.
func (f *fixture) measureZoneUpdates(out *listCosts) {
	f.t.Helper()
	n := out.endpoints
	for _, step := range []struct {
		name, health string
		single       bool
	}{
		{"removed in single updates", "Gone", true},
		{"returned in one update", "Ready", false},
		{"removed in one update", "Gone", false},
		{"returned in single updates", "Ready", true},
	} {
		var zone []platform.Endpoint
		for _, e := range f.agent.endpoints[:n-n%9] {
			if e.Zone == "z3" {
				e.Health = step.health
				zone = append(zone, e)
			}
		}
		before, start := f.report(), time.Now()
		wrote, lines := f.agent.BytesWritten.Load(), f.gateway.Log.Lines()
		f.agent.Update(zone, step.single)
		result, ok := f.awaitNodes(before.Nodes+int64(len(zone)), start, before, zoneUpdateTimeout)
		result.name, result.endpoints, result.processed = step.name, len(zone), result.report.Nodes-before.Nodes
		result.agentBytes, result.logLines = f.agent.BytesWritten.Load()-wrote, f.gateway.Log.Lines()-lines
		if ok {
			result.report.Ready = f.readyBackends()
		}
		out.zoneUpdates = append(out.zoneUpdates, result)
		if !ok {
			break // the next step would also wait for the endpoints of this one
		}
	}
}

// log logs the costs.
func (r listCosts) log(t *testing.T) {
	t.Helper()
	mb := func(n int64) float64 { return float64(n) / (1 << 20) }
	if r.listTime == 0 {
		t.Logf("%d endpoints, a list of %.1f MB: NEVER processed completely; %d calls to the agent, which wrote %.1f MB; "+
			"resident memory %.0f MB, peak %.0f MB",
			r.endpoints, mb(int64(r.listBytes)), r.agentCalls, mb(r.agentBytes), mb(r.resident), mb(r.peak))
		return
	}
	t.Logf("%d endpoints, a list of %.1f MB: processed after %v, first request served after %v, CPU time %v; "+
		"%d backends ready; %d calls to the agent, which wrote %.1f MB; resident memory %.0f MB, peak %.0f MB",
		r.endpoints, mb(int64(r.listBytes)), r.listTime, r.firstServedTime, r.listCPU, r.readyBackends,
		r.agentCalls, mb(r.agentBytes), mb(r.resident), mb(r.peak))
	t.Logf("  steady state: p50 %v, p99 %v, max %v of %d requests, %d served, %.3f of a core in total, "+
		"%d file descriptors, %.1f connections opened per second", r.steady.P50, r.steady.P99, r.steady.Worst,
		r.steady.Asked, r.steady.Served, r.steadyCPU, r.steady.Files, r.connRate)
	t.Logf("  change of one endpoint: CPU time %v, processed after %v", r.changeCPU, r.changeTime)
	for _, s := range r.zoneUpdates {
		if s.processed < int64(s.endpoints) {
			t.Logf("  zone %s: of %d changes only %d were processed within %v, CPU time %v, p99 %v, max %v, "+
				"%d of %d served, peak memory %.0f MB, errors %v", s.name, s.endpoints, s.processed, zoneUpdateTimeout, s.cpu,
				s.report.P99, s.report.Worst, s.report.Served, s.report.Asked, mb(s.report.Peak), s.report.Errors)
			break
		}
		t.Logf("  zone %s: %.2f MB, processed after %v, CPU time %v, p99 %v, max %v, %d of %d served, "+
			"%d backends ready, peak memory %.0f MB, %d log lines, errors %v", s.name, mb(s.agentBytes), s.elapsed,
			s.cpu, s.report.P99, s.report.Worst, s.report.Served, s.report.Asked, s.report.Ready, mb(s.report.Peak),
			s.logLines, s.report.Errors)
	}
}

// Measures a gateway with an increasing number of backends, reported by an agent that writes in chunks. The cost of a
// change must not grow with the number of backends.
func TestBackends(t *testing.T) {
	var all []listCosts
	for _, n := range sizesFor(t, []int{100, 10_000}, []int{100, 1000, 10_000, 110_000}) {
		timeout := 10 * time.Second
		r := measureList(t, n, 0, timeout)
		r.log(t)
		all = append(all, r)
	}
	least, largest := all[0], all[len(all)-1]
	if !incrementalMembership || len(all) < 2 {
		return
	}
	if largest.readyBackends != largest.endpoints {
		t.Errorf("%d backends are ready to the gateway, want %d", largest.readyBackends, largest.endpoints)
	}
	if r := ratio(largest.changeCPU, least.changeCPU); r > 3 {
		t.Errorf("a change of one endpoint takes %v of CPU time with %d endpoints and %v with %d: %.1f times, want at most 3",
			largest.changeCPU, largest.endpoints, least.changeCPU, least.endpoints, r)
	}
	for _, s := range largest.zoneUpdates {
		if each := s.cpu / time.Duration(s.endpoints); ratio(each, least.changeCPU) > 3 {
			t.Errorf("zone %s: %v of CPU time for each of %d endpoints, want at most 3 times the %v of a single change "+
				"with %d endpoints", s.name, each, s.endpoints, least.changeCPU, least.endpoints)
		}
	}
}

// The text of an endpoint list may be longer than a gateway can buffer at once; the list must be accepted nevertheless.
func TestLongListIsAccepted(t *testing.T) {
	if !incrementalMembership {
		t.Skip("without incremental membership, the gateway rejects the list and requests it again and again")
	}
	const endpoints = 2000
	if r := measureList(t, endpoints, 5000, 10*time.Second); r.readyBackends != endpoints {
		t.Errorf("a list of %d bytes: %d backends are ready to the gateway after %d calls to the agent, want %d",
			r.listBytes, r.readyBackends, r.agentCalls, endpoints)
	}
}

// ratio returns a / b, with b at least 1 ns.
func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(b, 1)) }

// engineCosts are the costs of one number of backends in the decision engine alone.
type engineCosts struct {
	backends       int
	fullUpdate     time.Duration // the first endpoint list
	repeatedUpdate time.Duration // the same list again
	singleChange   time.Duration
	tick           time.Duration
	request        time.Duration
	bulkReturn     time.Duration // the return of every ninth backend in one update
	singleRemoval  time.Duration // the removal of one backend, the mean over up to 200
	bytes          float64       // heap bytes per backend
}

// measureEngine measures a decision engine with n backends.
func measureEngine(t *testing.T, n int) (out engineCosts) {
	t.Helper()
	out.backends = n
	m := newEngineFixture(t, nil)
	handle := func(ev decision.Event) time.Duration {
		m.now += time.Millisecond
		return m.handle(ev)
	}
	list := engineEndpoints(n, 1)
	empty := heapInUse()
	out.fullUpdate = handle(list)
	out.bytes = (heapInUse() - empty) / float64(n)
	out.repeatedUpdate = handle(list)
	change := func(i int, s decision.BackendState) decision.EndpointUpdate {
		b := list.Endpoints[i]
		b.State = s
		return decision.EndpointUpdate{Endpoints: []decision.Endpoint{b}}
	}
	out.singleChange = median(20, func(i int) time.Duration {
		return handle(change(n/2, []decision.BackendState{decision.Draining, decision.Ready}[i%2]))
	})
	out.tick = median(5, func(int) time.Duration {
		m.now += time.Second
		return handle(decision.Timer{})
	})
	out.request = median(200, func(int) time.Duration {
		m.now += time.Millisecond
		return m.handleRequest(7, "big", "service-0")
	})
	// Removes every ninth backend in an update of its own, up to 200 of them as a sample.
	for i := 0; i < min(n/9, 200); i++ {
		out.singleRemoval += handle(change(i*9, decision.Removed))
	}
	out.singleRemoval /= time.Duration(max(1, min(n/9, 200)))
	back := decision.EndpointUpdate{}
	for i := 0; i < n; i += 9 {
		back.Endpoints = append(back.Endpoints, list.Endpoints[i])
	}
	out.bulkReturn = handle(back)
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

// Measures the decision engine alone with an increasing number of backends. The cost of a request and of a change must
// not grow with that number.
func TestEngineBackends(t *testing.T) {
	var all []engineCosts
	for _, n := range sizesFor(t, []int{100, 10_000}, []int{100, 1000, 10_000, 110_000}) {
		c := measureEngine(t, n)
		t.Logf("%d backends: %.0f bytes each; a full update %v, repeated %v; a single change %v; a single removal %v; "+
			"the return of a ninth in one update %v; a tick %v; a request %v", c.backends, c.bytes, c.fullUpdate,
			c.repeatedUpdate, c.singleChange, c.singleRemoval, c.bulkReturn, c.tick, c.request)
		all = append(all, c)
	}
	least, largest := all[0], all[len(all)-1]
	if r := ratio(largest.request, least.request); r > 20 { // with the small sizes, a scan of all would be 100
		t.Errorf("a request takes %v with %d backends and %v with %d: %.1f times, want at most 20",
			largest.request, largest.backends, least.request, least.backends, r)
	}
	if !incrementalMembership {
		return
	}
	if r := ratio(largest.singleChange, least.singleChange); r > 10 {
		t.Errorf("a single change takes %v with %d backends and %v with %d: %.1f times, want at most 10",
			largest.singleChange, largest.backends, least.singleChange, least.backends, r)
	}
}
