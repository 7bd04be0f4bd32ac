package platform

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/pollbackoff"
	"pumicecroft/internal/unread"
	"pumicecroft/membership"

	"golang.org/x/time/rate"
)

// EndpointUpdate is a list of backends, or of changes to it, as discovery tells it.
type EndpointUpdate struct {
	Seq       int64      `json:"seq"`
	Full      bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
	// DrainsOnly says that these hosts drain by a list that has not ended yet, and may never: see membership.List.
	DrainsOnly    bool `json:"-"`
	MergedUpdates int  `json:"-"` // how many changes that came together this is
}

// Endpoint is one backend.
type Endpoint struct {
	Name         string  `json:"host"`
	Addr         string  `json:"dial"`
	Zone         string  `json:"site"`
	InstanceType string  `json:"class"`
	Cell         int     `json:"block"`
	Health       string  `json:"health"`
	Weight       float64 `json:"share"`
	StartedAtMS  int64   `json:"born_ms"`
}

const healthTerminating = "Terminating"

var statesByHealth = map[string]decision.BackendState{"Ready": decision.Ready, healthTerminating: decision.Draining, "Gone": decision.Removed}

// Membership gives the list in the library's terms. Entries that make no sense change nothing of what was known.
func (l EndpointUpdate) Membership() membership.Update {
	out := membership.Update{Full: l.Full, DrainsOnly: l.DrainsOnly, Nodes: make([]membership.Node, 0, len(l.Endpoints))}
	for _, e := range l.Endpoints {
		state, ok := statesByHealth[e.Health]
		n := membership.Node{Name: e.Name, Addr: e.Addr, Zone: e.Zone, InstanceType: e.InstanceType, Cell: e.Cell, State: state,
			Weight: e.Weight}
		if e.StartedAtMS != 0 {
			n.StartedAt = time.UnixMilli(e.StartedAtMS)
		}
		if !ok || e.StartedAtMS < 0 { // what else may be wrong with a node the library looks at
			out.Invalid = append(out.Invalid, e.Name)
			continue
		}
		out.Nodes = append(out.Nodes, n)
	}
	if len(out.Invalid) > 0 && !l.DrainsOnly {
		slog.Warn("discovery: entries that make no sense", "entries", len(out.Invalid), "seq", l.Seq, "first_host", fmt.Sprintf("%.80q", out.Invalid[0]))
	}
	return out
}

// Discovery follows the platform's discovery. It is a source of lists for the library, and must not be copied once it runs.
type Discovery struct {
	Addr        string
	FromVersion int64         // the version of the list that is known, or FromTheStart
	AddrChanges <-chan string // each address that comes takes the place of the one before; nil: none comes
	// PollWithin is the time within which discovery has to be asked, where a call costs it work; 0: it does not.
	PollWithin time.Duration
	Seed       uint64 // of the moments at which it is asked
	// DrainGrace is for how long a backend that drains may be sent to. A watch that has been opened where asking costs nothing has to begin within
	// half of it, and within a second; 0: 2 s.
	DrainGrace time.Duration
	// MaxEntries is how many entries a list may have; one with more is not taken. 0: membership.DefaultMost.
	MaxEntries int

	state      watchState
	logSummary updateLog
}

// updateLog is what has been reported and stands in no line of the log yet: news that comes line by line has some lines a second there.
type updateLog struct {
	limiter            rate.Sometimes
	updates, endpoints int
}

// watchState is what CatchUp knows of the watch that is open.
type watchState struct {
	mu      sync.Mutex
	conn    *unread.Conn  // of the watch, or of the one that is being opened
	synced  bool          // it has told what had changed before it was opened
	lostAt  time.Time     // since when there is none that has; zero: there was none yet
	heardAt time.Time     // when it said anything last
	changed chan struct{} // closed at the next change, if somebody waits for that
	wake    chan struct{} // holds one: what is waited for before the next watch need not be
}

// update makes a change.
func (e *watchState) update(do func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	do()
	if e.changed != nil {
		close(e.changed)
		e.changed = nil
	}
}

