package pumicecroft

import (
	"context"
	"errors"
	"io/fs"
	"time"

	"pumicecroft/internal/endpointcache"
	"pumicecroft/membership"
)

// endpointCacheInterval is how often a source's list is written at the most.
const endpointCacheInterval = time.Second

// endpointCache keeps what one source has told on disk. Its fields are guarded by Door.update.
type endpointCache struct {
	gateway    *Gateway
	source     string
	version    uint64                 // of what is on disk
	startTimes *membership.StartTimes // what was on disk; nil: nothing
}

// newEndpointCache begins with what is on disk, if that is good.
func newEndpointCache(d *Gateway, source string) *endpointCache {
	k := &endpointCache{gateway: d, source: source}
	nodes, at, err := endpointcache.Read(d.config.StateDir, source)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		d.log.Warn("the list that was kept is no good, the door begins without it", "source", source, "err", err)
	default:
		d.log.Info("the door begins with the list that was kept", "source", source, "of", at, "nodes", len(nodes))
		d.applyUpdate(source, membership.Update{Full: true, Cached: true, Nodes: nodes})
		k.startTimes = membership.NewStartTimes(nodes, at)
	}
	d.updateMu.Lock()
	defer d.updateMu.Unlock()
	k.version = d.membershipTable.SourceVersion(source)
	return k
}

// run writes what has changed, until ctx ends, and then once more.
func (k *endpointCache) run(ctx context.Context) {
	runPeriodically(ctx, endpointCacheInterval, k.write)
}

// runPeriodically writes every so often until ctx ends, and then once more.
func runPeriodically(ctx context.Context, every time.Duration, write func()) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for ended := false; !ended; {
		select {
		case <-tick.C:
		case <-ctx.Done():
			ended = true
		}
		write()
	}
}

func (k *endpointCache) write() {
	d := k.gateway
	turn := d.reportLocks[k.source]
	turn.Lock() // half of a list is nothing to keep
	d.updateMu.Lock()
	if d.membershipTable.SourceVersion(k.source) == k.version {
		d.updateMu.Unlock()
		turn.Unlock()
		return
	}
	nodes, version := d.membershipTable.NodesFrom(k.source)
	d.updateMu.Unlock()
	turn.Unlock()
	if err := endpointcache.Write(d.config.StateDir, k.source, nodes, time.Now()); err != nil {
		d.endpointLog.Do(func() { d.log.Warn("the list of members can't be kept", "source", k.source, "err", err) })
		return // it is tried again
	}
	d.updateMu.Lock()
	k.version = version
	d.updateMu.Unlock()
}
