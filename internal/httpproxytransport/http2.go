package httpproxytransport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"

	"pumicecroft/decision"
	"pumicecroft/internal/executor"
	"pumicecroft/internal/http1proxy"
)

// http2Transport returns the configuration of HTTP/2 connections. Its RoundTrip is not used because
// it would retry some requests by itself. Requests go directly to a ClientConn, which sends each one
// once; this package selects the connection and determines the result.
func (t *Transport) http2Transport() *http2.Transport {
	return &http2.Transport{
		AllowHTTP:                  true,
		DisableCompression:         true,
		MaxHeaderListSize:          uint32(t.config.MaxHeadBytes),
		StrictMaxConcurrentStreams: true,
	}
}

// shutdownConns closes the HTTP/2 connections of a backend when their streams have ended. The caller
// holds Transport.mu.
func shutdownConns(be *backend) {
	for _, cc := range be.http2Conns {
		go shutdownConn(cc)
	}
	be.http2Conns = nil
}

// shutdownConn prevents new streams on a connection, and closes it when its streams have ended.
func shutdownConn(cc *http2.ClientConn) { _ = cc.Shutdown(context.Background()) }

// isExpired reports whether a connection has been idle for so long that the backend may be closing
// it.
func (t *Transport) isExpired(state *http2.ClientConnState) bool {
	streams := state.StreamsActive + state.StreamsReserved + state.StreamsPending
	return streams == 0 && !state.LastIdle.IsZero() && time.Since(state.LastIdle) > maxIdle(t.config.IdleTimeout)
}

// http2Pick is the result of pickHTTP2: a connection, a dial to wait for, or neither.
type http2Pick struct {
	backend *backend
	conn    *http2.ClientConn // with a reserved stream; nil: no connection has a free stream
	dialing chan struct{}     // closed when the dial in progress ends; nil: no connection may be dialed
	dial    bool              // the caller must start that dial
}

// pickHTTP2 reserves a stream on a connection, or returns the dial of a new connection.
func (t *Transport) pickHTTP2(id decision.BackendID) http2Pick {
	t.mu.Lock()
	defer t.unlock()
	be := t.byID[id]
	if be == nil || be.state != decision.Ready {
		return http2Pick{}
	}
	be.http2Conns = slices.DeleteFunc(be.http2Conns, func(cc *http2.ClientConn) bool {
		state := cc.State()
		expired := t.isExpired(&state)
		if expired {
			go shutdownConn(cc)
		}
		return expired || state.Closed || state.Closing
	})
	for _, cc := range be.http2Conns {
		if cc.ReserveNewRequest() {
			return http2Pick{backend: be, conn: cc}
		}
	}
	if be.dialing != nil {
		return http2Pick{backend: be, dialing: be.dialing}
	}
	if len(be.http2Conns) >= t.config.MaxHTTP2Conns {
		return http2Pick{backend: be}
	}
	be.dialing = make(chan struct{})
	return http2Pick{backend: be, dialing: be.dialing, dial: true}
}

// dialHTTP2 opens a connection for all attempts that wait on be.dialing.
func (t *Transport) dialHTTP2(id decision.BackendID, be *backend) {
	ctx, cancel := context.WithTimeout(context.Background(), t.config.ConnectTimeout)
	defer cancel()
	netConn, _, err := t.connect(ctx, be.destination.Addr)
	var cc *http2.ClientConn
	if err == nil {
		if cc, err = t.http2Transport().NewClientConn(netConn); err != nil {
			netConn.Close()
		}
	}
	t.mu.Lock()
	current := t.byID[id] == be
	if err == nil && current {
		be.http2Conns = append(be.http2Conns, cc)
	}
	be.finishDial()
	t.unlock()
	if err == nil && !current {
		_ = cc.Close()
	}
}

// finishDial wakes the attempts that wait on be.dialing. The caller holds Transport.mu.
func (be *backend) finishDial() {
	close(be.dialing)
	be.dialing = nil
}

// acquireHTTP2 returns a connection with a reserved stream and its address, or nil and the attempt's
// result. It blocks while a connection is dialed, at most until ctx ends.
func (t *Transport) acquireHTTP2(ctx context.Context, a *executor.Attempt) (
	*http2.ClientConn, string, decision.Result) {
	for waited := false; ; waited = true {
		pick := t.pickHTTP2(a.Backend)
		switch {
		case pick.conn != nil:
			return pick.conn, pick.backend.destination.Addr, 0
		case pick.dialing == nil: // no free stream, or the backend is not Ready: another one may be tried
			return nil, "", decision.NotSent
		case waited && pick.dial: // the dial that this attempt waited for has failed
			t.mu.Lock()
			pick.backend.finishDial()
			t.unlock()
			return nil, "", decision.ConnectFailed
		case pick.dial:
			go t.dialHTTP2(a.Backend, pick.backend)
		}
		select {
		case <-pick.dialing:
		case <-ctx.Done():
			return nil, "", decision.NotSent
		}
	}
}

