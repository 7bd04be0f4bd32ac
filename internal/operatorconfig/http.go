package operatorconfig

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"pumicecroft/decision"
	"pumicecroft/httpproxy"
	"pumicecroft/identity"
	"pumicecroft/internal/http1proxy"
	"pumicecroft/internal/settings"
	"pumicecroft/membership"
	"pumicecroft/routes"
)

// HTTP is what a file says of ordinary HTTP. Files that it names are not read here.
type HTTP struct {
	Proxy         httpproxy.Config // without its Rules
	Services      []Service
	Routes        []routes.Rule[*httpproxy.Route]
	Table         *routes.Table[*httpproxy.Route]
	Identities    []Identity
	Trusted       []netip.Prefix
	RemoveHeaders []string
	TLS           *TLS // nil: the listener is plain
}

// Service is one service.
type Service struct {
	httpproxy.ServiceConfig
	UseBackendHost bool // Host is the backend's address
	TLS            *ServiceTLS
}

// ServiceTLS is how a service's backends are reached over TLS.
type ServiceTLS struct {
	Location             Location
	CAFile, ServerName   string
	Pins                 []string // SHA-256 of keys, in base64
	CertFile, KeyFile    string
	AllowTLS12, PinsOnly bool
}

// Location is where a section stands, for what is wrong with files that it names.
type Location struct {
	Line int
	Path string
}

// Problem is one with a key of the section.
func (p Location) Problem(key string, err error) Problem {
	return Problem{Line: p.Line, Key: settings.Join(p.Path, key), Message: err.Error()}
}

func locationOf(s *settings.Section) Location { return Location{max(1, s.Line()), s.Path} }

// Identity is one rule of who asks; what its Kind does not use is empty.
type Identity struct {
	Location       Location
	Kind           string // key, header, certificate, token or address
	Name           string
	Header         string
	Scheme         string
	File           string
	Plan           string
	PlanSource     string
	CostHeader     string
	HexCustomers   bool
	CertName       identity.CertNameSource
	PlanByCustomer map[string]string
	Algorithms     []string
	SharedSecret   bool // File is a shared secret
	Issuer         string
	Audience       string
	CustomerClaim  string
	Leeway         time.Duration
	IPv6PrefixBits int
}

// TLS is what a file says of the listener's TLS.
type TLS struct {
	Location       Location
	Certificates   []Certificate
	AllowTLS12     bool
	ClientCAFile   string
	ClientAuth     string // none, ask or require
	ReloadInterval time.Duration
}

// Certificate is a pair of files.
type Certificate struct {
	Location          Location
	CertFile, KeyFile string
}

// The names of a class's variants, where its requests' methods say what a repeat may do.
const (
	nonIdempotentSuffix   = " (once)"
	idempotentByKeySuffix = " (keyed)"
)

// classVariants makes the variants of a class whose effect is by method.
func classVariants(c decision.Class) ([]decision.Class, httpproxy.Classes) {
	out := httpproxy.Classes{Idempotent: c.Name, NonIdempotent: c.Name + nonIdempotentSuffix}
	c.Idempotency = decision.Idempotent
	once := c
	once.Name, once.Idempotency, once.DedupWindow = out.NonIdempotent, decision.NonIdempotent, 0
	all := []decision.Class{c, once}
	if c.DedupWindow > 0 {
		keyed := c
		out.IdempotentByKey = c.Name + idempotentByKeySuffix
		keyed.Name, keyed.Idempotency = out.IdempotentByKey, decision.IdempotentByKey
		all = append(all, keyed)
	}
	all[0].DedupWindow = 0
	return all, out
}

