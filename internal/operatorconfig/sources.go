package operatorconfig

import (
	"math"
	"net"
	"slices"
	"strings"
	"time"

	"pumicecroft/consul"
	"pumicecroft/decision"
	"pumicecroft/internal/settings"
	"pumicecroft/membership"
)

// Consul is the [consul] section of a file.
type Consul struct {
	Config   consul.Config
	Services []consul.Service
	// Registration is the gateway's entry in the catalog. nil means that it doesn't register itself.
	Registration *consul.Registration
	// DrainNotice is the time for which a registered gateway goes on serving after it has become
	// critical in the catalog.
	DrainNotice time.Duration
}

// The names of sources.
const (
	SourceConsul    = "consul"
	SourceDiscovery = "discovery"
	SourceFile      = "file"
)

// sourceNames are the names of sources in their default precedence.
var sourceNames = []string{SourceConsul, SourceDiscovery, SourceFile}

// readSources reads the sources of backends. It must be called after the services and classes were read,
// which backends refer to.
func readSources(d *settings.Document, root *settings.Section, f *File) {
	f.Gateway.StateDir = root.String("state_dir", false)
	f.StatusAddr = root.String("members", false)
	if f.StatusAddr != "" {
		checkLoopback(root, "members", f.StatusAddr)
	}
	readMembership(root.Table("membership"), f)
	configured := map[string]bool{}
	if s := root.Table("consul"); s.Keys != nil {
		configured[SourceConsul] = true
		f.Consul = readConsul(s, f)
	}
	if s := root.Table("discovery"); s.Keys != nil {
		configured[SourceDiscovery] = true
		f.DiscoveryAddr = s.String("address", true)
		if f.DiscoveryAddr != "" {
			checkAddress(s, "address", f.DiscoveryAddr)
		}
		f.DiscoveryProtocol = readServiceProtocol(s, f, "")
		s.RejectUnknownKeys()
	}
	readBackends(root, f)
	configured[SourceFile] = len(f.Backends.Nodes) > 0
	if len(configured) == 1 && !configured[SourceFile] {
		d.Problemf("", "backend",
			"at least one source is required: [[backend]] with a name and an address, [consul] or [discovery]")
	}
	f.Sources = root.Strings("sources")
	if f.Sources == nil {
		f.Sources = slices.DeleteFunc(slices.Clone(sourceNames), func(name string) bool { return !configured[name] })
		return
	}
	checkSources(d, f.Sources, configured)
}

// checkLoopback reports a problem unless addr is a host:port on the loopback interface.
func checkLoopback(s *settings.Section, key, addr string) {
	checkAddress(s, key, addr)
	host, _, _ := net.SplitHostPort(addr)
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		s.Problemf(key, "%q is not a loopback address", addr)
	}
}

// checkSources reports a problem unless sources lists each configured source once, and no other.
func checkSources(d *settings.Document, sources []string, configured map[string]bool) {
	for i, name := range sources {
		switch {
		case !slices.Contains(sourceNames, name):
			d.Problemf("", "sources", "%q is none of %s", name, strings.Join(sourceNames, ", "))
		case !configured[name]:
			d.Problemf("", "sources", "%q is listed and not configured", name)
		case slices.Contains(sources[:i], name):
			d.Problemf("", "sources", "%q is used more than once", name)
		}
	}
	for _, name := range sourceNames {
		if configured[name] && !slices.Contains(sources, name) {
			d.Problemf("", "sources", "%q is configured and not listed", name)
		}
	}
}

// readMembership reads [membership].
func readMembership(s *settings.Section, f *File) {
	p := &f.Gateway.Membership
	p.ProbationMin = s.Duration("hold_first", time.Second, time.Millisecond, time.Hour)
	p.ProbationMax = s.Duration("hold_most", time.Minute, time.Millisecond, day)
	p.ProbationReset = s.Duration("forget", time.Minute, time.Millisecond, day)
	p.WarmupWindow = s.Duration("cold_for", 15*time.Second, time.Millisecond, day)
	p.MassRemovalRatio = s.Float("loss_share", 0.5, 0.01, 1)
	p.MassRemovalMin = s.Int("loss_least", 3, 1, maxCount)
	p.MassRemovalDelay = s.Duration("loss_for", 1500*time.Millisecond, time.Millisecond, time.Hour)
	p.FullRemovalDelay = s.Duration("loss_all", 5*time.Minute, time.Millisecond, day)
	p.MaxNodes = s.Int("most", membership.DefaultMaxNodes, 1, maxCount)
	s.RejectUnknownKeys()
}

// readConsul reads [consul].
func readConsul(s *settings.Section, f *File) *Consul {
	c := &Consul{Config: readConsulConfig(s)}
	seen := map[string]bool{}
	for _, e := range s.List("service") {
		service := readConsulService(e, seen, f)
		e.RejectUnknownKeys()
		c.Services = append(c.Services, service)
	}
	if len(c.Services) == 0 {
		s.Problemf("service", "at least one [[consul.service]] with a name is required")
	}
	if r := s.Table("register"); r.Keys != nil {
		c.Registration, c.DrainNotice = readRegistration(r, f.Listen)
		r.RejectUnknownKeys()
	}
	s.RejectUnknownKeys()
	return c
}

