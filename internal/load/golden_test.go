package load

import (
	"encoding/json"
	"testing"
	"time"
)

// The renaming of a Go field must not change the keys of the result file, as scripts read it.
func TestKeysOfResultFile(t *testing.T) {
	summary := func(n time.Duration) LatencySummary {
		return LatencySummary{
			Count: int64(n), Beyond: int64(n + 1), Mean: n + 2, P50: n + 3, P90: n + 4, P99: n + 5, P999: n + 6,
			Max: n + 7, Histogram: []byte{byte(n), 8},
		}
	}
	kind := summary(10)
	r := &Result{
		Plan: "plan", Target: "target", Seed: 1, Duration: 2, Partial: true, Scheduled: 3, Dropped: 4, Retries: 5,
		Good: 6, Bytes: 7, Outcomes: map[string]int{"200": 8}, Kinds: map[string]*LatencySummary{"kind": &kind},
		All: summary(20), Served: summary(30), LagP99: 9, Invalid: "why",
	}
	got, err := json.Marshal(r)
	want := `{"Plan":"plan","Target":"target","Seed":1,"Took":2,"Partial":true,"Asked":3,"Lost":4,` +
		`"Retries":5,"Good":6,"Bytes":7,"By":{"200":8},` +
		`"Kinds":{"kind":{"Count":10,"Beyond":11,"Mean":12,` +
		`"P50":13,"P90":14,"P99":15,"P999":16,"Max":17,"Histogram":"Cgg="}},` +
		`"All":{"Count":20,"Beyond":21,"Mean":22,"P50":23,"P90":24,"P99":25,"P999":26,"Max":27,"Histogram":"FAg="},` +
		`"Served":{"Count":30,"Beyond":31,"Mean":32,"P50":33,"P90":34,"P99":35,"P999":36,"Max":37,"Histogram":"Hgg="},` +
		`"LagP99":9,"Invalid":"why"}`
	if err != nil || string(got) != want {
		t.Errorf("got %s, %v\nwant %s", got, err, want)
	}
}
