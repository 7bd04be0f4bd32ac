package deduplicator

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"pumicecroft/idempotency"
)

// BenchmarkRecovery measures Open with a journal of n completed keys on disk.
func BenchmarkRecovery(b *testing.B) {
	for _, n := range []int{1000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkRecovery(b, n) })
	}
}

func benchmarkRecovery(b *testing.B, n int) {
	config := JournalConfig{
		Dir:          filepath.Join(b.TempDir(), "keys"),
		WriteTimeout: time.Minute,
		SyncInterval: time.Second,
	}
	limits := idempotency.Limits{MaxBytes: 4 << 30}
	d, err := Open(limits, config)
	if err != nil {
		b.Fatal(err)
	}
	fillJournal(b, d, n)
	if err := d.Close(context.Background()); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		d, err := Open(limits, config)
		if err != nil {
			b.Fatal(err)
		}
		b.StopTimer()
		if _, keys, _ := d.Stats(); keys != n {
			b.Fatalf("%d keys recovered, want %d", keys, n)
		}
		if err := d.Close(context.Background()); err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
	}
	b.ReportMetric(float64(dirSize(config.Dir))/float64(n), "disk-B/key")
}

// fillJournal makes n requests with distinct keys.
func fillJournal(b *testing.B, d *Deduplicator, n int) {
	const callers = 256
	run := func(context.Context) Result {
		return Result{Response: idempotency.Response{Status: 200, Body: []byte("done 0123456789abcdef\n")}}
	}
	var requests sync.WaitGroup
	for caller := range callers {
		requests.Go(func() {
			for i := caller; i < n; i += callers {
				_, err := d.Do(context.Background(), 1, fmt.Sprintf("%016x", i), idempotency.Fingerprint{}, time.Minute, run)
				if err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	requests.Wait()
}

func dirSize(dir string) (size int64) {
	files, _ := os.ReadDir(dir)
	for _, f := range files {
		if info, err := f.Info(); err == nil {
			size += info.Size()
		}
	}
	return size
}
