package frontdoor

import (
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestConfig(t *testing.T) {
	c := config(t)
	if c.Seed != 0x8c1f30d27a5be964 || c.Known.Seq != 41 || c.Conns.Idle != 15*time.Second ||
		c.Conns.Connect != 250*time.Millisecond || len(c.Settings.Classes) != 2 || c.Limits.Sockets != 1024 {
		t.Errorf("%+v", c)
	}
}

// Bad configuration is one clear line, not a front door that runs on defaults.
func TestBadConfig(t *testing.T) {
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
		if _, err := parseConfig([]byte(strings.Replace(testConfig, change[0], change[1], 1))); err == nil {
			t.Errorf("%s: no error", name)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: more than a line: %v", name, err)
		}
	}
	for _, path := range []string{"", filepath.Join(t.TempDir(), "none.json")} {
		if _, err := LoadConfig(path); err == nil {
			t.Errorf("path %q: no error", path)
		}
	}
}
