package httpproxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/identity"
	"pumicecroft/internal/http1proxy"
	"pumicecroft/internal/httpproxytransport"
	"pumicecroft/internal/reqtarget"
	"pumicecroft/internal/requestmeta"
	"pumicecroft/routes"
)

const usualBody = 1 << 20

// Plan is what would become of a request: the outcome of all that is settled before the Door is asked.
type Plan struct {
	Rule   *routes.Rule[*Route] // nil: none takes it
	Params []routes.Param
	Who    identity.Who
	Effect decision.Idempotency
	Class  string
	Target string
	Err    error // why it goes no further
}

// Errors beside those of packages routes and identity by which a request goes no further.
var (
	errRouteRefuses = errors.New("the route refuses")
	errUpgrade      = errors.New("the connection can't become one of another protocol here")
	errShape        = errors.New("a request that can be read in two ways")
)

// Settle tells what would become of a request at a time, and asks nobody. Its body is not looked at.
func (f *Front) Settle(r *http.Request, now time.Time) Plan {
	p, _ := f.settle(f.rules.Load(), r, now)
	return p
}

func (f *Front) settle(rules *compiled, r *http.Request, now time.Time) (p Plan, from http1proxy.Origin) {
	h := r.Header
	p.Target = reqtarget.Of(r)
	if r.URL.Host != "" || r.Method == http.MethodConnect { // a target of another form
		p.Err = fmt.Errorf("%w: %.60q", http1proxy.ErrTarget, r.RequestURI)
		return p, from
	}
	if p.Err = http1proxy.CheckTarget(p.Target); p.Err != nil {
		return p, from
	}
	path, query, asked := strings.Cut(p.Target, "?")
	m := routes.Request{Method: r.Method, Host: r.Host, Path: path, Header: func(name string) []string { return h[http1proxy.Canonical(name)] }}
	if asked {
		var values url.Values // read at the first condition on it
		m.Query = func(name string) []string {
			if values == nil {
				values, _ = url.ParseQuery(query) // what can't be read meets no condition
			}
			return values[name]
		}
	}
	match, err := rules.Routes.Match(&m)
	if err != nil {
		p.Err = err
		return p, from
	}
	p.Rule, p.Params = match.Rule, match.Params
	to := p.Rule.To
	if to.Refuse != 0 {
		p.Err = errRouteRefuses
		return p, from
	}
	if httpguts.HeaderValuesContainsToken(h["Connection"], "upgrade") && httpguts.HeaderValuesContainsToken(h["Upgrade"], "websocket") ||
		r.ProtoMajor == 2 && len(h[":protocol"]) > 0 {
		p.Err = errUpgrade
		return p, from
	}
	facts := identity.Facts{Header: h, Now: now}
	if ap, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		facts.Peer = ap.Addr().Unmap().WithZone("")
	}
	facts.Client = rules.Who.Client(facts.Peer, h)
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		facts.Cert = r.TLS.VerifiedChains[0][0]
	}
	if id, known := pumicecroft.IdentityFrom(r.Context()); known { // the host knows
		p.Who = identity.Who{Customer: id.Customer, Plan: id.Plan, Rule: "host"}
	} else if p.Who, p.Err = rules.Who.Resolve(&facts); p.Err != nil {
		return p, from
	}
	keys := h[f.config.KeyIn]
	if len(keys) > 1 {
		p.Err = fmt.Errorf("%w: %s is there twice", errShape, f.config.KeyIn)
		return p, from
	}
	key := len(keys) == 1 && keys[0] != ""
	if p.Effect = http1proxy.Effect(r.Method, key, to.Class.Keyed != ""); to.Effect != nil {
		p.Effect = *to.Effect
	}
	p.Class = to.Class.of(p.Effect)
	if c := f.classes[p.Class]; c.Idempotency == decision.IdempotentByKey && !key {
		if to.Class.Unsafe == "" {
			p.Err = fmt.Errorf("%w: %s is missing", errShape, f.config.KeyIn)
			return p, from
		}
		p.Class = to.Class.Unsafe
	}
	p.Effect = f.classes[p.Class].Idempotency
	from = http1proxy.Origin{Host: r.Host, TLS: r.TLS != nil, Trusted: rules.Who.Trusts(facts.Peer), Proto: "1.1"}
	if facts.Peer.IsValid() {
		from.Addr = facts.Peer.String()
	} else {
		from.Addr = "unknown"
	}
	switch {
	case r.ProtoMajor == 2:
		from.Proto = "2.0"
	case r.ProtoMinor == 0:
		from.Proto = "1.0"
	}
	return p, from
}

