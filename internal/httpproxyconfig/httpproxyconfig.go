// Package httpproxyconfig makes of an operator's file, and the files that it names, what a front for ordinary HTTP goes by: who asks, the listener's
// certificates, and how backends are reached over TLS. It reads files, and nothing else.
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

// Rules reads what says who asks, and gives the rules of the file. The error is an operator.Problems.
func Rules(f *operatorconfig.File, read certs.ReadFile) (httpproxy.Rules, error) {
	w := f.HTTP
	var plans []string
	for _, p := range f.Gateway.Settings.Plans {
		plans = append(plans, p.Name)
	}
	var problems operatorconfig.Problems
	var rules []identity.NamedRule
	for _, id := range w.Identities {
		rule, err := newIdentityRule(w, &id, plans, read)
		if err != nil {
			problems = append(problems, id.Location.Problem("file", err))
			continue
		}
		rules = append(rules, identity.NamedRule{Name: id.Name, Rule: rule})
	}
	if len(problems) > 0 {
		return httpproxy.Rules{}, problems
	}
	return httpproxy.Rules{Routes: w.Table, Resolver: identity.New(w.Trusted, rules...), RemoveHeaders: w.RemoveHeaders}, nil
}

func newIdentityRule(w *operatorconfig.HTTP, id *operatorconfig.Identity, plans []string, read certs.ReadFile) (identity.Rule, error) {
	switch id.Kind {
	case "address":
		return &identity.AddressRule{Plan: id.Plan, IPv6PrefixBits: id.IPv6PrefixBits}, nil
	case "header":
		return &identity.AssertedRule{CustomerHeader: id.Header, PlanHeader: id.PlanSource, DefaultPlan: id.Plan, AllowedPlans: plans, CostHeader: id.CostHeader, HexCustomers: id.HexCustomers, TrustedPeers: w.Trusted}, nil
	case "certificate":
		return &identity.ClientCertRule{NameSource: id.CertName, DefaultPlan: id.Plan, PlanByCustomer: id.PlanByCustomer}, nil
	}
	text, err := read(id.File)
	if err != nil {
		return nil, err
	}
	if id.Kind == "key" {
		keys, err := identity.ParseKeys(text, plans)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", id.File, err)
		}
		return identity.NewAPIKeyRule(id.Header, id.Scheme, keys), nil
	}
	keys := []identity.TokenKey{{Key: bytes.TrimRight(text, "\r\n")}}
	if !id.SharedSecret {
		if keys, err = identity.ParseTokenKeys(text); err != nil {
			return nil, fmt.Errorf("%s: %w", id.File, err)
		}
	}
	return identity.NewJWTRule(identity.JWTRule{Header: id.Header, Scheme: id.Scheme, Issuer: id.Issuer, Audience: id.Audience, CustomerClaim: id.CustomerClaim,
		PlanClaim: id.PlanSource, DefaultPlan: id.Plan, AllowedPlans: plans, Leeway: id.Leeway}, id.Algorithms, keys)
}

// Listener makes the TLS of the listener, and the store that its certificates are in; nil, nil if it is plain. The error is an
// operator.Problems.
func Listener(f *operatorconfig.File, read certs.ReadFile, now func() time.Time, log *slog.Logger) (*tls.Config, *certs.Store, error) {
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
	config := &tls.Config{GetCertificate: store.GetCertificate, MinVersion: tls.VersionTLS13, NextProtos: []string{"h2", "http/1.1"}}
	if t.AllowTLS12 {
		config.MinVersion = tls.VersionTLS12
	}
	if t.ClientCAFile != "" {
		if config.ClientCAs, err = loadCertPool(t.ClientCAFile, read); err != nil {
			return nil, nil, operatorconfig.Problems{t.Location.Problem("client_ca_file", err)}
		}
		config.ClientAuth = tls.RequireAndVerifyClientCert
		if t.ClientAuth == "ask" {
			config.ClientAuth = tls.VerifyClientCertIfGiven
		}
	}
	return config, store, nil
}

