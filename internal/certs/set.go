package certs

import (
	"crypto/tls"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Set is an immutable set of certificates, indexed by name.
type Set struct {
	all    []*tls.Certificate
	byName map[string][]*tls.Certificate // names in lower case; wildcards as "*.example.org"
}

// NewSet returns a set of certificates. The first one is the default, for clients that send no server
// name or one that no certificate covers.
func NewSet(all []*tls.Certificate) *Set {
	s := &Set{all: all, byName: map[string][]*tls.Certificate{}}
	for _, c := range all {
		for _, name := range Names(c) {
			s.byName[name] = append(s.byName[name], c)
		}
	}
	return s
}

// Names returns the DNS names and IP addresses of a certificate, in lower case.
func Names(c *tls.Certificate) (out []string) {
	for _, n := range c.Leaf.DNSNames {
		out = append(out, strings.ToLower(n))
	}
	for _, ip := range c.Leaf.IPAddresses {
		out = append(out, ip.String())
	}
	return out
}

// ErrNoCertificate means that the client supports none of the certificates.
var ErrNoCertificate = errors.New("certs: no certificate that the client supports")

// Select returns the first certificate that the client supports, in this order: those for the server name
// that the client sent, those for "*." and the domain of that name, all others.
func (s *Set) Select(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
	name := strings.ToLower(strings.TrimSuffix(hello.ServerName, "."))
	_, domain, _ := strings.Cut(name, ".")
	for _, list := range [][]*tls.Certificate{s.byName[name], s.byName["*."+domain], s.all} {
		for _, c := range list {
			if hello.SupportsCertificate(c) == nil || supportsIgnoringName(hello, c) {
				return c, nil
			}
		}
	}
	return nil, ErrNoCertificate
}

// supportsIgnoringName reports whether a client supports a certificate, regardless of the server name that
// the client sent. A client that asks for a name that no certificate covers gets the first certificate of
// the set that it supports, and decides itself whether to accept it.
func supportsIgnoringName(hello *tls.ClientHelloInfo, c *tls.Certificate) bool {
	h := *hello
	h.ServerName = ""
	return h.SupportsCertificate(c) == nil
}

// Covers reports whether there is a certificate for a host or for a wildcard such as "*.example.org".
func (s *Set) Covers(host string) bool {
	host = strings.ToLower(host)
	_, domain, _ := strings.Cut(host, ".")
	return len(s.byName[host]) > 0 || len(s.byName["*."+domain]) > 0
}

// Unused returns the certificate names that match none of the hosts, sorted. Hosts may be wildcards; ""
// stands for any host.
func (s *Set) Unused(hosts []string) (out []string) {
	if slices.Contains(hosts, "") {
		return nil
	}
	for name := range s.byName {
		used := slices.ContainsFunc(hosts, func(h string) bool {
			h = strings.ToLower(h)
			_, domain, _ := strings.Cut(h, ".")
			_, nameDomain, _ := strings.Cut(name, ".")
			return h == name || name == "*."+domain || h == "*."+nameDomain
		})
		if !used {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// FirstToExpire returns the certificate that expires first.
func (s *Set) FirstToExpire() *tls.Certificate {
	return slices.MinFunc(s.all, func(a, b *tls.Certificate) int {
		return a.Leaf.NotAfter.Compare(b.Leaf.NotAfter)
	})
}

// Parse parses a PEM certificate and its private key. It returns an error if the certificate is not valid
// at now. Errors contain no key material.
func Parse(certText, keyText []byte, now time.Time) (*tls.Certificate, error) {
	c, err := tls.X509KeyPair(certText, keyText)
	if err != nil {
		if strings.Contains(err.Error(), "private key does not match public key") {
			return nil, errors.New("the key is not the certificate's")
		}
		return nil, errors.New("it can't be read: there is no certificate or no key in PEM, or its type is unsupported")
	}
	if now.After(c.Leaf.NotAfter) {
		return nil, fmt.Errorf("it expired on %s", c.Leaf.NotAfter.Format(time.DateOnly))
	}
	if now.Before(c.Leaf.NotBefore) {
		return nil, fmt.Errorf("it is not valid before %s", c.Leaf.NotBefore.Format(time.DateOnly))
	}
	return &c, nil
}
