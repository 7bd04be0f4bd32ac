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

// TestMain runs the daemon instead of the tests if startDaemon has started this binary.
func TestMain(m *testing.M) {
	path, file := os.Getenv("PUMICECROFT_AS_DAEMON"), os.Getenv("PUMICECROFT_BY_FILE")
	if path != "" || file != "" {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		err := runDaemon(ctx, path, file)
		stop()
		if err != nil {
			slog.Error("daemon failed", "err", err)
			os.Exit(1)
		}
		return
	}
	slog.SetDefault(slog.New(slog.DiscardHandler))
	gin.SetMode(gin.ReleaseMode)
	if err := flag.Set("test.parallel", "16"); err != nil { // the cases spend most of their time waiting
		panic(err)
	}
	os.Exit(m.Run())
}

// runDaemon runs the daemon until ctx ends. path is the file of a platform's configuration; if it is
// empty, file is an operator's file.
func runDaemon(ctx context.Context, path, file string) error {
	if path != "" {
		return daemon.Serve(ctx, path, nil)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	f, err := parseOperatorFile(string(text))
	if err != nil {
		return err
	}
	return daemon.ServeFile(ctx, f, nil, nil)
}

func parseOperatorFile(text string) (operatorconfig.File, error) {
	return operatorconfig.Parse([]byte(text))
}

// process is the daemon as a process of its own.
type process struct {
	cmd         *exec.Cmd
	addr        string // where clients reach it
	membersAddr string // where it serves the status of its backends
	grpcAddr    string // where it accepts gRPC calls
	stopOnce    sync.Once
	stopErr     error
}

// listenLine matches the log lines in which the daemon reports its addresses.
var listenLine = regexp.MustCompile(`(serving|members|grpc) .*listen=(\S+)`)

// startProcess starts the daemon with a platform's configuration.
func startProcess(t testing.TB, config string) Gateway {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	return startDaemon(t, "PUMICECROFT_AS_DAEMON="+path)
}

// startDaemon starts this binary as the daemon, with an environment variable that TestMain reads.
func startDaemon(t testing.TB, variable string) *process {
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
	var output strings.Builder
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		output.WriteString(lines.Text() + "\n")
		if m := listenLine.FindStringSubmatch(lines.Text()); m != nil && m[1] == "serving" {
			p.addr = m[2]
			break
		} else if m != nil && m[1] == "grpc" {
			p.grpcAddr = m[2]
		} else if m != nil {
			p.membersAddr = m[2]
		}
	}
	if p.addr == "" {
		t.Fatalf("the daemon's log has no address for clients:\n%s", output.String())
	}
	go io.Copy(io.Discard, log)
	return p
}

func (p *process) Addr() string { return p.addr }

func (p *process) Stop() error {
	p.stopOnce.Do(func() {
		p.cmd.Process.Signal(syscall.SIGTERM)
		p.stopErr = p.cmd.Wait()
	})
	return p.stopErr
}

// hostedGateway is a Gateway behind a host's HTTP server in this process.
type hostedGateway struct {
	gateway  *pumicecroft.Gateway
	server   *http.Server
	addr     string
	stopOnce sync.Once
	stopErr  error
}

// startInHost returns a Starter that serves each gateway behind a host's handler.
func startInHost(handler func(*pumicecroft.Gateway) http.Handler) Starter {
	return startInHostWith(handler, nil)
}

// startInHostWithKeys is startInHost with idempotency keys, whose records are kept on disk.
func startInHostWithKeys(handler func(*pumicecroft.Gateway) http.Handler) Starter {
	s := startInHostWith(handler, func(t testing.TB, c *pumicecroft.Config) {
		c.Idempotency, c.IdempotencyJournal = &idempotency.Limits{}, &pumicecroft.IdempotencyJournal{Dir: t.TempDir()}
	})
	s.IdempotencyKeys = true
	return s
}

