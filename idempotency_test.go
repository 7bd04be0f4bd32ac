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

// newDeduplicatingFixture starts a gateway that recognises idempotency keys, with n backends.
func newDeduplicatingFixture(
	t *testing.T, n int, behavior func(fakes.Attempt) fakes.Behavior, limits idempotency.Limits,
) *hosttest.Fixture {
	t.Helper()
	return hosttest.New(t, n, behavior, func(c *pumicecroft.Config) { c.Idempotency = &limits })
}

// waitUntil waits until condition returns true.
func waitUntil(t *testing.T, condition func() bool, description string) {
	t.Helper()
	for end := time.Now().Add(hosttest.WaitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", description)
		}
	}
}

// keyedRequest returns a request with a key. Requests with the same key and different bodies conflict.
func keyedRequest(class, key, body string) pumicecroft.Request {
	r := newRequest(class)
	r.IdempotencyKey, r.Body = key, []byte(body)
	return r
}

// A repeat that arrives while the first request is being executed must wait for its response, and a later repeat must
// get the stored response. Each pair must be sent and executed only once.
func TestRepeatedKeyIsExecutedOnce(t *testing.T) {
	const pairs = 200
	r := newDeduplicatingFixture(t, 2, nil, idempotency.Limits{})
	var requests sync.WaitGroup
	for i := range pairs {
		requests.Go(func() {
			req := keyedRequest([]string{"pay", "once"}[i%2], fmt.Sprint("k", i), "b")
			var bodies [2]string
			var pair sync.WaitGroup
			for j := range 2 {
				pair.Go(func() {
					if i%4 > 1 && j == 1 { // mostly after the first request was answered
						time.Sleep(time.Duration(i%20) * time.Millisecond)
					}
					response, err := r.Gateway.Do(t.Context(), req)
					if err != nil {
						t.Errorf("%s %s: %v", req.Class, req.IdempotencyKey, err)
						return
					}
					bodies[j] = string(response.Body)
				})
			}
			pair.Wait()
			if bodies[0] != bodies[1] || bodies[0] == "" {
				t.Errorf("key %s: bodies %q and %q, want equal ones that are not empty",
					req.IdempotencyKey, bodies[0], bodies[1])
			}
		})
	}
	requests.Wait()
	if n := len(r.Ledger.Attempts()); n != pairs {
		t.Errorf("%d attempts were sent, want %d", n, pairs)
	}
}

// The response to a repeat over HTTP depends on the result of the first request and on what differs in the repeat.
func TestRepeatedKeyOverHTTP(t *testing.T) {
	for _, c := range []struct {
		name           string
		class          string
		behavior       fakes.Behavior         // of the backend at the first attempt
		change         func(a *fakes.Request) // modifies the repeat
		firstStatus    int
		repeatStatus   int
		attempts       int
		wantRetryAfter bool // in the response to the repeat
	}{
		{"served", "pay", fakes.ServeNormally, nil, 200, 200, 1, false},
		{"another body", "pay", fakes.ServeNormally, func(a *fakes.Request) { a.Body = "amount=4" }, 200, 422, 1, false},
		{"another class", "pay", fakes.ServeNormally, func(a *fakes.Request) { a.Class = "once" }, 200, 422, 1, false},
		{"another customer", "pay", fakes.ServeNormally, func(a *fakes.Request) { a.Customer = 8 }, 200, 200, 2, false},
		{"executed, then error", "once", fakes.ExecuteThenError, nil, 502, 409, 1, true},
		{"executed, then reset", "once", fakes.ExecuteThenReset, nil, 502, 409, 1, true},
		// The repeat is a new request, for which the only backend is not available yet.
		{"not started", "pay", fakes.RejectNotStarted, nil, 503, 503, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newDeduplicatingFixture(t, 1, fakes.OnFirstAttempt(c.behavior), idempotency.Limits{UnknownTTL: time.Minute})
			addr := hosttest.Serve(t, r.Gateway, nil)
			first := r.NewRequest(c.class)
			repeat := first
			repeat.ID = first.ID + 1000
			if c.change != nil {
				c.change(&repeat)
			}
			// fakes.Request.Do is not used, as it counts a response that was made for another request as lost.
			var responses [2]*http.Response
			var bodies [2]string
			for i, request := range []fakes.Request{first, repeat} {
				req, err := request.HTTPRequest(t.Context(), addr)
				if err != nil {
					t.Fatal(err)
				}
				responses[i], bodies[i] = testkit.Do(t, req)
			}
			retryAfter := responses[1].Header.Get("Retry-After")
			if responses[0].StatusCode != c.firstStatus || responses[1].StatusCode != c.repeatStatus ||
				(retryAfter != "") != c.wantRetryAfter {
				t.Errorf("status %d, then %d with Retry-After %q; want %d, then %d with Retry-After set: %v",
					responses[0].StatusCode, responses[1].StatusCode, retryAfter,
					c.firstStatus, c.repeatStatus, c.wantRetryAfter)
			}
			if c.attempts == 1 && c.repeatStatus == 200 && bodies[0] != bodies[1] {
				t.Errorf("body of the repeat = %q, want %q", bodies[1], bodies[0])
			}
			if n := len(r.Ledger.Attempts()); n != c.attempts {
				t.Errorf("%d attempts were sent, want %d", n, c.attempts)
			}
		})
	}
}

