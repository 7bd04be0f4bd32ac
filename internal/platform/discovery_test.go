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

const entryFormat = `{"host":"s-1","dial":"127.0.0.1:%d","site":"a","class":"m2","block":3,` +
	`"health":"%s","share":1.0,"born_ms":0}`

// A watch times out, or sends an invalid update. The next one must request the changes since the last version
// that was reported, or a change, such as a drain, would be lost.
func TestWatchResumesFromLastVersion(t *testing.T) {
	queries := make(chan string, 10)
	n := 0
	addr := testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		n++
		queries <- r.URL.RawQuery
		switch n {
		case 1:
			fmt.Fprintf(w, `{"seq":42,"whole":true,"hosts":[`+entryFormat+"]}\n", 7, "Ready")
			w.(http.Flusher).Flush()
			<-r.Context().Done() // sends nothing until the client cancels
		case 2:
			fmt.Fprintf(w, `{"seq":43,"whole":false,"hosts":[{"host":7}]}`+"\n")
		default:
			fmt.Fprintf(w, "\n"+`{"seq":43,"whole":false,"hosts":[`+entryFormat+"]}\n", 7, "Terminating")
		}
	})
	updates := make(chan EndpointUpdate, 10)
	from := int64(41)
	for i, wantSeq := range []int64{42, 42, 43} {
		ctx, cancel := context.WithTimeout(t.Context(), testkit.WaitTimeout)
		err := (&Discovery{}).watch(ctx, &http.Transport{}, addr, watchTimeouts{idle: time.Second}, &from,
			func(u EndpointUpdate) { updates <- u })
		if err == nil || ctx.Err() != nil || from != wantSeq {
			t.Errorf("watch %d ended with %v at version %d, want an error at version %d", i+1, err, from, wantSeq)
		}
		cancel()
	}
	for i, want := range []string{"watch=1&from=41", "watch=1&from=42", "watch=1&from=42"} {
		if got := <-queries; got != want {
			t.Errorf("watch %d sent query %q, want %q", i+1, got, want)
		}
	}
	if a, b := <-updates, <-updates; !a.Full || a.Endpoints[0].Cell != 3 || b.Endpoints[0].Health != "Terminating" {
		t.Errorf("got updates %+v and %+v, want a full one with cell 3 and one with health Terminating", a, b)
	}
}

// Empty lines are keepalives: a watch that receives them lasts for longer than its timeout.
func TestEmptyLinesKeepWatchAlive(t *testing.T) {
	const idleTimeout = time.Second
	addr := testkit.Serve(t, func(w http.ResponseWriter, _ *http.Request) {
		for range 12 {
			fmt.Fprintln(w)
			w.(http.Flusher).Flush()
			time.Sleep(idleTimeout / 8)
		}
		fmt.Fprintln(w, `{"seq":50,"whole":true,"hosts":[]}`)
	})
	from := int64(1)
	err := (&Discovery{}).watch(t.Context(), &http.Transport{}, addr, watchTimeouts{idle: idleTimeout}, &from,
		func(EndpointUpdate) {})
	if from != 50 {
		t.Errorf("watch ended with %v at version %d, want version 50", err, from)
	}
}

