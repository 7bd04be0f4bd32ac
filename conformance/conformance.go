// Package conformance is the five rules as one suite. It is written once and runs unchanged against whatever
// front is given to it: the daemon as a process, the library's handler, the middlewares. A front is started anew
// for each case from the platform's configuration, is asked over HTTP, and is judged by what its clients got and
// by what reached the stand-in backends.
//
// Every case checks the rules by itself. The cases whose course does not hang on moments of time also leave lines
// in a Transcript, which must be the same on every front.
package conformance

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pumicecroft/internal/fakes"
)

// Gateway is a front door that serves.
type Gateway interface {
	// Addr is where it is asked.
	Addr() string
	// Stop ends it as planned restarts do: it returns when all that was taken has its answer.
	Stop() error
}

// Starter starts fronts of one kind.
type Starter struct {
	// Start starts one from the text of a platform's configuration. It is up when Start returns, and is stopped at the end
	// of the test if it was not before.
	Start func(t testing.TB, config string) Gateway
	// GRPC says that its clients and backends speak gRPC. The cases are the same; what is asked goes as DoGRPC has it.
	GRPC bool
	// PassesBackendErrors says that a backend's own error is passed on, and that what cannot be read has statuses of the front's own.
	PassesBackendErrors bool
	// IdempotencyKeys says that it recognises idempotency keys. The cases are the same but for ids that come again.
	IdempotencyKeys bool
}

// Transcript holds what the cases tell, by case.
type Transcript struct {
	mu    sync.Mutex
	lines map[string][]string
}

func (tr *Transcript) add(name, format string, args ...any) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.lines == nil {
		tr.lines = map[string][]string{}
	}
	tr.lines[name] = append(tr.lines[name], fmt.Sprintf(format, args...))
}

// String is the transcript, the cases in the order of their names.
func (tr *Transcript) String() string {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(tr.lines)) {
		fmt.Fprintf(&b, "%s\n  %s\n", name, strings.Join(tr.lines[name], "\n  "))
	}
	return b.String()
}

// waitLimit is how long a case waits for something that must happen.
const waitLimit = 20 * time.Second

// schedulingSlack is how late an answer may be seen here that was given in time: what comes later, the platform counts as lost.
const schedulingSlack = 500 * time.Millisecond

// timeout is a client's, of requests that are to have time enough on a busy machine, and short of those that wait
// for the end of it.
const (
	clientTimeout = 15 * time.Second
	shortTimeout  = 1200 * time.Millisecond
)

// caseConfig are what a case may set in the configuration.
type caseConfig struct {
	gatewayCount, gatewayIndex int
	plans                      string // JSON
	usageReports               bool
	noCancel                   bool
	objectiveMS                int
	deadlineMS                 int
}

const defaultPlans = `{"name":"shop","units_per_s":100000,"burst":100000,"value_factor":1}`

// testCase is one case's deployment.
type testCase struct {
	t         *testing.T
	starter   Starter
	gateway   Gateway
	ledger    *fakes.Ledger
	discovery *fakes.Discovery
	transport *http.Transport
	backends  []*fakes.Backend
	lastID    uint64
	mu        sync.Mutex
}

func newTestCase(t *testing.T, start Starter) *testCase {
	t.Helper()
	d, err := fakes.StartDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	r := &testCase{t: t, starter: start, ledger: &fakes.Ledger{}, discovery: d, lastID: 0x5ca1ab1e00000000,
		transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}
	if start.GRPC {
		r.transport = fakes.GRPCTransport()
	}
	t.Cleanup(func() {
		r.transport.CloseIdleConnections()
		for _, b := range r.backends {
			b.Kill()
		}
		d.Close()
	})
	return r
}

// startBackend starts one in a cell and puts it into the list.
func (r *testCase) startBackend(cell *fakes.Cell, change func(*fakes.BackendConfig)) *fakes.Backend {
	r.t.Helper()
	c := fakes.BackendConfig{Name: fmt.Sprintf("b%d", len(r.backends)), Zone: "z", InstanceType: "k", Cell: cell,
		Ledger: r.ledger, IdempotentByKey: func(class string) bool { return class != "look" }, GRPC: r.starter.GRPC}
	if change != nil {
		change(&c)
	}
	b, err := fakes.StartBackend(c)
	if err != nil {
		r.t.Fatal(err)
	}
	r.backends = append(r.backends, b)
	r.discovery.Set(b.Endpoint())
	return b
}

