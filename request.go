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

// MinTimeout is the least time that a caller must have left for an attempt to be made for it; a request with less is
// rejected.
const MinTimeout = lifecycle.TimeoutMargin

// Request is what a caller asks of the backends.
type Request struct {
	// ID names this request of the caller. A retry by the caller has a new one. Zero: a random one, unless WithID
	// set it.
	ID uint64
	// Class and Plan are names from the Settings.
	Class string
	Plan  string
	// Customer is whom the plan's quota counts for.
	Customer uint64
	// Cost is how many units of the quota the request uses, up to Settings.MaxCost. Zero: 1.
	Cost float64
	// Timeout is how long the caller waits for the answer. Zero, or more than the class's deadline: that deadline.
	Timeout time.Duration
	// FirstGateway and GatewaySpread say which gateways the customer uses: GatewaySpread in a row from index
	// FirstGateway on, wrapping around. GatewaySpread zero: all of them.
	FirstGateway, GatewaySpread int
	// IdempotencyKey names what the request does; classes that are idempotent by key need one.
	IdempotencyKey string

	// Method, Target (path and query as in the request line) and Host are forwarded unchanged. Unset: GET for a
	// class that is idempotent and POST for others; "/" and the class's name; "pumicecroft".
	Method, Target, Host string
	ContentType          string
	// Body is forwarded unchanged, and must not be changed until Do returns. It has MaxBody bytes at the most.
	Body []byte

	hasID bool // ID was given, even if it is 0
}

// WithID gives the request an ID that may be 0.
func (r Request) WithID(id uint64) Request {
	r.ID, r.hasID = id, true
	return r
}

// Response is what a backend answered to this request, unchanged.
type Response struct {
	Body        []byte
	ContentType string
	Attempts    int // that were made for the request
}

// Do forwards a request to the backends and returns the one final answer: a Response, or an error that is an
// ErrRejected, an ErrFailed or an ErrBadRequest, or wraps ctx's cause when ctx ends first. The attempts of a request
// whose ctx has ended are cancelled at once.
func (g *Gateway) Do(ctx context.Context, request Request) (*Response, error) {
	message, err := g.prepareHTTP(&request)
	if err != nil {
		return nil, err
	}
	if g.deduplicates(&request) {
		return g.doIdempotent(ctx, &request, message)
	}
	return g.sendHTTP(ctx, &request, message)
}

// Forward is Do for a payload of another protocol than HTTP/1.1, which only packages of this module make: the
// request's fields for HTTP are not used. It returns what the payload's transport did, also beside an error if the
// request failed by an error response.
func (g *Gateway) Forward(ctx context.Context, request Request, payload executor.Payload) (response any, err error) {
	if err := g.normalize(&request); err != nil {
		return nil, err
	}
	replayable, ok := payload.(ReplayablePayload)
	if ok && g.deduplicates(&request) && replayable.DigestParts() != nil {
		return g.forwardIdempotent(ctx, &request, replayable)
	}
	response, _, err = g.execute(ctx, &request, payload)
	return response, err
}

// sendHTTP forwards a request that prepareHTTP has made ready.
func (g *Gateway) sendHTTP(ctx context.Context, request *Request,
	message *platformtransport.Request) (*Response, error) {
	body, attempts, err := g.execute(ctx, request, message)
	if err != nil {
		return nil, err
	}
	response := body.(*platformtransport.Response)
	return &Response{Body: response.Body, ContentType: response.ContentType, Attempts: attempts}, nil
}

// execute has a normalized request served, and translates its verdict.
func (g *Gateway) execute(ctx context.Context, request *Request,
	payload executor.Payload) (response any, attempts int, err error) {
	if ctx.Err() != nil {
		return nil, 0, disconnectedError(ctx)
	}
	event := decision.Request{
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
	result, err := g.executor.Serve(ctx, event, request.Timeout-lifecycle.ResponseMargin, payload)
	if err != nil {
		return nil, 0, submitError(err)
	}
	return result.Response.Body, result.Attempts, g.verdictError(ctx, request, &result)
}

// verdictError is the error of a request that ended with a verdict; nil: it was served.
func (g *Gateway) verdictError(ctx context.Context, request *Request, result *executor.Result) error {
	switch result.Verdict {
	case lifecycle.Served:
		return nil
	case lifecycle.Rejected:
		return &RejectedError{RetryAfter: result.RetryAfter, Reason: result.Reason}
	case lifecycle.DeadlineExceeded:
		g.deadlineLog.Do(func() {
			g.log.Warn("request deadline exceeded",
				"request", formatID(request.ID), "class", request.Class, "timeout", request.Timeout)
		})
		return ErrDeadlineExceeded
	case lifecycle.ClientDisconnected:
		return disconnectedError(ctx)
	case lifecycle.Aborted:
		return ErrAborted
	default:
		return ErrFailed
	}
}

// normalize sets a request's defaults and returns what is wrong with it. A request without an error is safe to pass
// to the decision engine.
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
	if !(request.Cost > 0) || math.IsInf(request.Cost, 0) || maxCost > 0 && request.Cost > maxCost { // also NaN
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

// prepareHTTP normalizes a request and returns what is sent of it over HTTP/1.1. A request without an error is safe
// to send to backends.
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
	message := &platformtransport.Request{
		Method:      request.Method,
		Target:      request.Target,
		Host:        request.Host,
		ID:          request.ID,
		HasID:       true,
		Key:         request.IdempotencyKey,
		ContentType: request.ContentType,
		Body:        request.Body,
	}
	if err := message.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadRequest, err)
	}
	return message, nil
}

// platformMethod is the method that a class's requests have on the platform.
func platformMethod(class decision.Class) string {
	if class.Idempotency == decision.Idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}

// formatID is a request's id as clients send it.
func formatID(id uint64) string { return fmt.Sprintf("%016x", id) }
