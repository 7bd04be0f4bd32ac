// Package pumicecroft is a front door that holds every customer of a shared set of backends to its plan, as a
// library. A Door takes requests (Do in the same process, ServeHTTP over HTTP), lets its decision module say
// which backend each goes to, whether it is tried again and which are refused, and gives each one final answer
// before its time is up.
//
// The five rules that hold, whatever happens: one final answer in time; effects stay single, so what may have run
// is repeated only where its class permits that; a backend that drains is sent nothing new; a backend that has
// just started is sent little; hard ceilings hold over all front doors together.
//
// Packages middleware/nethttp and middleware/gin put a Door into a host's own server. Package decision is the
// decision module, package membership the form in which backends are reported.
package pumicecroft

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pumicecroft/decision"
	"pumicecroft/idempotency"
	"pumicecroft/internal/deduplicator"
	"pumicecroft/internal/executor"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/internal/platformtransport"
	"pumicecroft/membership"
	"pumicecroft/recovery"

	"golang.org/x/time/rate"
)

// MaxBody is the most for a body, of a request or an answer, in bytes.
const MaxBody = platformtransport.MaxBody

// MinTimeout is the time that a caller must have left for an attempt to be made for it; one with less is refused.
const MinTimeout = lifecycle.TimeoutMargin

// Request is what a caller asks of the backends.
type Request struct {
	// ID names this try of the caller: new with each one, and the same for a backend that sees it twice.
	// 0: the Door gives one at random.
	ID uint64
	// Class and Plan are names from the Settings.
	Class string
	Plan  string
	// Customer is whom the plan's quota counts for.
	Customer uint64
	// Cost is what the request takes of the quota; 0: 1.
	Cost float64
	// Timeout is how long the caller waits for the answer; 0, or more than the class's deadline: that deadline.
	Timeout time.Duration
	// FirstGateway and Spread say which front doors the customer uses: Spread in a row from number FirstDoor,
	// counted round. Spread 0: all of them.
	FirstGateway, GatewaySpread int
	// IdempotencyKey is the idempotency key; classes that are keyed need one.
	IdempotencyKey string

	// Method, Target (path and query as they stand in the request line) and Host go on unchanged. Empty: GET for
	// a class that is safe to repeat and POST for others; "/" and the class; "pumicecroft".
	Method, Target, Host string
	ContentType          string
	// Body is not changed, and must not be until Do returns. At most MaxBody.
	Body []byte

	hasID bool // ID is one that was given, even if it is 0
}

// WithID gives the request an ID that may be 0.
func (r Request) WithID(id uint64) Request {
	r.ID, r.hasID = id, true
	return r
}

// Response is what a backend answered to this request, unchanged.
type Response struct {
	Body        []byte
	ContentType string
	Attempts    int // that were made for it
}

// Gateway is one front door. It is safe for concurrent use. A process may hold several; they share nothing, unless
// they are given the same Deployment.
type Gateway struct {
	config       Config
	classes      map[string]decision.Class
	plans        map[string]bool
	executor     *executor.Executor
	transports   map[string]executor.BackendTransport // by name; HTTP's is there once the options have been taken
	transport    executor.BackendTransport
	mapper       Mapper
	log          *slog.Logger
	dial         func(ctx context.Context, network, addr string) (net.Conn, error)
	sources      []namedSource
	deployment   *Deployment
	counter      executor.Counter           // nil: there is none
	deduplicator *deduplicator.Deduplicator // nil: keys are not recognised

	badRequestLog, deadlineLog, endpointLog, pauseLog rate.Sometimes

	reportLocks     map[string]*sync.Mutex // by source: one report of it at a time; before update
	updateMu        sync.Mutex             // changes reach the core in the order in which they reached the backends
	membershipTable *membership.Table
	endpointCaches  map[string]*endpointCache // by source
	membershipTimer *time.Timer               // when members wants to be called
	ctx             context.Context           // ends as Close has waited for what was taken
	cancel          context.CancelFunc
	background      sync.WaitGroup
	closing         atomic.Bool
	closed          bool // guarded by update
}

// namedSource is a source and what the table of members calls it.
type namedSource struct {
	membership.SourceInfo
	source Source
}

// ownSource names the list that Config.Known and Update give.
const ownSource = "own"

