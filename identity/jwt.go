package identity

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/rsa"
	"crypto/sha256"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/golang-jwt/jwt/v5"
)

// JWTRule is a Rule for JSON Web Tokens (RFC 7519), by the rules of RFC 8725: the algorithms are pinned, and each key serves only the
// algorithms of its own kind. What a token says counts for the whole of a request that came while it held: it is not looked at again.
type JWTRule struct {
	Header, Scheme         string // such as Authorization and Bearer
	Issuer, Audience       string // must be so; an empty Issuer is not looked at
	CustomerClaim          string // the claim that names the customer; empty: sub
	PlanClaim, DefaultPlan string // the claim that names the plan, and the plan of tokens without it
	AllowedPlans           []string
	Leeway                 time.Duration // between this clock and the issuer's

	algorithms []string
	keys       []TokenKey
	parser     *jwt.Parser
}

// TokenKey is a public key or a shared secret.
type TokenKey struct {
	ID  string // kid; empty: any token's
	Key any    // *rsa.PublicKey, *ecdsa.PublicKey, ed25519.PublicKey, or []byte
}

// maxTokenBytes bounds a token, in bytes.
const maxTokenBytes = 8 << 10

// keyTypeChecks are the algorithms by the kind of key that they take. There is no "none".
var keyTypeChecks = func() map[string]func(any) bool {
	kinds := map[string]func(any) bool{}
	is := func(ok func(any) bool, algorithms ...string) {
		for _, a := range algorithms {
			kinds[a] = ok
		}
	}
	is(func(k any) bool { _, ok := k.(*rsa.PublicKey); return ok }, "RS256", "RS384", "RS512", "PS256", "PS384", "PS512")
	is(func(k any) bool { _, ok := k.([]byte); return ok }, "HS256", "HS384", "HS512")
	is(func(k any) bool { _, ok := k.(ed25519.PublicKey); return ok }, "EdDSA")
	for a, bits := range map[string]int{"ES256": 256, "ES384": 384, "ES512": 521} {
		is(func(k any) bool { e, ok := k.(*ecdsa.PublicKey); return ok && e.Curve.Params().BitSize == bits }, a)
	}
	return kinds
}()

// CheckAlgorithm tells whether an algorithm's name is one that tokens may be signed by.
func CheckAlgorithm(name string) error {
	if keyTypeChecks[name] == nil {
		return fmt.Errorf("%q is no algorithm that signs tokens", name)
	}
	return nil
}

// NewJWTRule makes a rule of its settings, the algorithms that tokens may have, and keys. Each algorithm needs a key of its kind, and each key an
// algorithm.
func NewJWTRule(r JWTRule, algorithms []string, keys []TokenKey) (*JWTRule, error) {
	if len(algorithms) == 0 || len(keys) == 0 {
		return nil, errors.New("tokens need algorithms and keys")
	}
	for _, a := range algorithms {
		if err := CheckAlgorithm(a); err != nil {
			return nil, err
		}
	}
	for i, k := range keys {
		if s, ok := k.Key.([]byte); ok && len(s) < sha256.Size {
			return nil, fmt.Errorf("a shared secret of %d bytes: it needs %d", len(s), sha256.Size)
		}
		fits := false
		for _, a := range algorithms {
			fits = fits || keyTypeChecks[a](k.Key)
		}
		if !fits {
			return nil, fmt.Errorf("key %d is for none of %s", i+1, strings.Join(algorithms, ", "))
		}
	}
	if r.CustomerClaim == "" {
		r.CustomerClaim = "sub"
	}
	r.algorithms, r.keys = algorithms, keys
	r.parser = jwt.NewParser(jwt.WithValidMethods(algorithms), jwt.WithoutClaimsValidation(), jwt.WithStrictDecoding())
	return &r, nil
}

// ParseTokenKeys reads public keys, or certificates, in PEM. A block's header "kid" is its ID.
func ParseTokenKeys(text []byte) (out []TokenKey, err error) {
	for n := 1; ; n++ {
		var block *pem.Block
		if block, text = pem.Decode(text); block == nil {
			break
		}
		var key any
		switch block.Type {
		case "PUBLIC KEY":
			key, err = x509.ParsePKIXPublicKey(block.Bytes)
		case "RSA PUBLIC KEY":
			key, err = x509.ParsePKCS1PublicKey(block.Bytes)
		case "CERTIFICATE":
			var c *x509.Certificate
			if c, err = x509.ParseCertificate(block.Bytes); err == nil {
				key = c.PublicKey
			}
		default: // a private key has no business here, and nothing of it is said
			return nil, fmt.Errorf("block %d is neither a public key nor a certificate", n)
		}
		if err != nil {
			return nil, fmt.Errorf("block %d can't be read as what it says it is", n)
		}
		out = append(out, TokenKey{ID: block.Headers["kid"], Key: key})
	}
	if len(out) == 0 {
		return nil, errors.New("there is no key in PEM")
	}
	return out, nil
}

