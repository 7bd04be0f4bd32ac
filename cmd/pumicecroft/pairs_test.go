package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/idempotency"
	"pumicecroft/internal/fakes"
	"pumicecroft/membership"
)

var (
	pairsFlag = flag.Int("pairs", 1000, "how many pairs TestTimedPairs sends to the daemon, and to the library")
	pairsUnit = flag.Duration("pairs.unit", 50*time.Millisecond, "length of a second in TestTimedPairs; 1s is real time")
)

// Two requests have the same idempotency key, and the second one comes at a critical time: with the
// first, at the response, when the backends forget the key, and long after. Each pair must have one
// effect and equal responses, with the daemon and with the library.
func TestTimedPairs(t *testing.T) {
	unit := *pairsUnit
	for _, mode := range []string{"program", "library"} {
		t.Run(mode, func(t *testing.T) {
			ledger := &fakes.Ledger{}
			var nodes strings.Builder
			endpoints := membership.Update{Full: true}
			for i := range 4 { // each in a cell of its own
				b, err := fakes.StartBackend(fakes.BackendConfig{Name: fmt.Sprint("b", i), Ledger: ledger,
					Cell:     &fakes.Cell{Window: 5 * unit},
					WorkTime: func(string) time.Duration { return unit / 10 }, IdempotentByKey: func(string) bool { return true }})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(b.Kill)
				fmt.Fprintf(&nodes, "[[backend]]\nname = \"b%d\"\naddress = %q\ncell = %d\n", i, b.Addr(), i+1)
				endpoints.Nodes = append(endpoints.Nodes, membership.Node{Name: fmt.Sprint("b", i), Addr: b.Addr(), Cell: i +
					1, Weight: 1})
			}
			// send returns the body of the response, or the delay after which a rejected request may be retried.
			var send func(ctx context.Context, class, key string) (body string, retryAfter time.Duration, err error)
			if mode == "library" {
				class := func(name string, idempotency decision.Idempotency) decision.Class {
					return decision.Class{Name: name, Idempotency: idempotency, DedupScope: decision.DedupScopeCell,
						DedupWindow: 5 * unit, LatencyObjective: 20 * time.Second, Deadline: 40 * time.Second,
						PriorityWeight: 1}
				}
				gateway, err := pumicecroft.New(pumicecroft.Config{Settings: decision.Settings{Classes: []decision.Class{class("pay", decision.IdempotentByKey), class("once", decision.NonIdempotent)},
					Plans: []decision.Plan{{Name: "shop", Price: 1}}}, InitialEndpoints: endpoints, MaxBackendConns: 1024,
					Idempotency: &idempotency.Limits{}})
				if err != nil {
					t.Fatal(err)
				}
				defer func() {
					if err := gateway.Close(t.Context()); err != nil {
						t.Error(err)
					}
				}()
				send = func(ctx context.Context, class, key string) (string, time.Duration, error) {
					response, err := gateway.Do(ctx, pumicecroft.Request{Class: class, Plan: "shop", Customer: 7,
						IdempotencyKey: key, Body: []byte("b")})
					var rejected *pumicecroft.RejectedError
					if errors.As(err, &rejected) {
						return "", max(rejected.RetryAfter, time.Millisecond), nil
					}
					if err != nil {
						return "", 0, err
					}
					return string(response.Body), 0, nil
				}
			} else {
				path := writeFile(t, fmt.Sprintf("listen = \"127.0.0.1:0\"\n[door]\nbackend_connections = 1024\nclient_connections = 4096\n[keys]\njournal = %q\n"+
					"[[class]]\nname = \"pay\"\neffect = \"keyed\"\ngroup = \"cell\"\nkey_window = %q\ndeadline = \"40s\"\n[[class]]\nname = \"once\"\neffect = \"unsafe\"\ndeadline = \"40s\"\n[[plan]]\nname = \"shop\"\n",
					filepath.Join(t.TempDir(), "keys"), (5*unit).String())+nodes.String())
				cmd, addr, _ := startDaemon(t, path)
				defer func() {
					if err := errors.Join(cmd.Process.Signal(syscall.SIGTERM), cmd.Wait()); err != nil {
						t.Error(err)
					}
				}()
				client := &http.Client{Timeout: time.Minute,
					Transport: &http.Transport{MaxIdleConnsPerHost: 2000, MaxConnsPerHost: 2000}}
				defer client.CloseIdleConnections()
				var ids atomic.Uint64
				send = func(ctx context.Context, class, key string) (string, time.Duration, error) {
					req, err := fakes.Request{ID: ids.Add(1), Class: class, Customer: 7, Plan: "shop",
						Timeout: 40 * time.Second, Key: key, Body: "b"}.HTTPRequest(ctx, addr)
					if err != nil {
						return "", 0, err
					}
					res, err := client.Do(req)
					if err != nil {
						return "", 0, err
					}
					defer res.Body.Close()
					body, err := io.ReadAll(res.Body)
					switch {
					case err != nil:
						return "", 0, err
					case res.StatusCode == 503:
						retryAfter, _ := time.ParseDuration(res.Header.Get("Retry-After") + "s")
						return "", max(retryAfter, time.Millisecond), nil
					case res.StatusCode != 200:
						return "", 0, fmt.Errorf("got status %d, want 200 or 503", res.StatusCode)
					}
					return string(body), 0, nil
				}
			}
			seed := rand.Uint64()
			t.Logf("seed %d", seed)
			rng := rand.New(rand.NewPCG(seed, 1))
			var sending sync.WaitGroup
			var rejections atomic.Int64
			around := func(at time.Duration) time.Duration { // a random time shortly before or after at
				return max(0, at+time.Duration(rng.Int64N(int64(unit/50)))-unit/100)
			}
			kinds := map[string]int{}
			for i := range *pairsFlag {
				class, key := []string{"pay", "once"}[rng.IntN(2)], fmt.Sprint("k", i)
				var gap time.Duration
				kind := []string{"simultaneous", "at the response", "as the backends forget", "any time", "long after"}[i%5]
				switch kind {
				case "at the response":
					gap = around(unit / 10)
				case "as the backends forget":
					gap = around(5 * unit)
				case "any time":
					gap = time.Duration(rng.Int64N(int64(10 * unit)))
				case "long after":
					gap = around(10 * unit)
				}
				kinds[kind]++
				start := time.Duration(rng.Int64N(int64(20 * unit)))
				var bodies [2]string
				var pair sync.WaitGroup
				for j := range 2 {
					pair.Go(func() {
						time.Sleep(start + time.Duration(j)*gap)
						for {
							body, retryAfter, err := send(t.Context(), class, key)
							if err != nil {
								t.Errorf("key %s of class %s, second request %s: %v", key, class, kind, err)
								return
							}
							if retryAfter == 0 {
								bodies[j] = body
								return
							}
							rejections.Add(1)
							time.Sleep(retryAfter)
						}
					})
				}
				sending.Go(func() {
					pair.Wait()
					if bodies[0] != bodies[1] || bodies[0] == "" {
						t.Errorf("key %s of class %s, second request %s: got responses %q and %q, want equal ones",
							key, class, kind, bodies[0], bodies[1])
					}
				})
			}
			sending.Wait()
			for i := range *pairsFlag {
				if n := ledger.Effects(fmt.Sprint("k", i)); n != 1 {
					t.Errorf("key k%d had its effect %d times, want 1", i, n)
				}
			}
			t.Logf("%d pairs, %v; %d rejections were retried", *pairsFlag, kinds, rejections.Load())
		})
	}
}
