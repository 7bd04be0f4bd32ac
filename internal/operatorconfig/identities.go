package operatorconfig

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pumicecroft/identity"
	"pumicecroft/internal/http1proxy"
	"pumicecroft/internal/settings"
)

// The kinds of an Identity, as the file names them.
const (
	KindKey         = "key"         // an API key
	KindHeader      = "header"      // header fields set by a trusted peer
	KindCertificate = "certificate" // a client's certificate
	KindToken       = "token"       // a JSON Web Token
	KindAddress     = "address"     // the client's address
)

var identityKinds = []string{KindKey, KindHeader, KindCertificate, KindToken, KindAddress}

// Identity is one [[identity]]: a rule that identifies the customer of a request. Fields that the Kind
// doesn't use are empty.
type Identity struct {
	Location       Location
	Kind           string
	Name           string // shown in output and logs
	Header         string // the header field with the credential
	Scheme         string // the word before the credential, such as "Bearer"
	File           string // the file of keys, or of the shared secret
	Plan           string // the plan of requests whose credential names none
	PlanSource     string // the header field or claim that names the plan
	CostHeader     string
	HexCustomers   bool
	CertName       identity.CertNameSource
	PlanByCustomer map[string]string
	Algorithms     []string
	SharedSecret   bool // File is a shared secret, not public keys
	Issuer         string
	Audience       string
	CustomerClaim  string
	Leeway         time.Duration
	IPv6PrefixBits int
}

// defaultIPv6PrefixBits is the default length of the IPv6 prefix that identifies a customer.
const defaultIPv6PrefixBits = 64

// readIdentities reads [[identity]], after plans. Without identities, customers are identified by
// their address and have the first plan.
func readIdentities(root *settings.Section, h *HTTP, plans []string) {
	list := root.List("identity")
	for i, s := range list {
		r := identityReader{section: s, http: h, plans: plans}
		r.identity.Location = locationOf(s)
		r.identity.Kind = identityKinds[s.OneOf("kind", "", identityKinds...)]
		if _, ok := s.Get("kind"); !ok {
			s.Problemf("kind", "it is missing: one of %s", strings.Join(identityKinds, ", "))
		}
		if r.identity.Name = s.String("name", false); r.identity.Name == "" {
			r.identity.Name = fmt.Sprintf("%s %d", r.identity.Kind, i)
		}
		switch r.identity.Kind {
		case KindKey:
			r.readKey()
		case KindHeader:
			r.readHeader()
		case KindCertificate:
			r.readCertificate()
		case KindToken:
			r.readToken()
		case KindAddress:
			r.readAddress(i == len(list)-1)
		}
		s.RejectUnknownKeys()
		h.Identities = append(h.Identities, r.identity)
	}
	if len(list) == 0 {
		h.Identities = []Identity{defaultIdentity(plans)}
	}
}

func defaultIdentity(plans []string) Identity {
	plan := ""
	if len(plans) > 0 {
		plan = plans[0]
	}
	return Identity{Location: Location{Line: 1}, Kind: KindAddress, Name: KindAddress, Plan: plan,
		IPv6PrefixBits: defaultIPv6PrefixBits}
}

// identityReader parses one [[identity]].
type identityReader struct {
	section  *settings.Section
	http     *HTTP
	plans    []string
	identity Identity
}

// readPlan reads the default plan, for requests whose credential names none.
func (r *identityReader) readPlan(required bool) {
	r.identity.Plan = r.section.String("plan", required)
	if r.identity.Plan != "" && !slices.Contains(r.plans, r.identity.Plan) {
		r.section.Problemf("plan", "there is no plan %q", r.identity.Plan)
	}
}

// readHeaderName reads the name of a header field.
func (r *identityReader) readHeaderName(key, defaultName string, required bool) string {
	name := r.section.String(key, required && defaultName == "")
	if name == "" {
		name = defaultName
	}
	return headerName(r.section, key, name)
}

