package operator

import (
	"slices"
	"time"

	"pumicecroft/grpcfront"
)

// GRPC is what a file says of gRPC.
type GRPC struct {
	Listen   string // host:port for clients
	Front    grpcfront.Config
	Backends grpcfront.BackendConfig
}

// readGRPC reads [grpc]; the classes have been read.
func readGRPC(d *document, s *section, f *File) *GRPC {
	g := &GRPC{}
	c, b := &g.Front, &g.Backends
	g.Listen = s.text("listen", true)
	if g.Listen != "" {
		checkAddress(d, s, "listen", g.Listen)
	}
	usual := grpcfront.PlatformNames
	seen := map[string]bool{}
	name := func(key, usual string) string {
		v := usual
		if _, there := s.get(key); there {
			v = s.text(key, false)
		}
		if err := grpcfront.CheckName(v); err != nil {
			d.bad(s.path, key, "%v", err)
		} else if v != "" && seen[v] {
			d.bad(s.path, key, "%q stands for something else already", v)
		}
		seen[v] = true
		return v
	}
	c.Names = grpcfront.Names{Customer: name("customer", usual.Customer), Plan: name("plan", usual.Plan), Units: name("units", usual.Units),
		ID: name("id", usual.ID), Key: name("key", usual.Key), Terms: name("terms", usual.Terms)}
	if c.Names.Customer == "" {
		d.bad(s.path, "customer", "it is empty: calls must say who asks")
	}
	if c.Names.Plan == "" {
		d.bad(s.path, "plan", "it is empty: calls must say by which plan")
	}
	c.Strict = s.yes("strict", false)
	c.CustomerText = s.yes("customer_text", false)
	c.ReadTimeout = s.duration("read_timeout", time.Second, time.Millisecond, time.Hour)
	c.MaxMessage = s.whole("max_message", 4<<20, 1, 1<<30)
	c.Conns = s.whole("client_connections", 400, 1, many)
	c.Streams = s.whole("client_streams", 1000, 1, many)
	b.Conns = s.whole("backend_connections", 2, 1, many)
	b.Streams = s.whole("backend_streams", 100, 1, many)
	b.MaxMessage = s.whole("max_answer", 4<<20, 1, 1<<30)
	b.Connect, b.Idle = f.Door.ConnectTimeout, f.Door.IdleTimeout
	c.Methods = map[string]grpcfront.Method{}
	classes := map[string]bool{}
	for _, k := range f.Door.Settings.Classes {
		classes[k.Name] = true
	}
	for _, e := range s.list("method") {
		n := e.text("name", true)
		m := grpcfront.Method{Class: e.text("class", true), Streaming: e.yes("streaming", false)}
		if err := grpcfront.CheckMethod(n); n != "" && err != nil {
			d.bad(e.path, "name", "%v", err)
		}
		if _, twice := c.Methods[n]; twice {
			d.bad(e.path, "name", "%q is there twice", n)
		}
		if m.Class != "" && !classes[m.Class] {
			d.bad(e.path, "class", "there is no class %q", m.Class)
		}
		if slices.ContainsFunc(f.classes, func(c class) bool { return c.Name == m.Class && c.byMethod }) {
			d.bad(e.path, "class", "class %q has no effect, and over gRPC no method of HTTP's tells it", m.Class)
		}
		e.done()
		c.Methods[n] = m
	}
	if len(c.Methods) == 0 {
		d.bad(s.path, "method", "there is none: [[grpc.method]] with a name and a class")
	}
	s.done()
	return g
}
