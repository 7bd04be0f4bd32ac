package sim

import "slices"

// Shrink takes faults out of a failing run's script, and shortens those left, as long as the same
// rule breaks. It gives the run of the smallest script that it found; a run without a violation it
// gives as it is.
func Shrink(result Result, options Options) Result {
	if len(result.Violations) == 0 {
		return result
	}
	return shrink(result, func(script Script) Result {
		options.Script = &script
		return Run(result.Seed, options)
	})
}

// shrink is Shrink with a function that runs a script.
func shrink(result Result, run func(Script) Result) Result {
	rule, best := result.Violations[0].Rule, result
	reproduces := func(candidate Script) bool {
		attempt := run(candidate)
		if len(attempt.Violations) == 0 || attempt.Violations[0].Rule != rule {
			return false
		}
		best = attempt
		return true
	}
	for i := range best.Script {
		for range 4 {
			candidate := slices.Clone(best.Script)
			candidate[i].Duration /= 2
			if !reproduces(candidate) {
				break
			}
		}
	}
	for size := max(1, len(best.Script)/2); size >= 1; {
		removed := false
		for i := 0; i < len(best.Script); {
			if reproduces(slices.Delete(slices.Clone(best.Script), i, min(i+size, len(best.Script)))) {
				removed = true
			} else {
				i += size
			}
		}
		if size > 1 || !removed { // at the end no single fault can be taken out
			size /= 2
		}
	}
	return best
}
