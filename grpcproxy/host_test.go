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

// known is an earlier interceptor of the host, which authenticates the client.
func authenticate(_ any, ss grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	ctx := pumicecroft.WithIdentity(ss.Context(), pumicecroft.Identity{Customer: 9, Plan: "shop"})
	return next(nil, streamWithIdentity{ss, ctx})
}

type streamWithIdentity struct {
	grpc.ServerStream
	ctx context.Context
}

func (i streamWithIdentity) Context() context.Context { return i.ctx }

// In a host's own server the proxy takes its methods, by its interceptor or as the handler of
// unknown services, and the host's services work beside it, with messages of their own.
func TestProxyInHostServer(t *testing.T) {
	own := func(o ...grpc.ServerOption) *grpc.Server {
		s := grpc.NewServer(append(o, grpc.ForceServerCodecV2(Codec()))...)
		h := health.NewServer()
		h.SetServingStatus("mine", healthpb.HealthCheckResponse_SERVING)
		healthpb.RegisterHealthServer(s, h)
		return s
	}
	nothing := func(_ any, _ grpc.ServerStream) error { return status.Error(codes.DataLoss, "the host's own answer") }
	for name, c := range map[string]struct {
		server  func(f *Proxy) *grpc.Server
		unknown codes.Code // of a method that nobody has
		nobody  codes.Code // of a call that does not say who asks
	}{
		"interceptor": {func(f *Proxy) *grpc.Server {
			return own(grpc.ChainStreamInterceptor(authenticate, f.Interceptor()), grpc.UnknownServiceHandler(nothing))
		}, codes.DataLoss, codes.OK},
		"handler": {func(f *Proxy) *grpc.Server { return own(grpc.UnknownServiceHandler(f.Handle)) },
			codes.Unimplemented, codes.InvalidArgument},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, func(o *options) { o.newServer = c.server })
			k := r.call("Pay")
			if res := r.do(k); res.st.Code() != codes.OK || res.text != "done "+k.id {
				t.Errorf("%v %q", res.st, res.text)
			}
			if res := r.doStreaming(r.call("Watch"), nil); res.st.Code() != codes.OK || len(res.texts) != 1 {
				t.Errorf("%v %q", res.st, res.texts)
			}
			k = r.call("Nap")
			if res := r.do(k); res.st.Code() != c.unknown {
				t.Errorf("a method that nobody has: %v", res.st)
			}
			k = r.call("Look")
			k.md.Delete("x-api-key")
			if res := r.do(k); res.st.Code() != c.nobody {
				t.Errorf("without a customer: %v", res.st)
			}
			mine, err := healthpb.NewHealthClient(r.client).Check(t.Context(),
				&healthpb.HealthCheckRequest{Service: "mine"}, grpc.ForceCodecV2(Codec()))
			if err != nil || mine.Status != healthpb.HealthCheckResponse_SERVING {
				t.Errorf("the host's own service: %v, %v", mine, err)
			}
		})
	}
}