// readRemoveHeader reads whether the header field with the credential is removed from requests before
// they are forwarded.
func (r *identityReader) readRemoveHeader(defaultRemove bool) {
	if r.section.Bool("remove", defaultRemove) {
		r.http.RemoveHeaders = append(r.http.RemoveHeaders, r.identity.Header)
	}
}

func (r *identityReader) readKey() {
	r.identity.Header = r.readHeaderName("header", "X-Api-Key", true)
	r.identity.Scheme = r.section.String("scheme", false)
	r.identity.File = r.section.String("file", true)
	r.readRemoveHeader(true)
}

func (r *identityReader) readHeader() {
	r.identity.Header = r.readHeaderName("customer", "", true)
	r.identity.PlanSource = r.readHeaderName("plan_header", "", false)
	r.identity.CostHeader = r.readHeaderName("units_header", "", false)
	r.identity.HexCustomers = r.section.Bool("hex", false)
	r.readPlan(r.identity.PlanSource == "")
	if len(r.http.TrustedPeers) == 0 {
		r.section.Problemf("kind", "nobody is trusted to set a header: [http] trusted is missing")
	}
}

func (r *identityReader) readCertificate() {
	r.identity.CertName = identity.CertNameSource(r.section.OneOf("customer", "cn", "cn", "dns", "uri", "key"))
	r.identity.PlanByCustomer = map[string]string{}
	r.readPlan(false)
	for _, text := range r.section.Strings("plans") {
		name, plan, ok := strings.Cut(text, "=")
		if !ok || !slices.Contains(r.plans, plan) {
			r.section.Problemf("plans", "%q is not NAME=PLAN with a configured plan", text)
		}
		r.identity.PlanByCustomer[name] = plan
	}
	if r.identity.Plan == "" && len(r.identity.PlanByCustomer) == 0 {
		r.section.Problemf("plan", "it is missing, and so is plans")
	}
}

func (r *identityReader) readToken() {
	s := r.section
	r.identity.Header = r.readHeaderName("header", "Authorization", true)
	r.identity.Scheme = s.String("scheme", false)
	if r.identity.Scheme == "" && r.identity.Header == "Authorization" {
		r.identity.Scheme = "Bearer"
	}
	r.identity.Algorithms = s.Strings("algorithms")
	if len(r.identity.Algorithms) == 0 {
		s.Problemf("algorithms", "it is missing: the algorithms with which tokens are signed, such as [\"ES256\"]")
	}
	for _, algorithm := range r.identity.Algorithms {
		if err := identity.CheckAlgorithm(algorithm); err != nil {
			s.Problemf("algorithms", "%v", err)
		}
	}
	keysFile, secretFile := s.String("keys_file", false), s.String("secret_file", false)
	if (keysFile == "") == (secretFile == "") {
		s.Problemf("keys_file", "either keys_file, with public keys in PEM, or secret_file")
	}
	r.identity.File, r.identity.SharedSecret = keysFile+secretFile, secretFile != ""
	r.identity.Issuer = s.String("issuer", false)
	r.identity.Audience = s.String("audience", true)
	r.identity.CustomerClaim = s.String("customer", false)
	r.identity.PlanSource = s.String("plan_claim", false)
	r.identity.Leeway = s.Duration("leeway", 0, 0, time.Hour)
	r.readPlan(r.identity.PlanSource == "")
	r.readRemoveHeader(false)
}

func (r *identityReader) readAddress(last bool) {
	r.readPlan(true)
	r.identity.IPv6PrefixBits = r.section.Int("v6_bits", defaultIPv6PrefixBits, 16, 128)
	if !last {
		r.section.Problemf("kind", "everyone has an address: what follows is never looked at")
	}
}

// headerName returns the canonical form of the name of a header field, and reports a problem with key
// if the name is invalid. An empty name is valid.
func headerName(s *settings.Section, key, name string) string {
	if name != "" && !http1proxy.IsHeaderName(name) {
		s.Problemf(key, "%q can't be a field's name", name)
	}
	return http1proxy.CanonicalHeaderName(name)
}