// readServices reads [[service]], before classes: each brings a class of its own name, unless the file has one.
func readServices(d *settings.Document, top *settings.Section, f *File) {
	list := top.List("service")
	if list == nil {
		return
	}
	w := &HTTP{}
	f.HTTP = w
	seen := map[string]bool{}
	for _, s := range list {
		v := Service{}
		v.Name = s.Text("name", true)
		checkUniqueName(d, seen, s, v.Name)
		for _, addr := range s.Texts("backends") {
			checkAddress(d, s, "backends", addr)
			if slices.ContainsFunc(f.Backends.Nodes, func(n membership.Node) bool { return n.Name == v.Name+"/"+addr }) {
				d.Problemf(s.Path, "backends", "%q is there twice", addr)
			}
			f.Backends.Nodes = append(f.Backends.Nodes, membership.Node{Name: v.Name + "/" + addr, Addr: addr, Weight: 1, Protocol: httpproxy.Protocol(v.Name)})
		}
		v.MaxConns = s.Int("backend_connections", 256, 1, maxCount)
		v.ConnectTimeout = s.Duration("connect_timeout", 0, time.Millisecond, time.Minute)
		v.IdleTimeout = s.Duration("idle_timeout", 15*time.Second, time.Millisecond, day)
		if v.ResponseBufferBytes = s.Int("hold", 64<<10, 0, 1<<30); v.ResponseBufferBytes == 0 {
			v.ResponseBufferBytes = -1
		}
		v.HTTP2 = s.OneOf("speaks", "http/1.1", "http/1.1", "h2") == 1
		v.MaxHTTP2Conns = s.Int("h2_connections", 2, 1, maxCount)
		v.UseBackendHost = s.OneOf("host", "keep", "keep", "backend") == 1
		if t := s.Table("tls"); t.Keys != nil {
			v.TLS = readServiceTLS(d, t)
		}
		c := readClass(d, s, v.Name)
		s.RejectUnknownKeys()
		w.Services = append(w.Services, v)
		f.classes = append(f.classes, class{c, true})
	}
}

func readServiceTLS(d *settings.Document, s *settings.Section) *ServiceTLS {
	t := &ServiceTLS{Location: locationOf(s), CAFile: s.Text("ca_file", false), ServerName: s.Text("name", false), Pins: s.Texts("pins"),
		CertFile: s.Text("cert_file", false), KeyFile: s.Text("key_file", false)}
	t.AllowTLS12 = s.OneOf("min", "1.3", "1.3", "1.2") == 1
	t.PinsOnly = s.OneOf("verify", "ca", "ca", "pins") == 1
	if t.PinsOnly && len(t.Pins) == 0 {
		d.Problemf(s.Path, "verify", "there are no pins to go by")
	}
	if (t.CertFile == "") != (t.KeyFile == "") {
		d.Problemf(s.Path, "key_file", "cert_file and key_file go together")
	}
	s.RejectUnknownKeys()
	return t
}

// class is one of a file; byMethod: its requests' methods say what a repeat may do.
type class struct {
	decision.Class
	byMethod bool
}

// readHTTP reads the rest of ordinary HTTP; classes and plans have been read.
func readHTTP(d *settings.Document, top *settings.Section, f *File) {
	w := f.HTTP
	if w == nil {
		for _, key := range []string{"route", "identity", "http", "tls"} {
			if _, there := top.Get(key); there {
				d.Problemf("", key, "it is of no use without a [[service]]")
			}
		}
		return
	}
	readProxy(d, top.Table("http"), w)
	var plans []string
	for _, p := range f.Gateway.Settings.Plans {
		plans = append(plans, p.Name)
	}
	readRoutes(d, top, f)
	readIdentities(d, top, w, plans)
	if s := top.Table("tls"); s.Keys != nil {
		w.TLS = readTLS(d, s)
	}
	for i, id := range w.Identities {
		if id.Kind == "certificate" && (w.TLS == nil || w.TLS.ClientAuth == "none") {
			d.Problemf(fmt.Sprintf("identity[%d]", i), "kind", "no client brings a certificate: [tls] with client_auth is missing")
		}
	}
}

