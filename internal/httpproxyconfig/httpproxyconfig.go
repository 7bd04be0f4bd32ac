// Package httpproxyconfig creates the configuration of an HTTP proxy from a parsed configuration file
// and the files that it refers to: the proxy's rules, the listener's TLS configuration and the
// connections to backends. It reads files, and does no other I/O.
package httpproxyconfig

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"pumicecroft/httpproxy"
	"pumicecroft/identity"
	"pumicecroft/internal/certs"
	"pumicecroft/internal/operatorconfig"
)

// expiryWarningPeriod is how long before its expiry Warnings reports a certificate.
const expiryWarningPeriod = 14 * 24 * time.Hour

// Rules returns the proxy's rules, and reads the files of API keys and token keys. The error is an
// operatorconfig.Problems.
func Rules(f *operatorconfig.File, read certs.ReadFile) (httpproxy.Rules, error) {
	var plans []string
	for _, plan := range f.Gateway.Settings.Plans {
		plans = append(plans, plan.Name)
	}
	var problems operatorconfig.Problems
	var rules []identity.NamedRule
	for _, id := range f.HTTP.Identities {
		rule, err := newIdentityRule(f.HTTP, &id, plans, read)
		if err != nil {
			problems = append(problems, id.Location.Problem("file", err))
			continue
		}
		rules = append(rules, identity.NamedRule{Name: id.Name, Rule: rule})
	}
	if len(problems) > 0 {
		return httpproxy.Rules{}, problems
	}
	return httpproxy.Rules{
		Routes:        f.HTTP.RouteTable,
		Resolver:      identity.New(f.HTTP.TrustedPeers, rules...),
		RemoveHeaders: f.HTTP.RemoveHeaders,
	}, nil
}

// newIdentityRule returns the rule for an [[identity]] section. plans are the names of all plans.
func newIdentityRule(h *operatorconfig.HTTP, id *operatorconfig.Identity, plans []string,
	read certs.ReadFile) (identity.Rule, error) {
	switch id.Kind {
	case operatorconfig.KindAddress:
		return &identity.AddressRule{Plan: id.Plan, IPv6PrefixBits: id.IPv6PrefixBits}, nil
	case operatorconfig.KindHeader:
		return &identity.AssertedRule{
			CustomerHeader: id.Header,
			PlanHeader:     id.PlanSource,
			DefaultPlan:    id.Plan,
			AllowedPlans:   plans,
			CostHeader:     id.CostHeader,
			HexCustomers:   id.HexCustomers,
			TrustedPeers:   h.TrustedPeers,
		}, nil
	case operatorconfig.KindCertificate:
		return &identity.ClientCertRule{NameSource: id.CertName, DefaultPlan: id.Plan,
			PlanByCustomer: id.PlanByCustomer}, nil
	case operatorconfig.KindKey:
		return newAPIKeyRule(id, plans, read)
	}
	return newJWTRule(id, plans, read)
}

func newAPIKeyRule(id *operatorconfig.Identity, plans []string, read certs.ReadFile) (identity.Rule, error) {
	text, err := read(id.File)
	if err != nil {
		return nil, err
	}
	keys, err := identity.ParseKeys(text, plans)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", id.File, err)
	}
	return identity.NewAPIKeyRule(id.Header, id.Scheme, keys), nil
}

func newJWTRule(id *operatorconfig.Identity, plans []string, read certs.ReadFile) (identity.Rule, error) {
	text, err := read(id.File)
	if err != nil {
		return nil, err
	}
	keys := []identity.TokenKey{{Key: bytes.TrimRight(text, "\r\n")}}
	if !id.SharedSecret {
		if keys, err = identity.ParseTokenKeys(text); err != nil {
			return nil, fmt.Errorf("%s: %w", id.File, err)
		}
	}
	return identity.NewJWTRule(identity.JWTRule{
		Header:        id.Header,
		Scheme:        id.Scheme,
		Issuer:        id.Issuer,
		Audience:      id.Audience,
		CustomerClaim: id.CustomerClaim,
		PlanClaim:     id.PlanSource,
		DefaultPlan:   id.Plan,
		AllowedPlans:  plans,
		Leeway:        id.Leeway,
	}, id.Algorithms, keys)
}

// ListenerTLS returns the TLS configuration of the listener and the store of its certificates. Both are
// nil if the listener has no TLS. The error is an operatorconfig.Problems.
func ListenerTLS(f *operatorconfig.File, read certs.ReadFile, now func() time.Time,
	log *slog.Logger) (*tls.Config, *certs.Store, error) {
	t := f.HTTP.TLS
	if t == nil {
		return nil, nil, nil
	}
	var pairs []certs.Pair
	for _, c := range t.Certificates {
		pairs = append(pairs, certs.Pair{CertFile: c.CertFile, KeyFile: c.KeyFile})
	}
	store, err := certs.New(pairs, read, now, log)
	if err != nil {
		return nil, nil, certificateProblems(t, err)
	}
	config := &tls.Config{
		GetCertificate: store.GetCertificate,
		MinVersion:     minVersion(t.AllowTLS12),
		NextProtos:     []string{"h2", "http/1.1"},
	}
	if t.ClientCAFile != "" {
		if config.ClientCAs, err = loadCertPool(t.ClientCAFile, read); err != nil {
			return nil, nil, operatorconfig.Problems{t.Location.Problem("client_ca_file", err)}
		}
		config.ClientAuth = tls.RequireAndVerifyClientCert
		if t.ClientAuth == operatorconfig.ClientAuthOptional {
			config.ClientAuth = tls.VerifyClientCertIfGiven
		}
	}
	return config, store, nil
}

