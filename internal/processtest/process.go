package processtest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// patience is how long the rig waits for something that must happen: it fails then, and only then.
const waitTimeout = 20 * time.Second

// keepLines is how many of a process's last lines are kept.
const maxLines = 2000

// Program builds the program, once for all who ask in this process, and tells where it is; End removes it.
var BuildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "pumicecroft-rig")
	if err != nil {
		return "", err
	}
	_, here, _, _ := runtime.Caller(0)
	path := filepath.Join(dir, "pumicecroft")
	build := exec.Command("go", "build", "-o", path, "./cmd/pumicecroft")
	build.Dir = filepath.Join(filepath.Dir(here), "..", "..")
	if text, err := build.CombinedOutput(); err != nil {
		_ = os.RemoveAll(dir)
		return "", fmt.Errorf("the program can't be built: %w: %s", err, text)
	}
	return path, nil
})

// End removes what Program has built. A test's main calls it last.
func RemoveProgram() {
	if path, err := BuildProgram(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
}

// Process is one process of the program. It is safe for concurrent use.
type Process struct {
	cmd    *exec.Cmd
	exited chan struct{} // closed when it has ended

	mu      sync.Mutex
	lines   []string
	newLine chan struct{} // closed at the next line, or its end
	err     error         // how it ended
}

// start starts the program with arguments and an environment beside this one's. It may hold so many descriptors as the platform allows, and
// the system keeps it to that.
func startProcess(descriptors int, env []string, args ...string) (*Process, error) {
	path, err := BuildProgram()
	if err != nil {
		return nil, err
	}
	limited := append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors), path}, args...)
	p := &Process{cmd: exec.Command("/bin/sh", limited...), exited: make(chan struct{}), newLine: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p.cmd.Stdout, p.cmd.Stderr = w, w
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Join(err, r.Close(), w.Close())
	}
	_ = w.Close()
	go p.read(r)
	return p, nil
}

func (p *Process) read(r io.ReadCloser) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		p.mu.Lock()
		if p.lines = append(p.lines, lines.Text()); len(p.lines) > maxLines {
			p.lines = p.lines[1:]
		}
		close(p.newLine)
		p.newLine = make(chan struct{})
		p.mu.Unlock()
	}
	r.Close()
	err := p.cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.err = err
	close(p.exited)
}

// Lines are the last that it has said.
func (p *Process) Lines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines...)
}

// Await waits for a line that holds a text, and tells it.
func (p *Process) Await(text string) (string, error) {
	end := time.NewTimer(waitTimeout)
	defer end.Stop()
	for {
		p.mu.Lock()
		heard := p.newLine
		for _, l := range p.lines {
			if strings.Contains(l, text) {
				p.mu.Unlock()
				return l, nil
			}
		}
		p.mu.Unlock()
		select {
		case <-heard:
		case <-p.exited:
			return "", fmt.Errorf("it has ended (%w) and never said %q: %s", p.err, text, strings.Join(p.Lines(), "\n"))
		case <-end.C:
			return "", fmt.Errorf("it never said %q: %s", text, strings.Join(p.Lines(), "\n"))
		}
	}
}

// Signal sends a signal; to one that has ended it does nothing.
func (p *Process) Signal(s syscall.Signal) {
	if p.Alive() {
		_ = p.cmd.Process.Signal(s)
	}
}

// Alive tells whether it has not ended.
func (p *Process) Alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Kill ends it at once, and waits for that.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Term tells it to end and waits until it has.
func (p *Process) Terminate() error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return p.err
	case <-time.After(waitTimeout):
		p.Kill()
		return errors.New("it did not end after SIGTERM")
	}
}

// Stop has it stand still, and tells when it does: the system has taken it off all processors.
func (p *Process) Pause() error {
	p.Signal(syscall.SIGSTOP)
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		if err != nil {
			return err
		}
		if _, rest, ok := strings.Cut(string(text), ") "); ok && strings.HasPrefix(rest, "T") {
			return nil
		}
		runtime.Gosched()
	}
	return errors.New("it does not stand still")
}

// Go has it go on.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }
