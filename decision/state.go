package decision

import (
	"iter"
	"time"
)

// minQuotaDebt is the least QuotaDebt for which a customer's state is worth saving.
const minQuotaDebt = 1e-3

// CustomerState is the state of a customer that survives a restart of the gateway: it is read from
// one Engine and restored into another before its first event. Its cbor tags are names in stored
// snapshots and must never change.
type CustomerState struct {
	ID              CustomerID `cbor:"ID"`
	Plan            string     `cbor:"Plan"`
	Gateways        int        `cbor:"Doors"`  // how many gateways the customer uses
	UsesThisGateway bool       `cbor:"Member"` // this gateway is one of them
	// MissingTokens is how far its quota bucket is below a full burst, in percent-seconds of its
	// rate.
	MissingTokens float64 `cbor:"Missing"`
	// AdmitProbability is the probability, 0 to 1, that a request is admitted while the quota
	// bucket is empty.
	AdmitProbability float64 `cbor:"Pass"`
	// Exponentially decaying sums over the customer's usage reports: its use over all gateways and
	// its use at this gateway, both in percent-seconds, and the seconds that the reports cover.
	MeteredUsage   float64 `cbor:"Metered"`
	OwnUsage       float64 `cbor:"Own"`
	MeteredSeconds float64 `cbor:"Heard"`
}

// QuotaDebt is the used share of the customer's burst, 0 to 1, plus how far its admit probability
// is below 1.
func (s *CustomerState) QuotaDebt(plan *Plan) float64 {
	if plan.Rate <= 0 {
		return 1 - s.AdmitProbability
	}
	return s.MissingTokens*plan.Rate/(fullRatePercent*plan.Burst) + 1 - s.AdmitProbability
}

// Customers iterates over the current states of all customers, in no particular order. The second
// value reports whether the state is worth saving. The Engine may be used between two
// steps: a customer that is added in between may or may not be visited.
func (e *Engine) Customers() iter.Seq2[CustomerState, bool] {
	return func(yield func(CustomerState, bool) bool) {
		for id, customer := range e.customers { // in map order: callers that need an order must sort
			state := e.customerState(id, customer)
			if !yield(state, state.QuotaDebt(customer.plan) > minQuotaDebt) {
				return
			}
		}
	}
}

func (e *Engine) customerState(id CustomerID, c *customer) CustomerState {
	state := CustomerState{
		ID:               id,
		Plan:             c.plan.Name,
		Gateways:         int(c.gateways),
		UsesThisGateway:  c.usesThisGateway,
		AdmitProbability: c.admitProbability,
		MeteredUsage:     c.meteredUsage,
		OwnUsage:         c.ownUsage,
		MeteredSeconds:   c.meteredSeconds,
	}
	if c.plan.Rate > 0 {
		state.MissingTokens = c.burstTokens() - c.availableTokens(e.now)
	}
	return state
}

// Restore restores the states saved by an earlier process, at a time of the Engine's clock. It must
// be called before the first event: after that, all states are ignored. States that are invalid
// under the Engine's settings are ignored too. It returns how many were ignored.
func (e *Engine) Restore(now time.Duration, states []CustomerState) (ignored int) {
	for _, state := range states {
		plan := e.plans[state.Plan]
		if plan == nil || e.started || !state.valid(e.settings.GatewayCount) {
			ignored++
			continue
		}
		e.now = max(e.now, now)
		e.restoreCustomer(state, plan)
	}
	return ignored
}

// valid reports whether all values are possible for a customer in a deployment of that many
// gateways.
func (s *CustomerState) valid(gateways int) bool {
	return s.Gateways >= 1 && s.Gateways <= gateways &&
		s.AdmitProbability >= 0 && s.AdmitProbability <= 1 &&
		finiteNonNegative(s.MissingTokens, s.MeteredUsage, s.OwnUsage, s.MeteredSeconds)
}

func (e *Engine) restoreCustomer(state CustomerState, plan *Plan) {
	first := 0
	if !state.UsesThisGateway {
		first = (e.settings.GatewayIndex + 1) % e.settings.GatewayCount
	}
	// newCustomer gives a newcomer tokens for its first request only, and a restored customer counts
	// as a newcomer until its sums are set below. A cost of a whole burst keeps that from limiting
	// its tokens.
	cost := max(1, plan.Burst)
	customer := e.customerFor(Request{
		Customer:      state.ID,
		Cost:          cost,
		FirstGateway:  first,
		GatewaySpread: state.Gateways,
	}, plan)
	if customer == nil {
		return
	}
	customer.usesThisGateway, customer.lastCost = state.UsesThisGateway, 1 // the last cost is not saved
	customer.admitProbability = state.AdmitProbability
	customer.meteredUsage, customer.ownUsage = state.MeteredUsage, state.OwnUsage
	customer.meteredSeconds = state.MeteredSeconds
	if plan.Rate > 0 {
		customer.tokens = max(0, min(customer.burstTokens()-state.MissingTokens, customer.tokens))
	}
	// The admit probability applies only while usage reports are recent: this gives them time to
	// arrive.
	customer.usageAt = e.now
}