// If the first client disconnects while a second one waits for the same key, the request must continue for the second.
func TestDisconnectWhileRepeatWaits(t *testing.T) {
	hold := make(chan bool)
	r := newDeduplicatingFixture(t, 1, func(a fakes.Attempt) fakes.Behavior {
		if a.Body == "hold" {
			<-hold
		}
		return fakes.ServeNormally
	}, idempotency.Limits{})
	firstContext, disconnectFirst := context.WithCancel(t.Context())
	req := keyedRequest("pay", "k", "hold")
	first := make(chan error, 1)
	go func() {
		_, err := r.Gateway.Do(firstContext, req)
		first <- err
	}()
	if !r.Ledger.Await(hosttest.WaitTimeout, func(as []fakes.Attempt) bool { return len(as) == 1 }) {
		t.Fatalf("the first request did not reach the backend within %v", hosttest.WaitTimeout)
	}
	second := make(chan error, 1)
	go func() {
		_, err := r.Gateway.Do(t.Context(), req)
		second <- err
	}()
	secondWaits := func() bool { _, _, waiting := r.Gateway.IdempotencyStats(); return waiting > 1 }
	waitUntil(t, secondWaits, "the second request to wait")
	req.Body[0] = 'X' // a caller may modify its body after Do has returned
	disconnectFirst()
	if err := <-first; !errors.Is(err, context.Canceled) {
		t.Errorf("first request: error %v, want context.Canceled", err)
	}
	close(hold)
	if err := <-second; err != nil {
		t.Errorf("second request: %v", err)
	}
	if n := len(r.Ledger.Attempts()); n != 1 {
		t.Errorf("%d attempts were sent, want 1", n)
	}
}

// A request with an invalid key is a bad request. If a response is too large to be stored, its key is kept without it.
func TestInvalidKeys(t *testing.T) {
	r := newDeduplicatingFixture(t, 1, nil, idempotency.Limits{MaxResponseBytes: 3})
	for _, key := range []string{strings.Repeat("k", 64<<10), "a\tb", "ü"} {
		if _, err := r.Gateway.Do(t.Context(), keyedRequest("pay", key, "b")); !errors.Is(err, pumicecroft.ErrBadRequest) {
			t.Errorf("key %.10q: error %v, want ErrBadRequest", key, err)
		}
	}
	for i, want := range []error{nil, pumicecroft.ErrResponseNotRetained} {
		if _, err := r.Gateway.Do(t.Context(), keyedRequest("pay", "k", "b")); !errors.Is(err, want) {
			t.Errorf("request %d with a response over MaxResponseBytes: error %v, want %v", i, err, want)
		}
	}
	if _, err := r.Gateway.Do(t.Context(), keyedRequest("pay", "k", "c")); !errors.Is(err, pumicecroft.ErrKeyConflict) {
		t.Errorf("same key with another body: error %v, want ErrKeyConflict", err)
	}
	w := httptest.NewRecorder()
	if pumicecroft.WriteResponse(w, nil, pumicecroft.ErrResponseNotRetained); w.Code != http.StatusConflict {
		t.Errorf("WriteResponse of ErrResponseNotRetained: status %d, want 409", w.Code)
	}
}

