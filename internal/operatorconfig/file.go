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
	Listen         string // host:port for clients
	MaxClientConns int    // connections that clients may hold
	Gateway        pumicecroft.Config
	StatusAddr     string            // host:port on loopback for who asks what the door believes of its backends; empty: nobody
	Sources        []string          // of backends, by precedence: SourceConsul and so on
	Backends       membership.Update // of SourceFile
	DiscoveryAddr  string            // host:port of the platform's discovery
	// DiscoveryProtocol is what the backends there speak; empty: what the door takes them to.
	DiscoveryProtocol string
	Consul            *Consul
	GRPC              *GRPC // nil: gRPC is off
	HTTP              *HTTP // nil: clients on Listen speak the platform's dialect

	classes []class // the file's, before their variants
}

const (
	day       = 24 * time.Hour
	maxCount  = 1 << 20
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
	readGateway(top.Table("door"), &f)
	readServices(d, top, &f)
	readClasses(d, top, &f)
	readPlans(d, top, &f)
	readSources(d, top, &f)
	readHTTP(d, top, &f)
	if s := top.Table("grpc"); s.Keys != nil {
		f.GRPC = readGRPC(d, s, &f)
	}
	if s := top.Table("keys"); s.Keys != nil {
		f.Gateway.Idempotency = readIdempotency(d, s, &f)
	}
	top.RejectUnknownKeys()
	if err := d.Err(); err != nil {
		return File{}, err
	}
	if err := f.Gateway.Settings.Validate(); err != nil { // what the keys by themselves do not show
		return File{}, Problems{{Line: 1, Message: err.Error()}}
	}
	return f, nil
}

func checkAddress(d *settings.Document, s *settings.Section, key, addr string) {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		d.Problemf(s.Path, key, "%q is no host:port", addr)
		return
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		d.Problemf(s.Path, key, "%q has no port from 0 to 65535", addr)
	}
}

// readProtocol gives what backends speak.
func readProtocol(s *settings.Section, usual string) string {
	if _, there := s.Get("protocol"); !there {
		return usual
	}
	names := []string{membership.ProtocolHTTP, membership.ProtocolGRPC}
	return names[s.OneOf("protocol", usual, names...)]
}

// readServiceProtocol gives what backends speak that are a service's.
func readServiceProtocol(s *settings.Section, key, usual string, f *File) string {
	name := s.Text(key, false)
	if name == "" {
		return usual
	}
	if f.HTTP == nil || !slices.ContainsFunc(f.HTTP.Services, func(v Service) bool { return v.Name == name }) {
		s.Problemf(key, "there is no service %q", name)
	}
	return httpproxy.Protocol(name)
}

func readGateway(s *settings.Section, f *File) {
	set, c := &f.Gateway.Settings, &f.Gateway
	set.GatewayCount = s.Int("of", 1, 1, 10_000)
	set.GatewayIndex = s.Int("number", 0, 0, 9_999)
	if set.GatewayIndex >= set.GatewayCount {
		s.Problemf("number", "%d is not below of = %d: doors count from 0", set.GatewayIndex, set.GatewayCount)
	}
	set.Zone = s.Text("zone", false)
	set.MaxAttempts = s.Int("max_attempts", 3, 1, 16)
	set.CanCancel = s.Bool("cancel", true)
	set.MaxRetryAfter = s.Duration("max_retry_after", time.Second, 0, time.Hour)
	set.UsagePeriod = s.Duration("meter_period", 0, 0, time.Minute)
	set.MaxCost = s.Float("largest_units", 0, 0, unbounded)
	set.SlowStartMinCapacity = s.Float("cold_from", 0.2, 0, 1)
	set.SlowStartWindow = s.Duration("warm_within", 0, 0, time.Hour)
	set.OverloadFactor = s.Float("fall_multiple", 0, 0, 1000)
	set.OverloadDuration = s.Duration("fall_for", 0, 0, time.Hour)
	set.ResponseGrace = s.Duration("answer_grace", 0, 0, time.Minute)
	set.AssumeQuotaSpent = s.Bool("start_spent", false)
	set.DrainGrace = s.Duration("drain_grace", 2*time.Second, 0, time.Hour)
	c.Protocol = readProtocol(s, membership.ProtocolHTTP)
	c.MaxOpenRequests = s.Int("max_open", 4096, 1, maxCount)
	c.MaxBackendConns = s.Int("backend_connections", 256, 1, maxCount)
	f.MaxClientConns = s.Int("client_connections", 400, 1, maxCount)
	c.BodyReadTimeout = s.Duration("body_timeout", time.Second, time.Millisecond, time.Hour)
	c.ConnectTimeout = s.Duration("connect_timeout", 250*time.Millisecond, time.Millisecond, time.Minute)
	c.IdleTimeout = s.Duration("idle_timeout", 15*time.Second, time.Millisecond, day)
	s.RejectUnknownKeys()
}

