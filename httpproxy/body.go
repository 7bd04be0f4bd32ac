package httpproxy

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Errors of readBody. Clients receive their texts as the detail of a Problem.
var (
	errTruncatedBody   = fmt.Errorf("%w: incomplete body", errMalformedRequest)
	errBodyReadTimeout = errors.New("the body was not received in time")
	errBodyTooLarge    = errors.New("the body is larger than the route allows")
	errNoBodyMemory    = errors.New("no memory for the body")
)

// firstBodyBuffer is the size of the first buffer for a body of unknown length, in bytes.
const firstBodyBuffer = 4 << 10

// readBody reads a request's body, of maxBytes at most, within Config.BodyReadTimeout and
// Config.MaxBodyMemory. reserved is the number of bytes added to bodyMemoryUsed, which the caller
// must subtract again when it no longer needs the body, also after an error.
func (p *Proxy) readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) (
	body []byte, reserved int64, err error) {
	if r.ContentLength > maxBytes {
		return nil, 0, errBodyTooLarge
	}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, 0, nil
	}
	control := http.NewResponseController(w)
	hasDeadline := control.SetReadDeadline(time.Now().Add(p.config.BodyReadTimeout)) == nil
	body, reserved, err = p.readAll(r, maxBytes)
	if err != nil {
		return nil, reserved, err
	}
	if hasDeadline {
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, reserved, nil
}

// readAll reads the body into a buffer, and reserves memory whenever the buffer grows.
func (p *Proxy) readAll(r *http.Request, maxBytes int64) (body []byte, reserved int64, err error) {
	grow := int64(firstBodyBuffer)
	if r.ContentLength > 0 {
		grow = r.ContentLength
	}
	for err == nil {
		if len(body) == cap(body) && int64(len(body)) != r.ContentLength {
			size := int64(len(body))
			grow = min(max(grow, size), maxBytes+1-size)
			reserved += grow
			if p.bodyMemoryUsed.Add(grow) > p.config.MaxBodyMemory {
				return nil, reserved, errNoBodyMemory
			}
			body = append(make([]byte, 0, size+grow), body...)
		}
		free := body[len(body):cap(body)]
		if len(free) == 0 { // the body is complete: the next read returns io.EOF and sets the trailers
			free = make([]byte, 1)
		}
		var n int
		n, err = r.Body.Read(free)
		body = body[:min(len(body)+n, cap(body))]
		if int64(len(body)) > maxBytes {
			return nil, reserved, errBodyTooLarge
		}
	}
	if err == io.EOF && (r.ContentLength < 0 || int64(len(body)) == r.ContentLength) {
		return body, reserved, nil
	}
	if isTimeout(err) {
		return nil, reserved, errBodyReadTimeout
	}
	return nil, reserved, fmt.Errorf("%w: %w", errTruncatedBody, err)
}

// isTimeout reports whether an error is a timeout, such as of a read past its deadline.
func isTimeout(err error) bool {
	timeout, ok := errors.AsType[interface {
		error
		Timeout() bool
	}](err)
	return ok && timeout.Timeout()
}
