package decision

// The decisions of a gateway, by concern: here its figures, its state, what it hears, and the second's tick; then
// admission.go, reserves.go (slots, re-split, N), store.go (quota, ceiling), counter.go (lent parts of a ceiling), choice.go
// (which backend), health.go (what is noticed of them), attempts.go and advice.go. The comments tell where something is an exception.

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pumicecroft/internal/endpointindex"
	"pumicecroft/quota"
)

const (
	second                 = time.Second
	repartitionInterval    = 5 * second  // the design's re-split
	customerIdleTTL        = time.Minute // the design's time to forget an idle customer
	badOutcomeRatio        = 0.05        // the design: more bad outcomes than this in a second press N down
	limitDecreaseFactor    = 0.9         // the design: to this multiple of the attempts out
	limitIncreaseFactor    = 1.1         // the design: other seconds grow N by a tenth
	subratedPerSlot        = 2           // low requests marked for one high one; the paper's own figure
	weightSamples          = 256         // recent arrivals that the tier boundary is the median of
	partitionSteps         = 20          // the split is searched in steps of N over this
	lateObjectiveRatio     = 0.5         // an attempt older than this share of its class's aim counts as timed out for N
	lateLatencyFactor      = 6.0         // ... or older than this multiple of its class's latency at its best
	lateObjectiveMinRatio  = 1.0 / 64    // ... but none that is inside this share of the aim: what is that fast varies by itself
	minOutcomeSamples      = 20          // attempts that 5 in 100 is counted over at least
	chanceDeviations       = 3.0         // standard deviations over 5 in 100 that a second's bad outcomes reach by chance
	minSampleWeight        = 1.0 / 4     // least weight of a second in N's means: the noise of one of 300 doors evens out
	sustainableKnownWeight = 2.0 / 3     // from this weight on the flow binds at a door of few answers: its first second holds hardly one
	smallPartitionSlots    = 8.0         // a part of fewer slots is held on average, over that many mean services

	usageDelayPeriods      = 2          // meter periods from the end of a period until its reading is counted here
	quotaMarginRatio       = 1.0 / 8    // share of the burst that the projection must leave: other doors are unseen
	latencySampleWeight    = 1.0 / 16   // weight of one answer in the running means of latency
	priorUsagePercent      = 40         // percent of its rate that a customer is taken to use before anything tells
	maxDebits              = 64         // own sends kept for a customer between readings, so memory stays bounded
	usageRetention         = 0.9        // how fast the customer's share at this door is relearnt, a reading
	fewGateways            = 4          // of more doors than this each relearns it slower, as it sends that much less
	priorUsagePercentMany  = 60         // priorUse where that is very slow: who is met there by a request is mostly who asks much
	subsetWindow           = 4 * second // a door keeps to as many backends as it sends requests in this time
	minSubsetSize          = 4.0        // ... and to this many at least
	maxNewcomerRejectRatio = 0.8        // share of newcomers' requests refused where sending them on is worth nothing: no class goes unheard
	newcomerGainFactor     = 2          // ... and less, by so many times the share of their worth that they gain
	maxReserveFactor       = 3          // times the margin that the least worth must leave in the store to what is worth more
	warmupTokenLifetime    = second     // a send to a cold backend that is due is kept for so long, or for the next two requests
)

const partitionHigh, partitionLow, partitionShared = 0, 1, 2 // parts of the slots

type slot struct {
	partition          int
	subrated, released bool
}

type class struct {
	Class
	meanLatency, bestLatency float64    // running mean latency of answers, seconds; its slowly forgotten low mark
	firstAttempts            []*request // sent once, in order; some have ended
}

// lateAfter is the age from which an attempt counts as timed out for N.
func (c *class) lateAfter() float64 {
	aim := c.LatencyObjective.Seconds()
	return min(lateObjectiveRatio*aim, max(lateLatencyFactor*c.bestLatency, lateObjectiveMinRatio*aim))
}

type backend struct {
	Endpoint
	entry             endpointindex.Entry[*backend] // among those of its protocol, in this door's own order
	inFlight          int                           // this door's attempts out
	slowness          float64                       // running mean of latency over its class's mean
	overdueResponses  float64                       // answers owed since the last one, in mean answers
	overdueAt         time.Duration                 // when owed was brought up to now
	holdUntil         time.Duration                 // no sends before: refused or unreachable
	warmingSince      time.Duration                 // when it started, as far as known
	warmingUp         bool
	warmupTokens      float64 // sends allowed while cold, as of tokensAt
	warmupTokensAt    time.Duration
	connectFailures   int // failed connections since the last answer
	cancelledAttempts int // attempts called off since the last answer
}

