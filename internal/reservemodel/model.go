// Package reservemodel solves a model of admission control in which N slots are split into a part
// for high-value clients, a part for low-value clients, and a pool for both, with and without
// sub-rating: Cheng, Chen and Chen, Dynamic quota-based admission control with sub-rating in
// multimedia servers, Sects. 3 to 5. It solves the model exactly and by the paper's two
// approximations. The decision engine splits its concurrency limit by Method II (package decision,
// partitionsearch.go, with q = v); this package is used to compare its choices with those of an
// exhaustive search. The package is pure and keeps no state.
//
// The states of the Markov chain are (H, L, SH, SL, D): the clients in the high and in the low part,
// and the high, low, and degraded low clients in the pool. In the paper's Petri net each slot has
// alpha tokens. A degraded client is resumed as soon as tokens are free, so D is above 0 only if the
// pool is full, and is then determined by SH and SL. A split (nh, nm, nl) thus has about
// (nh+1)(nl+1)nm^2 states, and Gauss-Seidel iteration solves all 561 splits of N = 32 in seconds.
package reservemodel

import (
	"fmt"
	"math"
)

// Load is the offered load, in the paper's notation.
type Load struct {
	LambdaH, LambdaL float64 // arrival rates
	Mu               float64 // departure rate of each client
	VH, VL           float64 // reward for each client that is served
	QH, QL           float64 // penalty for each client that is rejected
}

// Split is the number of slots in each part; Pool is shared by both kinds of clients.
type Split struct{ High, Pool, Low int }

// alpha is the number of low clients that are degraded to admit a high one. Each gives up 1/alpha of
// a slot.
const alpha = 2

// Rates are the numbers of clients, and the payoff, per unit of time.
type Rates struct {
	High, Low, Degraded       float64 // clients served
	RejectedHigh, RejectedLow float64
	Payoff                    float64 // equation (1) of the paper
}

// poolState is the pool's part of a state: SH, SL and D.
type poolState struct{ high, low, degraded int }

// Exact solves the model for a split. With subRating, a high client may be admitted to a full pool by
// degrading low clients. It returns an error if the iteration does not converge.
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
	incoming    [][]transition // transitions into each state, by state index
	outRate     []float64      // total rate of the transitions out of each state
	probability []float64      // steady-state probability of each state, once solved
}

// transition is a transition into a state.
type transition struct {
	from int32
	rate float64
}

