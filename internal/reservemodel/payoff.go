// Package reservemodel solves the paper's model of admission by three parts of N slots (high, pool, low), with and without sub-rating, exactly, and by
// its two approximations: Cheng, Chen and Chen, Dynamic quota-based admission control with sub-rating in multimedia servers, Sects. 3 to
// 5. The decision module re-splits by Method II (decision/reserves.go, payoff, with q = v); here its choices are held against exhaustive search. It is pure.
//
// The chain's states are (H, L, SH, SL, D): clients in the high and low parts, and in the pool high, low, and degraded low ones. The
// paper's Petri net has alpha tokens a slot; as degraded clients are resumed at once where tokens are free, D is above 0 only in a full pool,
// and there SH and SL tell it. So a split (nh, nm, nl) has some (nh+1)(nl+1)nm^2 states, and Gauss-Seidel solves all 561 splits of N = 32
// in seconds, where the paper's tool took two hours for one load.
package reservemodel

import (
	"fmt"
	"math"
)

// Load is what clients ask and what they are worth: rates of arrival, of departure, rewards and penalties.
type Load struct{ LambdaH, LambdaL, Mu, VH, VL, QH, QL float64 }

// Split is how many slots each part has.
type Split struct{ High, Pool, Low int }

// alpha is how many low clients are degraded for a high one; each gives up half of a slot.
const alpha = 2

// Rates are what a split comes to, a unit of time.
type Rates struct {
	High, Low, Degraded       float64 // served
	RejectedHigh, RejectedLow float64
	Payoff                    float64 // (1)
}

// state is one of the chain's, without H and L.
type poolState struct{ high, low, degraded int }

// Exact solves a split. sub tells whether high clients may be taken by sub-rating.
func Exact(l Load, s Split, sub bool) (Rates, error) {
	c := newChain(l, s, sub)
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
	incoming    [][]transition // into each state
	outRate     []float64
	probability []float64
}

type transition struct {
	from int32
	rate float64
}

func newChain(l Load, s Split, sub bool) *chain {
	c := &chain{load: l, split: s, subRating: sub, poolIndex: map[poolState]int32{}}
	add := func(v poolState) {
		c.poolIndex[v] = int32(len(c.pool))
		c.pool = append(c.pool, v)
	}
	for sh := 0; sh <= s.Pool; sh++ {
		for sl := 0; sh+sl <= s.Pool; sl++ {
			add(poolState{sh, sl, 0})
		}
	}
	if sub { // a full pool with degraded ones: 2 sh + 2 sl + d = 2 nm
		for sh := 1; sh <= s.Pool; sh++ {
			for sl := 0; sh+sl < s.Pool; sl++ {
				add(poolState{sh, sl, alpha * (s.Pool - sh - sl)})
			}
		}
	}
	n := (s.High + 1) * (s.Low + 1) * len(c.pool)
	c.incoming, c.outRate, c.probability = make([][]transition, n), make([]float64, n), make([]float64, n)
	for h := 0; h <= s.High; h++ {
		for lo := 0; lo <= s.Low; lo++ {
			for i, v := range c.pool {
				c.addTransitions(h, lo, int32(i), v)
			}
		}
	}
	return c
}

func (c *chain) index(h, lo int, pool int32) int32 {
	return int32((h*(c.split.Low+1)+lo)*len(c.pool)) + pool
}

func (c *chain) freeUnits(v poolState) int {
	return alpha*c.split.Pool - alpha*(v.high+v.low) - v.degraded
}

// resume gives degraded clients back what is free.
func (c *chain) resume(v poolState) poolState {
	for c.freeUnits(v) > 0 && v.degraded > 0 {
		v.degraded--
		v.low++
	}
	return v
}

// addTransitions notes all ways out of a state.
func (c *chain) addTransitions(h, lo int, i int32, v poolState) {
	me := c.index(h, lo, i)
	to := func(h, lo int, v poolState, rate float64) {
		if rate <= 0 {
			return
		}
		at := c.index(h, lo, c.poolIndex[v])
		c.incoming[at] = append(c.incoming[at], transition{me, rate})
		c.outRate[me] += rate
	}
	room := c.freeUnits(v) >= alpha
	switch {
	case h < c.split.High:
		to(h+1, lo, v, c.load.LambdaH)
	case room:
		to(h, lo, poolState{v.high + 1, v.low, v.degraded}, c.load.LambdaH)
	case c.subRating && v.low >= alpha:
		to(h, lo, poolState{v.high + 1, v.low - alpha, v.degraded + alpha}, c.load.LambdaH)
	}
	switch {
	case lo < c.split.Low:
		to(h, lo+1, v, c.load.LambdaL)
	case room:
		to(h, lo, poolState{v.high, v.low + 1, v.degraded}, c.load.LambdaL)
	}
	if h > 0 {
		to(h-1, lo, v, float64(h)*c.load.Mu)
	}
	if lo > 0 {
		to(h, lo-1, v, float64(lo)*c.load.Mu)
	}
	if v.high > 0 {
		to(h, lo, c.resume(poolState{v.high - 1, v.low, v.degraded}), float64(v.high)*c.load.Mu)
	}
	if v.low > 0 {
		to(h, lo, c.resume(poolState{v.high, v.low - 1, v.degraded}), float64(v.low)*c.load.Mu)
	}
	if v.degraded > 0 {
		to(h, lo, c.resume(poolState{v.high, v.low, v.degraded - 1}), float64(v.degraded)*c.load.Mu)
	}
}

