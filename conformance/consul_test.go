package conformance

import (
	"context"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pumicecroft"
	"pumicecroft/consul"
	"pumicecroft/internal/daemon"
	"pumicecroft/internal/fakes"
	"pumicecroft/internal/platform"
)

const consulService = "nodes"

// startMirror keeps a fake Consul agent equal to the fake discovery: a ready backend passes, a
// terminating one is critical, a removed one is deregistered. It returns when the agent has what
// discovery has now.
func startMirror(t testing.TB, addr string) *fakes.Consul {
	t.Helper()
	agent, err := fakes.StartConsul(nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	first, ended := make(chan bool), make(chan bool)
	go func() {
		defer close(ended)
		told := false
		(&platform.Discovery{Addr: addr, FromVersion: platform.FromFullUpdate}).Follow(ctx,
			func(l platform.EndpointUpdate) {
				for _, e := range l.Endpoints {
					if e.Health == "Gone" {
						agent.Remove("rack", e.Name)
						continue
					}
					host, port, _ := net.SplitHostPort(e.Addr)
					n, _ := strconv.Atoi(port)
					status := map[string]string{"Ready": "passing", "Terminating": "critical"}[e.Health]
					meta := map[string]string{"cell": strconv.Itoa(e.Cell), "zone": e.Zone, "model": e.InstanceType}
					if e.StartedAtMS != 0 {
						meta["started"] = strconv.FormatInt(e.StartedAtMS, 10)
					}
					agent.Register(fakes.Instance{Node: "rack", NodeAddr: host, ID: e.Name, Service: consulService, Port: n,
						Meta:    meta,
						Passing: int(e.Weight), Checks: []fakes.Check{{ID: "process", Status: status}}})
				}
				if !told {
					told = true
					close(first)
				}
			})
	}()
	t.Cleanup(func() { stop(); <-ended; agent.Close() })
	select {
	case <-first:
	case <-time.After(waitLimit):
		t.Fatal("discovery told nothing")
	}
	return agent
}

// waitForBackends waits until a gateway knows all that the agent has.
func waitForBackends(t testing.TB, agent *fakes.Consul, ask func() ([]pumicecroft.BackendStatus, error)) {
	t.Helper()
	waitForNames(t, slices.Sorted(maps.Keys(agent.Instances(consulService))), ask)
}

// waitForNames waits until a gateway knows the backends of these names, which are sorted.
func waitForNames(t testing.TB, want []string, ask func() ([]pumicecroft.BackendStatus, error)) {
	t.Helper()
	for end := time.Now().Add(waitLimit); ; time.Sleep(2 * time.Millisecond) {
		ms, err := ask()
		var got []string
		for _, m := range ms {
			got = append(got, m.Name)
		}
		if slices.Equal(got, want) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the door knows %q, %v; want %q", got, err, want)
		}
	}
}

var mapping = consul.Mapping{Cell: "cell", Zone: "zone", InstanceType: "model", Started: "started"}

// libraryWithConsul starts the library's handler with Consul as its source.
func libraryWithConsul(t testing.TB, config string) Gateway {
	t.Helper()
	c, err := platform.ParseConfig([]byte(config))
	if err != nil {
		t.Fatal(err)
	}
	agent := startMirror(t, c.Discovery)
	client, err := consul.New(consul.Config{Address: agent.Addr()})
	if err != nil {
		t.Fatal(err)
	}
	w := client.Service(consul.Service{Name: consulService, Mapping: mapping})
	dc := daemon.GatewayConfig(c)
	dc.InitialEndpoints.Nodes = nil
	gateway, err := pumicecroft.New(dc, pumicecroft.WithNamedSource(w.SourceInfo(), w))
	if err != nil {
		t.Fatal(err)
	}
	waitForBackends(t, agent, func() ([]pumicecroft.BackendStatus, error) { return gateway.Backends(), nil })
	return startHost(t, gateway, gateway)
}