// New makes a Door that serves at once; until it is told of backends it refuses everything. The error is an
// ErrConfig, an ErrJournal or an ErrDoorTaken.
func New(config Config, options ...Option) (*Gateway, error) { return newGateway(config, nil, options) }

// newGateway takes a decision module in place of the one that ships.
func newGateway(config Config, decider lifecycle.DecisionEngine, options []Option) (_ *Gateway, err error) {
	if config, err = config.withDefaults(); err != nil {
		return nil, err
	}
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	d := &Gateway{config: config, classes: map[string]decision.Class{}, plans: map[string]bool{},
		endpointCaches: map[string]*endpointCache{}, transports: map[string]executor.BackendTransport{}, reportLocks: map[string]*sync.Mutex{},
		log:           slog.New(slog.DiscardHandler),
		badRequestLog: rate.Sometimes{First: 10, Interval: time.Second}, deadlineLog: rate.Sometimes{First: 10, Interval: time.Second},
		endpointLog: rate.Sometimes{First: 10, Interval: time.Second}, pauseLog: rate.Sometimes{First: 10, Interval: time.Second}}
	d.mapper = d.PlatformRequest
	for _, o := range options {
		o(d)
	}
	set := config.Settings
	remember := time.Duration(0)
	for _, c := range set.Classes {
		d.classes[c.Name] = c
		remember = max(remember, c.Deadline+c.DedupWindow)
	}
	for _, p := range set.Plans {
		d.plans[p.Name] = true
	}
	origins, err := d.sourceInfos()
	if err != nil {
		return nil, err
	}
	clock := executor.NewClock()
	set.HasSharedCounter = set.HasSharedCounter && d.counter != nil
	var state *snapshotter
	if decider == nil {
		var begin recovery.Restored
		if config.StateDir != "" {
			state, begin = d.restoreSnapshot(rand.Uint64())
			set.AssumeQuotaSpent = begin.AssumeQuotaSpent
			defer func() {
				if err != nil && state.file != nil {
					state.file.Close()
				}
			}()
		}
		gateway, err := decision.New(set, config.Seed, clock.Now())
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrConfig, err)
		}
		if decider = gateway; state != nil {
			state.engine = gateway
			gateway.Restore(clock.Now(), begin.Customers)
		}
	}
	d.transports[membership.ProtocolHTTP] = platformtransport.New(platformtransport.Config{MaxConns: config.MaxBackendConns, IdleTimeout: config.IdleTimeout,
		ConnectTimeout: config.ConnectTimeout, LoadReportFields: set.LoadReportFields, Log: d.log, Dial: d.dial})
	if d.transports[config.Protocol] == nil {
		return nil, fmt.Errorf("%w: Protocol is %q, which no option names", ErrConfig, config.Protocol)
	}
	d.transport = executor.NewTransportMux(d.transports)
	life := lifecycle.New(decider, set.Classes, lifecycle.Limits{MaxOpenRequests: config.MaxOpenRequests, MaxAttempts: set.MaxAttempts,
		IDRetention: remember, DetectPauses: true, DrainGrace: set.DrainGrace}, clock.Now())
	d.executor = executor.New(clock, life, d.transport, set.CanCancel)
	d.executor.SetSyncSources(d.syncSources)
	if d.counter != nil {
		d.executor.SetCounter(d.counter)
	}
	if d.deployment != nil {
		if err := d.deployment.claim(set.GatewayIndex, set.GatewayCount); err != nil {
			d.executor.Stop()
			return nil, err
		}
	}
	if err := d.openDeduplicator(); err != nil {
		d.executor.Stop()
		if d.deployment != nil {
			d.deployment.release(set.GatewayIndex)
		}
		return nil, err
	}
	for _, o := range origins {
		d.reportLocks[o.Name] = &sync.Mutex{}
	}
	d.membershipTable = membership.NewTable(config.Membership, origins...)
	known := config.InitialEndpoints
	known.Full, known.Cached = true, true
	d.updateMu.Lock()
	changes, bad := d.membershipTable.Report(clock.Now(), ownSource, known, clock.FromWallTime)
	d.publishChanges(decision.UpdateCached, changes, bad)
	d.updateMu.Unlock()
	d.ctx, d.cancel = context.WithCancel(context.Background())
	ctx := d.ctx
	if state != nil && state.file != nil {
		d.background.Go(func() { state.run(ctx) })
	}
	if config.StateDir != "" {
		for _, o := range origins {
			if !o.Trusted {
				k := newEndpointCache(d, o.Name)
				d.endpointCaches[o.Name] = k
				d.background.Go(func() { k.run(ctx) })
			}
		}
	}
	for _, o := range d.sources {
		d.background.Go(func() { o.source.Run(ctx, func(l membership.Update) { d.applyUpdate(o.Name, l) }) })
	}
	return d, nil
}

