package daemon

import (
	"context"
	"log/slog"
	"runtime/metrics"
	"time"
)

const (
	memoryCheckInterval = time.Second
	memoryLogInterval   = 10 * time.Second
	// memoryWarningDivisor is the part of the memory limit from which on the use of memory is logged.
	memoryWarningDivisor = 2
)

// The runtime's metrics of what it has obtained from the operating system, and of what it has given back.
const (
	metricTotal      = "/memory/classes/total:bytes"
	metricReleased   = "/memory/classes/heap/released:bytes"
	metricLiveHeap   = "/gc/heap/live:bytes"
	metricStacks     = "/memory/classes/heap/stacks:bytes"
	metricGoroutines = "/sched/goroutines:goroutines"
)

// watchMemory logs, until ctx ends, what takes memory while the process uses more than half of limit, in bytes.
// openRequests returns the number of open requests.
func watchMemory(ctx context.Context, limit int64, openRequests func() int) {
	samples := []metrics.Sample{
		{Name: metricTotal}, {Name: metricReleased}, {Name: metricLiveHeap}, {Name: metricStacks}, {Name: metricGoroutines},
	}
	ticker := time.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	var loggedAt time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		metrics.Read(samples)
		used := samples[0].Value.Uint64() - samples[1].Value.Uint64()
		if used <= uint64(limit)/memoryWarningDivisor || time.Since(loggedAt) < memoryLogInterval {
			continue
		}
		loggedAt = time.Now()
		slog.Warn("memory over half of the limit", "used", used, "limit", limit, "live_heap", samples[2].Value.Uint64(),
			"stacks", samples[3].Value.Uint64(), "goroutines", samples[4].Value.Uint64(), "open_requests", openRequests())
	}
}
