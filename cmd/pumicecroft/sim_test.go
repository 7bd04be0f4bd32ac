package main

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// runSimCommand runs "pumicecroft sim" with arguments, and returns its output.
func runSimCommand(args ...string) (string, error) {
	var out strings.Builder
	err := run(context.Background(), append([]string{"sim"}, args...), &out)
	return out.String(), err
}

const (
	moduleRoot  = "../.."
	mutantsFile = "../../internal/sim/testdata/mutants.toml"
)

func TestSimCommands(t *testing.T) {
	traceHash := regexp.MustCompile(`all traces (\w+)`)
	one, err := runSimCommand("run", "--seeds", "0..19", "--jobs", "1")
	four, err4 := runSimCommand("run", "--seeds", "0..19", "--jobs", "4")
	if err != nil || err4 != nil || traceHash.FindString(one) == "" ||
		traceHash.FindString(one) != traceHash.FindString(four) {
		t.Errorf("sim run with 1 job and with 4 jobs: errors %v and %v, want equal trace hashes, got\n%s%s",
			err, err4, one, four)
	}
	if out, err := runSimCommand("replay", "--seed", "3", "--trace"); err != nil || strings.Count(out, "\n") < 50 {
		t.Errorf("sim replay --trace: error %v, %d lines, want at least 50:\n%s", err, strings.Count(out, "\n"), out)
	}
	// Seed 3 violates no rule, so there is nothing to shrink.
	if out, err := runSimCommand("shrink", "--seed", "3"); err != nil || strings.Contains(out, "[[case]]") {
		t.Errorf("sim shrink: error %v, want no [[case]] in\n%s", err, out)
	}
	if out, err := runSimCommand("corpus", "--file", "../../internal/sim/testdata/corpus.toml"); err != nil ||
		!strings.Contains(out, "seed ") {
		t.Errorf("sim corpus: error %v, want a line for each seed in\n%s", err, out)
	}
	if out, err := runSimCommand("--help"); err != nil || !strings.Contains(out, "mutants") {
		t.Errorf("sim --help: error %v, want mutants in\n%s", err, out)
	}
	for _, args := range [][]string{nil, {"walk"}, {"run", "--seeds", "5"}, {"run", "--seeds", "9..3"},
		{"run", "--jobs", "0"}, {"run", "more"}, {"replay"},
		{"corpus", "--file", "none"}, {"mutants", "--file", "none"},
		{"mutants", "--root", moduleRoot, "--file", mutantsFile, "--jobs", "0"}} {
		if out, err := runSimCommand(args...); err == nil || errors.Is(err, errRuleBroken) {
			t.Errorf("sim %q: got error %v, want one about the arguments; output:\n%s", args, err, out)
		}
	}
}

// The text that each planted bug replaces occurs exactly once in its file, names of bugs are unique, and
// bugs are planted only in code that ships.
func TestPlantedBugsMatchSource(t *testing.T) {
	list, err := readMutants(mutantsFile)
	if err != nil || len(list) < 20 {
		t.Fatalf("got %d planted bugs and error %v, want at least 20", len(list), err)
	}
	names := map[string]bool{}
	for _, m := range list {
		if _, err := m.apply(moduleRoot); err != nil {
			t.Error(err)
		}
		if names[m.Name] || m.Rule == "" || len(m.Edit) == 0 {
			t.Errorf("planted bug %+v: want a unique name, a rule and an edit", m)
		}
		names[m.Name] = true
		for _, e := range m.Edit {
			if strings.HasPrefix(e.File, "internal/sim") || strings.HasPrefix(e.File, "cmd/") ||
				strings.HasSuffix(e.File, "_test.go") {
				t.Errorf("planted bug %s edits %s, which does not ship", m.Name, e.File)
			}
		}
	}
}

// A planted bug is built, and caught by the rule that its file names. An edit without effect is reported
// as not caught, and an edit that does not compile as failed.
func TestMutantsCommand(t *testing.T) {
	if testing.Short() {
		t.Skip("skipped with -short: the test builds programs")
	}
	out, err := runSimCommand("mutants", "--root", moduleRoot, "--file", mutantsFile,
		"--only", "a connection more than may be", "--seeds", "0..50")
	if err != nil || !strings.Contains(out, "| everything has its bound |") || !strings.Contains(out, "1 of 1 caught") {
		t.Errorf("sim mutants: error %v, want the bug caught by its rule, got\n%s", err, out)
	}
	mutantsPath := filepath.Join(t.TempDir(), "m.toml")
	const text = `[[mutant]]
name = "nothing"
rule = "none"
[[mutant.edit]]
file = "internal/simdisk/simdisk.go"
old = "// Sector is "
new = "// Sector means "
[[mutant]]
name = "no program"
rule = "none"
[[mutant.edit]]
file = "internal/simdisk/simdisk.go"
old = "package simdisk\n"
new = "package simdis k\n"
`
	if err := os.WriteFile(mutantsPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err = runSimCommand("mutants", "--root", moduleRoot, "--file", mutantsPath, "--seeds", "0..3")
	if !errors.Is(err, errRuleBroken) || !strings.Contains(out, "| nothing | NOT CAUGHT |") ||
		!strings.Contains(out, "no program | FAILED") ||
		!strings.Contains(out, "0 of 2 caught") {
		t.Errorf("sim mutants: error %v, want %v, one bug not caught and one failed, got\n%s", err, errRuleBroken, out)
	}
	if err := os.WriteFile(mutantsPath, []byte("[[mutant]]\nnam = 'x'\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := runSimCommand("mutants", "--file", mutantsPath); err == nil || !strings.Contains(err.Error(), "nam") {
		t.Errorf("sim mutants with a misspelt key: got error %v, want one that contains the key", err)
	}
}
