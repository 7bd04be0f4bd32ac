package load

import (
	"testing"
	"time"
)

// The renaming of a Go field must not change the keys of the result file, as scripts read it, also results of earlier
// versions. Unlike TestKeysOfResultFile, this test calls Result.JSON, which indents the file.
func TestResultFileKeepsItsKeys(t *testing.T) {
	summary := LatencySummary{
		Count: 1, Beyond: 2, Mean: 3, P50: 4, P90: 5, P99: 6, P999: 7, Max: 8, Histogram: []byte("h"),
	}
	r := &Result{
		Plan: "desk", Target: "127.0.0.1:1", Seed: 9, Duration: time.Second, Partial: true, Scheduled: 10, Dropped: 11,
		Retries: 12, Good: 13, Bytes: 14, Outcomes: map[string]int{"200": 15},
		Kinds: map[string]*LatencySummary{"look": &summary}, All: LatencySummary{Count: 16},
		Served: LatencySummary{Count: 17}, LagP99: 18, Invalid: "late",
	}
	const want = `{
  "Plan": "desk",
  "Target": "127.0.0.1:1",
  "Seed": 9,
  "Took": 1000000000,
  "Partial": true,
  "Asked": 10,
  "Lost": 11,
  "Retries": 12,
  "Good": 13,
  "Bytes": 14,
  "By": {
    "200": 15
  },
  "Kinds": {
    "look": {
      "Count": 1,
      "Beyond": 2,
      "Mean": 3,
      "P50": 4,
      "P90": 5,
      "P99": 6,
      "P999": 7,
      "Max": 8,
      "Histogram": "aA=="
    }
  },
  "All": {
    "Count": 16,
    "Beyond": 0,
    "Mean": 0,
    "P50": 0,
    "P90": 0,
    "P99": 0,
    "P999": 0,
    "Max": 0,
    "Histogram": null
  },
  "Served": {
    "Count": 17,
    "Beyond": 0,
    "Mean": 0,
    "P50": 0,
    "P90": 0,
    "P99": 0,
    "P999": 0,
    "Max": 0,
    "Histogram": null
  },
  "LagP99": 18,
  "Invalid": "late"
}
`
	if got, err := r.JSON(); err != nil || string(got) != want {
		t.Errorf("got %s, %v\nwant %s", got, err, want)
	}
}
