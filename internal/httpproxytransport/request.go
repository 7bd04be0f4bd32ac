package httpproxytransport

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"pumicecroft/idempotency"
	"pumicecroft/internal/http1proxy"
)

// Request is the payload of an executor.Attempt. All attempts of a client's request share it.
type Request struct {
	http1proxy.Request
	// Service is the name of the service that the request is forwarded to.
	Service string
	// Statuses classify the response statuses of the service's backends.
	Statuses *http1proxy.Statuses
	// Sink receives a streamed response. nil means that the response is read completely, and has
	// MaxResponseBytes at most.
	Sink Sink
	// MaxResponseBytes limits a response that is read completely. It is unused if there is a Sink.
	MaxResponseBytes int
	// Digest has the parts of the request that must be equal in repeats with the same idempotency key.
	// nil means that the response is not retained.
	Digest [][]byte

	mu                sync.Mutex
	lastErrorResponse *Response
}

// Sink receives a response that is forwarded as it arrives. WriteHeader, WriteBody and WriteTrailer
// are called by one attempt alone, after Attempt.StartResponse allowed it; WriteInformational may be
// called by any attempt before that.
type Sink interface {
	// WriteInformational forwards a 1xx response.
	WriteInformational(status int, h http.Header)
	// WriteHeader begins the response. The attempt ends at deadline at the latest.
	WriteHeader(response *Response, deadline time.Time)
	// WriteBody forwards a part of the body. flush means that the next part has not arrived yet. An
	// error ends the attempt.
	WriteBody(data []byte, flush bool) error
	// WriteTrailer ends the response with the trailer fields, if there are any.
	WriteTrailer(h http.Header)
}

// Response is a backend's response.
type Response struct {
	Status   int
	Header   http.Header
	Trailer  http.Header // in a Sink's WriteHeader, the announced names without values
	Body     []byte
	Streamed bool // the body was written to the Sink
}

// Protocol returns the protocol of the backends that the request may be sent to.
func (r *Request) Protocol() string { return Protocol(r.Service) }

// DigestParts returns the parts of the request that must be equal in repeats with the same idempotency
// key; nil means that the response is not retained.
func (r *Request) DigestParts() [][]byte { return r.Digest }

// EncodeResponse encodes a backend's response for storage.
func (r *Request) EncodeResponse(reply any) (idempotency.Response, error) {
	response := reply.(*Response)
	body, err := encodeStored(response)
	return idempotency.Response{Status: response.Status, ContentType: "application/http", Body: body}, err
}

// DecodeResponse decodes a response that EncodeResponse has encoded.
func (r *Request) DecodeResponse(stored idempotency.Response) (any, error) {
	response, err := decodeStored(stored.Body)
	if err != nil {
		return nil, fmt.Errorf("httpproxytransport: stored response: %w", err)
	}
	return response, nil
}

// LastErrorResponse returns the last attempt's response if a backend rejected the request, or failed
// to process it, with one; otherwise nil.
func (r *Request) LastErrorResponse() *Response {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastErrorResponse
}

func (r *Request) setLastErrorResponse(response *Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastErrorResponse = response
}
