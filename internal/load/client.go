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

// reply is how one try ended.
type reply struct {
	status     string        // such as 200, OK, 503; of what has none, why
	good       bool          // answered well
	rejected   bool          // and asking again is harmless
	retryAfter time.Duration // as it was told; 0: it was not
	bytes      int64
}

// way asks once.
type client interface {
	send(ctx context.Context, target string, k *RequestKind, s *Request, try int, left time.Duration) reply
	close()
}

// ErrNotLoopback is a target that is on another machine.
var ErrNotLoopback = errors.New("the target is not on this machine")

// loopback tells whether a target is on this machine; a name must be localhost.
func requireLoopback(target string) error {
	host, _, err := net.SplitHostPort(target)
	if err != nil {
		return fmt.Errorf("%q is no host:port: %w", target, err)
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("%w: %s", ErrNotLoopback, target)
	}
	return nil
}

// overHTTP asks over HTTP/1.1.
type httpClient struct{ transport *http.Transport }

func newHTTPClient(conns int) *httpClient {
	return &httpClient{&http.Transport{MaxConnsPerHost: conns, MaxIdleConnsPerHost: conns, MaxIdleConns: conns, DisableCompression: true, IdleConnTimeout: 30 * time.Second}}
}

func (w *httpClient) close() { w.transport.CloseIdleConnections() }

func (w *httpClient) send(ctx context.Context, target string, k *RequestKind, s *Request, try int, left time.Duration) reply {
	req, err := http.NewRequestWithContext(ctx, k.Method, "http://"+target+expand(k.Path, s, try, left), strings.NewReader(expand(k.Body, s, try, left)))
	if err != nil {
		return reply{status: "no request"}
	}
	for _, h := range k.Headers {
		req.Header.Add(h.Name, expand(h.Value, s, try, left))
	}
	res, err := w.transport.RoundTrip(req)
	if err != nil {
		return reply{status: errorName(err)}
	}
	n, err := io.Copy(io.Discard, res.Body)
	res.Body.Close()
	r := reply{status: strconv.Itoa(res.StatusCode), bytes: n, good: res.StatusCode < 400}
	if err != nil {
		r.status, r.good = "cut, "+errorName(err), false
	}
	if after := res.Header.Get("Retry-After"); after != "" && (res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests) {
		r.rejected = true
		if seconds, err := strconv.ParseFloat(after, 64); err == nil && seconds >= 0 && seconds < 1e6 {
			r.retryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	return r
}

// why names an error in a word, so that equal ones count together.
func errorName(err error) string {
	var op *net.OpError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "timed out"
	case errors.Is(err, context.Canceled):
		return "ended"
	case errors.As(err, &op):
		return op.Op + " failed"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "connection ended"
	}
	return "broken"
}

// raw carries messages as they are.
type rawCodec struct{}

func (rawCodec) Marshal(v any) ([]byte, error) { return *v.(*[]byte), nil }
func (rawCodec) Unmarshal(text []byte, v any) error {
	*v.(*[]byte) = append([]byte(nil), text...)
	return nil
}
func (rawCodec) Name() string { return "proto" }

// overGRPC makes unary calls, on some connections in turn.
type grpcClient struct{ conns []*grpc.ClientConn }

func newGRPCClient(target string, conns int) (*grpcClient, error) {
	w := &grpcClient{}
	for range min(conns, 16) { // each carries many calls at once
		c, err := grpc.NewClient("passthrough:///"+target, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDefaultCallOptions(grpc.ForceCodec(rawCodec{})), grpc.WithDisableRetry())
		if err != nil {
			w.close()
			return nil, err
		}
		w.conns = append(w.conns, c)
	}
	return w, nil
}

func (w *grpcClient) close() {
	for _, c := range w.conns {
		_ = c.Close()
	}
}

func (w *grpcClient) send(ctx context.Context, _ string, k *RequestKind, s *Request, try int, left time.Duration) reply {
	var pairs []string
	for _, h := range k.Headers {
		pairs = append(pairs, strings.ToLower(h.Name), expand(h.Value, s, try, left))
	}
	in, out := []byte(expand(k.Body, s, try, left)), []byte(nil)
	var trailer metadata.MD
	err := w.conns[s.Number%uint64(len(w.conns))].Invoke(metadata.AppendToOutgoingContext(ctx, pairs...), k.Path, &in, &out, grpc.Trailer(&trailer))
	code := status.Code(err)
	r := reply{status: code.String(), good: err == nil, bytes: int64(len(out))}
	if code == codes.DeadlineExceeded && ctx.Err() != nil {
		r.status = "timed out"
	}
	if push := trailer.Get("grpc-retry-pushback-ms"); len(push) > 0 && (code == codes.Unavailable || code == codes.ResourceExhausted) {
		if ms, err := strconv.Atoi(push[0]); err == nil && ms >= 0 {
			r.rejected, r.retryAfter = true, time.Duration(ms)*time.Millisecond
		}
	}
	for _, d := range status.Convert(err).Details() {
		if info, ok := d.(*errdetails.RetryInfo); ok && r.retryAfter == 0 {
			r.rejected, r.retryAfter = true, info.GetRetryDelay().AsDuration()
		}
	}
	return r
}