func newCell(n int) *fakes.Cell { return &fakes.Cell{Number: n, Window: 5 * time.Second} }

// Config is a configuration as the platform writes it, for the list that discovery has now.
func (r *testCase) configText(f caseConfig) string {
	known, err := json.Marshal(r.discovery.List())
	if err != nil {
		r.t.Fatal(err)
	}
	if f.plans == "" {
		f.plans = defaultPlans
	}
	if f.objectiveMS == 0 {
		f.objectiveMS = 10_000
	}
	if f.deadlineMS == 0 {
		f.deadlineMS = 15_000
	}
	meter := 0
	if f.usageReports {
		meter = 500_000
	}
	class := func(name, effect string, gain int) string {
		return fmt.Sprintf(`{"name":%q,"effect":%q,"group":"cell","key_ttl_us":5000000,"goal_time_us":%d,"deadline_us":%d,"gain":%d}`,
			name, effect, f.objectiveMS*1000, f.deadlineMS*1000, gain)
	}
	return fmt.Sprintf(`{"name":"n%d","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":2.0,"memory_mb":256,"sockets":1024},"known":%s,
 "settings":{"balancers":%d,"me":%d,"lanes":[%s],"tariffs":[%s],
  "family_info":{"meter_period_us":%d,"largest":6},
  "policy_limits":{"cancel":%v,"max_attempts":3,"max_retry_after_us":900000,"retry_after":true,
   "conn_idle_us":15000000,"connect_timeout_us":250000},
  "obligations":{"grace_to_answer_us":50000,"stop_sending_within_us":2000000,"cold_from":0.2,"warm_within_us":6000000,
   "fall_multiple":4,"fall_us":1000000}}}`, f.gatewayIndex, r.discovery.Addr(), known, max(f.gatewayCount, 1), f.gatewayIndex,
		class("look", "retryable", 1)+","+class("pay", "dedup", 5)+","+class("once", "fragile", 3), f.plans, meter, !f.noCancel)
}

// start starts the case's front.
func (r *testCase) startGateway(f caseConfig) {
	r.t.Helper()
	r.gateway = r.startAnother(f)
}

// startAnother starts a further front of the case's.
func (r *testCase) startAnother(f caseConfig) Gateway {
	r.t.Helper()
	return r.starter.Start(r.t, r.configText(f))
}

// newRequest is a request of a class with an id of its own.
func (r *testCase) newRequest(class string) fakes.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	a := fakes.Request{ID: r.lastID, Class: class, Customer: 7, Plan: "shop", Timeout: clientTimeout}
	if class != "look" {
		a.Key, a.Body = fmt.Sprintf("key-%x", r.lastID), "amount=3"
	}
	return a
}

func (r *testCase) send(a fakes.Request) fakes.Reply { return r.sendTo(r.t.Context(), a, r.gateway) }

// sendTo asks one of several fronts.
func (r *testCase) sendTo(ctx context.Context, a fakes.Request, f Gateway) fakes.Reply {
	if r.starter.GRPC {
		return a.DoGRPC(ctx, r.transport, f.Addr())
	}
	return a.Do(ctx, r.transport, f.Addr())
}

// Run runs all cases and gives the transcript, once all have ended.
func Run(t *testing.T, start Starter) *Transcript {
	tr := &Transcript{}
	t.Run("cases", func(t *testing.T) {
		for name, run := range map[string]func(*testing.T, Starter, *Transcript){
			"one final answer, single effects": testOutcomes,
			"drains are honoured":              testDrains,
			"a cold backend is spared":         testColdBackend,
			"quota and advice":                 testQuota,
			"the ceiling holds over two doors": testHardLimit,
			"a quota over two doors":           testSharedQuota,
			"a client that leaves":             testClientDisconnect,
			"the end loses nothing":            testShutdown,
			"what cannot be read":              testMalformedRequests,
			"bodies pass unchanged":            testBodies,
			"ids that come again":              testReplays,
			"no backend at all":                testNoBackend,
			"many at once":                     testManyRequests,
		} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				run(t, start, tr)
			})
		}
	})
	return tr
}

