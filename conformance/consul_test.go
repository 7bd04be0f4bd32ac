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

// startConsulMirror starts a fake Consul agent that mirrors the fake discovery: a ready backend is
// passing, a terminating one is critical, a removed one is deregistered. It returns once the agent has
// the current endpoint list.
func startConsulMirror(t testing.TB, addr string) *fakes.Consul {
	t.Helper()
	agent, err := fakes.StartConsul(nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	first, ended := make(chan bool), make(chan bool)
	go func() {
		defer close(ended)
		received := false
		(&platform.Discovery{Addr: addr, FromVersion: platform.FromFullUpdate}).Follow(ctx,
			func(update platform.EndpointUpdate) {
				for _, e := range update.Endpoints {
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
					agent.Register(fakes.ConsulInstance{
						Node: "rack", NodeAddr: host, ID: e.Name, Service: consulService, Port: n,
						Meta:    meta,
						Passing: int(e.Weight), Checks: []fakes.ConsulCheck{{ID: "process", Status: status}}})
				}
				if !received {
					received = true
					close(first)
				}
			})
	}()
	t.Cleanup(func() { stop(); <-ended; agent.Close() })
	select {
	case <-first:
	case <-time.After(waitTimeout):
		t.Fatalf("no endpoint update from discovery at %s within %v", addr, waitTimeout)
	}
	return agent
}

// waitForBackends waits until a gateway's backends are the agent's instances.
func waitForBackends(t testing.TB, agent *fakes.Consul, fetch func() ([]pumicecroft.BackendStatus, error)) {
	t.Helper()
	waitForNames(t, slices.Sorted(maps.Keys(agent.Instances(consulService))), fetch)
}

// waitForNames waits until the names of a gateway's backends are want, which is sorted.
func waitForNames(t testing.TB, want []string, fetch func() ([]pumicecroft.BackendStatus, error)) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(2 * time.Millisecond) {
		statuses, err := fetch()
		var got []string
		for _, status := range statuses {
			got = append(got, status.Name)
		}
		if slices.Equal(got, want) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the gateway has backends %q (%v), want %q", got, err, want)
		}
	}
}

var consulMapping = consul.Mapping{Cell: "cell", Zone: "zone", InstanceType: "model", Started: "started"}

// libraryWithConsul starts the library's handler with Consul as its source.
func libraryWithConsul(t testing.TB, config string) Gateway {
	t.Helper()
	c, err := platform.ParseConfig([]byte(config))
	if err != nil {
		t.Fatal(err)
	}
	agent := startConsulMirror(t, c.Discovery)
	client, err := consul.New(consul.Config{Address: agent.Addr()})
	if err != nil {
		t.Fatal(err)
	}
	watch := client.Service(consul.Service{Name: consulService, Mapping: consulMapping})
	gatewayConfig := daemon.GatewayConfig(c)
	gatewayConfig.InitialEndpoints.Nodes = nil
	gateway, err := pumicecroft.New(gatewayConfig, pumicecroft.WithNamedSource(watch.SourceInfo(), watch))
	if err != nil {
		t.Fatal(err)
	}
	waitForBackends(t, agent, func() ([]pumicecroft.BackendStatus, error) { return gateway.Backends(), nil })
	return startHost(t, gateway, gateway)
}

