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

func TestProblems(t *testing.T) {
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

const experiment = `name = "small"
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

// write writes the experiment's file with a number of repetitions, followed by more.
func write(t *testing.T, dir string, repetitions int, more string) string {
	t.Helper()
	path := filepath.Join(dir, "small.toml")
	if err := os.WriteFile(path, []byte(fmt.Sprintf(experiment, repetitions)+more), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// An experiment is ended early and continued, with more repetitions later. Levels that are the same must be told as
// the same, and a level that is a tenth slower as worse.
func TestRunAndCompare(t *testing.T) {
	dir := t.TempDir()
	file, out := write(t, dir, 3, ""), filepath.Join(dir, "out")
	ctx, stop := context.WithCancel(t.Context())
	ran, err := Run(ctx, file, out, RunOptions{Jobs: 2, OnRun: func(done, _ int, _ *Row) {
		if done == 4 {
			stop()
		}
	}})
	if !errors.Is(err, context.Canceled) || ran.Completed < 4 || ran.Completed > 5 {
		t.Fatalf("ended early: %+v, %v", ran, err)
	}
	// What it has by then is good as it is.
	if text, err := readAndReport(out); err != nil || !strings.Contains(text, "| as it is |") {
		t.Errorf("%v: %s", err, text)
	}
	was := ran.Completed
	ran, err = Run(t.Context(), file, out, RunOptions{Jobs: 3})
	if err != nil || ran.Existing != was || ran.Completed != 9-was {
		t.Fatalf("gone on with: %+v, %v", ran, err)
	}
	// More repetitions are the same experiment; and one run alone on many processors comes to the same.
	file = write(t, dir, 8, "")
	ran, err = Run(t.Context(), file, out, RunOptions{Jobs: 4})
	if err != nil || ran.Existing != 9 || ran.Completed != 15 {
		t.Fatalf("more repetitions: %+v, %v", ran, err)
	}
	r, err := Read(out)
	if err != nil || len(r.Rows) != 24 {
		t.Fatalf("%d rows, %v", len(r.Rows), err)
	}
	comparisons, err := CompareLevels(r, "service", "", "", r.Figures, paired.Options{})
	if err != nil || len(comparisons) != 6 {
		t.Fatalf("%+v, %v", comparisons, err)
	}
	for _, c := range comparisons {
		want := paired.Same
		if c.B == "a tenth slower" && c.Figure.Name == "p99_ms" {
			want = paired.Worse
		}
		if c.B == "the same" && c.Result.Verdict != want || want == paired.Worse && c.Result.Verdict != want {
			t.Errorf("%s against %s in %s: %s, %+v", c.B, c.A, c.Figure.Name, c.Verdict(), c.Result)
		}
	}
	if _, err := CompareLevels(r, "service", "x", "", r.Figures, paired.Options{}); !errors.Is(err, ErrNoLevel) {
		t.Error(err)
	}
	comparisons, err = CompareResults(r, r, "a", "b", r.Figures, paired.Options{})
	if err != nil || len(comparisons) != 9 || comparisons[0].Result.Verdict != paired.Same {
		t.Errorf("%+v, %v", comparisons, err)
	}
	page, err := HTML(r, "", paired.Options{})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"<svg", "Latency of served calls", "a tenth slower", `class="word worse"`, "24 runs, 0 failed",
	} {
		if !strings.Contains(string(page), want) {
			t.Errorf("the page lacks %s", want)
		}
	}
	for _, outside := range []string{"src=", "href=\"http", "url("} {
		if strings.Contains(string(page), outside) {
			t.Errorf("the page wants %s from elsewhere", outside)
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

// A directory with results of another experiment or build, with a second writer, or with a torn result is noticed.
func TestDirectories(t *testing.T) {
	dir := t.TempDir()
	file, out := write(t, dir, 1, ""), filepath.Join(dir, "out")
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
		t.Errorf("two writers: %v", err)
	}
	d.Close()
	other := write(t, t.TempDir(), 1, "[[factor.level]]\nname = \"one more\"\n")
	if _, err := Run(t.Context(), other, out, RunOptions{Jobs: 1}); !errors.Is(err, ErrOtherExperiment) {
		t.Errorf("another experiment: %v", err)
	}

	files, _ := filepath.Glob(filepath.Join(out, "runs", "*.json"))
	whole, err := os.ReadFile(files[0])
	if err != nil || len(files) != 3 {
		t.Fatal(files, err)
	}
	for name, torn := range map[string][]byte{
		"cut":       whole[:len(whole)/2],
		"empty":     nil,
		"a bit off": append([]byte{whole[0], whole[1] ^ 1}, whole[2:]...),
		"no sum":    whole[:len(whole)-18],
	} {
		if err := os.WriteFile(files[0], torn, 0o600); err != nil {
			t.Fatal(err)
		}
		if r, err := Read(out); err != nil || len(r.Rows) != 2 || len(r.Damaged) != 1 {
			t.Errorf("%s: %d rows, %v, %v", name, len(r.Rows), r.Damaged, err)
		}
	}
	ran, err := Run(t.Context(), file, out, RunOptions{Jobs: 1})
	if err != nil || ran.Completed != 1 || len(ran.Damaged) != 1 {
		t.Errorf("made again: %+v, %v", ran, err)
	}
	if again, err := os.ReadFile(files[0]); err != nil || string(again) != string(whole) {
		t.Errorf("the same run came to something else: %v", err)
	}
	// One that is renamed is of another run than it says.
	if err := os.Rename(files[0], strings.Replace(files[0], "-00000", "-00007", 1)); err != nil {
		t.Fatal(err)
	}
	if r, err := Read(out); err != nil || len(r.Damaged) != 1 {
		t.Errorf("renamed: %v, %v", r.Damaged, err)
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
		t.Errorf("another build: %v", err)
	}
}

// Reports show levels whose runs all fail, that have a single run, or whose calls are all rejected.
func TestOddLevels(t *testing.T) {
	dir := t.TempDir()
	file, out := write(t, dir, 2, `[[factor.level]]
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
			row.Failed, row.Figures, row.Latency = "it panicked: <x> | y", nil, nil
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
		"| the same | worth | 0.000 | 0.000 to 0.000 | there is no pair |", "can't tell; some 4 more would"} {
		if err != nil || !strings.Contains(text, want) {
			t.Errorf("%v: lacks %q\n%s", err, want, text)
		}
	}
	if r, err = Read(out); err != nil {
		t.Fatal(err)
	}
	page, err := HTML(r, "", paired.Options{})
	if err != nil || strings.Contains(string(page), "<x>") || strings.Contains(string(page), "NaN") {
		t.Errorf("%v, or it holds what a level said, or a NaN", err)
	}
	// Latencies beyond the histogram's range are counted.
	res := emulator.Result{Latency: hdrhistogram.New(1, 1000, 3), OutOfRange: 3}
	var row Row
	if err := row.setResult(&res); err != nil || row.Beyond != 3 || row.Figures["worth"] != 0 {
		t.Errorf("%+v, %v", row, err)
	}
}