func readProxy(d *settings.Document, s *settings.Section, w *HTTP) {
	c := &w.Proxy
	for _, text := range s.Texts("trusted") {
		p, err := netip.ParsePrefix(text)
		if a, e := netip.ParseAddr(text); e == nil {
			p, err = netip.PrefixFrom(a, a.BitLen()), nil
		}
		if err != nil {
			d.Problemf(s.Path, "trusted", "%q is no address nor a prefix such as 10.0.0.0/8", text)
			continue
		}
		w.Trusted = append(w.Trusted, p.Masked())
	}
	c.ForwardedStyle = []httpproxy.ForwardedStyle{httpproxy.XForwarded, httpproxy.Forwarded, httpproxy.ForwardedNone}[s.OneOf("forwarded", "x-forwarded", "x-forwarded", "rfc7239", "none")]
	field := func(key, usual string) string {
		v := usual
		if _, there := s.Get(key); there {
			v = s.Text(key, false)
		}
		return headerName(s, key, v)
	}
	if c.Via = s.Text("via", false); c.Via != "" && !http1proxy.IsHeaderName(c.Via) {
		d.Problemf(s.Path, "via", "%q is no pseudonym that Via can hold", c.Via)
	}
	c.TimeoutHeader, c.RemainingTimeoutHeader, c.RequestIDHeader, c.IdempotencyKeyHeader = field("timeout_header", ""), field("left_header", ""), field("id_header", "X-Request-Id"), field("key_header", "Idempotency-Key")
	c.Strict = s.Bool("strict", false)
	c.BodyReadTimeout = s.Duration("body_timeout", 10*time.Second, time.Millisecond, time.Hour)
	c.MaxBodyMemory = int64(s.Int("body_memory", 64<<20, 1, 1<<40))
	c.MaxIdempotentResponseBytes = s.Int("most_keyed_answer", 1<<20, 1, 1<<30)
	s.RejectUnknownKeys()
}

// headerName checks that a text can be a field's name.
func headerName(s *settings.Section, key, v string) string {
	if v != "" && !http1proxy.IsHeaderName(v) {
		s.Problemf(key, "%q can't be a field's name", v)
	}
	return http1proxy.CanonicalHeaderName(v)
}

