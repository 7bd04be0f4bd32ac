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

// JWTRule identifies customers by JSON Web Tokens (RFC 7519). It follows RFC 8725: only the configured
// algorithms are accepted, and each key is used only with algorithms of its type. A token is checked when
// its request arrives and not again, even if it expires during the request.
type JWTRule struct {
	// Header is the canonical name of the header that has the token, such as Authorization. Scheme is
	// the authentication scheme before the token, such as Bearer.
	Header, Scheme string
	// Issuer and Audience are the values that a token must have. If one is empty, it is not checked.
	Issuer, Audience string
	// CustomerClaim is the claim that names the customer. The default is "sub".
	CustomerClaim string
	// PlanClaim is the claim that names the plan. If it is empty, all tokens have DefaultPlan.
	PlanClaim string
	// DefaultPlan is the plan of tokens without PlanClaim. If DefaultPlan is empty as well, such tokens
	// are rejected.
	DefaultPlan string
	// AllowedPlans are the plans that PlanClaim may name.
	AllowedPlans []string
	// Leeway is the tolerated clock difference between the issuer and the gateway.
	Leeway time.Duration

	algorithms []string
	keys       []TokenKey
	parser     *jwt.Parser
}

// TokenKey is a public key or a shared secret that verifies tokens.
type TokenKey struct {
	ID  string // key ID (kid); empty: used for tokens with any kid
	Key any    // *rsa.PublicKey, *ecdsa.PublicKey, ed25519.PublicKey, or []byte for a shared secret
}

// maxTokenBytes limits the length of a token.
const maxTokenBytes = 8 << 10

// minSecretBytes is the minimum length of a shared secret.
const minSecretBytes = sha256.Size

// keyTypeChecks maps each supported algorithm to a function that reports whether a key has the type that
// the algorithm needs. The algorithm "none" is not supported.
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

// CheckAlgorithm returns an error unless the named signature algorithm is supported.
func CheckAlgorithm(name string) error {
	if keyTypeChecks[name] == nil {
		return fmt.Errorf("%q is no algorithm that signs tokens", name)
	}
	return nil
}

// NewJWTRule returns a copy of r that is ready for use and accepts tokens signed with one of the
// algorithms and one of the keys. Each key must have the type that one of the algorithms needs.
func NewJWTRule(r JWTRule, algorithms []string, keys []TokenKey) (*JWTRule, error) {
	if len(algorithms) == 0 || len(keys) == 0 {
		return nil, errors.New("token verification needs at least one algorithm and one key")
	}
	for _, algorithm := range algorithms {
		if err := CheckAlgorithm(algorithm); err != nil {
			return nil, err
		}
	}
	for i, key := range keys {
		if secret, ok := key.Key.([]byte); ok && len(secret) < minSecretBytes {
			return nil, fmt.Errorf("the shared secret has %d bytes, but needs at least %d", len(secret), minSecretBytes)
		}
		if !slices.ContainsFunc(algorithms, func(a string) bool { return keyTypeChecks[a](key.Key) }) {
			return nil, fmt.Errorf("key %d fits none of the algorithms %s", i+1, strings.Join(algorithms, ", "))
		}
	}
	if r.CustomerClaim == "" {
		r.CustomerClaim = "sub"
	}
	r.algorithms, r.keys = algorithms, keys
	// The parser doesn't validate claims: validate does, at the time of the request.
	r.parser = jwt.NewParser(jwt.WithValidMethods(algorithms), jwt.WithoutClaimsValidation(), jwt.WithStrictDecoding())
	return &r, nil
}

// ParseTokenKeys parses PEM blocks with public keys or certificates. The "kid" header of a block is the ID
// of its key.
func ParseTokenKeys(text []byte) (keys []TokenKey, err error) {
	for number := 1; ; number++ {
		var block *pem.Block
		if block, text = pem.Decode(text); block == nil {
			break
		}
		key, err := parsePublicKey(block)
		if errors.Is(err, errUnsupportedBlock) {
			return nil, fmt.Errorf("block %d is neither a public key nor a certificate", number)
		}
		if err != nil {
			return nil, fmt.Errorf("block %d can't be parsed as the type in its header", number)
		}
		keys = append(keys, TokenKey{ID: block.Headers["kid"], Key: key})
	}
	if len(keys) == 0 {
		return nil, errors.New("there are no keys in PEM format")
	}
	return keys, nil
}

// errUnsupportedBlock means that a PEM block is neither a public key nor a certificate, but for example a
// private key.
var errUnsupportedBlock = errors.New("no public key")

// parsePublicKey returns the public key in a PEM block.
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
	return nil, errUnsupportedBlock
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

// validate returns an error unless the claims of a token are valid at now.
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

// caller returns the customer and plan that the claims of a valid token name.
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

// verificationKeys returns the keys that may have signed a token. A key must have the type that the
// token's algorithm needs and, if both have a key ID, the token's kid.
func (j *JWTRule) verificationKeys(t *jwt.Token) (any, error) {
	isRightType, kid := keyTypeChecks[t.Method.Alg()], ""
	if value, ok := t.Header["kid"]; ok {
		if kid, _ = value.(string); kid == "" {
			return nil, errors.New("invalid kid")
		}
	}
	var set jwt.VerificationKeySet
	for _, key := range j.keys {
		if isRightType != nil && isRightType(key.Key) && (key.ID == "" || kid == "" || key.ID == kid) {
			set.Keys = append(set.Keys, key.Key)
		}
	}
	if len(set.Keys) == 0 {
		return nil, errors.New("no key for the token's algorithm and kid")
	}
	return set, nil
}

// tokenErrors are the errors that are reported to clients, in order of precedence.
var tokenErrors = []error{
	jwt.ErrTokenExpired, jwt.ErrTokenNotValidYet, jwt.ErrTokenUsedBeforeIssued, jwt.ErrTokenInvalidIssuer,
	jwt.ErrTokenInvalidAudience, jwt.ErrTokenRequiredClaimMissing, jwt.ErrTokenSignatureInvalid,
	jwt.ErrTokenUnverifiable, jwt.ErrTokenMalformed,
}

// redactTokenError returns the reason why a token is invalid, without any of the token's contents.
func redactTokenError(err error) error {
	for _, known := range tokenErrors {
		if errors.Is(err, known) {
			return known
		}
	}
	return jwt.ErrTokenMalformed
}

// HeaderNames returns the header that has the token.
func (j *JWTRule) HeaderNames() []string { return []string{j.Header} }

// Plans returns the default plan and all plans that a token may name.
func (j *JWTRule) Plans() []string {
	if j.DefaultPlan == "" {
		return j.AllowedPlans
	}
	return append([]string{j.DefaultPlan}, j.AllowedPlans...)
}
