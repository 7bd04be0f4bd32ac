package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pumicecroft/internal/emulator"
	"pumicecroft/internal/paired"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/datadriven"
)

// Parse returns all cells of an experiment, or all problems of its file with line and key.
func TestParse(t *testing.T) {
	traces := func(path string) ([]byte, error) {
		if path == "odd.csv" {
			return []byte("at,customer,class,units\n0,1,look,1\n1,x,look,1\n"), nil
		}
		return nil, fmt.Errorf("there is no %s", path)
	}
	datadriven.RunTest(t, "testdata/problems", func(_ *testing.T, d *datadriven.TestData) string {
		e, err := Parse([]byte("name = \"x\"\n"+d.Input), traces)
		if err != nil {
			return err.Error() + "\n"
		}
		var b strings.Builder
		for _, c := range e.Cells {
			fmt.Fprintf(&b, "%s: %s, %d doors, %d backends, rate %v\n", strings.Join(c.Levels, " / "), c.Config.Policy,
				c.Config.Gateways, c.Config.Backends.Count, c.Config.Arrivals.Rate)
		}
		return b.String()
	})
}

// experimentText is an experiment file, as a format with the number of repetitions.
const experimentText = `name = "small"
repetitions = %d
figures = ["worth", "p99_ms", "doubled"]
[region]
doors = 2
length = "5s"
warmup = "1s"
[region.backends]
count = 8
slots = 2
[region.clients]
customers = 50
[region.arrivals]
rate = 200
[[factor]]
name = "service"
[[factor.level]]
name = "as it is"
[[factor.level]]
name = "the same"
set = { doors = 2 }
[[factor.level]]
name = "a tenth slower"
set = { "backends.mean" = "44ms" }
`

