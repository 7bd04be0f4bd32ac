package decision

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pumicecroft/internal/endpointindex"
	"pumicecroft/quota"
)

const (
	// tickToken is the token of the timer by which the Engine calls itself once a second.
	tickToken = 0

	// initialLatencyDivisor gives the mean latency that a class is assumed to have before any
	// response: its latency objective over this.
	initialLatencyDivisor = 4

	// initialSendRate is how many attempts a second are assumed before the first tick.
	initialSendRate = 20
	// sendRateWeight is the weight of one second in the running means of attempts a second.
	sendRateWeight = 0.5
	// meanSendRateWeight is the same for a pool's slower mean, whose peak slow start goes by.
	meanSendRateWeight = 0.25
	// peakSendRateRetention is what is left of that peak after each second.
	peakSendRateRetention = 0.98
)

// Engine makes the decisions of one gateway. It owns all that they depend on. State that one rule
// alone keeps is declared beside the rule and embedded here.
type Engine struct {
	priorityState
	limitState
	partitionState
	counterState

	settings        Settings
	classes         map[string]*class
	orderedClasses  []*class // in the order of the settings
	plans           map[string]*Plan
	newcomersByPlan map[string]*quota.NewcomerStats

	rng        *rand.Rand
	now        time.Duration // the latest time passed to Handle
	createdAt  time.Duration
	started    bool // an event has been handled
	lastTickAt time.Duration
	actions    []Action // those of the event that is being handled

	backends  map[BackendID]*backend
	index     *endpointindex.Index[*backend] // finds backends, and records their bad outcomes
	pools     map[string]*protocolPool       // by protocol
	requests  map[RequestID]*request         // registered and not forgotten
	bySeq     map[uint64]*request            // the same by number, which is their timer's token
	seq       uint64
	customers map[CustomerID]*customer

	meanLatency     float64 // running mean latency of responses, seconds
	bestLatency     float64 // a low mark of it that rises slowly, seconds
	sendsThisSecond float64
	sendRate        float64 // attempts a second, running mean
	cancelBudget    float64 // slow attempts that may be cancelled
}

// class is a class with what is known of its responses.
type class struct {
	Class
	meanLatency float64 // running mean latency of responses, seconds
	bestLatency float64 // a low mark of it that rises slowly, seconds
	// firstAttempts are the requests whose first attempt may still be cancelled as slow, in the
	// order in which they were sent. Some have finished.
	firstAttempts []*request
}

// protocolPool is the backends that speak one protocol: a request goes to no others. Members of the
// group that are ready may be sent attempts; those of them that are warming up are warming in it.
type protocolPool struct {
	endpointindex.Group[*backend]
	sendsThisSecond float64
	sendRate        float64 // attempts a second, running mean
	meanSendRate    float64 // the same over a longer time
	peakSendRate    float64 // the highest that meanSendRate was, fading
}

// New starts an Engine at a time of its clock. It knows no backends until the first EndpointUpdate.
// The error is that of settings.Validate.
func New(settings Settings, seed uint64, now time.Duration) (*Engine, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	// The longest time over which adjustConcurrencyLimit asks for recent failures, in seconds.
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
		known := &class{Class: c, meanLatency: initial, bestLatency: initial}
		e.classes[c.Name], e.orderedClasses = known, append(e.orderedClasses, known)
		e.meanLatency += initial / float64(len(settings.Classes))
	}
	for i := range settings.Plans {
		plan := &settings.Plans[i]
		e.plans[plan.Name], e.newcomersByPlan[plan.Name] = plan, &quota.NewcomerStats{}
	}
	e.partitionSize[partitionShared], e.bestLatency = math.Inf(1), e.meanLatency
	return e, nil
}

// Handle takes one event at a time of the Engine's clock, and appends to actions what must be done
// about it. A time before that of an earlier event counts as that one's.
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

// start sets the first tick at a random moment: gateways that start together would otherwise call
// the shared counter at the same moment of every second, and it rejects calls that come at once.
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

// emit adds an action to those of the event that is being handled.
func (e *Engine) emit(action Action) { e.actions = append(e.actions, action) }

// onTimer runs the tick, or ends a request whose client stops waiting now.
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
	elapsed := max(1, (e.now - e.lastTickAt).Seconds()) // more at the first tick and at late ones
	e.lastTickAt = e.now
	e.sendRate += sendRateWeight * (e.sendsThisSecond/elapsed - e.sendRate)
	e.sendsThisSecond = 0
	e.index.Advance(e.now)
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
	e.forgetIdleCustomers()
	e.depositSurplus()
}

// onTick brings the pool's rates up to date after elapsed seconds.
func (p *protocolPool) onTick(elapsed float64) {
	p.Warming() // takes those that are warm by now off in small steps: all at once would be a long walk
	p.sendRate += sendRateWeight * (p.sendsThisSecond/elapsed - p.sendRate)
	p.meanSendRate += meanSendRateWeight * (p.sendsThisSecond/elapsed - p.meanSendRate)
	p.peakSendRate = max(p.meanSendRate, peakSendRateRetention*p.peakSendRate)
	p.sendsThisSecond = 0
}

// durationOf converts seconds.
func durationOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
