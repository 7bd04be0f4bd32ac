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

// Problem is the document (RFC 9457) of an answer that is the door's own.
type Problem struct {
	Type   string `json:"type"` // urn:pumicecroft:problem: and a name that does not change
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// RetryAfter is when to come back, in seconds, with decimals; Retry-After has it rounded up.
	RetryAfter float64 `json:"retry_after,omitempty"`
}

// problemResponse is an answer of the door's own.
type problemResponse struct {
	status     int
	name       string
	title      string
	detail     string
	retryAfter time.Duration
	closeConn  bool // what else the client sends is not waited for
}

// problemFor says what becomes of a request that is not passed on, or had no answer.
func (f *Proxy) problemFor(p *ResolvedRequest, err error) problemResponse {
	var method *routes.MethodError
	var refused *pumicecroft.RejectedError
	var undecided *pumicecroft.OutcomeUnknownError
	bad := func(status int, name, title string) problemResponse {
		return problemResponse{status: status, name: name, title: title, detail: err.Error()}
	}
	switch {
	case errors.As(err, &method):
		return bad(http.StatusMethodNotAllowed, "method", "No route takes this method")
	case errors.Is(err, routes.ErrNoRoute):
		return problemResponse{status: http.StatusNotFound, name: "no-route", title: "No route takes such a request"}
	case errors.Is(err, routes.ErrInvalidPath), errors.Is(err, routes.ErrInvalidHost), errors.Is(err, http1proxy.ErrInvalidTarget), errors.Is(err, http1proxy.ErrInvalidField), errors.Is(err, errMalformedRequest):
		out := bad(http.StatusBadRequest, "bad-request", "The request makes no sense")
		out.closeConn = true
		return out
	case errors.Is(err, http1proxy.ErrLoop):
		return bad(http.StatusLoopDetected, "loop", "The request goes in a circle")
	case errors.Is(err, errRouteRejects):
		return problemResponse{status: p.Rule.Target.RejectStatus, name: "route-refuses", title: "The route refuses"}
	case errors.Is(err, errUpgradeUnsupported):
		return bad(http.StatusNotImplemented, "upgrade", "Connections are not upgraded here")
	case errors.Is(err, identity.ErrNoCredential):
		return problemResponse{status: http.StatusUnauthorized, name: "nobody", title: "Nothing says who asks"}
	case errors.Is(err, identity.ErrInvalidCredential):
		return bad(http.StatusUnauthorized, "credential", "A credential is not good")
	case errors.Is(err, errBodyTooLarge):
		out := bad(http.StatusRequestEntityTooLarge, "body-too-large", "The body is larger than the route takes")
		out.closeConn = true
		return out
	case errors.Is(err, errBodyReadTimeout):
		out := bad(http.StatusRequestTimeout, "body-too-slow", "The body did not come in its time")
		out.closeConn = true
		return out
	case errors.Is(err, errNoBodyMemory):
		return problemResponse{status: http.StatusServiceUnavailable, name: "no-memory", title: "There is no room for the body now", retryAfter: time.Second, closeConn: true}
	case errors.As(err, &undecided):
		out := bad(http.StatusConflict, "undecided", "A request with this key may have run")
		out.retryAfter = undecided.RetryAfter
		return out
	case errors.As(err, &refused):
		return f.problemForRejection(refused)
	case errors.Is(err, pumicecroft.ErrRejected):
		return bad(http.StatusServiceUnavailable, "busy", "The door takes nothing more now")
	case errors.Is(err, pumicecroft.ErrKeyConflict):
		return bad(http.StatusUnprocessableEntity, "key-conflict", "The key belongs to another request")
	case errors.Is(err, pumicecroft.ErrDuplicateID), errors.Is(err, pumicecroft.ErrBadRequest):
		return bad(http.StatusBadRequest, "bad-request", "The request makes no sense")
	case errors.Is(err, pumicecroft.ErrReplayed), errors.Is(err, pumicecroft.ErrResponseNotRetained):
		return bad(http.StatusConflict, "replayed", "The request was here before")
	case errors.Is(err, pumicecroft.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return problemResponse{status: http.StatusGatewayTimeout, name: "late", title: "There was no answer in time; it may have run"}
	}
	// ErrFailed, or the client has left; it may have ended its sending only, and then reads this.
	return problemResponse{status: http.StatusBadGateway, name: "failed", title: "There is no answer to pass on; it may have run"}
}

// problemForRejection is a refusal by the decision module: nothing has run, or running again is harmless.
func (f *Proxy) problemForRejection(r *pumicecroft.RejectedError) problemResponse {
	out := problemResponse{status: http.StatusServiceUnavailable, retryAfter: r.RetryAfter}
	switch r.Reason {
	case decision.OverQuota:
		out.status, out.name, out.title = http.StatusTooManyRequests, "over-quota", "The plan's quota is used up"
	case decision.NoBackend:
		out.name, out.title = "no-backend", "No backend can be sent to now"
	case decision.Overloaded:
		out.name, out.title = "no-room", "The backends have as much as they can answer in time"
	case decision.Unprocessed:
		out.name, out.title = "not-taken", "No backend has taken it; trying again is harmless"
	default:
		out.name, out.title = "refused", "Refused; trying again is harmless"
	}
	return out
}

// RejectionStatus tells the status by which a request is refused that goes no further, and why.
func (f *Proxy) RejectionStatus(p ResolvedRequest) (status int, why string) {
	x := f.problemFor(&p, p.Err)
	if x.detail != "" {
		return x.status, x.detail
	}
	return x.status, x.title
}

// setRetryAfter says when to come back; 0: it does not.
func (f *Proxy) setRetryAfter(h http.Header, after time.Duration) {
	switch {
	case after <= 0:
	case f.config.Strict:
		h["Retry-After"] = []string{strconv.FormatFloat(after.Seconds(), 'f', 3, 64)}
	default:
		h["Retry-After"] = []string{strconv.FormatFloat(math.Ceil(after.Seconds()), 'f', 0, 64)}
	}
}

// writeProblem answers a request by the door's own word.
func (f *Proxy) writeProblem(w http.ResponseWriter, r *http.Request, p *ResolvedRequest, err error) {
	x := f.problemFor(p, err)
	if x.status == http.StatusBadRequest || x.status == http.StatusUnauthorized {
		f.rejectLogLimit.Do(func() { f.logger.Warn("a request that is not taken", "from", r.RemoteAddr, "err", err) })
	}
	h := w.Header()
	var method *routes.MethodError
	if errors.As(err, &method) {
		h["Allow"] = []string{strings.Join(method.Allowed, ", ")}
	}
	if x.status == http.StatusUnauthorized { // RFC 9110, 15.5.2
		h["Www-Authenticate"] = []string{`Bearer realm="` + f.config.Via + `"`}
	}
	f.setRetryAfter(h, x.retryAfter)
	if plan := f.plans[p.Caller.Plan]; plan != nil && plan.Rate > 0 { // draft-ietf-httpapi-ratelimit-headers
		h["Ratelimit-Policy"] = []string{fmt.Sprintf("%q;q=%d;w=%d", plan.Name, int64(plan.Burst), int64(math.Ceil(plan.Burst/plan.Rate)))}
		if x.status == http.StatusTooManyRequests {
			limit := fmt.Sprintf("%q;r=0", plan.Name)
			if x.retryAfter > 0 {
				limit += ";t=" + h["Retry-After"][0]
			}
			h["Ratelimit"] = []string{limit}
		}
	}
	if x.closeConn {
		h["Connection"] = []string{"close"}
	}
	body, _ := json.Marshal(Problem{Type: "urn:pumicecroft:problem:" + x.name, Title: x.title, Status: x.status, Detail: x.detail, RetryAfter: x.retryAfter.Seconds()})
	body = append(body, '\n')
	h["Content-Type"] = []string{"application/problem+json"}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(x.status)
	_, _ = w.Write(body)
}
