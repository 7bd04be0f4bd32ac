// Package registry says what a service catalogue's entries mean: which nodes there are, which may be sent anything,
// and which of them are new and so cold. Its entries are those of Consul's catalogue and health API. It is pure:
// entries and times in, a list of members out.
package registry

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"pumicecroft/decision"
	"pumicecroft/membership"
)

// Entry is one instance of a service.
type Entry struct {
	Node, ID    string // an id is unique at its node
	Host        string
	Port        int
	Addr        string // host:port, as one connects to it
	Datacenter  string
	Meta        map[string]string // of the service
	NodeMeta    map[string]string
	Passing     float64 // weights
	Warning     float64
	Create      uint64 // the index at which it was registered
	Checks      []Check
	Maintenance bool // its node or service is in maintenance mode
}

// Check is one health check's state: passing, warning or critical.
type Check struct{ ID, Status, Output string }

// Mapping says where a node's attributes stand. A name is a key of the service's meta; "node:KEY" is one of the node's
// meta, and "datacenter" the datacenter. Empty: there is none.
type Mapping struct {
	Zone, Cell, Model, Protocol string
	// Name holds what the node is called, so that other sources can mean the same one. Without it, where it is empty and
	// where another has it too, that is NODE/ID.
	Name string
	// Started holds when the process started (RFC 3339, or Unix time in seconds or milliseconds), or any text that is
	// another with each process: a boot id, a process number.
	Started string
	// ServeWarning says that a node in warning is sent to, with its weight for that; else it drains.
	ServeWarning bool
	// Speaks is what nodes speak of which Protocol's key says nothing.
	Speaks string
}

// Book is one service's entries as they were told. It is not safe for concurrent use.
type Book struct {
	mapping Mapping
	epoch   int // how often the catalogue began anew
	told    bool
	nodes   map[string]*record
	waits   bool              // for the catalogue's first word
	exist   map[string]bool   // by the catalogue; nil: it is not asked, or has failed
	listed  map[string]bool   // by health, in its last whole list
	whole   bool              // the last answer was; what another lacks says nothing
	newer   bool              // health was heard since the catalogue
	early   []membership.Node // that are not to be sent to, by answers that are not whole before one that is
}

// record is what is kept of an entry.
type record struct {
	node    membership.Node
	create  uint64
	process string
	called  string // by the mapping
	epoch   int
	absent  time.Time // since when nobody lists it; zero: it is listed
	hidden  bool      // Drains has told of it
}

// keepAbsent is for how long an entry that nobody lists is kept, so that it is known again when a catalogue that
// began anew lists it; at most mostAbsent are.
const (
	keepAbsent = 5 * time.Minute
	mostAbsent = 20_000
)

// maxNote bounds what is kept of a check's output, in bytes.
const maxNote = 160

// NewBook starts a book. With catalogue, what exists is the catalogue's word, and nothing is told before both have
// been heard.
func NewBook(m Mapping, catalogue bool) *Book {
	return &Book{mapping: m, nodes: map[string]*record{}, listed: map[string]bool{}, waits: catalogue}
}

// Name is a node's name: unique among services too, as an id is unique at its node.
func Name(node, id string) string { return node + "/" + id }

// Health takes in an answer of the health API. whole says that what it lacks is not there, and anew that the catalogue
// has begun anew. Of an answer that is not whole, which may be older than what is known, only that a known node is not
// to be sent to counts. bad holds what is wrong with single entries; the others count, and one that was there before
// stays as it was.
func (b *Book) Health(now time.Time, entries []Entry, whole, anew bool) (bad []error) {
	if anew {
		b.epoch++
	}
	b.early, b.whole, b.newer = nil, whole, b.newer || whole
	if whole {
		b.listed = map[string]bool{}
	}
	for _, e := range entries {
		name := Name(e.Node, e.ID)
		if !whole {
			if state, weight, note := b.judge(e); state == decision.Draining && b.nodes[name] != nil {
				n := &b.nodes[name].node
				n.State, n.Weight, n.Note = state, weight, note
			} else if state == decision.Draining && !b.told && e.Node != "" && e.ID != "" {
				var r record
				b.fill(&r, name, e)
				r.node.Name = cmp.Or(r.called, name)
				b.early = append(b.early, r.node)
			}
			continue
		}
		b.listed[name] = true
		if err := b.take(now, name, e, !b.told); err != nil {
			bad = append(bad, err)
		}
	}
	b.told = b.told || whole
	return bad
}