// openDeduplicator has the Door recognise keys, if it is to.
func (d *Gateway) openDeduplicator() (err error) {
	switch j := d.config.IdempotencyJournal; {
	case d.config.Idempotency == nil:
	case j == nil:
		d.deduplicator = deduplicator.New(*d.config.Idempotency)
	default:
		d.deduplicator, err = deduplicator.Open(*d.config.Idempotency, deduplicator.JournalConfig{Dir: j.Dir, GroupCommitDelay: j.GroupCommitDelay, SyncInterval: j.SyncInterval, WriteTimeout: j.WriteTimeout,
			RejectOnFailure: j.RejectOnFailure, Log: d.log})
		if err != nil {
			return fmt.Errorf("%w: %w", ErrJournal, err)
		}
	}
	return nil
}

// sourceInfos are the names of the sources, by precedence.
func (d *Gateway) sourceInfos() ([]membership.SourceInfo, error) {
	var out []membership.SourceInfo
	for _, o := range append(d.sources, namedSource{SourceInfo: membership.SourceInfo{Name: ownSource, Trusted: true}}) {
		i := slices.IndexFunc(out, func(k membership.SourceInfo) bool { return k.Name == o.Name })
		switch {
		case o.Name == "" || i >= 0 && out[i] != o.SourceInfo:
			return nil, fmt.Errorf("%w: a source called %q: it needs a name, and is plain or not", ErrConfig, o.Name)
		case i < 0:
			out = append(out, o.SourceInfo)
		}
	}
	return out, nil
}

// Update takes in news of the backends. What it says holds for every attempt that begins after it returns.
// Entries that make no sense are passed over.
func (d *Gateway) Update(list membership.Update) { d.applyUpdate(ownSource, list) }

// A list is taken in steps of so many entries, and decided by in steps of so many changes: the driver's lock is held for one step at a time, for
// well under a millisecond. Between two steps the Door waits for a moment: with one processor, the system's sockets are looked at once all
// goroutines wait, so requests would come in late if it only gave way to those that run. A report of one step waits for nothing.
const (
	entriesPerStep = 256
	changesPerStep = 128
	stepPause      = 50 * time.Microsecond
)

// applyUpdate takes in what a source says. Other sources' reports may come between two steps, and what of a list waits to be taken is not once
// the Door is closed; by what requests are decided meanwhile, membership.Steps says.
func (d *Gateway) applyUpdate(source string, list membership.Update) {
	turn := d.reportLocks[source]
	turn.Lock()
	defer turn.Unlock()
	var steps *membership.Merge
	for more := true; more && d.ctx.Err() == nil; {
		d.updateMu.Lock()
		if steps == nil {
			if k := d.endpointCaches[source]; k != nil && k.startTimes != nil {
				k.startTimes.FillIn(&list)
			}
			steps = d.membershipTable.BeginMerge(source, list, d.executor.Clock().FromWallTime)
			list.Nodes = nil
		}
		more = d.applyStep(steps, source)
		d.updateMu.Unlock()
		if more {
			time.Sleep(stepPause)
		}
	}
	if list.Err != nil {
		d.endpointLog.Do(func() {
			d.log.Warn("a source of backends can't be heard, what it said stays", "source", source, "err", list.Err)
		})
	}
}

// applyStep takes one step of a report and tells whether there is more; it wants the lock.
func (d *Gateway) applyStep(steps *membership.Merge, source string) (more bool) {
	if d.closed {
		return false
	}
	passed := d.membershipTable.SkippedEntries()
	changes, bad, more := steps.Next(d.executor.Clock().Now(), entriesPerStep)
	if passed = d.membershipTable.SkippedEntries() - passed; passed > 0 {
		d.endpointLog.Do(func() {
			d.log.Warn("there is no room for more backends, they are passed over", "source", source, "passed", passed, "most", d.membershipTable.Len())
		})
	}
	d.publishChanges(decision.UpdateDelta, changes, bad)
	return more
}

