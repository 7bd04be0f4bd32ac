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

// replaceByOldSnapshot replaces a snapshot by one that is a day older and in which no customer has a debt.
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

// All gateways are killed at the same moment and restarted: with their snapshots, without them, with old ones, or with
// unusable ones. Customers that send far more than their plans allow must not get a new burst from the restart, and
// those within their plans must be served as before from one second after the restart on.
func TestRestart_GrantsNoFreshBurst(t *testing.T) {
	const (
		killAt          = 4 * time.Second
		downtime        = time.Second
		window          = 2 * time.Second // in which customers are compared before and after
		customersOver   = 4               // customers that send five times their rate
		customersWithin = 20              // customers that send half of their rate
		firstWithin     = 100             // number of the first of customersWithin
		rate            = 4.0             // of a customer's plan, in units a second
		gateways        = 4
		maxIncrease     = 1.25 // how far customersOver may exceed what they got before, as a factor
		minimumServed   = 0.95 // share of the requests of customersWithin
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
				ClientGroup{Name: "floods", Plan: "shop", Class: "look", Rate: customersOver * rate * 5, Customers: customersOver},
				ClientGroup{
					Name: "within", Plan: "shop", Class: "look", Rate: customersWithin * rate * 0.5, Customers: customersWithin,
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
			plan, downtimePlan := customersOver*rate*window.Seconds(), customersOver*rate*downtime.Seconds()
			t.Logf("customers over their plans: %.0f served in the two seconds before, %.0f in the two seconds after; "+
				"their plans allow %.0f, and %.0f for the downtime", before, after, plan, downtimePlan)
			// Customers may use what their plans give them during the downtime. A new burst would be 96 for all of them.
			if limit := maxIncrease*max(before, plan) + downtimePlan; after > limit {
				t.Errorf("customers over their plans: %.0f served in the two seconds after the restart, want at most %.0f",
					after, limit)
			}
			good, sent := served(f.lastStartedAt().Add(time.Second), 3*time.Second, true)
			if good < minimumServed*sent {
				t.Errorf("customers within their plans: %.0f of %.0f served from one second after the restart on, "+
					"want at least %.0f%%", good, sent, minimumServed*100)
			}
		})
	}
}
