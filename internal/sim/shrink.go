package sim

import "slices"

// Shrink takes faults out of a failing run's script, and shortens those left, as long as the same rule breaks. It gives the
// smallest that it found.
func Shrink(res Result, o Options) Result {
	if len(res.Violations) == 0 {
		return res
	}
	return shrink(res, func(s Script) Result {
		o.Script = &s
		return Run(res.Seed, o)
	})
}

func shrink(res Result, run func(Script) Result) Result {
	rule, best := res.Violations[0].Rule, res
	try := func(s Script) bool {
		got := run(s)
		if len(got.Violations) == 0 || got.Violations[0].Rule != rule {
			return false
		}
		best = got
		return true
	}
	for i := range best.Script {
		for range 4 {
			s := slices.Clone(best.Script)
			s[i].Duration /= 2
			if !try(s) {
				break
			}
		}
	}
	for size := max(1, len(best.Script)/2); size >= 1; {
		took := false
		for i := 0; i < len(best.Script); {
			if try(slices.Delete(slices.Clone(best.Script), i, min(i+size, len(best.Script)))) {
				took = true
			} else {
				i += size
			}
		}
		if size > 1 || !took { // in the end no single one may be left out
			size /= 2
		}
	}
	return best
}
