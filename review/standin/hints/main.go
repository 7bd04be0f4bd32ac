// Command hints has the clients and the backends of the case about early hints: two backends that speak HTTP/2 and
// send informational answers before the final one, clients that read their answers, and others that leave before.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
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
	hints    = 8 // informational answers before the final one, as many as the gateway's page allows
	gap      = 200 * time.Microsecond
	staying  = 4 // clients that wait for their answers
	leaving  = 4 // clients that leave
	pause    = 50 * time.Millisecond
	patience = 5 * time.Second
)

var (
	gateway  = flag.String("gateway", "", "address of the gateway")
	backends = flag.String("backends", "", "addresses of the backends, separated by commas")
	trouble  = flag.Bool("trouble", true, "whether clients leave")
	length   = flag.Duration("length", 60*time.Second, "how long the clients send")
	path     = flag.String("record", "record.txt", "file of the record")
)

// serve is the handler of the backends.
func serve(w http.ResponseWriter, r *http.Request) {
	for i := range hints {
		w.Header().Set("Link", fmt.Sprintf("</part-%d.css>; rel=preload", i))
		w.WriteHeader(http.StatusEarlyHints)
		time.Sleep(gap)
	}
	w.Header().Del("Link")
	fmt.Fprintf(w, "page %s", r.URL.Path)
}

// protocols returns HTTP/2 with prior knowledge.
func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// get asks for a page and returns the status and the body of its answer.
func get(ctx context.Context, client *http.Client, page string) (status int, body string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+*gateway+page, nil)
	if err != nil {
		return 0, "", err
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, string(text), err
}

// test is one run of the case.
type test struct {
	record *record.Record
	served atomic.Int64 // pages that were served
	left   atomic.Int64 // requests whose clients left
	failed atomic.Bool  // a client that stayed has no answer, or a wrong one
}

// stay asks for pages one after another until ctx ends, and waits for each answer. Refusals and failures are answers.
func (t *test) stay(ctx context.Context, number int) {
	client := &http.Client{Transport: &http.Transport{Protocols: protocols()}, Timeout: patience}
	for i := 0; ctx.Err() == nil && !t.failed.Load(); i++ {
		page := fmt.Sprintf("/stay-%d-%d", number, i)
		status, body, err := get(context.Background(), client, page)
		switch {
		case err != nil:
			t.record.Printf("BROKEN: client has no answer to %s: %v", page, err)
			t.failed.Store(true)
		case status == http.StatusOK && body != "page "+page:
			t.record.Printf("BROKEN: client has a wrong answer to %s: %.80q", page, body)
			t.failed.Store(true)
		case status == http.StatusOK:
			t.served.Add(1)
		default:
			t.record.Printf("client gets %d to %s", status, page)
		}
		time.Sleep(pause)
	}
}

// leave asks for pages until ctx ends and leaves each time before the final answer, by ending its stream.
func (t *test) leave(ctx context.Context, number int) {
	client := &http.Client{Transport: &http.Transport{Protocols: protocols()}, Timeout: patience}
	for i := 0; ctx.Err() == nil && !t.failed.Load(); i++ {
		asking, end := context.WithTimeout(ctx, time.Duration(rand.Int64N(int64(hints*gap))))
		_, _, err := get(asking, client, fmt.Sprintf("/leave-%d-%d", number, i))
		end()
		if errors.Is(err, context.DeadlineExceeded) {
			t.left.Add(1)
		}
		time.Sleep(pause)
	}
}

func run() (code int, err error) {
	r, err := record.Create(*path)
	if err != nil {
		return 2, err
	}
	for _, addr := range strings.Split(*backends, ",") {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return 2, err
		}
		server := &http.Server{Handler: http.HandlerFunc(serve), Protocols: protocols()}
		go func() { _ = server.Serve(listener) }() // ends with the process
	}
	warm := &http.Client{Transport: &http.Transport{Protocols: protocols()}, Timeout: patience}
	if status, _, err := get(context.Background(), warm, "/warm-up"); err != nil || status != http.StatusOK {
		return 2, fmt.Errorf("the deployment does not serve: status %d, %w", status, err)
	}
	t := &test{record: r}
	ctx, cancel := context.WithTimeout(context.Background(), *length)
	defer cancel()
	var clients sync.WaitGroup
	for i := range staying {
		clients.Go(func() { t.stay(ctx, i) })
	}
	if *trouble {
		for i := range leaving {
			clients.Go(func() { t.leave(ctx, i) })
		}
	}
	go func() {
		for range time.Tick(time.Second) {
			r.Printf("%d pages served, %d clients left", t.served.Load(), t.left.Load())
		}
	}()
	clients.Wait()
	r.Printf("%d pages served, %d clients left", t.served.Load(), t.left.Load())
	if t.failed.Load() {
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
