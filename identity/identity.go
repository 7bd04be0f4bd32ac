// Package identity settles who asks: an installation's rules say which credentials there are (an API key, a JSON Web Token, a client's
// certificate, fields that a trusted peer sets, the address), and a Resolver makes a customer and a plan of what a request brings. The first
// rule whose credential is there decides. One that is there and is not good is refused: it never falls through to a later rule, so that nobody
// gets an anonymous plan by a key that has been withdrawn.
//
// The package is pure: it does no I/O, reads no clock, takes no lock and starts no goroutine. A Resolver is safe for concurrent use, as nothing
// changes it; it is made anew when its files change.
package identity

import (
	"crypto/sha256"
	"crypto/x509"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"pumicecroft/internal/requestmeta"
)

// Request are what is known of a request.
type Request struct {
	Header     map[string][]string // canonical names
	PeerAddr   netip.Addr          // whose connection it came on
	ClientAddr netip.Addr          // whom a trusted peer speaks for: see Resolver.Client; else the peer
	ClientCert *x509.Certificate   // the client's, verified; nil: none
	Now        time.Time
}

// Caller is who asks.
type Caller struct {
	Customer     uint64
	Name         string // the customer's, for people; of a credential that is a secret it is what the rule's file calls it
	Plan         string
	Rule         string // that decided
	TrustedPeer  bool   // the peer is one that may speak for others
	DeclaredCost string // what a trusted peer says of the request's cost: see Asserted
}

// Errors of Resolve. Test with errors.Is.
var (
	// ErrNoCredential: no rule finds its credential.
	ErrNoCredential = errors.New("nothing says who asks")
	// ErrInvalidCredential: a credential that is not good. What is wrong with it does not hold anything of the credential.
	ErrInvalidCredential = errors.New("a credential that is not good")
)

// Rule finds one sort of credential.
type Rule interface {
	// Identify tells who asks; there is whether the credential was there at all. An error is an ErrBad.
	Identify(f *Request) (w Caller, there bool, err error)
	// HeaderNames are the fields that it reads.
	HeaderNames() []string
	// Plans are the plans that it may give.
	Plans() []string
}

// NamedRule is a Rule with the name that people know it by.
type NamedRule struct {
	Name string
	Rule
}

// Resolver is an installation's rules.
type Resolver struct {
	rules   []NamedRule
	trusted []netip.Prefix
}

// New makes one of rules, in their order. trusted are peers that may speak for others.
func New(trusted []netip.Prefix, rules ...NamedRule) *Resolver {
	return &Resolver{rules: rules, trusted: trusted}
}

// IsTrusted tells whether a peer may speak for others.
func (r *Resolver) IsTrusted(peer netip.Addr) bool { return containsAddr(r.trusted, peer) }

// ClientAddr is the address that a request came from: the peer's, or where the peer is trusted the last one in X-Forwarded-For that is not.
func (r *Resolver) ClientAddr(peer netip.Addr, h map[string][]string) netip.Addr {
	chain := h["X-Forwarded-For"]
	for at := peer; ; {
		if !r.IsTrusted(at) {
			return at
		}
		last := ""
		for len(chain) > 0 && last == "" {
			v := chain[len(chain)-1]
			rest, text := "", v
			if i := strings.LastIndexByte(v, ','); i >= 0 {
				rest, text = v[:i], v[i+1:]
			}
			if last = strings.TrimSpace(text); rest == "" {
				chain = chain[:len(chain)-1]
			} else {
				chain = append(chain[:len(chain)-1:len(chain)-1], rest)
			}
		}
		next, err := netip.ParseAddr(last)
		if err != nil {
			return at // nobody said, or it makes no sense: who is trusted answers for it
		}
		at = next
	}
}

func containsAddr(prefixes []netip.Prefix, a netip.Addr) bool {
	a = a.Unmap()
	for _, p := range prefixes {
		if p.Contains(a) {
			return true
		}
	}
	return false
}

// Resolve tells who asks. The error is an ErrNone or ErrBad.
func (r *Resolver) Resolve(f *Request) (Caller, error) {
	for _, rule := range r.rules {
		w, there, err := rule.Identify(f)
		if !there && err == nil {
			continue
		}
		if err != nil {
			return Caller{}, fmt.Errorf("%w: %s: %w", ErrInvalidCredential, rule.Name, err)
		}
		w.Rule, w.TrustedPeer = rule.Name, r.IsTrusted(f.PeerAddr)
		return w, nil
	}
	return Caller{}, ErrNoCredential
}

// AssertedHeaders are the fields by which peers speak for others: of one that is not trusted they must not go on.
func (r *Resolver) AssertedHeaders() (out []string) {
	for _, rule := range r.rules {
		if a, ok := rule.Rule.(*AssertedRule); ok {
			out = append(out, a.HeaderNames()...)
		}
	}
	return out
}

