package pumicecroft_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"pumicecroft"
	"pumicecroft/idempotency"
	"pumicecroft/internal/fakes"
	"pumicecroft/internal/hosttest"
	"pumicecroft/internal/testkit"
	"pumicecroft/membership"
)

// newDeduplicatingRig is a gateway that recognises keys, with n backends of one cell each, so that only the gateway can
// drop a repeat.
func newDeduplicatingRig(t *testing.T, n int, act func(fakes.Attempt) fakes.Behavior, limits idempotency.Limits) *hosttest.Fixture {
	t.Helper()
	return hosttest.New(t, n, act, func(c *pumicecroft.Config) { c.Idempotency = &limits })
}

// waitUntil waits until something holds.
func waitUntil(t *testing.T, holds func() bool, what string) {
	t.Helper()
	for end := time.Now().Add(hosttest.WaitTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// keyedRequest is a request with a key; two with one key and different bodies conflict.
func keyedRequest(class, key, body string) pumicecroft.Request {
	r := newRequest(class)
	r.IdempotencyKey, r.Body = key, []byte(body)
	return r
}

// A repeat while the first request is executed waits for it; a later one is given its response. Each pair is counted,
// sent and executed once.
func TestRepeatedKeyIsExecutedOnce(t *testing.T) {
	const pairs = 200
	r := newDeduplicatingRig(t, 2, nil, idempotency.Limits{})
	var asking sync.WaitGroup
	for i := range pairs {
		asking.Go(func() {
			req := keyedRequest([]string{"pay", "once"}[i%2], fmt.Sprint("k", i), "b")
			var answers [2]string
			var pair sync.WaitGroup
			for j := range 2 {
				pair.Go(func() {
					if i%4 > 1 && j == 1 { // later, mostly
						time.Sleep(time.Duration(i%20) * time.Millisecond)
					}
					a, err := r.Gateway.Do(t.Context(), req)
					if err != nil {
						t.Errorf("%s %s: %v", req.Class, req.IdempotencyKey, err)
						return
					}
					answers[j] = string(a.Body)
				})
			}
			pair.Wait()
			if answers[0] != answers[1] || answers[0] == "" {
				t.Errorf("%q and %q", answers[0], answers[1])
			}
		})
	}
	asking.Wait()
	if n := len(r.Ledger.Attempts()); n != pairs {
		t.Errorf("%d attempts for %d pairs", n, pairs)
	}
}

// How a repeat ends over HTTP, by how the first request ended and what the repeat changes.
func TestRepeatedKeyOverHTTP(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  string
		act    fakes.Behavior
		change func(a *fakes.Request) // of the repeat
		first  int
		second int
		sent   int
		retry  bool
	}{
		{"served", "pay", fakes.ServeNormally, nil, 200, 200, 1, false},
		{"another body", "pay", fakes.ServeNormally, func(a *fakes.Request) { a.Body = "amount=4" }, 200, 422, 1, false},
		{"another class", "pay", fakes.ServeNormally, func(a *fakes.Request) { a.Class = "once" }, 200, 422, 1, false},
		{"another customer", "pay", fakes.ServeNormally, func(a *fakes.Request) { a.Customer = 8 }, 200, 200, 2, false},
		{"it may have run", "once", fakes.ExecuteThenError, nil, 502, 409, 1, true},
		{"it broke", "once", fakes.ExecuteThenReset, nil, 502, 409, 1, true},
		{"turned away: a repeat is a new request, whose backend is held back", "pay", fakes.RejectNotStarted, nil, 503, 503, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newDeduplicatingRig(t, 1, fakes.OnFirstAttempt(c.act), idempotency.Limits{UnknownTTL: time.Minute})
			addr := hosttest.Serve(t, r.Gateway, nil)
			first := r.NewRequest(c.class)
			again := first
			again.ID = first.ID + 1000
			if c.change != nil {
				c.change(&again)
			}
			var told [2]*http.Response // read by hand: the stand-in client takes an answer to another try for a wrong one
			var bodies [2]string
			for i, a := range []fakes.Request{first, again} {
				req, err := a.HTTPRequest(t.Context(), addr)
				if err != nil {
					t.Fatal(err)
				}
				told[i], bodies[i] = testkit.Do(t, req)
			}
			if told[0].StatusCode != c.first || told[1].StatusCode != c.second || (told[1].Header.Get("Retry-After") != "") != c.retry {
				t.Errorf("%d, then %d with Retry-After %q", told[0].StatusCode, told[1].StatusCode, told[1].Header.Get("Retry-After"))
			}
			if c.sent == 1 && c.second == 200 && bodies[0] != bodies[1] {
				t.Errorf("%q, then %q", bodies[0], bodies[1])
			}
			if n := len(r.Ledger.Attempts()); n != c.sent {
				t.Errorf("%d attempts, want %d", n, c.sent)
			}
		})
	}
}