// startInHostWith is startInHost with a change of the configuration, which may be nil.
func startInHostWith(handler func(*pumicecroft.Gateway) http.Handler,
	change func(testing.TB, *pumicecroft.Config)) Starter {
	return Starter{Start: func(t testing.TB, config string) Gateway {
		t.Helper()
		c, err := platform.ParseConfig([]byte(config))
		if err != nil {
			t.Fatal(err)
		}
		gatewayConfig := daemon.GatewayConfig(c)
		if change != nil {
			change(t, &gatewayConfig)
		}
		gateway, err := pumicecroft.New(gatewayConfig,
			pumicecroft.WithSource(&platform.Discovery{Addr: c.Discovery, FromVersion: c.InitialEndpoints.Seq}))
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
	h.stopOnce.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		h.stopErr = errors.Join(h.server.Shutdown(ctx), h.gateway.Close(ctx))
	})
	return h.stopErr
}

// hostHandler is a host's own handler. Its status shows that a request did not go through the gateway.
func hostHandler(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }

// starters holds all kinds of gateways that the suite runs against.
var starters = map[string]Starter{
	"daemon":              {Start: startProcess},
	"daemon with Consul":  {Start: daemonWithConsul},
	"library with Consul": {Start: libraryWithConsul},
	"daemon with HTTP":    {Start: daemonWithHTTP, PassesBackendErrors: true},
	"library with HTTP":   {Start: libraryWithHTTP, PassesBackendErrors: true},
	"daemon with gRPC":    {Start: daemonWithGRPC, GRPC: true},
	"library with gRPC":   {Start: libraryWithGRPC, GRPC: true},
	"library with keys":   startInHostWithKeys(func(gateway *pumicecroft.Gateway) http.Handler { return gateway }),
	"nethttp with keys": startInHostWithKeys(func(gateway *pumicecroft.Gateway) http.Handler {
		return nethttp.New(gateway)(http.HandlerFunc(hostHandler))
	}),
	"library": startInHost(func(gateway *pumicecroft.Gateway) http.Handler { return gateway }),
	"nethttp under chi": startInHost(func(gateway *pumicecroft.Gateway) http.Handler {
		r := chi.NewRouter()
		r.Use(chimiddleware.RequestID, chimiddleware.Recoverer, chimiddleware.Timeout(time.Minute), nethttp.New(gateway))
		r.NotFound(hostHandler)
		r.Get("/own", hostHandler) // chi runs no middleware on a router without routes
		return r
	}),
	"gin": startInHost(func(gateway *pumicecroft.Gateway) http.Handler {
		e := gin.New()
		e.Use(gin.Recovery(), pumicegin.New(gateway))
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

// Every kind of gateway obeys the rules, and all of them have the same transcript, which is also what
// the simulation predicts.
func TestConformance(t *testing.T) {
	var mu sync.Mutex
	transcripts := map[string]string{}
	t.Run("gateways", func(t *testing.T) {
		for name, start := range starters {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				transcript := Run(t, start).String()
				mu.Lock()
				transcripts[name] = transcript
				mu.Unlock()
			})
		}
	})
	if t.Failed() || flag.Lookup("test.run").Value.String() != "" { // a selection of cases has no whole transcript
		return
	}
	want := transcripts["daemon"]
	if want == "" || len(transcripts) != len(starters) {
		t.Fatalf("%d transcripts, want %d, among them the daemon's", len(transcripts), len(starters))
	}
	for name, got := range transcripts {
		want := want
		// With idempotency keys, repeated IDs get other responses, which testReplays itself checks.
		if starters[name].IdempotencyKeys {
			want = withoutCase(want, "replays")
		}
		if starters[name].PassesBackendErrors {
			want, got = withoutCase(want, "malformed"), withoutCase(got, "malformed")
			name := ""
			// Where a backend's 500 is forwarded, the daemon responds 502, or 503 if the request may be retried.
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
	compareWithSimulation(t, want)
	t.Logf("transcript of all gateways:\n%s", want)
}

// diff returns the lines that differ between the daemon's transcript and another gateway's.
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
