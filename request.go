package pumicecroft

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/executor"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/internal/platformtransport"
)

// MaxBody is the largest body of a request or a response, in bytes.
const MaxBody = platformtransport.MaxBody

// MinTimeout is the time that is reserved for the answer. A request whose timeout is not longer has no time for an
// attempt, and is rejected.
const MinTimeout = lifecycle.TimeoutMargin

// Request is a caller's request to the backends.
type Request struct {
	// ID identifies the request. A caller that retries must use a new ID. Zero: a random ID, unless WithID was used.
	ID uint64
	// Class and Plan are names from the Settings.
	Class string
	Plan  string
	// Customer identifies the customer whose quota the request uses.
	Customer uint64
	// Cost is the number of quota units that the request uses, up to Settings.MaxCost. Zero: 1.
	Cost float64
	// Timeout is how long the caller waits for the answer. Zero, or more than the class's deadline: that deadline.
	Timeout time.Duration
	// FirstGateway and GatewaySpread specify the gateways that the customer uses, which share its quota: GatewaySpread
	// consecutive ones, starting at index FirstGateway and wrapping around. GatewaySpread zero: all of them.
	FirstGateway, GatewaySpread int
	// IdempotencyKey identifies the operation across retries. It is required for classes that are idempotent by key.
	IdempotencyKey string

	// Method, Target (path and query as in the request line) and Host are forwarded unchanged. Defaults: GET for a
	// class that is idempotent, else POST; "/" followed by the class's name; "pumicecroft".
	Method, Target, Host string
	ContentType          string
	// Body is forwarded unchanged, and must not be modified until Do returns. It has at most MaxBody bytes.
	Body []byte

	hasID bool // ID was set explicitly, possibly to 0
}

// WithID returns a copy of the request with an ID, which may be 0.
func (r Request) WithID(id uint64) Request {
	r.ID, r.hasID = id, true
	return r
}

// Response holds the body and the content type of a backend's successful response, both unchanged.
type Response struct {
	Body        []byte
	ContentType string
	Attempts    int // made for the request; 0 if the response is that of an earlier request with the same key
}

// Do forwards a request to the backends and returns its final answer: a Response, or an error. The error wraps
// ErrRejected, ErrFailed or ErrBadRequest, as the more specific errors of this package do, or ctx's cause if ctx ends
// first. When ctx ends, the attempts of the request are cancelled at once.
func (g *Gateway) Do(ctx context.Context, request Request) (*Response, error) {
	httpRequest, err := g.prepareHTTP(&request)
	if err != nil {
		return nil, err
	}
	if g.deduplicates(&request) {
		return g.doIdempotent(ctx, &request, httpRequest)
	}
	return g.sendHTTP(ctx, &request, httpRequest)
}

// Forward is Do for a payload of another protocol than HTTP/1.1. Only packages of this module create such payloads.
// The HTTP fields of the request are not used. Forward returns the response of the payload's transport; if the request
// failed with an error response, it returns that response together with the error. (Do never does so, as the HTTP/1.1
// transport returns only successful responses.)
func (g *Gateway) Forward(ctx context.Context, request Request, payload executor.Payload) (response any, err error) {
	if err := g.normalize(&request); err != nil {
		return nil, err
	}
	replayable, ok := payload.(ReplayablePayload)
	if ok && g.deduplicates(&request) && replayable.DigestParts() != nil { // nil: the response cannot be stored
		return g.forwardIdempotent(ctx, &request, replayable)
	}
	response, _, err = g.execute(ctx, &request, payload)
	return response, err
}

// sendHTTP forwards a request that prepareHTTP has prepared.
func (g *Gateway) sendHTTP(ctx context.Context, request *Request,
	httpRequest *platformtransport.Request) (*Response, error) {
	body, attempts, err := g.execute(ctx, request, httpRequest)
	if err != nil {
		return nil, err
	}
	response := body.(*platformtransport.Response)
	return &Response{Body: response.Body, ContentType: response.ContentType, Attempts: attempts}, nil
}

// execute passes a normalized request to the executor, waits for its result and translates the verdict. Attempts end
// TimeoutMargin before the request's timeout, and the caller has its answer ResponseMargin before it.
func (g *Gateway) execute(ctx context.Context, request *Request,
	payload executor.Payload) (response any, attempts int, err error) {
	if ctx.Err() != nil {
		return nil, 0, disconnectedError(ctx)
	}
	engineRequest := decision.Request{
		ID:            decision.RequestID(request.ID),
		Customer:      decision.CustomerID(request.Customer),
		Class:         request.Class,
		Plan:          request.Plan,
		Cost:          request.Cost,
		Timeout:       request.Timeout - lifecycle.TimeoutMargin,
		FirstGateway:  request.FirstGateway,
		GatewaySpread: request.GatewaySpread,
		Protocol:      payload.Protocol(),
	}
	result, err := g.executor.Serve(ctx, engineRequest, request.Timeout-lifecycle.ResponseMargin, payload)
	if err != nil {
		return nil, 0, submitError(err)
	}
	return result.Response.Body, result.Attempts, g.verdictError(ctx, request, &result)
}

