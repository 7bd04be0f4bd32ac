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

func TestCheckCommand(t *testing.T) {
	var out bytes.Buffer
	if err := run(t.Context(), []string{"check", "../../deploy/pumicecroft.toml"}, &out); err != nil ||
		!strings.Contains(out.String(), "is valid: gateway 0 of 1, 3 classes, 2 plans, 2 backends, sources file") {
		t.Errorf("check of the shipped file: error %v, output %q", err, out.String())
	}
	invalid := writeFile(t, strings.NewReplacer(`"look"`, `""`, `name = "shop"`, `nmae = "shop"`).Replace(operatorFile))
	err := run(t.Context(), []string{"check", invalid}, &out)
	for _, want := range []string{"line 3: class[0].name: it is empty", "line 4: plan[0].name: it is missing",
		"line 5: plan[0].nmae: no such key"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("check of an invalid file: error %v, want it to contain %q", err, want)
		}
	}
}

// An invalid command line has exit code 2 and a message that helps to correct it. Any other failure has
// exit code 1.
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
		{"lab figures", 0, "higher is better"},
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
		{"load " + withMaxLag(t, time.Minute) + " 127.0.0.1:1 --duration 50ms --rate 200", 0, "dial failed"},
		// No load generator sends a request each microsecond without a lag.
		{"load " + withMaxLag(t, time.Microsecond) + " 127.0.0.1:1 --duration 5ms --rate 1000000", 1, "(most_lag)"},
	} {
		var out bytes.Buffer
		err := run(t.Context(), strings.Fields(c.args), &out)
		if got := out.String() + fmt.Sprint(err); exitCode(err) != c.code || !strings.Contains(got, c.want) {
			t.Errorf("%q: exit code %d, want %d; output and error %q, want them to contain %q",
				c.args, exitCode(err), c.code, got, c.want)
		}
	}
	for _, args := range [][]string{{"members", writeFile(t, operatorFile)},
		{"members", writeFile(t, "members = \"127.0.0.1:1\"\n"+operatorFile)}, {"serve", writeFile(t, "listen = 3")}} {
		if err := run(t.Context(), args, io.Discard); exitCode(err) != 1 {
			t.Errorf("%q: error %v with exit code %d, want exit code 1", args, err, exitCode(err))
		}
	}
}

// withMaxLag returns the path of a copy of the shipped load plan with another limit for the sending lag. With its own
// 10 ms the exit code of a run of 50 ms depends on how long the machine pauses the test's process.
func withMaxLag(t *testing.T, limit time.Duration) string {
	t.Helper()
	plan, err := os.ReadFile("../../lab/load.toml")
	if err != nil {
		t.Fatal(err)
	}
	return writeFile(t, fmt.Sprintf("most_lag = %q\n%s", limit, plan))
}

func TestDemoCommand(t *testing.T) {
	var out bytes.Buffer
	if err := run(t.Context(), []string{"demo", "--duration", "1s"}, &out); err != nil ||
		!strings.Contains(out.String(), "lost=0 duplicates=0") {
		t.Errorf("demo: error %v, want output with lost=0 duplicates=0, got\n%s", err, out.String())
	}
}

// startDaemon runs "pumicecroft serve" with an operator's file as a process. It returns the address for
// clients and, if the file has one, the status address.
func startDaemon(t *testing.T, path string) (cmd *exec.Cmd, addr, statusAddr string) {
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
			statusAddr = m[2]
		}
	}
	if addr == "" {
		t.Fatal("the daemon ended without a log line that has its listen address")
	}
	go io.Copy(io.Discard, log)
	return cmd, addr, statusAddr
}

// The daemon serves with an operator's file, and exits without an error on SIGTERM.
func TestServeFile(t *testing.T) {
	cmd, addr, _ := startDaemon(t, writeFile(t, operatorFile))
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
	if res.StatusCode != 503 || res.Header.Get("Retry-After") == "" { // nothing listens at the backend's address
		t.Errorf("got %s with Retry-After %q, want 503 with a Retry-After", res.Status, res.Header.Get("Retry-After"))
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("the daemon ended with %v", err)
	}
}

