package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/testkit"
	"pumicecroft/membership"
)

// discoveryTest runs a Discovery against a scripted server and applies its updates to a membership table.
type discoveryTest struct {
	t         *testing.T
	addr      string
	responses chan *scriptedResponse // one for each request
	source    *Discovery
	states    chan string // the table's state after each report
	reports   chan membership.Update
}

// scriptedResponse is a response of the scripted server. It writes each string that is sent to text; when
// text is closed, the connection is aborted.
type scriptedResponse struct {
	uri  string
	text chan string
	done <-chan struct{}
}

func (r *scriptedResponse) end() { close(r.text) }

func newDiscoveryTest(t *testing.T, from int64, maxEntries int, addrChanges chan string) *discoveryTest {
	t.Helper()
	s := &discoveryTest{
		t:         t,
		responses: make(chan *scriptedResponse, 10),
		states:    make(chan string, 100),
		reports:   make(chan membership.Update, 100),
	}
	s.addr = s.serve()
	s.source = &Discovery{Addr: s.addr, FromVersion: from, MaxEntries: maxEntries, AddrChanges: addrChanges}
	table := membership.NewTable(membership.Policy{}, membership.SourceInfo{Name: "discovery", Trusted: true})
	state := map[string]string{}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() {
		defer close(ended)
		s.source.Run(ctx, func(update membership.Update) {
			changes, _ := table.Report(0, "discovery", update, func(time.Time) time.Duration { return 0 })
			for _, c := range changes {
				switch c.State {
				case decision.Ready:
					state[c.Name] = c.Name
				case decision.Draining:
					state[c.Name] = c.Name + ":out"
				default:
					delete(state, c.Name)
				}
			}
			s.reports <- update
			s.states <- strings.Join(slices.Sorted(maps.Values(state)), " ")
		})
	}()
	t.Cleanup(func() {
		cancel()
		testkit.Await(t, ended, "the end")
	})
	return s
}

// serve starts a scripted server and returns its address.
func (s *discoveryTest) serve() string {
	s.t.Helper()
	return testkit.Serve(s.t, func(w http.ResponseWriter, r *http.Request) {
		response := &scriptedResponse{r.URL.RequestURI(), make(chan string), r.Context().Done()}
		select {
		case s.responses <- response:
		case <-response.done:
			return
		}
		for {
			select {
			case text, more := <-response.text:
				if !more {
					panic(http.ErrAbortHandler) // truncates the response
				}
				writeAndFlush(w, text)
			case <-response.done:
				return
			}
		}
	})
}

// send writes text to a response.
func (s *discoveryTest) send(response *scriptedResponse, text string) {
	s.t.Helper()
	select {
	case response.text <- text:
	case <-response.done:
		s.t.Fatalf("the response to %s was canceled before %q", response.uri, text)
	}
}

// waitRequest waits for the next request and checks its query, which includes the question mark.
func (s *discoveryTest) waitRequest(want string) *scriptedResponse {
	s.t.Helper()
	response := testkit.Await(s.t, s.responses, "the request "+want)
	if response.uri != "/v1/endpoints"+want {
		s.t.Fatalf("got request %s, want /v1/endpoints%s", response.uri, want)
	}
	return response
}

// wantState waits for the next report and checks the table's state after it, in the form of encodeNamed.
func (s *discoveryTest) wantState(want string) {
	s.t.Helper()
	if got := testkit.Await(s.t, s.states, "the state "+want); got != want {
		s.t.Fatalf("got state %q, want %q", got, want)
	}
}

// wantNoReport checks that no further update was reported so far.
func (s *discoveryTest) wantNoReport() {
	s.t.Helper()
	if len(s.states) > 0 {
		s.t.Fatalf("got a further report, with state %q, want none", <-s.states)
	}
}

