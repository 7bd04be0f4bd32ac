package decision

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pumicecroft/internal/endpointindex"
	"pumicecroft/quota"
)

const (
	// tickToken is the token of the timer for the Engine's tick, once a second.
	tickToken = 0

	// initialLatencyDivisor gives the mean latency that is assumed for a class before its first
	// response: its latency objective divided by this.
	initialLatencyDivisor = 4

	// initialSendRate is the rate of attempts a second that is assumed before the first tick.
	initialSendRate = 20
	// sendRateWeight is the weight of one second in the moving averages of attempts a second.
	sendRateWeight = 0.5
	// meanSendRateWeight is the same for a pool's slower average, whose peak limits slow start.
	meanSendRateWeight = 0.25
	// peakSendRateRetention is the factor by which that peak decays each second.
	peakSendRateRetention = 0.98
)

// Engine makes the decisions of one gateway and owns all state that they depend on. State that
// belongs to one rule is declared in that rule's file and embedded here.
type Engine struct {
	priorityState
	limitState
	partitionState
	counterState

	settings        Settings
	classes         map[string]*class
	orderedClasses  []*class // in the order of Settings.Classes
	plans           map[string]*Plan
	newcomersByPlan map[string]*quota.NewcomerStats

	rng        *rand.Rand
	now        time.Duration // latest time passed to Handle
	createdAt  time.Duration
	started    bool // whether an event has been handled
	lastTickAt time.Duration
	actions    []Action // actions of the event being handled

	backends  map[BackendID]*backend
	index     *endpointindex.Index[*backend] // orders the ready backends of each pool, and records bad outcomes
	pools     map[string]*protocolPool       // by protocol
	requests  map[RequestID]*request         // requests that are registered and not complete
	bySeq     map[uint64]*request            // the same requests by seq, their timer token
	seq       uint64
	customers map[CustomerID]*customer
	// All customers form a list in the order of lastSeenAt.
	newestCustomer, oldestCustomer *customer

	meanLatency     float64 // moving average of response latency, seconds
	bestLatency     float64 // slowly rising minimum of meanLatency, seconds
	sendsThisSecond float64
	sendRate        float64 // attempts a second, moving average
	cancelBudget    float64 // how many slow attempts may be cancelled now
}

// class is a configured class with the latency measured for its responses.
type class struct {
	Class
	meanLatency float64 // moving average of response latency, seconds
	bestLatency float64 // slowly rising minimum of meanLatency, seconds
	// cancelCandidates are the requests whose first attempt may still be cancelled as slow, in the
	// order in which they were sent. Some may have finished.
	cancelCandidates   []*request
	newcomerRejections quota.ClassRejections
}

// protocolPool holds the backends of one protocol; a request is sent only to those of its own
// protocol. Ready members of the group may be sent attempts. Warming members are the ready ones in
// slow start.
type protocolPool struct {
	endpointindex.Group[*backend]
	sendsThisSecond float64
	sendRate        float64 // attempts a second, moving average
	meanSendRate    float64 // the same, averaged over a longer time
	peakSendRate    float64 // decaying maximum of meanSendRate
}

// New creates an Engine at a time of its clock. It has no backends until the first EndpointUpdate.
// The error is that of settings.Validate.
func New(settings Settings, seed uint64, now time.Duration) (*Engine, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	settings.MaxCustomers = cmp.Or(settings.MaxCustomers, DefaultMaxCustomers)
	// adjustConcurrencyLimit never looks back further than this for recent failures.
	failureTTL := durationOf(maxSampleWeight / minSampleWeight)
	e := &Engine{
		settings:        settings,
		classes:         map[string]*class{},
		plans:           map[string]*Plan{},
		newcomersByPlan: map[string]*quota.NewcomerStats{},
		rng:             rand.New(rand.NewPCG(seed, 0)),
		now:             now,
		createdAt:       now,
		backends:        map[BackendID]*backend{},
		index:           endpointindex.New[*backend](settings.SlowStartWindow, failureTTL),
		pools:           map[string]*protocolPool{},
		requests:        map[RequestID]*request{},
		bySeq:           map[uint64]*request{},
		customers:       map[CustomerID]*customer{},
		sendRate:        initialSendRate,
		limitState:      limitState{concurrencyLimit: math.Inf(1)},
		partitionState:  partitionState{repartitionedAt: now},
		counterState: counterState{
			counterLink:  quota.NewCounterLink(),
			counterCalls: map[uint64]counterCall{},
		},
	}
	for _, c := range settings.Classes {
		initial := c.LatencyObjective.Seconds() / initialLatencyDivisor
		added := &class{Class: c, meanLatency: initial, bestLatency: initial}
		e.classes[c.Name], e.orderedClasses = added, append(e.orderedClasses, added)
		e.meanLatency += initial / float64(len(settings.Classes))
	}
	for i := range settings.Plans {
		plan := &settings.Plans[i]
		e.plans[plan.Name], e.newcomersByPlan[plan.Name] = plan, &quota.NewcomerStats{}
	}
	e.partitionSize[partitionShared], e.bestLatency = math.Inf(1), e.meanLatency
	return e, nil
}

