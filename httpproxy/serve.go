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

// WithFallback returns a handler for hosts with routes of their own: a request that no route of the
// Proxy matches goes to next, unchanged. All others, rejections included, are the Proxy's.
func (p *Proxy) WithFallback(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.serve(w, r, next) })
}

// ServeHTTP gives a request its one final response. If a response that has begun is cut off, it
// panics with http.ErrAbortHandler, which ends the client's connection.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.serve(w, r, nil) }

// serve is ServeHTTP; next is nil, or gets the requests that no route matches.
func (p *Proxy) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	arrived := time.Now()
	rules := p.rules.Load()
	resolved, origin := p.resolve(rules, r, arrived)
	if next != nil && (errors.Is(resolved.Err, routes.ErrNoRoute) || errors.Is(resolved.Err, routes.ErrMethodNotAllowed)) {
		next.ServeHTTP(w, r)
		return
	}
	// Guards against request smuggling: the server drops a Content-Length beside a Transfer-Encoding
	// unseen. A neighbour that goes by the one that was dropped sees another request where this body
	// ends, or the reverse. Nothing is read from the connection after such a request.
	if r.ProtoMajor == 1 && (len(r.TransferEncoding) > 0 || r.ProtoMinor == 0) {
		w.Header()["Connection"] = []string{"close"}
	}
	if resolved.Err != nil {
		p.writeProblem(w, r, &resolved, resolved.Err)
		return
	}
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
	request.Timeout = max(1, request.Timeout-time.Since(arrived)) // reading counts against the client's time
	p.forward(w, r, &resolved, payload, request)
}

func maxBodyBytes(route *Route) int64 {
	if route.MaxBodyBytes == 0 {
		return defaultMaxBodyBytes
	}
	return route.MaxBodyBytes
}

// forward sends a request to the Gateway and writes its response. The response to a request with an
// idempotency key that is retained for its repeats is read completely first; others are streamed.
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
		defer sink.close()
	}
	reply, err := p.gateway.Forward(r.Context(), request, payload)
	if sink != nil && sink.hasStarted() {
		if !sink.isComplete() { // the client must see that the response was cut off
			_ = sink.WriteBody(nil, true) // flushes what there is of it
			sink.close()
			panic(http.ErrAbortHandler)
		}
		return
	}
	response, _ := reply.(*httpproxytransport.Response)
	switch {
	case response != nil && (err == nil || errors.Is(err, pumicecroft.ErrFailed)): // a backend's own error, too
		writeResponse(w, response)
	case err != nil && payload.LastErrorResponse() != nil && errors.Is(err, pumicecroft.ErrRejected):
		// A backend's rejection tells the client more than the proxy could, but the proxy's advice on
		// when to retry takes the place of the backend's.
		lastError := payload.LastErrorResponse()
		if rejected, ok := errors.AsType[*pumicecroft.RejectedError](err); ok && advisesRetry(lastError.Status) {
			p.setRetryAfter(w.Header(), rejected.RetryAfter)
		}
		writeResponse(w, lastError)
	case errors.Is(err, context.DeadlineExceeded) && r.Context().Err() != nil: // the host's timeout
		pumicecroft.WriteGatewayTimeout(w)
	default:
		p.writeProblem(w, r, resolved, err)
	}
}

// advisesRetry reports whether responses with a status say when to retry.
func advisesRetry(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}
