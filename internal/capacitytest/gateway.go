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

// Plan configures a gateway process, which receives it as JSON.
type Plan struct {
	Config    string  // the platform's node configuration
	Backend   string  // address that all connections to backends are opened to
	PerSecond float64 // requests per second; 0 means that none are sent
	Customers int     // number of customers, which send the requests in turn
	Most      int     // largest number of nodes in the membership table; 0 means the default of package membership
}

// Report is a report of a gateway process, which sends it as JSON. Totals count from the start of the process;
// requests, errors and latencies count from the last full report.
type Report struct {
	CPU      time.Duration  // total CPU time
	Resident int64          // resident memory in bytes
	Peak     int64          // largest Resident so far
	Nodes    int64          // total endpoints in the updates that the gateway has processed
	At       time.Time      // when the last of these updates was processed
	Files    int            // open file descriptors
	Dialled  int64          // total connections opened to backends
	Asked    int            // completed requests
	Served   int            // successful requests
	P50, P99 time.Duration  // latencies of the served requests, from when they were due
	Worst    time.Duration  // largest latency of a served request
	Ready    int            // backends that are ready to the gateway, if the query asked for it
	First    time.Time      // when the first request was served
	Errors   map[string]int // failed requests by error message
}

// processEnv is the environment variable that makes a test's executable run as a gateway process.
const processEnv = "PUMICECROFT_SCALE_DOOR"

// Main is the body of TestMain in a package whose tests call StartGateway. It runs a gateway process if it was started
// as one, and the tests otherwise. It doesn't return.
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

// instrumentedGateway is a gateway with the measurements of its process.
type instrumentedGateway struct {
	*pumicecroft.Gateway
	mu        sync.Mutex
	updated   chan struct{} // closed and replaced at each endpoint update
	report    Report
	latencies []time.Duration // of served requests, since the last full report
}

// countingSource is a discovery source that counts the endpoints that the gateway has processed.
type countingSource struct {
	*platform.Discovery
	gateway *instrumentedGateway
}

// Run implements pumicecroft.Source.
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

// runGateway is the main function of a gateway process. It reads a Plan from in, creates a gateway as the daemon does,
// sends requests to it in open loop, and then answers each query from in with a Report on out.
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
	g := &instrumentedGateway{updated: make(chan struct{})}
	g.report.Errors = map[string]int{}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)) // logging is part of the measured costs
	slog.SetDefault(log)
	set := daemon.GatewayConfig(config)
	if p.Most > 0 {
		set.Membership.MaxNodes = p.Most
	}
	discovery := &platform.Discovery{
		Addr: config.Discovery, FromVersion: config.InitialEndpoints.Seq, PollWithin: config.Conns.SubscribeWithin,
		Seed: config.Seed, DrainGrace: config.Settings.DrainGrace, MaxEntries: config.Limits.MaxBackends(),
	}
	g.Gateway, err = pumicecroft.New(set, pumicecroft.WithLogger(log),
		pumicecroft.WithDialer(func(ctx context.Context, network, _ string) (net.Conn, error) {
			g.mu.Lock()
			g.report.Dialled++
			g.mu.Unlock()
			return new(net.Dialer).DialContext(ctx, network, p.Backend)
		}),
		pumicecroft.WithSource(countingSource{discovery, g}))
	if err != nil {
		return err
	}
	config = platform.Config{}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if p.PerSecond > 0 {
		go g.sendRequests(ctx, p)
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
			g.awaitNodes(q.Nodes, q.Within)
		}
		if err := write.Encode(g.buildReport(q)); err != nil {
			return err
		}
	}
	return nil
}

// query requests a report from a gateway process, which receives it as JSON.
type query struct {
	Nodes  int64         // report when this total number of endpoints was processed; 0 means at once
	Within time.Duration // longest time to wait for Nodes
	All    bool          // include the expensive fields, and restart the counts of requests
	Ready  bool          // include Report.Ready, which is very expensive
}

// awaitNodes waits until a total number of endpoints was processed, at most for within.
func (g *instrumentedGateway) awaitNodes(nodes int64, within time.Duration) {
	end := time.NewTimer(within)
	defer end.Stop()
	for {
		g.mu.Lock()
		reached, updated := g.report.Nodes >= nodes, g.updated
		g.mu.Unlock()
		if reached {
			return
		}
		select {
		case <-updated:
		case <-end.C:
			return
		}
	}
}

// sendRequests sends requests to the gateway in open loop.
func (g *instrumentedGateway) sendRequests(ctx context.Context, p Plan) {
	gap := time.Duration(float64(time.Second) / p.PerSecond)
	due := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Until(due))
		at, customer := due, uint64(1+i%max(1, p.Customers))
		go func() {
			_, err := g.Do(ctx, pumicecroft.Request{Class: "look", Plan: "big", Customer: customer, GatewaySpread: 1})
			now := time.Now()
			g.mu.Lock()
			defer g.mu.Unlock()
			g.report.Asked++
			if err != nil {
				g.report.Errors[err.Error()]++
			} else {
				if g.report.Served++; g.report.First.IsZero() {
					g.report.First = now
				}
				g.latencies = append(g.latencies, now.Sub(at))
			}
		}()
		due = due.Add(gap)
	}
}

