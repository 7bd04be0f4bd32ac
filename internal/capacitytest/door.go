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
type Told struct {
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
const ownProcess = "PUMICECROFT_SCALE_DOOR"

// Main is the main of a test's program that StartDoor is used in. It never returns where it is a door's process.
func Main(run func() int) {
	if os.Getenv(ownProcess) != "" {
		if err := serve(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(run())
}

// door is the Door of a process, and what is noted of it.
type door struct {
	*pumicecroft.Gateway
	mu   sync.Mutex
	news chan struct{} // closed when discovery has told of more
	told Told
	took []time.Duration
}

// source passes on what discovery tells, and notes it.
type source struct {
	*platform.Discovery
	d *door
}

func (s source) Run(ctx context.Context, update func(membership.Update)) {
	s.Discovery.Run(ctx, func(l membership.Update) {
		update(l)
		s.d.mu.Lock()
		defer s.d.mu.Unlock()
		s.d.told.Nodes += int64(len(l.Nodes))
		s.d.told.At = time.Now()
		close(s.d.news)
		s.d.news = make(chan struct{})
	})
}

// serve is a door's process: a Door as the daemon makes it, asked in open loop, that tells of itself at each line that it reads.
func serve(in io.Reader, out io.Writer) error {
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
	d := &door{news: make(chan struct{})}
	d.told.Errors = map[string]int{}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)) // the log is part of the price
	slog.SetDefault(log)
	set := daemon.GatewayConfig(config)
	if p.Most > 0 {
		set.Membership.MaxNodes = p.Most
	}
	d.Gateway, err = pumicecroft.New(set, pumicecroft.WithLogger(log),
		pumicecroft.WithDialer(func(ctx context.Context, network, _ string) (net.Conn, error) {
			d.mu.Lock()
			d.told.Dialled++
			d.mu.Unlock()
			return new(net.Dialer).DialContext(ctx, network, p.Backend)
		}),
		pumicecroft.WithSource(source{&platform.Discovery{Addr: config.Discovery, FromVersion: config.Known.Seq, PollWithin: config.Conns.SubscribeWithin,
			Seed: config.Seed, DrainGrace: config.Settings.DrainGrace, MaxEntries: config.Limits.MaxBackends()}, d}))
	if err != nil {
		return err
	}
	config = platform.Config{}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if p.PerSecond > 0 {
		go d.ask(ctx, p)
	}
	if err := write.Encode(Told{At: time.Now()}); err != nil {
		return err
	}
	for lines.Scan() {
		var q question
		if err := json.Unmarshal(lines.Bytes(), &q); err != nil {
			return err
		}
		if q.Nodes > 0 {
			d.await(q.Nodes, q.Within)
		}
		if err := write.Encode(d.tell(q)); err != nil {
			return err
		}
	}
	return nil
}

// question is what a door's process is asked.
type question struct {
	Nodes  int64         // answered when discovery has told of so many
	Within time.Duration // ... or this time is over
	All    bool          // with what costs something to tell; requests are counted from then on anew
	Ready  bool          // with how many backends are believed ready, which costs much
}

// await waits until discovery has told of so many nodes.
func (d *door) await(nodes int64, within time.Duration) {
	end := time.NewTimer(within)
	defer end.Stop()
	for {
		d.mu.Lock()
		enough, news := d.told.Nodes >= nodes, d.news
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
func (d *door) ask(ctx context.Context, p Plan) {
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
			d.told.Asked++
			if err != nil {
				d.told.Errors[err.Error()]++
			} else {
				if d.told.Served++; d.told.First.IsZero() {
					d.told.First = now
				}
				d.took = append(d.took, now.Sub(at))
			}
		}()
		due = due.Add(gap)
	}
}

// tell is what there is to tell.
func (d *door) tell(q question) Told {
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
	out, took := d.told, d.took
	if q.All {
		d.told.Asked, d.told.Served, d.told.Errors, d.took = 0, 0, map[string]int{}, nil
	}
	d.mu.Unlock()
	if out.CPU, out.Ready = cpu, ready; !q.All {
		out.Errors = nil // it is still added to
		return out
	}
	out.Resident, out.Peak = status("VmRSS:"), status("VmHWM:")
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
func status(name string) (bytes int64) {
	text, _ := os.ReadFile("/proc/self/status")
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			_, _ = fmt.Sscan(rest, &bytes)
		}
	}
	return bytes << 10
}

// DoorProcess is a process that holds one Door.
type DoorProcess struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	lines *bufio.Scanner
	Begun time.Time // when it had its plan
	Up    Told      // the first that it told
	Said  *tail     // the last that it said in its log
}

// StartDoor starts one, of this test's program.
func StartDoor(p Plan) (*DoorProcess, error) {
	d := &DoorProcess{cmd: exec.Command(os.Args[0]), Said: &tail{}}
	d.cmd.Env = append(os.Environ(), ownProcess+"=1")
	d.cmd.Stderr = d.Said
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
	d.Begun = time.Now()
	if err := json.NewEncoder(d.in).Encode(p); err != nil {
		return nil, errors.Join(err, d.Stop())
	}
	if d.Up, err = d.read(); err != nil {
		return nil, errors.Join(err, d.Stop())
	}
	return d, nil
}

func (d *DoorProcess) read() (t Told, err error) {
	if !d.lines.Scan() {
		return t, fmt.Errorf("scale: the door's process has ended: %s", d.Said)
	}
	return t, json.Unmarshal(d.lines.Bytes(), &t)
}

func (d *DoorProcess) ask(q question) (Told, error) {
	if err := json.NewEncoder(d.in).Encode(q); err != nil {
		return Told{}, err
	}
	return d.read()
}

// Await waits until discovery has told of so many nodes in all, or a time is over.
func (d *DoorProcess) Await(nodes int64, within time.Duration) (Told, error) {
	return d.ask(question{Nodes: nodes, Within: within})
}

// Look asks for what costs nothing to tell.
func (d *DoorProcess) Look() (Told, error) { return d.ask(question{}) }

// All asks for all there is to tell, of requests since it was asked before.
func (d *DoorProcess) All() (Told, error) { return d.ask(question{All: true}) }

// Ready asks how many backends the Door believes ready.
func (d *DoorProcess) Ready() (int, error) {
	t, err := d.ask(question{Ready: true})
	return t.Ready, err
}

// Stop ends it.
func (d *DoorProcess) Stop() error {
	_ = d.in.Close()
	return d.cmd.Wait()
}

// tail keeps the last bytes of what is written to it, and how many lines there were.
type tail struct {
	mu    sync.Mutex
	last  []byte
	lines int
}

func (t *tail) Write(p []byte) (int, error) {
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
func (t *tail) Lines() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lines
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.last)
}
