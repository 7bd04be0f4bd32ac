package identity

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/rsa"
	"crypto/sha256"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/golang-jwt/jwt/v5"
)

// JWTRule identifies customers by JSON Web Tokens (RFC 7519), as RFC 8725 advises: the algorithms are
// pinned, and each key serves only the algorithms of its type. A token that was valid when its
// request arrived is valid for the whole request.
type JWTRule struct {
	// Header is the canonical name of the field that has the token, such as Authorization, and Scheme
	// what is before it, such as Bearer.
	Header, Scheme string
	// Issuer and Audience are what a token must name. An empty Issuer is not checked.
	Issuer, Audience string
	// CustomerClaim is the claim that names the customer. Default "sub".
	CustomerClaim string
	// PlanClaim is the claim that names the plan. Empty means that all tokens have DefaultPlan.
	PlanClaim string
	// DefaultPlan is the plan of tokens without PlanClaim. If it is empty, too, these are rejected.
	DefaultPlan string
	// AllowedPlans are the plans that PlanClaim may name.
	AllowedPlans []string
	// Leeway is how far the issuer's clock may differ.
	Leeway time.Duration

	algorithms []string
	keys       []TokenKey
	parser     *jwt.Parser
}

// TokenKey is a public key or a shared secret.
type TokenKey struct {
	ID  string // kid; empty: of any token
	Key any    // *rsa.PublicKey, *ecdsa.PublicKey, ed25519.PublicKey, or []byte
}

// maxTokenBytes limits the length of a token.
const maxTokenBytes = 8 << 10

// minSecretBytes is the least length of a shared secret.
const minSecretBytes = sha256.Size

// keyTypeChecks has, by algorithm, what reports whether a key is of its type. There is no "none".
var keyTypeChecks = map[string]func(key any) bool{
	"RS256": isRSA, "RS384": isRSA, "RS512": isRSA,
	"PS256": isRSA, "PS384": isRSA, "PS512": isRSA,
	"HS256": isSecret, "HS384": isSecret, "HS512": isSecret,
	"ES256": isECDSA(256), "ES384": isECDSA(384), "ES512": isECDSA(521),
	"EdDSA": isEd25519,
}

func isRSA(key any) bool {
	_, ok := key.(*rsa.PublicKey)
	return ok
}

func isSecret(key any) bool {
	_, ok := key.([]byte)
	return ok
}

func isEd25519(key any) bool {
	_, ok := key.(ed25519.PublicKey)
	return ok
}

func isECDSA(bits int) func(any) bool {
	return func(key any) bool {
		k, ok := key.(*ecdsa.PublicKey)
		return ok && k.Curve.Params().BitSize == bits
	}
}

// CheckAlgorithm returns an error unless tokens may be signed by an algorithm.
func CheckAlgorithm(name string) error {
	if keyTypeChecks[name] == nil {
		return fmt.Errorf("%q is no algorithm that signs tokens", name)
	}
	return nil
}

