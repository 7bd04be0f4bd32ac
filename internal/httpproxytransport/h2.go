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

// transport makes the connections; it dials none. What is on one is x/net's business; which one a request takes, and what an end proves, is
// decided here: its Transport would send some requests again by itself, a ClientConn sends each once.
func (b *Backends) transport() *http2.Transport {
	return &http2.Transport{AllowHTTP: true, DisableCompression: true, MaxHeaderListSize: uint32(b.config.MaxHead), StrictMaxConcurrentStreams: true}
}

// leaveAll lets the connections of a backend end when what is on them has; it wants the lock.
func (b *Backends) leaveAll(be *backend) {
	for _, cc := range be.h2 {
		go leave(cc)
	}
	be.h2 = nil
}

// leave takes nothing more and closes when all has ended.
func leave(cc *http2.ClientConn) { _ = cc.Shutdown(context.Background()) }

// pick gives a connection with a stream that is reserved, or one that is coming up; mine: it is to be dialled.
func (b *Backends) pick(id decision.BackendID) (be *backend, cc *http2.ClientConn, coming chan struct{}, mine bool) {
	b.mu.Lock()
	defer b.unlock()
	be = b.byID[id]
	if be == nil || be.state != decision.Ready {
		return nil, nil, nil, false
	}
	be.h2 = slices.DeleteFunc(be.h2, func(cc *http2.ClientConn) bool {
		s := cc.State()
		old := s.StreamsActive+s.StreamsReserved+s.StreamsPending == 0 && !s.LastIdle.IsZero() && time.Since(s.LastIdle) > b.config.Idle*6/10 // the backend may be closing it
		if old {
			go leave(cc)
		}
		return old || s.Closed || s.Closing
	})
	for _, cc := range be.h2 {
		if cc.ReserveNewRequest() {
			return be, cc, nil, false
		}
	}
	if be.coming != nil {
		return be, nil, be.coming, false
	}
	if len(be.h2) >= b.config.H2Conns {
		return be, nil, nil, false
	}
	be.coming = make(chan struct{})
	return be, nil, be.coming, true
}

// dialH2 brings a connection up for all that wait for it.
func (b *Backends) dialH2(id decision.BackendID, be *backend) {
	ctx, cancel := context.WithTimeout(context.Background(), b.config.Connect)
	defer cancel()
	nc, _, err := b.open(ctx, be.place.Addr)
	var cc *http2.ClientConn
	if err == nil {
		if cc, err = b.transport().NewClientConn(nc); err != nil {
			nc.Close()
		}
	}
	b.mu.Lock()
	known := b.byID[id] == be
	if err == nil && known {
		be.h2 = append(be.h2, cc)
	}
	b.came(be)
	b.unlock()
	if err == nil && !known {
		_ = cc.Close()
	}
}

// came ends the wait for the connection that was coming up; it wants the lock.
func (b *Backends) came(be *backend) {
	close(be.coming)
	be.coming = nil
}

// connH2 gives a connection with a stream that is reserved, or the result of an attempt that gets none.
func (b *Backends) connH2(ctx context.Context, a *executor.Attempt) (*http2.ClientConn, string, decision.Result) {
	for waited := false; ; waited = true {
		be, cc, coming, mine := b.pick(a.Backend)
		switch {
		case cc != nil:
			return cc, be.place.Addr, 0
		case coming == nil: // all streams are taken, or it drains: the decision module may choose another backend
			return nil, "", decision.NotSent
		case waited && mine: // the one that was waited for has failed
			b.mu.Lock()
			b.came(be)
			b.unlock()
			return nil, "", decision.ConnectFailed
		case mine:
			go b.dialH2(a.Backend, be)
		}
		select {
		case <-coming:
		case <-ctx.Done():
			return nil, "", decision.NotSent
		}
	}
}

