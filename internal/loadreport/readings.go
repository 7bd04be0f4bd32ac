// Package loadreport parses what backends report along with their responses, in the platform's formats
// and independent of the protocol: a customer's usage of its rate and the backend's own load. Invalid
// reports are ignored. The package is pure.
package loadreport

import (
	"slices"
	"strconv"
	"strings"
)

const (
	maxUsagePercent = 10_000 // a higher usage is implausible and ignored
	maxLoadValue    = 1e300  // above any plausible value; a report with a higher one is ignored
)

// Parser parses reports with a given set of load columns. It is safe for concurrent use.
type Parser struct{ columns, aliases []string }

// columnAliases maps the column names of the settings to those of the example on the protocol page.
// Backends may use either.
var columnAliases = map[string]string{"concurrent": "inflight", "depth": "queue", "load_share": "util",
	"mean_ms": "latency_ms", "tps": "qps", "err_ps": "eps"}

// New returns a Parser for the load columns that the settings name. Without columns, there are no load
// reports.
func New(loadColumns []string) Parser {
	var p Parser
	for _, name := range loadColumns {
		p.columns, p.aliases = append(p.columns, name), append(p.aliases, columnAliases[name])
	}
	return p
}

// HasLoad reports whether the settings name load columns.
func (p Parser) HasLoad() bool { return len(p.columns) > 0 }

// ParseUsage parses a customer's usage, in percent of its rate.
func (p Parser) ParseUsage(text string) (percent float64, ok bool) {
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil && v >= 0 && v <= maxUsagePercent
}

// ParseLoad parses a load report such as "queue=2,qps=31". It returns the values in the order of the
// columns, or nil if the report is invalid or lacks a column.
func (p Parser) ParseLoad(text string) []float64 {
	if text == "" || len(p.columns) == 0 {
		return nil
	}
	load := make([]float64, len(p.columns))
	for i := range load {
		load[i] = -1 // not read yet
	}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		for i, column := range p.columns {
			if name == column || name == p.aliases[i] && name != "" {
				v, err := strconv.ParseFloat(value, 64)
				if err != nil || !(v >= 0) || v > maxLoadValue || load[i] >= 0 {
					return nil
				}
				load[i] = v
			}
		}
	}
	if slices.Contains(load, -1) {
		return nil
	}
	return load
}
