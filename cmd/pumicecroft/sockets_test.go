package main

import (
	"flag"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/internal/emulator"
	"pumicecroft/internal/fakes"
	"pumicecroft/internal/lab"
	"pumicecroft/internal/load"
	"pumicecroft/membership"
)

var socketsFlag = flag.Bool("sockets", false,
	"compare the emulator with real sockets; needs several idle processors for half a minute")

// The same scenarios run in the emulator, and on sockets with a gateway, backends and a load. The test
// prints the results of both (docs/measurements/0007-laboratory.md), and fails only if the shares of
// served requests differ by more than 0.08.
//
//	go test ./cmd/pumicecroft -run TestEmulatorAgainstSockets -sockets -v
func TestEmulatorAgainstSockets(t *testing.T) {
	if !*socketsFlag {
		t.Skip("-sockets is not given")
	}
	const length = 8 * time.Second
	for _, c := range []struct {
		name string
		rate float64 // requests per second; the backends can serve 800
		work time.Duration
		slow float64 // factor on the service time of one of the four backends
	}{{"calm", 400, 20 * time.Millisecond, 1}, {"full", 700, 20 * time.Millisecond, 1},
		{"overload", 1300, 20 * time.Millisecond, 1}, {"one backend ten times slower", 300, 20 * time.Millisecond,
			10}} {
		settings := decision.Settings{GatewayCount: 1, CanCancel: true, MaxAttempts: 3, MaxRetryAfter: time.Second,
			ResponseGrace: 50 * time.Millisecond,
			Classes: []decision.Class{{Name: "look", LatencyObjective: 300 * time.Millisecond,
				Deadline: 2 * time.Second, PriorityWeight: 1}}, Plans: []decision.Plan{{Name: "shop", Price: 1}}}

		// On sockets.
		var nodes []membership.Node
		for i := range 4 {
			work := c.work
			if i == 0 {
				work = time.Duration(float64(work) * c.slow)
			}
			b, err := fakes.StartBackend(fakes.BackendConfig{Name: fmt.Sprint("b", i), Ledger: &fakes.Ledger{},
				Slots: 4, Queue: 16, WorkTime: func(string) time.Duration { return work },
				IdempotentByKey: func(string) bool { return false }})
			if err != nil {
				t.Fatal(err)
			}
			defer b.Kill()
			nodes = append(nodes, membership.Node{Name: fmt.Sprint("b", i), Addr: b.Addr()})
		}
		gateway, err := pumicecroft.New(pumicecroft.Config{Settings: settings,
			InitialEndpoints: membership.Update{Nodes: nodes}, MaxBackendConns: 400, MaxOpenRequests: 4096})
		if err != nil {
			t.Fatal(err)
		}
		server := httptest.NewServer(gateway)
		p, err := load.Parse(fmt.Appendf(nil,
			"name = \"x\"\nrate = %v\nduration = \"%v\"\nconnections = 1000\n[[plan]]\nname = \"shop\"\n[[request]]\nname = \"look\"\npath = \"/\"\ndialect = \"platform\"\n", c.rate, length))
		if err != nil {
			t.Fatal(err)
		}
		measured, err := load.Run(t.Context(), p, load.Options{Target: strings.TrimPrefix(server.URL, "http://")})
		if err != nil {
			t.Fatal(err)
		}
		server.Close()
		_ = gateway.Close(t.Context())

		// Emulated. Each backend is the only one of its zone, so that a slow zone is one slow backend.
		cfg := emulator.Config{Gateways: 1, Policy: emulator.PolicyEngine, Settings: settings, Duration: length,
			Network: emulator.Network{MinDelay: 100 * time.Microsecond, MeanExtraDelay: 50 * time.Microsecond},
			Backends: emulator.Backends{Count: 4, Zones: 4, Cells: 1, Concurrency: 4, MaxQueue: 16,
				ServiceTime:    emulator.Distribution{Shape: emulator.Constant, Mean: c.work},
				ConnectTimeout: 250 * time.Millisecond, RestartTime: time.Second},
			Clients: emulator.Clients{Customers: 100, GatewaySpread: 1, Cost: 1, MaxTries: 1,
				Classes: []emulator.Share{{Name: "look", Weight: 1}},
				Plans:   []emulator.Share{{Name: "shop", Weight: 1}}},
			Arrivals: emulator.Arrivals{Rate: c.rate}, UpdateInterval: time.Second}
		if c.slow > 1 {
			cfg.Faults = []emulator.Fault{{Kind: emulator.ZoneSlow, Duration: length, Magnitude: c.slow}}
		}
		r, err := emulator.New(cfg, 1)
		if err == nil {
			err = lab.Emulate(t.Context(), r, 1)
		}
		if err != nil {
			t.Fatal(err)
		}
		emulated := r.Result()

		toMs := func(us int64) float64 { return float64(us) / 1e3 }
		emulatedMs := func(percentile float64) float64 { return toMs(emulated.Latency.ValueAtQuantile(percentile)) }
		durationMs := func(d time.Duration) float64 { return toMs(d.Microseconds()) }
		servedReal, servedEmulated := float64(measured.Good)/float64(measured.Scheduled),
			float64(emulated.Served)/float64(emulated.Offered)
		t.Logf("| %s | %.4f | %.4f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %s |", c.name, servedReal,
			servedEmulated, durationMs(measured.Served.P50), emulatedMs(50), durationMs(measured.Served.P90),
			emulatedMs(90), durationMs(measured.Served.P99), emulatedMs(99), measured.Invalid)
		if diff := servedReal - servedEmulated; diff < -0.08 || diff > 0.08 {
			t.Errorf("%s: share of served requests is %.3f on sockets and %.3f emulated, want a difference of at most 0.08",
				c.name, servedReal, servedEmulated)
		}
	}
}
