// Package readings reads what backends tell beside their answers: a customer's use and their own load, in the platform's
// forms, over whatever protocol. What makes no sense says nothing. It is pure.
package readings

import (
	"strconv"
	"strings"
)

const (
	maxUse  = 10_000 // percent; a figure over it is no customer's use
	maxLoad = 1e300  // over any figure that a report could hold
)

// Reader reads reports of the columns that it was made for. It is safe for concurrent use.
type Reader struct{ columns []string }

// columnNames are the header's names for the settings' load figures.
var columnNames = map[string]string{"concurrent": "inflight", "depth": "queue", "load_share": "util",
	"mean_ms": "latency_ms", "tps": "qps", "err_ps": "eps"}

// New makes one for the settings' names of load figures; none: there are no load reports.
func New(loadColumns []string) Reader {
	var r Reader
	for _, name := range loadColumns {
		if short, ok := columnNames[name]; ok {
			name = short
		}
		r.columns = append(r.columns, name)
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
	found := 0
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		for i, column := range r.columns {
			if name == column {
				v, err := strconv.ParseFloat(value, 64)
				if err != nil || !(v >= 0) || v > maxLoad {
					return nil
				}
				load[i] = v
				found++
			}
		}
	}
	if found != len(load) {
		return nil
	}
	return load
}
