package sim

import (
	"slices"
	"time"

	"pumicecroft/internal/simdisk"
)

// startFault starts a fault and schedules its end. The numbers of gateways and backends are taken
// modulo their count, because a script may come from a run of another size.
func (r *runner) startFault(fault Fault) {
	r.tracef("fault: %v", fault)
	switch fault.Kind.target() {
	case targetGateway:
		fault.Target %= len(r.gateways)
		r.startGatewayFault(fault, r.gateways[fault.Target])
	case targetBackend:
		fault.Target %= len(r.backends)
		r.startBackendFault(fault, r.backends[fault.Target])
	default:
		r.startClientFault(fault)
	}
}

// scheduleEnd schedules restore at the end of a fault's duration.
func (r *runner) scheduleEnd(fault Fault, restore func()) {
	r.scheduleAfter(fault.Duration, func() {
		r.tracef("over: %v", fault)
		restore()
	})
}

// shutdownGraces are the grace periods of open requests during the shutdown of a gateway, by the
// fault's variant.
var shutdownGraces = [...]time.Duration{0, 300 * time.Millisecond, 3 * time.Second}

// startGatewayFault starts a fault of a gateway's process, its host, or its endpoint sources.
func (r *runner) startGatewayFault(fault Fault, g *gateway) {
	switch fault.Kind {
	case PauseGateway:
		g.pause(fault.Duration)
	case KillGateway:
		r.killGateway(fault)
	case KillAtAttemptStart:
		g.killPoints[atAttemptStart] = func() { r.killGateway(fault) }
	case KillAtAttemptEnd:
		g.killPoints[atAttemptEnd] = func() { r.killGateway(fault) }
	case ShutdownGateway:
		g.shutdown(shutdownGraces[fault.Variant%len(shutdownGraces)], func() { r.startProcessLater(g, fault.Duration) })
	case NoDescriptors:
		g.maxDescriptors = fault.Variant % 3
		r.scheduleEnd(fault, func() { g.maxDescriptors = r.config.maxDescriptors })
	case DiscoveryLag:
		g.discoveryLag = fault.Duration
		r.scheduleEnd(fault, func() { g.discoveryLag = 0 })
	case CatalogUnreachable:
		r.agent.startFailure(g, fault.Variant)
		r.scheduleEnd(fault, func() { delete(r.agent.failures, g) })
	case UsageLoss:
		g.usageHidden = true
		r.scheduleEnd(fault, func() { g.usageHidden = false })
	case DiskFault:
		r.startDiskFault(fault, &g.journal)
	}
}

// startDiskFault makes a gateway's disk return errors, run full, or be slow.
func (r *runner) startDiskFault(fault Fault, keyJournal *gatewayJournal) {
	if keyJournal.disk == nil {
		return
	}
	switch fault.Variant % 3 {
	case 0:
		keyJournal.injectedErr = simdisk.ErrIO
	case 1:
		keyJournal.disk.Capacity = keyJournal.disk.Bytes() + fault.Variant*100
	default:
		keyJournal.maxLatency = 2 * fault.Duration
	}
	r.scheduleEnd(fault, func() {
		keyJournal.injectedErr, keyJournal.disk.Capacity, keyJournal.maxLatency = nil, 0, 0
	})
}

// maxCatalogLoss bounds the duration of a loss of most entries: gateways treat nodes that are missing
// for longer as removed.
const maxCatalogLoss = 1200 * time.Millisecond

// startBackendFault starts a fault of a backend, of connections to it, or of what the endpoint sources
// report about backends.
func (r *runner) startBackendFault(fault Fault, b *backend) {
	switch fault.Kind {
	case DrainBackend:
		b.drainFaults++
		r.publishBackend(b)
		r.scheduleEnd(fault, func() {
			b.drainFaults--
			r.publishBackend(b)
		})
	case RestartBackend, MoveBackend:
		r.restartBackend(fault, b)
	case DeregisterBackend:
		r.deregisterBackends(fault, b)
	case Partition:
		g := r.gateways[fault.Variant%len(r.gateways)]
		g.partitionedUntil[b] = max(g.partitionedUntil[b], r.now+fault.Duration)
	case CatalogLoss:
		if fault.Variant%4 == 0 {
			fault.Duration = min(fault.Duration, maxCatalogLoss)
		}
		r.scheduleEnd(fault, r.agent.startLoss(fault.Variant))
	default:
		b.faultShares[fault.Kind] = fault.Share
		r.scheduleEnd(fault, func() { b.faultShares[fault.Kind] = 0 })
	}
}

