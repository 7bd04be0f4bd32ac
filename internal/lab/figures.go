package lab

import (
	"pumicecroft/internal/emulator"
)

// Figure is one measure of a run. Its name is part of reports and stored rows, its description part of reports.
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

// perCall returns a figure that divides a count by the number of calls.
func perCall(count func(c *emulator.Counts) int) func(r *emulator.Result) float64 {
	return func(r *emulator.Result) float64 { return ratio(float64(count(&r.Counts)), float64(r.Offered)) }
}

// perAttempt returns a figure that divides a count by the number of attempts.
func perAttempt(count func(c *emulator.Counts) int) func(r *emulator.Result) float64 {
	return func(r *emulator.Result) float64 { return ratio(float64(count(&r.Counts)), float64(r.Attempts)) }
}

// Figures are all measures of a run.
var Figures = []Figure{
	{
		Name: "worth", HigherIsBetter: true,
		Description: "served share of the offered worth (priority times price times cost); calls served later than " +
			"their latency objective count less",
		value: func(r *emulator.Result) float64 {
			return ratio(r.WeightServed, r.WeightOffered)
		},
	},
	{
		Name: "net", HigherIsBetter: true,
		Description: "worth minus the value of what was forwarded beyond customers' quotas, as the plans " +
			"define it",
		value: func(r *emulator.Result) float64 {
			return ratio(r.WeightServed-r.WeightOverQuota, r.WeightOffered)
		},
	},
	{
		Name: "served", HigherIsBetter: true,
		Description: "share of calls that were served",
		value:       perCall(func(c *emulator.Counts) int { return c.Served }),
	},
	{
		Name: "in_aim", HigherIsBetter: true,
		Description: "share of calls that were served within their latency objective",
		value:       perCall(func(c *emulator.Counts) int { return c.InObjective }),
	},
	{
		Name:        "refused",
		Description: "share of calls that clients gave up after a rejection",
		value:       perCall(func(c *emulator.Counts) int { return c.Rejected }),
	},
	{
		Name: "failed",
		Description: "share of calls that clients gave up after a failure, " +
			"without knowing whether the request was executed",
		value: perCall(func(c *emulator.Counts) int { return c.Failed }),
	},
	{
		Name:        "p50_ms",
		Description: "median latency of served calls in milliseconds, over all their tries",
		value:       quantile(50),
	},
	{
		Name:        "p99_ms",
		Description: "99th percentile of the latency",
		value:       quantile(99),
	},
	{
		Name:        "p999_ms",
		Description: "99.9th percentile of the latency",
		value:       quantile(99.9),
	},
	{
		Name:        "attempts",
		Description: "attempts per forwarded try",
		value: func(r *emulator.Result) float64 {
			return ratio(float64(r.Attempts), float64(r.Tries))
		},
	},
	{
		Name:        "cold",
		Description: "share of attempts that reached a backend during its warm-up",
		value:       perAttempt(func(c *emulator.Counts) int { return c.ToWarming }),
	},
	{
		Name:        "draining",
		Description: "share of attempts that reached a draining backend after the drain grace",
		value:       perAttempt(func(c *emulator.Counts) int { return c.ToDraining }),
	},
	{
		Name:        "doubled",
		Description: "number of repeated effects of requests that are not idempotent",
		value: func(r *emulator.Result) float64 {
			return float64(r.RepeatedEffects)
		},
	},
	{
		Name:        "falls",
		Description: "number of restarts of backends that were overloaded during their warm-up",
		value: func(r *emulator.Result) float64 {
			return float64(r.Overloads)
		},
	},
	{
		Name:        "over",
		Description: "share of the forwarded cost that was beyond customers' quotas",
		value: func(r *emulator.Result) float64 {
			return ratio(r.CostOverQuota, r.Cost)
		},
	},
	{
		Name:        "overshoot",
		Description: "highest cost of a customer beyond its hard limit and overdraft",
		value: func(r *emulator.Result) float64 {
			return r.MaxOvershoot
		},
	},
	{
		Name:        "calls",
		Description: "calls of the shared counter per forwarded try",
		value: func(r *emulator.Result) float64 {
			return ratio(float64(r.CounterCalls), float64(r.Tries))
		},
	},
	{
		Name:        "calls_lost",
		Description: "share of calls of the shared counter that were rejected or had no response in time",
		value: func(r *emulator.Result) float64 {
			return ratio(float64(r.CounterCallsLost), float64(r.CounterCalls))
		},
	},
	{
		Name: "jain", HigherIsBetter: true,
		Description: "Jain's fairness index of the served share, over customers with 5 calls or more",
		value: func(r *emulator.Result) float64 {
			return r.JainIndex
		},
	},
}

// defaultFigures are shown if an experiment names no figures.
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
