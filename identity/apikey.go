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

// Key is an API key. It is known by its hash alone.
type Key struct {
	// Hash is the SHA-256 of the key. Keys are random, of 128 bits or more: a slow hash, which would
	// protect weaker ones, would only cost time in each request.
	Hash     [sha256.Size]byte
	Customer string
	Plan     string
	Line     int // in the file of keys, from 1
}

// maxKeys limits a file of keys.
const maxKeys = 1 << 20

// ParseKeys reads a file of keys. Each line has the SHA-256 of a key in hex, the customer's name and
// the plan, separated by spaces; "#" begins a comment. A customer may have several keys, of one plan.
// Errors name the line, and nothing of a hash.
func ParseKeys(text []byte, plans []string) ([]Key, error) {
	p := keyParser{plans: plans, lineOf: map[[sha256.Size]byte]int{}, keyOf: map[string]Key{}}
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

// keyParser is a file of keys that is being read.
type keyParser struct {
	plans    []string
	keys     []Key
	lineOf   map[[sha256.Size]byte]int // by hash
	keyOf    map[string]Key            // the last one of a customer
	problems []error
}

func (p *keyParser) problem(line int, format string, args ...any) {
	p.problems = append(p.problems, fmt.Errorf("line %d: %s", line, fmt.Sprintf(format, args...)))
}

// parseLine takes in one line. It returns false if there are too many keys to go on.
func (p *keyParser) parseLine(number int, words []string) bool {
	if len(words) != 3 {
		p.problem(number, "a hash, a customer and a plan stand in a line, and there are %d words", len(words))
		return true
	}
	hash, err := hex.DecodeString(words[0])
	if err != nil || len(hash) != sha256.Size {
		p.problem(number, "the first word is no SHA-256 of 64 hex digits")
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
	if other, ok := p.lineOf[key.Hash]; ok {
		p.problem(number, "the key is there twice (line %d)", other)
	}
	if other, ok := p.keyOf[key.Customer]; ok && other.Plan != key.Plan {
		p.problem(number, "customer %q has plan %q in line %d", key.Customer, other.Plan, other.Line)
	}
	p.lineOf[key.Hash], p.keyOf[key.Customer] = number, key
	p.keys = append(p.keys, key)
	return true
}

// APIKeyRule identifies customers by API keys.
type APIKeyRule struct {
	Header string // the canonical name of the field that has the key
	Scheme string // before the key, such as "Bearer"; empty: the field is the key

	byHashPrefix map[uint64][]Key
	plans        []string
}

// NewAPIKeyRule returns a rule for keys.
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

// Identify looks a key up by its hash. Neither its time nor its error tells anything of the keys that
// there are: the whole hash is compared in constant time.
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

// HeaderNames returns the field that has the key.
func (a *APIKeyRule) HeaderNames() []string { return []string{a.Header} }

// Plans returns the plans of the keys.
func (a *APIKeyRule) Plans() []string { return a.plans }
