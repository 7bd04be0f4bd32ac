package decision

import (
	"math"
	"time"
)

// A backend whose process has just started has a part of its capacity only, which grows over
// Settings.SlowStartWindow. Sent more than Settings.OverloadFactor times that for
// Settings.OverloadDuration it fails. Each gateway limits what it sends by itself so that all of
// them together stay below: a token bucket of attempts.

// warmupTokenLifetime is how long an attempt that is due is kept, or for the next warmupTokenSends
// attempts that this gateway sends, if that is longer.
const (
	warmupTokenLifetime = time.Second
	warmupTokenSends    = 2

	// minWarmCapacity stands in for a warm capacity of zero where it divides, in backends.
	minWarmCapacity = 1e-6
)

// startWarmup puts a backend into slow start as of since. Each gateway begins with a random
// fraction of one token: where each of many has one in half a minute, with equal fractions all
// would leave the backend idle for that long, and then all send at once.
func (e *Engine) startWarmup(backend *backend, since time.Duration) {
	backend.warmingUp, backend.warmingSince = true, since
	backend.warmupTokens, backend.warmupTokensAt = e.rng.Float64(), e.now
}

// warmupFraction returns the least share of its capacity, 0 to 1, that a backend has by now. It also
// ends slow start when that is over.
func (e *Engine) warmupFraction(backend *backend) float64 {
	age, window := float64(e.now-backend.warmingSince), float64(e.settings.SlowStartWindow)
	backend.warmingUp = backend.warmingUp && age < window
	if !backend.warmingUp {
		return 1
	}
	least := e.settings.SlowStartMinCapacity
	return min(1, least+(1-least)*max(0, age)/window)
}

// warmCapacity is the sum of the warm-up fractions of a pool's ready backends, as of the last
// update or tick.
func (e *Engine) warmCapacity(pool *protocolPool) float64 {
	count, ages := pool.Warming()
	window := max(1, float64(e.settings.SlowStartWindow))
	missing := max(0, 1-e.settings.SlowStartMinCapacity) * (float64(count) - float64(ages)/window)
	return float64(pool.ReadyLen()) - missing
}

// hasWarmupToken refills a backend's tokens, and reports whether there is one for an attempt now;
// startAttempt takes it. A backend that is not warming up always has one.
//
// Tokens come at the backend's warm-up fraction of the rate at which this gateway sends to a warm
// one, or at which all gateways together send one attempt a second, if that is more. If every
// gateway does so, they stay within the backend's present capacity together, with the overload
// factor as the margin; where many backends are warming up a warm one is sent more, and half of
// that margin is used. The rate is the highest of late: by a second that a jam holds down, backends
// that are warming up would stand idle for as long as the warm ones are overloaded.
//
// At most one token is saved up. At a gateway that has one every few seconds or less it expires if
// it is not used soon: what many gateways have saved up would come at once.
func (e *Engine) hasWarmupToken(pool *protocolPool, backend *backend) bool {
	fraction := e.warmupFraction(backend)
	if !backend.warmingUp {
		return true
	}
	ready, capacity := float64(pool.ReadyLen()), e.warmCapacity(pool)
	// What is sent is shared by warm-up fractions.
	warm := max(capacity, ready*min(1, 2/e.settings.OverloadFactor))
	sends := max(pool.sendRate, ready/float64(e.settings.GatewayCount))
	// It is in the subsets of this share of the gateways.
	inSubset := min(1, pool.subsetSize(len(e.requests))/max(capacity, minWarmCapacity))
	rate := fraction * max(sends, pool.peakSendRate) / (warm * inSubset)
	backend.warmupTokens += rate * (e.now - backend.warmupTokensAt).Seconds()
	backend.warmupTokensAt = e.now
	// expiry is how many tokens come in the time that one is kept for.
	expiry := rate * max(warmupTokenLifetime.Seconds(), warmupTokenSends/sends)
	if expiry >= 1 {
		backend.warmupTokens = min(1, backend.warmupTokens)
	} else if backend.warmupTokens >= 1+expiry {
		backend.warmupTokens -= math.Floor(backend.warmupTokens)
	}
	return backend.warmupTokens >= 1
}