func readRoutes(d *settings.Document, top *settings.Section, f *File) {
	w := f.HTTP
	classOf := map[string]httpproxy.Classes{}
	for _, c := range f.classes {
		if c.byMethod {
			_, classOf[c.Name] = classVariants(c.Class)
		} else {
			classOf[c.Name] = map[decision.Idempotency]httpproxy.Classes{decision.Idempotent: {Idempotent: c.Name}, decision.IdempotentByKey: {IdempotentByKey: c.Name}, decision.NonIdempotent: {NonIdempotent: c.Name}}[c.Idempotency]
		}
	}
	serves := func(name string) bool {
		return slices.ContainsFunc(w.Services, func(s Service) bool { return s.Name == name })
	}
	list := top.List("route")
	for i, s := range list {
		to := &httpproxy.Route{}
		r := routes.Rule[*httpproxy.Route]{Name: s.Text("name", false), Line: locationOf(s).Line, Host: s.Text("host", false), Path: s.Text("path", false),
			Methods: s.Texts("methods"), Target: to}
		if r.Name == "" {
			r.Name = fmt.Sprintf("route %d", i)
		}
		if r.Path == "" {
			r.Path = "/{rest...}"
		}
		conditions := func(key string) (out []routes.Condition) {
			for _, text := range s.Texts(key) {
				name, value, _ := strings.Cut(text, "=")
				out = append(out, routes.Condition{Name: name, Value: value})
			}
			return out
		}
		r.Headers, r.Query = conditions("headers"), conditions("query")
		if to.RejectStatus = s.Int("refuse", 0, 400, 599); to.RejectStatus == 0 {
			if to.Service = s.Text("service", len(w.Services) > 1); to.Service == "" && len(w.Services) > 0 {
				to.Service = w.Services[0].Name
			}
			if !serves(to.Service) {
				d.Problemf(s.Path, "service", "there is no service %q", to.Service)
			}
			name := s.Text("class", false)
			if name == "" {
				name = to.Service
			}
			var there bool
			if to.Class, there = classOf[name]; !there && serves(to.Service) {
				d.Problemf(s.Path, "class", "there is no class %q", name)
			}
			if _, there := s.Get("effect"); there {
				e := decision.Idempotency(s.OneOf("effect", "safe", "safe", "keyed", "unsafe"))
				to.Idempotency = &e
			}
			to.Cost = s.Float("units", 0, 0, unbounded)
			to.Timeout = s.Duration("timeout", 0, time.Millisecond, time.Hour)
			to.MaxBodyBytes = int64(s.Int("max_body", 1<<20, 0, 1<<40))
			to.Statuses = httpproxy.Statuses{Succeeded: s.Ints("answered"), Rejected: s.Ints("refused"), Failed: s.Ints("failed")}
			if err := to.Statuses.Validate(); err != nil {
				d.Problemf(s.Path, "failed", "%v", err)
			}
		}
		s.RejectUnknownKeys()
		w.Routes = append(w.Routes, r)
	}
	if len(list) == 0 {
		for _, s := range w.Services[:min(1, len(w.Services))] {
			w.Routes = append(w.Routes, routes.Rule[*httpproxy.Route]{Name: "all", Line: 1, Path: "/{rest...}", Target: &httpproxy.Route{Service: s.Name, Class: classOf[s.Name]}})
		}
		if len(w.Services) > 1 {
			d.Problemf("", "route", "there is none, and there are several services: [[route]] with a service and a host or path")
		}
	}
	var err error
	if w.Table, err = routes.New(w.Routes); err != nil {
		problems, ok := errors.AsType[routes.Problems](err)
		if !ok {
			panic(err) // routes.New has no other error
		}
		for _, p := range problems {
			at := ""
			if i := slices.IndexFunc(w.Routes, func(r routes.Rule[*httpproxy.Route]) bool { return r.Line == p.Line }); i >= 0 && len(list) > 0 {
				at = fmt.Sprintf("route[%d]", i)
			}
			if p.OtherLine > 0 {
				p.Message += fmt.Sprintf(" (line %d)", p.OtherLine)
			}
			d.AddProblem(Problem{Line: p.Line, Key: at, Message: p.Message})
		}
	}
}

