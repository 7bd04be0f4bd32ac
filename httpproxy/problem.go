package httpproxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/identity"
	"pumicecroft/internal/http1proxy"
	"pumicecroft/routes"
)

// Problem is the body of a response that the proxy itself creates (RFC 9457).
type Problem struct {
	Type   string `json:"type"` // problemType followed by a name that is stable between versions
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// RetryAfter is the number of seconds after which to retry, with decimals. The Retry-After header
	// has it rounded up to whole seconds, or in strict mode with three decimals. 0 means no advice.
	RetryAfter float64 `json:"retry_after,omitempty"`
}

const problemType = "urn:pumicecroft:problem:"

// problemResponse is a response that the proxy itself creates.
type problemResponse struct {
	status     int
	name       string
	title      string
	detail     string
	retryAfter time.Duration // 0: no advice
	closeConn  bool          // the rest of the request is not read, so the connection can't be reused
}

// problemFor returns the response to a request that is not forwarded, or that no backend responded to.
func (p *Proxy) problemFor(resolved *ResolvedRequest, err error) problemResponse {
	if problem, ok := resolveProblem(resolved, err); ok {
		return problem
	}
	if problem, ok := bodyProblem(err); ok {
		return problem
	}
	return forwardProblem(err)
}

// problemWithDetail returns a response whose detail is the error's text.
func problemWithDetail(status int, name, title string, err error) problemResponse {
	return problemResponse{status: status, name: name, title: title, detail: err.Error()}
}

// problemClosingConn is problemWithDetail for a request whose rest is not read.
func problemClosingConn(status int, name, title string, err error) problemResponse {
	problem := problemWithDetail(status, name, title, err)
	problem.closeConn = true
	return problem
}

// resolveProblem returns the response to a request that Resolve or newBackendRequest rejects.
func resolveProblem(resolved *ResolvedRequest, err error) (problemResponse, bool) {
	var method *routes.MethodError
	switch {
	case errors.As(err, &method):
		return problemWithDetail(http.StatusMethodNotAllowed, "method", "No route takes this method", err), true
	case errors.Is(err, routes.ErrNoRoute):
		return problemResponse{status: http.StatusNotFound, name: "no-route",
			title: "No route takes such a request"}, true
	case errors.Is(err, routes.ErrInvalidPath), errors.Is(err, routes.ErrInvalidHost),
		errors.Is(err, http1proxy.ErrInvalidTarget),
		errors.Is(err, http1proxy.ErrInvalidField), errors.Is(err, errMalformedRequest):
		return problemClosingConn(http.StatusBadRequest, "bad-request", "The request makes no sense", err), true
	case errors.Is(err, http1proxy.ErrLoop):
		return problemWithDetail(http.StatusLoopDetected, "loop", "The request goes in a circle", err), true
	case errors.Is(err, errRouteRejects):
		return problemResponse{status: resolved.Rule.Target.RejectStatus, name: "route-refuses",
			title: "The route refuses"}, true
	case errors.Is(err, errUpgradeUnsupported):
		return problemWithDetail(http.StatusNotImplemented, "upgrade", "Connections are not upgraded here", err), true
	case errors.Is(err, identity.ErrNoCredential):
		return problemResponse{status: http.StatusUnauthorized, name: "nobody", title: "Nothing says who asks"}, true
	case errors.Is(err, identity.ErrInvalidCredential):
		return problemWithDetail(http.StatusUnauthorized, "credential", "A credential is not good", err), true
	}
	return problemResponse{}, false
}

// noBodyMemoryRetryAfter is the Retry-After of a request that would exceed Config.MaxBodyMemory.
const noBodyMemoryRetryAfter = time.Second

// bodyProblem returns the response to a request whose body readBody rejects.
func bodyProblem(err error) (problemResponse, bool) {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return problemClosingConn(http.StatusRequestEntityTooLarge, "body-too-large",
			"The body is larger than the route takes", err), true
	case errors.Is(err, errBodyReadTimeout):
		return problemClosingConn(http.StatusRequestTimeout, "body-too-slow", "The body did not come in its time",
			err), true
	case errors.Is(err, errNoBodyMemory):
		return problemResponse{status: http.StatusServiceUnavailable, name: "no-memory",
			title:      "There is no room for the body now",
			retryAfter: noBodyMemoryRetryAfter, closeConn: true}, true
	}
	return problemResponse{}, false
}

