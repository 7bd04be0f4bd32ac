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

// Ask is a request of a client, as the platform's protocol has it.
type Request struct {
	ID            uint64
	Class         string
	Customer      uint64
	Plan          string
	Cost          float64 // 0: 1
	GatewaySpread int     // 0: 1
	FirstGateway  int
	Timeout       time.Duration
	ClientTimeout time.Duration // how long its client waits in truth; 0: Timeout
	Key           string        // not empty: it is a POST with this key
	Body          string
	Header        http.Header // put on top
}

// RequestID is the id as it stands in headers.
func (a Request) RequestID() string { return fmt.Sprintf("%016x", a.ID) }

// Request makes the HTTP request to a front door.
func (a Request) HTTPRequest(ctx context.Context, addr string) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if a.Key != "" {
		method, body = http.MethodPost, strings.NewReader(a.Body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/"+a.Class, body)
	if err != nil {
		return nil, err
	}
	r.Header = http.Header{"Request-Id": {a.RequestID()}, "Request-Class": {a.Class}, "X-Tier": {a.Plan},
		"X-Api-Key":       {fmt.Sprintf("%016x", a.Customer)},
		"Request-Timeout": {strconv.FormatFloat(a.Timeout.Seconds(), 'f', 3, 64)},
		"X-Call-Terms": {fmt.Sprintf("units=%s,spread=%d,first=%d", strconv.FormatFloat(max(a.Cost, 0), 'g', -1, 64),
			max(a.GatewaySpread, 1), a.FirstGateway)}}
	if a.Cost == 0 {
		r.Header["X-Call-Terms"] = []string{fmt.Sprintf("units=1,spread=%d,first=%d", max(a.GatewaySpread, 1), a.FirstGateway)}
	}
	if a.Key != "" {
		r.Header["Idempotency-Key"] = []string{a.Key}
	}
	for name, v := range a.Header {
		r.Header[name] = v
	}
	return r, nil
}

// Reply is what a client got.
type Reply struct {
	Status     int // 0: no whole answer
	Body       string
	RetryAfter string
	Latency    time.Duration
	Err        error
}

// String is the kind of the reply: served, refused, failed with its status, or lost.
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

// errWrong is an answer that was not made for this request.
var errWrongResponse = errors.New("served with what no backend made for it")

// Do asks a front door, waits for as long as the client does, and reads the whole answer. An answer that belongs
// to another request counts as lost.
func (a Request) Do(ctx context.Context, rt http.RoundTripper, addr string) Reply {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(a.ClientTimeout, a.Timeout))
	defer cancel()
	start := time.Now()
	out := func(r Reply) Reply { r.Latency = time.Since(start); return r }
	req, err := a.HTTPRequest(ctx, addr)
	if err != nil {
		return out(Reply{Err: err})
	}
	res, err := rt.RoundTrip(req)
	if err != nil {
		return out(Reply{Err: err})
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return out(Reply{Err: err})
	}
	r := Reply{Status: res.StatusCode, Body: string(body), RetryAfter: res.Header.Get("Retry-After")}
	if r.Status == http.StatusOK && r.Body != responseBody(a.RequestID()) {
		r.Status, r.Err = 0, errWrongResponse
	}
	return out(r)
}
