// Package consulcatalog says what a service catalogue's entries mean: which nodes there are, which may be sent anything,
// and which of them are new and so cold. Its entries are those of Consul's catalogue and health API. It is pure:
// entries and times in, a list of members out.
package consulcatalog

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
	Node, ID      string // an id is unique at its node
	Host          string
	Port          int
	Addr          string // host:port, as one connects to it
	Datacenter    string
	Meta          map[string]string // of the service
	NodeMeta      map[string]string
	PassingWeight float64 // weights
	WarningWeight float64
	CreateIndex   uint64 // the index at which it was registered
	Checks        []Check
	Maintenance   bool // its node or service is in maintenance mode
}

// Check is one health check's state: passing, warning or critical.
type Check struct{ ID, Status, Output string }

// Mapping says where a node's attributes stand. A name is a key of the service's meta; "node:KEY" is one of the node's
// meta, and "datacenter" the datacenter. Empty: there is none.
type Mapping struct {
	Zone, Cell, InstanceType, Protocol string
	// Name holds what the node is called, so that other sources can mean the same one. Without it, where it is empty and
	// where another has it too, that is NODE/ID.
	Name string
	// Started holds when the process started (RFC 3339, or Unix time in seconds or milliseconds), or any text that is
	// another with each process: a boot id, a process number.
	Started string
	// ServeWarning says that a node in warning is sent to, with its weight for that; else it drains.
	ServeWarning bool
	// DefaultProtocol is what nodes speak of which Protocol's key says nothing.
	DefaultProtocol string
}

// Catalog is one service's entries as they were told. It is not safe for concurrent use.
type Catalog struct {
	mapping          Mapping
	epoch            int // how often the catalogue began anew
	healthSeen       bool
	records          map[string]*record
	awaitingServices bool              // for the catalogue's first word
	registered       map[string]bool   // by the catalogue; nil: it is not asked, or has failed
	inHealth         map[string]bool   // by health, in its last whole list
	full             bool              // the last answer was; what another lacks says nothing
	healthIsNewer    bool              // health was heard since the catalogue
	earlyDrains      []membership.Node // that are not to be sent to, by answers that are not whole before one that is
}

// record is what is kept of an entry.
type record struct {
	node          membership.Node
	createIndex   uint64
	processID     string
	mappedName    string // by the mapping
	epoch         int
	absentSince   time.Time // since when nobody lists it; zero: it is listed
	drainReported bool      // Drains has told of it
}

// keepAbsent is for how long an entry that nobody lists is kept, so that it is known again when a catalogue that
// began anew lists it; at most mostAbsent are.
const (
	absentRetention = 5 * time.Minute
	maxAbsent       = 20_000
)

// maxNoteBytes bounds what is kept of a check's output, in bytes.
const maxNoteBytes = 160

// NewCatalog starts a book. With catalogue, what exists is the catalogue's word, and nothing is told before both have
// been heard.
func NewCatalog(m Mapping, catalogue bool) *Catalog {
	return &Catalog{mapping: m, records: map[string]*record{}, inHealth: map[string]bool{}, awaitingServices: catalogue}
}

// Name is a node's name: unique among services too, as an id is unique at its node.
func Name(node, id string) string { return node + "/" + id }

// UpdateHealth takes in an answer of the health API. whole says that what it lacks is not there, and anew that the catalogue
// has begun anew. Of an answer that is not whole, which may be older than what is known, only that a known node is not
// to be sent to counts. bad holds what is wrong with single entries; the others count, and one that was there before
// stays as it was.
func (b *Catalog) UpdateHealth(now time.Time, entries []Entry, whole, anew bool) (bad []error) {
	if anew {
		b.epoch++
	}
	b.earlyDrains, b.full, b.healthIsNewer = nil, whole, b.healthIsNewer || whole
	if whole {
		b.inHealth = map[string]bool{}
	}
	for _, e := range entries {
		name := Name(e.Node, e.ID)
		if !whole {
			if state, weight, note := b.evaluateChecks(e); state == decision.Draining && b.records[name] != nil {
				n := &b.records[name].node
				n.State, n.Weight, n.Note = state, weight, note
			} else if state == decision.Draining && !b.healthSeen && e.Node != "" && e.ID != "" {
				var r record
				b.fillNode(&r, name, e)
				r.node.Name = cmp.Or(r.mappedName, name)
				b.earlyDrains = append(b.earlyDrains, r.node)
			}
			continue
		}
		b.inHealth[name] = true
		if err := b.applyEntry(now, name, e, !b.healthSeen); err != nil {
			bad = append(bad, err)
		}
	}
	b.healthSeen = b.healthSeen || whole
	return bad
}

