package backoff

import (
	"math"
	"testing"
	"time"
)

func TestExponential(t *testing.T) {
	for name, c := range map[string]struct {
		backoff Exponential
		want    []time.Duration // index: number of failures before
	}{
		"doubles up to the limit":       {Exponential{Initial: 1, Max: 9}, []time.Duration{1, 2, 4, 8, 9, 9}},
		"limit reached exactly":         {Exponential{Initial: 2, Max: 8}, []time.Duration{2, 4, 8, 8}},
		"initial delay above the limit": {Exponential{Initial: 5, Max: 3}, []time.Duration{3, 3}},
		"no initial delay":              {Exponential{Max: 3}, []time.Duration{0, 0, 0}},
		"no overflow": {Exponential{Initial: math.MaxInt64/2 + 1, Max: math.MaxInt64},
			[]time.Duration{math.MaxInt64/2 + 1, math.MaxInt64, math.MaxInt64}},
	} {
		t.Run(name, func(t *testing.T) {
			previous := time.Duration(0)
			for failures, want := range c.want {
				if got := c.backoff.Delay(failures); got != want {
					t.Errorf("Delay(%d) = %v, want %v", failures, got, want)
				}
				if previous = c.backoff.Next(previous); previous != want {
					t.Errorf("Next after %d failures = %v, want %v", failures, previous, want)
				}
			}
			if got, want := c.backoff.Delay(math.MaxInt), c.want[len(c.want)-1]; c.backoff.Initial > 0 && got != want {
				t.Errorf("Delay after very many failures = %v, want %v", got, want)
			}
		})
	}
}
