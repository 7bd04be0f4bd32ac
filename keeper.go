package pumicecroft

import (
	"context"
	"errors"
	"io/fs"
	"slices"
	"time"

	"pumicecroft/internal/prepared"
	"pumicecroft/membership"
)

// keepEvery is how often a source's list is written at the most.
const keepEvery = time.Second

// keeper keeps what one source has told on disk. Its fields are guarded by Door.update.
type keeper struct {
	door    *Door
	source  string
	version uint64                     // of what is on disk
	old     map[string]membership.Node // from disk, until the source is heard
	oldAt   time.Time
	started map[string]membership.Node // what the first list was told of starts; it does not grow
}

// newKeeper begins with what is on disk, if that is good.
func newKeeper(d *Door, source string) *keeper {
	k := &keeper{door: d, source: source}
	nodes, at, err := prepared.Read(d.config.StateDir, source)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		d.log.Warn("the list that was kept is no good, the door begins without it", "source", source, "err", err)
	default:
		d.log.Info("the door begins with the list that was kept", "source", source, "of", at, "nodes", len(nodes))
		d.report(source, membership.List{Whole: true, Saved: true, Nodes: nodes})
		k.old, k.oldAt = map[string]membership.Node{}, at
		for _, n := range nodes {
			k.old[n.Name] = n
		}
	}
	d.update.Lock()
	defer d.update.Unlock()
	k.version = d.members.Version(source)
	return k
}

// heard looks at a list before it is reported. A source that has just started may not know when nodes started that
// were there before it: the first list takes that from the one that was kept, and what is not in that has come since.
func (k *keeper) heard(l *membership.List) {
	if l.Failed != nil || k.old == nil && k.started == nil {
		return
	}
	l.Nodes = slices.Clone(l.Nodes)
	if k.old != nil && l.Whole && len(l.Nodes) > 0 {
		k.started = map[string]membership.Node{}
		for _, n := range l.Nodes {
			if !n.Started.IsZero() {
				continue
			}
			n.Started = k.oldAt
			if old, known := k.old[n.Name]; known && old.Addr == n.Addr {
				n.Started = old.Started
			}
			k.started[n.Name] = n
		}
		k.old = nil
	}
	for i := range l.Nodes {
		if n := &l.Nodes[i]; n.Started.IsZero() && k.started[n.Name].Addr == n.Addr {
			n.Started = k.started[n.Name].Started
		}
	}
}

// run writes what has changed, until ctx ends, and then once more.
func (k *keeper) run(ctx context.Context) {
	tick := time.NewTicker(keepEvery)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
		k.write()
	}
}

func (k *keeper) write() {
	d := k.door
	d.update.Lock()
	if d.members.Version(k.source) == k.version {
		d.update.Unlock()
		return
	}
	nodes, version := d.members.Words(k.source)
	d.update.Unlock()
	if err := prepared.Write(d.config.StateDir, k.source, nodes, time.Now()); err != nil {
		d.listLog.Do(func() { d.log.Warn("the list of members can't be kept", "source", k.source, "err", err) })
		return // it is tried again
	}
	d.update.Lock()
	k.version = version
	d.update.Unlock()
}
