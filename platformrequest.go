package pumicecroft

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/reqtarget"
	"pumicecroft/internal/requestmeta"
)

// PlatformRequest is the default Mapper. It reads a request with the headers of the platform's protocol, except for
// its body. The customer and the plan are those of WithIdentity, if the host has called it. The error is an
// ErrBadRequest.
func (g *Gateway) PlatformRequest(r *http.Request) (Request, error) {
	if ambiguousFraming(r) {
		return Request{}, badRequest("framing", r.Proto+" "+strings.Join(r.TransferEncoding, ", "))
	}
	header, repeated := readPlatformHeader(r.Header)
	if repeated != "" {
		return Request{}, badRequest(repeated, strings.Join(r.Header[repeated], ", "))
	}
	id, err := requestmeta.ParseHexID(header.id)
	if err != nil {
		return Request{}, badRequest("Request-Id", header.id)
	}
	class, ok := g.classes[header.class]
	if !ok {
		return Request{}, badRequest("Request-Class", header.class)
	}
	if err := checkClass(r, class, header.key); err != nil {
		return Request{}, err
	}
	identity, err := g.platformIdentity(r, &header)
	if err != nil {
		return Request{}, err
	}
	timeout, ok := parseTimeout(header.timeout, class.Deadline)
	if !ok {
		return Request{}, badRequest("Request-Timeout", header.timeout)
	}
	terms, ok := requestmeta.ParseTerms(header.terms, &g.config.Settings)
	if !ok {
		return Request{}, badRequest("X-Call-Terms", header.terms)
	}
	request := Request{
		ID:             id,
		hasID:          true,
		Class:          class.Name,
		Plan:           identity.Plan,
		Customer:       identity.Customer,
		IdempotencyKey: header.key,
		Timeout:        timeout,
		Method:         r.Method,
		Target:         reqtarget.Of(r),
		Host:           r.Host,
		Cost:           terms.Cost,
		GatewaySpread:  terms.GatewaySpread,
		FirstGateway:   terms.FirstGateway,
	}
	if values := r.Header["Content-Type"]; len(values) > 0 {
		request.ContentType = values[0]
	}
	return request, nil
}

// ambiguousFraming reports whether the end of a request may differ from its Content-Length, which permits request
// smuggling. If a request has both Content-Length and Transfer-Encoding, the server drops the former (in HTTP/1.0 the
// latter), and a proxy that uses the other one finds a second request in the body. The platform's clients send
// HTTP/1.1 with a Content-Length. HTTP/2 has its own framing.
func ambiguousFraming(r *http.Request) bool {
	if r.ProtoMajor == 2 {
		return false
	}
	return len(r.TransferEncoding) > 0 || r.ContentLength < 0 || r.ProtoMajor != 1 || r.ProtoMinor != 1
}

// checkClass checks that the path, the method, the body and the key of a request are valid for its class.
func checkClass(r *http.Request, class decision.Class, key string) error {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case first != class.Name || !strings.HasPrefix(r.RequestURI, "/"):
		return badRequest("path of another class", r.RequestURI)
	case r.Method != platformMethod(class):
		return badRequest("method", r.Method)
	case r.Method == http.MethodGet && r.ContentLength > 0:
		return badRequest("a GET with a body", r.RequestURI)
	case class.Idempotency == decision.IdempotentByKey && key == "":
		return badRequest("Idempotency-Key", "")
	}
	return nil
}

// platformIdentity returns the identity of WithIdentity if there is one, else that of the headers.
func (g *Gateway) platformIdentity(r *http.Request, header *platformHeader) (Identity, error) {
	identity, known := IdentityFrom(r.Context())
	if !known {
		customer, err := requestmeta.ParseCustomer(header.customer)
		if err != nil {
			return Identity{}, badRequest("X-Api-Key", header.customer)
		}
		identity = Identity{Customer: customer, Plan: header.plan}
	}
	if !g.plans[identity.Plan] {
		return Identity{}, badRequest("X-Tier", identity.Plan)
	}
	return identity, nil
}

// parseTimeout parses a timeout in seconds and limits it to the class's deadline.
func parseTimeout(value string, deadline time.Duration) (timeout time.Duration, ok bool) {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > 0) || math.IsInf(seconds, 0) { // !(seconds > 0) also rejects NaN
		return 0, false
	}
	return max(1, time.Duration(min(seconds, deadline.Seconds())*float64(time.Second))), true
}

// platformHeader holds the values of the platform's headers.
type platformHeader struct{ id, class, plan, customer, timeout, terms, key string }

// readPlatformHeader reads the platform's headers. repeated names a header that occurs more than once: such a request
// is invalid, as a backend may read another of the values.
func readPlatformHeader(header http.Header) (values platformHeader, repeated string) {
	single := func(name string) string {
		all := header[name]
		if len(all) > 1 && repeated == "" {
			repeated = name
		}
		if len(all) == 0 {
			return ""
		}
		return all[0]
	}
	values = platformHeader{
		id:       single("Request-Id"),
		class:    single("Request-Class"),
		plan:     single("X-Tier"),
		customer: single("X-Api-Key"),
		timeout:  single("Request-Timeout"),
		terms:    single("X-Call-Terms"),
		key:      single("Idempotency-Key"),
	}
	return values, repeated
}
