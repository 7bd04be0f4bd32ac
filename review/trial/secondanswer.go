package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Settings of secondAnswer.
const (
	secondNodes   = 6
	secondSockets = 256                  // the gateway's limit; it takes 5/12 of them for backends
	secondClients = 100                  // with one request at a time each
	secondCalls   = 400                  // of each client
	secondLate    = 8 * time.Millisecond // from an answer to its repetition
	secondOneOf   = 20                   // one in so many answers is repeated
)

// secondAnswer checks that each client gets the answer to its own request, while one in twenty answers of the
// backends comes a second time some milliseconds later.
func secondAnswer(t *trial, trouble bool) error {
	var hosts []host
	for i := range secondNodes {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer ln.Close()
		go serveTwice(ln, trouble)
		hosts = append(hosts, host{Host: fmt.Sprint("s-", i), Dial: ln.Addr().String(), Site: "floor-2", Class: "standard",
			Block: 1 + i/3, Health: "Ready", Share: 1})
	}
	d, err := t.startDiscovery(hosts...)
	if err != nil {
		return err
	}
	listen, err := freeAddr()
	if err != nil {
		return err
	}
	gateway, err := t.servePlatform(d, listen, secondSockets)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	statuses, foreign := map[int]int{}, 0
	var clients sync.WaitGroup
	for i := range secondClients {
		clients.Go(func() {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			for n := range secondCalls {
				id := fmt.Sprintf("%08x%08x", i+1, n)
				status, body, err := check(transport, listen, id)
				mu.Lock()
				statuses[status]++
				if status == http.StatusOK && body != "answer to "+id {
					foreign++
					t.note("client sent %s and got status 200 and %q: FOREIGN", id, body)
				} else if n%50 == 0 || err != nil {
					t.note("client sent %s and got status %d and %q, err %v", id, status, body, err)
				}
				mu.Unlock()
				time.Sleep(time.Duration(rand.IntN(10)) * time.Millisecond)
			}
		})
	}
	clients.Wait()
	summary := fmt.Sprintf("statuses %v, %d clients got the answer to another's request", statuses, foreign)
	t.note("%s", summary)
	switch {
	case gateway.ended():
		return broken("the gateway has ended")
	case foreign > 0:
		return broken("%s", summary)
	case statuses[http.StatusOK] < secondClients*secondCalls/2:
		return fmt.Errorf("too few were served: %s", summary)
	}
	return nil
}

// serveTwice is a backend that names in each answer the request that it is for. In trouble it writes some
// answers again a little later.
func serveTwice(ln net.Listener, trouble bool) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			in := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				time.Sleep(time.Duration(2+rand.IntN(10)) * time.Millisecond)
				body := "answer to " + r.Header.Get("Request-Id")
				answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				if _, err := c.Write(answer); err != nil {
					return
				}
				if trouble && rand.IntN(secondOneOf) == 0 {
					time.AfterFunc(secondLate, func() { _, _ = c.Write(answer) }) // the gateway may have closed by then
				}
			}
		}()
	}
}

// check sends a request that is safe to repeat, in the platform's dialect.
func check(transport http.RoundTripper, listen, id string) (status int, body string, err error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+listen+"/id-check", nil)
	if err != nil {
		return 0, "", err
	}
	r.Host = "origin.svc"
	for name, value := range map[string]string{"Request-Id": id, "Request-Class": "id-check", "X-Tier": "shop",
		"X-Api-Key": "00000000b4d65521", "Request-Timeout": "2.000", "X-Call-Terms": "units=1,spread=1,first=0"} {
		r.Header.Set(name, value)
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}
