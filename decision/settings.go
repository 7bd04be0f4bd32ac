package decision

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Idempotency says what repeating a request of a class may do. The zero value is Idempotent.
type Idempotency uint8

// The values of Idempotency.
const (
	Idempotent      Idempotency = iota // repeating it is harmless
	IdempotentByKey                    // backends drop a repeat within DedupScope and DedupWindow
	NonIdempotent                      // it must not run twice
)

// DedupScope says which backends share the memory of idempotency keys. The zero value is
// DedupScopeAll.
type DedupScope uint8

// The values of DedupScope.
const (
	DedupScopeAll  DedupScope = iota // every backend
	DedupScopeZone                   // the backends of one zone
	DedupScopeCell                   // the backends of one cell
)

// Class describes one class of requests. Its cbor tags and the order of its fields go into the
// digest of settings in stored snapshots, and must never change.
type Class struct {
	Name        string      `cbor:"Name"`
	Idempotency Idempotency `cbor:"Effect"`
	// DedupScope is used for classes that are IdempotentByKey.
	DedupScope DedupScope `cbor:"Group"`
	// DedupWindow is how long backends drop repeats of a request that is IdempotentByKey, from its
	// first attempt that may have run. Zero: they drop none, so such a request is never repeated.
	DedupWindow time.Duration `cbor:"KeyWindow"`
	// LatencyObjective is the latency up to which a response earns the full weight. It must be
	// positive.
	LatencyObjective time.Duration `cbor:"Aim"`
	// Deadline is the longest that a client waits over all its tries. It must be positive.
	Deadline time.Duration `cbor:"Deadline"`
	// PriorityWeight is what one unit of cost is worth, before the plan's Price. Zero: nothing.
	PriorityWeight float64 `cbor:"Worth"`
	// LateWeightFactor is the share of the weight, 0 to 1, that a response past the objective
	// earns.
	LateWeightFactor float64 `cbor:"LateWorth"`
	// Streaming says that a response starts (ResponseStarted) before it ends. The Engine does not read
	// it.
	Streaming bool `cbor:"Stream"`
}

// Plan is what customers have bought. Its limits hold for each customer over all gateways together.
// Its cbor tags and the order of its fields must not change, as those of Class.
type Plan struct {
	Name string `cbor:"Name"`
	// Rate is the quota in units of cost a second. Zero: no such quota.
	Rate float64 `cbor:"Rate"`
	// Burst is the cost that may be used at once, in units. It must be positive where Rate is.
	Burst float64 `cbor:"Burst"`
	// MaxInFlight is how many attempts may be in flight. Zero: no limit.
	MaxInFlight int `cbor:"Open"`
	// Price multiplies the class's PriorityWeight.
	Price float64 `cbor:"Price"`
	// OverQuotaWeightFactor is the share of its weight that a request forwarded beyond the quota
	// earns.
	OverQuotaWeightFactor float64 `cbor:"OverWorth"`
	// OverQuotaCostFactor is the share of its weight that a request forwarded beyond the quota
	// costs.
	OverQuotaCostFactor float64 `cbor:"OverCost"`
	// HardLimitRate is the refill of the hard limit's token bucket, in units a second. Zero: no
	// hard limit.
	HardLimitRate float64 `cbor:"CeilingRate"`
	// HardLimitBurst is the size of that bucket, in units.
	HardLimitBurst float64 `cbor:"CeilingBurst"`
	// HardLimitOverdraft is how far, in units, that bucket may go below zero before the limit
	// counts as broken.
	HardLimitOverdraft float64 `cbor:"CeilingSlack"`
}

