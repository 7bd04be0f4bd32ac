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

// ciSeeds is the number of seeds that TestSeeds runs, from seed 0.
const ciSeeds = 400

// runSeeds runs the seeds from 0 to n-1 and returns their results in order. It runs two at a time, to
// leave processors for the tests of other packages, which use sockets and depend on timing.
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

// No seed breaks a rule. Together the seeds cover every kind of fault and every outcome of a request.
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
		t.Errorf("faults by kind: %v; served %d, rejected %d, failed %d, lost with their gateways %d; want all above 0",
			met, served, rejected, failed, lost)
	}
}

// The scripts of the corpus, which broke a rule before a fix, break none now. Encoding and parsing a
// case preserves it, and errors name the position.
func TestCorpus(t *testing.T) {
	text, err := os.ReadFile("testdata/corpus.toml")
	if err != nil {
		t.Fatal(err)
	}
	cases, err := ReadCorpus(text)
	if err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases and the error %v, want at least one case", len(cases), err)
	}
	for _, c := range cases {
		if result := Run(c.Seed, Options{Script: &c.Script}); len(result.Violations) > 0 {
			t.Errorf("seed %d, %s: got the violations %v, want none", c.Seed, c.Cause, result.Violations)
		}
		text, err := c.MarshalTOML()
		parsed, errParse := ReadCorpus(text)
		if err != nil || errParse != nil || len(parsed) != 1 || !slices.Equal(parsed[0].Script, c.Script) {
			t.Errorf("MarshalTOML: %v, ReadCorpus: %v; got %+v, want %+v", err, errParse, parsed, c)
		}
	}
	for text, want := range map[string]string{
		"[[case]]\nseed = x": "line 2",
		"[[case]]\nseed = 1\nfault = [{at = '1s', for = '2', kind = 'kill'}]": "case 1",
		"[[case]]\nfault = [{at = '1s', for = '2s', kind = 'flu'}]":           `"flu"`,
	} {
		if _, err := ReadCorpus([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got the error %v, want one that contains %s", text, err, want)
		}
	}
}

// Running a seed again reproduces its trace line by line, on any number of processors and whether or
// not the trace is formatted. Different seeds have different traces.
func TestSeed_Replays(t *testing.T) {
	const n = 60
	var lines [n][]string
	traced := func(seed uint64) Result {
		lines[seed] = nil
		return Run(seed, Options{Trace: func(line string) { lines[seed] = append(lines[seed], line) }})
	}
	first := runSeeds(n, traced)
	firstLines := lines
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	second := runSeeds(n, traced)
	hashes := map[uint64]bool{}
	for i := range n {
		if first[i].Hash != second[i].Hash || !slices.Equal(firstLines[i], lines[i]) || len(firstLines[i]) < 40 {
			t.Errorf("seed %d: hash %#x and %d lines, then %#x and %d; want equal traces of at least 40 lines",
				i, first[i].Hash, len(firstLines[i]), second[i].Hash, len(lines[i]))
		}
		if untraced := Run(uint64(i), Options{}).Hash; untraced != first[i].Hash {
			t.Errorf("seed %d: hash without a trace function is %#x, with one %#x", i, untraced, first[i].Hash)
		}
		hashes[first[i].Hash] = true
	}
	if len(hashes) != n {
		t.Errorf("%d seeds have %d different traces", n, len(hashes))
	}
}

// Events scheduled for the same time run in every order over the seeds, and in the same order when a
// seed is run again.
func TestEventsAtSameTime_EveryOrder(t *testing.T) {
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
			t.Errorf("seed %d: order %s in the first run, %s in the second", seed, first, again)
		}
		orders[first]++
	}
	if len(orders) != 6 {
		t.Errorf("got %d orders, want 6: %v", len(orders), orders)
	}
}

// newIdleRunner returns a run with one gateway and two backends, without faults and client requests.
func newIdleRunner(t *testing.T, trace *[]string) *runner {
	t.Helper()
	r := newRunner(7, Options{Trace: func(line string) { *trace = append(*trace, line) }})
	r.config = drawConfig(r.newRand(0))
	r.config.gateways, r.config.backends = 1, 2
	r.config.usesCatalog, r.config.usesDiscovery, r.config.perturbsEngine, r.config.maxConns = false, true, false, 8
	r.config.canCancel, r.config.maxOpenRequests, r.config.idleTimeout = true, 100, 15*time.Second
	r.populate(func(int) int { return 0 })
	return r
}

