package main

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/grpcproxy"
	"pumicecroft/internal/fakes"
	"pumicecroft/internal/load"
	"pumicecroft/membership"
)

// The load command sends gRPC calls through a gateway: calls within the quota are served, and all others
// end as Unavailable or ResourceExhausted.
func TestLoadOverGRPC(t *testing.T) {
	b, err := fakes.StartGRPC(fakes.GRPCConfig{Ledger: &fakes.Ledger{}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Kill)
	gateway, err := pumicecroft.New(pumicecroft.Config{Protocol: membership.ProtocolGRPC,
		Settings: decision.Settings{CanCancel: true, MaxRetryAfter: time.Second,
			Classes: []decision.Class{{Name: "look", LatencyObjective: time.Second, Deadline: 4 * time.Second,
				PriorityWeight: 1}},
			Plans: []decision.Plan{{Name: "shop", Rate: 20, Burst: 40, Price: 1}}},
		InitialEndpoints: membership.Update{Nodes: []membership.Node{{Name: "one", Addr: b.Addr()}}}},
		grpcproxy.WithBackends(grpcproxy.BackendConfig{}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = gateway.Close(context.Background()) })
	proxy, err := grpcproxy.New(gateway,
		grpcproxy.Config{Methods: map[string]grpcproxy.Method{"/shop.Stock/Get": {Class: "look"}}, CustomerText: true,
			Names: grpcproxy.MetadataNames{Customer: "x-tenant", Plan: "x-plan"}})
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(grpc.ForceServerCodecV2(grpcproxy.Codec()), grpc.UnknownServiceHandler(proxy.Handle))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(ln)
	t.Cleanup(server.Stop)

	dir := t.TempDir()
	loadFile, resultFile := filepath.Join(dir, "load.toml"), filepath.Join(dir, "result.json")
	text := `name = "desk"
rate = 100
arrivals = "even"
duration = "2s"
most_lag = "1m"
customers = 1
[[plan]]
name = "shop"
[[request]]
name = "look"
protocol = "grpc"
path = "/shop.Stock/Get"
headers = ["X-Tenant: {customer}", "X-Plan: {plan}"]
`
	if err := os.WriteFile(loadFile, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	err = run(t.Context(), []string{"load", loadFile, ln.Addr().String(), "-o", resultFile}, &out)
	resultText, resultErr := os.ReadFile(resultFile)
	var r load.Result
	if resultErr == nil {
		resultErr = json.Unmarshal(resultText, &r)
	}
	// Of 199 calls in 2 s, the burst of 40 and the rate of 20 per second admit about 75, less the margin
	// of the quota.
	if err != nil || resultErr != nil || r.Good < 50 || r.Good > 85 ||
		r.Outcomes["Unavailable"]+r.Outcomes["ResourceExhausted"] != r.Scheduled-r.Good || r.Scheduled < 195 {
		t.Errorf("errors %v and %v; %d of %d calls served, want 50 to 85 of at least 195 and all others rejected; %+v\n%s",
			err, resultErr, r.Good, r.Scheduled, r.Outcomes, out.String())
	}
}