// syncSources has all sources that can take in what has arrived, after a standstill.
func (d *Gateway) syncSources(ctx context.Context, stood time.Duration) {
	d.pauseLog.Do(func() { d.log.Info("the door stood still", "for", stood) })
	var asked sync.WaitGroup
	since := time.Now().Add(-stood)
	for _, o := range d.sources {
		if c, ok := o.source.(Syncer); ok {
			asked.Go(func() {
				if err := c.Sync(ctx, since); err != nil && !d.closing.Load() {
					d.endpointLog.Do(func() {
						d.log.Warn("the door stood still, and can't hear a source: it goes on by what that said before", "stood", stood, "source", o.Name, "err", err)
					})
				}
			})
		}
	}
	asked.Wait()
}

// onMembershipTimer lets happen what the table of members has waited for.
func (d *Gateway) onMembershipTimer() {
	d.updateMu.Lock()
	defer d.updateMu.Unlock()
	if !d.closed {
		d.publishChanges(decision.UpdateDelta, d.membershipTable.Tick(d.executor.Clock().Now()), nil)
	}
}

// publishChanges passes changes on and waits for the next ones; it wants the lock.
func (d *Gateway) publishChanges(kind decision.UpdateKind, changes []membership.Change, bad []error) {
	for _, err := range bad {
		d.endpointLog.Do(func() { d.log.Warn("an entry of the list that makes no sense", "err", err) })
	}
	for kind == decision.UpdateCached || len(changes) > 0 {
		part := changes[:min(len(changes), changesPerStep)]
		changes = changes[len(part):]
		news := decision.EndpointUpdate{Kind: kind, Endpoints: make([]decision.Endpoint, len(part))}
		for i := range part {
			if part[i].Protocol == "" {
				part[i].Protocol = d.config.Protocol
			}
			news.Endpoints[i] = part[i].Endpoint
		}
		d.transport.Apply(part)
		d.executor.UpdateEndpoints(news)
		kind = decision.UpdateDelta // what else was saved is all that is known beside it
	}
	if d.membershipTimer != nil {
		d.membershipTimer.Stop()
	}
	if at, ok := d.membershipTable.Next(); ok {
		d.membershipTimer = time.AfterFunc(max(0, at-d.executor.Clock().Now()), d.onMembershipTimer)
	}
}

// Backends tells what the Door believes of each backend, by name, and why.
func (d *Gateway) Backends() []BackendStatus {
	d.updateMu.Lock()
	defer d.updateMu.Unlock()
	clock := d.executor.Clock()
	var out []BackendStatus
	for _, v := range d.membershipTable.Statuses() {
		m := BackendStatus{Name: v.Name, Addr: v.Addr, Zone: v.Zone, InstanceType: v.InstanceType, Cell: v.Cell, Weight: v.Weight,
			State: v.EffectiveState.String(), Since: clock.ToWallTime(v.Since), Source: v.Source, Stale: v.Stale, Explanation: v.Reason}
		if v.ProbationUntil > 0 {
			m.Until = clock.ToWallTime(v.ProbationUntil)
		}
		out = append(out, m)
	}
	return out
}

// BackendStatus is what a Door believes of a backend.
type BackendStatus struct {
	Name         string    `json:"name"`
	Addr         string    `json:"address"`
	Zone         string    `json:"zone,omitempty"`
	InstanceType string    `json:"model,omitempty"`
	Cell         int       `json:"cell"`
	Weight       float64   `json:"weight"`
	State        string    `json:"state"`          // cold, ready, suspect or draining
	Since        time.Time `json:"since"`          // of State
	Until        time.Time `json:"until,omitzero"` // a suspect is taken back then, if it stays well
	Source       string    `json:"source"`         // whose word decided
	Stale        bool      `json:"old,omitempty"`  // that source has not been heard since
	Explanation  string    `json:"why"`            // in words
}

// Do passes a request to the backends and returns the one final answer: an Answer, or an error that is an
// ErrRefused, an ErrFailed or an ErrBadRequest, or, when ctx ends first, ctx's cause. What is out for a request
// whose ctx has ended is called off at once.
func (d *Gateway) Do(ctx context.Context, r Request) (*Response, error) {
	msg, err := d.prepareHTTP(&r)
	if err != nil {
		return nil, err
	}
	if d.deduplicator != nil && r.IdempotencyKey != "" && d.classes[r.Class].Idempotency != decision.Idempotent {
		return d.doIdempotent(ctx, &r, msg)
	}
	return d.sendHTTP(ctx, &r, msg)
}

