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
	ID               CustomerID `cbor:"ID"`
	Plan             string     `cbor:"Plan"`
	Gateways         int        `cbor:"Doors"`   // that it uses
	Member           bool       `cbor:"Member"`  // this is one of them
	MissingTokens    float64    `cbor:"Missing"` // what its store lacks of being full, in percent of its rate times seconds
	AdmitProbability float64    `cbor:"Pass"`    // the share of its requests that may pass while the store is empty
	// What readings told of its use, fading: percent-seconds over all doors, those of this door's own, and of how many seconds.
	MeteredUsage   float64 `cbor:"Metered"`
	OwnUsage       float64 `cbor:"Own"`
	MeteredSeconds float64 `cbor:"Heard"`
}

// QuotaDebt is how much of its burst a customer has used, from 0 to 1, and over 1 if it is held down besides.
func (s *CustomerState) QuotaDebt(plan *Plan) float64 {
	if plan.Rate <= 0 {
		return 1 - s.AdmitProbability
	}
	return s.MissingTokens*plan.Rate/(100*plan.Burst) + 1 - s.AdmitProbability
}

// Customers goes through all customers, each as it is at the moment, in no order, and says whether it owes anything. Between two of them
// the gateway may be used: who comes meanwhile may be left out.
func (g *Engine) Customers() iter.Seq2[CustomerState, bool] {
	return func(yield func(CustomerState, bool) bool) {
		for id, c := range g.customers { // whoever makes something of it puts it in an order
			s := CustomerState{ID: id, Plan: c.plan.Name, Gateways: int(c.gateways), Member: c.isMember, AdmitProbability: c.admitProbability, MeteredUsage: c.meteredUsage, OwnUsage: c.ownUsage, MeteredSeconds: c.meteredSeconds}
			if c.plan.Rate > 0 {
				s.MissingTokens = c.burstTokens() - c.available(g.now)
			}
			if !yield(s, s.QuotaDebt(c.plan) > minQuotaDebt) {
				return
			}
		}
	}
}

const minQuotaDebt = 1e-3

// Restore puts back what an earlier process knew, before anything is handled. What makes no sense under these settings is passed over,
// and counted.
func (g *Engine) Restore(now time.Duration, states []CustomerState) (passedOver int) {
	for _, s := range states {
		plan := g.plans[s.Plan]
		sound := func(vs ...float64) bool {
			return !slices.ContainsFunc(vs, func(v float64) bool { return !(v >= 0) || math.IsInf(v, 1) })
		}
		if plan == nil || s.Gateways < 1 || s.Gateways > g.settings.GatewayCount || !sound(s.MissingTokens, s.MeteredUsage, s.OwnUsage, s.MeteredSeconds) || !(s.AdmitProbability >= 0 && s.AdmitProbability <= 1) || g.started {
			passedOver++
			continue
		}
		first := 0
		if !s.Member {
			first = (g.settings.GatewayIndex + 1) % g.settings.GatewayCount
		}
		g.now = max(g.now, now)
		c := g.customerFor(Request{Customer: s.ID, Cost: max(1, plan.Burst), FirstGateway: first, GatewaySpread: s.Gateways}, plan) // no newcomer's store
		c.isMember, c.lastCost = s.Member, 1
		c.admitProbability, c.meteredUsage, c.ownUsage, c.meteredSeconds = s.AdmitProbability, s.MeteredUsage, s.OwnUsage, s.MeteredSeconds
		if plan.Rate > 0 {
			c.tokens = max(0, min(c.burstTokens()-s.MissingTokens, c.tokens))
		}
		c.usageAt = g.now // so that f binds until readings have had time to come
	}
	return passedOver
}
