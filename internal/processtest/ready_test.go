package processtest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// readyWithin is the time within which nine of ten restarted gateways must be ready.
const readyWithin = 10 * time.Second

// serveSlowly responds as discovery does, but at one byte a second.
func serveSlowly(w http.ResponseWriter, r *http.Request) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for _, b := range []byte(`{"seq":1000,"whole":true,"hosts":[]}`) {
		w.Write([]byte{b})
		w.(http.Flusher).Flush()
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		}
	}
}

// breakDiscovery makes discovery fail in one of four ways at each gateway.
func breakDiscovery(t *testing.T, f *Fleet) {
	t.Helper()
	slow := httptest.NewServer(http.HandlerFunc(serveSlowly))
	t.Cleanup(slow.Close)
	unavailable := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(unavailable.Close)
	for _, g := range f.Gateways {
		switch g.Number % 4 {
		case 0:
			g.DiscoveryRelay.Stall(BothDirections)
		case 1:
			g.DiscoveryRelay.SetTarget(strings.TrimPrefix(slow.URL, "http://"))
		case 2:
			g.DiscoveryRelay.SetTarget(strings.TrimPrefix(unavailable.URL, "http://"))
		case 3:
			g.DiscoveryRelay.Refuse()
		}
		if g.Number%4 > 0 {
			g.DiscoveryRelay.Reset()
		}
	}
}

// restartTimed kills gateways and starts them again. It returns how many weren't ready within readyWithin, and the
// longest time that one of the others took.
func restartTimed(t *testing.T, f *Fleet, gateways []*Gateway) (late int, longest time.Duration) {
	t.Helper()
	f.Kill(gateways...)
	var mu sync.Mutex
	var starting sync.WaitGroup
	for _, g := range gateways {
		starting.Go(func() {
			begin := time.Now()
			err := f.Start(g)
			mu.Lock()
			defer mu.Unlock()
			if took := time.Since(begin); err != nil || took > readyWithin {
				late++
				t.Logf("%s is ready after %v: %v", g.Name, took, err)
			} else {
				longest = max(longest, took)
			}
		})
	}
	starting.Wait()
	return late, longest
}

// getStatus sends one request to a gateway and returns the status of the response.
func getStatus(t *testing.T, g *Gateway) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+g.Addr+"/look", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header = http.Header{
		"Request-Id": {fmt.Sprintf("%016x", 0xd0000+time.Now().UnixNano()%0xffffff)}, "Request-Class": {"look"},
		"X-Tier": {"big"}, "X-Api-Key": {"0000000000000007"}, "Request-Timeout": {"2.000"},
		"X-Call-Terms": {"units=1,spread=1,first=0"},
	}
	res, err := (&http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// Ten gateways are killed under load, half of them at a time, and restarted while discovery does not respond, responds
// with one byte a second or with 503, or refuses connections. Nine of ten must be ready within 10 s, with or without
// state: a gateway is ready when it accepts requests, and does not wait for discovery. With the platform's file it
// serves at once with the endpoint list in that file. With an operator's file whose only source is discovery, it
// rejects requests until discovery responds.
func TestReadyAgainWithoutDiscovery(t *testing.T) {
	const count = 10
	for name, persistState := range map[string]bool{"platform's file": false, "operator's file, with state": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // two at once: see TestMain
			f := deploy(t, Config{
				Gateways: count, Backends: 4, WorkTime: 5 * time.Millisecond, Slots: 16, Queue: 64,
				Rate: 50, Burst: 50, Relayed: true, PersistState: persistState,
			})
			ctx, stop := context.WithCancel(t.Context())
			var clients sync.WaitGroup
			clients.Go(func() {
				err := f.RunClients(ctx, 1, ClientGroup{
					Name: "look", Plan: "shop", Class: "look", Rate: 300, Customers: 50, Timeout: 2 * time.Second,
				})
				if err != nil {
					t.Error(err)
				}
			})
			breakDiscovery(t, f)
			late, longest := 0, time.Duration(0)
			for _, half := range [][]*Gateway{f.Gateways[:count/2], f.Gateways[count/2:]} {
				lateOfHalf, longestOfHalf := restartTimed(t, f, half)
				late, longest = late+lateOfHalf, max(longest, longestOfHalf)
			}
			t.Logf("ready after %v at most, except %d of %d", longest, late, count)
			if late > count/10 {
				t.Errorf("%d of %d gateways were not ready within %v, want at most %d", late, count, readyWithin, count/10)
			}
			want := http.StatusOK
			if persistState {
				want = http.StatusServiceUnavailable
			}
			for _, g := range f.Gateways {
				if got := getStatus(t, g); got != want {
					t.Errorf("%s answers %d while discovery is unreachable, want %d", g.Name, got, want)
				}
			}
			stop()
			clients.Wait()
			outcomes := f.Outcomes(f.startedAt, f.lastStartedAt(), nil)
			t.Logf("%d of %d requests were served until the last gateway was ready", CountGood(outcomes), len(outcomes))
		})
	}
}