// Each error of the Gateway has a status and a pushback that do not make clients retry what may
// have run.
func TestStatusFor(t *testing.T) {
	answer := func(code grpcproto.Code, message string) *grpctransport.Response {
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
		message  string // part of it
	}{
		"refused": {&pumicecroft.RejectedError{RetryAfter: 1500 * time.Microsecond}, nil,
			decision.IdempotentByKey, codes.ResourceExhausted, "2", "rejected"},
		"refused without advice": {&pumicecroft.RejectedError{}, nil, decision.IdempotentByKey,
			codes.ResourceExhausted, "", "rejected"},
		"refused after an error": {&pumicecroft.RejectedError{RetryAfter: time.Second},
			answer(13, "disk%20full"), decision.Idempotent, codes.ResourceExhausted, "1000", "status 13: disk full"},
		"closed": {pumicecroft.ErrClosed, nil, decision.IdempotentByKey, codes.Unavailable, "",
			"closed"},
		"full": {pumicecroft.ErrTooManyRequests, nil, decision.IdempotentByKey,
			codes.Unavailable, "", "open"},
		"too long": {pumicecroft.ErrBodyTooLarge, nil, decision.IdempotentByKey,
			codes.ResourceExhausted, "-1", ""},
		"makes no sense": {pumicecroft.ErrDuplicateID, nil, decision.IdempotentByKey,
			codes.InvalidArgument, "-1", "open"},
		"replayed": {pumicecroft.ErrReplayed, nil, decision.IdempotentByKey, codes.AlreadyExists,
			"-1", "executed already"},
		"late": {pumicecroft.ErrDeadlineExceeded, nil, decision.Idempotent,
			codes.DeadlineExceeded, "-1", "deadline exceeded"},
		"left": {fmt.Errorf("left: %w", context.Canceled), nil, decision.Idempotent,
			codes.Canceled, "-1", "left"},
		"failed": {pumicecroft.ErrFailed, nil, decision.NonIdempotent, codes.Unknown, "-1",
			"failed"},
		"aborted": {pumicecroft.ErrAborted, nil, decision.NonIdempotent, codes.Unknown, "-1",
			"closed"},
		"anything else": {errors.New("odd"), nil, decision.NonIdempotent, codes.Unknown, "-1", "odd"},
		"failed by an error": {pumicecroft.ErrFailed, answer(2, "50%25 done, %zz"), decision.NonIdempotent,
			codes.Unknown, "-1", "50% done, %zz"},
		"failed by one that is tried": {pumicecroft.ErrFailed, answer(14, "away"), decision.IdempotentByKey,
			codes.Unknown, "-1", "away"},
		"the same of a safe one": {pumicecroft.ErrFailed, answer(14, "away"), decision.Idempotent,
			codes.Unavailable, "-1", "away"},
	} {
		st, md := statusFor(c.err, c.reply, c.effect)
		if st.Code() != c.code || strings.Join(md[PushbackTrailer], ",") != c.pushback ||
			!strings.Contains(st.Message(), c.message) {
			t.Errorf("%s: %v, pushback %q", name, st, md[PushbackTrailer])
		}
		if c.effect != decision.Idempotent && c.pushback == "-1" && clientsRetry(st.Code()) &&
			!errors.Is(c.err, pumicecroft.ErrBodyTooLarge) && !errors.Is(c.err, pumicecroft.ErrDeadlineExceeded) {
			t.Errorf("%s: clients make it again by %v", name, st.Code())
		}
		if c.reply != nil && !errors.Is(c.err, pumicecroft.ErrRejected) {
			if md["grpc-encoding"] != nil || len(md["x-more"]) != 1 ||
				(md["grpc-status-details-bin"] == nil) != (uint32(st.Code()) != uint32(c.reply.Code)) {
				t.Errorf("%s: trailers %q", name, md)
			}
		}
	}
}

// An invalid configuration is an error that says why.
func TestInvalidConfig(t *testing.T) {
	set := deskSettings()
	gateway, err := pumicecroft.New(pumicecroft.Config{Settings: set}, WithBackends(BackendConfig{}))
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
		"no method":     {Config{Methods: map[string]Method{"a.B/C": {Class: "look"}}}, `"a.B/C" is no method`},
		"wildcard":      {Config{Methods: map[string]Method{"/a.*/C": {Class: "look"}}}, `"/a.*/C" is no method`},
		"a name twice": {Config{Methods: deskMethods, Names: MetadataNames{Customer: "x", Plan: "x"}},
			`"x" is used twice`},
		"gRPC's name": {Config{Methods: deskMethods, Names: MetadataNames{Customer: "grpc-status"}}, `"grpc-status"`},
		"below 0":     {Config{Methods: deskMethods, MaxMessageBytes: -1}, "negative"},
	} {
		if _, err := New(gateway, c.config); !errors.Is(err, pumicecroft.ErrConfig) ||
			!strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := pumicecroft.New(pumicecroft.Config{Settings: set, Protocol: "grpc"}); !errors.Is(err,
		pumicecroft.ErrConfig) {
		t.Errorf("a protocol that nothing speaks: %v", err)
	}
}
