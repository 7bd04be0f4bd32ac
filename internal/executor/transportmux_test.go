package executor

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"
	"pumicecroft/membership"
)

// recordingTransport records what one protocol's transport is told.
type recordingTransport struct {
	name  string
	calls *[]string
}

func (s recordingTransport) RoundTrip(*Attempt) Response {
	*s.calls = append(*s.calls, s.name+" carries")
	return responseWith(decision.Succeeded)
}

func (s recordingTransport) Probe(id decision.BackendID, _ time.Duration) decision.ProbeResult {
	*s.calls = append(*s.calls, fmt.Sprintf("%s probes %d", s.name, id))
	return decision.ProbeResult{Backend: id}
}

func (s recordingTransport) Apply(cs []membership.Change) {
	for _, c := range cs {
		*s.calls = append(*s.calls, fmt.Sprintf("%s: %d is in state %d", s.name, c.ID, c.State))
	}
}

func (s recordingTransport) Close() { *s.calls = append(*s.calls, s.name+" closes") }

type payloadFor string

func (l payloadFor) Protocol() string { return string(l) }

// Attempts, probes and changes go to the protocol's transport, and a backend that changes its protocol is removed from
// the first one.
func TestTransportMux(t *testing.T) {
	var told []string
	m := NewTransportMux(map[string]BackendTransport{"a": recordingTransport{"a", &told}, "b": recordingTransport{"b", &told}})
	step := func(want string, do func()) {
		t.Helper()
		told = nil
		do()
		if got := strings.Join(told, "; "); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
	change := func(id decision.BackendID, protocol string, state decision.BackendState) func() {
		return func() {
			m.Apply([]membership.Change{{Endpoint: decision.Endpoint{ID: id, Protocol: protocol, State: state}}})
		}
	}
	step("a: 1 is in state 0", change(1, "a", decision.Ready))
	step("b: 2 is in state 0", change(2, "b", decision.Ready))
	step("b probes 2", func() { m.Probe(2, time.Second) })
	step("a carries", func() { m.RoundTrip(NewAttempt(1, time.Now(), payloadFor("a"))) })
	step("b carries", func() { m.RoundTrip(NewAttempt(2, time.Now(), payloadFor("b"))) })
	step("", func() {
		if r := m.RoundTrip(NewAttempt(2, time.Now(), payloadFor("c"))); r.Result != decision.NotSent {
			t.Errorf("an attempt over a protocol that nobody speaks: %v", r.Result)
		}
		if p := m.Probe(3, time.Second); p.Result != decision.NotSent {
			t.Errorf("a probe of a backend that is not known: %v", p.Result)
		}
	})
	step("", change(3, "c", decision.Ready))
	told = nil
	change(1, "b", decision.Ready)()
	if got := strings.Join(told, "; "); got != "a: 1 is in state 2; b: 1 is in state 0" && got != "b: 1 is in state 0; a: 1 is in state 2" {
		t.Errorf("a backend that goes over to another protocol: %q", got)
	}
	change(1, "b", decision.Removed)()
	change(2, "b", decision.Removed)()
	change(3, "c", decision.Removed)()
	if len(m.protocols) != 0 {
		t.Errorf("%v is kept of backends that are gone", m.protocols)
	}
}
