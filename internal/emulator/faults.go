package emulator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pumicecroft/decision"
)

// staleConnectionsFor is how long after the loss of a zone gateways still use connections from before
// it and get no response. After that they open new connections, which fail.
const staleConnectionsFor = 2 * time.Second

// holds reports whether the fault is of a kind and active at a time.
func (f *Fault) holds(kind FaultKind, at time.Duration) bool {
	return f.Kind == kind && at >= f.At && at < f.At+f.Duration
}

// zoneLost reports whether a zone is lost at a time, and since when.
func (r *Region) zoneLost(zone int32, at time.Duration) (lost bool, since time.Duration) {
	for i := range r.config.Faults {
		if fault := &r.config.Faults[i]; fault.holds(ZoneLoss, at) && fault.Zone == int(zone) {
			return true, fault.At
		}
	}
	return false, 0
}

// slowdown returns the factor by which faults multiply the service times of a zone's backends.
func (r *Region) slowdown(zone int32, at time.Duration) float64 {
	factor := 1.0
	for i := range r.config.Faults {
		if fault := &r.config.Faults[i]; fault.holds(ZoneSlow, at) && fault.Zone == int(zone) {
			factor *= fault.Magnitude
		}
	}
	return factor
}

// retryStorm returns the retry storm at a time, or nil.
func (r *Region) retryStorm(at time.Duration) *Fault {
	for i := range r.config.Faults {
		if fault := &r.config.Faults[i]; fault.holds(RetryStorm, at) {
			return fault
		}
	}
	return nil
}

// counterLoss returns the share of counter calls and of reported usage that is lost at a time.
func (r *Region) counterLoss(at time.Duration) float64 {
	kept := 1 - r.config.CounterLoss
	for i := range r.config.Faults {
		if fault := &r.config.Faults[i]; fault.holds(CounterLoss, at) {
			kept *= 1 - min(1, fault.Share)
		}
	}
	return 1 - kept
}

// gatewaysRestart reports whether any fault restarts gateways.
func (r *Region) gatewaysRestart() bool {
	return slices.ContainsFunc(r.config.Faults, func(fault Fault) bool { return fault.Kind == GatewayRestart })
}

// scheduleFaults schedules the drains, stops and starts that faults cause, each at the shard of its
// backend or gateway. Other kinds of faults are looked up when they matter.
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

// scheduleDeploy schedules that the backends drain, stop and start in groups, one group after
// another.
func (r *Region) scheduleDeploy(fault Fault) {
	period := fault.Duration + r.config.Backends.RestartTime
	for i, b := range r.backends {
		at := fault.At + time.Duration(i/int(fault.Magnitude))*period
		b.shard.schedule(at, message{kind: msgFunc, run: b.drain})
		b.shard.schedule(at+fault.Duration, message{kind: msgFunc, run: b.stop})
		b.shard.schedule(at+period, message{kind: msgFunc, run: b.start})
	}
}

// scheduleGatewayRestarts schedules that the gateways stop and start in groups, one group after
// another.
func (r *Region) scheduleGatewayRestarts(fault Fault) {
	for i, g := range r.gateways {
		at := fault.At + time.Duration(i/int(fault.Magnitude))*fault.Duration
		g.shard.schedule(at, message{kind: msgFunc, run: g.killProcess})
		g.shard.schedule(at+fault.Duration, message{kind: msgFunc, run: g.startProcessIfDown})
	}
}

// discovery collects changes of backends' endpoints and sends them to all gateways at intervals. It
// is an actor of the first shard.
type discovery struct {
	shard   *shard
	changed map[int32]decision.Endpoint // changes since the last update, by backend
}

// onChange records the changed endpoint of a backend.
func (d *discovery) onChange(m *message) { d.changed[m.backend] = (*m.endpoints)[0] }

// publish sends the changes since the last update to all gateways, and schedules the next update.
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
