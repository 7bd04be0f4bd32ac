package frontdoor

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	ct "cypresstrack"

	"golang.org/x/time/rate"
)

const (
	maxBody      = 64 << 10 // the protocol's most for a body
	probeTimeout = time.Second
	// A kept connection is dropped when it has been idle for this share of the time after which the backend
	// may close it: a request that crosses the close may have run.
	idleShare = 0.6
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
	result      ct.Result
	contentType []string
	body        []byte
	hasUse      bool
	use         float64
	load        []float64
}

// backend is one entry of the list of backends. Its fields other than id are guarded by Backends.mu.
type backend struct {
	id        ct.BackendID
	addr      string
	born      int64
	state     ct.BackendState
	transport *http.Transport
}

// Backends sends attempts to the backends that discovery has named, over kept connections.
type Backends struct {
	conns    func() *http.Transport
	columns  []string // names of load figures as in the header, in the order of the settings
	reports  bool     // there are load reports, so probes ask for one
	maxOut   int64    // attempts that may be out, for the limit on sockets
	out      atomic.Int64
	faultLog rate.Sometimes

	mu     sync.RWMutex
	byHost map[string]*backend // a host keeps its id for good
	byID   map[ct.BackendID]*backend
}

// columnNames are the header's names for the settings' load figures.
var columnNames = map[string]string{"concurrent": "inflight", "depth": "queue", "load_share": "util",
	"mean_ms": "latency_ms", "tps": "qps", "err_ps": "eps"}

// NewBackends knows no backends yet.
func NewBackends(c Config) *Backends {
	dialer := &net.Dialer{Timeout: c.Conns.Connect, KeepAlive: -1}
	b := &Backends{reports: len(c.Settings.LoadColumns) > 0, maxOut: int64(max(1, c.Limits.Sockets/3)),
		faultLog: rate.Sometimes{First: 10, Interval: time.Second},
		byHost:   map[string]*backend{}, byID: map[ct.BackendID]*backend{}}
	b.conns = func() *http.Transport {
		return &http.Transport{
			DialContext:            dialer.DialContext,
			DisableCompression:     true, // bodies go on unchanged
			MaxIdleConnsPerHost:    max(1, c.Limits.Sockets/64),
			IdleConnTimeout:        time.Duration(idleShare * float64(c.Conns.Idle)),
			MaxResponseHeaderBytes: maxBody,
			ReadBufferSize:         2 << 10,
			WriteBufferSize:        2 << 10,
		}
	}
	for _, name := range c.Settings.LoadColumns {
		if short, ok := columnNames[name]; ok {
			name = short
		}
		b.columns = append(b.columns, name)
	}
	return b
}

// update applies news to the list and gives it in the gateway's form.
func (b *Backends) update(list EndpointList, c clock) []ct.BackendInfo {
	b.mu.Lock()
	defer b.mu.Unlock()
	var infos []ct.BackendInfo
	if list.Whole {
		for _, be := range b.byHost {
			be.state = ct.Gone // unless listed
		}
	}
	for _, e := range list.Hosts {
		be := b.byHost[e.Host]
		if be == nil {
			be = &backend{id: ct.BackendID(len(b.byHost) + 1), transport: b.conns()}
			b.byHost[e.Host], b.byID[be.id] = be, be
		}
		if be.addr != e.Dial || be.born != e.BornMS {
			be.transport.CloseIdleConnections() // they lead to what was there before
		}
		be.addr, be.born, be.state = e.Dial, e.BornMS, states[e.Health]
		infos = append(infos, ct.BackendInfo{ID: be.id, State: be.state, Zone: e.Site, Kind: e.Class, Cell: e.Block,
			Started: c.unixMilli(e.BornMS), Weight: e.Share})
	}
	for _, be := range b.byHost {
		if be.state == ct.Gone {
			be.transport.CloseIdleConnections()
		}
	}
	return infos
}

// ready gives a backend's address and transport, if it may be sent something now.
func (b *Backends) ready(id ct.BackendID) (*http.Transport, string, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	be := b.byID[id]
	if be == nil || be.state != ct.Ready {
		return nil, "", false
	}
	return be.transport, be.addr, true
}

var errBig = errors.New("the answer's body is over 64 KiB")

