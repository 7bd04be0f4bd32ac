package lifecycle

import (
	"time"

	"pumicecroft/decision"
)

// An executor whose caller repeats a call submits the same id again. The id of a request that may have executed and
// whose class does not allow a second execution is therefore remembered after the request has ended, and Submit returns
// ErrReplayed for it.

// rememberedID is the id of a request that may have executed, and when to forget it.
type rememberedID struct {
	id    decision.RequestID
	until time.Duration
}

// isRemembered returns whether the id is remembered. It first drops the ids whose retention time is over.
func (m *Machine) isRemembered(id decision.RequestID) bool {
	for len(m.rememberedOrder) > 0 && m.rememberedOrder[0].until <= m.now {
		m.forgetOldestID()
	}
	return m.rememberedIDs[id]
}

// remember keeps an id for Limits.IDRetention. If MaxRememberedIDs is reached, it replaces the oldest one. The
// retention of an id that is already remembered is not prolonged.
func (m *Machine) remember(id decision.RequestID) {
	if m.isRemembered(id) {
		return
	}
	if len(m.rememberedOrder) >= m.limits.MaxRememberedIDs {
		m.forgetOldestID()
	}
	m.rememberedIDs[id] = true
	m.rememberedOrder = append(m.rememberedOrder, rememberedID{id, m.now + m.limits.IDRetention})
}

func (m *Machine) forgetOldestID() {
	delete(m.rememberedIDs, m.rememberedOrder[0].id)
	m.rememberedOrder = m.rememberedOrder[1:]
}
