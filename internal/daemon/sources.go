package daemon

import (
	"context"
	"slices"
	"time"

	"pumicecroft"
	"pumicecroft/consul"
	"pumicecroft/internal/operatorconfig"
	"pumicecroft/internal/platform"
	"pumicecroft/membership"
)

// sources are the sources of backends that an operator's file configures.
type sources struct {
	options []pumicecroft.Option // one for each source, in order of precedence
	consul  *consul.Client       // nil if Consul is no source
	// fileReported is closed when the gateway has received the backends that the file itself lists.
	fileReported chan struct{}
}

func newSources(f *operatorconfig.File) (*sources, error) {
	s := &sources{fileReported: make(chan struct{})}
	for _, name := range f.Sources {
		info := membership.SourceInfo{Name: name, Trusted: true}
		switch name {
		case operatorconfig.SourceConsul:
			var err error
			if s.consul, err = consul.New(f.Consul.Config); err != nil {
				return nil, err
			}
			for _, service := range f.Consul.Services {
				watch := s.consul.Service(service)
				s.options = append(s.options, pumicecroft.WithNamedSource(watch.SourceInfo(), watch))
			}
		case operatorconfig.SourceDiscovery:
			discovery := &platform.Discovery{
				Addr:        f.DiscoveryAddr,
				FromVersion: platform.FromFullUpdate,
				DrainGrace:  f.Gateway.Settings.DrainGrace,
				MaxEntries:  f.Gateway.Membership.MaxNodes,
			}
			s.options = append(s.options,
				pumicecroft.WithNamedSource(info, protocolSource{discovery, f.DiscoveryProtocol}))
		case operatorconfig.SourceFile:
			s.options = append(s.options, pumicecroft.WithNamedSource(info, staticSource{f.Backends, s.fileReported}))
		}
	}
	return s, nil
}

// staticSource is a source whose backends do not change.
type staticSource struct {
	endpoints membership.Update
	reported  chan struct{} // closed when the endpoints have been reported
}

func (s staticSource) Run(_ context.Context, update func(membership.Update)) {
	update(s.endpoints)
	close(s.reported)
}

// protocolSource sets the protocol of all nodes of a Source that doesn't report protocols.
type protocolSource struct {
	pumicecroft.Source
	protocol string // empty: nodes are not changed
}

func (s protocolSource) Run(ctx context.Context, update func(membership.Update)) {
	s.Source.Run(ctx, func(u membership.Update) {
		if s.protocol != "" {
			u.Nodes = slices.Clone(u.Nodes)
			for i := range u.Nodes {
				u.Nodes[i].Protocol = s.protocol
			}
		}
		update(u)
	})
}

// Sync calls the Source's Sync, if it has one.
func (s protocolSource) Sync(ctx context.Context, since time.Time) error {
	if syncer, ok := s.Source.(pumicecroft.Syncer); ok {
		return syncer.Sync(ctx, since)
	}
	return nil
}
