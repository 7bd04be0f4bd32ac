// Package loadreport reads what backends tell beside their answers: a customer's use and their own load, in the platform's
// forms, over whatever protocol. What makes no sense says nothing. It is pure.
package loadreport

import (
	"slices"
	"strconv"
	"strings"
)

const (
	maxUse  = 10_000 // percent; a figure over it is no customer's use
	maxLoad = 1e300  // over any figure that a report could hold
)

// Reader reads reports of the columns that it was made for. It is safe for concurrent use.
type Reader struct{ columns, other []string }

// columnNames are the names that the protocol page's example has for the settings' load figures. Backends may use either.
var columnNames = map[string]string{"concurrent": "inflight", "depth": "queue", "load_share": "util",
	"mean_ms": "latency_ms", "tps": "qps", "err_ps": "eps"}

// New makes one for the settings' names of load figures; none: there are no load reports.
func New(loadColumns []string) Reader {
	var r Reader
	for _, name := range loadColumns {
		r.columns, r.other = append(r.columns, name), append(r.other, columnNames[name])
	}
	return r
}

// HasLoad tells whether there are load reports.
func (r Reader) HasLoad() bool { return len(r.columns) > 0 }

// Use reads a customer's use, in percent of its rate.
func (r Reader) Use(text string) (percent float64, ok bool) {
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil && v >= 0 && v <= maxUse
}

// Load reads a report such as "queue=2,qps=31"; nil if it does not hold all that the settings name.
func (r Reader) Load(text string) []float64 {
	if text == "" || len(r.columns) == 0 {
		return nil
	}
	load := make([]float64, len(r.columns))
	for i := range load {
		load[i] = -1 // none yet
	}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		for i, column := range r.columns {
			if name == column || name == r.other[i] && name != "" {
				v, err := strconv.ParseFloat(value, 64)
				if err != nil || !(v >= 0) || v > maxLoad || load[i] >= 0 {
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
