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

const defaultMaxBodyBytes = 1 << 20

// ResolvedRequest is what would become of a request: the outcome of all that is settled before the Door is asked.
type ResolvedRequest struct {
	Rule        *routes.Rule[*Route] // nil: none takes it
	Params      []routes.Param
	Caller      identity.Caller
	Idempotency decision.Idempotency
	Class       string
	Target      string
	Err         error // why it goes no further
}

// Errors beside those of packages routes and identity by which a request goes no further.
var (
	errRouteRejects       = errors.New("the route refuses")
	errUpgradeUnsupported = errors.New("the connection can't become one of another protocol here")
	errMalformedRequest   = errors.New("a request that can be read in two ways")
)

// Resolve tells what would become of a request at a time, and asks nobody. Its body is not looked at.
func (f *Proxy) Resolve(r *http.Request, now time.Time) ResolvedRequest {
	p, _ := f.resolve(f.rules.Load(), r, now)
	return p
}

func (f *Proxy) resolve(rules *compiledRules, r *http.Request, now time.Time) (p ResolvedRequest, from http1proxy.Origin) {
	h := r.Header
	p.Target = reqtarget.Of(r)
	if r.URL.Host != "" || r.Method == http.MethodConnect { // a target of another form
		p.Err = fmt.Errorf("%w: %.60q", http1proxy.ErrInvalidTarget, r.RequestURI)
		return p, from
	}
	if p.Err = http1proxy.CheckTarget(p.Target); p.Err != nil {
		return p, from
	}
	path, query, asked := strings.Cut(p.Target, "?")
	m := routes.Request{Method: r.Method, Host: r.Host, Path: path, Header: func(name string) []string { return h[http1proxy.CanonicalHeaderName(name)] }}
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
	to := p.Rule.Target
	if to.RejectStatus != 0 {
		p.Err = errRouteRejects
		return p, from
	}
	if httpguts.HeaderValuesContainsToken(h["Connection"], "upgrade") && httpguts.HeaderValuesContainsToken(h["Upgrade"], "websocket") ||
		r.ProtoMajor == 2 && len(h[":protocol"]) > 0 {
		p.Err = errUpgradeUnsupported
		return p, from
	}
	facts := identity.Request{Header: h, Now: now}
	if ap, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		facts.PeerAddr = ap.Addr().Unmap().WithZone("")
	}
	facts.ClientAddr = rules.Resolver.ClientAddr(facts.PeerAddr, h)
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		facts.ClientCert = r.TLS.VerifiedChains[0][0]
	}
	if id, known := pumicecroft.IdentityFrom(r.Context()); known { // the host knows
		p.Caller = identity.Caller{Customer: id.Customer, Plan: id.Plan, Rule: "host"}
	} else if p.Caller, p.Err = rules.Resolver.Resolve(&facts); p.Err != nil {
		return p, from
	}
	keys := h[f.config.IdempotencyKeyHeader]
	if len(keys) > 1 {
		p.Err = fmt.Errorf("%w: %s is there twice", errMalformedRequest, f.config.IdempotencyKeyHeader)
		return p, from
	}
	key := len(keys) == 1 && keys[0] != ""
	if p.Idempotency = http1proxy.MethodIdempotency(r.Method, key, to.Class.IdempotentByKey != ""); to.Idempotency != nil {
		p.Idempotency = *to.Idempotency
	}
	p.Class = to.Class.forIdempotency(p.Idempotency)
	if c := f.classes[p.Class]; c.Idempotency == decision.IdempotentByKey && !key {
		if to.Class.NonIdempotent == "" {
			p.Err = fmt.Errorf("%w: %s is missing", errMalformedRequest, f.config.IdempotencyKeyHeader)
			return p, from
		}
		p.Class = to.Class.NonIdempotent
	}
	p.Idempotency = f.classes[p.Class].Idempotency
	from = http1proxy.Origin{Host: r.Host, TLS: r.TLS != nil, TrustedPeer: rules.Resolver.IsTrusted(facts.PeerAddr), Proto: "1.1"}
	if facts.PeerAddr.IsValid() {
		from.Addr = facts.PeerAddr.String()
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

// WithFallback is a handler for hosts with routes of their own: what no route of the Front takes goes to next, untouched; all else is the Front's, refusals
// among it.
func (f *Proxy) WithFallback(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(w, r, next) })
}

