package sim

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Case is a regression case: a script that broke a rule before a fix, with the seed of its run.
type Case struct {
	Seed   uint64
	Cause  string // what the fault was and how it was fixed
	Rule   string // name of the rule that was broken
	Script Script
}

// errInvalidFault is returned for a fault of unknown kind, or with a time that can't be parsed.
var errInvalidFault = errors.New("unknown kind or invalid duration")

// caseTOML is the stored form of a Case.
type caseTOML struct {
	Seed  uint64      `toml:"seed"`
	Cause string      `toml:"cause"`
	Rule  string      `toml:"rule"`
	Fault []faultTOML `toml:"fault,inline"`
}

// faultTOML is the stored form of a Fault.
type faultTOML struct {
	At     string  `toml:"at"`
	For    string  `toml:"for"`
	Kind   string  `toml:"kind"`
	Target int     `toml:"target"`
	Other  int     `toml:"other"`
	Share  float64 `toml:"share"`
}

// MarshalTOML encodes a case as a corpus with one entry.
func (c Case) MarshalTOML() ([]byte, error) {
	text := caseTOML{Seed: c.Seed, Cause: c.Cause, Rule: c.Rule}
	for _, fault := range c.Script {
		text.Fault = append(text.Fault, faultTOML{
			At: fault.At.String(), For: fault.Duration.String(), Kind: fault.Kind.String(),
			Target: fault.Target, Other: fault.Variant, Share: fault.Share,
		})
	}
	return toml.Marshal(struct {
		Case []caseTOML `toml:"case"`
	}{[]caseTOML{text}})
}

// ReadCorpus parses the cases of a corpus. Its errors contain the number of the line or of the case.
func ReadCorpus(text []byte) (cases []Case, err error) {
	var file struct {
		Case []caseTOML `toml:"case"`
	}
	if err := toml.Unmarshal(text, &file); err != nil {
		if decodeErr, ok := errors.AsType[*toml.DecodeError](err); ok {
			line, _ := decodeErr.Position()
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		return nil, err
	}
	for i, entry := range file.Case {
		read := Case{Seed: entry.Seed, Cause: entry.Cause, Rule: entry.Rule}
		for _, text := range entry.Fault {
			fault, err := text.fault()
			if err != nil {
				return nil, fmt.Errorf("case %d: fault %q: %w", i+1, text.Kind, err)
			}
			read.Script = append(read.Script, fault)
		}
		cases = append(cases, read)
	}
	return cases, nil
}

// fault parses a fault's stored form.
func (t faultTOML) fault() (Fault, error) {
	at, errAt := time.ParseDuration(t.At)
	duration, errFor := time.ParseDuration(t.For)
	kind := slices.Index(faultKindNames[:], t.Kind)
	if err := errors.Join(errAt, errFor); err != nil || kind < 0 {
		return Fault{}, errors.Join(err, errInvalidFault)
	}
	return Fault{
		At: at, Duration: duration, Kind: FaultKind(kind),
		Target: t.Target, Variant: t.Other, Share: t.Share,
	}, nil
}
