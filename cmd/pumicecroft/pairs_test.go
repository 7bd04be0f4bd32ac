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
	pairsFlag = flag.Int("pairs", 1000, "how many pairs TestTimedPairs presses at each front")
	pairsUnit = flag.Duration("pairs.unit", 50*time.Millisecond, "what a second is in TestTimedPairs; 1s is real time")
)

// Two requests have one key, the second around each edge: at the same instant, at the response,
// when the backends forget the key, and long after. Each pair must have one effect and equal
// responses, at the program and at the library.
func TestTimedPairs(t *testing.T) {
	unit := *pairsUnit
	for _, front := range []string{"program", "library"} {
		t.Run(front, func(t *testing.T) {
			ledger := &fakes.Ledger{}
			var nodes strings.Builder
			known := membership.Update{Full: true}
			for i := range 4 { // two racks
				b, err := fakes.StartBackend(fakes.BackendConfig{Name: fmt.Sprint("b", i), Ledger: ledger,
					Cell:     &fakes.Cell{Window: 5 * unit},
					WorkTime: func(string) time.Duration { return unit / 10 }, IdempotentByKey: func(string) bool { return true }})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(b.Kill)
				fmt.Fprintf(&nodes, "[[backend]]\nname = \"b%d\"\naddress = %q\ncell = %d\n", i, b.Addr(), i+1)
				known.Nodes = append(known.Nodes, membership.Node{Name: fmt.Sprint("b", i), Addr: b.Addr(), Cell: i +
					1, Weight: 1})
			}
			var press func(ctx context.Context, class, key string) (answer string, refused time.Duration, err error)
			if front == "library" {
				class := func(name string, e decision.Idempotency) decision.Class {
					return decision.Class{Name: name, Idempotency: e, DedupScope: decision.DedupScopeCell,
						DedupWindow: 5 * unit, LatencyObjective: 20 * time.Second, Deadline: 40 * time.Second,
						PriorityWeight: 1}
				}
				gateway, err := pumicecroft.New(pumicecroft.Config{Settings: decision.Settings{Classes: []decision.Class{class("pay", decision.IdempotentByKey), class("once", decision.NonIdempotent)},
					Plans: []decision.Plan{{Name: "shop", Price: 1}}}, InitialEndpoints: known, MaxBackendConns: 1024,
					Idempotency: &idempotency.Limits{}})
				if err != nil {
					t.Fatal(err)
				}
				defer func() {
					if err := gateway.Close(t.Context()); err != nil {
						t.Error(err)
					}
				}()
				press = func(ctx context.Context, class, key string) (string, time.Duration, error) {
					a, err := gateway.Do(ctx, pumicecroft.Request{Class: class, Plan: "shop", Customer: 7,
						IdempotencyKey: key, Body: []byte("b")})
					var refused *pumicecroft.RejectedError
					if errors.As(err, &refused) {
						return "", max(refused.RetryAfter, time.Millisecond), nil
					}
					if err != nil {
						return "", 0, err
					}
					return string(a.Body), 0, nil
				}
			} else {
				path := writeFile(t, fmt.Sprintf("listen = \"127.0.0.1:0\"\n[door]\nbackend_connections = 1024\nclient_connections = 4096\n[keys]\njournal = %q\n"+
					"[[class]]\nname = \"pay\"\neffect = \"keyed\"\ngroup = \"cell\"\nkey_window = %q\ndeadline = \"40s\"\n[[class]]\nname = \"once\"\neffect = \"unsafe\"\ndeadline = \"40s\"\n[[plan]]\nname = \"shop\"\n",
					filepath.Join(t.TempDir(), "keys"), (5*unit).String())+nodes.String())
				cmd, addr, _ := startServing(t, path)
				defer func() {
					if err := errors.Join(cmd.Process.Signal(syscall.SIGTERM), cmd.Wait()); err != nil {
						t.Error(err)
					}
				}()
				client := &http.Client{Timeout: time.Minute,
					Transport: &http.Transport{MaxIdleConnsPerHost: 2000, MaxConnsPerHost: 2000}}
				defer client.CloseIdleConnections()
				var ids atomic.Uint64
				press = func(ctx context.Context, class, key string) (string, time.Duration, error) {
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
						after, _ := time.ParseDuration(res.Header.Get("Retry-After") + "s")
						return "", max(after, time.Millisecond), nil
					case res.StatusCode != 200:
						return "", 0, fmt.Errorf("answered %d", res.StatusCode)
					}
					return string(body), 0, nil
				}
			}
			seed := rand.Uint64()
			t.Logf("seed %d", seed)
			rng := rand.New(rand.NewPCG(seed, 1))
			var pressing sync.WaitGroup
			var refusals atomic.Int64
			edge := func(at time.Duration) time.Duration { // some around it
				return max(0, at+time.Duration(rng.Int64N(int64(unit/50)))-unit/100)
			}
			kinds := map[string]int{}
			for i := range *pairsFlag {
				class, key := []string{"pay", "once"}[rng.IntN(2)], fmt.Sprint("k", i)
				var gap time.Duration
				kind := []string{"at once", "at the answer", "as the racks forget", "any", "long after"}[i%5]
				switch kind {
				case "at the answer":
					gap = edge(unit / 10)
				case "as the racks forget":
					gap = edge(5 * unit)
				case "any":
					gap = time.Duration(rng.Int64N(int64(10 * unit)))
				case "long after":
					gap = edge(10 * unit)
				}
				kinds[kind]++
				begin := time.Duration(rng.Int64N(int64(20 * unit)))
				var answers [2]string
				var pair sync.WaitGroup
				for j := range 2 {
					pair.Go(func() {
						time.Sleep(begin + time.Duration(j)*gap)
						for {
							answer, wait, err := press(t.Context(), class, key)
							if err != nil {
								t.Errorf("%s of %s, %s: %v", key, class, kind, err)
								return
							}
							if wait == 0 {
								answers[j] = answer
								return
							}
							refusals.Add(1)
							time.Sleep(wait)
						}
					})
				}
				pressing.Go(func() {
					pair.Wait()
					if answers[0] != answers[1] || answers[0] == "" {
						t.Errorf("%s of %s, %s: %q and %q", key, class, kind, answers[0], answers[1])
					}
				})
			}
			pressing.Wait()
			for i := range *pairsFlag {
				if n := ledger.Effects(fmt.Sprint("k", i)); n != 1 {
					t.Errorf("k%d had its effect %d times", i, n)
				}
			}
			t.Logf("%d pairs, %v: each one effect; %d refusals, tried again", *pairsFlag, kinds, refusals.Load())
		})
	}
}
