package load

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"pgregory.net/rapid"
)

// lookRequest is the [[request]] table of most tests' plans.
const lookRequest = "[[request]]\nname = \"look\"\npath = \"/\"\n"

// mustParse parses a plan and gives it a name.
func mustParse(t testing.TB, text string) *Plan {
	t.Helper()
	p, err := Parse([]byte("name = \"test\"\n" + text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// startTarget starts an HTTP server and returns its address.
func startTarget(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// runPlan runs a plan against a target.
func runPlan(t testing.TB, p *Plan, addr string) *Result {
	t.Helper()
	r, err := Run(t.Context(), p, Options{Target: addr, Progress: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// withinTolerance reports whether a measured latency agrees with the known one: at most 1 ms below it, and above it by
// at most 1% (1 ms if that is more), 2 ms for the machine's timers, and four times the run's sending lag, which is long
// on a busy machine.
func withinTolerance(got, want, lag time.Duration) bool {
	return got >= want-time.Millisecond && got <= want+max(want/100, time.Millisecond)+4*lag+2*time.Millisecond
}

// A target responds after a known delay, and later stalls once. The open loop must measure the delay, and show the
// stall in its upper percentiles. A closed loop doesn't show such a stall; if it does, the stall is too long for this
// test.
func TestKnownDelay(t *testing.T) {
	const delay, stall = 30 * time.Millisecond, 400 * time.Millisecond
	var stalled atomic.Int64
	addr := startTarget(t, func(http.ResponseWriter, *http.Request) {
		time.Sleep(delay)
		time.Sleep(time.Until(time.Unix(0, stalled.Load())))
	})
	p := mustParse(t, "rate = 500\narrivals = \"even\"\nduration = \"1500ms\"\nconnections = 400\n"+lookRequest)
	r := runPlan(t, p, addr)
	if r.Scheduled < 740 || r.Scheduled > 750 || r.Good != r.Scheduled || r.Outcomes["200"] != r.Scheduled ||
		r.Partial {
		t.Fatalf("scheduled %d, good %d, partial %t, outcomes %v; "+
			"want 740 to 750 scheduled, all of them good with 200, not partial",
			r.Scheduled, r.Good, r.Partial, r.Outcomes)
	}
	t.Logf("%v, lag %v", r, r.LagP99)
	if r.Invalid == "" && !withinTolerance(r.All.P50, delay, r.LagP99) {
		t.Errorf("p50 is %v, want about %v; sending lag %v", r.All.P50, delay, r.LagP99)
	}
	go func() {
		time.Sleep(700 * time.Millisecond)
		stalled.Store(time.Now().Add(stall).UnixNano())
	}()
	open := runPlan(t, p, addr)
	// About 200 of the 750 requests are due within the stall, with latencies that fall evenly from 400 ms.
	if open.All.P99 < stall*8/10 || open.All.P90 < 100*time.Millisecond {
		t.Errorf("the open loop does not show the stall: p99 %v, want at least %v; p90 %v, want at least 100ms",
			open.All.P99, stall*8/10, open.All.P90)
	}
	stalled.Store(0)
	go func() {
		time.Sleep(700 * time.Millisecond)
		stalled.Store(time.Now().Add(stall).UnixNano())
	}()
	closed := hdrhistogram.New(1, 10_000_000, 3) // of a closed loop: one request after another
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
		start := time.Now()
		res, err := http.Get("http://" + addr)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		_ = closed.RecordValue(time.Since(start).Microseconds())
	}
	if p90 := closed.ValueAtQuantile(90); p90 > 100_000 {
		t.Errorf("the closed loop's p90 is %d us, want at most 100000: the stall is too long to tell the loops apart", p90)
	}
}

var longFlag = flag.Bool("long", false, "run TestLong for a minute; it needs an idle machine")

// Measures a delay of 100 ms for 20 s, then the same with a stall of 1 s in the middle, together with a closed loop. It
// reports the percentiles and asserts nothing:
//
//	go test ./internal/load -run TestLong -long -v
func TestLong(t *testing.T) {
	if !*longFlag {
		t.Skip("runs for a minute: needs -long")
	}
	const delay = 100 * time.Millisecond
	var stalled atomic.Int64
	addr := startTarget(t, func(http.ResponseWriter, *http.Request) {
		sleepUntil(max(stalled.Load(), time.Now().Add(delay).UnixNano()))
	})
	p := mustParse(t, "rate = 200\nduration = \"20s\"\nconnections = 400\n[[request]]\nname = \"look\"\npath = \"/\"\n")
	show := func(name string, f *LatencySummary) { t.Logf("%s: p50 %v p99 %v p99.9 %v", name, f.P50, f.P99, f.P999) }
	r := runPlan(t, p, addr)
	show("no stall", &r.All)
	time.AfterFunc(10*time.Second, func() { stalled.Store(time.Now().Add(time.Second).UnixNano()) })
	closed := newLatencySummary(10 * time.Second)
	stop := make(chan bool)
	var loop sync.WaitGroup
	loop.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			start := time.Now()
			res, err := http.Get("http://" + addr)
			if err == nil {
				res.Body.Close()
			}
			closed.add(time.Since(start))
		}
	})
	r = runPlan(t, p, addr)
	close(stop)
	loop.Wait()
	if err := closed.summarize(); err != nil {
		t.Fatal(err)
	}
	show("a stall of 1 s", &r.All)
	show("closed loop", &closed)
	t.Logf("sending lag p99 %v; latencies above 150 ms: %d of %d in the open loop, %d of %d in the closed loop", r.LagP99,
		countAbove(r.All.histogram, 150*time.Millisecond), r.All.Count,
		countAbove(closed.histogram, 150*time.Millisecond), closed.Count)
}

// sleepUntil sleeps until a Unix time in nanoseconds, as precisely as the load generator does, so that the target's
// delay is known.
func sleepUntil(at int64) { waitUntil(context.Background(), time.Unix(0, at)) }

// countAbove returns the number of latencies above d.
func countAbove(h *hdrhistogram.Histogram, d time.Duration) (n int64) {
	for _, b := range h.Distribution() {
		if b.From > d.Microseconds() {
			n += b.Count
		}
	}
	return n
}

// A target stops responding during a run. The result must include each request: those without a response with the
// timeout as their latency.
func TestSilentTarget(t *testing.T) {
	var n atomic.Int64
	gone := make(chan bool)
	addr := startTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		if n.Add(1) > 50 {
			select {
			case <-gone:
			case <-r.Context().Done():
			}
		}
	})
	t.Cleanup(func() { close(gone) })
	p := mustParse(t, "rate = 400\nduration = \"500ms\"\ntimeout = \"300ms\"\nopen = 60\nconnections = 100\n"+lookRequest)
	r := runPlan(t, p, addr)
	total := 0
	for _, count := range r.Outcomes {
		total += count
	}
	if total != r.Scheduled || r.All.Count != int64(r.Scheduled) || r.Outcomes["timed out"] == 0 || r.Dropped == 0 ||
		r.Outcomes["no room"] != r.Dropped || r.All.P90 < 290*time.Millisecond || r.Good > 60 {
		t.Errorf("%d scheduled, %d with outcomes %v, %d latencies, want all the same, with some timed out; "+
			"%d dropped, want as many as no room and not 0; p90 %v, want at least 290ms; %d good, want at most 60",
			r.Scheduled, total, r.Outcomes, r.All.Count, r.Dropped, r.All.P90, r.Good)
	}
}

// A run that can't keep its schedule must be invalid. A run that is ended early must return its result so far. Targets
// on other machines must be rejected.
func TestInvalidAndPartialRuns(t *testing.T) {
	addr := startTarget(t, func(http.ResponseWriter, *http.Request) {})
	p := mustParse(t, "rate = 1e6\nrequests = 20000\nopen = 20\nmost_lag = \"1us\"\n"+lookRequest)
	if r := runPlan(t, p, addr); !strings.Contains(r.Invalid, "schedule") || !strings.Contains(r.String(), "NOT VALID") {
		t.Errorf("Invalid is %q, want the schedule as reason; the report, which must say NOT VALID: %v", r.Invalid, r)
	}
	ctx, stop := context.WithCancel(t.Context())
	var received atomic.Int64
	addr = startTarget(t, func(http.ResponseWriter, *http.Request) {
		if received.Add(1) == 20 {
			stop()
		}
	})
	p = mustParse(t, "rate = 200\nduration = \"1h\"\nmost_lag = \"10s\"\n"+lookRequest)
	r, err := Run(ctx, p, Options{Target: addr})
	if err != nil || !r.Partial || r.Invalid != "" || r.Good < 20 || r.Good != r.Scheduled {
		t.Errorf("a run that was ended early: %v, %v; want a valid partial result with 20 or more requests, all good", r, err)
	}
	text, err := r.JSON()
	var decoded Result
	err = errors.Join(err, json.Unmarshal(text, &decoded))
	if err != nil || decoded.Good != r.Good || len(decoded.All.Histogram) == 0 {
		t.Errorf("decoded result file: error %v, %d good, want %d, and a histogram; the file: %s",
			err, decoded.Good, r.Good, text)
	}
	for _, target := range []string{"10.1.2.3:80", "example.org:80", "0.0.0.0:80", "nowhere"} {
		if _, err := Run(t.Context(), p, Options{Target: target}); err == nil {
			t.Errorf("Run accepted target %s, want an error", target)
		}
	}
}

// Clients that follow Retry-After must retry after its delay, and other clients must not retry. Idempotency keys must
// be repeated as often as the plan says, and requests must have the content that the plan says.
func TestRetriesAndIdempotencyKeys(t *testing.T) {
	var mu sync.Mutex
	keys, tries, kinds := map[string]int{}, map[string]time.Time{}, map[string]int{}
	early := 0
	addr := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		key, class := r.Header.Get("Idempotency-Key"), r.Header.Get("Request-Class")
		kinds[class]++
		keys[key]++
		if class == "pay" {
			body, _ := io.ReadAll(r.Body)
			if r.Method != http.MethodPost || r.URL.Path != "/pay" || string(body) != "pay "+key ||
				r.Header.Get("X-Tier") == "" || len(r.Header.Get("Request-Id")) != 16 {
				t.Errorf("got %v %v, body %q, headers %v; want POST /pay, body %q, X-Tier and a Request-Id of 16 characters",
					r.Method, r.URL, body, r.Header, "pay "+key)
			}
			return
		}
		if first, retried := tries[key]; retried {
			if time.Since(first) < 30*time.Millisecond {
				early++
			}
			return
		}
		tries[key] = time.Now()
		w.Header().Set("Retry-After", "0.030")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	p := mustParse(t, `rate = 1000
duration = "1s"
follow = 0.5
customers = 50
zipf = 1.5
[[plan]]
name = "shop"
[[plan]]
name = "flagship"
share = 3
[[request]]
name = "look"
share = 1
path = "/"
dialect = "platform"
[[request]]
name = "pay"
share = 3
path = "/"
body = "pay {key}"
repeat_key = 0.4
dialect = "platform"
`)
	r := runPlan(t, p, addr)
	looks := len(tries)
	repeated := 0
	for key, n := range keys {
		if _, look := tries[key]; !look {
			repeated += n - 1
		}
	}
	if repeatShare := float64(repeated) / float64(kinds["pay"]); math.Abs(repeatShare-0.4) > 0.06 {
		t.Errorf("a share of %v of the keys are repeats, want 0.4 +- 0.06", repeatShare)
	}
	share := float64(r.Retries) / float64(looks)
	if math.Abs(share-0.5) > 0.15 || early > 0 || r.Outcomes["503"]+r.Retries != looks {
		t.Errorf("%d retries of %d requests, %d of them too early, outcomes %v; want a share of 0.5 +- 0.15, none early, "+
			"and a 503 for each request without a retry", r.Retries, looks, early, r.Outcomes)
	}
}

// Over gRPC, the outcome of a call must be its status code, also where it is rejected with a pushback.
func TestGRPC(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var n atomic.Int64
	handle := func(_ any, stream grpc.ServerStream) error {
		var in []byte
		if err := stream.RecvMsg(&in); err != nil {
			return err
		}
		md, _ := metadata.FromIncomingContext(stream.Context())
		method, _ := grpc.MethodFromServerStream(stream)
		if method != "/shop.Desk/Pay" || string(in) != "pay" || len(md.Get("customer")) != 1 {
			return status.Errorf(codes.InvalidArgument, "%s %q %v", method, in, md)
		}
		switch n.Add(1) % 3 {
		case 0:
			stream.SetTrailer(metadata.Pairs("grpc-retry-pushback-ms", "5"))
			return status.Error(codes.Unavailable, "later")
		case 1:
			return status.Error(codes.Internal, "broken")
		}
		return stream.SendMsg(&in)
	}
	s := grpc.NewServer(grpc.ForceServerCodec(rawCodec{}), grpc.UnknownServiceHandler(handle))
	go s.Serve(ln)
	t.Cleanup(s.Stop)
	p := mustParse(t, "rate = 500\nrequests = 300\nfollow = 0\n[[request]]\nname = \"pay\"\nprotocol = \"grpc\"\n"+
		"path = \"/shop.Desk/Pay\"\nbody = \"pay\"\nheaders = [\"Customer: {customer}\"]\n")
	r := runPlan(t, p, ln.Addr().String())
	if r.Outcomes["OK"] != 100 || r.Outcomes["Unavailable"] != 100 || r.Outcomes["Internal"] != 100 || r.Good != 100 {
		t.Errorf("%d good, outcomes %v; want 100 good and 100 each of OK, Unavailable and Internal", r.Good, r.Outcomes)
	}
}

// Two generators of the same plan must generate the same requests, at the plan's rate and within its limits.
func TestSchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &Plan{
			Seed: rapid.Uint64().Draw(t, "seed"), Rate: rapid.Float64Range(100, 5000).Draw(t, "rate"),
			EvenArrivals: rapid.Bool().Draw(t, "even"), Duration: 2 * time.Second,
			MaxRequests: rapid.IntRange(1, 20_000).Draw(t, "requests"),
			Customers:   rapid.IntRange(1, 100).Draw(t, "customers"), Plans: []Share{{"a", 1}, {"b", 0}},
			Kinds: []RequestKind{{Name: "x", Weight: 1, RepeatKeyShare: 0.3}, {Name: "y", Weight: 1}},
		}
		first, second := NewGenerator(p), NewGenerator(p)
		n, last := 0, time.Duration(0)
		seen := map[uint64]bool{}
		for {
			r, ok := first.Next()
			if same, okSame := second.Next(); same != r || ok != okSame {
				t.Fatalf("the generators differ: %+v, %t and %+v, %t", r, ok, same, okSame)
			}
			if !ok {
				break
			}
			n++
			if r.At < last || r.At >= p.Duration || r.Customer < 0 || r.Customer >= p.Customers || r.Plan != "a" ||
				seen[r.Key] && r.Kind == 1 {
				t.Fatalf("got %+v; want At from %v to below %v, a customer below %d, plan a, and a new key for kind 1",
					r, last, p.Duration, p.Customers)
			}
			last, seen[r.Key] = r.At, true
		}
		if want := min(float64(p.MaxRequests), 2*p.Rate); math.Abs(float64(n)-want) > 6*math.Sqrt(want)+2 {
			t.Fatalf("%d requests, want %v +- %v", n, want, 6*math.Sqrt(want)+2)
		}
	})
}

// The error of an invalid plan must list each of its problems, with line and key.
func TestPlanProblems(t *testing.T) {
	_, err := Parse([]byte(`name = ""
rate = 0
duration = "soon"
zipf = 0.5
conections = 3
[[request]]
name = "x"
path = "y"
protocol = "smtp"
headers = ["a"]
`))
	for _, want := range []string{
		"line 1: name: it is empty",
		"line 2: rate: 0 is not from 0.001",
		`line 3: duration: "soon" is no time`,
		"line 4: zipf: 0.5 is not above 1",
		"line 5: conections: no such key",
		`line 8: request[0].path: "y" does not begin with /`,
		`line 9: request[0].protocol: "smtp" is none of`,
		`line 10: request[0].headers: "a" is not of the form NAME: VALUE`,
	} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want it to contain %s", err, want)
		}
	}
	if _, err := Parse([]byte("name = \"x\"\n")); err == nil || !strings.Contains(err.Error(), "request: there is none") {
		t.Errorf("a plan without requests: got error %v, want it to contain %q", err, "request: there is none")
	}
}
