package conformance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"

	"pumicecroft"
	"pumicecroft/grpcproxy"
	"pumicecroft/internal/daemon"
	"pumicecroft/internal/fakes"
	"pumicecroft/internal/platform"
	"pumicecroft/membership"
)

// libraryWithGRPC starts a Gateway behind a gRPC server in this process, with backends that speak gRPC.
func libraryWithGRPC(t testing.TB, config string) Gateway {
	t.Helper()
	c, err := platform.ParseConfig([]byte(config))
	if err != nil {
		t.Fatal(err)
	}
	gatewayConfig := daemon.GatewayConfig(c)
	gatewayConfig.Protocol = membership.ProtocolGRPC
	gateway, err := pumicecroft.New(gatewayConfig, grpcproxy.WithBackends(grpcproxy.BackendConfig{}),
		pumicecroft.WithSource(&platform.Discovery{Addr: c.Discovery, FromVersion: c.InitialEndpoints.Seq}))
	if err != nil {
		t.Fatal(err)
	}
	proxy, err := grpcproxy.New(gateway, grpcproxy.Config{Methods: grpcMethods(gateway), Strict: true,
		MaxMessageBytes: pumicecroft.MaxBody})
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	g := &hostedGRPC{gateway: gateway, addr: ln.Addr().String(), stop: stop, served: make(chan error, 1)}
	go func() { g.served <- proxy.Serve(ctx, ln) }()
	t.Cleanup(func() { _ = g.Stop() })
	return g
}

// daemonWithGRPC starts the daemon with an operator's file for clients and backends that speak gRPC.
func daemonWithGRPC(t testing.TB, config string) Gateway {
	t.Helper()
	c, err := platform.ParseConfig([]byte(config))
	if err != nil {
		t.Fatal(err)
	}
	text := operatorFileWithoutSources(c, `protocol = "grpc"`) + fmt.Sprintf("[discovery]\naddress = %q\n", c.Discovery)
	text += fmt.Sprintf("[grpc]\nlisten = \"127.0.0.1:0\"\nstrict = true\nmax_message = %d\n", pumicecroft.MaxBody)
	for _, class := range c.Settings.Classes {
		text += fmt.Sprintf("[[grpc.method]]\nname = \"/%s/%s\"\nclass = %q\n", fakes.GRPCService, class.Name,
			class.Name)
	}
	p := startDaemonWithFile(t, text, c)
	p.addr = p.grpcAddr
	return p
}

// startDaemonWithFile starts the daemon with an operator's file, and waits until its backends are those
// of the configuration's endpoint list and those named in more.
func startDaemonWithFile(t testing.TB, text string, c platform.Config, more ...string) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "pumicecroft.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startDaemon(t, "PUMICECROFT_BY_FILE="+path)
	names := more
	for _, n := range c.InitialEndpoints.Membership().Nodes {
		names = append(names, n.Name)
	}
	slices.Sort(names)
	waitForNames(t, names, func() ([]pumicecroft.BackendStatus,
		error) {
		return daemon.FetchBackendStatus(t.Context(), p.membersAddr)
	})
	return p
}

// grpcMethods returns the methods of the fake service, one for each class.
func grpcMethods(gateway *pumicecroft.Gateway) map[string]grpcproxy.Method {
	methods := map[string]grpcproxy.Method{}
	for _, class := range gateway.ClassNames() {
		methods["/"+fakes.GRPCService+"/"+class] = grpcproxy.Method{Class: class}
	}
	return methods
}

// hostedGRPC is a Gateway behind a gRPC server in this process.
type hostedGRPC struct {
	gateway  *pumicecroft.Gateway
	addr     string
	stop     func()
	served   chan error
	stopOnce sync.Once
	stopErr  error
}

func (g *hostedGRPC) Addr() string { return g.addr }

func (g *hostedGRPC) Stop() error {
	g.stopOnce.Do(func() {
		g.stop()
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		g.stopErr = errors.Join(<-g.served, g.gateway.Close(ctx))
	})
	return g.stopErr
}
