// Package operator reads the operator's own file, such as deploy/pumicecroft.toml: a front door that is not run
// by the platform has its classes, plans and backends from there. Every problem of a file is found in one go and
// names its key and line. The package reads text; files and sockets are the caller's.
package operator

import (
	"math"
	"net"
	"slices"
	"strconv"
	"time"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/membership"
	"pumicecroft/webfront"
)

// File is what an operator's file says.
type File struct {
	Listen      string // host:port for clients
	ClientConns int    // connections that clients may hold
	Door        pumicecroft.Config
	Members     string          // host:port on loopback for who asks what the door believes of its backends; empty: nobody
	Sources     []string        // of backends, by precedence: SourceConsul and so on
	Backends    membership.List // of SourceFile
	Discovery   string          // host:port of the platform's discovery
	// DiscoverySpeaks is what the backends there speak; empty: what the door takes them to.
	DiscoverySpeaks string
	Consul          *Consul
	GRPC            *GRPC // nil: gRPC is off
	Web             *Web  // nil: clients on Listen speak the platform's dialect

	classes []class // the file's, before their variants
}

const (
	day  = 24 * time.Hour
	many = 1 << 20
	any_ = math.MaxFloat64
)

// Parse reads a file's text. The error is a Problems.
func Parse(text []byte) (File, error) {
	d, err := parse(text)
	if err != nil {
		return File{}, err
	}
	var f File
	top := d.top()
	f.Listen = top.text("listen", true)
	if f.Listen != "" {
		checkAddress(d, top, "listen", f.Listen)
	}
	readDoor(top.table("door"), &f)
	readServices(d, top, &f)
	readClasses(d, top, &f)
	readPlans(d, top, &f)
	readMembers(d, top, &f)
	readWeb(d, top, &f)
	if s := top.table("grpc"); s.keys != nil {
		f.GRPC = readGRPC(d, s, &f)
	}
	if s := top.table("keys"); s.keys != nil {
		f.Door.Keys = readKeys(d, s, &f)
	}
	top.done()
	if err := d.result(); err != nil {
		return File{}, err
	}
	if err := f.Door.Settings.Validate(); err != nil { // what the keys by themselves do not show
		return File{}, Problems{{Line: 1, What: err.Error()}}
	}
	return f, nil
}

func checkAddress(d *document, s *section, key, addr string) {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		d.bad(s.path, key, "%q is no host:port", addr)
		return
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		d.bad(s.path, key, "%q has no port from 0 to 65535", addr)
	}
}

// protocol gives what backends speak.
func (s *section) protocol(usual string) string {
	if _, there := s.get("protocol"); !there {
		return usual
	}
	names := []string{membership.ProtocolHTTP, membership.ProtocolGRPC}
	return names[s.oneOf("protocol", usual, names...)]
}

// serves gives what backends speak that are a service's.
func (s *section) serves(key, usual string, f *File) string {
	name := s.text(key, false)
	if name == "" {
		return usual
	}
	if f.Web == nil || !slices.ContainsFunc(f.Web.Services, func(v Service) bool { return v.Name == name }) {
		s.d.bad(s.path, key, "there is no service %q", name)
	}
	return webfront.Protocol(name)
}

func readDoor(s *section, f *File) {
	set, c := &f.Door.Settings, &f.Door
	set.FrontDoors = s.whole("of", 1, 1, 10_000)
	set.Me = s.whole("number", 0, 0, 9_999)
	if set.Me >= set.FrontDoors {
		s.d.bad(s.path, "number", "%d is not below of = %d: doors count from 0", set.Me, set.FrontDoors)
	}
	set.Zone = s.text("zone", false)
	set.MaxAttempts = s.whole("max_attempts", 3, 1, 16)
	set.CanCancel = s.yes("cancel", true)
	set.MaxRetryAfter = s.duration("max_retry_after", time.Second, 0, time.Hour)
	set.MeterPeriod = s.duration("meter_period", 0, 0, time.Minute)
	set.LargestUnits = s.number("largest_units", 0, 0, any_)
	set.ColdFrom = s.number("cold_from", 0.2, 0, 1)
	set.WarmWithin = s.duration("warm_within", 0, 0, time.Hour)
	set.FallMultiple = s.number("fall_multiple", 0, 0, 1000)
	set.FallFor = s.duration("fall_for", 0, 0, time.Hour)
	set.AnswerGrace = s.duration("answer_grace", 0, 0, time.Minute)
	set.DrainGrace = s.duration("drain_grace", 2*time.Second, 0, time.Hour)
	c.Protocol = s.protocol(membership.ProtocolHTTP)
	c.MaxOpen = s.whole("max_open", 4096, 1, many)
	c.BackendConns = s.whole("backend_connections", 256, 1, many)
	f.ClientConns = s.whole("client_connections", 400, 1, many)
	c.BodyTimeout = s.duration("body_timeout", time.Second, time.Millisecond, time.Hour)
	c.ConnectTimeout = s.duration("connect_timeout", 250*time.Millisecond, time.Millisecond, time.Minute)
	c.IdleTimeout = s.duration("idle_timeout", 15*time.Second, time.Millisecond, day)
	s.done()
}

