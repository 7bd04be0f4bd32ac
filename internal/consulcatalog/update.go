package consulcatalog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pumicecroft/decision"
	"pumicecroft/membership"
)

// minMissingInHealth is the least number of instances that must be missing from the health API for it to be
// considered as failing, unless that lists none at all. They must also be the majority of the instances in the
// catalog API.
const minMissingInHealth = 3

// TakeUpdate returns the nodes of the service as known from both APIs. ok is false if there is nothing to report
// yet. Until each queried API has sent a full response, the update is not full and contains only nodes that must
// not receive requests, each once: the endpoint cache may have reported them as ready. TakeUpdate also tracks
// which instances are absent and deletes those that have been absent for too long.
func (c *Catalog) TakeUpdate(now time.Time) (update membership.Update, ok bool) {
	if c.awaitingCatalogAPI || !c.healthSeen {
		update.Nodes = c.takeDrainsBeforeFull()
		return update, len(update.Nodes) > 0
	}
	update.Full = c.isComplete()
	healthFailing := c.isHealthFailing()
	absentCount := 0
	usedNames := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(c.records)) {
		r := c.records[name]
		if !c.updatePresence(name, r, healthFailing) {
			absentCount++
			c.markAbsent(name, r, now, absentCount)
			continue
		}
		node := r.node
		if !c.inHealth[name] {
			node.State, node.Note = decision.Draining, "the catalogue lists it, and health does not"
		}
		// Names must be unique: of several instances with one mapped name, the first gets it.
		if r.mappedName != "" && !usedNames[r.mappedName] {
			node.Name = r.mappedName
		}
		usedNames[node.Name] = true
		update.Nodes = append(update.Nodes, node)
	}
	return update, true
}

// takeDrainsBeforeFull returns the nodes that must not receive requests and were not returned before. It is used
// until each queried API has sent a full response.
func (c *Catalog) takeDrainsBeforeFull() (nodes []membership.Node) {
	if !c.healthSeen {
		nodes, c.earlyDrains = c.earlyDrains, nil
		return nodes
	}
	return c.takeDrains(func(string) bool { return true })
}

// takeDrains returns the draining nodes among the instances that a condition selects. Each is returned once; when it
// is ready or not selected any more, its next drain counts as another one.
func (c *Catalog) takeDrains(selects func(name string) bool) (nodes []membership.Node) {
	for _, name := range slices.Sorted(maps.Keys(c.records)) {
		r := c.records[name]
		draining := r.node.State == decision.Draining && selects(name)
		if draining && !r.drainReported {
			node := r.node
			node.Name = cmp.Or(r.mappedName, node.Name)
			nodes = append(nodes, node)
		}
		r.drainReported = draining
	}
	return nodes
}

// isComplete reports whether every node that the update lacks is certain not to exist. The last response must
// have been full. If the newer of the two APIs' responses lists an instance that the older one lacks, the older
// response may be out of date, so other instances that it lacks may exist too.
func (c *Catalog) isComplete() bool {
	if !c.full || c.inCatalog == nil {
		return c.full
	}
	older, newer := c.inCatalog, c.inHealth
	if !c.healthIsNewer {
		older, newer = newer, older
	}
	for name := range newer {
		if !older[name] {
			return false
		}
	}
	return true
}

// isHealthFailing reports whether all or most of the instances in the catalog API are missing from the health API.
// The health API is then more likely to have failed than the instances, so they are left out of the update
// instead of drained, and the membership table handles the update as a mass removal.
func (c *Catalog) isHealthFailing() bool {
	listed, missing := 0, 0
	for name, r := range c.records {
		if (c.inCatalog != nil && !c.inCatalog[name]) || !r.absentSince.IsZero() {
			continue
		}
		listed++
		if !c.inHealth[name] {
			missing++
		}
	}
	return missing > 0 && (len(c.inHealth) == 0 || missing >= minMissingInHealth && 2*missing > listed)
}

// updatePresence reports whether an update includes an instance. It ends the absence of an instance that every
// queried API lists again.
func (c *Catalog) updatePresence(name string, r *record, healthFailing bool) bool {
	healthy := c.inHealth[name]
	exists := c.inCatalog[name] || c.inCatalog == nil && healthy
	if exists && healthy {
		r.absentSince = time.Time{}
	}
	return exists && r.absentSince.IsZero() && (healthy || !healthFailing)
}

// markAbsent marks an instance as absent, and deletes it after absentRetention or if it exceeds maxAbsent.
// absentCount is the number of absent instances so far, in the order of their names, this one included.
func (c *Catalog) markAbsent(name string, r *record, now time.Time, absentCount int) {
	if r.absentSince.IsZero() {
		r.absentSince = now
	}
	if now.Sub(r.absentSince) >= absentRetention || absentCount > maxAbsent {
		delete(c.records, name)
	}
}

// TakeUnlistedDrains returns the nodes that drain according to the health API but that TakeUpdate leaves out
// because the catalog API lacks them. Each is returned once; when it is ready or listed again, its next drain
// counts as another one. The update is not full. It must be reported before that of TakeUpdate: if the catalog
// API lacks most nodes, the membership table may disregard their removals, and would not learn of the drains.
func (c *Catalog) TakeUnlistedDrains() (update membership.Update) {
	if c.awaitingCatalogAPI || !c.healthSeen || c.inCatalog == nil {
		return update
	}
	update.Nodes = c.takeDrains(func(name string) bool { return !c.inCatalog[name] && c.inHealth[name] })
	return update
}
