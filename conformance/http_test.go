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

// httpOperatorFile returns an operator's file for HTTP backends that means the same as the platform's
// configuration c. Its routes and identity read the platform's headers.
func httpOperatorFile(c platform.Config) string {
	var b strings.Builder
	b.WriteString(operatorFileWithoutSources(c, ""))
	fmt.Fprintf(&b, "[[service]]\nname = \"desk\"\nbackend_connections = %d\nconnect_timeout = %q\nidle_timeout = %q\n",
		c.Limits.BackendConns(), c.Conns.ConnectTimeout, c.Conns.IdleTimeout)
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
	for _, class := range c.Settings.Classes {
		method := "POST"
		if class.Idempotency == 0 {
			method = "GET"
		}
		fmt.Fprintf(&b, "[[route]]\npath = \"/%[1]s\"\nmethods = [%[2]q]\nheaders = [\"Request-Class=%[1]s\"]\n"+
			"service = \"desk\"\nclass = %[1]q\nmax_body = %[3]d\n",
			class.Name, method, pumicecroft.MaxBody)
	}
	return b.String()
}

// daemonWithHTTP starts the daemon with an operator's file for HTTP backends.
func daemonWithHTTP(t testing.TB, config string) Gateway {
	t.Helper()
	c, err := platform.ParseConfig([]byte(config))
	if err != nil {
		t.Fatal(err)
	}
	return startDaemonWithFile(t, httpOperatorFile(c), c)
}

// libraryWithHTTP starts an httpproxy.Proxy on a host's server in this process.
func libraryWithHTTP(t testing.TB, config string) Gateway {
	t.Helper()
	c, err := platform.ParseConfig([]byte(config))
	if err != nil {
		t.Fatal(err)
	}
	f, err := parseOperatorFile(httpOperatorFile(c))
	if err != nil {
		t.Fatal(err)
	}
	gatewayConfig := f.Gateway
	gatewayConfig.InitialEndpoints = c.InitialEndpoints.Membership()
	for i := range gatewayConfig.InitialEndpoints.Nodes {
		gatewayConfig.InitialEndpoints.Nodes[i].Protocol = httpproxy.Protocol("desk")
	}
	s, err := httpproxyconfig.Service(f.HTTP.Services[0], os.ReadFile, slog.Default())
	if err != nil {
		t.Fatal(err)
	}
	gateway, err := pumicecroft.New(gatewayConfig, httpproxy.WithService(s))
	if err != nil {
		t.Fatal(err)
	}
	followDiscovery(t, gateway, c, httpproxy.Protocol("desk"))
	proxyConfig := f.HTTP.Proxy
	if proxyConfig.Rules, err = httpproxyconfig.Rules(&f, os.ReadFile); err != nil {
		t.Fatal(err)
	}
	proxy, err := httpproxy.New(gateway, proxyConfig)
	if err != nil {
		t.Fatal(err)
	}
	return startHost(t, gateway, proxy)
}

// followDiscovery passes each update of discovery on to a gateway, with protocol set on all backends.
func followDiscovery(t testing.TB, gateway *pumicecroft.Gateway, c platform.Config, protocol string) {
	discovery := &platform.Discovery{Addr: c.Discovery, FromVersion: c.InitialEndpoints.Seq}
	go discovery.Run(t.Context(), func(update membership.Update) {
		for i := range update.Nodes {
			update.Nodes[i].Protocol = protocol
		}
		gateway.Update(update)
	})
}

// One quota holds over services and protocols: a customer that sends its requests to two services over
// HTTP and to a third over gRPC has as many served as one that sends all of them to one service.
func TestOneQuotaOverServicesAndProtocols(t *testing.T) {
	count := func(t *testing.T, routes ...string) (served int) {
		tc := newTestCase(t, Starter{})
		tc.startBackend(newCell(0), nil)
		otherBackends := map[string]*fakes.Backend{}
		for _, name := range []string{"two", "grpc"} {
			b, err := fakes.StartBackend(fakes.BackendConfig{Name: name, Ledger: tc.ledger, GRPC: name == "grpc"})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(b.Kill)
			otherBackends[name] = b
		}
		c, err := platform.ParseConfig([]byte(tc.configText(caseConfig{plans: defaultPlans +
			`,{"name":"tiny","units_per_s":0.001,"burst":16,"value_factor":1}`})))
		if err != nil {
			t.Fatal(err)
		}
		text := httpOperatorFile(c) + fmt.Sprintf(`[[service]]
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
`, otherBackends["two"].Addr(), otherBackends["grpc"].Addr(), fakes.GRPCService)
		p := startDaemonWithFile(t, text, c, "grpc", "two/"+otherBackends["two"].Addr())
		grpcTransport := fakes.GRPCTransport()
		t.Cleanup(grpcTransport.CloseIdleConnections)
		for i := range 60 {
			request := tc.newRequest("look")
			request.Plan = "tiny"
			reply := fakes.Reply{}
			switch routes[i%len(routes)] {
			case "two":
				request.Header = http.Header{"X-Two": {"1"}}
				fallthrough
			case "one":
				reply = request.Do(t.Context(), tc.transport, p.Addr())
			case "grpc":
				reply = request.DoGRPC(t.Context(), grpcTransport, p.grpcAddr)
			}
			switch reply.String() {
			case "served":
				served++
			case "refused":
			default:
				t.Errorf("%s: got %v (%v), want served or refused", routes[i%len(routes)], reply, reply.Err)
			}
		}
		if n := len(tc.ledger.Attempts()); n != served {
			t.Errorf("%v: %d attempts, want %d, as many as were served", routes, n, served)
		}
		return served
	}
	servedByOne, servedByAll := count(t, "one"), count(t, "one", "two", "grpc")
	if servedByOne == 0 || servedByOne > 16 || servedByAll != servedByOne {
		t.Errorf("%d served by one service, want 1 to 16; %d by three services, want the same", servedByOne, servedByAll)
	}
}
