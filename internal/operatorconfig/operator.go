// Package operatorconfig reads the operator's own file, such as deploy/pumicecroft.toml: a front door that is not run
// by the platform has its classes, plans and backends from there. Every problem of a file is found in one go and
// names its key and line. The package reads text; files and sockets are the caller's.
package operatorconfig

import (
	"math"
	"net"
	"slices"
	"strconv"
	"time"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/httpproxy"
	"pumicecroft/internal/settings"
	"pumicecroft/membership"
)

// Problem is one thing that is wrong with a file.
type Problem = settings.Problem

// Problems are all things that are wrong with a file.
type Problems = settings.Problems

// File is what an operator's file says.
type File struct {
	Listen      string // host:port for clients
	ClientConns int    // connections that clients may hold
	Door        pumicecroft.Config
	Members     string            // host:port on loopback for who asks what the door believes of its backends; empty: nobody
	Sources     []string          // of backends, by precedence: SourceConsul and so on
	Backends    membership.Update // of SourceFile
	Discovery   string            // host:port of the platform's discovery
	// DiscoverySpeaks is what the backends there speak; empty: what the door takes them to.
	DiscoverySpeaks string
	Consul          *Consul
	GRPC            *GRPC // nil: gRPC is off
	Web             *Web  // nil: clients on Listen speak the platform's dialect

	classes []class // the file's, before their variants
}

const (
	day       = 24 * time.Hour
	many      = 1 << 20
	unbounded = math.MaxFloat64
)

// Parse reads a file's text. The error is a Problems.
func Parse(text []byte) (File, error) {
	d, err := settings.Parse(text)
	if err != nil {
		return File{}, err
	}
	var f File
	top := d.Top()
	f.Listen = top.Text("listen", true)
	if f.Listen != "" {
		checkAddress(d, top, "listen", f.Listen)
	}
	readDoor(top.Table("door"), &f)
	readServices(d, top, &f)
	readClasses(d, top, &f)
	readPlans(d, top, &f)
	readMembers(d, top, &f)
	readWeb(d, top, &f)
	if s := top.Table("grpc"); s.Keys != nil {
		f.GRPC = readGRPC(d, s, &f)
	}
	if s := top.Table("keys"); s.Keys != nil {
		f.Door.Idempotency = readKeys(d, s, &f)
	}
	top.Done()
	if err := d.Result(); err != nil {
		return File{}, err
	}
	if err := f.Door.Settings.Validate(); err != nil { // what the keys by themselves do not show
		return File{}, Problems{{Line: 1, What: err.Error()}}
	}
	return f, nil
}

func checkAddress(d *settings.Document, s *settings.Section, key, addr string) {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		d.Bad(s.Path, key, "%q is no host:port", addr)
		return
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		d.Bad(s.Path, key, "%q has no port from 0 to 65535", addr)
	}
}

// protocol gives what backends speak.
func protocol(s *settings.Section, usual string) string {
	if _, there := s.Get("protocol"); !there {
		return usual
	}
	names := []string{membership.ProtocolHTTP, membership.ProtocolGRPC}
	return names[s.OneOf("protocol", usual, names...)]
}

// serves gives what backends speak that are a service's.
func serves(s *settings.Section, key, usual string, f *File) string {
	name := s.Text(key, false)
	if name == "" {
		return usual
	}
	if f.Web == nil || !slices.ContainsFunc(f.Web.Services, func(v Service) bool { return v.Name == name }) {
		s.Bad(key, "there is no service %q", name)
	}
	return httpproxy.Protocol(name)
}

func readDoor(s *settings.Section, f *File) {
	set, c := &f.Door.Settings, &f.Door
	set.GatewayCount = s.Whole("of", 1, 1, 10_000)
	set.GatewayIndex = s.Whole("number", 0, 0, 9_999)
	if set.GatewayIndex >= set.GatewayCount {
		s.Bad("number", "%d is not below of = %d: doors count from 0", set.GatewayIndex, set.GatewayCount)
	}
	set.Zone = s.Text("zone", false)
	set.MaxAttempts = s.Whole("max_attempts", 3, 1, 16)
	set.CanCancel = s.Yes("cancel", true)
	set.MaxRetryAfter = s.Duration("max_retry_after", time.Second, 0, time.Hour)
	set.UsagePeriod = s.Duration("meter_period", 0, 0, time.Minute)
	set.MaxCost = s.Number("largest_units", 0, 0, unbounded)
	set.SlowStartMinCapacity = s.Number("cold_from", 0.2, 0, 1)
	set.SlowStartWindow = s.Duration("warm_within", 0, 0, time.Hour)
	set.OverloadFactor = s.Number("fall_multiple", 0, 0, 1000)
	set.OverloadDuration = s.Duration("fall_for", 0, 0, time.Hour)
	set.ResponseGrace = s.Duration("answer_grace", 0, 0, time.Minute)
	set.AssumeQuotaSpent = s.Yes("start_spent", false)
	set.DrainGrace = s.Duration("drain_grace", 2*time.Second, 0, time.Hour)
	c.Protocol = protocol(s, membership.ProtocolHTTP)
	c.MaxOpenRequests = s.Whole("max_open", 4096, 1, many)
	c.MaxBackendConns = s.Whole("backend_connections", 256, 1, many)
	f.ClientConns = s.Whole("client_connections", 400, 1, many)
	c.BodyReadTimeout = s.Duration("body_timeout", time.Second, time.Millisecond, time.Hour)
	c.ConnectTimeout = s.Duration("connect_timeout", 250*time.Millisecond, time.Millisecond, time.Minute)
	c.IdleTimeout = s.Duration("idle_timeout", 15*time.Second, time.Millisecond, day)
	s.Done()
}