// dial opens a connection that is listened to.
func (e *watchState) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	u := unread.New(c, func() { e.update(func() {}) })
	e.update(func() { e.conn = u })
	return u, nil
}

// watchEnded notes that a watch has ended whose call began at a time, and tells whether it had told what had changed before, and for how long something
// may have been missed: since its last word, or, before its first list, since the call. A word while a call waits for its turn tells nothing.
func (e *watchState) watchEnded(begun time.Time) (told bool, unsure time.Duration) {
	e.update(func() {
		if told = e.synced; told {
			begun, e.lostAt = e.heardAt, time.Now()
		}
		e.conn, e.synced = nil, false
	})
	return told, time.Since(begun)
}

// idle tells whether the connection holds nothing that nobody has read, and its reader has dealt with all that it has.
func (e *watchState) idle() bool {
	e.mu.Lock()
	c := e.conn
	e.mu.Unlock()
	return c == nil || c.Nothing()
}

// Sync returns when all that discovery had told when it was called has been reported. If the watch has ended since a time, or has been
// silent for too long, the next one is waited for, and opened at once where a call costs nothing. One that had ended before that is not:
// discovery can't be heard, and the door has gone on without it.
func (d *Discovery) Sync(ctx context.Context, since time.Time) error {
	e := &d.state
	for {
		e.mu.Lock()
		if e.changed == nil {
			e.changed = make(chan struct{})
		}
		changed, c, open, gone := e.changed, e.conn, e.synced && time.Since(e.heardAt) < watchTimeout, !e.synced && e.lostAt.Before(since)
		e.mu.Unlock()
		if gone {
			return fmt.Errorf("discovery: %w", errSilent)
		}
		if open && c.Nothing() {
			return nil
		}
		if !open && d.PollWithin == 0 {
			e.wakeUp()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("discovery: %w", errSilent)
		}
	}
}

func (e *watchState) wakeUp() {
	select {
	case e.wakeups() <- struct{}{}:
	default:
	}
}

func (e *watchState) wakeups() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.wake == nil {
		e.wake = make(chan struct{}, 1)
	}
	return e.wake
}

// Run follows discovery until ctx ends.
func (d *Discovery) Run(ctx context.Context, update func(membership.Update)) {
	d.Follow(ctx, func(l EndpointUpdate) { update(l.Membership()) })
}

const (
	// A watch says something every 2 s, if only an empty line. One that is silent for longer is dead.
	watchTimeout    = 3 * time.Second
	moveDeadline    = 2 * time.Second        // after a move the new discovery's list is wanted
	fetchTimeout    = time.Second            // the agent answers at once, or is silent
	recheckDelay    = 100 * time.Millisecond // what has come when a watch is to be given up is read by then; it may be no word
	minFirstTimeout = 250 * time.Millisecond // ... but this process may be slow to hear it
)

// firstUpdateTimeout is when a watch has to have begun.
func (d *Discovery) firstUpdateTimeout() time.Duration {
	switch {
	case d.PollWithin > 0: // the call may have to wait for its turn
		return 0
	case d.DrainGrace > 0:
		return min(fetchTimeout, max(minFirstTimeout, d.DrainGrace/2))
	}
	return fetchTimeout
}

// FromFullUpdate, as a version to start from, asks for the whole list first.
const FromFullUpdate = -1

// Follow follows discovery until ctx ends. Another discovery may number its versions in another way, so after a move
// the whole list is taken first.
func (d *Discovery) Follow(ctx context.Context, update func(EndpointUpdate)) {
	addr, from, asking := d.Addr, d.FromVersion, pollbackoff.New(d.PollWithin, d.Seed)
	d.logSummary.limiter = rate.Sometimes{First: 10, Interval: time.Second}
	wanted := d.PollWithin
	if from == FromFullUpdate {
		wanted = 0
	}
	for {
		begin := asking.First(wanted)
		watching, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func(addr string, from int64) { // as they are now: a move changes them while this runs
			defer close(ended)
			d.followAddr(watching, addr, from, begin, asking, update)
		}(addr, from)
		select {
		case addr = <-d.AddrChanges:
			from, wanted = FromFullUpdate, moveDeadline
		case <-ctx.Done():
		}
		stop()
		<-ended // nothing that the old one says may come after the new one's list
		if ctx.Err() != nil {
			return
		}
	}
}

