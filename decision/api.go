// Package decision makes the decisions of a gateway that holds every customer of a shared back end to
// its plan: which requests go on, to which backend, when to try again, and when to refuse.
//
// An embedding front door creates one Gateway with New and passes it everything that happens, in order, by
// Handle; it carries out the returned actions at once and in order. The package has no clock, does no I/O,
// holds no locks and keeps no package state: two gateways given the same seed and events act alike. A
// Gateway is not safe for concurrent use. All times are durations on one clock that only moves forward and
// whose origin does not matter. gateway.go begins the decisions, and tells in which file each
// concern is.
package decision

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// RequestID names one try of a client. An id is never used twice.
type RequestID uint64

// BackendID names a backend; a machine keeps its id when its process restarts.
type BackendID uint32

// CustomerID names a customer.
type CustomerID uint64

// Idempotency says what repeating a request of a class may do.
type Idempotency uint8

// The effects of a class.
const (
	Idempotent      Idempotency = iota // repeating it is harmless
	IdempotentByKey                    // backends of one group drop a repeat within the class's window
	NonIdempotent                      // it must not run twice
)

// DedupScope says which backends share the memory of keys already seen.
type DedupScope uint8

// The groups of a keyed class.
const (
	DedupScopeAll  DedupScope = iota // every backend
	DedupScopeZone                   // the backends of one zone
	DedupScopeCell                   // the backends of one cell
)

// Class describes one class of requests. Its cbor tags go into the digest of settings in stored snapshots, and never change.
type Class struct {
	Name             string        `cbor:"Name"`
	Idempotency      Idempotency   `cbor:"Effect"`
	DedupScope       DedupScope    `cbor:"Group"`
	DedupWindow      time.Duration `cbor:"KeyWindow"` // how long a keyed class's repeats are dropped, from the first try that may have run
	LatencyObjective time.Duration `cbor:"Aim"`       // an answer inside it earns the full worth
	Deadline         time.Duration `cbor:"Deadline"`  // the longest that a client waits over all its tries
	PriorityWeight   float64       `cbor:"Worth"`
	LateWeightFactor float64       `cbor:"LateWorth"` // the share of the worth that an answer past the aim earns
	Streaming        bool          `cbor:"Stream"`    // answers start (AnswerStarted) before they end
}

// Plan is what customers have bought. Its figures hold for each customer over all front doors together. Its cbor tags are as Class's.
type Plan struct {
	Name                  string  `cbor:"Name"`
	Rate                  float64 `cbor:"Rate"`         // units a second; 0: no such quota
	Burst                 float64 `cbor:"Burst"`        // units that may be used at once
	MaxInFlight           int     `cbor:"Open"`         // attempts that may be out at once; 0: no such quota
	Price                 float64 `cbor:"Price"`        // multiplies the worth
	OverQuotaWeightFactor float64 `cbor:"OverWorth"`    // share of its worth that a request sent on beyond the quota earns
	OverQuotaCostFactor   float64 `cbor:"OverCost"`     // share of its worth that it costs
	HardLimitRate         float64 `cbor:"CeilingRate"`  // the hard ceiling's refill, units a second; 0: no ceiling
	HardLimitBurst        float64 `cbor:"CeilingBurst"` // the hard ceiling's store, units
	HardLimitOverdraft    float64 `cbor:"CeilingSlack"` // how far that store may go below nothing
}

