package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"pumicecroft/internal/fakes"
	"pumicecroft/internal/platform"
	"pumicecroft/internal/snapshotfile"
)

func writeFile(t *testing.T, text string) string {
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
	if err := run(t.Context(), []string{"check", "../../deploy/pumicecroft.toml"}, &out); err != nil ||
		!strings.Contains(out.String(), "is good: door 0 of 1, 3 classes, 2 plans, 2 backends, sources file") {
		t.Errorf("%v %q", err, out.String())
	}
	bad := writeFile(t, strings.NewReplacer(`"look"`, `""`, `name = "shop"`, `nmae = "shop"`).Replace(operatorFile))
	err := run(t.Context(), []string{"check", bad}, &out)
	for _, want := range []string{"line 3: class[0].name: it is empty", "line 4: plan[0].name: it is missing",
		"line 5: plan[0].nmae: no such key"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

// An invalid command line ends with 2 and says what was meant; a failure ends with 1.
func TestExitCodes(t *testing.T) {
	t.Setenv("NODE_CONFIG", "")
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"", 2, "pumicecroft --help"},
		{"--help", 0, "NODE_CONFIG"},
		{"lab --help", 0, "compare"},
		{"lab run -h", 0, "--jobs"},
		{"sim --help", 0, "mutants"},
		{"version", 0, "revision"},
		{"completion bash", 0, "pumicecroft"},
		{"lab figures", 0, "more is better"},
		{"bake", 2, "unexpected argument bake"},
		{"serv", 2, `did you mean "serve"?`},
		{"memberz", 2, `did you mean "members"?`},
		{"lab repot", 2, `did you mean "report"?`},
		{"serve x --log-formt json", 2, `did you mean "--log-format"?`},
		{"serve x --log-format xml", 2, "must be one of"},
		{"check", 2, "<file>"},
		{"check none.toml", 1, "none.toml"},
		{"serve", 2, "<file>"},
		{"serve none.toml", 1, "none.toml"},
		{"members", 2, "<file>"},
		{"demo --duration 0s", 2, "not above 0"},
		{"demo more", 2, "unexpected argument more"},
		{"demo --addr nowhere", 1, "nowhere"},
		{"lab run none.toml --jobs 0", 2, "below 1"},
		{"lab run none.toml", 1, "none.toml"},
		{"lab compare none", 1, "none"},
		{"load none.toml 127.0.0.1:1", 1, "none.toml"},
		{"load ../../lab/load.toml 10.0.0.1:80", 2, "--anywhere"},
		{"load ../../lab/load.toml 127.0.0.1:1 --rate 0.00001", 2, "a rate of"},
		{"load ../../lab/load.toml 127.0.0.1:1 --duration 50ms --rate 200", 0, "dial failed"},
	} {
		var out bytes.Buffer
		err := run(t.Context(), strings.Fields(c.args), &out)
		if got := out.String() + fmt.Sprint(err); exitCode(err) != c.code || !strings.Contains(got, c.want) {
			t.Errorf("%q: exits with %d, want %d; %q lacks %q", c.args, exitCode(err), c.code, got, c.want)
		}
	}
	for _, args := range [][]string{{"members", writeFile(t, operatorFile)},
		{"members", writeFile(t, "members = \"127.0.0.1:1\"\n"+operatorFile)}, {"serve", writeFile(t, "listen = 3")}} {
		if err := run(t.Context(), args, io.Discard); exitCode(err) != 1 {
			t.Errorf("%q: %v", args, err)
		}
	}
}

func TestDemoCommand(t *testing.T) {
	var out bytes.Buffer
	if err := run(t.Context(), []string{"demo", "--duration", "1s"}, &out); err != nil ||
		!strings.Contains(out.String(), "lost=0 duplicates=0") {
		t.Errorf("%v\n%s", err, out.String())
	}
}

