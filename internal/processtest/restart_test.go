package processtest

import (
	"errors"
	"os"
	"testing"
	"time"

	"pumicecroft/internal/load"
	"pumicecroft/internal/snapshotfile"
	"pumicecroft/recovery"
)

// forEachGateway calls do for each gateway with the path of its snapshot.
func forEachGateway(f *Fleet, do func(g *Gateway, path string) error) error {
	for _, g := range f.Gateways {
		if err := do(g, snapshotfile.Path(g.StateDir, g.Number)); err != nil {
			return err
		}
	}
	return nil
}

// replaceByOldSnapshot replaces a snapshot by one of the day before, in which no customer has a debt.
func replaceByOldSnapshot(_ *Gateway, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	s, err := recovery.Decode(text)
	if err != nil {
		return err
	}
	s.TakenAt, s.Customers, s.Complete = s.TakenAt.Add(-24*time.Hour), nil, true
	if text, err = recovery.Encode(s); err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// All gateways are killed at the same moment and come back with snapshots, without them, with old copies, or where
// none can be used. Customers that send far more than their plans allow must get no fresh burst by that, and those
// within their plans must be served as before from the second second on.
func TestRestart_GrantsNoFreshBurst(t *testing.T) {
	const (
		killAt        = 4 * time.Second
		downtime      = time.Second
		window        = 2 * time.Second // in which customers are compared before and after
		floods        = 4               // customers that send five times their rate
		within        = 20              // customers that send half of their rate
		firstWithin   = 100
		rate          = 4.0
		gateways      = 4
		burstShare    = 1.25 // how far the customers over their plans may exceed what they had before
		minimumServed = 0.95 // share of the customers within their plans
	)
	for name, whileStopped := range map[string]func(f *Fleet) error{
		"with snapshots": nil,
		"without state": func(f *Fleet) error {
			return forEachGateway(f, func(g *Gateway, _ string) error { return os.RemoveAll(g.StateDir) })
		},
		"truncated snapshots": func(f *Fleet) error {
			return forEachGateway(f, func(_ *Gateway, path string) error { return os.Truncate(path, 40) })
		},
		"old snapshots without debts": func(f *Fleet) error { return forEachGateway(f, replaceByOldSnapshot) },
		"snapshots swapped between gateways": func(f *Fleet) error {
			return forEachGateway(f, func(g *Gateway, path string) error { // each finds only its neighbor's
				return os.Rename(path, snapshotfile.Path(f.Gateways[(g.Number+1)%len(f.Gateways)].StateDir, g.Number))
			})
		},
		"nothing can be written": func(f *Fleet) error {
			return forEachGateway(f, func(_ *Gateway, path string) error {
				return errors.Join(os.Remove(path), os.Mkdir(path, 0o700))
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // two at once: see TestMain
			f := deploy(t, Config{
				Gateways: gateways, Backends: 4, WorkTime: 5 * time.Millisecond, Slots: 4, Queue: 32,
				Rate: rate, Burst: 24, Meter: true, PersistState: true,
			})
			f.WhileStopped = whileStopped
			script := Script{{At: killAt, Duration: downtime, Action: ActionKill, Gateways: Range(0, gateways)}}
			playWithClients(t, f, script, 4*time.Second,
				ClientGroup{Name: "floods", Plan: "shop", Class: "look", Rate: floods * rate * 5, Customers: floods},
				ClientGroup{
					Name: "within", Plan: "shop", Class: "look", Rate: within * rate * 0.5, Customers: within,
					FirstCustomer: firstWithin,
				})
			served := func(from time.Time, length time.Duration, within bool) (good, sent float64) {
				outcomes := f.Outcomes(from, from.Add(length), func(o load.Outcome) bool {
					return o.Request.Customer >= firstWithin == within
				})
				return float64(CountGood(outcomes)), float64(len(outcomes))
			}
			before, _ := served(f.scriptStartedAt.Add(killAt-window), window, false)
			after, _ := served(f.lastStartedAt(), window, false)
			plan, downtimePlan := floods*rate*window.Seconds(), floods*rate*downtime.Seconds()
			t.Logf("floods: %.0f in two seconds before, %.0f in the two after, their plan is %.0f and %.0f for the downtime",
				before, after, plan, downtimePlan)
			// What their plans give during the downtime is theirs; the burst is 96 for all of them.
			if limit := burstShare*max(before, plan) + downtimePlan; after > limit {
				t.Errorf("%.0f were served in the two seconds after the restart, more than %.0f", after, limit)
			}
			good, sent := served(f.lastStartedAt().Add(time.Second), 3*time.Second, true)
			if good < minimumServed*sent {
				t.Errorf("%.0f of %.0f within their plans are served from the second second on", good, sent)
			}
		})
	}
}
