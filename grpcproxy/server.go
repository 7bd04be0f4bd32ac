package grpcproxy

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"time"

	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"
	_ "google.golang.org/grpc/encoding/proto" // the codec for calls that the Proxy does not carry
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/mem"
)

// Limits of a server's connections.
const (
	// maxHeaderListBytes limits a call's metadata, as HPACK counts it.
	maxHeaderListBytes = 16 << 10
	// streamWindow is how many bytes of a call may be unread, connWindow of all calls on a connection.
	streamWindow = 64 << 10
	connWindow   = 1 << 20
	// A connection that was silent for keepaliveTime is pinged, and closed if it stays silent for
	// keepaliveTimeout.
	keepaliveTime    = time.Minute
	keepaliveTimeout = 20 * time.Second
	// minPingInterval is how often a client may ping. One that does so more often is sent GOAWAY
	// with ENHANCE_YOUR_CALM.
	minPingInterval = 5 * time.Second
	// handshakeTimeout limits the HTTP/2 handshake.
	handshakeTimeout = 1500 * time.Millisecond
)

// messagePrefixBytes is the length of a message's prefix: a flag and the length of the message.
const messagePrefixBytes = 5

// Codec returns a codec that leaves the messages of a Proxy's calls as they are, and all others to
// the codec of their types, so that a host's own services work as before. It is for
// grpc.ForceServerCodecV2.
func Codec() encoding.CodecV2 { return codec{} }

type codec struct{}

func (codec) Name() string { return "proto" }

func (codec) Marshal(v any) (mem.BufferSlice, error) {
	message, ok := v.(framedMessage)
	if !ok {
		return encoding.GetCodecV2("proto").Marshal(v)
	}
	if len(message) < messagePrefixBytes {
		return nil, errors.New("grpcproxy: message without prefix")
	}
	return mem.BufferSlice{mem.SliceBuffer(message[messagePrefixBytes:])}, nil
}

func (codec) Unmarshal(data mem.BufferSlice, v any) error {
	message, ok := v.(*framedMessage)
	if !ok {
		return encoding.GetCodecV2("proto").Unmarshal(data, v)
	}
	n := data.Len()
	*message = make(framedMessage, messagePrefixBytes+n)
	binary.BigEndian.PutUint32((*message)[1:], uint32(n))
	data.CopyTo((*message)[messagePrefixBytes:])
	return nil
}

// ServerOptions returns the options of a server whose calls are all the Proxy's, with its limits. A
// host that has services of its own takes Codec and Handle or Interceptor instead, and sets limits
// as it sees fit.
func (p *Proxy) ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.ForceServerCodecV2(Codec()),
		grpc.UnknownServiceHandler(p.Handle),
		grpc.MaxConcurrentStreams(uint32(p.config.MaxStreamsPerConn)),
		grpc.MaxRecvMsgSize(p.config.MaxMessageBytes),
		grpc.MaxHeaderListSize(maxHeaderListBytes),
		grpc.InitialWindowSize(streamWindow),
		grpc.InitialConnWindowSize(connWindow),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
	}
}

// Serve serves clients on a listener until ctx ends. Then it sends GOAWAY, takes nothing new, and
// returns when every call has its response and its client has received it, or after the longest
// deadline that a call may have.
func (p *Proxy) Serve(ctx context.Context, ln net.Listener) error {
	server := grpc.NewServer(p.ServerOptions()...)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(netutil.LimitListener(ln, p.config.MaxClientConns)) }()
	select {
	case err := <-ended:
		return fmt.Errorf("grpcproxy: serve: %w", err)
	case <-ctx.Done():
	}
	p.shutdown(server)
	if err := <-ended; err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return fmt.Errorf("grpcproxy: serve: %w", err)
	}
	return nil
}

// shutdown stops a server gracefully, and at once after the longest deadline that a call may have:
// clients that do not read their responses would else keep it.
func (p *Proxy) shutdown(server *grpc.Server) {
	stopped := make(chan struct{})
	go func() {
		server.GracefulStop()
		close(stopped)
	}()
	timeout := time.NewTimer(p.settings.LongestDeadline() + time.Second)
	defer timeout.Stop()
	select {
	case <-stopped:
	case <-timeout.C:
		server.Stop()
		<-stopped
	}
}
