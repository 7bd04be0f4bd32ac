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
type Act string

// The acts. Those of doors take Doors, those of backends take Backends.
const (
	Stop    Act = "stop"    // doors stand still, for For if it is set
	Kill    Act = "kill"    // doors are killed in one moment, and are back after For if it is set
	Term    Act = "term"    // doors are told to end, and are back when they have, and For is over
	Back    Act = "back"    // doors are started, all at once
	Drain   Act = "drain"   // all agents tell that backends drain
	Ready   Act = "ready"   // and that they do not
	Die     Act = "die"     // backends die, and are back cold after For
	Deaf    Act = "deaf"    // agents of doors are silent, for For
	Unheard Act = "unheard" // what agents of doors say does not arrive, for For
	Broken  Act = "broken"  // the watches of doors are reset
	Cut     Act = "cut"     // nothing passes between doors and backends, for For
	Reset   Act = "reset"   // the connections between doors and backends are reset
	Emptied Act = "emptied" // the counter loses all that it holds
)

// Step is one line of a script.
type Step struct {
	At, For  time.Duration // from the script's start
	Do       Act
	Doors    []int
	Backends []int
}

// String is the step in a line.
func (s Step) String() string {
	return fmt.Sprintf("%.3f for %.3f: %s doors %v backends %v", s.At.Seconds(), s.For.Seconds(), s.Do, s.Doors, s.Backends)
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
func Numbers(from, to int) (out []int) {
	for i := from; i < to; i++ {
		out = append(out, i)
	}
	return out
}

// Some draws so many of n numbers.
func Some(rng *rand.Rand, of, n int) []int {
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
		begin, end := f.act(s)
		events = append(events, event{s.At, s.String(), begin})
		if end != nil && s.For > 0 {
			events = append(events, event{s.At + s.For, "over: " + s.String(), end})
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	start := time.Now()
	f.playedAt = start
	for _, e := range events {
		select {
		case <-time.After(time.Until(start.Add(e.at))):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		f.note("%s", e.what)
		if err := e.do(); err != nil {
			return fmt.Errorf("%s: %w", e.what, err)
		}
	}
	return nil
}

// act is what a step does, and what ends it.
func (f *Fleet) act(s Step) (begin, end func() error) {
	var doors []*Door
	for _, i := range s.Doors {
		doors = append(doors, f.Doors[i])
	}
	each := func(do func(*Door) error) func() error {
		return func() (err error) {
			for _, d := range doors {
				err = errors.Join(err, do(d))
			}
			return err
		}
	}
	plain := func(do func(*Door)) func() error { return each(func(d *Door) error { do(d); return nil }) }
	switch s.Do {
	case Stop:
		return each(func(d *Door) error { return d.Process.Stop() }), plain(func(d *Door) { d.Process.Go() })
	case Kill:
		return func() error {
			if f.Kill(doors...); f.Meanwhile != nil {
				return f.Meanwhile(f)
			}
			return nil
		}, func() error { return f.Start(doors...) }
	case Term:
		return func() error {
			f.out(doors...)
			return each(func(d *Door) error { return d.Process.Term() })()
		}, func() error { return f.Start(doors...) }
	case Back:
		return func() error { return f.Start(doors...) }, nil
	case Drain:
		return func() error { f.Tell("Terminating", s.Backends...); return nil }, nil
	case Ready:
		return func() error { f.Tell("Ready", s.Backends...); return nil }, nil
	case Die:
		return func() error {
				for _, i := range s.Backends {
					f.Backends[i].Kill()
				}
				f.Tell("Gone", s.Backends...)
				return nil
			}, func() error {
				for _, i := range s.Backends {
					if err := f.addBackend(i, true); err != nil {
						return err
					}
					for _, d := range f.Doors {
						if f.Shape.Relayed {
							d.To[i].Lead(f.Backends[i].Addr())
						}
					}
				}
				f.Tell("Ready", s.Backends...)
				return nil
			}
	case Deaf:
		return plain(func(d *Door) { d.Agent.SetDown(true) }), plain(func(d *Door) { d.Agent.SetDown(false) })
	case Unheard:
		return plain(func(d *Door) { d.Watch.Stall(Both) }), plain(func(d *Door) { d.Watch.Heal() })
	case Broken:
		return plain(func(d *Door) { d.Watch.Reset() }), nil
	case Cut, Reset:
		pairs := func(do func(*Relay)) func() error {
			return plain(func(d *Door) {
				for _, i := range s.Backends {
					do(d.To[i])
				}
			})
		}
		if s.Do == Reset {
			return pairs((*Relay).Reset), nil
		}
		return pairs(func(r *Relay) { r.Stall(Both) }), pairs((*Relay).Heal)
	case Emptied:
		return func() error { f.Counter.Lose(); return nil }, nil
	}
	return func() error { return fmt.Errorf("rig: no such act: %q", s.Do) }, nil
}