// IdempotencyStats tells what the idempotency keys that are held cost in bytes, how many they are, and how many requests wait with them;
// nothing if Config.Keys is nil.
func (d *Gateway) IdempotencyStats() (bytes, held, waiting int) {
	if d.deduplicator == nil {
		return 0, 0, 0
	}
	return d.deduplicator.Stats()
}

// sendHTTP passes on a request that is fit for the wire.
func (d *Gateway) sendHTTP(ctx context.Context, r *Request, msg *platformtransport.Request) (*Response, error) {
	body, attempts, err := d.execute(ctx, r, msg)
	if err != nil {
		return nil, err
	}
	reply := body.(*platformtransport.Response)
	return &Response{Body: reply.Body, ContentType: reply.ContentType, Attempts: attempts}, nil
}

// doIdempotent passes on a request with a key, unless one with this key was here: then it waits for that one's end, or is given it again.
// What it waits for is counted and sent on once.
func (d *Gateway) doIdempotent(ctx context.Context, r *Request, msg *platformtransport.Request) (*Response, error) {
	attempts := 0
	msg.Body = slices.Clone(msg.Body) // the request goes on when its caller has left, who may then change it
	parts := [][]byte{[]byte(r.Class), []byte(msg.Method), []byte(msg.Target), []byte(msg.ContentType), msg.Body}
	a, err := d.deduplicate(ctx, r, parts, func(ctx context.Context, r *Request) (idempotency.Response, error) {
		a, err := d.sendHTTP(ctx, r, msg)
		if err != nil {
			return idempotency.Response{}, err
		}
		attempts = a.Attempts
		return idempotency.Response{Status: http.StatusOK, ContentType: a.ContentType, Body: a.Body}, nil
	})
	if err != nil {
		return nil, err
	}
	return &Response{Body: a.Body, ContentType: a.ContentType, Attempts: attempts}, nil
}

// deduplicate settles a request with a key; parts tell it apart from others of the same key. send makes it, if it is to be made, in a
// goroutine of its own that may outlive ctx; what it has written elsewhere may be read when byKey returns, unless ctx has ended.
func (d *Gateway) deduplicate(ctx context.Context, r *Request, parts [][]byte, send func(context.Context, *Request) (idempotency.Response, error)) (idempotency.Response, error) {
	came := time.Now()
	got, err := d.deduplicator.Do(ctx, decision.CustomerID(r.Customer), r.IdempotencyKey, d.deduplicator.Fingerprint(parts...), r.Timeout-lifecycle.ResponseMargin, func(ctx context.Context) deduplicator.Result {
		left := *r // it may have waited for the disk
		if left.Timeout -= time.Since(came); left.Timeout <= MinTimeout {
			return deduplicator.Result{Outcome: idempotency.NotExecuted, Err: &RejectedError{RetryAfter: d.config.Idempotency.RetryAfter}}
		}
		a, err := send(ctx, &left)
		switch {
		case err == nil:
			return deduplicator.Result{Outcome: idempotency.Succeeded, Response: a}
		case errors.Is(err, ErrRejected), errors.Is(err, ErrBadRequest):
			return deduplicator.Result{Outcome: idempotency.NotExecuted, Err: err}
		}
		return deduplicator.Result{Outcome: idempotency.Unknown, Err: err}
	})
	switch {
	case err != nil && ctx.Err() != nil && errors.Is(err, context.Cause(ctx)):
		return idempotency.Response{}, disconnectedError(ctx)
	case errors.Is(err, deduplicator.ErrClosed):
		return idempotency.Response{}, ErrClosed
	case errors.Is(err, deduplicator.ErrNotPersisted):
		return idempotency.Response{}, &RejectedError{RetryAfter: got.RetryAfter}
	case err != nil:
		return idempotency.Response{}, err
	}
	switch got.Verdict {
	case idempotency.Replay:
		return got.Response, nil
	case idempotency.ResponseNotStored:
		return idempotency.Response{}, ErrResponseNotRetained
	case idempotency.Conflict:
		return idempotency.Response{}, ErrKeyConflict
	case idempotency.OutcomeUnknown:
		return idempotency.Response{}, &OutcomeUnknownError{RetryAfter: got.RetryAfter}
	case idempotency.Busy, idempotency.Rejected:
		return idempotency.Response{}, &RejectedError{RetryAfter: got.RetryAfter}
	case idempotency.DeadlineExceeded:
		return idempotency.Response{}, ErrDeadlineExceeded
	}
	return idempotency.Response{}, badRequest("key", r.IdempotencyKey)
}

