package grpcproxy

import (
	"context"
	"encoding/base64"
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

// PushbackTrailer is the trailer by which a server says when the same call may be made again, in whole milliseconds, or by a
// number below 0 that it should not be (gRFC A6).
const PushbackTrailer = "grpc-retry-pushback-ms"

// statusFor is what a client is told when the Door's word on its call was err. reply, if there is one, is what a backend
// answered in the attempt that the call failed by.
//
// RESOURCE_EXHAUSTED with a pushback of 0 or more: the decision module refused; making the call again then is harmless.
// UNAVAILABLE: this door takes no calls now, another may; making it again at once is harmless. Everything else that ends
// here carries a pushback of -1: it may have run, or can never succeed. What failed by a backend's error has that error's
// status, but where clients' usual policies would make a keyed or unsafe call again by it.
func statusFor(err error, reply *grpctransport.Response, effect decision.Idempotency) (*status.Status, metadata.MD) {
	var refused *pumicecroft.RejectedError
	never := metadata.Pairs(PushbackTrailer, "-1")
	switch {
	case errors.As(err, &refused):
		text := err.Error()
		if reply != nil {
			text = fmt.Sprintf("%s; the last answer was status %d: %s", text, reply.Code, decodeMessage(reply.Message))
		}
		st := status.New(codes.ResourceExhausted, text)
		if refused.RetryAfter <= 0 {
			return st, nil
		}
		ms := (refused.RetryAfter + time.Millisecond - 1).Milliseconds()
		if more, err := st.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(refused.RetryAfter)}); err == nil {
			st = more
		}
		return st, metadata.Pairs(PushbackTrailer, strconv.FormatInt(ms, 10))
	case errors.Is(err, pumicecroft.ErrRejected): // closed, or full
		return status.New(codes.Unavailable, err.Error()), nil
	case errors.Is(err, pumicecroft.ErrBodyTooLarge):
		return status.New(codes.ResourceExhausted, err.Error()), never
	case errors.Is(err, pumicecroft.ErrBadRequest):
		return status.New(codes.InvalidArgument, err.Error()), never
	case errors.Is(err, pumicecroft.ErrReplayed):
		return status.New(codes.AlreadyExists, err.Error()), never
	case errors.Is(err, pumicecroft.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return status.New(codes.DeadlineExceeded, err.Error()), never
	case errors.Is(err, context.Canceled):
		return status.New(codes.Canceled, err.Error()), never
	case reply != nil:
		code, md := codes.Code(reply.Code), toMetadata(reply.Trailer)
		if effect != decision.Idempotent && clientsRetry(code) {
			code = codes.Unknown
			delete(md, "grpc-status-details-bin") // it holds the code again
		}
		md.Set(PushbackTrailer, "-1")
		return status.New(code, decodeMessage(reply.Message)), md
	}
	return status.New(codes.Unknown, err.Error()), never
}

// clientsRetry tells whether clients' usual policies make a call again that ended so.
func clientsRetry(c codes.Code) bool {
	switch c {
	case codes.Unavailable, codes.ResourceExhausted, codes.Aborted, codes.Internal, codes.DeadlineExceeded:
		return true
	}
	return false
}

// decodeMessage is a grpc-message as it was meant: it comes percent-encoded, and what can't be read so stays as it is, as the
// protocol has it.
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

// hopByHop tells whether metadata is between two neighbours only, and so goes no further.
func hopByHop(name string) bool {
	switch name {
	case "content-type", "user-agent", "te", "host", "connection", "proxy-connection", "keep-alive", "transfer-encoding", "upgrade", "trailer":
		return true
	}
	return strings.HasPrefix(name, ":") || strings.HasPrefix(name, "grpc-") && name != "grpc-trace-bin" && name != "grpc-tags-bin" &&
		name != "grpc-status-details-bin"
}

// toMetadata are a backend's fields as metadata, without those between it and us.
func toMetadata(fields []grpctransport.Field) metadata.MD {
	md := metadata.MD{}
	for _, f := range fields {
		if hopByHop(f.Name) {
			continue
		}
		if !strings.HasSuffix(f.Name, "-bin") {
			md.Append(f.Name, f.Value)
			continue
		}
		for v := range strings.SplitSeq(f.Value, ",") { // as the protocol has it for binary metadata
			if b, err := base64.RawStdEncoding.DecodeString(strings.TrimRight(v, "=")); err == nil {
				md.Append(f.Name, string(b))
			}
		}
	}
	return md
}

// toFields are a call's metadata as they go on to backends.
func toFields(md metadata.MD) []grpctransport.Field {
	out := make([]grpctransport.Field, 0, len(md)+1)
	for name, values := range md {
		if hopByHop(name) {
			continue
		}
		for _, v := range values {
			if strings.HasSuffix(name, "-bin") {
				v = base64.RawStdEncoding.EncodeToString([]byte(v))
			}
			out = append(out, grpctransport.Field{Name: name, Value: v})
		}
	}
	return out
}
