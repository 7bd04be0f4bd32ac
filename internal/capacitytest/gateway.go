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

// Plan is what a door's process is to do.
type Plan struct {
	Config    string  // the platform's file
	Backend   string  // where all addresses of backends lead
	PerSecond float64 // requests
	Customers int     // that these come from in turn
	Most      int     // backends that the table of members keeps; 0: as the program has it
}

// Told is what a door's process tells of the time since it was asked before.
type Report struct {
	CPU      time.Duration // in all
	Resident int64         // bytes, now
	Peak     int64         // the most that was resident
	Nodes    int64         // that discovery has told of, in all, as the Door was done with them
	At       time.Time     // when it was done with the last of them
	Files    int           // descriptors
	Dialled  int64         // connections to backends, in all
	Asked    int           // requests that ended
	Served   int
	P50, P99 time.Duration // of requests, from when they were due
	Worst    time.Duration
	Ready    int // backends that the Door believes ready, if that was asked
	First    time.Time
	Errors   map[string]int // of the requests that were not served
}

// ownProcess is the variable that has a test's program be a door's process.
const processEnv = "PUMICECROFT_SCALE_DOOR"

// Main is the main of a test's program that StartDoor is used in. It never returns where it is a door's process.
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

// door is the Door of a process, and what is noted of it.
type instrumentedGateway struct {
	*pumicecroft.Gateway
	mu        sync.Mutex
	updated   chan struct{} // closed when discovery has told of more
	report    Report
	latencies []time.Duration
}

// source passes on what discovery tells, and notes it.
type countingSource struct {
	*platform.Discovery
	gateway *instrumentedGateway
}

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

// serve is a door's process: a Door as the daemon makes it, asked in open loop, that tells of itself at each line that it reads.
func runGateway(in io.Reader, out io.Writer) error {
	lines, write := bufio.NewScanner(in), json.NewEncoder(out)
	lines.Buffer(nil, 64<<20)
	if !lines.Scan() {
		return errors.New("scale: no plan came")
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
	debug.SetMemoryLimit(config.Limits.MemoryMB << 20 / 4 * 3) // as the daemon does it
	d := &instrumentedGateway{updated: make(chan struct{})}
	d.report.Errors = map[string]int{}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)) // the log is part of the price
	slog.SetDefault(log)
	set := daemon.GatewayConfig(config)
	if p.Most > 0 {
		set.Membership.MaxNodes = p.Most
	}
	d.Gateway, err = pumicecroft.New(set, pumicecroft.WithLogger(log),
		pumicecroft.WithDialer(func(ctx context.Context, network, _ string) (net.Conn, error) {
			d.mu.Lock()
			d.report.Dialled++
			d.mu.Unlock()
			return new(net.Dialer).DialContext(ctx, network, p.Backend)
		}),
		pumicecroft.WithSource(countingSource{&platform.Discovery{Addr: config.Discovery, FromVersion: config.Known.Seq, PollWithin: config.Conns.SubscribeWithin,
			Seed: config.Seed, DrainGrace: config.Settings.DrainGrace, MaxEntries: config.Limits.MaxBackends()}, d}))
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

// question is what a door's process is asked.
type query struct {
	Nodes  int64         // answered when discovery has told of so many
	Within time.Duration // ... or this time is over
	All    bool          // with what costs something to tell; requests are counted from then on anew
	Ready  bool          // with how many backends are believed ready, which costs much
}

// await waits until discovery has told of so many nodes.
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

// ask asks the Door in open loop.
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

// tell is what there is to tell.
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
		out.Errors = nil // it is still added to
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

// CPU is the processor time that this process has had.
func CPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// status is one of this process's figures that are given in kB.
func procStatus(name string) (bytes int64) {
	text, _ := os.ReadFile("/proc/self/status")
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			_, _ = fmt.Sscan(rest, &bytes)
		}
	}
	return bytes << 10
}

// DoorProcess is a process that holds one Door.
type GatewayProcess struct {
	cmd         *exec.Cmd
	in          io.WriteCloser
	lines       *bufio.Scanner
	StartedAt   time.Time // when it had its plan
	FirstReport Report    // the first that it told
	Log         *logTail  // the last that it said in its log
}

// StartDoor starts one, of this test's program.
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

func (d *GatewayProcess) read() (t Report, err error) {
	if !d.lines.Scan() {
		return t, fmt.Errorf("scale: the door's process has ended: %s", d.Log)
	}
	return t, json.Unmarshal(d.lines.Bytes(), &t)
}

func (d *GatewayProcess) query(q query) (Report, error) {
	if err := json.NewEncoder(d.in).Encode(q); err != nil {
		return Report{}, err
	}
	return d.read()
}

// Await waits until discovery has told of so many nodes in all, or a time is over.
func (d *GatewayProcess) Await(nodes int64, within time.Duration) (Report, error) {
	return d.query(query{Nodes: nodes, Within: within})
}

// Look asks for what costs nothing to tell.
func (d *GatewayProcess) Quick() (Report, error) { return d.query(query{}) }

// All asks for all there is to tell, of requests since it was asked before.
func (d *GatewayProcess) Full() (Report, error) { return d.query(query{All: true}) }

// Ready asks how many backends the Door believes ready.
func (d *GatewayProcess) ReadyBackends() (int, error) {
	t, err := d.query(query{Ready: true})
	return t.Ready, err
}

// Stop ends it.
func (d *GatewayProcess) Stop() error {
	_ = d.in.Close()
	return d.cmd.Wait()
}

// tail keeps the last bytes of what is written to it, and how many lines there were.
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
	if over := len(t.last) - 512; over > 0 {
		t.last = append(t.last[:0], t.last[over:]...)
	}
	return len(p), nil
}

// Lines is how many there were.
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
