package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"pumicecroft/internal/daemon"
	"pumicecroft/internal/testkit"

	"github.com/pelletier/go-toml/v2"
)

const config = `{"name":"n0","listen":"%s","discovery":"%s","seed":"1",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"seq":1,"whole":true,"hosts":[]},
 "settings":{"balancers":1,"lanes":[{"name":"c","effect":"retryable","goal_time_us":1000000,"deadline_us":2000000,"gain":1}],
  "tariffs":[{"name":"p","units_per_s":5,"burst":5,"value_factor":1}],
  "policy_limits":{"max_attempts":2,"conn_idle_us":15000000,"connect_timeout_us":250000}}}`

func writeConfig(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestExitsAfterSIGTERM(t *testing.T) {
	ctx, sigterm := context.WithCancel(context.Background())
	sigterm()
	if err := daemon.Serve(ctx, writeConfig(t, fmt.Sprintf(config, "127.0.0.1:0", "127.0.0.1:1")), nil); err != nil {
		t.Error(err)
	}
}

func TestInvalidStartConfig(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	for name, path := range map[string]string{
		"no file":       "",
		"bad file":      writeConfig(t, "{"),
		"address taken": writeConfig(t, fmt.Sprintf(config, taken.Addr(), "127.0.0.1:1")),
	} {
		if err := daemon.Serve(context.Background(), path, nil); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want an error of one line", name, err)
		}
	}
}

// TestMain lets the test's binary be the program, where a test needs it as a process.
func TestMain(m *testing.M) {
	if os.Getenv("PUMICECROFT_AS_PROGRAM") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is the program as a process, and what it logs.
type process struct {
	*exec.Cmd
	lines chan string
}

// startProgram starts the program by a configuration's path, in a shell that runs the given
// commands before.
func startProgram(t *testing.T, path, shell string) *process {
	t.Helper()
	cmd := exec.Command("/bin/sh", "-c", shell+` exec "$0"`, os.Args[0])
	cmd.Env = append(os.Environ(), "PUMICECROFT_AS_PROGRAM=1", "NODE_CONFIG="+path)
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{cmd, make(chan string, 1000)}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	go func() {
		for scan := bufio.NewScanner(log); scan.Scan(); {
			p.lines <- scan.Text()
		}
		close(p.lines)
	}()
	return p
}

// waitForLine waits for a line that contains a text.
func (p *process) waitForLine(t *testing.T, what string) string {
	t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		select {
		case line, ok := <-p.lines:
			if !ok {
				t.Fatalf("it ended without a word of %q", what)
			}
			if strings.Contains(line, what) {
				return line
			}
		case <-timeout:
			t.Fatalf("no word of %q", what)
		}
	}
}

// startDiscoveryProbe returns a discovery that tells what it is asked for.
func startDiscoveryProbe(t *testing.T) (addr string, asked chan string) {
	t.Helper()
	asked = make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RequestURI()
		fmt.Fprintln(w, `{"seq":3,"whole":true,"hosts":[]}`)
		if r.URL.RawQuery != "" {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), asked
}

func replaceFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.Rename(writeConfig(t, text), path); err != nil {
		t.Fatal(err)
	}
}

// SIGHUP arrives after SIGTERM, once and twice: open requests may still need backends, so the
// discovery that the new configuration names must be followed.
func TestSIGHUPMovesDiscoveryDuringShutdown(t *testing.T) {
	old, askedOld := startDiscoveryProbe(t)
	now, askedNow := startDiscoveryProbe(t)
	last, askedLast := startDiscoveryProbe(t)
	path := writeConfig(t, fmt.Sprintf(config, "127.0.0.1:0", old))
	p := startProgram(t, path, "")
	testkit.Await(t, askedOld, "the first watch")
	_, addr, _ := strings.Cut(p.waitForLine(t, "listen="), "listen=")
	begun, err := net.Dial("tcp", addr) // half a head: it is waited for
	if err != nil {
		t.Fatal(err)
	}
	defer begun.Close()
	fmt.Fprint(begun, "GET /c HTT")
	replaceFile(t, path, fmt.Sprintf(config, "127.0.0.1:0", now))
	p.Process.Signal(syscall.SIGTERM)
	p.waitForLine(t, "told to end")
	p.Process.Signal(syscall.SIGHUP)
	if got := testkit.Await(t, askedNow, "the new discovery to be asked"); got != "/v1/endpoints" {
		t.Errorf("it was asked for %s", got)
	}
	replaceFile(t, path, fmt.Sprintf(config, "127.0.0.1:0", last))
	p.Process.Signal(syscall.SIGHUP)
	p.Process.Signal(syscall.SIGHUP)
	testkit.Await(t, askedLast, "the last discovery to be asked")
	if err := p.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// SIGHUP arrives before the process handles it, as the deploy file starts it: it must do no harm,
// as the configuration is read later.
func TestSIGHUPBeforeServing(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Run string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	before, ok := strings.CutSuffix(deploy.Run, "exec bin/pumicecroft")
	if !ok {
		t.Fatalf("run is %q", deploy.Run)
	}
	addr, asked := startDiscoveryProbe(t)
	p := startProgram(t, writeConfig(t, fmt.Sprintf(config, "127.0.0.1:0", addr)), before+" kill -HUP $$;")
	testkit.Await(t, asked, "the first watch")
	p.Process.Signal(syscall.SIGHUP) // and now it is wanted
	p.waitForLine(t, "configuration reloaded")
	p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// SIGHUP, which ends a program that does not handle it, moves discovery. An invalid file must
// change nothing, and the next valid one counts.
func TestSIGHUPMovesDiscovery(t *testing.T) {
	await := func(asked chan string, want string) {
		t.Helper()
		select {
		case got := <-asked:
			if got != want {
				t.Fatalf("discovery was asked for %s, want %s", got, want)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("discovery was never asked for %s", want)
		}
	}
	old, askedOld := startDiscoveryProbe(t)
	now, askedNow := startDiscoveryProbe(t)
	path := writeConfig(t, fmt.Sprintf(config, "127.0.0.1:0", old))
	p := startProgram(t, path, "")
	await(askedOld, "/v1/endpoints?watch=1&from=1")

	replaceFile(t, path, "{")
	p.Process.Signal(syscall.SIGHUP)
	p.waitForLine(t, "invalid configuration ignored")
	replaceFile(t, path, fmt.Sprintf(config, "127.0.0.1:0", now))
	p.Process.Signal(syscall.SIGHUP)
	await(askedNow, "/v1/endpoints")
	await(askedNow, "/v1/endpoints?watch=1&from=3")

	p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}
