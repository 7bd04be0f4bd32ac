// Package reservemodel solves a model of admission in which N slots are split into a part for
// clients of high value, one for those of low value, and a pool for both, with and without
// sub-rating: Cheng, Chen and Chen, Dynamic quota-based admission control with sub-rating in
// multimedia servers, Sects. 3 to 5. It solves the model exactly and by the paper's two
// approximations. The decision engine splits its concurrency limit by Method II (package decision,
// partitionsearch.go, with q = v); here its choices are compared with exhaustive search. The
// package is pure and keeps no state.
//
// The Markov chain's states are (H, L, SH, SL, D): clients in the high and low parts, and in the
// pool high, low, and degraded low ones. The paper's Petri net has alpha tokens a slot. Degraded
// clients are resumed at once where tokens are free, so D is above 0 only in a full pool, where SH
// and SL determine it. A split (nh, nm, nl) thus has some (nh+1)(nl+1)nm^2 states, and Gauss-Seidel
// solves all 561 splits of N = 32 in seconds.
package reservemodel

import (
	"fmt"
	"math"
)

// Load is what clients ask for, in the paper's notation.
type Load struct {
	LambdaH, LambdaL float64 // rates of arrival
	Mu               float64 // rate of departure of each client
	VH, VL           float64 // reward for each client that is served
	QH, QL           float64 // penalty for each client that is rejected
}

// Split is how many slots each part has; Pool is the part for both.
type Split struct{ High, Pool, Low int }

// alpha is how many low clients are degraded for a high one. Each gives up 1/alpha of a slot.
const alpha = 2

// Rates are clients, and the payoff, in a unit of time.
type Rates struct {
	High, Low, Degraded       float64 // served
	RejectedHigh, RejectedLow float64
	Payoff                    float64 // the paper's (1)
}

// poolState is the pool's part of a state: SH, SL and D.
type poolState struct{ high, low, degraded int }

// Exact solves a split. With subRating high clients may take slots of low ones that are degraded.
// Its error is that the solution did not converge.
func Exact(load Load, split Split, subRating bool) (Rates, error) {
	c := newChain(load, split, subRating)
	if err := c.solve(); err != nil {
		return Rates{}, err
	}
	return c.rates(), nil
}

// chain is the Markov chain of a split.
type chain struct {
	load        Load
	split       Split
	subRating   bool
	pool        []poolState
	poolIndex   map[poolState]int32
	incoming    [][]transition // into each state, by index
	outRate     []float64      // out of each state
	probability []float64      // of each state, once solved
}

// transition is a way into a state.
type transition struct {
	from int32
	rate float64
}

// newChain makes all states and transitions of a split.
func newChain(load Load, split Split, subRating bool) *chain {
	c := &chain{load: load, split: split, subRating: subRating, poolIndex: map[poolState]int32{}}
	add := func(state poolState) {
		c.poolIndex[state] = int32(len(c.pool))
		c.pool = append(c.pool, state)
	}
	for high := 0; high <= split.Pool; high++ {
		for low := 0; high+low <= split.Pool; low++ {
			add(poolState{high, low, 0})
		}
	}
	if subRating { // a full pool with degraded clients: alpha SH + alpha SL + D = alpha nm
		for high := 1; high <= split.Pool; high++ {
			for low := 0; high+low < split.Pool; low++ {
				add(poolState{high, low, alpha * (split.Pool - high - low)})
			}
		}
	}
	n := (split.High + 1) * (split.Low + 1) * len(c.pool)
	c.incoming, c.outRate, c.probability = make([][]transition, n), make([]float64, n), make([]float64, n)
	for partHigh := 0; partHigh <= split.High; partHigh++ {
		for partLow := 0; partLow <= split.Low; partLow++ {
			for i, state := range c.pool {
				c.addTransitions(partHigh, partLow, int32(i), state)
			}
		}
	}
	return c
}

// index is a state's.
func (c *chain) index(partHigh, partLow int, pool int32) int32 {
	return int32((partHigh*(c.split.Low+1)+partLow)*len(c.pool)) + pool
}

// freeUnits is how many tokens of the pool are free, of alpha a slot.
func (c *chain) freeUnits(state poolState) int {
	return alpha*c.split.Pool - alpha*(state.high+state.low) - state.degraded
}

// resume gives the free tokens to degraded clients, which then are low ones again.
func (c *chain) resume(state poolState) poolState {
	for c.freeUnits(state) > 0 && state.degraded > 0 {
		state.degraded--
		state.low++
	}
	return state
}

// addTransitions adds all ways out of a state.
func (c *chain) addTransitions(partHigh, partLow int, pool int32, state poolState) {
	from := c.index(partHigh, partLow, pool)
	to := func(partHigh, partLow int, state poolState, rate float64) {
		if rate <= 0 {
			return
		}
		at := c.index(partHigh, partLow, c.poolIndex[state])
		c.incoming[at] = append(c.incoming[at], transition{from, rate})
		c.outRate[from] += rate
	}
	hasRoom := c.freeUnits(state) >= alpha
	switch {
	case partHigh < c.split.High:
		to(partHigh+1, partLow, state, c.load.LambdaH)
	case hasRoom:
		to(partHigh, partLow, poolState{state.high + 1, state.low, state.degraded}, c.load.LambdaH)
	case c.subRating && state.low >= alpha:
		to(partHigh, partLow, poolState{state.high + 1, state.low - alpha, state.degraded + alpha}, c.load.LambdaH)
	}
	switch {
	case partLow < c.split.Low:
		to(partHigh, partLow+1, state, c.load.LambdaL)
	case hasRoom:
		to(partHigh, partLow, poolState{state.high, state.low + 1, state.degraded}, c.load.LambdaL)
	}
	if partHigh > 0 {
		to(partHigh-1, partLow, state, float64(partHigh)*c.load.Mu)
	}
	if partLow > 0 {
		to(partHigh, partLow-1, state, float64(partLow)*c.load.Mu)
	}
	if state.high > 0 {
		next := c.resume(poolState{state.high - 1, state.low, state.degraded})
		to(partHigh, partLow, next, float64(state.high)*c.load.Mu)
	}
	if state.low > 0 {
		next := c.resume(poolState{state.high, state.low - 1, state.degraded})
		to(partHigh, partLow, next, float64(state.low)*c.load.Mu)
	}
	if state.degraded > 0 {
		next := c.resume(poolState{state.high, state.low, state.degraded - 1})
		to(partHigh, partLow, next, float64(state.degraded)*c.load.Mu)
	}
}

