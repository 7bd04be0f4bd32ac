package loadreport

import (
	"slices"
	"testing"
)

// Backends name the figures of a report as the settings do, or as the protocol's example does.
func TestReportsByEitherName(t *testing.T) {
	for _, c := range []struct {
		columns []string
		text    string
		want    []float64
	}{
		{[]string{"depth", "tps"}, "depth=2,tps=4.779", []float64{2, 4.779}},
		{[]string{"depth", "tps"}, "queue=2,qps=4.779", []float64{2, 4.779}},
		{[]string{"depth", "tps"}, "tps=3, depth=0", []float64{0, 3}},
		{[]string{"concurrent", "load_share", "mean_ms", "err_ps"}, "concurrent=1,load_share=0.5,mean_ms=7,err_ps=0", []float64{1, 0.5, 7, 0}},
		{[]string{"inflight"}, "inflight=7", []float64{7}},
		{[]string{"depth", "tps"}, "depth=2", nil},
		{[]string{"depth", "tps"}, "depth=2,tps=-1", nil},
		{[]string{"depth", "tps"}, "depth=2,queue=2", nil}, // twice the same, and not the other
		{[]string{"depth"}, "=2", nil},
		{nil, "depth=2", nil},
	} {
		if got := New(c.columns).Load(c.text); !slices.Equal(got, c.want) {
			t.Errorf("%v reads %q as %v, want %v", c.columns, c.text, got, c.want)
		}
	}
}
