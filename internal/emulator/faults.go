package emulator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pumicecroft/decision"
)

// staleConnectionsFor is how long after a zone's loss gateways still send on connections that were
// up, without any answer. After that they open new ones, which don't come up.
const staleConnectionsFor = 2 * time.Second

// holds tells whether the fault is of a kind and holds at a time.
func (f *Fault) holds(kind FaultKind, at time.Duration) bool {
	return f.Kind == kind && at >= f.At && at < f.At+f.Duration
}

// zoneLost tells whether a zone is lost, and since when.
func (r *Region) zoneLost(zone int32, at time.Duration) (lost bool, since time.Duration) {
	for i := range r.config.Faults {
		if fault := &r.config.Faults[i]; fault.holds(ZoneLoss, at) && fault.Zone == int(zone) {
			return true, fault.At
		}
	}
	return false, 0
}

// slowdown is how many times as long a zone's backends take.
func (r *Region) slowdown(zone int32, at time.Duration) float64 {
	factor := 1.0
	for i := range r.config.Faults {
		if fault := &r.config.Faults[i]; fault.holds(ZoneSlow, at) && fault.Zone == int(zone) {
			factor *= fault.Magnitude
		}
	}
	return factor
}

// retryStorm gives the retry storm at a time; nil: there is none.
func (r *Region) retryStorm(at time.Duration) *Fault {
	for i := range r.config.Faults {
		if fault := &r.config.Faults[i]; fault.holds(RetryStorm, at) {
			return fault
		}
	}
	return nil
}

// counterLoss is the share of its calls, and of the usage it sums, that the counter loses at a
// time.
func (r *Region) counterLoss(at time.Duration) float64 {
	kept := 1 - r.config.CounterLoss
	for i := range r.config.Faults {
		if fault := &r.config.Faults[i]; fault.holds(CounterLoss, at) {
			kept *= 1 - min(1, fault.Share)
		}
	}
	return 1 - kept
}

// gatewaysRestart tells whether a fault restarts gateways.
func (r *Region) gatewaysRestart() bool {
	return slices.ContainsFunc(r.config.Faults, func(fault Fault) bool { return fault.Kind == GatewayRestart })
}

// scheduleFaults schedules what faults do to backends and gateways, each step at the shard of its
// actor.
func (r *Region) scheduleFaults() {
	for _, fault := range r.config.Faults {
		switch fault.Kind {
		case Deploy:
			r.scheduleDeploy(fault)
		case GatewayRestart:
			r.scheduleGatewayRestarts(fault)
		}
	}
}

// scheduleDeploy has the backends drain, stop and start in groups, one group after another.
func (r *Region) scheduleDeploy(fault Fault) {
	period := fault.Duration + r.config.Backends.RestartTime
	for i, b := range r.backends {
		at := fault.At + time.Duration(i/int(fault.Magnitude))*period
		b.shard.schedule(at, message{kind: msgFunc, run: b.drain})
		b.shard.schedule(at+fault.Duration, message{kind: msgFunc, run: b.stop})
		b.shard.schedule(at+period, message{kind: msgFunc, run: b.start})
	}
}

// scheduleGatewayRestarts has the gateways stop and start in groups, one group after another.
func (r *Region) scheduleGatewayRestarts(fault Fault) {
	for i, g := range r.gateways {
		at := fault.At + time.Duration(i/int(fault.Magnitude))*fault.Duration
		g.shard.schedule(at, message{kind: msgFunc, run: g.stop})
		g.shard.schedule(at+fault.Duration, message{kind: msgFunc, run: g.restart})
	}
}

// discovery collects what has changed about backends, and tells all gateways at intervals. It is an
// actor of the first shard.
type discovery struct {
	shard   *shard
	changed map[int32]decision.Endpoint // since the last update, by backend
}

// onChange takes a backend's change.
func (d *discovery) onChange(m *message) { d.changed[m.backend] = (*m.endpoints)[0] }

// publish tells the gateways what has changed.
func (d *discovery) publish() {
	s, r := d.shard, d.shard.region
	if len(d.changed) > 0 {
		update := slices.SortedFunc(maps.Values(d.changed), func(a, b decision.Endpoint) int {
			return cmp.Compare(a.ID, b.ID)
		})
		clear(d.changed)
		for _, g := range r.gateways {
			arrival := s.now + r.delay(uint64(g.number), uint64(s.now), delayUpdate)
			s.send(g.shard, arrival, message{kind: msgUpdate, gateway: g.number, endpoints: &update})
		}
	}
	if s.now < r.config.Duration+r.settleTime() {
		s.schedule(s.now+r.config.UpdateInterval, message{kind: msgPublish})
	}
}