// A customer with as many keys in flight as fit in its share of memory must be rejected at once with Retry-After, and
// must not keep another customer's request from being served.
func TestTooManyKeysInFlight(t *testing.T) {
	hold := make(chan bool)
	r := newDeduplicatingFixture(t, 1, func(a fakes.Attempt) fakes.Behavior {
		if a.Body == "hold" {
			<-hold
		}
		return fakes.ServeNormally
	}, idempotency.Limits{MaxBytes: 4000, RetryAfter: 70 * time.Millisecond})
	var requests sync.WaitGroup
	defer requests.Wait()
	defer close(hold)
	rejected := false
	for i := range 20 {
		ctx, cancel := context.WithTimeout(t.Context(), hosttest.WaitTimeout)
		result := make(chan error, 1)
		requests.Go(func() {
			defer cancel()
			_, err := r.Gateway.Do(ctx, keyedRequest("pay", fmt.Sprint(i), "hold"))
			result <- err
		})
		waitUntil(t, func() bool {
			select {
			case err := <-result:
				var rejection *pumicecroft.RejectedError
				if !errors.As(err, &rejection) || rejection.RetryAfter != 70*time.Millisecond {
					t.Errorf("request %d: error %v, want a RejectedError with RetryAfter 70ms", i, err)
				}
				rejected = true
				return true
			default:
				_, held, _ := r.Gateway.IdempotencyStats()
				return held > i
			}
		}, "a request to be held or rejected")
		if rejected {
			break
		}
	}
	other := keyedRequest("pay", "k", "b")
	other.Customer = 8
	if _, err := r.Gateway.Do(t.Context(), other); err != nil || !rejected {
		t.Errorf("first customer rejected: %v, want true; other customer's request: error %v, want none", rejected, err)
	}
}

// While the disk is slow, no client may wait beyond its timeout, and a request that has waited for the disk has only
// the rest of its timeout left.
func TestSlowJournalKeepsDeadlines(t *testing.T) {
	dir := t.TempDir()
	r := hosttest.New(t, 1, func(a fakes.Attempt) fakes.Behavior {
		if a.Key == "slow" {
			return fakes.ExecuteThenHang
		}
		return fakes.ServeNormally
	}, func(c *pumicecroft.Config) {
		c.Idempotency = &idempotency.Limits{}
		c.IdempotencyJournal = &pumicecroft.IdempotencyJournal{
			Dir: dir, GroupCommitDelay: time.Second, WriteTimeout: 400 * time.Millisecond}
	})
	for _, c := range []struct {
		key     string
		timeout time.Duration
		want    error
	}{
		{"slow", 900 * time.Millisecond, pumicecroft.ErrFailed},
		{"short", 450 * time.Millisecond, nil},
		{"good", 5 * time.Second, nil},
	} {
		req := keyedRequest("once", c.key, "b")
		req.Timeout = c.timeout
		start := time.Now()
		_, err := r.Gateway.Do(t.Context(), req)
		if elapsed := time.Since(start); !errors.Is(err, c.want) || elapsed > c.timeout {
			t.Errorf("key %s: error %v after %v, want %v within %v", c.key, err, elapsed, c.want, c.timeout)
		}
	}
}