// The result of a run must not depend on the number of workers.
func TestWorkers(t *testing.T) {
	e, err := Parse(fmt.Appendf(nil, experiment, 1), nil)
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
			t.Errorf("%d workers: %+v, want %+v", workers, got.Counts, first.Counts)
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
			t.Errorf("%d workers that were told to end: %v", workers, err)
		}
	}
}

// Runs of one cell with different seeds are compared with each other, ten by ten. At least 94 of 100 comparisons must
// find no difference.
func TestAgainstItself(t *testing.T) {
	dir := t.TempDir()
	file, out := filepath.Join(dir, "one.toml"), filepath.Join(dir, "out")
	replacer := strings.NewReplacer(`length = "5s"`, `length = "3s"`, "rate = 200", "rate = 150")
	text := replacer.Replace(fmt.Sprintf(experiment, 60))
	text, _, _ = strings.Cut(text, "[[factor]]")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Run(t.Context(), file, out, RunOptions{Jobs: 4}); err != nil {
		t.Fatal(err)
	}
	r, err := Read(out)
	if err != nil || len(r.Rows) != 60 {
		t.Fatal(len(r.Rows), err)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for _, figure := range []string{"p50_ms", "p99_ms", "attempts", "in_aim"} {
		told := 0
		for i := range 100 {
			order := rng.Perm(60)
			a, b := make([]float64, 10), make([]float64, 10)
			for j := range a {
				a[j], b[j] = r.Rows[order[j]].Figures[figure], r.Rows[order[10+j]].Figures[figure]
			}
			d, err := paired.Compare(a, b, true, paired.Options{Seed: uint64(i), Resamples: 1000})
			if err != nil || d.Verdict == paired.Better || d.Verdict == paired.Worse {
				told++
			}
		}
		t.Logf("%s: %d of 100 told", figure, told)
		if told > 6 {
			t.Errorf("%s: of 100 comparisons of the same %d were told", figure, told)
		}
	}
}
