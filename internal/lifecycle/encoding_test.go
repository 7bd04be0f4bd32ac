package lifecycle

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pumicecroft/decision"
)

// encodeEvent is an event as text, with all of its fields. Its words are the tests' own, so that they stay when Go
// identifiers are renamed.
func encodeEvent(ev decision.Event) string {
	switch ev := ev.(type) {
	case decision.Request:
		return fmt.Sprintf("request{id=%d customer=%d class=%s plan=%s cost=%v timeout=%v first_gateway=%d spread=%d protocol=%s}",
			ev.ID, ev.Customer, ev.Class, ev.Plan, ev.Cost, ev.Timeout, ev.FirstGateway, ev.GatewaySpread, ev.Protocol)
	case decision.EndpointUpdate:
		text := fmt.Sprintf("endpoint_update{kind=%d endpoints=[", ev.Kind)
		for _, b := range ev.Endpoints {
			text += fmt.Sprintf("{id=%d state=%d zone=%s instance_type=%s cell=%d started_at=%v weight=%v protocol=%s}",
				b.ID, b.State, b.Zone, b.InstanceType, b.Cell, b.StartedAt, b.Weight, b.Protocol)
		}
		return text + "]}"
	case decision.Outcome:
		return fmt.Sprintf("outcome{request=%d backend=%d attempt=%d result=%d latency=%v final=%v has_usage=%v usage=%v cost=%v load=%v}",
			ev.Request, ev.Backend, ev.Attempt, ev.Result, ev.Latency, ev.Final, ev.HasUsage, ev.Usage, ev.SettledCost, ev.LoadReport)
	case decision.ResponseStarted:
		return fmt.Sprintf("response_started{request=%d attempt=%d}", ev.Request, ev.Attempt)
	case decision.ClientDisconnected:
		return fmt.Sprintf("client_disconnected{request=%d}", ev.Request)
	case decision.ProbeResult:
		return fmt.Sprintf("probe_result{backend=%d result=%d latency=%v load=%v}", ev.Backend, ev.Result, ev.Latency, ev.LoadReport)
	case decision.CounterResult:
		return fmt.Sprintf("counter_result{ref=%d result=%d total=%v}", ev.Ref, ev.Result, ev.Total)
	case decision.ProcessPaused:
		return fmt.Sprintf("process_paused{duration=%v}", ev.Duration)
	case decision.Timer:
		return fmt.Sprintf("timer{token=%d}", ev.Token)
	}
	panic(fmt.Sprintf("encodeEvent lacks %T", ev))
}

// A field that an event gets and encodeEvent doesn't name would not be compared any more.
func TestEncodeEvent_NamesEveryField(t *testing.T) {
	for _, zero := range []decision.Event{decision.Request{}, decision.EndpointUpdate{}, decision.Outcome{}, decision.ResponseStarted{},
		decision.ClientDisconnected{}, decision.ProbeResult{}, decision.CounterResult{}, decision.ProcessPaused{}, decision.Timer{}} {
		for i := range reflect.TypeOf(zero).NumField() {
			changed := reflect.New(reflect.TypeOf(zero)).Elem()
			setNonZero(t, changed.Field(i))
			if encodeEvent(changed.Interface().(decision.Event)) == encodeEvent(zero) {
				t.Errorf("%T: field %d is not in its text", zero, i)
			}
		}
	}
	entry := reflect.TypeFor[decision.Endpoint]()
	empty := encodeEvent(decision.EndpointUpdate{Endpoints: make([]decision.Endpoint, 1)})
	for i := range entry.NumField() {
		changed := decision.EndpointUpdate{Endpoints: make([]decision.Endpoint, 1)}
		setNonZero(t, reflect.ValueOf(&changed.Endpoints[0]).Elem().Field(i))
		if encodeEvent(changed) == empty {
			t.Errorf("an entry of a list: field %d is not in its text", i)
		}
	}
}

// setNonZero sets a field to a value other than its zero value.
func setNonZero(t *testing.T, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(time.Second))
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(1)
	case reflect.Float64:
		v.SetFloat(0.5)
	case reflect.String:
		v.SetString("x")
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
	default:
		t.Fatalf("no value for a field of kind %v", v.Kind())
	}
}
