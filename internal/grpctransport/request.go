package grpctransport

import (
	"context"
	"fmt"
	"time"

	"pumicecroft/idempotency"
	"pumicecroft/internal/grpcproto"
	"pumicecroft/membership"
)

// Field is one metadata field. Its name is in lower case.
type Field struct{ Name, Value string }

// Request is a client's call. It is the payload of all executor.Attempts of the call.
type Request struct {
	// Method is the full name of the method, such as /package.Service/Method.
	Method string
	// Metadata is sent to the backend in addition to the fields that gRPC itself uses.
	Metadata []Field
	// Body is the request message with its prefix.
	Body []byte
	// Sink receives the response of a server-streaming call. nil means a unary call.
	Sink Sink
}

// Sink receives a streamed response as it arrives. It is called by one goroutine at a time, and only
// after Attempt.StartResponse has allowed the response to begin. So only one attempt of a request uses
// it.
type Sink interface {
	// WriteHeader is called once, before the first message.
	WriteHeader(fields []Field)
	// WriteMessage sends a message, which includes its prefix, and may retain it. It blocks while the
	// client does not read, until ctx ends. Meanwhile the stream's window limits what the backend may
	// send. An error ends the attempt.
	WriteMessage(ctx context.Context, message []byte) error
}

// Response is a backend's response.
type Response struct {
	Code            grpcproto.Code
	Message         string // grpc-message, still percent-encoded
	Header, Trailer []Field
	Body            []byte // the message of a unary call, with its prefix

	complete   bool   // the backend has ended the stream
	usage      string // the customer's usage as reported by the backend, or empty
	loadReport string // the backend's load as reported by the backend, or empty
}

// Protocol returns the protocol that a backend must speak to receive the call.
func (r *Request) Protocol() string { return membership.ProtocolGRPC }

// DigestParts returns the parts of a unary call by which the gateway detects a different call with the
// same idempotency key. It returns nil for a streaming call, whose response is not retained. Metadata is
// not included because it differs between a client's retries.
func (r *Request) DigestParts() [][]byte {
	if r.Sink != nil {
		return nil
	}
	return [][]byte{[]byte(r.Method), r.Body}
}

// EncodeResponse encodes a backend's response, a *Response, for storage.
func (r *Request) EncodeResponse(reply any) (idempotency.Response, error) {
	response := reply.(*Response)
	body, err := encodeStored(response)
	return idempotency.Response{Status: int(response.Code), ContentType: "application/grpc", Body: body}, err
}

// DecodeResponse decodes a response that EncodeResponse has encoded.
func (r *Request) DecodeResponse(stored idempotency.Response) (any, error) {
	response, err := decodeStored(stored.Body)
	if err != nil {
		return nil, fmt.Errorf("grpctransport: stored response: %w", err)
	}
	return response, nil
}

// headerFields returns the request headers, with timeout as the backend's deadline.
func (r *Request) headerFields(timeout time.Duration) []Field {
	return append([]Field{
		{":method", "POST"},
		{":scheme", "http"},
		{":path", r.Method},
		{":authority", "backend"},
		{"te", "trailers"},
		{"content-type", "application/grpc"},
		{"grpc-timeout", grpcproto.FormatTimeout(timeout)},
	}, r.Metadata...)
}
