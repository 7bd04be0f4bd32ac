package sim

import "slices"

// Shrink minimizes the script of a failing run: it removes faults and shortens the others as long as
// the same rule is broken. It returns the run with the smallest script found. A run without a violation
// is returned unchanged.
func Shrink(result Result, options Options) Result {
	if len(result.Violations) == 0 {
		return result
	}
	return shrink(result, func(script Script) Result {
		options.Script = &script
		return Run(result.Seed, options)
	})
}

// shrink implements Shrink with a function that runs a script.
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
		if size > 1 || !removed { // repeat with size 1 until no single fault can be removed
			size /= 2
		}
	}
	return best
}