type attempt struct {
	backend     *backend
	slot        *slot
	sentAt      time.Duration
	pausedFor   time.Duration // of the time since, this process stood still for so long
	outstanding bool
	countedLate bool // counted as late while still out
	cancelled   bool // called off, to be made elsewhere
	result      Result
}

// protocolPool are the backends that speak one protocol: a request of it goes to no other.
type protocolPool struct {
	endpointindex.Group[*backend]         // those that are ready are open in it, those that are cold young
	sendsThisSecond, sendRate     float64 // of this second; a second, on average
	meanSendRate, peakSendRate    float64 // of the sends a second, over some seconds; the most that this was, slowly forgotten
}

type request struct {
	id                  RequestID
	seq                 uint64
	class               *class
	protocol            string
	pool                *protocolPool
	customer            *customer
	deadline            time.Duration
	cost                float64
	borrowed            bool // the ceiling's units came out of the pool
	attempts            []attempt
	finished, streaming bool
}

// hasOutstanding tells whether an attempt is out; there is never more than one.
func (r *request) hasOutstanding() bool {
	return len(r.attempts) > 0 && r.attempts[len(r.attempts)-1].outstanding
}

type debit struct {
	at     time.Duration
	amount float64 // percent-seconds
}

type customer struct {
	plan                   *Plan
	newcomers              *quota.NewcomerStats // what the plan's newcomers have shown here
	gateways               float64              // front doors that it uses
	isMember               bool                 // this is one of them
	lastSeenAt             time.Duration
	inFlight               int
	tokens                 float64       // s: percent-seconds, as of storeAt
	tokensAt               time.Duration // the end of the last period that the meter told of
	admitProbability       float64       // f
	usageAt                time.Duration // when the last reading was counted
	debits                 []debit       // this door's own sends since storeAt
	meteredUsage, ownUsage float64       // use by the meter and by this door's own count, fading
	meteredSeconds         float64       // seconds that the meter told of, fading
	lastUsage              float64       // the value of that reading
	usagePeriod            float64       // the meter's, seconds
	retention              float64       // what a reading leaves of those before it
	lastCost               float64       // of the last request
	hardLimitTokens        float64       // this door's part of the ceiling's store, as of ceilAt
	hardLimitTokensAt      time.Duration
	sharedBucket           quota.SharedBucket // what doors lend each other of the ceiling
}

type tier struct {
	arrivals, weight        float64 // of this window
	arrivalRate, meanWeight float64 // arrivals a second and mean worth of the last window
}

// Engine makes the decisions of one front door.
type Engine struct {
	settings        Settings
	classes         map[string]*class
	orderedClasses  []*class // in the order of the settings
	plans           map[string]*Plan
	newcomersByPlan map[string]*quota.NewcomerStats // by plan
	rng             *rand.Rand
	now, createdAt  time.Duration
	started         bool
	actions         []Action
	backends        map[BackendID]*backend
	index           *endpointindex.Index[*backend] // finds them by what changed; bad outcomes are noted in it
	pools           map[string]*protocolPool
	requests        map[RequestID]*request
	bySeq           map[uint64]*request
	seq             uint64
	customers       map[CustomerID]*customer

	recentWeights []float64 // of the last medianOver arrivals
	medianWeight  float64

	concurrencyLimit                       float64    // N; +Inf: unbounded
	partitionSize                          [3]float64 // n_h, n_l, pool
	partitionInUse                         [3]int
	partitionLoad                          [3]float64 // used, on average over a small part's window, as of busyAt
	partitionLoadAt                        time.Duration
	subratedSlots                          int
	subratable                             []*slot // low ones in the pool not yet marked, oldest first
	tiers                                  [2]tier // low, high
	repartitionedAt                        time.Duration
	meanLatency, bestLatency               float64 // running mean latency of answers, 1/mu; its slowly forgotten low
	endedAttempts, badOutcomes             float64 // attempts ended, and badly, fading
	sustainableSum, sustainableConcurrency float64 // sum of the aims of a second's answers; its mean
	sustainableWeight                      float64 // the weight of what that mean is over
	responseCount                          int     // so far
	sendsThisSecond, sendRate              float64 // of this second; a second, on average
	cancelBudget                           float64 // attempts that may be called off
	counterLink                            quota.CounterLink
	lastTickAt                             time.Duration          // of the last second's tick
	counterCalls                           map[uint64]counterCall // that the counter has not answered, by Ref
	lastCounterRef                         uint64
}

