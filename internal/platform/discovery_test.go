package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pumicecroft/internal/testkit"
	"pumicecroft/membership"
)

const entry = `{"host":"s-1","dial":"127.0.0.1:%d","site":"a","class":"m2","block":3,"health":"%s","share":1.0,"born_ms":0}`

// A watch that is silent, ends or says what cannot be read is given up, and the next one asks from the version
// that was heard last: nothing that discovery told may be lost on the way, a drain least of all.
func TestWatchGoesOnWhereItWas(t *testing.T) {
	asked := make(chan string, 10)
	n := 0
	addr := testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		n++
		asked <- r.URL.RawQuery
		switch n {
		case 1:
			fmt.Fprintf(w, `{"seq":42,"whole":true,"hosts":[`+entry+"]}\n", 7, "Ready")
			w.(http.Flusher).Flush()
			<-r.Context().Done() // silent until given up
		case 2:
			fmt.Fprintf(w, `{"seq":43,"whole":false,"hosts":[{"host":7}]}`+"\n")
		default:
			fmt.Fprintf(w, "\n"+`{"seq":43,"whole":false,"hosts":[`+entry+"]}\n", 7, "Terminating")
		}
	})
	lists := make(chan EndpointUpdate, 10)
	from := int64(41)
	for want, wantSeq := range []int64{42, 42, 43} {
		ctx, cancel := context.WithTimeout(t.Context(), testkit.Patient)
		err := (&Discovery{}).watch(ctx, &http.Transport{}, addr, watchTimeouts{silence: time.Second}, &from, func(l EndpointUpdate) { lists <- l })
		if err == nil || ctx.Err() != nil || from != wantSeq {
			t.Errorf("watch %d ended with %v at version %d, want %d", want+1, err, from, wantSeq)
		}
		cancel()
	}
	for i, want := range []string{"watch=1&from=41", "watch=1&from=42", "watch=1&from=42"} {
		if got := <-asked; got != want {
			t.Errorf("watch %d asked %q, want %q", i+1, got, want)
		}
	}
	if a, b := <-lists, <-lists; !a.Full || a.Endpoints[0].Cell != 3 || b.Endpoints[0].Health != "Terminating" {
		t.Errorf("heard %+v and %+v", a, b)
	}
}

// Empty lines keep a watch alive for longer than its time-out.
func TestEmptyLinesKeepAWatch(t *testing.T) {
	const silence = time.Second
	addr := testkit.Serve(t, func(w http.ResponseWriter, _ *http.Request) {
		for range 12 {
			fmt.Fprintln(w)
			w.(http.Flusher).Flush()
			time.Sleep(silence / 8)
		}
		fmt.Fprintln(w, `{"seq":50,"whole":true,"hosts":[]}`)
	})
	from := int64(1)
	err := (&Discovery{}).watch(t.Context(), &http.Transport{}, addr, watchTimeouts{silence: silence}, &from, func(EndpointUpdate) {})
	if from != 50 {
		t.Errorf("ended with %v at version %d", err, from)
	}
}

// After a move the versions of the old discovery mean nothing: the new one's whole list comes first, and then its
// changes, from its own version on. The same holds where one discovery's versions go back.
func TestAMoveTakesTheWholeList(t *testing.T) {
	discovery := func(answer func(r *http.Request) string) (string, chan string) {
		asked := make(chan string, 10)
		return testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
			asked <- r.URL.RequestURI()
			fmt.Fprintln(w, answer(r))
			if r.URL.RawQuery != "" {
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			}
		}), asked
	}
	first, askedFirst := discovery(func(*http.Request) string { return `{"seq":900,"whole":false,"hosts":[]}` })
	second, askedSecond := discovery(func(r *http.Request) string {
		if r.URL.RawQuery == "watch=1&from=7" {
			return `{"seq":2,"whole":false,"hosts":[]}` // it has begun anew
		}
		return `{"seq":7,"whole":true,"hosts":[]}`
	})
	moves, lists := make(chan string), make(chan EndpointUpdate, 100)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() {
		(&Discovery{Addr: first, FromVersion: 800, AddrChanges: moves}).Follow(ctx, func(l EndpointUpdate) { lists <- l })
		close(ended)
	}()
	if got := <-askedFirst; got != "/v1/endpoints?watch=1&from=800" {
		t.Errorf("the first was asked for %s", got)
	}
	if l := <-lists; l.Seq != 900 {
		t.Errorf("the first told %+v", l)
	}
	moves <- second
	for i, want := range []string{"/v1/endpoints", "/v1/endpoints?watch=1&from=7", "/v1/endpoints"} {
		if got := <-askedSecond; got != want {
			t.Errorf("question %d to the second was %s, want %s", i+1, got, want)
		}
	}
	if l := <-lists; l.Seq != 7 || !l.Full {
		t.Errorf("the second told %+v", l)
	}
	cancel()
	<-ended
}

