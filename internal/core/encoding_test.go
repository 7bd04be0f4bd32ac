package core

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
			ev.ID, ev.Customer, ev.Class, ev.Plan, ev.Units, ev.Patience, ev.FirstDoor, ev.Spread, ev.Protocol)
	case decision.BackendList:
		text := fmt.Sprintf("endpoint_update{kind=%d endpoints=[", ev.Kind)
		for _, b := range ev.Backends {
			text += fmt.Sprintf("{id=%d state=%d zone=%s instance_type=%s cell=%d started_at=%v weight=%v protocol=%s}",
				b.ID, b.State, b.Zone, b.Kind, b.Cell, b.Started, b.Weight, b.Protocol)
		}
		return text + "]}"
	case decision.Outcome:
		return fmt.Sprintf("outcome{request=%d backend=%d attempt=%d result=%d latency=%v final=%v has_usage=%v usage=%v cost=%v load=%v}",
			ev.Request, ev.Backend, ev.Attempt, ev.Result, ev.Took, ev.Final, ev.HasUse, ev.Use, ev.Units, ev.Load)
	case decision.AnswerStarted:
		return fmt.Sprintf("response_started{request=%d attempt=%d}", ev.Request, ev.Attempt)
	case decision.ClientGone:
		return fmt.Sprintf("client_disconnected{request=%d}", ev.Request)
	case decision.ProbeResult:
		return fmt.Sprintf("probe_result{backend=%d result=%d latency=%v load=%v}", ev.Backend, ev.Result, ev.Took, ev.Load)
	case decision.Counted:
		return fmt.Sprintf("counter_result{ref=%d result=%d total=%v}", ev.Ref, ev.Result, ev.Total)
	case decision.Stood:
		return fmt.Sprintf("process_paused{duration=%v}", ev.For)
	case decision.Timer:
		return fmt.Sprintf("timer{token=%d}", ev.Token)
	}
	panic(fmt.Sprintf("encodeEvent lacks %T", ev))
}

// A field that an event gets and encodeEvent doesn't name would not be compared any more.
func TestEncodeEvent_NamesEveryField(t *testing.T) {
	for _, zero := range []decision.Event{decision.Request{}, decision.BackendList{}, decision.Outcome{}, decision.AnswerStarted{},
		decision.ClientGone{}, decision.ProbeResult{}, decision.Counted{}, decision.Stood{}, decision.Timer{}} {
		for i := range reflect.TypeOf(zero).NumField() {
			changed := reflect.New(reflect.TypeOf(zero)).Elem()
			fill(t, changed.Field(i))
			if encodeEvent(changed.Interface().(decision.Event)) == encodeEvent(zero) {
				t.Errorf("%T: field %d is not in its text", zero, i)
			}
		}
	}
	entry := reflect.TypeFor[decision.BackendInfo]()
	empty := encodeEvent(decision.BackendList{Backends: make([]decision.BackendInfo, 1)})
	for i := range entry.NumField() {
		changed := decision.BackendList{Backends: make([]decision.BackendInfo, 1)}
		fill(t, reflect.ValueOf(&changed.Backends[0]).Elem().Field(i))
		if encodeEvent(changed) == empty {
			t.Errorf("an entry of a list: field %d is not in its text", i)
		}
	}
}

// fill gives a field a value other than its zero one.
func fill(t *testing.T, v reflect.Value) {
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
