package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Settings of lateKey.
const (
	lateKeyStreams  = 4                       // requests at once that a server takes on a connection
	lateKeyReports  = 7                       // long reads under way
	lateKeyReport   = 6500 * time.Millisecond // time that one takes
	lateKeyKey      = "order-4711"
	lateKeyPatience = 30 * time.Second
)

var ranKey = regexp.MustCompile(`^ran POST .* key (\S+)$`)

// lateKey checks that a keyed request is sent again only while its group recalls the key: one of two busy
// HTTP/2 servers has run it and dies before it answers.
func lateKey(t *trial, trouble bool) error {
	memory := filepath.Join(t.dir, "keys")
	if err := os.Mkdir(memory, 0o700); err != nil {
		return err
	}
	var servers []*process
	var addrs []string
	for i := range 2 {
		name := fmt.Sprintf("server-%d", i)
		p, addr, err := t.startStandIn(name, "h2server", "-name", name, "-work", "100ms", "-wait", "1s", "-report",
			lateKeyReport.String(), "-streams", fmt.Sprint(lateKeyStreams), "-memory", memory)
		if err != nil {
			return err
		}
		servers, addrs = append(servers, p), append(addrs, `"`+addr+`"`)
	}
	listen, err := freeAddr()
	if err != nil {
		return err
	}
	gateway, err := t.serveFile(listen, fmt.Sprintf(`listen = %q

[[service]]
name = "shop"
backends = [%s]
speaks = "h2"
key_window = "5s"
deadline = "7500ms"
aim = "2500ms"

[[class]]
name = "report"
deadline = "20s"
aim = "10s"

[[route]]
path = "/reports/{rest...}"
class = "report"

[[route]]
path = "/{rest...}"

[[plan]]
name = "everyone"
`, listen, strings.Join(addrs, ", ")))
	if err != nil {
		return err
	}

	transport := &http.Transport{}
	var clients sync.WaitGroup
	for i := range lateKeyReports {
		clients.Go(func() {
			r := exchangeOnce(transport, "GET", fmt.Sprintf("http://%s/reports/%d", listen, i), nil)
			t.note("report %d: sent at %.3f, status %d, err %v", i, t.since(r.sent), r.status, r.err)
		})
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	answered := make(chan bool)
	go func() {
		defer close(answered)
		request, err := http.NewRequest(http.MethodPost, "http://"+listen+"/orders", strings.NewReader("a SIM"))
		if err != nil {
			return
		}
		request.Header.Set("Idempotency-Key", lateKeyKey)
		t.note("client sends the order with key %s", lateKeyKey)
		response, err := transport.RoundTrip(request)
		if err != nil {
			t.note("client got no answer: %v", err)
			return
		}
		response.Body.Close()
		t.note("client got %s", response.Status)
	}()
	ran := func() (at []time.Time, by []*process) {
		for _, p := range servers {
			for _, l := range p.output() {
				if match := ranKey.FindStringSubmatch(l.text); match != nil && match[1] == lateKeyKey {
					at, by = append(at, l.at), append(by, p)
				}
			}
		}
		return at, by
	}
	var first *process
	for end := time.Now().Add(5 * time.Second); first == nil && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if _, by := ran(); len(by) > 0 {
			first = by[0]
		}
	}
	if first == nil {
		return fmt.Errorf("no server has run the order")
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		t.signal(first, syscall.SIGKILL)
	}
	select {
	case <-answered:
	case <-time.After(lateKeyPatience):
	}
	time.Sleep(2 * time.Second)
	if gateway.ended() {
		return broken("the gateway has ended")
	}
	at, _ := ran()
	if len(at) > 1 {
		return broken("the order ran %d times, the second time %v after the first", len(at),
			at[1].Sub(at[0]).Abs().Round(time.Millisecond))
	}
	return nil
}
