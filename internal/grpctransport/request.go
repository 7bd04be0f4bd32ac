package grpctransport

import (
	"context"
	"fmt"
	"time"

	"pumicecroft/idempotency"
	"pumicecroft/internal/grpcproto"
	"pumicecroft/membership"
)

// Field is one field of metadata, with its name in lower case.
type Field struct{ Name, Value string }

// Request is the payload of an executor.Attempt: one client's call, for all of its attempts.
type Request struct {
	// Method is the full name, such as /package.Service/Method.
	Method string
	// Metadata is forwarded metadata, without the fields that gRPC itself uses.
	Metadata []Field
	// Body is the call's message with its prefix.
	Body []byte
	// Sink receives the response of a server-streaming call. nil means a unary call.
	Sink Sink
}

// Sink receives a streamed response as it arrives. It is called by one goroutine at a time, after
// Attempt.StartResponse allowed the response to begin, so by one attempt of a request alone.
type Sink interface {
	// WriteHeader is called once, before the first message.
	WriteHeader(fields []Field)
	// WriteMessage takes a message with its prefix, and may keep it. It blocks while the client does
	// not read, until ctx ends; what the backend may send meanwhile is limited by the stream's
	// window. An error ends the attempt.
	WriteMessage(ctx context.Context, message []byte) error
}

// Response is a backend's response.
type Response struct {
	Code            grpcproto.Code
	Message         string // grpc-message as it came, percent-encoded
	Header, Trailer []Field
	Body            []byte // the message of a unary call, with its prefix

	complete   bool   // the backend has ended the stream
	usage      string // the customer's usage, as the backend reported it; empty: it did not
	loadReport string // the backend's load, as it reported it; empty: it did not
}

// Protocol returns the protocol of the backends that the call may go to.
func (r *Request) Protocol() string { return membership.ProtocolGRPC }

// DigestParts returns what tells a unary call apart from others with its idempotency key, and nil for
// a streaming call, whose response is not retained. Metadata is not part of it: a client's retry has
// other metadata.
func (r *Request) DigestParts() [][]byte {
	if r.Sink != nil {
		return nil
	}
	return [][]byte{[]byte(r.Method), r.Body}
}

// EncodeResponse returns the stored form of a backend's response.
func (r *Request) EncodeResponse(reply any) (idempotency.Response, error) {
	response := reply.(*Response)
	body, err := encodeStored(response)
	return idempotency.Response{Status: int(response.Code), ContentType: "application/grpc", Body: body}, err
}

// DecodeResponse returns the response of which EncodeResponse made the stored form.
func (r *Request) DecodeResponse(stored idempotency.Response) (any, error) {
	response, err := decodeStored(stored.Body)
	if err != nil {
		return nil, fmt.Errorf("grpctransport: stored response: %w", err)
	}
	return response, nil
}

// headerFields returns the header of the request's stream.
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