// followAddr follows one discovery, over as many watches as it takes, until ctx ends.
func (d *Discovery) followAddr(ctx context.Context, addr string, from int64, wait time.Duration, asking *pollbackoff.Backoff, update func(EndpointUpdate)) {
	transport := &http.Transport{DialContext: d.state.dial, DisableKeepAlives: true, DisableCompression: true, ReadBufferSize: readBufferSize}
	hurry := d.state.wakeups()
	sometimes := rate.Sometimes{First: 3, Interval: 5 * time.Second}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		case <-hurry:
		}
		var err error
		begun := time.Now()
		if from == FromFullUpdate {
			err = d.fetch(ctx, transport, addr, watchTimeout, &from, update)
		}
		if err == nil {
			err = d.watch(ctx, transport, addr, watchTimeouts{d.firstUpdateTimeout(), d.PollWithin, watchTimeout}, &from, update)
		}
		told, unsure := d.state.watchEnded(begun)
		if ctx.Err() != nil {
			return
		}
		// an agent may answer at once by itself, and end the answer when discovery has not taken the call in time: what is granted begins with a list
		again := asking.AfterLoss
		if spoilt := (*invalidUpdateError)(nil); errors.As(err, &spoilt) {
			again, told = asking.AfterInvalid, told && time.Since(begun) > watchTimeout // a good list each time before a bad one costs as much
		}
		wait = again(told, unsure)
		sometimes.Do(func() {
			slog.Warn("discovery: the watch ended", "addr", addr, "from", from, "err", err, "again_in", wait)
		})
	}
}

var (
	errSilent          = errors.New("nothing was heard for too long")
	errNotFullUpdate   = errors.New("the answer is no whole list")
	errVersionWentBack = errors.New("the versions have gone back")
)

// get opens one of discovery's answers.
func get(ctx context.Context, rt http.RoundTripper, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	res, err := rt.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		res.Body.Close()
		return nil, fmt.Errorf("answered %s", res.Status)
	}
	return res, nil
}

// watchTimeouts are how long a watch may be silent: until its first list, 0: as later; and later. Until turn is over, if it is set, the first list
// may be owed while empty lines come: the call waits for its turn.
type watchTimeouts struct{ first, turn, silence time.Duration }

// updateStream is one of discovery's answers, which is read while it is alive.
type updateStream struct {
	*updateReader
	ctx   context.Context
	alarm *time.Timer
	close func()
}

// open asks for an answer, which must be closed.
//
// Silence is what the answer keeps while somebody listens: if this process stood still, what it said meanwhile has come and waits. What breaks
// silence is an empty line, the beginning of a list, its end, and so many of its entries (progress): a list may be long, but one that never ends
// is silence, however it drips.
func (d *Discovery) open(ctx context.Context, rt http.RoundTripper, url string, may watchTimeouts) (*updateStream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	asked := time.Now()
	alarm := unread.Alarm(cmp.Or(may.first, may.silence), func() time.Duration {
		if d.state.idle() {
			return 0
		}
		return recheckDelay
	}, func() { cancel(errSilent) })
	a := &updateStream{ctx: ctx, alarm: alarm, close: func() { alarm.Stop(); cancel(nil) }}
	res, err := get(ctx, rt, url)
	if err != nil {
		a.close()
		return nil, a.cause(err)
	}
	a.close = func() { alarm.Stop(); cancel(nil); res.Body.Close() }
	a.updateReader = newUpdateReader(res.Body, d.MaxEntries)
	begun := may.first == 0 && may.turn == 0 // until its first list has begun, its empty lines count for nothing, or for a while
	a.onProgress = func(begins bool) {
		if begun = begun || begins; begun {
			alarm.Reset(may.silence)
			d.state.update(func() { d.state.heardAt = time.Now() })
		} else if left := time.Until(asked.Add(may.turn)); left > 0 {
			alarm.Reset(min(left, may.silence))
		}
	}
	return a, nil
}

