package conformance

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"pumicecroft/internal/fakes"
)

// caseConfig holds the settings that a case may change. Zero fields get defaults.
type caseConfig struct {
	gatewayCount, gatewayIndex int
	plans                      string // JSON; empty means defaultPlans
	usageReports               bool   // backends report usage
	noCancel                   bool
	objectiveMS                int
	deadlineMS                 int
}

// defaultPlans is a plan whose quota no case reaches.
const defaultPlans = `{"name":"shop","units_per_s":100000,"burst":100000,"value_factor":1}`

// testCase is the deployment of one case.
type testCase struct {
	t         *testing.T
	starter   Starter
	gateway   Gateway
	ledger    *fakes.Ledger
	discovery *fakes.Discovery
	transport *http.Transport
	backends  []*fakes.Backend
	lastID    uint64
	mu        sync.Mutex
}

func newTestCase(t *testing.T, starter Starter) *testCase {
	t.Helper()
	discovery, err := fakes.StartDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	tc := &testCase{t: t, starter: starter, ledger: &fakes.Ledger{}, discovery: discovery, lastID: 0x5ca1ab1e00000000,
		transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}
	if starter.GRPC {
		tc.transport = fakes.GRPCTransport()
	}
	t.Cleanup(func() {
		tc.transport.CloseIdleConnections()
		for _, b := range tc.backends {
			b.Kill()
		}
		discovery.Close()
	})
	return tc
}

// startBackend starts a backend in a cell and adds it to discovery's list.
func (tc *testCase) startBackend(cell *fakes.Cell, change func(*fakes.BackendConfig)) *fakes.Backend {
	tc.t.Helper()
	c := fakes.BackendConfig{Name: fmt.Sprintf("b%d", len(tc.backends)), Zone: "z", InstanceType: "k", Cell: cell,
		Ledger: tc.ledger, IdempotentByKey: func(class string) bool { return class != "look" }, GRPC: tc.starter.GRPC}
	if change != nil {
		change(&c)
	}
	b, err := fakes.StartBackend(c)
	if err != nil {
		tc.t.Fatal(err)
	}
	tc.backends = append(tc.backends, b)
	tc.discovery.Set(b.Endpoint())
	return b
}

// newCell returns a cell, whose backends together drop repeated requests.
func newCell(n int) *fakes.Cell { return &fakes.Cell{Number: n, Window: 5 * time.Second} }

// configText returns a configuration as the platform writes it, with discovery's current endpoint list.
func (tc *testCase) configText(config caseConfig) string {
	known, err := json.Marshal(tc.discovery.List())
	if err != nil {
		tc.t.Fatal(err)
	}
	if config.plans == "" {
		config.plans = defaultPlans
	}
	if config.objectiveMS == 0 {
		config.objectiveMS = 10_000
	}
	if config.deadlineMS == 0 {
		config.deadlineMS = 15_000
	}
	meter := 0
	if config.usageReports {
		meter = 500_000
	}
	class := func(name, effect string, gain int) string {
		return fmt.Sprintf(`{"name":%q,"effect":%q,"group":"cell","key_ttl_us":5000000,`+
			`"goal_time_us":%d,"deadline_us":%d,"gain":%d}`,
			name, effect, config.objectiveMS*1000, config.deadlineMS*1000, gain)
	}
	return fmt.Sprintf(`{"name":"n%d","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":2.0,"memory_mb":256,"sockets":1024},"known":%s,
 "settings":{"balancers":%d,"me":%d,"lanes":[%s],"tariffs":[%s],
  "family_info":{"meter_period_us":%d,"largest":6},
  "policy_limits":{"cancel":%v,"max_attempts":3,"max_retry_after_us":900000,"retry_after":true,
   "conn_idle_us":15000000,"connect_timeout_us":250000},
  "obligations":{"grace_to_answer_us":50000,"stop_sending_within_us":2000000,"cold_from":0.2,"warm_within_us":6000000,
   "fall_multiple":4,"fall_us":1000000}}}`, config.gatewayIndex, tc.discovery.Addr(), known,
		max(config.gatewayCount, 1), config.gatewayIndex,
		class("look", "retryable", 1)+","+class("pay", "dedup", 5)+","+class("once", "fragile", 3), config.plans, meter,
		!config.noCancel)
}

// startGateway starts the case's gateway.
func (tc *testCase) startGateway(config caseConfig) {
	tc.t.Helper()
	tc.gateway = tc.newGateway(config)
}

// newGateway starts a gateway and returns it, for cases with several of them.
func (tc *testCase) newGateway(config caseConfig) Gateway {
	tc.t.Helper()
	return tc.starter.Start(tc.t, tc.configText(config))
}

// newRequest returns a request of a class with a unique ID, and with an idempotency key and a body unless
// the class is "look".
func (tc *testCase) newRequest(class string) fakes.Request {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.lastID++
	request := fakes.Request{ID: tc.lastID, Class: class, Customer: 7, Plan: "shop", Timeout: clientTimeout}
	if class != "look" {
		request.Key, request.Body = fmt.Sprintf("key-%x", tc.lastID), "amount=3"
	}
	return request
}

// send sends a request to the case's gateway.
func (tc *testCase) send(request fakes.Request) fakes.Reply {
	return tc.sendTo(tc.t.Context(), request, tc.gateway)
}

// sendTo sends a request to a gateway.
func (tc *testCase) sendTo(ctx context.Context, request fakes.Request, gateway Gateway) fakes.Reply {
	if tc.starter.GRPC {
		return request.DoGRPC(ctx, tc.transport, gateway.Addr())
	}
	return request.Do(ctx, tc.transport, gateway.Addr())
}
