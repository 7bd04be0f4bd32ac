package executor

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"
	"pumicecroft/membership"
)

// recordingTransport records the calls to the transport of one protocol.
type recordingTransport struct {
	name  string
	calls *[]string
}

func (t recordingTransport) RoundTrip(*Attempt) Response {
	*t.calls = append(*t.calls, t.name+": RoundTrip")
	return responseWith(decision.Succeeded)
}

func (t recordingTransport) Probe(id decision.BackendID, _ time.Duration) decision.ProbeResult {
	*t.calls = append(*t.calls, fmt.Sprintf("%s: Probe %d", t.name, id))
	return decision.ProbeResult{Backend: id}
}

func (t recordingTransport) Apply(changes []membership.Change) {
	for _, change := range changes {
		*t.calls = append(*t.calls, fmt.Sprintf("%s: Apply %d state %d", t.name, change.ID, change.State))
	}
}

func (t recordingTransport) Close() { *t.calls = append(*t.calls, t.name+": Close") }

type payloadFor string

func (p payloadFor) Protocol() string { return string(p) }

// Attempts, probes and changes must go to the transport of the protocol, and a backend that changes its protocol must
// be removed from the previous transport.
func TestTransportMux(t *testing.T) {
	var calls []string
	mux := NewTransportMux(map[string]BackendTransport{
		"a": recordingTransport{"a", &calls},
		"b": recordingTransport{"b", &calls},
	})
	wantCalls := func(want string, act func()) {
		t.Helper()
		calls = nil
		act()
		if got := strings.Join(calls, "; "); got != want {
			t.Errorf("got calls %q, want %q", got, want)
		}
	}
	change := func(id decision.BackendID, protocol string, state decision.BackendState) func() {
		return func() {
			mux.Apply([]membership.Change{{Endpoint: decision.Endpoint{ID: id, Protocol: protocol, State: state}}})
		}
	}
	wantCalls("a: Apply 1 state 0", change(1, "a", decision.Ready))
	wantCalls("b: Apply 2 state 0", change(2, "b", decision.Ready))
	wantCalls("b: Probe 2", func() { mux.Probe(2, time.Second) })
	wantCalls("a: RoundTrip", func() { mux.RoundTrip(NewAttempt(1, time.Now(), payloadFor("a"))) })
	wantCalls("b: RoundTrip", func() { mux.RoundTrip(NewAttempt(2, time.Now(), payloadFor("b"))) })
	wantCalls("", func() {
		if response := mux.RoundTrip(NewAttempt(2, time.Now(), payloadFor("c"))); response.Result != decision.NotSent {
			t.Errorf("attempt over a protocol without a transport: got result %v, want NotSent (%v)",
				response.Result, decision.NotSent)
		}
		if probe := mux.Probe(3, time.Second); probe.Result != decision.NotSent {
			t.Errorf("probe of an unknown backend: got result %v, want NotSent (%v)", probe.Result, decision.NotSent)
		}
	})
	wantCalls("", change(3, "c", decision.Ready))
	calls = nil
	change(1, "b", decision.Ready)()
	if got := strings.Join(calls, "; "); got != "a: Apply 1 state 2; b: Apply 1 state 0" &&
		got != "b: Apply 1 state 0; a: Apply 1 state 2" {
		t.Errorf("backend changes its protocol from a to b: got calls %q, "+
			"want its removal (state 2) from a and its addition (state 0) to b", got)
	}
	change(1, "b", decision.Removed)()
	change(2, "b", decision.Removed)()
	change(3, "c", decision.Removed)()
	if len(mux.protocols) != 0 {
		t.Errorf("got protocols %v after all backends are removed, want none", mux.protocols)
	}
}
