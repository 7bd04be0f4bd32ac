// Package identity determines the customer and plan of a request from its credentials. The configured
// rules define which credentials are accepted: API keys, JSON Web Tokens, client certificates, headers
// set by a trusted peer, and client addresses. A Resolver applies the rules in order, and the first rule
// whose credential is present decides. An invalid credential is rejected and never falls through to a
// later rule; otherwise a client with a revoked key would get the plan of a later rule, such as that for
// client addresses.
//
// The package is pure: it does no I/O, reads no clock, takes no lock and starts no goroutine. A
// Resolver is immutable and safe for concurrent use; the caller creates a new one when the files that the
// rules were read from change.
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

// Request holds the parts of a request that the rules use.
type Request struct {
	Header     map[string][]string // by canonical name
	PeerAddr   netip.Addr          // remote address of the connection; invalid: unknown
	ClientAddr netip.Addr          // address of the client, as Resolver.ClientAddr returns it
	ClientCert *x509.Certificate   // verified client certificate; nil: there is none
	Now        time.Time
}

// Caller is the identified sender of a request.
type Caller struct {
	Customer     uint64
	Name         string // display name of the customer; never a secret
	Plan         string
	Rule         string // name of the rule that identified the caller
	TrustedPeer  bool   // the peer is trusted: see Resolver.IsTrusted
	DeclaredCost string // the request's cost as declared by a trusted peer: see AssertedRule.CostHeader
}

// Errors of Resolve. Their texts are sent to clients and contain no part of a credential.
var (
	// ErrNoCredential means that no rule found its credential.
	ErrNoCredential = errors.New("no credential")
	// ErrInvalidCredential means that a credential is present but invalid.
	ErrInvalidCredential = errors.New("invalid credential")
)

// Rule identifies callers by one kind of credential.
type Rule interface {
	// Identify returns the caller of a request. found is false if the credential is missing. The error
	// says why the credential is invalid, and contains no part of it.
	Identify(r *Request) (caller Caller, found bool, err error)
	// HeaderNames returns the names of the headers that the rule reads.
	HeaderNames() []string
	// Plans returns the plans that the rule can assign.
	Plans() []string
}

// NamedRule is a Rule with its name in the configuration.
type NamedRule struct {
	Name string
	Rule
}

// Resolver identifies callers by a list of rules.
type Resolver struct {
	rules   []NamedRule
	trusted []netip.Prefix
}

// New returns a Resolver. rules are in order of precedence. trusted are the addresses of peers, such as
// proxies, whose headers about the client are accepted.
func New(trusted []netip.Prefix, rules ...NamedRule) *Resolver {
	return &Resolver{rules: rules, trusted: trusted}
}

// IsTrusted reports whether a peer's headers about the client are accepted.
func (r *Resolver) IsTrusted(peer netip.Addr) bool { return containsAddr(r.trusted, peer) }

// containsAddr reports whether one of the prefixes contains an address.
func containsAddr(prefixes []netip.Prefix, addr netip.Addr) bool {
	addr = addr.Unmap()
	return slices.ContainsFunc(prefixes, func(p netip.Prefix) bool { return p.Contains(addr) })
}

// ClientAddr returns the address of the client that sent a request. That is the peer's address or, if the
// peer is trusted, the last address in X-Forwarded-For that is not trusted. The list is read from its end;
// if its start or an invalid element is reached first, the address that was read last is returned.
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
			return addr // the trusted peer gave no valid address, so it is the client itself
		}
		addr = next
	}
}

// cutLast returns the last non-empty element of a comma-separated list field, and the field's values up
// to that element.
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

// Resolve returns the caller of a request. The error is an ErrNoCredential or ErrInvalidCredential.
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

// AssertedHeaders returns the names of the headers by which trusted peers identify customers. If any
// other peer sends these headers, they must not be forwarded.
func (r *Resolver) AssertedHeaders() (names []string) {
	for _, rule := range r.rules {
		if asserted, ok := rule.Rule.(*AssertedRule); ok {
			names = append(names, asserted.HeaderNames()...)
		}
	}
	return names
}

// Plans returns all plans that the rules can assign.
func (r *Resolver) Plans() (plans []string) {
	for _, rule := range r.rules {
		plans = append(plans, rule.Plans()...)
	}
	return plans
}

// customerID returns the ID of a customer: a hash, so that it is the same on all gateways. kind is the kind
// of credential; it is hashed too, so that equal names of different kinds, such as an address and the owner
// of a key, have different IDs.
func customerID(kind, name string) uint64 {
	var buf [128]byte // avoids a heap allocation for short names
	sum := sha256.Sum256(append(append(append(buf[:0], kind...), 0), name...))
	return binary.BigEndian.Uint64(sum[:8])
}

// singleValue returns the value of a header that must not be repeated: if there were several values, a
// backend could use a different one than the gateway.
func singleValue(h map[string][]string, name string) (value string, found bool, err error) {
	switch values := h[name]; len(values) {
	case 0:
		return "", false, nil
	case 1:
		return values[0], true, nil
	}
	return "", true, fmt.Errorf("%s is there twice", name)
}

// cutScheme removes an authentication scheme such as "Bearer" from a header value. ok is false if the
// value has another scheme, so that it is for another rule, or if the credential is empty.
func cutScheme(value, scheme string) (credential string, ok bool) {
	if scheme == "" {
		return value, value != ""
	}
	first, rest, ok := strings.Cut(value, " ")
	rest = strings.TrimLeft(rest, " ")
	return rest, ok && rest != "" && strings.EqualFold(first, scheme)
}
