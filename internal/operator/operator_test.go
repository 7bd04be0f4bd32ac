package operator

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"
)

const good = `listen = "127.0.0.1:8080"

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

func TestAGoodFile(t *testing.T) {
	f, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	set := f.Door.Settings
	if f.Listen != "127.0.0.1:8080" || set.Me != 1 || set.FrontDoors != 2 || set.MaxRetryAfter != 1500*time.Millisecond ||
		f.Door.BodyTimeout != 500*time.Millisecond || f.ClientConns != 400 || set.LongestDeadline() != 10*time.Second {
		t.Errorf("%+v", f)
	}
	if c := set.Classes[1]; c.Effect != decision.Keyed || c.Group != decision.GroupCell || c.KeyWindow != 5*time.Second ||
		c.Worth != 5 || set.Classes[0].Aim != time.Second {
		t.Errorf("%+v", set.Classes)
	}
	if p := set.Plans[0]; p.Rate != 10 || p.Burst != 20.5 || p.Price != 1 {
		t.Errorf("%+v", p)
	}
	if n := f.Backends.Nodes; len(n) != 1 || n[0].Addr != "127.0.0.1:9000" || n[0].Cell != 3 || !f.Backends.Whole {
		t.Errorf("%+v", n)
	}
}

func TestTheShippedFileIsGood(t *testing.T) {
	text, err := os.ReadFile("../../deploy/pumicecroft.toml")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Parse(text); err != nil {
		t.Error(err)
	}
}

// Each problem names its line and key.
func TestProblems(t *testing.T) {
	for name, c := range map[string]struct {
		old, new string
		want     string
	}{
		"no TOML":             {`of = 2`, `of = = 2`, "line 5: "},
		"a key twice":         {`of = 2`, "of = 2\nof = 3", "line 6: "},
		"no listen":           {`listen = "127.0.0.1:8080"`, "", "line 1: listen: it is missing"},
		"listen is no text":   {`"127.0.0.1:8080"`, "8080", "line 1: listen: it is a whole number, not a text"},
		"no port":             {`"127.0.0.1:8080"`, `"127.0.0.1"`, `line 1: listen: "127.0.0.1" is no host:port`},
		"bad port":            {`"127.0.0.1:8080"`, `"127.0.0.1:80800"`, "line 1: listen: "},
		"misspelt key":        {`number = 1`, `numbre = 1`, "line 4: door.numbre: no such key; there are answer_grace, "},
		"misspelt table":      {`[door]`, `[doors]`, "line 3: doors: no such key; there are backend, class, door, listen, plan"},
		"number too high":     {`number = 1`, `number = 2`, "line 4: door.number: 2 is not below of = 2"},
		"whole number wanted": {`of = 2`, `of = 2.5`, "line 5: door.of: it is a number, not a whole number"},
		"out of range":        {`of = 2`, `of = 0`, "line 5: door.of: 0 is not from 1 to 10000"},
		"no time":             {`"1.5s"`, `"soon"`, `line 6: door.max_retry_after: "soon" is no time such as "250ms" or "2s"`},
		"time below 0":        {`"500ms"`, `"-1s"`, "line 7: door.body_timeout: -1s is not from 1ms to 1h0m0s"},
		"time as number":      {`"1.5s"`, `3`, "line 6: door.max_retry_after: 3 is no time"},
		"unknown effect":      {`"keyed"`, `"keyd"`, `line 15: class[1].effect: "keyd" is none of safe, keyed, unsafe`},
		"no window":           {`key_window = "5s"`, "", "line 13: class[1].key_window: a keyed class needs it"},
		"aim over deadline":   {`deadline = "2s"`, "deadline = \"2s\"\naim = \"3s\"", "line 12: class[0].aim: 3s is over the deadline of 2s"},
		"class twice":         {`name = "pay"`, `name = "look"`, `line 14: class[1].name: "look" is there twice`},
		"no class":            {"[[class]]", "[[klass]]", "line 1: class: there is none"},
		"class is a table":    {"[[plan]]\nname = \"shop\"\nrate = 10\nburst = 20.5", "[plan]\nname = \"shop\"", "line 20: plan: it is a table, not a list of tables ([[plan]])"},
		"rate alone":          {`burst = 20.5`, "", "line 20: plan[0].burst: rate and burst go together"},
		"rate is no number":   {`rate = 10`, `rate = "10"`, "line 22: plan[0].rate: it is a text, not a number"},
		"rate below 0":        {`rate = 10`, `rate = -1`, "line 22: plan[0].rate: -1 is not from 0 to any number"},
		"rate is no figure":   {`rate = 10`, `rate = nan`, "line 22: plan[0].rate: NaN is not from 0"},
		"no address":          {`address = "127.0.0.1:9000"`, "", "line 25: backend[0].address: it is missing"},
		"empty name":          {`name = "a"`, `name = ""`, "line 26: backend[0].name: it is empty"},
		"door is no table":    {"[door]\nnumber = 1\nof = 2\nmax_retry_after = \"1.5s\"\nbody_timeout = \"500ms\"", "door = 3", "line 3: door: it is a whole number, not a table"},
		"yes or no":           {`of = 2`, "of = 2\ncancel = \"yes\"", "line 6: door.cancel: it is a text, not true or false"},
	} {
		text := strings.Replace(good, c.old, c.new, -1)
		if text == good {
			t.Fatalf("%s: nothing was changed", name)
		}
		f, err := Parse([]byte(text))
		if err == nil {
			t.Errorf("%s: no error, %+v", name, f)
			continue
		}
		found := false
		for line := range strings.SplitSeq(err.Error(), "\n") {
			found = found || strings.HasPrefix(line, c.want)
		}
		if !found {
			t.Errorf("%s: %q, want %q", name, err, c.want)
		}
	}
}

// All problems come in one go, by line.
func TestAllProblemsAtOnce(t *testing.T) {
	text := strings.NewReplacer("of = 2", "of = 0", `"keyed"`, `"x"`, `"127.0.0.1:9000"`, `"nowhere"`).Replace(good)
	_, err := Parse([]byte(text))
	var ps Problems
	if !errors.As(err, &ps) || len(ps) < 3 {
		t.Fatalf("%v", err)
	}
	for i := range ps[1:] {
		if ps[i].Line > ps[i+1].Line {
			t.Errorf("line %d comes before line %d", ps[i].Line, ps[i+1].Line)
		}
	}
}