// names notes a name that is there twice.
func names(d *settings.Document, seen map[string]bool, s *settings.Section, name string) {
	if name != "" && seen[name] {
		d.Bad(s.Path, "name", "%q is there twice", name)
	}
	seen[name] = true
}

// readClass reads what a class has beside its name and effect.
func readClass(d *settings.Document, s *settings.Section, name string) decision.Class {
	c := decision.Class{Name: name}
	c.DedupScope = decision.DedupScope(s.OneOf("group", "all", "all", "zone", "cell"))
	c.DedupWindow = s.Duration("key_window", 0, 0, day)
	c.Deadline = s.Duration("deadline", 10*time.Second, time.Millisecond, time.Hour)
	c.LatencyObjective = s.Duration("aim", c.Deadline/2, time.Millisecond, time.Hour)
	c.PriorityWeight = s.Number("worth", 1, 0, unbounded)
	c.LateWeightFactor = s.Number("late_worth", 0, 0, 1)
	if c.LatencyObjective > c.Deadline {
		d.Bad(s.Path, "aim", "%v is over the deadline of %v", c.LatencyObjective, c.Deadline)
	}
	return c
}

// readClasses reads classes; services have brought theirs, whose place one of the same name takes.
func readClasses(d *settings.Document, top *settings.Section, f *File) {
	set := &f.Door.Settings
	seen := map[string]bool{}
	for _, s := range top.List("class") {
		c := class{Class: readClass(d, s, s.Text("name", true))}
		names(d, seen, s, c.Name)
		_, told := s.Get("effect")
		c.byMethod = f.Web != nil && !told
		c.Idempotency = decision.Idempotency(s.OneOf("effect", "safe", "safe", "keyed", "unsafe"))
		if c.Idempotency == decision.IdempotentByKey && c.DedupWindow == 0 {
			d.Bad(s.Path, "key_window", "a keyed class needs it: how long backends of a group drop a repeat")
		}
		s.Done()
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
		d.Bad("", "class", "there is none: [[class]] with at least a name")
	}
}

func readPlans(d *settings.Document, top *settings.Section, f *File) {
	set := &f.Door.Settings
	seen := map[string]bool{}
	for _, s := range top.List("plan") {
		p := decision.Plan{Name: s.Text("name", true)}
		names(d, seen, s, p.Name)
		p.Rate = s.Number("rate", 0, 0, unbounded)
		p.Burst = s.Number("burst", 0, 0, unbounded)
		p.MaxInFlight = s.Whole("open", 0, 0, many)
		p.Price = s.Number("price", 1, 0, unbounded)
		p.HardLimitRate = s.Number("ceiling_rate", 0, 0, unbounded)
		p.HardLimitBurst = s.Number("ceiling_burst", 0, 0, unbounded)
		p.HardLimitOverdraft = s.Number("ceiling_slack", 0, 0, unbounded)
		if (p.Rate > 0) != (p.Burst > 0) {
			d.Bad(s.Path, "burst", "rate and burst go together")
		}
		if (p.HardLimitRate > 0) != (p.HardLimitBurst > 0) {
			d.Bad(s.Path, "ceiling_burst", "ceiling_rate and ceiling_burst go together")
		}
		s.Done()
		set.Plans = append(set.Plans, p)
	}
	if len(set.Plans) == 0 && f.Web != nil {
		set.Plans = []decision.Plan{{Name: "everyone", Price: 1}} // without a quota
	}
	if len(set.Plans) == 0 {
		d.Bad("", "plan", "there is none: [[plan]] with at least a name")
	}
}

func readBackends(d *settings.Document, top *settings.Section, f *File) {
	seen := map[string]bool{}
	f.Backends.Full = true
	for _, s := range top.List("backend") {
		n := membership.Node{Name: s.Text("name", true), Addr: s.Text("address", true), Zone: s.Text("zone", false),
			InstanceType: s.Text("model", false), Cell: s.Whole("cell", 0, 0, math.MaxInt32), Weight: s.Number("weight", 1, 0, unbounded),
			Protocol: protocol(s, "")}
		n.Protocol = serves(s, "service", n.Protocol, f)
		names(d, seen, s, n.Name)
		if n.Addr != "" {
			checkAddress(d, s, "address", n.Addr)
		}
		s.Done()
		f.Backends.Nodes = append(f.Backends.Nodes, n)
	}
}
