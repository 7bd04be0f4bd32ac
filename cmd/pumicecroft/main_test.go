package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const config = `{"name":"n0","listen":"%s","discovery":"127.0.0.1:1","seed":"1",
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
	if err := run(ctx, write(t, fmt.Sprintf(config, "127.0.0.1:0"))); err != nil {
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
		"address taken": write(t, fmt.Sprintf(config, taken.Addr())),
	} {
		if err := run(context.Background(), path); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want an error of one line", name, err)
		}
	}
}
