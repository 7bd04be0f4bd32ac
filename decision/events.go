package decision

import "time"

// RequestID names one try of a client. An id is never used twice.
type RequestID uint64

// BackendID names a backend. A machine keeps its id when its process restarts.
type BackendID uint32

// CustomerID names a customer.
type CustomerID uint64

// Event is something that happened at this gateway.
type Event interface{ isEvent() }

// Request is a client's request. From now on it is owed one final answer: a response, a Reject or a
// Fail.
type Request struct {
	ID       RequestID
	Customer CustomerID
	// Class and Plan are names of Settings.Classes and Settings.Plans. An unknown one is rejected
	// as Invalid.
	Class string
	Plan  string
	// Cost is what the request counts against the plan, in units. It must be finite and not
	// negative.
	Cost float64
	// Timeout is how long this client waits for this try. It must be positive.
	Timeout time.Duration
	// FirstGateway and GatewaySpread say which gateways the customer uses: so many in a row, from
	// the first one on.
	FirstGateway  int
	GatewaySpread int
	// Protocol is the name of what the request speaks. It goes only to backends of the same
	// Protocol.
	Protocol string
}

// BackendState is what an endpoint update says of a backend. The zero value is Ready.
type BackendState uint8

// The states of a backend.
const (
	Ready    BackendState = iota
	Draining              // it completes its requests; nothing new may be sent
	Removed               // it no longer exists
)

// Endpoint is one entry of an endpoint update. The Engine does not read InstanceType and Weight: it
// selects by what it sees of a backend itself.
type Endpoint struct {
	ID           BackendID
	State        BackendState
	Zone         string
	InstanceType string
	Cell         int
	// StartedAt is when the backend's process last started. Zero: long ago.
	StartedAt time.Duration
	Weight    float64
	// Protocol is what the backend speaks, a name without a meaning here. A backend keeps it as
	// long as its ID.
	Protocol string
}

// UpdateKind says what an endpoint update holds. The zero value is UpdateDelta.
type UpdateKind uint8

// The kinds of endpoint updates.
const (
	UpdateDelta  UpdateKind = iota // only what changed
	UpdateFull                     // all endpoints; one that it lacks is removed
	UpdateCached                   // all endpoints as last known before a restart; handled as UpdateFull
	UpdateFailed                   // the update could not be had; the endpoints stay as they are
)

// EndpointUpdate changes the set of backends.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// Result is how an attempt, a probe or a call to the counter ended. The zero value is Succeeded.
type Result uint8

// The results. Rejected, ConnectFailed and NotSent prove that the attempt never ran; all others may
// mean that it did.
const (
	Succeeded      Result = iota // the backend served it
	ErrorResponse                // the backend responded with an error
	Rejected                     // the backend turned it away without running it: it is full or drains
	TimedOut                     // no response came in time
	ConnectFailed                // no connection could be made
	ConnectionLost               // the connection broke while the attempt was in flight
	Cancelled                    // it was cancelled by CancelAttempt
	NotSent                      // it never left this gateway
	Unknown                      // a result that was not recognised
)

// Outcome ends one attempt. Each StartAttempt is followed by exactly one.
type Outcome struct {
	Request RequestID
	Backend BackendID
	Attempt int // from 0, in the order of the request's attempts
	Result  Result
	Latency time.Duration
	// Final says that the request has ended with this outcome; no further answer is owed.
	Final bool
	// HasUsage says that Usage holds a report: the customer's use over all gateways in the last
	// completed usage period, in percent of its plan's rate.
	HasUsage bool
	Usage    float64
	// SettledCost is the true cost in units where it is settled afterwards, else 0. The Engine does not
	// read it.
	SettledCost float64
	// LoadReport holds the figures of Settings.LoadReportFields, or nothing. The Engine does not read
	// it.
	LoadReport []float64
}

// ResponseStarted tells that the first part of a streamed response has been passed on. The attempt
// now belongs to the client: it is neither cancelled nor repeated.
type ResponseStarted struct {
	Request RequestID
	Attempt int
}

// ClientDisconnected tells that the client of a request has left. No final answer is owed any more.
type ClientDisconnected struct{ Request RequestID }

// ProbeResult ends one Probe. The Engine makes none.
type ProbeResult struct {
	Backend    BackendID
	Result     Result
	Latency    time.Duration
	LoadReport []float64
}

// CounterResult ends one CounterAdd. Total is valid for Succeeded alone. Rejected and ConnectFailed
// prove that nothing was added; with any other result it may have been.
type CounterResult struct {
	Ref    uint64
	Result Result
	Total  float64
}

// ProcessPaused tells that this process may not have run for the given time until now. Attempts in
// flight are not slow by that much: their backends may have responded meanwhile.
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