// Catalogue takes in a whole answer of the catalogue: the names of what exists.
func (b *Book) Catalogue(names []string) {
	b.waits, b.whole, b.newer, b.exist = false, true, false, map[string]bool{}
	for _, n := range names {
		b.exist[n] = true
	}
}

// CatalogueFailed says that the catalogue can't be heard: until it is, health alone says what exists. It tells whether
// List has waited for it.
func (b *Book) CatalogueFailed() (waited bool) {
	waited = b.waits
	b.waits, b.exist = false, nil
	return waited
}

// take notes an entry.
func (b *Book) take(now time.Time, name string, e Entry, first bool) error {
	if e.Node == "" || e.ID == "" {
		return fmt.Errorf("an entry without a node or an id, at %q", e.Addr)
	}
	if e.Host == "" || e.Port < 1 || e.Port > 65535 || e.Addr == "" {
		return fmt.Errorf("entry %s: there is no host %q with a port %d", name, e.Host, e.Port)
	}
	process := b.look(b.mapping.Started, e)
	started := startOf(process)
	if started.After(now) {
		started = now // a clock that is ahead; a start to come would keep the node cold for as long
	}
	r := b.nodes[name]
	switch {
	case r == nil:
		if !first && started.Before(now) {
			started = now // it was registered just now, or at least was not here before
		}
		r = &record{}
		b.nodes[name] = r
		r.node.Started = started
	case r.process != process, r.node.Addr != e.Addr, r.create != e.Create && r.epoch == b.epoch:
		// Its process or its registration is new. In a catalogue that began anew all registrations are, and that
		// alone says nothing. One that was away and comes back under its old registration was never gone.
		r.node.Started = now
	}
	r.create, r.process, r.epoch = e.Create, process, b.epoch
	b.fill(r, name, e)
	return nil
}

// fill notes what an entry says of its node.
func (b *Book) fill(r *record, name string, e Entry) {
	r.called = b.look(b.mapping.Name, e)
	n := &r.node
	n.Name, n.Addr, n.Zone, n.Kind = name, e.Addr, b.look(b.mapping.Zone, e), b.look(b.mapping.Model, e)
	if n.Protocol = b.look(b.mapping.Protocol, e); n.Protocol == "" {
		n.Protocol = b.mapping.Speaks
	}
	n.Cell = cellOf(b.look(b.mapping.Cell, e), name)
	n.State, n.Weight, n.Note = b.judge(e)
}

// judge says what an entry's checks add up to.
func (b *Book) judge(e Entry) (decision.BackendState, float64, string) {
	warning := ""
	for _, c := range e.Checks {
		note := c.Status + ": " + c.ID
		if c.Output != "" {
			note += ": " + c.Output
		}
		if len(note) > maxNote {
			note = strings.ToValidUTF8(note[:maxNote], "")
		}
		switch c.Status {
		case "passing":
		case "warning":
			warning = cmp.Or(warning, note)
		default: // critical, maintenance, or what is not known: nothing new
			return decision.Draining, weight(e.Passing), note
		}
	}
	if e.Maintenance {
		return decision.Draining, weight(e.Passing), "maintenance"
	}
	if warning == "" {
		return decision.Ready, weight(e.Passing), ""
	}
	if b.mapping.ServeWarning {
		return decision.Ready, weight(e.Warning), warning
	}
	return decision.Draining, weight(e.Warning), warning
}

// weight is a weight that makes sense.
func weight(w float64) float64 {
	if !(w > 0) {
		return 1
	}
	return min(w, 1e6)
}

// look finds an attribute.
func (b *Book) look(name string, e Entry) string {
	if name == "" {
		return ""
	}
	if name == "datacenter" {
		return e.Datacenter
	}
	if key, ok := strings.CutPrefix(name, "node:"); ok {
		return e.NodeMeta[key]
	}
	return e.Meta[name]
}

