package decision_test

import (
	"fmt"
	"time"

	"pumicecroft/decision"
)

// A front door passes events in and carries out what comes back.
func Example() {
	g, err := decision.New(decision.Settings{
		FrontDoors:  1,
		MaxAttempts: 3,
		MeterPeriod: time.Second,
		Classes:     []decision.Class{{Name: "lookup", Aim: time.Second, Deadline: 4 * time.Second, Worth: 1}},
		Plans:       []decision.Plan{{Name: "basic", Rate: 2, Burst: 6, Price: 1}},
	}, 1, 0)
	if err != nil {
		fmt.Println(err)
		return
	}
	g.Handle(0, decision.BackendList{Kind: decision.ListFull,
		Backends: []decision.BackendInfo{{ID: 7}}}, nil)
	actions := g.Handle(time.Millisecond, decision.Request{ID: 1, Customer: 42, Class: "lookup", Plan: "basic",
		Units: 1, Patience: 3 * time.Second, Spread: 1}, nil)
	for _, a := range actions {
		if s, ok := a.(decision.Send); ok {
			fmt.Println("send request", s.Request, "to backend", s.Backend)
		}
	}
	// Output: send request 1 to backend 7
}