// cause is the reason of an error: that of a context which has ended goes before what came of that.
func (a *updateStream) cause(err error) error {
	cause := context.Cause(a.ctx)
	var list *invalidUpdateError
	if cause != nil && errors.As(err, &list) {
		return &invalidUpdateError{cause}
	}
	return cmp.Or(cause, err)
}

// reportDrains reports what of a list that has begun drains: that is so whether or not the list ends.
func (a *updateStream) reportDrains(update func(EndpointUpdate)) {
	if early := a.drains; len(early) > 0 {
		a.drains = nil
		update(EndpointUpdate{DrainsOnly: true, Endpoints: early})
	}
}

// fetch takes the whole list, once.
func (d *Discovery) fetch(ctx context.Context, rt http.RoundTripper, addr string, silence time.Duration, from *int64, update func(EndpointUpdate)) error {
	a, err := d.open(ctx, rt, fmt.Sprintf("http://%s/v1/endpoints", addr), watchTimeouts{first: min(fetchTimeout, silence), silence: silence})
	if err != nil {
		return err
	}
	defer a.close()
	a.beforeBlock = func() { a.reportDrains(update) }
	list, err := a.next()
	a.reportDrains(update)
	if err != nil {
		return a.cause(err)
	}
	if !list.Full {
		return errNotFullUpdate
	}
	seq := list.Seq
	slog.Info("discovery: the whole list", "addr", addr, "seq", seq, "hosts", len(list.Endpoints))
	update(list)
	*from = seq
	return nil
}

// watch follows discovery over one connection. A line that cannot be read ends it, and the next watch asks for the same changes again: passing
// over the line could lose the word that a backend drains.
//
// Changes that have come together are reported together, as discovery would have told them to a door that asked later; nothing waits for more.
func (d *Discovery) watch(ctx context.Context, rt http.RoundTripper, addr string, may watchTimeouts, from *int64, update func(EndpointUpdate)) error {
	a, err := d.open(ctx, rt, fmt.Sprintf("http://%s/v1/endpoints?watch=1&from=%d", addr, *from), may)
	if err != nil {
		return err
	}
	defer a.close()
	var held EndpointUpdate // changes
	flush := func() {
		if held.MergedUpdates == 0 {
			return
		}
		list := held
		held = EndpointUpdate{Seq: held.Seq}
		d.report(list, update)
		*from = held.Seq
	}
	a.beforeBlock = func() {
		flush()
		a.reportDrains(update)
	}
	held.Seq = *from
	for {
		list, err := a.next()
		switch {
		case err != nil:
			a.beforeBlock()
			return a.cause(err)
		case !list.Full && list.Seq < held.Seq: // discovery has begun anew: what changed before is not known here
			flush()
			*from = FromFullUpdate
			return errVersionWentBack
		case list.Full:
			flush()
			held = list
		default:
			held.Seq, held.Endpoints = list.Seq, append(held.Endpoints, list.Endpoints...)
		}
		if held.MergedUpdates++; list.Full {
			flush()
		}
	}
}

// report passes on what a watch has told.
func (d *Discovery) report(list EndpointUpdate, update func(EndpointUpdate)) {
	d.logSummary.updates, d.logSummary.endpoints = d.logSummary.updates+list.MergedUpdates, d.logSummary.endpoints+len(list.Endpoints)
	d.logSummary.limiter.Do(func() {
		slog.Info("discovery", "seq", list.Seq, "whole", list.Full, "lines", d.logSummary.updates, "hosts", d.logSummary.endpoints)
		d.logSummary.updates, d.logSummary.endpoints = 0, 0
	})
	update(list)
	d.state.update(func() { d.state.synced = true })
}