// testOutcomes is rules 1 and 2: for each way in which a first attempt can end, each class, and fleets in which a
// repeat may or may not go elsewhere.
func testOutcomes(t *testing.T, start Starter, tr *Transcript) {
	acts := map[string]fakes.Behavior{"served": fakes.ServeNormally, "error": fakes.ExecuteThenError, "turned away": fakes.RejectNotStarted,
		"ran and broke": fakes.ExecuteThenReset, "broke unheard": fakes.ResetWithoutExecution, "spoilt": fakes.ExecuteThenGarble,
		"cut": fakes.ExecuteThenTruncate, "hung": fakes.ExecuteThenHang, "hung unrun": fakes.HangWithoutExecution}
	fleets := map[string][]int{"one backend": {0}, "two of one cell": {0, 0}, "two of two cells": {0, 1}}
	for what, act := range acts {
		for fleet, cells := range fleets {
			for _, class := range []string{"look", "pay", "once"} {
				name := fmt.Sprintf("%s, %s, %s", what, fleet, class)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					testOutcome(t, start, tr, name, act, cells, class)
				})
			}
		}
	}
}

func testOutcome(t *testing.T, start Starter, tr *Transcript, name string, act fakes.Behavior, cells []int, class string) {
	r := newTestCase(t, start)
	memories := []*fakes.Cell{newCell(0), newCell(1)}
	once := fakes.OnFirstAttempt(act)
	for _, n := range cells {
		r.startBackend(memories[n], func(c *fakes.BackendConfig) { c.Behavior = once })
	}
	r.startGateway(caseConfig{})
	a := r.newRequest(class)
	if act == fakes.ExecuteThenHang || act == fakes.HangWithoutExecution {
		a.Timeout, a.ClientTimeout = shortTimeout, waitLimit
	}
	reply := r.send(a)
	// On a busy machine the answer is seen later than it was given, by how late this goroutine is run.
	if reply.Status == 0 || reply.Latency > a.Timeout+schedulingSlack {
		t.Fatalf("no answer in %v, but after %v: %v", a.Timeout, reply.Latency, reply.Err)
	}
	seen := r.ledger.ForRequest(a.RequestID())
	effects := r.ledger.Effects(a.Key)
	hung := act == fakes.ExecuteThenHang || act == fakes.HangWithoutExecution
	mayHaveRun := act != fakes.ServeNormally && act != fakes.RejectNotStarted
	sameCell := len(cells) == 1 || cells[0] == cells[1] // where a repeat can go
	mayRepeat := class == "look" || class == "pay" && sameCell
	if effects > 1 {
		t.Errorf("its effect happened %d times", effects)
	}
	if len(seen) > 1 && mayHaveRun && !mayRepeat {
		t.Errorf("sent again though it may have run: %+v", seen)
	}
	if reply.String() == "refused" && class != "look" && mayHaveRun {
		t.Errorf("refused though it may have run")
	}
	if reply.String() == "refused" && reply.RetryAfter == "" {
		t.Error("refused without a word on when to come back")
	}
	wantServed := act == fakes.ServeNormally || act == fakes.RejectNotStarted && len(cells) > 1 || mayHaveRun && !hung && mayRepeat
	if got := reply.String() == "served"; got != wantServed {
		t.Errorf("answered %v, served: want %v", reply, wantServed)
	}
	tr.add("outcome "+name, "%v, %d attempts, %d effects", reply, len(seen), effects)
}

