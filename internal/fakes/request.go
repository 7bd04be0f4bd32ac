package fakes

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is a client's request in the platform's protocol.
type Request struct {
	ID            uint64
	Class         string
	Customer      uint64
	Plan          string
	Cost          float64 // 0 means 1
	GatewaySpread int     // 0 means 1
	FirstGateway  int
	Timeout       time.Duration
	ClientTimeout time.Duration // how long the client waits, whatever Timeout says; 0 means Timeout
	Key           string        // idempotency key; requests with a key are POST, others GET
	Body          string        // sent only with a Key
	Header        http.Header   // overrides the headers that are made of the other fields
}

// RequestID returns the ID in the form of the Request-Id header.
func (q Request) RequestID() string { return fmt.Sprintf("%016x", q.ID) }

// HTTPRequest returns the request as an HTTP request to a gateway.
func (q Request) HTTPRequest(ctx context.Context, addr string) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if q.Key != "" {
		method, body = http.MethodPost, strings.NewReader(q.Body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/"+q.Class, body)
	if err != nil {
		return nil, err
	}
	cost := "1"
	if q.Cost != 0 {
		cost = strconv.FormatFloat(max(q.Cost, 0), 'g', -1, 64)
	}
	r.Header = http.Header{
		"Request-Id": {q.RequestID()}, "Request-Class": {q.Class}, "X-Tier": {q.Plan},
		"X-Api-Key":       {fmt.Sprintf("%016x", q.Customer)},
		"Request-Timeout": {strconv.FormatFloat(q.Timeout.Seconds(), 'f', 3, 64)},
		"X-Call-Terms":    {fmt.Sprintf("units=%s,spread=%d,first=%d", cost, max(q.GatewaySpread, 1), q.FirstGateway)},
	}
	if q.Key != "" {
		r.Header["Idempotency-Key"] = []string{q.Key}
	}
	for name, values := range q.Header {
		r.Header[name] = values
	}
	return r, nil
}

// Reply is the response to a Request, or the error in its place.
type Reply struct {
	Status     int // 0 means no complete response
	Body       string
	RetryAfter string
	Latency    time.Duration
	Err        error
}

// String returns the kind of the reply: "served", "refused", "failed" with its status, or "lost".
func (r Reply) String() string {
	switch r.Status {
	case 0:
		return "lost"
	case http.StatusOK:
		return "served"
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return "refused"
	}
	return "failed " + strconv.Itoa(r.Status)
}

// errWrongResponse is the error of a successful response that no backend made for the request.
var errWrongResponse = errors.New("response body does not belong to the request")

// Do sends the request to a gateway, waits at most for ClientTimeout, and reads the complete response. A response that
// belongs to another request counts as lost.
func (q Request) Do(ctx context.Context, rt http.RoundTripper, addr string) Reply {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(q.ClientTimeout, q.Timeout))
	defer cancel()
	start := time.Now()
	timed := func(r Reply) Reply { r.Latency = time.Since(start); return r }
	req, err := q.HTTPRequest(ctx, addr)
	if err != nil {
		return timed(Reply{Err: err})
	}
	res, err := rt.RoundTrip(req)
	if err != nil {
		return timed(Reply{Err: err})
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return timed(Reply{Err: err})
	}
	r := Reply{Status: res.StatusCode, Body: string(body), RetryAfter: res.Header.Get("Retry-After")}
	if r.Status == http.StatusOK && r.Body != responseBody(q.RequestID()) {
		r.Status, r.Err = 0, errWrongResponse
	}
	return timed(r)
}
