package operatorconfig

import (
	"slices"
	"time"

	"pumicecroft/httpproxy"
	"pumicecroft/internal/settings"
	"pumicecroft/membership"
)

// Service is one [[service]].
type Service struct {
	httpproxy.ServiceConfig
	// UseBackendHost sets the Host header of forwarded requests to the backend's address. By default
	// it is the client's.
	UseBackendHost bool
	// TLS configures connections to the service's backends. nil means plain text.
	TLS *ServiceTLS
}

// ServiceTLS is the [service.tls] of a service.
type ServiceTLS struct {
	Location          Location
	CAFile            string
	ServerName        string
	Pins              []string // SHA-256 of public keys, in base64
	CertFile, KeyFile string
	AllowTLS12        bool
	PinsOnly          bool // a pinned key suffices: the certificate chain is not verified
}

// readServices reads [[service]], before classes: each service defines a class of the same name, which
// a [[class]] can replace.
func readServices(root *settings.Section, f *File) {
	list := root.List("service")
	if list == nil {
		return
	}
	f.HTTP = &HTTP{}
	seen := map[string]bool{}
	for _, s := range list {
		service := Service{}
		service.Name = s.String("name", true)
		checkUniqueName(seen, s, service.Name)
		readServiceBackends(s, f, service.Name)
		service.MaxConns = s.Int("backend_connections", 256, 1, maxCount)
		service.ConnectTimeout = s.Duration("connect_timeout", 0, time.Millisecond, time.Minute)
		service.IdleTimeout = s.Duration("idle_timeout", 15*time.Second, time.Millisecond, day)
		if service.ResponseBufferBytes = s.Int("hold", 64<<10, 0, 1<<30); service.ResponseBufferBytes == 0 {
			service.ResponseBufferBytes = -1 // responses are not buffered; 0 would mean the default
		}
		service.HTTP2 = s.OneOf("speaks", "http/1.1", "http/1.1", "h2") == 1
		service.MaxHTTP2Conns = s.Int("h2_connections", 2, 1, maxCount)
		service.UseBackendHost = s.OneOf("host", "keep", "keep", "backend") == 1
		if tls := s.Table("tls"); tls.Keys != nil {
			service.TLS = readServiceTLS(tls)
		}
		c := readClass(s, service.Name)
		s.RejectUnknownKeys()
		f.HTTP.Services = append(f.HTTP.Services, service)
		f.addClass(class{Class: c, byMethod: true})
	}
}

// readServiceBackends reads the backends that a service lists by address.
func readServiceBackends(s *settings.Section, f *File, service string) {
	for _, addr := range s.Strings("backends") {
		name := service + "/" + addr
		checkAddress(s, "backends", addr)
		if slices.ContainsFunc(f.Backends.Nodes, func(n membership.Node) bool { return n.Name == name }) {
			s.Problemf("backends", "%q is used more than once", addr)
		}
		node := membership.Node{Name: name, Addr: addr, Weight: 1, Protocol: httpproxy.Protocol(service)}
		f.Backends.Nodes = append(f.Backends.Nodes, node)
	}
}

func readServiceTLS(s *settings.Section) *ServiceTLS {
	t := &ServiceTLS{
		Location:   locationOf(s),
		CAFile:     s.String("ca_file", false),
		ServerName: s.String("name", false),
		Pins:       s.Strings("pins"),
		CertFile:   s.String("cert_file", false),
		KeyFile:    s.String("key_file", false),
		AllowTLS12: s.OneOf("min", "1.3", "1.3", "1.2") == 1,
		PinsOnly:   s.OneOf("verify", "ca", "ca", "pins") == 1,
	}
	if t.PinsOnly && len(t.Pins) == 0 {
		s.Problemf("verify", "there are no pins to go by")
	}
	if (t.CertFile == "") != (t.KeyFile == "") {
		s.Problemf("key_file", "cert_file and key_file go together")
	}
	s.RejectUnknownKeys()
	return t
}
