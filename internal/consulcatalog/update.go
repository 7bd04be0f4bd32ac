package consulcatalog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pumicecroft/decision"
	"pumicecroft/membership"
)

// minMissingInHealth is how many instances the health API must lack, beside most of those in the catalog, to be
// taken for failing itself.
const minMissingInHealth = 3

// Update returns the service's nodes as they are known now. It returns false if too little is known yet.
// Before both queries have sent a full response, the update is not full and has only nodes that must not be
// sent requests: a cached update may have them as ready.
func (c *Catalog) Update(now time.Time) (update membership.Update, ok bool) {
	if c.awaitingServices || !c.healthSeen {
		update.Nodes, c.earlyDrains = c.earlyDrains, nil
		return update, len(update.Nodes) > 0
	}
	update.Full = c.isComplete()
	healthFailing := c.isHealthFailing()
	absent := 0
	taken := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(c.records)) {
		r := c.records[name]
		if !c.isPresent(name, r, healthFailing) {
			absent++
			c.retainAbsent(name, r, now, absent)
			continue
		}
		node := r.node
		if !c.inHealth[name] {
			node.State, node.Note = decision.Draining, "the catalogue lists it, and health does not"
		}
		if r.mappedName != "" && !taken[r.mappedName] {
			node.Name = r.mappedName
		}
		taken[node.Name] = true
		update.Nodes = append(update.Nodes, node)
	}
	return update, true
}

// isComplete reports whether a node that is missing does not exist. Of two responses that differ, the one
// that came first may only be the older: what it lacks says nothing.
func (c *Catalog) isComplete() bool {
	if !c.full || c.registered == nil {
		return c.full
	}
	older, newer := c.registered, c.inHealth
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

// isHealthFailing reports whether the health API lacks all, or most, of the instances that the catalog
// lists. It has more likely failed itself, so these instances are left out as if they were missing: the
// membership table then weighs the update as a mass removal.
func (c *Catalog) isHealthFailing() bool {
	present, missing := 0, 0
	for name, r := range c.records {
		if (c.registered != nil && !c.registered[name]) || !r.absentSince.IsZero() {
			continue
		}
		present++
		if !c.inHealth[name] {
			missing++
		}
	}
	return missing > 0 && (len(c.inHealth) == 0 || missing >= minMissingInHealth && 2*missing > present)
}

// isPresent reports whether an update names an instance. One that was absent is present again when all that
// are queried list it.
func (c *Catalog) isPresent(name string, r *record, healthFailing bool) bool {
	healthy := c.inHealth[name]
	exists := c.registered[name] || c.registered == nil && healthy
	if exists && healthy {
		r.absentSince = time.Time{}
	}
	return exists && r.absentSince.IsZero() && (healthy || !healthFailing)
}

// retainAbsent keeps an instance that is absent for absentRetention, if it is among the first maxAbsent.
func (c *Catalog) retainAbsent(name string, r *record, now time.Time, absent int) {
	if r.absentSince.IsZero() {
		r.absentSince = now
	}
	if now.Sub(r.absentSince) >= absentRetention || absent > maxAbsent {
		delete(c.records, name)
	}
}

// UnlistedDrains returns the nodes that drain by the health API but that Update leaves out, as the catalog
// lacks them: each once, until it is ready or listed again. A catalog that lacks everything may be doubted
// as a whole, and a drain must not be missing with it, so this is reported before Update. It is not full.
func (c *Catalog) UnlistedDrains() (update membership.Update) {
	if c.awaitingServices || !c.healthSeen || c.registered == nil {
		return update
	}
	for _, name := range slices.Sorted(maps.Keys(c.records)) {
		r := c.records[name]
		unlisted := !c.registered[name] && c.inHealth[name] && r.node.State == decision.Draining
		if unlisted && !r.drainReported {
			node := r.node
			node.Name = cmp.Or(r.mappedName, node.Name)
			update.Nodes = append(update.Nodes, node)
		}
		r.drainReported = unlisted
	}
	return update
}