// buildReport answers a query.
func (g *instrumentedGateway) buildReport(q query) Report {
	cpu := CPUTime()
	ready := 0
	if q.Ready {
		for _, m := range g.Backends() {
			if m.State == "ready" || m.State == "cold" {
				ready++
			}
		}
	}
	g.mu.Lock()
	out, latencies := g.report, g.latencies
	if q.All {
		g.report.Asked, g.report.Served, g.report.Errors, g.latencies = 0, 0, map[string]int{}, nil
	}
	g.mu.Unlock()
	if out.CPU, out.Ready = cpu, ready; !q.All {
		out.Errors = nil // requests are still being counted in this map
		return out
	}
	out.Resident, out.Peak = procStatus("VmRSS:"), procStatus("VmHWM:")
	if files, err := os.ReadDir("/proc/self/fd"); err == nil {
		out.Files = len(files)
	}
	if n := len(latencies); n > 0 {
		slices.Sort(latencies)
		out.P50, out.P99, out.Worst = latencies[n/2], latencies[n*99/100], latencies[n-1]
	}
	return out
}

// CPUTime returns the CPU time that this process has used.
func CPUTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// procStatus returns a field of /proc/self/status, which has it in kB, in bytes; 0 if it is missing.
func procStatus(name string) (bytes int64) {
	text, _ := os.ReadFile("/proc/self/status")
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			_, _ = fmt.Sscan(rest, &bytes)
		}
	}
	return bytes << 10
}

// GatewayProcess is a child process with one gateway.
type GatewayProcess struct {
	cmd         *exec.Cmd
	stdin       io.WriteCloser
	reports     *bufio.Scanner
	StartedAt   time.Time // when the process was started, just before its plan is sent
	FirstReport Report    // sent when the gateway has been created
	Log         *logTail  // the end of its log
}

// StartGateway starts a gateway process from this test's executable, and waits for its first report.
func StartGateway(p Plan) (*GatewayProcess, error) {
	g := &GatewayProcess{cmd: exec.Command(os.Args[0]), Log: &logTail{}}
	g.cmd.Env = append(os.Environ(), processEnv+"=1")
	g.cmd.Stderr = g.Log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var err error
	if g.stdin, err = g.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := g.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	g.reports = bufio.NewScanner(out)
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	g.StartedAt = time.Now()
	if err := json.NewEncoder(g.stdin).Encode(p); err != nil {
		return nil, errors.Join(err, g.Stop())
	}
	if g.FirstReport, err = g.readReport(); err != nil {
		return nil, errors.Join(err, g.Stop())
	}
	return g, nil
}

// readReport reads the next report.
func (g *GatewayProcess) readReport() (report Report, err error) {
	if !g.reports.Scan() {
		return report, fmt.Errorf("capacitytest: gateway process ended; its log: %s", g.Log)
	}
	return report, json.Unmarshal(g.reports.Bytes(), &report)
}

// query sends a query and reads its report.
func (g *GatewayProcess) query(q query) (Report, error) {
	if err := json.NewEncoder(g.stdin).Encode(q); err != nil {
		return Report{}, err
	}
	return g.readReport()
}

// AwaitNodes waits until the gateway has processed a total number of endpoints, at most for within, and returns a
// report without the expensive fields.
func (g *GatewayProcess) AwaitNodes(nodes int64, within time.Duration) (Report, error) {
	return g.query(query{Nodes: nodes, Within: within})
}

// QuickReport returns a report without the expensive fields.
func (g *GatewayProcess) QuickReport() (Report, error) { return g.query(query{}) }

// FullReport returns a report with all fields but Ready, on the requests since the last call of FullReport.
func (g *GatewayProcess) FullReport() (Report, error) { return g.query(query{All: true}) }

// ReadyBackends returns the number of backends that are ready to the gateway.
func (g *GatewayProcess) ReadyBackends() (int, error) {
	report, err := g.query(query{Ready: true})
	return report.Ready, err
}

// Stop closes the process's standard input, which ends the process, and waits for its end.
func (g *GatewayProcess) Stop() error {
	_ = g.stdin.Close()
	return g.cmd.Wait()
}

// tailBytes is the number of bytes that a logTail keeps.
const tailBytes = 512

// logTail keeps the last bytes that were written to it, and counts all lines.
type logTail struct {
	mu    sync.Mutex
	tail  []byte
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
	t.tail = append(t.tail, p...)
	if over := len(t.tail) - tailBytes; over > 0 {
		t.tail = append(t.tail[:0], t.tail[over:]...)
	}
	return len(p), nil
}

// Lines returns the number of lines that were written.
func (t *logTail) Lines() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lines
}

func (t *logTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.tail)
}
