package operator

import (
	"net"
	"slices"
	"strings"
	"time"

	"pumicecroft/consul"
	"pumicecroft/decision"
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
func readMembers(d *document, top *section, f *File) {
	f.Door.StateDir = top.text("state_dir", false)
	f.Members = top.text("members", false)
	if f.Members != "" {
		checkAddress(d, top, "members", f.Members)
		host, _, _ := net.SplitHostPort(f.Members)
		if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
			d.bad(top.path, "members", "%q is not on this machine alone: it must be a loopback address", f.Members)
		}
	}
	readRules(top.table("membership"), f)
	there := map[string]bool{}
	if s := top.table("consul"); s.keys != nil {
		there[SourceConsul] = true
		f.Consul = readConsul(d, s, f)
	}
	if s := top.table("discovery"); s.keys != nil {
		there[SourceDiscovery] = true
		f.Discovery = s.text("address", true)
		if f.Discovery != "" {
			checkAddress(d, s, "address", f.Discovery)
		}
		f.DiscoverySpeaks = s.serves("service", "", f)
		s.done()
	}
	readBackends(d, top, f)
	there[SourceFile] = len(f.Backends.Nodes) > 0
	if len(there) == 1 && !there[SourceFile] {
		d.bad("", "backend", "there is none: [[backend]] with a name and an address, [consul] or [discovery]")
	}
	names := []string{SourceConsul, SourceDiscovery, SourceFile}
	f.Sources = top.texts("sources")
	if f.Sources == nil {
		f.Sources = slices.DeleteFunc(names, func(n string) bool { return !there[n] })
		return
	}
	for i, name := range f.Sources {
		switch {
		case !slices.Contains(names, name):
			d.bad("", "sources", "%q is none of %s", name, strings.Join(names, ", "))
		case !there[name]:
			d.bad("", "sources", "%q is named, and the file does not say what it is", name)
		case slices.Contains(f.Sources[:i], name):
			d.bad("", "sources", "%q is there twice", name)
		}
	}
	for _, name := range names {
		if there[name] && !slices.Contains(f.Sources, name) {
			d.bad("", "sources", "%q is configured and not named", name)
		}
	}
}

func readRules(s *section, f *File) {
	r := &f.Door.Membership
	r.HoldFirst = s.duration("hold_first", time.Second, time.Millisecond, time.Hour)
	r.HoldMost = s.duration("hold_most", time.Minute, time.Millisecond, day)
	r.Forget = s.duration("forget", time.Minute, time.Millisecond, day)
	r.ColdFor = s.duration("cold_for", 15*time.Second, time.Millisecond, day)
	r.LossShare = s.number("loss_share", 0.5, 0.01, 1)
	r.LossLeast = s.whole("loss_least", 3, 1, many)
	r.LossFor = s.duration("loss_for", 1500*time.Millisecond, time.Millisecond, time.Hour)
	r.LossAll = s.duration("loss_all", 5*time.Minute, time.Millisecond, day)
	r.Most = s.whole("most", 20_000, 1, many)
	s.done()
}

func readConsul(d *document, s *section, f *File) *Consul {
	c := &Consul{}
	o := &c.Config
	o.Address = s.text("address", true)
	o.TokenFile = s.text("token_file", false)
	o.Datacenter, o.Namespace, o.Partition = s.text("datacenter", false), s.text("namespace", false), s.text("partition", false)
	o.CAFile, o.CertFile, o.KeyFile = s.text("ca_file", false), s.text("cert_file", false), s.text("key_file", false)
	o.ServerName = s.text("server_name", false)
	o.Consistency = consul.Consistency(s.oneOf("consistency", "default", "default", "stale", "consistent"))
	o.Wait = s.duration("wait", 10*time.Second, 100*time.Millisecond, 10*time.Minute)
	o.MaxStale = s.duration("max_stale", 10*time.Second, 0, day)
	o.RetryMost = s.duration("retry_most", 5*time.Second, 100*time.Millisecond, time.Hour)
	if (o.CertFile == "") != (o.KeyFile == "") {
		d.bad(s.path, "key_file", "cert_file and key_file go together")
	}
	seen := map[string]bool{}
	for _, e := range s.list("service") {
		v := consul.Service{Name: e.text("name", true), Tags: e.texts("tags"), Near: e.text("near", false), Filter: e.text("filter", false)}
		names(d, seen, e, v.Name)
		v.HealthOnly = e.yes("health_only", false)
		m := &v.Mapping
		m.Zone, m.Cell, m.Model, m.Started = e.text("zone", false), e.text("cell", false), e.text("model", false), e.text("started", false)
		m.Protocol = e.text("protocol", false)
		m.Speaks = e.serves("service", "", f)
		m.Name = e.text("node_name", false)
		m.ServeWarning = e.oneOf("warning", "drain", "drain", "serve") == 1
		for _, class := range f.Door.Settings.Classes { // a repeat to a backend that does not drop it runs twice
			if class.Effect == decision.Keyed && class.Group == decision.GroupZone && m.Zone == "" {
				d.bad(e.path, "zone", "it is missing, and class %q is repeated within a zone", class.Name)
			}
			if class.Effect == decision.Keyed && class.Group == decision.GroupCell && m.Cell == "" {
				d.bad(e.path, "cell", "it is missing, and class %q is repeated within a cell", class.Name)
			}
		}
		e.done()
		c.Services = append(c.Services, v)
	}
	if len(c.Services) == 0 {
		d.bad(s.path, "service", "there is none: [[consul.service]] with a name")
	}
	if r := s.table("register"); r.keys != nil {
		c.Register = &consul.Registration{Name: r.text("name", true), ID: r.text("id", false), Address: r.text("address", false),
			Tags: r.texts("tags"), TTL: r.duration("ttl", 10*time.Second, time.Second, day), Forget: r.duration("forget", 10*time.Minute, time.Minute, day)}
		c.Notice = r.duration("notice", time.Second, 0, time.Minute)
		if c.Register.Address == "" {
			c.Register.Address = f.Listen
		}
		checkAddress(d, r, "address", c.Register.Address)
		host, port, _ := net.SplitHostPort(c.Register.Address)
		if ip := net.ParseIP(host); host == "" || port == "0" || ip != nil && ip.IsUnspecified() {
			d.bad(r.path, "address", "%q is nothing that clients can connect to", c.Register.Address)
		}
		r.done()
	}
	s.done()
	return c
}
