package simwire

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"
)

func TestDecode_Events(t *testing.T) {
	for text, want := range map[string]Message{
		`{"m":"clock","at_time_us":8412250}`: {Clock: true, At: 8412250 * time.Microsecond},
		`{"m":"eob"}`:                        {End: true},
		`{"m":"detach","door":2}`:            {Instance: 2, Stop: true},
		`{"m":"call","door":3,"txn":"d4b7b4c55d3a91c4","opts":1,"spread":3,"terms":"kis","grace_us":240000,` +
			`"cost_units":2,"first_door":1,"grade":"c","caller":7,"new":[1]}`: {Instance: 3, Event: decision.Request{
			ID: 0xd4b7b4c55d3a91c4, Customer: 7, Class: "c", Plan: "kis", Cost: 2, Timeout: 240 * time.Millisecond,
			FirstGateway: 1, GatewaySpread: 3}},
		`{"m":"reminder","door":3,"ref":77}`: {Instance: 3, Event: decision.Timer{Token: 77}},
		`{"m":"client_left","door":5,"txn":"00000000000000ff"}`: {Instance: 5,
			Event: decision.ClientDisconnected{Request: 255}},
		`{"m":"established","door":5,"txn":"00000000000000ff","backend":1,"try":2}`: {Instance: 5,
			Event: decision.ResponseStarted{Request: 255, Attempt: 2}},
		`{"m":"tally_back","door":1,"counter_key":5,"level":-2.5,"duration_us":9,"rc":"delivered"}`: {Instance: 1,
			CounterReply: CounterReply{Present: true, Key: 5, Result: decision.CounterResult{Total: -2.5}}},
		`{"m":"tally_back","door":1,"counter_key":5,"rc":"shed"}`: {Instance: 1,
			CounterReply: CounterReply{Present: true, Key: 5, Result: decision.CounterResult{Result: decision.Rejected}}},
		`{"m":"something_new","door":1}`: {Instance: 1},
	} {
		got, err := Decode([]byte(text))
		if err != nil || got != want {
			t.Errorf("%s\n got %+v (%v)\nwant %+v", text, got, err, want)
		}
	}
}

func TestDecode_Outcome(t *testing.T) {
	m, err := Decode([]byte(`{"m":"closed_attempt","door":3,"txn":"d4b7b4c55d3a91c4","duration_us":18500,"try":1,` +
		`"seen_use":87,"backend":51530247,"rc":"delivered","last":true,"settled":3,"health_info":[0.62,140]}`))
	o, ok := m.Event.(decision.Outcome)
	if err != nil || !ok || o.Result != decision.Succeeded || !o.HasUsage || o.Usage != 86 || !o.Final || o.Attempt != 1 ||
		len(o.LoadReport) != 2 || o.Backend != 51530247 || o.Latency != 18500*time.Microsecond {
		t.Errorf("got %+v (%v), want the final success of attempt 1 at backend 51530247 with usage 86 and 18.5ms",
			m, err)
	}
	m, err = Decode([]byte(`{"m":"closed_attempt","door":3,"txn":"d4b7b4c55d3a91c4","backend":1,"rc":"odd"}`))
	if o := m.Event.(decision.Outcome); err != nil || o.Result != decision.Unknown || o.HasUsage {
		t.Errorf("unknown result name: got %+v (%v), want result %v without usage", o, err, decision.Unknown)
	}
}

func TestDecode_EndpointUpdate(t *testing.T) {
	m, err := Decode([]byte(`{"m":"targets","door":3,"mode":"SAVED","elements":[{"health":"healthy","az":"a",` +
		`"cell":4,"backend":5,"boot_time_us":6},{"health":"deregistered","backend":6}]}`))
	update, ok := m.Event.(decision.EndpointUpdate)
	if err != nil || !ok || update.Kind != decision.UpdateCached || len(update.Endpoints) != 2 ||
		update.Endpoints[1].State != decision.Removed ||
		update.Endpoints[0] != (decision.Endpoint{ID: 5, Zone: "a", Cell: 4, StartedAt: 6 * time.Microsecond}) {
		t.Errorf("got %+v (%v), want a cached update with endpoint 5 ready and endpoint 6 removed", m, err)
	}
}

func TestDecode_MalformedLines(t *testing.T) {
	for _, text := range []string{
		`{`, `[]`, `{}`, `{"m":""}`, `{"m":"clock"}`, `{"m":"reminder","door":1}`, `{"m":"call","txn":"1"}`,
		`{"m":"call","door":1,"txn":"12"}`, `{"m":"call","door":1,"txn":"D4B7B4C55D3A91C4"}`,
		`{"m":"call","door":1,"txn":"zzzzzzzzzzzzzzzz"}`, `{"m":"closed_attempt","door":1,"txn":"00000000000000ff"}`,
		`{"m":"targets","door":1,"mode":"?"}`, `{"m":"boot","door":1}`, `{"m":"boot","door":1,"params":3}`,
		`{"m":"targets","door":1,"mode":"FULL","elements":[{"backend":1,"health":"?"}]}`,
		`{"m":"targets","door":1,"mode":"FULL","elements":[{"health":"healthy"}]}`, `{"m":"sampled","door":1}`,
		`{"m":"boot","door":1,"params":{"lanes":[{"effect":"?"}]}}`, `{"m":"reminder","door":1,"ref":-1}`,
	} {
		if m, err := Decode([]byte(text)); err == nil {
			t.Errorf("%s: got %+v, want an error", text, m)
		}
	}
}

func TestAppendAction(t *testing.T) {
	var b bytes.Buffer
	for _, a := range []decision.Action{
		decision.StartAttempt{Request: 255, Backend: 9, Timeout: time.Millisecond},
		decision.Reject{Request: 1, RetryAfter: time.Second},
		decision.Fail{Request: 2},
		decision.CancelAttempt{Request: 3, Attempt: 1},
		decision.SetTimer{After: 100 * time.Hour, Token: 4},
		decision.Probe{Backend: 5}, decision.Subscribe{},
	} {
		AppendAction(&b, 6, a)
	}
	AppendEnd(&b)
	want := `{"m":"assign","door":6,"txn":"00000000000000ff","max_wait_us":1000,"backend":9}
{"m":"reject","door":6,"txn":"0000000000000001","not_before_for_us":1000000}
{"m":"surrender","door":6,"txn":"0000000000000002"}
{"m":"recall","door":6,"txn":"0000000000000003","try":1}
{"m":"timer","door":6,"from_now_us":4260000000,"ref":4}
{"m":"poll","door":6,"backend":5}
{"m":"follow","door":6,"want":true}
{"m":"eor"}
`
	if b.String() != want {
		t.Errorf("got\n%s\nwant\n%s", b.String(), want)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(`{"m":"call","door":1,"txn":"00000000000000ff","grace_us":1}`)
	f.Add(`{"m":"boot","door":0,"random_seed":1,"params":{"balancers":2,"lanes":[{"name":"a"}]}}`)
	f.Add(`{"m":"targets","door":1,"mode":"FULL","elements":[{"backend":1,"health":"healthy"}]}`)
	f.Add(`{"m":"closed_attempt","door":1,"txn":"00000000000000ff","backend":1,"health_info":[1]}`)
	f.Fuzz(func(t *testing.T, text string) {
		m, err := Decode([]byte(text))
		if err != nil && strings.TrimSpace(err.Error()) == "" {
			t.Errorf("%q: got an error with the blank text %q", text, err.Error())
		}
		if err == nil && m.Start != nil {
			_, _ = decision.New(m.Start.Settings, m.Start.Seed, 0) // may return an error, must not panic
		}
	})
}
