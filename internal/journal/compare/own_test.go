package compare

import (
	"context"
	"sync"
	"time"

	"pumicecroft/internal/journal"
	"pumicecroft/internal/logfile"
)

// journalStore uses package journal and holds the record of each key in memory, as idempotency.Store does.
type journalStore struct {
	mu      sync.Mutex
	log     *journal.Log[[]byte]
	runner  *logfile.Runner[[]byte]
	slots   map[string]*journal.Slot[[]byte]
	waiters []durableWaiter // by ascending record number
}

// durableWaiter waits until a record is durable.
type durableWaiter struct {
	seq  uint64
	done chan bool
}

func openJournal(dir string) (*journalStore, error) {
	d, err := logfile.OpenDir(dir)
	if err != nil {
		return nil, err
	}
	numbers, err := d.List()
	if err != nil {
		return nil, err
	}
	j := &journalStore{slots: map[string]*journal.Slot[[]byte]{}}
	j.log, err = journal.Recover(journal.Options{}, logfile.NewLogID(), numbers, d.Load,
		func(record []byte) (*journal.Slot[[]byte], error) {
			key := string(record[:16])
			if j.slots[key] == nil {
				j.slots[key] = &journal.Slot[[]byte]{}
			}
			j.slots[key].Value = append([]byte(nil), record...)
			return j.slots[key], nil
		})
	if err != nil {
		return nil, err
	}
	start := time.Now()
	j.runner = logfile.Run(&j.mu, j.log, d, func() time.Duration { return time.Since(start) }, func() {
		for len(j.waiters) > 0 && j.waiters[0].seq <= j.log.Durable() {
			j.waiters[0].done <- true
			j.waiters = j.waiters[1:]
		}
		for s := j.log.Stale(); s != nil; s = j.log.Stale() {
			j.log.Append(0, s, s.Value)
		}
	})
	return j, nil
}

// put appends the record of a key and returns its number.
func (j *journalStore) put(key, value []byte) uint64 {
	s := j.slots[string(key)]
	if s == nil {
		s = &journal.Slot[[]byte]{}
		j.slots[string(key)] = s
	}
	s.Value = append(append([]byte(nil), key...), value...)
	return j.log.Append(0, s, s.Value)
}

func (j *journalStore) Begin(key, value []byte) error {
	w := durableWaiter{done: make(chan bool, 1)}
	j.mu.Lock()
	w.seq = j.put(key, value)
	j.waiters = append(j.waiters, w)
	j.mu.Unlock()
	j.runner.Wake()
	<-w.done
	return nil
}

func (j *journalStore) End(key, value []byte) error {
	j.mu.Lock()
	j.put(key, value)
	j.mu.Unlock()
	j.runner.Wake()
	return nil
}

func (j *journalStore) Delete(key []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.slots[string(key)].Drop()
	delete(j.slots, string(key))
	return nil
}

func (j *journalStore) Close() error { return j.runner.Close(context.Background()) }

func init() {
	stores = append(stores, implementation{
		"journal",
		func(dir string) (store, error) { return openJournal(dir) },
		func(dir string) (int, error) {
			j, err := openJournal(dir)
			if err != nil {
				return 0, err
			}
			return len(j.slots), j.Close()
		},
	})
}
