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

// Facts are what is known of a request.
type Facts struct {
	Header map[string][]string // canonical names
	Peer   netip.Addr          // whose connection it came on
	Client netip.Addr          // whom a trusted peer speaks for: see Resolver.Client; else the peer
	Cert   *x509.Certificate   // the client's, verified; nil: none
	Now    time.Time
}

// Who is who asks.
type Who struct {
	Customer uint64
	Name     string // the customer's, for people; of a credential that is a secret it is what the rule's file calls it
	Plan     string
	Rule     string // that decided
	Trusted  bool   // the peer is one that may speak for others
	Units    string // what a trusted peer says of the request's cost: see Asserted
}

// Errors of Resolve. Test with errors.Is.
var (
	// ErrNone: no rule finds its credential.
	ErrNone = errors.New("nothing says who asks")
	// ErrBad: a credential that is not good. What is wrong with it does not hold anything of the credential.
	ErrBad = errors.New("a credential that is not good")
)

// Rule finds one sort of credential.
type Rule interface {
	// Find tells who asks; there is whether the credential was there at all. An error is an ErrBad.
	Find(f *Facts) (w Who, there bool, err error)
	// Fields are the fields that it reads.
	Fields() []string
	// Plans are the plans that it may give.
	Plans() []string
}

// Named is a Rule with the name that people know it by.
type Named struct {
	Name string
	Rule
}

// Resolver is an installation's rules.
type Resolver struct {
	rules   []Named
	trusted []netip.Prefix
}

// New makes one of rules, in their order. trusted are peers that may speak for others.
func New(trusted []netip.Prefix, rules ...Named) *Resolver {
	return &Resolver{rules: rules, trusted: trusted}
}

// Trusts tells whether a peer may speak for others.
func (r *Resolver) Trusts(peer netip.Addr) bool { return within(r.trusted, peer) }

// Client is the address that a request came from: the peer's, or where the peer is trusted the last one in X-Forwarded-For that is not.
func (r *Resolver) Client(peer netip.Addr, h map[string][]string) netip.Addr {
	chain := h["X-Forwarded-For"]
	for at := peer; ; {
		if !r.Trusts(at) {
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

func within(prefixes []netip.Prefix, a netip.Addr) bool {
	a = a.Unmap()
	for _, p := range prefixes {
		if p.Contains(a) {
			return true
		}
	}
	return false
}

// Resolve tells who asks. The error is an ErrNone or ErrBad.
func (r *Resolver) Resolve(f *Facts) (Who, error) {
	for _, rule := range r.rules {
		w, there, err := rule.Find(f)
		if !there && err == nil {
			continue
		}
		if err != nil {
			return Who{}, fmt.Errorf("%w: %s: %w", ErrBad, rule.Name, err)
		}
		w.Rule, w.Trusted = rule.Name, r.Trusts(f.Peer)
		return w, nil
	}
	return Who{}, ErrNone
}

// Asserted are the fields by which peers speak for others: of one that is not trusted they must not go on.
func (r *Resolver) Asserted() (out []string) {
	for _, rule := range r.rules {
		if a, ok := rule.Rule.(*Asserted); ok {
			out = append(out, a.Fields()...)
		}
	}
	return out
}

// number makes a customer's number of a name. The kind keeps an address from being a key's owner. All doors make the same of it.
func number(kind, name string) uint64 {
	var room [128]byte
	sum := sha256.Sum256(append(append(append(room[:0], kind...), 0), name...))
	return binary.BigEndian.Uint64(sum[:8])
}

// one gives a field's value that may be there once only, as two could be read in two ways, here and behind us.
func one(h map[string][]string, name string) (v string, there bool, err error) {
	switch vs := h[name]; len(vs) {
	case 0:
		return "", false, nil
	case 1:
		return vs[0], true, nil
	}
	return "", true, fmt.Errorf("%s is there twice", name)
}

// token takes a scheme such as "Bearer" off a field's value; one of another scheme is another rule's business.
func token(v, scheme string) (string, bool) {
	if scheme == "" {
		return v, v != ""
	}
	head, rest, ok := strings.Cut(v, " ")
	rest = strings.TrimLeft(rest, " ")
	return rest, ok && rest != "" && strings.EqualFold(head, scheme)
}

// Address is a Rule for whoever has an address: the last one.
type Address struct {
	Plan string
	// V6 are the bits of an IPv6 address that count, as one customer has a whole prefix; 0: 64.
	V6 int
}

// Find gives a customer by its address.
func (r *Address) Find(f *Facts) (Who, bool, error) {
	a := f.Client.Unmap().WithZone("")
	if !a.IsValid() {
		return Who{}, false, nil
	}
	bits := a.BitLen()
	if a.Is6() {
		if bits = r.V6; bits == 0 {
			bits = 64
		}
	}
	p, err := a.Prefix(bits)
	if err != nil {
		return Who{}, true, err
	}
	name := p.String()
	return Who{Customer: number("address", name), Name: name, Plan: r.Plan}, true, nil
}

// Fields are none.
func (r *Address) Fields() []string { return nil }

// Plans is the one.
func (r *Address) Plans() []string { return []string{r.Plan} }

// Asserted is a Rule for fields that a trusted peer sets. Of any other peer they are not looked at.
type Asserted struct {
	Customer string // the field's name, canonical
	// PlanIn is the field that names the plan, and Plan the one where it is empty or not there.
	PlanIn, Plan string
	Known        []string // plans that it may name
	UnitsIn      string   // the field that tells what the request costs; empty: none
	Hex          bool     // customers are numbers of 16 hex digits, as the platform has them
	Trusted      []netip.Prefix
}

// Find takes the peer's word.
func (r *Asserted) Find(f *Facts) (Who, bool, error) {
	if !within(r.Trusted, f.Peer) {
		return Who{}, false, nil
	}
	name, there, err := one(f.Header, r.Customer)
	if !there || err != nil {
		return Who{}, there, err
	}
	w := Who{Name: name, Plan: r.Plan}
	switch {
	case r.Hex:
		if w.Customer, err = requestmeta.Customer(name); err != nil {
			return Who{}, true, fmt.Errorf("%s is no customer's number", r.Customer)
		}
	case name == "":
		return Who{}, true, fmt.Errorf("%s is empty", r.Customer)
	default:
		w.Customer = number("asserted", name)
	}
	if r.PlanIn != "" {
		plan, there, err := one(f.Header, r.PlanIn)
		switch {
		case err != nil:
			return Who{}, true, err
		case there && plan != "":
			if w.Plan = plan; !contains(r.Known, plan) {
				return Who{}, true, fmt.Errorf("%s names no plan", r.PlanIn)
			}
		case w.Plan == "":
			return Who{}, true, fmt.Errorf("%s is missing", r.PlanIn)
		}
	}
	if r.UnitsIn != "" {
		if w.Units, _, err = one(f.Header, r.UnitsIn); err != nil {
			return Who{}, true, err
		}
	}
	return w, true, nil
}

// Fields are those it reads.
func (r *Asserted) Fields() (out []string) {
	for _, f := range []string{r.Customer, r.PlanIn, r.UnitsIn} {
		if f != "" {
			out = append(out, f)
		}
	}
	return out
}

// Plans are all that it may name.
func (r *Asserted) Plans() []string {
	if r.Plan == "" {
		return r.Known
	}
	return append([]string{r.Plan}, r.Known...)
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