// roundTripHTTP2 makes an attempt over HTTP/2.
func (t *Transport) roundTripHTTP2(a *executor.Attempt, request *Request) executor.Response {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if a.OnCancel(cancel) != nil {
		return responseWith(decision.NotSent)
	}
	defer func() { _ = a.OnCancel(nil) }()
	cc, addr, result := t.acquireHTTP2(ctx, a)
	if cc == nil {
		return responseWith(result)
	}
	x := &exchange{
		transport:   t,
		attempt:     a,
		request:     request,
		addr:        addr,
		hasBuffered: func() bool { return false },
		progress:    http1proxy.Progress{HeadBytes: 1}, // WrittenBytes becomes 1 when any of the head is written
	}
	httpRequest, err := x.newHTTP2Request(ctx)
	if err != nil || a.SendForbidden() {
		go shutdownConn(cc) // a ClientConn has no other way to release a reserved stream
		return responseWith(decision.NotSent)
	}
	var wrote atomic.Bool
	httpRequest = httpRequest.WithContext(httptrace.WithClientTrace(ctx, x.http2Trace(&wrote)))
	res, err := cc.RoundTrip(httpRequest)
	if wrote.Load() {
		x.progress.WrittenBytes = 1
	}
	if err != nil {
		return x.failureHTTP2(err)
	}
	defer res.Body.Close()
	if hasNoBody(request.Method, res.StatusCode) {
		res.Body = http.NoBody // golang.org/x/net uses another value, which handleResponse does not know
	}
	out, _ := x.handleResponse(res)
	return out
}

// http2Trace returns hooks that record whether any of the request was written, and that forward 1xx
// responses.
func (x *exchange) http2Trace(wrote *atomic.Bool) *httptrace.ClientTrace {
	informational := 0
	return &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { wrote.Store(true) },
		WroteHeaders:     func() { wrote.Store(true) },
		Got1xxResponse: func(status int, h textproto.MIMEHeader) error {
			if informational++; informational > maxInformational {
				return errTooManyInformational
			}
			if x.request.Sink != nil && status != http.StatusContinue {
				x.request.Sink.WriteInformational(status, http.Header(h))
			}
			return nil
		},
	}
}

// hasNoBody reports whether a response can't have a body because of the request's method or the
// response's status.
func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// newHTTP2Request returns the request as an http.Request.
func (x *exchange) newHTTP2Request(ctx context.Context) (*http.Request, error) {
	request, config := x.request, &x.transport.config
	h, err := parseHeaderBlock(request.HeaderBlock)
	if err != nil {
		return nil, err
	}
	h.Del("Connection")
	if name := request.RemainingTimeoutHeader; name != "" {
		h.Set(name, http1proxy.FormatSeconds(time.Until(x.attempt.Deadline)))
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // keeps golang.org/x/net from adding its own
	}
	host, scheme := request.Host, "http"
	if config.RewriteHost != nil {
		host = config.RewriteHost(x.addr)
	}
	if config.TLS != nil {
		scheme = "https"
	}
	r := &http.Request{
		Method:     request.Method,
		URL:        &url.URL{Scheme: scheme, Host: host, Opaque: "//" + host + request.Target},
		Host:       host,
		Header:     http.Header(h),
		Proto:      "HTTP/2.0",
		ProtoMajor: 2,
		Trailer:    request.Trailer,
	}
	switch {
	case len(request.Body) > 0 || len(request.Trailer) > 0:
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(request.Body)), int64(len(request.Body))
		if len(request.Trailer) > 0 {
			r.ContentLength = -1
		}
	case r.Method == "POST" || r.Method == "PUT" || r.Method == "PATCH":
		r.Body = http.NoBody
	}
	return r.WithContext(ctx), nil
}

// parseHeaderBlock parses the header block of an http1proxy.Request.
func parseHeaderBlock(block []byte) (textproto.MIMEHeader, error) {
	text := io.MultiReader(bytes.NewReader(block), strings.NewReader("\r\n"))
	return textproto.NewReader(bufio.NewReader(text)).ReadMIMEHeader()
}

// failureHTTP2 returns the result of an attempt whose stream ended with an error. A stream that the
// backend refused, or whose ID is higher than the last stream ID of its GOAWAY, was not processed
// (RFC 9113, 8.7). Other errors count as a lost connection, as golang.org/x/net does not export values
// for them.
func (x *exchange) failureHTTP2(err error) executor.Response {
	if x.attempt.CancelCause() != nil {
		return x.logFailure(err)
	}
	stream, isStream := errors.AsType[http2.StreamError](err)
	switch {
	case isStream && stream.Code == http2.ErrCodeRefusedStream,
		strings.Contains(err.Error(), "graceful shutdown GOAWAY"):
		return responseWith(decision.Rejected)
	case isStream && stream.Code == http2.ErrCodeProtocol:
		return responseWith(x.progress.Result(http1proxy.MalformedResponse))
	}
	return responseWith(x.progress.Result(http1proxy.ConnectionLost))
}