// Identify reads a token.
func (r *JWTRule) Identify(f *Request) (Caller, bool, error) {
	v, there, err := singleValue(f.Header, r.Header)
	if !there || err != nil {
		return Caller{}, there, err
	}
	text, mine := cutScheme(v, r.Scheme)
	if !mine {
		if r.Scheme != "" {
			return Caller{}, false, nil
		}
		return Caller{}, true, errors.New("there is no token")
	}
	if len(text) > maxTokenBytes {
		return Caller{}, true, errors.New("the token is too long")
	}
	claims := jwt.MapClaims{}
	if _, err := r.parser.ParseWithClaims(text, claims, r.verificationKeys); err != nil {
		return Caller{}, true, redactTokenError(err)
	}
	now := f.Now
	options := []jwt.ParserOption{jwt.WithTimeFunc(func() time.Time { return now }), jwt.WithLeeway(r.Leeway), jwt.WithExpirationRequired(), jwt.WithIssuedAt()}
	if r.Issuer != "" {
		options = append(options, jwt.WithIssuer(r.Issuer))
	}
	if r.Audience != "" {
		options = append(options, jwt.WithAudience(r.Audience))
	}
	if err := jwt.NewValidator(options...).Validate(claims); err != nil {
		return Caller{}, true, redactTokenError(err)
	}
	name, _ := claims[r.CustomerClaim].(string)
	if name == "" {
		return Caller{}, true, fmt.Errorf("it has no claim %q that is a text", r.CustomerClaim)
	}
	w := Caller{Customer: customerID("token", r.Issuer+"\x00"+name), Name: name, Plan: r.DefaultPlan}
	if r.PlanClaim != "" {
		if plan, there := claims[r.PlanClaim]; there {
			if w.Plan, _ = plan.(string); !contains(r.AllowedPlans, w.Plan) {
				return Caller{}, true, fmt.Errorf("its claim %q names no plan", r.PlanClaim)
			}
		}
	}
	if w.Plan == "" {
		return Caller{}, true, fmt.Errorf("it has no claim %q", r.PlanClaim)
	}
	return w, true, nil
}

// verificationKeys gives the keys that may have signed a token: of its algorithm's kind, and by its kid where both have one.
func (r *JWTRule) verificationKeys(t *jwt.Token) (any, error) {
	fits, kid := keyTypeChecks[t.Method.Alg()], ""
	if v, there := t.Header["kid"]; there {
		if kid, _ = v.(string); kid == "" {
			return nil, errors.New("kid")
		}
	}
	var set jwt.VerificationKeySet
	for _, k := range r.keys {
		if fits != nil && fits(k.Key) && (k.ID == "" || kid == "" || k.ID == kid) {
			set.Keys = append(set.Keys, k.Key)
		}
	}
	if len(set.Keys) == 0 {
		return nil, errors.New("no key")
	}
	return set, nil
}

// redactTokenError says what is wrong with a token, and nothing of what is in it.
func redactTokenError(err error) error {
	for _, e := range []error{jwt.ErrTokenExpired, jwt.ErrTokenNotValidYet, jwt.ErrTokenUsedBeforeIssued, jwt.ErrTokenInvalidIssuer,
		jwt.ErrTokenInvalidAudience, jwt.ErrTokenRequiredClaimMissing, jwt.ErrTokenSignatureInvalid, jwt.ErrTokenUnverifiable, jwt.ErrTokenMalformed} {
		if errors.Is(err, e) {
			return e
		}
	}
	return jwt.ErrTokenMalformed
}

// HeaderNames is the token's.
func (r *JWTRule) HeaderNames() []string { return []string{r.Header} }

// Plans are all that it may give.
func (r *JWTRule) Plans() []string {
	if r.DefaultPlan == "" {
		return r.AllowedPlans
	}
	return append([]string{r.DefaultPlan}, r.AllowedPlans...)
}

// CertNameSource is what of a client's certificate names the customer.
type CertNameSource uint8

// The names.
const (
	CommonName  CertNameSource = iota
	DNSName                    // the first
	URIName                    // the first, as SPIFFE has it
	Fingerprint                // SHA-256 of the certificate's key
)

// ClientCertRule is a Rule for clients' certificates, which the listener has verified.
type ClientCertRule struct {
	NameSource     CertNameSource
	DefaultPlan    string            // of those that PlanOf does not have; empty: they are refused
	PlanByCustomer map[string]string // by the customer's name
}

// Identify reads a certificate.
func (r *ClientCertRule) Identify(f *Request) (Caller, bool, error) {
	c := f.ClientCert
	if c == nil {
		return Caller{}, false, nil
	}
	name := ""
	switch r.NameSource {
	case CommonName:
		name = c.Subject.CommonName
	case DNSName:
		if len(c.DNSNames) > 0 {
			name = strings.ToLower(c.DNSNames[0])
		}
	case URIName:
		if len(c.URIs) > 0 {
			name = c.URIs[0].String()
		}
	case Fingerprint:
		sum := sha256.Sum256(c.RawSubjectPublicKeyInfo)
		name = hex.EncodeToString(sum[:])
	}
	if name == "" {
		return Caller{}, true, errors.New("the certificate has no such name")
	}
	w := Caller{Customer: customerID("certificate", name), Name: name, Plan: r.DefaultPlan}
	if plan, ok := r.PlanByCustomer[name]; ok {
		w.Plan = plan
	}
	if w.Plan == "" {
		return Caller{}, true, errors.New("the certificate's name has no plan")
	}
	return w, true, nil
}

// HeaderNames are none.
func (r *ClientCertRule) HeaderNames() []string { return nil }

// Plans are all that it may give.
func (r *ClientCertRule) Plans() (out []string) {
	if r.DefaultPlan != "" {
		out = append(out, r.DefaultPlan)
	}
	for _, p := range r.PlanByCustomer {
		out = append(out, p)
	}
	return out
}
