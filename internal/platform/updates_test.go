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

// A scene is a discovery that says what a test says, one answer after another, a table of what is heard of it, and what the table has told.
type discoveryTest struct {
	t         *testing.T
	addr      string
	responses chan *scriptedResponse // as they begin
	source    *Discovery
	states    chan string // what the table believes, after each report
	reports   chan membership.Update
}

// scriptedResponse is an answer of discovery's; what is sent to say is written, and closing it ends the answer.
type scriptedResponse struct {
	query string
	say   chan string
	done  <-chan struct{}
}

func (s *scriptedResponse) end() { close(s.say) }

func newDiscoveryTest(t *testing.T, from int64, most int, moves chan string) *discoveryTest {
	s := &discoveryTest{t: t, responses: make(chan *scriptedResponse, 10), states: make(chan string, 100), reports: make(chan membership.Update, 100)}
	s.addr = s.serve()
	s.source = &Discovery{Addr: s.addr, FromVersion: from, MaxEntries: most, AddrChanges: moves}
	table := membership.NewTable(membership.Policy{}, membership.SourceInfo{Name: "discovery", Trusted: true})
	believed := map[string]string{}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() {
		defer close(ended)
		s.source.Run(ctx, func(l membership.Update) {
			changes, _ := table.Report(0, "discovery", l, func(time.Time) time.Duration { return 0 })
			for _, c := range changes {
				switch c.State {
				case decision.Ready:
					believed[c.Name] = c.Name
				case decision.Draining:
					believed[c.Name] = c.Name + ":out"
				default:
					delete(believed, c.Name)
				}
			}
			s.reports <- l
			s.states <- strings.Join(slices.Sorted(maps.Values(believed)), " ")
		})
	}()
	t.Cleanup(func() {
		cancel()
		testkit.Await(t, ended, "the end")
	})
	return s
}

// serve is one discovery.
func (s *discoveryTest) serve() string {
	return testkit.Serve(s.t, func(w http.ResponseWriter, r *http.Request) {
		a := &scriptedResponse{r.URL.RequestURI(), make(chan string), r.Context().Done()}
		select {
		case s.responses <- a:
		case <-a.done:
			return
		}
		for {
			select {
			case text, more := <-a.say:
				if !more {
					panic(http.ErrAbortHandler) // no end of the answer, a cut
				}
				flushed(w, text)
			case <-a.done:
				return
			}
		}
	})
}

// send has an answer go on.
func (s *discoveryTest) send(a *scriptedResponse, text string) {
	s.t.Helper()
	select {
	case a.say <- text:
	case <-a.done:
		s.t.Fatalf("the answer to %s was given up before %q", a.query, text)
	}
}

// waitRequest waits for the next question.
func (s *discoveryTest) waitRequest(want string) *scriptedResponse {
	s.t.Helper()
	a := testkit.Await(s.t, s.responses, "the question "+want)
	if a.query != "/v1/endpoints"+want {
		s.t.Fatalf("discovery was asked for %s, want %s", a.query, want)
	}
	return a
}

// wantState waits for the next report and tells what is believed by it.
func (s *discoveryTest) wantState(want string) {
	s.t.Helper()
	if got := testkit.Await(s.t, s.states, "the belief "+want); got != want {
		s.t.Fatalf("believed: %q, want %q", got, want)
	}
}

// wantNoReport tells that nothing more has been reported.
func (s *discoveryTest) wantNoReport() {
	s.t.Helper()
	if len(s.states) > 0 {
		s.t.Fatalf("it was reported that %q", <-s.states)
	}
}