// forwardProblem returns the response to a request for which the Gateway returned an error.
func forwardProblem(err error) problemResponse {
	var rejected *pumicecroft.RejectedError
	var unknown *pumicecroft.OutcomeUnknownError
	switch {
	case errors.As(err, &unknown):
		problem := problemWithDetail(http.StatusConflict, "undecided", "A request with this key may have run", err)
		problem.retryAfter = unknown.RetryAfter
		return problem
	case errors.As(err, &rejected):
		return rejectionProblem(rejected)
	case errors.Is(err, pumicecroft.ErrRejected):
		return problemWithDetail(http.StatusServiceUnavailable, "busy", "The door takes nothing more now", err)
	case errors.Is(err, pumicecroft.ErrKeyConflict):
		return problemWithDetail(http.StatusUnprocessableEntity, "key-conflict", "The key belongs to another request",
			err)
	case errors.Is(err, pumicecroft.ErrDuplicateID), errors.Is(err, pumicecroft.ErrBadRequest):
		return problemWithDetail(http.StatusBadRequest, "bad-request", "The request makes no sense", err)
	case errors.Is(err, pumicecroft.ErrReplayed), errors.Is(err, pumicecroft.ErrResponseNotRetained):
		return problemWithDetail(http.StatusConflict, "replayed", "The request was here before", err)
	case errors.Is(err, pumicecroft.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return problemResponse{status: http.StatusGatewayTimeout, name: "late",
			title: "There was no answer in time; it may have run"}
	}
	// ErrFailed, or the client has disconnected. A client that closed only its sending side still reads this.
	return problemResponse{status: http.StatusBadGateway, name: "failed",
		title: "There is no answer to pass on; it may have run"}
}

// rejectionProblem returns the response to a request that the decision engine has rejected: the
// request has not run, or running it again is safe.
func rejectionProblem(rejected *pumicecroft.RejectedError) problemResponse {
	problem := problemResponse{status: http.StatusServiceUnavailable, retryAfter: rejected.RetryAfter}
	switch rejected.Reason {
	case decision.OverQuota:
		problem.status = http.StatusTooManyRequests
		problem.name, problem.title = "over-quota", "The plan's quota is used up"
	case decision.NoBackend:
		problem.name, problem.title = "no-backend", "No backend can be sent to now"
	case decision.Overloaded:
		problem.name, problem.title = "no-room", "The backends have as much as they can answer in time"
	case decision.Unprocessed:
		problem.name, problem.title = "not-taken", "No backend has taken it; trying again is harmless"
	default:
		problem.name, problem.title = "refused", "Refused; trying again is harmless"
	}
	return problem
}

// RejectionStatus returns the response status for a request whose Err is not nil, and the reason.
func (p *Proxy) RejectionStatus(resolved ResolvedRequest) (status int, reason string) {
	problem := p.problemFor(&resolved, resolved.Err)
	if problem.detail != "" {
		return problem.status, problem.detail
	}
	return problem.status, problem.title
}

// setRetryAfter sets Retry-After, unless after is 0.
func (p *Proxy) setRetryAfter(h http.Header, after time.Duration) {
	switch {
	case after <= 0:
	case p.config.Strict:
		h["Retry-After"] = []string{strconv.FormatFloat(after.Seconds(), 'f', 3, 64)}
	default:
		h["Retry-After"] = []string{strconv.FormatFloat(math.Ceil(after.Seconds()), 'f', 0, 64)}
	}
}

// writeProblem responds to a request with a Problem.
func (p *Proxy) writeProblem(w http.ResponseWriter, r *http.Request, resolved *ResolvedRequest, err error) {
	problem := p.problemFor(resolved, err)
	if problem.status == http.StatusBadRequest || problem.status == http.StatusUnauthorized {
		p.rejectLogLimit.Do(func() { p.logger.Warn("request not accepted", "from", r.RemoteAddr, "err", err) })
	}
	h := w.Header()
	var method *routes.MethodError
	if errors.As(err, &method) {
		h["Allow"] = []string{strings.Join(method.Allowed, ", ")}
	}
	if problem.status == http.StatusUnauthorized { // required by RFC 9110, 15.5.2
		h["Www-Authenticate"] = []string{`Bearer realm="` + p.config.Via + `"`}
	}
	p.setRetryAfter(h, problem.retryAfter)
	setRateLimit(h, p.plans[resolved.Caller.Plan], &problem)
	if problem.closeConn {
		h["Connection"] = []string{"close"}
	}
	body, _ := json.Marshal(Problem{ // strings and finite numbers can always be encoded
		Type:       problemType + problem.name,
		Title:      problem.title,
		Status:     problem.status,
		Detail:     problem.detail,
		RetryAfter: problem.retryAfter.Seconds(),
	})
	body = append(body, '\n')
	h["Content-Type"] = []string{"application/problem+json"}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(problem.status)
	_, _ = w.Write(body)
}

// setRateLimit sets the fields of draft-ietf-httpapi-ratelimit-headers for a plan with a quota.
func setRateLimit(h http.Header, plan *decision.Plan, problem *problemResponse) {
	if plan == nil || plan.Rate <= 0 {
		return
	}
	window := int64(math.Ceil(plan.Burst / plan.Rate)) // seconds
	h["Ratelimit-Policy"] = []string{fmt.Sprintf("%q;q=%d;w=%d", plan.Name, int64(plan.Burst), window)}
	if problem.status != http.StatusTooManyRequests {
		return
	}
	limit := fmt.Sprintf("%q;r=0", plan.Name)
	if problem.retryAfter > 0 {
		limit += ";t=" + h["Retry-After"][0]
	}
	h["Ratelimit"] = []string{limit}
}
