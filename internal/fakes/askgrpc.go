package fakes

import (
	"bytes"
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// GRPCService is the service whose methods are the classes, for DoGRPC.
const GRPCService = "standin.Desk"

// GRPCTransport is for DoGRPC.
func GRPCTransport() *http.Transport {
	t := &http.Transport{DisableCompression: true, Protocols: &http.Protocols{}}
	t.Protocols.SetUnencryptedHTTP2(true)
	return t
}

// DoGRPC asks as Do does, over gRPC: the class is the method, the headers are metadata, and the time-out is grpc-timeout.
// What cannot be said so (a class that is not there, a time that is no number) is sent as it stands. The reply's status is
// the one that HTTP's front has for the same end; see grpcStatus.
func (a Request) DoGRPC(ctx context.Context, rt http.RoundTripper, addr string) Reply {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(a.ClientTimeout, a.Timeout))
	defer cancel()
	start := time.Now()
	out := func(r Reply) Reply { r.Latency = time.Since(start); return r }
	plain, err := a.HTTPRequest(ctx, addr)
	if err != nil {
		return out(Reply{Err: err})
	}
	class := strings.Join(plain.Header["Request-Class"], "")
	body := ""
	if a.Key != "" {
		body = a.Body
	}
	framed := append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(body))), body...)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+GRPCService+"/"+class, bytes.NewReader(framed))
	if err != nil {
		return out(Reply{Err: err})
	}
	req.GetBody = nil // nothing is sent again by itself
	for name, v := range plain.Header {
		switch name {
		case "Request-Class":
		case "Request-Timeout":
			if len(v) > 0 {
				req.Header["Grpc-Timeout"] = []string{grpcTimeout(v[0])}
			}
		default:
			req.Header[name] = v
		}
	}
	req.Header["Content-Type"], req.Header["Te"] = []string{"application/grpc"}, []string{"trailers"}
	res, err := rt.RoundTrip(req)
	if err != nil {
		return out(Reply{Err: err})
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return out(Reply{Err: err})
	}
	return out(a.readGRPCReply(res, answer))
}

// grpcTimeout is a time in seconds as a grpc-timeout.
func grpcTimeout(seconds string) string {
	v, err := strconv.ParseFloat(seconds, 64)
	if err != nil || math.IsNaN(v) {
		return seconds
	}
	return strconv.FormatInt(int64(v*1000), 10) + "m"
}

var errInvalidGRPCResponse = errors.New("no answer as gRPC has it")

func (a Request) readGRPCReply(res *http.Response, body []byte) Reply {
	field := func(name string) string {
		if v := res.Trailer.Get(name); v != "" {
			return v
		}
		return res.Header.Get(name) // an answer of trailers alone
	}
	if res.StatusCode != http.StatusOK {
		return Reply{Status: res.StatusCode}
	}
	code, err := strconv.Atoi(field("Grpc-Status"))
	if err != nil {
		return Reply{Err: fmt.Errorf("%w: grpc-status %q", errInvalidGRPCResponse, field("Grpc-Status"))}
	}
	ms, err := strconv.Atoi(field("Grpc-Retry-Pushback-Ms"))
	r := Reply{Status: grpcStatus(code, err == nil, ms)}
	switch r.Status {
	case http.StatusOK:
		if len(body) < 5 || body[0] != 0 || int(binary.BigEndian.Uint32(body[1:])) != len(body)-5 {
			return Reply{Err: fmt.Errorf("%w: a good status and %d bytes", errInvalidGRPCResponse, len(body))}
		}
		if r.Body = string(body[5:]); r.Body != responseBody(a.RequestID()) {
			return Reply{Err: errWrongResponse}
		}
	case http.StatusServiceUnavailable:
		if err == nil {
			r.RetryAfter = fmt.Sprintf("%.3f", float64(ms)/1000)
		}
	}
	return r
}

// grpcStatus is the HTTP status of the front's answer that means what a gRPC status and its pushback mean. A front's own
// end of a call carries a pushback, and grpc's refusal of a time-out that is up carries none.
func grpcStatus(code int, pushed bool, ms int) int {
	switch {
	case code == 0:
		return http.StatusOK
	case code == 8 && (!pushed || ms < 0): // without one it is grpc's server that has found a message too long
		return http.StatusRequestEntityTooLarge
	case code == 8, code == 14:
		return http.StatusServiceUnavailable
	case code == 4 && pushed:
		return http.StatusGatewayTimeout
	case code == 3, code == 4, code == 12:
		return http.StatusBadRequest
	case code == 6:
		return http.StatusConflict
	}
	return http.StatusBadGateway
}
