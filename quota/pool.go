// Package quota holds what front doors may take together of something that no one of them can see whole, and when a
// door should ask the counter that they share for it.
//
// The counter adds an amount to a named number and tells the total; it does nothing else, forgets a name a minute after it
// began, and may lose calls, names, or all that it holds. The package says what is added and what a total means. It is
// pure: no I/O, no clock (times are durations on the door's own clock), no lock, no goroutine; chance comes from its caller.
// The decision module owns what is made of it, and asks it as one more limit. Of this module it imports internal/virtual,
// for its mixing of bits.
//
// # A ceiling's pool
//
// A hard ceiling is split evenly over the doors that a customer may come through, as none of them sees what the others let
// in. But customers come unevenly, and what one door has no use for another lacks. So a door keeps half of its part for
// itself, and the other half of all parts may lie in a pool on the counter: a door gives what would overflow, having taken
// it off its own first, and draws what one request lacks, which counts as its own only once the total says that it was
// there. Where half a part can't bear the largest request and a whole one can, the door keeps as much as that takes, and the
// pool holds what is left: else the door could let in nothing by itself. Where not even a whole part can, what it keeps is of no
// use to it but to be given, and it gives all of it.
//
// # The bound
//
// With a ceiling of rate R and burst B over n doors, doors hold at most k each, from B/2n to B/n, and the pool at most B - n*k, so
// what they can let in from any moment on, in any time T, is at most B + R*T: what the ceiling allows. Calls and names that are lost only
// make it less: a gift that does not arrive, a draw that is not answered and a name that is forgotten are units that nobody
// has, and a name that begins anew begins empty. A pool that holds more than its part, as gifts crossed, is cut back by who
// sees it and lends nothing until then. Two things add to the bound. A draw that found too little is put back, and if the name
// was lost in between, those units come out of nothing: one request's for each put-back that is under way at the loss. And a
// counter that is split, with all that was in a pool in each half, lends it twice: B - n*k, B/2 at most, for each half more.
package quota

import (
	"time"

	"pumicecroft/internal/backoff"
	"pumicecroft/internal/eventqueue"
)

// BucketTTL is the life of a pool's name; what is in it then is lost.
const BucketTTL = time.Minute

const totalTolerance = 1e-3 // what a total may be off by: it holds seven digits

// fullPause is how long nothing is given to a pool that was full.
var fullPause = backoff.Exponential{Initial: 500 * time.Millisecond, Max: 8 * time.Second}

// SharedBucket is a door's view of one customer's pool. The zero value is of none.
type SharedBucket struct {
	key            uint64  // the same at every door: doors that ask for a part of the customers only ask for the same ones
	capacity       float64 // that may lie in it
	localShare     float64 // the most that a door holds of its own
	surplus        float64
	nextDepositAt  time.Duration // no gift before
	depositBackoff time.Duration // since the last one
}

// NewSharedBucket is the pool of a customer under a plan whose ceiling holds burst units, over so many doors, of requests of largest units
// at most.
func NewSharedBucket(customer uint64, plan string, burst float64, doors int, largest float64) SharedBucket {
	key := mixBits(customer)
	for i := range len(plan) {
		key = mixBits(key ^ uint64(plan[i]))
	}
	part := burst / float64(doors)
	p := SharedBucket{key: key, localShare: part / 2}
	p.surplus = p.localShare / 2
	if part < largest {
		p.surplus = p.localShare
	} else if p.localShare < largest {
		p.localShare = largest
	}
	p.capacity = burst - p.localShare*float64(doors)
	if p.capacity < largest { // it could lend nothing
		return SharedBucket{key: key, localShare: part}
	}
	return p
}

// LocalShare is the most that a door holds of its own.
func (p *SharedBucket) LocalShare() float64 { return p.localShare }

// mixBits spreads all bits of a number over all bits: a step of splitmix64.
func mixBits(x uint64) uint64 { return eventqueue.Mix(x + 0x9e3779b97f4a7c15) }

// Exists tells whether there is one.
func (p *SharedBucket) Exists() bool { return p.capacity > 0 }

// Key is the number's name: below 2^63.
func (p *SharedBucket) Key() uint64 { return p.key >> 1 }

// Surplus is what a door gives that holds all it keeps, or 0 for now.
func (p *SharedBucket) Surplus(now time.Duration) float64 {
	if now < p.nextDepositAt {
		return 0
	}
	return p.surplus
}

// Deposited takes the total after a gift and returns what must be added to it, below 0: what is over the pool's part. A full
// pool is given to less and less often, an emptied one as soon as there is something to give. chance, from 0 to 1, keeps
// doors apart.
func (p *SharedBucket) Deposited(now time.Duration, total, chance float64) float64 {
	if total >= p.capacity-totalTolerance {
		p.depositBackoff = fullPause.Next(p.depositBackoff)
	} else {
		p.depositBackoff = fullPause.Initial
	}
	p.nextDepositAt = now + time.Duration((0.5+chance)*float64(p.depositBackoff))
	return -max(0, total-p.capacity)
}

// Withdrawn takes the total after units were taken out. got: they were there. back is what must be added to the total: the units
// again, if they were not there; what is over the pool's part, below 0.
func (p *SharedBucket) Withdrawn(units, total float64) (got bool, back float64) {
	before := total + units
	switch {
	case total < -totalTolerance:
		return false, units
	case before > p.capacity+totalTolerance: // gifts crossed, or it is another's number: none of it is trusted
		return false, p.capacity - total
	}
	return true, 0
}
