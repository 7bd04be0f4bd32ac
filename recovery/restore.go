package recovery

import (
	"fmt"
	"math"
	"time"

	"pumicecroft/decision"
)

const (
	// MaxTrustedAge is the age of a complete snapshot up to which customers that are not in it are taken to have no
	// debt. Their usage at other gateways since the snapshot was taken is not known, but usage reports always lag by
	// some time. The limit is needed because a copy of an old snapshot that was put back can't be told from a fresh
	// snapshot by anything but its age.
	MaxTrustedAge = 10 * time.Second
	// MaxClockSkew is how far in the future a snapshot's time may be, as clocks are adjusted in small steps.
	MaxClockSkew = 2 * time.Second
)

// GatewayInfo describes the gateway that restores a snapshot.
type GatewayInfo struct {
	Index, Count   int
	SettingsDigest uint64
	Plans          []decision.Plan
}

// Restored is the state that a gateway starts with.
type Restored struct {
	// AssumeQuotaSpent means that customers not among Customers are unknown and are assumed to have used up their
	// bursts (decision.Settings.AssumeQuotaSpent). Otherwise they are taken to have no debt.
	AssumeQuotaSpent bool
	Customers        []decision.CustomerState // their state as of now
	Age              time.Duration            // age of the snapshot; negative if its time is in the future
	Repaid           int                      // number of customers in the snapshot with no debt left, or an invalid one
	Explanation      string                   // human-readable
	Err              error                    // why the whole snapshot was rejected, or nil
}

// RestoreWithoutSnapshot returns the state that a gateway starts with if it has no usable snapshot. err is why the
// snapshot was rejected, or nil.
func RestoreWithoutSnapshot(err error) Restored {
	return Restored{
		AssumeQuotaSpent: true,
		Err:              err,
		Explanation:      "nothing is known: customers are assumed to have used up their bursts",
	}
}

// Restore returns the state that a gateway starts with, from a snapshot and the wall-clock time.
//
// Debts are paid off at the plan's rate over time. If all gateways were down together, each of them would credit a
// customer with the customer's whole rate for the same time, so each gateway credits only its share: 1/Gateways of the
// rate, in which MissingTokens counts 100 (percent) per second. Usage reports correct the rest within seconds.
//
// The time that has passed is the snapshot's age. But the snapshot may be an old copy that was put back, or the clock
// may have been set. So debts are reduced only if the age is at most MaxTrustedAge, and customers that are not in the
// snapshot are taken to have no debt only if it is also complete. Of an older snapshot, or one from the future by more
// than MaxClockSkew, only the debts are used, unreduced, so that no customer gets more from it than an unknown customer
// would.
func Restore(s *Snapshot, gateway GatewayInfo, now time.Time) Restored {
	switch {
	case s.GatewayIndex != gateway.Index || s.GatewayCount != gateway.Count:
		return RestoreWithoutSnapshot(fmt.Errorf("%w: gateway %d of %d, this is gateway %d of %d",
			ErrOtherGateway, s.GatewayIndex, s.GatewayCount, gateway.Index, gateway.Count))
	case s.SettingsDigest != gateway.SettingsDigest:
		return RestoreWithoutSnapshot(ErrOtherSettings)
	}
	restored, paidSeconds := assessAge(s, now.Sub(s.TakenAt))
	plans := plansByName(gateway.Plans)
	for _, customer := range s.Customers {
		plan := plans[customer.Plan]
		if plan == nil { // equal settings have the same plans, but the snapshot's contents are not trusted
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

// assessAge begins the Restored of a snapshot: it sets all fields that follow from the snapshot's age and completeness.
// paidSeconds is for how many seconds the debts in it were paid off.
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
