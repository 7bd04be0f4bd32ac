// Package compare tries stores on the pattern that the journal of idempotency keys has: many requests at once, each of
// which writes that it begins, durably, before it goes on, and what came of it, durably at some time; and keys that are forgotten in
// about the order in which they came. It is a module of its own, so that nothing that embeds the front door builds these stores.
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

// store is what a journal of keys needs.
type store interface {
	Begin(key, value []byte) error // returns when it is durable
	End(key, value []byte) error
	Forget(key []byte) error
	Close() error
}

type opener struct {
	name string
	open func(dir string) (store, error)
	// recover opens what was closed or cut, reads all of it, and gives how many keys there are.
	recover func(dir string) (int, error)
}

// quiet keeps pebble's log to itself.
type quiet struct{}

func (quiet) Infof(string, ...any)      {}
func (quiet) Errorf(string, ...any)     {}
func (quiet) Fatalf(f string, a ...any) { panic(fmt.Sprintf(f, a...)) }

type pebbles struct{ db *pebble.DB }

func openPebble(dir string) (*pebble.DB, error) {
	return pebble.Open(dir, &pebble.Options{Logger: quiet{}})
}

func (p pebbles) Begin(key, value []byte) error { return p.db.Set(key, value, pebble.Sync) }
func (p pebbles) End(key, value []byte) error   { return p.db.Set(key, value, pebble.NoSync) }
func (p pebbles) Forget(key []byte) error       { return p.db.Delete(key, pebble.NoSync) }
func (p pebbles) Close() error                  { return p.db.Close() }

var bucket = []byte("keys")

// bolts groups what comes at once, as bbolt's Batch does; the ends are grouped too, and waited for by nobody.
type bolts struct {
	db   *bbolt.DB
	ends sync.WaitGroup
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

func (b *bolts) Begin(key, value []byte) error {
	return b.db.Batch(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put(key, value) })
}

func (b *bolts) End(key, value []byte) error {
	b.ends.Go(func() { _ = b.Begin(key, value) })
	return nil
}

func (b *bolts) Forget(key []byte) error {
	b.ends.Go(func() { _ = b.db.Batch(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Delete(key) }) })
	return nil
}

func (b *bolts) Close() error {
	b.ends.Wait()
	return b.db.Close()
}

var stores = []opener{
	{"pebble", func(dir string) (store, error) {
		db, err := openPebble(dir)
		return pebbles{db}, err
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
		return &bolts{db: db}, err
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
	callers  = 64
	kept     = 20_000 // keys, before they are forgotten
	beginLen = 60
	endLen   = 600
)

// key is one as clients make them: by chance, so that their order says nothing.
func key(n uint64) []byte {
	rng := rand.New(rand.NewPCG(n, 7))
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, rng.Uint64()), n)
}

// written is how many bytes this process had written to storage.
func written(b *testing.B) float64 {
	text, err := os.ReadFile("/proc/self/io")
	if err != nil {
		b.Skip(err)
	}
	_, rest, _ := strings.Cut(string(text), "write_bytes: ")
	line, _, _ := strings.Cut(rest, "\n")
	n, _ := strconv.ParseFloat(line, 64)
	return n
}

func BenchmarkStores(b *testing.B) {
	for _, s := range stores {
		b.Run(s.name, func(b *testing.B) {
			dir := b.TempDir()
			st, err := s.open(dir)
			if err != nil {
				b.Fatal(err)
			}
			value := make([]byte, endLen)
			var mu sync.Mutex
			var took []time.Duration
			var next uint64
			var callersDone sync.WaitGroup
			before := written(b)
			b.ResetTimer()
			for range callers {
				callersDone.Go(func() {
					for {
						mu.Lock()
						n := next
						next++
						mu.Unlock()
						if n >= uint64(b.N) {
							return
						}
						start := time.Now()
						if err := st.Begin(key(n), value[:beginLen]); err != nil {
							b.Error(err)
							return
						}
						d := time.Since(start)
						_ = st.End(key(n), value)
						if n >= kept {
							_ = st.Forget(key(n - kept))
						}
						mu.Lock()
						took = append(took, d)
						mu.Unlock()
					}
				})
			}
			callersDone.Wait()
			b.StopTimer()
			if err := st.Close(); err != nil {
				b.Fatal(err)
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
			b.ReportMetric((written(b)-before)/float64(b.N), "disk-B/op")
			start := time.Now()
			n, err := s.recover(dir)
			if err != nil || n < min(b.N, kept)/2 {
				b.Fatalf("%d keys are back, %v", n, err)
			}
			b.ReportMetric(float64(time.Since(start).Milliseconds()), "open-ms")
			b.ReportMetric(float64(n), "keys")
		})
	}
}
