package capacitytest

import (
	"encoding/json"
	"flag"
	"strconv"
	"strings"
	"testing"
)

var (
	fullSize    = flag.Bool("full", false, "use the sizes of docs/CAPACITY.md instead of the small ones")
	sizes       = flag.String("sizes", "", "use only these sizes, separated by commas")
	chunkBytes  = flag.Int("piece", 64<<10, "bytes that the agent writes per chunk; 0 means that a response is one chunk")
	maxNodes    = flag.Int("most", 0, "largest number of nodes in a gateway's membership table; 0 means the default")
	gatewayRate = flag.Float64("rate", 60, "requests per second to each emulated gateway; at most 6 with -full "+
		"and without -sizes, as the largest size would take an hour at 286")
	memoryMB = flag.Int("mem", 192, "memory_mb in a gateway's node configuration")
)

func TestMain(m *testing.M) { Main(m.Run) }

// sizesFor returns the sizes that a test runs with: those of -sizes if it is set, otherwise large with -full and small
// without.
func sizesFor(t *testing.T, small, large []int) (out []int) {
	t.Helper()
	switch {
	case *sizes != "":
		for _, s := range strings.Split(*sizes, ",") {
			n, err := strconv.Atoi(s)
			if err != nil {
				t.Fatal(err)
			}
			out = append(out, n)
		}
		return out
	case *fullSize:
		return large
	}
	return small
}

// object is a JSON object.
type object = map[string]any

// platformConfig returns the node configuration of one of 2,800 gateways, as the platform writes it.
func platformConfig(discovery string) string {
	text, err := json.Marshal(object{"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "7",
		"limits": object{"cores": 1, "memory_mb": *memoryMB, "sockets": 1024},
		"settings": object{
			"balancers": 2800, "me": 1, "discovery": "pushed",
			"lanes": []object{{
				"name": "look", "effect": "retryable", "goal_time_us": 500_000, "deadline_us": 5_000_000, "gain": 1,
			}},
			"tariffs":     []object{{"name": "big", "value_factor": 1}},
			"family_info": object{"largest": 1},
			"policy_limits": object{
				"cancel": true, "max_attempts": 3, "conn_idle_us": 15_000_000, "connect_timeout_us": 250_000,
			},
			"obligations": object{"grace_to_answer_us": 50_000, "stop_sending_within_us": 2_000_000, "cold_from": 0.2,
				"warm_within_us": 30_000_000, "fall_multiple": 4, "fall_us": 1_000_000}}})
	if err != nil {
		panic(err)
	}
	return string(text)
}
