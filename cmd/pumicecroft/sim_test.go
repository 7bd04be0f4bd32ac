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

func runProgram(args ...string) (string, error) {
	var out strings.Builder
	err := run(context.Background(), append([]string{"sim"}, args...), &out)
	return out.String(), err
}

const (
	root    = "../.."
	mutants = "../../internal/sim/testdata/mutants.toml"
)

func TestCommands(t *testing.T) {
	all := regexp.MustCompile(`all traces (\w+)`)
	one, err := runProgram("run", "--seeds", "0..19", "--jobs", "1")
	four, err4 := runProgram("run", "--seeds", "0..19", "--jobs", "4")
	if err != nil || err4 != nil || all.FindString(one) == "" || all.FindString(one) != all.FindString(four) {
		t.Errorf("%v, %v:\n%s%s", err, err4, one, four)
	}
	if out, err := runProgram("replay", "--seed", "3", "--trace"); err != nil || strings.Count(out, "\n") < 50 {
		t.Errorf("%v: %s", err, out)
	}
	// there is nothing to shrink
	if out, err := runProgram("shrink", "--seed", "3"); err != nil || strings.Contains(out, "[[case]]") {
		t.Errorf("%v: %s", err, out)
	}
	if out, err := runProgram("corpus", "--file", "../../internal/sim/testdata/corpus.toml"); err != nil ||
		!strings.Contains(out, "seed ") {
		t.Errorf("%v: %s", err, out)
	}
	if out, err := runProgram("--help"); err != nil || !strings.Contains(out, "mutants") {
		t.Errorf("%v: %s", err, out)
	}
	for _, bad := range [][]string{nil, {"walk"}, {"run", "--seeds", "5"}, {"run", "--seeds", "9..3"},
		{"run", "--jobs", "0"}, {"run", "more"}, {"replay"},
		{"corpus", "--file", "none"}, {"mutants", "--file", "none"},
		{"mutants", "--root", root, "--file", mutants, "--jobs", "0"}} {
		if out, err := runProgram(bad...); err == nil || errors.Is(err, errRuleBroken) {
			t.Errorf("%q: %v %s", bad, err, out)
		}
	}
}

// The text that each planted bug replaces is in its file just once, and all bugs differ.
func TestPlantedBugsFit(t *testing.T) {
	list, err := readMutants(mutants)
	if err != nil || len(list) < 20 {
		t.Fatalf("%d planted bugs, %v", len(list), err)
	}
	names := map[string]bool{}
	for _, m := range list {
		if _, err := m.apply(root); err != nil {
			t.Error(err)
		}
		if names[m.Name] || m.Rule == "" || len(m.Edit) == 0 {
			t.Errorf("%+v", m)
		}
		names[m.Name] = true
		for _, e := range m.Edit {
			if strings.HasPrefix(e.File, "internal/sim") || strings.HasPrefix(e.File, "cmd/") ||
				strings.HasSuffix(e.File, "_test.go") {
				t.Errorf("%s is planted in %s, which does not ship", m.Name, e.File)
			}
		}
	}
}

// A planted bug is built and caught, by the rule that its list names. An edit without effect is not
// caught, and one that does not build is an error.
func TestMutants(t *testing.T) {
	if testing.Short() {
		t.Skip("it builds programs")
	}
	out, err := runProgram("mutants", "--root", root, "--file", mutants, "--only", "a connection more than may be",
		"--seeds", "0..50")
	if err != nil || !strings.Contains(out, "| everything has its bound |") || !strings.Contains(out, "1 of 1 caught") {
		t.Errorf("%v: %s", err, out)
	}
	own := filepath.Join(t.TempDir(), "m.toml")
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
	if err := os.WriteFile(own, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err = runProgram("mutants", "--root", root, "--file", own, "--seeds", "0..3")
	if !errors.Is(err, errRuleBroken) || !strings.Contains(out, "| nothing | NOT CAUGHT |") ||
		!strings.Contains(out, "no program | FAILED") ||
		!strings.Contains(out, "0 of 2 caught") {
		t.Errorf("%v: %s", err, out)
	}
	if err := os.WriteFile(own, []byte("[[mutant]]\nnam = 'x'\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := runProgram("mutants", "--file", own); err == nil || !strings.Contains(err.Error(), "nam") {
		t.Error(err)
	}
}
