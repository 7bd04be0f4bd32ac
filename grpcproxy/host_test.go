package grpcproxy

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/internal/grpcproto"
	"pumicecroft/internal/grpctransport"
)

// authenticate is an interceptor of the host that sets the client's identity.
func authenticate(_ any, ss grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	ctx := pumicecroft.WithIdentity(ss.Context(), pumicecroft.Identity{Customer: 9, Plan: "shop"})
	return next(nil, streamWithIdentity{ss, ctx})
}

// streamWithIdentity is a ServerStream with another context.
type streamWithIdentity struct {
	grpc.ServerStream
	ctx context.Context
}

func (i streamWithIdentity) Context() context.Context { return i.ctx }

// In a host's own server the proxy must serve its methods, by its interceptor or as the handler for
// unknown services. The host's own services must still work, with decoded messages.
func TestProxyInHostServer(t *testing.T) {
	newHostServer := func(o ...grpc.ServerOption) *grpc.Server {
		s := grpc.NewServer(append(o, grpc.ForceServerCodecV2(Codec()))...)
		h := health.NewServer()
		h.SetServingStatus("mine", healthpb.HealthCheckResponse_SERVING)
		healthpb.RegisterHealthServer(s, h)
		return s
	}
	unknownHandler := func(_ any, _ grpc.ServerStream) error {
		return status.Error(codes.DataLoss, "the host's handler for unknown services")
	}
	for name, c := range map[string]struct {
		server     func(p *Proxy) *grpc.Server
		unknown    codes.Code // for a method that neither the proxy nor the host has
		noIdentity codes.Code // for a call without a customer in its metadata
	}{
		"interceptor": {func(p *Proxy) *grpc.Server {
			return newHostServer(grpc.ChainStreamInterceptor(authenticate, p.Interceptor()),
				grpc.UnknownServiceHandler(unknownHandler))
		}, codes.DataLoss, codes.OK},
		"handler": {func(p *Proxy) *grpc.Server { return newHostServer(grpc.UnknownServiceHandler(p.Handle)) },
			codes.Unimplemented, codes.InvalidArgument},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, func(o *options) { o.newServer = c.server })
			k := r.call("Pay")
			if res := r.do(k); res.st.Code() != codes.OK || res.text != "done "+k.id {
				t.Errorf("unary call: got %v, message %q, want %q", res.st, res.text, "done "+k.id)
			}
			if res := r.doStreaming(r.call("Watch"), nil); res.st.Code() != codes.OK || len(res.texts) != 1 {
				t.Errorf("streaming call: got %v, messages %q, want one message", res.st, res.texts)
			}
			k = r.call("Nap")
			if res := r.do(k); res.st.Code() != c.unknown {
				t.Errorf("unknown method: got %v, want %v", res.st, c.unknown)
			}
			k = r.call("Look")
			k.md.Delete("x-api-key")
			if res := r.do(k); res.st.Code() != c.noIdentity {
				t.Errorf("call without a customer: got %v, want %v", res.st, c.noIdentity)
			}
			check, err := healthpb.NewHealthClient(r.client).Check(t.Context(),
				&healthpb.HealthCheckRequest{Service: "mine"}, grpc.ForceCodecV2(Codec()))
			if err != nil || check.Status != healthpb.HealthCheckResponse_SERVING {
				t.Errorf("the host's health service: got %v, %v; want %v", check, err,
					healthpb.HealthCheckResponse_SERVING)
			}
		})
	}
}