// encodeNamed is a list's text: entries as "a", "a:out" and "a:gone". Without its last bytes it is cut.
func encodeNamed(seq int, whole bool, entries string) string {
	var b strings.Builder
	for i, e := range strings.Fields(entries) {
		name, state, _ := strings.Cut(e, ":")
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"host":"%s","dial":"h:%s","health":"%s","share":1}`, name, name, map[string]string{"": "Ready", "out": "Terminating", "gone": "Gone"}[state])
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, b.String())
}

// A list that is cut, within an entry, behind its last one, or before its closing brace, changes nothing but that what it has draining drains; what
// it does not name stays. Its question is asked again, and what is told then of an entry that it had named holds.
func TestAListThatIsCut(t *testing.T) {
	for name, cut := range map[string]int{"within an entry": len(`"share":1}]}`), "behind the last entry": len("]}"), "before the end": len("}")} {
		t.Run(name, func(t *testing.T) {
			s := newDiscoveryTest(t, 3, 0, nil)
			a := s.waitRequest("?watch=1&from=3")
			s.send(a, encodeNamed(4, true, "a b c")+"\n")
			s.wantState("a b c")
			whole := encodeNamed(9, true, "d a:out x:out b e")
			s.send(a, whole[:len(whole)-cut])
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

// The first list of all is cut: the whole of it is asked for again, and nothing is believed by halves.
func TestAFirstListThatIsCut(t *testing.T) {
	s := newDiscoveryTest(t, FromFullUpdate, 0, nil)
	a := s.waitRequest("")
	s.send(a, strings.TrimSuffix(encodeNamed(9, true, "a b:out c"), "}"))
	a.end()
	a = s.waitRequest("")
	s.send(a, encodeNamed(9, true, "a b:out c")+"\n")
	s.wantState("") // b drains, and is not known
	s.wantState("a b:out c")
	s.waitRequest("?watch=1&from=9")
	s.wantNoReport()
}

// Two whole lists and a change stand one behind the other, in one piece: they hold in their order.
func TestListsOneBehindTheOther(t *testing.T) {
	s := newDiscoveryTest(t, 3, 0, nil)
	a := s.waitRequest("?watch=1&from=3")
	s.send(a, encodeNamed(4, false, "a b")+encodeNamed(5, true, "a c d")+"\n\n"+encodeNamed(6, true, "c:out e")+encodeNamed(7, false, "c")+encodeNamed(8, false, "e:gone")+"\n")
	for _, want := range []string{"a b", "a c d", "c:out e", "c"} {
		s.wantState(want)
	}
	a.end()
	s.waitRequest("?watch=1&from=8")
	s.wantNoReport()
}

// A drain that a list tells is heard while the list is still being taken, and CatchUp does not return before it is: a standstill in the middle of
// a list leaves nothing sent to what has been told to drain. Nothing else of the list counts before its end.
func TestADrainWithinAList(t *testing.T) {
	s := newDiscoveryTest(t, 3, 0, nil)
	a := s.waitRequest("?watch=1&from=3")
	s.send(a, encodeNamed(4, true, "a b c")+"\n")
	s.wantState("a b c")
	for i, text := range []string{`{"hosts":[`, `{"host":"a","dial":"h:a","health":"Ready"},`, `{"host":"b","dial":"h:b","health":"Terminating"},`} {
		s.send(a, text)
		if i == 2 {
			s.wantState("a b:out c")
		}
	}
	s.send(a, `{"host":"c","dial":"h:c","health":"Gone"},`)
	s.wantState("a b:out c:out")
	if err := s.source.Sync(t.Context(), time.Now()); err != nil {
		t.Errorf("in the middle of a list: %v", err)
	}
	s.wantNoReport()
	s.send(a, `{"host":"d","dial":"h:d","health":"Ready"}],"whole":false,"seq":5}`)
	s.wantState("a b:out d")
	s.wantNoReport()
}

// SIGHUP moves discovery in the middle of a list: what has not ended is let go, and the new one's list is taken. The end of the program in the
// middle of a list is the same without a new one.
func TestAMoveInTheMiddleOfAList(t *testing.T) {
	moves := make(chan string)
	s := newDiscoveryTest(t, 3, 0, moves)
	a := s.waitRequest("?watch=1&from=3")
	s.send(a, encodeNamed(4, true, "a b c")+"\n")
	s.wantState("a b c")
	s.send(a, strings.TrimSuffix(encodeNamed(5, true, "a:out d"), "]}"))
	s.wantState("a:out b c")
	moves <- s.serve()
	testkit.Await(t, a.done, "the end of the old one's answer")
	b := s.waitRequest("")
	s.send(b, encodeNamed(1, true, "a b"))
	s.wantState("a b")
	b = s.waitRequest("?watch=1&from=1")
	s.send(b, `{"seq":2,"whole":true,"hosts":[{"host":"e"`)
	s.wantNoReport()
}

// A list of more entries than a door may hold costs no more than these, leaves what was believed, and is said in one line with its address.
func TestAListOverTheLimit(t *testing.T) {
	var log bytes.Buffer
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	s := newDiscoveryTest(t, 3, 3, nil)
	t.Cleanup(func() { slog.SetDefault(old) })
	a := s.waitRequest("?watch=1&from=3")
	s.send(a, encodeNamed(4, true, "a b c")+"\n")
	s.wantState("a b c")
	s.send(a, strings.TrimSuffix(encodeNamed(5, true, "d e f g"), "]}"))
	testkit.Await(t, a.done, "the door to leave it")
	a = s.waitRequest("?watch=1&from=4")
	s.send(a, encodeNamed(6, false, "b:out")+"\n")
	s.wantState("a b:out c")
	said := 0
	for line := range strings.Lines(log.String()) {
		if strings.Contains(line, "more than 3 entries") && strings.Contains(line, s.addr) {
			said++
		}
	}
	if said != 1 {
		t.Errorf("it was said %d times:\n%s", said, log.String())
	}
}

// bodyTransport is a transport whose answers have a body of the test's.
type bodyTransport struct{ body io.Reader }

func (b bodyTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(b.body)}, nil
}

// Changes that have come together are one report in their order, with the last one's version; what comes behind something that can't be taken is
// heard up to there.
func TestChangesThatComeTogether(t *testing.T) {
	const n = 200
	var text strings.Builder
	for i := range n {
		text.WriteString(encodeNamed(10+i, false, fmt.Sprintf("s-%d:out", i%50)) + "\n")
	}
	for behind, want := range map[string]error{"": io.ErrUnexpectedEOF, `{"seq":2}`: errVersionWentBack, `{"seq":"x"}`: nil} {
		var lists []EndpointUpdate
		from := int64(9)
		err := (&Discovery{}).watch(t.Context(), bodyTransport{&chunkReader{text.String() + behind, 1 << 20, io.ErrUnexpectedEOF}}, "agent", watchTimeouts{silence: testkit.Patient}, &from,
			func(l EndpointUpdate) { lists = append(lists, l) })
		if err == nil || want != nil && !errors.Is(err, want) {
			t.Errorf("%q: ended with %v", behind, err)
		}
		if len(lists) != 1 || lists[0].MergedUpdates != n || len(lists[0].Endpoints) != n || lists[0].Endpoints[n-1].Name != "s-49" || lists[0].Seq != 9+n {
			t.Fatalf("%q: %d reports, the first %+v", behind, len(lists), lists[0])
		}
		if back := want == errVersionWentBack; back != (from == FromFullUpdate) || !back && from != 9+n {
			t.Errorf("%q: goes on from %d", behind, from)
		}
	}
}

// A watch lives on a long list as long as it comes: so many entries break silence, and fewer do not.
func TestAListThatComesSlowly(t *testing.T) {
	const silence, every = time.Second, 100 * time.Millisecond
	for _, c := range []struct {
		entries int // every time
		err     error
		heard   int
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
			from, heard := int64(1), 0
			err := (&Discovery{}).watch(t.Context(), &http.Transport{DisableKeepAlives: true}, addr, watchTimeouts{silence: silence}, &from, func(EndpointUpdate) { heard++ })
			if heard != c.heard || c.err != nil && !errors.Is(err, c.err) {
				t.Errorf("ended with %v after %d lists", err, heard)
			}
		})
	}
}

// A watch that begins well each time and then tells what can't be taken is asked for less and less often too.
func TestABadListBehindAGoodOne(t *testing.T) {
	t.Parallel()
	asked := make(chan time.Time, 100)
	addr := testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		asked <- time.Now()
		flushed(w, encodeNamed(4, true, "a b")+"\n"+encodeNamed(5, true, "a b c d"))
		<-r.Context().Done()
	})
	follow(t, &Discovery{Addr: addr, FromVersion: 3, MaxEntries: 3})
	first := testkit.Await(t, asked, "the first question")
	for range 5 {
		testkit.Await(t, asked, "a further question")
	}
	// a tenth of a second, and twice as long each time; half of each wait is chance
	if took, least := time.Since(first), 31*100*time.Millisecond/2; took < least {
		t.Errorf("six questions in %v, want %v at least", took, least)
	}
}
