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

// http2Transport makes the connections; it dials none. What is on one is x/net's business; which one a request takes, and what an end proves, is
// decided here: its Transport would send some requests again by itself, a ClientConn sends each once.
func (b *Transport) http2Transport() *http2.Transport {
	return &http2.Transport{AllowHTTP: true, DisableCompression: true, MaxHeaderListSize: uint32(b.config.MaxHeadBytes), StrictMaxConcurrentStreams: true}
}

// shutdownConns lets the connections of a backend end when what is on them has; it wants the lock.
func (b *Transport) shutdownConns(be *backend) {
	for _, cc := range be.http2Conns {
		go shutdownConn(cc)
	}
	be.http2Conns = nil
}

// shutdownConn takes nothing more and closes when all has ended.
func shutdownConn(cc *http2.ClientConn) { _ = cc.Shutdown(context.Background()) }

// pickHTTP2 gives a connection with a stream that is reserved, or one that is coming up; mine: it is to be dialled.
func (b *Transport) pickHTTP2(id decision.BackendID) (be *backend, cc *http2.ClientConn, coming chan struct{}, mine bool) {
	b.mu.Lock()
	defer b.unlock()
	be = b.byID[id]
	if be == nil || be.state != decision.Ready {
		return nil, nil, nil, false
	}
	be.http2Conns = slices.DeleteFunc(be.http2Conns, func(cc *http2.ClientConn) bool {
		s := cc.State()
		old := s.StreamsActive+s.StreamsReserved+s.StreamsPending == 0 && !s.LastIdle.IsZero() && time.Since(s.LastIdle) > b.config.IdleTimeout*6/10 // the backend may be closing it
		if old {
			go shutdownConn(cc)
		}
		return old || s.Closed || s.Closing
	})
	for _, cc := range be.http2Conns {
		if cc.ReserveNewRequest() {
			return be, cc, nil, false
		}
	}
	if be.dialing != nil {
		return be, nil, be.dialing, false
	}
	if len(be.http2Conns) >= b.config.MaxHTTP2Conns {
		return be, nil, nil, false
	}
	be.dialing = make(chan struct{})
	return be, nil, be.dialing, true
}

// dialHTTP2 brings a connection up for all that wait for it.
func (b *Transport) dialHTTP2(id decision.BackendID, be *backend) {
	ctx, cancel := context.WithTimeout(context.Background(), b.config.ConnectTimeout)
	defer cancel()
	nc, _, err := b.connect(ctx, be.destination.Addr)
	var cc *http2.ClientConn
	if err == nil {
		if cc, err = b.http2Transport().NewClientConn(nc); err != nil {
			nc.Close()
		}
	}
	b.mu.Lock()
	known := b.byID[id] == be
	if err == nil && known {
		be.http2Conns = append(be.http2Conns, cc)
	}
	b.dialEnded(be)
	b.unlock()
	if err == nil && !known {
		_ = cc.Close()
	}
}

// dialEnded ends the wait for the connection that was coming up; it wants the lock.
func (b *Transport) dialEnded(be *backend) {
	close(be.dialing)
	be.dialing = nil
}

// acquireHTTP2 gives a connection with a stream that is reserved, or the result of an attempt that gets none.
func (b *Transport) acquireHTTP2(ctx context.Context, a *executor.Attempt) (*http2.ClientConn, string, decision.Result) {
	for waited := false; ; waited = true {
		be, cc, coming, mine := b.pickHTTP2(a.Backend)
		switch {
		case cc != nil:
			return cc, be.destination.Addr, 0
		case coming == nil: // all streams are taken, or it drains: the decision module may choose another backend
			return nil, "", decision.NotSent
		case waited && mine: // the one that was waited for has failed
			b.mu.Lock()
			b.dialEnded(be)
			b.unlock()
			return nil, "", decision.ConnectFailed
		case mine:
			go b.dialHTTP2(a.Backend, be)
		}
		select {
		case <-coming:
		case <-ctx.Done():
			return nil, "", decision.NotSent
		}
	}
}

