package decision

import (
	"math"
	"slices"
	"time"

	"pumicecroft/internal/endpointindex"
)

func (g *Engine) onEndpointUpdate(ev EndpointUpdate) {
	if ev.Kind == UpdateFailed {
		if g.settings.SubscribeToEndpoints {
			g.emit(Subscribe{})
		}
		return
	}
	if ev.Kind != UpdateDelta {
		for _, b := range g.backends { // sets only: the order reaches no action
			b.State = Removed
			g.index.MarkDirty(&b.entry)
		}
	}
	for _, info := range ev.Endpoints {
		b := g.backends[info.ID]
		if b == nil {
			if info.State == Removed {
				continue
			}
			b = &backend{slowness: 1, overdueAt: g.now, warmupTokensAt: g.now}
			b.entry = endpointindex.Entry[*backend]{Value: b, Rank: g.rng.Uint64(), TieBreaker: uint32(info.ID)}
			g.backends[info.ID] = b
		}
		if info.StartedAt > b.warmingSince && info.StartedAt > 0 {
			b.slowness, b.overdueResponses, b.holdUntil = 1, 0, 0
			g.startWarmup(b, info.StartedAt)
		}
		b.Endpoint = info
		g.index.MarkDirty(&b.entry)
	}
	g.index.Reconcile(g.reconcile)
	g.index.Advance(g.now)
}

// reconcile forgets a backend that is gone and has no attempt out, or has the roster know it as it is. It tells whether no later list need
// look at it again.
func (g *Engine) reconcile(b *backend) bool {
	if b.State == Removed && b.inFlight == 0 {
		g.index.Remove(&b.entry)
		delete(g.backends, b.ID)
		return true
	}
	f := g.pools[b.Protocol]
	if f == nil {
		f = &protocolPool{Group: g.index.NewGroup(), sendRate: minOutcomeSamples}
		g.pools[b.Protocol] = f
	}
	b.entry.Put(&f.Group, b.State == Ready, g.warmupFraction(b) < 1, b.warmingSince)
	return b.State != Removed
}

// warmCapacity is the warmth of a protocol's ready backends together, as it was at the last list or second.
func (g *Engine) warmCapacity(f *protocolPool) float64 {
	cold, ages := f.Warming()
	return float64(f.ReadyLen()) - max(0, 1-g.settings.SlowStartMinCapacity)*(float64(cold)-float64(ages)/max(1, float64(g.settings.SlowStartWindow)))
}

// startWarmup begins a backend's coldness. Its first send is due at a moment of the door's own: where each of many doors has one
// in half a minute, they would else all leave it idle for that long, and then all come at once.
func (g *Engine) startWarmup(b *backend, since time.Duration) {
	b.warmingUp, b.warmingSince, b.warmupTokens, b.warmupTokensAt = true, since, g.rng.Float64(), g.now
}

// takeWarmupToken keeps the sends to a cold backend to its warmth's part of what a warm one is sent, and lets one a
// second through from all doors where nothing is sent. If every door does so, together they stay within its
// present capacity, with the fall multiple as the margin: where many are cold a warm one is sent more, and of that margin
// half is used. What counts is the most that was sent lately, not a second that a jam holds down: else backends that are
// warming stand idle for as long as the warm ones are overloaded. At most one send is saved up, and at a door that has one
// every few seconds or less it is lost if it is not used soon: what many doors have saved up would come all at once.
func (g *Engine) takeWarmupToken(f *protocolPool, b *backend) bool {
	w := g.warmupFraction(b)
	if !b.warmingUp {
		return true
	}
	ready, all := float64(f.ReadyLen()), g.warmCapacity(f)
	warm := max(all, ready*min(1, 2/g.settings.OverloadFactor)) // what is sent is shared by warmth
	sends := max(f.sendRate, ready/float64(g.settings.GatewayCount))
	rate := w * max(sends, f.peakSendRate) / (warm * min(1, f.subsetSize(len(g.requests))/max(all, 1e-6))) // it is in that part of the doors' views
	b.warmupTokens += rate * (g.now - b.warmupTokensAt).Seconds()
	b.warmupTokensAt = g.now
	if turn := rate * max(warmupTokenLifetime.Seconds(), 2/sends); turn >= 1 {
		b.warmupTokens = min(1, b.warmupTokens)
	} else if b.warmupTokens >= 1+turn {
		b.warmupTokens -= math.Floor(b.warmupTokens)
	}
	return b.warmupTokens >= 1
}

// subsetSize is how many backends this door keeps to: of a few that it hears from every few seconds it learns
// which are slow or silent, of a hundred it would not. As each door has its own order of them, all are used
// alike; a cold one counts by its warmth, whether one may be sent there now or not, so that it is in as many doors' share
// as it can bear. A burst after little or nothing goes to as many as it holds requests.
func (f *protocolPool) subsetSize(open int) float64 {
	return max(minSubsetSize, f.sendRate*subsetWindow.Seconds(), float64(open))
}

// selectBackend picks the ready backend where a further attempt should be answered first: least attempts out times
// its slowness, with silent ones costing more.
func (g *Engine) selectBackend(r *request) *backend {
	if r.pool == nil {
		return nil
	}
	var best *backend
	least, seen, most := math.Inf(1), 0.0, r.pool.subsetSize(len(g.requests))
	for b := range r.pool.Ready() {
		if seen >= most && best != nil {
			break
		}
		if g.now < b.holdUntil || !g.eligible(r, b) {
			continue
		}
		owed := g.overdue(b)
		seen += g.warmupFraction(b) * float64(boolToInt(owed <= overdueTolerance))
		if !g.takeWarmupToken(r.pool, b) {
			continue
		}
		quiet := 1 + max(0, owed-overdueTolerance)
		cost := float64(b.inFlight+1) * b.slowness * quiet * (1 + 0.05*g.rng.Float64())
		if b.warmingUp { // the others' queues are in their mean, and it has none
			cost *= g.bestLatency / (g.meanLatency * g.warmupFraction(b))
		}
		if cost < least {
			best, least = b, cost
		}
	}
	return best
}

// eligible is rule 2 and good sense: not where the request was before, and, once it may have run, only inside
// the group that drops its repeats and the time that the group remembers it.
func (g *Engine) eligible(r *request, b *backend) bool {
	if r.pool.Len() > 1 && slices.ContainsFunc(r.attempts, func(t attempt) bool { return t.backend == b }) {
		return false
	}
	t, group := r.executedAttempt(), r.class.DedupScope
	if t == nil || r.class.Idempotency == Idempotent {
		return true
	}
	return r.class.Idempotency == IdempotentByKey && g.now-t.sentAt+g.settings.ResponseGrace < r.class.DedupWindow &&
		(group != DedupScopeZone || t.backend.Zone == b.Zone) && (group != DedupScopeCell || t.backend.Cell == b.Cell)
}

// executedAttempt is the first attempt that may have run, or nil.
func (r *request) executedAttempt() *attempt {
	for i := range r.attempts {
		if t := &r.attempts[i]; t.outstanding || !slices.Contains([]Result{Rejected, ConnectFailed, NotSent}, t.result) {
			return t
		}
	}
	return nil
}
