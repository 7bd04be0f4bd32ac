package grpcproxy

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"
	_ "google.golang.org/grpc/encoding/proto" // registers the codec for messages of the host's own services
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/mem"

	"pumicecroft/internal/retrylistener"
)

// Limits of client connections.
const (
	// maxHeaderListBytes limits a call's metadata, as HPACK counts its size.
	maxHeaderListBytes = 16 << 10
	// streamWindow is the flow-control window of a call, and connWindow that of a connection, in bytes.
	streamWindow = 64 << 10
	connWindow   = 1 << 20
	// The server pings a connection on which nothing has arrived for keepaliveTime, and closes it if
	// nothing arrives within keepaliveTimeout after that.
	keepaliveTime    = time.Minute
	keepaliveTimeout = 20 * time.Second
	// minPingInterval is the shortest interval between a client's pings. A client that pings more
	// often receives GOAWAY with ENHANCE_YOUR_CALM.
	minPingInterval = 5 * time.Second
	// handshakeTimeout limits the time to establish an HTTP/2 connection.
	handshakeTimeout = 1500 * time.Millisecond
)

// messagePrefixBytes is the length of a message's prefix: a compression flag and the length of the
// message.
const messagePrefixBytes = 5

// Codec returns the codec that a server with a Proxy must use, by grpc.ForceServerCodecV2. It does not
// decode messages of proxied calls. All other messages are encoded as protocol buffers, so that the
// host's own services work as usual.
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

// ServerOptions returns the options, including limits, for a server that only serves the Proxy's calls.
// A host that has services of its own uses Codec with Handle or Interceptor instead, and chooses its own
// limits.
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
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: minPingInterval, PermitWithoutStream: true}),
	}
}

// Serve serves clients on a listener until ctx ends. Then it sends GOAWAY, accepts no new connections
// and calls, and returns when all open calls have ended and their responses were sent, or 1 s after the
// longest deadline that a call may have.
func (p *Proxy) Serve(ctx context.Context, ln net.Listener) error {
	clients := newClientListener(retrylistener.New(ln, p.logger), p.config.MaxClientConns, p.logger)
	server := grpc.NewServer(append(p.ServerOptions(), grpc.UnknownServiceHandler(clients.trackCalls(p.Handle)))...)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(clients) }()
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

// shutdown stops a server gracefully. It stops the server by force 1 s after the longest deadline that a
// call may have, because clients that do not read their responses would block a graceful stop for ever.
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