// ServeHTTP gives a request its one final answer. One that is cut when it has begun ends its connection (http.ErrAbortHandler).
func (f *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.serve(w, r, nil) }

func (f *Proxy) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	arrived := time.Now()
	rules := f.rules.Load()
	p, from := f.resolve(rules, r, arrived)
	if next != nil && (errors.Is(p.Err, routes.ErrNoRoute) || errors.Is(p.Err, routes.ErrMethodNotAllowed)) {
		next.ServeHTTP(w, r)
		return
	}
	// The server drops a Content-Length beside a Transfer-Encoding unseen. Who goes by the one that was dropped finds another request where this
	// one's body ends, or the other way round: what may be behind it is not read.
	if r.ProtoMajor == 1 && (len(r.TransferEncoding) > 0 || r.ProtoMinor == 0) {
		w.Header()["Connection"] = []string{"close"}
	}
	if p.Err != nil {
		f.writeProblem(w, r, &p, p.Err)
		return
	}
	load, req, err := f.newBackendRequest(rules, &p, r, from)
	if err != nil {
		f.writeProblem(w, r, &p, err)
		return
	}
	most := p.Rule.Target.MaxBodyBytes
	if most == 0 {
		most = defaultMaxBodyBytes
	}
	body, held, err := f.readBody(w, r, most)
	defer f.bodyMemoryUsed.Add(-held)
	if err != nil {
		f.writeProblem(w, r, &p, err)
		return
	}
	load.Body = body
	if len(r.Trailer) > 0 {
		load.Trailer = http1proxy.ForwardableTrailer(r.Trailer)
	}
	if err := load.Validate(); err != nil {
		f.writeProblem(w, r, &p, err)
		return
	}
	req.Timeout = max(1, req.Timeout-time.Since(arrived)) // what reading took is the client's time too
	var out *responseSink
	if req.IdempotencyKey != "" && f.gateway.IdempotencyEnabled() && p.Idempotency != decision.Idempotent {
		load.MaxResponseBytes = f.config.MaxIdempotentResponseBytes
		load.Digest = [][]byte{[]byte(load.Method), []byte(load.Host), []byte(load.Target), []byte(strings.Join(r.Header["Content-Type"], ",")), body}
	} else {
		out = &responseSink{w: w, http10: !r.ProtoAtLeast(1, 1)}
		load.Sink = out
		defer out.close()
	}
	reply, err := f.gateway.Forward(r.Context(), req, load)
	answer, _ := reply.(*httpproxytransport.Response)
	switch {
	case out != nil && out.hasStarted():
		if !out.isComplete() { // it was cut: the client must see that
			_ = out.WriteBody(nil, true) // what there is of it
			out.close()
			panic(http.ErrAbortHandler)
		}
	case answer != nil && (err == nil || errors.Is(err, pumicecroft.ErrFailed)): // a backend's own error too
		writeResponse(w, answer)
	case err != nil && load.LastErrorResponse() != nil && errors.Is(err, pumicecroft.ErrRejected): // a backend's own word, that the door has nothing better for
		a := load.LastErrorResponse()
		if refused, ok := errors.AsType[*pumicecroft.RejectedError](err); ok && (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests) {
			f.setRetryAfter(w.Header(), refused.RetryAfter) // the backend's own advice takes its place
		}
		writeResponse(w, a)
	case errors.Is(err, context.DeadlineExceeded) && r.Context().Err() != nil:
		pumicecroft.WriteGatewayTimeout(w) // the host's time-out
	default:
		f.writeProblem(w, r, &p, err)
	}
}

