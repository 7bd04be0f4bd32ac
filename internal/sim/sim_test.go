package sim

import (
	"errors"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pumicecroft/internal/platformhttp"
)

// ciSeeds are the seeds that CI runs, always the same.
const ciSeeds = 400

// runSeeds runs seeds side by side and gives what came of them, in their order. Two at once leave
// room for the tests of other packages, which wait on sockets meanwhile.
func runSeeds(n uint64, run func(seed uint64) Result) []Result {
	out := make([]Result, n)
	var running sync.WaitGroup
	next := make(chan uint64)
	for range 2 {
		running.Go(func() {
			for seed := range next {
				out[seed] = run(seed)
			}
		})
	}
	for seed := range n {
		next <- seed
	}
	close(next)
	running.Wait()
	return out
}

// None of the seeds that CI runs breaks a rule, and between them they meet every kind of fault and
// every end of a request.
func TestSeeds(t *testing.T) {
	var met [faultKindCount]int
	served, rejected, failed, lost := 0, 0, 0, 0
	for _, result := range runSeeds(ciSeeds, func(seed uint64) Result { return Run(seed, Options{}) }) {
		for _, violation := range result.Violations {
			t.Errorf("seed %d: %v\n%v", result.Seed, violation, Shrink(result, Options{}).Script)
		}
		for _, fault := range result.Script {
			met[fault.Kind]++
		}
		served, rejected = served+result.Served, rejected+result.Rejected
		failed, lost = failed+result.Failed, lost+result.LostWithGateway
	}
	if slices.Contains(met[:], 0) || served == 0 || rejected == 0 || failed == 0 || lost == 0 {
		t.Errorf("faults met: %v; served %d, rejected %d, failed %d, lost with their gateways %d",
			met, served, rejected, failed, lost)
	}
}