// daemonWithConsul starts the daemon by an operator's file, with Consul as its source.
func daemonWithConsul(t testing.TB, config string) Gateway {
	t.Helper()
	c, err := platform.ParseConfig([]byte(config))
	if err != nil {
		t.Fatal(err)
	}
	agent := startMirror(t, c.Discovery)
	path := filepath.Join(t.TempDir(), "pumicecroft.toml")
	if err := os.WriteFile(path, []byte(operatorFile(c, agent.Addr())), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startAs(t, "PUMICECROFT_BY_FILE="+path)
	waitForBackends(t, agent, func() ([]pumicecroft.BackendStatus,
		error) {
		return daemon.FetchBackendStatus(t.Context(), p.members)
	})
	return p
}

// operatorFile returns an operator's file that says what the platform's configuration says, with
// Consul as the source.
func operatorFile(c platform.Config, agent string) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("[consul]\naddress = %q\n[[consul.service]]\nname = %q", agent, consulService)
	line("cell = %q\nzone = %q\nmodel = %q\nstarted = %q", mapping.Cell, mapping.Zone, mapping.InstanceType,
		mapping.Started)
	return fileWith(c, "") + b.String()
}

// fileWith returns an operator's file without sources of backends; more goes into its [door].
func fileWith(c platform.Config, more string) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	s := c.Settings
	line("listen = \"127.0.0.1:0\"\nmembers = \"127.0.0.1:0\"\n[door]\n%s", more)
	line("number = %d\nof = %d\nmax_attempts = %d\ncancel = %v", s.GatewayIndex, s.GatewayCount, s.MaxAttempts,
		s.CanCancel)
	line("max_retry_after = %q\nmeter_period = %q\nlargest_units = %v\nzone = %q", s.MaxRetryAfter, s.UsagePeriod,
		s.MaxCost, s.Zone)
	line("cold_from = %v\nwarm_within = %q\nfall_multiple = %v\nfall_for = %q", s.SlowStartMinCapacity,
		s.SlowStartWindow, s.OverloadFactor, s.OverloadDuration)
	line("answer_grace = %q\ndrain_grace = %q", s.ResponseGrace, s.DrainGrace)
	line("client_connections = %d\nbackend_connections = %d", c.Limits.ClientConns(), c.Limits.BackendConns())
	line("connect_timeout = %q\nidle_timeout = %q", c.Conns.ConnectTimeout, c.Conns.IdleTimeout)
	for _, k := range s.Classes {
		line("[[class]]\nname = %q\neffect = %q\ngroup = %q", k.Name,
			[]string{"safe", "keyed", "unsafe"}[k.Idempotency], []string{"all", "zone", "cell"}[k.DedupScope])
		line("key_window = %q\ndeadline = %q\naim = %q\nworth = %v\nlate_worth = %v", k.DedupWindow, k.Deadline,
			k.LatencyObjective, k.PriorityWeight, k.LateWeightFactor)
	}
	for _, p := range s.Plans {
		line("[[plan]]\nname = %q\nrate = %v\nburst = %v\nopen = %d\nprice = %v", p.Name, p.Rate, p.Burst,
			p.MaxInFlight, p.Price)
		line("ceiling_rate = %v\nceiling_burst = %v\nceiling_slack = %v", p.HardLimitRate, p.HardLimitBurst,
			p.HardLimitOverdraft)
	}
	return b.String()
}

// The operator's file must mean what the platform's configuration means.
func TestOperatorFileMatchesPlatformConfig(t *testing.T) {
	r := newTestCase(t, Starter{})
	c, err := platform.ParseConfig([]byte(r.configText(caseConfig{gatewayCount: 3, gatewayIndex: 1,
		usageReports: true})))
	if err != nil {
		t.Fatal(err)
	}
	f, err := parseFile(operatorFile(c, "127.0.0.1:8500"))
	if err != nil {
		t.Fatal(err)
	}
	got, want := f.Gateway.Settings, c.Settings
	want.LoadReportFields, want.SubscribeToEndpoints = nil, false // there is no key for them
	if a, b := fmt.Sprintf("%+v", got), fmt.Sprintf("%+v", want); a != b {
		t.Errorf("the file says\n%s\nthe configuration\n%s", a, b)
	}
}
