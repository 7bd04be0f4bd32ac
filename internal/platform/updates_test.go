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

// discoveryTest is a scripted discovery and a Discovery that follows it into a table.
type discoveryTest struct {
	t         *testing.T
	addr      string
	responses chan *scriptedResponse // as requests come
	source    *Discovery
	states    chan string // the table's state after each report
	reports   chan membership.Update
}

// scriptedResponse is a response of the scripted discovery. It writes what is sent to text, and ends when
// that is closed.
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

// serve starts one discovery and returns its address.
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
					panic(http.ErrAbortHandler) // the response is cut, not ended
				}
				flushed(w, text)
			case <-response.done:
				return
			}
		}
	})
}

// send has a response go on.
func (s *discoveryTest) send(response *scriptedResponse, text string) {
	s.t.Helper()
	select {
	case response.text <- text:
	case <-response.done:
		s.t.Fatalf("the response to %s was canceled before %q", response.uri, text)
	}
}

// waitRequest waits for the next request.
func (s *discoveryTest) waitRequest(want string) *scriptedResponse {
	s.t.Helper()
	response := testkit.Await(s.t, s.responses, "the request "+want)
	if response.uri != "/v1/endpoints"+want {
		s.t.Fatalf("discovery was asked for %s, want %s", response.uri, want)
	}
	return response
}

// wantState waits for the next report and checks the table's state after it.
func (s *discoveryTest) wantState(want string) {
	s.t.Helper()
	if got := testkit.Await(s.t, s.states, "the state "+want); got != want {
		s.t.Fatalf("state: %q, want %q", got, want)
	}
}

// wantNoReport checks that nothing more has been reported.
func (s *discoveryTest) wantNoReport() {
	s.t.Helper()
	if len(s.states) > 0 {
		s.t.Fatalf("reported: %q", <-s.states)
	}
}

// encodeNamed returns an update of entries that are written as "a", "a:out" and "a:gone".
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

// The connection breaks in the middle of an update: within an entry, behind the last one, or before the
// closing brace. The drains that were read hold, nothing else of the update does, and the next request asks
// for the same changes again.
func TestCutUpdateKeepsOnlyDrains(t *testing.T) {
	for name, cut := range map[string]int{
		"within an entry":       len(`"share":1}]}`),
		"behind the last entry": len("]}"),
		"before the end":        len("}"),
	} {
		t.Run(name, func(t *testing.T) {
			s := newDiscoveryTest(t, 3, 0, nil)
			a := s.waitRequest("?watch=1&from=3")
			s.send(a, encodeNamed(4, true, "a b c")+"\n")
			s.wantState("a b c")
			text := encodeNamed(9, true, "d a:out x:out b e")
			s.send(a, text[:len(text)-cut])
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

// The first full list is cut: it is asked for again, and nothing of the half counts.
func TestCutFirstUpdateIsAskedForAgain(t *testing.T) {
	s := newDiscoveryTest(t, FromFullUpdate, 0, nil)
	a := s.waitRequest("")
	s.send(a, strings.TrimSuffix(encodeNamed(9, true, "a b:out c"), "}"))
	a.end()
	a = s.waitRequest("")
	s.send(a, encodeNamed(9, true, "a b:out c")+"\n")
	s.wantState("") // b drains, but is not known yet
	s.wantState("a b:out c")
	s.waitRequest("?watch=1&from=9")
	s.wantNoReport()
}

// Full updates and changes arrive in one piece. They are reported in their order.
func TestUpdatesInOnePieceKeepOrder(t *testing.T) {
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

// A long update is on its way when the process is paused. A drain in the part that has arrived is reported
// before the update ends, and Sync does not return before that, so nothing more is sent to the backend.
// Nothing else of the update counts before its end.
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
		t.Errorf("in the middle of an update: %v", err)
	}
	s.wantNoReport()
	s.send(a, `{"host":"d","dial":"h:d","health":"Ready"}],"whole":false,"seq":5}`)
	s.wantState("a b:out d")
	s.wantNoReport()
}

// SIGHUP changes discovery's address in the middle of an update. The update is dropped and the new
// discovery's full list is asked for. The test ends, as a process may, in the middle of another update.
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

// An update has more entries than the limit. It is given up at the limit, changes nothing, and is logged in
// one line with discovery's address.
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
		t.Errorf("logged %d times:\n%s", logged, log.String())
	}
}

// bodyTransport is a transport whose responses have a given body.
type bodyTransport struct{ body io.Reader }

func (b bodyTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(b.body)}, nil
}

