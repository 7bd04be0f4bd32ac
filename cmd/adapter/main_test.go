package main

import (
	"bytes"
	"strings"
	"testing"
)

const startLines = `{"m":"clock","at_time_us":1000}
{"m":"boot","door":0,"random_seed":3,"params":{"balancers":1,"policy_limits":{"max_attempts":2},"lanes":[{"name":"c",` +
	`"effect":"retryable","goal_time_us":1000000,"deadline_us":2000000,"gain":1}],"tariffs":[{"name":"p","units_per_s":5,` +
	`"burst":5,"value_factor":1}],"unknown":{}}}
{"m":"targets","door":0,"mode":"SAVED","elements":[{"health":"healthy","backend":4}]}
{"m":"eob"}
`

func TestRunEndsWithInput(t *testing.T) {
	var out bytes.Buffer
	in := startLines + `{"m":"clock","at_time_us":2000}
{"m":"call","door":0,"txn":"00000000000000ff","spread":1,"terms":"p","grace_us":1000000,"cost_units":1,"grade":"c","caller":1}
{"m":"eob"}
`
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if got := out.String(); strings.Count(got, `{"m":"eor"}`) != 2 || !strings.Contains(got, `"m":"assign"`) {
		t.Errorf("got replies\n%s\nwant 2 ends of batches and an assign", got)
	}
}

func TestMalformedInput(t *testing.T) {
	for name, in := range map[string]string{
		"not JSON":              "hello\n",
		"event before clock":    `{"m":"reminder","door":0,"ref":1}` + "\n",
		"clock in a batch":      `{"m":"clock","at_time_us":1}` + "\n" + `{"m":"clock","at_time_us":2}` + "\n",
		"input ends in a batch": `{"m":"clock","at_time_us":1}` + "\n",
		"unknown instance":      `{"m":"clock","at_time_us":1}` + "\n" + `{"m":"reminder","door":7,"ref":1}` + "\n",
		"empty settings":        `{"m":"clock","at_time_us":1}` + "\n" + `{"m":"boot","door":0,"params":{}}` + "\n",
	} {
		if err := run(strings.NewReader(in), &bytes.Buffer{}); err == nil {
			t.Errorf("%s: got no error", name)
		}
	}
	if err := run(strings.NewReader(""), &bytes.Buffer{}); err != nil {
		t.Errorf("empty input: got error %v, want none", err)
	}
}