// newChain returns the chain of a split, with all states and transitions.
func newChain(load Load, split Split, subRating bool) *chain {
	c := &chain{load: load, split: split, subRating: subRating, poolIndex: map[poolState]int32{}}
	addPoolState := func(state poolState) {
		c.poolIndex[state] = int32(len(c.pool))
		c.pool = append(c.pool, state)
	}
	for high := 0; high <= split.Pool; high++ {
		for low := 0; high+low <= split.Pool; low++ {
			addPoolState(poolState{high, low, 0})
		}
	}
	if subRating { // a full pool with degraded clients: alpha SH + alpha SL + D = alpha nm
		for high := 1; high <= split.Pool; high++ {
			for low := 0; high+low < split.Pool; low++ {
				addPoolState(poolState{high, low, alpha * (split.Pool - high - low)})
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

// stateIndex returns the index of the state with these numbers of clients in the high and low parts and
// with this pool state.
func (c *chain) stateIndex(partHigh, partLow int, pool int32) int32 {
	return int32((partHigh*(c.split.Low+1)+partLow)*len(c.pool)) + pool
}

// freeUnits returns the number of free tokens in the pool, where each slot has alpha tokens.
func (c *chain) freeUnits(state poolState) int {
	return alpha*c.split.Pool - alpha*(state.high+state.low) - state.degraded
}

// resume assigns free tokens to degraded clients, which turns them back into full low clients.
func (c *chain) resume(state poolState) poolState {
	for c.freeUnits(state) > 0 && state.degraded > 0 {
		state.degraded--
		state.low++
	}
	return state
}

// addTransitions adds all transitions out of a state.
func (c *chain) addTransitions(partHigh, partLow int, pool int32, state poolState) {
	from := c.stateIndex(partHigh, partLow, pool)
	addTransition := func(partHigh, partLow int, state poolState, rate float64) {
		if rate <= 0 {
			return
		}
		to := c.stateIndex(partHigh, partLow, c.poolIndex[state])
		c.incoming[to] = append(c.incoming[to], transition{from, rate})
		c.outRate[from] += rate
	}
	hasRoom := c.freeUnits(state) >= alpha
	switch {
	case partHigh < c.split.High:
		addTransition(partHigh+1, partLow, state, c.load.LambdaH)
	case hasRoom:
		addTransition(partHigh, partLow, poolState{state.high + 1, state.low, state.degraded}, c.load.LambdaH)
	case c.subRating && state.low >= alpha:
		addTransition(partHigh, partLow, poolState{state.high + 1, state.low - alpha, state.degraded + alpha},
			c.load.LambdaH)
	}
	switch {
	case partLow < c.split.Low:
		addTransition(partHigh, partLow+1, state, c.load.LambdaL)
	case hasRoom:
		addTransition(partHigh, partLow, poolState{state.high, state.low + 1, state.degraded}, c.load.LambdaL)
	}
	if partHigh > 0 {
		addTransition(partHigh-1, partLow, state, float64(partHigh)*c.load.Mu)
	}
	if partLow > 0 {
		addTransition(partHigh, partLow-1, state, float64(partLow)*c.load.Mu)
	}
	if state.high > 0 {
		next := c.resume(poolState{state.high - 1, state.low, state.degraded})
		addTransition(partHigh, partLow, next, float64(state.high)*c.load.Mu)
	}
	if state.low > 0 {
		next := c.resume(poolState{state.high, state.low - 1, state.degraded})
		addTransition(partHigh, partLow, next, float64(state.low)*c.load.Mu)
	}
	if state.degraded > 0 {
		next := c.resume(poolState{state.high, state.low, state.degraded - 1})
		addTransition(partHigh, partLow, next, float64(state.degraded)*c.load.Mu)
	}
}

const (
	maxRounds   = 20_000
	convergence = 1e-10 // change of the probabilities in a round, relative to their sum
)

// solve computes the steady state by Gauss-Seidel iteration, alternating between forward and backward
// sweeps.
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
	return fmt.Errorf("split {High:%d Pool:%d Low:%d} did not converge in %d rounds",
		c.split.High, c.split.Pool, c.split.Low, maxRounds)
}

// update computes a state's probability from those of the states with transitions into it.
func (c *chain) update(i int) {
	inflow := 0.0
	for _, t := range c.incoming[i] {
		inflow += c.probability[t.from] * t.rate
	}
	c.probability[i] = inflow / c.outRate[i]
}

// rates returns the rates of a solved chain.
func (c *chain) rates() (r Rates) {
	for partHigh := 0; partHigh <= c.split.High; partHigh++ {
		for partLow := 0; partLow <= c.split.Low; partLow++ {
			for i, state := range c.pool {
				p := c.probability[c.stateIndex(partHigh, partLow, int32(i))]
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

// Splits returns all splits of n slots.
func Splits(n int) (splits []Split) {
	for high := 0; high <= n; high++ {
		for low := 0; high+low <= n; low++ {
			splits = append(splits, Split{high, n - high - low, low})
		}
	}
	return splits
}

// erlangDistribution returns the steady-state probabilities of 0 to n clients in an Erlang loss system
// with n slots. load is the arrival rate divided by the departure rate.
func erlangDistribution(load float64, n int) []float64 {
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

// Approximate returns the payoff of a split with sub-rating by the paper's Method 1 or 2. Numbers in
// parentheses refer to the paper's equations.
func Approximate(load Load, split Split, method int) float64 {
	mean := func(p []float64) (mean float64) {
		for i := range p {
			mean += float64(i) * p[i]
		}
		return mean
	}
	high, low := erlangDistribution(load.LambdaH/load.Mu, split.High),
		erlangDistribution(load.LambdaL/load.Mu, split.Low)
	total := mean(high)*load.Mu*load.VH + mean(low)*load.Mu*load.VL // (2), (3)
	overflowHigh, overflowLow := load.LambdaH*high[split.High], load.LambdaL*low[split.Low]
	inHigh := erlangDistribution(overflowHigh/load.Mu, split.Pool)
	for i := 0; i <= split.Pool; i++ {
		inLow := erlangDistribution(overflowLow/load.Mu, split.Pool-i)
		for j := range inLow {
			total += inHigh[i] * inLow[j] * load.Mu * (float64(i)*load.VH + float64(j)*load.VL) // (7)
		}
		full := inHigh[i] * inLow[split.Pool-i]
		total -= full * overflowLow * load.QL // (9)
		omega := (split.Pool - i) / alpha
		if method == 1 {
			rate := overflowHigh * full
			sub := erlangDistribution(rate/load.Mu, omega)
			total += mean(sub)*load.Mu*(load.VH-load.VL) - rate*load.QH*sub[omega] // (10), (8)
		} else {
			sub := erlangDistribution(overflowHigh/load.Mu, omega)
			total += full * (mean(sub)*load.Mu*(load.VH-load.VL) - overflowHigh*load.QH*sub[omega]) // (11)
		}
	}
	return total
}
