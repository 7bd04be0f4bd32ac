package operatorconfig

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"pumicecroft/httpproxy"
	"pumicecroft/internal/settings"
	"pumicecroft/routes"
)

// anyPath matches every path.
const anyPath = "/{rest...}"

// readRoutes reads [[route]], after services and classes. Without routes, all requests go to the only
// service.
func readRoutes(d *settings.Document, root *settings.Section, f *File) {
	list := root.List("route")
	for i, s := range list {
		rule := routes.Rule[*httpproxy.Route]{
			Name:    s.String("name", false),
			Line:    locationOf(s).Line,
			Host:    s.String("host", false),
			Path:    s.String("path", false),
			Methods: s.Strings("methods"),
			Headers: readConditions(s, "headers"),
			Query:   readConditions(s, "query"),
			Target:  &httpproxy.Route{},
		}
		if rule.Name == "" {
			rule.Name = fmt.Sprintf("route %d", i)
		}
		if rule.Path == "" {
			rule.Path = anyPath
		}
		rule.Target.RejectStatus = s.Int("refuse", 0, 400, 599)
		if rule.Target.RejectStatus == 0 {
			readTarget(s, f, rule.Target)
		}
		s.RejectUnknownKeys()
		f.HTTP.Routes = append(f.HTTP.Routes, rule)
	}
	if len(list) == 0 {
		addDefaultRoute(d, f)
	}
	compileRoutes(d, f.HTTP, len(list) > 0)
}

// readConditions reads conditions such as "X-Beta=1", or "X-Beta" for any value.
func readConditions(s *settings.Section, key string) (conditions []routes.Condition) {
	for _, text := range s.Strings(key) {
		name, value, _ := strings.Cut(text, "=")
		conditions = append(conditions, routes.Condition{Name: name, Value: value})
	}
	return conditions
}

// readTarget reads the service, class and limits of a route's requests. The default of the service is
// the only service, and that of the class is the service's class.
func readTarget(s *settings.Section, f *File, target *httpproxy.Route) {
	h := f.HTTP
	target.Service = s.String("service", len(h.Services) > 1)
	if target.Service == "" && len(h.Services) > 0 {
		target.Service = h.Services[0].Name
	}
	known := slices.ContainsFunc(h.Services, func(service Service) bool { return service.Name == target.Service })
	if !known {
		s.Problemf("service", "there is no service %q", target.Service)
	}
	if _, ok := s.Get("effect"); ok {
		idempotency := readEffect(s)
		target.Idempotency = &idempotency
	}
	name := s.String("class", false)
	if name == "" {
		name = target.Service
	}
	if c := f.classesByName[name]; c != nil {
		target.Class = f.addVariants(c, target.Idempotency)
	} else if known {
		s.Problemf("class", "there is no class %q", name)
	}
	target.Cost = s.Float("units", 0, 0, unbounded)
	target.Timeout = s.Duration("timeout", 0, time.Millisecond, time.Hour)
	target.MaxBodyBytes = int64(s.Int("max_body", 1<<20, 0, 1<<40))
	target.Statuses = httpproxy.Statuses{Succeeded: s.Ints("answered"), Rejected: s.Ints("refused"),
		Failed: s.Ints("failed")}
	if err := target.Statuses.Validate(); err != nil {
		s.Problemf("failed", "%v", err)
	}
}

// addDefaultRoute adds a route of all requests to the only service. With several services, it reports a
// problem.
func addDefaultRoute(d *settings.Document, f *File) {
	services := f.HTTP.Services
	if len(services) > 0 {
		target := &httpproxy.Route{Service: services[0].Name}
		if c := f.classesByName[target.Service]; c != nil {
			target.Class = f.addVariants(c, nil)
		}
		f.HTTP.Routes = append(f.HTTP.Routes,
			routes.Rule[*httpproxy.Route]{Name: "all", Line: 1, Path: anyPath, Target: target})
	}
	if len(services) > 1 {
		d.Problemf("", "route",
			"there is none, and there are several services: [[route]] with a service and a host or path")
	}
}

// compileRoutes creates the table of the routes, and reports its problems. listed means that the
// routes are from the file, and not the default.
func compileRoutes(d *settings.Document, h *HTTP, listed bool) {
	var err error
	h.RouteTable, err = routes.New(h.Routes)
	var problems routes.Problems
	if !errors.As(err, &problems) {
		return
	}
	for _, p := range problems {
		key := ""
		i := slices.IndexFunc(h.Routes, func(r routes.Rule[*httpproxy.Route]) bool { return r.Line == p.Line })
		if i >= 0 && listed {
			key = fmt.Sprintf("route[%d]", i)
		}
		if p.OtherLine > 0 {
			p.Message += fmt.Sprintf(" (line %d)", p.OtherLine)
		}
		d.AddProblem(Problem{Line: p.Line, Key: key, Message: p.Message})
	}
}