// With Consul as its source, a gateway serves the backends in the catalog and reports their status. It
// registers itself at the start, and is deregistered at its end.
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
	host, portText, _ := net.SplitHostPort(backend.Addr())
	port, _ := strconv.Atoi(portText)
	agent.Register(fakes.ConsulInstance{Node: "n", NodeAddr: host, ID: "b", Service: "web", Port: port,
		Checks: []fakes.ConsulCheck{{ID: "up", Status: "passing"}}},
		fakes.ConsulInstance{Node: "n", NodeAddr: host, ID: "c", Service: "web", Port: 1,
			Checks: []fakes.ConsulCheck{{ID: "up", Status: "critical", Output: "no \x1b[31mroute"}}})
	cmd, addr, statusAddr := startDaemon(t, writeFile(t, fmt.Sprintf(`listen = "127.0.0.1:0"
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
	request := fakes.Request{ID: 1, Class: "look", Customer: 1, Plan: "shop", Timeout: 5 * time.Second}
	for reply := request.Do(t.Context(), transport, addr); reply.Status != 200; reply = request.Do(t.Context(), transport,
		addr) {
		if request.ID++; request.ID > 1000 || reply.Status != 503 {
			t.Fatalf("request %d: got %+v, want status 503 until the backend is known, and then 200", request.ID, reply)
		}
		time.Sleep(10 * time.Millisecond)
	}
	var out bytes.Buffer
	if err := run(t.Context(), []string{"members", writeFile(t, fmt.Sprintf("members = %q\n", statusAddr)+operatorFile)},
		&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"NODE +ADDRESS +STATE +SINCE +SOURCE +WHY\n", `n/b +` + backend.Addr() +
		` +ready +20.* consul:web +consul:web says that it is ready\n`,
		`n/c +127.0.0.1:1 +draining +20.*consul:web says that it takes nothing new; critical: up: no  \[31mroute\n`} {
		if !regexp.MustCompile(want).MatchString(out.String()) {
			t.Errorf("members printed\n%s\nwant it to match %s", out.String(), want)
		}
	}
	for end := time.Now().Add(20 * time.Second); agent.Instances("doors")["agent/doors"] != "passing"; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the catalog has gateways %v, want agent/doors as passing", agent.Instances("doors"))
		}
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("the daemon ended with %v", err)
	}
	if left := agent.Instances("doors"); len(left) > 0 {
		t.Errorf("after the gateway's end the catalog has %v, want no gateway", left)
	}
}

// The backends that a file lists and the platform's discovery can be sources of the same gateway.
func TestServeWithDiscovery(t *testing.T) {
	discovery, err := fakes.StartDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	discovery.Set(platform.Endpoint{Name: "a", Addr: "127.0.0.1:7", Zone: "z", Health: "Terminating", Weight: 1},
		platform.Endpoint{Name: "d", Addr: "127.0.0.1:8", Health: "Ready", Weight: 1})
	text := operatorFile + fmt.Sprintf("[discovery]\naddress = %q\n", discovery.Addr())
	cmd, _, statusAddr := startDaemon(t,
		writeFile(t, "members = \"127.0.0.1:0\"\nsources = [\"file\", \"discovery\"]\n"+text))
	membersFile := writeFile(t, fmt.Sprintf("members = %q\n", statusAddr)+text)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		var out bytes.Buffer
		if err := run(t.Context(), []string{"members", membersFile}, &out); err != nil {
			t.Fatal(err)
		}
		// Node a has its address from the file and its draining state from discovery; only discovery has node d.
		if regexp.MustCompile(`\na +127.0.0.1:1 +draining +20.* discovery +discovery says that it takes nothing new\nd +127.0.0.1:8 +ready +20.* discovery +`).MatchString(out.String()) {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("members printed\n%s\nwant node a draining and node d ready", out.String())
		}
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("the daemon ended with %v", err)
	}
}

// The log is text or JSON, each line has the number of the gateway, and lines below the level are not
// written.
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
			t.Errorf("%q: the first log line is %q, want it to contain %q", c.args, line, c.want)
		}
		cmd.Process.Signal(syscall.SIGTERM)
		for lines.Scan() {
		}
		if err := cmd.Wait(); err != nil {
			t.Errorf("%q: the daemon ended with %v", c.args, err)
		}
	}
	previous := slog.Default()
	defer slog.SetDefault(previous)
	(&commandLine{LogFormat: "json", LogLevel: "error"}).setUpLogging()
	if slog.Default().Enabled(t.Context(), slog.LevelWarn) || !slog.Default().Enabled(t.Context(), slog.LevelError) {
		t.Errorf("with --log-level error, warnings enabled: %v, want false; errors enabled: %v, want true",
			slog.Default().Enabled(t.Context(), slog.LevelWarn), slog.Default().Enabled(t.Context(), slog.LevelError))
	}
}

// The state command prints what a gateway would restore, its age and how it would be used. A snapshot
// of another gateway, with other settings or with invalid content is not used.
func TestStateCommand(t *testing.T) {
	dir := t.TempDir()
	printState := func(args ...string) string {
		t.Helper()
		var out bytes.Buffer
		if err := run(t.Context(), append([]string{"state", dir}, args...), &out); err != nil {
			t.Fatal(err)
		}
		return out.String()
	}
	if got := printState(); !strings.Contains(got, "nothing is known") {
		t.Errorf("state of an empty directory: got\n%s\nwant it to contain %q", got, "nothing is known")
	}
	text := "listen = \"127.0.0.1:0\"\nstate_dir = \"" + dir + "\"\n[door]\nnumber = 1\nof = %d\n[[class]]\nname = \"look\"\n[[plan]]\nname = \"shop\"\nrate = 1\nburst = 5\n[[backend]]\nname = \"b\"\naddress = \"127.0.0.1:1\"\n"
	path := writeFile(t, fmt.Sprintf(text, 2))
	cmd, _, _ := startDaemon(t, path)
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
	if got := printState("--file", path); !strings.Contains(got, "door 1") ||
		!strings.Contains(got, "recent but incomplete") {
		t.Errorf("state for the gateway that saved it: got\n%s\nwant door 1, recent but incomplete", got)
	}
	if got := printState("--file", writeFile(t, fmt.Sprintf(text, 3))); !strings.Contains(got,
		"another gateway: gateway 1 of 2, this is gateway 1 of 3") {
		t.Errorf("state for a gateway of 3 instead of 2: got\n%s\nwant it to name another gateway", got)
	}
	if got := printState("--file", writeFile(t, strings.Replace(fmt.Sprintf(text, 2), "rate = 1", "rate = 2",
		1))); !strings.Contains(got, "other settings") {
		t.Errorf("state for other settings: got\n%s\nwant it to contain %q", got, "other settings")
	}
	if err := os.WriteFile(snapshotfile.Path(dir, 1), []byte("noise"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := printState(); !strings.Contains(got, "not believed: recovery: snapshot is torn") {
		t.Errorf("state with an invalid snapshot: got\n%s\nwant it to be torn", got)
	}
}