// send makes one attempt and tells how it ended. It never sends twice.
func (b *Backends) send(ctx context.Context, id ct.BackendID, m *message) *reply {
	r := &reply{result: ct.NotSent}
	transport, addr, ok := b.ready(id)
	if !ok || ctx.Err() != nil {
		return r
	}
	defer b.out.Add(-1)
	if b.out.Add(1) > b.maxOut {
		return r
	}
	var stale, wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// A connection may have taken long to come up. What is no longer wanted must not be written, and
		// closing the connection is how the transport can be kept from it.
		GotConn: func(info httptrace.GotConnInfo) {
			if _, _, ok := b.ready(id); !ok || ctx.Err() != nil {
				stale.Store(true)
				info.Conn.Close()
			}
		},
		// Told when the request stands in the transport's buffer, just before the last byte is written: from
		// then on it may have run.
		WroteRequest: func(info httptrace.WroteRequestInfo) { wrote.Store(info.Err == nil) },
	})
	req := m.request(ctx, addr)
	res, err := transport.RoundTrip(req)
	if err == nil {
		err = b.read(res, r)
	}
	switch {
	case err == nil:
		return r
	case stale.Load():
		r.result = ct.NotSent
	case context.Cause(ctx) == context.Canceled:
		r.result = ct.Cancelled
	case ctx.Err() != nil && wrote.Load():
		r.result = ct.TimedOut
	case ctx.Err() != nil:
		r.result = ct.NotSent
	case wrote.Load() || res != nil:
		r.result = ct.Broken
	case errors.Is(err, syscall.EMFILE): // the shortage is ours, and no fault of the backend
		r.result = ct.NotSent
	default:
		r.result = ct.NoConnection
	}
	if r.result == ct.Broken {
		transport.CloseIdleConnections() // whatever ended this one has most likely ended them too
	}
	if r.result == ct.Broken || r.result == ct.NoConnection || errors.Is(err, syscall.EMFILE) {
		b.faultLog.Do(func() { slog.Warn("an attempt broke", "backend", addr, "err", err) })
	}
	return r
}

// request builds one attempt's. Its body is never one that the transport knows how to send again: else it
// would do so by itself on a kept connection that turns out dead, and the copy is an attempt nobody decided on.
func (m *message) request(ctx context.Context, addr string) *http.Request {
	header := m.header.Clone()
	if due, ok := ctx.Deadline(); ok {
		header["Request-Timeout"] = []string{strconv.FormatFloat(time.Until(due).Seconds(), 'f', 3, 64)}
	}
	req := &http.Request{Method: m.method, URL: &url.URL{Scheme: "http", Host: addr, Opaque: m.target}, Host: m.host,
		Header: header, ContentLength: int64(len(m.body)), Body: io.NopCloser(bytes.NewReader(m.body))}
	return req.WithContext(ctx)
}

// read takes in a whole answer. An error means that there was none.
func (b *Backends) read(res *http.Response, r *reply) error {
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = errBig
	}
	if err != nil {
		return err
	}
	switch {
	case res.StatusCode == http.StatusOK:
		r.result, r.body, r.contentType = ct.Answered, body, res.Header["Content-Type"]
	case (res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusGatewayTimeout) &&
		res.Header.Get("Not-Started") == "1":
		r.result = ct.Refused
	default:
		r.result = ct.AnsweredErr // it may have run
	}
	if used := res.Header.Get("X-RateLimit-Used"); used != "" {
		if v, err := strconv.ParseFloat(used, 64); err == nil && v >= 0 && !math.IsInf(v, 0) {
			r.hasUse, r.use = true, v
		}
	}
	r.load = b.parseLoad(res.Header.Get("Server-Load"))
	return nil
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
				if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
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
func (b *Backends) probe(id ct.BackendID) ct.ProbeResult {
	out := ct.ProbeResult{Backend: id}
	m := &message{method: http.MethodGet, target: "/health", header: http.Header{}}
	if b.reports {
		m.target = "/status/load"
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	start := time.Now()
	r := b.send(ctx, id, m)
	out.Result, out.Took, out.Load = r.result, time.Since(start), r.load
	if b.reports && r.result == ct.Answered {
		out.Load = b.parseLoad(strings.TrimSpace(string(r.body)))
	}
	return out
}