// Scripts that broke a rule once break none, and the way there and back loses nothing.
func TestCorpus(t *testing.T) {
	text, err := os.ReadFile("testdata/corpus.toml")
	if err != nil {
		t.Fatal(err)
	}
	cases, err := ReadCorpus(text)
	if err != nil || len(cases) == 0 {
		t.Fatal(len(cases), err)
	}
	for _, c := range cases {
		if res := Run(c.Seed, Options{Script: &c.Script}); len(res.Violations) > 0 {
			t.Errorf("%s: %v", c.Cause, res.Violations)
		}
		text, err := c.MarshalTOML()
		if again, err2 := ReadCorpus(text); err != nil || err2 != nil || len(again) != 1 || !slices.Equal(again[0].Script, c.Script) {
			t.Errorf("%v, %v: %+v is read as %+v", err, err2, c, again)
		}
	}
	for text, want := range map[string]string{"[[case]]\nseed = x": "line 2", "[[case]]\nseed = 1\nfault = [{at = '1s', for = '2', kind = 'kill'}]": "case 1",
		"[[case]]\nfault = [{at = '1s', for = '2s', kind = 'flu'}]": `"flu"`} {
		if _, err := ReadCorpus([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// A seed replays exactly: the same trace line by line, on any number of processors, whether or not
// the trace is taken, and another seed's is another.
func TestSeed_Replays(t *testing.T) {
	const n = 60
	var lines [n][]string
	traced := func(seed uint64) Result {
		lines[seed] = nil
		return Run(seed, Options{Trace: func(l string) { lines[seed] = append(lines[seed], l) }})
	}
	first := runSeeds(n, traced)
	was := lines
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	second := runSeeds(n, traced)
	hashes := map[uint64]bool{}
	for i := range n {
		if first[i].Hash != second[i].Hash || !slices.Equal(was[i], lines[i]) || len(was[i]) < 40 {
			t.Errorf("seed %d: %d and %d lines", i, len(was[i]), len(lines[i]))
		}
		if quiet := Run(uint64(i), Options{}).Hash; quiet != first[i].Hash {
			t.Errorf("seed %d: the trace's being taken changes it", i)
		}
		hashes[first[i].Hash] = true
	}
	if len(hashes) != n {
		t.Errorf("%d traces of %d seeds", len(hashes), n)
	}
}

// Events of one instant come in every order over seeds, each of which replays.
func TestEventsOfOneInstant_EveryOrder(t *testing.T) {
	orders := map[string]int{}
	for seed := range uint64(200) {
		order := func() string {
			w, got := newWorld(seed, nil), ""
			for _, name := range []string{"a", "b", "c"} {
				w.scheduleAfter(time.Second, func() { got += name })
			}
			w.run(startTime+time.Minute, 100)
			return got
		}
		first := order()
		if again := order(); again != first {
			t.Errorf("seed %d: %s, then %s", seed, first, again)
		}
		orders[first]++
	}
	if len(orders) != 6 {
		t.Errorf("%v", orders)
	}
}

// quietRunner is a world with one door and two backends, in which nothing happens by itself.
func newIdleRunner(t *testing.T, trace *[]string) *runner {
	t.Helper()
	r := newRunner(7, Options{Trace: func(l string) { *trace = append(*trace, l) }})
	r.config = drawConfig(r.newRand(0))
	r.config.gateways, r.config.backends, r.config.usesCatalog, r.config.usesDiscovery, r.config.perturbsEngine, r.config.maxConns = 1, 2, false, true, false, 8
	r.config.canCancel, r.config.maxOpenRequests, r.config.idleTimeout = true, 100, 15*time.Second
	r.populate(func(int) int { return 0 })
	return r
}

// What a connection carries comes in its order, cut or not, after the way there; over a partition
// when that ends; never after the connection has ended.
func TestConn_OrderLatencyAndPartition(t *testing.T) {
	var trace []string
	r := newIdleRunner(t, &trace)
	g, b := r.gateways[0], r.backends[0]
	var c *conn
	g.dial(b.addr(), nil, func(opened *conn, _ error) { c = opened })
	r.run(startTime+time.Second, 1000)
	if c == nil || c.latency <= 0 {
		t.Fatal("it does not come up")
	}
	sent := r.now
	c.sendToGateway([]byte("ab"), time.Second)
	c.sendToGateway([]byte("cd"), 0)
	r.run(sent+time.Second, 1000)
	if len(c.received) > 0 {
		t.Errorf("%q came before its time", c.received)
	}
	r.run(sent+2*time.Second, 1000)
	if string(c.received) != "abcd" {
		t.Errorf("%q", c.received)
	}
	g.partitionedUntil[b] = r.now + 3*time.Second
	c.sendToGateway([]byte("ef"), 0)
	c.sendToGateway([]byte("gh"), 0)
	r.run(g.partitionedUntil[b]-1, 10_000)
	before := string(c.received)
	r.run(g.partitionedUntil[b]+time.Second, 10_000)
	if before != "abcd" || string(c.received) != "abcdefgh" {
		t.Errorf("%q while nothing passes, %q then", before, c.received)
	}
	c.reset()
	c.sendToGateway([]byte("ij"), 0)
	r.run(r.now+time.Second, 10_000)
	if string(c.received) != "abcdefgh" || !errors.Is(c.readErr, errConnReset) {
		t.Errorf("%q, ended by %v", c.received, c.readErr)
	}
	for _, dial := range []struct {
		set  func()
		want error
	}{{func() { b.up = false }, errConnRefused}, {func() { b.up, b.faultShares[ConnRefused] = true, 1 }, errConnRefused},
		{func() { b.faultShares[ConnRefused], b.faultShares[ConnHangs] = 0, 1 }, errConnTimeout}, {func() { b.faultShares[ConnHangs], g.maxDescriptors = 0, 0 }, platformhttp.ErrNoDescriptors}} {
		dial.set()
		got := error(nil)
		g.dial(b.addr(), nil, func(_ *conn, err error) { got = err })
		r.run(r.now+time.Second, 10_000)
		if !errors.Is(got, dial.want) {
			t.Errorf("%v, want %v", got, dial.want)
		}
	}
}

// Each rule holds at its limit and breaks one step beyond.
func TestRules_Boundaries(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name   string
		breaks string
		do     func(r *runner, past time.Duration, units float64)
	}{
		{"drain grace", ruleDrain, func(r *runner, past time.Duration, _ float64) {
			g := r.gateways[0]
			g.endpoints.drainKnownSince["b0"], g.endpoints.nameByID[1] = r.now-r.config.drainGrace-past, "b0"
			r.check.onAttemptStarted(g, &attempt{request: &clientRequest{class: "look", customer: 1}, backend: 1})
		}},
		{"disconnect tolerance", ruleDisconnected, func(r *runner, past time.Duration, _ float64) {
			r.now += time.Second
			request := &clientRequest{class: "look", disconnected: true, disconnectedAt: r.now - disconnectTolerance - past}
			r.check.onAttemptSent(r.gateways[0], &attempt{request: request})
		}},
		{"client timeout", ruleAnswerInTime, func(r *runner, past time.Duration, _ float64) {
			request := &clientRequest{class: "look", gateway: r.gateways[0], arrivedAt: r.now - 500*ms - past, timeout: 500 * ms}
			r.check.onFinal(request, verdictFailed, nil)
		}},
		{"hard limit overdraft", ruleHardLimit, func(r *runner, _ time.Duration, units float64) {
			cost := hardLimitBurst + hardLimitOverdraft + units
			request := &clientRequest{class: "look", customer: flagshipCustomer, cost: cost}
			r.check.onAttemptStarted(r.gateways[0], &attempt{request: request})
		}},
		{"missing answer", ruleOneFinalAnswer, func(r *runner, past time.Duration, _ float64) {
			g := r.gateways[0]
			r.check.unanswered = []*clientRequest{{
				class: "look", gateway: g, gatewayEpoch: g.epoch, arrivedAt: r.now - 500*ms - past, timeout: 500 * ms,
			}}
			r.check.checkDeadlines()
		}},
	} {
		for _, past := range []bool{false, true} {
			var trace []string
			r := newIdleRunner(t, &trace)
			c.do(r, time.Duration(boolToInt(past)), 0.001*float64(boolToInt(past)))
			if got := len(r.violations) > 0; got != past || got && r.violations[0].Rule != c.breaks {
				t.Errorf("%s, past it: %v: %v", c.name, past, r.violations)
			}
		}
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// A key is new again at the exact end of its window, and a backend that warms up is overloaded by
// one request more than it can take.
func TestBackend_DedupWindowAndOverloadBoundaries(t *testing.T) {
	m := dedupTable{map[uint64]time.Duration{1: time.Second}}
	if m.insertIfNew(1, 6*time.Second-1, 5*time.Second) || !m.insertIfNew(1, 6*time.Second, 5*time.Second) {
		t.Error("a key's window")
	}
	for _, more := range []int{0, 1} {
		var trace []string
		r := newIdleRunner(t, &trace)
		b := r.backends[0]
		b.startedAt, b.overloadFactor, b.overloadDuration = r.now, 4, 3*time.Second
		r.now += 3*time.Second + 1
		most := int(b.overloadFactor * b.warmupFraction() * backendCapacity * b.overloadDuration.Seconds())
		for range most + more {
			c := &conn{world: r.world, gateway: r.gateways[0], backend: b}
			b.onRequest(&receivedRequest{request: &clientRequest{class: "look"}, conn: c})
		}
		if len(r.violations) != more {
			t.Errorf("%d of %d: %v", most+more, most, r.violations)
		}
	}
}

// A gateway's process is paused for longer than its requests have time. When it goes on all its
// timers are due at once, and requests have arrived meanwhile. Every request has one answer.
func TestPauseOverDeadlines_EveryRequestAnsweredOnce(t *testing.T) {
	var lines []string
	r := newIdleRunner(t, &lines)
	for i := range 20 {
		r.scheduleAfter(time.Duration(i)*100*time.Millisecond, func() {
			request := &clientRequest{class: requestClasses[i%5], key: uint64(i), customer: 1, cost: 1, timeout: 400 * time.Millisecond}
			r.submit(request, 0, 1)
		})
	}
	r.scheduleAfter(950*time.Millisecond, func() { r.gateways[0].pause(2 * time.Second) })
	r.run(startTime+10*time.Second, 100_000)
	r.check.checkDeadlines()
	for _, l := range lines {
		if at := strings.TrimSpace(l[:10]); at > "0.9500" && at < "2.9500" && len(at) == 6 && strings.Contains(l, "door 0") {
			t.Errorf("while it stands still: %s", l)
		}
	}
	c := &r.check
	if len(r.violations) > 0 || len(c.unanswered) > 0 || c.lostWithGateway > 0 {
		t.Errorf("%d unanswered, %d lost, %v", len(c.unanswered), c.lostWithGateway, r.violations)
	}
	if c.served == 0 || len(r.requests) < 20 || c.served+c.rejected+c.failed != len(r.requests) {
		t.Errorf("of %d: served %d, rejected %d, failed %d", len(r.requests), c.served, c.rejected, c.failed)
	}
}

// A process is killed between counting an attempt and sending it, and between an attempt's end and
// accounting for it. Over the seeds both happen, and no rule breaks.
func TestKillsAtAttemptStartAndEnd(t *testing.T) {
	between, after := 0, 0
	for _, res := range runSeeds(150, func(seed uint64) Result {
		var s Script
		for at := 500 * time.Millisecond; at < 4*time.Second; at += 700 * time.Millisecond {
			const duration = 300 * time.Millisecond
			s = append(s, Fault{At: at, Duration: duration, Kind: KillAtAttemptStart},
				Fault{At: at, Duration: duration, Kind: KillAtAttemptEnd})
		}
		return Run(seed, Options{Script: &s})
	}) {
		for _, v := range res.Violations {
			t.Errorf("seed %d: %v", res.Seed, v)
		}
		between += res.AttemptsStarted - res.AttemptsSent
		after += res.LostWithGateway
	}
	if between == 0 || after == 0 {
		t.Errorf("%d attempts were counted and never sent, %d requests were lost with their gateway", between, after)
	}
}

// A shrunk script keeps only the faults that the violation needs: here a drain and a kill together.
func TestShrink_KeepsNeededFaults(t *testing.T) {
	breaks := func(s Script) Result {
		has := func(k FaultKind) bool {
			return slices.ContainsFunc(s, func(f Fault) bool { return f.Kind == k && f.Duration > 100*time.Millisecond })
		}
		res := Result{Script: s}
		if has(DrainBackend) && has(KillGateway) {
			res.Violations = []Violation{{Rule: "a rule"}}
		}
		return res
	}
	for seed := range uint64(200) {
		r := newWorld(seed, nil)
		config := drawConfig(r.newRand(0))
		script := append(drawScript(r.newRand(1), &config),
			Fault{Kind: DrainBackend, Duration: time.Second}, Fault{Kind: KillGateway, Duration: time.Second})
		got := shrink(breaks(script), breaks)
		if len(got.Script) != 2 || got.Script[0].Duration > 300*time.Millisecond || len(got.Violations) != 1 {
			t.Fatalf("seed %d: of\n%vis left\n%v", seed, script, got.Script)
		}
	}
}

// A run ends at its bound on steps.
func TestRun_MaxSteps(t *testing.T) {
	if res := Run(1, Options{MaxSteps: 500}); res.Steps != 500 || len(res.Violations) > 0 {
		t.Errorf("%d steps, %v", res.Steps, res.Violations)
	}
}

// Cases of the conformance suite, one for each kind of end. The suite runs all of them in the
// simulated world and on sockets, and compares.
func TestRunSingleRequest(t *testing.T) {
	for _, c := range []struct {
		class, action string
		cells         []int
		want          string
		attempts      int
	}{
		{"look", "ran and broke", []int{0, 1}, "served", 2},
		{"pay", "ran and broke", []int{0, 0}, "served", 2},
		{"pay", "ran and broke", []int{0, 1}, "failed", 1},
		{"once", "ran and broke", []int{0, 0}, "failed", 1},
		{"once", "turned away", []int{0, 1}, "served", 2},
		{"once", "turned away", []int{0}, "refused", 1},
		{"look", "hung", []int{0, 0}, "refused", 1},
	} {
		verdict, attempts, _ := RunSingleRequest(c.class, c.cells, c.action)
		if verdict != c.want || attempts != c.attempts {
			t.Errorf("%+v: %s, %d attempts", c, verdict, attempts)
		}
	}
}
