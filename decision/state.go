package decision

import (
	"iter"
	"math"
	"slices"
	"time"
)

// What a later process of the same door would do ill to forget. It is read off the decisions and put back before any; nothing is decided
// here.

// CustomerState is what a gateway knows of a customer that owes. Its cbor tags are names in stored snapshots, and never change.
type CustomerState struct {
	ID      CustomerID `cbor:"ID"`
	Plan    string     `cbor:"Plan"`
	Doors   int        `cbor:"Doors"`   // that it uses
	Member  bool       `cbor:"Member"`  // this is one of them
	Missing float64    `cbor:"Missing"` // what its store lacks of being full, in percent of its rate times seconds
	Pass    float64    `cbor:"Pass"`    // the share of its requests that may pass while the store is empty
	// What readings told of its use, fading: percent-seconds over all doors, those of this door's own, and of how many seconds.
	Metered float64 `cbor:"Metered"`
	Own     float64 `cbor:"Own"`
	Heard   float64 `cbor:"Heard"`
}

// Owes is how much of its burst a customer has used, from 0 to 1, and over 1 if it is held down besides.
func (s *CustomerState) Owes(plan *Plan) float64 {
	if plan.Rate <= 0 {
		return 1 - s.Pass
	}
	return s.Missing*plan.Rate/(100*plan.Burst) + 1 - s.Pass
}

// Customers goes through all customers, each as it is at the moment, in no order, and says whether it owes anything. Between two of them
// the gateway may be used: who comes meanwhile may be left out.
func (g *Gateway) Customers() iter.Seq2[CustomerState, bool] {
	return func(yield func(CustomerState, bool) bool) {
		for id, c := range g.customers { // whoever makes something of it puts it in an order
			s := CustomerState{ID: id, Plan: c.plan.Name, Doors: int(c.doors), Member: c.member, Pass: c.pass, Metered: c.metered, Own: c.own, Heard: c.heard}
			if c.plan.Rate > 0 {
				s.Missing = c.capacity() - c.room(g.now)
			}
			if !yield(s, s.Owes(c.plan) > tiny) {
				return
			}
		}
	}
}

const tiny = 1e-3

// Restore puts back what an earlier process knew, before anything is handled. What makes no sense under these settings is passed over,
// and counted.
func (g *Gateway) Restore(now time.Duration, states []CustomerState) (passedOver int) {
	for _, s := range states {
		plan := g.plans[s.Plan]
		sound := func(vs ...float64) bool {
			return !slices.ContainsFunc(vs, func(v float64) bool { return !(v >= 0) || math.IsInf(v, 1) })
		}
		if plan == nil || s.Doors < 1 || s.Doors > g.set.FrontDoors || !sound(s.Missing, s.Metered, s.Own, s.Heard) || !(s.Pass >= 0 && s.Pass <= 1) || g.started {
			passedOver++
			continue
		}
		first := 0
		if !s.Member {
			first = (g.set.Me + 1) % g.set.FrontDoors
		}
		g.now = max(g.now, now)
		c := g.customer(Request{Customer: s.ID, Units: max(1, plan.Burst), FirstDoor: first, Spread: s.Doors}, plan) // no newcomer's store
		c.member, c.units = s.Member, 1
		c.pass, c.metered, c.own, c.heard = s.Pass, s.Metered, s.Own, s.Heard
		if plan.Rate > 0 {
			c.store = max(0, min(c.capacity()-s.Missing, c.store))
		}
		c.read = g.now // so that f binds until readings have had time to come
	}
	return passedOver
}