func readIdentities(d *settings.Document, top *settings.Section, w *HTTP, plans []string) {
	usual := ""
	if len(plans) > 0 {
		usual = plans[0]
	}
	list := top.List("identity")
	for i, s := range list {
		kinds := []string{"key", "header", "certificate", "token", "address"}
		id := Identity{Location: locationOf(s), Kind: kinds[s.OneOf("kind", "", kinds...)]}
		if _, there := s.Get("kind"); !there {
			d.Problemf(s.Path, "kind", "it is missing: one of %s", strings.Join(kinds, ", "))
		}
		if id.Name = s.Text("name", false); id.Name == "" {
			id.Name = fmt.Sprintf("%s %d", id.Kind, i)
		}
		plan := func(must bool) {
			id.Plan = s.Text("plan", must)
			if id.Plan != "" && !slices.Contains(plans, id.Plan) {
				d.Problemf(s.Path, "plan", "there is no plan %q", id.Plan)
			}
		}
		field := func(key, usual string, must bool) string {
			v := s.Text(key, must && usual == "")
			if v == "" {
				v = usual
			}
			return headerName(s, key, v)
		}
		switch id.Kind {
		case "key":
			id.Header, id.Scheme, id.File = field("header", "X-Api-Key", true), s.Text("scheme", false), s.Text("file", true)
			if s.Bool("remove", true) {
				w.RemoveHeaders = append(w.RemoveHeaders, id.Header)
			}
		case "header":
			id.Header, id.PlanSource, id.CostHeader, id.HexCustomers = field("customer", "", true), field("plan_header", "", false), field("units_header", "", false), s.Bool("hex", false)
			plan(id.PlanSource == "")
			if len(w.Trusted) == 0 {
				d.Problemf(s.Path, "kind", "nobody is trusted to set a header: [http] trusted is missing")
			}
		case "certificate":
			id.CertName = identity.CertNameSource(s.OneOf("customer", "cn", "cn", "dns", "uri", "key"))
			id.PlanByCustomer = map[string]string{}
			plan(false)
			for _, text := range s.Texts("plans") {
				name, p, ok := strings.Cut(text, "=")
				if !ok || !slices.Contains(plans, p) {
					d.Problemf(s.Path, "plans", "%q is not NAME=PLAN with a plan that there is", text)
				}
				id.PlanByCustomer[name] = p
			}
			if id.Plan == "" && len(id.PlanByCustomer) == 0 {
				d.Problemf(s.Path, "plan", "it is missing, and so is plans")
			}
		case "token":
			id.Header, id.Scheme = field("header", "Authorization", true), s.Text("scheme", false)
			if id.Scheme == "" && id.Header == "Authorization" {
				id.Scheme = "Bearer"
			}
			id.Algorithms = s.Texts("algorithms")
			if len(id.Algorithms) == 0 {
				d.Problemf(s.Path, "algorithms", "it is missing: the ones that tokens are signed by, such as [\"ES256\"]")
			}
			for _, a := range id.Algorithms {
				if err := identity.CheckAlgorithm(a); err != nil {
					d.Problemf(s.Path, "algorithms", "%v", err)
				}
			}
			keys, secret := s.Text("keys_file", false), s.Text("secret_file", false)
			if (keys == "") == (secret == "") {
				d.Problemf(s.Path, "keys_file", "either keys_file, with public keys in PEM, or secret_file")
			}
			id.File, id.SharedSecret = keys+secret, secret != ""
			id.Issuer, id.Audience, id.CustomerClaim, id.PlanSource = s.Text("issuer", false), s.Text("audience", true), s.Text("customer", false), s.Text("plan_claim", false)
			id.Leeway = s.Duration("leeway", 0, 0, time.Hour)
			plan(id.PlanSource == "")
			if s.Bool("remove", false) {
				w.RemoveHeaders = append(w.RemoveHeaders, id.Header)
			}
		case "address":
			plan(true)
			id.IPv6PrefixBits = s.Int("v6_bits", 64, 16, 128)
			if i != len(list)-1 {
				d.Problemf(s.Path, "kind", "everyone has an address: what follows is never looked at")
			}
		}
		s.RejectUnknownKeys()
		w.Identities = append(w.Identities, id)
	}
	if len(list) == 0 {
		w.Identities = []Identity{{Location: Location{Line: 1}, Kind: "address", Name: "address", Plan: usual, IPv6PrefixBits: 64}}
	}
}

func readTLS(d *settings.Document, s *settings.Section) *TLS {
	t := &TLS{Location: locationOf(s), ClientCAFile: s.Text("client_ca_file", false)}
	t.AllowTLS12 = s.OneOf("min", "1.3", "1.3", "1.2") == 1
	auth := []string{"none", "ask", "require"}
	t.ClientAuth = auth[s.OneOf("client_auth", "none", auth...)]
	t.ReloadInterval = s.Duration("reload_every", 10*time.Second, 10*time.Millisecond, day)
	if (t.ClientCAFile == "") != (t.ClientAuth == "none") {
		d.Problemf(s.Path, "client_auth", "client_ca_file and a client_auth of ask or require go together")
	}
	for _, e := range s.List("certificate") {
		t.Certificates = append(t.Certificates, Certificate{locationOf(e), e.Text("cert_file", true), e.Text("key_file", true)})
		e.RejectUnknownKeys()
	}
	if len(t.Certificates) == 0 {
		d.Problemf(s.Path, "certificate", "there is none: [[tls.certificate]] with cert_file and key_file")
	}
	s.RejectUnknownKeys()
	return t
}

// HostHeader gives the host of a backend's address, with its port unless it is the scheme's own.
func HostHeader(addr string, tls bool) string {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || (!tls || port != "443") && (tls || port != "80") {
		return addr
	}
	if strings.Contains(host, ":") {
		return "[" + host + "]"
	}
	return host
}