// UpdateServices takes in a whole answer of the catalogue: the names of what exists.
func (b *Catalog) UpdateServices(names []string) {
	b.awaitingServices, b.full, b.healthIsNewer, b.registered = false, true, false, map[string]bool{}
	for _, n := range names {
		b.registered[n] = true
	}
}

// ServicesFailed says that the catalogue can't be heard: until it is, health alone says what exists. It tells whether
// List has waited for it.
func (b *Catalog) ServicesFailed() (waited bool) {
	waited = b.awaitingServices
	b.awaitingServices, b.registered = false, nil
	return waited
}

// applyEntry notes an entry.
func (b *Catalog) applyEntry(now time.Time, name string, e Entry, first bool) error {
	if e.Node == "" || e.ID == "" {
		return fmt.Errorf("an entry without a node or an id, at %q", e.Addr)
	}
	if e.Host == "" || e.Port < 1 || e.Port > 65535 || e.Addr == "" {
		return fmt.Errorf("entry %s: there is no host %q with a port %d", name, e.Host, e.Port)
	}
	process := b.attribute(b.mapping.Started, e)
	started := parseStart(process)
	if started.After(now) {
		started = now // a clock that is ahead; a start to come would keep the node cold for as long
	}
	r := b.records[name]
	switch {
	case r == nil:
		if !first && started.Before(now) {
			started = now // it was registered just now, or at least was not here before
		}
		r = &record{}
		b.records[name] = r
		r.node.StartedAt = started
	case r.processID != process, r.node.Addr != e.Addr, r.createIndex != e.CreateIndex && r.epoch == b.epoch:
		// Its process or its registration is new. In a catalogue that began anew all registrations are, and that
		// alone says nothing. One that was away and comes back under its old registration was never gone.
		r.node.StartedAt = now
	}
	r.createIndex, r.processID, r.epoch = e.CreateIndex, process, b.epoch
	b.fillNode(r, name, e)
	return nil
}

// fillNode notes what an entry says of its node.
func (b *Catalog) fillNode(r *record, name string, e Entry) {
	r.mappedName = b.attribute(b.mapping.Name, e)
	n := &r.node
	n.Name, n.Addr, n.Zone, n.InstanceType = name, e.Addr, b.attribute(b.mapping.Zone, e), b.attribute(b.mapping.InstanceType, e)
	if n.Protocol = b.attribute(b.mapping.Protocol, e); n.Protocol == "" {
		n.Protocol = b.mapping.DefaultProtocol
	}
	n.Cell = cellNumber(b.attribute(b.mapping.Cell, e), name)
	n.State, n.Weight, n.Note = b.evaluateChecks(e)
}

// evaluateChecks says what an entry's checks add up to.
func (b *Catalog) evaluateChecks(e Entry) (decision.BackendState, float64, string) {
	warning := ""
	for _, c := range e.Checks {
		note := c.Status + ": " + c.ID
		if c.Output != "" {
			note += ": " + c.Output
		}
		if len(note) > maxNoteBytes {
			note = strings.ToValidUTF8(note[:maxNoteBytes], "")
		}
		switch c.Status {
		case "passing":
		case "warning":
			warning = cmp.Or(warning, note)
		default: // critical, maintenance, or what is not known: nothing new
			return decision.Draining, validWeight(e.PassingWeight), note
		}
	}
	if e.Maintenance {
		return decision.Draining, validWeight(e.PassingWeight), "maintenance"
	}
	if warning == "" {
		return decision.Ready, validWeight(e.PassingWeight), ""
	}
	if b.mapping.ServeWarning {
		return decision.Ready, validWeight(e.WarningWeight), warning
	}
	return decision.Draining, validWeight(e.WarningWeight), warning
}

