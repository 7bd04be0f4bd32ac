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

// All doors are killed in one moment and come back, with what they kept, without it, with an old copy of it, or where it can't be used. Those
// who ask for far more than their plans get no fresh burst for that, and those within theirs are served as before from the second second on.
func TestRestart_GrantsNoFreshBurst(t *testing.T) {
	const (
		steady       = 4 * time.Second
		away         = time.Second
		floods       = 4
		rate         = 4.0
		doors        = 4
		lastOfSteady = 2 * time.Second
	)
	for name, meanwhile := range map[string]func(f *Fleet) error{
		"with what they kept": nil,
		"with nothing": func(f *Fleet) error {
			return forEachGateway(f, func(d *Gateway, _ string) error { return os.RemoveAll(d.StateDir) })
		},
		"torn": func(f *Fleet) error {
			return forEachGateway(f, func(_ *Gateway, path string) error { return os.Truncate(path, 40) })
		},
		"with yesterday's copy, of when nobody owed": func(f *Fleet) error {
			return forEachGateway(f, func(_ *Gateway, path string) error {
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
			})
		},
		"swapped between doors": func(f *Fleet) error {
			return forEachGateway(f, func(d *Gateway, path string) error {
				return os.Rename(path, snapshotfile.Path(f.Gateways[(d.Number+1)%len(f.Gateways)].StateDir, d.Number)) // each finds its neighbour's alone
			})
		},
		"where nothing can be kept": func(f *Fleet) error {
			return forEachGateway(f, func(_ *Gateway, path string) error { return errors.Join(os.Remove(path), os.Mkdir(path, 0o700)) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // two at once: see TestMain
			f := deploy(t, Config{Gateways: doors, Backends: 4, WorkTime: 5 * time.Millisecond, Slots: 4, Queue: 32, Rate: rate, Burst: 24, Meter: true, PersistState: true})
			f.WhileStopped = meanwhile
			playWithClients(t, f, Script{{At: steady, Duration: away, Action: ActionKill, Gateways: Range(0, doors)}}, 4*time.Second,
				ClientGroup{Name: "floods", Plan: "shop", Class: "look", Rate: floods * rate * 5, Customers: floods},
				ClientGroup{Name: "within", Plan: "shop", Class: "look", Rate: 20 * rate * 0.5, Customers: 20, FirstCustomer: 100})
			served := func(from time.Time, d time.Duration, within bool) (good, asked float64) {
				ends := f.Outcomes(from, from.Add(d), func(e load.Outcome) bool { return e.Request.Customer >= 100 == within })
				return float64(CountGood(ends)), float64(len(ends))
			}
			before, _ := served(f.scriptStartedAt.Add(steady-lastOfSteady), lastOfSteady, false)
			after, _ := served(f.lastStartedAt(), 2*time.Second, false)
			plan := floods * rate * 2
			t.Logf("floods: %.0f in two seconds before, %.0f in the two after, their plan is %.0f and %.0f for the time away", before, after, plan, floods*rate*away.Seconds())
			// What their plans give while no door is there is theirs; the burst is 96 for all of them.
			if most := 1.25*max(before, plan) + floods*rate*away.Seconds(); after > most {
				t.Errorf("%.0f were served in the two seconds after the return, more than %.0f", after, most)
			}
			good, asked := served(f.lastStartedAt().Add(time.Second), 3*time.Second, true)
			if good < 0.95*asked {
				t.Errorf("%.0f of %.0f within their plans are served from the second second on", good, asked)
			}
		})
	}
}

// eachDoor does something to what each door has kept.
func forEachGateway(f *Fleet, do func(d *Gateway, path string) error) error {
	for _, d := range f.Gateways {
		if err := do(d, snapshotfile.Path(d.StateDir, d.Number)); err != nil {
			return err
		}
	}
	return nil
}
