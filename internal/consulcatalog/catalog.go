// Package consulcatalog decides what the entries of Consul's catalog and health API mean: which nodes
// exist, which may be sent requests, and which are new. It is pure: entries and times go in, a membership
// update comes out.
//
// A Catalog owns what is known of one service.
package consulcatalog

import (
	"cmp"
	"fmt"
	"time"

	"pumicecroft/decision"
	"pumicecroft/membership"
)

// Entry is one instance of a service, as the health API has it.
type Entry struct {
	Node, ID      string // an ID is unique at its node
	Host          string
	Port          int
	Addr          string // Host and Port as one connects to them
	Datacenter    string
	Meta          map[string]string // of the service
	NodeMeta      map[string]string
	PassingWeight float64
	WarningWeight float64
	CreateIndex   uint64 // the index at which the instance was registered
	Checks        []Check
	Maintenance   bool // its node or service is in maintenance mode
}

// Catalog is what is known of one service's instances. It is not safe for concurrent use.
type Catalog struct {
	mapping Mapping
	records map[string]*record // by name

	awaitingServices bool            // the catalog is queried, and has not responded yet
	registered       map[string]bool // instances by the catalog; nil if it is not queried, or has failed
	inHealth         map[string]bool // instances by the health API's last full response
	healthSeen       bool            // the health API has sent a full response
	healthIsNewer    bool            // ... and has done so since the catalog has
	full             bool            // the last response of either was full
	epoch            int             // counts resets of the catalog
	earlyDrains      []membership.Node
}

// record is what is kept of an instance.
type record struct {
	node          membership.Node
	mappedName    string // by Mapping.Name
	createIndex   uint64
	processID     string // by Mapping.Started
	epoch         int
	absentSince   time.Time // when it was first listed nowhere; zero if it is listed
	drainReported bool      // by UnlistedDrains
}

// absentRetention is how long an instance that is listed nowhere is kept, so that it is known again when a
// catalog that was reset lists it. At most maxAbsent are kept.
const (
	absentRetention = 5 * time.Minute
	maxAbsent       = 20_000
)

// NewCatalog returns an empty catalog. withServices means that UpdateServices decides which instances exist;
// Update then waits for both queries.
func NewCatalog(mapping Mapping, withServices bool) *Catalog {
	return &Catalog{
		mapping:          mapping,
		records:          map[string]*record{},
		inHealth:         map[string]bool{},
		awaitingServices: withServices,
	}
}

// Name returns the name of an instance. It is unique among services too, as an ID is unique at its node.
func Name(node, id string) string { return node + "/" + id }

// UpdateHealth takes in a response of the health API. full means that an instance that it lacks does not
// exist, and reset that the catalog was reset. A response that is not full may be older than what is known;
// of it, only drains count. invalid holds the errors of single entries; the others count, and an instance
// whose entry is invalid stays as it was.
func (c *Catalog) UpdateHealth(now time.Time, entries []Entry, full, reset bool) (invalid []error) {
	if reset {
		c.epoch++
	}
	c.full = full
	c.earlyDrains = nil
	if !full {
		for _, e := range entries {
			c.applyDrain(e)
		}
		return nil
	}
	first := !c.healthSeen
	c.healthSeen, c.healthIsNewer = true, true
	c.inHealth = map[string]bool{}
	for _, e := range entries {
		name := Name(e.Node, e.ID)
		c.inHealth[name] = true
		if err := c.applyEntry(now, name, e, first); err != nil {
			invalid = append(invalid, err)
		}
	}
	return invalid
}

// UpdateServices takes in a full response of the catalog: the names of the instances that exist.
func (c *Catalog) UpdateServices(names []string) {
	c.awaitingServices = false
	c.full, c.healthIsNewer = true, false
	c.registered = map[string]bool{}
	for _, name := range names {
		c.registered[name] = true
	}
}

// ServicesFailed notes that the catalog can't be queried: until it can, the health API alone says which
// instances exist. It reports whether Update was waiting for the catalog.
func (c *Catalog) ServicesFailed() (waited bool) {
	waited = c.awaitingServices
	c.awaitingServices, c.registered = false, nil
	return waited
}

// applyDrain takes in an entry of a response that is not full, if its instance must not be sent requests.
// Before the first full response such instances are kept as earlyDrains: a cached update may have them as
// ready.
func (c *Catalog) applyDrain(e Entry) {
	state, weight, note := c.evaluateChecks(e)
	if state != decision.Draining {
		return
	}
	name := Name(e.Node, e.ID)
	if known := c.records[name]; known != nil {
		known.node.State, known.node.Weight, known.node.Note = state, weight, note
		return
	}
	if !c.healthSeen && e.Node != "" && e.ID != "" {
		var r record
		c.fillNode(&r, name, e)
		r.node.Name = cmp.Or(r.mappedName, name)
		c.earlyDrains = append(c.earlyDrains, r.node)
	}
}

// applyEntry takes in an entry of a full response. first means that it is the first one, whose instances
// have existed before.
func (c *Catalog) applyEntry(now time.Time, name string, e Entry, first bool) error {
	if e.Node == "" || e.ID == "" {
		return fmt.Errorf("consulcatalog: entry without a node or an ID at %q", e.Addr)
	}
	if e.Host == "" || e.Port < 1 || e.Port > 65535 || e.Addr == "" {
		return fmt.Errorf("consulcatalog: entry %s has no valid address: host %q, port %d", name, e.Host, e.Port)
	}
	processID := c.attribute(c.mapping.Started, e)
	startedAt := parseStart(processID)
	if startedAt.After(now) {
		startedAt = now // its clock is ahead; a start in the future would prolong the node's slow start
	}
	r := c.records[name]
	if r == nil {
		if !first && startedAt.Before(now) {
			startedAt = now // it was registered just now, or at least was not here before
		}
		r = &record{}
		c.records[name] = r
		r.node.StartedAt = startedAt
	} else if c.isNewProcess(r, e, processID) {
		r.node.StartedAt = now
	}
	r.createIndex, r.processID, r.epoch = e.CreateIndex, processID, c.epoch
	c.fillNode(r, name, e)
	return nil
}

// isNewProcess reports whether an entry stands for another process, or another registration, than the record
// of its instance. In a catalog that was reset all registrations are new, so that alone says nothing. An
// instance that was away and is back under its old registration was never gone.
func (c *Catalog) isNewProcess(r *record, e Entry, processID string) bool {
	return r.processID != processID || r.node.Addr != e.Addr || r.createIndex != e.CreateIndex && r.epoch == c.epoch
}

// fillNode sets a record's node, but for its start, by an entry.
func (c *Catalog) fillNode(r *record, name string, e Entry) {
	r.mappedName = c.attribute(c.mapping.Name, e)
	n := &r.node
	n.Name = name
	n.Addr = e.Addr
	n.Zone = c.attribute(c.mapping.Zone, e)
	n.InstanceType = c.attribute(c.mapping.InstanceType, e)
	n.Protocol = cmp.Or(c.attribute(c.mapping.Protocol, e), c.mapping.DefaultProtocol)
	n.Cell = cellNumber(c.attribute(c.mapping.Cell, e), name)
	n.State, n.Weight, n.Note = c.evaluateChecks(e)
}
