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
	Front    grpcproxy.Config
	Backends grpcproxy.BackendConfig
}

// readGRPC reads [grpc]; the classes have been read.
func readGRPC(d *settings.Document, s *settings.Section, f *File) *GRPC {
	g := &GRPC{}
	c, b := &g.Front, &g.Backends
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
		if err := grpcproxy.CheckName(v); err != nil {
			d.Bad(s.Path, key, "%v", err)
		} else if v != "" && seen[v] {
			d.Bad(s.Path, key, "%q stands for something else already", v)
		}
		seen[v] = true
		return v
	}
	c.Names = grpcproxy.Names{Customer: name("customer", usual.Customer), Plan: name("plan", usual.Plan), Units: name("units", usual.Units),
		ID: name("id", usual.ID), Key: name("key", usual.Key), Terms: name("terms", usual.Terms)}
	if c.Names.Customer == "" {
		d.Bad(s.Path, "customer", "it is empty: calls must say who asks")
	}
	if c.Names.Plan == "" {
		d.Bad(s.Path, "plan", "it is empty: calls must say by which plan")
	}
	c.Strict = s.Yes("strict", false)
	c.CustomerText = s.Yes("customer_text", false)
	c.ReadTimeout = s.Duration("read_timeout", time.Second, time.Millisecond, time.Hour)
	c.MaxMessage = s.Whole("max_message", 4<<20, 1, 1<<30)
	c.Conns = s.Whole("client_connections", 400, 1, many)
	c.Streams = s.Whole("client_streams", 1000, 1, many)
	b.Conns = s.Whole("backend_connections", 2, 1, many)
	b.Streams = s.Whole("backend_streams", 100, 1, many)
	b.MaxMessage = s.Whole("max_answer", 4<<20, 1, 1<<30)
	b.Connect, b.Idle = f.Door.ConnectTimeout, f.Door.IdleTimeout
	c.Methods = map[string]grpcproxy.Method{}
	classes := map[string]bool{}
	for _, k := range f.Door.Settings.Classes {
		classes[k.Name] = true
	}
	for _, e := range s.List("method") {
		n := e.Text("name", true)
		m := grpcproxy.Method{Class: e.Text("class", true), Streaming: e.Yes("streaming", false)}
		if err := grpcproxy.CheckMethod(n); n != "" && err != nil {
			d.Bad(e.Path, "name", "%v", err)
		}
		if _, twice := c.Methods[n]; twice {
			d.Bad(e.Path, "name", "%q is there twice", n)
		}
		if m.Class != "" && !classes[m.Class] {
			d.Bad(e.Path, "class", "there is no class %q", m.Class)
		}
		if slices.ContainsFunc(f.classes, func(c class) bool { return c.Name == m.Class && c.byMethod }) {
			d.Bad(e.Path, "class", "class %q has no effect, and over gRPC no method of HTTP's tells it", m.Class)
		}
		e.Done()
		c.Methods[n] = m
	}
	if len(c.Methods) == 0 {
		d.Bad(s.Path, "method", "there is none: [[grpc.method]] with a name and a class")
	}
	s.Done()
	return g
}
