package grpcproxy

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/internal/grpctransport"
)

// PushbackTrailer is the trailer that tells a client how many milliseconds to wait before it retries a
// call. A negative value means that the client must not retry (gRFC A6).
const PushbackTrailer = "grpc-retry-pushback-ms"

// noRetry is the value of PushbackTrailer that forbids retries.
const noRetry = "-1"

// statusFor returns the status and trailers of a call for which the Gateway returned err. reply is the
// backend's error response to the last attempt, or nil. The value of PushbackTrailer, called pushback
// here, tells the client whether it may retry:
//
//   - RESOURCE_EXHAUSTED with no pushback or one of at least 0: the decision engine rejected the call.
//     Retrying it is safe, after the pushback if there is one.
//   - UNAVAILABLE with no pushback: this gateway accepts no calls now, but another may. Retrying at once
//     is safe.
//   - Any status with a pushback of -1: the call may have been executed, or cannot succeed.
//
// A call that failed with a backend's error gets the status of that error, but UNKNOWN if the class is
// not decision.Idempotent and clients' usual retry policies retry calls that end with that status.
func statusFor(err error, reply *grpctransport.Response, idempotency decision.Idempotency) (*status.Status,
	metadata.MD) {
	var rejected *pumicecroft.RejectedError
	noRetryTrailer := metadata.Pairs(PushbackTrailer, noRetry)
	switch {
	case errors.As(err, &rejected):
		return rejectionStatus(rejected, err, reply)
	case errors.Is(err, pumicecroft.ErrRejected): // the Gateway is closed or has too many open requests
		return status.New(codes.Unavailable, err.Error()), nil
	case errors.Is(err, pumicecroft.ErrBodyTooLarge):
		return status.New(codes.ResourceExhausted, err.Error()), noRetryTrailer
	case errors.Is(err, pumicecroft.ErrBadRequest):
		return status.New(codes.InvalidArgument, err.Error()), noRetryTrailer
	case errors.Is(err, pumicecroft.ErrReplayed):
		return status.New(codes.AlreadyExists, err.Error()), noRetryTrailer
	case errors.Is(err, pumicecroft.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return status.New(codes.DeadlineExceeded, err.Error()), noRetryTrailer
	case errors.Is(err, context.Canceled):
		return status.New(codes.Canceled, err.Error()), noRetryTrailer
	case reply != nil:
		return backendErrorStatus(reply, idempotency)
	}
	return status.New(codes.Unknown, err.Error()), noRetryTrailer
}

// rejectionStatus returns the status of a call that the decision engine rejected.
func rejectionStatus(rejected *pumicecroft.RejectedError, err error,
	reply *grpctransport.Response) (*status.Status, metadata.MD) {
	text := err.Error()
	if reply != nil {
		text = fmt.Sprintf("%s; last response: status %d: %s", text, reply.Code, decodeMessage(reply.Message))
	}
	st := status.New(codes.ResourceExhausted, text)
	if rejected.RetryAfter <= 0 {
		return st, nil
	}
	info := &errdetails.RetryInfo{RetryDelay: durationpb.New(rejected.RetryAfter)}
	if detailed, err := st.WithDetails(info); err == nil {
		st = detailed
	}
	ms := (rejected.RetryAfter + time.Millisecond - 1).Milliseconds() // rounded up
	return st, metadata.Pairs(PushbackTrailer, strconv.FormatInt(ms, 10))
}

// backendErrorStatus returns the status and trailers of a call that failed with a backend's error.
func backendErrorStatus(reply *grpctransport.Response, idempotency decision.Idempotency) (*status.Status,
	metadata.MD) {
	code, md := codes.Code(reply.Code), toMetadata(reply.Trailer)
	if idempotency != decision.Idempotent && clientsRetry(code) {
		code = codes.Unknown
		delete(md, "grpc-status-details-bin") // it contains the original status code
	}
	md.Set(PushbackTrailer, noRetry)
	return status.New(code, decodeMessage(reply.Message)), md
}

// clientsRetry reports whether clients' usual retry policies retry a call that ended with code c.
func clientsRetry(c codes.Code) bool {
	switch c {
	case codes.Unavailable, codes.ResourceExhausted, codes.Aborted, codes.Internal, codes.DeadlineExceeded:
		return true
	}
	return false
}

// decodeMessage decodes a percent-encoded grpc-message. It keeps invalid escapes as they are, as the
// protocol requires, and replaces invalid UTF-8.
func decodeMessage(text string) string {
	if !strings.Contains(text, "%") {
		return strings.ToValidUTF8(text, "\ufffd")
	}
	var b strings.Builder
	for i := 0; i < len(text); i++ {
		if text[i] == '%' && i+2 < len(text) {
			if c, err := strconv.ParseUint(text[i+1:i+3], 16, 8); err == nil {
				b.WriteByte(byte(c))
				i += 2
				continue
			}
		}
		b.WriteByte(text[i])
	}
	return strings.ToValidUTF8(b.String(), "\ufffd")
}
