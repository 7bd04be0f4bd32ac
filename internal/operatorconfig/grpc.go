package operatorconfig

import (
	"slices"
	"time"

	"pumicecroft/decision"
	"pumicecroft/grpcproxy"
	"pumicecroft/internal/settings"
)

// GRPC is the [grpc] section of a file.
type GRPC struct {
	Listen   string // the address for clients, host:port
	Proxy    grpcproxy.Config
	Backends grpcproxy.BackendConfig
}

// readGRPC reads [grpc], after classes.
func readGRPC(s *settings.Section, f *File) *GRPC {
	g := &GRPC{Listen: s.String("listen", true)}
	if g.Listen != "" {
		checkAddress(s, "listen", g.Listen)
	}
	c, b := &g.Proxy, &g.Backends
	c.Names = readMetadataNames(s)
	c.Strict = s.Bool("strict", false)
	c.CustomerText = s.Bool("customer_text", false)
	c.ReadTimeout = s.Duration("read_timeout", time.Second, time.Millisecond, time.Hour)
	c.MaxMessageBytes = s.Int("max_message", 4<<20, 1, 1<<30)
	c.MaxClientConns = s.Int("client_connections", 400, 1, maxCount)
	c.MaxStreamsPerConn = s.Int("client_streams", 1000, 1, maxCount)
	b.MaxConnsPerBackend = s.Int("backend_connections", 2, 1, maxCount)
	b.MaxStreamsPerConn = s.Int("backend_streams", 100, 1, maxCount)
	b.MaxMessageBytes = s.Int("max_answer", 4<<20, 1, 1<<30)
	b.ConnectTimeout, b.IdleTimeout = f.Gateway.ConnectTimeout, f.Gateway.IdleTimeout
	c.Methods = readMethods(s, f)
	s.RejectUnknownKeys()
	return g
}

// readMetadataNames reads the names of the metadata that identify a call, its customer and its plan.
func readMetadataNames(s *settings.Section) grpcproxy.MetadataNames {
	seen := map[string]bool{}
	readName := func(key, defaultName string) string {
		name := defaultName
		if _, ok := s.Get(key); ok {
			name = s.String(key, false)
		}
		if err := grpcproxy.ValidateMetadataName(name); err != nil {
			s.Problemf(key, "%v", err)
		} else if name != "" && seen[name] {
			s.Problemf(key, "%q is already the name of other metadata", name)
		}
		seen[name] = true
		return name
	}
	platform := grpcproxy.PlatformNames
	names := grpcproxy.MetadataNames{
		Customer:       readName("customer", platform.Customer),
		Plan:           readName("plan", platform.Plan),
		Cost:           readName("units", platform.Cost),
		ID:             readName("id", platform.ID),
		IdempotencyKey: readName("key", platform.IdempotencyKey),
		Terms:          readName("terms", platform.Terms),
	}
	if names.Customer == "" {
		s.Problemf("customer", "it is empty: calls must name their customer")
	}
	if names.Plan == "" {
		s.Problemf("plan", "it is empty: calls must name their plan")
	}
	return names
}

// readMethods reads [[grpc.method]].
func readMethods(s *settings.Section, f *File) map[string]grpcproxy.Method {
	methods := map[string]grpcproxy.Method{}
	for _, e := range s.List("method") {
		name := e.String("name", true)
		method := grpcproxy.Method{Class: e.String("class", true), Streaming: e.Bool("streaming", false)}
		if err := grpcproxy.ValidateMethod(name); name != "" && err != nil {
			e.Problemf("name", "%v", err)
		}
		if _, ok := methods[name]; ok {
			e.Problemf("name", "%q is used more than once", name)
		}
		known := slices.ContainsFunc(f.Gateway.Settings.Classes,
			func(c decision.Class) bool { return c.Name == method.Class })
		if method.Class != "" && !known {
			e.Problemf("class", "there is no class %q", method.Class)
		}
		if c := f.classesByName[method.Class]; c != nil && c.byMethod {
			e.Problemf("class", "class %q has no effect, and over gRPC no method of HTTP's tells it", method.Class)
		}
		e.RejectUnknownKeys()
		methods[name] = method
	}
	if len(methods) == 0 {
		s.Problemf("method", "at least one [[grpc.method]] with a name and a class is required")
	}
	return methods
}
