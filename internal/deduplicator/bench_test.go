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

// BenchmarkRecovery is the start with a journal of n answered keys on disk.
func BenchmarkRecovery(b *testing.B) {
	for _, n := range []int{1000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			j := JournalConfig{Dir: filepath.Join(b.TempDir(), "keys"), WriteTimeout: time.Minute, SyncInterval: time.Second}
			limits := idempotency.Limits{MaxBytes: 4 << 30}
			k, err := Open(limits, j)
			if err != nil {
				b.Fatal(err)
			}
			var asking sync.WaitGroup
			for w := range 256 {
				asking.Go(func() {
					for i := w; i < n; i += 256 {
						_, err := k.Do(context.Background(), 1, fmt.Sprintf("%016x", i), idempotency.Fingerprint{}, time.Minute, func(context.Context) Result {
							return Result{Response: idempotency.Response{Status: 200, Body: []byte("done 0123456789abcdef\n")}}
						})
						if err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			asking.Wait()
			if err := k.Close(context.Background()); err != nil {
				b.Fatal(err)
			}
			size := int64(0)
			files, _ := os.ReadDir(j.Dir)
			for _, f := range files {
				if info, err := f.Info(); err == nil {
					size += info.Size()
				}
			}
			for b.Loop() {
				k, err := Open(limits, j)
				if err != nil {
					b.Fatal(err)
				}
				b.StopTimer()
				if _, held, _ := k.Stats(); held != n {
					b.Fatalf("%d keys of %d", held, n)
				}
				if err := k.Close(context.Background()); err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
			}
			b.ReportMetric(float64(size)/float64(n), "disk-B/key")
		})
	}
}