// solve finds the steady state by Gauss-Seidel, in both directions in turn.
func (c *chain) solve() error {
	n := len(c.probability)
	for i := range c.probability {
		c.probability[i] = 1 / float64(n)
	}
	if n == 1 { // no slots: nothing moves
		return nil
	}
	const most = 20_000
	for round := range most {
		change, sum := 0.0, 0.0
		step := func(i int) {
			in := 0.0
			for _, a := range c.incoming[i] {
				in += c.probability[a.from] * a.rate
			}
			v := in / c.outRate[i]
			change += math.Abs(v - c.probability[i])
			c.probability[i] = v
			sum += v
		}
		for i := range n {
			if round%2 == 0 {
				step(i)
			} else {
				step(n - 1 - i)
			}
		}
		for i := range c.probability {
			c.probability[i] /= sum
		}
		if change/sum < 1e-10 {
			return nil
		}
	}
	return fmt.Errorf("split {High:%d Pool:%d Low:%d} did not settle in %d rounds", c.split.High, c.split.Pool, c.split.Low, most)
}

func (c *chain) rates() (r Rates) {
	for h := 0; h <= c.split.High; h++ {
		for lo := 0; lo <= c.split.Low; lo++ {
			for i, v := range c.pool {
				p := c.probability[c.index(h, lo, int32(i))]
				r.High += p * float64(h+v.high) * c.load.Mu
				r.Low += p * float64(lo+v.low) * c.load.Mu
				r.Degraded += p * float64(v.degraded) * c.load.Mu
				room := c.freeUnits(v) >= alpha
				if h == c.split.High && !room && (!c.subRating || v.low < alpha) {
					r.RejectedHigh += p * c.load.LambdaH
				}
				if lo == c.split.Low && !room {
					r.RejectedLow += p * c.load.LambdaL
				}
			}
		}
	}
	l := c.load
	r.Payoff = r.High*l.VH + r.Low*l.VL + r.Degraded*l.VL*(alpha-1)/alpha - r.RejectedHigh*l.QH - r.RejectedLow*l.QL
	return r
}

// Splits are all of N slots.
func Splits(n int) (out []Split) {
	for h := 0; h <= n; h++ {
		for lo := 0; h+lo <= n; lo++ {
			out = append(out, Split{h, n - h - lo, lo})
		}
	}
	return out
}

// erlang is the chances of 0 to n clients in a loss system of n slots under a load of a.
func erlang(a float64, n int) []float64 {
	p, sum := make([]float64, n+1), 0.0
	p[0] = 1
	for i := range p {
		if i > 0 {
			p[i] = p[i-1] * a / float64(i)
		}
		sum += p[i]
	}
	for i := range p {
		p[i] /= sum
	}
	return p
}

// Approximate values a split by the paper's Method I or II.
func Approximate(l Load, s Split, method int) float64 {
	mean := func(p []float64) (m float64) {
		for i := range p {
			m += float64(i) * p[i]
		}
		return m
	}
	ph, pl := erlang(l.LambdaH/l.Mu, s.High), erlang(l.LambdaL/l.Mu, s.Low)
	total := mean(ph)*l.Mu*l.VH + mean(pl)*l.Mu*l.VL // (2), (3)
	fh, fl := l.LambdaH*ph[s.High], l.LambdaL*pl[s.Low]
	inHigh := erlang(fh/l.Mu, s.Pool)
	for i := 0; i <= s.Pool; i++ {
		inLow := erlang(fl/l.Mu, s.Pool-i)
		for j := range inLow {
			total += inHigh[i] * inLow[j] * l.Mu * (float64(i)*l.VH + float64(j)*l.VL) // (7)
		}
		full := inHigh[i] * inLow[s.Pool-i]
		total -= full * fl * l.QL // (9)
		omega := (s.Pool - i) / alpha
		if method == 1 {
			rate := fh * full
			sub := erlang(rate/l.Mu, omega)
			total += mean(sub)*l.Mu*(l.VH-l.VL) - rate*l.QH*sub[omega] // (10), (8)
		} else {
			sub := erlang(fh/l.Mu, omega)
			total += full * (mean(sub)*l.Mu*(l.VH-l.VL) - fh*l.QH*sub[omega]) // (11)
		}
	}
	return total
}
