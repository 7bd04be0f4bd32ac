package pumicecroft_test

import (
	"context"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/internal/httplistener"
	"pumicecroft/membership"
	"pumicecroft/middleware/nethttp"
)

// processCPU returns the user and system time of this process.
func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// accessPath is one path from a client to a backend.
type accessPath struct {
	name    string
	request func() error
}

// requestOnce sends one request and reads the response.
func requestOnce(client http.RoundTripper, req *http.Request) error {
	res, err := client.RoundTrip(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != 200 {
		return fmt.Errorf("%s: %w", res.Status, err)
	}
	return nil
}

// accessPaths returns paths to a backend: direct, through net/http/httputil.ReverseProxy, through the daemon's server,
// through the middleware, and by Do. Clients and the backend run in this process too, so the overhead of a path is its
// figure less that of "direct".
func accessPaths(b *testing.B) []accessPath {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "ok")
	}))
	b.Cleanup(backend.Close)
	addr := strings.TrimPrefix(backend.URL, "http://")
	gateway, err := pumicecroft.New(pumicecroft.Config{
		Settings: decision.Settings{CanCancel: true,
			Classes: []decision.Class{
				{Name: "look", LatencyObjective: time.Second, Deadline: 20 * time.Second, PriorityWeight: 1}},
			Plans: []decision.Plan{{Name: "basic", Rate: 1e6, Burst: 1e6, Price: 1}}},
		InitialEndpoints: membership.Update{Nodes: []membership.Node{{Name: "one", Addr: addr}}}})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = gateway.Close(context.Background()) })
	target, _ := url.Parse(backend.URL)
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}
	proxy.ErrorLog = log.New(io.Discard, "", 0)

	serve := func(h http.Handler) string {
		s := httptest.NewServer(h)
		b.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	b.Cleanup(stop)
	go func() {
		_ = httplistener.NewServer(gateway, 400, time.Minute, slog.New(slog.DiscardHandler),
			httplistener.Options{}).Run(ctx, ln)
	}()

	next := uint64(0)
	overHTTP := func(name, addr string) accessPath {
		client := &http.Transport{DisableCompression: true}
		b.Cleanup(client.CloseIdleConnections)
		return accessPath{name, func() error {
			next++
			req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/look", nil)
			if err != nil {
				return err
			}
			req.Header = http.Header{"Request-Id": {fmt.Sprintf("%016x", next)}, "Request-Class": {"look"}, "X-Tier": {"basic"},
				"X-Api-Key": {"00000000b4d65521"}, "Request-Timeout": {"20.5"}, "X-Call-Terms": {"units=1,spread=1,first=0"}}
			return requestOnce(client, req)
		}}
	}
	return []accessPath{
		overHTTP("direct", addr), overHTTP("ReverseProxy", serve(proxy)), overHTTP("daemon", ln.Addr().String()),
		overHTTP("middleware", serve(nethttp.New(gateway)(http.NotFoundHandler()))),
		{"Do", func() error {
			next++
			_, err := gateway.Do(context.Background(), pumicecroft.Request{ID: next, Class: "look", Plan: "basic", Customer: 7})
			return err
		}}}
}

// BenchmarkAccessPaths times each access path separately. cpu-us/op is user and system time of the whole process.
//
//	go test -run xxx -bench AccessPaths -benchtime 3s -cpu 1 .
func BenchmarkAccessPaths(b *testing.B) {
	for _, path := range accessPaths(b) {
		b.Run(path.name, func(b *testing.B) {
			b.ReportAllocs()
			start := processCPU()
			for b.Loop() {
				if err := path.request(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64((processCPU()-start).Nanoseconds())/1e3/float64(b.N), "cpu-us/op")
		})
	}
}

// BenchmarkOverhead sends requests by all access paths in turn, in short rounds, so that changes of the machine's speed
// affect all of them equally. It reports the CPU time of each path, as the median over the rounds, and the overhead of
// the daemon's server and of the middleware (their figures less that of "direct") relative to that of ReverseProxy.
//
//	go test -run xxx -bench BenchmarkOverhead -benchtime 100x -cpu 1 .
func BenchmarkOverhead(b *testing.B) {
	measureOverhead(b, accessPaths(b), func(i int) bool { return i == 2 || i == 3 })
}

// measureOverhead times access paths in turn. The first must be the direct one and the second ReverseProxy.
// reportsOverhead selects the paths whose overhead, relative to that of ReverseProxy, is reported.
func measureOverhead(b *testing.B, paths []accessPath, reportsOverhead func(i int) bool) {
	const requestsPerRound = 400
	cpuTimes := make([][]float64, len(paths)) // per request in microseconds, by path and round
	rng := rand.New(rand.NewPCG(1, 1))
	for b.Loop() {
		// A round pays for part of the garbage of the round before it. In a fixed order, that would always be the same
		// path's.
		for _, i := range rng.Perm(len(paths)) {
			start := processCPU()
			for range requestsPerRound {
				if err := paths[i].request(); err != nil {
					b.Fatal(err)
				}
			}
			cpuTimes[i] = append(cpuTimes[i], float64((processCPU()-start).Nanoseconds())/1e3/requestsPerRound)
		}
	}
	median := func(i int) float64 {
		slices.Sort(cpuTimes[i])
		return cpuTimes[i][len(cpuTimes[i])/2]
	}
	direct, proxy := median(0), median(1)
	for i, path := range paths {
		b.ReportMetric(median(i), path.name+"-cpu-us")
		if reportsOverhead(i) {
			b.ReportMetric((median(i)-direct)/(proxy-direct), path.name+"-of-proxy")
		}
	}
}
