package pumicecroft

import (
	"context"
	"errors"
	"io/fs"
	"time"

	"pumicecroft/internal/endpointcache"
	"pumicecroft/membership"
)

// endpointCacheInterval is how often a source's endpoints are written at the most.
const endpointCacheInterval = time.Second

// endpointCache keeps the endpoints of one source on disk, for a later process to begin with. Its fields are guarded
// by Gateway.updateMu.
type endpointCache struct {
	gateway    *Gateway
	source     string
	version    uint64                 // of what is on disk
	startTimes *membership.StartTimes // from what was on disk; nil: there was nothing
}

// newEndpointCache begins with what is on disk, if that can be read.
func newEndpointCache(g *Gateway, source string) *endpointCache {
	cache := &endpointCache{gateway: g, source: source}
	nodes, writtenAt, err := endpointcache.Read(g.config.StateDir, source)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		g.log.Warn("endpoint cache unreadable; starting without it", "source", source, "err", err)
	default:
		g.log.Info("endpoint cache loaded", "source", source, "written_at", writtenAt, "nodes", len(nodes))
		g.applyUpdate(source, membership.Update{Full: true, Cached: true, Nodes: nodes})
		cache.startTimes = membership.NewStartTimes(nodes, writtenAt)
	}
	g.updateMu.Lock()
	defer g.updateMu.Unlock()
	cache.version = g.membershipTable.SourceVersion(source)
	return cache
}

// run writes what has changed until ctx ends, and once more then.
func (c *endpointCache) run(ctx context.Context) {
	runPeriodically(ctx, endpointCacheInterval, c.write)
}

// write writes the source's endpoints if they have changed. What fails is written the next time.
func (c *endpointCache) write() {
	g := c.gateway
	nodes, version, changed := c.changedNodes()
	if !changed {
		return
	}
	if err := endpointcache.Write(g.config.StateDir, c.source, nodes, time.Now()); err != nil {
		g.endpointLog.Do(func() { g.log.Warn("endpoint cache not written", "source", c.source, "err", err) })
		return
	}
	g.updateMu.Lock()
	c.version = version
	g.updateMu.Unlock()
}

// changedNodes returns the source's endpoints if they have changed since they were written. It waits for an update
// that is being taken in, as half of one must not be written.
func (c *endpointCache) changedNodes() (nodes []membership.Node, version uint64, changed bool) {
	g := c.gateway
	lock := g.reportLocks[c.source]
	lock.Lock()
	defer lock.Unlock()
	g.updateMu.Lock()
	defer g.updateMu.Unlock()
	if g.membershipTable.SourceVersion(c.source) == c.version {
		return nil, 0, false
	}
	nodes, version = g.membershipTable.NodesFrom(c.source)
	return nodes, version, true
}
