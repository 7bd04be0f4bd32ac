package quota

import (
	"time"

	"pumicecroft/internal/backoff"
	"pumicecroft/internal/eventqueue"
)

// BucketTTL is the life of a shared bucket's key. What is in the bucket then is lost.
const BucketTTL = time.Minute

// totalTolerance is what a total may be off by, in units: the counter keeps seven digits.
const totalTolerance = 1e-3

// depositBackoff is the time between two deposits to a bucket that is full.
var depositBackoff = backoff.Exponential{Initial: 500 * time.Millisecond, Max: 8 * time.Second}

// SharedBucket is a gateway's view of what gateways lend each other of one customer's hard limit.
// The zero value is of no bucket. Amounts are units of cost.
type SharedBucket struct {
	key           uint64  // the same at every gateway
	capacity      float64 // the most that may lie in it; 0: there is none
	localShare    float64 // the most that a gateway holds of its own
	surplus       float64 // what one deposit puts in
	nextDepositAt time.Duration
	depositDelay  time.Duration // from the last deposit to nextDepositAt, before jitter
}

// NewSharedBucket returns the bucket of a customer under a plan whose hard limit holds burst units,
// over so many gateways, for requests of maxCost at most. Exists tells whether there is one: it
// must be able to lend a request of maxCost.
func NewSharedBucket(customer uint64, plan string, burst float64, gateways int, maxCost float64) SharedBucket {
	key := mixBits(customer)
	for i := range len(plan) {
		key = mixBits(key ^ uint64(plan[i]))
	}
	evenShare := burst / float64(gateways)
	b := SharedBucket{key: key, localShare: evenShare / 2}
	b.surplus = b.localShare / 2
	if evenShare < maxCost {
		b.surplus = b.localShare
	} else if b.localShare < maxCost {
		b.localShare = maxCost
	}
	b.capacity = burst - b.localShare*float64(gateways)
	if b.capacity < maxCost {
		return SharedBucket{key: key, localShare: evenShare}
	}
	return b
}

// mixBits spreads all bits of a number over all bits: a step of splitmix64.
func mixBits(x uint64) uint64 { return eventqueue.Mix(x + 0x9e3779b97f4a7c15) }

// Exists reports whether there is a bucket.
func (b *SharedBucket) Exists() bool { return b.capacity > 0 }

// LocalShare returns the most that a gateway holds of its own.
func (b *SharedBucket) LocalShare() float64 { return b.localShare }

// Key returns the key of the bucket's number on the counter, below 2^63.
func (b *SharedBucket) Key() uint64 { return b.key >> 1 }

// Surplus returns what a gateway that holds all of its LocalShare deposits, or 0 if it should not
// yet.
func (b *SharedBucket) Surplus(now time.Duration) float64 {
	if now < b.nextDepositAt {
		return 0
	}
	return b.surplus
}

// Deposited takes the total after a deposit, and returns what must be added to it: 0, or less where
// the bucket holds more than its capacity. A full bucket is deposited to less and less often, an
// emptied one as soon as there is a surplus. chance, 0 to 1, is random, and keeps gateways apart.
func (b *SharedBucket) Deposited(now time.Duration, total, chance float64) (correction float64) {
	if total >= b.capacity-totalTolerance {
		b.depositDelay = depositBackoff.Next(b.depositDelay)
	} else {
		b.depositDelay = depositBackoff.Initial
	}
	b.nextDepositAt = now + time.Duration((0.5+chance)*float64(b.depositDelay))
	return -max(0, total-b.capacity)
}

// Withdrawn takes the total after a cost was taken out, and reports whether it was there.
// correction is what must be added to the total: the cost again if it was not there, or less than 0
// where the bucket holds more than its capacity.
func (b *SharedBucket) Withdrawn(cost, total float64) (granted bool, correction float64) {
	before := total + cost
	switch {
	case total < -totalTolerance:
		return false, cost
	case before > b.capacity+totalTolerance: // deposits crossed, or it is another's number: none of it is trusted
		return false, b.capacity - total
	}
	return true, 0
}
