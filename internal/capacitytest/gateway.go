package capacitytest

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"pumicecroft"
	"pumicecroft/internal/daemon"
	"pumicecroft/internal/platform"
	"pumicecroft/membership"
)

// Plan configures a gateway's process. It is passed to the process as JSON.
type Plan struct {
	Config    string  // the platform's node configuration
	Backend   string  // address to which all connections to backends go
	PerSecond float64 // requests a second
	Customers int     // which send the requests in turn
	Most      int     // largest number of backends of the membership table; 0 means the program's default
}

// Report is what a gateway's process reports about the time since the report before. It is passed as JSON.
type Report struct {
	CPU      time.Duration // total
	Resident int64         // bytes
	Peak     int64         // largest Resident
	Nodes    int64         // total endpoints in the updates that the gateway has processed
	At       time.Time     // when the last of them was processed
	Files    int           // open descriptors
	Dialled  int64         // total connections to backends
	Asked    int           // completed requests
	Served   int
	P50, P99 time.Duration // of served requests, from when they were due
	Worst    time.Duration
	Ready    int            // backends that are ready to the gateway, if the query asked for it
	First    time.Time      // when the first request was served
	Errors   map[string]int // requests that were not served, by error
}

// processEnv is the environment variable that makes a test's program a gateway's process.
const processEnv = "PUMICECROFT_SCALE_DOOR"

// Main is the TestMain of a program that calls StartGateway. It doesn't return.
func Main(run func() int) {
	if os.Getenv(processEnv) != "" {
		if err := runGateway(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(run())
}

// instrumentedGateway is the gateway of a process with its measurements.
type instrumentedGateway struct {
	*pumicecroft.Gateway
	mu        sync.Mutex
	updated   chan struct{} // closed and replaced at each endpoint update
	report    Report
	latencies []time.Duration
}

// countingSource is discovery that counts the endpoints that the gateway has processed.
type countingSource struct {
	*platform.Discovery
	gateway *instrumentedGateway
}

// Run implements the source of endpoint updates.
func (s countingSource) Run(ctx context.Context, update func(membership.Update)) {
	s.Discovery.Run(ctx, func(l membership.Update) {
		update(l)
		s.gateway.mu.Lock()
		defer s.gateway.mu.Unlock()
		s.gateway.report.Nodes += int64(len(l.Nodes))
		s.gateway.report.At = time.Now()
		close(s.gateway.updated)
		s.gateway.updated = make(chan struct{})
	})
}

// runGateway is the main function of a gateway's process: a gateway as the daemon creates it, with requests in open
// loop. It answers each query that it reads with a report.
func runGateway(in io.Reader, out io.Writer) error {
	lines, write := bufio.NewScanner(in), json.NewEncoder(out)
	lines.Buffer(nil, 64<<20)
	if !lines.Scan() {
		return errors.New("capacitytest: no plan was received")
	}
	var p Plan
	if err := json.Unmarshal(lines.Bytes(), &p); err != nil {
		return err
	}
	config, err := platform.ParseConfig([]byte(p.Config))
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(config.Limits.Cores))))
	debug.SetMemoryLimit(config.Limits.MemoryMB << 20 / 4 * 3) // as the daemon does
	d := &instrumentedGateway{updated: make(chan struct{})}
	d.report.Errors = map[string]int{}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)) // logging is part of the cost
	slog.SetDefault(log)
	set := daemon.GatewayConfig(config)
	if p.Most > 0 {
		set.Membership.MaxNodes = p.Most
	}
	discovery := &platform.Discovery{
		Addr: config.Discovery, FromVersion: config.Known.Seq, PollWithin: config.Conns.SubscribeWithin,
		Seed: config.Seed, DrainGrace: config.Settings.DrainGrace, MaxEntries: config.Limits.MaxBackends(),
	}
	d.Gateway, err = pumicecroft.New(set, pumicecroft.WithLogger(log),
		pumicecroft.WithDialer(func(ctx context.Context, network, _ string) (net.Conn, error) {
			d.mu.Lock()
			d.report.Dialled++
			d.mu.Unlock()
			return new(net.Dialer).DialContext(ctx, network, p.Backend)
		}),
		pumicecroft.WithSource(countingSource{discovery, d}))
	if err != nil {
		return err
	}
	config = platform.Config{}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if p.PerSecond > 0 {
		go d.sendRequests(ctx, p)
	}
	if err := write.Encode(Report{At: time.Now()}); err != nil {
		return err
	}
	for lines.Scan() {
		var q query
		if err := json.Unmarshal(lines.Bytes(), &q); err != nil {
			return err
		}
		if q.Nodes > 0 {
			d.awaitNodes(q.Nodes, q.Within)
		}
		if err := write.Encode(d.buildReport(q)); err != nil {
			return err
		}
	}
	return nil
}

// query asks a gateway's process for a report. It is passed as JSON.
type query struct {
	Nodes  int64         // wait until so many endpoints were processed in total ...
	Within time.Duration // ... or until this time is over
	All    bool          // with the expensive fields; the requests are counted from 0 then
	Ready  bool          // with Report.Ready, which is very expensive
}

// awaitNodes waits until so many endpoints were processed in total, or the time is over.
func (d *instrumentedGateway) awaitNodes(nodes int64, within time.Duration) {
	end := time.NewTimer(within)
	defer end.Stop()
	for {
		d.mu.Lock()
		enough, news := d.report.Nodes >= nodes, d.updated
		d.mu.Unlock()
		if enough {
			return
		}
		select {
		case <-news:
		case <-end.C:
			return
		}
	}
}

