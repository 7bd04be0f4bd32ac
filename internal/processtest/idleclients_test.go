package processtest

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pumicecroft/internal/fakes"
)

// crowd has so many clients hold connections to a door until ctx ends: each says something, rests until the door ends it, and comes again a tick later.
func holdConnections(ctx context.Context, clients int, addr, says string, again time.Duration, ran *sync.WaitGroup) {
	for range clients {
		ran.Go(func() {
			tick := time.NewTicker(again)
			defer tick.Stop()
			for ctx.Err() == nil {
				if c, err := net.Dial("tcp", addr); err == nil {
					over := context.AfterFunc(ctx, func() { c.Close() })
					io.WriteString(c, says)
					io.Copy(io.Discard, c)
					over()
					c.Close()
				}
				select {
				case <-tick.C:
				case <-ctx.Done():
				}
			}
		})
	}
}

// Clients hold every descriptor that they may at doors of 96, and come again when they are sent away, some since before discovery was lost and some since then. Its
// return is heard all the same, both on a watch that stayed open and by a new one; what it says needs new connections to backends in that very moment,
// and these come up; no request that was taken is lost, whether or not discovery can be heard.
func TestIdleClientsAndDiscoveryLost(t *testing.T) {
	const descriptors, clients, requests, atOnce = 96, 48, 40, 4
	forms := []struct {
		says  string
		again time.Duration
	}{
		{"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 500 * time.Millisecond}, // kept connections
		{"", 500 * time.Millisecond},
		{"G", 500 * time.Millisecond},
		{"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 20 * time.Millisecond}, // they come again and again
	}
	f := deploy(t, Config{Gateways: len(forms), Backends: 6, WorkTime: 5 * time.Millisecond, Slots: 16, Queue: 64, Relayed: true, Descriptors: descriptors, MemoryMB: 192})
	heard := func() {
		t.Helper()
		for _, d := range f.Gateways {
			if _, err := d.Process.Await(fmt.Sprint("seq=", d.Agent.List().Seq)); err != nil {
				t.Fatal(err)
			}
		}
	}
	f.SetHealth("Gone", 3, 4, 5)
	heard()
	ctx, stop := context.WithCancel(t.Context())
	var crowds sync.WaitGroup
	defer crowds.Wait()
	defer stop()
	var id, again, shut atomic.Int64 // requests, of which so many were shut before they were read, and their repeats too
	ask := func(what string) {       // on connections of their own
		t.Helper()
		var asking sync.WaitGroup
		var served atomic.Int64
		for _, d := range f.Gateways {
			for range atOnce {
				asking.Go(func() {
					for range requests / atOnce {
						a := fakes.Request{ID: 0xc0000 + uint64(id.Add(1)), Class: "look", Plan: "big", Customer: 7, GatewaySpread: len(f.Gateways), Timeout: 2 * time.Second}
						tr := &http.Transport{DisableKeepAlives: true}
						r := a.Do(ctx, tr, d.Addr)
						if r.Status == 0 && len(f.Ledger.ForRequest(a.RequestID())) == 0 { // shut before it was read: its client asks once more
							again.Add(1)
							r = a.Do(ctx, tr, d.Addr)
						}
						switch {
						case r.Status == http.StatusOK:
							served.Add(1)
						case r.Status == 0 && len(f.Ledger.ForRequest(a.RequestID())) == 0:
							shut.Add(1)
						case r.String() != "refused":
							t.Errorf("%s: %s: %v after %v: %v, %d attempts", what, d.Name, r, r.Latency, r.Err, len(f.Ledger.ForRequest(a.RequestID())))
						}
					}
				})
			}
		}
		asking.Wait()
		if all := int64(requests * len(f.Gateways)); served.Load() < all*9/10 {
			t.Errorf("%s: %d of %d are served, %d were shut unread until then", what, served.Load(), all, again.Load())
		}
	}
	for i, d := range f.Gateways {
		holdConnections(ctx, clients, d.Addr, forms[i].says, forms[i].again, &crowds)
	}
	ask("before")
	for i, d := range f.Gateways {
		d.Agent.SetDown(true)
		if d.Number%2 == 0 {
			d.DiscoveryRelay.Refuse()
			d.DiscoveryRelay.Reset()
		}
		holdConnections(ctx, clients, d.Addr, forms[i].says, forms[i].again, &crowds)
	}
	for lost := time.Now(); time.Since(lost) < 3500*time.Millisecond; { // longer than a watch may be silent
		ask("meanwhile")
	}
	f.SetHealth("Terminating", 0, 1, 2)
	f.SetHealth("Ready", 3, 4, 5)
	back := time.Now()
	for _, d := range f.Gateways {
		d.DiscoveryRelay.Heal()
		d.Agent.SetDown(false)
	}
	heard()
	for _, d := range f.Gateways {
		held, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.Process.cmd.Process.Pid))
		t.Logf("%s holds %d descriptors (%v)", d.Name, len(held), err)
	}
	if late := time.Since(back); late > 6*time.Second {
		t.Errorf("the return was heard after %v", late)
	} else {
		t.Logf("the return was heard after %v", late)
	}
	for time.Since(back) < DrainGrace+500*time.Millisecond {
		ask("after")
	}
	requireNoStaleAttempts(t, f)
	t.Logf("of %d requests %d were shut before they were read, %d once more", id.Load(), again.Load(), shut.Load())
	// A connection whose client is slow to write may be shut for the next, so this depends on the machine: on two busy cores it was one in a hundred once more
	// with clients that came again after 0.2 s. With the newest shut in place of the slowest it is one in four.
	if again.Load() > id.Load()/10 || shut.Load() > id.Load()/50 {
		t.Errorf("of %d requests %d were shut before they were read, %d once more", id.Load(), again.Load(), shut.Load())
	}
}