// writeExperiment writes the experiment file with a number of repetitions, followed by the text more, and returns its
// path.
func writeExperiment(t *testing.T, dir string, repetitions int, more string) string {
	t.Helper()
	path := filepath.Join(dir, "small.toml")
	if err := os.WriteFile(path, []byte(fmt.Sprintf(experimentText, repetitions)+more), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// An experiment is interrupted, continued, and later run with more repetitions. A level without a change must be
// reported as the same, and a level that is a tenth slower as worse.
func TestRunAndCompare(t *testing.T) {
	dir := t.TempDir()
	file, out := writeExperiment(t, dir, 3, ""), filepath.Join(dir, "out")
	ctx, stop := context.WithCancel(t.Context())
	ran, err := Run(ctx, file, out, RunOptions{Jobs: 2, OnRun: func(done, _ int, _ *Row) {
		if done == 4 {
			stop()
		}
	}})
	if !errors.Is(err, context.Canceled) || ran.Completed < 4 || ran.Completed > 5 {
		t.Fatalf("interrupted: got %+v, error %v, want 4 or 5 completed runs and %v", ran, err, context.Canceled)
	}
	// A report of the results so far can be written.
	if text, err := readAndReport(out); err != nil || !strings.Contains(text, "| as it is |") {
		t.Errorf("report after the interruption: error %v, got %s, want a row \"as it is\"", err, text)
	}
	completed := ran.Completed
	ran, err = Run(t.Context(), file, out, RunOptions{Jobs: 3})
	if err != nil || ran.Existing != completed || ran.Completed != 9-completed {
		t.Fatalf("continued: got %+v, error %v, want %d existing and %d completed runs", ran, err, completed, 9-completed)
	}
	// More repetitions are the same experiment.
	file = writeExperiment(t, dir, 8, "")
	ran, err = Run(t.Context(), file, out, RunOptions{Jobs: 4})
	if err != nil || ran.Existing != 9 || ran.Completed != 15 {
		t.Fatalf("more repetitions: got %+v, error %v, want 9 existing and 15 completed runs", ran, err)
	}
	r, err := Read(out)
	if err != nil || len(r.Rows) != 24 {
		t.Fatalf("got %d rows, error %v, want 24 rows", len(r.Rows), err)
	}
	comparisons, err := CompareLevels(r, "service", "", "", r.Figures, paired.Options{})
	if err != nil || len(comparisons) != 6 {
		t.Fatalf("got comparisons %+v, error %v, want 6 comparisons", comparisons, err)
	}
	for _, c := range comparisons {
		want := paired.Same
		if c.B == "a tenth slower" && c.Figure.Name == "p99_ms" {
			want = paired.Worse
		}
		if c.B == "the same" && c.Result.Verdict != want || want == paired.Worse && c.Result.Verdict != want {
			t.Errorf("%s compared with %s in %s: got %q, %+v, want %q", c.B, c.A, c.Figure.Name, c.Verdict(), c.Result, want)
		}
	}
	if _, err := CompareLevels(
		r, "service", "x", "", r.Figures, paired.Options{},
	); !errors.Is(err, ErrUnknownFactorOrLevel) {
		t.Errorf("unknown baseline: got error %v, want %v", err, ErrUnknownFactorOrLevel)
	}
	comparisons, err = CompareResults(r, r, "a", "b", r.Figures, paired.Options{})
	if err != nil || len(comparisons) != 9 || comparisons[0].Result.Verdict != paired.Same {
		t.Errorf("results compared with themselves: got %+v, error %v, want 9 comparisons, the first with verdict %q",
			comparisons, err, paired.Same)
	}
	page, err := HTML(r, "", paired.Options{})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"<svg", "Latency of served calls", "a tenth slower", `class="word worse"`, "24 runs, 0 failed",
	} {
		if !strings.Contains(string(page), want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
	for _, reference := range []string{"src=", "href=\"http", "url("} {
		if strings.Contains(string(page), reference) {
			t.Errorf("the page contains the external reference %q", reference)
		}
	}
}

func readAndReport(dir string) (string, error) {
	r, err := Read(dir)
	if err != nil {
		return "", err
	}
	text, err := Markdown(r, "", paired.Options{})
	return string(text), err
}

// Run and Read detect results of another experiment or build, a second writer, and damaged results.
func TestResultDirectory_Errors(t *testing.T) {
	dir := t.TempDir()
	file, out := writeExperiment(t, dir, 1, ""), filepath.Join(dir, "out")
	if _, err := Run(t.Context(), file, out, RunOptions{Jobs: 4}); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	e, err := Parse(text, nil)
	if err != nil {
		t.Fatal(err)
	}
	d, err := Open(out, e)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Run(t.Context(), file, out, RunOptions{Jobs: 1}); !errors.Is(err, ErrBusy) {
		t.Errorf("two writers: got error %v, want %v", err, ErrBusy)
	}
	d.Close()
	other := writeExperiment(t, t.TempDir(), 1, "[[factor.level]]\nname = \"one more\"\n")
	if _, err := Run(t.Context(), other, out, RunOptions{Jobs: 1}); !errors.Is(err, ErrOtherExperiment) {
		t.Errorf("another experiment: got error %v, want %v", err, ErrOtherExperiment)
	}

	files, _ := filepath.Glob(filepath.Join(out, "runs", "*.json"))
	original, err := os.ReadFile(files[0])
	if err != nil || len(files) != 3 {
		t.Fatalf("got files %v, error %v, want 3 files", files, err)
	}
	for name, damaged := range map[string][]byte{
		"truncated":   original[:len(original)/2],
		"empty":       nil,
		"bit flipped": append([]byte{original[0], original[1] ^ 1}, original[2:]...),
		"no checksum": original[:len(original)-18],
	} {
		if err := os.WriteFile(files[0], damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		if r, err := Read(out); err != nil || len(r.Rows) != 2 || len(r.Damaged) != 1 {
			t.Errorf("%s: got %d rows, damaged %v, error %v, want 2 rows and 1 damaged", name, len(r.Rows), r.Damaged, err)
		}
	}
	ran, err := Run(t.Context(), file, out, RunOptions{Jobs: 1})
	if err != nil || ran.Completed != 1 || len(ran.Damaged) != 1 {
		t.Errorf("damaged result: got %+v, error %v, want 1 completed run and 1 damaged", ran, err)
	}
	if again, err := os.ReadFile(files[0]); err != nil || string(again) != string(original) {
		t.Errorf("repeated run: error %v, got result %s, want %s", err, again, original)
	}
	// A file whose name is that of another run counts as damaged.
	if err := os.Rename(files[0], strings.Replace(files[0], "-00000", "-00007", 1)); err != nil {
		t.Fatal(err)
	}
	if r, err := Read(out); err != nil || len(r.Damaged) != 1 {
		t.Errorf("renamed result: got damaged %v, error %v, want 1 damaged", r.Damaged, err)
	}
	row, err := readRow(files[1])
	if err != nil {
		t.Fatal(err)
	}
	row.Build = "another"
	if err := d.Save(row); err != nil {
		t.Fatal(err)
	}
	if _, err := Run(t.Context(), file, out, RunOptions{Jobs: 1}); !errors.Is(err, ErrOtherBuild) {
		t.Errorf("another build: got error %v, want %v", err, ErrOtherBuild)
	}
}

// Reports can show levels whose runs all failed, that have a single run, or that serve no calls.
func TestReport_FailedAndMissingRuns(t *testing.T) {
	dir := t.TempDir()
	file, out := writeExperiment(t, dir, 2, `[[factor.level]]
name = "nobody is served"
set = { "backends.mean" = "1h" }
`), filepath.Join(dir, "out")
	if _, err := Run(t.Context(), file, out, RunOptions{Jobs: 4}); err != nil {
		t.Fatal(err)
	}
	r, err := Read(out)
	if err != nil {
		t.Fatal(err)
	}
	d := &Dir{path: out}
	for _, row := range r.Rows {
		if row.Cell[0] == "the same" {
			row.FailureReason, row.Figures, row.Latency = "it panicked: <x> | y", nil, nil
			if err := d.Save(row); err != nil {
				t.Fatal(err)
			}
		}
		if row.Cell[0] == "as it is" && row.Repetition == 1 {
			if err := os.Remove(filepath.Join(out, "runs", row.name())); err != nil {
				t.Fatal(err)
			}
		}
	}
	text, err := readAndReport(out)
	for _, want := range []string{
		"the same: 2 runs failed: it panicked", "| the same | 0 | - | - | - |", "| as it is | 1 | 1.000 |",
		"| nobody is served | 2 | 0.000 ± 0.000 |",
		"| the same | worth | 0.000 | 0.000 to 0.000 | no pairs to compare |", "can't tell; about 4 more pairs needed"} {
		if err != nil || !strings.Contains(text, want) {
			t.Errorf("error %v, or the report does not contain %q:\n%s", err, want, text)
		}
	}
	if r, err = Read(out); err != nil {
		t.Fatal(err)
	}
	page, err := HTML(r, "", paired.Options{})
	if err != nil || strings.Contains(string(page), "<x>") || strings.Contains(string(page), "NaN") {
		t.Errorf("error %v, the page has an unescaped reason of a failure: %t, it has NaN: %t, want neither",
			err, strings.Contains(string(page), "<x>"), strings.Contains(string(page), "NaN"))
	}
	// Latencies above the histogram's range are counted.
	res := emulator.Result{Latency: hdrhistogram.New(1, 1000, 3), OutOfRange: 3}
	var row Row
	if err := row.setResult(&res); err != nil || row.OutOfRange != 3 || row.Figures["worth"] != 0 {
		t.Errorf("got %+v, error %v, want OutOfRange 3 and worth 0", row, err)
	}
}

// The result of a run must not depend on the number of workers.
func TestEmulate_WorkersDoNotChangeResult(t *testing.T) {
	e, err := Parse(fmt.Appendf(nil, experimentText, 1), nil)
	if err != nil {
		t.Fatal(err)
	}
	var first emulator.Result
	for i, workers := range []int{1, 2, 3, 5} {
		c := e.Cells[0].Config
		c.Shards, c.Duration, c.Warmup = 5, time.Second, 100*time.Millisecond
		r, err := emulator.New(c, 3)
		if err != nil {
			t.Fatal(err)
		}
		if err := Emulate(t.Context(), r, workers); err != nil {
			t.Fatal(err)
		}
		got := r.Result()
		if i == 0 {
			first = got
		} else if got.Counts != first.Counts || got.Events != first.Events || !got.Latency.Equals(first.Latency) {
			t.Errorf("%d workers: got %+v, %d events, want %+v, %d events", workers, got.Counts, got.Events,
				first.Counts, first.Events)
		}
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	for _, workers := range []int{1, 4} {
		c := e.Cells[0].Config
		c.Shards = 5
		r, err := emulator.New(c, 3)
		if err == nil {
			err = Emulate(ctx, r, workers)
		}
		if !errors.Is(err, context.Canceled) {
			t.Errorf("%d workers, context cancelled: got error %v, want %v", workers, err, context.Canceled)
		}
	}
}

// Comparisons of ten runs of a cell with ten other runs of the same cell must be inconclusive in at least 94 of 100
// cases.
func TestCompare_FalsePositives(t *testing.T) {
	dir := t.TempDir()
	file, out := filepath.Join(dir, "one.toml"), filepath.Join(dir, "out")
	replacer := strings.NewReplacer(`length = "5s"`, `length = "3s"`, "rate = 200", "rate = 150")
	text := replacer.Replace(fmt.Sprintf(experimentText, 60))
	text, _, _ = strings.Cut(text, "[[factor]]")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Run(t.Context(), file, out, RunOptions{Jobs: 4}); err != nil {
		t.Fatal(err)
	}
	r, err := Read(out)
	if err != nil || len(r.Rows) != 60 {
		t.Fatalf("got %d rows, error %v, want 60 rows", len(r.Rows), err)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for _, figure := range []string{"p50_ms", "p99_ms", "attempts", "in_aim"} {
		falsePositives := 0
		for i := range 100 {
			order := rng.Perm(60)
			a, b := make([]float64, 10), make([]float64, 10)
			for j := range a {
				a[j], b[j] = r.Rows[order[j]].Figures[figure], r.Rows[order[10+j]].Figures[figure]
			}
			d, err := paired.Compare(a, b, true, paired.Options{Seed: uint64(i), Resamples: 1000})
			if err != nil || d.Verdict == paired.Better || d.Verdict == paired.Worse {
				falsePositives++
			}
		}
		t.Logf("%s: %d of 100 comparisons called better or worse", figure, falsePositives)
		if falsePositives > 6 {
			t.Errorf("%s: %d of 100 comparisons of the same cell failed or got a verdict, want at most 6",
				figure, falsePositives)
		}
	}
}
