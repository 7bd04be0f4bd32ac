package httpproxytransport

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"pumicecroft/decision"
	"pumicecroft/internal/executor"
	"pumicecroft/internal/http1proxy"
)

// copyBufferBytes is the size of a buffer for streaming a body.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// lengthBody is a response body of known length.
type lengthBody struct {
	reader    io.Reader
	remaining int64
}

func (b *lengthBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	if err == io.EOF && b.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (b *lengthBody) Close() error { return nil }

// readBody reads a response's body completely. The error is errResponseTooLarge if the body exceeds
// maxBytes.
func readBody(res *http.Response, response *Response, maxBytes int64) error {
	if res.ContentLength > maxBytes {
		return errResponseTooLarge
	}
	var err error
	if res.ContentLength >= 0 {
		response.Body = make([]byte, res.ContentLength)
		_, err = io.ReadFull(res.Body, response.Body)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err == nil {
			err = readEnd(res.Body)
		}
	} else {
		response.Body, err = io.ReadAll(io.LimitReader(res.Body, maxBytes+1))
		if err == nil && int64(len(response.Body)) > maxBytes {
			return errResponseTooLarge
		}
	}
	response.Trailer = res.Trailer
	return err
}

// readEnd reads the end of a body all of whose bytes have been read. The trailers are known only then: over
// HTTP/2 they follow a body of known length too.
func readEnd(body io.Reader) error {
	_, err := io.ReadFull(body, make([]byte, 1))
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err == nil:
		return errResponseTooLong
	}
	return err
}

// readBodyPrefix reads up to maxBytes+1 bytes of a body of unknown length. It reports whether the body
// is complete, which means that it has maxBytes at most.
func readBodyPrefix(res *http.Response, response *Response, maxBytes int64) (complete bool, err error) {
	response.Body, err = io.ReadAll(io.LimitReader(res.Body, maxBytes+1))
	if err != nil || int64(len(response.Body)) > maxBytes {
		return false, err
	}
	response.Trailer = res.Trailer
	return true, nil
}

// streamBody forwards a response as it arrives, if Attempt.StartResponse allows it. It returns out
// when the response is complete.
func (x *exchange) streamBody(res *http.Response, response *Response, out executor.Response) (executor.Response, bool) {
	if !x.attempt.StartResponse() {
		return responseWith(decision.Cancelled), false
	}
	response.Streamed = true
	sink := x.request.Sink
	sink.WriteHeader(response, x.attempt.Deadline)
	if err := x.writePrefix(response); err != nil {
		return x.clientFailed(), false
	}
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	remaining := res.ContentLength // negative: unknown
	for {
		n, err := res.Body.Read(*buffer)
		remaining -= int64(n)
		if n > 0 {
			flush := err == nil && remaining != 0 && !x.hasBuffered()
			if err := sink.WriteBody((*buffer)[:n], flush); err != nil {
				return x.clientFailed(), false
			}
		}
		if err == io.EOF {
			response.Trailer = res.Trailer
			sink.WriteTrailer(res.Trailer)
			return out, !res.Close
		}
		if err != nil {
			return x.logFailure(err), false
		}
	}
}

// writePrefix forwards the part of the body that readBodyPrefix has read, and flushes the head if no
// more of the body has arrived.
func (x *exchange) writePrefix(response *Response) error {
	sink := x.request.Sink
	if !x.hasBuffered() {
		if err := sink.WriteBody(nil, true); err != nil {
			return err
		}
	}
	if len(response.Body) == 0 {
		return nil
	}
	err := sink.WriteBody(response.Body, false)
	response.Body = nil
	return err
}

// clientFailed returns the result of an attempt whose response could not be written to the client.
func (x *exchange) clientFailed() executor.Response {
	return responseWith(x.progress.Result(http1proxy.ClientWriteFailed))
}
