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
)

const config = `{"name":"n0","listen":"%s","discovery":"%s","seed":"1",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"seq":1,"whole":true,"hosts":[]},
 "settings":{"balancers":1,"lanes":[{"name":"c","effect":"retryable","goal_time_us":1000000,"deadline_us":2000000,"gain":1}],
  "tariffs":[{"name":"p","units_per_s":5,"burst":5,"value_factor":1}],
  "policy_limits":{"max_attempts":2,"conn_idle_us":15000000,"connect_timeout_us":250000}}}`

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestEndsByItselfAfterSIGTERM(t *testing.T) {
	ctx, sigterm := context.WithCancel(context.Background())
	sigterm()
	if err := daemon.Serve(ctx, write(t, fmt.Sprintf(config, "127.0.0.1:0", "127.0.0.1:1")), nil); err != nil {
		t.Error(err)
	}
}

func TestWhatItCannotStartWith(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	for name, path := range map[string]string{
		"no file":       "",
		"bad file":      write(t, "{"),
		"address taken": write(t, fmt.Sprintf(config, taken.Addr(), "127.0.0.1:1")),
	} {
		if err := daemon.Serve(context.Background(), path, nil); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want an error of one line", name, err)
		}
	}
}

// TestMain lets the test's own binary stand in for the program, where a test needs it as a process of its own.
func TestMain(m *testing.M) {
	if os.Getenv("PUMICECROFT_AS_PROGRAM") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Unhandled, SIGHUP ends a program. It must move discovery instead, and a file that is no good must change
// nothing: the program serves on, and the next good file counts.
func TestSIGHUPMovesDiscovery(t *testing.T) {
	discovery := func() (addr string, asked chan string) {
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
	replace := func(path, text string) {
		t.Helper()
		if err := os.Rename(write(t, text), path); err != nil {
			t.Fatal(err)
		}
	}
	old, askedOld := discovery()
	now, askedNow := discovery()
	path := write(t, fmt.Sprintf(config, "127.0.0.1:0", old))
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "PUMICECROFT_AS_PROGRAM=1", "NODE_CONFIG="+path)
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	lines := make(chan string, 100)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		for scan := bufio.NewScanner(log); scan.Scan(); {
			lines <- scan.Text()
		}
		close(lines)
	}()
	defer cmd.Process.Kill()
	await(askedOld, "/v1/endpoints?watch=1&from=1")

	replace(path, "{")
	cmd.Process.Signal(syscall.SIGHUP)
	timeout := time.After(20 * time.Second)
	for told := false; !told; {
		select {
		case line, ok := <-lines:
			if !ok {
				t.Fatal("SIGHUP ended the program")
			}
			told = strings.Contains(line, "no good")
		case <-timeout:
			t.Fatal("no word of the bad file")
		}
	}
	replace(path, fmt.Sprintf(config, "127.0.0.1:0", now))
	cmd.Process.Signal(syscall.SIGHUP)
	await(askedNow, "/v1/endpoints")
	await(askedNow, "/v1/endpoints?watch=1&from=3")

	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}
