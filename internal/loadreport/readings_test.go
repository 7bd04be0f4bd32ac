package loadreport

import (
	"slices"
	"testing"
)

// Backends may name the columns of a report as the settings do, or as the example on the protocol page does.
func TestParseLoad_AcceptsAliases(t *testing.T) {
	for _, c := range []struct {
		columns []string
		text    string
		want    []float64
	}{
		{[]string{"depth", "tps"}, "depth=2,tps=4.779", []float64{2, 4.779}},
		{[]string{"depth", "tps"}, "queue=2,qps=4.779", []float64{2, 4.779}},
		{[]string{"depth", "tps"}, "tps=3, depth=0", []float64{0, 3}},
		{[]string{"concurrent", "load_share", "mean_ms", "err_ps"}, "concurrent=1,load_share=0.5,mean_ms=7,err_ps=0",
			[]float64{1, 0.5, 7, 0}},
		{[]string{"inflight"}, "inflight=7", []float64{7}},
		{[]string{"depth", "tps"}, "depth=2", nil},
		{[]string{"depth", "tps"}, "depth=2,tps=-1", nil},
		{[]string{"depth", "tps"}, "depth=2,queue=2", nil}, // depth twice, tps missing
		{[]string{"depth"}, "=2", nil},
		{nil, "depth=2", nil},
	} {
		if got := New(c.columns).ParseLoad(c.text); !slices.Equal(got, c.want) {
			t.Errorf("ParseLoad of %q with columns %v returned %v, want %v", c.text, c.columns, got, c.want)
		}
	}
}