// carryH2 makes an attempt over HTTP/2.
func (b *Backends) carryH2(a *executor.Attempt, req *Request) executor.Response {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if a.OnCancel(cancel) != nil {
		return reply(decision.NotSent)
	}
	defer func() { _ = a.OnCancel(nil) }()
	cc, addr, result := b.connH2(ctx, a)
	if cc == nil {
		return reply(result)
	}
	x := &exchange{b: b, a: a, req: req, addr: addr, here: func() bool { return false }, at: http1proxy.Progress{Head: 1}}
	hr, err := x.requestH2(ctx, addr)
	if err != nil || a.SendForbidden() {
		go leave(cc) // what was reserved on it is given back by nothing else
		return reply(decision.NotSent)
	}
	var wrote atomic.Bool
	infos := 0
	hr = hr.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { wrote.Store(true) },
		WroteHeaders:     func() { wrote.Store(true) },
		Got1xxResponse: func(status int, h textproto.MIMEHeader) error {
			if infos++; infos > mostInfos {
				return errMany
			}
			if req.Sink != nil && status != http.StatusContinue {
				req.Sink.Info(status, http.Header(h))
			}
			return nil
		}}))
	res, err := cc.RoundTrip(hr)
	if wrote.Load() {
		x.at.Wrote = 1
	}
	if err != nil {
		return x.failedH2(err)
	}
	defer res.Body.Close()
	if req.Method == http.MethodHead || res.StatusCode == http.StatusNoContent || res.StatusCode == http.StatusNotModified {
		res.Body = http.NoBody // which x/net has a value of its own for
	}
	r, _ := x.answer(res)
	return r
}

// requestH2 makes the request as x/net wants it.
func (x *exchange) requestH2(ctx context.Context, addr string) (*http.Request, error) {
	h, err := textproto.NewReader(bufio.NewReader(io.MultiReader(bytes.NewReader(x.req.Fields), strings.NewReader("\r\n")))).ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	h.Del("Connection")
	if x.req.LeftIn != "" {
		h.Set(x.req.LeftIn, http1proxy.Seconds(time.Until(x.a.Deadline)))
	}
	host, scheme := x.req.Host, "http"
	if x.b.config.HostOf != nil {
		host = x.b.config.HostOf(addr)
	}
	if x.b.config.TLS != nil {
		scheme = "https"
	}
	if _, told := h["User-Agent"]; !told {
		h["User-Agent"] = []string{""} // else x/net says its own
	}
	r := &http.Request{Method: x.req.Method, URL: &url.URL{Scheme: scheme, Host: host, Opaque: "//" + host + x.req.Target}, Host: host, Header: http.Header(h),
		Proto: "HTTP/2.0", ProtoMajor: 2, Trailer: x.req.Trailer}
	if len(x.req.Body) > 0 || len(x.req.Trailer) > 0 {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(x.req.Body)), int64(len(x.req.Body))
		if len(x.req.Trailer) > 0 {
			r.ContentLength = -1
		}
	} else if r.Method == "POST" || r.Method == "PUT" || r.Method == "PATCH" {
		r.Body = http.NoBody
	}
	return r.WithContext(ctx), nil
}

// failedH2 says what an error of a stream proves. A stream that the backend refused, or that is beyond the last one it says it looked at, was
// not acted on (RFC 9113, 8.7); what x/net has no value for counts as broken.
func (x *exchange) failedH2(err error) executor.Response {
	stream, is := errors.AsType[http2.StreamError](err)
	switch {
	case x.a.CancelCause() != nil:
	case is && stream.Code == http2.ErrCodeRefusedStream, strings.Contains(err.Error(), "graceful shutdown GOAWAY"):
		return reply(decision.Rejected)
	case is && stream.Code == http2.ErrCodeProtocol:
		return reply(x.at.Result(http1proxy.Spoilt))
	default:
		return reply(x.at.Result(http1proxy.Ended))
	}
	return x.failed(err)
}