// cellOf is a cell by its name: a whole number is itself, another text a number made of it that no whole number of
// 62 bits is. A node without a cell has one of its own, as a repeat to a cell that it is not in would run twice.
func cellOf(text, name string) int {
	if n, err := strconv.Atoi(text); err == nil && n >= 0 && n < 1<<62 {
		return n
	}
	h := fnv.New64a()
	if text == "" {
		text = "\x00" + name
	}
	h.Write([]byte(text))
	return int(h.Sum64()>>2 | 1<<62)
}

// startOf reads a time of start; zero: it is none, or is not there.
func startOf(text string) time.Time {
	if t, err := time.Parse(time.RFC3339, text); err == nil {
		return t
	}
	n, err := strconv.ParseInt(text, 10, 64)
	switch {
	case err != nil || n < 1e9: // before 2001: a process number, say
		return time.Time{}
	case n < 1e11:
		return time.Unix(n, 0)
	case n < 1e14:
		return time.UnixMilli(n)
	}
	return time.Time{}
}

// List is the service's nodes as they are believed now; not ok: too little was heard yet. Before a whole answer it is not whole:
// only those that are not to be sent to, which whoever began with an older list must hear of.
func (b *Book) List(now time.Time) (l membership.List, ok bool) {
	if b.waits || !b.told {
		l.Nodes, b.early = b.early, nil
		return l, len(l.Nodes) > 0
	}
	// Health lists what is in the catalogue. Of two that differ the one heard first may only be the older: what it lacks says nothing.
	l.Whole = b.whole
	if older, newer := b.exist, b.listed; b.exist != nil && l.Whole {
		if !b.newer {
			older, newer = b.listed, b.exist
		}
		for name := range newer {
			l.Whole = l.Whole && older[name]
		}
	}
	present, lost := 0, 0 // nodes that the catalogue lists, and those of them that health does not
	for name, r := range b.nodes {
		if (b.exist == nil || b.exist[name]) && r.absent.IsZero() {
			present++
			lost += b2i(!b.listed[name])
		}
	}
	// Health that lacks all, or most, of what the catalogue lists has more likely failed itself: that is left to who
	// weighs lists that lose most of their nodes.
	failing := lost > 0 && (len(b.listed) == 0 || lost >= 3 && 2*lost > present)
	absent := 0
	names := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(b.nodes)) {
		r := b.nodes[name]
		n := r.node
		exists := b.exist[name] || b.exist == nil && b.listed[name]
		if exists && b.listed[name] {
			r.absent = time.Time{}
		}
		if !exists || !r.absent.IsZero() || failing && !b.listed[name] { // one that was absent is back when both list it
			if r.absent.IsZero() {
				r.absent = now
			}
			if absent++; now.Sub(r.absent) >= keepAbsent || absent > mostAbsent {
				delete(b.nodes, name)
			}
			continue
		}
		if !b.listed[name] {
			n.State, n.Note = decision.Draining, "the catalogue lists it, and health does not"
		}
		if r.called != "" && !names[r.called] {
			n.Name = r.called
		}
		names[n.Name] = true
		l.Nodes = append(l.Nodes, n)
	}
	return l, true
}

// Drains are the nodes that health says must not be sent to, and that List does not give, as the catalogue lacks them: each once, until it
// is well or listed again. A catalogue that lacks all may be doubted as a whole, and what health says of one node must not go with it: so
// this is told before List. It is not whole.
func (b *Book) Drains() (l membership.List) {
	if b.waits || !b.told || b.exist == nil {
		return l
	}
	for _, name := range slices.Sorted(maps.Keys(b.nodes)) {
		r := b.nodes[name]
		hidden := !b.exist[name] && b.listed[name] && r.node.State == decision.Draining
		if hidden && !r.hidden {
			n := r.node
			n.Name = cmp.Or(r.called, n.Name)
			l.Nodes = append(l.Nodes, n)
		}
		r.hidden = hidden
	}
	return l
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
