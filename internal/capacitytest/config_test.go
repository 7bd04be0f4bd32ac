package capacitytest

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"pumicecroft/identity"
	"pumicecroft/internal/operatorconfig"
	"pumicecroft/internal/platform"
)

// A gateway parses the whole operator's file at each change of its configuration. Measures files with an increasing
// number of routes.
func TestRereadingRoutes(t *testing.T) {
	for _, n := range sizesFor(t, []int{24, 240}, []int{24, 240, 2400, 24_000}) {
		var b bytes.Buffer
		b.WriteString("listen = \"127.0.0.1:0\"\n")
		for i := range min(n, 23) {
			fmt.Fprintf(&b, "[[service]]\nname = \"s%d\"\nbackends = [\"127.0.0.1:%d\"]\n", i, 9000+i)
		}
		b.WriteString("[[plan]]\nname = \"everyone\"\nrate = 100.0\nburst = 200.0\n")
		for i := range n {
			fmt.Fprintf(&b, "[[route]]\nname = \"route-%d\"\nhost = \"h%d.example.org\"\n"+
				"path = \"/v1/things-%d/{id}/parts\"\nmethods = [\"GET\"]\nservice = \"s%d\"\n", i, i%2300, i, i%23)
		}
		empty, start, cpu := heapInUse(), time.Now(), CPUTime()
		f, err := operatorconfig.Parse(b.Bytes())
		if err != nil {
			t.Fatal(err)
		}
		elapsed, cost := time.Since(start), CPUTime()-cpu
		t.Logf("%d routes, a file of %.2f MB: parsed in %v, CPU time %v, %.0f bytes of heap per route",
			n, float64(b.Len())/(1<<20), elapsed, cost, (heapInUse()-empty)/float64(n))
		if len(f.HTTP.Routes) != n {
			t.Errorf("got %d routes, want %d", len(f.HTTP.Routes), n)
		}
		runtime.KeepAlive(f)
	}
}

// A gateway parses the whole file of API keys at each change of it. Measures files with an increasing number of
// tenants.
func TestRereadingKeys(t *testing.T) {
	for _, n := range sizesFor(t, []int{100, 1000}, []int{1000, 10_000, 100_000, 820_000}) {
		var b bytes.Buffer
		for i := range n {
			fmt.Fprintf(&b, "%064x tenant-%06d everyone\n", i, i)
		}
		empty, start, cpu := heapInUse(), time.Now(), CPUTime()
		keys, err := identity.ParseKeys(b.Bytes(), []string{"everyone"})
		if err != nil {
			t.Fatal(err)
		}
		rule := identity.NewAPIKeyRule("X-Api-Key", "", keys)
		elapsed, cost := time.Since(start), CPUTime()-cpu
		if len(keys) != n {
			t.Errorf("got %d keys, want %d", len(keys), n)
		}
		t.Logf("keys of %d tenants, a file of %.2f MB: parsed in %v, CPU time %v, %.0f bytes of heap per tenant",
			n, float64(b.Len())/(1<<20), elapsed, cost, (heapInUse()-empty)/float64(n))
		runtime.KeepAlive(rule)
	}
}

// The platform's node configuration contains the last known endpoint list, and SIGHUP makes the gateway parse all of it
// although only two addresses in it can change. Measures files with an increasing number of endpoints.
func TestRereadingPlatformConfig(t *testing.T) {
	for _, n := range sizesFor(t, []int{100, 1000}, []int{100, 1000, 10_000, 110_000}) {
		a := &Agent{endpoints: Endpoints(n)}
		text := platformConfig("127.0.0.1:1")
		text = text[:len(text)-1] + `,"known":` + string(a.List()) + "}"
		start, cpu := time.Now(), CPUTime()
		c, err := platform.ParseConfig([]byte(text))
		if err != nil || len(c.InitialEndpoints.Endpoints) != n {
			t.Fatalf("got %d endpoints, want %d: %v", len(c.InitialEndpoints.Endpoints), n, err)
		}
		t.Logf("a file of %.2f MB with %d endpoints: parsed in %v, CPU time %v",
			float64(len(text))/(1<<20), n, time.Since(start), CPUTime()-cpu)
	}
}

// Measures the CPU usage, the calls and the log lines of a gateway whose discovery accepts calls and doesn't respond,
// so that the gateway calls it again and again.
func TestSilentDiscovery(t *testing.T) {
	if !*fullSize {
		t.Skip("runs for more than 20 seconds: needs -full")
	}
	f := newFixture(t, 1000, 0)
	if _, ok := f.awaitNodes(1000, f.gateway.StartedAt, Report{}, 10*time.Second); !ok {
		t.Fatalf("the gateway did not process 1000 endpoints within 10s; its log: %s", f.gateway.Log)
	}
	const pause = 10 * time.Second
	cpuUsage := func() float64 {
		from, start := f.report(), time.Now()
		time.Sleep(pause)
		return float64(f.report().CPU-from.CPU) / float64(time.Since(start))
	}
	steady := cpuUsage()
	f.agent.Silent.Store(true)
	calls, lines := f.agent.Calls.Load(), f.gateway.Log.Lines()
	silent := cpuUsage()
	t.Logf("CPU usage in the steady state %.4f of a core, with silent discovery %.4f; "+
		"%.2f calls and %.2f log lines per second", steady, silent,
		float64(f.agent.Calls.Load()-calls)/pause.Seconds(), float64(f.gateway.Log.Lines()-lines)/pause.Seconds())
}