// encodeNamed returns an update of the given entries, separated by spaces. "a" is a ready backend named a,
// "a:out" a draining one, and "a:gone" a removed one.
func encodeNamed(seq int, full bool, entries string) string {
	health := map[string]string{"": "Ready", "out": "Terminating", "gone": "Gone"}
	var b strings.Builder
	for i, e := range strings.Fields(entries) {
		name, state, _ := strings.Cut(e, ":")
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"host":"%s","dial":"h:%s","health":"%s","share":1}`, name, name, health[state])
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, full, b.String())
}

// The connection breaks in the middle of an update: within an entry, after the last one, or before the
// closing brace. Only the drains that were read may take effect, and the next request must ask for the same
// changes again.
func TestTruncatedUpdateKeepsOnlyDrains(t *testing.T) {
	for name, missing := range map[string]int{ // bytes
		"within an entry":      len(`"share":1}]}`),
		"after the last entry": len("]}"),
		"before the end":       len("}"),
	} {
		t.Run(name, func(t *testing.T) {
			s := newDiscoveryTest(t, 3, 0, nil)
			a := s.waitRequest("?watch=1&from=3")
			s.send(a, encodeNamed(4, true, "a b c")+"\n")
			s.wantState("a b c")
			text := encodeNamed(9, true, "d a:out x:out b e")
			s.send(a, text[:len(text)-missing])
			s.wantState("a:out b c")
			a.end()
			a = s.waitRequest("?watch=1&from=4")
			s.send(a, encodeNamed(10, false, "b:out d:gone")+"\n")
			s.wantState("a:out b:out c")
			s.send(a, encodeNamed(11, true, "a b:out d")+"\n")
			s.wantState("a b:out d")
			s.wantNoReport()
		})
	}
}

// The first full list is truncated. It must be requested again, and no part of the truncated list may take
// effect.
func TestTruncatedFirstUpdateIsRequestedAgain(t *testing.T) {
	s := newDiscoveryTest(t, FromFullUpdate, 0, nil)
	a := s.waitRequest("")
	s.send(a, strings.TrimSuffix(encodeNamed(9, true, "a b:out c"), "}"))
	a.end()
	a = s.waitRequest("")
	s.send(a, encodeNamed(9, true, "a b:out c")+"\n")
	s.wantState("") // the report of b's drain: b is not known yet
	s.wantState("a b:out c")
	s.waitRequest("?watch=1&from=9")
	s.wantNoReport()
}

// Full updates and changes arrive in one write. They must be reported in their order.
func TestUpdatesInOneWriteKeepOrder(t *testing.T) {
	s := newDiscoveryTest(t, 3, 0, nil)
	a := s.waitRequest("?watch=1&from=3")
	s.send(a, encodeNamed(4, false, "a b")+encodeNamed(5, true, "a c d")+"\n\n"+encodeNamed(6, true, "c:out e")+
		encodeNamed(7, false, "c")+encodeNamed(8, false, "e:gone")+"\n")
	for _, want := range []string{"a b", "a c d", "c:out e", "c"} {
		s.wantState(want)
	}
	a.end()
	s.waitRequest("?watch=1&from=8")
	s.wantNoReport()
}

// The process is paused while a long update arrives. A drain in the part that has arrived must be reported
// before the update ends, and Sync must not return before that, so that nothing more is sent to the backend.
// No other entry of the update may take effect before its end.
func TestDrainReportedBeforeUpdateEnds(t *testing.T) {
	s := newDiscoveryTest(t, 3, 0, nil)
	a := s.waitRequest("?watch=1&from=3")
	s.send(a, encodeNamed(4, true, "a b c")+"\n")
	s.wantState("a b c")
	for i, text := range []string{
		`{"hosts":[`,
		`{"host":"a","dial":"h:a","health":"Ready"},`,
		`{"host":"b","dial":"h:b","health":"Terminating"},`,
	} {
		s.send(a, text)
		if i == 2 {
			s.wantState("a b:out c")
		}
	}
	s.send(a, `{"host":"c","dial":"h:c","health":"Gone"},`)
	s.wantState("a b:out c:out")
	if err := s.source.Sync(t.Context(), time.Now()); err != nil {
		t.Errorf("Sync in the middle of an update returned %v, want nil", err)
	}
	s.wantNoReport()
	s.send(a, `{"host":"d","dial":"h:d","health":"Ready"}],"whole":false,"seq":5}`)
	s.wantState("a b:out d")
	s.wantNoReport()
}

// The address of discovery changes in the middle of an update. The update must be dropped and the full list
// requested from the new address. The test ends in the middle of another update, as a process may.
func TestNewAddressDuringUpdate(t *testing.T) {
	addrs := make(chan string)
	s := newDiscoveryTest(t, 3, 0, addrs)
	a := s.waitRequest("?watch=1&from=3")
	s.send(a, encodeNamed(4, true, "a b c")+"\n")
	s.wantState("a b c")
	s.send(a, strings.TrimSuffix(encodeNamed(5, true, "a:out d"), "]}"))
	s.wantState("a:out b c")
	addrs <- s.serve()
	testkit.Await(t, a.done, "the end of the old response")
	b := s.waitRequest("")
	s.send(b, encodeNamed(1, true, "a b"))
	s.wantState("a b")
	b = s.waitRequest("?watch=1&from=1")
	s.send(b, `{"seq":2,"whole":true,"hosts":[{"host":"e"`)
	s.wantNoReport()
}

// An update has more entries than the limit. It must be aborted at the limit without taking effect, and be
// logged once, with discovery's address.
func TestUpdateOverMaxEntriesIsRejected(t *testing.T) {
	var log bytes.Buffer
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	s := newDiscoveryTest(t, 3, 3, nil)
	t.Cleanup(func() { slog.SetDefault(old) })
	a := s.waitRequest("?watch=1&from=3")
	s.send(a, encodeNamed(4, true, "a b c")+"\n")
	s.wantState("a b c")
	s.send(a, strings.TrimSuffix(encodeNamed(5, true, "d e f g"), "]}"))
	testkit.Await(t, a.done, "the response to be canceled")
	a = s.waitRequest("?watch=1&from=4")
	s.send(a, encodeNamed(6, false, "b:out")+"\n")
	s.wantState("a b:out c")
	logged := 0
	for line := range strings.Lines(log.String()) {
		if strings.Contains(line, "more than 3 entries") && strings.Contains(line, s.addr) {
			logged++
		}
	}
	if logged != 1 {
		t.Errorf("the update was logged %d times, want once:\n%s", logged, log.String())
	}
}

// bodyTransport is a RoundTripper whose responses have a given body.
type bodyTransport struct{ body io.Reader }

func (b bodyTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(b.body)}, nil
}

// Changes that arrive together must be reported as one update, in their order and with the last one's version,
// whatever ends the watch after them.
func TestChangesAreMerged(t *testing.T) {
	const n = 200
	var text strings.Builder
	for i := range n {
		text.WriteString(encodeNamed(10+i, false, fmt.Sprintf("s-%d:out", i%50)) + "\n")
	}
	for suffix, want := range map[string]error{
		"":            io.ErrUnexpectedEOF,
		`{"seq":2}`:   errVersionWentBack,
		`{"seq":"x"}`: nil,
	} {
		var updates []EndpointUpdate
		from := int64(9)
		transport := bodyTransport{&chunkReader{text.String() + suffix, 1 << 20, io.ErrUnexpectedEOF}}
		err := (&Discovery{}).watch(t.Context(), transport, "agent", watchTimeouts{idle: testkit.WaitTimeout}, &from,
			func(u EndpointUpdate) { updates = append(updates, u) })
		if err == nil || want != nil && !errors.Is(err, want) {
			t.Errorf("%q: watch ended with %v, want %v or, if that is nil, any error", suffix, err, want)
		}
		if len(updates) != 1 {
			t.Fatalf("%q: got %d updates, want 1: %+v", suffix, len(updates), updates)
		}
		merged := updates[0]
		if merged.MergedUpdates != n || merged.Seq != 9+n || len(merged.Endpoints) != n ||
			merged.Endpoints[n-1].Name != "s-49" {
			t.Fatalf("%q: got update %+v, want %d merged updates and endpoints, version %d", suffix, merged, n, 9+n)
		}
		if back := errors.Is(want, errVersionWentBack); back != (from == FromFullUpdate) || !back && from != 9+n {
			t.Errorf("%q: next watch starts from version %d, want %d, or %d if the version went back", suffix, from, 9+n,
				FromFullUpdate)
		}
	}
}

// A long update arrives slowly. The watch must last as long as progressEntries entries arrive within each
// timeout.
func TestSlowUpdateKeepsWatchAlive(t *testing.T) {
	const idleTimeout, interval = time.Second, 100 * time.Millisecond
	for _, c := range []struct {
		entries  int // per interval
		err      error
		reported int
	}{{progressEntries / 2, nil, 1}, {1, errNoProgress, 0}} {
		t.Run(fmt.Sprint(c.entries), func(t *testing.T) {
			t.Parallel()
			addr := testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
				tick := time.NewTicker(interval)
				defer tick.Stop()
				writeAndFlush(w, `{"seq":9,"whole":true,"hosts":[{}`)
				for range 3 * idleTimeout / interval {
					writeAndFlush(w, strings.Repeat(`,{"host":"s","dial":"h:1","health":"Ready"}`, c.entries))
					select {
					case <-tick.C:
					case <-r.Context().Done():
						return
					}
				}
				writeAndFlush(w, "]}")
			})
			from, reported := int64(1), 0
			err := (&Discovery{}).watch(t.Context(), &http.Transport{DisableKeepAlives: true}, addr,
				watchTimeouts{idle: idleTimeout}, &from, func(EndpointUpdate) { reported++ })
			if reported != c.reported || c.err != nil && !errors.Is(err, c.err) {
				t.Errorf("watch ended with %v after %d updates, want %v (nil: any) after %d", err, reported, c.err, c.reported)
			}
		})
	}
}

// Each watch begins with a valid update, followed by an invalid one. Requests must back off exponentially.
func TestInvalidUpdateAfterValidBacksOff(t *testing.T) {
	t.Parallel()
	requestTimes := make(chan time.Time, 100)
	addr := testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		requestTimes <- time.Now()
		writeAndFlush(w, encodeNamed(4, true, "a b")+"\n"+encodeNamed(5, true, "a b c d"))
		<-r.Context().Done()
	})
	follow(t, &Discovery{Addr: addr, FromVersion: 3, MaxEntries: 3})
	first := testkit.Await(t, requestTimes, "the first request")
	for range 5 {
		testkit.Await(t, requestTimes, "a further request")
	}
	// The delays start at 0.1 s and double each time, less jitter of up to a half.
	if took, want := time.Since(first), 31*100*time.Millisecond/2; took < want {
		t.Errorf("six requests within %v, want %v at least", took, want)
	}
}