// Bytes arrive in the order in which they were sent, after the latency and the delay, and after the end
// of a partition. None arrive after the connection was reset. A failed dial returns the right error.
func TestConn_OrderLatencyAndPartition(t *testing.T) {
	var trace []string
	r := newIdleRunner(t, &trace)
	g, b := r.gateways[0], r.backends[0]
	var c *conn
	g.dial(b.addr(), nil, func(opened *conn, _ error) { c = opened })
	r.run(startTime+time.Second, 1000)
	if c == nil || c.latency <= 0 {
		t.Fatalf("dial: got the connection %+v, want one with a latency above 0", c)
	}
	sent := r.now
	c.sendToGateway([]byte("ab"), time.Second)
	c.sendToGateway([]byte("cd"), 0)
	r.run(sent+time.Second, 1000)
	if len(c.received) > 0 {
		t.Errorf("received %q before its delay was over, want nothing", c.received)
	}
	r.run(sent+2*time.Second, 1000)
	if string(c.received) != "abcd" {
		t.Errorf("received %q, want %q", c.received, "abcd")
	}
	g.partitionedUntil[b] = r.now + 3*time.Second
	c.sendToGateway([]byte("ef"), 0)
	c.sendToGateway([]byte("gh"), 0)
	r.run(g.partitionedUntil[b]-1, 10_000)
	before := string(c.received)
	r.run(g.partitionedUntil[b]+time.Second, 10_000)
	if before != "abcd" || string(c.received) != "abcdefgh" {
		t.Errorf("received %q during the partition and %q after it, want %q and %q",
			before, c.received, "abcd", "abcdefgh")
	}
	c.reset()
	c.sendToGateway([]byte("ij"), 0)
	r.run(r.now+time.Second, 10_000)
	if string(c.received) != "abcdefgh" || !errors.Is(c.readErr, errConnReset) {
		t.Errorf("after the reset: received %q and read error %v, want %q and %v",
			c.received, c.readErr, "abcdefgh", errConnReset)
	}
	for _, dial := range []struct {
		setUp func()
		want  error
	}{
		{func() { b.up = false }, errConnRefused},
		{func() { b.up, b.faultShares[ConnRefused] = true, 1 }, errConnRefused},
		{func() { b.faultShares[ConnRefused], b.faultShares[ConnHangs] = 0, 1 }, errConnTimeout},
		{func() { b.faultShares[ConnHangs], g.maxDescriptors = 0, 0 }, platformhttp.ErrNoDescriptors},
	} {
		dial.setUp()
		got := error(nil)
		g.dial(b.addr(), nil, func(_ *conn, err error) { got = err })
		r.run(r.now+time.Second, 10_000)
		if !errors.Is(got, dial.want) {
			t.Errorf("dial: got %v, want %v", got, dial.want)
		}
	}
}

