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
	Config       consul.Config
	Services     []consul.Service
	Registration *consul.Registration // nil: the door does not stand in the catalogue
	DrainNotice  time.Duration        // for how long a registered door goes on serving once it is critical
}

// The names of sources.
const (
	SourceConsul    = "consul"
	SourceDiscovery = "discovery"
	SourceFile      = "file"
)

// readSources reads where members come from.
func readSources(d *settings.Document, top *settings.Section, f *File) {
	f.Gateway.StateDir = top.Text("state_dir", false)
	f.StatusAddr = top.Text("members", false)
	if f.StatusAddr != "" {
		checkAddress(d, top, "members", f.StatusAddr)
		host, _, _ := net.SplitHostPort(f.StatusAddr)
		if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
			d.Problemf(top.Path, "members", "%q is not on this machine alone: it must be a loopback address", f.StatusAddr)
		}
	}
	readMembership(top.Table("membership"), f)
	there := map[string]bool{}
	if s := top.Table("consul"); s.Keys != nil {
		there[SourceConsul] = true
		f.Consul = readConsul(d, s, f)
	}
	if s := top.Table("discovery"); s.Keys != nil {
		there[SourceDiscovery] = true
		f.DiscoveryAddr = s.Text("address", true)
		if f.DiscoveryAddr != "" {
			checkAddress(d, s, "address", f.DiscoveryAddr)
		}
		f.DiscoveryProtocol = readServiceProtocol(s, "service", "", f)
		s.RejectUnknownKeys()
	}
	readBackends(d, top, f)
	there[SourceFile] = len(f.Backends.Nodes) > 0
	if len(there) == 1 && !there[SourceFile] {
		d.Problemf("", "backend", "there is none: [[backend]] with a name and an address, [consul] or [discovery]")
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
			d.Problemf("", "sources", "%q is none of %s", name, strings.Join(names, ", "))
		case !there[name]:
			d.Problemf("", "sources", "%q is named, and the file does not say what it is", name)
		case slices.Contains(f.Sources[:i], name):
			d.Problemf("", "sources", "%q is there twice", name)
		}
	}
	for _, name := range names {
		if there[name] && !slices.Contains(f.Sources, name) {
			d.Problemf("", "sources", "%q is configured and not named", name)
		}
	}
}

func readMembership(s *settings.Section, f *File) {
	r := &f.Gateway.Membership
	r.ProbationMin = s.Duration("hold_first", time.Second, time.Millisecond, time.Hour)
	r.ProbationMax = s.Duration("hold_most", time.Minute, time.Millisecond, day)
	r.ProbationReset = s.Duration("forget", time.Minute, time.Millisecond, day)
	r.WarmupWindow = s.Duration("cold_for", 15*time.Second, time.Millisecond, day)
	r.MassRemovalRatio = s.Float("loss_share", 0.5, 0.01, 1)
	r.MassRemovalMin = s.Int("loss_least", 3, 1, maxCount)
	r.MassRemovalDelay = s.Duration("loss_for", 1500*time.Millisecond, time.Millisecond, time.Hour)
	r.FullRemovalDelay = s.Duration("loss_all", 5*time.Minute, time.Millisecond, day)
	r.MaxNodes = s.Int("most", membership.DefaultMaxNodes, 1, maxCount)
	s.RejectUnknownKeys()
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
		d.Problemf(s.Path, "key_file", "cert_file and key_file go together")
	}
	seen := map[string]bool{}
	for _, e := range s.List("service") {
		v := consul.Service{Name: e.Text("name", true), Tags: e.Texts("tags"), Near: e.Text("near", false), Filter: e.Text("filter", false)}
		checkUniqueName(d, seen, e, v.Name)
		v.HealthOnly = e.Bool("health_only", false)
		m := &v.Mapping
		m.Zone, m.Cell, m.InstanceType, m.Started = e.Text("zone", false), e.Text("cell", false), e.Text("model", false), e.Text("started", false)
		m.Protocol = e.Text("protocol", false)
		m.DefaultProtocol = readServiceProtocol(e, "service", "", f)
		m.Name = e.Text("node_name", false)
		m.ServeWarning = e.OneOf("warning", "drain", "drain", "serve") == 1
		for _, class := range f.Gateway.Settings.Classes { // a repeat to a backend that does not drop it runs twice
			if class.Idempotency == decision.IdempotentByKey && class.DedupScope == decision.DedupScopeZone && m.Zone == "" {
				d.Problemf(e.Path, "zone", "it is missing, and class %q is repeated within a zone", class.Name)
			}
			if class.Idempotency == decision.IdempotentByKey && class.DedupScope == decision.DedupScopeCell && m.Cell == "" {
				d.Problemf(e.Path, "cell", "it is missing, and class %q is repeated within a cell", class.Name)
			}
		}
		e.RejectUnknownKeys()
		c.Services = append(c.Services, v)
	}
	if len(c.Services) == 0 {
		d.Problemf(s.Path, "service", "there is none: [[consul.service]] with a name")
	}
	if r := s.Table("register"); r.Keys != nil {
		c.Registration = &consul.Registration{Name: r.Text("name", true), ID: r.Text("id", false), Address: r.Text("address", false),
			Tags: r.Texts("tags"), TTL: r.Duration("ttl", 10*time.Second, time.Second, day), DeregisterAfter: r.Duration("forget", 10*time.Minute, time.Minute, day)}
		c.DrainNotice = r.Duration("notice", time.Second, 0, time.Minute)
		if c.Registration.Address == "" {
			c.Registration.Address = f.Listen
		}
		checkAddress(d, r, "address", c.Registration.Address)
		host, port, _ := net.SplitHostPort(c.Registration.Address)
		if ip := net.ParseIP(host); host == "" || port == "0" || ip != nil && ip.IsUnspecified() {
			d.Problemf(r.Path, "address", "%q is nothing that clients can connect to", c.Registration.Address)
		}
		r.RejectUnknownKeys()
	}
	s.RejectUnknownKeys()
	return c
}
