package httpproxy

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/internal/http1proxy"
	"pumicecroft/internal/httpproxytransport"
	"pumicecroft/routes"
)

// WithFallback returns a handler for programs that also have handlers of their own. It passes a
// request to next, unchanged, if no route of the Proxy matches it or if the matching routes do not
// allow its method. The Proxy handles, or rejects, all others.
func (p *Proxy) WithFallback(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.serve(w, r, next) })
}

// ServeHTTP forwards a request and writes the response. If a response is truncated after its header
// has been sent, it panics with http.ErrAbortHandler, which aborts the response to the client.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.serve(w, r, nil) }

// serve is ServeHTTP. If next is not nil, it handles the requests that no route matches.
func (p *Proxy) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	arrived := time.Now()
	rules := p.rules.Load()
	resolved, origin := p.resolve(rules, r, arrived)
	if next != nil &&
		(errors.Is(resolved.Err, routes.ErrNoRoute) || errors.Is(resolved.Err, routes.ErrMethodNotAllowed)) {
		next.ServeHTTP(w, r)
		return
	}
	// Guards against request smuggling: net/http silently drops the Content-Length of a request that
	// also has a Transfer-Encoding, and the Transfer-Encoding of an HTTP/1.0 request. Another proxy on
	// the path may use the dropped field and see this body end, and the next request begin, elsewhere.
	// The dropped field can't be seen here, so the connection is closed after every request that may
	// have had one.
	if r.ProtoMajor == 1 && (len(r.TransferEncoding) > 0 || r.ProtoMinor == 0) {
		w.Header()["Connection"] = []string{"close"}
	}
	if resolved.Err != nil {
		p.writeProblem(w, r, &resolved, resolved.Err)
		return
	}
	// payload is the request that is sent to the backend, request the one that the Gateway decides about.
	payload, request, err := p.newBackendRequest(rules, &resolved, r, origin)
	if err != nil {
		p.writeProblem(w, r, &resolved, err)
		return
	}
	body, reserved, err := p.readBody(w, r, maxBodyBytes(resolved.Rule.Target))
	defer p.bodyMemoryUsed.Add(-reserved)
	if err != nil {
		p.writeProblem(w, r, &resolved, err)
		return
	}
	payload.Body = body
	if len(r.Trailer) > 0 {
		payload.Trailer = http1proxy.ForwardableTrailer(r.Trailer)
	}
	if err := payload.Validate(); err != nil {
		p.writeProblem(w, r, &resolved, err)
		return
	}
	request.Timeout = max(1, request.Timeout-time.Since(arrived)) // reading the body counts against the timeout
	p.forward(w, r, &resolved, payload, request)
}

func maxBodyBytes(route *Route) int64 {
	if route.MaxBodyBytes == 0 {
		return defaultMaxBodyBytes
	}
	return route.MaxBodyBytes
}

// forward sends a request through the Gateway and writes the response. A response that is retained
// for later requests with the same idempotency key is read completely before it is written; others are
// streamed.
func (p *Proxy) forward(w http.ResponseWriter, r *http.Request, resolved *ResolvedRequest,
	payload *httpproxytransport.Request,
	request pumicecroft.Request) {
	var sink *responseSink
	if request.IdempotencyKey != "" && p.gateway.IdempotencyEnabled() && resolved.Idempotency != decision.Idempotent {
		payload.MaxResponseBytes = p.config.MaxIdempotentResponseBytes
		contentType := strings.Join(r.Header["Content-Type"], ",")
		payload.Digest = [][]byte{[]byte(payload.Method), []byte(payload.Host), []byte(payload.Target),
			[]byte(contentType), payload.Body}
	} else {
		sink = &responseSink{w: w, http10: !r.ProtoAtLeast(1, 1)}
		payload.Sink = sink
		defer sink.close() // Forward may panic
	}
	reply, err := p.gateway.Forward(r.Context(), request, payload)
	if sink != nil {
		switch sink.close() {
		case responseComplete:
			return
		case responseStarted: // the client must see that the response is truncated
			_ = http.NewResponseController(w).Flush() // sends the part that has arrived
			panic(http.ErrAbortHandler)
		case responseNotStarted:
		}
	}
	p.writeReply(w, r, resolved, payload, reply, err)
}

// writeReply writes the result of Gateway.Forward for a request whose response was not streamed.
func (p *Proxy) writeReply(w http.ResponseWriter, r *http.Request, resolved *ResolvedRequest,
	payload *httpproxytransport.Request, reply any, err error) {
	response, _ := reply.(*httpproxytransport.Response)
	switch {
	case response != nil && (err == nil || errors.Is(err, pumicecroft.ErrFailed)): // on ErrFailed, an error response
		writeResponse(w, response)
	case err != nil && payload.LastErrorResponse() != nil && errors.Is(err, pumicecroft.ErrRejected):
		// A backend's error response is more informative than the proxy's own, but its Retry-After is
		// replaced by the proxy's.
		lastErrorResponse := payload.LastErrorResponse()
		if rejected, ok := errors.AsType[*pumicecroft.RejectedError](err); ok &&
			mayHaveRetryAfter(lastErrorResponse.Status) {
			p.setRetryAfter(w.Header(), rejected.RetryAfter)
		}
		writeResponse(w, lastErrorResponse)
	case errors.Is(err, context.DeadlineExceeded) && r.Context().Err() != nil:
		// The embedding program had set a deadline on the request's context.
		pumicecroft.WriteGatewayTimeout(w)
	default:
		p.writeProblem(w, r, resolved, err)
	}
}

// mayHaveRetryAfter reports whether the proxy adds its Retry-After to a response with this status.
func mayHaveRetryAfter(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}
