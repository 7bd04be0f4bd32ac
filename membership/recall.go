package membership

import (
	"slices"
	"time"
)

// Recall is what a source's list of before a restart is still good for once the source is heard: a source that has just started
// may not know when nodes started that were there before it. It is pure, and not safe for concurrent use.
type Recall struct {
	old   map[string]Node // as kept, until the source is heard
	oldAt time.Time
	nodes map[string]Node // of the first list, with the starts that were made up; it does not grow
}

// NewRecall begins with the nodes that were kept, and when.
func NewRecall(kept []Node, at time.Time) *Recall {
	r := &Recall{old: map[string]Node{}, oldAt: at}
	for _, n := range kept {
		r.old[n.Name] = n
	}
	return r
}

// Heard looks at a list before it is reported, and fills in starts: the first whole list takes them from the one that was
// kept, and what is not in that has come since, at the earliest when it was kept. l's nodes are copied before they change.
func (r *Recall) Heard(l *List) {
	if l.Failed != nil {
		return
	}
	l.Nodes = slices.Clone(l.Nodes)
	if r.old != nil && l.Whole && len(l.Nodes) > 0 {
		r.nodes = map[string]Node{}
		for _, n := range l.Nodes {
			if !n.Started.IsZero() {
				continue
			}
			n.Started = r.oldAt
			if old, known := r.old[n.Name]; known && old.Addr == n.Addr {
				n.Started = old.Started
			}
			r.nodes[n.Name] = n
		}
		r.old = nil
	}
	for i := range l.Nodes {
		if n := &l.Nodes[i]; n.Started.IsZero() && r.nodes[n.Name].Addr == n.Addr {
			n.Started = r.nodes[n.Name].Started
		}
	}
}
