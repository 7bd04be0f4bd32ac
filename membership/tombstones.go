package membership

import "time"

// tombstone is what is remembered of a removed node, so that one that comes and goes serves its
// probation like one whose health check flaps.
type tombstone struct {
	outages   int
	removedAt time.Duration
}

// tombstoneResets is how many times Policy.ProbationReset a tombstone is kept.
const tombstoneResets = 5

// bury keeps a tombstone of a removed member.
func (t *Table) bury(m *member) {
	t.tombstones[m.name] = tombstone{m.outages, t.now}
	t.tombstoneOrder = append(t.tombstoneOrder, m.name)
}

// takeTombstone removes the tombstone of a node that is back, and returns its outages less those that
// were forgotten since; that may be below zero. It returns false if there is no tombstone.
func (t *Table) takeTombstone(name string) (outages int, ok bool) {
	stone, ok := t.tombstones[name]
	if !ok {
		return 0, false
	}
	delete(t.tombstones, name)
	return stone.outages - int((t.now-stone.removedAt)/t.policy.ProbationReset), true
}

// expireTombstones forgets tombstones that are old, and the oldest if there are more than Policy.MaxNodes.
func (t *Table) expireTombstones() {
	retention := tombstoneResets * t.policy.ProbationReset
	for len(t.tombstoneOrder) > 0 {
		name := t.tombstoneOrder[0]
		if stone, ok := t.tombstones[name]; ok {
			if t.now-stone.removedAt < retention && len(t.tombstoneOrder) <= t.policy.MaxNodes {
				break
			}
			delete(t.tombstones, name)
		}
		t.tombstoneOrder = t.tombstoneOrder[1:]
	}
}
