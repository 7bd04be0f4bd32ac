package decision_test

import (
	"fmt"
	"time"

	"pumicecroft/decision"
)

// A gateway passes events to an Engine and carries out the actions that it returns.
func Example() {
	g, err := decision.New(decision.Settings{
		GatewayCount: 1,
		MaxAttempts:  3,
		UsagePeriod:  time.Second,
		Classes: []decision.Class{{Name: "lookup", LatencyObjective: time.Second,
			Deadline: 4 * time.Second, PriorityWeight: 1}},
		Plans: []decision.Plan{{Name: "basic", Rate: 2, Burst: 6, Price: 1}},
	}, 1, 0)
	if err != nil {
		fmt.Println(err)
		return
	}
	g.Handle(0, decision.EndpointUpdate{Kind: decision.UpdateFull,
		Endpoints: []decision.Endpoint{{ID: 7}}}, nil)
	actions := g.Handle(time.Millisecond, decision.Request{ID: 1, Customer: 42, Class: "lookup", Plan: "basic",
		Cost: 1, Timeout: 3 * time.Second, GatewaySpread: 1}, nil)
	for _, a := range actions {
		if s, ok := a.(decision.StartAttempt); ok {
			fmt.Println("send request", s.Request, "to backend", s.Backend)
		}
	}
	// Output: send request 1 to backend 7
}
