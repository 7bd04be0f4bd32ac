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
	End()
	os.Exit(code)
}

// deploy puts a deployment together and starts all its doors.
func deploy(t *testing.T, s Shape) *Fleet {
	t.Helper()
	if s.Dir = t.TempDir(); s.Seed == 0 {
		s.Seed = 1
	}
	if s.Descriptors == 0 {
		s.Descriptors, s.MiB = 1024, 192
	}
	if s.Aim == 0 {
		s.Aim, s.Deadline, s.MaxRetryAfter = 500*time.Millisecond, 2*time.Second, time.Second
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
	if err := f.Start(f.Doors...); err != nil {
		t.Fatal(err)
	}
	return f
}

// playing plays a script while clients ask, and for a while after it.
func playing(t *testing.T, f *Fleet, script Script, after time.Duration, askings ...Asking) {
	t.Helper()
	t.Logf("seed %d\n%s", f.Shape.Seed, script)
	ctx, stop := context.WithCancel(t.Context())
	var asking sync.WaitGroup
	for i, a := range askings {
		asking.Go(func() {
			if err := f.Ask(ctx, i+1, a); err != nil {
				t.Error(err)
			}
		})
	}
	err := f.Play(t.Context(), append(script, Step{At: last(script) + after, Do: Drain}))
	stop()
	asking.Wait()
	if err != nil {
		t.Fatal(err)
	}
}

func last(script Script) (at time.Duration) {
	for _, s := range script {
		at = max(at, s.At+s.For)
	}
	return at
}

var (
	pauses = flag.Int("pauses", 0, "how many doors TestSeededPauses stops, one after another or many at once")
	fleet  = flag.Int("fleet", 24, "how many doors it runs")
	seeds  = flag.Uint64("seed", 1, "what it draws from")
)

// Half of the doors stand still while backends are told to drain. What waits for them in their sockets then, requests and the news of
// the drain, they see in no order; nothing may be sent by the older view. The first has its agent's news in its socket; in the second the
// watch breaks meanwhile and the news comes with the next one only.
func TestNothingIsDecidedByAnOldView(t *testing.T) {
	for name, more := range map[string]Script{
		"the news waits":   nil,
		"its watch breaks": {{At: 2 * time.Second, Do: Broken, Doors: Numbers(0, 2)}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := deploy(t, Shape{Doors: 4, Backends: 4, Work: 5 * time.Millisecond, Slots: 4, Queue: 32, Relayed: true})
			playing(t, f, append(Script{
				{At: 500 * time.Millisecond, For: 3500 * time.Millisecond, Do: Stop, Doors: Numbers(0, 2)},
				{At: 700 * time.Millisecond, Do: Drain, Backends: Numbers(0, 2)},
			}, more...), time.Second, Asking{Name: "look", Plan: "big", Class: "look", Rate: 200, Customers: 50, Timeout: 2 * time.Second})
			notStale(t, f)
			late := f.Ends(f.playedAt.Add(4300*time.Millisecond), time.Now(), nil)
			if good := Good(late); 10*good < 9*len(late) || good == 0 {
				t.Errorf("%d of %d are served from 0.3 s after they go on", good, len(late))
			}
		})
	}
}

// notStale fails if anything went to a backend that drains.
func notStale(t *testing.T, f *Fleet) {
	t.Helper()
	stale, by := f.Stale(), map[string]int{}
	for _, a := range stale {
		by[fmt.Sprint(a.Backend, " at ", a.At.Sub(f.begun).Round(10*time.Millisecond))]++
	}
	if len(stale) > 0 {
		t.Errorf("%d of %d attempts went to backends that were told to drain: %v", len(stale), len(f.Ledger.Attempts()), by)
	}
	if lost := f.Ends(f.begun, time.Now(), func(e load.End) bool { return e.Good && e.Took > f.Shape.Deadline+time.Second }); len(lost) > 0 {
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
	rng := rand.New(rand.NewPCG(*seeds, 0x9a05e))
	f := deploy(t, Shape{Seed: *seeds, Doors: *fleet, Backends: 12, Work: 5 * time.Millisecond, Slots: 4, Queue: 32})
	var script Script
	at, stopped, rounds := 500*time.Millisecond, 0, 0
	for ; stopped < *pauses; rounds++ {
		length := []time.Duration{time.Second, 3 * time.Second, 6 * time.Second}[rng.IntN(3)]
		doors := Some(rng, *fleet, 1+rng.IntN(*fleet*3/4))
		news := at + time.Duration(rng.Int64N(int64(length)))
		drain := Some(rng, 12, 1+rng.IntN(8))
		end := max(at+length, news+Grace+Slack) + 500*time.Millisecond
		script = append(script, Step{At: at, For: length, Do: Stop, Doors: doors}, Step{At: news, Do: Drain, Backends: drain}, Step{At: end, Do: Ready, Backends: drain})
		stopped += len(doors)
		at = end + 200*time.Millisecond
	}
	playing(t, f, script, time.Second, Asking{Name: "look", Plan: "big", Class: "look", Rate: 300, Customers: 50, Timeout: 2 * time.Second})
	ends := f.Ends(f.begun, time.Now(), nil)
	t.Logf("%d doors were stopped in %d rounds, of %d; %d attempts, %d of %d served, %d attempts to backends that drain", stopped, rounds, *fleet, len(f.Ledger.Attempts()), Good(ends),
		len(ends), len(f.Stale()))
	notStale(t, f)
}