// A move to a discovery that takes connections and never answers changes nothing that was believed, is given up when the next one comes, and
// leaves nothing behind.
func TestAMoveToADiscoveryThatNeverAnswers(t *testing.T) {
	silent := testkit.Serve(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	good := testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, `{"seq":7,"whole":true,"hosts":[]}`)
		if r.URL.RawQuery != "" {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	})
	moves, lists, ended := make(chan string), make(chan EndpointUpdate, 100), make(chan bool)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		(&Discovery{Addr: good, FromVersion: 3, AddrChanges: moves, PollWithin: 50 * time.Millisecond, Seed: 1}).Follow(ctx, func(l EndpointUpdate) { lists <- l })
		close(ended)
	}()
	testkit.Await(t, lists, "the first list")
	moves <- silent
	for len(lists) > 0 { // what came before the move
		<-lists
	}
	select {
	case l := <-lists:
		t.Errorf("a discovery that says nothing told %+v", l)
	case <-time.After(fetchTimeout + 200*time.Millisecond): // it has been asked more than once
	}
	moves <- good
	if l := testkit.Await(t, lists, "the list after the second move"); !l.Full || l.Seq != 7 {
		t.Errorf("%+v", l)
	}
	cancel()
	testkit.Await(t, ended, "the end")
}

// What discovery had told when CatchUp was asked for has been reported when it returns: what a reader had not come to, what a watch that
// had ended would have said, and nothing is waited for that could not be heard before.
func TestCatchUp(t *testing.T) {
	d := newScriptedDiscovery(t)
	var reported atomic.Int64
	gate := make(chan bool, 1) // held: nothing is reported
	source := &Discovery{Addr: d.addr, FromVersion: 1}
	if err := source.Sync(t.Context(), time.Now()); !errors.Is(err, errSilent) {
		t.Errorf("before anything was asked: %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() {
		source.Follow(ctx, func(l EndpointUpdate) {
			gate <- true
			reported.Store(l.Seq)
			<-gate
		})
		close(ended)
	}()
	caught := func(since time.Time, want int64) {
		t.Helper()
		long, stop := context.WithTimeout(t.Context(), testkit.Patient)
		defer stop()
		if err := source.Sync(long, since); err != nil || reported.Load() < want {
			t.Fatalf("caught up (%v) with %d reported, %d had been told", err, reported.Load(), want)
		}
	}
	begin := time.Now()
	for reported.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	for seq := int64(3); seq < 30; seq++ {
		d.tell(t, seq)
		caught(time.Now(), seq)
	}
	gate <- true // it can't report for now
	d.tell(t, 30)
	done := make(chan bool)
	go func() { caught(time.Now(), 30); close(done) }()
	select {
	case <-done:
		t.Error("it has caught up with what is not reported")
	case <-time.After(50 * time.Millisecond):
	}
	<-gate
	testkit.Await(t, done, "it to catch up")
	d.tell(t, 31)
	d.cut() // what was told waits, or is lost with its watch: the next one says it
	caught(begin, 31)
	d.down()
	d.cut()
	for open := true; open; time.Sleep(time.Millisecond) { // until the end of the watch is seen
		source.state.mu.Lock()
		open = source.state.synced
		source.state.mu.Unlock()
	}
	short, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer stop()
	if err := source.Sync(short, begin); err == nil {
		t.Error("nothing can be heard, and it has caught up")
	}
	if err := source.Sync(t.Context(), time.Now()); !errors.Is(err, errSilent) {
		t.Errorf("what could not be heard before is waited for: %v", err)
	}
	cancel()
	testkit.Await(t, ended, "the end")
}

// scriptedDiscovery is a discovery whose watches say what the test says.
type scriptedDiscovery struct {
	addr  string
	mu    sync.Mutex
	seq   int64
	dead  bool
	news  chan bool  // closed at each change
	end   chan bool  // closed to cut the watches
	wrote chan int64 // takes each version that was written
}

func newScriptedDiscovery(t *testing.T) *scriptedDiscovery {
	d := &scriptedDiscovery{seq: 2, news: make(chan bool), end: make(chan bool), wrote: make(chan int64, 100)}
	d.addr = testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		for {
			d.mu.Lock()
			seq, dead, news, end := d.seq, d.dead, d.news, d.end
			d.mu.Unlock()
			if dead {
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(w, `{"seq":%d,"whole":false,"hosts":[]}`+"\n", seq)
			w.(http.Flusher).Flush()
			d.wrote <- seq
			select {
			case <-news:
			case <-end:
				panic(http.ErrAbortHandler)
			case <-r.Context().Done():
				return
			}
		}
	})
	return d
}