// customerID makes a customer's number of a name. The kind keeps an address from being a key's owner. All doors make the same of it.
func customerID(kind, name string) uint64 {
	var room [128]byte
	sum := sha256.Sum256(append(append(append(room[:0], kind...), 0), name...))
	return binary.BigEndian.Uint64(sum[:8])
}

// singleValue gives a field's value that may be there once only, as two could be read in two ways, here and behind us.
func singleValue(h map[string][]string, name string) (v string, there bool, err error) {
	switch vs := h[name]; len(vs) {
	case 0:
		return "", false, nil
	case 1:
		return vs[0], true, nil
	}
	return "", true, fmt.Errorf("%s is there twice", name)
}

// cutScheme takes a scheme such as "Bearer" off a field's value; one of another scheme is another rule's business.
func cutScheme(v, scheme string) (string, bool) {
	if scheme == "" {
		return v, v != ""
	}
	head, rest, ok := strings.Cut(v, " ")
	rest = strings.TrimLeft(rest, " ")
	return rest, ok && rest != "" && strings.EqualFold(head, scheme)
}

// AddressRule is a Rule for whoever has an address: the last one.
type AddressRule struct {
	Plan string
	// IPv6PrefixBits are the bits of an IPv6 address that count, as one customer has a whole prefix; 0: 64.
	IPv6PrefixBits int
}

// Identify gives a customer by its address.
func (r *AddressRule) Identify(f *Request) (Caller, bool, error) {
	a := f.ClientAddr.Unmap().WithZone("")
	if !a.IsValid() {
		return Caller{}, false, nil
	}
	bits := a.BitLen()
	if a.Is6() {
		if bits = r.IPv6PrefixBits; bits == 0 {
			bits = 64
		}
	}
	p, err := a.Prefix(bits)
	if err != nil {
		return Caller{}, true, err
	}
	name := p.String()
	return Caller{Customer: customerID("address", name), Name: name, Plan: r.Plan}, true, nil
}

// HeaderNames are none.
func (r *AddressRule) HeaderNames() []string { return nil }

// Plans is the one.
func (r *AddressRule) Plans() []string { return []string{r.Plan} }

// AssertedRule is a Rule for fields that a trusted peer sets. Of any other peer they are not looked at.
type AssertedRule struct {
	CustomerHeader string // the field's name, canonical
	// PlanHeader is the field that names the plan, and Plan the one where it is empty or not there.
	PlanHeader, DefaultPlan string
	AllowedPlans            []string // plans that it may name
	CostHeader              string   // the field that tells what the request costs; empty: none
	HexCustomers            bool     // customers are numbers of 16 hex digits, as the platform has them
	TrustedPeers            []netip.Prefix
}

// Identify takes the peer's word.
func (r *AssertedRule) Identify(f *Request) (Caller, bool, error) {
	if !containsAddr(r.TrustedPeers, f.PeerAddr) {
		return Caller{}, false, nil
	}
	name, there, err := singleValue(f.Header, r.CustomerHeader)
	if !there || err != nil {
		return Caller{}, there, err
	}
	w := Caller{Name: name, Plan: r.DefaultPlan}
	switch {
	case r.HexCustomers:
		if w.Customer, err = requestmeta.Customer(name); err != nil {
			return Caller{}, true, fmt.Errorf("%s is no customer's number", r.CustomerHeader)
		}
	case name == "":
		return Caller{}, true, fmt.Errorf("%s is empty", r.CustomerHeader)
	default:
		w.Customer = customerID("asserted", name)
	}
	if r.PlanHeader != "" {
		plan, there, err := singleValue(f.Header, r.PlanHeader)
		switch {
		case err != nil:
			return Caller{}, true, err
		case there && plan != "":
			if w.Plan = plan; !contains(r.AllowedPlans, plan) {
				return Caller{}, true, fmt.Errorf("%s names no plan", r.PlanHeader)
			}
		case w.Plan == "":
			return Caller{}, true, fmt.Errorf("%s is missing", r.PlanHeader)
		}
	}
	if r.CostHeader != "" {
		if w.DeclaredCost, _, err = singleValue(f.Header, r.CostHeader); err != nil {
			return Caller{}, true, err
		}
	}
	return w, true, nil
}

// HeaderNames are those it reads.
func (r *AssertedRule) HeaderNames() (out []string) {
	for _, f := range []string{r.CustomerHeader, r.PlanHeader, r.CostHeader} {
		if f != "" {
			out = append(out, f)
		}
	}
	return out
}

// Plans are all that it may name.
func (r *AssertedRule) Plans() []string {
	if r.DefaultPlan == "" {
		return r.AllowedPlans
	}
	return append([]string{r.DefaultPlan}, r.AllowedPlans...)
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

// Plans are all that the rules may give.
func (r *Resolver) Plans() (out []string) {
	for _, rule := range r.rules {
		out = append(out, rule.Plans()...)
	}
	return out
}
