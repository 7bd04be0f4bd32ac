package membership

import "time"

// tombstone records a removed node's outages, so that a node that is removed and added repeatedly is put in
// probation like one whose health check flaps.
type tombstone struct {
	outages   int
	removedAt time.Duration
}

// tombstoneTTLInResets is how long a tombstone is kept, in multiples of Policy.ProbationReset.
const tombstoneTTLInResets = 5

// addTombstone records a tombstone for a removed member.
func (t *Table) addTombstone(m *member) {
	t.tombstones[m.name] = tombstone{m.outages, t.now}
	t.tombstoneOrder = append(t.tombstoneOrder, m.name)
}

// takeTombstone removes the tombstone of a node that is back, and returns its outages minus one for each
// Policy.ProbationReset since its removal. The result may be negative. It returns false if there is no
// tombstone.
func (t *Table) takeTombstone(name string) (outages int, ok bool) {
	removed, ok := t.tombstones[name]
	if !ok {
		return 0, false
	}
	delete(t.tombstones, name)
	return removed.outages - int((t.now-removed.removedAt)/t.policy.ProbationReset), true
}

// expireTombstones deletes expired tombstones, and the oldest ones while there are more than Policy.MaxNodes.
func (t *Table) expireTombstones() {
	retention := tombstoneTTLInResets * t.policy.ProbationReset
	for len(t.tombstoneOrder) > 0 {
		name := t.tombstoneOrder[0]
		if removed, ok := t.tombstones[name]; ok {
			if t.now-removed.removedAt < retention && len(t.tombstoneOrder) <= t.policy.MaxNodes {
				break
			}
			delete(t.tombstones, name)
		}
		t.tombstoneOrder = t.tombstoneOrder[1:]
	}
}
