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

// TestMain has two cases at once at the most, so that no more than eight processes run.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", "2"); err != nil {
		panic(err)
	}
	code := m.Run()
	RemoveProgram()
	os.Exit(code)
}

// deploy puts a deployment together and starts all its doors.
func deploy(t *testing.T, s Config) *Fleet {
	t.Helper()
	if s.Dir = t.TempDir(); s.Seed == 0 {
		s.Seed = 1
	}
	if s.Descriptors == 0 {
		s.Descriptors, s.MemoryMB = 1024, 192
	}
	if s.LatencyObjective == 0 {
		s.LatencyObjective, s.Deadline, s.MaxRetryAfter = 500*time.Millisecond, 2*time.Second, time.Second
	}
	f, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.Close()
		if t.Failed() {
			t.Logf("seed %d\n%s", s.Seed, f.Trace())
		}
	})
	if err := f.Start(f.Gateways...); err != nil {
		t.Fatal(err)
	}
	return f
}

// playing plays a script while clients ask, and for a while after it.
func playWithClients(t *testing.T, f *Fleet, script Script, after time.Duration, askings ...ClientGroup) {
	t.Helper()
	t.Logf("seed %d\n%s", f.Config.Seed, script)
	ctx, stop := context.WithCancel(t.Context())
	var asking sync.WaitGroup
	for i, a := range askings {
		asking.Go(func() {
			if err := f.RunClients(ctx, i+1, a); err != nil {
				t.Error(err)
			}
		})
	}
	err := f.Play(t.Context(), append(script, Step{At: scriptEnd(script) + after, Action: ActionDrain}))
	stop()
	asking.Wait()
	if err != nil {
		t.Fatal(err)
	}
}

func scriptEnd(script Script) (at time.Duration) {
	for _, s := range script {
		at = max(at, s.At+s.Duration)
	}
	return at
}

var (
	pauses    = flag.Int("pauses", 0, "how many doors TestSeededPauses stops, one after another or many at once")
	fleetSize = flag.Int("fleet", 24, "how many doors it runs")
	seed      = flag.Uint64("seed", 1, "what it draws from")
)

// Half of the doors stand still while backends are told to drain. What waits for them in their sockets then, requests and the news of
// the drain, they see in no order; nothing may be sent by the older view. The first has its agent's news in its socket; in the second the
// watch breaks meanwhile and the news comes with the next one only.
func TestPausedGateways_UseNoStaleEndpoints(t *testing.T) {
	for name, more := range map[string]Script{
		"the news waits":   nil,
		"its watch breaks": {{At: 2 * time.Second, Action: ActionResetDiscovery, Gateways: Range(0, 2)}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := deploy(t, Config{Gateways: 4, Backends: 4, WorkTime: 5 * time.Millisecond, Slots: 4, Queue: 32, Relayed: true})
			playWithClients(t, f, append(Script{
				{At: 500 * time.Millisecond, Duration: 3500 * time.Millisecond, Action: ActionPause, Gateways: Range(0, 2)},
				{At: 700 * time.Millisecond, Action: ActionDrain, Backends: Range(0, 2)},
			}, more...), time.Second, ClientGroup{Name: "look", Plan: "big", Class: "look", Rate: 200, Customers: 50, Timeout: 2 * time.Second})
			requireNoStaleAttempts(t, f)
			late := f.Outcomes(f.scriptStartedAt.Add(4300*time.Millisecond), time.Now(), nil)
			if good := CountGood(late); 10*good < 9*len(late) || good == 0 {
				t.Errorf("%d of %d are served from 0.3 s after they go on", good, len(late))
			}
		})
	}
}

// notStale fails if anything went to a backend that drains.
func requireNoStaleAttempts(t *testing.T, f *Fleet) {
	t.Helper()
	stale, by := f.StaleAttempts(), map[string]int{}
	for _, a := range stale {
		by[fmt.Sprint(a.Backend, " at ", a.At.Sub(f.startedAt).Round(10*time.Millisecond))]++
	}
	if len(stale) > 0 {
		t.Errorf("%d of %d attempts went to backends that were told to drain: %v", len(stale), len(f.Ledger.Attempts()), by)
	}
	if lost := f.Outcomes(f.startedAt, time.Now(), func(e load.Outcome) bool { return e.Good && e.Latency > f.Config.Deadline+time.Second }); len(lost) > 0 {
		t.Errorf("%d answers came long after their time", len(lost))
	}
}

// Doors are stopped for 1, 3 or 6 s at moments of chance while backends drain and are back. It is a measurement for a quiet machine:
//
//	go test ./internal/rig -run TestSeededPauses -pauses 1000 -fleet 48 -timeout 20m -v
func TestSeededPauses(t *testing.T) {
	if *pauses == 0 {
		t.Skip("-pauses is not given")
	}
	rng := rand.New(rand.NewPCG(*seed, 0x9a05e))
	f := deploy(t, Config{Seed: *seed, Gateways: *fleetSize, Backends: 12, WorkTime: 5 * time.Millisecond, Slots: 4, Queue: 32})
	var script Script
	at, stopped, rounds := 500*time.Millisecond, 0, 0
	for ; stopped < *pauses; rounds++ {
		length := []time.Duration{time.Second, 3 * time.Second, 6 * time.Second}[rng.IntN(3)]
		doors := Sample(rng, *fleetSize, 1+rng.IntN(*fleetSize*3/4))
		news := at + time.Duration(rng.Int64N(int64(length)))
		drain := Sample(rng, 12, 1+rng.IntN(8))
		end := max(at+length, news+DrainGrace+SocketSlack) + 500*time.Millisecond
		script = append(script, Step{At: at, Duration: length, Action: ActionPause, Gateways: doors}, Step{At: news, Action: ActionDrain, Backends: drain}, Step{At: end, Action: ActionUndrain, Backends: drain})
		stopped += len(doors)
		at = end + 200*time.Millisecond
	}
	playWithClients(t, f, script, time.Second, ClientGroup{Name: "look", Plan: "big", Class: "look", Rate: 300, Customers: 50, Timeout: 2 * time.Second})
	ends := f.Outcomes(f.startedAt, time.Now(), nil)
	t.Logf("%d doors were stopped in %d rounds, of %d; %d attempts, %d of %d served, %d attempts to backends that drain", stopped, rounds, *fleetSize, len(f.Ledger.Attempts()), CountGood(ends),
		len(ends), len(f.StaleAttempts()))
	requireNoStaleAttempts(t, f)
}
