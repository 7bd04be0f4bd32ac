package certs

import (
	"crypto/tls"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Set are certificates by the names that they are for. It does not change.
type Set struct {
	all    []*tls.Certificate
	byName map[string][]*tls.Certificate // by name, in lower case; "*.example.org" under that
}

// NewSet makes one; the first certificate is for clients that ask for no name, or one that none is for.
func NewSet(all []*tls.Certificate) *Set {
	s := &Set{all: all, byName: map[string][]*tls.Certificate{}}
	for _, c := range all {
		for _, name := range Names(c) {
			s.byName[name] = append(s.byName[name], c)
		}
	}
	return s
}

// Names are those that a certificate is for, in lower case.
func Names(c *tls.Certificate) (out []string) {
	for _, n := range c.Leaf.DNSNames {
		out = append(out, strings.ToLower(n))
	}
	for _, ip := range c.Leaf.IPAddresses {
		out = append(out, ip.String())
	}
	return out
}

// ErrNoCertificate says that there is none that a client could use.
var ErrNoCertificate = errors.New("no certificate that the client supports")

// Select gives the certificate for a client: one for the very name, else one for all names of its domain, else the first; of several, one
// that the client supports.
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

// supportsIgnoringName tells whether a client supports a certificate but for its name: who asks for a name that no certificate is for gets the first
// one that it can read, and says itself what it thinks of it.
func supportsIgnoringName(hello *tls.ClientHelloInfo, c *tls.Certificate) bool {
	h := *hello
	h.ServerName = ""
	return h.SupportsCertificate(c) == nil
}

// Covers tells whether some certificate is for a host, which may be "*.example.org".
func (s *Set) Covers(host string) bool {
	host = strings.ToLower(host)
	_, domain, _ := strings.Cut(host, ".")
	return len(s.byName[host]) > 0 || len(s.byName["*."+domain]) > 0
}

// Unused are names of certificates that none of the hosts needs, sorted.
func (s *Set) Unused(hosts []string) (out []string) {
	if slices.Contains(hosts, "") { // a route for any host
		return nil
	}
	for name := range s.byName {
		used := slices.ContainsFunc(hosts, func(h string) bool {
			h = strings.ToLower(h)
			_, domain, _ := strings.Cut(h, ".")
			_, below, _ := strings.Cut(name, ".")
			return h == name || name == "*."+domain || h == "*."+below
		})
		if !used {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// SoonestExpiry is the certificate that ends first.
func (s *Set) SoonestExpiry() *tls.Certificate {
	return slices.MinFunc(s.all, func(a, b *tls.Certificate) int { return a.Leaf.NotAfter.Compare(b.Leaf.NotAfter) })
}

// Parse makes a certificate of its texts in PEM, if it holds at a time. The error tells nothing of the key.
func Parse(certText, keyText []byte, now time.Time) (*tls.Certificate, error) {
	c, err := tls.X509KeyPair(certText, keyText)
	if err != nil {
		if strings.Contains(err.Error(), "private key does not match public key") {
			return nil, errors.New("the key is not the certificate's")
		}
		return nil, errors.New("it can't be read: no certificate or no key in PEM, or one of a kind that is not known")
	}
	if now.After(c.Leaf.NotAfter) {
		return nil, fmt.Errorf("it ended on %s", c.Leaf.NotAfter.Format(time.DateOnly))
	}
	if now.Before(c.Leaf.NotBefore) {
		return nil, fmt.Errorf("it begins on %s", c.Leaf.NotBefore.Format(time.DateOnly))
	}
	return &c, nil
}