// NewJWTRule returns a rule with the configuration of r, the algorithms that tokens may have, and
// keys. Each key must be of the type of an algorithm.
func NewJWTRule(r JWTRule, algorithms []string, keys []TokenKey) (*JWTRule, error) {
	if len(algorithms) == 0 || len(keys) == 0 {
		return nil, errors.New("tokens need algorithms and keys")
	}
	for _, algorithm := range algorithms {
		if err := CheckAlgorithm(algorithm); err != nil {
			return nil, err
		}
	}
	for i, key := range keys {
		if secret, ok := key.Key.([]byte); ok && len(secret) < minSecretBytes {
			return nil, fmt.Errorf("a shared secret of %d bytes: it needs %d", len(secret), minSecretBytes)
		}
		if !slices.ContainsFunc(algorithms, func(a string) bool { return keyTypeChecks[a](key.Key) }) {
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

// ParseTokenKeys reads public keys or certificates in PEM. A block's header "kid" is the key's ID.
func ParseTokenKeys(text []byte) (keys []TokenKey, err error) {
	for number := 1; ; number++ {
		var block *pem.Block
		if block, text = pem.Decode(text); block == nil {
			break
		}
		key, err := parsePublicKey(block)
		if errors.Is(err, errNoPublicKey) {
			return nil, fmt.Errorf("block %d is neither a public key nor a certificate", number)
		}
		if err != nil {
			return nil, fmt.Errorf("block %d can't be read as what it says it is", number)
		}
		keys = append(keys, TokenKey{ID: block.Headers["kid"], Key: key})
	}
	if len(keys) == 0 {
		return nil, errors.New("there is no key in PEM")
	}
	return keys, nil
}

// errNoPublicKey says that a block is of another type, such as a private key.
var errNoPublicKey = errors.New("no public key")

func parsePublicKey(block *pem.Block) (any, error) {
	switch block.Type {
	case "PUBLIC KEY":
		return x509.ParsePKIXPublicKey(block.Bytes)
	case "RSA PUBLIC KEY":
		return x509.ParsePKCS1PublicKey(block.Bytes)
	case "CERTIFICATE":
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, err
		}
		return cert.PublicKey, nil
	}
	return nil, errNoPublicKey
}

// Identify returns the customer that a token names.
func (j *JWTRule) Identify(r *Request) (Caller, bool, error) {
	value, found, err := singleValue(r.Header, j.Header)
	if !found || err != nil {
		return Caller{}, found, err
	}
	token, ok := cutScheme(value, j.Scheme)
	switch {
	case !ok && j.Scheme != "":
		return Caller{}, false, nil
	case !ok:
		return Caller{}, true, errors.New("there is no token")
	case len(token) > maxTokenBytes:
		return Caller{}, true, errors.New("the token is too long")
	}
	claims := jwt.MapClaims{}
	if _, err := j.parser.ParseWithClaims(token, claims, j.verificationKeys); err != nil {
		return Caller{}, true, redactTokenError(err)
	}
	if err := j.validate(claims, r.Now); err != nil {
		return Caller{}, true, redactTokenError(err)
	}
	caller, err := j.caller(claims)
	return caller, true, err
}

// validate returns an error unless a token is valid at now.
func (j *JWTRule) validate(claims jwt.MapClaims, now time.Time) error {
	options := []jwt.ParserOption{
		jwt.WithTimeFunc(func() time.Time { return now }),
		jwt.WithLeeway(j.Leeway),
		jwt.WithExpirationRequired(),
		jwt.WithIssuedAt(),
	}
	if j.Issuer != "" {
		options = append(options, jwt.WithIssuer(j.Issuer))
	}
	if j.Audience != "" {
		options = append(options, jwt.WithAudience(j.Audience))
	}
	return jwt.NewValidator(options...).Validate(claims)
}

// caller returns whom the claims of a valid token name.
func (j *JWTRule) caller(claims jwt.MapClaims) (Caller, error) {
	name, _ := claims[j.CustomerClaim].(string)
	if name == "" {
		return Caller{}, fmt.Errorf("it has no claim %q that is a text", j.CustomerClaim)
	}
	caller := Caller{Customer: customerID("token", j.Issuer+"\x00"+name), Name: name, Plan: j.DefaultPlan}
	if claim, ok := claims[j.PlanClaim]; ok && j.PlanClaim != "" {
		caller.Plan, _ = claim.(string)
		if !slices.Contains(j.AllowedPlans, caller.Plan) {
			return Caller{}, fmt.Errorf("its claim %q names no plan", j.PlanClaim)
		}
	}
	if caller.Plan == "" {
		return Caller{}, fmt.Errorf("it has no claim %q", j.PlanClaim)
	}
	return caller, nil
}

// verificationKeys returns the keys that may have signed a token: of its algorithm's type, and of its
// kid where both have one.
func (j *JWTRule) verificationKeys(t *jwt.Token) (any, error) {
	isOfType, kid := keyTypeChecks[t.Method.Alg()], ""
	if value, ok := t.Header["kid"]; ok {
		if kid, _ = value.(string); kid == "" {
			return nil, errors.New("invalid kid")
		}
	}
	var set jwt.VerificationKeySet
	for _, key := range j.keys {
		if isOfType != nil && isOfType(key.Key) && (key.ID == "" || kid == "" || key.ID == kid) {
			set.Keys = append(set.Keys, key.Key)
		}
	}
	if len(set.Keys) == 0 {
		return nil, errors.New("no key")
	}
	return set, nil
}

// tokenErrors are the errors that clients are told, in their order of precedence.
var tokenErrors = []error{
	jwt.ErrTokenExpired, jwt.ErrTokenNotValidYet, jwt.ErrTokenUsedBeforeIssued, jwt.ErrTokenInvalidIssuer,
	jwt.ErrTokenInvalidAudience, jwt.ErrTokenRequiredClaimMissing, jwt.ErrTokenSignatureInvalid, jwt.ErrTokenUnverifiable,
	jwt.ErrTokenMalformed,
}

// redactTokenError returns what is wrong with a token, without anything of what it holds.
func redactTokenError(err error) error {
	for _, known := range tokenErrors {
		if errors.Is(err, known) {
			return known
		}
	}
	return jwt.ErrTokenMalformed
}

// HeaderNames returns the field that has the token.
func (j *JWTRule) HeaderNames() []string { return []string{j.Header} }

// Plans returns all plans that a token may name.
func (j *JWTRule) Plans() []string {
	if j.DefaultPlan == "" {
		return j.AllowedPlans
	}
	return append([]string{j.DefaultPlan}, j.AllowedPlans...)
}
