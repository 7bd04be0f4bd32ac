package operatorconfig

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"time"

	"pumicecroft/httpproxy"
	"pumicecroft/internal/http1proxy"
	"pumicecroft/internal/settings"
	"pumicecroft/routes"
)

// HTTP is the configuration of ordinary HTTP: services, routes, identities and TLS. The files that it
// names are read by package httpproxyconfig.
type HTTP struct {
	Proxy         httpproxy.Config // without Rules, which need the files
	Services      []Service
	Routes        []routes.Rule[*httpproxy.Route]
	RouteTable    *routes.Table[*httpproxy.Route] // of Routes
	Identities    []Identity
	TrustedPeers  []netip.Prefix // peers whose headers about their clients are believed
	RemoveHeaders []string       // header fields that are not forwarded
	TLS           *TLS           // of the listener; nil: plain text
}

// Location is the position of a section in the operator's file. Problems with files that the section
// names are reported there.
type Location struct {
	Line int
	Path string
}

// Problem returns a problem with a key of the section.
func (l Location) Problem(key string, err error) Problem {
	return Problem{Line: l.Line, Key: settings.Join(l.Path, key), Message: err.Error()}
}

func locationOf(s *settings.Section) Location { return Location{max(1, s.Line()), s.Path} }

// The values of TLS.ClientAuth, as the file names them.
const (
	ClientAuthNone     = "none"    // clients are not asked for a certificate
	ClientAuthOptional = "ask"     // clients may have a certificate, which is verified
	ClientAuthRequire  = "require" // clients without a valid certificate are rejected
)

// TLS is the [tls] section, which configures the listener.
type TLS struct {
	Location       Location
	Certificates   []Certificate
	AllowTLS12     bool
	ClientCAFile   string
	ClientAuth     string
	ReloadInterval time.Duration // the interval at which the files of certificates are read again
}

// Certificate names the files of a certificate and its private key.
type Certificate struct {
	Location          Location
	CertFile, KeyFile string
}

// readHTTP reads the configuration of ordinary HTTP, after services, classes and plans.
func readHTTP(d *settings.Document, root *settings.Section, f *File) {
	if f.HTTP == nil {
		for _, key := range []string{"route", "identity", "http", "tls"} {
			if _, ok := root.Get(key); ok {
				d.Problemf("", key, "it is of no use without a [[service]]")
			}
		}
		return
	}
	readProxy(root.Table("http"), f.HTTP)
	var plans []string
	for _, plan := range f.Gateway.Settings.Plans {
		plans = append(plans, plan.Name)
	}
	readRoutes(d, root, f)
	readIdentities(root, f.HTTP, plans)
	if s := root.Table("tls"); s.Keys != nil {
		f.HTTP.TLS = readTLS(s)
	}
	noClientCerts := f.HTTP.TLS == nil || f.HTTP.TLS.ClientAuth == ClientAuthNone
	for i, id := range f.HTTP.Identities {
		if id.Kind == KindCertificate && noClientCerts {
			d.Problemf(fmt.Sprintf("identity[%d]", i), "kind",
				"clients are not asked for a certificate: [tls] with client_auth is missing")
		}
	}
}

// readProxy reads [http].
func readProxy(s *settings.Section, h *HTTP) {
	c := &h.Proxy
	h.TrustedPeers = readTrustedPeers(s)
	styles := []httpproxy.ForwardedStyle{httpproxy.XForwarded, httpproxy.Forwarded, httpproxy.ForwardedNone}
	c.ForwardedStyle = styles[s.OneOf("forwarded", "x-forwarded", "x-forwarded", "rfc7239", "none")]
	if c.Via = s.String("via", false); c.Via != "" && !http1proxy.IsHeaderName(c.Via) {
		s.Problemf("via", "%q is no pseudonym that Via can hold", c.Via)
	}
	c.TimeoutHeader = readHeaderName(s, "timeout_header", "")
	c.RemainingTimeoutHeader = readHeaderName(s, "left_header", "")
	c.RequestIDHeader = readHeaderName(s, "id_header", "X-Request-Id")
	c.IdempotencyKeyHeader = readHeaderName(s, "key_header", "Idempotency-Key")
	c.Strict = s.Bool("strict", false)
	c.BodyReadTimeout = s.Duration("body_timeout", 10*time.Second, time.Millisecond, time.Hour)
	c.MaxBodyMemory = int64(s.Int("body_memory", 64<<20, 1, 1<<40))
	c.MaxIdempotentResponseBytes = s.Int("most_keyed_answer", 1<<20, 1, 1<<30)
	s.RejectUnknownKeys()
}

// readTrustedPeers reads the IP addresses and prefixes of peers whose headers about their clients are
// believed.
func readTrustedPeers(s *settings.Section) (trusted []netip.Prefix) {
	for _, text := range s.Strings("trusted") {
		prefix, err := netip.ParsePrefix(text)
		if addr, addrErr := netip.ParseAddr(text); addrErr == nil {
			prefix, err = netip.PrefixFrom(addr, addr.BitLen()), nil
		}
		if err != nil {
			s.Problemf("trusted", "%q is no address nor a prefix such as 10.0.0.0/8", text)
			continue
		}
		trusted = append(trusted, prefix.Masked())
	}
	return trusted
}

// readHeaderName reads the name of a header field. An empty name disables the field.
func readHeaderName(s *settings.Section, key, defaultName string) string {
	name := defaultName
	if _, ok := s.Get(key); ok {
		name = s.String(key, false)
	}
	return headerName(s, key, name)
}

// readTLS reads [tls].
func readTLS(s *settings.Section) *TLS {
	clientAuths := []string{ClientAuthNone, ClientAuthOptional, ClientAuthRequire}
	t := &TLS{
		Location:       locationOf(s),
		ClientCAFile:   s.String("client_ca_file", false),
		AllowTLS12:     s.OneOf("min", "1.3", "1.3", "1.2") == 1,
		ClientAuth:     clientAuths[s.OneOf("client_auth", ClientAuthNone, clientAuths...)],
		ReloadInterval: s.Duration("reload_every", 10*time.Second, 10*time.Millisecond, day),
	}
	if (t.ClientCAFile == "") != (t.ClientAuth == ClientAuthNone) {
		s.Problemf("client_auth", "client_ca_file and a client_auth of ask or require go together")
	}
	for _, e := range s.List("certificate") {
		t.Certificates = append(t.Certificates, Certificate{locationOf(e), e.String("cert_file", true),
			e.String("key_file", true)})
		e.RejectUnknownKeys()
	}
	if len(t.Certificates) == 0 {
		s.Problemf("certificate", "at least one [[tls.certificate]] with cert_file and key_file is required")
	}
	s.RejectUnknownKeys()
	return t
}

// HostHeader returns the Host header for a backend's address. It has the port, unless that is the
// default port of the scheme.
func HostHeader(addr string, tls bool) string {
	host, port, err := net.SplitHostPort(addr)
	isDefaultPort := tls && port == "443" || !tls && port == "80"
	if err != nil || !isDefaultPort {
		return addr
	}
	if strings.Contains(host, ":") { // an IPv6 address
		return "[" + host + "]"
	}
	return host
}
