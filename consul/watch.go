package consul

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/consul/api"

	"pumicecroft/internal/blockingquery"
	"pumicecroft/internal/consulcatalog"
	"pumicecroft/membership"
)

// Watch follows the instances of one service. It implements pumicecroft.Source and pumicecroft.Syncer; the
// name of the source is in SourceInfo.
type Watch struct {
	client  *Client
	service Service

	mu      sync.Mutex
	queries []*queryState // of the queries that are running
}

// Service returns a Watch of a service's instances.
func (c *Client) Service(s Service) *Watch { return &Watch{client: c, service: s} }

// SourceInfo returns the name of the source. All watches of one service have the same name and thus
// count as one source of a gateway.
func (w *Watch) SourceInfo() membership.SourceInfo {
	return membership.SourceInfo{Name: "consul:" + w.service.Name}
}

// Offsets that are added to Config.Seed, so that each query of a watch has its own sequence of random retry
// delays.
const (
	healthSeedOffset  = 1
	catalogSeedOffset = 2
)

// Run follows the service until ctx ends. It implements pumicecroft.Source.
func (w *Watch) Run(ctx context.Context, update func(membership.Update)) {
	r := &reporter{
		service: w.service,
		client:  w.client.api,
		update:  update,
		catalog: consulcatalog.NewCatalog(w.service.Mapping, !w.service.HealthOnly),
	}
	var running sync.WaitGroup
	defer running.Wait()
	if !w.service.HealthOnly {
		running.Go(func() { w.runQueryLoop(ctx, catalogSeedOffset, r.queryCatalog, r.catalogFailed) })
	}
	w.runQueryLoop(ctx, healthSeedOffset, r.queryHealth, r.healthFailed)
}

// reporter turns the responses to a watch's queries into membership updates.
type reporter struct {
	service Service
	client  *api.Client
	update  func(membership.Update)

	mu      sync.Mutex             // guards catalog, and orders the calls of update
	catalog *consulcatalog.Catalog // of the responses of both APIs, the catalog API and the health API
}

// report changes the catalog and reports the resulting updates. An error of the change is reported last.
func (r *reporter) report(indexReset bool, change func(now time.Time) error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	err := change(now)
	if drains := r.catalog.TakeUnlistedDrains(); len(drains.Nodes) > 0 {
		r.update(drains)
	}
	if update, ok := r.catalog.TakeUpdate(now); ok {
		update.SourceReset = indexReset
		r.update(update)
	}
	if err != nil {
		r.update(membership.Update{Err: err})
	}
}

// queryCatalog queries the catalog API for the instances of the service that exist. It is a queryFunc.
func (r *reporter) queryCatalog(options *api.QueryOptions) (response blockingquery.Response,
	apply func(blockingquery.Verdict), err error) {
	instances, meta, err := r.client.Catalog().ServiceMultipleTags(r.service.Name, r.service.Tags, options)
	if err != nil {
		return blockingquery.Response{}, nil, err
	}
	apply = func(verdict blockingquery.Verdict) {
		if !verdict.Full {
			return // a partial response: the health query reports the problem, and the catalog keeps its content
		}
		r.report(verdict.IndexReset, func(time.Time) error {
			names := make([]string, 0, len(instances))
			for _, instance := range instances {
				names = append(names, consulcatalog.Name(instance.Node, instance.ServiceID))
			}
			r.catalog.UpdateFromCatalogAPI(names)
			return nil
		})
	}
	return toResponse(meta, len(instances)), apply, nil
}

// catalogFailed records that the catalog API can't be queried. The health query continues alone. The error is
// not reported here: if Consul fails altogether, the health query reports it. If updates were waiting for the
// catalog API, the next one is due now.
func (r *reporter) catalogFailed(error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.catalog.RecordCatalogAPIFailure() {
		return
	}
	if update, ok := r.catalog.TakeUpdate(time.Now()); ok {
		r.update(update)
	}
}

// queryHealth queries the health API for the service's instances. It is a queryFunc.
func (r *reporter) queryHealth(options *api.QueryOptions) (response blockingquery.Response,
	apply func(blockingquery.Verdict), err error) {
	options.Near, options.Filter = r.service.Near, r.service.Filter
	found, meta, err := r.client.Health().ServiceMultipleTags(r.service.Name, r.service.Tags, false, options)
	if err != nil {
		return blockingquery.Response{}, nil, err
	}
	apply = func(verdict blockingquery.Verdict) {
		r.report(verdict.IndexReset, func(now time.Time) error {
			invalid := r.catalog.UpdateHealth(now, toEntries(found), verdict.Full, verdict.IndexReset)
			if !verdict.Full {
				return fmt.Errorf("%w: %s", ErrPartial, verdict.Reason)
			}
			return errors.Join(invalid...)
		})
	}
	return toResponse(meta, len(found)), apply, nil
}

func (r *reporter) healthFailed(err error) { r.update(membership.Update{Err: err}) }

// toResponse returns what package blockingquery needs to know of a response with a number of entries.
func toResponse(meta *api.QueryMeta, entries int) blockingquery.Response {
	return blockingquery.Response{
		Index:       meta.LastIndex,
		KnownLeader: meta.KnownLeader,
		LastContact: meta.LastContact,
		Filtered:    meta.ResultsFilteredByACLs,
		Entries:     entries,
	}
}

// toEntries converts a response of the health API. Entries without a node or a service are skipped.
func toEntries(found []*api.ServiceEntry) []consulcatalog.Entry {
	var entries []consulcatalog.Entry
	for _, f := range found {
		if f != nil && f.Service != nil && f.Node != nil {
			entries = append(entries, toEntry(f))
		}
	}
	return entries
}

func toEntry(found *api.ServiceEntry) consulcatalog.Entry {
	service, node := found.Service, found.Node
	host := cmp.Or(service.Address, node.Address)
	e := consulcatalog.Entry{
		Node:          node.Node,
		ID:            service.ID,
		Host:          host,
		Port:          service.Port,
		Addr:          net.JoinHostPort(host, strconv.Itoa(service.Port)),
		Datacenter:    node.Datacenter,
		Meta:          service.Meta,
		NodeMeta:      node.Meta,
		PassingWeight: float64(service.Weights.Passing),
		WarningWeight: float64(service.Weights.Warning),
		CreateIndex:   service.CreateIndex,
	}
	for _, check := range found.Checks {
		if check == nil {
			continue
		}
		e.Checks = append(e.Checks, consulcatalog.Check{ID: check.CheckID, Status: check.Status, Output: check.Output})
		if check.CheckID == api.NodeMaint || strings.HasPrefix(check.CheckID, api.ServiceMaintPrefix) {
			e.Maintenance = true
		}
	}
	return e
}
