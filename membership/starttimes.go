package membership

import (
	"slices"
	"time"
)

// StartTimes fills in when nodes started, from a source's cached update of before a restart, where the
// source itself does not say: a source that has just started may not know it of nodes that are older
// than itself. It is not safe for concurrent use.
type StartTimes struct {
	cached   map[string]Node // the cached update; nil once a full update has come
	cachedAt time.Time
	inferred map[string]Node // nodes of the first full update, with the starts filled in; it does not grow
}

// NewStartTimes returns the start times of nodes that were cached at a time.
func NewStartTimes(cached []Node, at time.Time) *StartTimes {
	s := &StartTimes{cached: map[string]Node{}, cachedAt: at}
	for _, node := range cached {
		s.cached[node.Name] = node
	}
	return s
}

// FillIn fills in the starts that an update lacks; it is called for each update, before it is merged.
// The first full update takes them from the cached one; a node that is not in that has started since, at
// the earliest when it was cached. The nodes are copied before they are changed.
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

// infer notes the starts of those nodes of the first full update that lack one.
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
