package identity

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Key is an API key, of which only the hash is stored.
type Key struct {
	// Hash is the SHA-256 of the key. Keys are random and have at least 128 bits. A slow hash protects
	// weaker secrets; here it would only add time to each request.
	Hash     [sha256.Size]byte
	Customer string
	Plan     string
	Line     int // line in the key file, from 1
}

// maxKeys limits the number of keys in a key file.
const maxKeys = 1 << 20

// ParseKeys parses a key file. Each line has the SHA-256 of a key in hex, the customer's name and the
// plan, separated by spaces; "#" starts a comment. A customer may have several keys, all with the same
// plan. Errors name the line and contain no part of a hash.
func ParseKeys(text []byte, plans []string) ([]Key, error) {
	p := keyParser{plans: plans, lineByHash: map[[sha256.Size]byte]int{}, lastKeyByCustomer: map[string]Key{}}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for number := 1; lines.Scan(); number++ {
		line, _, _ := strings.Cut(lines.Text(), "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if !p.parseLine(number, words) {
			return nil, errors.Join(p.problems...)
		}
	}
	if err := lines.Err(); err != nil {
		p.problems = append(p.problems, err)
	}
	if len(p.problems) > 0 {
		return nil, errors.Join(p.problems...)
	}
	return p.keys, nil
}

// keyParser is the state of parsing a key file.
type keyParser struct {
	plans             []string
	keys              []Key
	lineByHash        map[[sha256.Size]byte]int
	lastKeyByCustomer map[string]Key
	problems          []error
}

// problem adds a problem with a line.
func (p *keyParser) problem(line int, format string, args ...any) {
	p.problems = append(p.problems, fmt.Errorf("line %d: %s", line, fmt.Sprintf(format, args...)))
}

// parseLine parses the words of one line. It returns false if there are too many keys to continue.
func (p *keyParser) parseLine(number int, words []string) bool {
	if len(words) != 3 {
		p.problem(number, "a line must have a hash, a customer and a plan, but has %d words", len(words))
		return true
	}
	hash, err := hex.DecodeString(words[0])
	if err != nil || len(hash) != sha256.Size {
		p.problem(number, "the first word is not a SHA-256 hash of 64 hex digits")
		return true
	}
	key := Key{Hash: [sha256.Size]byte(hash), Customer: words[1], Plan: words[2], Line: number}
	if !slices.Contains(p.plans, key.Plan) {
		p.problem(number, "there is no plan %q", key.Plan)
		return true
	}
	if len(p.keys) == maxKeys {
		p.problem(number, "there are more than %d keys", maxKeys)
		return false
	}
	if other, ok := p.lineByHash[key.Hash]; ok {
		p.problem(number, "the key is already in line %d", other)
	}
	if other, ok := p.lastKeyByCustomer[key.Customer]; ok && other.Plan != key.Plan {
		p.problem(number, "customer %q has plan %q in line %d", key.Customer, other.Plan, other.Line)
	}
	p.lineByHash[key.Hash], p.lastKeyByCustomer[key.Customer] = number, key
	p.keys = append(p.keys, key)
	return true
}

// APIKeyRule identifies customers by API keys.
type APIKeyRule struct {
	Header string // canonical name of the header that has the key
	Scheme string // authentication scheme before the key, such as "Bearer"; empty: the value is the key

	byHashPrefix map[uint64][]Key
	plans        []string
}

// NewAPIKeyRule returns a rule that accepts the given keys.
func NewAPIKeyRule(header, scheme string, keys []Key) *APIKeyRule {
	a := &APIKeyRule{Header: header, Scheme: scheme, byHashPrefix: make(map[uint64][]Key, len(keys))}
	for _, key := range keys {
		prefix := binary.BigEndian.Uint64(key.Hash[:8])
		a.byHashPrefix[prefix] = append(a.byHashPrefix[prefix], key)
		if !slices.Contains(a.plans, key.Plan) {
			a.plans = append(a.plans, key.Plan)
		}
	}
	return a
}

var errUnknownKey = errors.New("the key is not known")

// Identify looks up the customer of a key by the key's hash. It compares the whole hash in constant time,
// so that neither its duration nor its error reveals anything about the existing keys.
func (a *APIKeyRule) Identify(r *Request) (Caller, bool, error) {
	value, found, err := singleValue(r.Header, a.Header)
	if !found || err != nil {
		return Caller{}, found, err
	}
	secret, ok := cutScheme(value, a.Scheme)
	if !ok && a.Scheme != "" {
		return Caller{}, false, nil
	}
	if !ok {
		return Caller{}, true, errUnknownKey
	}
	hash := sha256.Sum256([]byte(secret))
	var key *Key
	candidates := a.byHashPrefix[binary.BigEndian.Uint64(hash[:8])]
	for i := range candidates {
		if subtle.ConstantTimeCompare(candidates[i].Hash[:], hash[:]) == 1 {
			key = &candidates[i]
		}
	}
	if key == nil {
		return Caller{}, true, errUnknownKey
	}
	return Caller{Customer: customerID("key", key.Customer), Name: key.Customer, Plan: key.Plan}, true, nil
}

// HeaderNames returns the header that has the key.
func (a *APIKeyRule) HeaderNames() []string { return []string{a.Header} }

// Plans returns the plans of the keys.
func (a *APIKeyRule) Plans() []string { return a.plans }