// tell says a version to all watches and returns when it has been written.
func (d *scriptedDiscovery) tell(t *testing.T, seq int64) {
	d.mu.Lock()
	d.seq = seq
	close(d.news)
	d.news = make(chan bool)
	d.mu.Unlock()
	for testkit.Await(t, d.wrote, "a version to be written") != seq {
	}
}

func (d *scriptedDiscovery) cut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.end)
	d.end = make(chan bool)
}

func (d *scriptedDiscovery) down() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dead = true
}

// flushed writes to a watch, and says when that has gone.
func flushed(w http.ResponseWriter, text string) {
	io.WriteString(w, text)
	w.(http.Flusher).Flush()
}

// A watch is held to be alive by whole words alone: not by a list that never ends, however it drips, and not by empty lines while the first
// list is still owed. A list without a bound ends it too. What was heard before stays, and indented lists are lists.
func TestWhatKeepsAWatchAlive(t *testing.T) {
	drips := func(w http.ResponseWriter, r *http.Request, drop string) {
		drip := time.NewTicker(5 * time.Millisecond)
		defer drip.Stop()
		for r.Context().Err() == nil {
			flushed(w, drop)
			<-drip.C
		}
	}
	const indented = "{\n  \"seq\": 42,\n  \"whole\": true,\n\n  \"hosts\": [\n    " + entry + "\n  ]\n}\n\n"
	for _, c := range []struct {
		name  string
		may   watchTimeouts
		say   func(w http.ResponseWriter, r *http.Request)
		err   error
		heard int // lists
	}{
		{"a list that drips", watchTimeouts{silence: 200 * time.Millisecond}, func(w http.ResponseWriter, r *http.Request) {
			flushed(w, fmt.Sprintf(indented, 7, "Ready")+`{"seq":43,"whole":false,"hosts":[`)
			drips(w, r, " ")
		}, errSilent, 1},
		{"half a list behind a whole one", watchTimeouts{silence: 200 * time.Millisecond}, func(w http.ResponseWriter, r *http.Request) {
			flushed(w, fmt.Sprintf(indented, 7, "Ready"))
			flushed(w, `{"seq":43,"who`)
			<-r.Context().Done()
		}, errSilent, 1},
		{"empty lines and no list", watchTimeouts{first: 200 * time.Millisecond, silence: testkit.Patient}, func(w http.ResponseWriter, r *http.Request) {
			drips(w, r, "\n")
		}, errSilent, 0},
		{"no answer", watchTimeouts{first: 200 * time.Millisecond, silence: testkit.Patient}, func(w http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
		}, errSilent, 0},
		{"a list without end", watchTimeouts{silence: testkit.Patient}, func(w http.ResponseWriter, r *http.Request) {
			flushed(w, fmt.Sprintf(indented, 7, "Ready")+`{"seq":43,"whole":false,"hosts":[`)
			for r.Context().Err() == nil {
				flushed(w, strings.Repeat(" ", 1<<16))
			}
		}, errEntryTooLong, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), testkit.Patient/2)
			defer cancel()
			from, heard := int64(1), 0
			addr := testkit.Serve(t, c.say)
			err := (&Discovery{}).watch(ctx, &http.Transport{DisableKeepAlives: true}, addr, c.may, &from, func(l EndpointUpdate) {
				heard++
				if l.Endpoints[0].Cell != 3 {
					t.Errorf("heard %+v", l)
				}
			})
			if !errors.Is(err, c.err) || ctx.Err() != nil || heard != c.heard {
				t.Errorf("ended with %v after %d lists, want %v after %d", err, heard, c.err, c.heard)
			}
		})
	}
}

