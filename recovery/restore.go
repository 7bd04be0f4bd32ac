package recovery

import (
	"fmt"
	"math"
	"time"

	"pumicecroft/decision"
)

const (
	// MaxTrustedAge is the age up to which customers that are not in a complete snapshot owe nothing. What one used
	// meanwhile at other gateways is as unseen as usage always is for a while; a copy of a snapshot that was put back
	// from longer ago cannot be told from a fresh one otherwise.
	MaxTrustedAge = 10 * time.Second
	// MaxClockSkew is how far a snapshot may be from the future: clocks are adjusted by small steps all the time.
	MaxClockSkew = 2 * time.Second
)

// GatewayInfo is the gateway that restores a snapshot.
type GatewayInfo struct {
	Index, Count   int
	SettingsDigest uint64
	Plans          []decision.Plan
}

// Restored is what a gateway begins with.
type Restored struct {
	// AssumeQuotaSpent: nothing is known of customers that are not among Customers, and they are assumed to have used
	// up their bursts (decision.Settings.AssumeQuotaSpent). Else they owe nothing.
	AssumeQuotaSpent bool
	Customers        []decision.CustomerState // as they are by now
	Age              time.Duration            // of the snapshot; below 0: it is from the future
	Repaid           int                      // customers that had a debt and have none by now
	Explanation      string                   // for people
	Err              error                    // why the snapshot is rejected as a whole
}

// RestoreNothing is what a gateway begins with that knows nothing.
func RestoreNothing(err error) Restored {
	return Restored{
		AssumeQuotaSpent: true,
		Err:              err,
		Explanation:      "nothing is known: customers are assumed to have used up their bursts",
	}
}

// Restore says what a gateway makes of a snapshot at a time of the wall clock.
//
// A debt is paid off at the plan's rate as time goes by. All gateways may have been away together, and each would take
// the whole of that for its own to give: so each counts its share, and usage readings tell the rest within seconds.
//
// How much time went by is the snapshot's age. But a snapshot may be a copy that was put back, or the clock may have
// been set: only one that is younger than MaxTrustedAge is trusted in that customers which are not in it owe nothing,
// and that those in it have paid since. Of any other only the debts count, and nothing of them is paid off: no
// customer gets more by it than one of which nothing is known.
func Restore(s *Snapshot, gateway GatewayInfo, now time.Time) Restored {
	switch {
	case s.GatewayIndex != gateway.Index || s.GatewayCount != gateway.Count:
		return RestoreNothing(fmt.Errorf("%w: gateway %d of %d, this is gateway %d of %d",
			ErrOtherGateway, s.GatewayIndex, s.GatewayCount, gateway.Index, gateway.Count))
	case s.SettingsDigest != gateway.SettingsDigest:
		return RestoreNothing(ErrOtherSettings)
	}
	restored, paidSeconds := assessAge(s, now.Sub(s.TakenAt))
	plans := plansByName(gateway.Plans)
	for _, customer := range s.Customers {
		plan := plans[customer.Plan]
		if plan == nil { // equal settings hold the same plans, but a snapshot may say anything
			continue
		}
		customer.MissingTokens = max(0, customer.MissingTokens-100*paidSeconds/float64(max(1, customer.Gateways)))
		if math.IsNaN(customer.MissingTokens) || customer.QuotaDebt(plan) <= 0 {
			restored.Repaid++
			continue
		}
		restored.Customers = append(restored.Customers, customer)
	}
	return restored
}

// assessAge says how far a snapshot of an age is trusted, and for how many seconds debts were paid off.
func assessAge(s *Snapshot, age time.Duration) (restored Restored, paidSeconds float64) {
	restored = Restored{Age: age, AssumeQuotaSpent: !s.Complete}
	switch {
	case age < -MaxClockSkew:
		restored.AssumeQuotaSpent = true
		restored.Explanation = fmt.Sprintf(
			"from the future by %v, so the clock was set: only debts count, and none is paid off", -age)
		return restored, 0
	case age > MaxTrustedAge:
		restored.AssumeQuotaSpent = true
		restored.Explanation = fmt.Sprintf("%v old, over %v: only debts count, and none is paid off",
			age.Round(time.Millisecond), MaxTrustedAge)
		return restored, 0
	case !s.Complete:
		restored.Explanation = "recent but incomplete: customers not in it are assumed to have used up their bursts"
	default:
		restored.Explanation = "recent and complete: customers not in it owe nothing"
	}
	return restored, max(0, age.Seconds())
}