// Handle processes one event at a time of the Engine's clock, and appends the resulting actions to
// actions. A time earlier than that of the previous event is treated as equal to it.
func (e *Engine) Handle(now time.Duration, event Event, actions []Action) []Action {
	e.now, e.actions = max(now, e.now), actions
	if !e.started {
		e.start()
	}
	e.dispatch(event)
	e.cancelSlowAttempts()
	actions, e.actions = e.actions, nil
	return actions
}

// start schedules the first tick at a random moment. Gateways that start together would otherwise
// call the shared counter at the same moment of every second, and it rejects calls that arrive
// together.
func (e *Engine) start() {
	e.started = true
	e.lastTickAt = e.now
	firstTick := time.Duration((1 + e.rng.Float64()) * float64(time.Second))
	e.emit(SetTimer{After: firstTick, Token: tickToken})
	if e.settings.SubscribeToEndpoints {
		e.emit(Subscribe{})
	}
}

func (e *Engine) dispatch(event Event) {
	switch event := event.(type) {
	case Request:
		e.onRequest(event)
	case EndpointUpdate:
		e.onEndpointUpdate(event)
	case Outcome:
		e.onOutcome(event)
	case ResponseStarted:
		if req := e.requests[event.Request]; req != nil {
			req.streaming = true
		}
	case ClientDisconnected:
		e.finish(e.requests[event.Request])
	case Timer:
		e.onTimer(event.Token)
	case CounterResult:
		e.onCounterResult(event)
	case ProcessPaused:
		e.onProcessPaused(event.Duration)
	}
}

// emit appends an action to those of the event being handled.
func (e *Engine) emit(action Action) { e.actions = append(e.actions, action) }

// onTimer runs the tick, or gives the final answer to a request whose deadline has passed.
func (e *Engine) onTimer(token uint64) {
	if token == tickToken {
		e.onTick()
	} else if req := e.bySeq[token]; req != nil && !req.finished && !req.streaming {
		e.respondUnserved(req)
	}
}

// onTick runs once a second.
func (e *Engine) onTick() {
	e.emit(SetTimer{After: time.Second, Token: tickToken})
	elapsed := max(1, (e.now - e.lastTickAt).Seconds()) // seconds; above 1 at the first tick and after late ticks
	e.lastTickAt = e.now
	e.sendRate += sendRateWeight * (e.sendsThisSecond/elapsed - e.sendRate)
	e.sendsThisSecond = 0
	e.index.Advance(e.now) // sets the time for which Warming counts
	for _, pool := range e.pools {
		pool.onTick(elapsed)
	}
	if sorted := slices.Sorted(slices.Values(e.recentWeights)); len(sorted) > 0 {
		e.medianWeight = sorted[len(sorted)/2]
	}
	e.adjustConcurrencyLimit(elapsed)
	if e.now-e.repartitionedAt >= repartitionInterval {
		e.repartition()
	}
	e.removeIdleCustomers()
	e.depositSurplus()
}

// onTick updates the pool's rates after elapsed seconds.
func (p *protocolPool) onTick(elapsed float64) {
	p.Warming() // drops the backends that are warm by now; doing so each tick keeps each call short
	p.sendRate += sendRateWeight * (p.sendsThisSecond/elapsed - p.sendRate)
	p.meanSendRate += meanSendRateWeight * (p.sendsThisSecond/elapsed - p.meanSendRate)
	p.peakSendRate = max(p.meanSendRate, peakSendRateRetention*p.peakSendRate)
	p.sendsThisSecond = 0
}

// durationOf converts seconds to a Duration.
func durationOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
