package platform

import (
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const testConfig = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"seq":41,"whole":true,"hosts":[]},
 "settings":{"balancers":2,"me":0,
  "lanes":[{"name":"look","effect":"retryable","goal_time_us":20000000,"deadline_us":60000000,"gain":1},
   {"name":"pay","effect":"dedup","group":"cell","key_ttl_us":5000000,"goal_time_us":20000000,
    "deadline_us":60000000,"gain":5}],
  "tariffs":[{"name":"basic","units_per_s":1000,"burst":1000,"value_factor":1},
   {"name":"tiny","units_per_s":0.5,"burst":1,"value_factor":1}],
  "family_info":{"meter_period_us":500000,"largest":3},
  "policy_limits":{"cancel":true,"max_attempts":3,"max_retry_after_us":500000,"retry_after":true,
   "conn_idle_us":15000000,"connect_timeout_us":250000},
  "stats":{"columns":["depth","tps"],"how":"answers"},
  "obligations":{"cold_from":0.2,"warm_within_us":1000000,"fall_multiple":4,"fall_us":1000000}}}`

func parseTestConfig(t testing.TB) Config {
	t.Helper()
	c, err := ParseConfig([]byte(testConfig))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestConfig(t *testing.T) {
	c := parseTestConfig(t)
	if c.Seed != 0x8c1f30d27a5be964 || c.InitialEndpoints.Seq != 41 || c.Conns.IdleTimeout != 15*time.Second ||
		c.Conns.ConnectTimeout != 250*time.Millisecond || len(c.Settings.Classes) != 2 || c.Limits.Sockets != 1024 {
		t.Errorf("got seed %#x, known version %d, idle timeout %v, connect timeout %v, %d classes, %d sockets, "+
			"want 0x8c1f30d27a5be964, 41, 15s, 250ms, 2, 1024", c.Seed, c.InitialEndpoints.Seq, c.Conns.IdleTimeout,
			c.Conns.ConnectTimeout, len(c.Settings.Classes), c.Limits.Sockets)
	}
}

// Where a call costs discovery work ("on_request"), must_ask_in_us is the time within which it must be
// called. Where discovery pushes updates, there is no such limit and it is called at once.
func TestPollWithinWhereDiscoveryDoesNotPush(t *testing.T) {
	for how, want := range map[string]time.Duration{"on_request": 10 * time.Second, "pushed": 0} {
		text := strings.Replace(testConfig, `"settings":{`, `"settings":{"discovery":"`+how+`",`, 1)
		text = strings.Replace(text, `"obligations":{`, `"obligations":{"must_ask_in_us":10000000,`, 1)
		c, err := ParseConfig([]byte(text))
		if err != nil || c.Conns.SubscribeWithin != want {
			t.Errorf("%s: asked within %v, want %v (%v)", how, c.Conns.SubscribeWithin, want, err)
		}
	}
}

// Invalid settings are rejected with an error that names the key.
func TestInvalidSettingsNameTheKey(t *testing.T) {
	for key, change := range map[string][2]string{
		"deadline_us":            {`"deadline_us":60000000`, `"deadline_us":0`},
		"goal_time_us":           {`"goal_time_us":20000000`, `"goal_time_us":-1`},
		"key_ttl_us":             {`"key_ttl_us":5000000`, `"key_ttl_us":-5`},
		"stop_sending_within_us": {`"obligations":{`, `"obligations":{"stop_sending_within_us":-1,`},
		"grace_to_answer_us":     {`"obligations":{`, `"obligations":{"grace_to_answer_us":-1,`},
		"max_retry_after_us":     {`"max_retry_after_us":500000`, `"max_retry_after_us":-500000`},
		"meter_period_us":        {`"meter_period_us":500000`, `"meter_period_us":-1`},
		"effect":                 {`"dedup"`, `"maybe"`},
		"group":                  {`"group":"cell"`, `"group":"street"`},
	} {
		text := strings.Replace(testConfig, change[0], change[1], 1)
		if _, err := ParseConfig([]byte(text)); text == testConfig || err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: got error %v, want one that names the key", key, err)
		}
	}
}

// An invalid configuration is rejected with a one-line error. A gateway must never start with defaults in
// its place.
func TestInvalidConfig(t *testing.T) {
	for name, change := range map[string][2]string{
		"not JSON":       {"{", "["},
		"no address":     {`"listen":"127.0.0.1:0",`, ""},
		"no discovery":   {`"discovery":"127.0.0.1:1",`, ""},
		"seed not hex":   {"8c1f30d27a5be964", "xyz"},
		"no limits":      {`"sockets":1024`, `"sockets":0`},
		"no settings":    {`"settings":{`, `"other":{`},
		"no classes":     {`"lanes":`, `"lines":`},
		"unknown effect": {`"dedup"`, `"maybe"`},
		"no idle time":   {`"conn_idle_us":15000000,`, ""},
	} {
		if _, err := ParseConfig([]byte(strings.Replace(testConfig, change[0], change[1], 1))); err == nil {
			t.Errorf("%s: no error", name)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %q, want one line", name, err)
		}
	}
	for _, path := range []string{"", filepath.Join(t.TempDir(), "none.json")} {
		if _, err := LoadConfig(path); err == nil {
			t.Errorf("path %q: no error", path)
		}
	}
}

// MaxBackends is the memory limit divided by the memory per backend. With 192 MB the backends of the largest
// deployment fit.
func TestMaxBackends(t *testing.T) {
	for mb, want := range map[int64]int{1: 682, 192: 131_072, 2048: 1_398_101} {
		if got := (Limits{MemoryMB: mb}).MaxBackends(); got != want {
			t.Errorf("%d MB: %d backends, want %d", mb, got, want)
		}
	}
}

// The error for invalid limits states their values.
func TestLimitsNotAboveZero(t *testing.T) {
	_, err := ParseConfig([]byte(strings.Replace(testConfig, `"sockets":1024`, `"sockets":0`, 1)))
	if want := "limits {Cores:1 MemoryMB:192 Sockets:0} are not all above 0"; err == nil || err.Error() != want {
		t.Errorf("got error %v, want %s", err, want)
	}
}
