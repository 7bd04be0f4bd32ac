package processtest

import (
	"encoding/json"
	"path/filepath"
	"strconv"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// MaxProcesses is the largest number of gateway processes that a fleet starts.
const MaxProcesses = 64

// DrainGrace is how long attempts may go to a draining backend after its gateway was notified. SocketSlack is the delay
// on sockets that tests allow in addition.
const (
	DrainGrace  = 2 * time.Second
	SocketSlack = 50 * time.Millisecond
)

// Config describes a deployment.
type Config struct {
	Seed               uint64
	Dir                string // directory of the gateways' files
	Gateways, Backends int
	Zones              int           // gateway and backend i are in zone i modulo Zones; 0 means 1
	WorkTime           time.Duration // service time of a request at a warm backend
	Slots, Queue       int           // of a backend
	Rate, Burst        float64       // of the plan "shop"; the plan "big" has no limits
	HardLimitRate      float64       // units a second of the plan "flagship"; its burst is twice that; 0: no such plan
	Counter, Meter     bool
	SlowStartWindow    time.Duration // 0 means that a started backend is warm
	Relayed            bool          // gateways reach backends, discovery and counter through relays
	MaxRetryAfter      time.Duration
	LatencyObjective   time.Duration
	Deadline           time.Duration
	Descriptors        int // limit of a gateway process
	MemoryMB           int // limit of a gateway process
	// PersistState makes gateways read an operator's file and keep their state, each in a directory of its own.
	// Otherwise they read the platform's node configuration and keep nothing.
	PersistState bool
}

// object is a table of a configuration file.
type object = map[string]any

// platformConfig returns a gateway's node configuration, as the platform writes it.
func (f *Fleet) platformConfig(g *Gateway) ([]byte, error) {
	c := f.Config
	counter := ""
	if f.Counter != nil {
		counter = f.Counter.Addr()
	}
	if g.CounterRelay != nil {
		counter = g.CounterRelay.Addr()
	}
	return json.MarshalIndent(object{
		"name": g.Name, "listen": g.Addr, "discovery": g.discoveryAddr(), "counter": counter,
		"seed":     strconv.FormatUint(c.Seed<<8+uint64(g.Number)+1, 16),
		"limits":   object{"cores": 1, "memory_mb": c.MemoryMB, "sockets": c.Descriptors},
		"known":    g.Agent.List(),
		"settings": f.platformSettings(g),
	}, "", " ")
}

// platformSettings returns the settings in a gateway's node configuration.
func (f *Fleet) platformSettings(g *Gateway) object {
	c := f.Config
	us := func(d time.Duration) int64 { return d.Microseconds() }
	class := func(name, effect string, gain float64) object {
		return object{
			"name": name, "effect": effect, "group": "cell", "key_ttl_us": 5_000_000,
			"goal_time_us": us(c.LatencyObjective), "deadline_us": us(c.Deadline), "gain": gain,
		}
	}
	plans := []object{
		{"name": "shop", "units_per_s": c.Rate, "burst": c.Burst, "value_factor": 1},
		{"name": "big", "value_factor": 1},
	}
	if c.HardLimitRate > 0 {
		plans = append(plans, object{
			"name": "flagship", "units_per_s": c.HardLimitRate, "burst": 2 * c.HardLimitRate, "value_factor": 2,
			"ceiling_rate": c.HardLimitRate, "never_over_depth": 2 * c.HardLimitRate, "cap_slack": c.HardLimitRate / 4,
		})
	}
	family := object{"largest": 1}
	if f.Meter != nil {
		family["meter_period_us"] = 500_000
	}
	if f.Counter != nil {
		family["has_counter"], family["count_limit_us"] = true, 30_000
	}
	return object{
		"balancers": c.Gateways, "me": g.Number, "discovery": "pushed",
		"lanes":   []object{class("look", "retryable", 1), class("pay", "dedup", 5)},
		"tariffs": plans, "family_info": family,
		"policy_limits": object{
			"cancel": true, "max_attempts": 3, "retry_after": true, "max_retry_after_us": us(c.MaxRetryAfter),
			"conn_idle_us": 15_000_000, "connect_timeout_us": 250_000,
		},
		"obligations": object{
			"grace_to_answer_us": 50_000, "stop_sending_within_us": us(DrainGrace), "cold_from": 0.2,
			"warm_within_us": us(c.SlowStartWindow), "fall_multiple": 4, "fall_us": 1_000_000,
		},
	}
}

// operatorConfig returns a gateway's configuration file, as an operator writes it.
func (f *Fleet) operatorConfig(g *Gateway) ([]byte, error) {
	c := f.Config
	if g.StateDir == "" {
		g.StateDir = filepath.Join(c.Dir, "state-"+g.Name)
	}
	class := func(name, effect string, weight float64) object {
		out := object{
			"name": name, "effect": effect, "aim": c.LatencyObjective.String(), "deadline": c.Deadline.String(),
			"worth": weight,
		}
		if effect == "keyed" {
			out["group"], out["key_window"] = "cell", "5s"
		}
		return out
	}
	plans := []object{
		{"name": "shop", "rate": c.Rate, "burst": c.Burst, "price": 1.0},
		{"name": "big", "price": 1.0},
	}
	if c.HardLimitRate > 0 {
		plans = append(plans, object{
			"name": "flagship", "rate": c.HardLimitRate, "burst": 2 * c.HardLimitRate, "price": 2.0,
			"ceiling_rate": c.HardLimitRate, "ceiling_burst": 2 * c.HardLimitRate, "ceiling_slack": c.HardLimitRate / 4,
		})
	}
	gateway := object{
		"number": g.Number, "of": c.Gateways, "max_retry_after": c.MaxRetryAfter.String(), "largest_units": 1.0,
		"drain_grace": DrainGrace.String(), "warm_within": c.SlowStartWindow.String(),
		"fall_multiple": 4.0, "fall_for": "1s",
	}
	if f.Meter != nil {
		gateway["meter_period"] = "500ms"
	}
	return toml.Marshal(object{
		"listen": g.Addr, "state_dir": g.StateDir, "sources": []string{"discovery"}, "door": gateway,
		"discovery": object{"address": g.discoveryAddr()},
		"class":     []object{class("look", "safe", 1), class("pay", "keyed", 5)}, "plan": plans,
	})
}
