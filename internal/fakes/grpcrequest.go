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

// GRPCService is the service that DoGRPC calls. Its methods are the classes.
const GRPCService = "standin.Desk"

// GRPCTransport returns a transport for DoGRPC, which uses HTTP/2 without TLS.
func GRPCTransport() *http.Transport {
	t := &http.Transport{DisableCompression: true, Protocols: &http.Protocols{}}
	t.Protocols.SetUnencryptedHTTP2(true)
	return t
}

// DoGRPC is Do over gRPC: the class is sent as the method, the headers as metadata, and the timeout as grpc-timeout.
// Invalid values are sent unchanged. The reply has the HTTP status that corresponds to the gRPC status; see grpcStatus.
func (q Request) DoGRPC(ctx context.Context, rt http.RoundTripper, addr string) Reply {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(q.ClientTimeout, q.Timeout))
	defer cancel()
	start := time.Now()
	timed := func(r Reply) Reply { r.Latency = time.Since(start); return r }
	httpRequest, err := q.HTTPRequest(ctx, addr)
	if err != nil {
		return timed(Reply{Err: err})
	}
	class := strings.Join(httpRequest.Header["Request-Class"], "")
	body := ""
	if q.Key != "" {
		body = q.Body
	}
	message := append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(body))), body...)
	url := "http://" + addr + "/" + GRPCService + "/" + class
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(message))
	if err != nil {
		return timed(Reply{Err: err})
	}
	req.GetBody = nil // so that the transport can't retry the request
	for name, values := range httpRequest.Header {
		switch name {
		case "Request-Class":
		case "Request-Timeout":
			if len(values) > 0 {
				req.Header["Grpc-Timeout"] = []string{grpcTimeout(values[0])}
			}
		default:
			req.Header[name] = values
		}
	}
	req.Header["Content-Type"], req.Header["Te"] = []string{"application/grpc"}, []string{"trailers"}
	res, err := rt.RoundTrip(req)
	if err != nil {
		return timed(Reply{Err: err})
	}
	defer res.Body.Close()
	responseMessage, err := io.ReadAll(res.Body)
	if err != nil {
		return timed(Reply{Err: err})
	}
	return timed(q.readGRPCReply(res, responseMessage))
}

// grpcTimeout converts a time in seconds into a value of grpc-timeout. A text that is not a number stays unchanged.
func grpcTimeout(seconds string) string {
	v, err := strconv.ParseFloat(seconds, 64)
	if err != nil || math.IsNaN(v) {
		return seconds
	}
	return strconv.FormatInt(int64(v*1000), 10) + "m"
}

// errInvalidGRPCResponse is the error of a response that violates the gRPC protocol.
var errInvalidGRPCResponse = errors.New("invalid gRPC response")

// readGRPCReply reads the reply from a response and its body.
func (q Request) readGRPCReply(res *http.Response, body []byte) Reply {
	field := func(name string) string {
		if v := res.Trailer.Get(name); v != "" {
			return v
		}
		return res.Header.Get(name) // a trailers-only response
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
		if !isOneMessage(body) {
			return Reply{Err: fmt.Errorf("%w: status 0 with a body of %d bytes, which is not one uncompressed message",
				errInvalidGRPCResponse, len(body))}
		}
		if r.Body = string(body[grpcPrefixBytes:]); r.Body != responseBody(q.RequestID()) {
			return Reply{Err: errWrongResponse}
		}
	case http.StatusServiceUnavailable:
		if err == nil {
			r.RetryAfter = fmt.Sprintf("%.3f", float64(ms)/1000)
		}
	}
	return r
}

// isOneMessage reports whether a response body is one uncompressed gRPC message.
func isOneMessage(body []byte) bool {
	return len(body) >= grpcPrefixBytes && body[0] == 0 &&
		int(binary.BigEndian.Uint32(body[1:])) == len(body)-grpcPrefixBytes
}

// grpcStatus returns the HTTP status that corresponds to a gRPC status code with its pushback in ms. hasPushback tells
// apart status 4 of a gateway, which sends a pushback, and that of grpc's server for an expired timeout, which doesn't.
func grpcStatus(code int, hasPushback bool, ms int) int {
	switch {
	case code == 0:
		return http.StatusOK
	case code == 8 && (!hasPushback || ms < 0): // without a pushback, grpc's server rejected a message that is too long
		return http.StatusRequestEntityTooLarge
	case code == 8, code == 14:
		return http.StatusServiceUnavailable
	case code == 4 && hasPushback:
		return http.StatusGatewayTimeout
	case code == 3, code == 4, code == 12:
		return http.StatusBadRequest
	case code == 6:
		return http.StatusConflict
	}
	return http.StatusBadGateway
}
