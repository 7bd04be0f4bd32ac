package idempotency

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/journal"
)

// BenchmarkStore measures a request with a key, from Begin to Complete, while the store holds n keys: without
// a log, and with a log whose operations take no time. It also reports the heap memory and the accounted memory
// of an entry.
func BenchmarkStore(b *testing.B) {
	for _, n := range []int{1, 1000, 1_000_000} {
		for _, logged := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d,log=%v", n, logged), func(b *testing.B) { benchmarkStore(b, n, logged) })
		}
	}
}

// benchLoad makes requests with keys, one after another.
type benchLoad struct {
	store    *Store
	log      *journal.Log[Entry] // nil: none
	now      time.Duration
	rng      *rand.Rand
	response Response
	requests int
}

func (l *benchLoad) request() {
	const groupSize = 64 // requests between flushes of the log
	l.now += time.Microsecond
	key := fmt.Sprintf("%016x", l.rng.Uint64())
	who := decision.CustomerID(l.rng.IntN(1000))
	if d, _ := l.store.Begin(l.now, who, key, Fingerprint{}, nil, l.now+time.Second); d.Verdict == Proceed {
		l.store.Complete(l.now, d.Ticket, Succeeded, l.response)
	}
	if l.requests++; l.log != nil && l.requests%groupSize == 0 {
		l.flush()
	}
}

func (l *benchLoad) flush() {
	l.store.RewriteStale(l.now)
	for op := l.log.Next(l.now); op.Kind != journal.None; op = l.log.Next(l.now) {
		l.log.Done(l.now, nil)
		l.store.RewriteStale(l.now)
	}
}

func benchmarkStore(b *testing.B, n int, logged bool) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := &benchLoad{
		store: New(Limits{MaxBytes: 4 << 30, TTL: time.Duration(n) * time.Microsecond}, 0),
		rng:   rand.New(rand.NewPCG(1, 2)),

		response: Response{Status: 200, Body: []byte("done")},
	}
	if logged {
		l.log = emptyLog(b)
		l.store.AttachLog(l.log, 0)
	}
	for range n {
		l.request()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	held, accounted := float64(max(1, l.store.Len())), float64(l.store.Bytes())
	b.ReportAllocs()
	for b.Loop() {
		l.request()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/held, "B/entry")
	b.ReportMetric(accounted/held, "charged/entry")
}
