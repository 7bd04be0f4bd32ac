package operatorconfig

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"pumicecroft/decision"
	"pumicecroft/httpproxy"
	"pumicecroft/internal/settings"
	"pumicecroft/routes"
)

// anyPath matches every path.
const anyPath = "/{rest...}"

// readRoutes reads [[route]], after services and classes. Without routes, all requests go to the only
// service.
func readRoutes(d *settings.Document, root *settings.Section, f *File) {
	classes := classNames(f.classes)
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
			readTarget(s, f.HTTP, classes, rule.Target)
		}
		s.RejectUnknownKeys()
		f.HTTP.Routes = append(f.HTTP.Routes, rule)
	}
	if len(list) == 0 {
		addDefaultRoute(d, f.HTTP, classes)
	}
	compileRoutes(d, f.HTTP, len(list) > 0)
}

// classNames returns the names of the variants of each class, by the name of the class. A class with
// an idempotency of its own is its only variant.
func classNames(classes []class) map[string]httpproxy.Classes {
	names := map[string]httpproxy.Classes{}
	for _, c := range classes {
		switch {
		case c.byMethod:
			_, names[c.Name] = classVariants(c.Class)
		case c.Idempotency == decision.Idempotent:
			names[c.Name] = httpproxy.Classes{Idempotent: c.Name}
		case c.Idempotency == decision.IdempotentByKey:
			names[c.Name] = httpproxy.Classes{IdempotentByKey: c.Name}
		default:
			names[c.Name] = httpproxy.Classes{NonIdempotent: c.Name}
		}
	}
	return names
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
func readTarget(s *settings.Section, h *HTTP, classes map[string]httpproxy.Classes, target *httpproxy.Route) {
	target.Service = s.String("service", len(h.Services) > 1)
	if target.Service == "" && len(h.Services) > 0 {
		target.Service = h.Services[0].Name
	}
	known := slices.ContainsFunc(h.Services, func(service Service) bool { return service.Name == target.Service })
	if !known {
		s.Problemf("service", "there is no service %q", target.Service)
	}
	class := s.String("class", false)
	if class == "" {
		class = target.Service
	}
	var ok bool
	if target.Class, ok = classes[class]; !ok && known {
		s.Problemf("class", "there is no class %q", class)
	}
	if _, ok := s.Get("effect"); ok {
		idempotency := readEffect(s)
		target.Idempotency = &idempotency
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
func addDefaultRoute(d *settings.Document, h *HTTP, classes map[string]httpproxy.Classes) {
	if len(h.Services) > 0 {
		service := h.Services[0].Name
		h.Routes = append(h.Routes, routes.Rule[*httpproxy.Route]{Name: "all", Line: 1, Path: anyPath,
			Target: &httpproxy.Route{Service: service, Class: classes[service]}})
	}
	if len(h.Services) > 1 {
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
