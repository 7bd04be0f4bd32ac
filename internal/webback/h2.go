package webback

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
	"pumicecroft/internal/drive"
	"pumicecroft/internal/webwire"
)

// h2conn is an HTTP/2 connection. What is on it is x/net's business; which one a request takes, and what an end proves, is decided here: its
// Transport would send some requests again by itself, a ClientConn sends each once.
type h2conn struct{ cc *http2.ClientConn }

// transport makes the connections; it dials none.
func (b *Backends) transport() *http2.Transport {
	return &http2.Transport{AllowHTTP: true, DisableCompression: true, MaxHeaderListSize: uint32(b.config.MaxHead), StrictMaxConcurrentStreams: true}
}

// leaveAll lets the connections of a backend end when what is on them has; it wants the lock.
func (b *Backends) leaveAll(be *backend) {
	for _, c := range be.h2 {
		go c.leave()
	}
	be.h2 = nil
}

// leave takes nothing more and closes when all has ended.
func (c *h2conn) leave() { _ = c.cc.Shutdown(context.Background()) }

// pick gives a connection with a stream that is reserved, or one that is coming up; mine: it is to be dialled.
func (b *Backends) pick(id decision.BackendID) (be *backend, c *h2conn, coming chan struct{}, mine bool) {
	b.mu.Lock()
	defer b.unlock()
	be = b.byID[id]
	if be == nil || be.state != decision.Ready {
		return nil, nil, nil, false
	}
	be.h2 = slices.DeleteFunc(be.h2, func(c *h2conn) bool {
		s := c.cc.State()
		old := s.StreamsActive+s.StreamsReserved+s.StreamsPending == 0 && !s.LastIdle.IsZero() && time.Since(s.LastIdle) > b.config.Idle*6/10 // the backend may be closing it
		if old {
			go c.leave()
		}
		return old || s.Closed || s.Closing
	})
	for _, c := range be.h2 {
		if c.cc.ReserveNewRequest() {
			return be, c, nil, false
		}
	}
	if len(be.coming) > 0 {
		return be, nil, be.coming[0], false
	}
	if len(be.h2) >= b.config.H2Conns {
		return be, nil, nil, false
	}
	coming = make(chan struct{})
	be.coming = append(be.coming, coming)
	return be, nil, coming, true
}

// dialH2 brings a connection up for all that wait for it.
func (b *Backends) dialH2(be *backend, coming chan struct{}) {
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
	be.coming = slices.DeleteFunc(be.coming, func(c chan struct{}) bool { return c == coming })
	known := false
	for _, other := range b.byID {
		known = known || other == be
	}
	if err == nil && known {
		be.h2 = append(be.h2, &h2conn{cc})
	}
	b.unlock()
	if err == nil && !known {
		cc.Close()
	}
	close(coming)
}

// connH2 gives a connection with a stream that is reserved, or the result of an attempt that gets none.
func (b *Backends) connH2(ctx context.Context, a *drive.Attempt) (*h2conn, string, decision.Result) {
	for waited := false; ; waited = true {
		be, c, coming, mine := b.pick(a.Backend)
		switch {
		case c != nil:
			return c, be.place.Addr, 0
		case coming == nil: // all streams are taken, or it drains: the decision module may choose another backend
			return nil, "", decision.NotSent
		case waited && mine: // the one that was waited for has failed
			b.mu.Lock()
			be.coming = slices.DeleteFunc(be.coming, func(c chan struct{}) bool { return c == coming })
			b.unlock()
			close(coming)
			return nil, "", decision.NoConnection
		case mine:
			go b.dialH2(be, coming)
		}
		select {
		case <-coming:
		case <-ctx.Done():
			return nil, "", decision.NotSent
		}
	}
}

// carryH2 makes an attempt over HTTP/2.
func (b *Backends) carryH2(a *drive.Attempt, req *Request) drive.Reply {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if a.Wait(cancel) != nil {
		return reply(decision.NotSent)
	}
	defer a.Wait(nil)
	c, addr, result := b.connH2(ctx, a)
	if c == nil {
		return reply(result)
	}
	x := &exchange{b: b, a: a, req: req, addr: addr, here: func() bool { return false }, at: webwire.Progress{Head: 1}}
	hr, err := x.requestH2(ctx, addr)
	if err != nil || a.TooLate() {
		go c.leave() // what was reserved on it is given back by nothing else
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
	res, err := c.cc.RoundTrip(hr)
	if wrote.Load() {
		x.at.Wrote = 1
	}
	if err != nil {
		return x.failedH2(err)
	}
	defer res.Body.Close()
	x.at.Heard = true
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
		h.Set(x.req.LeftIn, webwire.Seconds(time.Until(x.a.Due)))
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
func (x *exchange) failedH2(err error) drive.Reply {
	stream, is := errors.AsType[http2.StreamError](err)
	switch {
	case x.a.Off() != nil:
	case is && stream.Code == http2.ErrCodeRefusedStream, strings.Contains(err.Error(), "graceful shutdown GOAWAY"):
		return reply(decision.Refused)
	case is && stream.Code == http2.ErrCodeProtocol:
		return reply(x.at.Result(webwire.Spoilt))
	default:
		return reply(x.at.Result(webwire.Ended))
	}
	return x.failed(err)
}
