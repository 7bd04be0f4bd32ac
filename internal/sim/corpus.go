package sim

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Case is a script that broke a rule once.
type Case struct {
	Seed   uint64
	Cause  string // what was wrong, and what was done
	Rule   string // that broke
	Script Script
}

// caseText is a Case as it is written.
type caseText struct {
	Seed  uint64      `toml:"seed"`
	Cause string      `toml:"cause"`
	Rule  string      `toml:"rule"`
	Fault []faultText `toml:"fault,inline"`
}

type faultText struct {
	At     string  `toml:"at"`
	For    string  `toml:"for"`
	Kind   string  `toml:"kind"`
	Target int     `toml:"target"`
	Other  int     `toml:"other"`
	Share  float64 `toml:"share"`
}

// MarshalTOML writes an entry of a corpus.
func (c Case) MarshalTOML() ([]byte, error) {
	t := caseText{Seed: c.Seed, Cause: c.Cause, Rule: c.Rule}
	for _, f := range c.Script {
		t.Fault = append(t.Fault, faultText{f.At.String(), f.Duration.String(), f.Kind.String(), f.Target, f.Variant, f.Share})
	}
	return toml.Marshal(struct {
		Case []caseText `toml:"case"`
	}{[]caseText{t}})
}

// ReadCorpus reads cases. Its errors name the line, or the case.
func ReadCorpus(text []byte) (cases []Case, err error) {
	var all struct {
		Case []caseText `toml:"case"`
	}
	if err := toml.Unmarshal(text, &all); err != nil {
		var at *toml.DecodeError
		if errors.As(err, &at) {
			line, _ := at.Position()
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		return nil, err
	}
	for i, t := range all.Case {
		c := Case{Seed: t.Seed, Cause: t.Cause, Rule: t.Rule}
		for _, f := range t.Fault {
			at, err := time.ParseDuration(f.At)
			length, err2 := time.ParseDuration(f.For)
			kind := slices.Index(faultKindNames[:], f.Kind)
			if err := errors.Join(err, err2); err != nil || kind < 0 {
				return nil, fmt.Errorf("case %d: fault %q: %w", i+1, f.Kind, errors.Join(err, errInvalidFault))
			}
			c.Script = append(c.Script, Fault{At: at, Duration: length, Kind: FaultKind(kind), Target: f.Target, Variant: f.Other, Share: f.Share})
		}
		cases = append(cases, c)
	}
	return cases, nil
}

var errInvalidFault = errors.New("its kind or its times make no sense")