// verdictError translates the verdict of a request to an error; nil if the request was served.
func (g *Gateway) verdictError(ctx context.Context, request *Request, result *executor.Result) error {
	switch result.Verdict {
	case lifecycle.Served:
		return nil
	case lifecycle.Rejected:
		g.rejectLog.Do(func() {
			g.log.Info("request rejected", "request", formatID(request.ID), "class", request.Class, "plan", request.Plan,
				"reason", result.Reason, "retry_after", result.RetryAfter, "attempts", result.Attempts)
		})
		return &RejectedError{RetryAfter: result.RetryAfter, Reason: result.Reason}
	case lifecycle.DeadlineExceeded:
		g.deadlineLog.Do(func() {
			g.log.Warn("request deadline exceeded",
				"request", formatID(request.ID), "class", request.Class, "timeout", request.Timeout)
		})
		return ErrDeadlineExceeded
	case lifecycle.ClientDisconnected:
		g.disconnectLog.Do(func() {
			g.log.Info("client disconnected before the answer", "request", formatID(request.ID), "class", request.Class,
				"attempts", result.Attempts, "cause", context.Cause(ctx))
		})
		return disconnectedError(ctx)
	case lifecycle.Aborted:
		return ErrAborted
	default:
		return ErrFailed
	}
}

// normalize sets the defaults of a request and validates it. A request that passes is safe to pass to the decision
// engine.
func (g *Gateway) normalize(request *Request) error {
	class, ok := g.classes[request.Class]
	if !ok {
		return badRequest("class", request.Class)
	}
	if !g.plans[request.Plan] {
		return badRequest("plan", request.Plan)
	}
	if err := g.normalizeCost(request); err != nil {
		return err
	}
	if err := g.normalizeSpread(request); err != nil {
		return err
	}
	if request.Timeout < 0 {
		return badRequest("timeout", request.Timeout)
	}
	if request.Timeout == 0 || request.Timeout > class.Deadline {
		request.Timeout = class.Deadline
	}
	if class.Idempotency == decision.IdempotentByKey && request.IdempotencyKey == "" {
		return badRequest("idempotency key", request.IdempotencyKey)
	}
	if request.ID == 0 && !request.hasID {
		request.ID = rand.Uint64()
	}
	return nil
}

func (g *Gateway) normalizeCost(request *Request) error {
	if request.Cost == 0 {
		request.Cost = 1
	}
	maxCost := g.config.Settings.MaxCost
	// !(request.Cost > 0) also rejects NaN.
	if !(request.Cost > 0) || math.IsInf(request.Cost, 0) || maxCost > 0 && request.Cost > maxCost {
		return badRequest("cost", request.Cost)
	}
	return nil
}

func (g *Gateway) normalizeSpread(request *Request) error {
	count := g.config.Settings.GatewayCount
	if request.GatewaySpread == 0 {
		request.GatewaySpread = count
	}
	spread, first := request.GatewaySpread, request.FirstGateway
	if spread < 1 || spread > count || first < 0 || first >= count {
		return badRequest("gateway spread", fmt.Sprintf("%d from %d", spread, first))
	}
	return nil
}

// prepareHTTP normalizes a request and returns the HTTP/1.1 request to send. A request that passes is safe to send to
// backends.
func (g *Gateway) prepareHTTP(request *Request) (*platformtransport.Request, error) {
	if err := g.normalize(request); err != nil {
		return nil, err
	}
	class := g.classes[request.Class]
	if request.Method == "" {
		request.Method = platformMethod(class)
	}
	if request.Target == "" {
		request.Target = "/" + class.Name
	}
	if request.Host == "" {
		request.Host = "pumicecroft"
	}
	if request.Method == http.MethodGet && len(request.Body) > 0 {
		return nil, badRequest("a GET with a body of", len(request.Body))
	}
	if len(request.Body) > MaxBody {
		return nil, ErrBodyTooLarge
	}
	httpRequest := &platformtransport.Request{
		Method:      request.Method,
		Target:      request.Target,
		Host:        request.Host,
		ID:          request.ID,
		HasID:       true,
		Key:         request.IdempotencyKey,
		ContentType: request.ContentType,
		Body:        request.Body,
	}
	if err := httpRequest.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadRequest, err)
	}
	return httpRequest, nil
}

// platformMethod returns the HTTP method that the platform's protocol uses for requests of a class.
func platformMethod(class decision.Class) string {
	if class.Idempotency == decision.Idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}

// formatID formats a request's ID as clients send it.
func formatID(id uint64) string { return fmt.Sprintf("%016x", id) }
