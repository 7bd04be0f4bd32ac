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

// listenServe serves on a loopback port until the benchmark ends.
func listenServe(b *testing.B, s *grpc.Server) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go s.Serve(ln)
	b.Cleanup(s.Stop)
	return ln.Addr().String()
}

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

// benchmarkPath is one path from a client to a backend.
type benchmarkPath struct {
	name string
	conn *grpc.ClientConn
}

// benchmarkPaths returns paths to a backend that echoes: direct, through a plain proxy that
// receives a call and makes it again with grpc-go's client, and through the gateway. All of them
// run in this process, so that the cost of a path is its figure less that of "direct". All servers
// have the same options, but for their handlers.
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
	onward := newClient(b, backend)
	proxy := func(_ any, ss grpc.ServerStream) error {
		method, _ := grpc.MethodFromServerStream(ss)
		md, _ := metadata.FromIncomingContext(ss.Context())
		var in, out framedMessage
		if err := ss.RecvMsg(&in); err != nil {
			return err
		}
		var head, trail metadata.MD
		err := onward.Invoke(metadata.NewOutgoingContext(ss.Context(), md), method, in, &out, grpc.Header(&head),
			grpc.Trailer(&trail))
		ss.SetTrailer(trail)
		if err != nil {
			return err
		}
		_ = ss.SetHeader(head)
		return ss.SendMsg(out)
	}
	set := deskSettings()
	gateway, err := pumicecroft.New(pumicecroft.Config{Settings: set,
		InitialEndpoints: membership.Update{Nodes: []membership.Node{
			{Name: "one", Addr: backend, Protocol: membership.ProtocolGRPC}}}},
		WithBackends(BackendConfig{MaxConnsPerBackend: 1}))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = gateway.Close(context.Background()) })
	front, err := New(gateway, Config{Methods: deskMethods})
	if err != nil {
		b.Fatal(err)
	}
	plain := grpc.NewServer(append(front.ServerOptions(), grpc.UnknownServiceHandler(proxy))...)
	return []benchmarkPath{{"direct", newClient(b, backend)}, {"proxy", newClient(b, listenServe(b, plain))},
		{"door", newClient(b, listenServe(b, grpc.NewServer(front.ServerOptions()...)))}}
}

// BenchmarkOverhead sends calls by all paths in turn, a round each, with 1 and with 64 concurrent
// calls, and reports for each the median over the rounds of CPU, allocations, p50 and p99. A
// rejected call is retried when it is told to, and its time goes on. door/proxy is the ratio of the
// figures, own the ratio with "direct" taken off both.
//
//	go test -run xxx -bench Overhead -benchtime 60x ./grpcproxy
func BenchmarkOverhead(b *testing.B) {
	for _, streams := range []int{1, 64} {
		b.Run(fmt.Sprint(streams, " streams"), func(b *testing.B) {
			const round = 2000
			all := benchmarkPaths(b)
			var figures [3][4][]float64 // by way: CPU, allocations, p50, p99
			var id uint64
			var refused atomic.Int64
			for b.Loop() {
				for i, w := range all {
					took := make([]float64, round)
					runtime.GC()
					var m0, m1 runtime.MemStats
					runtime.ReadMemStats(&m0)
					start := cpuTime()
					var clients sync.WaitGroup
					base := id
					id += round
					for k := range streams {
						clients.Go(func() {
							for n := k; n < round; n += streams {
								c := call{method: "/shop.Desk/Look", text: "amount=3", timeout: 20 * time.Second,
									md: metadata.Pairs("x-api-key", "0000000000000007",
										"x-tier", "shop", "request-id", fmt.Sprintf("%016x", base+uint64(n)))}
								begun := time.Now()
								res := c.invoke(context.Background(), w.conn)
								for res.st.Code() == codes.ResourceExhausted { // it comes back when it is told to
									refused.Add(1)
									ms, _ := strconv.Atoi(res.pushback)
									time.Sleep(time.Duration(ms) * time.Millisecond)
									res = c.invoke(context.Background(), w.conn)
								}
								if res.text != "amount=3" {
									b.Errorf("%s: %v %q", w.name, res.st, res.text)
								}
								took[n] = float64(time.Since(begun).Microseconds())
							}
						})
					}
					clients.Wait()
					used := cpuTime() - start
					runtime.ReadMemStats(&m1)
					slices.Sort(took)
					for f, v := range []float64{float64(used.Nanoseconds()) / 1e3 / round,
						float64(m1.Mallocs-m0.Mallocs) / round, took[round/2], took[round*99/100]} {
						figures[i][f] = append(figures[i][f], v)
					}
				}
			}
			b.ReportMetric(100*float64(refused.Load())/float64(id/3), "refused-%")
			for f, name := range []string{"cpu", "allocs", "p50", "p99"} {
				var v [3]float64
				for i := range all {
					slices.Sort(figures[i][f])
					v[i] = figures[i][f][len(figures[i][f])/2]
				}
				b.ReportMetric(v[2]/v[1], name+"-door/proxy")
				b.ReportMetric(v[2]/v[0], name+"-door/direct")
				if f < 2 {
					b.ReportMetric((v[2]-v[0])/(v[1]-v[0]), name+"-own")
				}
			}
		})
	}
}
