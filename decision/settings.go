package decision

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Idempotency says whether a request of a class may be executed more than once. The values are ordered:
// a higher one is stricter. The zero value is Idempotent.
type Idempotency uint8

// The values of Idempotency.
const (
	Idempotent Idempotency = iota // it may be executed any number of times
	// IdempotentByKey: backends drop repeats with the same idempotency key within DedupScope and
	// DedupWindow. All attempts of a request carry its key, which the Engine does not see.
	IdempotentByKey
	NonIdempotent // it must not be executed more than once
)

// DedupScope says which backends share their record of idempotency keys, and so drop each other's
// repeats. The zero value is DedupScopeAll.
type DedupScope uint8

// The values of DedupScope.
const (
	DedupScopeAll  DedupScope = iota // every backend
	DedupScopeZone                   // the backends of one zone
	DedupScopeCell                   // the backends of one cell
)

// Class describes one class of requests. The digest of the settings in stored snapshots depends on
// the cbor tags and the order of the fields, so neither must ever change.
type Class struct {
	Name        string      `cbor:"Name"`
	Idempotency Idempotency `cbor:"Effect"`
	// DedupScope applies only to classes that are IdempotentByKey.
	DedupScope DedupScope `cbor:"Group"`
	// DedupWindow is how long backends drop repeats of a request that is IdempotentByKey, counted
	// from its first attempt that may have been executed. Zero: they drop none, so such a request is
	// never repeated.
	DedupWindow time.Duration `cbor:"KeyWindow"`
	// LatencyObjective is the highest latency at which a response still counts with the full weight
	// of its request. It must be positive.
	LatencyObjective time.Duration `cbor:"Aim"`
	// Deadline is the longest that a client waits, over all its tries. It must be positive.
	Deadline time.Duration `cbor:"Deadline"`
	// PriorityWeight is the weight of one unit of cost, before it is multiplied by the plan's
	// Price. The weight of a request is its value compared with other requests. It may be zero.
	PriorityWeight float64 `cbor:"Worth"`
	// LateWeightFactor is the share of its weight, 0 to 1, with which a request counts whose response
	// comes after LatencyObjective. The Engine does not read it.
	LateWeightFactor float64 `cbor:"LateWorth"`
	// Streaming says that responses are streamed: ResponseStarted precedes the Outcome. The Engine
	// does not read it.
	Streaming bool `cbor:"Stream"`
}

// Plan holds the limits that a customer has bought. They apply to each customer over all gateways
// together. As in Class, the cbor tags and the order of the fields must not change.
type Plan struct {
	Name string `cbor:"Name"`
	// Rate is the quota in units of cost a second. Zero: no rate quota.
	Rate float64 `cbor:"Rate"`
	// Burst is the cost, in units, that may be used at once. It must be positive if Rate is.
	Burst float64 `cbor:"Burst"`
	// MaxInFlight is how many attempts of one customer may be in flight. Zero: no limit.
	MaxInFlight int `cbor:"Open"`
	// Price multiplies the class's PriorityWeight.
	Price float64 `cbor:"Price"`
	// OverQuotaWeightFactor and OverQuotaCostFactor are used only to estimate what forwarding a
	// newcomer's request gains, as it may turn out to be beyond the quota. OverQuotaWeightFactor is
	// the share of its weight with which a request counts that is forwarded beyond the quota.
	OverQuotaWeightFactor float64 `cbor:"OverWorth"`
	// OverQuotaCostFactor is the penalty for that, as a multiple of the request's weight. It is not
	// in units of cost.
	OverQuotaCostFactor float64 `cbor:"OverCost"`
	// HardLimitRate is the refill rate of the hard limit's token bucket, in units a second. Zero:
	// no hard limit.
	HardLimitRate float64 `cbor:"CeilingRate"`
	// HardLimitBurst is the size of that bucket, in units.
	HardLimitBurst float64 `cbor:"CeilingBurst"`
	// HardLimitOverdraft is how far below zero that bucket may go, in units, before the limit
	// counts as violated. The Engine does not read it.
	HardLimitOverdraft float64 `cbor:"CeilingSlack"`
}

