package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Settings of frozenService.
const (
	frozenBackends = 6
	frozenDeadline = 4 * time.Second // of a request, as the operator's file has it
	frozenGrace    = time.Second     // after the deadline; the pages allow half a second
	frozenBody     = 1_000_000       // bytes of an upload; the file takes 1 MiB
	frozenUploads  = 30              // clients that upload
	frozenReaders  = 4               // clients that read
	frozenHang     = 23 * time.Second
)

// exchangeResult is how one request of a client ended.
type exchangeResult struct {
	sent, ended time.Time
	what        string
	status      int // 0: no answer
	err         error
}

// frozenService checks that each request gets its answer in its time, while one of six HTTP/2 servers hangs.
func frozenService(t *trial, trouble bool) error {
	var servers []*process
	var addrs []string
	for i := range frozenBackends {
		p, addr, err := t.startStandIn(fmt.Sprintf("server-%d", i), "h2server", "-work", "150ms", "-read-buffer", "65536")
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
deadline = %q
aim = "2s"

[[plan]]
name = "everyone"
`, listen, strings.Join(addrs, ", "), frozenDeadline.String()))
	if err != nil {
		return err
	}

	stop := make(chan struct{})
	var mu sync.Mutex
	var results []exchangeResult
	var clients sync.WaitGroup
	client := func(method, path string, body []byte, pause time.Duration) {
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			r := exchangeOnce(transport, method, fmt.Sprintf("http://%s%s/%d", listen, path, n), body)
			mu.Lock()
			results = append(results, r)
			mu.Unlock()
		}
	}
	for i := range frozenUploads {
		clients.Go(func() {
			client("PUT", fmt.Sprintf("/scans/%d", i), bytes.Repeat([]byte("x"), frozenBody), 50*time.Millisecond)
		})
	}
	for i := range frozenReaders {
		clients.Go(func() { client("GET", fmt.Sprintf("/items/%d", i), nil, 200*time.Millisecond) })
	}
	time.Sleep(5 * time.Second)
	if trouble {
		t.signal(servers[0], syscall.SIGSTOP)
	}
	time.Sleep(frozenHang)
	if trouble {
		t.signal(servers[0], syscall.SIGCONT)
	}
	time.Sleep(5 * time.Second)
	close(stop)
	clients.Wait()
	if gateway.ended() {
		return broken("the gateway has ended")
	}
	return judgeFrozen(t, results)
}

// judgeFrozen checks that each request got an answer within its deadline and the grace.
func judgeFrozen(t *trial, results []exchangeResult) error {
	late, statuses := 0, map[int]int{}
	var longest time.Duration
	for _, r := range results {
		took := r.ended.Sub(r.sent)
		longest = max(longest, took)
		statuses[r.status]++
		mark := ""
		if took > frozenDeadline+frozenGrace || r.status == 0 {
			late++
			mark = " NOT ANSWERED IN ITS TIME"
		}
		t.note("sent at %.3f: %s: status %d after %v, err %v%s", t.since(r.sent), r.what, r.status,
			took.Round(time.Millisecond), r.err, mark)
	}
	summary := fmt.Sprintf("%d requests, statuses %v, longest %v, %d not answered within %v of their deadline of %v",
		len(results), statuses, longest.Round(time.Millisecond), late, frozenGrace, frozenDeadline)
	t.note("%s", summary)
	switch {
	case len(results) < 100:
		return fmt.Errorf("too few requests: %s", summary)
	case late > 0:
		return broken("%s", summary)
	}
	return nil
}

// exchangeOnce sends one request and reads its whole answer.
func exchangeOnce(transport http.RoundTripper, method, url string, body []byte) exchangeResult {
	r := exchangeResult{sent: time.Now(), what: method + " " + url[strings.Index(url[7:], "/")+7:]}
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err == nil {
		var response *http.Response
		if response, err = transport.RoundTrip(request); err == nil {
			if _, err = io.Copy(io.Discard, response.Body); err == nil {
				r.status = response.StatusCode
			}
			response.Body.Close()
		}
	}
	r.ended, r.err = time.Now(), err
	return r
}
