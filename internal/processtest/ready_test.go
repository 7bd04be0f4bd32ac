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

// readyWithin is when nine in ten processes that were started again have to be ready.
const readyWithin = 10 * time.Second

// slowly is a discovery that answers with a byte a second.
func serveSlowly(w http.ResponseWriter, r *http.Request) {
	drip := time.NewTicker(time.Second)
	defer drip.Stop()
	for _, b := range []byte(`{"seq":1000,"whole":true,"hosts":[]}`) {
		w.Write([]byte{b})
		w.(http.Flusher).Flush()
		select {
		case <-drip.C:
		case <-r.Context().Done():
			return
		}
	}
}

// Ten doors are killed, half of them at a time, under load, and come back while discovery answers nothing, a byte a second, 503, or refuses connections. Nine in
// ten are ready within 10 s, with what they keep or without. Ready is who takes requests: that waits for nobody. By the platform's file a door serves at once, by
// the list that it last had; an operator's that knows its backends from discovery alone refuses until that can be heard.
func TestReadyAgainWithoutDiscovery(t *testing.T) {
	const doors = 10
	for name, keeps := range map[string]bool{"by the platform's file": false, "by an operator's file, with state": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // two at once: see TestMain
			f := deploy(t, Config{Gateways: doors, Backends: 4, WorkTime: 5 * time.Millisecond, Slots: 16, Queue: 64, Rate: 50, Burst: 50, Relayed: true, PersistState: keeps})
			slow := httptest.NewServer(http.HandlerFunc(serveSlowly))
			defer slow.Close()
			busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
			defer busy.Close()
			ctx, stop := context.WithCancel(t.Context())
			var asking sync.WaitGroup
			asking.Go(func() {
				if err := f.RunClients(ctx, 1, ClientGroup{Name: "look", Plan: "shop", Class: "look", Rate: 300, Customers: 50, Timeout: 2 * time.Second}); err != nil {
					t.Error(err)
				}
			})
			for _, d := range f.Gateways {
				switch d.Number % 4 {
				case 0:
					d.DiscoveryRelay.Stall(BothDirections)
				case 1:
					d.DiscoveryRelay.SetTarget(strings.TrimPrefix(slow.URL, "http://"))
				case 2:
					d.DiscoveryRelay.SetTarget(strings.TrimPrefix(busy.URL, "http://"))
				case 3:
					d.DiscoveryRelay.Refuse()
				}
				if d.Number%4 > 0 {
					d.DiscoveryRelay.Reset()
				}
			}
			var mu sync.Mutex
			late, worst := 0, time.Duration(0)
			for _, half := range [][]*Gateway{f.Gateways[:doors/2], f.Gateways[doors/2:]} {
				f.Kill(half...)
				var back sync.WaitGroup
				for _, d := range half {
					back.Go(func() {
						begin := time.Now()
						err := f.Start(d)
						mu.Lock()
						defer mu.Unlock()
						if took := time.Since(begin); err != nil || took > readyWithin {
							late++
							t.Logf("%s is ready after %v: %v", d.Name, took, err)
						} else {
							worst = max(worst, took)
						}
					})
				}
				back.Wait()
			}
			t.Logf("ready after %v at most, but for %d of %d", worst, late, doors)
			if late > doors/10 {
				t.Errorf("%d of %d are not ready within %v", late, doors, readyWithin)
			}
			answered := func(d *Gateway) int {
				req, err := http.NewRequest(http.MethodGet, "http://"+d.Addr+"/look", nil)
				if err != nil {
					t.Fatal(err)
				}
				req.Header = http.Header{"Request-Id": {fmt.Sprintf("%016x", 0xd0000+time.Now().UnixNano()%0xffffff)}, "Request-Class": {"look"}, "X-Tier": {"big"}, "X-Api-Key": {"0000000000000007"},
					"Request-Timeout": {"2.000"}, "X-Call-Terms": {"units=1,spread=1,first=0"}}
				res, err := (&http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
				if err != nil {
					t.Fatal(err)
				}
				defer res.Body.Close()
				io.Copy(io.Discard, res.Body)
				return res.StatusCode
			}
			for _, d := range f.Gateways {
				if got := answered(d); !keeps && got != http.StatusOK || keeps && got != http.StatusServiceUnavailable {
					t.Errorf("%s answers %d while discovery can't be heard", d.Name, got)
				}
			}
			stop()
			asking.Wait()
			all := f.Outcomes(f.startedAt, f.lastStartedAt(), nil)
			t.Logf("%d of %d served meanwhile", CountGood(all), len(all))
		})
	}
}
