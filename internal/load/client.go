package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// reply is the result of one try of a request.
type reply struct {
	status     string        // such as 200, OK or 503; without a response, the reason (see errorName)
	good       bool          // the response is successful
	rejected   bool          // the response says that the request was rejected, so that a retry is safe
	retryAfter time.Duration // the delay before a retry that a rejection asks for; 0 if it has none
	bytes      int64         // length of the response body
}

// client sends requests in one protocol. It is safe for concurrent use.
type client interface {
	// send sends one try of a request and blocks until its result. timeout is the value that is sent as the request's
	// timeout; ctx ends the try.
	send(ctx context.Context, target string, kind *RequestKind, r *Request, try int, timeout time.Duration) reply
	close()
}

// ErrNotLoopback is returned for a target that is not on this machine.
var ErrNotLoopback = errors.New("target is not a loopback address")

// requireLoopback returns an error unless a target is on this machine. The only host name allowed is localhost.
func requireLoopback(target string) error {
	host, _, err := net.SplitHostPort(target)
	if err != nil {
		return fmt.Errorf("target %q is not of the form host:port: %w", target, err)
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("%w: %s", ErrNotLoopback, target)
	}
	return nil
}

// httpClient sends requests over HTTP/1.1.
type httpClient struct{ transport *http.Transport }

func newHTTPClient(conns int) *httpClient {
	return &httpClient{&http.Transport{
		MaxConnsPerHost: conns, MaxIdleConnsPerHost: conns, MaxIdleConns: conns,
		DisableCompression: true, IdleConnTimeout: 30 * time.Second,
	}}
}

func (c *httpClient) close() { c.transport.CloseIdleConnections() }

func (c *httpClient) send(
	ctx context.Context, target string, kind *RequestKind, r *Request, try int, timeout time.Duration,
) reply {
	url, body := "http://"+target+expand(kind.Path, r, try, timeout),
		strings.NewReader(expand(kind.Body, r, try, timeout))
	req, err := http.NewRequestWithContext(ctx, kind.Method, url, body)
	if err != nil {
		return reply{status: "no request"}
	}
	for _, h := range kind.Headers {
		req.Header.Add(h.Name, expand(h.Value, r, try, timeout))
	}
	res, err := c.transport.RoundTrip(req)
	if err != nil {
		return reply{status: errorName(err)}
	}
	n, err := io.Copy(io.Discard, res.Body)
	res.Body.Close()
	out := reply{status: strconv.Itoa(res.StatusCode), bytes: n, good: res.StatusCode < 400}
	if err != nil {
		out.status, out.good = "cut, "+errorName(err), false
	}
	rejection := res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests
	if after := res.Header.Get("Retry-After"); after != "" && rejection {
		out.rejected = true
		if seconds, err := strconv.ParseFloat(after, 64); err == nil && seconds >= 0 && seconds < 1e6 {
			out.retryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	return out
}

// errorName returns the outcome that an error is counted as.
func errorName(err error) string {
	var opError *net.OpError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "timed out"
	case errors.Is(err, context.Canceled):
		return "ended"
	case errors.As(err, &opError):
		return opError.Op + " failed"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "connection ended"
	}
	return "broken"
}

// rawCodec is a gRPC codec that passes messages as bytes, without encoding them.
type rawCodec struct{}

func (rawCodec) Marshal(v any) ([]byte, error) { return *v.(*[]byte), nil }
func (rawCodec) Unmarshal(text []byte, v any) error {
	*v.(*[]byte) = append([]byte(nil), text...)
	return nil
}
func (rawCodec) Name() string { return "proto" }

// maxGRPCConns is the largest number of connections of a grpcClient. Few are enough, as each carries many concurrent
// calls.
const maxGRPCConns = 16

// grpcClient makes unary calls and distributes them over its connections in turn.
type grpcClient struct{ conns []*grpc.ClientConn }

func newGRPCClient(target string, conns int) (*grpcClient, error) {
	c := &grpcClient{}
	for range min(conns, maxGRPCConns) {
		conn, err := grpc.NewClient("passthrough:///"+target,
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithDefaultCallOptions(grpc.ForceCodec(rawCodec{})), grpc.WithDisableRetry())
		if err != nil {
			c.close()
			return nil, err
		}
		c.conns = append(c.conns, conn)
	}
	return c, nil
}

func (c *grpcClient) close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

func (c *grpcClient) send(
	ctx context.Context, _ string, kind *RequestKind, r *Request, try int, timeout time.Duration,
) reply {
	var pairs []string
	for _, h := range kind.Headers {
		pairs = append(pairs, strings.ToLower(h.Name), expand(h.Value, r, try, timeout))
	}
	in, out := []byte(expand(kind.Body, r, try, timeout)), []byte(nil)
	var trailer metadata.MD
	conn := c.conns[r.Number%uint64(len(c.conns))]
	callContext := metadata.AppendToOutgoingContext(ctx, pairs...)
	err := conn.Invoke(callContext, kind.Path, &in, &out, grpc.Trailer(&trailer))
	code := status.Code(err)
	result := reply{status: code.String(), good: err == nil, bytes: int64(len(out))}
	if code == codes.DeadlineExceeded && ctx.Err() != nil {
		result.status = "timed out"
	}
	rejection := code == codes.Unavailable || code == codes.ResourceExhausted
	if pushback := trailer.Get("grpc-retry-pushback-ms"); len(pushback) > 0 && rejection {
		if ms, err := strconv.Atoi(pushback[0]); err == nil && ms >= 0 {
			result.rejected, result.retryAfter = true, time.Duration(ms)*time.Millisecond
		}
	}
	for _, d := range status.Convert(err).Details() {
		if info, ok := d.(*errdetails.RetryInfo); ok && result.retryAfter == 0 {
			result.rejected, result.retryAfter = true, info.GetRetryDelay().AsDuration()
		}
	}
	return result
}
