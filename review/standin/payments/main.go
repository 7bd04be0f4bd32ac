// Command payments has the clients and the backends of the case about a route's effect: two backends of which each
// runs what it is sent, and a till that sends each payment once.
package main

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"pumicecroft/review/standin/record"
)

const (
	payments   = 40
	resetEvery = 10 // of so many payments, the connection of one is reset after it has run
	interval   = 50 * time.Millisecond
	workTime   = 20 * time.Millisecond
	patience   = 5 * time.Second
)

var (
	gateway  = flag.String("gateway", "", "address of the gateway")
	backends = flag.String("backends", "", "addresses of the backends, separated by commas")
	trouble  = flag.Bool("trouble", true, "whether connections are reset")
	path     = flag.String("record", "record.txt", "file of the record")
)

// ledger counts the runs of each payment at all backends.
type ledger struct {
	mu     sync.Mutex
	record *record.Record
	runs   map[string]int
	reset  map[string]bool // payments whose connection is reset at their first run
}

// run records one run of a payment and returns whether its connection is to be reset.
func (l *ledger) run(backend, payment string) (reset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[payment]++
	l.record.Printf("%s runs payment %s, run %d", backend, payment, l.runs[payment])
	reset = l.reset[payment]
	delete(l.reset, payment)
	return reset
}

// handler returns the handler of one backend.
func (l *ledger) handler(backend string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // the request is not whole
		}
		if r.URL.Path != "/pay" {
			fmt.Fprintf(w, "%s of %s", r.URL.Path, backend)
			return
		}
		payment := r.Header.Get("Payment")
		reset := l.run(backend, payment)
		time.Sleep(workTime)
		if reset {
			l.record.Printf("the connection of payment %s is reset before the answer", payment)
			resetConnection(w)
			return
		}
		fmt.Fprintf(w, "paid %s", payment)
	})
}

// resetConnection ends the connection of a request with a reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if c, ok := conn.(*net.TCPConn); ok {
		c.SetLinger(0)
	}
	conn.Close()
}

// send sends one request and returns the status and the body of its answer.
func send(client *http.Client, method, target, payment string) (status int, body string, err error) {
	req, err := http.NewRequest(method, "http://"+*gateway+target, strings.NewReader(payment))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Payment", payment)
	res, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, string(text), err
}

func run() (code int, err error) {
	r, err := record.Create(*path)
	if err != nil {
		return 2, err
	}
	l := &ledger{record: r, runs: map[string]int{}, reset: map[string]bool{}}
	for i, addr := range strings.Split(*backends, ",") {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return 2, err
		}
		go func() { _ = http.Serve(listener, l.handler(fmt.Sprint("backend-", i))) }() // ends with the process
	}
	client := &http.Client{Timeout: patience}
	if status, _, err := send(client, http.MethodGet, "/items/1", ""); err != nil || status != http.StatusOK {
		return 2, fmt.Errorf("the deployment does not serve: status %d, %w", status, err)
	}
	for i := range payments {
		payment := fmt.Sprint("p", i)
		if *trouble && i%resetEvery == resetEvery-1 {
			l.mu.Lock()
			l.reset[payment] = true
			l.mu.Unlock()
		}
		r.Printf("client sends payment %s", payment)
		status, body, err := send(client, http.MethodPost, "/pay", payment)
		r.Printf("client gets %d to payment %s: %.80q %v", status, payment, body, err)
		time.Sleep(interval)
	}
	twice := 0
	l.mu.Lock()
	defer l.mu.Unlock()
	for payment, runs := range l.runs {
		if runs > 1 {
			twice++
			r.Printf("BROKEN: payment %s, which the client sent once, ran %d times", payment, runs)
		}
	}
	r.Printf("%d of %d payments ran more than once", twice, payments)
	if twice > 0 {
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
