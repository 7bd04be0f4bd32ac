package capacitytest

import (
	"encoding/json"
	"flag"
	"strconv"
	"strings"
	"testing"
)

var (
	full     = flag.Bool("full", false, "the sizes of docs/CAPACITY.md, not the small ones")
	sizes    = flag.String("sizes", "", "these sizes alone, with commas between")
	piece    = flag.Int("piece", 64<<10, "bytes that the agent writes at once; 0: a whole list")
	maxNodes = flag.Int("most", 0, "backends that a door's table keeps; 0: as the program has it")
	rate     = flag.Float64("rate", 60, "requests a second of an emulated gateway; with -full 6 at most, "+
		"unless -sizes are given: at 286 the largest size would take an hour")
	memoryMB = flag.Int("mem", 192, "memory_mb of a door")
)

func TestMain(m *testing.M) { Main(m.Run) }

// sizesFor returns the sizes of a test: small ones, or large ones with -full, or those of -sizes.
func sizesFor(t *testing.T, small, fully []int) (out []int) {
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
	case *full:
		return fully
	}
	return small
}

// object is a part of a file in JSON.
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
