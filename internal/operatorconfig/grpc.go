package operatorconfig

import (
	"slices"
	"time"

	"pumicecroft/grpcproxy"
	"pumicecroft/internal/settings"
)

// GRPC is what a file says of gRPC.
type GRPC struct {
	Listen   string // host:port for clients
	Proxy    grpcproxy.Config
	Backends grpcproxy.BackendConfig
}

// readGRPC reads [grpc]; the classes have been read.
func readGRPC(d *settings.Document, s *settings.Section, f *File) *GRPC {
	g := &GRPC{}
	c, b := &g.Proxy, &g.Backends
	g.Listen = s.Text("listen", true)
	if g.Listen != "" {
		checkAddress(d, s, "listen", g.Listen)
	}
	usual := grpcproxy.PlatformNames
	seen := map[string]bool{}
	name := func(key, usual string) string {
		v := usual
		if _, there := s.Get(key); there {
			v = s.Text(key, false)
		}
		if err := grpcproxy.ValidateMetadataName(v); err != nil {
			d.Problemf(s.Path, key, "%v", err)
		} else if v != "" && seen[v] {
			d.Problemf(s.Path, key, "%q stands for something else already", v)
		}
		seen[v] = true
		return v
	}
	c.Names = grpcproxy.MetadataNames{Customer: name("customer", usual.Customer), Plan: name("plan", usual.Plan), Cost: name("units", usual.Cost),
		ID: name("id", usual.ID), IdempotencyKey: name("key", usual.IdempotencyKey), Terms: name("terms", usual.Terms)}
	if c.Names.Customer == "" {
		d.Problemf(s.Path, "customer", "it is empty: calls must say who asks")
	}
	if c.Names.Plan == "" {
		d.Problemf(s.Path, "plan", "it is empty: calls must say by which plan")
	}
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
	c.Methods = map[string]grpcproxy.Method{}
	classes := map[string]bool{}
	for _, k := range f.Gateway.Settings.Classes {
		classes[k.Name] = true
	}
	for _, e := range s.List("method") {
		n := e.Text("name", true)
		m := grpcproxy.Method{Class: e.Text("class", true), Streaming: e.Bool("streaming", false)}
		if err := grpcproxy.ValidateMethod(n); n != "" && err != nil {
			d.Problemf(e.Path, "name", "%v", err)
		}
		if _, twice := c.Methods[n]; twice {
			d.Problemf(e.Path, "name", "%q is there twice", n)
		}
		if m.Class != "" && !classes[m.Class] {
			d.Problemf(e.Path, "class", "there is no class %q", m.Class)
		}
		if slices.ContainsFunc(f.classes, func(c class) bool { return c.Name == m.Class && c.byMethod }) {
			d.Problemf(e.Path, "class", "class %q has no effect, and over gRPC no method of HTTP's tells it", m.Class)
		}
		e.RejectUnknownKeys()
		c.Methods[n] = m
	}
	if len(c.Methods) == 0 {
		d.Problemf(s.Path, "method", "there is none: [[grpc.method]] with a name and a class")
	}
	s.RejectUnknownKeys()
	return g
}
