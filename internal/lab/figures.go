package lab

import (
	"pumicecroft/internal/emulator"
)

// Figure is one thing that is measured of a run.
type Figure struct {
	Name           string
	HigherIsBetter bool // is better
	Description    string
	value          func(r *emulator.Result) float64
}

// share is a part of a whole; of nothing it is 0.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

func quantile(q float64) func(r *emulator.Result) float64 {
	return func(r *emulator.Result) float64 { return float64(r.Latency.ValueAtQuantile(q)) / 1e3 }
}

func perCall(n func(c *emulator.Counts) int) func(r *emulator.Result) float64 {
	return func(r *emulator.Result) float64 { return ratio(float64(n(&r.Counts)), float64(r.Offered)) }
}

func perAttempt(n func(c *emulator.Counts) int) func(r *emulator.Result) float64 {
	return func(r *emulator.Result) float64 { return ratio(float64(n(&r.Counts)), float64(r.Attempts)) }
}

// Figures are all that a run is measured by.
var Figures = []Figure{
	{"worth", true, "the served share of the worth that clients offered, by aims", func(r *emulator.Result) float64 { return ratio(r.WeightServed, r.WeightOffered) }},
	{"net", true, "the same less what was sent on beyond customers' quotas, by the plans' word on what that is worth", func(r *emulator.Result) float64 { return ratio(r.WeightServed-r.WeightOverQuota, r.WeightOffered) }},
	{"served", true, "calls served, of all", perCall(func(c *emulator.Counts) int { return c.Served })},
	{"in_aim", true, "calls served within their aim, of all", perCall(func(c *emulator.Counts) int { return c.InObjective })},
	{"refused", false, "calls given up after a refusal, of all", perCall(func(c *emulator.Counts) int { return c.Rejected })},
	{"failed", false, "calls that ended without knowing, of all", perCall(func(c *emulator.Counts) int { return c.Failed })},
	{"p50_ms", false, "median latency of served calls, over all their tries", quantile(50)},
	{"p99_ms", false, "99th percentile of it", quantile(99)},
	{"p999_ms", false, "99.9th percentile of it", quantile(99.9)},
	{"attempts", false, "attempts for a try that went on", func(r *emulator.Result) float64 { return ratio(float64(r.Attempts), float64(r.Tries)) }},
	{"cold", false, "attempts that came to a cold backend, of all", perAttempt(func(c *emulator.Counts) int { return c.ToWarming })},
	{"draining", false, "attempts that came to a backend later than the grace after it was to drain, of all", perAttempt(func(c *emulator.Counts) int { return c.ToDraining })},
	{"doubled", false, "effects that happened again", func(r *emulator.Result) float64 { return float64(r.RepeatedEffects) }},
	{"falls", false, "cold backends that were sent so much that they fell", func(r *emulator.Result) float64 { return float64(r.Overloads) }},
	{"over", false, "units sent on beyond their customers' quotas, of all", func(r *emulator.Result) float64 { return ratio(r.CostOverQuota, r.Cost) }},
	{"overshoot", false, "the most units that a customer was beyond its ceiling and the slack", func(r *emulator.Result) float64 { return r.MaxOvershoot }},
	{"calls", false, "calls of the shared counter for a try that went on", func(r *emulator.Result) float64 { return ratio(float64(r.CounterCalls), float64(r.Tries)) }},
	{"calls_lost", false, "calls of the counter that were turned away or had no answer in time, of all", func(r *emulator.Result) float64 { return ratio(float64(r.CounterCallsLost), float64(r.CounterCalls)) }},
	{"jain", true, "Jain's fairness of the served share, over customers with 5 calls or more", func(r *emulator.Result) float64 { return r.JainIndex }},
}

// usualFigures are shown first where an experiment names none.
var defaultFigures = []string{"worth", "net", "served", "refused", "failed", "p50_ms", "p99_ms", "attempts"}

// FigureOf gives the figure of a name, or nil.
func FigureByName(name string) *Figure {
	for i := range Figures {
		if Figures[i].Name == name {
			return &Figures[i]
		}
	}
	return nil
}

// FigureNames are all names, in their order.
func FigureNames() (names []string) {
	for _, f := range Figures {
		names = append(names, f.Name)
	}
	return names
}