// A gateway is closed while pairs of requests with the same key are being served. Both requests of a pair that get a
// response must get the same one, and a second gateway with the first one's journal must return it again. A request
// that was rejected is a new one at the second gateway. Nothing may be executed twice.
func TestRepeatedKeysAcrossRestart(t *testing.T) {
	dir := t.TempDir()
	withJournal := func(c *pumicecroft.Config) {
		c.Idempotency, c.IdempotencyJournal = &idempotency.Limits{}, &pumicecroft.IdempotencyJournal{Dir: dir}
	}
	first := hosttest.New(t, 2, nil, withJournal)
	const pairs = 300
	var bodies [pairs][2]string // empty: the request was rejected
	var clients sync.WaitGroup
	next, finished := make(chan int), make(chan struct{}, 2*pairs)
	clients.Go(func() {
		defer close(next)
		for i := range pairs {
			next <- i
		}
	})
	for range 8 {
		clients.Go(func() {
			for i := range next {
				var pair sync.WaitGroup
				for j := range 2 {
					pair.Go(func() {
						response, err := first.Gateway.Do(t.Context(), keyedRequest("once", fmt.Sprint("k", i), "b"))
						switch {
						case err == nil:
							bodies[i][j] = string(response.Body)
						case !errors.Is(err, pumicecroft.ErrRejected):
							t.Errorf("key k%d: error %v, want none or ErrRejected", i, err)
						}
						finished <- struct{}{}
					})
				}
				pair.Wait()
			}
		})
	}
	for range pairs { // about half of all requests
		<-finished
	}
	if err := first.Gateway.Close(t.Context()); err != nil {
		t.Fatal(err)
	}
	clients.Wait()
	var nodes membership.Update
	for _, b := range first.Backends {
		nodes.Nodes = append(nodes.Nodes, membership.Node{Name: b.Addr(), Addr: b.Addr(), Weight: 1})
	}
	second := hosttest.New(t, 0, nil, func(c *pumicecroft.Config) { withJournal(c); c.InitialEndpoints = nodes })
	served, rejected := 0, 0
	for i, pair := range bodies {
		response, err := second.Gateway.Do(t.Context(), keyedRequest("once", fmt.Sprint("k", i), "b"))
		if err != nil {
			t.Fatalf("key k%d at the second gateway: %v", i, err)
		}
		for _, body := range pair {
			if body == "" {
				rejected++
			} else if served++; body != string(response.Body) {
				t.Errorf("key k%d: body %q at the second gateway, want %q as at the first", i, response.Body, body)
			}
		}
		if n := first.Ledger.Effects(fmt.Sprint("k", i)); n != 1 {
			t.Errorf("key k%d was executed %d times, want 1", i, n)
		}
	}
	if served == 0 || rejected == 0 {
		t.Errorf("%d requests served and %d rejected by the first gateway, want some of each", served, rejected)
	}
}

// A body that arrives in differently sized pieces must have the same digest. A body of 60 MB must be rejected without
// using up its key.
func TestBodyInPiecesHasSameDigest(t *testing.T) {
	r := newDeduplicatingFixture(t, 1, nil, idempotency.Limits{})
	addr := hosttest.Serve(t, r.Gateway, nil)
	first := r.NewRequest("pay")
	send := func(body io.Reader, size int64) (status int) {
		request := first
		request.ID = r.NewRequest("pay").ID
		req, err := request.HTTPRequest(t.Context(), addr)
		if err != nil {
			t.Fatal(err)
		}
		req.Body, req.ContentLength, req.GetBody = io.NopCloser(body), size, nil
		res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
		if err != nil {
			return 0 // the request was rejected while it was still being sent
		}
		defer res.Body.Close()
		return res.StatusCode
	}
	if got := send(io.LimitReader(endlessReader{}, 60<<20), 60<<20); got != 413 && got != 0 {
		t.Errorf("body of 60 MB: status %d, want 413 or a closed connection (0)", got)
	}
	text := strings.Repeat("amount=3;", 1000)
	for i, body := range []io.Reader{
		strings.NewReader(text),
		iotest.OneByteReader(strings.NewReader(text)),
		iotest.HalfReader(strings.NewReader(text)),
	} {
		if got := send(body, int64(len(text))); got != 200 {
			t.Errorf("body from reader %d: status %d, want 200", i, got)
		}
	}
	if n := len(r.Ledger.Attempts()); n != 1 {
		t.Errorf("%d attempts were sent, want 1", n)
	}
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// A request whose timeout is shorter than the disk takes has not been sent yet, so it must be rejected, not failed, and
// long before the disk is ready.
func TestShortTimeoutOnSlowJournalIsRejected(t *testing.T) {
	r := hosttest.New(t, 1, nil, func(c *pumicecroft.Config) {
		c.Idempotency = &idempotency.Limits{}
		c.IdempotencyJournal = &pumicecroft.IdempotencyJournal{
			Dir: t.TempDir(), GroupCommitDelay: 5 * time.Second, WriteTimeout: 4 * time.Second}
	})
	req := keyedRequest("once", "k", "b")
	req.Timeout = 200 * time.Millisecond
	start := time.Now()
	_, err := r.Gateway.Do(t.Context(), req)
	if elapsed := time.Since(start); !errors.Is(err, pumicecroft.ErrRejected) || elapsed > 2*time.Second {
		t.Errorf("error %v after %v, want ErrRejected within 2 s", err, elapsed)
	}
	if n := len(r.Ledger.Attempts()); n != 0 {
		t.Errorf("%d attempts were sent, want 0", n)
	}
}