// New starts a gateway. It knows no backends until the first BackendList.
func New(set Settings, seed uint64, now time.Duration) (*Engine, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	g := &Engine{settings: set, rng: rand.New(rand.NewPCG(seed, 0)), now: now, createdAt: now,
		classes: map[string]*class{}, plans: map[string]*Plan{}, newcomersByPlan: map[string]*quota.NewcomerStats{}, backends: map[BackendID]*backend{}, pools: map[string]*protocolPool{},
		requests: map[RequestID]*request{}, bySeq: map[uint64]*request{},
		customers: map[CustomerID]*customer{}, index: endpointindex.New[*backend](set.SlowStartWindow, seconds(0.5/minSampleWeight)), concurrencyLimit: math.Inf(1), repartitionedAt: now, sendRate: minOutcomeSamples,
		counterLink: quota.NewCounterLink(), counterCalls: map[uint64]counterCall{}}
	for _, c := range set.Classes {
		cl := &class{Class: c, meanLatency: c.LatencyObjective.Seconds() / 4, bestLatency: c.LatencyObjective.Seconds() / 4}
		g.classes[c.Name], g.orderedClasses = cl, append(g.orderedClasses, cl)
		g.meanLatency += c.LatencyObjective.Seconds() / 4 / float64(len(set.Classes))
	}
	for i := range set.Plans {
		g.plans[set.Plans[i].Name], g.newcomersByPlan[set.Plans[i].Name] = &set.Plans[i], &quota.NewcomerStats{}
	}
	g.partitionSize[partitionShared], g.bestLatency = math.Inf(1), g.meanLatency
	return g, nil
}

// Handle takes one event and appends what must be done about it.
func (g *Engine) Handle(now time.Duration, ev Event, actions []Action) []Action {
	g.now, g.actions = max(now, g.now), actions
	if !g.started {
		g.started = true
		// doors that start together must not go on together: what one asks of the counter a second, all would ask at once
		g.lastTickAt = g.now
		g.emit(SetTimer{After: time.Duration((1 + g.rng.Float64()) * float64(second)), Token: 0})
		if g.settings.SubscribeToEndpoints {
			g.emit(Subscribe{})
		}
	}
	switch ev := ev.(type) {
	case Request:
		g.onRequest(ev)
	case EndpointUpdate:
		g.onEndpointUpdate(ev)
	case Outcome:
		g.onOutcome(ev)
	case ResponseStarted:
		if r := g.requests[ev.Request]; r != nil {
			r.streaming = true
		}
	case ClientDisconnected:
		g.finish(g.requests[ev.Request])
	case Timer:
		g.onTimer(ev.Token)
	case CounterResult:
		g.onCounterResult(ev)
	case ProcessPaused:
		g.onProcessPaused(ev.Duration)
	}
	g.cancelSlowAttempts()
	actions, g.actions = g.actions, nil
	return actions
}

func (g *Engine) emit(a Action) { g.actions = append(g.actions, a) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(second)) }

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// onTimer: token 0 is the second's tick; others name a request whose client now gives up.
func (g *Engine) onTimer(token uint64) {
	if token == 0 {
		g.onTick()
	} else if r := g.bySeq[token]; r != nil && !r.finished && !r.streaming {
		g.respondUnserved(r)
	}
}

func (g *Engine) onTick() {
	g.emit(SetTimer{After: second, Token: 0})
	dt := max(1, (g.now - g.lastTickAt).Seconds()) // more where it is the first, or late
	g.lastTickAt = g.now
	g.sendRate += 0.5 * (g.sendsThisSecond/dt - g.sendRate)
	g.sendsThisSecond = 0
	g.index.Advance(g.now)
	for _, f := range g.pools {
		f.Warming() // so that what has got warm is taken off each second, not all at once
		f.sendRate += 0.5 * (f.sendsThisSecond/dt - f.sendRate)
		f.meanSendRate += 0.25 * (f.sendsThisSecond/dt - f.meanSendRate)
		f.peakSendRate = max(f.meanSendRate, 0.98*f.peakSendRate)
		f.sendsThisSecond = 0
	}
	if sorted := slices.Sorted(slices.Values(g.recentWeights)); len(sorted) > 0 {
		g.medianWeight = sorted[len(sorted)/2]
	}
	g.adjustConcurrencyLimit(dt)
	if g.now-g.repartitionedAt >= repartitionInterval {
		g.repartition()
	}
	for id, c := range g.customers { // deletes only: the order reaches no action
		if c.inFlight == 0 && g.now-c.lastSeenAt > customerIdleTTL {
			delete(g.customers, id)
		}
	}
	g.depositSurplus()
}
