package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pumicecroft/internal/fakes"
)

var (
	killsFlag = flag.Int("kills", 12, "how many times TestIdempotencyKeysSurviveKills kills the daemon")
	killsSync = flag.String("kills.sync", "0s", "journal_sync of TestIdempotencyKeysSurviveKills")
)

// The daemon, which has a journal of idempotency keys, is killed and restarted at random times. Clients
// retry until they have a response. No key may have its effect twice, and a key that has a response must
// get the same response from each later process.
func TestIdempotencyKeysSurviveKills(t *testing.T) {
	ledger := &fakes.Ledger{}
	var nodes strings.Builder
	for i := range 2 { // each in a cell of its own that remembers no keys, so that only the gateway drops repeats
		b, err := fakes.StartBackend(fakes.BackendConfig{Name: fmt.Sprint("b", i), Ledger: ledger, Cell: &fakes.Cell{},
			WorkTime: func(string) time.Duration { return 2 * time.Millisecond }, IdempotentByKey: func(string) bool { return true }})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Kill)
		fmt.Fprintf(&nodes, "[[backend]]\nname = \"b%d\"\naddress = %q\ncell = %d\n", i, b.Addr(), i+1)
	}
	dir := filepath.Join(t.TempDir(), "keys")
	path := writeFile(t, fmt.Sprintf("listen = \"127.0.0.1:0\"\n[keys]\njournal = %q\njournal_sync = %q\n[[class]]\nname = \"once\"\neffect = \"unsafe\"\ndeadline = \"5s\"\n[[plan]]\nname = \"shop\"\n", dir, *killsSync)+nodes.String())

	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	var lastID, sent, undecided atomic.Uint64
	var mu sync.Mutex
	responses := map[string]string{} // by key
	var keys []string                // with a response, in the order of their responses
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	defer client.CloseIdleConnections()
	sendWithKey := func(ctx context.Context, addr string, worker uint64, key string) (status int, body string, err error) {
		request := fakes.Request{ID: lastID.Add(1), Class: "once", Customer: worker, Plan: "shop", Timeout: 5 * time.Second,
			Key: key, Body: "b " + key}
		req, err := request.HTTPRequest(ctx, addr)
		if err != nil {
			return 0, "", err
		}
		sent.Add(1)
		res, err := client.Do(req)
		if os.IsTimeout(err) {
			t.Errorf("key %s: no response: %v", key, err)
		}
		if err != nil {
			return 0, "", err
		}
		defer res.Body.Close()
		text, err := io.ReadAll(res.Body)
		return res.StatusCode, string(text), err
	}
	// isFinal returns whether a response to a key is final, and checks that it equals an earlier one.
	isFinal := func(key string, status int, body string) bool {
		mu.Lock()
		defer mu.Unlock()
		known, hasResponse := responses[key]
		switch {
		case status == 200 && !hasResponse:
			responses[key] = body
			keys = append(keys, key)
		case hasResponse && (status != 200 || body != known):
			t.Errorf("key %s: got %d %q, want 200 with its first response %q", key, status, body, known)
		case status == 409:
			undecided.Add(1)
		default:
			return status == 200
		}
		return true
	}
	const workers = 8
	pending := make([]string, workers) // the key of each worker that has no final response yet
	next := make([]int, workers)
	for kill := range *killsFlag + 1 {
		cmd, addr, _ := startDaemon(t, path)
		ctx, stop := context.WithCancel(t.Context())
		var sending sync.WaitGroup
		for w := range workers {
			sending.Go(func() {
				for ctx.Err() == nil {
					if pending[w] == "" {
						next[w]++
						pending[w] = fmt.Sprintf("w%d-%d", w, next[w])
					}
					key := pending[w]
					status, body, err := sendWithKey(ctx, addr, uint64(w), key)
					if err != nil {
						return // the daemon was killed; the key is sent again to the next one
					}
					if isFinal(key, status, body) {
						pending[w] = ""
					}
				}
			})
		}
		sending.Go(func() { // sends keys that have a response again
			rng := rand.New(rand.NewPCG(seed, uint64(kill)+2))
			for ctx.Err() == nil {
				mu.Lock()
				if len(keys) == 0 {
					mu.Unlock()
					time.Sleep(time.Millisecond)
					continue
				}
				key := keys[rng.IntN(len(keys))]
				mu.Unlock()
				var w uint64
				_, _ = fmt.Sscanf(key, "w%d-", &w)
				status, body, err := sendWithKey(ctx, addr, w, key)
				if err != nil {
					return
				}
				isFinal(key, status, body)
			}
		})
		time.Sleep(time.Duration(rng.Int64N(int64(120 * time.Millisecond))))
		if kill == *killsFlag { // the last daemon is not killed, gets all keys again and ends by a signal
			for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
				mu.Lock()
				n := len(keys)
				mu.Unlock()
				if n >= *killsFlag {
					break
				}
			}
			stop()
			sending.Wait()
			for _, key := range keys {
				var w uint64
				_, _ = fmt.Sscanf(key, "w%d-", &w)
				status, body, err := sendWithKey(t.Context(), addr, w, key)
				if err != nil {
					t.Fatal(err)
				}
				isFinal(key, status, body)
			}
			if err := errors.Join(cmd.Process.Signal(os.Interrupt), cmd.Wait()); err != nil {
				t.Error(err)
			}
			break
		}
		if err := cmd.Process.Kill(); err != nil {
			t.Fatal(err)
		}
		_ = cmd.Wait()
		stop() // the worker that repeats keys may still wait for the first key
		sending.Wait()
	}
	if repeated := ledger.RepeatedEffects(); len(repeated) > 0 {
		t.Errorf("%d keys had their effect more than once, want none: %v", len(repeated), repeated)
	}
	for _, key := range keys {
		if n := ledger.Effects(key); n != 1 {
			t.Errorf("key %s has a response and had its effect %d times, want 1", key, n)
		}
	}
	if len(keys) < *killsFlag {
		t.Errorf("%d keys got a response, want at least %d", len(keys), *killsFlag)
	}
	t.Logf("%d kills: %d keys with a response, %d requests, %d responses 409 (outcome unknown)", *killsFlag,
		len(keys), sent.Load(), undecided.Load())
}