// newBackendRequest makes what goes on, short of its body, and what the Door is told of it.
func (f *Proxy) newBackendRequest(rules *compiledRules, p *ResolvedRequest, r *http.Request, from http1proxy.Origin) (*httpproxytransport.Request, pumicecroft.Request, error) {
	to := p.Rule.Target
	class := f.classes[p.Class]
	req := pumicecroft.Request{Class: p.Class, Plan: p.Caller.Plan, Customer: p.Caller.Customer, Cost: to.Cost, Timeout: class.Deadline}
	if to.Timeout > 0 {
		req.Timeout = min(req.Timeout, to.Timeout)
	}
	bad := func(name string) (*httpproxytransport.Request, pumicecroft.Request, error) {
		return nil, req, fmt.Errorf("%w: %s", errMalformedRequest, name)
	}
	h := r.Header
	if f.config.TimeoutHeader != "" && (len(h[f.config.TimeoutHeader]) > 0 || f.config.Strict) {
		d, ok := parseTimeout(h[f.config.TimeoutHeader])
		if !ok {
			return bad(f.config.TimeoutHeader)
		}
		req.Timeout = min(req.Timeout, d)
	}
	if p.Caller.DeclaredCost == "" && p.Caller.TrustedPeer && f.config.Strict {
		return bad("units")
	}
	if p.Caller.DeclaredCost != "" {
		if strings.Contains(p.Caller.DeclaredCost, "=") {
			t, ok := requestmeta.Parse(p.Caller.DeclaredCost, &f.settings)
			if !ok {
				return bad("terms")
			}
			req.Cost, req.GatewaySpread, req.FirstGateway = t.Units, t.Spread, t.First
		} else {
			u, err := strconv.ParseFloat(p.Caller.DeclaredCost, 64)
			if err != nil || !(u > 0) || math.IsInf(u, 0) {
				return bad("units")
			}
			req.Cost = u
		}
	}
	if keys := h[f.config.IdempotencyKeyHeader]; len(keys) == 1 {
		req.IdempotencyKey = keys[0]
	}
	var add []string
	switch ids := h[f.config.RequestIDHeader]; {
	case f.config.Strict:
		if len(ids) != 1 {
			return bad(f.config.RequestIDHeader)
		}
		id, err := requestmeta.Hex(ids[0])
		if err != nil {
			return bad(f.config.RequestIDHeader)
		}
		req = req.WithID(id)
	case len(ids) == 0:
		id := rand.Uint64()
		req = req.WithID(id)
		add = []string{f.config.RequestIDHeader, formatRequestID(id)}
	}
	load := &httpproxytransport.Request{Service: to.Service, Statuses: &to.Statuses}
	load.Method, load.Target, load.Host, load.RemainingTimeoutHeader = r.Method, p.Target, r.Host, f.config.RemainingTimeoutHeader
	if load.RemainingTimeoutHeader != "" {
		h = withoutHeader(h, load.RemainingTimeoutHeader)
	}
	if load.Host == "" {
		load.Host = to.Service // HTTP/1.0
	}
	var err error
	load.HeaderBlock, err = rules.headers.Append(make([]byte, 0, 512), h, from, add...)
	return load, req, err
}

// formatRequestID writes 16 hex digits.
func formatRequestID(id uint64) string {
	s := strconv.FormatUint(id, 16)
	return "0000000000000000"[len(s):] + s
}

func withoutHeader(h http.Header, name string) http.Header {
	if _, there := h[name]; !there {
		return h
	}
	h = h.Clone()
	delete(h, name)
	return h
}

// parseTimeout reads how long a client waits.
func parseTimeout(values []string) (time.Duration, bool) {
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
	errTruncatedBody   = fmt.Errorf("%w: the body is not whole", errMalformedRequest)
	errBodyReadTimeout = errors.New("the body did not come in its time")
	errBodyTooLarge    = errors.New("the body is larger than the route takes")
	errNoBodyMemory    = errors.New("there is no room for the body now")
)

// readBody reads a body whole, within its time and with room of Config.BodyMemory. held is to be given back.
func (f *Proxy) readBody(w http.ResponseWriter, r *http.Request, most int64) (body []byte, held int64, err error) {
	if r.ContentLength > most {
		return nil, 0, errBodyTooLarge
	}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, 0, nil
	}
	hold := func(n int64) bool {
		held += n
		return f.bodyMemoryUsed.Add(n) <= f.config.MaxBodyMemory
	}
	control := http.NewResponseController(w)
	timed := control.SetReadDeadline(time.Now().Add(f.config.BodyReadTimeout)) == nil
	room := int64(4 << 10)
	if r.ContentLength > 0 {
		room = r.ContentLength
	}
	for err == nil {
		if len(body) == cap(body) && int64(len(body)) != r.ContentLength {
			room = min(max(room, int64(len(body))), most+1-int64(len(body)))
			if !hold(room) {
				return nil, held, errNoBodyMemory
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
			return nil, held, errBodyTooLarge
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
			return nil, held, errBodyReadTimeout
		}
		return nil, held, fmt.Errorf("%w: %w", errTruncatedBody, err)
	}
	if timed {
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, held, nil
}
