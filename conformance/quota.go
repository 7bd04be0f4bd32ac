package conformance

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"pumicecroft/internal/fakes"
)

// testQuota checks that requests beyond a customer's plan are rejected at once, with advice on when
// to retry, and cost no backend anything.
func testQuota(t *testing.T, starter Starter, tr *Transcript) {
	r := newTestCase(t, starter)
	r.startBackend(newCell(0), nil)
	r.startGateway(caseConfig{plans: defaultPlans + `,{"name":"tiny","units_per_s":0.01,"burst":10,"value_factor":1}`})
	kinds := ""
	for range 20 {
		a := r.newRequest("look")
		a.Plan = "tiny"
		reply := r.send(a)
		kinds += reply.String()[:1]
		if reply.String() == "refused" && (reply.RetryAfter != "0.900" || reply.Latency > clientTimeout/2) {
			t.Errorf("refused after %v with Retry-After %q", reply.Latency, reply.RetryAfter)
		}
		if n := len(r.ledger.ForRequest(a.RequestID())); n != boolToInt(reply.String() == "served") {
			t.Errorf("%v, and %d attempts", reply, n)
		}
	}
	if served := strings.Count(kinds, "s"); served < 1 || served > 10 {
		t.Errorf("%d requests of a quota of 10 were served", served)
	}
	if reply := r.send(r.newRequest("look")); reply.String() != "refused" && reply.String() != "served" {
		t.Errorf("another customer: %v", reply)
	}
	tr.add("quota", "%s", kinds)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// testHardLimit checks rule 5: two gateways together stay within a hard limit, whatever they are asked.
func testHardLimit(t *testing.T, starter Starter, tr *Transcript) {
	const rate, burst, slack = 20.0, 30.0, 3.0
	plans := fmt.Sprintf(`{"name":"shop","units_per_s":%v,"burst":%v,"value_factor":1,`+
		`"ceiling_rate":%v,"never_over_depth":%v,"cap_slack":%v}`, 1000, 1000, rate, burst, slack)
	r := newTestCase(t, starter)
	for range 2 {
		r.startBackend(newCell(0), nil)
	}
	var gateways []Gateway
	for index := range 2 {
		gateways = append(gateways, r.startAnother(caseConfig{gatewayCount: 2, gatewayIndex: index, plans: plans}))
	}
	time.Sleep(300 * time.Millisecond) // so that the buckets of the hard limit have something
	var clients sync.WaitGroup
	end := time.Now().Add(1500 * time.Millisecond)
	for i := range 8 {
		clients.Go(func() {
			for time.Now().Before(end) {
				a := r.newRequest("look")
				a.GatewaySpread, a.Timeout = 2, 5*time.Second
				if reply := r.sendTo(t.Context(), a, gateways[i%2]); reply.Status == 0 {
					t.Errorf("lost: %v", reply.Err)
				} else if reply.String() == "refused" {
					time.Sleep(2 * time.Millisecond)
				}
			}
		})
	}
	clients.Wait()
	bucket, least, last := burst, burst, time.Time{}
	for _, a := range r.ledger.Attempts() {
		if !last.IsZero() {
			bucket = min(burst, bucket+rate*a.At.Sub(last).Seconds())
		}
		last = a.At
		bucket--
		least = min(least, bucket)
	}
	n := len(r.ledger.Attempts())
	if least < -slack || n == 0 {
		t.Errorf("%d units were sent on, the hard limit's bucket went to %.1f", n, least)
	}
	tr.add("ceiling", "held: %v", least >= -slack)
}

// testSharedQuota has two gateways that can't talk to each other: by the backends' usage reports, they
// hold a customer to one quota. What the other gateway uses is unseen while a report is late, so the
// bound is the burst, the rate, and what the rate gives in 1.5 s.
func testSharedQuota(t *testing.T, starter Starter, tr *Transcript) {
	const rate, burst, unseen = 40.0, 40.0, 1.5
	r := newTestCase(t, starter)
	meter := &fakes.Meter{}
	for range 2 {
		r.startBackend(newCell(0), func(c *fakes.BackendConfig) { c.Meter = meter })
	}
	plans := fmt.Sprintf(`{"name":"shop","units_per_s":%v,"burst":%v,"value_factor":1}`, rate, burst)
	var gateways []Gateway
	for index := range 2 {
		gateways = append(gateways, r.startAnother(caseConfig{gatewayCount: 2, gatewayIndex: index, plans: plans,
			usageReports: true}))
	}
	begun := time.Now()
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Go(func() {
			for time.Since(begun) < 4*time.Second {
				a := r.newRequest("look")
				a.GatewaySpread = 2
				meter.Register(a.RequestID(), a.Customer, 1, rate)
				if reply := r.sendTo(t.Context(), a, gateways[i%2]); reply.Status == 0 {
					t.Errorf("lost: %v", reply.Err)
				}
				meter.Forget(a.RequestID())
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	sent := float64(len(r.ledger.Attempts()))
	seconds := time.Since(begun).Seconds()
	if most := burst + rate*(seconds+unseen); sent > most || sent < rate*seconds/2 {
		t.Errorf("%.0f units were sent on in %.1f s, the bound is %.0f", sent, seconds, most)
	}
	t.Logf("%.0f units in %.1f s, of a quota of %.0f and %.0f a second", sent, seconds, burst, rate)
	tr.add("quota of two", "held")
}
