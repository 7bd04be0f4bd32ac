package main

import (
	"errors"
	"regexp"
	"strings"
	"testing"
)

func TestCommands(t *testing.T) {
	ask := func(args ...string) (string, error) {
		var out strings.Builder
		err := run(args, &out)
		return out.String(), err
	}
	all := regexp.MustCompile(`all traces (\w+)`)
	one, err := ask("run", "-seeds", "0..19", "-jobs", "1")
	four, err4 := ask("run", "-seeds", "0..19", "-jobs", "4")
	if err != nil || err4 != nil || all.FindString(one) == "" || all.FindString(one) != all.FindString(four) {
		t.Errorf("%v, %v:\n%s%s", err, err4, one, four)
	}
	out, err := ask("run", "-seeds", "0..19", "-mutant", "no ceiling")
	broke := regexp.MustCompile(`BROKEN ceilings hold: \d+ seeds, \[(\d+)`).FindStringSubmatch(out)
	if !errors.Is(err, errBroken) || broke == nil {
		t.Fatalf("%v: %s", err, out)
	}
	if out, err := ask("replay", "-seed", broke[1], "-trace", "-mutant", "no ceiling"); !errors.Is(err, errBroken) || strings.Count(out, "\n") < 100 {
		t.Errorf("%v: %s", err, out)
	}
	if out, err := ask("shrink", "-seed", broke[1], "-mutant", "no ceiling"); !errors.Is(err, errBroken) || !strings.Contains(out, "BROKEN ceilings hold") {
		t.Errorf("%v: %s", err, out)
	}
	if out, err := ask("mutants"); err != nil || !strings.Contains(out, "drain window of 3 s\n") {
		t.Errorf("%v: %s", err, out)
	}
	for _, bad := range [][]string{nil, {"walk"}, {"run", "-seeds", "5"}, {"run", "-seeds", "9..3"}, {"run", "-jobs", "0"}, {"run", "-mutant", "none"}, {"run", "more"}} {
		if out, err := ask(bad...); err == nil || errors.Is(err, errBroken) {
			t.Errorf("%q: %v %s", bad, err, out)
		}
	}
}
