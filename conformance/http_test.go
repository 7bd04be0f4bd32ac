package conformance

import (
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"testing"

	"pumicecroft"
	"pumicecroft/httpproxy"
	"pumicecroft/internal/fakes"
	"pumicecroft/internal/httpproxyconfig"
	"pumicecroft/internal/platform"
	"pumicecroft/membership"
)

// webFile returns an operator's file by which ordinary HTTP does what the platform's dialect does.
func webFile(c platform.Config) string {
	var b strings.Builder
	b.WriteString(fileWith(c, ""))
	fmt.Fprintf(&b, "[[service]]\nname = \"desk\"\nbackend_connections = %d\nconnect_timeout = %q\nidle_timeout = %q\n", c.Limits.BackendConns(), c.Conns.ConnectTimeout, c.Conns.IdleTimeout)
	fmt.Fprintf(&b, "[discovery]\naddress = %q\nservice = \"desk\"\n", c.Discovery)
	b.WriteString(`[http]
trusted = ["127.0.0.1"]
timeout_header = "Request-Timeout"
left_header = "Request-Timeout"
id_header = "Request-Id"
strict = true
[[identity]]
kind = "header"
customer = "X-Api-Key"
plan_header = "X-Tier"
units_header = "X-Call-Terms"
hex = true
[[route]]
refuse = 400
`)
	for _, k := range c.Settings.Classes {
		method := "POST"
		if k.Idempotency == 0 {
			method = "GET"
		}
		fmt.Fprintf(&b, "[[route]]\npath = \"/%[1]s\"\nmethods = [%[2]q]\nheaders = [\"Request-Class=%[1]s\"]\nservice = \"desk\"\nclass = %[1]q\nmax_body = %[3]d\n", k.Name, method, pumicecroft.MaxBody)
	}
	return b.String()
}

// daemonWithHTTP starts the daemon by an operator's file, for ordinary HTTP.
func daemonWithHTTP(t testing.TB, config string) Gateway {
	t.Helper()
	c, err := platform.ParseConfig([]byte(config))
	if err != nil {
		t.Fatal(err)
	}
	return startByFile(t, webFile(c), c)
}

// libraryWithHTTP starts an httpproxy.Proxy in a host's server in this process.
func libraryWithHTTP(t testing.TB, config string) Gateway {
	t.Helper()
	c, err := platform.ParseConfig([]byte(config))
	if err != nil {
		t.Fatal(err)
	}
	f, err := parseFile(webFile(c))
	if err != nil {
		t.Fatal(err)
	}
	dc := f.Gateway
	dc.InitialEndpoints = c.Known.Membership()
	for i := range dc.InitialEndpoints.Nodes {
		dc.InitialEndpoints.Nodes[i].Protocol = httpproxy.Protocol("desk")
	}
	s, err := httpproxyconfig.Service(f.HTTP.Services[0], os.ReadFile, slog.Default())
	if err != nil {
		t.Fatal(err)
	}
	gateway, err := pumicecroft.New(dc, httpproxy.WithService(s))
	if err != nil {
		t.Fatal(err)
	}
	followDiscovery(t, gateway, c, httpproxy.Protocol("desk"))
	fc := f.HTTP.Proxy
	if fc.Rules, err = httpproxyconfig.Rules(&f, os.ReadFile); err != nil {
		t.Fatal(err)
	}
	front, err := httpproxy.New(gateway, fc)
	if err != nil {
		t.Fatal(err)
	}
	return startHost(t, gateway, front)
}

// followDiscovery keeps a gateway's backends equal to discovery's, with the protocol that they
// speak.
func followDiscovery(t testing.TB, gateway *pumicecroft.Gateway, c platform.Config, protocol string) {
	d := &platform.Discovery{Addr: c.Discovery, FromVersion: c.Known.Seq}
	go d.Run(t.Context(), func(l membership.Update) {
		for i := range l.Nodes {
			l.Nodes[i].Protocol = protocol
		}
		gateway.Update(l)
	})
}

// One customer asks two services over HTTP and a third over gRPC: it must get no more than of one
// of them.
func TestOneQuotaOverServicesAndProtocols(t *testing.T) {
	count := func(t *testing.T, ways ...string) (served int) {
		r := newTestCase(t, Starter{})
		r.startBackend(newCell(0), nil)
		beside := map[string]*fakes.Backend{}
		for _, name := range []string{"two", "grpc"} {
			b, err := fakes.StartBackend(fakes.BackendConfig{Name: name, Ledger: r.ledger, GRPC: name == "grpc"})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(b.Kill)
			beside[name] = b
		}
		c, err := platform.ParseConfig([]byte(r.configText(caseConfig{plans: defaultPlans +
			`,{"name":"tiny","units_per_s":0.001,"burst":16,"value_factor":1}`})))
		if err != nil {
			t.Fatal(err)
		}
		text := webFile(c) + fmt.Sprintf(`[[service]]
name = "two"
backends = [%q]
[[route]]
path = "/look"
methods = ["GET"]
headers = ["Request-Class=look", "X-Two=1"]
service = "two"
class = "look"
[[backend]]
name = "grpc"
address = %q
protocol = "grpc"
[grpc]
listen = "127.0.0.1:0"
strict = true
[[grpc.method]]
name = "/%s/look"
class = "look"
`, beside["two"].Addr(), beside["grpc"].Addr(), fakes.GRPCService)
		p := startByFile(t, text, c, "grpc", "two/"+beside["two"].Addr())
		overGRPC := fakes.GRPCTransport()
		t.Cleanup(overGRPC.CloseIdleConnections)
		for i := range 60 {
			a := r.newRequest("look")
			a.Plan = "tiny"
			reply := fakes.Reply{}
			switch ways[i%len(ways)] {
			case "two":
				a.Header = http.Header{"X-Two": {"1"}}
				fallthrough
			case "one":
				reply = a.Do(t.Context(), r.transport, p.Addr())
			case "grpc":
				reply = a.DoGRPC(t.Context(), overGRPC, p.grpc)
			}
			switch reply.String() {
			case "served":
				served++
			case "refused":
			default:
				t.Errorf("%s: %v %v", ways[i%len(ways)], reply, reply.Err)
			}
		}
		if n := len(r.ledger.Attempts()); n != served {
			t.Errorf("%v: %d attempts, %d served", ways, n, served)
		}
		return served
	}
	alone, all := count(t, "one"), count(t, "one", "two", "grpc")
	if alone == 0 || alone > 16 || all != alone {
		t.Errorf("%d served of one service, %d of three", alone, all)
	}
}
