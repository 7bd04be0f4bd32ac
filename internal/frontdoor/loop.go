package frontdoor

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"pumicecroft/decision"
)

// origin is how far before this process's start the gateway's clock begins, so that a backend's start before
// ours is still a time above 0. One that started even earlier started long ago.
const origin = 24 * time.Hour

// clock is the gateway's: durations since origin, by the monotonic clock.
type clock struct{ start time.Time }

func (c clock) now() time.Duration { return origin + time.Since(c.start) }

// unixMilli turns a Unix time into the gateway's; 0 stays "long ago".
func (c clock) unixMilli(ms int64) time.Duration {
	if ms == 0 {
		return 0
	}
	return max(0, origin+time.UnixMilli(ms).Sub(c.start))
}

// errOpen refuses a request whose id is that of one still open.
var errOpen = errors.New("a request with this id is open")

// answer is the one final answer to a request.
type answer struct {
	kind       answerKind
	retryAfter time.Duration // of a refusal; 0: no advice
	reply      *reply        // of a served request
}

type answerKind uint8

const (
	served answerKind = iota
	refused
	failed
)

// call is a request that was taken in. It stays in the table until it has its final answer and all of its
// attempts have ended.
type call struct {
	id       decision.RequestID
	msg      *message
	due      time.Time   // attempts end by then
	final    chan answer // takes the final answer, if there is one before the caller leaves
	ended    bool
	attempts []context.CancelFunc
	out      int // attempts that have not ended
}

// decider is what the loop needs of the gateway.
type decider interface {
	Handle(now time.Duration, ev decision.Event, actions []decision.Action) []decision.Action
}

// Loop owns the gateway. Under one lock it passes on what happens, one event after another, and carries out
// the actions in order. Nothing that it does under the lock waits for I/O.
type Loop struct {
	clock    clock
	backends *Backends

	mu      sync.Mutex
	gateway decider
	calls   map[decision.RequestID]*call
	events  []decision.Event  // not yet handled; an action may add to them
	actions []decision.Action // kept for its memory
}

// NewLoop starts a gateway that knows the backends of the configuration.
func NewLoop(c Config, backends *Backends) (*Loop, error) {
	k := clock{time.Now()}
	gateway, err := decision.New(c.Settings, c.Seed, k.now())
	if err != nil {
		return nil, err
	}
	l := newLoop(k, gateway, backends)
	l.update(c.Known, decision.ListSaved)
	return l, nil
}

func newLoop(k clock, gateway decider, backends *Backends) *Loop {
	return &Loop{clock: k, gateway: gateway, backends: backends, calls: map[decision.RequestID]*call{}}
}

// Update takes in news from discovery.
func (l *Loop) Update(list EndpointList) {
	kind := decision.ListChanges
	if list.Whole {
		kind = decision.ListFull
	}
	l.update(list, kind)
}

func (l *Loop) update(list EndpointList, kind decision.ListKind) {
	list.Hosts = usable(list.Hosts)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handle(decision.BackendList{Kind: kind, Backends: l.backends.update(list, l.clock)})
}

// Serve passes a request to the gateway and waits for its final answer. When ctx ends first, the request has
// ended without one: the gateway is told that the client has gone, and the context's error comes back.
func (l *Loop) Serve(ctx context.Context, req decision.Request, msg *message) (answer, error) {
	c := &call{id: req.ID, msg: msg, due: time.Now().Add(req.Patience), final: make(chan answer, 1)}
	if err := l.begin(c, req); err != nil {
		return answer{}, err
	}
	select {
	case a := <-c.final:
		return a, nil
	case <-ctx.Done():
		if l.abandon(c) {
			return answer{}, ctx.Err()
		}
		return <-c.final, nil
	}
}

func (l *Loop) begin(c *call, req decision.Request) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calls[c.id] != nil {
		return errOpen
	}
	l.calls[c.id] = c
	l.handle(req)
	return nil
}

// abandon ends a request unless it has had its final answer.
func (l *Loop) abandon(c *call) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.ended {
		return false
	}
	c.ended = true
	l.handle(decision.ClientGone{Request: c.id})
	l.forget(c)
	return true
}

// handle passes one event to the gateway, and then those that its actions led to. It wants the lock.
func (l *Loop) handle(ev decision.Event) {
	l.events = append(l.events, ev)
	for i := 0; i < len(l.events); i++ {
		l.actions = l.gateway.Handle(l.clock.now(), l.events[i], l.actions[:0])
		for _, a := range l.actions {
			l.do(a)
		}
	}
	l.events = l.events[:0]
}

func (l *Loop) do(a decision.Action) {
	switch a := a.(type) {
	case decision.Send:
		l.send(a)
	case decision.Refuse:
		l.finish(a.Request, answer{kind: refused, retryAfter: a.RetryAfter})
	case decision.Fail:
		l.finish(a.Request, answer{kind: failed})
	case decision.Cancel:
		if c := l.calls[a.Request]; c != nil && a.Attempt < len(c.attempts) {
			c.attempts[a.Attempt]()
		}
	case decision.SetTimer:
		time.AfterFunc(a.After, func() { l.post(decision.Timer{Token: a.Token}) })
	case decision.Probe:
		go func() { l.post(l.backends.probe(a.Backend)) }()
	case decision.Subscribe: // discovery is always followed
	default:
		slog.Error("the gateway asked for something unknown", "action", fmt.Sprintf("%T", a))
	}
}

func (l *Loop) post(ev decision.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handle(ev)
}

// send starts an attempt. One for a request that has ended is not sent.
func (l *Loop) send(a decision.Send) {
	c := l.calls[a.Request]
	if c == nil {
		slog.Error("the gateway sent a request that is not here", "request", a.Request)
		return
	}
	n := len(c.attempts)
	if c.ended {
		c.attempts = append(c.attempts, func() {})
		l.events = append(l.events, decision.Outcome{Request: c.id, Backend: a.Backend, Attempt: n, Result: decision.NotSent,
			Final: true})
		return
	}
	due := c.due
	if a.Timeout > 0 {
		if t := time.Now().Add(a.Timeout); t.Before(due) {
			due = t
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), due)
	c.attempts = append(c.attempts, cancel)
	c.out++
	sent := l.clock.now()
	go func() {
		defer cancel()
		r := l.backends.send(ctx, a.Backend, c.msg)
		l.outcome(c, r, decision.Outcome{Request: c.id, Backend: a.Backend, Attempt: n, Result: r.result,
			Took: l.clock.now() - sent, HasUse: r.hasUse, Use: r.use, Load: r.load})
	}()
}

// outcome ends an attempt. The first good answer of a request goes to its client.
func (l *Loop) outcome(c *call, r *reply, ev decision.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.result == decision.Answered {
		l.finish(c.id, answer{kind: served, reply: r})
	}
	ev.Final = c.ended
	c.out--
	l.handle(ev)
	l.forget(c)
}

// finish gives a request its final answer. Only the first one counts.
func (l *Loop) finish(id decision.RequestID, a answer) {
	c := l.calls[id]
	if c == nil || c.ended {
		return
	}
	c.ended = true
	c.final <- a
	l.forget(c)
}

func (l *Loop) forget(c *call) {
	if c.ended && c.out == 0 && l.calls[c.id] == c {
		delete(l.calls, c.id)
	}
}
