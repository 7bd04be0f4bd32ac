package grpcproxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"pumicecroft"
	"pumicecroft/internal/grpctransport"
)

// Handle is a grpc.StreamHandler that proxies calls of the methods in Config.Methods, and ends other
// calls with UNIMPLEMENTED. The server must use Codec.
func (p *Proxy) Handle(_ any, stream grpc.ServerStream) error {
	fullName, _ := grpc.MethodFromServerStream(stream)
	method, ok := p.methodFor(fullName)
	if !ok {
		stream.SetTrailer(metadata.Pairs(PushbackTrailer, noRetry))
		return status.Errorf(codes.Unimplemented, "method %s is not carried", fullName)
	}
	return p.serve(stream, fullName, method)
}

// Interceptor returns an interceptor that proxies calls of the methods in Config.Methods, and leaves
// other calls to the host's handlers. It must be last in a chain, after interceptors that authenticate
// clients (see pumicecroft.WithIdentity). It does not intercept unary methods that the host has
// registered itself, as grpc.Server does not call stream interceptors for these.
func (p *Proxy) Interceptor() grpc.StreamServerInterceptor {
	return func(srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) error {
		if method, ok := p.methodFor(info.FullMethod); ok {
			return p.serve(stream, info.FullMethod, method)
		}
		return next(srv, stream)
	}
}

// serve handles one call.
func (p *Proxy) serve(stream grpc.ServerStream, fullName string, method Method) error {
	arrived := time.Now()
	ctx, cancel := context.WithCancelCause(stream.Context())
	defer cancel(nil)
	md, _ := metadata.FromIncomingContext(ctx)
	request, err := p.newRequest(ctx, method, md)
	if err != nil {
		return p.fail(stream, method, nil, err)
	}
	payload := &grpctransport.Request{Method: fullName, Metadata: toFields(md)}
	payload.Body, err = p.receiveMessage(stream, method.Streaming, cancel)
	if err != nil {
		return p.fail(stream, method, nil, err)
	}
	if request.Timeout > 0 { // receiving the message counts towards the timeout
		request.Timeout -= time.Since(arrived)
		if request.Timeout <= pumicecroft.MinTimeout {
			return p.fail(stream, method, nil, pumicecroft.ErrDeadlineExceeded)
		}
	}
	if name := p.config.Names.ID; name != "" && len(md[name]) == 0 {
		request = request.WithID(rand.Uint64())
		payload.Metadata = append(payload.Metadata, grpctransport.Field{Name: name,
			Value: fmt.Sprintf("%016x", request.ID)})
	}
	return p.forward(ctx, stream, method, payload, request)
}

// forward passes a call to the Gateway and sends the response to the client.
func (p *Proxy) forward(ctx context.Context, stream grpc.ServerStream, method Method, payload *grpctransport.Request,
	request pumicecroft.Request) error {
	var sink *responseSink
	if method.Streaming {
		sink = newResponseSink(stream)
		defer sink.close() // Forward may panic
		payload.Sink = sink
	}
	reply, err := p.gateway.Forward(ctx, request, payload)
	started := sink != nil && sink.close()
	response, _ := reply.(*grpctransport.Response)
	if err != nil {
		return p.fail(stream, method, response, err)
	}
	if !started {
		if err := stream.SetHeader(toMetadata(response.Header)); err != nil {
			return err
		}
	}
	if sink == nil && response.Code == 0 {
		if err := stream.SendMsg(framedMessage(response.Body)); err != nil { // the client has disconnected
			return err
		}
	}
	trailer := toMetadata(response.Trailer)
	if response.Code != 0 { // the service itself rejected the request, so a retry would fail again
		trailer.Set(PushbackTrailer, noRetry)
	}
	stream.SetTrailer(trailer)
	return status.Error(codes.Code(response.Code), decodeMessage(response.Message))
}

// fail ends a call for which the Gateway returned err, or which was invalid. reply is the last backend's
// error response, or nil.
func (p *Proxy) fail(stream grpc.ServerStream, method Method, reply *grpctransport.Response, err error) error {
	if errors.Is(err, pumicecroft.ErrBadRequest) {
		p.logger.Debug("call not accepted", "err", err)
	}
	st, md := statusFor(err, reply, p.idempotency[method.Class])
	stream.SetTrailer(md)
	return st.Err()
}