// Each rule holds exactly at its limit and is broken just beyond it.
func TestRules_Boundaries(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name   string
		breaks string
		do     func(r *runner, past time.Duration, excessCost float64)
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
			request := &clientRequest{
				class: "look", gateway: r.gateways[0], arrivedAt: r.now - 500*ms - past, timeout: 500 * ms,
			}
			r.check.onFinal(request, verdictFailed, nil)
		}},
		{"hard limit overdraft", ruleHardLimit, func(r *runner, _ time.Duration, excessCost float64) {
			cost := hardLimitBurst + hardLimitOverdraft + excessCost
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
				t.Errorf("%s, beyond the limit: %v: got the violations %v, want rule %q broken only beyond it",
					c.name, past, r.violations, c.breaks)
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

// A key is new again exactly at the end of its window, and a backend in its warm-up is overloaded by
// one request above its limit.
func TestBackend_DedupWindowAndOverloadBoundaries(t *testing.T) {
	m := dedupTable{map[uint64]time.Duration{1: time.Second}}
	if m.insertIfNew(1, 6*time.Second-1, 5*time.Second) || !m.insertIfNew(1, 6*time.Second, 5*time.Second) {
		t.Errorf("key seen at 1s with a window of 5s: recorded as new at %v, want 6s", m.firstSeen[1])
	}
	for _, excess := range []int{0, 1} {
		var trace []string
		r := newIdleRunner(t, &trace)
		b := r.backends[0]
		b.startedAt, b.overloadFactor, b.overloadDuration = r.now, 4, 3*time.Second
		r.now += 3*time.Second + 1
		limit := int(b.overloadFactor * b.warmupFraction() * backendCapacity * b.overloadDuration.Seconds())
		for range limit + excess {
			c := &conn{world: r.world, gateway: r.gateways[0], backend: b}
			b.onRequest(&receivedRequest{request: &clientRequest{class: "look"}, conn: c})
		}
		if len(r.violations) != excess {
			t.Errorf("%d requests, limit %d: got the violations %v, want %d", limit+excess, limit, r.violations, excess)
		}
	}
}

// A gateway's process is paused for longer than its requests' timeouts. After the pause all timers are
// due at once, together with the requests that arrived meanwhile. Every request has one answer, and the
// process does nothing during the pause.
func TestPauseOverDeadlines_EveryRequestAnsweredOnce(t *testing.T) {
	var lines []string
	r := newIdleRunner(t, &lines)
	for i := range 20 {
		r.scheduleAfter(time.Duration(i)*100*time.Millisecond, func() {
			request := &clientRequest{
				class: requestClasses[i%5], key: uint64(i), customer: 1, cost: 1, timeout: 400 * time.Millisecond,
			}
			r.submit(request, 0, 1)
		})
	}
	r.scheduleAfter(950*time.Millisecond, func() { r.gateways[0].pause(2 * time.Second) })
	r.run(startTime+10*time.Second, 100_000)
	r.check.checkDeadlines()
	for _, line := range lines {
		at := strings.TrimSpace(line[:10])
		if at > "0.9500" && at < "2.9500" && len(at) == 6 && strings.Contains(line, "door 0") {
			t.Errorf("trace line of the paused process: %s", line)
		}
	}
	c := &r.check
	if len(r.violations) > 0 || len(c.unanswered) > 0 || c.lostWithGateway > 0 {
		t.Errorf("%d requests unanswered, %d lost, violations %v; want none",
			len(c.unanswered), c.lostWithGateway, r.violations)
	}
	if c.served == 0 || len(r.requests) < 20 || c.served+c.rejected+c.failed != len(r.requests) {
		t.Errorf("%d requests: served %d, rejected %d, failed %d; want at least 20, some served, all counted",
			len(r.requests), c.served, c.rejected, c.failed)
	}
}

// A process is killed after an attempt was counted and before it is sent, and after an attempt has
// ended and before the lifecycle machine is told. Over the seeds both occur, and no rule is broken.
func TestKillsAtAttemptStartAndEnd(t *testing.T) {
	notSent, lost := 0, 0
	for _, result := range runSeeds(150, func(seed uint64) Result {
		var script Script
		for at := 500 * time.Millisecond; at < 4*time.Second; at += 700 * time.Millisecond {
			const duration = 300 * time.Millisecond
			script = append(script, Fault{At: at, Duration: duration, Kind: KillAtAttemptStart},
				Fault{At: at, Duration: duration, Kind: KillAtAttemptEnd})
		}
		return Run(seed, Options{Script: &script})
	}) {
		for _, violation := range result.Violations {
			t.Errorf("seed %d: %v", result.Seed, violation)
		}
		notSent += result.AttemptsStarted - result.AttemptsSent
		lost += result.LostWithGateway
	}
	if notSent == 0 || lost == 0 {
		t.Errorf("%d attempts were counted and never sent, %d requests were lost with their gateway; want both above 0",
			notSent, lost)
	}
}

// A shrunk script contains only the faults that the violation needs: here a drain and a kill.
func TestShrink_KeepsNeededFaults(t *testing.T) {
	run := func(script Script) Result {
		has := func(kind FaultKind) bool {
			return slices.ContainsFunc(script, func(fault Fault) bool {
				return fault.Kind == kind && fault.Duration > 100*time.Millisecond
			})
		}
		result := Result{Script: script}
		if has(DrainBackend) && has(KillGateway) {
			result.Violations = []Violation{{Rule: "a rule"}}
		}
		return result
	}
	for seed := range uint64(200) {
		w := newWorld(seed, nil)
		config := drawConfig(w.newRand(0))
		script := append(drawScript(w.newRand(1), &config),
			Fault{Kind: DrainBackend, Duration: time.Second}, Fault{Kind: KillGateway, Duration: time.Second})
		got := shrink(run(script), run)
		if len(got.Script) != 2 || got.Script[0].Duration > 300*time.Millisecond || len(got.Violations) != 1 {
			t.Fatalf("seed %d: got %d violations with\n%vshrunk from\n%vwant 1 violation, 2 faults, the first up to 300ms",
				seed, len(got.Violations), got.Script, script)
		}
	}
}

// A run ends when MaxSteps is reached.
func TestRun_MaxSteps(t *testing.T) {
	if result := Run(1, Options{MaxSteps: 500}); result.Steps != 500 || len(result.Violations) > 0 {
		t.Errorf("got %d steps and the violations %v, want 500 steps and none", result.Steps, result.Violations)
	}
}

// Some cases of the conformance suite, which runs all of them in the simulated world and over sockets
// and compares the results. Here each final verdict occurs.
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
			t.Errorf("%+v: got %s with %d attempts", c, verdict, attempts)
		}
	}
}