// The first client disconnects while a second one waits for the same key: the request goes on for the second one.
func TestDisconnectWhileRepeatWaits(t *testing.T) {
	hold := make(chan bool)
	r := newDeduplicatingRig(t, 1, func(a fakes.Attempt) fakes.Behavior {
		if a.Body == "hold" {
			<-hold
		}
		return fakes.ServeNormally
	}, idempotency.Limits{})
	firstLeaves, leave := context.WithCancel(t.Context())
	req := keyedRequest("pay", "k", "hold")
	got := make(chan error, 1)
	go func() {
		_, err := r.Gateway.Do(firstLeaves, req)
		got <- err
	}()
	if !r.Ledger.Await(hosttest.WaitTimeout, func(as []fakes.Attempt) bool { return len(as) == 1 }) {
		t.Fatal("the first never came")
	}
	second := make(chan error, 1)
	go func() {
		_, err := r.Gateway.Do(t.Context(), req)
		second <- err
	}()
	waits := func() bool { _, _, joined := r.Gateway.IdempotencyStats(); return joined > 1 }
	waitUntil(t, waits, "the second to wait")
	req.Body[0] = 'X' // the first caller may change its body from when it has left
	leave()
	if err := <-got; !errors.Is(err, context.Canceled) {
		t.Errorf("the first: %v", err)
	}
	close(hold)
	if err := <-second; err != nil {
		t.Errorf("the second: %v", err)
	}
	if n := len(r.Ledger.Attempts()); n != 1 {
		t.Errorf("%d attempts", n)
	}
}

// Invalid keys are bad requests, and a response that is too large is remembered as given.
func TestInvalidKeys(t *testing.T) {
	r := newDeduplicatingRig(t, 1, nil, idempotency.Limits{MaxResponseBytes: 3})
	for _, key := range []string{strings.Repeat("k", 64<<10), "a\tb", "ü"} {
		if _, err := r.Gateway.Do(t.Context(), keyedRequest("pay", key, "b")); !errors.Is(err, pumicecroft.ErrBadRequest) {
			t.Errorf("%.10q: %v", key, err)
		}
	}
	for i, want := range []error{nil, pumicecroft.ErrResponseNotRetained} {
		if _, err := r.Gateway.Do(t.Context(), keyedRequest("pay", "k", "b")); !errors.Is(err, want) {
			t.Errorf("%d: %v", i, err)
		}
	}
	if _, err := r.Gateway.Do(t.Context(), keyedRequest("pay", "k", "c")); !errors.Is(err, pumicecroft.ErrKeyConflict) {
		t.Error(err)
	}
	w := httptest.NewRecorder()
	if pumicecroft.WriteResponse(w, nil, pumicecroft.ErrResponseNotRetained); w.Code != http.StatusConflict {
		t.Error(w.Code)
	}
}

