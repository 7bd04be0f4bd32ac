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

// An experiment is run by the program as it is, and by one with an edit of its files, and compared.
func TestLabVariants(t *testing.T) {
	if testing.Short() {
		t.Skip("it builds programs")
	}
	dir := t.TempDir()
	experiment, variants := filepath.Join(dir, "tiny.toml"), filepath.Join(dir, "variants.toml")
	for path, text := range map[string]string{experiment: experimentFile, variants: `[[mutant]]
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
	if err := run(t.Context(), []string{"lab", "variants", variants, experiment, "-d", dir, "--root", root},
		&out); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	for _, line := range strings.Split(out.String(), "\n") {
		if strings.Contains(line, "refused") && !strings.HasSuffix(line, "worse") {
			t.Errorf("a margin four times as wide refuses no more: %s", line)
		}
	}
	if !strings.Contains(out.String(), "a margin of a half") {
		t.Error(out.String())
	}
}

// The experiments in the repository are valid, and their reports are written.
func TestLabFiles(t *testing.T) {
	files, err := filepath.Glob("../../lab/*.toml")
	if err != nil || len(files) < 5 {
		t.Fatal(files, err)
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
				if _, err := m.apply(root); err != nil {
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
			t.Errorf("lacks %q: %s", want, out.String())
		}
	}
	if text, err := os.ReadFile(filepath.Join(dir, "report.md")); err != nil ||
		!strings.Contains(string(text), "| p50_ms |") {
		t.Errorf("%v: %s", err, text)
	}
}
