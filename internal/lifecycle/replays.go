package lifecycle

import (
	"time"

	"pumicecroft/decision"
)

// A host that runs its handlers again submits an id again. Where the request may have executed and its class does
// not permit that it executes again, the id is remembered after the request's end, so that Submit refuses it.

// rememberedID is an id of a request that may have executed.
type rememberedID struct {
	id    decision.RequestID
	until time.Duration
}

// isRemembered tells whether an id's request may have executed lately. It drops ids whose time is over.
func (m *Machine) isRemembered(id decision.RequestID) bool {
	for len(m.rememberedOrder) > 0 && m.rememberedOrder[0].until <= m.now {
		m.forgetOldestID()
	}
	return m.rememberedIDs[id]
}

// remember notes an id for Limits.IDRetention, in place of the oldest where there is no room.
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
