package pumicecroft

import (
	"context"
	"errors"
	"io/fs"
	"time"

	"pumicecroft/internal/endpointcache"
	"pumicecroft/membership"
)

// endpointCacheInterval is the shortest time between two writes of a source's endpoints.
const endpointCacheInterval = time.Second

// endpointCache keeps the endpoints of one source on disk, so that a later process can start with them. Its fields
// are guarded by Gateway.updateMu.
type endpointCache struct {
	gateway    *Gateway
	source     string
	version    uint64                 // the source's version in membershipTable when it was last written or loaded
	startTimes *membership.StartTimes // backends' start times in the cache that was loaded; nil: none was loaded
}

// newEndpointCache loads the source's cache from disk, if it can be read, and applies it as a cached update.
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

// run writes the endpoints periodically, if they have changed, until ctx ends, and a last time when it ends.
func (c *endpointCache) run(ctx context.Context) {
	runPeriodically(ctx, endpointCacheInterval, c.write)
}

// write writes the source's endpoints if they have changed. If that fails, the next call tries again.
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

// changedNodes returns the source's endpoints if they have changed since they were last written. It waits for an
// update that is being applied, as a partly applied update must not be written.
func (c *endpointCache) changedNodes() (nodes []membership.Node, version uint64, changed bool) {
	g := c.gateway
	lock := g.sourceLocks[c.source]
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