// Each error of the Gateway must have its status and pushback, by which clients do not retry a call that
// may have been executed.
func TestStatusFor(t *testing.T) {
	response := func(code grpcproto.Code, message string) *grpctransport.Response {
		return &grpctransport.Response{Code: code, Message: message,
			Trailer: []grpctransport.Field{{Name: "x-more", Value: "1"},
				{Name: "grpc-encoding", Value: "gzip"}, {Name: "grpc-status-details-bin", Value: "CA0="}}}
	}
	for name, c := range map[string]struct {
		err      error
		reply    *grpctransport.Response
		effect   decision.Idempotency
		code     codes.Code
		pushback string
		message  string // a part of the status message
	}{
		"rejected": {&pumicecroft.RejectedError{RetryAfter: 1500 * time.Microsecond}, nil,
			decision.IdempotentByKey, codes.ResourceExhausted, "2", "rejected"},
		"rejected without retry time": {&pumicecroft.RejectedError{}, nil, decision.IdempotentByKey,
			codes.ResourceExhausted, "", "rejected"},
		"rejected after an error": {&pumicecroft.RejectedError{RetryAfter: time.Second},
			response(13, "disk%20full"), decision.Idempotent, codes.ResourceExhausted, "1000", "status 13: disk full"},
		"closed": {pumicecroft.ErrClosed, nil, decision.IdempotentByKey, codes.Unavailable, "",
			"closed"},
		"too many requests": {pumicecroft.ErrTooManyRequests, nil, decision.IdempotentByKey,
			codes.Unavailable, "", "open"},
		"message too large": {pumicecroft.ErrBodyTooLarge, nil, decision.IdempotentByKey,
			codes.ResourceExhausted, "-1", ""},
		"duplicate ID": {pumicecroft.ErrDuplicateID, nil, decision.IdempotentByKey,
			codes.InvalidArgument, "-1", "open"},
		"replayed": {pumicecroft.ErrReplayed, nil, decision.IdempotentByKey, codes.AlreadyExists,
			"-1", "executed already"},
		"deadline exceeded": {pumicecroft.ErrDeadlineExceeded, nil, decision.Idempotent,
			codes.DeadlineExceeded, "-1", "deadline exceeded"},
		"cancelled": {fmt.Errorf("disconnected: %w", context.Canceled), nil, decision.Idempotent,
			codes.Canceled, "-1", "disconnected"},
		"failed": {pumicecroft.ErrFailed, nil, decision.NonIdempotent, codes.Unknown, "-1",
			"failed"},
		"aborted": {pumicecroft.ErrAborted, nil, decision.NonIdempotent, codes.Unknown, "-1",
			"closed"},
		"other error": {errors.New("odd"), nil, decision.NonIdempotent, codes.Unknown, "-1", "odd"},
		"failed with a backend's error": {pumicecroft.ErrFailed, response(2, "50%25 done, %zz"), decision.NonIdempotent,
			codes.Unknown, "-1", "50% done, %zz"},
		"failed with an error that clients retry, idempotent by key": {pumicecroft.ErrFailed, response(14, "away"),
			decision.IdempotentByKey, codes.Unknown, "-1", "away"},
		"failed with an error that clients retry, idempotent": {pumicecroft.ErrFailed, response(14, "away"),
			decision.Idempotent, codes.Unavailable, "-1", "away"},
	} {
		st, md := statusFor(c.err, c.reply, c.effect)
		if st.Code() != c.code || strings.Join(md[PushbackTrailer], ",") != c.pushback ||
			!strings.Contains(st.Message(), c.message) {
			t.Errorf("%s: got %v, pushback %q; want %v with %q in its message, pushback %q", name, st,
				md[PushbackTrailer], c.code, c.message, c.pushback)
		}
		if c.effect != decision.Idempotent && c.pushback == "-1" && clientsRetry(st.Code()) &&
			!errors.Is(c.err, pumicecroft.ErrBodyTooLarge) && !errors.Is(c.err, pumicecroft.ErrDeadlineExceeded) {
			t.Errorf("%s: got %v, which clients retry although the call may have been executed", name, st.Code())
		}
		if c.reply != nil && !errors.Is(c.err, pumicecroft.ErrRejected) {
			if md["grpc-encoding"] != nil || len(md["x-more"]) != 1 ||
				(md["grpc-status-details-bin"] == nil) != (uint32(st.Code()) != uint32(c.reply.Code)) {
				t.Errorf("%s: got trailers %q, want x-more, and grpc-status-details-bin only with the backend's status",
					name, md)
			}
		}
	}
}

// An invalid configuration must be rejected with an error that gives the reason.
func TestInvalidConfig(t *testing.T) {
	settings := deskSettings()
	gateway, err := pumicecroft.New(pumicecroft.Config{Settings: settings}, WithBackends(BackendConfig{}))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = gateway.Close(t.Context()) }()
	for name, c := range map[string]struct {
		config Config
		want   string
	}{
		"no methods":    {Config{}, "no methods"},
		"unknown class": {Config{Methods: map[string]Method{"/a.B/C": {Class: "nap"}}}, `"nap"`},
		"not a method": {Config{Methods: map[string]Method{"a.B/C": {Class: "look"}}},
			`"a.B/C" is not of the form /package.Service/Method`},
		"wildcard": {Config{Methods: map[string]Method{"/a.*/C": {Class: "look"}}},
			`"/a.*/C" is not of the form /package.Service/Method`},
		"repeated name": {Config{Methods: deskMethods, Names: MetadataNames{Customer: "x", Plan: "x"}},
			`"x" is used twice`},
		"reserved name":  {Config{Methods: deskMethods, Names: MetadataNames{Customer: "grpc-status"}}, `"grpc-status"`},
		"negative limit": {Config{Methods: deskMethods, MaxMessageBytes: -1}, "negative"},
	} {
		if _, err := New(gateway, c.config); !errors.Is(err, pumicecroft.ErrConfig) ||
			!strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want %v with %s", name, err, pumicecroft.ErrConfig, c.want)
		}
	}
	if _, err := pumicecroft.New(pumicecroft.Config{Settings: settings, Protocol: "grpc"}); !errors.Is(err,
		pumicecroft.ErrConfig) {
		t.Errorf("a protocol without a transport: got error %v, want %v", err, pumicecroft.ErrConfig)
	}
}