// roundTripHTTP2 makes an attempt over HTTP/2.
func (b *Transport) roundTripHTTP2(a *executor.Attempt, req *Request) executor.Response {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if a.OnCancel(cancel) != nil {
		return responseWith(decision.NotSent)
	}
	defer func() { _ = a.OnCancel(nil) }()
	cc, addr, result := b.acquireHTTP2(ctx, a)
	if cc == nil {
		return responseWith(result)
	}
	x := &exchange{transport: b, attempt: a, request: req, addr: addr, hasBuffered: func() bool { return false }, progress: http1proxy.Progress{HeadBytes: 1}}
	hr, err := x.newHTTP2Request(ctx, addr)
	if err != nil || a.SendForbidden() {
		go shutdownConn(cc) // what was reserved on it is given back by nothing else
		return responseWith(decision.NotSent)
	}
	var wrote atomic.Bool
	infos := 0
	hr = hr.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { wrote.Store(true) },
		WroteHeaders:     func() { wrote.Store(true) },
		Got1xxResponse: func(status int, h textproto.MIMEHeader) error {
			if infos++; infos > maxInformational {
				return errTooManyInformational
			}
			if req.Sink != nil && status != http.StatusContinue {
				req.Sink.WriteInformational(status, http.Header(h))
			}
			return nil
		}}))
	res, err := cc.RoundTrip(hr)
	if wrote.Load() {
		x.progress.WrittenBytes = 1
	}
	if err != nil {
		return x.failureHTTP2(err)
	}
	defer res.Body.Close()
	if req.Method == http.MethodHead || res.StatusCode == http.StatusNoContent || res.StatusCode == http.StatusNotModified {
		res.Body = http.NoBody // which x/net has a value of its own for
	}
	r, _ := x.handleResponse(res)
	return r
}

// newHTTP2Request makes the request as x/net wants it.
func (x *exchange) newHTTP2Request(ctx context.Context, addr string) (*http.Request, error) {
	h, err := textproto.NewReader(bufio.NewReader(io.MultiReader(bytes.NewReader(x.request.HeaderBlock), strings.NewReader("\r\n")))).ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	h.Del("Connection")
	if x.request.RemainingTimeoutHeader != "" {
		h.Set(x.request.RemainingTimeoutHeader, http1proxy.FormatSeconds(time.Until(x.attempt.Deadline)))
	}
	host, scheme := x.request.Host, "http"
	if x.transport.config.RewriteHost != nil {
		host = x.transport.config.RewriteHost(addr)
	}
	if x.transport.config.TLS != nil {
		scheme = "https"
	}
	if _, told := h["User-Agent"]; !told {
		h["User-Agent"] = []string{""} // else x/net says its own
	}
	r := &http.Request{Method: x.request.Method, URL: &url.URL{Scheme: scheme, Host: host, Opaque: "//" + host + x.request.Target}, Host: host, Header: http.Header(h),
		Proto: "HTTP/2.0", ProtoMajor: 2, Trailer: x.request.Trailer}
	if len(x.request.Body) > 0 || len(x.request.Trailer) > 0 {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(x.request.Body)), int64(len(x.request.Body))
		if len(x.request.Trailer) > 0 {
			r.ContentLength = -1
		}
	} else if r.Method == "POST" || r.Method == "PUT" || r.Method == "PATCH" {
		r.Body = http.NoBody
	}
	return r.WithContext(ctx), nil
}

// failureHTTP2 says what an error of a stream proves. A stream that the backend refused, or that is beyond the last one it says it looked at, was
// not acted on (RFC 9113, 8.7); what x/net has no value for counts as broken.
func (x *exchange) failureHTTP2(err error) executor.Response {
	stream, is := errors.AsType[http2.StreamError](err)
	switch {
	case x.attempt.CancelCause() != nil:
	case is && stream.Code == http2.ErrCodeRefusedStream, strings.Contains(err.Error(), "graceful shutdown GOAWAY"):
		return responseWith(decision.Rejected)
	case is && stream.Code == http2.ErrCodeProtocol:
		return responseWith(x.progress.Result(http1proxy.MalformedResponse))
	default:
		return responseWith(x.progress.Result(http1proxy.ConnectionLost))
	}
	return x.failure(err)
}
