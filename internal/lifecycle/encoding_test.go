package lifecycle

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pumicecroft/decision"
)

// encodeEvent returns an event as text with all of its fields. The names in the text are independent of Go identifiers,
// so that expectations remain valid when identifiers are renamed.
func encodeEvent(event decision.Event) string {
	switch event := event.(type) {
	case decision.Request:
		return fmt.Sprintf("request{id=%d customer=%d class=%s plan=%s cost=%v timeout=%v first_gateway=%d spread=%d "+
			"protocol=%s}", event.ID, event.Customer, event.Class, event.Plan, event.Cost, event.Timeout,
			event.FirstGateway, event.GatewaySpread, event.Protocol)
	case decision.EndpointUpdate:
		text := fmt.Sprintf("endpoint_update{kind=%d endpoints=[", event.Kind)
		for _, endpoint := range event.Endpoints {
			text += fmt.Sprintf("{id=%d state=%d zone=%s instance_type=%s cell=%d started_at=%v weight=%v protocol=%s}",
				endpoint.ID, endpoint.State, endpoint.Zone, endpoint.InstanceType, endpoint.Cell,
				endpoint.StartedAt, endpoint.Weight, endpoint.Protocol)
		}
		return text + "]}"
	case decision.Outcome:
		return fmt.Sprintf("outcome{request=%d backend=%d attempt=%d result=%d latency=%v final=%v has_usage=%v usage=%v "+
			"settled_cost=%v load=%v}", event.Request, event.Backend, event.Attempt, event.Result, event.Latency, event.Final,
			event.HasUsage, event.Usage, event.SettledCost, event.LoadReport)
	case decision.ResponseStarted:
		return fmt.Sprintf("response_started{request=%d attempt=%d}", event.Request, event.Attempt)
	case decision.ClientDisconnected:
		return fmt.Sprintf("client_disconnected{request=%d}", event.Request)
	case decision.ProbeResult:
		return fmt.Sprintf("probe_result{backend=%d result=%d latency=%v load=%v}",
			event.Backend, event.Result, event.Latency, event.LoadReport)
	case decision.CounterResult:
		return fmt.Sprintf("counter_result{ref=%d result=%d total=%v}", event.Ref, event.Result, event.Total)
	case decision.ProcessPaused:
		return fmt.Sprintf("process_paused{duration=%v}", event.Duration)
	case decision.Timer:
		return fmt.Sprintf("timer{token=%d}", event.Token)
	}
	panic(fmt.Sprintf("encodeEvent does not support %T", event))
}

// If a field is added to an event but not to encodeEvent, the tests would silently not compare it.
func TestEncodeEvent_NamesEveryField(t *testing.T) {
	for _, zero := range []decision.Event{
		decision.Request{}, decision.EndpointUpdate{}, decision.Outcome{}, decision.ResponseStarted{},
		decision.ClientDisconnected{}, decision.ProbeResult{}, decision.CounterResult{}, decision.ProcessPaused{},
		decision.Timer{},
	} {
		for i := range reflect.TypeOf(zero).NumField() {
			changed := reflect.New(reflect.TypeOf(zero)).Elem()
			setNonZero(t, changed.Field(i))
			if encodeEvent(changed.Interface().(decision.Event)) == encodeEvent(zero) {
				t.Errorf("encodeEvent(%T): got the same text for the zero value and for a changed field %s, want a difference",
					zero, reflect.TypeOf(zero).Field(i).Name)
			}
		}
	}
	entry := reflect.TypeFor[decision.Endpoint]()
	empty := encodeEvent(decision.EndpointUpdate{Endpoints: make([]decision.Endpoint, 1)})
	for i := range entry.NumField() {
		changed := decision.EndpointUpdate{Endpoints: make([]decision.Endpoint, 1)}
		setNonZero(t, reflect.ValueOf(&changed.Endpoints[0]).Elem().Field(i))
		if encodeEvent(changed) == empty {
			t.Errorf("encodeEvent(EndpointUpdate): got the same text for a zero endpoint and for a changed field %s, "+
				"want a difference", entry.Field(i).Name)
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
		t.Fatalf("setNonZero does not support fields of kind %v", v.Kind())
	}
}
