package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Settings of refusedKey.
const (
	refusedServers = 6
	refusedOrders  = 32
	refusedHang    = 8 * time.Second
	refusedRepeat  = 10 * time.Second // from a refusal to the client's repeat
)

// orderGroup is a group of servers that drop the repeat of a key for rackMemory.
type orderGroup struct {
	t *trial

	mu       sync.Mutex
	runs     map[string][]time.Time // by key
	hangsTil time.Time              // until then server 0 runs what it takes and answers none
}

func (g *orderGroup) handler(server int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		key := r.Header.Get("Idempotency-Key")
		g.mu.Lock()
		now, runs := time.Now(), g.runs[key]
		dropped := len(runs) > 0 && now.Sub(runs[len(runs)-1]) < rackMemory
		if !dropped {
			g.runs[key] = append(runs, now)
		}
		hang := time.Until(g.hangsTil)
		g.mu.Unlock()
		if dropped {
			g.t.note("server %d drops the repeat of key %s", server, key)
		} else {
			g.t.note("server %d HAS RUN key %s", server, key)
		}
		if server == 0 && hang > 0 {
			time.Sleep(hang)
			return
		}
		time.Sleep(250 * time.Millisecond)
		fmt.Fprintf(w, "order %s is done\n", key)
	})
}

// refusedKey checks that an order whose refusal says that trying again is harmless runs once, also if the client
// tries again with its key. One of six servers takes requests and answers none for 8 s.
func refusedKey(t *trial, trouble bool) error {
	g := &orderGroup{t: t, runs: map[string][]time.Time{}}
	var addrs []string
	for i := range refusedServers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		server := &http.Server{Handler: g.handler(i)}
		defer server.Close()
		go func() { _ = server.Serve(ln) }() // ends with the case
		addrs = append(addrs, `"`+ln.Addr().String()+`"`)
	}
	listen, err := freeAddr()
	if err != nil {
		return err
	}
	gateway, err := t.serveFile(listen, fmt.Sprintf(`listen = %q

[door]
max_retry_after = "500ms"

[[service]]
name = "shop"
backends = [%s]
key_window = "5s"
deadline = "2s"
aim = "1s"

[[plan]]
name = "everyone"

[keys]
`, listen, strings.Join(addrs, ", ")))
	if err != nil {
		return err
	}
	if trouble {
		g.mu.Lock()
		g.hangsTil = time.Now().Add(refusedHang)
		g.mu.Unlock()
		t.note("server 0 hangs for %v", refusedHang)
	}
	transport := &http.Transport{}
	order := func(key string) int {
		r, err := http.NewRequest(http.MethodPost, "http://"+listen+"/orders", strings.NewReader("a SIM for "+key))
		if err != nil {
			return 0
		}
		r.Header.Set("Idempotency-Key", key)
		t.note("client sends the order with key %s", key)
		response, err := transport.RoundTrip(r)
		if err != nil {
			t.note("client got no answer for key %s: %v", key, err)
			return 0
		}
		defer response.Body.Close()
		text, _ := io.ReadAll(response.Body) // for the record alone
		t.note("client got for key %s: %s, Retry-After %q, %s", key, response.Status, response.Header.Get("Retry-After"), text)
		return response.StatusCode
	}
	statuses := make([]int, refusedOrders)
	var clients sync.WaitGroup
	for i := range refusedOrders {
		clients.Go(func() {
			key := fmt.Sprintf("order-%d", i)
			if statuses[i] = order(key); statuses[i] == http.StatusServiceUnavailable {
				time.Sleep(refusedRepeat)
				statuses[i] = order(key)
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	clients.Wait()
	if gateway.ended() {
		return broken("the gateway has ended")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	twice, served := 0, 0
	for i := range refusedOrders {
		if statuses[i] == http.StatusOK {
			served++
		}
		if runs := g.runs[fmt.Sprintf("order-%d", i)]; len(runs) > 1 {
			twice++
			t.note("key order-%d RAN TWICE, the second time %v after the first", i, runs[1].Sub(runs[0]).Round(time.Millisecond))
		}
	}
	summary := fmt.Sprintf("%d orders, %d served in the end, %d ran twice", refusedOrders, served, twice)
	t.note("%s", summary)
	switch {
	case twice > 0:
		return broken("%s", summary)
	case served < refusedOrders/2:
		return fmt.Errorf("too few were served: %s", summary)
	}
	return nil
}
