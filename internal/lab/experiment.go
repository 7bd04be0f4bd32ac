// Package lab measures the effect of a change. It makes the runs of an experiment on an emulated region
// (internal/emulator), several at once, stores the result of each run, compares the levels of a factor by paired runs
// (internal/paired), and writes reports with plots.
//
// A factor is a parameter that differs between runs, and a level is one of its values. A cell is a combination of one
// level of each factor, not a cell of backends. Each cell has several runs, the repetitions, which differ in their
// seed. A row is the stored result of one run, and a figure one of the numbers in it.
//
// Results are files in a directory that the caller chooses. Only one Run at a time may write there. The result of a run
// depends only on its cell and seed.
package lab

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"pumicecroft/internal/emulator"
	"pumicecroft/internal/eventqueue"
	"pumicecroft/internal/settings"

	"github.com/cespare/xxhash/v2"
)

// Factor is a parameter that differs between runs.
type Factor struct {
	Name   string
	Levels []Level
}

// Level is one setting of a factor: keys of [region] and their values.
type Level struct {
	Name string
	Set  map[string]any
}

// Cell is one combination of levels.
type Cell struct {
	Levels []string // one for each factor
	Config emulator.Config
}

// Experiment is the content of an experiment file.
type Experiment struct {
	Name        string
	Seed        uint64
	Repetitions int
	Figures     []string // names of the figures that a report shows
	Factors     []Factor
	Cells       []Cell // every combination; the last factor varies fastest
	Digest      string // of everything except the repetitions; identifies the experiment

	text   []byte
	traces map[string][]byte // contents of trace files, by their path in the experiment file
}

// maxCells is the largest number of cells of an experiment.
const maxCells = 10_000

// SeedOf returns the seed of a repetition. It is the same in all cells, so that their results can be paired.
func (e *Experiment) SeedOf(repetition int) uint64 {
	return eventqueue.Mix(e.Seed + uint64(repetition))
}

// Parse parses an experiment file. trace returns the content of a trace file. All problems are returned in one error of
// type settings.Problems.
func Parse(text []byte, trace func(path string) ([]byte, error)) (*Experiment, error) {
	d, err := settings.Parse(text)
	if err != nil {
		return nil, err
	}
	root := d.RootSection()
	e := &Experiment{
		Name: root.String("name", true), Seed: uint64(root.Int("seed", 1, 0, math.MaxInt)),
		Repetitions: root.Int("repetitions", 10, 1, 100_000), text: text,
	}
	e.Figures = root.Strings("figures")
	for _, name := range e.Figures {
		if FigureByName(name) == nil {
			d.Problemf("", "figures", "%q is none of %s", name, strings.Join(FigureNames(), ", "))
		}
	}
	if len(e.Figures) == 0 {
		e.Figures = defaultFigures
	}
	cells, ok := e.parseFactors(d, root)
	if !ok {
		return nil, d.Err()
	}
	root.Table("region")
	root.RejectUnknownKeys()
	if err := d.Err(); err != nil {
		return nil, err
	}
	traces := traceCache{read: trace, texts: map[string][]byte{}, arrivals: map[string][]emulator.Arrival{}}
	for n := range cells {
		if err := e.addCell(text, n, traces.load); err != nil {
			return nil, err
		}
	}
	e.traces = traces.texts
	if e.Digest, err = digest(d, e.traces); err != nil {
		return nil, err
	}
	return e, nil
}

// parseFactors reads the factors and returns the number of cells. ok is false if there are too many.
func (e *Experiment) parseFactors(d *settings.Document, root *settings.Section) (cells int, ok bool) {
	seen := map[string]bool{}
	cells = 1
	for _, section := range root.List("factor") {
		factor := parseFactor(d, section, seen)
		e.Factors = append(e.Factors, factor)
		if cells *= max(1, len(factor.Levels)); cells > maxCells {
			d.Problemf(section.Path, "level", "more than %d cells", maxCells)
			return 0, false
		}
	}
	return cells, true
}