// A watch falls silent, and the one that is opened in its place says nothing either: what was told meanwhile is heard all the same
// within 6 s of the silence, from when on it counts as told.
func TestASecondSilentWatch(t *testing.T) {
	t.Parallel()
	n, last := atomic.Int64{}, make(chan time.Time, 1)
	addr := testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch n.Add(1) {
		case 1:
			flushed(w, fmt.Sprintf(`{"seq":42,"whole":true,"hosts":[`+entry+"]}\n", 7, "Ready"))
			last <- time.Now()
		case 2:
		default:
			flushed(w, fmt.Sprintf(`{"seq":43,"whole":false,"hosts":[`+entry+"]}\n", 7, "Terminating"))
		}
		<-r.Context().Done()
	})
	lists, ended := make(chan EndpointUpdate, 10), make(chan bool)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		(&Discovery{Addr: addr, FromVersion: 41}).Follow(ctx, func(l EndpointUpdate) { lists <- l })
		close(ended)
	}()
	testkit.Await(t, lists, "the first list")
	silent := testkit.Await(t, last, "the silence")
	if l := testkit.Await(t, lists, "the drain"); l.Seq != 43 {
		t.Errorf("heard %+v", l)
	}
	if late := time.Since(silent); late > 6*time.Second {
		t.Errorf("the drain was heard %v after the silence", late)
	}
	cancel()
	testkit.Await(t, ended, "the end")
}

// An entry that makes no sense changes nothing of its backend, in a whole list too, where a backend that is missing is gone.
func TestAnEntryThatMakesNoSense(t *testing.T) {
	at := func(time.Time) time.Duration { return 0 }
	table := membership.NewTable(membership.Policy{}, membership.SourceInfo{Name: "discovery", Trusted: true})
	list := func(hosts ...Endpoint) membership.Update {
		return EndpointUpdate{Seq: 1, Full: true, Endpoints: hosts}.Membership()
	}
	good := Endpoint{Name: "s-1", Addr: "127.0.0.1:1", Health: "Ready"}
	table.Report(0, "discovery", list(good, Endpoint{Name: "s-2", Addr: "127.0.0.1:2", Health: "Ready"}), at)
	for name, bad := range map[string]Endpoint{
		"an unknown state":       {Name: "s-1", Addr: "127.0.0.1:1", Health: "Dozing"},
		"a start before 1970":    {Name: "s-1", Addr: "127.0.0.1:1", Health: "Ready", StartedAtMS: -1},
		"no address to reach it": {Name: "s-1", Health: "Ready"},
	} {
		changes, _ := table.Report(0, "discovery", list(bad, Endpoint{Name: "s-2", Addr: "127.0.0.1:2", Health: "Ready"}), at)
		if len(changes) > 0 {
			t.Errorf("%s: %+v", name, changes)
		}
	}
	if changes, _ := table.Report(0, "discovery", list(Endpoint{Name: "s-2", Addr: "127.0.0.1:2", Health: "Ready"}), at); len(changes) != 1 || changes[0].Name != "s-1" {
		t.Errorf("without it: %+v", changes)
	}
}