// testDrains is rule 3: after the list has told that a backend drains or is gone, nothing new goes there once the grace
// is over.
func testDrains(t *testing.T, start Starter, tr *Transcript) {
	for _, health := range []string{"Terminating", "Gone"} {
		t.Run(health, func(t *testing.T) {
			t.Parallel()
			r := newTestCase(t, start)
			r.startBackend(newCell(0), nil)
			r.startBackend(newCell(0), nil)
			r.startGateway(caseConfig{})
			const before, grace, after = 300 * time.Millisecond, 2 * time.Second, 300 * time.Millisecond
			begun := time.Now()
			var asking sync.WaitGroup
			for range 4 {
				asking.Go(func() {
					for time.Since(begun) < before+grace+after {
						if reply := r.send(r.newRequest("look")); reply.String() != "served" {
							t.Errorf("while one backend drains: %v %v", reply, reply.Err)
						}
						time.Sleep(5 * time.Millisecond)
					}
				})
			}
			time.Sleep(before)
			r.discovery.SetHealth("b0", health)
			told := time.Now()
			asking.Wait()
			early, late, other := 0, 0, 0
			for _, a := range r.ledger.Attempts() {
				switch {
				case a.Backend == "b1" && a.At.After(told):
					other++
				case a.Backend == "b0" && a.At.After(told.Add(grace)):
					late++
				case a.Backend == "b0":
					early++
				}
			}
			if late > 0 || early == 0 || other == 0 {
				t.Errorf("%d sent to the draining backend after its grace and %d before, %d to the other", late, early, other)
			}
			tr.add("drain "+health, "after the grace: %d", late)
		})
	}
	// What a draining backend holds ends well.
	t.Run("held", func(t *testing.T) {
		t.Parallel()
		r := newTestCase(t, start)
		goOn := make(chan bool)
		r.startBackend(newCell(0), func(c *fakes.BackendConfig) {
			c.Behavior = func(a fakes.Attempt) fakes.Behavior {
				if a.Body == "hold" {
					<-goOn
				}
				return fakes.ServeNormally
			}
		})
		r.startGateway(caseConfig{})
		held := make(chan fakes.Reply, 1)
		a := r.newRequest("pay")
		a.Body = "hold"
		go func() { held <- r.send(a) }()
		if !r.ledger.Await(waitLimit, func(as []fakes.Attempt) bool { return len(as) == 1 }) {
			t.Fatal("the request that is to be held never came")
		}
		r.discovery.SetHealth("b0", "Terminating")
		told := false
		for end := time.Now().Add(waitLimit); !told && time.Now().Before(end); time.Sleep(time.Millisecond) {
			told = r.send(r.newRequest("look")).String() == "refused" // there is no other backend
		}
		close(goOn)
		reply := <-held
		if !told || reply.String() != "served" {
			t.Errorf("told: %v; what the draining backend held: %v %v", told, reply, reply.Err)
		}
		tr.add("drain held", "%v", reply)
	})
}

// testColdBackend is rule 4: a backend that has just started, beside warm ones under load, must not be sent so much
// that it falls.
func testColdBackend(t *testing.T, start Starter, tr *Transcript) {
	r := newTestCase(t, start)
	limits := func(c *fakes.BackendConfig) {
		c.Capacity, c.WorkTime = 400, func(string) time.Duration { return 10 * time.Millisecond }
		c.SlowStartMinCapacity, c.SlowStartWindow, c.OverloadFactor, c.OverloadDuration = 0.2, 6*time.Second, 0.15, 500*time.Millisecond
	}
	for range 3 {
		r.startBackend(newCell(0), limits)
	}
	r.startGateway(caseConfig{})
	cold := r.startBackend(newCell(0), func(c *fakes.BackendConfig) { limits(c); c.StartCold = true })
	// The load is light, some 75 a second for each backend that can do 400, and the cold one falls at 0.15 times what
	// it can do: its share of what a warm one gets stays well under that, and as much as a warm one gets does not.
	var asking sync.WaitGroup
	end := time.Now().Add(2500 * time.Millisecond)
	for range 8 {
		asking.Go(func() {
			pace := time.NewTicker(26 * time.Millisecond)
			defer pace.Stop()
			for time.Now().Before(end) {
				if reply := r.send(r.newRequest("look")); reply.Status == 0 {
					t.Errorf("lost: %v", reply.Err)
				}
				<-pace.C
			}
		})
	}
	asking.Wait()
	got, all := 0, r.ledger.Attempts()
	for _, a := range all {
		if a.Backend == "b3" {
			got++
		}
	}
	if cold.Overloaded() || got == 0 || got*4 > len(all) {
		t.Errorf("the cold backend got %d of %d attempts, fallen: %v", got, len(all), cold.Overloaded())
	}
	t.Logf("cold got %d of %d", got, len(all))
	tr.add("cold", "fallen: %v", cold.Overloaded())
}