// A customer that has as much in flight as it may is rejected at once, with Retry-After; another's request goes on.
func TestTooManyKeysInFlight(t *testing.T) {
	hold := make(chan bool)
	r := newDeduplicatingRig(t, 1, func(a fakes.Attempt) fakes.Behavior {
		if a.Body == "hold" {
			<-hold
		}
		return fakes.ServeNormally
	}, idempotency.Limits{MaxBytes: 4000, RetryAfter: 70 * time.Millisecond})
	var asking sync.WaitGroup
	defer asking.Wait()
	defer close(hold)
	busy := false
	for i := range 20 {
		ctx, cancel := context.WithTimeout(t.Context(), hosttest.WaitTimeout)
		answered := make(chan error, 1)
		asking.Go(func() {
			defer cancel()
			_, err := r.Gateway.Do(ctx, keyedRequest("pay", fmt.Sprint(i), "hold"))
			answered <- err
		})
		waitUntil(t, func() bool {
			select {
			case err := <-answered:
				var refused *pumicecroft.RejectedError
				if !errors.As(err, &refused) || refused.RetryAfter != 70*time.Millisecond {
					t.Errorf("%d: %v", i, err)
				}
				busy = true
				return true
			default:
				_, n, _ := r.Gateway.IdempotencyStats()
				return n > i
			}
		}, "a request to be held or refused")
		if busy {
			break
		}
	}
	other := keyedRequest("pay", "k", "b")
	other.Customer = 8
	if _, err := r.Gateway.Do(t.Context(), other); err != nil || !busy {
		t.Errorf("refused: %v; another customer's: %v", busy, err)
	}
}

// The disk hangs: no client waits beyond its timeout, and a request that waited for the disk has what is left of it.
func TestSlowJournalKeepsDeadlines(t *testing.T) {
	dir := t.TempDir()
	r := hosttest.New(t, 1, func(a fakes.Attempt) fakes.Behavior {
		if a.Key == "slow" {
			return fakes.ExecuteThenHang
		}
		return fakes.ServeNormally
	}, func(c *pumicecroft.Config) {
		c.Idempotency, c.IdempotencyJournal = &idempotency.Limits{}, &pumicecroft.IdempotencyJournal{Dir: dir, GroupCommitDelay: time.Second, WriteTimeout: 400 * time.Millisecond}
	})
	for _, c := range []struct {
		key     string
		timeout time.Duration
		want    error
	}{{"slow", 900 * time.Millisecond, pumicecroft.ErrFailed}, {"short", 300 * time.Millisecond, nil}, {"good", 5 * time.Second, nil}} {
		req := keyedRequest("once", c.key, "b")
		req.Timeout = c.timeout
		start := time.Now()
		_, err := r.Gateway.Do(t.Context(), req)
		if took := time.Since(start); !errors.Is(err, c.want) || took > c.timeout {
			t.Errorf("%s: %v after %v of %v, want %v", c.key, err, took, c.timeout, c.want)
		}
	}
}

