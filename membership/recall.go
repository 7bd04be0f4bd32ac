package membership

import (
	"slices"
	"time"
)

// StartTimes is what a source's list of before a restart is still good for once the source is heard: a source that has just started
// may not know when nodes started that were there before it. It is pure, and not safe for concurrent use.
type StartTimes struct {
	cached   map[string]Node // as kept, until the source is heard
	cachedAt time.Time
	inferred map[string]Node // of the first list, with the starts that were made up; it does not grow
}

// NewStartTimes begins with the nodes that were kept, and when.
func NewStartTimes(kept []Node, at time.Time) *StartTimes {
	r := &StartTimes{cached: map[string]Node{}, cachedAt: at}
	for _, n := range kept {
		r.cached[n.Name] = n
	}
	return r
}

// FillIn looks at a list before it is reported, and fills in starts: the first whole list takes them from the one that was
// kept, and what is not in that has come since, at the earliest when it was kept. l's nodes are copied before they change.
func (r *StartTimes) FillIn(l *Update) {
	if l.Err != nil {
		return
	}
	l.Nodes = slices.Clone(l.Nodes)
	if r.cached != nil && l.Full && len(l.Nodes) > 0 {
		r.inferred = map[string]Node{}
		for _, n := range l.Nodes {
			if !n.StartedAt.IsZero() {
				continue
			}
			n.StartedAt = r.cachedAt
			if old, known := r.cached[n.Name]; known && old.Addr == n.Addr {
				n.StartedAt = old.StartedAt
			}
			r.inferred[n.Name] = n
		}
		r.cached = nil
	}
	for i := range l.Nodes {
		if n := &l.Nodes[i]; n.StartedAt.IsZero() && r.inferred[n.Name].Addr == n.Addr {
			n.StartedAt = r.inferred[n.Name].StartedAt
		}
	}
}
