package grpcproxy

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"pumicecroft"
	"pumicecroft/membership"
)

// cpuTime returns the user and system time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// listenServe runs a server on a loopback port until the benchmark ends, and returns its address.
func listenServe(b *testing.B, s *grpc.Server) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go s.Serve(ln)
	b.Cleanup(s.Stop)
	return ln.Addr().String()
}

// newClient returns a client of the server at addr. It is closed when the benchmark ends.
func newClient(b *testing.B, addr string) *grpc.ClientConn {
	c, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(Codec())))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = c.Close() })
	return c
}

// benchmarkPath is a client that reaches the backend in one of the compared ways.
type benchmarkPath struct {
	name string
	conn *grpc.ClientConn
}

// benchmarkPaths returns three paths to a backend that echoes messages: direct, through a plain proxy
// that forwards calls with grpc-go's client, and through the gateway. All run in this process, so the cost
// that a proxy adds is the figure of its path minus that of "direct". Both proxies have the same server
// options, except for their handlers.
func benchmarkPaths(b *testing.B) []benchmarkPath {
	echo := func(_ any, ss grpc.ServerStream) error {
		var m framedMessage
		if err := ss.RecvMsg(&m); err != nil {
			return err
		}
		return ss.SendMsg(m)
	}
	backend := listenServe(b, grpc.NewServer(grpc.ForceServerCodecV2(Codec()), grpc.UnknownServiceHandler(echo),
		grpc.MaxConcurrentStreams(1000)))
	proxyClient := newClient(b, backend)
	plainProxy := func(_ any, ss grpc.ServerStream) error {
		method, _ := grpc.MethodFromServerStream(ss)
		md, _ := metadata.FromIncomingContext(ss.Context())
		var in, out framedMessage
		if err := ss.RecvMsg(&in); err != nil {
			return err
		}
		var header, trailer metadata.MD
		err := proxyClient.Invoke(metadata.NewOutgoingContext(ss.Context(), md), method, in, &out, grpc.Header(&header),
			grpc.Trailer(&trailer))
		ss.SetTrailer(trailer)
		if err != nil {
			return err
		}
		_ = ss.SetHeader(header)
		return ss.SendMsg(out)
	}
	settings := deskSettings()
	gateway, err := pumicecroft.New(pumicecroft.Config{Settings: settings,
		InitialEndpoints: membership.Update{Nodes: []membership.Node{
			{Name: "one", Addr: backend, Protocol: membership.ProtocolGRPC}}}},
		WithBackends(BackendConfig{MaxConnsPerBackend: 1}))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = gateway.Close(context.Background()) })
	proxy, err := New(gateway, Config{Methods: deskMethods})
	if err != nil {
		b.Fatal(err)
	}
	plainServer := grpc.NewServer(append(proxy.ServerOptions(), grpc.UnknownServiceHandler(plainProxy))...)
	return []benchmarkPath{{"direct", newClient(b, backend)}, {"proxy", newClient(b, listenServe(b, plainServer))},
		{"gateway", newClient(b, listenServe(b, grpc.NewServer(proxy.ServerOptions()...)))}}
}

// BenchmarkOverhead sends rounds of calls on each path in turn, with 1 and with 64 concurrent calls. It
// takes the median over the rounds of CPU time, allocations, p50 and p99 latency. A rejected call is
// retried after its pushback, and its latency includes the wait. The metrics are ratios of the medians:
// NAME-gateway/proxy and NAME-gateway/direct, and NAME-own, which is gateway/proxy after the value of
// "direct" is subtracted from both.
//
//	go test -run xxx -bench Overhead -benchtime 60x ./grpcproxy
func BenchmarkOverhead(b *testing.B) {
	for _, streams := range []int{1, 64} {
		b.Run(fmt.Sprint(streams, " streams"), func(b *testing.B) {
			const round = 2000
			paths := benchmarkPaths(b)
			var figures [3][4][]float64 // for each path: CPU in µs, allocations, p50 and p99 in µs
			var id uint64
			var rejected atomic.Int64
			for b.Loop() {
				for i, path := range paths {
					latencies := make([]float64, round)
					runtime.GC()
					var memBefore, memAfter runtime.MemStats
					runtime.ReadMemStats(&memBefore)
					cpuBefore := cpuTime()
					var clients sync.WaitGroup
					base := id
					id += round
					for k := range streams {
						clients.Go(func() {
							for n := k; n < round; n += streams {
								c := call{method: "/shop.Desk/Look", text: "amount=3", timeout: 20 * time.Second,
									md: metadata.Pairs("x-api-key", "0000000000000007",
										"x-tier", "shop", "request-id", fmt.Sprintf("%016x", base+uint64(n)))}
								start := time.Now()
								res := c.invoke(context.Background(), path.conn)
								for res.st.Code() == codes.ResourceExhausted { // rejected: retry after the pushback
									rejected.Add(1)
									ms, _ := strconv.Atoi(res.pushback)
									time.Sleep(time.Duration(ms) * time.Millisecond)
									res = c.invoke(context.Background(), path.conn)
								}
								if res.text != "amount=3" {
									b.Errorf("%s: got %v, message %q, want %q", path.name, res.st, res.text, "amount=3")
								}
								latencies[n] = float64(time.Since(start).Microseconds())
							}
						})
					}
					clients.Wait()
					cpuUsed := cpuTime() - cpuBefore
					runtime.ReadMemStats(&memAfter)
					slices.Sort(latencies)
					for f, value := range []float64{float64(cpuUsed.Nanoseconds()) / 1e3 / round,
						float64(memAfter.Mallocs-memBefore.Mallocs) / round, latencies[round/2], latencies[round*99/100]} {
						figures[i][f] = append(figures[i][f], value)
					}
				}
			}
			b.ReportMetric(100*float64(rejected.Load())/float64(id/3), "refused-%")
			for f, name := range []string{"cpu", "allocs", "p50", "p99"} {
				var medians [3]float64
				for i := range paths {
					slices.Sort(figures[i][f])
					medians[i] = figures[i][f][len(figures[i][f])/2]
				}
				b.ReportMetric(medians[2]/medians[1], name+"-gateway/proxy")
				b.ReportMetric(medians[2]/medians[0], name+"-gateway/direct")
				if f < 2 {
					b.ReportMetric((medians[2]-medians[0])/(medians[1]-medians[0]), name+"-own")
				}
			}
		})
	}
}
