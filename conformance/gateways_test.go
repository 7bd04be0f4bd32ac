package conformance

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-chi/chi/v5"
	chimiddleware "github.com/go-chi/chi/v5/middleware"

	"pumicecroft"
	"pumicecroft/idempotency"
	"pumicecroft/internal/daemon"
	"pumicecroft/internal/operatorconfig"
	"pumicecroft/internal/platform"
	pumicegin "pumicecroft/middleware/gin"
	"pumicecroft/middleware/nethttp"
)

// TestMain lets the test's binary be the daemon, as a process.
func TestMain(m *testing.M) {
	path, file := os.Getenv("PUMICECROFT_AS_DAEMON"), os.Getenv("PUMICECROFT_BY_FILE")
	if path != "" || file != "" {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		err := serve(ctx, path, file)
		stop()
		if err != nil {
			slog.Error("the daemon ended", "err", err)
			os.Exit(1)
		}
		return
	}
	slog.SetDefault(slog.New(slog.DiscardHandler))
	gin.SetMode(gin.ReleaseMode)
	if err := flag.Set("test.parallel", "16"); err != nil { // the cases mostly wait
		panic(err)
	}
	os.Exit(m.Run())
}

// serve runs the daemon, by the platform's configuration or an operator's file.
func serve(ctx context.Context, path, file string) error {
	if path != "" {
		return daemon.Serve(ctx, path, nil)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	f, err := parseFile(string(text))
	if err != nil {
		return err
	}
	return daemon.ServeFile(ctx, f, nil, nil)
}

func parseFile(text string) (operatorconfig.File, error) { return operatorconfig.Parse([]byte(text)) }

// process is the daemon as a process.
type process struct {
	cmd     *exec.Cmd
	addr    string
	members string // where it tells of its members
	grpc    string // where it takes calls over gRPC
	once    sync.Once
	err     error
}

var listens = regexp.MustCompile(`(serving|members|grpc) .*listen=(\S+)`)

func startProcess(t testing.TB, config string) Gateway {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	return startAs(t, "PUMICECROFT_AS_DAEMON="+path)
}

// startAs starts this binary as the daemon that a variable names.
func startAs(t testing.TB, variable string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(os.Args[0])}
	p.cmd.Env = append(os.Environ(), variable)
	log, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.cmd.Process.Kill()
		_ = p.Stop()
	})
	var said strings.Builder
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		said.WriteString(lines.Text() + "\n")
		if m := listens.FindStringSubmatch(lines.Text()); m != nil && m[1] == "serving" {
			p.addr = m[2]
			break
		} else if m != nil && m[1] == "grpc" {
			p.grpc = m[2]
		} else if m != nil {
			p.members = m[2]
		}
	}
	if p.addr == "" {
		t.Fatalf("the daemon did not say where it listens:\n%s", said.String())
	}
	go io.Copy(io.Discard, log)
	return p
}

func (p *process) Addr() string { return p.addr }

func (p *process) Stop() error {
	p.once.Do(func() {
		p.cmd.Process.Signal(syscall.SIGTERM)
		p.err = p.cmd.Wait()
	})
	return p.err
}

// hostedGateway is a Gateway in a host's server in this process.
type hostedGateway struct {
	gateway *pumicecroft.Gateway
	server  *http.Server
	addr    string
	once    sync.Once
	err     error
}

// startInHost returns a Starter of gateways behind a host's handler.
func startInHost(handler func(*pumicecroft.Gateway) http.Handler) Starter {
	return startInHostWith(handler, nil)
}

// startWithKeys is startInHost with idempotency keys, retained on disk.
func startWithKeys(handler func(*pumicecroft.Gateway) http.Handler) Starter {
	s := startInHostWith(handler, func(t testing.TB, c *pumicecroft.Config) {
		c.Idempotency, c.IdempotencyJournal = &idempotency.Limits{}, &pumicecroft.IdempotencyJournal{Dir: t.TempDir()}
	})
	s.IdempotencyKeys = true
	return s
}

func startInHostWith(handler func(*pumicecroft.Gateway) http.Handler,
	change func(testing.TB, *pumicecroft.Config)) Starter {
	return Starter{Start: func(t testing.TB, config string) Gateway {
		t.Helper()
		c, err := platform.ParseConfig([]byte(config))
		if err != nil {
			t.Fatal(err)
		}
		dc := daemon.GatewayConfig(c)
		if change != nil {
			change(t, &dc)
		}
		gateway, err := pumicecroft.New(dc,
			pumicecroft.WithSource(&platform.Discovery{Addr: c.Discovery, FromVersion: c.Known.Seq}))
		if err != nil {
			t.Fatal(err)
		}
		return startHost(t, gateway, handler(gateway))
	}}
}

