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

// A load over gRPC goes through a gateway: what is within the quota is served, the rest is rejected
// with a pushback, and clients that follow it come back.
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
	front, err := grpcproxy.New(gateway,
		grpcproxy.Config{Methods: map[string]grpcproxy.Method{"/shop.Stock/Get": {Class: "look"}}, CustomerText: true,
			Names: grpcproxy.MetadataNames{Customer: "x-tenant", Plan: "x-plan"}})
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(grpc.ForceServerCodecV2(grpcproxy.Codec()), grpc.UnknownServiceHandler(front.Handle))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(ln)
	t.Cleanup(server.Stop)

	dir := t.TempDir()
	plan, result := filepath.Join(dir, "load.toml"), filepath.Join(dir, "result.json")
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
	if err := os.WriteFile(plan, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	err = run(t.Context(), []string{"load", plan, ln.Addr().String(), "-o", result}, &out)
	text2, err2 := os.ReadFile(result)
	var r load.Result
	if err2 == nil {
		err2 = json.Unmarshal(text2, &r)
	}
	// Of 199 the store of 40 and its refill of 20 a second let some 75 through, less in the end the
	// margin that the quota leaves.
	if err != nil || err2 != nil || r.Good < 50 || r.Good > 85 ||
		r.Outcomes["Unavailable"]+r.Outcomes["ResourceExhausted"] != r.Sent-r.Good || r.Sent < 195 {
		t.Errorf("%v, %v: %+v\n%s", err, err2, r.Outcomes, out.String())
	}
}
