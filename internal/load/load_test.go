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

// lookRequest is the request of most plans of the tests.
const lookRequest = "[[request]]\nname = \"look\"\npath = \"/\"\n"

// plan parses a plan with a name.
func plan(t testing.TB, text string) *Plan {
	t.Helper()
	p, err := Parse([]byte("name = \"test\"\n" + text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// target starts a backend and returns its address.
func target(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// ask runs a plan.
func ask(t testing.TB, p *Plan, addr string) *Result {
	t.Helper()
	r, err := Run(t.Context(), p, Options{Target: addr, Progress: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// near reports whether a latency is the known one, within 1% or 1 ms above what the machine's timers add. A busy
// machine may be later; then the run's own lag shows it.
func near(got, want, lag time.Duration) bool {
	return got >= want-time.Millisecond && got <= want+max(want/100, time.Millisecond)+4*lag+2*time.Millisecond
}

// A backend answers after a known delay and stalls once. The open loop must measure the delay and show the stall in its
// tail; a closed loop doesn't show it.
func TestKnownDelay(t *testing.T) {
	const delay, stall = 30 * time.Millisecond, 400 * time.Millisecond
	var stalled atomic.Int64
	addr := target(t, func(http.ResponseWriter, *http.Request) {
		time.Sleep(delay)
		time.Sleep(time.Until(time.Unix(0, stalled.Load())))
	})
	p := plan(t, "rate = 500\narrivals = \"even\"\nduration = \"1500ms\"\nconnections = 400\n"+lookRequest)
	r := ask(t, p, addr)
	if r.Sent < 740 || r.Sent > 750 || r.Good != r.Sent || r.Outcomes["200"] != r.Sent || r.Partial {
		t.Fatalf("%+v", r)
	}
	t.Logf("%v, lag %v", r, r.LagP99)
	if r.Invalid == "" && !near(r.All.P50, delay, r.LagP99) {
		t.Errorf("p50 is %v, lag %v", r.All.P50, r.LagP99)
	}
	go func() {
		time.Sleep(700 * time.Millisecond)
		stalled.Store(time.Now().Add(stall).UnixNano())
	}()
	open := ask(t, p, addr)
	// Of 750 requests some 200 came within the stall: their latencies fall evenly from 400 ms.
	if open.All.P99 < stall*8/10 || open.All.P90 < 100*time.Millisecond {
		t.Errorf("the stall does not show: %v", open)
	}
	stalled.Store(0)
	go func() {
		time.Sleep(700 * time.Millisecond)
		stalled.Store(time.Now().Add(stall).UnixNano())
	}()
	closed := hdrhistogram.New(1, 10_000_000, 3) // one after another, as a loop does
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
		begun := time.Now()
		res, err := http.Get("http://" + addr)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		_ = closed.RecordValue(time.Since(begun).Microseconds())
	}
	if p90 := closed.ValueAtQuantile(90); p90 > 100_000 {
		t.Errorf("a closed loop's p90 is %d us: then the stall is no test", p90)
	}
}

var longFlag = flag.Bool("long", false, "measure a known delay and a stall for a minute, on quiet processors")

// The measurement: a delay of 100 ms for 20 s, then the same with a stall of 1 s in the middle, beside a closed loop.
//
//	go test ./internal/load -run TestLong -long -v
func TestLong(t *testing.T) {
	if !*longFlag {
		t.Skip("-long is not given")
	}
	const delay = 100 * time.Millisecond
	var stalled atomic.Int64
	addr := target(t, func(http.ResponseWriter, *http.Request) {
		precisely(max(stalled.Load(), time.Now().Add(delay).UnixNano()))
	})
	p := plan(t, "rate = 200\nduration = \"20s\"\nconnections = 400\n[[request]]\nname = \"look\"\npath = \"/\"\n")
	show := func(name string, f *LatencySummary) { t.Logf("%s: p50 %v p99 %v p99.9 %v", name, f.P50, f.P99, f.P999) }
	r := ask(t, p, addr)
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
			begun := time.Now()
			res, err := http.Get("http://" + addr)
			if err == nil {
				res.Body.Close()
			}
			closed.add(time.Since(begun))
		}
	})
	r = ask(t, p, addr)
	close(stop)
	loop.Wait()
	if err := closed.summarize(); err != nil {
		t.Fatal(err)
	}
	show("a stall of 1 s", &r.All)
	show("closed loop", &closed)
	t.Logf("lag p99 %v; of the open loop %d over 150 ms of %d, of the closed %d of %d", r.LagP99,
		over(r.All.histogram, 150*time.Millisecond), r.All.Count, over(closed.histogram, 150*time.Millisecond), closed.Count)
}

// precisely sleeps as closely as the load waits, so that the delay is known.
func precisely(at int64) { waitUntil(context.Background(), time.Unix(0, at)) }

func over(h *hdrhistogram.Histogram, d time.Duration) (n int64) {
	for _, b := range h.Distribution() {
		if b.From > d.Microseconds() {
			n += b.Count
		}
	}
	return n
}

// A target that stops answering leaves nothing out: each request has its end, the rest with their timeout.
func TestSilentTarget(t *testing.T) {
	var n atomic.Int64
	gone := make(chan bool)
	addr := target(t, func(_ http.ResponseWriter, r *http.Request) {
		if n.Add(1) > 50 {
			select {
			case <-gone:
			case <-r.Context().Done():
			}
		}
	})
	t.Cleanup(func() { close(gone) })
	p := plan(t, "rate = 400\nduration = \"500ms\"\ntimeout = \"300ms\"\nopen = 60\nconnections = 100\n"+lookRequest)
	r := ask(t, p, addr)
	ends := 0
	for _, c := range r.Outcomes {
		ends += c
	}
	if ends != r.Sent || r.All.Count != int64(r.Sent) || r.Outcomes["timed out"] == 0 || r.Dropped == 0 ||
		r.Outcomes["no room"] != r.Dropped || r.All.P90 < 290*time.Millisecond || r.Good > 60 {
		t.Errorf("%v %+v", r, r.Outcomes)
	}
}

// One that can't keep its schedule says so, and one that is ended early gives what it has.
func TestNotValid(t *testing.T) {
	addr := target(t, func(http.ResponseWriter, *http.Request) {})
	p := plan(t, "rate = 1e6\nrequests = 20000\nopen = 20\nmost_lag = \"1us\"\n"+lookRequest)
	if r := ask(t, p, addr); !strings.Contains(r.Invalid, "schedule") || !strings.Contains(r.String(), "NOT VALID") {
		t.Errorf("%v", r)
	}
	ctx, stop := context.WithCancel(t.Context())
	var asked atomic.Int64
	addr = target(t, func(http.ResponseWriter, *http.Request) {
		if asked.Add(1) == 20 {
			stop()
		}
	})
	p = plan(t, "rate = 200\nduration = \"1h\"\nmost_lag = \"10s\"\n"+lookRequest)
	r, err := Run(ctx, p, Options{Target: addr})
	if err != nil || !r.Partial || r.Invalid != "" || r.Good < 20 || r.Good != r.Sent {
		t.Errorf("ended early: %v, %v", r, err)
	}
	text, err := r.JSON()
	var again Result
	err = errors.Join(err, json.Unmarshal(text, &again))
	if err != nil || again.Good != r.Good || len(again.All.Histogram) == 0 {
		t.Errorf("%v: %s", err, text)
	}
	for _, c := range []string{"10.1.2.3:80", "example.org:80", "0.0.0.0:80", "nowhere"} {
		if _, err := Run(t.Context(), p, Options{Target: c}); err == nil {
			t.Errorf("%s was asked", c)
		}
	}
}

// Clients that follow Retry-After retry when it says, and others don't. Idempotency keys are repeated as often as the
// plan says, and requests have the plan's content.
func TestClients(t *testing.T) {
	var mu sync.Mutex
	keys, tries, kinds := map[string]int{}, map[string]time.Time{}, map[string]int{}
	early := 0
	addr := target(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		key, class := r.Header.Get("Idempotency-Key"), r.Header.Get("Request-Class")
		kinds[class]++
		keys[key]++
		if class == "pay" {
			body, _ := io.ReadAll(r.Body)
			if r.Method != http.MethodPost || r.URL.Path != "/pay" || string(body) != "pay "+key ||
				r.Header.Get("X-Tier") == "" || len(r.Header.Get("Request-Id")) != 16 {
				t.Errorf("%v %v %q", r.Method, r.URL, body)
			}
			return
		}
		if first, again := tries[key]; again {
			if time.Since(first) < 30*time.Millisecond {
				early++
			}
			return
		}
		tries[key] = time.Now()
		w.Header().Set("Retry-After", "0.030")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	p := plan(t, `rate = 1000
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
	r := ask(t, p, addr)
	looks := len(tries)
	repeated := 0
	for key, n := range keys {
		if _, look := tries[key]; !look {
			repeated += n - 1
		}
	}
	if part := float64(repeated) / float64(kinds["pay"]); math.Abs(part-0.4) > 0.06 {
		t.Errorf("%v of the keys are repeats", part)
	}
	share := float64(r.Retries) / float64(looks)
	if math.Abs(share-0.5) > 0.15 || early > 0 || r.Outcomes["503"]+r.Retries != looks {
		t.Errorf("%d of %d came back, %d too early: %v", r.Retries, looks, early, r.Outcomes)
	}
}

// Over gRPC a call is good, refused with a pushback, or fails, as its status says.
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
	p := plan(t, "rate = 500\nrequests = 300\nfollow = 0\n[[request]]\nname = \"pay\"\nprotocol = \"grpc\"\n"+
		"path = \"/shop.Desk/Pay\"\nbody = \"pay\"\nheaders = [\"Customer: {customer}\"]\n")
	r := ask(t, p, ln.Addr().String())
	if r.Outcomes["OK"] != 100 || r.Outcomes["Unavailable"] != 100 || r.Outcomes["Internal"] != 100 || r.Good != 100 {
		t.Errorf("%v", r.Outcomes)
	}
}

// The schedule is the plan's alone, at its rate, and within its bounds.
func TestSchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &Plan{
			Seed: rapid.Uint64().Draw(t, "seed"), Rate: rapid.Float64Range(100, 5000).Draw(t, "rate"),
			EvenArrivals: rapid.Bool().Draw(t, "even"), Duration: 2 * time.Second,
			MaxRequests: rapid.IntRange(1, 20_000).Draw(t, "requests"),
			Customers:   rapid.IntRange(1, 100).Draw(t, "customers"), Plans: []Share{{"a", 1}, {"b", 0}},
			Kinds: []RequestKind{{Name: "x", Weight: 1, RepeatKeyShare: 0.3}, {Name: "y", Weight: 1}},
		}
		d, e := NewGenerator(p), NewGenerator(p)
		n, last := 0, time.Duration(0)
		seen := map[uint64]bool{}
		for {
			s, ok := d.Next()
			if again, okAgain := e.Next(); again != s || ok != okAgain {
				t.Fatalf("%+v, and again %+v", s, again)
			}
			if !ok {
				break
			}
			n++
			if s.At < last || s.At >= p.Duration || s.Customer < 0 || s.Customer >= p.Customers || s.Plan != "a" ||
				seen[s.Key] && s.Kind == 1 {
				t.Fatalf("%+v after %v", s, last)
			}
			last, seen[s.Key] = s.At, true
		}
		if want := min(float64(p.MaxRequests), 2*p.Rate); math.Abs(float64(n)-want) > 6*math.Sqrt(want)+2 {
			t.Fatalf("%d shots, want %v", n, want)
		}
	})
}

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
		`line 10: request[0].headers: "a" is no NAME: VALUE`,
	} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("lacks %s: %v", want, err)
		}
	}
	if _, err := Parse([]byte("name = \"x\"\n")); err == nil || !strings.Contains(err.Error(), "request: there is none") {
		t.Error(err)
	}
}
