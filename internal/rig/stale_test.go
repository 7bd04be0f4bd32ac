package rig

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"pumicecroft/internal/load"
)

func TestMain(m *testing.M) {
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

// Half of the doors stand still while backends are told to drain. What waits for them in their sockets then, requests and the news of
// the drain, they see in no order; nothing may be sent by the older view.
func TestNothingIsDecidedByAnOldView(t *testing.T) {
	f := deploy(t, Shape{Doors: 6, Backends: 6, Work: 5 * time.Millisecond, Slots: 4, Queue: 32})
	playing(t, f, Script{
		{At: 500 * time.Millisecond, For: 4 * time.Second, Do: Stop, Doors: Numbers(0, 3)},
		{At: 700 * time.Millisecond, Do: Drain, Backends: Numbers(0, 3)},
	}, time.Second, Asking{Name: "look", Plan: "big", Class: "look", Rate: 250, Customers: 50, Timeout: 2 * time.Second})
	after := f.begun
	served := Good(f.Ends(after, time.Now(), nil))
	all := f.Ends(after, time.Now(), func(e load.End) bool { return true })
	t.Logf("%d served of %d, %d attempts", served, len(all), len(f.Ledger.Attempts()))
	by := map[string]int{}
	for _, a := range f.Stale() {
		by[fmt.Sprint(a.Backend, " after ", a.At.Sub(f.told[a.Backend]).Round(10*time.Millisecond))]++
	}
	if len(by) > 0 {
		t.Errorf("%d attempts went to backends that were told to drain: %v", len(f.Stale()), by)
		for _, d := range f.Doors[:3] {
			lines := d.Process.Lines()
			for _, l := range lines[max(0, len(lines)-12):] {
				t.Log(d.Name, l)
			}
		}
	}
}
