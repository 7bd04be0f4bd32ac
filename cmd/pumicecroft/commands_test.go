package main

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
)

func file(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "pumicecroft.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const operatorFile = `listen = "127.0.0.1:0"
[[class]]
name = "look"
[[plan]]
name = "shop"
[[backend]]
name = "a"
address = "127.0.0.1:1"
`

func TestCheck(t *testing.T) {
	var out bytes.Buffer
	if err := run(t.Context(), []string{"check", "../../deploy/pumicecroft.toml"}, &out); err != nil || !strings.Contains(out.String(), "is good: door 0 of 1, 3 classes, 2 plans, 2 backends") {
		t.Errorf("%v %q", err, out.String())
	}
	bad := file(t, strings.NewReplacer(`"look"`, `""`, `name = "shop"`, `nmae = "shop"`).Replace(operatorFile))
	err := run(t.Context(), []string{"check", bad}, &out)
	for _, want := range []string{"line 3: class[0].name: it is empty", "line 4: plan[0].name: it is missing", "line 5: plan[0].nmae: no such key"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

func TestWhatMakesNoSense(t *testing.T) {
	t.Setenv("NODE_CONFIG", "")
	for _, args := range [][]string{{}, {"bake"}, {"check"}, {"check", "none.toml"}, {"serve"}, {"serve", "none.toml"},
		{"serve", file(t, "listen = 3")}, {"demo", "-duration", "0s"}, {"demo", "more"}, {"demo", "-nope"}, {"demo", "-addr", "nowhere"}} {
		var out bytes.Buffer
		if err := run(t.Context(), args, &out); err == nil {
			t.Errorf("%q: no error", args)
		}
	}
}

func TestDemoCommand(t *testing.T) {
	var out bytes.Buffer
	if err := run(t.Context(), []string{"demo", "-duration", "1s"}, &out); err != nil || !strings.Contains(out.String(), "lost=0 duplicates=0") {
		t.Errorf("%v\n%s", err, out.String())
	}
}

// The daemon serves by an operator's file, and ends well.
func TestServeFile(t *testing.T) {
	cmd := exec.Command(os.Args[0], "serve", file(t, operatorFile))
	cmd.Env = append(os.Environ(), "PUMICECROFT_AS_PROGRAM=1")
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	listens := regexp.MustCompile(`serving .*listen=(\S+)`)
	addr := ""
	for lines := bufio.NewScanner(log); addr == "" && lines.Scan(); {
		if m := listens.FindStringSubmatch(lines.Text()); m != nil {
			addr = m[1]
		}
	}
	if addr == "" {
		t.Fatal("it did not say where it listens")
	}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+addr+"/look", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header = http.Header{"Request-Id": {"9b1f03aa5c7e2d41"}, "Request-Class": {"look"}, "X-Tier": {"shop"},
		"X-Api-Key": {"00000000b4d65521"}, "Request-Timeout": {"5"}, "X-Call-Terms": {"units=1,spread=1,first=0"}}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != 503 || res.Header.Get("Retry-After") == "" { // nobody is at its backend's address
		t.Errorf("%s, Retry-After %q", res.Status, res.Header.Get("Retry-After"))
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("it ended with %v", err)
	}
}
