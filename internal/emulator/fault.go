package emulator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pumicecroft/decision"
)

// staleConnectionsFor is how long after a zone's loss doors still send on connections that were up: what they send is not heard of again.
// After that they open new ones, which do not come up.
const staleConnectionsFor = 2 * time.Second

func (f *Fault) holds(kind FaultKind, at time.Duration) bool {
	return f.Kind == kind && at >= f.At && at < f.At+f.Duration
}

// zoneLost tells whether a zone is lost, and since when.
func (r *Region) zoneLost(zone int32, at time.Duration) (lost bool, since time.Duration) {
	for i := range r.config.Faults {
		if f := &r.config.Faults[i]; f.holds(ZoneLoss, at) && f.Zone == int(zone) {
			return true, f.At
		}
	}
	return false, 0
}

// slowdown is by how much a zone is slower.
func (r *Region) slowdown(zone int32, at time.Duration) float64 {
	by := 1.0
	for i := range r.config.Faults {
		if f := &r.config.Faults[i]; f.holds(ZoneSlow, at) && f.Zone == int(zone) {
			by *= f.Magnitude
		}
	}
	return by
}

// retryStorm is the retry storm at a time, or nil.
func (r *Region) retryStorm(at time.Duration) *Fault {
	for i := range r.config.Faults {
		if f := &r.config.Faults[i]; f.holds(RetryStorm, at) {
			return f
		}
	}
	return nil
}

// counterLoss is the share of its counts that the counter loses at a time.
func (r *Region) counterLoss(at time.Duration) float64 {
	kept := 1 - r.config.CounterLoss
	for i := range r.config.Faults {
		if f := &r.config.Faults[i]; f.holds(CounterLoss, at) {
			kept *= 1 - min(1, f.Share)
		}
	}
	return 1 - kept
}

// gatewaysRestart tells whether doors restart.
func (r *Region) gatewaysRestart() bool {
	return slices.ContainsFunc(r.config.Faults, func(f Fault) bool { return f.Kind == GatewayRestart })
}

// scheduleFaults plans what happens to backends and doors by themselves: each turn at the actor's own shard.
func (r *Region) scheduleFaults() {
	for _, f := range r.config.Faults {
		switch f.Kind {
		case Deploy:
			each := f.Duration + r.config.Backends.RestartTime
			for i, b := range r.backends {
				at := f.At + time.Duration(i/int(f.Magnitude))*each
				b.shard.schedule(at, message{kind: msgFunc, run: b.drain})
				b.shard.schedule(at+f.Duration, message{kind: msgFunc, run: b.stop})
				b.shard.schedule(at+each, message{kind: msgFunc, run: b.start})
			}
		case GatewayRestart:
			for i, d := range r.gateways {
				at := f.At + time.Duration(i/int(f.Magnitude))*f.Duration
				d.shard.schedule(at, message{kind: msgFunc, run: d.stop})
				d.shard.schedule(at+f.Duration, message{kind: msgFunc, run: d.restart})
			}
		}
	}
}

// restart starts a door's process, if none runs.
func (d *gateway) restart() {
	if !d.up {
		_ = d.boot(d.endpoints) // the settings were good at first
	}
}

// discovery hears of backends, and tells all doors every while.
type discovery struct {
	shard   *shard
	changed map[int32]decision.Endpoint
}

func (y *discovery) onChange(m *message) { y.changed[m.backend] = (*m.endpoints)[0] }

func (y *discovery) publish() {
	s := y.shard
	r := s.region
	if len(y.changed) > 0 {
		list := slices.SortedFunc(maps.Values(y.changed), func(a, b decision.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
		clear(y.changed)
		for _, d := range r.gateways {
			s.send(d.shard, s.now+r.delay(uint64(d.number), uint64(s.now), 6), message{kind: msgUpdate, gateway: d.number, endpoints: &list})
		}
	}
	if s.now < r.config.Duration+r.settleTime() {
		s.schedule(s.now+r.config.UpdateInterval, message{kind: msgPublish})
	}
}
