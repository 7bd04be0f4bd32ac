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

// Action is what a step of a script does.
type Action string

// The actions. Each applies to the step's Gateways, Backends or both. An action that lasts for Duration is undone after
// that time.
const (
	ActionPause            Action = "stop"    // pause the processes of gateways, for Duration
	ActionKill             Action = "kill"    // kill gateways at the same moment, and start them again after Duration
	ActionTerminate        Action = "term"    // terminate gateways gracefully, and start them again after Duration
	ActionStart            Action = "back"    // start gateways concurrently
	ActionDrain            Action = "drain"   // all agents report backends as draining
	ActionUndrain          Action = "ready"   // all agents report backends as ready
	ActionRestartBackends  Action = "die"     // kill backends, and start them cold after Duration
	ActionSilenceDiscovery Action = "deaf"    // the agents of gateways send nothing, for Duration
	ActionStallDiscovery   Action = "unheard" // no data passes between gateways and their agents, for Duration
	ActionResetDiscovery   Action = "broken"  // the watches of gateways are reset
	ActionStallBackends    Action = "cut"     // no data passes between gateways and backends, for Duration
	ActionResetBackends    Action = "reset"   // the connections between gateways and backends are reset
	ActionResetCounter     Action = "emptied" // the counter loses all numbers
)

// Step is one line of a script.
type Step struct {
	At       time.Duration // from the script's start
	Duration time.Duration // 0 means that the action isn't undone
	Action   Action
	Gateways []int
	Backends []int
}

// String returns the step as one line.
func (s Step) String() string {
	return fmt.Sprintf("%.3f for %.3f: %s gateways %v backends %v",
		s.At.Seconds(), s.Duration.Seconds(), s.Action, s.Gateways, s.Backends)
}

// Script is all that happens to a deployment.
type Script []Step

// String returns the script, one step a line.
func (s Script) String() string {
	var b strings.Builder
	for _, step := range s {
		fmt.Fprintln(&b, " ", step)
	}
	return b.String()
}

// Range returns the integers in [from, to).
func Range(from, to int) (out []int) {
	for i := from; i < to; i++ {
		out = append(out, i)
	}
	return out
}

// Sample returns count different random integers in [0, n), sorted, or all of them if there are fewer.
func Sample(rng *rand.Rand, n, count int) []int {
	out := rng.Perm(n)[:min(count, n)]
	slices.Sort(out)
	return out
}

// event is the beginning or the end of a step.
type event struct {
	at   time.Duration
	name string
	run  func() error
}

// events returns the events of a script, ordered by time.
func (f *Fleet) events(script Script) []event {
	var events []event
	for _, s := range script {
		begin, end := f.stepFuncs(s)
		events = append(events, event{s.At, s.String(), begin})
		if end != nil && s.Duration > 0 {
			events = append(events, event{s.At + s.Duration, "end of " + s.String(), end})
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	return events
}

// Play runs a script. It returns after the last event, or with the error of the first event that failed.
func (f *Fleet) Play(ctx context.Context, script Script) error {
	events := f.events(script)
	start := time.Now()
	f.scriptStartedAt = start
	for _, e := range events {
		select {
		case <-time.After(time.Until(start.Add(e.at))):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		f.tracef("%s", e.name)
		if err := e.run(); err != nil {
			return fmt.Errorf("%s: %w", e.name, err)
		}
	}
	return nil
}

// stepFuncs returns the functions that begin and end a step. end is nil if there is nothing to undo.
func (f *Fleet) stepFuncs(s Step) (begin, end func() error) {
	switch s.Action {
	case ActionPause, ActionKill, ActionTerminate, ActionStart:
		return f.processStep(s)
	case ActionDrain:
		return func() error { f.SetHealth("Terminating", s.Backends...); return nil }, nil
	case ActionUndrain:
		return func() error { f.SetHealth("Ready", s.Backends...); return nil }, nil
	case ActionRestartBackends:
		return func() error { f.killBackends(s.Backends); return nil },
			func() error { return f.restartBackends(s.Backends) }
	case ActionSilenceDiscovery:
		return f.forEach(s, func(g *Gateway) error { g.Agent.SetDown(true); return nil }),
			f.forEach(s, func(g *Gateway) error { g.Agent.SetDown(false); return nil })
	case ActionStallDiscovery:
		return f.forEach(s, func(g *Gateway) error { g.DiscoveryRelay.Stall(BothDirections); return nil }),
			f.forEach(s, func(g *Gateway) error { g.DiscoveryRelay.Heal(); return nil })
	case ActionResetDiscovery:
		return f.forEach(s, func(g *Gateway) error { g.DiscoveryRelay.Reset(); return nil }), nil
	case ActionStallBackends:
		return f.forEachBackendRelay(s, func(r *Relay) { r.Stall(BothDirections) }),
			f.forEachBackendRelay(s, (*Relay).Heal)
	case ActionResetBackends:
		return f.forEachBackendRelay(s, (*Relay).Reset), nil
	case ActionResetCounter:
		return func() error { f.Counter.Reset(); return nil }, nil
	}
	return func() error { return fmt.Errorf("processtest: unknown action %q", s.Action) }, nil
}

// processStep returns the functions of a step that acts on the processes of gateways.
func (f *Fleet) processStep(s Step) (begin, end func() error) {
	gateways := f.selected(s)
	restart := func() error { return f.Start(gateways...) }
	switch s.Action {
	case ActionPause:
		return f.forEach(s, func(g *Gateway) error { return g.Process.Pause() }),
			f.forEach(s, func(g *Gateway) error { g.Process.Resume(); return nil })
	case ActionKill:
		return func() error {
			f.Kill(gateways...)
			if f.WhileStopped != nil {
				return f.WhileStopped(f)
			}
			return nil
		}, restart
	case ActionTerminate:
		terminate := f.forEach(s, func(g *Gateway) error { return g.Process.Terminate() })
		return func() error {
			f.stopRouting(gateways...)
			return terminate()
		}, restart
	}
	return restart, nil // ActionStart
}

// selected returns the gateways of a step.
func (f *Fleet) selected(s Step) (gateways []*Gateway) {
	for _, i := range s.Gateways {
		gateways = append(gateways, f.Gateways[i])
	}
	return gateways
}

// forEach returns a function that calls do for each gateway of a step and joins the errors.
func (f *Fleet) forEach(s Step, do func(*Gateway) error) func() error {
	gateways := f.selected(s)
	return func() (err error) {
		for _, g := range gateways {
			err = errors.Join(err, do(g))
		}
		return err
	}
}

// forEachBackendRelay returns a function that calls do for each relay between the gateways and backends of a step.
func (f *Fleet) forEachBackendRelay(s Step, do func(*Relay)) func() error {
	return f.forEach(s, func(g *Gateway) error {
		for _, i := range s.Backends {
			do(g.BackendRelays[i])
		}
		return nil
	})
}

// killBackends kills backends and reports them as removed.
func (f *Fleet) killBackends(backends []int) {
	for _, i := range backends {
		f.Backends[i].Kill()
	}
	f.SetHealth("Gone", backends...)
}

// restartBackends starts backends cold and reports them as ready.
func (f *Fleet) restartBackends(backends []int) error {
	for _, i := range backends {
		if err := f.startBackend(i, true); err != nil {
			return err
		}
		for _, g := range f.Gateways {
			if f.Config.Relayed {
				g.BackendRelays[i].SetTarget(f.Backends[i].Addr())
			}
		}
	}
	f.SetHealth("Ready", backends...)
	return nil
}