const (
	maxRounds   = 20_000
	convergence = 1e-10 // change of the probabilities in a round, relative to their sum
)

// solve finds the steady state by Gauss-Seidel, in both directions in turn.
func (c *chain) solve() error {
	n := len(c.probability)
	for i := range c.probability {
		c.probability[i] = 1 / float64(n)
	}
	if n == 1 { // without slots there are no transitions
		return nil
	}
	for round := range maxRounds {
		change, sum := 0.0, 0.0
		for i := range n {
			if round%2 == 1 {
				i = n - 1 - i
			}
			before := c.probability[i]
			c.update(i)
			change += math.Abs(c.probability[i] - before)
			sum += c.probability[i]
		}
		for i := range c.probability {
			c.probability[i] /= sum
		}
		if change/sum < convergence {
			return nil
		}
	}
	return fmt.Errorf("split {High:%d Pool:%d Low:%d} did not settle in %d rounds",
		c.split.High, c.split.Pool, c.split.Low, maxRounds)
}

// update computes a state's probability from those of the states before it.
func (c *chain) update(i int) {
	in := 0.0
	for _, t := range c.incoming[i] {
		in += c.probability[t.from] * t.rate
	}
	c.probability[i] = in / c.outRate[i]
}

// rates gives the rates of a solved chain.
func (c *chain) rates() (r Rates) {
	for partHigh := 0; partHigh <= c.split.High; partHigh++ {
		for partLow := 0; partLow <= c.split.Low; partLow++ {
			for i, state := range c.pool {
				p := c.probability[c.index(partHigh, partLow, int32(i))]
				r.High += p * float64(partHigh+state.high) * c.load.Mu
				r.Low += p * float64(partLow+state.low) * c.load.Mu
				r.Degraded += p * float64(state.degraded) * c.load.Mu
				hasRoom := c.freeUnits(state) >= alpha
				if partHigh == c.split.High && !hasRoom && (!c.subRating || state.low < alpha) {
					r.RejectedHigh += p * c.load.LambdaH
				}
				if partLow == c.split.Low && !hasRoom {
					r.RejectedLow += p * c.load.LambdaL
				}
			}
		}
	}
	load := c.load
	rewards := r.High*load.VH + r.Low*load.VL + r.Degraded*load.VL*(alpha-1)/alpha
	r.Payoff = rewards - r.RejectedHigh*load.QH - r.RejectedLow*load.QL
	return r
}

// Splits gives all splits of n slots.
func Splits(n int) (splits []Split) {
	for high := 0; high <= n; high++ {
		for low := 0; high+low <= n; low++ {
			splits = append(splits, Split{high, n - high - low, low})
		}
	}
	return splits
}

// erlang gives the probabilities of 0 to n clients in a loss system of n slots under a load.
func erlang(load float64, n int) []float64 {
	p, sum := make([]float64, n+1), 0.0
	p[0] = 1
	for i := range p {
		if i > 0 {
			p[i] = p[i-1] * load / float64(i)
		}
		sum += p[i]
	}
	for i := range p {
		p[i] /= sum
	}
	return p
}

// Approximate is the payoff of a split by the paper's Method 1 or 2. Numbers in parentheses are the
// paper's equations.
func Approximate(load Load, split Split, method int) float64 {
	mean := func(p []float64) (mean float64) {
		for i := range p {
			mean += float64(i) * p[i]
		}
		return mean
	}
	high, low := erlang(load.LambdaH/load.Mu, split.High), erlang(load.LambdaL/load.Mu, split.Low)
	total := mean(high)*load.Mu*load.VH + mean(low)*load.Mu*load.VL // (2), (3)
	overflowHigh, overflowLow := load.LambdaH*high[split.High], load.LambdaL*low[split.Low]
	inHigh := erlang(overflowHigh/load.Mu, split.Pool)
	for i := 0; i <= split.Pool; i++ {
		inLow := erlang(overflowLow/load.Mu, split.Pool-i)
		for j := range inLow {
			total += inHigh[i] * inLow[j] * load.Mu * (float64(i)*load.VH + float64(j)*load.VL) // (7)
		}
		full := inHigh[i] * inLow[split.Pool-i]
		total -= full * overflowLow * load.QL // (9)
		omega := (split.Pool - i) / alpha
		if method == 1 {
			rate := overflowHigh * full
			sub := erlang(rate/load.Mu, omega)
			total += mean(sub)*load.Mu*(load.VH-load.VL) - rate*load.QH*sub[omega] // (10), (8)
		} else {
			sub := erlang(overflowHigh/load.Mu, omega)
			total += full * (mean(sub)*load.Mu*(load.VH-load.VL) - overflowHigh*load.QH*sub[omega]) // (11)
		}
	}
	return total
}