// Each discovery server numbers its versions independently. After a change of address, and when versions go
// back, the full list must be requested first, and then the changes after it.
func TestNewAddressStartsWithFullUpdate(t *testing.T) {
	startDiscovery := func(respond func(r *http.Request) string) (string, chan string) {
		requests := make(chan string, 10)
		return testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
			requests <- r.URL.RequestURI()
			fmt.Fprintln(w, respond(r))
			if r.URL.RawQuery != "" {
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			}
		}), requests
	}
	first, firstRequests := startDiscovery(func(*http.Request) string {
		return `{"seq":900,"whole":false,"hosts":[]}`
	})
	second, secondRequests := startDiscovery(func(r *http.Request) string {
		if r.URL.RawQuery == "watch=1&from=7" {
			return `{"seq":2,"whole":false,"hosts":[]}` // the server was reset
		}
		return `{"seq":7,"whole":true,"hosts":[]}`
	})
	addrChanges, updates := make(chan string), make(chan EndpointUpdate, 100)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() {
		d := &Discovery{Addr: first, FromVersion: 800, AddrChanges: addrChanges}
		d.Follow(ctx, func(u EndpointUpdate) { updates <- u })
		close(ended)
	}()
	if got, want := <-firstRequests, "/v1/endpoints?watch=1&from=800"; got != want {
		t.Errorf("request to the first discovery was %s, want %s", got, want)
	}
	if u := <-updates; u.Seq != 900 {
		t.Errorf("got update %+v from the first discovery, want version 900", u)
	}
	addrChanges <- second
	for i, want := range []string{"/v1/endpoints", "/v1/endpoints?watch=1&from=7", "/v1/endpoints"} {
		if got := <-secondRequests; got != want {
			t.Errorf("request %d to the second discovery was %s, want %s", i+1, got, want)
		}
	}
	if u := <-updates; u.Seq != 7 || !u.Full {
		t.Errorf("got update %+v from the second discovery, want full version 7", u)
	}
	cancel()
	<-ended
}

// The new discovery accepts connections but never responds. No update may be reported, and the next change of
// address must end the wait for it.
func TestNewAddressThatNeverResponds(t *testing.T) {
	silent := testkit.Serve(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	good := testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, `{"seq":7,"whole":true,"hosts":[]}`)
		if r.URL.RawQuery != "" {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	})
	addrChanges, updates, ended := make(chan string), make(chan EndpointUpdate, 100), make(chan bool)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		d := &Discovery{Addr: good, FromVersion: 3, AddrChanges: addrChanges, PollWithin: 50 * time.Millisecond, Seed: 1}
		d.Follow(ctx, func(u EndpointUpdate) { updates <- u })
		close(ended)
	}()
	testkit.Await(t, updates, "the first list")
	addrChanges <- silent
	for len(updates) > 0 { // reported before the address change
		<-updates
	}
	select {
	case u := <-updates:
		t.Errorf("got update %+v while discovery never responds, want none", u)
	case <-time.After(fetchTimeout + 200*time.Millisecond): // discovery was called more than once by now
	}
	addrChanges <- good
	if u := testkit.Await(t, updates, "the list after the second change"); !u.Full || u.Seq != 7 {
		t.Errorf("got update %+v after the second address change, want full version 7", u)
	}
	cancel()
	testkit.Await(t, ended, "the end")
}

// writeAndFlush writes text to a response and flushes it.
func writeAndFlush(w http.ResponseWriter, text string) {
	io.WriteString(w, text)
	w.(http.Flusher).Flush()
}

// A watch must time out if an update trickles in without end, or if only empty lines arrive before the first
// update. An entry of unlimited length must end it too. Updates that were complete before, indented ones
// included, must still be reported.
func TestWatchTimeouts(t *testing.T) {
	repeat := func(w http.ResponseWriter, r *http.Request, text string) {
		tick := time.NewTicker(5 * time.Millisecond)
		defer tick.Stop()
		for r.Context().Err() == nil {
			writeAndFlush(w, text)
			<-tick.C
		}
	}
	const indented = "{\n  \"seq\": 42,\n  \"whole\": true,\n\n  \"hosts\": [\n    " + entryFormat + "\n  ]\n}\n\n"
	short := watchTimeouts{idle: 200 * time.Millisecond}
	shortFirst := watchTimeouts{firstUpdate: 200 * time.Millisecond, idle: testkit.WaitTimeout}
	for _, c := range []struct {
		name     string
		timeouts watchTimeouts
		handle   func(w http.ResponseWriter, r *http.Request)
		err      error
		updates  int // reported
	}{
		{"an update that trickles in", short, func(w http.ResponseWriter, r *http.Request) {
			writeAndFlush(w, fmt.Sprintf(indented, 7, "Ready")+`{"seq":43,"whole":false,"hosts":[`)
			repeat(w, r, " ")
		}, errNoProgress, 1},
		{"half an update after a valid one", short, func(w http.ResponseWriter, r *http.Request) {
			writeAndFlush(w, fmt.Sprintf(indented, 7, "Ready"))
			writeAndFlush(w, `{"seq":43,"who`)
			<-r.Context().Done()
		}, errNoProgress, 1},
		{"empty lines only", shortFirst, func(w http.ResponseWriter, r *http.Request) {
			repeat(w, r, "\n")
		}, errNoProgress, 0},
		{"no response", shortFirst, func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
		}, errNoProgress, 0},
		{"an update without end", watchTimeouts{idle: testkit.WaitTimeout}, func(w http.ResponseWriter, r *http.Request) {
			writeAndFlush(w, fmt.Sprintf(indented, 7, "Ready")+`{"seq":43,"whole":false,"hosts":[`)
			for r.Context().Err() == nil {
				writeAndFlush(w, strings.Repeat(" ", 1<<16))
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
					t.Errorf("reported update %+v, want cell 3", u)
				}
			})
			if !errors.Is(err, c.err) || ctx.Err() != nil || updates != c.updates {
				t.Errorf("ended with %v after %d updates, want %v after %d", err, updates, c.err, c.updates)
			}
		})
	}
}