// sendRequests sends requests to the gateway in open loop.
func (d *instrumentedGateway) sendRequests(ctx context.Context, p Plan) {
	gap := time.Duration(float64(time.Second) / p.PerSecond)
	due := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Until(due))
		at, customer := due, uint64(1+i%max(1, p.Customers))
		go func() {
			_, err := d.Do(ctx, pumicecroft.Request{Class: "look", Plan: "big", Customer: customer, GatewaySpread: 1})
			now := time.Now()
			d.mu.Lock()
			defer d.mu.Unlock()
			d.report.Asked++
			if err != nil {
				d.report.Errors[err.Error()]++
			} else {
				if d.report.Served++; d.report.First.IsZero() {
					d.report.First = now
				}
				d.latencies = append(d.latencies, now.Sub(at))
			}
		}()
		due = due.Add(gap)
	}
}

// buildReport answers a query.
func (d *instrumentedGateway) buildReport(q query) Report {
	cpu := CPU()
	ready := 0
	if q.Ready {
		for _, m := range d.Backends() {
			if m.State == "ready" || m.State == "cold" {
				ready++
			}
		}
	}
	d.mu.Lock()
	out, took := d.report, d.latencies
	if q.All {
		d.report.Asked, d.report.Served, d.report.Errors, d.latencies = 0, 0, map[string]int{}, nil
	}
	d.mu.Unlock()
	if out.CPU, out.Ready = cpu, ready; !q.All {
		out.Errors = nil // it is still being changed
		return out
	}
	out.Resident, out.Peak = procStatus("VmRSS:"), procStatus("VmHWM:")
	if files, err := os.ReadDir("/proc/self/fd"); err == nil {
		out.Files = len(files)
	}
	if n := len(took); n > 0 {
		slices.Sort(took)
		out.P50, out.P99, out.Worst = took[n/2], took[n*99/100], took[n-1]
	}
	return out
}

// CPU returns the processor time that this process has used.
func CPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// procStatus returns a value of /proc/self/status that is in kB, as bytes; 0 if it is missing.
func procStatus(name string) (bytes int64) {
	text, _ := os.ReadFile("/proc/self/status")
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			_, _ = fmt.Sscan(rest, &bytes)
		}
	}
	return bytes << 10
}

// GatewayProcess is a process with one gateway.
type GatewayProcess struct {
	cmd         *exec.Cmd
	in          io.WriteCloser
	lines       *bufio.Scanner
	StartedAt   time.Time // when it got its plan
	FirstReport Report    // its first report
	Log         *logTail  // the end of its log
}

// StartGateway starts a gateway's process from this test's program, and waits for its first report.
func StartGateway(p Plan) (*GatewayProcess, error) {
	d := &GatewayProcess{cmd: exec.Command(os.Args[0]), Log: &logTail{}}
	d.cmd.Env = append(os.Environ(), processEnv+"=1")
	d.cmd.Stderr = d.Log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var err error
	if d.in, err = d.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := d.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	d.lines = bufio.NewScanner(out)
	if err := d.cmd.Start(); err != nil {
		return nil, err
	}
	d.StartedAt = time.Now()
	if err := json.NewEncoder(d.in).Encode(p); err != nil {
		return nil, errors.Join(err, d.Stop())
	}
	if d.FirstReport, err = d.read(); err != nil {
		return nil, errors.Join(err, d.Stop())
	}
	return d, nil
}

// read reads a report.
func (d *GatewayProcess) read() (t Report, err error) {
	if !d.lines.Scan() {
		return t, fmt.Errorf("capacitytest: the gateway's process has ended: %s", d.Log)
	}
	return t, json.Unmarshal(d.lines.Bytes(), &t)
}

// query sends a query and reads its report.
func (d *GatewayProcess) query(q query) (Report, error) {
	if err := json.NewEncoder(d.in).Encode(q); err != nil {
		return Report{}, err
	}
	return d.read()
}

// Await waits until the gateway has processed so many endpoints in total, or the time is over.
func (d *GatewayProcess) Await(nodes int64, within time.Duration) (Report, error) {
	return d.query(query{Nodes: nodes, Within: within})
}

// Quick returns a report without the expensive fields.
func (d *GatewayProcess) Quick() (Report, error) { return d.query(query{}) }

// Full returns a complete report, except Ready, on the requests since the last call of Full.
func (d *GatewayProcess) Full() (Report, error) { return d.query(query{All: true}) }

// ReadyBackends returns the number of backends that are ready to the gateway.
func (d *GatewayProcess) ReadyBackends() (int, error) {
	t, err := d.query(query{Ready: true})
	return t.Ready, err
}

// Stop closes the process's input, which ends it, and waits for that.
func (d *GatewayProcess) Stop() error {
	_ = d.in.Close()
	return d.cmd.Wait()
}

// tailBytes is the length of the output that a logTail keeps.
const tailBytes = 512

// logTail keeps the last bytes that were written to it, and counts the lines.
type logTail struct {
	mu    sync.Mutex
	last  []byte
	lines int
}

func (t *logTail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range p {
		if b == '\n' {
			t.lines++
		}
	}
	t.last = append(t.last, p...)
	if over := len(t.last) - tailBytes; over > 0 {
		t.last = append(t.last[:0], t.last[over:]...)
	}
	return len(p), nil
}

// Lines returns the number of lines.
func (t *logTail) Lines() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lines
}

func (t *logTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.last)
}
