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

// waitTimeout is how long the package waits for something that must happen before it fails.
const waitTimeout = 20 * time.Second

// maxLines is the number of a process's last lines that are kept.
const maxLines = 2000

// BuildProgram builds the program, once in this process, and returns its path. RemoveProgram removes it.
var BuildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "pumicecroft-rig")
	if err != nil {
		return "", err
	}
	_, thisFile, _, _ := runtime.Caller(0)
	path := filepath.Join(dir, "pumicecroft")
	build := exec.Command("go", "build", "-o", path, "./cmd/pumicecroft")
	build.Dir = filepath.Join(filepath.Dir(thisFile), "..", "..")
	if output, err := build.CombinedOutput(); err != nil {
		_ = os.RemoveAll(dir)
		return "", fmt.Errorf("processtest: the program can't be built: %w: %s", err, output)
	}
	return path, nil
})

// RemoveProgram removes what BuildProgram has built. TestMain calls it last.
func RemoveProgram() {
	if path, err := BuildProgram(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
}

// Process is one process of the program. It is safe for concurrent use.
type Process struct {
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has ended

	mu      sync.Mutex
	lines   []string
	newLine chan struct{} // closed and replaced at each line
	err     error         // how the process ended
}

// startProcess starts the program with arguments, and with env added to this process's environment. The process can't
// have more than descriptors open files.
func startProcess(descriptors int, env []string, args ...string) (*Process, error) {
	path, err := BuildProgram()
	if err != nil {
		return nil, err
	}
	shellArgs := append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors), path}, args...)
	p := &Process{cmd: exec.Command("/bin/sh", shellArgs...), exited: make(chan struct{}), newLine: make(chan struct{})}
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

// read records the lines of the process until it ends.
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

// Lines returns the last lines of the process's output, up to maxLines.
func (p *Process) Lines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines...)
}

// Await waits for a line that contains text and returns it.
func (p *Process) Await(text string) (string, error) {
	end := time.NewTimer(waitTimeout)
	defer end.Stop()
	for {
		p.mu.Lock()
		newLine := p.newLine
		for _, line := range p.lines {
			if strings.Contains(line, text) {
				p.mu.Unlock()
				return line, nil
			}
		}
		p.mu.Unlock()
		select {
		case <-newLine:
		case <-p.exited:
			output := strings.Join(p.Lines(), "\n")
			return "", fmt.Errorf("processtest: process ended (%w) without the line %q: %s", p.err, text, output)
		case <-end.C:
			return "", fmt.Errorf("processtest: no line %q: %s", text, strings.Join(p.Lines(), "\n"))
		}
	}
}

// Signal sends a signal, unless the process has ended.
func (p *Process) Signal(s syscall.Signal) {
	if p.Alive() {
		_ = p.cmd.Process.Signal(s)
	}
}

// Alive reports whether the process has not ended.
func (p *Process) Alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Terminate sends SIGTERM and waits until the process has ended. After waitTimeout it kills the process.
func (p *Process) Terminate() error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return p.err
	case <-time.After(waitTimeout):
		p.Kill()
		return errors.New("processtest: process did not end after SIGTERM")
	}
}

// Pause sends SIGSTOP and returns once the process has stopped.
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
	return errors.New("processtest: process did not stop after SIGSTOP")
}

// Resume lets a paused process run again.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }
