package httpback

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/core"
	"pumicecroft/internal/drive"

	"golang.org/x/net/http/httpguts"
)

const (
	// An answer that has begun and does not end within answerTime is a spoilt one: backends write theirs at once.
	answerTime = 500 * time.Millisecond
	maxHead    = 16 << 10 // of an answer, 1xx answers ahead of it among it
)

// Check tells what of a request cannot stand on the wire as it is.
func (m *Request) Check() error {
	switch {
	case m.Method == "" || !httpguts.ValidHeaderFieldName(m.Method):
		return fmt.Errorf("the method %.20q", m.Method)
	case !strings.HasPrefix(m.Target, "/") || strings.ContainsFunc(m.Target, func(r rune) bool { return r <= ' ' || r == 0x7f }):
		return fmt.Errorf("the target %.40q", m.Target)
	case !httpguts.ValidHostHeader(m.Host):
		return fmt.Errorf("the host %.40q", m.Host)
	case !httpguts.ValidHeaderFieldValue(m.Key):
		return fmt.Errorf("the key %.40q", m.Key)
	case !httpguts.ValidHeaderFieldValue(m.ContentType):
		return fmt.Errorf("the content type %.40q", m.ContentType)
	case len(m.Body) > MaxBody:
		return fmt.Errorf("a body of %d bytes", len(m.Body))
	}
	return nil
}

