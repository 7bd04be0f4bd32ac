// Command trailers has the clients and the backends of the case about trailers: eight backends that speak HTTP/2 and
// end each answer with a checksum as a trailer, of which one fails with status 500, and clients that speak HTTP/2.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pumicecroft/review/standin/record"
)

const (
	trailer  = "X-Checksum"
	rounds   = 10
	clients  = 8 // that send at the same time
	pause    = 300 * time.Millisecond
	workTime = 20 * time.Millisecond
	deadline = 2 * time.Second        // of the class
	slack    = 500 * time.Millisecond // after its time, before a request is lost
)

var (
	gateway  = flag.String("gateway", "", "address of the gateway")
	backends = flag.String("backends", "", "addresses of the backends, separated by commas")
	trouble  = flag.Bool("trouble", true, "whether one backend fails")
	path     = flag.String("record", "record.txt", "file of the record")
)

// serve returns the handler of one backend. Each answer announces its trailer and sends it.
func serve(r *record.Record, name string, failing bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return // the request is not whole
		}
		time.Sleep(workTime)
		w.Header().Set("Trailer", trailer)
		if failing {
			r.Printf("%s answers 500 to %s", name, req.URL.Path)
			w.WriteHeader(http.StatusInternalServerError)
			fmt.Fprintf(w, "failed %s", req.URL.Path)
		} else {
			fmt.Fprintf(w, "done %s", req.URL.Path)
			if err := http.NewResponseController(w).Flush(); err != nil { // so the answer has no length
				return
			}
		}
		w.Header().Set(trailer, "sum of "+req.URL.Path)
	})
}

// protocols returns HTTP/2 with prior knowledge.
func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// post sends one order and returns an error if there is no whole answer in time. Refusals and failures are answers,
// and so is one without the trailer.
func post(client *http.Client, target string) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+slack)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+*gateway+target, strings.NewReader("order"))
	if err != nil {
		return 0, err
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("no answer: %w", err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return res.StatusCode, fmt.Errorf("no end after %d bytes, %q: %w", len(body), body, err)
	}
	if res.StatusCode == http.StatusOK && string(body) != "done "+target {
		return res.StatusCode, fmt.Errorf("wrong answer: %.80q", body)
	}
	return res.StatusCode, nil
}

func run() (code int, err error) {
	r, err := record.Create(*path)
	if err != nil {
		return 2, err
	}
	for i, addr := range strings.Split(*backends, ",") {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return 2, err
		}
		handler := serve(r, fmt.Sprint("backend-", i), *trouble && i == 0)
		server := &http.Server{Handler: handler, Protocols: protocols()}
		go func() { _ = server.Serve(listener) }() // ends with the process
	}
	client := &http.Client{Transport: &http.Transport{Protocols: protocols()}}
	var lost atomic.Int64
	var sending sync.WaitGroup
	for i := range rounds * clients {
		sending.Go(func() {
			target := fmt.Sprintf("/orders/%d", i)
			sent := time.Now()
			status, err := post(client, target)
			took := time.Since(sent).Round(time.Millisecond)
			if err != nil {
				lost.Add(1)
				r.Printf("BROKEN: client has no whole answer to %s after %v: status %d, %v", target, took, status, err)
				return
			}
			r.Printf("client has its answer to %s after %v: status %d", target, took, status)
		})
		if i%clients == clients-1 {
			time.Sleep(pause)
		}
	}
	sending.Wait()
	r.Printf("%d of %d requests have no whole answer", lost.Load(), rounds*clients)
	if lost.Load() > 0 {
		return 1, nil
	}
	return 0, nil
}

func main() {
	flag.Parse()
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
