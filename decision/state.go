package decision

import (
	"iter"
	"time"
)

// minQuotaDebt is the least debt, as QuotaDebt returns it, that is worth remembering.
const minQuotaDebt = 1e-3

// CustomerState is what a later process of the same gateway must not forget of a customer. It is
// read off an Engine and put back into another one before any event; nothing is decided by it here.
// Its cbor tags are names in stored snapshots and must never change.
type CustomerState struct {
	ID              CustomerID `cbor:"ID"`
	Plan            string     `cbor:"Plan"`
	Gateways        int        `cbor:"Doors"`  // how many the customer uses
	UsesThisGateway bool       `cbor:"Member"` // this is one of them
	// MissingTokens is what its quota lacks of a full burst, in percent-seconds of its rate.
	MissingTokens float64 `cbor:"Missing"`
	// AdmitProbability is the share of its requests that pass while the quota is empty, 0 to 1.
	AdmitProbability float64 `cbor:"Pass"`
	// What usage reports told, fading: its use over all gateways and at this one, in
	// percent-seconds, and of how many seconds.
	MeteredUsage   float64 `cbor:"Metered"`
	OwnUsage       float64 `cbor:"Own"`
	MeteredSeconds float64 `cbor:"Heard"`
}

// QuotaDebt is how much of its burst a customer has used, 0 to 1, and more if it is held down
// besides.
func (s *CustomerState) QuotaDebt(plan *Plan) float64 {
	if plan.Rate <= 0 {
		return 1 - s.AdmitProbability
	}
	return s.MissingTokens*plan.Rate/(fullRate*plan.Burst) + 1 - s.AdmitProbability
}

// Customers iterates over all customers, each as it is at the moment, in no order, and tells
// whether it has a debt worth remembering. The Engine may be used between two steps: a customer
// that is new meanwhile may be left out.
func (e *Engine) Customers() iter.Seq2[CustomerState, bool] {
	return func(yield func(CustomerState, bool) bool) {
		for id, customer := range e.customers { // the map's order: the caller sorts
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
		state.MissingTokens = c.burstTokens() - c.available(e.now)
	}
	return state
}

// Restore puts back what an earlier process knew, at a time of the Engine's clock. It must be
// called before the first event: later, all states are ignored. States that make no sense under
// these settings are ignored too. It returns how many were.
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

// valid reports whether all figures can be those of a customer of so many gateways.
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
	// The cost of a whole burst: a newcomer's bucket would else begin with room for one small
	// request.
	cost := max(1, plan.Burst)
	customer := e.customerFor(Request{
		Customer:      state.ID,
		Cost:          cost,
		FirstGateway:  first,
		GatewaySpread: state.Gateways,
	}, plan)
	customer.usesThisGateway, customer.lastCost = state.UsesThisGateway, 1
	customer.admitProbability = state.AdmitProbability
	customer.meteredUsage, customer.ownUsage = state.MeteredUsage, state.OwnUsage
	customer.meteredSeconds = state.MeteredSeconds
	if plan.Rate > 0 {
		customer.tokens = max(0, min(customer.burstTokens()-state.MissingTokens, customer.tokens))
	}
	// The admit probability binds until usage reports have had time to come.
	customer.usageAt = e.now
}
