package decision

import "time"

// RequestID identifies a request. A client may send the same request several times; each of these
// tries is a Request with an ID of its own. No other request ever gets the same ID. A Request event
// with the ID of a request that is not complete is ignored.
type RequestID uint64

// BackendID identifies a backend. A backend keeps its ID when its process restarts.
type BackendID uint32

// CustomerID identifies a customer.
type CustomerID uint64

// Event is something that happened at this gateway.
type Event interface{ isEvent() }

// Request is a client's request. It must get exactly one final answer: a response, a Reject or a
// Fail.
type Request struct {
	ID       RequestID
	Customer CustomerID
	// Class and Plan name one of Settings.Classes and Settings.Plans. A request with an unknown
	// name is rejected as Invalid.
	Class string
	Plan  string
	// Cost is the cost charged to the plan, in units. It must be finite and not negative.
	Cost float64
	// Timeout is how long the client waits for this try. It must be positive.
	Timeout time.Duration
	// FirstGateway and GatewaySpread say which gateways the customer uses: GatewaySpread of them
	// with consecutive indexes, from FirstGateway on.
	FirstGateway  int
	GatewaySpread int
	// Protocol is the name of the request's protocol. It is sent only to backends with the same
	// Protocol.
	Protocol string
}

// BackendState is the state of a backend in an endpoint update. The zero value is Ready.
type BackendState uint8

// The states of a backend.
const (
	Ready    BackendState = iota
	Draining              // it completes its requests; no new ones may be sent to it
	Removed               // it no longer exists
)

// Endpoint is one entry of an endpoint update. The Engine does not read InstanceType and Weight: it
// selects backends by its own measurements.
type Endpoint struct {
	ID           BackendID
	State        BackendState
	Zone         string
	InstanceType string
	Cell         int
	// StartedAt is when the backend's process last started. Zero: long ago.
	StartedAt time.Duration
	Weight    float64
	// Protocol is the name of the backend's protocol; it is only compared. It never changes for an
	// ID.
	Protocol string
}

// UpdateKind says what an endpoint update contains. The zero value is UpdateDelta.
type UpdateKind uint8

// The kinds of endpoint updates.
const (
	UpdateDelta  UpdateKind = iota // only what changed
	UpdateFull                     // all endpoints; those that are missing are removed
	UpdateCached                   // all endpoints, as stored before a restart; handled like UpdateFull
	UpdateFailed                   // no update could be obtained; the endpoints stay as they are
)

// EndpointUpdate changes the set of backends.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// Result is how an attempt, a probe or a call of the shared counter ended. The zero value is
// Succeeded.
type Result uint8

// The results. Rejected, ConnectFailed and NotSent prove that the attempt was never executed; after
// any other it may have been executed.
const (
	Succeeded      Result = iota // the backend served it
	ErrorResponse                // the backend responded with an error
	Rejected                     // the backend refused it without executing it, as it is full or draining
	TimedOut                     // no response came in time
	ConnectFailed                // no connection could be made
	ConnectionLost               // the connection broke while the attempt was in flight
	Cancelled                    // it was cancelled by CancelAttempt
	NotSent                      // it was never sent by this gateway
	Unknown                      // the result was not recognized
)

// Outcome reports the end of one attempt. Each StartAttempt is followed by exactly one.
type Outcome struct {
	Request RequestID
	Backend BackendID
	Attempt int // index of the attempt within the request, from 0
	Result  Result
	Latency time.Duration
	// Final says that the request needs no further answer: this outcome gave it its final answer,
	// or it already had one.
	Final bool
	// HasUsage says that Usage holds a usage report: the customer's use over all gateways in the
	// last completed usage period, in percent of its plan's rate.
	HasUsage bool
	Usage    float64
	// SettledCost is the actual cost in units if it is determined afterwards, else 0. The Engine
	// does not read it.
	SettledCost float64
	// LoadReport holds the figures named by Settings.LoadReportFields, or nothing. The Engine does
	// not read it.
	LoadReport []float64
}

// ResponseStarted reports that the first part of a streamed response has been passed on to the
// client. From then on the Engine does not retry the attempt, and cancels it only if the client
// disconnects.
type ResponseStarted struct {
	Request RequestID
	Attempt int
}

// ClientDisconnected reports that the client of a request has disconnected. The request needs no
// final answer any more.
type ClientDisconnected struct{ Request RequestID }

// ProbeResult reports the end of one Probe. The Engine never probes.
type ProbeResult struct {
	Backend    BackendID
	Result     Result
	Latency    time.Duration
	LoadReport []float64
}

// CounterResult reports the end of one CounterAdd. Total is valid only if Result is Succeeded.
// Rejected and ConnectFailed prove that nothing was added; after any other failure the amount may
// have been added.
type CounterResult struct {
	Ref    uint64
	Result Result
	Total  float64
}

// ProcessPaused reports that this process may not have run for Duration, up to now. That time must
// not count towards the latency of attempts in flight: their backends may have responded meanwhile.
type ProcessPaused struct{ Duration time.Duration }

// Timer reports that the timer of a SetTimer has fired.
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