// Or is a handler for hosts with routes of their own: what no route of the Front takes goes to next, untouched; all else is the Front's, refusals
// among it.
func (f *Front) Or(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(w, r, next) })
}

// ServeHTTP gives a request its one final answer. One that is cut when it has begun ends its connection (http.ErrAbortHandler).
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.serve(w, r, nil) }

func (f *Front) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	arrived := time.Now()
	rules := f.rules.Load()
	p, from := f.settle(rules, r, arrived)
	if next != nil && (errors.Is(p.Err, routes.ErrNone) || errors.Is(p.Err, routes.ErrMethod)) {
		next.ServeHTTP(w, r)
		return
	}
	// The server drops a Content-Length beside a Transfer-Encoding unseen. Who goes by the one that was dropped finds another request where this
	// one's body ends, or the other way round: what may be behind it is not read.
	if r.ProtoMajor == 1 && (len(r.TransferEncoding) > 0 || r.ProtoMinor == 0) {
		w.Header()["Connection"] = []string{"close"}
	}
	if p.Err != nil {
		f.refuse(w, r, &p, p.Err)
		return
	}
	load, req, err := f.load(rules, &p, r, from)
	if err != nil {
		f.refuse(w, r, &p, err)
		return
	}
	most := p.Rule.To.MaxBody
	if most == 0 {
		most = usualBody
	}
	body, held, err := f.readBody(w, r, most)
	defer f.bodies.Add(-held)
	if err != nil {
		f.refuse(w, r, &p, err)
		return
	}
	load.Body = body
	if len(r.Trailer) > 0 {
		load.Trailer = http1proxy.Trailers(r.Trailer)
	}
	if err := load.Check(); err != nil {
		f.refuse(w, r, &p, err)
		return
	}
	req.Timeout = max(1, req.Timeout-time.Since(arrived)) // what reading took is the client's time too
	var out *sink
	if req.IdempotencyKey != "" && f.door.IdempotencyEnabled() && p.Effect != decision.Idempotent {
		load.MostWhole = f.config.MostKeyed
		load.Digest = [][]byte{[]byte(load.Method), []byte(load.Host), []byte(load.Target), []byte(strings.Join(r.Header["Content-Type"], ",")), body}
	} else {
		out = &sink{w: w, old: !r.ProtoAtLeast(1, 1)}
		load.Sink = out
		defer out.close()
	}
	reply, err := f.door.Forward(r.Context(), req, load)
	answer, _ := reply.(*httpproxytransport.Answer)
	switch {
	case out != nil && out.began():
		if !out.whole() { // it was cut: the client must see that
			_ = out.Write(nil, true) // what there is of it
			out.close()
			panic(http.ErrAbortHandler)
		}
	case answer != nil && (err == nil || errors.Is(err, pumicecroft.ErrFailed)): // a backend's own error too
		write(w, answer)
	case err != nil && load.Last() != nil && errors.Is(err, pumicecroft.ErrRejected): // a backend's own word, that the door has nothing better for
		a := load.Last()
		if refused, ok := errors.AsType[*pumicecroft.RejectedError](err); ok && (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests) {
			f.advise(w.Header(), refused.RetryAfter) // the backend's own advice takes its place
		}
		write(w, a)
	case errors.Is(err, context.DeadlineExceeded) && r.Context().Err() != nil:
		pumicecroft.WriteGatewayTimeout(w) // the host's time-out
	default:
		f.refuse(w, r, &p, err)
	}
}