// Settings are the facts that a gateway starts with. Their cbor tags are as Class's.
type Settings struct {
	GatewayCount           int           `cbor:"FrontDoors"` // how many front doors share the back end
	GatewayIndex           int           `cbor:"Me"`         // this one's number among them, from 0
	Zone                   string        `cbor:"Zone"`
	Classes                []Class       `cbor:"Classes"`
	Plans                  []Plan        `cbor:"Plans"`
	UsagePeriod            time.Duration `cbor:"MeterPeriod"`   // the period over which the meter sums a customer's use; 0: no meter
	MaxCost                float64       `cbor:"LargestUnits"`  // the most units that one request counts
	MaxAttempts            int           `cbor:"MaxAttempts"`   // attempts allowed for one request
	AllowHedging           bool          `cbor:"ParallelTries"` // two attempts of a request may be out together
	CanCancel              bool          `cbor:"CanCancel"`
	CanProbe               bool          `cbor:"CanProbe"`
	MaxRetryAfter          time.Duration `cbor:"MaxRetryAfter"` // the longest advice that clients follow; 0: they get none
	SubscribeToEndpoints   bool          `cbor:"AskForList"`    // the list of backends must be subscribed to
	LoadReportFields       []string      `cbor:"LoadColumns"`   // what a load report holds, in order
	LoadReportsInResponses bool          `cbor:"LoadInAnswers"` // reports come in answers as well as in probe results
	ResponseGrace          time.Duration `cbor:"AnswerGrace"`   // how long past a client's patience a final answer still counts
	DrainGrace             time.Duration `cbor:"DrainGrace"`    // how long sends to a draining backend may go on
	SlowStartMinCapacity   float64       `cbor:"ColdFrom"`      // the least share of its capacity that a started backend has
	SlowStartWindow        time.Duration `cbor:"WarmWithin"`    // how long until it has all of it
	OverloadFactor         float64       `cbor:"FallMultiple"`  // sent more than this multiple of its present capacity
	OverloadDuration       time.Duration `cbor:"FallFor"`       // for this long, a cold backend falls over
	// AssumeQuotaSpent has a gateway take customers that it meets first to have used up their bursts just before it started, all but what it
	// never gives away: before a restart they may have. Else it takes them to have used nothing.
	AssumeQuotaSpent bool `cbor:"StartSpent"`
	// HasSharedCounter says that Count may be asked for: a counter of all front doors.
	HasSharedCounter bool `cbor:"SharedCounter"`
}

// LongestDeadline is the longest of all classes.
func (s Settings) LongestDeadline() time.Duration {
	d := time.Duration(0)
	for _, c := range s.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

// Validate tells what a gateway cannot work with.
func (s Settings) Validate() error {
	bad := func(least float64, vs ...float64) bool {
		return slices.ContainsFunc(vs, func(v float64) bool { return !(v >= least) || math.IsInf(v, 0) })
	}
	if len(s.Classes) == 0 || len(s.Plans) == 0 || s.GatewayCount < 1 || s.MaxAttempts < 1 {
		return errors.New("settings without classes, plans, front doors or attempts")
	}
	if bad(0, s.SlowStartMinCapacity, s.OverloadFactor, s.MaxCost, float64(s.UsagePeriod), float64(s.SlowStartWindow)) {
		return errors.New("settings with figures that are not numbers of 0 or more")
	}
	for _, c := range s.Classes {
		if c.LatencyObjective <= 0 || c.Deadline <= 0 || bad(0, c.PriorityWeight, c.LateWeightFactor, float64(c.DedupWindow)) {
			return fmt.Errorf("class %q needs an aim, a deadline and a worth", c.Name)
		}
	}
	for _, p := range s.Plans {
		if p.Rate <= 0 && p.MaxInFlight <= 0 && p.HardLimitRate <= 0 && p.Burst > 0 || p.Rate > 0 && p.Burst <= 0 ||
			bad(0, p.Rate, p.Burst, p.Price, p.HardLimitRate, p.HardLimitBurst, p.HardLimitOverdraft, float64(p.MaxInFlight)) {
			return fmt.Errorf("plan %q has a quota that cannot be kept", p.Name)
		}
	}
	return nil
}

// Event is something that happened at this front door.
type Event interface{ isEvent() }

// Request is a client's request, which from now on is owed one final answer.
type Request struct {
	ID            RequestID
	Customer      CustomerID
	Class         string
	Plan          string
	Cost          float64
	Timeout       time.Duration // how long this client waits for this try
	FirstGateway  int           // the first of the front doors that the customer uses
	GatewaySpread int           // how many doors in a row it uses
	Protocol      string        // only backends that speak it are sent to
}

// BackendState is what the list says of a backend.
type BackendState uint8

// The states of a backend.
const (
	Ready    BackendState = iota
	Draining              // it completes its work; nothing new may be sent
	Removed               // taken away
)

// Endpoint is one entry of the list of backends.
type Endpoint struct {
	ID           BackendID
	State        BackendState
	Zone         string
	InstanceType string
	Cell         int
	StartedAt    time.Duration // when its process last started; 0: long ago
	Weight       float64
	// Protocol is what the backend speaks, a name that means nothing here. A backend keeps it while it has its id.
	Protocol string
}

// UpdateKind says what a list update holds.
type UpdateKind uint8

// The kinds of list updates.
const (
	UpdateDelta  UpdateKind = iota // only what changed
	UpdateFull                     // everything; what it lacks is gone
	UpdateCached                   // everything as last held before a restart; it may be stale
	UpdateFailed                   // asking failed; the earlier list stays
)

// EndpointUpdate is news about the backends.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// Result is how an attempt or a probe ended.
type Result uint8

// The results. Refused, NoConnection and NotSent prove that the attempt never ran.
const (
	Succeeded      Result = iota // served
	ErrorResponse                // the backend answered with an error
	Rejected                     // turned away unseen: full or draining
	TimedOut                     // no answer in time
	ConnectFailed                // no connection could be made
	ConnectionLost               // the connection broke while the attempt was out
	Cancelled                    // called off by Cancel
	NotSent                      // it never left this front door
	Unknown                      // not recognised; it may have run
)

// Outcome ends one attempt. Each Send gets exactly one.
type Outcome struct {
	Request     RequestID
	Backend     BackendID
	Attempt     int // numbered from 0 in the order of the request's sends
	Result      Result
	Latency     time.Duration
	Final       bool // the request has ended; nothing more is owed
	HasUsage    bool
	Usage       float64 // the customer's use over all front doors in the last summed period, percent of its rate
	SettledCost float64 // true units, where they are settled afterwards; else 0
	LoadReport  []float64
}

// ResponseStarted tells that a streamed answer has begun; the attempt now belongs to the client.
type ResponseStarted struct {
	Request RequestID
	Attempt int
}

// ClientDisconnected tells that the client of a request has left; nothing is owed any more.
type ClientDisconnected struct{ Request RequestID }

// ProbeResult answers one Probe.
type ProbeResult struct {
	Backend    BackendID
	Result     Result
	Latency    time.Duration
	LoadReport []float64
}

// CounterResult answers one Count. Only Answered has a total; Refused and NoConnection prove that nothing was added.
type CounterResult struct {
	Ref    uint64
	Result Result
	Total  float64
}

// ProcessPaused tells that this process may have stood still until now, for so long: what was out meanwhile is not late by its backend's fault.
type ProcessPaused struct{ Duration time.Duration }

// Timer tells that a SetTimer has come due.
type Timer struct{ Token uint64 }

func (Request) isEvent()            {}
func (EndpointUpdate) isEvent()     {}
func (Outcome) isEvent()            {}
func (ResponseStarted) isEvent()    {}
func (ClientDisconnected) isEvent() {}
func (ProbeResult) isEvent()        {}
func (CounterResult) isEvent()      {}
func (ProcessPaused) isEvent()      {}
func (Timer) isEvent()              {}

// Action is something that the front door must do, at once and in order.
type Action interface{ isAction() }

// StartAttempt starts an attempt: a first try, a retry, or a hedge.
type StartAttempt struct {
	Request RequestID
	Backend BackendID
	Timeout time.Duration // 0: until the client leaves
	// NotAfter is the time after which it must not leave any more: it then ends as NotSent. 0: none. A repeat of what may have
	// run is dropped for so long only.
	NotAfter time.Duration
}

// Reject is a final answer; it tells the client that trying again does no harm.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // 0: no advice
	Reason     Reason
}

