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

// Row is the result of one run. Its tags define the stored file.
type Row struct {
	Experiment    string             `json:"experiment"` // digest of the experiment
	Build         string             `json:"build"`      // checksum of the executable that made the run
	Cell          []string           `json:"cell"`       // name of each factor's level
	Repetition    int                `json:"repetition"`
	Seed          uint64             `json:"seed"`
	FailureReason string             `json:"failed,omitempty"` // if the run failed; then the fields below are empty
	Figures       map[string]float64 `json:"figures,omitempty"`
	Counts        emulator.Counts    `json:"counts"`
	Latency       []byte             `json:"latency,omitempty"` // compressed HDR histogram, in microseconds
	OutOfRange    int                `json:"beyond"`            // latencies above the histogram's range
	Seconds       []emulator.Second  `json:"seconds,omitempty"`
	Events        uint64             `json:"events"`
}

// setResult sets the fields that come from the run's result.
func (r *Row) setResult(result *emulator.Result) (err error) {
	r.Figures, r.Counts, r.OutOfRange = map[string]float64{}, result.Counts, result.OutOfRange
	r.Seconds, r.Events = result.Seconds, result.Events
	for _, f := range Figures {
		r.Figures[f.Name] = f.value(result)
	}
	r.Latency, err = result.Latency.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return err
}

// Histogram returns the latencies.
func (r *Row) Histogram() (*hdrhistogram.Histogram, error) { return hdrhistogram.Decode(r.Latency) }

// Errors of a directory of results.
var (
	ErrBusy            = errors.New("another process is writing results to this directory")
	ErrOtherExperiment = errors.New("results of another experiment")
	ErrOtherBuild      = errors.New("results of another build")
	ErrDamaged         = errors.New("damaged result")
)

// Dir is a directory of results of one experiment by one build. Only one process at a time may write it. Each result is
// a separate file with a checksum, which gets its name only after it is completely on disk, so that a partial file is
// never read as a result.
type Dir struct {
	path string
	lock *atomicfile.Lock
}

const (
	experimentFile = "experiment.toml"
	lockFile       = "lock"
	suffix         = ".json"
)

// Open opens the directory of an experiment's results for writing, and creates it if it is missing. It returns ErrBusy
// if another process is writing to it, and ErrOtherExperiment if it has results of another experiment. Experiments that
// differ only in the number of repetitions count as the same.
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

// bindExperiment stores the experiment and its traces in the directory. It returns ErrOtherExperiment if the directory
// has another one.
func (d *Dir) bindExperiment(e *Experiment) error {
	stored, err := readExperiment(d.path)
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		return err
	case stored.Digest != e.Digest:
		return fmt.Errorf("%s: %w: %q", d.path, ErrOtherExperiment, stored.Name)
	}
	for name, text := range e.traces {
		if err := writeAtomic(tracePath(d.path, name), text); err != nil {
			return err
		}
	}
	return writeAtomic(filepath.Join(d.path, experimentFile), e.text)
}

// readExperiment reads the experiment that is stored in a directory of results.
func readExperiment(dir string) (*Experiment, error) {
	return read(filepath.Join(dir, experimentFile), readTraceFrom(dir))
}

// readTraceBeside returns a function that reads traces whose paths are relative to dir.
func readTraceBeside(dir string) func(string) ([]byte, error) {
	return func(path string) ([]byte, error) {
		if !filepath.IsAbs(path) {
			path = filepath.Join(dir, path)
		}
		return os.ReadFile(path)
	}
}

// tracePath returns the path of a trace's copy in a directory of results.
func tracePath(dir, name string) string {
	return filepath.Join(dir, fmt.Sprintf("trace-%016x.csv", xxhash.Sum64String(name)))
}

// readTraceFrom returns a function that reads the copies of traces in a directory of results.
func readTraceFrom(dir string) func(string) ([]byte, error) {
	return func(name string) ([]byte, error) { return os.ReadFile(tracePath(dir, name)) }
}

// Close allows other processes to write the directory.
func (d *Dir) Close() { _ = d.lock.Close() }

// writeAtomic writes a file so that it exists completely or not at all, even after a crash.
func writeAtomic(path string, text []byte) error {
	return atomicfile.Replace(path, text, atomicfile.Options{TempPattern: ".new-*", Perm: 0o644, Sync: true})
}

// Save stores a row.
func (d *Dir) Save(row *Row) error {
	text, err := json.Marshal(row)
	if err != nil {
		return err
	}
	text = fmt.Appendf(text, "\n%016x\n", xxhash.Sum64(text))
	return writeAtomic(filepath.Join(d.path, "runs", row.name()), text)
}

// name returns the name of the row's file, which depends on its cell and repetition.
func (r *Row) name() string {
	return fmt.Sprintf("%016x-%05d%s", xxhash.Sum64String(cellKey(r.Cell)), r.Repetition, suffix)
}

// readRow reads one row's file. It returns ErrDamaged if the content isn't what Save wrote.
func readRow(path string) (*Row, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	body, sum, _ := bytes.Cut(text, []byte("\n"))
	var row Row
	if want := fmt.Appendf(nil, "%016x\n", xxhash.Sum64(body)); !bytes.Equal(sum, want) {
		return nil, fmt.Errorf("%s: %w: checksum mismatch", path, ErrDamaged)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&row); err != nil {
		return nil, fmt.Errorf("%s: %w: %w", path, ErrDamaged, err)
	}
	if row.name() != filepath.Base(path) {
		return nil, fmt.Errorf("%s: %w: its name does not match its content", path, ErrDamaged)
	}
	return &row, nil
}

// Results is an experiment with the results of its runs.
type Results struct {
	*Experiment
	Rows    []*Row  // sorted by cell, then repetition
	Damaged []error // one for each damaged result, which is not in Rows
}

// Read reads a directory of results.
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
	cellIndex := map[string]int{}
	for i, c := range e.Cells {
		cellIndex[cellKey(c.Levels)] = i
	}
	for _, f := range files {
		row, err := readRow(f)
		if errors.Is(err, ErrDamaged) {
			out.Damaged = append(out.Damaged, err)
			continue
		} else if err != nil {
			return nil, err
		}
		if _, ok := cellIndex[cellKey(row.Cell)]; row.Experiment != e.Digest || !ok {
			return nil, fmt.Errorf("%s: %w", f, ErrOtherExperiment)
		}
		out.Rows = append(out.Rows, row)
	}
	slices.SortFunc(out.Rows, func(a, b *Row) int {
		if i, j := cellIndex[cellKey(a.Cell)], cellIndex[cellKey(b.Cell)]; i != j {
			return i - j
		}
		return a.Repetition - b.Repetition
	})
	return out, nil
}

// cellKey returns a string that identifies the cell with these levels.
func cellKey(levels []string) string { return strings.Join(levels, "\x00") }

// executableDigest returns the checksum of the running executable, which identifies the build.
func executableDigest() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", err
	}
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = f.Close() }() // safe to ignore, as the file is only read
	hash := xxhash.New()
	if _, err := io.Copy(hash, f); err != nil {
		return "", err
	}
	return fmt.Sprintf("%016x", hash.Sum64()), nil
}
