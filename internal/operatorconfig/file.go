// Package operatorconfig parses an operator's file, such as deploy/pumicecroft.toml: the configuration
// of a gateway that is not run by the platform, with its classes, plans, routes and backends. Parse
// reports all problems of a file at once, each with its line and key. The package opens no files and
// no sockets; callers read the files that an operator's file names.
//
// The file's keys have names of their own, which operators rely on ("door" is the gateway). Only this
// package maps them to the terms of the code. file.go parses the gateway and plans; classes.go
// classes; sources.go the sources of backends; http.go, services.go, routes.go and identities.go HTTP;
// grpc.go gRPC; and idempotency.go idempotency keys.
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

// Problem is one error in a file.
type Problem = settings.Problem

// Problems are all errors in a file.
type Problems = settings.Problems

// File is the content of an operator's file.
type File struct {
	// Listen is the address for clients, host:port.
	Listen string
	// MaxClientConns limits the connections of clients.
	MaxClientConns int
	// Gateway is the configuration of the gateway.
	Gateway pumicecroft.Config
	// StatusAddr is the loopback address at which the gateway serves the status of its backends.
	// Empty means that the status is not served.
	StatusAddr string
	// Sources are the names of the sources of backends, such as SourceConsul, highest precedence first.
	Sources []string
	// Backends are the backends that the file lists, for SourceFile.
	Backends membership.Update
	// DiscoveryAddr is the address of the platform's discovery, host:port, for SourceDiscovery.
	DiscoveryAddr string
	// DiscoveryProtocol is the protocol of the backends of SourceDiscovery. Empty means
	// Gateway.Protocol.
	DiscoveryProtocol string
	// Consul is nil without SourceConsul.
	Consul *Consul
	// GRPC is nil if gRPC is not served.
	GRPC *GRPC
	// HTTP is nil if the file has no services: requests on Listen then use the platform's headers.
	HTTP *HTTP

	// classes are the classes before they are split into variants, one for each idempotency.
	classes       []*class
	classesByName map[string]*class
}

// Bounds of values in the file.
const (
	day       = 24 * time.Hour
	maxCount  = 1 << 20
	unbounded = math.MaxFloat64
)

// Parse parses the text of a file. The error is a Problems.
func Parse(text []byte) (File, error) {
	d, err := settings.Parse(text)
	if err != nil {
		return File{}, err
	}
	f := File{classesByName: map[string]*class{}}
	root := d.RootSection()
	f.Listen = root.String("listen", true)
	if f.Listen != "" {
		checkAddress(root, "listen", f.Listen)
	}
	readGateway(root.Table("door"), &f)
	readServices(root, &f)
	readClasses(d, root, &f)
	readPlans(d, root, &f)
	readHTTP(d, root, &f)
	checkVariantNames(d, &f)
	readSources(d, root, &f)
	if s := root.Table("grpc"); s.Keys != nil {
		f.GRPC = readGRPC(s, &f)
	}
	if s := root.Table("keys"); s.Keys != nil {
		f.Gateway.Idempotency = readIdempotencyKeys(s, &f)
	}
	root.RejectUnknownKeys()
	if err := d.Err(); err != nil {
		return File{}, err
	}
	if err := f.Gateway.Settings.Validate(); err != nil {
		// A constraint between several keys, which belongs to no single line: line 1 stands for the file.
		return File{}, Problems{{Line: 1, Message: err.Error()}}
	}
	return f, nil
}

// checkAddress reports a problem unless addr is a host:port.
func checkAddress(s *settings.Section, key, addr string) {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		s.Problemf(key, "%q is no host:port", addr)
		return
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		s.Problemf(key, "the port of %q is not a number from 0 to 65535", addr)
	}
}

// checkUniqueName reports a problem if name is in seen, and then adds name to seen.
func checkUniqueName(seen map[string]bool, s *settings.Section, name string) {
	if name != "" && seen[name] {
		s.Problemf("name", "%q is used more than once", name)
	}
	seen[name] = true
}

// readProtocol reads the protocol of backends.
func readProtocol(s *settings.Section, defaultProtocol string) string {
	if _, ok := s.Get("protocol"); !ok {
		return defaultProtocol
	}
	protocols := []string{membership.ProtocolHTTP, membership.ProtocolGRPC}
	return protocols[s.OneOf("protocol", defaultProtocol, protocols...)]
}

// readServiceProtocol reads the service that backends belong to, and returns the protocol of that
// service, or defaultProtocol if no service is given.
func readServiceProtocol(s *settings.Section, f *File, defaultProtocol string) string {
	const key = "service"
	name := s.String(key, false)
	if name == "" {
		return defaultProtocol
	}
	if f.HTTP == nil ||
		!slices.ContainsFunc(f.HTTP.Services, func(service Service) bool { return service.Name == name }) {
		s.Problemf(key, "there is no service %q", name)
	}
	return httpproxy.Protocol(name)
}

// readGateway reads [door].
func readGateway(s *settings.Section, f *File) {
	set, c := &f.Gateway.Settings, &f.Gateway
	set.GatewayCount = s.Int("of", 1, 1, 10_000)
	set.GatewayIndex = s.Int("number", 0, 0, 9_999)
	if set.GatewayIndex >= set.GatewayCount {
		s.Problemf("number", "%d is not below of = %d: gateways are numbered from 0",
			set.GatewayIndex, set.GatewayCount)
	}
	set.Zone = s.String("zone", false)
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

// readPlans reads [[plan]]. A file with services and without plans gets one plan that has no quota.
func readPlans(d *settings.Document, root *settings.Section, f *File) {
	set := &f.Gateway.Settings
	seen := map[string]bool{}
	for _, s := range root.List("plan") {
		p := decision.Plan{Name: s.String("name", true)}
		checkUniqueName(seen, s, p.Name)
		p.Rate = s.Float("rate", 0, 0, unbounded)
		p.Burst = s.Float("burst", 0, 0, unbounded)
		p.MaxInFlight = s.Int("open", 0, 0, maxCount)
		p.Price = s.Float("price", 1, 0, unbounded)
		p.HardLimitRate = s.Float("ceiling_rate", 0, 0, unbounded)
		p.HardLimitBurst = s.Float("ceiling_burst", 0, 0, unbounded)
		p.HardLimitOverdraft = s.Float("ceiling_slack", 0, 0, unbounded)
		if (p.Rate > 0) != (p.Burst > 0) {
			s.Problemf("burst", "rate and burst go together")
		}
		if (p.HardLimitRate > 0) != (p.HardLimitBurst > 0) {
			s.Problemf("ceiling_burst", "ceiling_rate and ceiling_burst go together")
		}
		s.RejectUnknownKeys()
		set.Plans = append(set.Plans, p)
	}
	if len(set.Plans) == 0 && f.HTTP != nil {
		set.Plans = []decision.Plan{{Name: "everyone", Price: 1}}
	}
	if len(set.Plans) == 0 {
		d.Problemf("", "plan", "at least one [[plan]] with a name is required")
	}
}
