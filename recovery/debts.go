package recovery

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pumicecroft/decision"
)

// RefillTime returns the longest time that an empty token bucket of any of the plans takes to refill. A gateway that
// started without knowing its customers' usage may mark a snapshot as complete only after this time; otherwise two
// restarts in a row would grant a burst that a single restart does not.
func RefillTime(plans []decision.Plan) (longest time.Duration) {
	for i := range plans {
		if plan := &plans[i]; plan.Rate > 0 {
			seconds := min(plan.Burst/plan.Rate, math.MaxInt32)
			longest = max(longest, time.Duration(seconds*float64(time.Second)))
		}
	}
	return longest
}

// QuotaDebts collects the customers with the largest quota debts, up to a limit. Use NewQuotaDebts to create one.
type QuotaDebts struct {
	limit     int
	plans     map[string]*decision.Plan
	debts     []quotaDebt
	truncated bool // a customer with a debt was dropped because of limit
}

type quotaDebt struct {
	decision.CustomerState
	owes float64
}

// NewQuotaDebts returns a QuotaDebts that keeps at most limit customers.
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

// Add adds a customer with a debt. A customer of an unknown plan is ignored. To save sorting, up to twice the limit are
// held before the smallest debts are dropped.
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

// trim sorts the debts, largest first and equal ones by customer ID, and drops those beyond the limit.
func (d *QuotaDebts) trim() {
	slices.SortFunc(d.debts, func(a, b quotaDebt) int {
		return cmp.Or(cmp.Compare(b.owes, a.owes), cmp.Compare(a.ID, b.ID))
	})
	if len(d.debts) > d.limit {
		d.debts, d.truncated = d.debts[:d.limit], true
	}
}

// Largest returns the customers with the largest debts, largest first. complete reports whether these are all customers
// that were added.
func (d *QuotaDebts) Largest() (customers []decision.CustomerState, complete bool) {
	d.trim()
	for i := range d.debts {
		customers = append(customers, d.debts[i].CustomerState)
	}
	return customers, !d.truncated
}
