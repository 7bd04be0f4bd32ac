// Package identity finds out who sent a request. An installation's rules say which credentials there
// are (API keys, JSON Web Tokens, client certificates, fields that a trusted peer sets, addresses),
// and a Resolver finds the customer and plan of a request by them. The first rule whose credential
// is there decides. An invalid credential is rejected and never falls through to a later rule, so
// that nobody gets an anonymous plan by a key that has been revoked.
//
// The package is pure: it does no I/O, reads no clock, takes no lock and starts no goroutine. A
// Resolver is safe for concurrent use, as nothing changes it: it is made anew when its files change.
package identity

import (
	"crypto/sha256"
	"crypto/x509"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Request is what is known of a request.
type Request struct {
	Header     map[string][]string // by canonical name
	PeerAddr   netip.Addr          // of the connection; invalid: unknown
	ClientAddr netip.Addr          // whom a trusted peer speaks for, else PeerAddr: see Resolver.ClientAddr
	ClientCert *x509.Certificate   // verified; nil: there is none
	Now        time.Time
}

// Caller is who sent a request.
type Caller struct {
	Customer     uint64
	Name         string // the customer's, for people; never a secret
	Plan         string
	Rule         string // the name of the rule that decided
	TrustedPeer  bool   // the peer may speak for others
	DeclaredCost string // what a trusted peer says of the request's cost: see AssertedRule.CostHeader
}

// Errors of Resolve. Their texts go out to clients, and hold nothing of a credential.
var (
	// ErrNoCredential: no rule finds its credential.
	ErrNoCredential = errors.New("no credential")
	// ErrInvalidCredential: a credential is there and invalid.
	ErrInvalidCredential = errors.New("invalid credential")
)

// Rule finds one kind of credential.
type Rule interface {
	// Identify returns who sent a request. found is false if the credential is not there. The error
	// says what is wrong with it, and nothing of what it holds.
	Identify(r *Request) (caller Caller, found bool, err error)
	// HeaderNames returns the fields that the rule reads.
	HeaderNames() []string
	// Plans returns the plans that the rule may give.
	Plans() []string
}

// NamedRule is a Rule with its name in the configuration.
type NamedRule struct {
	Name string
	Rule
}

// Resolver holds the rules of an installation.
type Resolver struct {
	rules   []NamedRule
	trusted []netip.Prefix
}

// New returns a Resolver. rules are in their order of precedence, trusted are peers that may speak
// for others.
func New(trusted []netip.Prefix, rules ...NamedRule) *Resolver {
	return &Resolver{rules: rules, trusted: trusted}
}

// IsTrusted reports whether a peer may speak for others.
func (r *Resolver) IsTrusted(peer netip.Addr) bool { return containsAddr(r.trusted, peer) }

// containsAddr reports whether one of the prefixes contains an address.
func containsAddr(prefixes []netip.Prefix, addr netip.Addr) bool {
	addr = addr.Unmap()
	return slices.ContainsFunc(prefixes, func(p netip.Prefix) bool { return p.Contains(addr) })
}

// ClientAddr returns the address that a request came from: the peer's, or of a trusted peer the last
// one in X-Forwarded-For that is not trusted.
func (r *Resolver) ClientAddr(peer netip.Addr, h map[string][]string) netip.Addr {
	chain := h["X-Forwarded-For"]
	for addr := peer; ; {
		if !r.IsTrusted(addr) {
			return addr
		}
		var last string
		last, chain = cutLast(chain)
		next, err := netip.ParseAddr(last)
		if err != nil {
			return addr // the trusted peer named no valid address: the request counts as its own
		}
		addr = next
	}
}

// cutLast returns the last element of a list field that is not empty, and the values before it.
func cutLast(values []string) (last string, rest []string) {
	for len(values) > 0 {
		end := len(values) - 1
		before, element := "", values[end]
		if i := strings.LastIndexByte(element, ','); i >= 0 {
			before, element = element[:i], element[i+1:]
		}
		if before == "" {
			values = values[:end]
		} else {
			values = append(values[:end:end], before)
		}
		if last = strings.TrimSpace(element); last != "" {
			return last, values
		}
	}
	return "", nil
}

// Resolve returns who sent a request. The error is an ErrNoCredential or ErrInvalidCredential.
func (r *Resolver) Resolve(request *Request) (Caller, error) {
	for _, rule := range r.rules {
		caller, found, err := rule.Identify(request)
		if err != nil {
			return Caller{}, fmt.Errorf("%w: %s: %w", ErrInvalidCredential, rule.Name, err)
		}
		if found {
			caller.Rule, caller.TrustedPeer = rule.Name, r.IsTrusted(request.PeerAddr)
			return caller, nil
		}
	}
	return Caller{}, ErrNoCredential
}

// AssertedHeaders returns the fields by which trusted peers speak for others. Those of other peers
// must not be forwarded.
func (r *Resolver) AssertedHeaders() (names []string) {
	for _, rule := range r.rules {
		if asserted, ok := rule.Rule.(*AssertedRule); ok {
			names = append(names, asserted.HeaderNames()...)
		}
	}
	return names
}

// Plans returns all plans that the rules may give.
func (r *Resolver) Plans() (plans []string) {
	for _, rule := range r.rules {
		plans = append(plans, rule.Plans()...)
	}
	return plans
}

// customerID returns the number of a customer, by a hash that is the same in all gateways. kind keeps
// an address from being the owner of a key.
func customerID(kind, name string) uint64 {
	var room [128]byte // keeps short names off the heap
	sum := sha256.Sum256(append(append(append(room[:0], kind...), 0), name...))
	return binary.BigEndian.Uint64(sum[:8])
}

// singleValue returns the value of a field that may be there only once: of two, backends could take
// the other one.
func singleValue(h map[string][]string, name string) (value string, found bool, err error) {
	switch values := h[name]; len(values) {
	case 0:
		return "", false, nil
	case 1:
		return values[0], true, nil
	}
	return "", true, fmt.Errorf("%s is there twice", name)
}

// cutScheme removes a scheme such as "Bearer" from a field's value. ok is false if the value has
// another scheme, and is another rule's, or is empty.
func cutScheme(value, scheme string) (credential string, ok bool) {
	if scheme == "" {
		return value, value != ""
	}
	first, rest, ok := strings.Cut(value, " ")
	rest = strings.TrimLeft(rest, " ")
	return rest, ok && rest != "" && strings.EqualFold(first, scheme)
}
