package processtest

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"pumicecroft/internal/load"
)

// TestMain runs at most two cases at once, which limits the number of gateway processes: there are 20 in
// TestReadyAgainWithoutDiscovery and at most 8 in the other tests, except for TestSeededPauses.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", "2"); err != nil {
		panic(err)
	}
	code := m.Run()
	RemoveProgram()
	os.Exit(code)
}

// deploy starts a deployment with all its gateways. It closes the deployment when the test ends.
func deploy(t *testing.T, config Config) *Fleet {
	t.Helper()
	config.Dir = t.TempDir()
	if config.Seed == 0 {
		config.Seed = 1
	}
	if config.Descriptors == 0 {
		config.Descriptors, config.MemoryMB = 1024, 192
	}
	if config.LatencyObjective == 0 {
		config.LatencyObjective, config.Deadline = 500*time.Millisecond, 2*time.Second
		config.MaxRetryAfter = time.Second
	}
	f, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.Close()
		if t.Failed() {
			t.Logf("seed %d\n%s", config.Seed, f.Trace())
		}
	})
	if err := f.Start(f.Gateways...); err != nil {
		t.Fatal(err)
	}
	return f
}

// playWithClients runs a script while clients send requests. The clients stop when the time after has passed since the
// script's last event.
func playWithClients(t *testing.T, f *Fleet, script Script, after time.Duration, groups ...ClientGroup) {
	t.Helper()
	t.Logf("seed %d\n%s", f.Config.Seed, script)
	ctx, stop := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	for i, group := range groups {
		clients.Go(func() {
			if err := f.RunClients(ctx, i+1, group); err != nil {
				t.Error(err)
			}
		})
	}
	err := f.Play(t.Context(), append(script, Step{At: scriptEnd(script) + after, Action: ActionDrain}))
	stop()
	clients.Wait()
	if err != nil {
		t.Fatal(err)
	}
}

// scriptEnd returns the time of a script's last event.
func scriptEnd(script Script) (at time.Duration) {
	for _, s := range script {
		at = max(at, s.At+s.Duration)
	}
	return at
}

// requireNoStaleAttempts fails the test if an attempt reached a draining backend after the grace period, or if a
// response arrived long after its deadline.
func requireNoStaleAttempts(t *testing.T, f *Fleet) {
	t.Helper()
	stale, counts := f.StaleAttempts(), map[string]int{}
	for _, a := range stale {
		counts[fmt.Sprint(a.Backend, " at ", a.At.Sub(f.startedAt).Round(10*time.Millisecond))]++
	}
	if len(stale) > 0 {
		t.Errorf("%d of %d attempts went to draining backends after the grace period, want 0: %v", len(stale),
			len(f.Ledger.Attempts()), counts)
	}
	late := f.Outcomes(f.startedAt, time.Now(), func(o load.Outcome) bool {
		return o.Good && o.Latency > f.Config.Deadline+time.Second
	})
	if len(late) > 0 {
		t.Errorf("%d responses arrived more than a second after their deadline, want 0", len(late))
	}
}

// Half of the gateways are paused while backends start to drain. When they resume, requests and the endpoint update
// wait in their sockets, and they may read them in any order. No attempt may be sent based on the old endpoint list. In
// the first case the update waits in the socket; in the second the watch is reset during the pause, and only the next
// watch receives the update.
func TestPausedGateways_UseNoStaleEndpoints(t *testing.T) {
	for name, more := range map[string]Script{
		"update waits in the socket": nil,
		"watch is reset":             {{At: 2 * time.Second, Action: ActionResetDiscovery, Gateways: Range(0, 2)}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := deploy(t, Config{Gateways: 4, Backends: 4, WorkTime: 5 * time.Millisecond, Slots: 4, Queue: 32, Relayed: true})
			script := append(Script{
				{At: 500 * time.Millisecond, Duration: 3500 * time.Millisecond, Action: ActionPause, Gateways: Range(0, 2)},
				{At: 700 * time.Millisecond, Action: ActionDrain, Backends: Range(0, 2)},
			}, more...)
			playWithClients(t, f, script, time.Second, ClientGroup{
				Name: "look", Plan: "big", Class: "look", Rate: 200, Customers: 50, Timeout: 2 * time.Second,
			})
			requireNoStaleAttempts(t, f)
			after := f.Outcomes(f.scriptStartedAt.Add(4300*time.Millisecond), time.Now(), nil)
			if good := CountGood(after); 10*good < 9*len(after) || good == 0 {
				t.Errorf("%d of %d requests were served from 0.3 s after the pause on, want at least 9 of 10", good, len(after))
			}
		})
	}
}

var (
	pauses    = flag.Int("pauses", 0, "number of pauses of gateways in TestSeededPauses, consecutive or concurrent")
	fleetSize = flag.Int("fleet", 24, "number of gateways in TestSeededPauses")
	seed      = flag.Uint64("seed", 1, "seed of TestSeededPauses")
)

// Gateways are paused for 1, 3 or 6 s at random times while backends drain and become ready again. This is a
// measurement that needs an idle machine:
//
//	go test ./internal/processtest -run TestSeededPauses -pauses 1000 -fleet 48 -timeout 20m -v
func TestSeededPauses(t *testing.T) {
	if *pauses == 0 {
		t.Skip("-pauses is not given")
	}
	const backends = 12
	f := deploy(t, Config{
		Seed: *seed, Gateways: *fleetSize, Backends: backends, WorkTime: 5 * time.Millisecond, Slots: 4, Queue: 32,
	})
	rng := rand.New(rand.NewPCG(*seed, 0x9a05e))
	var script Script
	at, paused, rounds := 500*time.Millisecond, 0, 0
	for ; paused < *pauses; rounds++ {
		length := []time.Duration{time.Second, 3 * time.Second, 6 * time.Second}[rng.IntN(3)]
		gateways := Sample(rng, *fleetSize, 1+rng.IntN(*fleetSize*3/4))
		drainAt := at + time.Duration(rng.Int64N(int64(length)))
		drained := Sample(rng, backends, 1+rng.IntN(8))
		end := max(at+length, drainAt+DrainGrace+SocketSlack) + 500*time.Millisecond
		script = append(script,
			Step{At: at, Duration: length, Action: ActionPause, Gateways: gateways},
			Step{At: drainAt, Action: ActionDrain, Backends: drained},
			Step{At: end, Action: ActionUndrain, Backends: drained})
		paused += len(gateways)
		at = end + 200*time.Millisecond
	}
	playWithClients(t, f, script, time.Second, ClientGroup{
		Name: "look", Plan: "big", Class: "look", Rate: 300, Customers: 50, Timeout: 2 * time.Second,
	})
	outcomes := f.Outcomes(f.startedAt, time.Now(), nil)
	t.Logf("%d pauses in %d rounds with %d gateways; %d attempts; %d of %d requests served; "+
		"%d attempts to draining backends",
		paused, rounds, *fleetSize, len(f.Ledger.Attempts()), CountGood(outcomes), len(outcomes), len(f.StaleAttempts()))
	requireNoStaleAttempts(t, f)
}
