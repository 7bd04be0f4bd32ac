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

// A gateway reads an operator's file completely at each change of its configuration. This measures files with more and
// more routes.
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
		empty, began, cpu := heapInUse(), time.Now(), CPU()
		f, err := operatorconfig.Parse(b.Bytes())
		if err != nil {
			t.Fatal(err)
		}
		spent, cost := time.Since(began), CPU()-cpu
		t.Logf("%d routes, a file of %.2f MB: read in %v, %v of a core, %.0f bytes a route are held",
			n, float64(b.Len())/(1<<20), spent, cost, (heapInUse()-empty)/float64(n))
		if len(f.HTTP.Routes) != n {
			t.Errorf("of %d routes %d are there", n, len(f.HTTP.Routes))
		}
		runtime.KeepAlive(f)
	}
}

// The keys of more and more tenants.
func TestRereadingKeys(t *testing.T) {
	for _, n := range sizesFor(t, []int{100, 1000}, []int{1000, 10_000, 100_000, 820_000}) {
		var b bytes.Buffer
		for i := range n {
			fmt.Fprintf(&b, "%064x tenant-%06d everyone\n", i, i)
		}
		empty, began, cpu := heapInUse(), time.Now(), CPU()
		keys, err := identity.ParseKeys(b.Bytes(), []string{"everyone"})
		if err != nil {
			t.Fatal(err)
		}
		rule := identity.NewAPIKeyRule("X-Api-Key", "", keys)
		spent, cost := time.Since(began), CPU()-cpu
		if len(keys) != n {
			t.Errorf("of %d keys %d are there", n, len(keys))
		}
		t.Logf("%d tenants' keys, a file of %.2f MB: read in %v, %v of a core, %.0f bytes a tenant are held",
			n, float64(b.Len())/(1<<20), spent, cost, (heapInUse()-empty)/float64(n))
		runtime.KeepAlive(rule)
	}
}

// The platform's file holds the list as it was last known, and SIGHUP has it read whole for two addresses.
func TestRereadingThePlatformsFile(t *testing.T) {
	for _, n := range sizesFor(t, []int{100, 1000}, []int{100, 1000, 10_000, 110_000}) {
		a := &Agent{endpoints: Endpoints(n)}
		text := platformConfig("127.0.0.1:1")
		text = text[:len(text)-1] + `,"known":` + string(a.List()) + "}"
		began, cpu := time.Now(), CPU()
		c, err := platform.ParseConfig([]byte(text))
		if err != nil || len(c.Known.Endpoints) != n {
			t.Fatalf("of %d hosts %d are there: %v", n, len(c.Known.Endpoints), err)
		}
		t.Logf("a file of %.2f MB with %d hosts: read in %v, %v of a core",
			float64(len(text))/(1<<20), n, time.Since(began), CPU()-cpu)
	}
}

// A door whose discovery falls silent asks again and again. What that costs, and how often.
func TestSilence(t *testing.T) {
	if !*full {
		t.Skip("it takes a quarter of a minute: -full")
	}
	b := newFixture(t, 1000, 0)
	if _, ok := b.awaitNodes(1000, b.gateway.StartedAt, Report{}, 10*time.Second); !ok {
		t.Fatalf("the list never came: %s", b.gateway.Log)
	}
	const pause = 10 * time.Second
	rate := func() float64 {
		from, began := b.report(), time.Now()
		time.Sleep(pause)
		return float64(b.report().CPU-from.CPU) / float64(time.Since(began))
	}
	calm := rate()
	b.agent.Silent.Store(true)
	asked, said := b.agent.Calls.Load(), b.gateway.Log.Lines()
	silent := rate()
	t.Logf("processor time in calm %.4f of a core, with discovery silent %.4f; "+
		"%.2f calls and %.2f lines of log a second", calm, silent,
		float64(b.agent.Calls.Load()-asked)/pause.Seconds(), float64(b.gateway.Log.Lines()-said)/pause.Seconds())
}