// Settings are the facts that an Engine starts with. They never change; a gateway whose settings
// change starts a new Engine. Their cbor tags, which are earlier names of the fields, and the
// order of the fields must not change, as those of Class.
type Settings struct {
	// GatewayCount is how many gateways share the backends, at least 1. GatewayIndex is this one's
	// number, from 0.
	GatewayCount int `cbor:"FrontDoors"`
	GatewayIndex int `cbor:"Me"`
	// Zone is this gateway's zone. The Engine does not read it: it prefers no zone.
	Zone    string  `cbor:"Zone"`
	Classes []Class `cbor:"Classes"`
	Plans   []Plan  `cbor:"Plans"`
	// UsagePeriod is the period over which usage reports sum a customer's use. Zero: there are no
	// reports.
	UsagePeriod time.Duration `cbor:"MeterPeriod"`
	// MaxCost is the largest cost of one request, in units.
	MaxCost float64 `cbor:"LargestUnits"`
	// MaxAttempts is how many attempts one request may have in all, at least 1.
	MaxAttempts int `cbor:"MaxAttempts"`
	// AllowHedging says that two attempts of a request may be in flight together. The Engine does not
	// read it: it never hedges.
	AllowHedging bool `cbor:"ParallelTries"`
	// CanCancel says that CancelAttempt is carried out.
	CanCancel bool `cbor:"CanCancel"`
	// CanProbe says that Probe is carried out. The Engine does not read it: it never probes.
	CanProbe bool `cbor:"CanProbe"`
	// MaxRetryAfter is the longest Retry-After that clients follow. Zero: they are given none.
	MaxRetryAfter time.Duration `cbor:"MaxRetryAfter"`
	// SubscribeToEndpoints says that endpoint updates come only after Subscribe.
	SubscribeToEndpoints bool `cbor:"AskForList"`
	// LoadReportFields are the names of what a load report holds, in order. The Engine does not read
	// load reports.
	LoadReportFields []string `cbor:"LoadColumns"`
	// LoadReportsInResponses says that load reports come with outcomes as well as with probe
	// results.
	LoadReportsInResponses bool `cbor:"LoadInAnswers"`
	// ResponseGrace is how long past a client's deadline a final answer still counts.
	ResponseGrace time.Duration `cbor:"AnswerGrace"`
	// DrainGrace is how long after a backend is told to drain a gateway that does not know it yet may
	// still send to it. The Engine does not read it: it sends nothing to a backend that it knows to
	// drain. Package lifecycle does.
	DrainGrace time.Duration `cbor:"DrainGrace"`
	// SlowStartMinCapacity is the share of its capacity, 0 to 1, that a backend has as it starts.
	SlowStartMinCapacity float64 `cbor:"ColdFrom"`
	// SlowStartWindow is how long after its start a backend has all of its capacity.
	SlowStartWindow time.Duration `cbor:"WarmWithin"`
	// OverloadFactor and OverloadDuration say when a backend that is warming up fails: when it is
	// sent more than this multiple of its present capacity for this long.
	OverloadFactor   float64       `cbor:"FallMultiple"`
	OverloadDuration time.Duration `cbor:"FallFor"`
	// AssumeQuotaSpent has the Engine assume that a customer it meets first had used up its burst,
	// but for the quota margin, just before the Engine was created: before a restart it may have.
	// Unset: it had used nothing.
	AssumeQuotaSpent bool `cbor:"StartSpent"`
	// HasSharedCounter says that CounterAdd is carried out.
	HasSharedCounter bool `cbor:"SharedCounter"`
}

// LongestDeadline returns the longest Deadline of all classes.
func (s Settings) LongestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, class := range s.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// Validate returns an error that names what an Engine cannot work with, or nil.
func (s Settings) Validate() error {
	if len(s.Classes) == 0 || len(s.Plans) == 0 || s.GatewayCount < 1 || s.MaxAttempts < 1 {
		return errors.New("decision: settings without classes, plans, gateways or attempts")
	}
	if !finiteNonNegative(s.SlowStartMinCapacity, s.OverloadFactor, s.MaxCost, float64(s.UsagePeriod),
		float64(s.SlowStartWindow)) {
		return errors.New("decision: settings with figures that are not finite numbers of 0 or more")
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
		return fmt.Errorf("decision: class %q needs a latency objective, a deadline and a weight", c.Name)
	}
	return nil
}

func (p Plan) validate() error {
	limited := p.Rate > 0 || p.MaxInFlight > 0 || p.HardLimitRate > 0
	if !limited && p.Burst > 0 || p.Rate > 0 && p.Burst <= 0 ||
		!finiteNonNegative(p.Rate, p.Burst, p.Price, float64(p.MaxInFlight)) ||
		!finiteNonNegative(p.HardLimitRate, p.HardLimitBurst, p.HardLimitOverdraft) {
		return fmt.Errorf("decision: plan %q has a quota that cannot be enforced", p.Name)
	}
	return nil
}

// finiteNonNegative reports whether all figures are finite numbers of 0 or more; NaN is none.
func finiteNonNegative(figures ...float64) bool {
	return !slices.ContainsFunc(figures, func(f float64) bool { return !(f >= 0) || math.IsInf(f, 0) })
}
