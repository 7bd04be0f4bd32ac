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
	"strings"
)

// Key is an API key that is known by its hash alone.
type Key struct {
	Hash     [sha256.Size]byte // SHA-256 of the key. Keys are random, of 128 bits or more: a slow hash would protect weak ones, at a cost per request
	Customer string
	Plan     string
	Line     int
}

// maxKeys bounds a file of keys.
const maxKeys = 1 << 20

// ParseKeys reads a file of keys: a line each, of the SHA-256 in hex, the customer's name and the plan, with spaces between them; "#" begins a
// comment. A customer may have several keys, of one plan. Errors name the line, and nothing of a hash.
func ParseKeys(text []byte, plans []string) (out []Key, err error) {
	seen := map[[sha256.Size]byte]int{}
	planOf := map[string]Key{}
	lines := bufio.NewScanner(bytes.NewReader(text))
	var problems []error
	for n := 1; lines.Scan(); n++ {
		line, _, _ := strings.Cut(lines.Text(), "#")
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		bad := func(format string, args ...any) {
			problems = append(problems, fmt.Errorf("line %d: "+format, append([]any{n}, args...)...))
		}
		k := Key{Line: n}
		sum, err := hex.DecodeString(f[0])
		switch {
		case len(f) != 3:
			bad("a hash, a customer and a plan stand in a line, and there are %d words", len(f))
			continue
		case err != nil || len(sum) != sha256.Size:
			bad("the first word is no SHA-256 of 64 hex digits")
			continue
		case !contains(plans, f[2]):
			bad("there is no plan %q", f[2])
			continue
		case len(out) == maxKeys:
			bad("there are more than %d keys", maxKeys)
			return nil, errors.Join(problems...)
		}
		copy(k.Hash[:], sum)
		k.Customer, k.Plan = f[1], f[2]
		if other, twice := seen[k.Hash]; twice {
			bad("the key is there twice (line %d)", other)
		}
		if o, known := planOf[k.Customer]; known && o.Plan != k.Plan {
			bad("customer %q has plan %q in line %d", k.Customer, o.Plan, o.Line)
		}
		seen[k.Hash], planOf[k.Customer] = n, k
		out = append(out, k)
	}
	if err := lines.Err(); err != nil {
		problems = append(problems, err)
	}
	if len(problems) > 0 {
		return nil, errors.Join(problems...)
	}
	return out, nil
}

// APIKeyRule is a Rule for keys of a file.
type APIKeyRule struct {
	Header       string // canonical
	Scheme       string // such as "Bearer", before the key; empty: the field is the key
	byHashPrefix map[uint64][]Key
	plans        []string
}

// NewAPIKeyRule makes one of keys.
func NewAPIKeyRule(field, scheme string, keys []Key) *APIKeyRule {
	r := &APIKeyRule{Header: field, Scheme: scheme, byHashPrefix: make(map[uint64][]Key, len(keys))}
	for _, k := range keys {
		at := binary.BigEndian.Uint64(k.Hash[:8])
		r.byHashPrefix[at] = append(r.byHashPrefix[at], k)
		if !contains(r.plans, k.Plan) {
			r.plans = append(r.plans, k.Plan)
		}
	}
	return r
}

var errUnknownKey = errors.New("the key is not known")

// Identify looks a key up by its hash, which tells who asks nothing about the keys that there are; the whole of it is compared in constant time.
func (r *APIKeyRule) Identify(f *Request) (Caller, bool, error) {
	v, there, err := singleValue(f.Header, r.Header)
	if !there || err != nil {
		return Caller{}, there, err
	}
	key, mine := cutScheme(v, r.Scheme)
	if !mine {
		if r.Scheme != "" {
			return Caller{}, false, nil
		}
		return Caller{}, true, errUnknownKey
	}
	sum := sha256.Sum256([]byte(key))
	found := -1
	list := r.byHashPrefix[binary.BigEndian.Uint64(sum[:8])]
	for i := range list {
		if subtle.ConstantTimeCompare(list[i].Hash[:], sum[:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return Caller{}, true, errUnknownKey
	}
	k := &list[found]
	return Caller{Customer: customerID("key", k.Customer), Name: k.Customer, Plan: k.Plan}, true, nil
}

// HeaderNames is the key's.
func (r *APIKeyRule) HeaderNames() []string { return []string{r.Header} }

// Plans are those of the keys.
func (r *APIKeyRule) Plans() []string { return r.plans }