// startClientFault starts a fault of a customer's clients, or of the shared usage counter.
func (r *runner) startClientFault(fault Fault) {
	customer := fault.Target
	switch fault.Kind {
	case Flood:
		r.flooding[customer] = true
		r.scheduleEnd(fault, func() { r.flooding[customer] = false })
	case ClientDisconnects:
		r.disconnectShare[customer] = fault.Share
		r.scheduleEnd(fault, func() { r.disconnectShare[customer] = 0 })
	case DuplicateRequests:
		r.duplicateShare[customer] = fault.Share
		r.scheduleEnd(fault, func() { r.duplicateShare[customer] = 0 })
	case ReusedIDs:
		r.reuseShare[customer] = fault.Share
		r.scheduleEnd(fault, func() { r.reuseShare[customer] = 0 })
	case CounterLoss:
		r.counterLoss = fault.Share
		for _, meter := range r.usageMeters {
			meter.current, meter.last = meter.current*(1-fault.Share), meter.last*(1-fault.Share)
		}
		r.scheduleEnd(fault, func() { r.counterLoss = 0 })
	}
}

// restartBackend stops a backend's process and starts a new one at the end of the fault, at a new
// address if the fault is MoveBackend.
func (r *runner) restartBackend(fault Fault, b *backend) {
	if !b.up || !b.listed {
		return
	}
	b.stopProcess()
	r.publishBackend(b)
	r.scheduleEnd(fault, func() {
		if fault.Kind == MoveBackend {
			delete(r.backendsByAddr, b.addr())
			b.addrChanges++
			r.backendsByAddr[b.addr()] = b
		}
		b.startProcess()
		r.publishBackend(b)
	})
}

// deregisterBackends removes a backend from all sources while its process keeps running, and adds it
// again at the end of the fault as a new process. One variant in six removes all backends but one,
// which gateways cannot tell from a failure of the source.
func (r *runner) deregisterBackends(fault Fault, b *backend) {
	if !b.up || !b.listed {
		return
	}
	removed := []*backend{b}
	if fault.Variant%6 == 0 {
		kept := (fault.Target + 1) % len(r.backends)
		removed = slices.DeleteFunc(slices.Clone(r.backends), func(other *backend) bool {
			return other.number == kept || !other.up || !other.listed
		})
	}
	for _, b := range removed {
		b.listed = false
		r.publishBackend(b)
	}
	r.scheduleEnd(fault, func() {
		for _, b := range removed {
			b.stopProcess()
			b.startProcess()
			b.listed, b.listedAt = true, r.now
			b.createIndex = r.agent.index + 1
			r.publishBackend(b)
		}
		// A catalog loss right after this would look like part of the same loss to a gateway that has
		// not yet learned of their return.
		r.agent.restoredAt = r.now
	})
}

// killGateway kills a gateway's process, and in half of the variants crashes its host too. A new
// process starts at the end of the fault.
func (r *runner) killGateway(fault Fault) {
	g := r.gateways[fault.Target]
	if !g.up {
		return
	}
	r.tracef("door %d is killed", fault.Target)
	r.resendUnanswered(g, fault.Duration)
	g.kill()
	if fault.Variant%2 == 1 {
		g.crashHost()
	}
	r.startProcessLater(g, fault.Duration)
}

// startProcessLater starts a gateway's next process after a delay, unless one is running by then.
func (r *runner) startProcessLater(g *gateway, after time.Duration) {
	r.scheduleAfter(after, func() {
		if !g.up {
			r.tracef("door %d is back", g.number)
			g.startProcess()
		}
	})
}

// resendUnanswered makes clients whose requests are lost with a gateway's process send them again, with
// the same key, to the next process, which may know the keys from the journal. Only gateways with a
// journal and classes that are not idempotent are affected.
func (r *runner) resendUnanswered(g *gateway, after time.Duration) {
	if g.journal.log == nil {
		return
	}
	for _, request := range r.check.unanswered {
		ofProcess := request.gateway == g && request.gatewayEpoch == g.epoch
		if !ofProcess || request.finalCount > 0 || request.idempotent() {
			continue
		}
		duplicate := request.newDuplicate()
		duplicate.fingerprint = request.fingerprint
		request.keyReused = true
		delay := after + randDuration(r.newRand(24, uint64(request.number)), 0, time.Second)
		r.scheduleAfter(delay, func() {
			if !r.clientsStopped {
				r.submit(duplicate, g.number, len(r.gateways))
			}
		})
	}
}