// names notes a name that is there twice.
func names(d *document, seen map[string]bool, s *section, name string) {
	if name != "" && seen[name] {
		d.bad(s.path, "name", "%q is there twice", name)
	}
	seen[name] = true
}

// readClass reads what a class has beside its name and effect.
func readClass(d *document, s *section, name string) decision.Class {
	c := decision.Class{Name: name}
	c.Group = decision.Group(s.oneOf("group", "all", "all", "zone", "cell"))
	c.KeyWindow = s.duration("key_window", 0, 0, day)
	c.Deadline = s.duration("deadline", 10*time.Second, time.Millisecond, time.Hour)
	c.Aim = s.duration("aim", c.Deadline/2, time.Millisecond, time.Hour)
	c.Worth = s.number("worth", 1, 0, any_)
	c.LateWorth = s.number("late_worth", 0, 0, 1)
	if c.Aim > c.Deadline {
		d.bad(s.path, "aim", "%v is over the deadline of %v", c.Aim, c.Deadline)
	}
	return c
}

// readClasses reads classes; services have brought theirs, whose place one of the same name takes.
func readClasses(d *document, top *section, f *File) {
	set := &f.Door.Settings
	seen := map[string]bool{}
	for _, s := range top.list("class") {
		c := class{Class: readClass(d, s, s.text("name", true))}
		names(d, seen, s, c.Name)
		_, told := s.get("effect")
		c.byMethod = f.Web != nil && !told
		c.Effect = decision.Effect(s.oneOf("effect", "safe", "safe", "keyed", "unsafe"))
		if c.Effect == decision.Keyed && c.KeyWindow == 0 {
			d.bad(s.path, "key_window", "a keyed class needs it: how long backends of a group drop a repeat")
		}
		s.done()
		if i := slices.IndexFunc(f.classes, func(k class) bool { return k.Name == c.Name }); i >= 0 {
			f.classes[i] = c
		} else {
			f.classes = append(f.classes, c)
		}
	}
	for _, c := range f.classes {
		if !c.byMethod {
			set.Classes = append(set.Classes, c.Class)
			continue
		}
		all, _ := spread(c.Class)
		set.Classes = append(set.Classes, all...)
	}
	if len(set.Classes) == 0 {
		d.bad("", "class", "there is none: [[class]] with at least a name")
	}
}

func readPlans(d *document, top *section, f *File) {
	set := &f.Door.Settings
	seen := map[string]bool{}
	for _, s := range top.list("plan") {
		p := decision.Plan{Name: s.text("name", true)}
		names(d, seen, s, p.Name)
		p.Rate = s.number("rate", 0, 0, any_)
		p.Burst = s.number("burst", 0, 0, any_)
		p.Open = s.whole("open", 0, 0, many)
		p.Price = s.number("price", 1, 0, any_)
		p.CeilingRate = s.number("ceiling_rate", 0, 0, any_)
		p.CeilingBurst = s.number("ceiling_burst", 0, 0, any_)
		p.CeilingSlack = s.number("ceiling_slack", 0, 0, any_)
		if (p.Rate > 0) != (p.Burst > 0) {
			d.bad(s.path, "burst", "rate and burst go together")
		}
		if (p.CeilingRate > 0) != (p.CeilingBurst > 0) {
			d.bad(s.path, "ceiling_burst", "ceiling_rate and ceiling_burst go together")
		}
		s.done()
		set.Plans = append(set.Plans, p)
	}
	if len(set.Plans) == 0 && f.Web != nil {
		set.Plans = []decision.Plan{{Name: "everyone", Price: 1}} // without a quota
	}
	if len(set.Plans) == 0 {
		d.bad("", "plan", "there is none: [[plan]] with at least a name")
	}
}

func readBackends(d *document, top *section, f *File) {
	seen := map[string]bool{}
	f.Backends.Whole = true
	for _, s := range top.list("backend") {
		n := membership.Node{Name: s.text("name", true), Addr: s.text("address", true), Zone: s.text("zone", false),
			Kind: s.text("model", false), Cell: s.whole("cell", 0, 0, math.MaxInt32), Weight: s.number("weight", 1, 0, any_),
			Protocol: s.protocol("")}
		n.Protocol = s.serves("service", n.Protocol, f)
		names(d, seen, s, n.Name)
		if n.Addr != "" {
			checkAddress(d, s, "address", n.Addr)
		}
		s.done()
		f.Backends.Nodes = append(f.Backends.Nodes, n)
	}
}
