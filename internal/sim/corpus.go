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
	text := caseText{Seed: c.Seed, Cause: c.Cause, Rule: c.Rule}
	for _, fault := range c.Script {
		text.Fault = append(text.Fault, faultText{fault.At.String(), fault.Duration.String(), fault.Kind.String(), fault.Target, fault.Variant, fault.Share})
	}
	return toml.Marshal(struct {
		Case []caseText `toml:"case"`
	}{[]caseText{text}})
}

// ReadCorpus reads cases. Its errors name the line, or the case.
func ReadCorpus(text []byte) (cases []Case, err error) {
	var file struct {
		Case []caseText `toml:"case"`
	}
	if err := toml.Unmarshal(text, &file); err != nil {
		var at *toml.DecodeError
		if errors.As(err, &at) {
			line, _ := at.Position()
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		return nil, err
	}
	for i, entry := range file.Case {
		corpusCase := Case{Seed: entry.Seed, Cause: entry.Cause, Rule: entry.Rule}
		for _, fault := range entry.Fault {
			at, err := time.ParseDuration(fault.At)
			length, err2 := time.ParseDuration(fault.For)
			kind := slices.Index(faultKindNames[:], fault.Kind)
			if err := errors.Join(err, err2); err != nil || kind < 0 {
				return nil, fmt.Errorf("case %d: fault %q: %w", i+1, fault.Kind, errors.Join(err, errInvalidFault))
			}
			corpusCase.Script = append(corpusCase.Script, Fault{At: at, Duration: length, Kind: FaultKind(kind), Target: fault.Target, Variant: fault.Other, Share: fault.Share})
		}
		cases = append(cases, corpusCase)
	}
	return cases, nil
}

var errInvalidFault = errors.New("its kind or its times make no sense")
