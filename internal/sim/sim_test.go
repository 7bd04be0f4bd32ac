package sim

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// seedsInCI are the seeds that CI runs, always the same.
const seedsInCI = 250

// No seed of a fixed share breaks a rule, and between them they meet every kind of fault and every end of a request.
func TestSeeds(t *testing.T) {
	var met [kinds]int
	served, refused, failed, lost := 0, 0, 0, 0
	for seed := range uint64(seedsInCI) {
		res := Run(seed, Options{})
		for _, v := range res.Violations {
			t.Errorf("seed %d: %v\n%v", seed, v, Shrink(res, Options{}).Script)
		}
		for _, f := range res.Script {
			met[f.Kind]++
		}
		served, refused, failed, lost = served+res.Served, refused+res.Refused, failed+res.Failed, lost+res.Lost
	}
	if slices.Contains(met[:], 0) || served == 0 || refused == 0 || failed == 0 || lost == 0 {
		t.Errorf("faults met: %v; served %d, refused %d, failed %d, lost with their doors %d", met, served, refused, failed, lost)
	}
}

// Every planted bug breaks a rule within a few seeds, and the script that shows it shrinks.
func TestPlantedBugs(t *testing.T) {
	want := map[string]string{"drain window of 3 s": "drains are honoured", "cold clock lost": "cold backends are spared",
		"deadlines taken as they come, late": "one final answer", "call-offs forgotten": "everything is given back", "timers lost": "one final answer",
		"a broken attempt counts as never sent": "effects stay single", "keyed repeats anywhere": "effects stay single", "no ceiling": "ceilings hold",
		"a client's leaving ends twice": "one final answer"}
	for _, m := range Mutants {
		t.Run(m, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(400) {
				res := Run(seed, Options{Mutant: m})
				if len(res.Violations) == 0 || res.Violations[0].Rule != want[m] {
					continue
				}
				small := Shrink(res, Options{Mutant: m})
				if len(small.Violations) == 0 || small.Violations[0].Rule != want[m] || len(small.Script) > len(res.Script) {
					t.Errorf("seed %d shrinks to %v with %v", seed, small.Script, small.Violations)
				}
				if plain := Run(seed, Options{Script: &small.Script}); len(plain.Violations) > 0 {
					t.Errorf("seed %d breaks %v without the bug", seed, plain.Violations)
				}
				t.Logf("seed %d, %d faults of %d: %v", seed, len(small.Script), len(res.Script), small.Violations[0])
				return
			}
			t.Errorf("no seed below 400 breaks %q", want[m])
		})
	}
}

// A seed replays exactly: the same trace line by line, and another seed's is another.
func TestReplay(t *testing.T) {
	trace := func(seed uint64) (lines []string, hash uint64) {
		res := Run(seed, Options{Trace: func(l string) { lines = append(lines, l) }})
		return lines, res.Hash
	}
	hashes := map[uint64]bool{}
	for seed := range uint64(20) {
		a, hash := trace(seed)
		b, again := trace(seed)
		if !slices.Equal(a, b) || hash != again || len(a) < 100 {
			t.Errorf("seed %d: %d and %d lines", seed, len(a), len(b))
		}
		if quiet := Run(seed, Options{}).Hash; quiet != hash {
			t.Errorf("seed %d: the trace's being taken changes it", seed)
		}
		hashes[hash] = true
	}
	if len(hashes) != 20 {
		t.Errorf("%d traces of 20 seeds", len(hashes))
	}
}

// Events of one instant come in every order over seeds, each of which replays.
func TestOrdersOfOneInstant(t *testing.T) {
	orders := map[string]int{}
	for seed := range uint64(200) {
		order := func() string {
			w, got := newWorld(seed, nil), ""
			for _, name := range []string{"a", "b", "c"} {
				w.after(time.Second, func() { got += name })
			}
			w.run(start+time.Minute, 100)
			return got
		}
		first := order()
		if again := order(); again != first {
			t.Errorf("seed %d: %s, then %s", seed, first, again)
		}
		orders[first]++
	}
	if len(orders) != 6 {
		t.Errorf("%v", orders)
	}
}

// small is a run of one door for tests of the world itself.
func small(t *testing.T, s Script) (Result, []string) {
	t.Helper()
	var lines []string
	for seed := range uint64(50) { // the first whose shape has one door
		lines = nil
		res := Run(seed, Options{Script: &s, Trace: func(l string) { lines = append(lines, l) }})
		if !slices.ContainsFunc(lines, func(l string) bool { return strings.Contains(l, "door 1") }) {
			if len(res.Violations) > 0 {
				t.Errorf("seed %d: %v", seed, res.Violations)
			}
			return res, lines
		}
	}
	t.Fatal("no seed has one door")
	return Result{}, nil
}

// A door that stands still over deadlines answers what it holds when it goes on, all its timers at once, and what it is then
// asked; nothing is lost, nothing is answered twice.
func TestAPauseOverDeadlines(t *testing.T) {
	res, lines := small(t, Script{{At: time.Second, For: 3 * time.Second, Kind: Pause}})
	if res.Lost > 0 || res.Served == 0 {
		t.Errorf("%+v", res)
	}
	for _, l := range lines {
		if at := strings.TrimSpace(l[:10]); at > "1.0000" && at < "4.0000" && len(at) == 6 && strings.Contains(l, "door 0") {
			t.Errorf("while it stands still: %s", l)
		}
	}
}

// A kill may land between an attempt that is counted and its leaving, and between an answer's coming and its accounting: over
// seeds it does, and no rule breaks.
func TestKillsBetween(t *testing.T) {
	between, after := 0, 0
	for seed := range uint64(150) {
		var s Script
		for at := 500 * time.Millisecond; at < 4*time.Second; at += 700 * time.Millisecond {
			s = append(s, Fault{At: at, For: 300 * time.Millisecond, Kind: KillCounting}, Fault{At: at, For: 300 * time.Millisecond, Kind: KillAnswering})
		}
		res := Run(seed, Options{Script: &s})
		for _, v := range res.Violations {
			t.Errorf("seed %d: %v", seed, v)
		}
		between += res.Counted - res.Left
		after += res.Lost
	}
	if between == 0 || after == 0 {
		t.Errorf("%d attempts were counted and never left, %d requests were lost with their door", between, after)
	}
}

// What a shrunk script keeps is needed: without any one of its faults the rule does not break.
func TestShrink(t *testing.T) {
	for seed := range uint64(100) {
		o := Options{Mutant: "drain window of 3 s"}
		res := Run(seed, o)
		if len(res.Violations) == 0 || len(res.Script) < 5 {
			continue
		}
		got := Shrink(res, o)
		for i := range got.Script {
			s := slices.Delete(slices.Clone(got.Script), i, i+1)
			o.Script = &s
			if again := Run(seed, o); len(again.Violations) > 0 && again.Violations[0].Rule == got.Violations[0].Rule {
				t.Errorf("fault %d of\n%vis not needed", i, got.Script)
			}
		}
		return
	}
	t.Error("no seed to shrink")
}

// A run has an end: a bound on its steps.
func TestABoundOnSteps(t *testing.T) {
	if res := Run(1, Options{Steps: 500}); res.Steps != 500 || len(res.Violations) > 0 {
		t.Errorf("%d steps, %v", res.Steps, res.Violations)
	}
}
