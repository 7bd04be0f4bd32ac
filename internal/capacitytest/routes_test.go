package capacitytest

import (
	"fmt"
	"testing"
	"time"

	"pumicecroft/routes"
)

// Measures route tables with an increasing number of routes. The lookup time of a request must not grow with that
// number.
func TestRoutes(t *testing.T) {
	var smallest time.Duration // lookup time in the smallest table
	for _, n := range sizesFor(t, []int{24, 2400}, []int{24, 240, 2400, 24_000}) {
		rules := make([]routes.Rule[int], n)
		for i := range rules {
			rules[i] = routes.Rule[int]{Name: fmt.Sprint("route-", i), Line: i + 1, Host: fmt.Sprintf("h%d.example.org", i%2300),
				Path: fmt.Sprintf("/v1/things-%d/{id}/parts", i), Methods: []string{"GET"}, Target: i}
		}
		empty := heapInUse()
		start := time.Now()
		table, err := routes.New(rules)
		if err != nil {
			t.Fatal(err)
		}
		buildTime := time.Since(start)
		bytes := (heapInUse() - empty) / float64(n)
		find := func(i int) time.Duration {
			start := time.Now()
			m, err := table.Match(&routes.Request{
				Method: "GET", Host: fmt.Sprintf("h%d.example.org", i%2300), Path: fmt.Sprintf("/v1/things-%d/17/parts", i),
			})
			elapsed := time.Since(start)
			if err != nil || m.Rule.Target != i {
				t.Fatalf("route %d: %v, %v", i, m.Rule, err)
			}
			return elapsed
		}
		lookupTime := median(500, func(i int) time.Duration { return find(i * 31 % n) })
		t.Logf("%d routes: table built in %v, %.0f bytes per route, lookup in %v", n, buildTime, bytes, lookupTime)
		if smallest == 0 {
			smallest = lookupTime
		} else if r := ratio(lookupTime, smallest); r > 20 { // with the small sizes, a scan of all would be 100
			t.Errorf("a lookup among %d routes takes %v, %.1f times the %v in the smallest table, want at most 20",
				n, lookupTime, r, smallest)
		}
	}
}
