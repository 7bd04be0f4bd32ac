// Command keys has the clients and the backends of the case about keys: six backends of one group that drop repeats of a key for
// five seconds, and tills that send each activation with an idempotency key and repeat it after a refusal.
package main

import (
	"errors"
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
	window       = 5 * time.Second // the backends of the group drop a repeat of a key for so long
	workTime     = 200 * time.Millisecond
	hangTime     = 8 * time.Second // one of six backends answers nothing for so long
	repeatAfter  = 10 * time.Second
	keptDoubt    = time.Minute // keep_doubt of the gateway's file: no repeat of what may have run goes on before that
	warmRequests = 6
	rounds       = 4
	tills        = 8 // that send at the same time
	interval     = 500 * time.Millisecond
)

var (
	gateway  = flag.String("gateway", "", "address of the gateway")
	backends = flag.String("backends", "", "addresses of the backends, separated by commas")
	trouble  = flag.Bool("trouble", true, "whether one backend hangs")
	path     = flag.String("record", "record.txt", "file of the record")
)

// group is the memory of keys that all backends share.
type group struct {
	mu     sync.Mutex
	record *record.Record
	runs   map[string][]time.Time // by key
}

// begin reports whether a request with the key is to be run, and not dropped as a repeat.
func (g *group) begin(backend, key string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	runs := g.runs[key]
	if n := len(runs); n > 0 && time.Since(runs[n-1]) < window {
		g.record.Printf("%s drops a repeat of key %s", backend, key)
		return false
	}
	g.runs[key] = append(runs, time.Now())
	g.record.Printf("%s runs key %s, run %d", backend, key, len(runs)+1)
	return true
}

// twice returns the keys that ran more than once within keptDoubt.
func (g *group) twice() (keys []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, runs := range g.runs {
		if len(runs) > 1 && runs[1].Sub(runs[0]) < keptDoubt {
			keys = append(keys, key)
		}
	}
	return keys
}

// backend is one server of the group.
type backend struct {
	name  string
	group *group
	mu    sync.Mutex
	until time.Time // it answers nothing before this time
}

func (b *backend) hang(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.until = time.Now().Add(d)
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request is not whole
	}
	key := r.Header.Get("Idempotency-Key")
	b.group.begin(b.name, key)
	time.Sleep(workTime)
	b.mu.Lock()
	hanging := time.Until(b.until)
	b.mu.Unlock()
	if hanging > 0 {
		time.Sleep(hanging)
	}
	fmt.Fprintf(w, "activated %s\n", key)
}

// send sends one activation and returns the status of its answer.
func send(client *http.Client, r *record.Record, key string) (status int, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+*gateway+"/activate", strings.NewReader("sim of "+key))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Content-Type", "text/plain")
	r.Printf("client sends key %s", key)
	res, err := client.Do(req)
	if err != nil {
		r.Printf("client has no answer to key %s: %v", key, err)
		return 0, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	r.Printf("client gets %d to key %s, Retry-After %q: %.120q", res.StatusCode, key, res.Header.Get("Retry-After"), body)
	return res.StatusCode, err
}

func run() (code int, err error) {
	r, err := record.Create(*path)
	if err != nil {
		return 2, err
	}
	g := &group{record: r, runs: map[string][]time.Time{}}
	var servers []*backend
	for i, addr := range strings.Split(*backends, ",") {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return 2, err
		}
		b := &backend{name: fmt.Sprint("backend-", i), group: g}
		servers = append(servers, b)
		go func() { _ = http.Serve(listener, b) }() // ends with the process
	}
	client := &http.Client{Timeout: 5 * time.Second}
	if err := warmUp(client, r); err != nil {
		return 2, err
	}
	if *trouble {
		r.Printf("%s hangs for %v", servers[0].name, hangTime)
		servers[0].hang(hangTime)
	}
	var sending sync.WaitGroup
	for i := range rounds * tills {
		sending.Go(func() { till(client, r, fmt.Sprintf("sim-%d", i)) })
		if i%tills == tills-1 {
			time.Sleep(interval)
		}
	}
	sending.Wait()
	keys := g.twice()
	for _, key := range keys {
		r.Printf("BROKEN: key %s ran twice", key)
	}
	r.Printf("%d of %d keys ran twice", len(keys), rounds*tills)
	if len(keys) > 0 {
		return 1, nil
	}
	return 0, nil
}

// warmUp sends requests at the same time, so that each backend gets one, and returns an error if one is not served.
func warmUp(client *http.Client, r *record.Record) error {
	errs := make(chan error)
	for i := range warmRequests {
		go func() {
			status, err := send(client, r, fmt.Sprintf("warm-%d", i))
			if err == nil && status != http.StatusOK {
				err = fmt.Errorf("status %d", status)
			}
			errs <- err
		}()
	}
	var err error
	for range warmRequests {
		err = errors.Join(err, <-errs)
	}
	return err
}

// till sends one activation. If it is refused, the clerk presses the button again after a while, which is later than
// the advice of the refusal. All other answers are final: also a failure, which says that it may have run.
func till(client *http.Client, r *record.Record, key string) {
	status, err := send(client, r, key)
	if err != nil || status != http.StatusServiceUnavailable {
		return
	}
	time.Sleep(repeatAfter)
	_, _ = send(client, r, key)
}

func main() {
	flag.Parse()
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
