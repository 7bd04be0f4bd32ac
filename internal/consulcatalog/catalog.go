// Package consulcatalog interprets the entries of Consul's catalog and health APIs: which nodes exist,
// which may receive requests, and which are new. It is pure: entries and times go in, and membership updates
// come out.
//
// A Catalog holds the state of one service.
package consulcatalog

import (
	"cmp"
	"fmt"
	"time"

	"pumicecroft/decision"
	"pumicecroft/membership"
)

// Entry is one instance of a service in a response of the health API.
type Entry struct {
	Node, ID      string // ID is the service ID, unique within its node
	Host          string
	Port          int
	Addr          string // the address to connect to: Host and Port joined
	Datacenter    string
	Meta          map[string]string // of the service
	NodeMeta      map[string]string
	PassingWeight float64
	WarningWeight float64
	CreateIndex   uint64 // Consul's index at the registration of the instance
	Checks        []Check
	Maintenance   bool // the node or the service is in maintenance mode
}

// Catalog holds the known instances of one service, as merged from the responses of two APIs of Consul: the
// catalog API, which lists the registered instances, and the health API. It is not safe for concurrent use.
type Catalog struct {
	mapping Mapping
	records map[string]*record // by instance name, as Name returns it

	awaitingCatalogAPI bool              // the catalog API is queried and has not responded yet
	inCatalog          map[string]bool   // instances in its last full response; nil if it is not queried or has failed
	inHealth           map[string]bool   // instances in the last full response of the health API
	healthSeen         bool              // the health API has sent a full response
	healthIsNewer      bool              // ... later than the last one of the catalog API
	full               bool              // the last response of either API was full
	epoch              int               // number of resets of Consul's catalog
	earlyDrains        []membership.Node // draining nodes seen before the first full response
}

// record is the state of an instance.
type record struct {
	node          membership.Node
	mappedName    string // the attribute that Mapping.Name selects
	createIndex   uint64
	processID     string // the attribute that Mapping.Started selects
	epoch         int
	absentSince   time.Time // when updates began to leave the instance out; zero if present
	drainReported bool      // takeDrains has returned the current drain
}

const (
	// absentRetention is how long an absent instance is kept, so that it is recognized when a catalog that was
	// reset lists it again.
	absentRetention = 5 * time.Minute
	// maxAbsent limits the number of absent instances that are kept.
	maxAbsent = 20_000
)

// NewCatalog returns an empty catalog. withCatalogAPI means that the catalog API is queried too, and
// decides which instances exist. TakeUpdate then waits for responses of both APIs.
func NewCatalog(mapping Mapping, withCatalogAPI bool) *Catalog {
	return &Catalog{
		mapping:            mapping,
		records:            map[string]*record{},
		inHealth:           map[string]bool{},
		awaitingCatalogAPI: withCatalogAPI,
	}
}

// Name returns the name of an instance. As service IDs are unique within a node, it is also unique across
// services.
func Name(node, id string) string { return node + "/" + id }

// UpdateHealth applies a response of the health API. full means that an instance missing from the response
// does not exist, and reset that Consul's catalog was reset. A response that is not full may be older than the
// known state, so only its drains are applied. invalid holds the errors of single entries: valid entries are
// applied all the same, and an instance whose entry is invalid keeps its state.
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

// UpdateFromCatalogAPI applies a full response of the catalog API: the names of the instances that exist.
func (c *Catalog) UpdateFromCatalogAPI(names []string) {
	c.awaitingCatalogAPI = false
	c.full, c.healthIsNewer = true, false
	c.inCatalog = map[string]bool{}
	for _, name := range names {
		c.inCatalog[name] = true
	}
}

// RecordCatalogAPIFailure records that the catalog API can't be queried. Until its next response, the health API
// alone decides which instances exist. It reports whether TakeUpdate was waiting for the catalog API.
func (c *Catalog) RecordCatalogAPIFailure() (waited bool) {
	waited = c.awaitingCatalogAPI
	c.awaitingCatalogAPI, c.inCatalog = false, nil
	return waited
}

// applyDrain applies an entry of a response that is not full, if its instance must not receive requests.
// Before the first full response such instances are kept in earlyDrains, as the endpoint cache may have
// reported them as ready.
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

// applyEntry applies an entry of a full response. first means that this is the first full response, whose
// instances are not new.
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
		startedAt = now // the node's clock is ahead; a start in the future would prolong its slow start
	}
	r := c.records[name]
	if r == nil {
		if !first && startedAt.Before(now) {
			startedAt = now // the instance was not listed before, so it counts as started now
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

// isNewProcess reports whether an entry belongs to another process or another registration than the record of
// its instance. After a reset of Consul's catalog all registrations are new, so a new CreateIndex alone does
// not count then. An absent instance that returns with its old registration is not new.
func (c *Catalog) isNewProcess(r *record, e Entry, processID string) bool {
	return r.processID != processID || r.node.Addr != e.Addr || r.createIndex != e.CreateIndex && r.epoch == c.epoch
}

// fillNode sets a record's node from an entry, except for its start time.
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