// A watch makes no more progress, and the next one makes none at all. A drain that discovery received in the
// meantime must be known within 6 s after the last progress.
func TestTwoSilentWatches(t *testing.T) {
	t.Parallel()
	n, lastWrite := atomic.Int64{}, make(chan time.Time, 1)
	addr := testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch n.Add(1) {
		case 1:
			writeAndFlush(w, fmt.Sprintf(`{"seq":42,"whole":true,"hosts":[`+entryFormat+"]}\n", 7, "Ready"))
			lastWrite <- time.Now()
		case 2:
		default:
			writeAndFlush(w, fmt.Sprintf(`{"seq":43,"whole":false,"hosts":[`+entryFormat+"]}\n", 7, "Terminating"))
		}
		<-r.Context().Done()
	})
	updates, ended := make(chan EndpointUpdate, 10), make(chan bool)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		(&Discovery{Addr: addr, FromVersion: 41}).Follow(ctx, func(u EndpointUpdate) { updates <- u })
		close(ended)
	}()
	testkit.Await(t, updates, "the first list")
	lastProgress := testkit.Await(t, lastWrite, "the last write of the first watch")
	if u := testkit.Await(t, updates, "the drain"); u.Seq != 43 {
		t.Errorf("got update %+v, want version 43", u)
	}
	if delay := time.Since(lastProgress); delay > 6*time.Second {
		t.Errorf("the drain is known %v after the last progress, want 6 s at most", delay)
	}
	cancel()
	testkit.Await(t, ended, "the end")
}

// A full update has an invalid entry. Its backend must keep its previous state: it must not be removed, as
// if the entry were missing.
func TestInvalidEntryKeepsBackend(t *testing.T) {
	fromWallTime := func(time.Time) time.Duration { return 0 }
	table := membership.NewTable(membership.Policy{}, membership.SourceInfo{Name: "discovery", Trusted: true})
	list := func(hosts ...Endpoint) membership.Update {
		return EndpointUpdate{Seq: 1, Full: true, Endpoints: hosts}.Membership()
	}
	good := Endpoint{Name: "s-1", Addr: "127.0.0.1:1", Health: "Ready"}
	other := Endpoint{Name: "s-2", Addr: "127.0.0.1:2", Health: "Ready"}
	table.Report(0, "discovery", list(good, other), fromWallTime)
	for name, invalid := range map[string]Endpoint{
		"unknown health":    {Name: "s-1", Addr: "127.0.0.1:1", Health: "Dozing"},
		"start before 1970": {Name: "s-1", Addr: "127.0.0.1:1", Health: "Ready", StartedAtMS: -1},
		"no address":        {Name: "s-1", Health: "Ready"},
	} {
		changes, _ := table.Report(0, "discovery", list(invalid, other), fromWallTime)
		if len(changes) > 0 {
			t.Errorf("%s: got changes %+v, want none", name, changes)
		}
	}
	changes, _ := table.Report(0, "discovery", list(other), fromWallTime)
	if len(changes) != 1 || changes[0].Name != "s-1" {
		t.Errorf("missing entry: got changes %+v, want one of s-1", changes)
	}
}