// Changes that arrive together are reported as one update, in their order and with the last one's version,
// up to whatever ends the watch behind them.
func TestChangesAreMerged(t *testing.T) {
	const n = 200
	var text strings.Builder
	for i := range n {
		text.WriteString(encodeNamed(10+i, false, fmt.Sprintf("s-%d:out", i%50)) + "\n")
	}
	for behind, want := range map[string]error{
		"":            io.ErrUnexpectedEOF,
		`{"seq":2}`:   errVersionWentBack,
		`{"seq":"x"}`: nil,
	} {
		var updates []EndpointUpdate
		from := int64(9)
		transport := bodyTransport{&chunkReader{text.String() + behind, 1 << 20, io.ErrUnexpectedEOF}}
		err := (&Discovery{}).watch(t.Context(), transport, "agent", watchTimeouts{silence: testkit.WaitTimeout}, &from,
			func(u EndpointUpdate) { updates = append(updates, u) })
		if err == nil || want != nil && !errors.Is(err, want) {
			t.Errorf("%q: ended with %v", behind, err)
		}
		if len(updates) != 1 {
			t.Fatalf("%q: %d reports: %+v", behind, len(updates), updates)
		}
		merged := updates[0]
		if merged.MergedUpdates != n || merged.Seq != 9+n || len(merged.Endpoints) != n ||
			merged.Endpoints[n-1].Name != "s-49" {
			t.Fatalf("%q: reported %+v", behind, merged)
		}
		if back := errors.Is(want, errVersionWentBack); back != (from == FromFullUpdate) || !back && from != 9+n {
			t.Errorf("%q: goes on from %d", behind, from)
		}
	}
}

// A long update arrives slowly. The watch stays alive as long as progressEntries arrive in time.
func TestSlowUpdateKeepsWatchAlive(t *testing.T) {
	const silence, every = time.Second, 100 * time.Millisecond
	for _, c := range []struct {
		entries  int // every time
		err      error
		reported int
	}{{progressEntries / 2, nil, 1}, {1, errSilent, 0}} {
		t.Run(fmt.Sprint(c.entries), func(t *testing.T) {
			t.Parallel()
			addr := testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
				beat := time.NewTicker(every)
				defer beat.Stop()
				flushed(w, `{"seq":9,"whole":true,"hosts":[{}`)
				for range 3 * silence / every {
					flushed(w, strings.Repeat(`,{"host":"s","dial":"h:1","health":"Ready"}`, c.entries))
					select {
					case <-beat.C:
					case <-r.Context().Done():
						return
					}
				}
				flushed(w, "]}")
			})
			from, reported := int64(1), 0
			err := (&Discovery{}).watch(t.Context(), &http.Transport{DisableKeepAlives: true}, addr,
				watchTimeouts{silence: silence}, &from, func(EndpointUpdate) { reported++ })
			if reported != c.reported || c.err != nil && !errors.Is(err, c.err) {
				t.Errorf("ended with %v after %d lists", err, reported)
			}
		})
	}
}

// Each watch begins with a valid update, and then sends an invalid one. It is asked for less and less often.
func TestInvalidUpdateAfterValidBacksOff(t *testing.T) {
	t.Parallel()
	asked := make(chan time.Time, 100)
	addr := testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		asked <- time.Now()
		flushed(w, encodeNamed(4, true, "a b")+"\n"+encodeNamed(5, true, "a b c d"))
		<-r.Context().Done()
	})
	follow(t, &Discovery{Addr: addr, FromVersion: 3, MaxEntries: 3})
	first := testkit.Await(t, asked, "the first request")
	for range 5 {
		testkit.Await(t, asked, "a further request")
	}
	// The delays are 0.1 s, doubled each time, less a random part of up to a half.
	if took, least := time.Since(first), 31*100*time.Millisecond/2; took < least {
		t.Errorf("six requests in %v, want %v at least", took, least)
	}
}