// readConsulConfig reads how to connect to the agent and how to query it.
func readConsulConfig(s *settings.Section) consul.Config {
	c := consul.Config{
		Address:    s.String("address", true),
		TokenFile:  s.String("token_file", false),
		Datacenter: s.String("datacenter", false),
		Namespace:  s.String("namespace", false),
		Partition:  s.String("partition", false),
		CAFile:     s.String("ca_file", false),
		CertFile:   s.String("cert_file", false),
		KeyFile:    s.String("key_file", false),
		ServerName: s.String("server_name", false),
		// ordered like the type's constants
		Consistency: consul.Consistency(s.OneOf("consistency", "default", "default", "stale", "consistent")),
		Wait:        s.Duration("wait", 10*time.Second, 100*time.Millisecond, 10*time.Minute),
		MaxStale:    s.Duration("max_stale", 10*time.Second, 0, day),
		RetryMax:    s.Duration("retry_most", 5*time.Second, 100*time.Millisecond, time.Hour),
	}
	if (c.CertFile == "") != (c.KeyFile == "") {
		s.Problemf("key_file", "cert_file and key_file go together")
	}
	return c
}

// readConsulService reads one [[consul.service]]. seen has the names of the services before it.
func readConsulService(s *settings.Section, seen map[string]bool, f *File) consul.Service {
	service := consul.Service{
		Name:   s.String("name", true),
		Tags:   s.Strings("tags"),
		Near:   s.String("near", false),
		Filter: s.String("filter", false),
	}
	checkUniqueName(seen, s, service.Name)
	service.HealthOnly = s.Bool("health_only", false)
	service.Mapping = consul.Mapping{
		Zone:            s.String("zone", false),
		Cell:            s.String("cell", false),
		InstanceType:    s.String("model", false),
		Started:         s.String("started", false),
		Protocol:        s.String("protocol", false),
		DefaultProtocol: readServiceProtocol(s, f, ""),
		Name:            s.String("node_name", false),
		ServeWarning:    s.OneOf("warning", "drain", "drain", "serve") == 1,
	}
	// A retry of a keyed request must go to a backend of the same zone or cell, as only these drop
	// repeats: a backend elsewhere would run the request twice. So the zone or cell must be known. In
	// Consul they come from a mapping, without which all backends would lack them.
	for _, class := range f.Gateway.Settings.Classes {
		if class.Idempotency != decision.IdempotentByKey {
			continue
		}
		if class.DedupScope == decision.DedupScopeZone && service.Mapping.Zone == "" {
			s.Problemf("zone", "it is missing, and requests of class %q are retried only within their zone", class.Name)
		}
		if class.DedupScope == decision.DedupScopeCell && service.Mapping.Cell == "" {
			s.Problemf("cell", "it is missing, and requests of class %q are retried only within their cell", class.Name)
		}
	}
	return service
}

// readRegistration reads [consul.register]. The address defaults to the listener's.
func readRegistration(s *settings.Section, listen string) (r *consul.Registration, drainNotice time.Duration) {
	r = &consul.Registration{
		Name:            s.String("name", true),
		ID:              s.String("id", false),
		Address:         s.String("address", false),
		Tags:            s.Strings("tags"),
		TTL:             s.Duration("ttl", 10*time.Second, time.Second, day),
		DeregisterAfter: s.Duration("forget", 10*time.Minute, time.Minute, day),
	}
	drainNotice = s.Duration("notice", time.Second, 0, time.Minute)
	if r.Address == "" {
		r.Address = listen
	}
	checkAddress(s, "address", r.Address)
	host, port, _ := net.SplitHostPort(r.Address)
	if ip := net.ParseIP(host); host == "" || port == "0" || ip != nil && ip.IsUnspecified() {
		s.Problemf("address", "clients can't connect to %q", r.Address)
	}
	return r, drainNotice
}

// readBackends reads [[backend]].
func readBackends(root *settings.Section, f *File) {
	seen := map[string]bool{}
	f.Backends.Full = true
	for _, s := range root.List("backend") {
		node := membership.Node{
			Name:         s.String("name", true),
			Addr:         s.String("address", true),
			Zone:         s.String("zone", false),
			InstanceType: s.String("model", false),
			Cell:         s.Int("cell", 0, 0, math.MaxInt32),
			Weight:       s.Float("weight", 1, 0, unbounded),
		}
		node.Protocol = readServiceProtocol(s, f, readProtocol(s, ""))
		checkUniqueName(seen, s, node.Name)
		if node.Addr != "" {
			checkAddress(s, "address", node.Addr)
		}
		s.RejectUnknownKeys()
		f.Backends.Nodes = append(f.Backends.Nodes, node)
	}
}
