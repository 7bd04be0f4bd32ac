package decision

import (
	"math"
	"time"
)

// Slow start: a backend whose process has just started has only part of its capacity, which grows
// over Settings.SlowStartWindow. It fails if it is sent more than Settings.OverloadFactor times its
// present capacity for Settings.OverloadDuration. Each gateway limits its own attempts with a token
// bucket for each backend, sized so that all gateways together stay below that.

// warmupTokenLifetime is how long an unused token is kept. It is kept until this gateway has sent
// warmupTokenSends further attempts if that takes longer.
const (
	warmupTokenLifetime = time.Second
	warmupTokenSends    = 2

	// minReadyCapacity replaces a ready capacity of zero, which would be divided by; in backends.
	minReadyCapacity = 1e-6
)

// startWarmup puts a backend into slow start that began at the time since. Each gateway starts with a random
// fraction of a token. If each of many gateways gets one token in half a minute, equal fractions
// would leave the backend idle for that long, and then all gateways would send at once.
func (e *Engine) startWarmup(backend *backend, since time.Duration) {
	backend.warmingUp, backend.warmingSince = true, since
	backend.warmupTokens, backend.warmupTokensAt = e.rng.Float64(), e.now
}

// warmupFraction returns a lower bound of the share, 0 to 1, of its full capacity that a backend has
// now. It also clears warmingUp once slow start is over.
func (e *Engine) warmupFraction(backend *backend) float64 {
	age, window := float64(e.now-backend.warmingSince), float64(e.settings.SlowStartWindow)
	backend.warmingUp = backend.warmingUp && age < window
	if !backend.warmingUp {
		return 1
	}
	least := e.settings.SlowStartMinCapacity
	return min(1, least+(1-least)*max(0, age)/window)
}

// readyCapacity returns the sum of the warm-up fractions of all ready backends of a pool, in slow
// start or not, as of the last update or tick.
func (e *Engine) readyCapacity(pool *protocolPool) float64 {
	count, totalAge := pool.Warming()
	window := max(1, float64(e.settings.SlowStartWindow))
	missing := max(0, 1-e.settings.SlowStartMinCapacity) * (float64(count) - float64(totalAge)/window)
	return float64(pool.ReadyLen()) - missing
}

// hasWarmupToken refills a backend's token bucket, and reports whether it holds a token for an
// attempt now; startAttempt takes it. A backend that is not in slow start always has one.
//
// The refill rate is the backend's warm-up fraction times the rate at which this gateway sends to a
// warm backend. If all gateways together send less than one attempt a second to a warm backend, it
// is calculated as if they sent one. Applied by every gateway, this keeps the total within the
// backend's present capacity, and the overload factor remains as a margin. If many backends are in
// slow start, the warm ones are sent more. The divisor of the rate then does not fall below
// 2/OverloadFactor of the ready backends, so that at most half of that margin is used. The recent
// peak rate is used, not the current one: a rate lowered by an overload would keep backends in slow
// start idle for as long as the warm ones are overloaded.
//
// At most one token is saved. At a gateway that gets a token only every few seconds, the bucket may
// hold up to 1+expiry tokens; then the whole one expires. Otherwise the tokens saved by many gateways
// could be used at the same time.
func (e *Engine) hasWarmupToken(pool *protocolPool, backend *backend) bool {
	fraction := e.warmupFraction(backend)
	if !backend.warmingUp {
		return true
	}
	ready, capacity := float64(pool.ReadyLen()), e.readyCapacity(pool)
	// Attempts are distributed in proportion to the warm-up fractions: a warm backend gets one part in
	// shareDivisor of them.
	shareDivisor := max(capacity, ready*min(1, 2/e.settings.OverloadFactor))
	sends := max(pool.sendRate, ready/float64(e.settings.GatewayCount))
	// The share of the gateways that have this backend in their subset.
	inSubset := min(1, pool.subsetSize(len(e.requests))/max(capacity, minReadyCapacity))
	rate := fraction * max(sends, pool.peakSendRate) / (shareDivisor * inSubset)
	backend.warmupTokens += rate * (e.now - backend.warmupTokensAt).Seconds()
	backend.warmupTokensAt = e.now
	// expiry is the lifetime of a token, as the number of tokens added in that time.
	expiry := rate * max(warmupTokenLifetime.Seconds(), warmupTokenSends/sends)
	if expiry >= 1 {
		backend.warmupTokens = min(1, backend.warmupTokens)
	} else if backend.warmupTokens >= 1+expiry {
		backend.warmupTokens -= math.Floor(backend.warmupTokens)
	}
	return backend.warmupTokens >= 1
}
