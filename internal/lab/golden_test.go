package lab

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"pumicecroft/internal/emulator"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// goldenRow returns a row with a different value in each field.
func goldenRow(t *testing.T) *Row {
	t.Helper()
	res := emulator.Result{
		Latency: hdrhistogram.New(1, 600_000_000, 3), OutOfRange: 101, JainIndex: 0.8125, Events: 102, Shards: 3,
		Counts: emulator.Counts{
			Offered: 1001, Served: 902, InObjective: 803, Rejected: 64, Failed: 35,
			WeightOffered: 2002.5, WeightServed: 1753.25, Tries: 1106, Attempts: 1207,
			ToWarming: 48, ToDraining: 9, RepeatedEffects: 10, Overloads: 11,
			CounterCalls: 412, CounterCallsLost: 113, Cost: 1514.5, CostOverQuota: 215.25,
			WeightOverQuota: 116.125, MaxOvershoot: 17.0625, PeriodsOverHardLimit: 18,
		},
		Seconds: []emulator.Second{
			{Offered: 501, Served: 452, Rejected: 33, Failed: 16, WeightOffered: 1000.5, WeightServed: 877.25},
			{Offered: 500, Served: 450, Rejected: 31, Failed: 19, WeightOffered: 1002, WeightServed: 876},
		},
	}
	for i := range int64(902) {
		if err := res.Latency.RecordValue(500 + i*i); err != nil {
			t.Fatal(err)
		}
	}
	row := &Row{
		Experiment: "0123456789abcdef", Build: "fedcba9876543210", Cell: []string{"module", "a zone is lost"},
		Repetition: 7, Seed: 1<<63 + 11, FailureReason: "as a test has it",
	}
	if err := row.setResult(&res); err != nil {
		t.Fatal(err)
	}
	return row
}

// Results are read by later builds than the one that wrote them. The row of an earlier build must be read completely,
// and written again with the same bytes, so that no stored field is renamed or lost.
func TestReadRow_EarlierBuild(t *testing.T) {
	files, err := filepath.Glob("testdata/row/runs/*" + suffix)
	if err != nil || len(files) != 1 {
		t.Fatalf("got files %v, error %v, want 1 file", files, err)
	}
	got, err := readRow(files[0])
	if err != nil {
		t.Fatal(err)
	}
	want := goldenRow(t)
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got\n%+v, want\n%+v", got, want)
	}
	row := reflect.ValueOf(*got)
	for _, v := range []reflect.Value{row, reflect.ValueOf(got.Counts), reflect.ValueOf(got.Seconds[0])} {
		for i := range v.NumField() {
			if v.Field(i).IsZero() {
				t.Errorf("%v: field %s is zero, want a value", v.Type(), v.Type().Field(i).Name)
			}
		}
	}
	d := &Dir{path: t.TempDir()}
	if err := os.Mkdir(filepath.Join(d.path, "runs"), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := d.Save(got); err != nil {
		t.Fatal(err)
	}
	before, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	after, err := os.ReadFile(filepath.Join(d.path, "runs", got.name()))
	if err != nil || !bytes.Equal(before, after) {
		t.Errorf("error %v, rewritten row is\n%s, want\n%s", err, after, before)
	}
}
