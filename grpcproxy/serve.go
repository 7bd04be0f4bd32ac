package grpcproxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"pumicecroft"
	"pumicecroft/internal/grpctransport"
)

// framedMessage is a message with its prefix, as it stands on the wire. See Codec.
type framedMessage []byte

// Handle is a grpc.StreamHandler: it carries the calls of all methods that the Config has, and answers others
// UNIMPLEMENTED. The server needs the Codec.
func (f *Proxy) Handle(_ any, ss grpc.ServerStream) error {
	method, _ := grpc.MethodFromServerStream(ss)
	m, ok := f.methodFor(method)
	if !ok {
		ss.SetTrailer(metadata.Pairs(PushbackTrailer, "-1"))
		return status.Errorf(codes.Unimplemented, "the front door carries no method %s", method)
	}
	return f.serve(ss, method, m)
}

// Interceptor takes the calls of the methods that the Config has, and leaves others to the host's handlers. It goes last
// into a chain of grpc.StreamServerInterceptors, behind those that say who asks (pumicecroft.WithIdentity). A unary method
// that the host has registered itself never comes by: the host's server calls it without stream interceptors.
func (f *Proxy) Interceptor() grpc.StreamServerInterceptor {
	return func(srv any, ss grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) error {
		if m, ok := f.methodFor(info.FullMethod); ok {
			return f.serve(ss, info.FullMethod, m)
		}
		return next(srv, ss)
	}
}

// serve carries one call.
func (f *Proxy) serve(ss grpc.ServerStream, method string, m Method) error {
	ctx := ss.Context()
	md, _ := metadata.FromIncomingContext(ctx)
	arrived := time.Now()
	req, err := f.newRequest(ctx, m, md)
	load := &grpctransport.Request{Method: method}
	if err == nil {
		var leave context.CancelCauseFunc
		ctx, leave = context.WithCancelCause(ctx)
		defer leave(nil)
		load.Body, err = f.receiveMessage(ss, m.Streaming, leave)
	}
	if err != nil {
		return f.fail(ss, m, nil, err)
	}
	if req.Timeout > 0 { // what reading took is the client's time too
		if req.Timeout -= time.Since(arrived); req.Timeout <= pumicecroft.MinTimeout {
			return f.fail(ss, m, nil, pumicecroft.ErrDeadlineExceeded) // a refusal, and a client that then looks at its clock: late either way
		}
	}
	load.Metadata = toFields(md)
	if f.config.Names.ID != "" && len(md[f.config.Names.ID]) == 0 {
		req = req.WithID(rand.Uint64())
		load.Metadata = append(load.Metadata, grpctransport.Field{Name: f.config.Names.ID, Value: fmt.Sprintf("%016x", req.ID)})
	}
	var out *responseSink
	if m.Streaming {
		out = &responseSink{stream: ss}
		defer out.close()
		load.Sink = out
	}
	reply, err := f.gateway.Forward(ctx, req, load)
	answer, _ := reply.(*grpctransport.Response)
	if err != nil {
		return f.fail(ss, m, answer, err)
	}
	if out == nil || !out.started {
		if err := ss.SetHeader(toMetadata(answer.Header)); err != nil {
			return err
		}
	}
	if out == nil && answer.Code == 0 {
		if err := ss.SendMsg(framedMessage(answer.Body)); err != nil {
			return err // the client has gone
		}
	}
	trailer := toMetadata(answer.Trailer)
	if answer.Code != 0 { // the service's own word on the call, which a repeat would not change
		trailer.Set(PushbackTrailer, "-1")
	}
	ss.SetTrailer(trailer)
	return status.Error(codes.Code(answer.Code), decodeMessage(answer.Message))
}

// fail is a call's answer when there is none to pass on.
func (f *Proxy) fail(ss grpc.ServerStream, m Method, reply *grpctransport.Response, err error) error {
	if errors.Is(err, pumicecroft.ErrBadRequest) {
		f.logger.Debug("a call that makes no sense", "err", err)
	}
	st, md := statusFor(err, reply, f.idempotency[m.Class])
	ss.SetTrailer(md)
	return st.Err()
}

// errClientStreaming refuses calls whose clients stream.
var errClientStreaming = fmt.Errorf("%w: a second message: only unary and server-streaming calls are carried", pumicecroft.ErrBadRequest)

// receiveMessage reads a call's one message, within its time. A client that goes on sending, or does not end its sending, is
// refused; but of a method whose answer streams the first message is enough, as clients of a bidirectional method wait for
// its answer before they end their sending. A second one ends the call then, by leave.
func (f *Proxy) receiveMessage(ss grpc.ServerStream, streaming bool, leave context.CancelCauseFunc) (framedMessage, error) {
	type got struct {
		message framedMessage
		err     error
	}
	come := make(chan got, 1)
	go func() { // it ends with the call at the latest
		var first, second framedMessage
		err := ss.RecvMsg(&first)
		switch {
		case err == nil:
			if streaming {
				come <- got{first, nil}
			}
			if err = ss.RecvMsg(&second); errors.Is(err, io.EOF) {
				err = nil
			} else if err == nil {
				err = errClientStreaming
			}
		case errors.Is(err, io.EOF):
			err = fmt.Errorf("%w: no message", pumicecroft.ErrBadRequest)
		}
		if first != nil && streaming {
			if errors.Is(err, errClientStreaming) {
				leave(err)
			}
			return
		}
		come <- got{first, err}
	}()
	late := time.NewTimer(f.config.ReadTimeout)
	defer late.Stop()
	select {
	case g := <-come:
		if st, ok := status.FromError(g.err); g.err != nil && ok {
			switch st.Code() {
			case codes.ResourceExhausted: // over MaxMessage
				g.err = fmt.Errorf("%w: %s", pumicecroft.ErrBodyTooLarge, st.Message())
			case codes.Canceled, codes.DeadlineExceeded:
				g.err = fmt.Errorf("the caller left: %w", context.Cause(ss.Context()))
			default:
				g.err = fmt.Errorf("%w: %s", pumicecroft.ErrBadRequest, st.Message())
			}
		}
		return g.message, g.err
	case <-late.C:
		return nil, fmt.Errorf("%w: the message did not come whole, and the end of its sending, within %v", pumicecroft.ErrBadRequest,
			f.config.ReadTimeout)
	}
}

// responseSink passes a streamed answer on. A send waits while the client does not read, and can't be called off: so it is made
// by a goroutine of its own, which ends with the call.
type responseSink struct {
	stream   grpc.ServerStream
	started  bool
	messages chan framedMessage
	results  chan error
}

// WriteHeader begins the answer.
func (s *responseSink) WriteHeader(fields []grpctransport.Field) {
	s.started = true
	s.messages, s.results = make(chan framedMessage), make(chan error, 1)
	err := s.stream.SetHeader(toMetadata(fields))
	go func() {
		for p := range s.messages {
			if err == nil {
				err = s.stream.SendMsg(p)
			}
			s.results <- err
		}
	}()
}

// WriteMessage sends one, and returns when the connection has taken it.
func (s *responseSink) WriteMessage(ctx context.Context, p []byte) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	s.messages <- p
	select {
	case err := <-s.results:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (s *responseSink) close() {
	if s.started {
		close(s.messages)
	}
}
