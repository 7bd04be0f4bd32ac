package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pumicecroft/internal/testkit"
	"pumicecroft/membership"
)

const entry = `{"host":"s-1","dial":"127.0.0.1:%d","site":"a","class":"m2","block":3,` +
	`"health":"%s","share":1.0,"born_ms":0}`

// A watch falls silent, ends or sends an invalid update. The next one asks from the last version that was
// reported, so that no change is lost, a drain least of all.
func TestWatchResumesFromLastVersion(t *testing.T) {
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
		ctx, cancel := context.WithTimeout(t.Context(), testkit.WaitTimeout)
		err := (&Discovery{}).watch(ctx, &http.Transport{}, addr, watchTimeouts{silence: time.Second}, &from,
			func(u EndpointUpdate) { lists <- u })
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

// Empty lines are progress: they keep a watch alive for longer than its timeout.
func TestEmptyLinesKeepWatchAlive(t *testing.T) {
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
	err := (&Discovery{}).watch(t.Context(), &http.Transport{}, addr, watchTimeouts{silence: silence}, &from,
		func(EndpointUpdate) {})
	if from != 50 {
		t.Errorf("ended with %v at version %d", err, from)
	}
}

// Versions of one discovery mean nothing to another. After a change of address, and where versions go back,
// the full list is asked for first, and then its changes.
func TestNewAddressStartsWithFullUpdate(t *testing.T) {
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
			return `{"seq":2,"whole":false,"hosts":[]}` // it was reset
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

// The new discovery accepts connections and never responds. Nothing changes, and the next change of address
// ends the wait for it.
func TestNewAddressThatNeverResponds(t *testing.T) {
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
		d := &Discovery{Addr: good, FromVersion: 3, AddrChanges: moves, PollWithin: 50 * time.Millisecond, Seed: 1}
		d.Follow(ctx, func(u EndpointUpdate) { lists <- u })
		close(ended)
	}()
	testkit.Await(t, lists, "the first list")
	moves <- silent
	for len(lists) > 0 { // reported before the change
		<-lists
	}
	select {
	case l := <-lists:
		t.Errorf("a discovery that never responds sent %+v", l)
	case <-time.After(fetchTimeout + 200*time.Millisecond): // it has been asked more than once
	}
	moves <- good
	if l := testkit.Await(t, lists, "the list after the second change"); !l.Full || l.Seq != 7 {
		t.Errorf("%+v", l)
	}
	cancel()
	testkit.Await(t, ended, "the end")
}

// flushed writes to a watch and flushes it.
func flushed(w http.ResponseWriter, text string) {
	io.WriteString(w, text)
	w.(http.Flusher).Flush()
}

// What keeps a watch alive: not an update that trickles without end, nor empty lines before the first
// update. An update without a bound ends it too. What was reported before stays, indented updates included.
func TestWatchTimeouts(t *testing.T) {
	trickle := func(w http.ResponseWriter, r *http.Request, piece string) {
		tick := time.NewTicker(5 * time.Millisecond)
		defer tick.Stop()
		for r.Context().Err() == nil {
			flushed(w, piece)
			<-tick.C
		}
	}
	const indented = "{\n  \"seq\": 42,\n  \"whole\": true,\n\n  \"hosts\": [\n    " + entry + "\n  ]\n}\n\n"
	short := watchTimeouts{silence: 200 * time.Millisecond}
	shortFirst := watchTimeouts{first: 200 * time.Millisecond, silence: testkit.WaitTimeout}
	for _, c := range []struct {
		name     string
		timeouts watchTimeouts
		handle   func(w http.ResponseWriter, r *http.Request)
		err      error
		updates  int // reported
	}{
		{"an update that trickles", short, func(w http.ResponseWriter, r *http.Request) {
			flushed(w, fmt.Sprintf(indented, 7, "Ready")+`{"seq":43,"whole":false,"hosts":[`)
			trickle(w, r, " ")
		}, errSilent, 1},
		{"half an update behind a valid one", short, func(w http.ResponseWriter, r *http.Request) {
			flushed(w, fmt.Sprintf(indented, 7, "Ready"))
			flushed(w, `{"seq":43,"who`)
			<-r.Context().Done()
		}, errSilent, 1},
		{"empty lines alone", shortFirst, func(w http.ResponseWriter, r *http.Request) {
			trickle(w, r, "\n")
		}, errSilent, 0},
		{"no response", shortFirst, func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
		}, errSilent, 0},
		{"an update without end", watchTimeouts{silence: testkit.WaitTimeout}, func(w http.ResponseWriter, r *http.Request) {
			flushed(w, fmt.Sprintf(indented, 7, "Ready")+`{"seq":43,"whole":false,"hosts":[`)
			for r.Context().Err() == nil {
				flushed(w, strings.Repeat(" ", 1<<16))
			}
		}, errEntryTooLong, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), testkit.WaitTimeout/2)
			defer cancel()
			from, updates := int64(1), 0
			addr := testkit.Serve(t, c.handle)
			transport := &http.Transport{DisableKeepAlives: true}
			err := (&Discovery{}).watch(ctx, transport, addr, c.timeouts, &from, func(u EndpointUpdate) {
				updates++
				if u.Endpoints[0].Cell != 3 {
					t.Errorf("reported %+v", u)
				}
			})
			if !errors.Is(err, c.err) || ctx.Err() != nil || updates != c.updates {
				t.Errorf("ended with %v after %d updates, want %v after %d", err, updates, c.err, c.updates)
			}
		})
	}
}

// A watch falls silent, and the next one too. A drain that discovery got meanwhile must be known within 6 s
// of the silence all the same.
func TestTwoSilentWatches(t *testing.T) {
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
	if delay := time.Since(silent); delay > 6*time.Second {
		t.Errorf("the drain is known %v after the silence", delay)
	}
	cancel()
	testkit.Await(t, ended, "the end")
}

// An invalid entry in a full update must not remove its backend, as a missing one would: the backend stays
// as it was.
func TestInvalidEntryKeepsBackend(t *testing.T) {
	at := func(time.Time) time.Duration { return 0 }
	table := membership.NewTable(membership.Policy{}, membership.SourceInfo{Name: "discovery", Trusted: true})
	list := func(hosts ...Endpoint) membership.Update {
		return EndpointUpdate{Seq: 1, Full: true, Endpoints: hosts}.Membership()
	}
	good := Endpoint{Name: "s-1", Addr: "127.0.0.1:1", Health: "Ready"}
	other := Endpoint{Name: "s-2", Addr: "127.0.0.1:2", Health: "Ready"}
	table.Report(0, "discovery", list(good, other), at)
	for name, bad := range map[string]Endpoint{
		"an unknown state":       {Name: "s-1", Addr: "127.0.0.1:1", Health: "Dozing"},
		"a start before 1970":    {Name: "s-1", Addr: "127.0.0.1:1", Health: "Ready", StartedAtMS: -1},
		"no address to reach it": {Name: "s-1", Health: "Ready"},
	} {
		changes, _ := table.Report(0, "discovery", list(bad, other), at)
		if len(changes) > 0 {
			t.Errorf("%s: %+v", name, changes)
		}
	}
	changes, _ := table.Report(0, "discovery", list(other), at)
	if len(changes) != 1 || changes[0].Name != "s-1" {
		t.Errorf("without it: %+v", changes)
	}
}