// daemonWithConsul starts the daemon with an operator's file that has Consul as its source.
func daemonWithConsul(t testing.TB, config string) Gateway {
	t.Helper()
	c, err := platform.ParseConfig([]byte(config))
	if err != nil {
		t.Fatal(err)
	}
	agent := startConsulMirror(t, c.Discovery)
	path := filepath.Join(t.TempDir(), "pumicecroft.toml")
	if err := os.WriteFile(path, []byte(consulOperatorFile(c, agent.Addr())), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startDaemon(t, "PUMICECROFT_BY_FILE="+path)
	waitForBackends(t, agent, func() ([]pumicecroft.BackendStatus,
		error) {
		return daemon.FetchBackendStatus(t.Context(), p.membersAddr)
	})
	return p
}

// consulOperatorFile returns an operator's file that means the same as the platform's configuration c,
// with Consul as the source.
func consulOperatorFile(c platform.Config, agent string) string {
	var b strings.Builder
	writeLine := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	writeLine("[consul]\naddress = %q\n[[consul.service]]\nname = %q", agent, consulService)
	writeLine("cell = %q\nzone = %q\nmodel = %q\nstarted = %q", consulMapping.Cell, consulMapping.Zone,
		consulMapping.InstanceType, consulMapping.Started)
	return operatorFileWithoutSources(c, "") + b.String()
}

// operatorFileWithoutSources returns an operator's file that means the same as the platform's
// configuration c but has no source of backends. more is added to its [door] table.
func operatorFileWithoutSources(c platform.Config, more string) string {
	var b strings.Builder
	writeLine := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	s := c.Settings
	writeLine("listen = \"127.0.0.1:0\"\nmembers = \"127.0.0.1:0\"\n[door]\n%s", more)
	writeLine("number = %d\nof = %d\nmax_attempts = %d\ncancel = %v", s.GatewayIndex, s.GatewayCount, s.MaxAttempts,
		s.CanCancel)
	writeLine("max_retry_after = %q\nmeter_period = %q\nlargest_units = %v\nzone = %q", s.MaxRetryAfter, s.UsagePeriod,
		s.MaxCost, s.Zone)
	writeLine("cold_from = %v\nwarm_within = %q\nfall_multiple = %v\nfall_for = %q", s.SlowStartMinCapacity,
		s.SlowStartWindow, s.OverloadFactor, s.OverloadDuration)
	writeLine("answer_grace = %q\ndrain_grace = %q", s.ResponseGrace, s.DrainGrace)
	writeLine("client_connections = %d\nbackend_connections = %d", c.Limits.ClientConns(), c.Limits.BackendConns())
	writeLine("connect_timeout = %q\nidle_timeout = %q", c.Conns.ConnectTimeout, c.Conns.IdleTimeout)
	for _, class := range s.Classes {
		writeLine("[[class]]\nname = %q\neffect = %q\ngroup = %q", class.Name,
			[]string{"safe", "keyed", "unsafe"}[class.Idempotency], []string{"all", "zone", "cell"}[class.DedupScope])
		writeLine("key_window = %q\ndeadline = %q\naim = %q\nworth = %v\nlate_worth = %v", class.DedupWindow, class.Deadline,
			class.LatencyObjective, class.PriorityWeight, class.LateWeightFactor)
	}
	for _, p := range s.Plans {
		writeLine("[[plan]]\nname = %q\nrate = %v\nburst = %v\nopen = %d\nprice = %v", p.Name, p.Rate, p.Burst,
			p.MaxInFlight, p.Price)
		writeLine("ceiling_rate = %v\nceiling_burst = %v\nceiling_slack = %v", p.HardLimitRate, p.HardLimitBurst,
			p.HardLimitOverdraft)
	}
	return b.String()
}

// An operator's file can express the settings of the platform's configuration.
func TestOperatorFileMatchesPlatformConfig(t *testing.T) {
	tc := newTestCase(t, Starter{})
	c, err := platform.ParseConfig([]byte(tc.configText(caseConfig{gatewayCount: 3, gatewayIndex: 1,
		usageReports: true})))
	if err != nil {
		t.Fatal(err)
	}
	f, err := parseOperatorFile(consulOperatorFile(c, "127.0.0.1:8500"))
	if err != nil {
		t.Fatal(err)
	}
	got, want := f.Gateway.Settings, c.Settings
	want.LoadReportFields, want.SubscribeToEndpoints = nil, false // the operator's file has no key for them
	if a, b := fmt.Sprintf("%+v", got), fmt.Sprintf("%+v", want); a != b {
		t.Errorf("settings from the operator's file\n%s\nwant those of the platform's configuration\n%s", a, b)
	}
}
