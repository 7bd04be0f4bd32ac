// Package compare benchmarks key-value stores against package journal with the workload of the idempotency journal:
// many concurrent requests, each of which durably writes a record before it is executed and another record, which
// becomes durable later, with its outcome; and keys that are deleted in about the order in which they arrived. It is a
// separate module, so that programs that import the gateway don't depend on these stores.
//
//	cd internal/journal/compare && go test -bench . -benchtime 20000x -count 3
package compare

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"go.etcd.io/bbolt"
)

// store provides the operations that the idempotency journal needs.
type store interface {
	Begin(key, value []byte) error // returns when the value is durable
	End(key, value []byte) error   // the value becomes durable later
	Delete(key []byte) error
	Close() error
}

// implementation is a kind of store to compare.
type implementation struct {
	name string
	open func(dir string) (store, error)
	// recoverKeys opens a store that was closed or whose process was killed, reads all of it, and returns the number
	// of keys.
	recoverKeys func(dir string) (int, error)
}

// discardLogger discards pebble's log, and panics for fatal errors.
type discardLogger struct{}

func (discardLogger) Infof(string, ...any)      {}
func (discardLogger) Errorf(string, ...any)     {}
func (discardLogger) Fatalf(f string, a ...any) { panic(fmt.Sprintf(f, a...)) }

type pebbleStore struct{ db *pebble.DB }

func openPebble(dir string) (*pebble.DB, error) {
	return pebble.Open(dir, &pebble.Options{Logger: discardLogger{}})
}

func (p pebbleStore) Begin(key, value []byte) error { return p.db.Set(key, value, pebble.Sync) }
func (p pebbleStore) End(key, value []byte) error   { return p.db.Set(key, value, pebble.NoSync) }
func (p pebbleStore) Delete(key []byte) error       { return p.db.Delete(key, pebble.NoSync) }
func (p pebbleStore) Close() error                  { return p.db.Close() }

var bucket = []byte("keys")

// boltStore groups concurrent writes with bbolt's Batch. End and Delete are grouped, too, and not waited for.
type boltStore struct {
	db         *bbolt.DB
	background sync.WaitGroup // writes of End and Delete
}

func openBolt(dir string) (*bbolt.DB, error) {
	db, err := bbolt.Open(dir+"/bolt", 0o600, nil)
	if err != nil {
		return nil, err
	}
	db.MaxBatchDelay = time.Millisecond
	return db, db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(bucket)
		return err
	})
}

func (b *boltStore) Begin(key, value []byte) error {
	return b.db.Batch(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put(key, value) })
}

func (b *boltStore) End(key, value []byte) error {
	b.background.Go(func() { _ = b.Begin(key, value) })
	return nil
}

func (b *boltStore) Delete(key []byte) error {
	b.background.Go(func() { _ = b.db.Batch(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Delete(key) }) })
	return nil
}

func (b *boltStore) Close() error {
	b.background.Wait()
	return b.db.Close()
}

var stores = []implementation{
	{"pebble", func(dir string) (store, error) {
		db, err := openPebble(dir)
		return pebbleStore{db}, err
	}, func(dir string) (n int, err error) {
		db, err := openPebble(dir)
		if err != nil {
			return 0, err
		}
		it, err := db.NewIter(nil)
		if err != nil {
			return 0, err
		}
		for it.First(); it.Valid(); it.Next() {
			n++
		}
		return n, cmp.Or(it.Close(), db.Close())
	}},
	{"bbolt", func(dir string) (store, error) {
		db, err := openBolt(dir)
		return &boltStore{db: db}, err
	}, func(dir string) (n int, err error) {
		db, err := openBolt(dir)
		if err != nil {
			return 0, err
		}
		err = db.View(func(tx *bbolt.Tx) error {
			return tx.Bucket(bucket).ForEach(func(_, _ []byte) error { n++; return nil })
		})
		return n, cmp.Or(err, db.Close())
	}},
}

const (
	clients          = 64
	liveKeys         = 20_000 // number of later keys after which a key is deleted
	beginValueLength = 60
	endValueLength   = 600
)

// key returns key number n. Like keys of real clients it is random, so that keys do not arrive in sorted order.
func key(n uint64) []byte {
	rng := rand.New(rand.NewPCG(n, 7))
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, rng.Uint64()), n)
}

// bytesWritten returns the number of bytes that this process has written to storage.
func bytesWritten(b *testing.B) float64 {
	text, err := os.ReadFile("/proc/self/io")
	if err != nil {
		b.Skip(err)
	}
	_, rest, _ := strings.Cut(string(text), "write_bytes: ")
	line, _, _ := strings.Cut(rest, "\n")
	n, _ := strconv.ParseFloat(line, 64)
	return n
}

// BenchmarkStores measures the latency of Begin, the bytes written to disk per operation, and the time to open the
// store.
func BenchmarkStores(b *testing.B) {
	for _, s := range stores {
		b.Run(s.name, func(b *testing.B) {
			dir := b.TempDir()
			st, err := s.open(dir)
			if err != nil {
				b.Fatal(err)
			}
			value := make([]byte, endValueLength)
			var mu sync.Mutex
			var latencies []time.Duration
			var next uint64
			var clientsDone sync.WaitGroup
			before := bytesWritten(b)
			b.ResetTimer()
			for range clients {
				clientsDone.Go(func() {
					for {
						mu.Lock()
						n := next
						next++
						mu.Unlock()
						if n >= uint64(b.N) {
							return
						}
						start := time.Now()
						if err := st.Begin(key(n), value[:beginValueLength]); err != nil {
							b.Error(err)
							return
						}
						d := time.Since(start)
						_ = st.End(key(n), value)
						if n >= liveKeys {
							_ = st.Delete(key(n - liveKeys))
						}
						mu.Lock()
						latencies = append(latencies, d)
						mu.Unlock()
					}
				})
			}
			clientsDone.Wait()
			b.StopTimer()
			if err := st.Close(); err != nil {
				b.Fatal(err)
			}
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
			b.ReportMetric((bytesWritten(b)-before)/float64(b.N), "disk-B/op")
			start := time.Now()
			n, err := s.recoverKeys(dir)
			if err != nil || n < min(b.N, liveKeys)/2 {
				b.Fatalf("recovered %d keys, error %v, want at least %d", n, err, min(b.N, liveKeys)/2)
			}
			b.ReportMetric(float64(time.Since(start).Milliseconds()), "open-ms")
			b.ReportMetric(float64(n), "keys")
		})
	}
}
