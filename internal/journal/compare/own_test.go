package compare

import (
	"context"
	"sync"
	"time"

	"pumicecroft/internal/journal"
	"pumicecroft/internal/logfile"
)

// own is this project's journal, with each key's record held by its caller, as the store of keys does it.
type own struct {
	mu    sync.Mutex
	log   *journal.Log[[]byte]
	run   *logfile.Runner[[]byte]
	slots map[string]*journal.Slot[[]byte]
	waits []wait
}

type wait struct {
	seq  uint64
	done chan bool
}

func openOwn(dir string) (*own, error) {
	d, err := logfile.OpenDir(dir)
	if err != nil {
		return nil, err
	}
	numbers, err := d.List()
	if err != nil {
		return nil, err
	}
	o := &own{slots: map[string]*journal.Slot[[]byte]{}}
	o.log, err = journal.Recover(journal.Options{}, logfile.NewLogID(), numbers, d.Load, func(rec []byte) (*journal.Slot[[]byte], error) {
		name := string(rec[:16])
		if o.slots[name] == nil {
			o.slots[name] = &journal.Slot[[]byte]{}
		}
		o.slots[name].Value = append([]byte(nil), rec...)
		return o.slots[name], nil
	})
	if err != nil {
		return nil, err
	}
	start := time.Now()
	o.run = logfile.Run(&o.mu, o.log, d, func() time.Duration { return time.Since(start) }, func() {
		for len(o.waits) > 0 && o.waits[0].seq <= o.log.Durable() {
			o.waits[0].done <- true
			o.waits = o.waits[1:]
		}
		for s := o.log.Stale(); s != nil; s = o.log.Stale() {
			o.log.Append(0, s, s.Value)
		}
	})
	return o, nil
}

func (o *own) put(key, value []byte) uint64 {
	s := o.slots[string(key)]
	if s == nil {
		s = &journal.Slot[[]byte]{}
		o.slots[string(key)] = s
	}
	s.Value = append(append([]byte(nil), key...), value...)
	return o.log.Append(0, s, s.Value)
}

func (o *own) Begin(key, value []byte) error {
	w := wait{done: make(chan bool, 1)}
	o.mu.Lock()
	w.seq = o.put(key, value)
	o.waits = append(o.waits, w)
	o.mu.Unlock()
	o.run.Wake()
	<-w.done
	return nil
}

func (o *own) End(key, value []byte) error {
	o.mu.Lock()
	o.put(key, value)
	o.mu.Unlock()
	o.run.Wake()
	return nil
}

func (o *own) Forget(key []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.slots[string(key)].Drop()
	delete(o.slots, string(key))
	return nil
}

func (o *own) Close() error { return o.run.Close(context.Background()) }

func init() {
	stores = append(stores, opener{"journal", func(dir string) (store, error) { return openOwn(dir) }, func(dir string) (int, error) {
		o, err := openOwn(dir)
		if err != nil {
			return 0, err
		}
		return len(o.slots), o.Close()
	}})
}