// ReplayablePayload is a load whose answer can be given again: that of a call that is answered as a whole.
type ReplayablePayload interface {
	executor.Payload
	// DigestParts tell it apart from other loads of the same key; nil: its answer can't be given again, and its key is not looked at.
	DigestParts() [][]byte
	// EncodeResponse makes an answer of what a backend gave that can be kept, and Again makes that of it once more.
	EncodeResponse(reply any) (idempotency.Response, error)
	DecodeResponse(idempotency.Response) (reply any, err error)
}

// Forward is Do over the protocol of load, which only packages of this module make: what of r is HTTP's is not looked at. It
// returns what the load's backends gave, also of an attempt that was answered with an error if the request failed by that.
func (d *Gateway) Forward(ctx context.Context, r Request, load executor.Payload) (reply any, err error) {
	if err := d.normalize(&r); err != nil {
		return nil, err
	}
	k, ok := load.(ReplayablePayload)
	if d.deduplicator == nil || !ok || r.IdempotencyKey == "" || d.classes[r.Class].Idempotency == decision.Idempotent || k.DigestParts() == nil {
		reply, _, err = d.execute(ctx, &r, load)
		return reply, err
	}
	var own any // of a request that failed by it
	a, err := d.deduplicate(ctx, &r, append(k.DigestParts(), []byte(r.Class)), func(ctx context.Context, r *Request) (idempotency.Response, error) {
		reply, _, err := d.execute(ctx, r, load)
		if err != nil {
			own = reply
			return idempotency.Response{}, err
		}
		return k.EncodeResponse(reply)
	})
	switch {
	case err == nil:
		return k.DecodeResponse(a)
	case ctx.Err() != nil:
		return nil, err
	}
	return own, err
}

// execute passes on a request that makes sense.
func (d *Gateway) execute(ctx context.Context, r *Request, load executor.Payload) (reply any, attempts int, err error) {
	if ctx.Err() != nil {
		return nil, 0, disconnectedError(ctx)
	}
	req := decision.Request{ID: decision.RequestID(r.ID), Customer: decision.CustomerID(r.Customer), Class: r.Class, Plan: r.Plan,
		Cost: r.Cost, Timeout: r.Timeout - lifecycle.TimeoutMargin, FirstGateway: r.FirstGateway, GatewaySpread: r.GatewaySpread, Protocol: load.Protocol()}
	a, err := d.executor.Serve(ctx, req, r.Timeout-lifecycle.ResponseMargin, load)
	if err != nil {
		if known := submitErrors[err]; known != nil {
			return nil, 0, known
		}
		return nil, 0, err
	}
	reply, attempts = a.Response.Body, a.Attempts
	switch a.Verdict {
	case lifecycle.Served:
		return reply, attempts, nil
	case lifecycle.Rejected:
		err = &RejectedError{RetryAfter: a.RetryAfter, Reason: a.Reason}
	case lifecycle.DeadlineExceeded:
		d.deadlineLog.Do(func() {
			d.log.Warn("answered at the last moment", "request", formatID(r.ID), "class", r.Class, "timeout", r.Timeout)
		})
		err = ErrDeadlineExceeded
	case lifecycle.ClientDisconnected:
		err = disconnectedError(ctx)
	case lifecycle.Aborted:
		err = ErrAborted
	default:
		err = ErrFailed
	}
	return reply, attempts, err
}

func disconnectedError(ctx context.Context) error {
	return fmt.Errorf("pumicecroft: the caller left: %w", context.Cause(ctx))
}

