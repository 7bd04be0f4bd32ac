package grpcproxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/internal/fakes"
	"pumicecroft/internal/testkit"
	"pumicecroft/membership"
)

// gatewayModeEnv is the environment variable that makes the test binary run as a gateway. Its value is
// the address of the backend.
const gatewayModeEnv = "PUMICECROFT_GRPC_GATEWAY"

func TestMain(m *testing.M) {
	if addr := os.Getenv(gatewayModeEnv); addr != "" {
		if err := serveGateway(addr); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// longSettings returns settings that allow calls to be open for an hour.
func longSettings() decision.Settings {
	s := deskSettings()
	for i := range s.Classes {
		s.Classes[i].LatencyObjective, s.Classes[i].Deadline = time.Hour, time.Hour
	}
	return s
}

// serveGateway runs a gateway for one backend until SIGTERM. It prints its address to standard output.
func serveGateway(backend string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	settings := longSettings()
	gateway, err := pumicecroft.New(pumicecroft.Config{Settings: settings, MaxOpenRequests: 1 << 15,
		InitialEndpoints: membership.Update{Nodes: []membership.Node{
			{Name: "one", Addr: backend, Protocol: membership.ProtocolGRPC}}}},
		WithBackends(BackendConfig{MaxConnsPerBackend: 20, MaxStreamsPerConn: 1000,
			ConnectTimeout: testkit.WaitTimeout}))
	if err != nil {
		return err
	}
	proxy, err := New(gateway, Config{Methods: deskMethods})
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(ln.Addr())
	ended := make(chan error, 1)
	go func() { ended <- proxy.Serve(ctx, ln) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done(): // open calls need not end first
		return nil
	}
}

// residentKiB returns a process's resident memory, in KiB.
func residentKiB(t testing.TB, pid int) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Skip("needs /proc")
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
	}
	t.Fatalf("/proc/%d/status has no line VmRSS", pid)
	return 0
}

// memoryPerStream starts a gateway in a process of its own, opens n streams to it over ten connections
// and reads one message of each. It returns the growth of the process's memory for each stream, in KiB,
// once the memory has stopped growing.
func memoryPerStream(t testing.TB, behavior fakes.GRPCBehavior, n int) float64 {
	t.Helper()
	backend, err := fakes.StartGRPC(fakes.GRPCConfig{Name: "one", Ledger: &fakes.Ledger{}, Behavior: always(behavior),
		MaxStreams: 1000})
	if err != nil {
		t.Fatal(err)
	}
	defer backend.Kill()
	gateway := exec.Command(os.Args[0])
	gateway.Env = append(os.Environ(), gatewayModeEnv+"="+backend.Addr())
	out, err := gateway.StdoutPipe()
	if err = errors.Join(err, gateway.Start()); err != nil {
		t.Fatal(err)
	}
	defer func() {
		gateway.Process.Signal(syscall.SIGTERM)
		_ = gateway.Wait()
	}()
	addr, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	r := &fixture{t: t, addr: strings.TrimSpace(addr)}
	var conns []*grpc.ClientConn
	for range 10 {
		c := r.connect()
		defer func() { _ = c.Close() }()
		conns = append(conns, c)
		k := r.call("Look")
		k.timeout = 50 * time.Millisecond
		k.invoke(context.Background(), c) // the first call establishes the connection
	}
	before := residentKiB(t, gateway.Process.Pid)
	ctx, cancelAll := context.WithCancel(context.Background())
	defer cancelAll()
	first := make(chan error, n)
	open := make(chan bool, 50)
	for i := range n {
		open <- true
		go func() {
			k := r.call("Watch")
			k.timeout = time.Hour
			callCtx, cancel := k.context(ctx)
			s, err := conns[i%len(conns)].NewStream(callCtx, serverStreamDesc, k.method)
			if err == nil {
				if err = errors.Join(s.SendMsg(frame(k.text)), s.CloseSend()); err == nil {
					var m framedMessage
					err = s.RecvMsg(&m)
				}
			}
			<-open
			first <- err
			<-ctx.Done()
			cancel()
		}()
	}
	for range n {
		if err := <-first; err != nil {
			t.Fatal(err)
		}
	}
	last := 0
	// Wait until the memory grows by at most 1% in a second.
	for now := residentKiB(t, gateway.Process.Pid); now > last+last/100; now = residentKiB(t, gateway.Process.Pid) {
		last = now
		time.Sleep(time.Second)
	}
	return float64(residentKiB(t, gateway.Process.Pid)-before) / float64(n)
}

// Each stream whose client does not read must cost the gateway a bounded amount of memory.
func TestMemoryOfSlowStreams(t *testing.T) {
	if raceEnabled {
		t.Skip("the memory of the race detector would count too")
	}
	if got := memoryPerStream(t, fakes.GRPCEndless, 100); got > 512 {
		t.Errorf("got %.0f KiB for each stream of a client that does not read, want at most 512", got)
	}
}

// BenchmarkMemory reports the memory of a gateway's process, in KiB, for each of 10,000 idle streams and
// for each of 1,000 streams whose clients do not read.
//
//	go test -run xxx -bench Memory -benchtime 1x ./grpcproxy
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		b.ReportMetric(memoryPerStream(b, fakes.GRPCStreamHang, 10_000), "KiB-idle")
		b.ReportMetric(memoryPerStream(b, fakes.GRPCEndless, 1000), "KiB-slow")
	}
}
