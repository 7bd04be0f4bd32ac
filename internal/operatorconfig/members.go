package operatorconfig

import (
	"net"
	"slices"
	"strings"
	"time"

	"pumicecroft/consul"
	"pumicecroft/decision"
	"pumicecroft/internal/settings"
	"pumicecroft/membership"
)

// Consul is what a file says of Consul.
type Consul struct {
	Config   consul.Config
	Services []consul.Service
	Register *consul.Registration // nil: the door does not stand in the catalogue
	Notice   time.Duration        // for how long a registered door goes on serving once it is critical
}

// The names of sources.
const (
	SourceConsul    = "consul"
	SourceDiscovery = "discovery"
	SourceFile      = "file"
)

// readMembers reads where members come from.
func readMembers(d *settings.Document, top *settings.Section, f *File) {
	f.Door.StateDir = top.Text("state_dir", false)
	f.Members = top.Text("members", false)
	if f.Members != "" {
		checkAddress(d, top, "members", f.Members)
		host, _, _ := net.SplitHostPort(f.Members)
		if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
			d.Bad(top.Path, "members", "%q is not on this machine alone: it must be a loopback address", f.Members)
		}
	}
	readRules(top.Table("membership"), f)
	there := map[string]bool{}
	if s := top.Table("consul"); s.Keys != nil {
		there[SourceConsul] = true
		f.Consul = readConsul(d, s, f)
	}
	if s := top.Table("discovery"); s.Keys != nil {
		there[SourceDiscovery] = true
		f.Discovery = s.Text("address", true)
		if f.Discovery != "" {
			checkAddress(d, s, "address", f.Discovery)
		}
		f.DiscoverySpeaks = serves(s, "service", "", f)
		s.Done()
	}
	readBackends(d, top, f)
	there[SourceFile] = len(f.Backends.Nodes) > 0
	if len(there) == 1 && !there[SourceFile] {
		d.Bad("", "backend", "there is none: [[backend]] with a name and an address, [consul] or [discovery]")
	}
	names := []string{SourceConsul, SourceDiscovery, SourceFile}
	f.Sources = top.Texts("sources")
	if f.Sources == nil {
		f.Sources = slices.DeleteFunc(names, func(n string) bool { return !there[n] })
		return
	}
	for i, name := range f.Sources {
		switch {
		case !slices.Contains(names, name):
			d.Bad("", "sources", "%q is none of %s", name, strings.Join(names, ", "))
		case !there[name]:
			d.Bad("", "sources", "%q is named, and the file does not say what it is", name)
		case slices.Contains(f.Sources[:i], name):
			d.Bad("", "sources", "%q is there twice", name)
		}
	}
	for _, name := range names {
		if there[name] && !slices.Contains(f.Sources, name) {
			d.Bad("", "sources", "%q is configured and not named", name)
		}
	}
}

func readRules(s *settings.Section, f *File) {
	r := &f.Door.Membership
	r.ProbationMin = s.Duration("hold_first", time.Second, time.Millisecond, time.Hour)
	r.ProbationMax = s.Duration("hold_most", time.Minute, time.Millisecond, day)
	r.ProbationReset = s.Duration("forget", time.Minute, time.Millisecond, day)
	r.WarmupWindow = s.Duration("cold_for", 15*time.Second, time.Millisecond, day)
	r.MassRemovalRatio = s.Number("loss_share", 0.5, 0.01, 1)
	r.MassRemovalMin = s.Whole("loss_least", 3, 1, many)
	r.MassRemovalDelay = s.Duration("loss_for", 1500*time.Millisecond, time.Millisecond, time.Hour)
	r.FullRemovalDelay = s.Duration("loss_all", 5*time.Minute, time.Millisecond, day)
	r.MaxNodes = s.Whole("most", membership.DefaultMaxNodes, 1, many)
	s.Done()
}

func readConsul(d *settings.Document, s *settings.Section, f *File) *Consul {
	c := &Consul{}
	o := &c.Config
	o.Address = s.Text("address", true)
	o.TokenFile = s.Text("token_file", false)
	o.Datacenter, o.Namespace, o.Partition = s.Text("datacenter", false), s.Text("namespace", false), s.Text("partition", false)
	o.CAFile, o.CertFile, o.KeyFile = s.Text("ca_file", false), s.Text("cert_file", false), s.Text("key_file", false)
	o.ServerName = s.Text("server_name", false)
	o.Consistency = consul.Consistency(s.OneOf("consistency", "default", "default", "stale", "consistent"))
	o.Wait = s.Duration("wait", 10*time.Second, 100*time.Millisecond, 10*time.Minute)
	o.MaxStale = s.Duration("max_stale", 10*time.Second, 0, day)
	o.RetryMax = s.Duration("retry_most", 5*time.Second, 100*time.Millisecond, time.Hour)
	if (o.CertFile == "") != (o.KeyFile == "") {
		d.Bad(s.Path, "key_file", "cert_file and key_file go together")
	}
	seen := map[string]bool{}
	for _, e := range s.List("service") {
		v := consul.Service{Name: e.Text("name", true), Tags: e.Texts("tags"), Near: e.Text("near", false), Filter: e.Text("filter", false)}
		names(d, seen, e, v.Name)
		v.HealthOnly = e.Yes("health_only", false)
		m := &v.Mapping
		m.Zone, m.Cell, m.InstanceType, m.Started = e.Text("zone", false), e.Text("cell", false), e.Text("model", false), e.Text("started", false)
		m.Protocol = e.Text("protocol", false)
		m.DefaultProtocol = serves(e, "service", "", f)
		m.Name = e.Text("node_name", false)
		m.ServeWarning = e.OneOf("warning", "drain", "drain", "serve") == 1
		for _, class := range f.Door.Settings.Classes { // a repeat to a backend that does not drop it runs twice
			if class.Idempotency == decision.IdempotentByKey && class.DedupScope == decision.DedupScopeZone && m.Zone == "" {
				d.Bad(e.Path, "zone", "it is missing, and class %q is repeated within a zone", class.Name)
			}
			if class.Idempotency == decision.IdempotentByKey && class.DedupScope == decision.DedupScopeCell && m.Cell == "" {
				d.Bad(e.Path, "cell", "it is missing, and class %q is repeated within a cell", class.Name)
			}
		}
		e.Done()
		c.Services = append(c.Services, v)
	}
	if len(c.Services) == 0 {
		d.Bad(s.Path, "service", "there is none: [[consul.service]] with a name")
	}
	if r := s.Table("register"); r.Keys != nil {
		c.Register = &consul.Registration{Name: r.Text("name", true), ID: r.Text("id", false), Address: r.Text("address", false),
			Tags: r.Texts("tags"), TTL: r.Duration("ttl", 10*time.Second, time.Second, day), DeregisterAfter: r.Duration("forget", 10*time.Minute, time.Minute, day)}
		c.Notice = r.Duration("notice", time.Second, 0, time.Minute)
		if c.Register.Address == "" {
			c.Register.Address = f.Listen
		}
		checkAddress(d, r, "address", c.Register.Address)
		host, port, _ := net.SplitHostPort(c.Register.Address)
		if ip := net.ParseIP(host); host == "" || port == "0" || ip != nil && ip.IsUnspecified() {
			d.Bad(r.Path, "address", "%q is nothing that clients can connect to", c.Register.Address)
		}
		r.Done()
	}
	s.Done()
	return c
}
