package processtest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Act is what a step does.
type Action string

// The acts. Those of doors take Doors, those of backends take Backends.
const (
	ActionPause            Action = "stop"    // doors stand still, for For if it is set
	ActionKill             Action = "kill"    // doors are killed in one moment, and are back after For if it is set
	ActionTerminate        Action = "term"    // doors are told to end, and are back when they have, and For is over
	ActionStart            Action = "back"    // doors are started, all at once
	ActionDrain            Action = "drain"   // all agents tell that backends drain
	ActionUndrain          Action = "ready"   // and that they do not
	ActionRestartBackends  Action = "die"     // backends die, and are back cold after For
	ActionSilenceDiscovery Action = "deaf"    // agents of doors are silent, for For
	ActionStallDiscovery   Action = "unheard" // what agents of doors say does not arrive, for For
	ActionResetDiscovery   Action = "broken"  // the watches of doors are reset
	ActionStallBackends    Action = "cut"     // nothing passes between doors and backends, for For
	ActionResetBackends    Action = "reset"   // the connections between doors and backends are reset
	ActionResetCounter     Action = "emptied" // the counter loses all that it holds
)

// Step is one line of a script.
type Step struct {
	At, Duration time.Duration // from the script's start
	Action       Action
	Gateways     []int
	Backends     []int
}

// String is the step in a line.
func (s Step) String() string {
	return fmt.Sprintf("%.3f for %.3f: %s doors %v backends %v", s.At.Seconds(), s.Duration.Seconds(), s.Action, s.Gateways, s.Backends)
}

// Script is all that happens to a deployment.
type Script []Step

// String is the script, a line each.
func (s Script) String() string {
	var b strings.Builder
	for _, step := range s {
		fmt.Fprintln(&b, " ", step)
	}
	return b.String()
}

// Numbers are the numbers from 0 to below n.
func Range(from, to int) (out []int) {
	for i := from; i < to; i++ {
		out = append(out, i)
	}
	return out
}

// Some draws so many of n numbers.
func Sample(rng *rand.Rand, of, n int) []int {
	out := rng.Perm(of)[:min(n, of)]
	slices.Sort(out)
	return out
}

// Play plays a script: each step at its time, and what ends it after its For. It returns when the last has ended, or one has failed.
func (f *Fleet) Play(ctx context.Context, script Script) error {
	type event struct {
		at   time.Duration
		what string
		do   func() error
	}
	var events []event
	for _, s := range script {
		begin, end := f.stepFuncs(s)
		events = append(events, event{s.At, s.String(), begin})
		if end != nil && s.Duration > 0 {
			events = append(events, event{s.At + s.Duration, "over: " + s.String(), end})
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	start := time.Now()
	f.scriptStartedAt = start
	for _, e := range events {
		select {
		case <-time.After(time.Until(start.Add(e.at))):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		f.tracef("%s", e.what)
		if err := e.do(); err != nil {
			return fmt.Errorf("%s: %w", e.what, err)
		}
	}
	return nil
}

// act is what a step does, and what ends it.
func (f *Fleet) stepFuncs(s Step) (begin, end func() error) {
	var doors []*Gateway
	for _, i := range s.Gateways {
		doors = append(doors, f.Gateways[i])
	}
	each := func(do func(*Gateway) error) func() error {
		return func() (err error) {
			for _, d := range doors {
				err = errors.Join(err, do(d))
			}
			return err
		}
	}
	plain := func(do func(*Gateway)) func() error { return each(func(d *Gateway) error { do(d); return nil }) }
	switch s.Action {
	case ActionPause:
		return each(func(d *Gateway) error { return d.Process.Pause() }), plain(func(d *Gateway) { d.Process.Resume() })
	case ActionKill:
		return func() error {
			if f.Kill(doors...); f.WhileStopped != nil {
				return f.WhileStopped(f)
			}
			return nil
		}, func() error { return f.Start(doors...) }
	case ActionTerminate:
		return func() error {
			f.stopRouting(doors...)
			return each(func(d *Gateway) error { return d.Process.Terminate() })()
		}, func() error { return f.Start(doors...) }
	case ActionStart:
		return func() error { return f.Start(doors...) }, nil
	case ActionDrain:
		return func() error { f.SetHealth("Terminating", s.Backends...); return nil }, nil
	case ActionUndrain:
		return func() error { f.SetHealth("Ready", s.Backends...); return nil }, nil
	case ActionRestartBackends:
		return func() error {
				for _, i := range s.Backends {
					f.Backends[i].Kill()
				}
				f.SetHealth("Gone", s.Backends...)
				return nil
			}, func() error {
				for _, i := range s.Backends {
					if err := f.addBackend(i, true); err != nil {
						return err
					}
					for _, d := range f.Gateways {
						if f.Config.Relayed {
							d.BackendRelays[i].SetTarget(f.Backends[i].Addr())
						}
					}
				}
				f.SetHealth("Ready", s.Backends...)
				return nil
			}
	case ActionSilenceDiscovery:
		return plain(func(d *Gateway) { d.Agent.SetDown(true) }), plain(func(d *Gateway) { d.Agent.SetDown(false) })
	case ActionStallDiscovery:
		return plain(func(d *Gateway) { d.DiscoveryRelay.Stall(BothDirections) }), plain(func(d *Gateway) { d.DiscoveryRelay.Heal() })
	case ActionResetDiscovery:
		return plain(func(d *Gateway) { d.DiscoveryRelay.Reset() }), nil
	case ActionStallBackends, ActionResetBackends:
		pairs := func(do func(*Relay)) func() error {
			return plain(func(d *Gateway) {
				for _, i := range s.Backends {
					do(d.BackendRelays[i])
				}
			})
		}
		if s.Action == ActionResetBackends {
			return pairs((*Relay).Reset), nil
		}
		return pairs(func(r *Relay) { r.Stall(BothDirections) }), pairs((*Relay).Heal)
	case ActionResetCounter:
		return func() error { f.Counter.Reset(); return nil }, nil
	}
	return func() error { return fmt.Errorf("rig: no such act: %q", s.Action) }, nil
}