// certificateProblems gives what is wrong with pairs their places.
func certificateProblems(t *operatorconfig.TLS, err error) (out operatorconfig.Problems) {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, e := range joined.Unwrap() {
			out = append(out, certificateProblems(t, e)...)
		}
		return out
	}
	if p, ok := errors.AsType[*certs.PairError](err); ok {
		return operatorconfig.Problems{t.Certificates[p.Index].Location.Problem("cert_file", p.Err)}
	}
	return operatorconfig.Problems{t.Location.Problem("certificate", err)}
}

func loadCertPool(file string, read certs.ReadFile) (*x509.CertPool, error) {
	text, err := read(file)
	if err != nil {
		return nil, err
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%s: there is no certificate in PEM", file)
	}
	return p, nil
}

// errPinMismatch says that a backend's key is none of those that are pinned.
var errPinMismatch = errors.New("the backend's key is none of the pinned ones")

// Service makes how a service's backends are reached. The error is an operator.Problems.
func Service(s operatorconfig.Service, read certs.ReadFile, log *slog.Logger) (httpproxy.ServiceConfig, error) {
	out := s.ServiceConfig
	out.Log = log
	if s.UseBackendHost {
		out.RewriteHost = func(addr string) string { return operatorconfig.HostHeader(addr, s.TLS != nil) }
	}
	t := s.TLS
	if t == nil {
		return out, nil
	}
	bad := func(key string, err error) (httpproxy.ServiceConfig, error) {
		return out, operatorconfig.Problems{t.Location.Problem(key, err)}
	}
	config := &tls.Config{ServerName: t.ServerName, MinVersion: tls.VersionTLS13}
	if t.AllowTLS12 {
		config.MinVersion = tls.VersionTLS12
	}
	var err error
	if t.CAFile != "" {
		if config.RootCAs, err = loadCertPool(t.CAFile, read); err != nil {
			return bad("ca_file", err)
		}
	}
	if t.CertFile != "" {
		certText, err := read(t.CertFile)
		if err != nil {
			return bad("cert_file", err)
		}
		keyText, err := read(t.KeyFile)
		if err != nil {
			return bad("key_file", err)
		}
		c, err := certs.Parse(certText, keyText, time.Now())
		if err != nil {
			return bad("cert_file", err)
		}
		config.Certificates = []tls.Certificate{*c}
	}
	var pins [][]byte
	for _, text := range t.Pins {
		pin, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(pin) != sha256.Size {
			return bad("pins", fmt.Errorf("%q is no SHA-256 in base64", text))
		}
		pins = append(pins, pin)
	}
	config.InsecureSkipVerify = t.PinsOnly // the pins decide
	if len(pins) > 0 {
		config.VerifyConnection = func(c tls.ConnectionState) error {
			sum := sha256.Sum256(c.PeerCertificates[0].RawSubjectPublicKeyInfo)
			if !slices.ContainsFunc(pins, func(p []byte) bool { return bytes.Equal(p, sum[:]) }) {
				return errPinMismatch
			}
			return nil
		}
	}
	out.TLS = config
	return out, nil
}

// Warnings are what an operator should know of a file that is good: certificates that end soon, names that no route uses, and hosts of
// routes that no certificate is for.
func Warnings(f *operatorconfig.File, store *certs.Store, now time.Time) (out []string) {
	if store == nil {
		return nil
	}
	set := store.Set()
	if c := set.SoonestExpiry(); c.Leaf.NotAfter.Sub(now) < expiryWarningPeriod {
		out = append(out, fmt.Sprintf("the certificate for %v ends on %s", certs.Names(c), c.Leaf.NotAfter.Format(time.DateOnly)))
	}
	var hosts []string
	for _, r := range f.HTTP.Routes {
		hosts = append(hosts, r.Host)
		if r.Host != "" && !set.Covers(r.Host) {
			out = append(out, fmt.Sprintf("line %d: no certificate is for host %q", r.Line, r.Host))
		}
	}
	for _, name := range set.Unused(hosts) {
		out = append(out, fmt.Sprintf("a certificate is for %q, which no route uses", name))
	}
	return out
}

const expiryWarningPeriod = 14 * 24 * time.Hour
