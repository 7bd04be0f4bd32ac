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

// newBackendRequest returns the request for backends, without its body, and the request as the
// Gateway decides on it. The error is an errMalformedRequest or one of http1proxy.
func (p *Proxy) newBackendRequest(rules *compiledRules, res *ResolvedRequest, r *http.Request, origin http1proxy.Origin) (
	*httpproxytransport.Request, pumicecroft.Request, error) {
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

// readTimeout bounds a request by what its client says that it waits.
func (p *Proxy) readTimeout(request *pumicecroft.Request, h http.Header) error {
	name := p.config.TimeoutHeader
	if name == "" || len(h[name]) == 0 && !p.config.Strict {
		return nil
	}
	timeout, ok := parseTimeout(h[name])
	if !ok {
		return malformed(name)
	}
	request.Timeout = min(request.Timeout, timeout)
	return nil
}

// readCost sets a request's cost, and the gateways that its customer uses, as a trusted peer
// declares them: a number, or terms as the platform writes them.
func (p *Proxy) readCost(request *pumicecroft.Request, res *ResolvedRequest) error {
	declared := res.Caller.DeclaredCost
	switch {
	case declared == "" && res.Caller.TrustedPeer && p.config.Strict:
		return malformed("units")
	case declared == "":
		return nil
	case strings.Contains(declared, "="):
		terms, ok := requestmeta.ParseTerms(declared, &p.settings)
		if !ok {
			return malformed("terms")
		}
		request.Cost, request.GatewaySpread, request.FirstGateway = terms.Cost, terms.GatewaySpread, terms.FirstGateway
		return nil
	}
	cost, err := strconv.ParseFloat(declared, 64)
	if err != nil || !(cost > 0) || math.IsInf(cost, 0) {
		return malformed("units")
	}
	request.Cost = cost
	return nil
}

// readRequestID sets a request's ID. It returns the field to add, as name and value, where the ID is
// generated.
func (p *Proxy) readRequestID(request *pumicecroft.Request, h http.Header) (added []string, err error) {
	name := p.config.RequestIDHeader
	ids := h[name]
	if !p.config.Strict && len(ids) > 0 {
		return nil, nil // the client's own ID is forwarded, and is no ID to decide by
	}
	if !p.config.Strict {
		id := rand.Uint64()
		*request = request.WithID(id)
		return []string{name, formatRequestID(id)}, nil
	}
	if len(ids) != 1 {
		return nil, malformed(name)
	}
	id, err := requestmeta.ParseHexID(ids[0])
	if err != nil {
		return nil, malformed(name)
	}
	*request = request.WithID(id)
	return nil, nil
}

func malformed(name string) error { return fmt.Errorf("%w: %s", errMalformedRequest, name) }

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

// maxTimeoutSeconds bounds a timeout in seconds, so that it fits a time.Duration.
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
