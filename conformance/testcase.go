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

// caseConfig is what a case may set in the configuration. A zero field has a default.
type caseConfig struct {
	gatewayCount, gatewayIndex int
	plans                      string // JSON; default: defaultPlans
	usageReports               bool   // backends report usage
	noCancel                   bool
	objectiveMS                int
	deadlineMS                 int
}

// defaultPlans is a plan without a quota that matters.
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
	d, err := fakes.StartDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	r := &testCase{t: t, starter: starter, ledger: &fakes.Ledger{}, discovery: d, lastID: 0x5ca1ab1e00000000,
		transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}
	if starter.GRPC {
		r.transport = fakes.GRPCTransport()
	}
	t.Cleanup(func() {
		r.transport.CloseIdleConnections()
		for _, b := range r.backends {
			b.Kill()
		}
		d.Close()
	})
	return r
}

// startBackend starts a backend in a cell and adds it to discovery's list.
func (r *testCase) startBackend(cell *fakes.Cell, change func(*fakes.BackendConfig)) *fakes.Backend {
	r.t.Helper()
	c := fakes.BackendConfig{Name: fmt.Sprintf("b%d", len(r.backends)), Zone: "z", InstanceType: "k", Cell: cell,
		Ledger: r.ledger, IdempotentByKey: func(class string) bool { return class != "look" }, GRPC: r.starter.GRPC}
	if change != nil {
		change(&c)
	}
	b, err := fakes.StartBackend(c)
	if err != nil {
		r.t.Fatal(err)
	}
	r.backends = append(r.backends, b)
	r.discovery.Set(b.Endpoint())
	return b
}

// newCell returns a cell, in which backends drop repeated requests.
func newCell(n int) *fakes.Cell { return &fakes.Cell{Number: n, Window: 5 * time.Second} }

// configText returns a configuration as the platform writes it, with discovery's present list.
func (r *testCase) configText(f caseConfig) string {
	known, err := json.Marshal(r.discovery.List())
	if err != nil {
		r.t.Fatal(err)
	}
	if f.plans == "" {
		f.plans = defaultPlans
	}
	if f.objectiveMS == 0 {
		f.objectiveMS = 10_000
	}
	if f.deadlineMS == 0 {
		f.deadlineMS = 15_000
	}
	meter := 0
	if f.usageReports {
		meter = 500_000
	}
	class := func(name, effect string, gain int) string {
		return fmt.Sprintf(`{"name":%q,"effect":%q,"group":"cell","key_ttl_us":5000000,`+
			`"goal_time_us":%d,"deadline_us":%d,"gain":%d}`,
			name, effect, f.objectiveMS*1000, f.deadlineMS*1000, gain)
	}
	return fmt.Sprintf(`{"name":"n%d","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":2.0,"memory_mb":256,"sockets":1024},"known":%s,
 "settings":{"balancers":%d,"me":%d,"lanes":[%s],"tariffs":[%s],
  "family_info":{"meter_period_us":%d,"largest":6},
  "policy_limits":{"cancel":%v,"max_attempts":3,"max_retry_after_us":900000,"retry_after":true,
   "conn_idle_us":15000000,"connect_timeout_us":250000},
  "obligations":{"grace_to_answer_us":50000,"stop_sending_within_us":2000000,"cold_from":0.2,"warm_within_us":6000000,
   "fall_multiple":4,"fall_us":1000000}}}`, f.gatewayIndex, r.discovery.Addr(), known, max(f.gatewayCount, 1), f.gatewayIndex,
		class("look", "retryable", 1)+","+class("pay", "dedup", 5)+","+class("once", "fragile", 3), f.plans, meter,
		!f.noCancel)
}

// startGateway starts the case's gateway.
func (r *testCase) startGateway(f caseConfig) {
	r.t.Helper()
	r.gateway = r.startAnother(f)
}

// startAnother starts a further gateway.
func (r *testCase) startAnother(f caseConfig) Gateway {
	r.t.Helper()
	return r.starter.Start(r.t, r.configText(f))
}

// newRequest returns a request of a class with an ID of its own. It has a key unless the class is "look".
func (r *testCase) newRequest(class string) fakes.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	a := fakes.Request{ID: r.lastID, Class: class, Customer: 7, Plan: "shop", Timeout: clientTimeout}
	if class != "look" {
		a.Key, a.Body = fmt.Sprintf("key-%x", r.lastID), "amount=3"
	}
	return a
}

// send sends a request to the case's gateway.
func (r *testCase) send(a fakes.Request) fakes.Reply { return r.sendTo(r.t.Context(), a, r.gateway) }

// sendTo sends a request to one of several gateways.
func (r *testCase) sendTo(ctx context.Context, a fakes.Request, f Gateway) fakes.Reply {
	if r.starter.GRPC {
		return a.DoGRPC(ctx, r.transport, f.Addr())
	}
	return a.Do(ctx, r.transport, f.Addr())
}
