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

// final is an answer of the door's own.
type final struct {
	status int
	name   string
	title  string
	detail string
	after  time.Duration
	close  bool // what else the client sends is not waited for
}

// final says what becomes of a request that is not passed on, or had no answer.
func (f *Front) final(p *Plan, err error) final {
	var method *routes.MethodError
	var refused *pumicecroft.RejectedError
	var undecided *pumicecroft.OutcomeUnknownError
	bad := func(status int, name, title string) final {
		return final{status: status, name: name, title: title, detail: err.Error()}
	}
	switch {
	case errors.As(err, &method):
		return bad(http.StatusMethodNotAllowed, "method", "No route takes this method")
	case errors.Is(err, routes.ErrNone):
		return final{status: http.StatusNotFound, name: "no-route", title: "No route takes such a request"}
	case errors.Is(err, routes.ErrPath), errors.Is(err, routes.ErrHost), errors.Is(err, http1proxy.ErrTarget), errors.Is(err, http1proxy.ErrField), errors.Is(err, errShape):
		out := bad(http.StatusBadRequest, "bad-request", "The request makes no sense")
		out.close = true
		return out
	case errors.Is(err, http1proxy.ErrLoop):
		return bad(http.StatusLoopDetected, "loop", "The request goes in a circle")
	case errors.Is(err, errRouteRefuses):
		return final{status: p.Rule.To.Refuse, name: "route-refuses", title: "The route refuses"}
	case errors.Is(err, errUpgrade):
		return bad(http.StatusNotImplemented, "upgrade", "Connections are not upgraded here")
	case errors.Is(err, identity.ErrNone):
		return final{status: http.StatusUnauthorized, name: "nobody", title: "Nothing says who asks"}
	case errors.Is(err, identity.ErrBad):
		return bad(http.StatusUnauthorized, "credential", "A credential is not good")
	case errors.Is(err, errLarge):
		out := bad(http.StatusRequestEntityTooLarge, "body-too-large", "The body is larger than the route takes")
		out.close = true
		return out
	case errors.Is(err, errSlowBody):
		out := bad(http.StatusRequestTimeout, "body-too-slow", "The body did not come in its time")
		out.close = true
		return out
	case errors.Is(err, errMemory):
		return final{status: http.StatusServiceUnavailable, name: "no-memory", title: "There is no room for the body now", after: time.Second, close: true}
	case errors.As(err, &undecided):
		out := bad(http.StatusConflict, "undecided", "A request with this key may have run")
		out.after = undecided.RetryAfter
		return out
	case errors.As(err, &refused):
		return f.refused(refused)
	case errors.Is(err, pumicecroft.ErrRejected):
		return bad(http.StatusServiceUnavailable, "busy", "The door takes nothing more now")
	case errors.Is(err, pumicecroft.ErrKeyConflict):
		return bad(http.StatusUnprocessableEntity, "key-conflict", "The key belongs to another request")
	case errors.Is(err, pumicecroft.ErrDuplicateID), errors.Is(err, pumicecroft.ErrBadRequest):
		return bad(http.StatusBadRequest, "bad-request", "The request makes no sense")
	case errors.Is(err, pumicecroft.ErrReplayed), errors.Is(err, pumicecroft.ErrResponseNotRetained):
		return bad(http.StatusConflict, "replayed", "The request was here before")
	case errors.Is(err, pumicecroft.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return final{status: http.StatusGatewayTimeout, name: "late", title: "There was no answer in time; it may have run"}
	}
	// ErrFailed, or the client has left; it may have ended its sending only, and then reads this.
	return final{status: http.StatusBadGateway, name: "failed", title: "There is no answer to pass on; it may have run"}
}

// refused is a refusal by the decision module: nothing has run, or running again is harmless.
func (f *Front) refused(r *pumicecroft.RejectedError) final {
	out := final{status: http.StatusServiceUnavailable, after: r.RetryAfter}
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

// Refusal tells the status by which a request is refused that goes no further, and why.
func (f *Front) Refusal(p Plan) (status int, why string) {
	x := f.final(&p, p.Err)
	if x.detail != "" {
		return x.status, x.detail
	}
	return x.status, x.title
}

// advise says when to come back; 0: it does not.
func (f *Front) advise(h http.Header, after time.Duration) {
	switch {
	case after <= 0:
	case f.config.Strict:
		h["Retry-After"] = []string{strconv.FormatFloat(after.Seconds(), 'f', 3, 64)}
	default:
		h["Retry-After"] = []string{strconv.FormatFloat(math.Ceil(after.Seconds()), 'f', 0, 64)}
	}
}

// refuse answers a request by the door's own word.
func (f *Front) refuse(w http.ResponseWriter, r *http.Request, p *Plan, err error) {
	x := f.final(p, err)
	if x.status == http.StatusBadRequest || x.status == http.StatusUnauthorized {
		f.logOf.Do(func() { f.log.Warn("a request that is not taken", "from", r.RemoteAddr, "err", err) })
	}
	h := w.Header()
	var method *routes.MethodError
	if errors.As(err, &method) {
		h["Allow"] = []string{strings.Join(method.Allowed, ", ")}
	}
	if x.status == http.StatusUnauthorized { // RFC 9110, 15.5.2
		h["Www-Authenticate"] = []string{`Bearer realm="` + f.config.Via + `"`}
	}
	f.advise(h, x.after)
	if plan := f.plans[p.Who.Plan]; plan != nil && plan.Rate > 0 { // draft-ietf-httpapi-ratelimit-headers
		h["Ratelimit-Policy"] = []string{fmt.Sprintf("%q;q=%d;w=%d", plan.Name, int64(plan.Burst), int64(math.Ceil(plan.Burst/plan.Rate)))}
		if x.status == http.StatusTooManyRequests {
			limit := fmt.Sprintf("%q;r=0", plan.Name)
			if x.after > 0 {
				limit += ";t=" + h["Retry-After"][0]
			}
			h["Ratelimit"] = []string{limit}
		}
	}
	if x.close {
		h["Connection"] = []string{"close"}
	}
	body, _ := json.Marshal(Problem{Type: "urn:pumicecroft:problem:" + x.name, Title: x.title, Status: x.status, Detail: x.detail, RetryAfter: x.after.Seconds()})
	body = append(body, '\n')
	h["Content-Type"] = []string{"application/problem+json"}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(x.status)
	_, _ = w.Write(body)
}