// A gateway is closed while pairs of requests come and go. Each client has one answer, both of a pair the same response
// if they have one, and the next gateway, with the journal of the first, gives it again; a rejected request is a new one
// there. Nothing is executed twice.
func TestRepeatedKeysAcrossRestart(t *testing.T) {
	dir := t.TempDir()
	withJournal := func(c *pumicecroft.Config) {
		c.Idempotency, c.IdempotencyJournal = &idempotency.Limits{}, &pumicecroft.IdempotencyJournal{Dir: dir}
	}
	first := hosttest.New(t, 2, nil, withJournal)
	const pairs = 300
	var answers [pairs][2]string
	var pressing sync.WaitGroup
	next, some := make(chan int), make(chan struct{}, 2*pairs)
	pressing.Go(func() {
		defer close(next)
		for i := range pairs {
			next <- i
		}
	})
	for range 8 {
		pressing.Go(func() {
			for i := range next {
				var pair sync.WaitGroup
				for j := range 2 {
					pair.Go(func() {
						a, err := first.Gateway.Do(t.Context(), keyedRequest("once", fmt.Sprint("k", i), "b"))
						switch {
						case err == nil:
							answers[i][j] = string(a.Body)
						case !errors.Is(err, pumicecroft.ErrRejected):
							t.Errorf("k%d: %v", i, err)
						}
						some <- struct{}{}
					})
				}
				pair.Wait()
			}
		})
	}
	for range pairs {
		<-some
	}
	if err := first.Gateway.Close(t.Context()); err != nil {
		t.Fatal(err)
	}
	pressing.Wait()
	var nodes membership.Update
	for _, b := range first.Backends {
		nodes.Nodes = append(nodes.Nodes, membership.Node{Name: b.Addr(), Addr: b.Addr(), Weight: 1})
	}
	second := hosttest.New(t, 0, nil, func(c *pumicecroft.Config) { withJournal(c); c.InitialEndpoints = nodes })
	answered, refused := 0, 0
	for i, pair := range answers {
		a, err := second.Gateway.Do(t.Context(), keyedRequest("once", fmt.Sprint("k", i), "b"))
		if err != nil {
			t.Fatalf("k%d at the next gateway: %v", i, err)
		}
		for _, had := range pair {
			if had == "" {
				refused++
			} else if answered++; had != string(a.Body) {
				t.Errorf("k%d: %q, and %q at the next gateway", i, had, a.Body)
			}
		}
		if n := first.Ledger.Effects(fmt.Sprint("k", i)); n != 1 {
			t.Errorf("k%d had its effect %d times", i, n)
		}
	}
	if answered == 0 || refused == 0 {
		t.Errorf("%d answered, %d refused: the end was not among them", answered, refused)
	}
}

// A body that arrives in other pieces is the same body. One of 60 MB is rejected, and its key stays free.
func TestBodyInPiecesHasSameDigest(t *testing.T) {
	r := newDeduplicatingRig(t, 1, nil, idempotency.Limits{})
	addr := hosttest.Serve(t, r.Gateway, nil)
	first := r.NewRequest("pay")
	press := func(body io.Reader, size int64) int {
		a := first
		a.ID = r.NewRequest("pay").ID
		req, err := a.HTTPRequest(t.Context(), addr)
		if err != nil {
			t.Fatal(err)
		}
		req.Body, req.ContentLength, req.GetBody = io.NopCloser(body), size, nil
		res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
		if err != nil {
			return 0 // it was turned away while it was still being sent
		}
		defer res.Body.Close()
		return res.StatusCode
	}
	if got := press(io.LimitReader(endlessReader{}, 60<<20), 60<<20); got != 413 && got != 0 {
		t.Errorf("60 MB: %d", got)
	}
	text := strings.Repeat("amount=3;", 1000)
	for i, body := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text)), iotest.HalfReader(strings.NewReader(text))} {
		if got := press(body, int64(len(text))); got != 200 {
			t.Errorf("in pieces, %d: %d", i, got)
		}
	}
	if n := len(r.Ledger.Attempts()); n != 1 {
		t.Errorf("%d attempts", n)
	}
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// A client's timeout is shorter than the disk takes: it is rejected within its timeout, as nothing was sent.
func TestShortTimeoutOnSlowJournalIsRejected(t *testing.T) {
	r := hosttest.New(t, 1, nil, func(c *pumicecroft.Config) {
		c.Idempotency, c.IdempotencyJournal = &idempotency.Limits{}, &pumicecroft.IdempotencyJournal{Dir: t.TempDir(), GroupCommitDelay: 5 * time.Second, WriteTimeout: 4 * time.Second}
	})
	req := keyedRequest("once", "k", "b")
	req.Timeout = 200 * time.Millisecond
	start := time.Now()
	_, err := r.Gateway.Do(t.Context(), req)
	if took := time.Since(start); !errors.Is(err, pumicecroft.ErrRejected) || took > 2*time.Second {
		t.Errorf("%v after %v", err, took)
	}
	if n := len(r.Ledger.Attempts()); n != 0 {
		t.Errorf("%d attempts", n)
	}
}