// parseFactor reads one factor. seen has the names of the factors before it.
func parseFactor(d *settings.Document, section *settings.Section, seen map[string]bool) Factor {
	factor := Factor{Name: section.String("name", true)}
	if seen[factor.Name] {
		d.Problemf(section.Path, "name", "%q is there twice", factor.Name)
	}
	seen[factor.Name] = true
	levels := map[string]bool{}
	for _, l := range section.List("level") {
		level := Level{Name: l.String("name", true)}
		if levels[level.Name] {
			d.Problemf(l.Path, "name", "%q is there twice", level.Name)
		}
		levels[level.Name] = true
		set := l.Table("set")
		if level.Set = set.Keys; level.Set == nil {
			level.Set = map[string]any{}
		}
		l.RejectUnknownKeys()
		factor.Levels = append(factor.Levels, level)
	}
	if len(factor.Levels) == 0 {
		d.Problemf(section.Path, "level", "there is none: [[factor.level]] with a name and what it sets")
	}
	section.RejectUnknownKeys()
	return factor
}

// traceCache reads each trace of an experiment once.
type traceCache struct {
	read     func(path string) ([]byte, error)
	texts    map[string][]byte
	arrivals map[string][]emulator.Arrival
}

// load returns the arrivals of the trace at a path.
func (c traceCache) load(path string) ([]emulator.Arrival, error) {
	if arrivals, ok := c.arrivals[path]; ok {
		return arrivals, nil
	}
	text, err := c.read(path)
	if err != nil {
		return nil, err
	}
	arrivals, err := ReadTrace(text)
	if err != nil {
		return nil, err
	}
	c.texts[path], c.arrivals[path] = text, arrivals
	return arrivals, nil
}

// digest returns a checksum of everything in an experiment file except the repetitions, and of its traces.
func digest(d *settings.Document, traces map[string][]byte) (string, error) {
	sums := map[string]uint64{}
	for path, text := range traces {
		sums[path] = xxhash.Sum64(text)
	}
	root := maps.Clone(d.Root)
	delete(root, "repetitions")
	root["traces"] = sums
	canonical, err := json.Marshal(root) // keys are sorted
	if err != nil {
		return "", fmt.Errorf("lab: cannot compute the digest of the experiment: %w", err)
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(canonical)), nil
}

// addCell adds the n-th combination of levels. Problems with values that a level sets are reported at the level's line.
func (e *Experiment) addCell(text []byte, n int, trace func(path string) ([]emulator.Arrival, error)) error {
	d, err := settings.Parse(text)
	if err != nil {
		return err
	}
	cell := Cell{Levels: make([]string, len(e.Factors))}
	base, _ := d.Root["region"].(map[string]any)
	if base == nil {
		base = map[string]any{}
		d.Root["region"] = base
	}
	for i := len(e.Factors) - 1; i >= 0; i-- {
		levels := e.Factors[i].Levels
		j := n % len(levels)
		n /= len(levels)
		level := levels[j]
		cell.Levels[i] = level.Name
		at := fmt.Sprintf("factor[%d].level[%d]", i, j)
		for _, key := range slices.Sorted(maps.Keys(level.Set)) {
			if err := setPath(base, strings.Split(key, "."), level.Set[key]); err != nil {
				d.Problemf(at, "set", "%s: %v", key, err)
				continue
			}
			line := d.Line(at + ".set")
			if line == 0 {
				line = d.Line(at)
			}
			d.SetLine("region."+key, line)
		}
	}
	readRegion(d, d.RootSection().Table("region"), &cell.Config, trace)
	if err := d.Err(); err != nil {
		return err
	}
	if err := cell.Config.Validate(); err != nil {
		d.Problemf("region", "", "%v", err)
		return d.Err()
	}
	e.Cells = append(e.Cells, cell)
	return nil
}

// setPath sets a value in nested tables, and creates missing tables.
func setPath(table map[string]any, path []string, value any) error {
	for i, name := range path[:len(path)-1] {
		next, ok := table[name]
		if !ok {
			next = map[string]any{}
			table[name] = next
		}
		nested, ok := next.(map[string]any)
		if !ok {
			return fmt.Errorf("%s is no table", strings.Join(path[:i+1], "."))
		}
		table = nested
	}
	table[path[len(path)-1]] = value
	return nil
}

// ReadFile reads an experiment file. Paths of traces are relative to the file's directory.
func ReadFile(path string) (*Experiment, error) {
	return read(path, readTraceBeside(filepath.Dir(path)))
}

// read reads an experiment file, and its traces by the function trace.
func read(path string, trace func(string) ([]byte, error)) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	e, err := Parse(text, trace)
	if err != nil {
		return nil, fmt.Errorf("%s:\n%w", path, err)
	}
	return e, nil
}
