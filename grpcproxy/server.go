package grpcproxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"
	_ "google.golang.org/grpc/encoding/proto" // what Codec leaves to it
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/mem"
)

const (
	// maxHeaderListBytes bounds a call's metadata, in bytes as HPACK counts them.
	maxHeaderListBytes = 16 << 10
	// streamWindow is what a call's client may have on its way unread, in bytes, connWindow the same for a connection.
	streamWindow = 64 << 10
	connWindow   = 1 << 20
	// A connection without a sign of life is asked for one after aliveAfter, and ended without one within aliveWithin. A
	// client that asks so often that it makes work is sent away (GOAWAY, ENHANCE_YOUR_CALM).
	keepaliveTime    = time.Minute
	keepaliveTimeout = 20 * time.Second
	minPingInterval  = 5 * time.Second
	handshakeTimeout = 1500 * time.Millisecond
)

// Codec passes messages as they are for the calls of a Front, and leaves all others to the codec that their messages are
// for, so that a host's own services go on as before. Give it to grpc.ForceServerCodecV2.
func Codec() encoding.CodecV2 { return codec{} }

type codec struct{}

func (codec) Name() string { return "proto" }

func (codec) Marshal(v any) (mem.BufferSlice, error) {
	if p, ok := v.(framedMessage); ok {
		if len(p) < 5 {
			return nil, errors.New("grpcfront: a message without its prefix")
		}
		return mem.BufferSlice{mem.SliceBuffer(p[5:])}, nil
	}
	return encoding.GetCodecV2("proto").Marshal(v)
}

func (codec) Unmarshal(data mem.BufferSlice, v any) error {
	p, ok := v.(*framedMessage)
	if !ok {
		return encoding.GetCodecV2("proto").Unmarshal(data, v)
	}
	n := data.Len()
	*p = make(framedMessage, 5+n)
	(*p)[1], (*p)[2], (*p)[3], (*p)[4] = byte(n>>24), byte(n>>16), byte(n>>8), byte(n)
	data.CopyTo((*p)[5:])
	return nil
}

// ServerOptions are those of a server whose calls are all the Front's, with its bounds. A host that has services of its own
// takes Codec and Handle or Interceptor instead, and sets bounds as it sees fit.
func (f *Proxy) ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.ForceServerCodecV2(Codec()), grpc.UnknownServiceHandler(f.Handle),
		grpc.MaxConcurrentStreams(uint32(f.config.MaxStreamsPerConn)), grpc.MaxRecvMsgSize(f.config.MaxMessageBytes), grpc.MaxHeaderListSize(maxHeaderListBytes),
		grpc.InitialWindowSize(streamWindow), grpc.InitialConnWindowSize(connWindow), grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true})}
}

// Serve serves clients on a listener until ctx ends. Then it tells them so (GOAWAY), takes nothing new, and returns when
// every call has its answer and its client has taken it, or after the longest deadline that a call may have.
func (f *Proxy) Serve(ctx context.Context, ln net.Listener) error {
	s := grpc.NewServer(f.ServerOptions()...)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(netutil.LimitListener(ln, f.config.MaxClientConns)) }()
	select {
	case err := <-ended:
		return fmt.Errorf("grpcfront: %w", err)
	case <-ctx.Done():
	}
	graceful := make(chan struct{})
	go func() { s.GracefulStop(); close(graceful) }()
	late := time.NewTimer(f.settings.LongestDeadline() + time.Second)
	defer late.Stop()
	select {
	case <-graceful:
	case <-late.C: // clients that do not read
		s.Stop()
		<-graceful
	}
	if err := <-ended; err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return fmt.Errorf("grpcfront: %w", err)
	}
	return nil
}
