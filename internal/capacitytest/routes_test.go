package capacitytest

import (
	"fmt"
	"testing"
	"time"

	"pumicecroft/routes"
)

// An operator's table has more and more routes. The time in which a request finds its route must not grow with them.
func TestRoutes(t *testing.T) {
	var least time.Duration
	for _, n := range sizesFor(t, []int{24, 2400}, []int{24, 240, 2400, 24_000}) {
		rules := make([]routes.Rule[int], n)
		for i := range rules {
			rules[i] = routes.Rule[int]{Name: fmt.Sprint("route-", i), Line: i + 1, Host: fmt.Sprintf("h%d.example.org", i%2300),
				Path: fmt.Sprintf("/v1/things-%d/{id}/parts", i), Methods: []string{"GET"}, Target: i}
		}
		empty := heapInUse()
		began := time.Now()
		table, err := routes.New(rules)
		if err != nil {
			t.Fatal(err)
		}
		made := time.Since(began)
		bytes := (heapInUse() - empty) / float64(n)
		find := func(i int) time.Duration {
			began := time.Now()
			m, err := table.Match(&routes.Request{
				Method: "GET", Host: fmt.Sprintf("h%d.example.org", i%2300), Path: fmt.Sprintf("/v1/things-%d/17/parts", i),
			})
			spent := time.Since(began)
			if err != nil || m.Rule.Target != i {
				t.Fatalf("route %d: %v, %v", i, m.Rule, err)
			}
			return spent
		}
		found := median(500, func(i int) time.Duration { return find(i * 31 % n) })
		t.Logf("%d routes: made in %v, %.0f bytes each, a request finds its own in %v", n, made, bytes, found)
		if least == 0 {
			least = found
		} else if r := ratio(found, least); r > 20 { // a walk over all would be a hundred
			t.Errorf("a request finds its route of %d in %v, %.1f times what it takes with the fewest", n, found, r)
		}
	}
}