// load makes what goes on, short of its body, and what the Door is told of it.
func (f *Front) load(rules *compiled, p *Plan, r *http.Request, from http1proxy.Origin) (*httpproxytransport.Request, pumicecroft.Request, error) {
	to := p.Rule.To
	class := f.classes[p.Class]
	req := pumicecroft.Request{Class: p.Class, Plan: p.Who.Plan, Customer: p.Who.Customer, Cost: to.Units, Timeout: class.Deadline}
	if to.Timeout > 0 {
		req.Timeout = min(req.Timeout, to.Timeout)
	}
	bad := func(name string) (*httpproxytransport.Request, pumicecroft.Request, error) {
		return nil, req, fmt.Errorf("%w: %s", errShape, name)
	}
	h := r.Header
	if f.config.TimeoutIn != "" && (len(h[f.config.TimeoutIn]) > 0 || f.config.Strict) {
		d, ok := timeout(h[f.config.TimeoutIn])
		if !ok {
			return bad(f.config.TimeoutIn)
		}
		req.Timeout = min(req.Timeout, d)
	}
	if p.Who.Units == "" && p.Who.Trusted && f.config.Strict {
		return bad("units")
	}
	if p.Who.Units != "" {
		if strings.Contains(p.Who.Units, "=") {
			t, ok := requestmeta.Parse(p.Who.Units, &f.set)
			if !ok {
				return bad("terms")
			}
			req.Cost, req.GatewaySpread, req.FirstGateway = t.Units, t.Spread, t.First
		} else {
			u, err := strconv.ParseFloat(p.Who.Units, 64)
			if err != nil || !(u > 0) || math.IsInf(u, 0) {
				return bad("units")
			}
			req.Cost = u
		}
	}
	if keys := h[f.config.KeyIn]; len(keys) == 1 {
		req.IdempotencyKey = keys[0]
	}
	var add []string
	switch ids := h[f.config.IDIn]; {
	case f.config.Strict:
		if len(ids) != 1 {
			return bad(f.config.IDIn)
		}
		id, err := requestmeta.Hex(ids[0])
		if err != nil {
			return bad(f.config.IDIn)
		}
		req = req.WithID(id)
	case len(ids) == 0:
		id := rand.Uint64()
		req = req.WithID(id)
		add = []string{f.config.IDIn, hex16(id)}
	}
	load := &httpproxytransport.Request{Service: to.Service, Statuses: &to.Statuses}
	load.Method, load.Target, load.Host, load.LeftIn = r.Method, p.Target, r.Host, f.config.LeftIn
	if load.LeftIn != "" {
		h = without(h, load.LeftIn)
	}
	if load.Host == "" {
		load.Host = to.Service // HTTP/1.0
	}
	var err error
	load.Fields, err = rules.onward.Append(make([]byte, 0, 512), h, from, add...)
	return load, req, err
}

// hex16 writes 16 hex digits.
func hex16(id uint64) string {
	s := strconv.FormatUint(id, 16)
	return "0000000000000000"[len(s):] + s
}

func without(h http.Header, name string) http.Header {
	if _, there := h[name]; !there {
		return h
	}
	h = h.Clone()
	delete(h, name)
	return h
}

// timeout reads how long a client waits.
func timeout(values []string) (time.Duration, bool) {
	if len(values) != 1 {
		return 0, false
	}
	if s, err := strconv.ParseFloat(values[0], 64); err == nil {
		return max(1, time.Duration(min(s, 3600)*float64(time.Second))), s > 0
	}
	d, err := time.ParseDuration(values[0])
	return d, err == nil && d > 0
}

var (
	errCutBody  = fmt.Errorf("%w: the body is not whole", errShape)
	errSlowBody = errors.New("the body did not come in its time")
	errLarge    = errors.New("the body is larger than the route takes")
	errMemory   = errors.New("there is no room for the body now")
)

// readBody reads a body whole, within its time and with room of Config.BodyMemory. held is to be given back.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, most int64) (body []byte, held int64, err error) {
	if r.ContentLength > most {
		return nil, 0, errLarge
	}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, 0, nil
	}
	hold := func(n int64) bool {
		held += n
		return f.bodies.Add(n) <= f.config.BodyMemory
	}
	control := http.NewResponseController(w)
	timed := control.SetReadDeadline(time.Now().Add(f.config.BodyTimeout)) == nil
	room := int64(4 << 10)
	if r.ContentLength > 0 {
		room = r.ContentLength
	}
	for err == nil {
		if len(body) == cap(body) && int64(len(body)) != r.ContentLength {
			room = min(max(room, int64(len(body))), most+1-int64(len(body)))
			if !hold(room) {
				return nil, held, errMemory
			}
			body = append(make([]byte, 0, int64(len(body))+room), body...)
		}
		into := body[len(body):cap(body)]
		if len(into) == 0 { // it has its length, and ends here, with trailers perhaps
			into = make([]byte, 1)
		}
		var n int
		n, err = r.Body.Read(into)
		if body = body[:min(len(body)+n, cap(body))]; int64(len(body)) > most {
			return nil, held, errLarge
		}
	}
	if err == io.EOF && (r.ContentLength < 0 || int64(len(body)) == r.ContentLength) {
		err = nil
	}
	if err != nil {
		if t, ok := errors.AsType[interface {
			error
			Timeout() bool
		}](err); ok && t.Timeout() {
			return nil, held, errSlowBody
		}
		return nil, held, fmt.Errorf("%w: %w", errCutBody, err)
	}
	if timed {
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, held, nil
}
