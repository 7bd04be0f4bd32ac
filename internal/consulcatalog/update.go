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
// considered as failing. They must also be the majority of the instances in the catalog.
const minMissingInHealth = 3

// Update returns the nodes of the service. ok is false if there is nothing to report yet. Until each queried
// API has sent a full response, the update is not full and contains only nodes that must not receive
// requests, as a cached update may list them as ready.
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

// isComplete reports whether a node missing from the update is certain not to exist. The last response must
// have been full. If the later of the two APIs' responses lists an instance that the earlier one lacks, the
// earlier one may be out of date, so what it lacks is not certain.
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

// isHealthFailing reports whether all or most of the instances in the catalog are missing from the health API.
// The health API is then more likely to have failed than the instances, so they are left out of the update
// instead of drained, and the membership table handles the update as a mass removal.
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

// isPresent reports whether an update includes an instance. An absent instance becomes present again when
// every API that is queried lists it.
func (c *Catalog) isPresent(name string, r *record, healthFailing bool) bool {
	healthy := c.inHealth[name]
	exists := c.registered[name] || c.registered == nil && healthy
	if exists && healthy {
		r.absentSince = time.Time{}
	}
	return exists && r.absentSince.IsZero() && (healthy || !healthFailing)
}

// retainAbsent marks an instance as absent, and deletes it after absentRetention or if it exceeds maxAbsent.
// absent is the number of absent instances so far, this one included.
func (c *Catalog) retainAbsent(name string, r *record, now time.Time, absent int) {
	if r.absentSince.IsZero() {
		r.absentSince = now
	}
	if now.Sub(r.absentSince) >= absentRetention || absent > maxAbsent {
		delete(c.records, name)
	}
}

// UnlistedDrains returns the nodes that drain according to the health API but that Update leaves out because
// the catalog lacks them. Each is returned once, until it is ready or listed again. The membership table may
// disregard the removals of a catalog that lacks most nodes, which would hide the drains too; therefore they
// are reported before Update. The update is not full.
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
