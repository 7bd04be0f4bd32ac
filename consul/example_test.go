package consul_test

import (
	"log"
	"time"

	"pumicecroft"
	"pumicecroft/consul"
	"pumicecroft/decision"
)

// A gateway whose backends are the instances of a Consul service. With several sources, the order of the options
// is their precedence.
func Example() {
	client, err := consul.New(consul.Config{Address: "127.0.0.1:8500", Consistency: consul.Stale})
	if err != nil {
		log.Fatal(err)
	}
	nodes := client.Service(consul.Service{Name: "identity", Mapping: consul.Mapping{Cell: "rack", Started: "boot_id"}})
	gateway, err := pumicecroft.New(pumicecroft.Config{
		Settings: decision.Settings{
			Classes: []decision.Class{
				{Name: "lookup", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1},
			},
			Plans: []decision.Plan{{Name: "shop", Price: 1}},
		},
		StateDir: "/var/lib/tool", // so that a gateway can start while Consul is down
	}, pumicecroft.WithNamedSource(nodes.SourceInfo(), nodes))
	if err != nil {
		log.Fatal(err)
	}
	for _, m := range gateway.Backends() {
		log.Println(m.Name, m.State, m.Explanation)
	}
}
