package membership

import "time"

// maxAtAddr is the number of nodes at one address that are compared. With more, the address does not identify a
// process.
const maxAtAddr = 8

// addressIndex lists the members at each address whose node owns it (Node.OwnsAddr). It takes one map entry for each
// address and no allocation for each member.
type addressIndex map[string]*member

// addressLinks are a member's neighbors in the list of its address.
type addressLinks struct {
	addr       string // empty: the member is in no list
	prev, next *member
}

// move puts a member into the list of an address, and out of its previous one. An empty address is in no list.
func (x addressIndex) move(m *member, addr string) {
	if m.atAddr.addr == addr {
		return
	}
	x.remove(m)
	if addr == "" {
		return
	}
	first := x[addr]
	if first != nil {
		first.atAddr.prev = m
	}
	m.atAddr = addressLinks{addr: addr, next: first}
	x[addr] = m
}

func (x addressIndex) remove(m *member) {
	links := m.atAddr
	if links.addr == "" {
		return
	}
	if links.next != nil {
		links.next.atAddr.prev = links.prev
	}
	switch {
	case links.prev != nil:
		links.prev.atAddr.next = links.next
	case links.next != nil:
		x[links.addr] = links.next
	default:
		delete(x, links.addr)
	}
	m.atAddr = addressLinks{}
}

// others returns the other members at an address.
func (x addressIndex) others(addr string, m *member) (others []*member) {
	for other := x[addr]; other != nil && len(others) < maxAtAddr; other = other.atAddr.next {
		if other != m {
			others = append(others, other)
		}
	}
	return others
}

// superseded reports whether a process that started later has the address of a member that started at the given time.
// The member's own process is gone then, even if its source has not noticed yet: it takes seconds until a process that
// dies without a word is missed, and less until a new one is announced. Requests for the member would reach the new
// process, which may be cold and does not know the member's idempotency keys.
func (t *Table) superseded(m *member, started time.Duration) bool {
	for _, other := range t.addresses.others(m.atAddr.addr, m) {
		if other.emitted.StartedAt > started {
			return true
		}
	}
	return false
}

// reviewAddr emits the changes of the other members at an address.
func (t *Table) reviewAddr(addr string, changed *member) {
	for _, other := range t.addresses.others(addr, changed) {
		t.emit(other, *other.reports[0].node, other.emitted.StartedAt)
	}
}