// normalize fills in a request's defaults and tells what is wrong with it. What it lets through is safe to pass to the
// decision module.
func (d *Gateway) normalize(r *Request) error {
	bad := badRequest
	class, ok := d.classes[r.Class]
	if !ok {
		return bad("class", r.Class)
	}
	if !d.plans[r.Plan] {
		return bad("plan", r.Plan)
	}
	set := &d.config.Settings
	if r.Cost == 0 {
		r.Cost = 1
	}
	if !(r.Cost > 0) || math.IsInf(r.Cost, 0) || set.MaxCost > 0 && r.Cost > set.MaxCost {
		return bad("units", r.Cost)
	}
	if r.GatewaySpread == 0 {
		r.GatewaySpread = set.GatewayCount
	}
	if r.GatewaySpread < 1 || r.GatewaySpread > set.GatewayCount || r.FirstGateway < 0 || r.FirstGateway >= set.GatewayCount {
		return bad("front doors", fmt.Sprintf("%d from %d", r.GatewaySpread, r.FirstGateway))
	}
	if r.Timeout < 0 {
		return bad("timeout", r.Timeout)
	}
	if r.Timeout == 0 || r.Timeout > class.Deadline {
		r.Timeout = class.Deadline
	}
	if class.Idempotency == decision.IdempotentByKey && r.IdempotencyKey == "" {
		return bad("key", r.IdempotencyKey)
	}
	if r.ID == 0 && !r.hasID {
		r.ID = rand.Uint64()
	}
	return nil
}

// prepareHTTP is fill, and makes of the request what goes on over HTTP/1.1: what it lets through is safe to pass to backends.
func (d *Gateway) prepareHTTP(r *Request) (*platformtransport.Request, error) {
	if err := d.normalize(r); err != nil {
		return nil, err
	}
	class := d.classes[r.Class]
	if r.Method == "" {
		r.Method = platformMethod(class)
	}
	if r.Target == "" {
		r.Target = "/" + class.Name
	}
	if r.Host == "" {
		r.Host = "pumicecroft"
	}
	if r.Method == "GET" && len(r.Body) > 0 {
		return nil, badRequest("a GET with a body of", len(r.Body))
	}
	if len(r.Body) > MaxBody {
		return nil, ErrBodyTooLarge
	}
	msg := &platformtransport.Request{Method: r.Method, Target: r.Target, Host: r.Host, ID: r.ID, HasID: true, Key: r.IdempotencyKey,
		ContentType: r.ContentType, Body: r.Body}
	if err := msg.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadRequest, err)
	}
	return msg, nil
}

// platformMethod is the method that a class's requests have on the platform.
func platformMethod(c decision.Class) string {
	if c.Idempotency == decision.Idempotent {
		return "GET"
	}
	return "POST"
}

func badRequest(what string, value any) error {
	return fmt.Errorf("%w: %s: %.40q", ErrBadRequest, what, fmt.Sprint(value))
}

// IdempotencyEnabled tells whether the Door recognises idempotency keys.
func (d *Gateway) IdempotencyEnabled() bool { return d.deduplicator != nil }

// SupportsProtocol tells whether the Door reaches backends over a protocol.
func (d *Gateway) SupportsProtocol(protocol string) bool { return d.transports[protocol] != nil }

// Settings are what the Door was made with, defaults filled in.
func (d *Gateway) Settings() decision.Settings { return d.config.Settings }

// ClassNames names the classes of the Settings, in their order.
func (d *Gateway) ClassNames() []string {
	var names []string
	for _, c := range d.config.Settings.Classes {
		names = append(names, c.Name)
	}
	return names
}

// OpenRequests is how many requests the Door has not answered, or has an attempt out for that is being called off.
func (d *Gateway) OpenRequests() int { return d.executor.OpenRequests() }

// Close takes nothing new (ErrClosed), waits until all that was taken has its answer, and lets go of what the
// Door holds. When ctx ends first, the rest is answered as ErrAborted at once, and the error tells how many
// these were; nobody is left without an answer. Further calls do nothing.
func (d *Gateway) Close(ctx context.Context) error {
	if d.closing.Swap(true) {
		return nil
	}
	owed := d.executor.Drain(ctx)
	d.cancel()
	d.executor.Stop()
	if d.deduplicator != nil {
		if err := d.deduplicator.Close(ctx); err != nil {
			d.log.Error("keys are not all on disk", "err", err)
		}
	}
	d.background.Wait()
	d.updateMu.Lock()
	defer d.updateMu.Unlock()
	d.closed = true
	if d.membershipTimer != nil {
		d.membershipTimer.Stop()
	}
	d.transport.Close()
	if d.deployment != nil {
		d.deployment.release(d.config.Settings.GatewayIndex)
	}
	if owed > 0 {
		return errors.Join(fmt.Errorf("%w: %d requests", ErrAborted, owed), context.Cause(ctx))
	}
	return nil
}