// startServing starts the program by an operator's file, and returns the addresses for clients and
// for status.
func startServing(t *testing.T, path string) (cmd *exec.Cmd, addr, members string) {
	t.Helper()
	cmd = exec.Command(os.Args[0], "serve", path)
	cmd.Env = append(os.Environ(), "PUMICECROFT_AS_PROGRAM=1")
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	listens := regexp.MustCompile(`(serving|members) .*listen=(\S+)`)
	lines := bufio.NewScanner(log)
	for addr == "" && lines.Scan() {
		if m := listens.FindStringSubmatch(lines.Text()); m != nil && m[1] == "serving" {
			addr = m[2]
		} else if m != nil {
			members = m[2]
		}
	}
	if addr == "" {
		t.Fatal("it did not say where it listens")
	}
	go io.Copy(io.Discard, log)
	return cmd, addr, members
}

// The daemon serves by an operator's file, and ends without an error.
func TestServeFile(t *testing.T) {
	cmd, addr, _ := startServing(t, writeFile(t, operatorFile))
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

// With Consul as its source a gateway serves the backends in the catalog, tells what it knows of
// them, registers itself, and is deregistered at its end.
func TestServeWithConsul(t *testing.T) {
	agent, err := fakes.StartConsul(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	backend, err := fakes.StartBackend(fakes.BackendConfig{Name: "b", Ledger: &fakes.Ledger{},
		IdempotentByKey: func(string) bool { return false }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(backend.Kill)
	host, port, _ := net.SplitHostPort(backend.Addr())
	number, _ := strconv.Atoi(port)
	agent.Register(fakes.Instance{Node: "n", NodeAddr: host, ID: "b", Service: "web", Port: number,
		Checks: []fakes.Check{{ID: "up", Status: "passing"}}},
		fakes.Instance{Node: "n", NodeAddr: host, ID: "c", Service: "web", Port: 1,
			Checks: []fakes.Check{{ID: "up", Status: "critical", Output: "no \x1b[31mroute"}}})
	cmd, addr, at := startServing(t, writeFile(t, fmt.Sprintf(`listen = "127.0.0.1:0"
members = "127.0.0.1:0"
[[class]]
name = "look"
[[plan]]
name = "shop"
[consul]
address = %q
[[consul.service]]
name = "web"
[consul.register]
name = "doors"
address = "127.0.0.1:8080"
notice = "10ms"
`, agent.Addr())))
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	ask := fakes.Request{ID: 1, Class: "look", Customer: 1, Plan: "shop", Timeout: 5 * time.Second}
	for reply := ask.Do(t.Context(), transport, addr); reply.Status != 200; reply = ask.Do(t.Context(), transport,
		addr) {
		if ask.ID++; ask.ID > 1000 || reply.Status != 503 {
			t.Fatalf("%+v", reply)
		}
		time.Sleep(10 * time.Millisecond)
	}
	var out bytes.Buffer
	if err := run(t.Context(), []string{"members", writeFile(t, fmt.Sprintf("members = %q\n", at)+operatorFile)},
		&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"NODE +ADDRESS +STATE +SINCE +SOURCE +WHY\n", `n/b +` + backend.Addr() +
		` +ready +20.* consul:web +consul:web says that it is ready\n`,
		`n/c +127.0.0.1:1 +draining +20.*consul:web says that it takes nothing new; critical: up: no  \[31mroute\n`} {
		if !regexp.MustCompile(want).MatchString(out.String()) {
			t.Errorf("%s\nlacks %s", out.String(), want)
		}
	}
	for end := time.Now().Add(20 * time.Second); agent.Instances("doors")["agent/doors"] != "passing"; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the door stands there as %v", agent.Instances("doors"))
		}
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("it ended with %v", err)
	}
	if left := agent.Instances("doors"); len(left) > 0 {
		t.Errorf("after its end the door stands there: %v", left)
	}
}

// A file's own backends and the platform's discovery are sources side by side.
func TestServeWithDiscovery(t *testing.T) {
	discovery, err := fakes.StartDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	discovery.Set(platform.Endpoint{Name: "a", Addr: "127.0.0.1:7", Zone: "z", Health: "Terminating", Weight: 1},
		platform.Endpoint{Name: "d", Addr: "127.0.0.1:8", Health: "Ready", Weight: 1})
	text := operatorFile + fmt.Sprintf("[discovery]\naddress = %q\n", discovery.Addr())
	cmd, _, at := startServing(t, writeFile(t, "members = \"127.0.0.1:0\"\nsources = [\"file\", \"discovery\"]\n"+text))
	asked := writeFile(t, fmt.Sprintf("members = %q\n", at)+text)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		var out bytes.Buffer
		if err := run(t.Context(), []string{"members", asked}, &out); err != nil {
			t.Fatal(err)
		}
		// The file's address, discovery's word that it drains, and a node that discovery alone knows.
		if regexp.MustCompile(`\na +127.0.0.1:1 +draining +20.* discovery +discovery says that it takes nothing new\nd +127.0.0.1:8 +ready +20.* discovery +`).MatchString(out.String()) {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("it believes\n%s", out.String())
		}
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("it ended with %v", err)
	}
}

// The log is text or JSON, each line names the gateway, and lines below the level are not written.
func TestLogFormats(t *testing.T) {
	path := writeFile(t, operatorFile)
	for _, c := range []struct {
		args []string
		want string // of the first line
	}{
		{[]string{"--log-format", "json"}, `"msg":"serving","door":0`},
		{nil, `level=INFO msg=serving door=0`},
	} {
		cmd := exec.Command(os.Args[0], append([]string{"serve", path}, c.args...)...)
		cmd.Env = append(os.Environ(), "PUMICECROFT_AS_PROGRAM=1")
		log, err := cmd.StderrPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(log)
		lines.Scan()
		if line := lines.Text(); !strings.Contains(line, c.want) {
			t.Errorf("%q: %q, want %q", c.args, line, c.want)
		}
		cmd.Process.Signal(syscall.SIGTERM)
		for lines.Scan() {
		}
		if err := cmd.Wait(); err != nil {
			t.Errorf("%q: %v", c.args, err)
		}
	}
	usual := slog.Default()
	defer slog.SetDefault(usual)
	(&commandLine{LogFormat: "json", LogLevel: "error"}).setUpLogging()
	if slog.Default().Enabled(t.Context(), slog.LevelWarn) || !slog.Default().Enabled(t.Context(), slog.LevelError) {
		t.Error("--log-level error says warnings, or no errors")
	}
}

// The state command prints what a gateway would restore, with its age and what becomes of it. A
// snapshot of another gateway is not believed.
func TestState(t *testing.T) {
	dir := t.TempDir()
	tell := func(args ...string) string {
		t.Helper()
		var out bytes.Buffer
		if err := run(t.Context(), append([]string{"state", dir}, args...), &out); err != nil {
			t.Fatal(err)
		}
		return out.String()
	}
	if got := tell(); !strings.Contains(got, "nothing is known") {
		t.Errorf("of an empty directory: %s", got)
	}
	text := "listen = \"127.0.0.1:0\"\nstate_dir = \"" + dir + "\"\n[door]\nnumber = 1\nof = %d\n[[class]]\nname = \"look\"\n[[plan]]\nname = \"shop\"\nrate = 1\nburst = 5\n[[backend]]\nname = \"b\"\naddress = \"127.0.0.1:1\"\n"
	path := writeFile(t, fmt.Sprintf(text, 2))
	cmd, _, _ := startServing(t, path)
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
	if got := tell("--file", path); !strings.Contains(got, "door 1") ||
		!strings.Contains(got, "recent but incomplete") {
		t.Errorf("of the door that kept it: %s", got)
	}
	if got := tell("--file", writeFile(t, fmt.Sprintf(text, 3))); !strings.Contains(got,
		"another gateway: gateway 1 of 2, this is gateway 1 of 3") {
		t.Errorf("of another count of doors: %s", got)
	}
	if got := tell("--file", writeFile(t, strings.Replace(fmt.Sprintf(text, 2), "rate = 1", "rate = 2",
		1))); !strings.Contains(got, "other settings") {
		t.Errorf("under other settings: %s", got)
	}
	if err := os.WriteFile(snapshotfile.Path(dir, 1), []byte("noise"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := tell(); !strings.Contains(got, "not believed: recovery: snapshot is torn") {
		t.Errorf("of noise: %s", got)
	}
}