func minVersion(allowTLS12 bool) uint16 {
	if allowTLS12 {
		return tls.VersionTLS12
	}
	return tls.VersionTLS13
}

// certificateProblems converts an error of certs.New to problems with their lines in the file.
func certificateProblems(t *operatorconfig.TLS, err error) (problems operatorconfig.Problems) {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, e := range joined.Unwrap() {
			problems = append(problems, certificateProblems(t, e)...)
		}
		return problems
	}
	if pairErr, ok := errors.AsType[*certs.PairError](err); ok {
		return operatorconfig.Problems{t.Certificates[pairErr.Index].Location.Problem("cert_file", pairErr.Err)}
	}
	return operatorconfig.Problems{t.Location.Problem("certificate", err)}
}

// loadCertPool reads a PEM file with the certificates of certificate authorities.
func loadCertPool(file string, read certs.ReadFile) (*x509.CertPool, error) {
	text, err := read(file)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%s: no PEM certificate found", file)
	}
	return pool, nil
}

// Service returns the configuration of the connections to a service's backends. The error is an
// operatorconfig.Problems.
func Service(s operatorconfig.Service, read certs.ReadFile, log *slog.Logger) (httpproxy.ServiceConfig, error) {
	c := s.ServiceConfig
	c.Log = log
	if s.UseBackendHost {
		c.RewriteHost = func(addr string) string { return operatorconfig.HostHeader(addr, s.TLS != nil) }
	}
	if s.TLS == nil {
		return c, nil
	}
	config, key, err := backendTLS(s.TLS, read)
	if err != nil {
		return c, operatorconfig.Problems{s.TLS.Location.Problem(key, err)}
	}
	c.TLS = config
	return c, nil
}

// backendTLS returns the TLS configuration of connections to backends. If err is not nil, key is the
// setting at fault.
func backendTLS(t *operatorconfig.ServiceTLS, read certs.ReadFile) (config *tls.Config, key string, err error) {
	config = &tls.Config{ServerName: t.ServerName, MinVersion: minVersion(t.AllowTLS12)}
	if t.CAFile != "" {
		if config.RootCAs, err = loadCertPool(t.CAFile, read); err != nil {
			return nil, "ca_file", err
		}
	}
	if t.CertFile != "" {
		cert, key, err := loadCertificate(t.CertFile, t.KeyFile, read)
		if err != nil {
			return nil, key, err
		}
		config.Certificates = []tls.Certificate{*cert}
	}
	pins, err := parsePins(t.Pins)
	if err != nil {
		return nil, "pins", err
	}
	config.InsecureSkipVerify = t.PinsOnly // VerifyConnection checks the pins; operatorconfig requires some
	if len(pins) > 0 {
		config.VerifyConnection = verifyPins(pins)
	}
	return config, "", nil
}

// loadCertificate reads a certificate and its private key. If err is not nil, key is the setting at fault.
func loadCertificate(certFile, keyFile string, read certs.ReadFile) (cert *tls.Certificate, key string, err error) {
	certText, err := read(certFile)
	if err != nil {
		return nil, "cert_file", err
	}
	keyText, err := read(keyFile)
	if err != nil {
		return nil, "key_file", err
	}
	cert, err = certs.Parse(certText, keyText, time.Now())
	return cert, "cert_file", err
}

// parsePins parses base64-encoded SHA-256 hashes of public keys.
func parsePins(texts []string) (pins [][]byte, err error) {
	for _, text := range texts {
		pin, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(pin) != sha256.Size {
			return nil, fmt.Errorf("%q is not a base64-encoded SHA-256 hash", text)
		}
		pins = append(pins, pin)
	}
	return pins, nil
}

// errPinMismatch means that a backend's public key matches no pin.
var errPinMismatch = errors.New("httpproxyconfig: the backend's public key matches no pin")

// verifyPins returns a tls.Config.VerifyConnection that requires the backend's public key to match a pin.
func verifyPins(pins [][]byte) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		sum := sha256.Sum256(state.PeerCertificates[0].RawSubjectPublicKeyInfo)
		if !slices.ContainsFunc(pins, func(pin []byte) bool { return bytes.Equal(pin, sum[:]) }) {
			return errPinMismatch
		}
		return nil
	}
}

// Warnings returns warnings about a valid file: the certificate that expires first, if it expires soon,
// names in certificates that no route uses, and hosts of routes that no certificate covers.
func Warnings(f *operatorconfig.File, store *certs.Store, now time.Time) (warnings []string) {
	if store == nil {
		return nil
	}
	set := store.Set()
	if c := set.FirstToExpire(); c.Leaf.NotAfter.Sub(now) < expiryWarningPeriod {
		warnings = append(warnings, fmt.Sprintf("the certificate for %v expires on %s", certs.Names(c),
			c.Leaf.NotAfter.Format(time.DateOnly)))
	}
	var hosts []string
	for _, route := range f.HTTP.Routes {
		hosts = append(hosts, route.Host)
		if route.Host != "" && !set.Covers(route.Host) {
			warnings = append(warnings, fmt.Sprintf("line %d: no certificate is for host %q", route.Line, route.Host))
		}
	}
	for _, name := range set.Unused(hosts) {
		warnings = append(warnings, fmt.Sprintf("a certificate is for %q, which no route uses", name))
	}
	return warnings
}
