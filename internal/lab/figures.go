package lab

import (
	"pumicecroft/internal/emulator"
)

// Figure is one measure of a run. Its name and description are part of reports and stored rows.
type Figure struct {
	Name           string
	HigherIsBetter bool
	Description    string
	value          func(r *emulator.Result) float64
}

// ratio returns part / whole, or 0 if whole is 0.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// quantile returns a quantile of the latency, in milliseconds.
func quantile(q float64) func(r *emulator.Result) float64 {
	return func(r *emulator.Result) float64 { return float64(r.Latency.ValueAtQuantile(q)) / 1e3 }
}

// perCall returns a count divided by that of all calls.
func perCall(count func(c *emulator.Counts) int) func(r *emulator.Result) float64 {
	return func(r *emulator.Result) float64 { return ratio(float64(count(&r.Counts)), float64(r.Offered)) }
}

// perAttempt returns a count divided by that of all attempts.
func perAttempt(count func(c *emulator.Counts) int) func(r *emulator.Result) float64 {
	return func(r *emulator.Result) float64 { return ratio(float64(count(&r.Counts)), float64(r.Attempts)) }
}

// Figures are all measures of a run.
var Figures = []Figure{
	{
		Name: "worth", HigherIsBetter: true,
		Description: "the served share of the worth that clients offered, by aims",
		value: func(r *emulator.Result) float64 {
			return ratio(r.WeightServed, r.WeightOffered)
		},
	},
	{
		Name: "net", HigherIsBetter: true,
		Description: "the same less what was sent on beyond customers' quotas, by the plans' word on " +
			"what that is worth",
		value: func(r *emulator.Result) float64 {
			return ratio(r.WeightServed-r.WeightOverQuota, r.WeightOffered)
		},
	},
	{
		Name: "served", HigherIsBetter: true,
		Description: "calls served, of all",
		value:       perCall(func(c *emulator.Counts) int { return c.Served }),
	},
	{
		Name: "in_aim", HigherIsBetter: true,
		Description: "calls served within their aim, of all",
		value:       perCall(func(c *emulator.Counts) int { return c.InObjective }),
	},
	{
		Name:        "refused",
		Description: "calls given up after a refusal, of all",
		value:       perCall(func(c *emulator.Counts) int { return c.Rejected }),
	},
	{
		Name:        "failed",
		Description: "calls that ended without knowing, of all",
		value:       perCall(func(c *emulator.Counts) int { return c.Failed }),
	},
	{
		Name:        "p50_ms",
		Description: "median latency of served calls, over all their tries",
		value:       quantile(50),
	},
	{
		Name:        "p99_ms",
		Description: "99th percentile of it",
		value:       quantile(99),
	},
	{
		Name:        "p999_ms",
		Description: "99.9th percentile of it",
		value:       quantile(99.9),
	},
	{
		Name:        "attempts",
		Description: "attempts for a try that went on",
		value: func(r *emulator.Result) float64 {
			return ratio(float64(r.Attempts), float64(r.Tries))
		},
	},
	{
		Name:        "cold",
		Description: "attempts that came to a cold backend, of all",
		value:       perAttempt(func(c *emulator.Counts) int { return c.ToWarming }),
	},
	{
		Name:        "draining",
		Description: "attempts that came to a backend later than the grace after it was to drain, of all",
		value:       perAttempt(func(c *emulator.Counts) int { return c.ToDraining }),
	},
	{
		Name:        "doubled",
		Description: "effects that happened again",
		value: func(r *emulator.Result) float64 {
			return float64(r.RepeatedEffects)
		},
	},
	{
		Name:        "falls",
		Description: "cold backends that were sent so much that they fell",
		value: func(r *emulator.Result) float64 {
			return float64(r.Overloads)
		},
	},
	{
		Name:        "over",
		Description: "units sent on beyond their customers' quotas, of all",
		value: func(r *emulator.Result) float64 {
			return ratio(r.CostOverQuota, r.Cost)
		},
	},
	{
		Name:        "overshoot",
		Description: "the most units that a customer was beyond its ceiling and the slack",
		value: func(r *emulator.Result) float64 {
			return r.MaxOvershoot
		},
	},
	{
		Name:        "calls",
		Description: "calls of the shared counter for a try that went on",
		value: func(r *emulator.Result) float64 {
			return ratio(float64(r.CounterCalls), float64(r.Tries))
		},
	},
	{
		Name:        "calls_lost",
		Description: "calls of the counter that were turned away or had no answer in time, of all",
		value: func(r *emulator.Result) float64 {
			return ratio(float64(r.CounterCallsLost), float64(r.CounterCalls))
		},
	},
	{
		Name: "jain", HigherIsBetter: true,
		Description: "Jain's fairness of the served share, over customers with 5 calls or more",
		value: func(r *emulator.Result) float64 {
			return r.JainIndex
		},
	},
}

// defaultFigures are shown where an experiment names none.
var defaultFigures = []string{"worth", "net", "served", "refused", "failed", "p50_ms", "p99_ms", "attempts"}

// FigureByName returns the figure with a name, or nil.
func FigureByName(name string) *Figure {
	for i := range Figures {
		if Figures[i].Name == name {
			return &Figures[i]
		}
	}
	return nil
}

// FigureNames returns the names of all figures, in the order of Figures.
func FigureNames() (names []string) {
	for _, f := range Figures {
		names = append(names, f.Name)
	}
	return names
}