// validWeight is a weight that makes sense.
func validWeight(w float64) float64 {
	if !(w > 0) {
		return 1
	}
	return min(w, 1e6)
}

// attribute finds an attribute.
func (b *Catalog) attribute(name string, e Entry) string {
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

// cellNumber is a cell by its name: a whole number is itself, another text a number made of it that no whole number of
// 62 bits is. A node without a cell has one of its own, as a repeat to a cell that it is not in would run twice.
func cellNumber(text, name string) int {
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

// parseStart reads a time of start; zero: it is none, or is not there.
func parseStart(text string) time.Time {
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

// Update is the service's nodes as they are believed now; not ok: too little was heard yet. Before a whole answer it is not whole:
// only those that are not to be sent to, which whoever began with an older list must hear of.
func (b *Catalog) Update(now time.Time) (l membership.Update, ok bool) {
	if b.awaitingServices || !b.healthSeen {
		l.Nodes, b.earlyDrains = b.earlyDrains, nil
		return l, len(l.Nodes) > 0
	}
	// Health lists what is in the catalogue. Of two that differ the one heard first may only be the older: what it lacks says nothing.
	l.Full = b.full
	if older, newer := b.registered, b.inHealth; b.registered != nil && l.Full {
		if !b.healthIsNewer {
			older, newer = b.inHealth, b.registered
		}
		for name := range newer {
			l.Full = l.Full && older[name]
		}
	}
	present, lost := 0, 0 // nodes that the catalogue lists, and those of them that health does not
	for name, r := range b.records {
		if (b.registered == nil || b.registered[name]) && r.absentSince.IsZero() {
			present++
			lost += b2i(!b.inHealth[name])
		}
	}
	// Health that lacks all, or most, of what the catalogue lists has more likely failed itself: that is left to who
	// weighs lists that lose most of their nodes.
	failing := lost > 0 && (len(b.inHealth) == 0 || lost >= 3 && 2*lost > present)
	absent := 0
	names := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(b.records)) {
		r := b.records[name]
		n := r.node
		exists := b.registered[name] || b.registered == nil && b.inHealth[name]
		if exists && b.inHealth[name] {
			r.absentSince = time.Time{}
		}
		if !exists || !r.absentSince.IsZero() || failing && !b.inHealth[name] { // one that was absent is back when both list it
			if r.absentSince.IsZero() {
				r.absentSince = now
			}
			if absent++; now.Sub(r.absentSince) >= absentRetention || absent > maxAbsent {
				delete(b.records, name)
			}
			continue
		}
		if !b.inHealth[name] {
			n.State, n.Note = decision.Draining, "the catalogue lists it, and health does not"
		}
		if r.mappedName != "" && !names[r.mappedName] {
			n.Name = r.mappedName
		}
		names[n.Name] = true
		l.Nodes = append(l.Nodes, n)
	}
	return l, true
}

// UnlistedDrains are the nodes that health says must not be sent to, and that List does not give, as the catalogue lacks them: each once, until it
// is well or listed again. A catalogue that lacks all may be doubted as a whole, and what health says of one node must not go with it: so
// this is told before List. It is not whole.
func (b *Catalog) UnlistedDrains() (l membership.Update) {
	if b.awaitingServices || !b.healthSeen || b.registered == nil {
		return l
	}
	for _, name := range slices.Sorted(maps.Keys(b.records)) {
		r := b.records[name]
		hidden := !b.registered[name] && b.inHealth[name] && r.node.State == decision.Draining
		if hidden && !r.drainReported {
			n := r.node
			n.Name = cmp.Or(r.mappedName, n.Name)
			l.Nodes = append(l.Nodes, n)
		}
		r.drainReported = hidden
	}
	return l
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