// testQuota: what a customer asks beyond its plan is refused at once, with a word on when to come back, and costs no
// backend anything.
func testQuota(t *testing.T, start Starter, tr *Transcript) {
	r := newTestCase(t, start)
	r.startBackend(newCell(0), nil)
	r.startGateway(caseConfig{plans: defaultPlans + `,{"name":"tiny","units_per_s":0.01,"burst":10,"value_factor":1}`})
	kinds := ""
	for range 20 {
		a := r.newRequest("look")
		a.Plan = "tiny"
		reply := r.send(a)
		kinds += reply.String()[:1]
		if reply.String() == "refused" && (reply.RetryAfter != "0.900" || reply.Latency > clientTimeout/2) {
			t.Errorf("refused after %v with Retry-After %q", reply.Latency, reply.RetryAfter)
		}
		if n := len(r.ledger.ForRequest(a.RequestID())); n != boolToInt(reply.String() == "served") {
			t.Errorf("%v, and %d attempts", reply, n)
		}
	}
	if served := strings.Count(kinds, "s"); served < 1 || served > 10 {
		t.Errorf("%d requests of a quota of 10 were served", served)
	}
	if reply := r.send(r.newRequest("look")); reply.String() != "refused" && reply.String() != "served" {
		t.Errorf("another customer: %v", reply)
	}
	tr.add("quota", "%s", kinds)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// testHardLimit is rule 5: two doors together stay under a hard ceiling, whatever is asked.
func testHardLimit(t *testing.T, start Starter, tr *Transcript) {
	const rate, burst, slack = 20.0, 30.0, 3.0
	plans := fmt.Sprintf(`{"name":"shop","units_per_s":%v,"burst":%v,"value_factor":1,"ceiling_rate":%v,"never_over_depth":%v,"cap_slack":%v}`,
		1000, 1000, rate, burst, slack)
	r := newTestCase(t, start)
	for range 2 {
		r.startBackend(newCell(0), nil)
	}
	var fronts []Gateway
	for me := range 2 {
		fronts = append(fronts, r.startAnother(caseConfig{gatewayCount: 2, gatewayIndex: me, plans: plans}))
	}
	time.Sleep(300 * time.Millisecond) // so that the ceiling's stores have something
	var asking sync.WaitGroup
	end := time.Now().Add(1500 * time.Millisecond)
	for i := range 8 {
		asking.Go(func() {
			for time.Now().Before(end) {
				a := r.newRequest("look")
				a.GatewaySpread, a.Timeout = 2, 5*time.Second
				if reply := r.sendTo(t.Context(), a, fronts[i%2]); reply.Status == 0 {
					t.Errorf("lost: %v", reply.Err)
				} else if reply.String() == "refused" {
					time.Sleep(2 * time.Millisecond)
				}
			}
		})
	}
	asking.Wait()
	store, least, last := burst, burst, time.Time{}
	for _, a := range r.ledger.Attempts() {
		if !last.IsZero() {
			store = min(burst, store+rate*a.At.Sub(last).Seconds())
		}
		last = a.At
		store--
		least = min(least, store)
	}
	n := len(r.ledger.Attempts())
	if least < -slack || n == 0 {
		t.Errorf("%d units were sent on, the ceiling's store went to %.1f", n, least)
	}
	tr.add("ceiling", "held: %v", least >= -slack)
}

// testSharedQuota: two doors that cannot talk to each other hold one customer to one quota, by what the meter tells of
// both. What the other door uses is unseen for as long as a reading is late, so the bound is the burst, the rate,
// and what the rate gives in 1.5 s.
func testSharedQuota(t *testing.T, start Starter, tr *Transcript) {
	const rate, burst, unseen = 40.0, 40.0, 1.5
	r := newTestCase(t, start)
	meter := &fakes.Meter{}
	for range 2 {
		r.startBackend(newCell(0), func(c *fakes.BackendConfig) { c.Meter = meter })
	}
	plans := fmt.Sprintf(`{"name":"shop","units_per_s":%v,"burst":%v,"value_factor":1}`, rate, burst)
	var fronts []Gateway
	for me := range 2 {
		fronts = append(fronts, r.startAnother(caseConfig{gatewayCount: 2, gatewayIndex: me, plans: plans, usageReports: true}))
	}
	begun := time.Now()
	var asking sync.WaitGroup
	for i := range 4 {
		asking.Go(func() {
			for time.Since(begun) < 4*time.Second {
				a := r.newRequest("look")
				a.GatewaySpread = 2
				meter.Register(a.RequestID(), a.Customer, 1, rate)
				if reply := r.sendTo(t.Context(), a, fronts[i%2]); reply.Status == 0 {
					t.Errorf("lost: %v", reply.Err)
				}
				meter.Forget(a.RequestID())
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	asking.Wait()
	sent := float64(len(r.ledger.Attempts()))
	seconds := time.Since(begun).Seconds()
	if most := burst + rate*(seconds+unseen); sent > most || sent < rate*seconds/2 {
		t.Errorf("%.0f units were sent on in %.1f s, the bound is %.0f", sent, seconds, most)
	}
	t.Logf("%.0f units in %.1f s, of a quota of %.0f and %.0f a second", sent, seconds, burst, rate)
	tr.add("quota of two", "held")
}

// testClientDisconnect: a client that goes away is owed nothing, its attempt is called off, and its slot and open place are
// free at once: of a plan that may have one attempt out, the next one is served.
func testClientDisconnect(t *testing.T, start Starter, tr *Transcript) {
	r := newTestCase(t, start)
	r.startBackend(newCell(0), func(c *fakes.BackendConfig) { c.Behavior = fakes.OnFirstAttempt(fakes.ExecuteThenHang) })
	r.startGateway(caseConfig{plans: `{"name":"shop","parallel":1,"value_factor":1}`})
	ctx, leave := context.WithCancel(t.Context())
	a := r.newRequest("pay")
	gone := make(chan fakes.Reply, 1)
	go func() { gone <- r.sendTo(ctx, a, r.gateway) }()
	if !r.ledger.Await(waitLimit, func(as []fakes.Attempt) bool { return len(as) == 1 && as[0].Outcome == "hung" }) {
		t.Fatal("the request never came")
	}
	if reply := r.send(r.newRequest("look")); reply.String() != "refused" {
		t.Errorf("while the plan's one place is taken: %v", reply)
	}
	leave()
	<-gone
	var reply fakes.Reply
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if reply = r.send(r.newRequest("look")); reply.String() == "served" {
			break
		}
	}
	if reply.String() != "served" {
		t.Errorf("after the client left: %v", reply)
	}
	if n := len(r.ledger.ForRequest(a.RequestID())); n != 1 {
		t.Errorf("%d attempts of the request whose client left", n)
	}
	tr.add("leaving", "place taken: refused; after: %v; attempts 1", reply)
}

// testShutdown is rule 1 at a planned restart: all that was taken is answered before the front ends.
func testShutdown(t *testing.T, start Starter, tr *Transcript) {
	r := newTestCase(t, start)
	goOn := make(chan bool)
	r.startBackend(newCell(0), func(c *fakes.BackendConfig) {
		c.Behavior = func(fakes.Attempt) fakes.Behavior { <-goOn; return fakes.ServeNormally }
	})
	r.startGateway(caseConfig{})
	const n = 10
	replies := make(chan fakes.Reply, n)
	for i := range n {
		a := r.newRequest([]string{"look", "pay", "once"}[i%3])
		go func() { replies <- r.send(a) }()
	}
	if !r.ledger.Await(waitLimit, func(as []fakes.Attempt) bool { return len(as) == n }) {
		t.Fatal("not all requests came")
	}
	stopped := make(chan error, 1)
	go func() { stopped <- r.gateway.Stop() }()
	select {
	case err := <-stopped:
		t.Errorf("it ended with %d requests open: %v", n, err)
	case <-time.After(900 * time.Millisecond):
	}
	close(goOn)
	served := 0
	for range n {
		if reply := <-replies; reply.String() == "served" {
			served++
		} else {
			t.Errorf("%v %v", reply, reply.Err)
		}
	}
	select {
	case err := <-stopped:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(waitLimit):
		t.Error("it never ended")
	}
	tr.add("ending", "%d of %d served", served, n)
}

// testMalformedRequests: what cannot be read gets an error at once, and no backend hears of it.
func testMalformedRequests(t *testing.T, start Starter, tr *Transcript) {
	r := newTestCase(t, start)
	r.startBackend(newCell(0), nil)
	r.startGateway(caseConfig{})
	header := func(name string, v ...string) func(*fakes.Request) {
		return func(a *fakes.Request) { a.Header = http.Header{name: v} }
	}
	for _, c := range []struct {
		name, class string
		change      func(*fakes.Request)
	}{
		{"no id", "look", header("Request-Id")},
		{"a short id", "look", header("Request-Id", "12")},
		{"two ids", "look", header("Request-Id", "9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42")},
		{"no class", "look", header("Request-Class")},
		{"another class", "look", header("Request-Class", "pay")},
		{"unknown class", "look", header("Request-Class", "nap")},
		{"unknown plan", "look", header("X-Tier", "gold")},
		{"no customer", "look", header("X-Api-Key")},
		{"customer out of range", "look", header("X-Api-Key", "ffffffffffffffff")},
		{"no timeout", "look", header("Request-Timeout")},
		{"timeout 0", "look", header("Request-Timeout", "0")},
		{"timeout that is no number", "look", header("Request-Timeout", "NaN")},
		{"no terms", "look", header("X-Call-Terms")},
		{"units below 0", "look", header("X-Call-Terms", "units=-1,spread=1,first=0")},
		{"too many units", "look", header("X-Call-Terms", "units=7,spread=1,first=0")},
		{"units that are no number", "look", header("X-Call-Terms", "units=NaN,spread=1,first=0")},
		{"a set too wide", "look", header("X-Call-Terms", "units=1,spread=2,first=0")},
		{"terms twice", "look", header("X-Call-Terms", "units=1,units=1,spread=1,first=0")},
		{"a keyed class without a key", "pay", header("Idempotency-Key")},
		{"a body over the limit", "pay", func(a *fakes.Request) { a.Body = strings.Repeat("x", 64<<10+1) }},
		{"a GET of a keyed class", "pay", func(a *fakes.Request) { a.Key = "" }},
		{"a POST of a safe class", "look", func(a *fakes.Request) { a.Key = "k" }},
	} {
		a := r.newRequest(c.class)
		if c.change != nil {
			c.change(&a)
		}
		reply := r.send(a)
		if reply.Latency > clientTimeout/20 {
			t.Errorf("%s: answered after %v", c.name, reply.Latency)
		}
		if reply.Status < 400 || reply.Status > 499 {
			t.Errorf("%s: %v %v", c.name, reply, reply.Err)
		}
		tr.add("malformed", "%s: %d", c.name, reply.Status)
	}
	if as := r.ledger.Attempts(); len(as) > 0 {
		t.Errorf("backends heard of %+v", as)
	}
	if reply := r.send(r.newRequest("pay")); reply.String() != "served" {
		t.Errorf("a good one afterwards: %v", reply)
	}
}

// testBodies pass on unchanged, up to the limit.
func testBodies(t *testing.T, start Starter, tr *Transcript) {
	r := newTestCase(t, start)
	r.startBackend(newCell(0), nil)
	r.startGateway(caseConfig{})
	for name, body := range map[string]string{"empty": "", "small": "a=1&b=\x00\xff\r\n\r\nGET / HTTP/1.1", "largest": strings.Repeat("y", 64<<10)} {
		a := r.newRequest("pay")
		a.Body = body
		reply := r.send(a)
		seen := r.ledger.ForRequest(a.RequestID())
		if reply.String() != "served" || len(seen) != 1 || seen[0].Body != body || seen[0].Key != a.Key || seen[0].Timeout == "" {
			t.Errorf("%s: %v, %d attempts", name, reply, len(seen))
		}
	}
	tr.add("bodies", "unchanged")
}

// testReplays: an id that is open is turned away; one that may have run, of a class whose effect must stay single, is
// not sent again.
func testReplays(t *testing.T, start Starter, tr *Transcript) {
	r := newTestCase(t, start)
	goOn := make(chan bool)
	r.startBackend(nil, func(c *fakes.BackendConfig) { // it drops no repeats
		c.Behavior = func(a fakes.Attempt) fakes.Behavior {
			if a.Body == "hold" {
				<-goOn
			}
			return fakes.ServeNormally
		}
	})
	r.startGateway(caseConfig{})
	held := r.newRequest("pay")
	held.Body = "hold"
	first := make(chan fakes.Reply, 1)
	go func() { first <- r.send(held) }()
	if !r.ledger.Await(waitLimit, func(as []fakes.Attempt) bool { return len(as) == 1 }) {
		t.Fatal("the request never came")
	}
	if start.IdempotencyKeys { // a repeat waits for the first one's answer, and is given it from then on: ids that come again are told apart by their keys
		second := make(chan fakes.Reply, 1)
		go func() { second <- r.send(held) }()
		close(goOn)
		once := r.newRequest("once")
		for what, reply := range map[string]fakes.Reply{"the first": <-first, "while it is open": <-second, "later": r.send(held), "once": r.send(once), "once more": r.send(once)} {
			if reply.String() != "served" {
				t.Errorf("%s: %v", what, reply)
			}
		}
		if n := len(r.ledger.Attempts()); n != 2 {
			t.Errorf("%d attempts", n)
		}
		return
	}
	open := r.send(held)
	close(goOn)
	tr.add("replays", "open: %v, the first: %v, again: %v", open, <-first, r.send(held))
	for _, class := range []string{"look", "once"} {
		a := r.newRequest(class)
		tr.add("replays", "%s: %v, again: %v", class, r.send(a), r.send(a))
		if class == "once" && len(r.ledger.ForRequest(a.RequestID())) != 1 {
			t.Errorf("%s: %d attempts", class, len(r.ledger.ForRequest(a.RequestID())))
		}
	}
	if n := r.ledger.Effects(held.Key); n != 1 || len(r.ledger.ForRequest(held.RequestID())) != 1 {
		t.Errorf("its effect happened %d times in %d attempts", n, len(r.ledger.ForRequest(held.RequestID())))
	}
}

// testNoBackend: without a backend everything is refused at once, and said when to come back.
func testNoBackend(t *testing.T, start Starter, tr *Transcript) {
	r := newTestCase(t, start)
	r.startGateway(caseConfig{})
	for _, class := range []string{"look", "pay", "once"} {
		reply := r.send(r.newRequest(class))
		if reply.String() != "refused" || reply.RetryAfter == "" || reply.Latency > clientTimeout/2 {
			t.Errorf("%s: %v after %v, Retry-After %q", class, reply, reply.Latency, reply.RetryAfter)
		}
		tr.add("nobody", "%s: %v", class, reply)
	}
}

// testManyRequests: whatever backends do, each of many requests at once has one answer in time, and no effect is doubled.
func testManyRequests(t *testing.T, start Starter, tr *Transcript) {
	r := newTestCase(t, start)
	acts := []fakes.Behavior{fakes.ServeNormally, fakes.ServeNormally, fakes.ServeNormally, fakes.ServeNormally, fakes.ServeNormally, fakes.ServeNormally, fakes.ServeNormally,
		fakes.ExecuteThenError, fakes.RejectNotStarted, fakes.ExecuteThenReset, fakes.ResetWithoutExecution, fakes.ExecuteThenGarble, fakes.ExecuteThenTruncate, fakes.ExecuteThenHang}
	memories := []*fakes.Cell{newCell(0), newCell(1)}
	for i := range 4 {
		var mu sync.Mutex
		n := i
		r.startBackend(memories[i%2], func(c *fakes.BackendConfig) {
			c.Slots, c.WorkTime = 8, func(string) time.Duration { return 2 * time.Millisecond }
			c.Behavior = func(fakes.Attempt) fakes.Behavior {
				mu.Lock()
				defer mu.Unlock()
				n++
				return acts[n%len(acts)]
			}
		})
	}
	r.startGateway(caseConfig{objectiveMS: 300, deadlineMS: 2500})
	var mu sync.Mutex
	kinds := map[string]int{}
	var asking sync.WaitGroup
	for i := range 16 {
		asking.Go(func() {
			for n := range 20 {
				a := r.newRequest([]string{"look", "pay", "once"}[(i+n)%3])
				// The client waits for its answer for longer than it says: it must come, and on a busy machine it is late by how late
				// this goroutine is run.
				a.Timeout, a.ClientTimeout = 1500*time.Millisecond, waitLimit
				reply := r.send(a)
				if reply.Status == 0 {
					t.Errorf("lost after %v: %v", reply.Latency, reply.Err)
				}
				mu.Lock()
				kinds[reply.String()]++
				mu.Unlock()
			}
		})
	}
	asking.Wait()
	if doubled := r.ledger.RepeatedEffects(); len(doubled) > 0 {
		t.Errorf("effects that happened twice: %v", doubled)
	}
	if kinds["served"] == 0 {
		t.Errorf("%v", kinds)
	}
	tr.add("many", "lost %d, doubled %d", kinds["lost"], len(r.ledger.RepeatedEffects()))
}