// encode gives one attempt's request as it stands on the wire.
func (m *Request) encode(b []byte, left time.Duration) []byte {
	field := func(name, value string) {
		b = append(b, name...)
		b = append(b, value...)
		b = append(b, "\r\n"...)
	}
	b = append(b, m.Method...)
	b = append(b, ' ')
	b = append(b, m.Target...)
	field(" HTTP/1.1\r\nHost: ", m.Host)
	if m.HasID {
		b = append(b, "Request-Id: "...)
		b = appendHex(b, m.ID)
		b = append(b, "\r\n"...)
	}
	if m.Key != "" {
		field("Idempotency-Key: ", m.Key)
	}
	if m.ContentType != "" {
		field("Content-Type: ", m.ContentType)
	}
	b = append(b, "Request-Timeout: "...)
	b = strconv.AppendFloat(b, left.Seconds(), 'f', 3, 64)
	b = append(b, "\r\n"...)
	if len(m.Body) > 0 || m.Method != http.MethodGet {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(m.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, m.Body...)
}

// appendHex appends 16 hex digits, as ids are written.
func appendHex(b []byte, v uint64) []byte {
	const digits = "0123456789abcdef"
	for shift := 60; shift >= 0; shift -= 4 {
		b = append(b, digits[v>>shift&15])
	}
	return b
}

// errStale ends an attempt that is no longer wanted where its connection leads.
var errStale = errors.New("the backend may be sent nothing new")

// Carry makes one attempt and tells how it ended. It never sends twice.
func (b *Backends) Carry(a *drive.Attempt) drive.Reply {
	r := drive.Reply{Outcome: core.Outcome{Result: decision.NotSent}}
	at := b.ready(a.Backend)
	if at == nil {
		return r
	}
	m := a.Load.(*Request)
	c, err := b.write(a, at, m)
	if err != nil {
		off := a.Off()
		if off == nil && !errors.Is(err, errStale) && !errors.Is(err, errFull) && !errors.Is(err, syscall.EMFILE) {
			r.Result = decision.NoConnection
		}
		if errors.Is(off, drive.ErrCalledOff) {
			r.Result = decision.Cancelled
		}
		b.fault(at, err)
		return r
	}
	keep, err := b.read(a, c, m, &r)
	off := a.Wait(nil)
	if off == nil && err == nil && keep {
		b.pool.put(c)
	} else {
		b.pool.drop(c)
	}
	switch {
	case err == nil:
		return r
	case errors.Is(off, drive.ErrCalledOff):
		r.Result = decision.Cancelled
		return r
	case off != nil:
		r.Result = decision.TimedOut
		return r
	case errors.Is(err, errEnded):
		r.Result = decision.Broken
	default: // spoilt: the backend is as well as before, and the request may have run
		r.Result = decision.Unknown
	}
	b.fault(at, err)
	return r
}

func (b *Backends) fault(at *place, err error) {
	b.faultLog.Do(func() { b.log.Warn("an attempt broke", "backend", at.addr, "err", err) })
}

// write sends a request whole. An error means that its last byte was not written, so it has never run. A kept
// connection that turns out to be dead before then is made up for by a new one. The connection that comes back
// ends its waits when the attempt is called off.
func (b *Backends) write(a *drive.Attempt, at *place, m *Request) (*kept, error) {
	for fresh := false; ; fresh = true {
		c, err := b.connect(a, at, fresh)
		if err != nil {
			return nil, err
		}
		// A connection may have taken long to come up.
		if b.ready(a.Backend) != at {
			b.pool.drop(c)
			return nil, errStale
		}
		if err := a.Wait(func() { c.SetDeadline(time.Unix(1, 0)) }); err != nil {
			b.pool.drop(c)
			return nil, errStale
		}
		c.text = m.encode(c.text[:0], time.Until(a.Due))
		_, err = c.Write(c.text)
		if cap(c.text) > keepText {
			c.text = nil
		}
		if err == nil {
			return c, nil
		}
		off := a.Wait(nil)
		b.pool.drop(c)
		if !c.used || off != nil {
			return nil, err
		}
	}
}

// keepText is the most memory that a kept connection holds for the text of requests.
const keepText = 2 << 10

// connect gives a connection, kept or new. A new one is waited for until the attempt is called off.
func (b *Backends) connect(a *drive.Attempt, at *place, fresh bool) (*kept, error) {
	c, err := b.pool.reserve(at, fresh)
	if c != nil || err != nil {
		return c, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := a.Wait(cancel); err != nil {
		b.pool.release()
		return nil, errStale
	}
	c, err = b.pool.open(ctx, at)
	a.Wait(nil)
	return c, err
}

var (
	errEnded  = errors.New("the connection ended before an answer")
	errLength = errors.New("the answer does not tell its length")
	errSwitch = errors.New("the answer switches protocols")
)

// read takes in a whole answer, and tells whether the backend leaves the connection open. An error means that
// there was no answer that can be used.
func (b *Backends) read(a *drive.Attempt, c *kept, m *Request, r *drive.Reply) (keep bool, err error) {
	c.bound.reset(maxHead, a)
	if _, err := c.r.Peek(1); err != nil {
		return false, fmt.Errorf("%w: %w", errEnded, err)
	}
	c.bound.begun = true
	if body, head, ok := plainAnswer(c.r); ok {
		if len(body) > 0 {
			c.bound.left = MaxBody
			if _, err := io.ReadFull(c.r, body); err != nil {
				return false, err
			}
		}
		r.Result, r.Body = decision.Answered, &Answer{ContentType: head.contentType, Body: body}
		b.told(r, head.use, head.load)
		c.bound.rest()
		return true, nil
	}
	asked := http.Request{Method: m.Method}
	res, err := http.ReadResponse(c.r, &asked)
	for err == nil && res.StatusCode < 200 && res.StatusCode != http.StatusSwitchingProtocols {
		res, err = http.ReadResponse(c.r, &asked)
	}
	if err != nil {
		return false, err
	}
	body, err := readAnswer(c, res)
	if err != nil {
		return false, err
	}
	switch {
	case res.StatusCode == http.StatusOK:
		r.Result, r.Body = decision.Answered, &Answer{ContentType: res.Header.Get("Content-Type"), Body: body}
	case (res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusGatewayTimeout) &&
		res.Header.Get("Not-Started") == "1":
		r.Result = decision.Refused
	default:
		r.Result = decision.AnsweredErr // it may have run
	}
	b.told(r, res.Header.Get("X-RateLimit-Used"), res.Header.Get("Server-Load"))
	c.bound.rest()
	return !res.Close, nil
}

// told takes the customer's use and the backend's load from an answer's head. What makes no sense says nothing.
func (b *Backends) told(r *drive.Reply, use, load string) {
	if v, ok := b.readings.Use(use); ok {
		r.HasUse, r.Use = true, v
	}
	r.Load = b.readings.Load(load)
}

// readAnswer reads an answer's body. One that only the connection's end would end can't be told from a cut one.
func readAnswer(c *kept, res *http.Response) ([]byte, error) {
	c.bound.left = 2 * MaxBody // chunks take more room than what is in them
	switch {
	case res.StatusCode == http.StatusSwitchingProtocols:
		return nil, errSwitch
	case res.ContentLength > MaxBody:
		return nil, errBig
	case res.ContentLength >= 0:
		body := make([]byte, res.ContentLength)
		_, err := io.ReadFull(res.Body, body)
		return body, err
	case len(res.TransferEncoding) == 0:
		return nil, errLength
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxBody+1))
	if err == nil && len(body) > MaxBody {
		err = errBig
	}
	return body, err
}
