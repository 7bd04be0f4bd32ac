package recovery

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pumicecroft/decision"
)

// RefillTime is how long a customer that uses nothing takes at the most until its token bucket is full again. A gateway
// that began with customers of which nothing is known can say only then that those who are not in its snapshot owe
// nothing: else two restarts would grant a burst that one does not.
func RefillTime(plans []decision.Plan) (longest time.Duration) {
	for i := range plans {
		if plan := &plans[i]; plan.Rate > 0 {
			seconds := min(plan.Burst/plan.Rate, math.MaxInt32)
			longest = max(longest, time.Duration(seconds*float64(time.Second)))
		}
	}
	return longest
}

// QuotaDebts collects the customers with the largest debts, as many as a snapshot holds. Use NewQuotaDebts.
type QuotaDebts struct {
	limit     int
	plans     map[string]*decision.Plan
	debts     []quotaDebt
	truncated bool // a customer with a debt was left out
}

type quotaDebt struct {
	decision.CustomerState
	owes float64
}

// NewQuotaDebts returns a QuotaDebts of limit customers at the most.
func NewQuotaDebts(plans []decision.Plan, limit int) *QuotaDebts {
	return &QuotaDebts{limit: limit, plans: plansByName(plans)}
}

func plansByName(plans []decision.Plan) map[string]*decision.Plan {
	byName := map[string]*decision.Plan{}
	for i := range plans {
		byName[plans[i].Name] = &plans[i]
	}
	return byName
}

// Add adds a customer with a debt. One without a plan is ignored. Up to twice the limit are held.
func (d *QuotaDebts) Add(customer decision.CustomerState) {
	plan := d.plans[customer.Plan]
	if plan == nil {
		return
	}
	d.debts = append(d.debts, quotaDebt{customer, customer.QuotaDebt(plan)})
	if len(d.debts) >= 2*d.limit {
		d.trim()
	}
}

// trim keeps the largest debts, in one order.
func (d *QuotaDebts) trim() {
	slices.SortFunc(d.debts, func(a, b quotaDebt) int {
		return cmp.Or(cmp.Compare(b.owes, a.owes), cmp.Compare(a.ID, b.ID))
	})
	if len(d.debts) > d.limit {
		d.debts, d.truncated = d.debts[:d.limit], true
	}
}

// Largest returns the customers with the largest debts, the largest first. complete: no other has one.
func (d *QuotaDebts) Largest() (customers []decision.CustomerState, complete bool) {
	d.trim()
	for i := range d.debts {
		customers = append(customers, d.debts[i].CustomerState)
	}
	return customers, !d.truncated
}
