package frontdoor

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"pumicecroft/decision"

	"golang.org/x/time/rate"
)

const (
	maxBody      = 64 << 10 // the protocol's most for a body
	probeTimeout = time.Second
	// A kept connection is dropped when it has been idle for this share of the time after which the backend
	// may close it: a request that crosses the close may have run.
	idleShare = 0.6
	// An answer that has begun and does not end within answerTime is a spoilt one: backends write theirs at once.
	answerTime = 500 * time.Millisecond
	maxHead    = 16 << 10 // of an answer, 1xx answers ahead of it among it
	maxUse     = 10_000   // percent; a figure over it is no customer's use
)

// message is a client's request as it goes on to a backend, with each attempt.
type message struct {
	method string
	target string // path and query as they came
	host   string
	header http.Header
	body   []byte
}

// reply is how an attempt ended and, if it was answered, with what.
type reply struct {
	result      decision.Result
	contentType []string
	body        []byte
	hasUse      bool
	use         float64
	load        []float64
}

// backend is one entry of the list of backends. Its fields other than id are guarded by Backends.mu.
type backend struct {
	id    decision.BackendID
	born  int64
	state decision.BackendState
	place *place
}

// Backends sends attempts to the backends that discovery has named, over kept connections.
type Backends struct {
	pool     *pool
	columns  []string // names of load figures as in the header, in the order of the settings
	reports  bool     // there are load reports, so probes ask for one
	faultLog rate.Sometimes

	mu     sync.Mutex
	lastID decision.BackendID
	byHost map[string]*backend // until it is gone
	byID   map[decision.BackendID]*backend
}

// columnNames are the header's names for the settings' load figures.
var columnNames = map[string]string{"concurrent": "inflight", "depth": "queue", "load_share": "util",
	"mean_ms": "latency_ms", "tps": "qps", "err_ps": "eps"}

// NewBackends knows no backends yet.
func NewBackends(c Config) *Backends {
	dialer := &net.Dialer{Timeout: c.Conns.Connect, KeepAlive: -1}
	b := &Backends{reports: len(c.Settings.LoadColumns) > 0, faultLog: rate.Sometimes{First: 10, Interval: time.Second},
		pool:   newPool(dialer.DialContext, c.Limits.backendConns(), time.Duration(idleShare*float64(c.Conns.Idle))),
		byHost: map[string]*backend{}, byID: map[decision.BackendID]*backend{}}
	for _, name := range c.Settings.LoadColumns {
		if short, ok := columnNames[name]; ok {
			name = short
		}
		b.columns = append(b.columns, name)
	}
	return b
}

// update applies news to the list and gives it in the gateway's form.
func (b *Backends) update(list EndpointList, c clock) []decision.BackendInfo {
	b.mu.Lock()
	defer b.mu.Unlock()
	var infos []decision.BackendInfo
	if list.Whole {
		for _, be := range b.byHost {
			be.state = decision.Gone // unless listed
		}
	}
	for _, e := range list.Hosts {
		be := b.byHost[e.Host]
		if be == nil {
			if states[e.Health] == decision.Gone {
				continue // never named, or forgotten
			}
			b.lastID++
			be = &backend{id: b.lastID}
			b.byHost[e.Host], b.byID[be.id] = be, be
		}
		if be.place == nil || be.place.addr != e.Dial && e.Dial != "" || be.born != e.BornMS {
			if be.place != nil {
				b.pool.clear(be.place) // its connections lead to what was there before
			}
			be.place = &place{addr: e.Dial}
		}
		be.born, be.state = e.BornMS, states[e.Health]
		infos = append(infos, decision.BackendInfo{ID: be.id, State: be.state, Zone: e.Site, Kind: e.Class, Cell: e.Block,
			Started: c.unixMilli(e.BornMS), Weight: e.Share})
	}
	for host, be := range b.byHost {
		if be.state == decision.Gone {
			b.pool.clear(be.place)
			delete(b.byHost, host) // if it comes back it is a new one, to the gateway as well
			delete(b.byID, be.id)
		}
	}
	return infos
}

// ready gives the place of a backend that may be sent something now, else nil.
func (b *Backends) ready(id decision.BackendID) *place {
	b.mu.Lock()
	defer b.mu.Unlock()
	if be := b.byID[id]; be != nil && be.state == decision.Ready {
		return be.place
	}
	return nil
}

// errStale ends an attempt that is no longer wanted where its connection leads.
var errStale = errors.New("the backend may be sent nothing new")

// send makes one attempt and tells how it ended. It never sends twice.
func (b *Backends) send(ctx context.Context, id decision.BackendID, m *message) *reply {
	r := &reply{result: decision.NotSent}
	at := b.ready(id)
	if at == nil || ctx.Err() != nil {
		return r
	}
	c, err := b.write(ctx, id, at, m)
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, errStale) && !errors.Is(err, errFull) && !errors.Is(err, syscall.EMFILE) {
			r.result = decision.NoConnection
		}
		if context.Cause(ctx) == context.Canceled {
			r.result = decision.Cancelled
		}
		b.fault(at, err)
		return r
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	keep, err := b.read(ctx, c, m, r)
	if stop() && err == nil && keep {
		b.pool.put(c)
	} else {
		b.pool.drop(c)
	}
	switch {
	case err == nil:
		return r
	case context.Cause(ctx) == context.Canceled:
		r.result = decision.Cancelled
		return r
	case ctx.Err() != nil:
		r.result = decision.TimedOut
		return r
	case errors.Is(err, errEnded):
		r.result = decision.Broken
	default: // spoilt: the backend is as well as before, and the request may have run
		r.result = decision.Unknown
	}
	b.fault(at, err)
	return r
}

