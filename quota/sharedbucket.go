package quota

import (
	"time"

	"pumicecroft/internal/backoff"
	"pumicecroft/internal/eventqueue"
)

// BucketTTL is the lifetime of a shared bucket's key. The tokens in the bucket are lost when it
// expires.
const BucketTTL = time.Minute

// totalTolerance is the rounding error allowed in a total, in units: the counter keeps seven significant
// digits.
const totalTolerance = 1e-3

// depositBackoff is the delay between two deposits: Initial while the bucket is not full, and growing
// while it is.
var depositBackoff = backoff.Exponential{Initial: 500 * time.Millisecond, Max: 8 * time.Second}

// SharedBucket is a gateway's view of the shared token bucket of one customer's hard limit, through
// which gateways lend each other tokens. There is no bucket if capacity is 0, as in the zero value.
// Amounts are in units of cost.
type SharedBucket struct {
	key           uint64  // the same at every gateway
	capacity      float64 // the most tokens that the bucket may hold; 0 if there is no bucket
	localShare    float64 // the most tokens that a gateway holds outside the bucket
	depositSize   float64 // the size of one deposit
	nextDepositAt time.Duration
	depositDelay  time.Duration // from the last deposit to nextDepositAt, before jitter
}

// NewSharedBucket returns the bucket of a customer under a plan whose hard limit allows a burst of
// the given size, shared by a number of gateways, with requests that cost at most maxCost. There is
// no bucket (see Exists) if its capacity would be less than maxCost. The package comment says how the
// tokens are divided between the gateways and the bucket, and why.
func NewSharedBucket(customer uint64, plan string, burst float64, gateways int, maxCost float64) SharedBucket {
	key := mixBits(customer)
	for i := range len(plan) {
		key = mixBits(key ^ uint64(plan[i]))
	}
	evenShare := burst / float64(gateways)
	b := SharedBucket{key: key, localShare: evenShare / 2}
	b.depositSize = b.localShare / 2
	if evenShare < maxCost {
		b.depositSize = b.localShare
	} else if b.localShare < maxCost {
		b.localShare = maxCost
	}
	b.capacity = burst - b.localShare*float64(gateways)
	if b.capacity < maxCost {
		return SharedBucket{key: key, localShare: evenShare}
	}
	return b
}

// mixBits hashes a number by one step of splitmix64, so that each input bit affects all output bits.
func mixBits(x uint64) uint64 { return eventqueue.Mix(x + 0x9e3779b97f4a7c15) }

// Exists reports whether there is a bucket.
func (b *SharedBucket) Exists() bool { return b.capacity > 0 }

// LocalShare returns the most tokens that a gateway holds outside the bucket.
func (b *SharedBucket) LocalShare() float64 { return b.localShare }

// Key returns the key under which the counter keeps the bucket's total. It is below 2^63.
func (b *SharedBucket) Key() uint64 { return b.key >> 1 }

// Surplus returns how much a gateway that holds its full LocalShare should deposit now, or 0 if it
// is too early for another deposit.
func (b *SharedBucket) Surplus(now time.Duration) float64 {
	if now < b.nextDepositAt {
		return 0
	}
	return b.depositSize
}

// Deposited records a deposit. total is the bucket's total after it, as the counter returned it. The
// result is the correction to add to the counter: 0, or a negative amount if the bucket exceeds its
// capacity. The delay until the next
// deposit backs off exponentially while the bucket is full, and returns to its minimum otherwise.
// random is a random number from 0 to 1. It adds jitter, so that gateways don't deposit at the same
// time.
func (b *SharedBucket) Deposited(now time.Duration, total, random float64) (correction float64) {
	if total >= b.capacity-totalTolerance {
		b.depositDelay = depositBackoff.Next(b.depositDelay)
	} else {
		b.depositDelay = depositBackoff.Initial
	}
	b.nextDepositAt = now + time.Duration((0.5+random)*float64(b.depositDelay))
	return -max(0, total-b.capacity)
}

// Withdrawn interprets the total that the counter returned for a withdrawal of cost, the bucket's total
// after it, and reports whether the tokens are granted. correction is the amount to add to the counter:
// the cost if the bucket held too little, or capacity - total if it had held more than its capacity.
func (b *SharedBucket) Withdrawn(cost, total float64) (granted bool, correction float64) {
	before := total + cost
	switch {
	case total < -totalTolerance:
		return false, cost
	// Concurrent deposits, or another use of the key. Spending excess tokens could exceed the hard limit, so
	// none are granted until the excess is removed.
	case before > b.capacity+totalTolerance:
		return false, b.capacity - total
	}
	return true, 0
}
