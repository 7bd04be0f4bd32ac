package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pumicecroft/internal/lab"
)

const experimentFile = `name = "tiny"
repetitions = 5
figures = ["p50_ms", "refused"]
[region]
doors = 2
length = "3s"
warmup = "1s"
[region.backends]
count = 4
[region.clients]
customers = 20
[region.arrivals]
rate = 100
[[region.plan]]
name = "shop"
rate = 2
burst = 10
`

// lab variants runs an experiment with the unchanged program and with a variant of its source, and
// compares their results.
func TestLabVariants(t *testing.T) {
	if testing.Short() {
		t.Skip("skipped with -short: the test builds programs")
	}
	dir := t.TempDir()
	experiment, variantsFile := filepath.Join(dir, "tiny.toml"), filepath.Join(dir, "variants.toml")
	for path, text := range map[string]string{experiment: experimentFile, variantsFile: `[[mutant]]
name = "a margin of a half"
[[mutant.edit]]
file = "decision/quota.go"
old = "\tquotaMarginRatio = 1.0 / 8\n"
new = "\tquotaMarginRatio = 1.0 / 2\n"
`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var out bytes.Buffer
	if err := run(t.Context(), []string{"lab", "variants", variantsFile, experiment, "-d", dir, "--root", moduleRoot},
		&out); err != nil {
		t.Fatalf("lab variants: %v\n%s", err, out.String())
	}
	for _, line := range strings.Split(out.String(), "\n") {
		if strings.Contains(line, "refused") && !strings.HasSuffix(line, "worse") {
			t.Errorf("with a quota margin four times as wide, got %q, want a verdict of worse for refused", line)
		}
	}
	if !strings.Contains(out.String(), "a margin of a half") {
		t.Errorf("lab variants printed\n%s\nwant it to contain the variant's name", out.String())
	}
}

// The experiment files in the repository are valid, and an experiment can be checked, run and reported.
func TestLabFiles(t *testing.T) {
	files, err := filepath.Glob("../../lab/*.toml")
	if err != nil || len(files) < 5 {
		t.Fatalf("got %d experiment files %v and error %v, want at least 5", len(files), files, err)
	}
	for _, f := range files {
		switch filepath.Base(f) {
		case "load.toml":
		case "variants.toml", "fleet-variants.toml":
			list, err := readMutants(f)
			if err != nil {
				t.Error(err)
			}
			for _, m := range list {
				if _, err := m.apply(moduleRoot); err != nil {
					t.Error(err)
				}
			}
		default:
			if _, err := lab.ReadFile(f); err != nil {
				t.Error(err)
			}
		}
	}
	dir := t.TempDir()
	experiment := filepath.Join(dir, "tiny.toml")
	if err := os.WriteFile(experiment, []byte(experimentFile), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	for _, args := range [][]string{{"lab", "check", experiment}, {"lab", "run", experiment, "-d", dir},
		{"lab", "report", dir}, {"lab", "report", dir, "--markdown"}, {"lab", "figures"}} {
		if err := run(t.Context(), args, &out); err != nil {
			t.Errorf("%q: %v", args, err)
		}
	}
	for _, want := range []string{"1 cells of 5 runs each", "5 of 5 runs are in", "report.html", "report.md"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the commands printed\n%s\nwant it to contain %q", out.String(), want)
		}
	}
	if text, err := os.ReadFile(filepath.Join(dir, "report.md")); err != nil ||
		!strings.Contains(string(text), "| p50_ms |") {
		t.Errorf("report.md: error %v, want a row for p50_ms, got\n%s", err, text)
	}
}