// Reason is why a request was refused, for people and for the form of the refusal.
type Reason uint8

// The reasons.
const (
	Invalid     Reason = iota // it makes no sense: no such class or plan, no units, no time
	OverQuota                 // its customer has used up the plan's quota or ceiling, as far as this door knows
	NoBackend                 // no backend may be sent to now
	Overloaded                // the backends have as much as they can answer in time
	Unprocessed               // it was sent, and provably ran nowhere or may run again
)

// String names a reason.
func (r Reason) String() string {
	return [...]string{"unfit", "over quota", "no backend", "no room", "not taken"}[min(r, Unprocessed)]
}

// Fail is a final answer that promises nothing.
type Fail struct{ Request RequestID }

// CancelAttempt stops the wait for one attempt; its outcome still follows.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// SetTimer asks for a Timer event with the token. Token 0 is the gateway's own; any other belongs to Request,
// and once that has had its final answer the timer need not come any more.
type SetTimer struct {
	After   time.Duration
	Token   uint64
	Request RequestID
}

// Probe asks a backend for its load report.
type Probe struct{ Backend BackendID }

// CounterAdd adds an amount to a number that all front doors share, and asks for the total. One Counted follows.
type CounterAdd struct {
	Ref    uint64
	Key    uint64 // of the number, below 2^63
	Amount float64
	TTL    time.Duration // how long a name that is new is kept
}

// Subscribe asks for changes of the list of backends.
type Subscribe struct{}

func (StartAttempt) isAction()  {}
func (Reject) isAction()        {}
func (Fail) isAction()          {}
func (CancelAttempt) isAction() {}
func (SetTimer) isAction()      {}
func (Probe) isAction()         {}
func (CounterAdd) isAction()    {}
func (Subscribe) isAction()     {}
