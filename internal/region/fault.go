package region

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pumicecroft/decision"
)

// keptFor is how long after a zone's loss doors still send on connections that were up: what they send is not heard of again.
// After that they open new ones, which do not come up.
const keptFor = 2 * time.Second

func (f *Fault) holds(kind FaultKind, at time.Duration) bool {
	return f.Kind == kind && at >= f.At && at < f.At+f.For
}

// lost tells whether a zone is lost, and since when.
func (r *Region) lost(zone int32, at time.Duration) (lost bool, since time.Duration) {
	for i := range r.c.Faults {
		if f := &r.c.Faults[i]; f.holds(ZoneLoss, at) && f.Zone == int(zone) {
			return true, f.At
		}
	}
	return false, 0
}

// slowed is by how much a zone is slower.
func (r *Region) slowed(zone int32, at time.Duration) float64 {
	by := 1.0
	for i := range r.c.Faults {
		if f := &r.c.Faults[i]; f.holds(ZoneSlow, at) && f.Zone == int(zone) {
			by *= f.By
		}
	}
	return by
}

// storm is the retry storm at a time, or nil.
func (r *Region) storm(at time.Duration) *Fault {
	for i := range r.c.Faults {
		if f := &r.c.Faults[i]; f.holds(RetryStorm, at) {
			return f
		}
	}
	return nil
}

// lostCounts is the share of its counts that the counter loses at a time.
func (r *Region) lostCounts(at time.Duration) float64 {
	kept := 1 - r.c.Loses
	for i := range r.c.Faults {
		if f := &r.c.Faults[i]; f.holds(CounterLoss, at) {
			kept *= 1 - min(1, f.Share)
		}
	}
	return 1 - kept
}

// restarts tells whether doors restart.
func (r *Region) restarts() bool {
	return slices.ContainsFunc(r.c.Faults, func(f Fault) bool { return f.Kind == DoorRestart })
}

// befall plans what happens to backends and doors by themselves: each turn at the actor's own shard.
func (r *Region) befall() {
	for _, f := range r.c.Faults {
		switch f.Kind {
		case Deploy:
			each := f.For + r.c.Backends.Restart
			for i, b := range r.backends {
				at := f.At + time.Duration(i/int(f.By))*each
				b.shard.later(at, message{what: turn, do: b.drain})
				b.shard.later(at+f.For, message{what: turn, do: b.die})
				b.shard.later(at+each, message{what: turn, do: b.start})
			}
		case DoorRestart:
			for i, d := range r.doors {
				at := f.At + time.Duration(i/int(f.By))*f.For
				d.shard.later(at, message{what: turn, do: d.die})
				d.shard.later(at+f.For, message{what: turn, do: d.again})
			}
		}
	}
}

// again starts a door's process, if none runs.
func (d *door) again() {
	if !d.up {
		_ = d.boot(d.list) // the settings were good at first
	}
}

// discovery hears of backends, and tells all doors every while.
type discovery struct {
	shard   *shard
	changed map[int32]decision.BackendInfo
}

func (y *discovery) hear(m *message) { y.changed[m.backend] = (*m.list)[0] }

func (y *discovery) publish() {
	s := y.shard
	r := s.r
	if len(y.changed) > 0 {
		list := slices.SortedFunc(maps.Values(y.changed), func(a, b decision.BackendInfo) int { return cmp.Compare(a.ID, b.ID) })
		clear(y.changed)
		for _, d := range r.doors {
			s.post(d.shard, s.now+r.way(uint64(d.number), uint64(s.now), 6), message{what: news, door: d.number, list: &list})
		}
	}
	if s.now < r.c.Length+r.rest() {
		s.later(s.now+r.c.Lists, message{what: publish})
	}
}