func (b *Backends) fault(at *place, err error) {
	b.faultLog.Do(func() { slog.Warn("an attempt broke", "backend", at.addr, "err", err) })
}

// write sends a request whole. An error means that its last byte was not written, so it has never run. A kept
// connection that turns out to be dead before then is made up for by a new one.
func (b *Backends) write(ctx context.Context, id decision.BackendID, at *place, m *message) (*kept, error) {
	for fresh := false; ; fresh = true {
		c, err := b.pool.get(ctx, at, fresh)
		if err != nil {
			return nil, err
		}
		// A connection may have taken long to come up.
		if b.ready(id) != at || ctx.Err() != nil {
			b.pool.drop(c)
			return nil, errStale
		}
		text, err := m.encode(ctx)
		if err == nil {
			due, _ := ctx.Deadline()
			c.SetDeadline(due)
			_, err = c.Write(text)
		}
		if err == nil {
			c.SetDeadline(time.Time{}) // from here on the context's end alone ends the wait
			return c, nil
		}
		b.pool.drop(c)
		if !c.used || ctx.Err() != nil {
			return nil, err
		}
	}
}

// encode gives one attempt's request as it stands on the wire.
func (m *message) encode(ctx context.Context) ([]byte, error) {
	header := m.header.Clone()
	if due, ok := ctx.Deadline(); ok {
		header["Request-Timeout"] = []string{strconv.FormatFloat(time.Until(due).Seconds(), 'f', 3, 64)}
	}
	req := &http.Request{Method: m.method, URL: &url.URL{Scheme: "http", Host: m.host, Opaque: m.target}, Host: m.host,
		Header: header, ContentLength: int64(len(m.body)), Body: http.NoBody}
	if len(m.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(m.body))
	}
	var text bytes.Buffer
	text.Grow(512 + len(m.body))
	err := req.Write(&text)
	return text.Bytes(), err
}

var (
	errEnded  = errors.New("the connection ended before an answer")
	errLength = errors.New("the answer does not tell its length")
	errSwitch = errors.New("the answer switches protocols")
)

// read takes in a whole answer, and tells whether the backend leaves the connection open. An error means that
// there was no answer that can be used.
func (b *Backends) read(ctx context.Context, c *kept, m *message, r *reply) (keep bool, err error) {
	c.bound.left = maxHead
	if _, err := c.r.Peek(1); err != nil {
		return false, fmt.Errorf("%w: %w", errEnded, err)
	}
	// The context's end may have set a deadline already, which this must not undo.
	c.SetReadDeadline(time.Now().Add(answerTime))
	if err := ctx.Err(); err != nil {
		return false, err
	}
	res, err := http.ReadResponse(c.r, &http.Request{Method: m.method})
	for err == nil && res.StatusCode < 200 && res.StatusCode != http.StatusSwitchingProtocols {
		res, err = http.ReadResponse(c.r, &http.Request{Method: m.method})
	}
	if err != nil {
		return false, err
	}
	body, err := readAnswer(c, res)
	if err != nil {
		return false, err
	}
	switch {
	case res.StatusCode == http.StatusOK:
		r.result, r.body, r.contentType = decision.Answered, body, res.Header["Content-Type"]
	case (res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusGatewayTimeout) &&
		res.Header.Get("Not-Started") == "1":
		r.result = decision.Refused
	default:
		r.result = decision.AnsweredErr // it may have run
	}
	if v, err := strconv.ParseFloat(res.Header.Get("X-RateLimit-Used"), 64); err == nil && v >= 0 && v <= maxUse {
		r.hasUse, r.use = true, v
	}
	r.load = b.parseLoad(res.Header.Get("Server-Load"))
	return !res.Close, nil
}

// readAnswer reads an answer's body. One that only the connection's end would end can't be told from a cut one.
func readAnswer(c *kept, res *http.Response) ([]byte, error) {
	c.bound.left = 2 * maxBody // chunks take more room than what is in them
	switch {
	case res.StatusCode == http.StatusSwitchingProtocols:
		return nil, errSwitch
	case res.ContentLength > maxBody:
		return nil, errBig
	case res.ContentLength >= 0:
		body := make([]byte, res.ContentLength)
		_, err := io.ReadFull(res.Body, body)
		return body, err
	case len(res.TransferEncoding) == 0:
		return nil, errLength
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = errBig
	}
	return body, err
}

// parseLoad reads a load report such as "queue=2,qps=31"; nil if it does not hold all that the settings name.
func (b *Backends) parseLoad(text string) []float64 {
	if text == "" || len(b.columns) == 0 {
		return nil
	}
	load := make([]float64, len(b.columns))
	found := 0
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		for i, column := range b.columns {
			if name == column {
				v, err := strconv.ParseFloat(value, 64)
				if err != nil || !(v >= 0) || math.IsInf(v, 0) {
					return nil
				}
				load[i] = v
				found++
			}
		}
	}
	if found != len(load) {
		return nil
	}
	return load
}

// probe asks a backend for its health, with its load if there are reports.
func (b *Backends) probe(id decision.BackendID) decision.ProbeResult {
	out := decision.ProbeResult{Backend: id}
	m := &message{method: http.MethodGet, target: "/health", header: http.Header{}}
	if b.reports {
		m.target = "/status/load"
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	start := time.Now()
	r := b.send(ctx, id, m)
	out.Result, out.Took, out.Load = r.result, time.Since(start), r.load
	if b.reports && r.result == decision.Answered {
		out.Load = b.parseLoad(strings.TrimSpace(string(r.body)))
	}
	return out
}
