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
	killsFlag = flag.Int("kills", 12, "how often TestIdempotencyKeysSurviveKills kills the program")
	killsSync = flag.String("kills.sync", "0s", "journal_sync of TestIdempotencyKeysSurviveKills")
)

// The program is killed at random times, with its journal of idempotency keys. Clients retry until
// they have a response: no key may have its effect twice, and a key that has a response must get
// the same one from each later process.
func TestIdempotencyKeysSurviveKills(t *testing.T) {
	ledger := &fakes.Ledger{}
	var nodes strings.Builder
	for i := range 2 { // of one cell each that forgets at once, so that only the edge drops repeats
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
	var lastID, pressed, undecided atomic.Uint64
	var mu sync.Mutex
	answers := map[string]string{} // of keys
	var keys []string              // that were answered, in their order
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	defer client.CloseIdleConnections()
	press := func(ctx context.Context, addr string, worker uint64, key string) (*http.Response, string, error) {
		ask := fakes.Request{ID: lastID.Add(1), Class: "once", Customer: worker, Plan: "shop", Timeout: 5 * time.Second,
			Key: key, Body: "b " + key}
		req, err := ask.HTTPRequest(ctx, addr)
		if err != nil {
			return nil, "", err
		}
		pressed.Add(1)
		res, err := client.Do(req)
		if os.IsTimeout(err) {
			t.Errorf("%s: nothing came: %v", key, err)
		}
		if err != nil {
			return nil, "", err
		}
		defer res.Body.Close()
		text, err := io.ReadAll(res.Body)
		return res, string(text), err
	}
	// end tells whether a key has an end, and holds it against what is known of it.
	end := func(key string, res *http.Response, body string) bool {
		mu.Lock()
		defer mu.Unlock()
		known, was := answers[key]
		switch {
		case res.StatusCode == 200 && !was:
			answers[key] = body
			keys = append(keys, key)
		case was && (res.StatusCode != 200 || body != known):
			t.Errorf("%s was answered %q, and is answered %d %q now", key, known, res.StatusCode, body)
		case res.StatusCode == 409:
			undecided.Add(1)
		default:
			return res.StatusCode == 200
		}
		return true
	}
	const workers = 8
	inHand := make([]string, workers) // the key that each has pressed and has no end of
	next := make([]int, workers)
	for kill := range *killsFlag + 1 {
		cmd, addr, _ := startServing(t, path)
		ctx, stop := context.WithCancel(t.Context())
		var pressing sync.WaitGroup
		for w := range workers {
			pressing.Go(func() {
				for ctx.Err() == nil {
					if inHand[w] == "" {
						next[w]++
						inHand[w] = fmt.Sprintf("w%d-%d", w, next[w])
					}
					key := inHand[w]
					res, body, err := press(ctx, addr, uint64(w), key)
					if err != nil {
						return // the door is gone, and the key is pressed again at the next one
					}
					if end(key, res, body) {
						inHand[w] = ""
					}
				}
			})
		}
		pressing.Go(func() { // of what was answered before, some once more
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
				res, body, err := press(ctx, addr, w, key)
				if err != nil {
					return
				}
				end(key, res, body)
			}
		})
		time.Sleep(time.Duration(rng.Int64N(int64(120 * time.Millisecond))))
		if kill == *killsFlag { // the last one ends in peace, and all keys are pressed once more
			for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
				mu.Lock()
				n := len(keys)
				mu.Unlock()
				if n >= *killsFlag {
					break
				}
			}
			stop()
			pressing.Wait()
			for _, key := range keys {
				var w uint64
				_, _ = fmt.Sscanf(key, "w%d-", &w)
				res, body, err := press(t.Context(), addr, w, key)
				if err != nil {
					t.Fatal(err)
				}
				end(key, res, body)
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
		stop() // who has no key to press yet would wait for one
		pressing.Wait()
	}
	if doubled := ledger.RepeatedEffects(); len(doubled) > 0 {
		t.Errorf("%d keys had their effect more than once: %v", len(doubled), doubled)
	}
	for _, key := range keys {
		if n := ledger.Effects(key); n != 1 {
			t.Errorf("%s was answered and had its effect %d times", key, n)
		}
	}
	if len(keys) < *killsFlag {
		t.Errorf("only %d keys were answered", len(keys))
	}
	t.Logf("%d kills: %d keys answered, %d presses, %d told that nothing is known", *killsFlag, len(keys),
		pressed.Load(), undecided.Load())
}