// Settings is the configuration of an Engine. It never changes: a gateway whose settings change
// starts a new Engine. The cbor tags are earlier names of the fields; as in Class, the tags and the
// order of the fields must not change.
type Settings struct {
	// GatewayCount is how many gateways share the backends, at least 1. GatewayIndex is the number
	// of this one, from 0.
	GatewayCount int `cbor:"FrontDoors"`
	GatewayIndex int `cbor:"Me"`
	// Zone is this gateway's zone. The Engine does not read it: selection has no zone preference.
	Zone    string  `cbor:"Zone"`
	Classes []Class `cbor:"Classes"`
	Plans   []Plan  `cbor:"Plans"`
	// UsagePeriod is the period that each usage report covers. Zero: there are no usage reports.
	UsagePeriod time.Duration `cbor:"MeterPeriod"`
	// MaxCost is the largest cost of one request, in units.
	MaxCost float64 `cbor:"LargestUnits"`
	// MaxAttempts is how many attempts one request may have, including the first; at least 1.
	MaxAttempts int `cbor:"MaxAttempts"`
	// AllowHedging says that a request may have two attempts in flight at the same time. The Engine
	// does not read it: it never hedges.
	AllowHedging bool `cbor:"ParallelTries"`
	// CanCancel says that the gateway supports CancelAttempt.
	CanCancel bool `cbor:"CanCancel"`
	// CanProbe says that the gateway supports Probe. The Engine does not read it: it never probes.
	CanProbe bool `cbor:"CanProbe"`
	// MaxRetryAfter is the longest Retry-After that clients honour. Zero: rejections have no
	// Retry-After.
	MaxRetryAfter time.Duration `cbor:"MaxRetryAfter"`
	// SubscribeToEndpoints says that endpoint updates arrive only after a Subscribe action.
	SubscribeToEndpoints bool `cbor:"AskForList"`
	// LoadReportFields are the names of the figures in a load report, in order. The Engine does not
	// read load reports.
	LoadReportFields []string `cbor:"LoadColumns"`
	// LoadReportsInResponses says that outcomes carry load reports as well as probe results.
	LoadReportsInResponses bool `cbor:"LoadInAnswers"`
	// ResponseGrace is how long after a client's deadline a final answer is still accepted. The
	// Engine uses it as a margin before the end of DedupWindow.
	ResponseGrace time.Duration `cbor:"AnswerGrace"`
	// DrainGrace is how long after a backend starts to drain a gateway that does not know it yet
	// may still send to it. Package lifecycle uses it. The Engine does not: it never sends to a
	// backend that it knows to be draining.
	DrainGrace time.Duration `cbor:"DrainGrace"`
	// SlowStartMinCapacity is the share of its full capacity, 0 to 1, that a backend has when it
	// starts.
	SlowStartMinCapacity float64 `cbor:"ColdFrom"`
	// SlowStartWindow is the time from a backend's start until it has its full capacity.
	SlowStartWindow time.Duration `cbor:"WarmWithin"`
	// OverloadFactor and OverloadDuration say when a backend in slow start fails from overload:
	// when it is sent more than OverloadFactor times its present capacity for OverloadDuration. The
	// Engine does not read OverloadDuration.
	OverloadFactor   float64       `cbor:"FallMultiple"`
	OverloadDuration time.Duration `cbor:"FallFor"`
	// AssumeQuotaSpent has the Engine assume that every customer had used its burst, except for the
	// quota margin (quotaMarginRatio of it), just before the Engine was created, as it may have done before a restart.
	// Unset: a customer starts with its full burst, or with its restored tokens.
	AssumeQuotaSpent bool `cbor:"StartSpent"`
	// MaxCustomers is how many customers the Engine knows at most; zero: DefaultMaxCustomers. Beyond that it forgets the
	// one that has sent nothing for longest, see dropCustomer. Saved states do not depend on it.
	MaxCustomers int `cbor:"-"`
	// RejectUnexecutedOnly says that a request that is not idempotent is rejected only if it was never executed, even if
	// all backends drop repeats of it: its client may repeat it when they have forgotten it. Saved states do not depend on
	// it.
	RejectUnexecutedOnly bool `cbor:"-"`
	// HasSharedCounter says that the gateway supports CounterAdd.
	HasSharedCounter bool `cbor:"SharedCounter"`
}

// DefaultMaxCustomers is the default of Settings.MaxCustomers.
const DefaultMaxCustomers = 100_000

// LongestDeadline returns the longest Deadline of any class.
func (s Settings) LongestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, class := range s.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// Validate returns an error that describes the first setting that an Engine cannot work with, or
// nil.
func (s Settings) Validate() error {
	if len(s.Classes) == 0 || len(s.Plans) == 0 || s.GatewayCount < 1 || s.MaxAttempts < 1 {
		return errors.New("decision: settings need at least one class and one plan, " +
			"and a GatewayCount and MaxAttempts of at least 1")
	}
	if !finiteNonNegative(s.SlowStartMinCapacity, s.OverloadFactor, s.MaxCost, float64(s.UsagePeriod),
		float64(s.SlowStartWindow), float64(s.MaxCustomers)) {
		return errors.New("decision: slow-start capacity and window, overload factor, maximum cost, usage period " +
			"and maximum number of customers must be finite and not negative")
	}
	for _, class := range s.Classes {
		if err := class.validate(); err != nil {
			return err
		}
	}
	for _, plan := range s.Plans {
		if err := plan.validate(); err != nil {
			return err
		}
	}
	return nil
}

func (c Class) validate() error {
	if c.LatencyObjective <= 0 || c.Deadline <= 0 ||
		!finiteNonNegative(c.PriorityWeight, c.LateWeightFactor, float64(c.DedupWindow)) {
		return fmt.Errorf("decision: class %q needs a positive latency objective and deadline, "+
			"and weights and a deduplication window that are finite and not negative", c.Name)
	}
	return nil
}

func (p Plan) validate() error {
	limited := p.Rate > 0 || p.MaxInFlight > 0 || p.HardLimitRate > 0
	if !limited && p.Burst > 0 || p.Rate > 0 && p.Burst <= 0 ||
		!finiteNonNegative(p.Rate, p.Burst, p.Price, float64(p.MaxInFlight)) ||
		!finiteNonNegative(p.HardLimitRate, p.HardLimitBurst, p.HardLimitOverdraft) {
		return fmt.Errorf("decision: plan %q: limits and price must be finite and not negative, "+
			"a rate needs a burst, and a burst needs a rate, an in-flight limit or a hard limit", p.Name)
	}
	return nil
}

// finiteNonNegative reports whether all figures are finite and at least 0. NaN is not.
func finiteNonNegative(figures ...float64) bool {
	return !slices.ContainsFunc(figures, func(f float64) bool { return !(f >= 0) || math.IsInf(f, 0) })
}
