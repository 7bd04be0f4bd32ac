package pumicecroft_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/idempotency"
	"pumicecroft/membership"
)

// BenchmarkKeyedRequest sends requests with an idempotency key by Do, 64 concurrently: with keys not recognised,
// recognised in memory, and kept in a journal. The relevant result is the ratio of a mode's figures to those of "off".
func BenchmarkKeyedRequest(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok"))
	}))
	b.Cleanup(backend.Close)
	for _, mode := range []string{"off", "on", "journal", "journal, synced each second"} {
		b.Run(mode, func(b *testing.B) {
			c := pumicecroft.Config{
				Settings: decision.Settings{CanCancel: true,
					Classes: []decision.Class{{Name: "pay", Idempotency: decision.IdempotentByKey, DedupWindow: time.Second,
						LatencyObjective: 10 * time.Second, Deadline: 20 * time.Second, PriorityWeight: 1}},
					Plans: []decision.Plan{{Name: "basic", Rate: 1e6, Burst: 1e6, Price: 1}}},
				InitialEndpoints: membership.Update{Nodes: []membership.Node{
					{Name: "one", Addr: strings.TrimPrefix(backend.URL, "http://")}}},
			}
			if mode != "off" {
				c.Idempotency = &idempotency.Limits{MaxBytes: 1 << 30}
			}
			switch mode {
			case "journal":
				c.IdempotencyJournal = &pumicecroft.IdempotencyJournal{Dir: b.TempDir()}
			case "journal, synced each second":
				c.IdempotencyJournal = &pumicecroft.IdempotencyJournal{Dir: b.TempDir(), SyncInterval: time.Second}
			}
			gateway, err := pumicecroft.New(c)
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = gateway.Close(b.Context()) }()
			var n, failed atomic.Int64
			b.SetParallelism(8)
			before := processCPU()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					i := n.Add(1)
					if _, err := gateway.Do(b.Context(), pumicecroft.Request{Class: "pay", Plan: "basic",
						Customer: uint64(i % 100), IdempotencyKey: fmt.Sprint("k", i), Body: []byte("b")}); err != nil {
						failed.Add(1)
					}
				}
			})
			b.StopTimer()
			b.ReportMetric(float64((processCPU()-before).Microseconds())/float64(b.N), "cpu-us/op")
			b.ReportMetric(100*float64(failed.Load())/float64(b.N), "refused-%")
		})
	}
}
