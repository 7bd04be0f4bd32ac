package conformance

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"pumicecroft/internal/fakes"
)

// testQuota checks that requests beyond a customer's plan are rejected at once, with a Retry-After,
// and that they reach no backend.
func testQuota(t *testing.T, starter Starter, transcript *Transcript) {
	tc := newTestCase(t, starter)
	tc.startBackend(newCell(0), nil)
	tc.startGateway(caseConfig{plans: defaultPlans + `,{"name":"tiny","units_per_s":0.01,"burst":10,"value_factor":1}`})
	outcomes := ""
	for range 20 {
		request := tc.newRequest("look")
		request.Plan = "tiny"
		reply := tc.send(request)
		outcomes += reply.String()[:1]
		if reply.String() == "refused" && (reply.RetryAfter != "0.900" || reply.Latency > clientTimeout/2) {
			t.Errorf("refused after %v with Retry-After %q, want within %v and 0.900", reply.Latency,
				reply.RetryAfter, clientTimeout/2)
		}
		if n := len(tc.ledger.ForRequest(request.RequestID())); n != boolToInt(reply.String() == "served") {
			t.Errorf("%v with %d attempts, want 1 attempt if served, else 0", reply, n)
		}
	}
	if served := strings.Count(outcomes, "s"); served < 1 || served > 10 {
		t.Errorf("%d requests were served, want 1 to 10", served)
	}
	if reply := tc.send(tc.newRequest("look")); reply.String() != "refused" && reply.String() != "served" {
		t.Errorf("the same customer on plan shop: got %v, want refused or served", reply)
	}
	transcript.add("quota", "%s", outcomes)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// testHardLimit checks rule 5: two gateways together stay within a hard limit under any load. It
// replays the attempts against a token bucket with the limit's rate and burst.
func testHardLimit(t *testing.T, starter Starter, transcript *Transcript) {
	const rate, burst, slack = 20.0, 30.0, 3.0
	plans := fmt.Sprintf(`{"name":"shop","units_per_s":%v,"burst":%v,"value_factor":1,`+
		`"ceiling_rate":%v,"never_over_depth":%v,"cap_slack":%v}`, 1000, 1000, rate, burst, slack)
	tc := newTestCase(t, starter)
	for range 2 {
		tc.startBackend(newCell(0), nil)
	}
	var gateways []Gateway
	for index := range 2 {
		gateways = append(gateways, tc.newGateway(caseConfig{gatewayCount: 2, gatewayIndex: index, plans: plans}))
	}
	time.Sleep(300 * time.Millisecond) // lets the hard-limit buckets fill a little
	var clients sync.WaitGroup
	end := time.Now().Add(1500 * time.Millisecond)
	for i := range 8 {
		clients.Go(func() {
			for time.Now().Before(end) {
				request := tc.newRequest("look")
				request.GatewaySpread, request.Timeout = 2, 5*time.Second
				if reply := tc.sendTo(t.Context(), request, gateways[i%2]); reply.Status == 0 {
					t.Errorf("no response after %v: %v", reply.Latency, reply.Err)
				} else if reply.String() == "refused" {
					time.Sleep(2 * time.Millisecond)
				}
			}
		})
	}
	clients.Wait()
	bucket, least, last := burst, burst, time.Time{}
	for _, attempt := range tc.ledger.Attempts() {
		if !last.IsZero() {
			bucket = min(burst, bucket+rate*attempt.At.Sub(last).Seconds())
		}
		last = attempt.At
		bucket--
		least = min(least, bucket)
	}
	n := len(tc.ledger.Attempts())
	if least < -slack || n == 0 {
		t.Errorf("%d units were forwarded, the hard limit's bucket went down to %.1f, want at least %.1f",
			n, least, -slack)
	}
	transcript.add("ceiling", "held: %v", least >= -slack)
}

// testSharedQuota checks that two gateways without a connection to each other hold a customer to one
// quota, by the usage reports of backends. A gateway does not see what the other one uses until the
// next report, so the bound is the burst, the rate, and what the rate gives in 1.5 s.
func testSharedQuota(t *testing.T, starter Starter, transcript *Transcript) {
	const rate, burst, unseen = 40.0, 40.0, 1.5
	tc := newTestCase(t, starter)
	meter := &fakes.Meter{}
	for range 2 {
		tc.startBackend(newCell(0), func(c *fakes.BackendConfig) { c.Meter = meter })
	}
	plans := fmt.Sprintf(`{"name":"shop","units_per_s":%v,"burst":%v,"value_factor":1}`, rate, burst)
	var gateways []Gateway
	for index := range 2 {
		gateways = append(gateways, tc.newGateway(caseConfig{gatewayCount: 2, gatewayIndex: index, plans: plans,
			usageReports: true}))
	}
	start := time.Now()
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Go(func() {
			for time.Since(start) < 4*time.Second {
				request := tc.newRequest("look")
				request.GatewaySpread = 2
				meter.Register(request.RequestID(), request.Customer, 1, rate)
				if reply := tc.sendTo(t.Context(), request, gateways[i%2]); reply.Status == 0 {
					t.Errorf("no response after %v: %v", reply.Latency, reply.Err)
				}
				meter.Forget(request.RequestID())
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	sent := float64(len(tc.ledger.Attempts()))
	seconds := time.Since(start).Seconds()
	if most := burst + rate*(seconds+unseen); sent > most || sent < rate*seconds/2 {
		t.Errorf("%.0f units were forwarded in %.1f s, want %.0f to %.0f", sent, seconds, rate*seconds/2, most)
	}
	t.Logf("%.0f units were forwarded in %.1f s, with a burst of %.0f and a rate of %.0f a second",
		sent, seconds, burst, rate)
	transcript.add("quota of two", "held")
}
