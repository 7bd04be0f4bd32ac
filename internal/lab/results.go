package lab

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"pumicecroft/internal/atomicfile"
	"pumicecroft/internal/emulator"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"
)

// Row is what came of one run.
type Row struct {
	Experiment string             `json:"experiment"` // its digest
	Build      string             `json:"build"`      // the program that ran it
	Cell       []string           `json:"cell"`       // the level of each factor
	Repetition int                `json:"repetition"`
	Seed       uint64             `json:"seed"`
	Failed     string             `json:"failed,omitempty"` // why there is nothing else
	Figures    map[string]float64 `json:"figures,omitempty"`
	Counts     emulator.Counts    `json:"counts"`
	Latency    []byte             `json:"latency,omitempty"` // an HDR histogram's compressed form, microseconds
	Beyond     int                `json:"beyond"`            // latencies above its range, which are in no quantile
	Seconds    []emulator.Second  `json:"seconds,omitempty"`
	Events     uint64             `json:"events"`
}

// fill puts in what the run came to.
func (r *Row) setResult(of *emulator.Result) (err error) {
	r.Figures, r.Counts, r.Beyond, r.Seconds, r.Events = map[string]float64{}, of.Counts, of.OutOfRange, of.Seconds, of.Events
	for _, f := range Figures {
		r.Figures[f.Name] = f.value(of)
	}
	r.Latency, err = of.Latency.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return err
}

// Histogram gives the latencies.
func (r *Row) Histogram() (*hdrhistogram.Histogram, error) { return hdrhistogram.Decode(r.Latency) }

// What a directory of results may say.
var (
	ErrBusy            = errors.New("another run writes there")
	ErrOtherExperiment = errors.New("results of another experiment")
	ErrOtherBuild      = errors.New("results of another build")
	ErrDamaged         = errors.New("a result is damaged")
)

// Dir is a directory of results, of one experiment by one build, which one run at a time writes. Each result is a file of its own
// that has its checksum and takes its name only when it is whole and on disk: one that is torn is never read as a good one.
type Dir struct {
	path string
	lock *atomicfile.Lock
}

const (
	experimentFile = "experiment.toml"
	lockFile       = "lock"
	suffix         = ".json"
)

// Open opens a directory for a run of an experiment, and makes it if need be. What is there already must be of the same experiment,
// whose repetitions may differ, and of the same build.
func Open(path string, e *Experiment) (*Dir, error) {
	if err := os.MkdirAll(filepath.Join(path, "runs"), 0o755); err != nil {
		return nil, err
	}
	lock, err := atomicfile.TryLock(filepath.Join(path, lockFile))
	if errors.Is(err, atomicfile.ErrLocked) {
		err = fmt.Errorf("%s: %w", path, ErrBusy)
	}
	if err != nil {
		return nil, err
	}
	d := &Dir{path: path, lock: lock}
	if err := d.bindExperiment(e); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// belongTo keeps an experiment with the results, unless they are of another one.
func (d *Dir) bindExperiment(e *Experiment) error {
	was, err := readExperiment(d.path)
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		return err
	case was.Digest != e.Digest:
		return fmt.Errorf("%s: %w: %q", d.path, ErrOtherExperiment, was.Name)
	}
	for name, text := range e.traces {
		if err := writeAtomic(tracePath(d.path, name), text); err != nil {
			return err
		}
	}
	return writeAtomic(filepath.Join(d.path, experimentFile), e.text)
}

// readExperiment reads the experiment that a directory's results are of.
func readExperiment(dir string) (*Experiment, error) {
	return read(filepath.Join(dir, experimentFile), readTraceFrom(dir))
}

// traceBeside reads traces by paths that are from a directory.
func readTraceBeside(dir string) func(string) ([]byte, error) {
	return func(path string) ([]byte, error) {
		if !filepath.IsAbs(path) {
			path = filepath.Join(dir, path)
		}
		return os.ReadFile(path)
	}
}

// traceIn is where a directory of results keeps a trace that its experiment names.
func tracePath(dir, name string) string {
	return filepath.Join(dir, fmt.Sprintf("trace-%016x.csv", xxhash.Sum64String(name)))
}

func readTraceFrom(dir string) func(string) ([]byte, error) {
	return func(name string) ([]byte, error) { return os.ReadFile(tracePath(dir, name)) }
}

// Close lets another run in.
func (d *Dir) Close() { _ = d.lock.Close() }

// writeWhole writes a file that is there whole or not at all, whatever happens meanwhile.
func writeAtomic(path string, text []byte) error {
	return atomicfile.Replace(path, text, atomicfile.Options{TempPattern: ".new-*", Perm: 0o644, Sync: true})
}

// Put keeps a row.
func (d *Dir) Save(row *Row) error {
	text, err := json.Marshal(row)
	if err != nil {
		return err
	}
	text = fmt.Appendf(text, "\n%016x\n", xxhash.Sum64(text))
	return writeAtomic(filepath.Join(d.path, "runs", row.name()), text)
}

// name is a row's file, which is that of its cell and repetition.
func (r *Row) name() string {
	return fmt.Sprintf("%016x-%05d%s", xxhash.Sum64String(strings.Join(r.Cell, "\x00")), r.Repetition, suffix)
}

// readRow reads one file.
func readRow(path string) (*Row, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	body, sum, _ := bytes.Cut(text, []byte("\n"))
	var row Row
	if want := fmt.Appendf(nil, "%016x\n", xxhash.Sum64(body)); !bytes.Equal(sum, want) {
		return nil, fmt.Errorf("%s: %w: its checksum is another", path, ErrDamaged)
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	if err := dec.Decode(&row); err != nil {
		return nil, fmt.Errorf("%s: %w: %w", path, ErrDamaged, err)
	}
	if row.name() != filepath.Base(path) {
		return nil, fmt.Errorf("%s: %w: it is of another run", path, ErrDamaged)
	}
	return &row, nil
}

// Results are an experiment and its rows.
type Results struct {
	*Experiment
	Rows    []*Row // by cell, then repetition
	Damaged []error
}

// Read reads a directory. A result that is damaged is told in Torn and is not among the rows.
func Read(path string) (*Results, error) {
	e, err := readExperiment(path)
	if err != nil {
		return nil, err
	}
	out := &Results{Experiment: e}
	files, err := filepath.Glob(filepath.Join(path, "runs", "*"+suffix))
	if err != nil {
		return nil, err
	}
	order := map[string]int{}
	for i, c := range e.Cells {
		order[strings.Join(c.Levels, "\x00")] = i
	}
	at := func(r *Row) (int, bool) {
		i, ok := order[strings.Join(r.Cell, "\x00")]
		return i, ok
	}
	for _, f := range files {
		row, err := readRow(f)
		if errors.Is(err, ErrDamaged) {
			out.Damaged = append(out.Damaged, err)
			continue
		} else if err != nil {
			return nil, err
		}
		if _, ok := at(row); row.Experiment != e.Digest || !ok {
			return nil, fmt.Errorf("%s: %w", f, ErrOtherExperiment)
		}
		out.Rows = append(out.Rows, row)
	}
	slices.SortFunc(out.Rows, func(a, b *Row) int {
		i, _ := at(a)
		j, _ := at(b)
		if i != j {
			return i - j
		}
		return a.Repetition - b.Repetition
	})
	return out, nil
}

// buildOf tells programs apart: the checksum of the one that runs.
func executableDigest() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", err
	}
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = f.Close() }() // it was only read
	h := xxhash.New()
	if _, err := io.Copy(h, f); err != nil {
		return "", err
	}
	return fmt.Sprintf("%016x", h.Sum64()), nil
}