// startHost serves a gateway behind a handler.
func startHost(t testing.TB, gateway *pumicecroft.Gateway, handler http.Handler) *hostedGateway {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &hostedGateway{gateway: gateway, server: &http.Server{Handler: handler}, addr: ln.Addr().String()}
	go h.server.Serve(ln)
	t.Cleanup(func() { _ = h.Stop() })
	return h
}

func (h *hostedGateway) Addr() string { return h.addr }

func (h *hostedGateway) Stop() error {
	h.once.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		h.err = errors.Join(h.server.Shutdown(ctx), h.gateway.Close(ctx))
	})
	return h.err
}

func notFound(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }

// starters are all kinds of gateways that the suite runs against.
var starters = map[string]Starter{
	"daemon":              {Start: startProcess},
	"daemon with Consul":  {Start: daemonWithConsul},
	"library with Consul": {Start: libraryWithConsul},
	"daemon with HTTP":    {Start: daemonWithHTTP, PassesBackendErrors: true},
	"ordinary HTTP":       {Start: libraryWithHTTP, PassesBackendErrors: true},
	"daemon with gRPC":    {Start: daemonWithGRPC, GRPC: true},
	"gRPC":                {Start: overGRPC, GRPC: true},
	"library with keys":   startWithKeys(func(d *pumicecroft.Gateway) http.Handler { return d }),
	"nethttp with keys": startWithKeys(func(d *pumicecroft.Gateway) http.Handler {
		return nethttp.New(d)(http.HandlerFunc(notFound))
	}),
	"library": startInHost(func(d *pumicecroft.Gateway) http.Handler { return d }),
	"nethttp under chi": startInHost(func(d *pumicecroft.Gateway) http.Handler {
		r := chi.NewRouter()
		r.Use(chimiddleware.RequestID, chimiddleware.Recoverer, chimiddleware.Timeout(time.Minute), nethttp.New(d))
		r.NotFound(notFound)
		r.Get("/own", notFound) // without a route of its own chi runs no middleware
		return r
	}),
	"gin": startInHost(func(d *pumicecroft.Gateway) http.Handler {
		e := gin.New()
		e.Use(gin.Recovery(), pumicegin.New(d))
		e.NoRoute(func(c *gin.Context) { c.Status(http.StatusTeapot) })
		return e
	}),
}

// withoutCase returns a transcript without one case.
func withoutCase(transcript, name string) string {
	from := strings.Index(transcript, name+"\n")
	to := from + len(name) + 1
	for strings.HasPrefix(transcript[to:], "  ") {
		to += strings.IndexByte(transcript[to:], '\n') + 1
	}
	return transcript[:from] + transcript[to:]
}

// Every kind of gateway obeys the rules, and all of them give the same responses and the same
// counts.
func TestConformance(t *testing.T) {
	var mu sync.Mutex
	told := map[string]string{}
	t.Run("fronts", func(t *testing.T) {
		for name, start := range starters {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				tr := Run(t, start).String()
				mu.Lock()
				told[name] = tr
				mu.Unlock()
			})
		}
	})
	if t.Failed() || flag.Lookup("test.run").Value.String() != "" { // one of the cases alone has nothing to compare
		return
	}
	want := told["daemon"]
	if want == "" || len(told) != len(starters) {
		t.Fatalf("%d fronts told something", len(told))
	}
	for name, got := range told {
		want := want
		// ids that come again have answers of their own there, which the case looks at
		if starters[name].IdempotencyKeys {
			want = withoutCase(want, "replays")
		}
		if starters[name].PassesBackendErrors {
			want, got = withoutCase(want, "malformed"), withoutCase(got, "malformed")
			name := ""
			// a backend's own error is its own: the daemon says 502, or 503 of what may be repeated
			for line := range strings.Lines(got) {
				if !strings.HasPrefix(line, " ") {
					name = strings.TrimSpace(line)
				} else if strings.Contains(line, "failed 500") {
					want, got = withoutCase(want, name), withoutCase(got, name)
				}
			}
		}
		if got != want {
			t.Errorf("%s differs from the daemon:\n%s", name, diff(want, got))
		}
	}
	compareWithWorld(t, want)
	t.Logf("all fronts:\n%s", want)
}

// diff returns the lines that differ.
func diff(want, got string) string {
	a, b := strings.Split(want, "\n"), strings.Split(got, "\n")
	var out strings.Builder
	for i := range max(len(a), len(b)) {
		x, y := "", ""
		if i < len(a) {
			x = a[i]
		}
		if i < len(b) {
			y = b[i]
		}
		if x != y {
			out.WriteString("daemon: " + x + "\nthis:   " + y + "\n")
		}
	}
	return out.String()
}
