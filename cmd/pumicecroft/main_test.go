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

const platformConfig = `{"name":"n0","listen":"%s","discovery":"%s","seed":"1",
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
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // as SIGTERM does
	path := writeConfig(t, fmt.Sprintf(platformConfig, "127.0.0.1:0", "127.0.0.1:1"))
	if err := daemon.Serve(ctx, path, nil); err != nil {
		t.Error(err)
	}
}

func TestInvalidStartConfig(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	for name, path := range map[string]string{
		"no file":       "",
		"bad file":      writeConfig(t, "{"),
		"address taken": writeConfig(t, fmt.Sprintf(platformConfig, occupied.Addr(), "127.0.0.1:1")),
	} {
		if err := daemon.Serve(context.Background(), path, nil); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want an error of one line", name, err)
		}
	}
}

// TestMain runs the program itself if PUMICECROFT_AS_PROGRAM is set, so that tests can start the test
// binary as a gateway process.
func TestMain(m *testing.M) {
	if os.Getenv("PUMICECROFT_AS_PROGRAM") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is a running program and its log lines.
type process struct {
	*exec.Cmd
	lines chan string
}

// startProgram starts the program with a configuration file of the platform, from a shell that runs
// setup first.
func startProgram(t *testing.T, path, setup string) *process {
	t.Helper()
	cmd := exec.Command("/bin/sh", "-c", setup+` exec "$0"`, os.Args[0])
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

// waitForLine waits for a log line that contains a text, and returns the line.
func (p *process) waitForLine(t *testing.T, text string) string {
	t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		select {
		case line, ok := <-p.lines:
			if !ok {
				t.Fatalf("the program ended without a log line that contains %q", text)
			}
			if strings.Contains(line, text) {
				return line
			}
		case <-timeout:
			t.Fatalf("got no log line that contains %q within 20 s", text)
		}
	}
}

// startDiscoveryProbe starts a discovery server that reports the URI of each request to requests.
func startDiscoveryProbe(t *testing.T) (addr string, requests chan string) {
	t.Helper()
	requests = make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- r.URL.RequestURI()
		fmt.Fprintln(w, `{"seq":3,"whole":true,"hosts":[]}`)
		if r.URL.RawQuery != "" {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), requests
}

func replaceFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.Rename(writeConfig(t, text), path); err != nil {
		t.Fatal(err)
	}
}

// SIGHUP moves discovery also after SIGTERM, and when it arrives twice: open requests may still need
// backends, so the gateway must follow the discovery that the new configuration names.
func TestSIGHUPMovesDiscoveryDuringShutdown(t *testing.T) {
	oldAddr, oldRequests := startDiscoveryProbe(t)
	newAddr, newRequests := startDiscoveryProbe(t)
	lastAddr, lastRequests := startDiscoveryProbe(t)
	path := writeConfig(t, fmt.Sprintf(platformConfig, "127.0.0.1:0", oldAddr))
	p := startProgram(t, path, "")
	testkit.Await(t, oldRequests, "the first watch")
	_, addr, _ := strings.Cut(p.waitForLine(t, "listen="), "listen=")
	conn, err := net.Dial("tcp", addr) // an incomplete request, for which the gateway waits
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "GET /c HTT")
	replaceFile(t, path, fmt.Sprintf(platformConfig, "127.0.0.1:0", newAddr))
	p.Process.Signal(syscall.SIGTERM)
	p.waitForLine(t, "told to end")
	p.Process.Signal(syscall.SIGHUP)
	if got := testkit.Await(t, newRequests, "the new discovery to be asked"); got != "/v1/endpoints" {
		t.Errorf("the first request to the new discovery is %s, want /v1/endpoints", got)
	}
	replaceFile(t, path, fmt.Sprintf(platformConfig, "127.0.0.1:0", lastAddr))
	p.Process.Signal(syscall.SIGHUP)
	p.Process.Signal(syscall.SIGHUP)
	testkit.Await(t, lastRequests, "the last discovery to be asked")
	if err := p.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// A process that is started like in the deploy file ignores SIGHUP until it can handle it: a signal
// before that must not end the process, and nothing is lost, as the configuration is read later.
func TestSIGHUPBeforeServing(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Run string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	setup, ok := strings.CutSuffix(deploy.Run, "exec bin/pumicecroft")
	if !ok {
		t.Fatalf("run in the deploy file is %q, want it to end with exec bin/pumicecroft", deploy.Run)
	}
	addr, requests := startDiscoveryProbe(t)
	p := startProgram(t, writeConfig(t, fmt.Sprintf(platformConfig, "127.0.0.1:0", addr)), setup+" kill -HUP $$;")
	testkit.Await(t, requests, "the first watch")
	p.Process.Signal(syscall.SIGHUP) // now the process handles it
	p.waitForLine(t, "configuration reloaded")
	p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// SIGHUP makes the gateway follow the discovery that the changed file names. An invalid file must change
// nothing, and a valid one after it must be applied.
func TestSIGHUPMovesDiscovery(t *testing.T) {
	await := func(requests chan string, want string) {
		t.Helper()
		select {
		case got := <-requests:
			if got != want {
				t.Fatalf("discovery got a request for %s, want %s", got, want)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("discovery got no request for %s within 20 s", want)
		}
	}
	oldAddr, oldRequests := startDiscoveryProbe(t)
	newAddr, newRequests := startDiscoveryProbe(t)
	path := writeConfig(t, fmt.Sprintf(platformConfig, "127.0.0.1:0", oldAddr))
	p := startProgram(t, path, "")
	await(oldRequests, "/v1/endpoints?watch=1&from=1")

	replaceFile(t, path, "{")
	p.Process.Signal(syscall.SIGHUP)
	p.waitForLine(t, "invalid configuration ignored")
	replaceFile(t, path, fmt.Sprintf(platformConfig, "127.0.0.1:0", newAddr))
	p.Process.Signal(syscall.SIGHUP)
	await(newRequests, "/v1/endpoints")
	await(newRequests, "/v1/endpoints?watch=1&from=3")

	p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}
