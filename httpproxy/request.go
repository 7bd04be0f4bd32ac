package httpproxy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pumicecroft"
	"pumicecroft/internal/http1proxy"
	"pumicecroft/internal/httpproxytransport"
	"pumicecroft/internal/requestmeta"
)

// newBackendRequest returns the request to send to backends, without its body, and the request that
// the Gateway makes decisions on. The error is an errMalformedRequest or one of http1proxy.
func (p *Proxy) newBackendRequest(rules *compiledRules, res *ResolvedRequest, r *http.Request,
	origin http1proxy.Origin) (*httpproxytransport.Request, pumicecroft.Request, error) {
	target := res.Rule.Target
	request := pumicecroft.Request{
		Class:    res.Class,
		Plan:     res.Caller.Plan,
		Customer: res.Caller.Customer,
		Cost:     target.Cost,
		Timeout:  p.classes[res.Class].Deadline,
	}
	if target.Timeout > 0 {
		request.Timeout = min(request.Timeout, target.Timeout)
	}
	if err := p.readTimeout(&request, r.Header); err != nil {
		return nil, request, err
	}
	if err := p.readCost(&request, res); err != nil {
		return nil, request, err
	}
	if keys := r.Header[p.config.IdempotencyKeyHeader]; len(keys) == 1 {
		request.IdempotencyKey = keys[0]
	}
	added, err := p.readRequestID(&request, r.Header)
	if err != nil {
		return nil, request, err
	}

	payload := &httpproxytransport.Request{Service: target.Service, Statuses: &target.Statuses}
	payload.Method, payload.Target, payload.Host = r.Method, res.Target, r.Host
	if payload.Host == "" { // HTTP/1.0
		payload.Host = target.Service
	}
	header := r.Header
	if name := p.config.RemainingTimeoutHeader; name != "" {
		payload.RemainingTimeoutHeader = name
		header = withoutHeader(header, name)
	}
	payload.HeaderBlock, err = rules.headers.Append(make([]byte, 0, 512), header, origin, added...)
	return payload, request, err
}

// readTimeout limits a request's timeout to the one that its client has sent.
func (p *Proxy) readTimeout(request *pumicecroft.Request, h http.Header) error {
	name := p.config.TimeoutHeader
	if name == "" || len(h[name]) == 0 && !p.config.Strict {
		return nil
	}
	timeout, ok := parseTimeout(h[name])
	if !ok {
		return malformedError(name)
	}
	request.Timeout = min(request.Timeout, timeout)
	return nil
}

// readCost sets a request's cost from the declaration of a trusted peer: a number, or terms in the
// platform's format, which also have the gateways that the customer uses.
func (p *Proxy) readCost(request *pumicecroft.Request, res *ResolvedRequest) error {
	declared := res.Caller.DeclaredCost
	switch {
	case declared == "" && res.Caller.TrustedPeer && p.config.Strict:
		return malformedError("units")
	case declared == "":
		return nil
	case strings.Contains(declared, "="):
		terms, ok := requestmeta.ParseTerms(declared, &p.settings)
		if !ok {
			return malformedError("terms")
		}
		request.Cost, request.GatewaySpread, request.FirstGateway = terms.Cost, terms.GatewaySpread, terms.FirstGateway
		return nil
	}
	cost, err := strconv.ParseFloat(declared, 64)
	if err != nil || !(cost > 0) || math.IsInf(cost, 0) {
		return malformedError("units")
	}
	request.Cost = cost
	return nil
}

// readRequestID sets a request's ID. If the ID is generated, it returns the header field to add, as
// name and value.
func (p *Proxy) readRequestID(request *pumicecroft.Request, h http.Header) (added []string, err error) {
	name := p.config.RequestIDHeader
	ids := h[name]
	if !p.config.Strict && len(ids) > 0 {
		return nil, nil // the client's ID is forwarded, but the Gateway does not use it
	}
	if !p.config.Strict {
		id := rand.Uint64()
		*request = request.WithID(id)
		return []string{name, formatRequestID(id)}, nil
	}
	if len(ids) != 1 {
		return nil, malformedError(name)
	}
	id, err := requestmeta.ParseHexID(ids[0])
	if err != nil {
		return nil, malformedError(name)
	}
	*request = request.WithID(id)
	return nil, nil
}

func malformedError(name string) error { return fmt.Errorf("%w: %s", errMalformedRequest, name) }

// formatRequestID returns an ID as 16 hex digits.
func formatRequestID(id uint64) string {
	s := strconv.FormatUint(id, 16)
	return "0000000000000000"[len(s):] + s
}

func withoutHeader(h http.Header, name string) http.Header {
	if _, ok := h[name]; !ok {
		return h
	}
	h = h.Clone()
	delete(h, name)
	return h
}

// maxTimeoutSeconds limits a timeout in seconds, so that its conversion to a time.Duration can't
// overflow.
const maxTimeoutSeconds = 3600

// parseTimeout parses a timeout in seconds, or with a unit such as "250ms".
func parseTimeout(values []string) (time.Duration, bool) {
	if len(values) != 1 {
		return 0, false
	}
	if seconds, err := strconv.ParseFloat(values[0], 64); err == nil {
		return max(1, time.Duration(min(seconds, maxTimeoutSeconds)*float64(time.Second))), seconds > 0
	}
	d, err := time.ParseDuration(values[0])
	return d, err == nil && d > 0
}
