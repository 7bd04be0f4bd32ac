package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// trial is one run of a case: its record, its temporary folder and the processes that it has started.
type trial struct {
	dir   string
	begun time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
}

func newTrial(record string) (*trial, error) {
	dir, err := os.MkdirTemp("", "trial-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &trial{dir: dir, begun: time.Now(), record: f}, nil
}

// close ends all processes and removes the temporary folder.
func (t *trial) close() {
	t.mu.Lock()
	processes := t.processes
	t.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.record.Close()
	_ = os.RemoveAll(t.dir)
}

// note writes one line to the record, with the time since the beginning.
func (t *trial) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	line := strings.TrimRight(fmt.Sprintf(format, args...), "\n")
	fmt.Fprintf(t.record, "%8.3f %s\n", time.Since(t.begun).Seconds(), line)
}

// since returns the time since the beginning, in seconds.
func (t *trial) since(at time.Time) float64 { return at.Sub(t.begun).Seconds() }

// process is a process of a trial.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended

	mu    sync.Mutex
	lines []line // of its standard output
}

// line is a line that a stand-in has written, and when it was read.
type line struct {
	at   time.Time
	text string
}

// start starts a process and notes what it writes. The lines of its standard output are kept.
func (t *trial) start(name string, env []string, argv ...string) (*process, error) {
	p := &process{name: name, cmd: exec.Command(argv[0], argv[1:]...), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	log, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	t.mu.Lock()
	t.processes = append(t.processes, p)
	t.mu.Unlock()
	t.note("started %s: %s", name, strings.Join(argv, " "))
	var reading sync.WaitGroup
	reading.Go(func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			p.mu.Lock()
			p.lines = append(p.lines, line{time.Now(), lines.Text()})
			p.mu.Unlock()
			t.note("%s: %s", name, lines.Text())
		}
	})
	reading.Go(func() {
		for lines := bufio.NewScanner(log); lines.Scan(); {
			t.note("%s log: %s", name, lines.Text())
		}
	})
	go func() {
		reading.Wait()
		err := p.cmd.Wait()
		t.note("%s ended: %v", name, err)
		close(p.done)
	}()
	return p, nil
}

// startStandIn starts a stand-in and returns it with its address, which is its first line.
func (t *trial) startStandIn(name string, args ...string) (*process, string, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, "", err
	}
	p, err := t.start(name, nil, append([]string{self}, args...)...)
	if err != nil {
		return nil, "", err
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, l := range p.output() {
			if addr, ok := strings.CutPrefix(l.text, "listening "); ok {
				return p, addr, nil
			}
		}
	}
	return nil, "", fmt.Errorf("%s does not listen", name)
}

// output returns the lines that the process has written so far.
func (p *process) output() []line {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]line(nil), p.lines...)
}

// signal sends a signal to the process and notes it.
func (t *trial) signal(p *process, s syscall.Signal) {
	t.note("signal %v to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// kill ends the process, also if it is stopped, and waits for its end.
func (p *process) kill() {
	if !p.ended() {
		_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
		<-p.done
	}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*?)"`)

// startGateway starts the gateway by the line run of the deploy file, to which arguments may be added.
func (t *trial) startGateway(env []string, arguments string) (*process, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	match := runLine.FindSubmatch(text)
	if match == nil {
		return nil, errors.New("the deploy file has no line run")
	}
	return t.start("gateway", env, "/bin/sh", "-c", strings.TrimSpace(string(match[1])+" "+arguments))
}

// serveFile writes an operator's file and starts a gateway by it, which is ready when it accepts
// connections at addr.
func (t *trial) serveFile(addr, text string) (*process, error) {
	file := filepath.Join(t.dir, "gateway.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	t.note("operator's file:\n%s", text)
	p, err := t.startGateway(nil, "serve "+file)
	if err != nil {
		return nil, err
	}
	return p, waitForListener(p, addr)
}

// waitForListener waits until a process accepts connections at addr.
func waitForListener(p *process, addr string) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && !p.ended(); time.Sleep(20 * time.Millisecond) {
		if c, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			c.Close()
			return nil
		}
	}
	return fmt.Errorf("%s does not listen at %s", p.name, addr)
}

// freeAddr returns a loopback address whose port was free a moment ago.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
