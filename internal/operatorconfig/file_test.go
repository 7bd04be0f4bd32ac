package operatorconfig

import (
	"errors"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"pumicecroft/consul"
	"pumicecroft/decision"
)

const validFile = `listen = "127.0.0.1:8080"

[door]
number = 1
of = 2
max_retry_after = "1.5s"
body_timeout = "500ms"

[[class]]
name = "look"
deadline = "2s"

[[class]]
name = "pay"
effect = "keyed"
group = "cell"
key_window = "5s"
worth = 5

[[plan]]
name = "shop"
rate = 10
burst = 20.5

[[backend]]
name = "a"
address = "127.0.0.1:9000"
cell = 3
`

func TestParse(t *testing.T) {
	f, err := Parse([]byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	set := f.Gateway.Settings
	if f.Listen != "127.0.0.1:8080" || set.GatewayIndex != 1 || set.GatewayCount != 2 ||
		set.MaxRetryAfter != 1500*time.Millisecond ||
		f.Gateway.BodyReadTimeout != 500*time.Millisecond || f.MaxClientConns != 400 ||
		set.LongestDeadline() != 10*time.Second {
		t.Errorf("got %+v, want the values of validFile and the defaults", f)
	}
	if c := set.Classes[1]; c.Idempotency != decision.IdempotentByKey || c.DedupScope != decision.DedupScopeCell ||
		c.DedupWindow != 5*time.Second ||
		c.PriorityWeight != 5 || set.Classes[0].LatencyObjective != time.Second {
		t.Errorf("classes: got %+v, want the values of validFile and the defaults", set.Classes)
	}
	if p := set.Plans[0]; p.Rate != 10 || p.Burst != 20.5 || p.Price != 1 {
		t.Errorf("plan: got %+v, want rate 10, burst 20.5, price 1", p)
	}
	if n := f.Backends.Nodes; len(n) != 1 || n[0].Addr != "127.0.0.1:9000" || n[0].Cell != 3 || !f.Backends.Full {
		t.Errorf("backends: got %+v with Full %v, want one at 127.0.0.1:9000 in cell 3 with Full", n, f.Backends.Full)
	}
}

func TestShippedFileParses(t *testing.T) {
	text, err := os.ReadFile("../../deploy/pumicecroft.toml")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Parse(text); err != nil {
		t.Error(err)
	}
	// The settings that are commented out must be valid, too.
	uncommented := regexp.MustCompile(`(?m)^#([^ ])`).ReplaceAllString(string(text), "$1")
	f, err := Parse([]byte(uncommented))
	if err != nil || f.Consul == nil || f.Consul.Registration == nil || f.Gateway.Idempotency == nil ||
		f.Gateway.Idempotency.TTL != 24*time.Hour || f.GRPC == nil ||
		f.GRPC.Proxy.Methods["/shop.Desk/Activate"].Class != "activate" || f.DiscoveryAddr == "" ||
		len(f.Sources) != 3 ||
		f.HTTP == nil || len(f.HTTP.Services) != 1 || len(f.HTTP.Routes) != 2 || len(f.HTTP.Identities) != 5 ||
		f.HTTP.TLS == nil || f.HTTP.Services[0].TLS == nil {
		t.Errorf("with all settings uncommented: error %v, want all sections, got %+v", err, f)
	}
}

// Each problem is reported with its line and key.
func TestInvalidFiles(t *testing.T) {
	for name, c := range map[string]struct {
		old, new string
		want     string
	}{
		"no TOML": {`of = 2`, `of = = 2`, "line 5: "},
		"keys": {`[door]`, "[keys]\nkeep_doubt = \"2s\"\n[door]",
			`line 4: keys.keep_doubt: 2s is below the deadline and key window of class "pay", 15s`},
		"a key twice": {`of = 2`, "of = 2\nof = 3", "line 6: "},
		"no listen":   {`listen = "127.0.0.1:8080"`, "", "line 1: listen: it is missing"},
		"listen is no text": {`"127.0.0.1:8080"`, "8080",
			"line 1: listen: it is a whole number, not a text"},
		"no port": {`"127.0.0.1:8080"`, `"127.0.0.1"`,
			`line 1: listen: "127.0.0.1" is no host:port`},
		"bad port": {`"127.0.0.1:8080"`, `"127.0.0.1:80800"`, "line 1: listen: "},
		"misspelt key": {`number = 1`, `numbre = 1`,
			"line 4: door.numbre: no such key; there are answer_grace, "},
		"journal settings without a journal": {`[door]`, "[keys]\njournal_down = \"refuse\"\n[door]",
			"line 4: keys.journal_down: it is of no use without journal, the directory"},
		"unknown failure mode": {`[door]`, "[keys]\njournal = \"k\"\njournal_down = \"wait\"\n[door]",
			`line 5: keys.journal_down: "wait" is none of serve, refuse`},
		"misspelt table": {`[door]`, `[doors]`,
			"line 3: doors: no such key; there are backend, class, consul, discovery, door, grpc, http, identity, keys, listen, members, membership, plan, route, service, sources, state_dir, tls"},
		"number too high":     {`number = 1`, `number = 2`, "line 4: door.number: 2 is not below of = 2"},
		"whole number wanted": {`of = 2`, `of = 2.5`, "line 5: door.of: it is a number, not a whole number"},
		"out of range":        {`of = 2`, `of = 0`, "line 5: door.of: 0 is not from 1 to 10000"},
		"no time": {`"1.5s"`, `"soon"`,
			`line 6: door.max_retry_after: "soon" is no time such as "250ms" or "2s"`},
		"time below 0": {`"500ms"`, `"-1s"`,
			"line 7: door.body_timeout: -1s is not from 1ms to 1h0m0s"},
		"time as number": {`"1.5s"`, `3`, "line 6: door.max_retry_after: 3 is no time"},
		"unknown effect": {`"keyed"`, `"keyd"`,
			`line 15: class[1].effect: "keyd" is none of safe, keyed, unsafe`},
		"no window": {`key_window = "5s"`, "",
			"line 13: class[1].key_window: a keyed class needs it"},
		"aim over deadline": {`deadline = "2s"`, "deadline = \"2s\"\naim = \"3s\"",
			"line 12: class[0].aim: 3s is over the deadline of 2s"},
		"class twice": {`name = "pay"`, `name = "look"`,
			`line 14: class[1].name: "look" is used more than once`},
		"no class": {"[[class]]", "[[klass]]", "line 1: class: at least one [[class]] with a name is required"},
		"class is a table": {"[[plan]]\nname = \"shop\"\nrate = 10\nburst = 20.5",
			"[plan]\nname = \"shop\"", "line 20: plan: it is a table, not a list of tables ([[plan]])"},
		"rate alone": {`burst = 20.5`, "", "line 20: plan[0].burst: rate and burst go together"},
		"rate is no number": {`rate = 10`, `rate = "10"`,
			"line 22: plan[0].rate: it is a text, not a number"},
		"rate below 0": {`rate = 10`, `rate = -1`,
			"line 22: plan[0].rate: -1 is not from 0 to any number"},
		"rate is no figure": {`rate = 10`, `rate = nan`, "line 22: plan[0].rate: NaN is not from 0"},
		"no address": {`address = "127.0.0.1:9000"`, "",
			"line 25: backend[0].address: it is missing"},
		"empty name":       {`name = "a"`, `name = ""`, "line 26: backend[0].name: it is empty"},
		"door is no table": {"[door]\nnumber = 1\nof = 2\nmax_retry_after = \"1.5s\"\nbody_timeout = \"500ms\"", "door = 3", "line 3: door: it is a whole number, not a table"},
		"yes or no": {`of = 2`, "of = 2\ncancel = \"yes\"",
			"line 6: door.cancel: it is a text, not true or false"},
	} {
		text := strings.ReplaceAll(validFile, c.old, c.new)
		if text == validFile {
			t.Fatalf("%s: the valid file does not contain %q", name, c.old)
		}
		f, err := Parse([]byte(text))
		if err == nil {
			t.Errorf("%s: got no error and %+v, want error %q", name, f, c.want)
			continue
		}
		found := false
		for line := range strings.SplitSeq(err.Error(), "\n") {
			found = found || strings.HasPrefix(line, c.want)
		}
		if !found {
			t.Errorf("%s: got error %q, want a line that begins with %q", name, err, c.want)
		}
	}
}

// All problems are reported at once, ordered by line.
func TestAllProblemsAreReported(t *testing.T) {
	text := strings.NewReplacer("of = 2", "of = 0", `"keyed"`, `"x"`, `"127.0.0.1:9000"`, `"nowhere"`).Replace(validFile)
	_, err := Parse([]byte(text))
	var ps Problems
	if !errors.As(err, &ps) || len(ps) < 3 {
		t.Fatalf("got error %v, want at least 3 problems", err)
	}
	for i := range ps[1:] {
		if ps[i].Line > ps[i+1].Line {
			t.Errorf("problem of line %d is reported before that of line %d, want them ordered", ps[i].Line, ps[i+1].Line)
		}
	}
}

const validConsulFile = `listen = "127.0.0.1:8080"
state_dir = "/var/lib/doors"
members = "127.0.0.1:8081"
sources = ["file", "consul", "discovery"]

[[class]]
name = "pay"
effect = "keyed"
group = "cell"
key_window = "5s"

[[plan]]
name = "shop"

[membership]
hold_first = "2s"
loss_share = 0.3

[consul]
address = "https://consul.example.org:8501"
consistency = "stale"
ca_file = "ca.pem"

[[consul.service]]
name = "identity"
tags = ["blue"]
cell = "rack"
zone = "node:floor"
warning = "serve"

[[consul.service]]
name = "stock"
cell = "rack"
health_only = true

[consul.register]
name = "doors"
ttl = "6s"

[discovery]
address = "127.0.0.1:7000"

[[backend]]
name = "n/a"
address = "127.0.0.1:9000"
`

func TestSources(t *testing.T) {
	f, err := Parse([]byte(validConsulFile))
	if err != nil {
		t.Fatal(err)
	}
	c := f.Consul
	if !slices.Equal(f.Sources, []string{"file", "consul", "discovery"}) || f.DiscoveryAddr != "127.0.0.1:7000" ||
		f.StatusAddr != "127.0.0.1:8081" ||
		f.Gateway.StateDir != "/var/lib/doors" || f.Gateway.Membership.ProbationMin != 2*time.Second ||
		f.Gateway.Membership.MassRemovalRatio != 0.3 {
		t.Errorf("got %+v, want the values of validConsulFile", f)
	}
	if len(c.Services) != 2 || c.Services[0].Mapping != (consul.Mapping{Cell: "rack", Zone: "node:floor",
		ServeWarning: true}) || !c.Services[1].HealthOnly ||
		c.Services[0].Tags[0] != "blue" || c.Config.Consistency != consul.Stale || c.Config.Wait != 10*time.Second {
		t.Errorf("[consul]: got %+v, want the values of validConsulFile and the defaults", c)
	}
	if r := c.Registration; r.Name != "doors" || r.Address != "127.0.0.1:8080" || r.TTL != 6*time.Second ||
		c.DrainNotice != time.Second {
		t.Errorf("[consul.register]: got %+v with drain notice %v, want doors at 127.0.0.1:8080, TTL 6s, notice 1s",
			r, c.DrainNotice)
	}
	f, err = Parse([]byte(strings.Replace(validConsulFile, `sources = ["file", "consul", "discovery"]`, "", 1)))
	if err != nil || !slices.Equal(f.Sources, []string{"consul", "discovery", "file"}) {
		t.Errorf("without sources: got %q and error %v, want consul, discovery and file", f.Sources, err)
	}
}

func TestInvalidSources(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"no such source": {`"discovery"]`, `"dns"]`,
			`line 4: sources: "dns" is none of consul, discovery, file`},
		"a source left out": {`, "discovery"]`, `]`, `line 4: sources: "discovery" is configured and not listed`},
		"a source twice":    {`["file", `, `["file", "file", `, `line 4: sources: "file" is used more than once`},
		"a source not configured": {"[discovery]\naddress = \"127.0.0.1:7000\"\n", "",
			`line 4: sources: "discovery" is listed and not configured`},
		"sources are no texts": {`["file", "consul", "discovery"]`, `["file", 3]`,
			"line 4: sources: it is not a list of texts"},
		"members on all addresses": {`"127.0.0.1:8081"`, `"0.0.0.0:8081"`,
			`line 3: members: "0.0.0.0:8081" is not a loopback address`},
		"members on a host name": {`"127.0.0.1:8081"`, `"door.example.org:8081"`,
			`line 3: members: "door.example.org:8081" is not a loopback address`},
		"no address": {`address = "https://consul.example.org:8501"`, "",
			"line 19: consul.address: it is missing"},
		"unknown consistency": {`"stale"`, `"eventual"`, `line 21: consul.consistency: "eventual" is none of`},
		"a service twice": {`name = "stock"`, `name = "identity"`,
			`line 32: consul.service[1].name: "identity" is used more than once`},
		"a keyed class without a cell": {"name = \"stock\"\ncell = \"rack\"", `name = "stock"`,
			`line 31: consul.service[1].cell: it is missing, and requests of class "pay"`},
		"no service": {"consul.service", "consul.servize",
			"line 19: consul.service: at least one [[consul.service]] with a name is required"},
		"misspelt": {`tags = `, `tag = `, "line 26: consul.service[0].tag: no such key"},
		"a key file alone": {`ca_file = "ca.pem"`, `key_file = "k.pem"`,
			"line 22: consul.key_file: cert_file and key_file go together"},
		"registered nowhere": {`"127.0.0.1:8080"`, `"0.0.0.0:8080"`,
			`line 36: consul.register.address: clients can't connect to "0.0.0.0:8080"`},
		"a TTL too short": {`ttl = "6s"`, `ttl = "6ms"`, "line 38: consul.register.ttl: 6ms is not from 1s"},
		"a share over 1": {`loss_share = 0.3`, `loss_share = 3`,
			"line 17: membership.loss_share: 3 is not from 0.01 to 1"},
	} {
		text := strings.ReplaceAll(validConsulFile, c.old, c.new)
		if text == validConsulFile {
			t.Fatalf("%s: the valid file does not contain %q", name, c.old)
		}
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains("\n"+err.Error(), "\n"+c.want) {
			t.Errorf("%s: got error %v, want a line that begins with %q", name, err, c.want)
		}
	}
}