// checkUniqueName notes a name that is there twice.
func checkUniqueName(d *settings.Document, seen map[string]bool, s *settings.Section, name string) {
	if name != "" && seen[name] {
		d.Problemf(s.Path, "name", "%q is there twice", name)
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
	c.PriorityWeight = s.Float("worth", 1, 0, unbounded)
	c.LateWeightFactor = s.Float("late_worth", 0, 0, 1)
	if c.LatencyObjective > c.Deadline {
		d.Problemf(s.Path, "aim", "%v is over the deadline of %v", c.LatencyObjective, c.Deadline)
	}
	return c
}

// readClasses reads classes; services have brought theirs, whose place one of the same name takes.
func readClasses(d *settings.Document, top *settings.Section, f *File) {
	set := &f.Gateway.Settings
	seen := map[string]bool{}
	for _, s := range top.List("class") {
		c := class{Class: readClass(d, s, s.Text("name", true))}
		checkUniqueName(d, seen, s, c.Name)
		_, told := s.Get("effect")
		c.byMethod = f.HTTP != nil && !told
		c.Idempotency = decision.Idempotency(s.OneOf("effect", "safe", "safe", "keyed", "unsafe"))
		if c.Idempotency == decision.IdempotentByKey && c.DedupWindow == 0 {
			d.Problemf(s.Path, "key_window", "a keyed class needs it: how long backends of a group drop a repeat")
		}
		s.RejectUnknownKeys()
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
		all, _ := classVariants(c.Class)
		set.Classes = append(set.Classes, all...)
	}
	if len(set.Classes) == 0 {
		d.Problemf("", "class", "there is none: [[class]] with at least a name")
	}
}

func readPlans(d *settings.Document, top *settings.Section, f *File) {
	set := &f.Gateway.Settings
	seen := map[string]bool{}
	for _, s := range top.List("plan") {
		p := decision.Plan{Name: s.Text("name", true)}
		checkUniqueName(d, seen, s, p.Name)
		p.Rate = s.Float("rate", 0, 0, unbounded)
		p.Burst = s.Float("burst", 0, 0, unbounded)
		p.MaxInFlight = s.Int("open", 0, 0, maxCount)
		p.Price = s.Float("price", 1, 0, unbounded)
		p.HardLimitRate = s.Float("ceiling_rate", 0, 0, unbounded)
		p.HardLimitBurst = s.Float("ceiling_burst", 0, 0, unbounded)
		p.HardLimitOverdraft = s.Float("ceiling_slack", 0, 0, unbounded)
		if (p.Rate > 0) != (p.Burst > 0) {
			d.Problemf(s.Path, "burst", "rate and burst go together")
		}
		if (p.HardLimitRate > 0) != (p.HardLimitBurst > 0) {
			d.Problemf(s.Path, "ceiling_burst", "ceiling_rate and ceiling_burst go together")
		}
		s.RejectUnknownKeys()
		set.Plans = append(set.Plans, p)
	}
	if len(set.Plans) == 0 && f.HTTP != nil {
		set.Plans = []decision.Plan{{Name: "everyone", Price: 1}} // without a quota
	}
	if len(set.Plans) == 0 {
		d.Problemf("", "plan", "there is none: [[plan]] with at least a name")
	}
}

func readBackends(d *settings.Document, top *settings.Section, f *File) {
	seen := map[string]bool{}
	f.Backends.Full = true
	for _, s := range top.List("backend") {
		n := membership.Node{Name: s.Text("name", true), Addr: s.Text("address", true), Zone: s.Text("zone", false),
			InstanceType: s.Text("model", false), Cell: s.Int("cell", 0, 0, math.MaxInt32), Weight: s.Float("weight", 1, 0, unbounded),
			Protocol: readProtocol(s, "")}
		n.Protocol = readServiceProtocol(s, "service", n.Protocol, f)
		checkUniqueName(d, seen, s, n.Name)
		if n.Addr != "" {
			checkAddress(d, s, "address", n.Addr)
		}
		s.RejectUnknownKeys()
		f.Backends.Nodes = append(f.Backends.Nodes, n)
	}
}
