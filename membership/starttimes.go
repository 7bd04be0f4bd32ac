package membership

import (
	"slices"
	"time"
)

// StartTimes fills in the start times that a source does not report, from an update of that source that was
// cached before the gateway restarted. A source that has just started itself may not know when nodes older
// than itself started. StartTimes is not safe for concurrent use.
type StartTimes struct {
	cached   map[string]Node // the cached update; nil after the first full update
	cachedAt time.Time
	inferred map[string]Node // the first full update's nodes without a start, with it filled in; never grows later
}

// NewStartTimes returns the start times of nodes that were cached at the given time.
func NewStartTimes(cached []Node, at time.Time) *StartTimes {
	s := &StartTimes{cached: map[string]Node{}, cachedAt: at}
	for _, node := range cached {
		s.cached[node.Name] = node
	}
	return s
}

// FillIn fills in the starts that an update lacks. It must be called for each update, before the update is
// merged. For the first full update, the starts come from the cached update; a node that is not in the
// cached update, or has another address there, started after the cache was written, and its start is taken
// to be the time of the cache, the earliest possible. The update's nodes are copied, not changed in place.
func (s *StartTimes) FillIn(update *Update) {
	if update.Err != nil {
		return
	}
	update.Nodes = slices.Clone(update.Nodes)
	if s.cached != nil && update.Full && len(update.Nodes) > 0 {
		s.infer(update.Nodes)
		s.cached = nil
	}
	for i := range update.Nodes {
		node := &update.Nodes[i]
		if known := s.inferred[node.Name]; node.StartedAt.IsZero() && known.Addr == node.Addr {
			node.StartedAt = known.StartedAt
		}
	}
}

// infer determines the starts of those nodes of the first full update that lack one.
func (s *StartTimes) infer(nodes []Node) {
	s.inferred = map[string]Node{}
	for _, node := range nodes {
		if !node.StartedAt.IsZero() {
			continue
		}
		node.StartedAt = s.cachedAt
		if cached, ok := s.cached[node.Name]; ok && cached.Addr == node.Addr {
			node.StartedAt = cached.StartedAt
		}
		s.inferred[node.Name] = node
	}
}
