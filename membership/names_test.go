package membership

import "testing"

// The names of states are part of the output of "pumicecroft members", of JSON and of traces: a constant
// that is renamed must not change them.
func TestStateNames(t *testing.T) {
	for state, want := range map[State]string{
		Unknown:   "unknown",
		WarmingUp: "cold",
		Ready:     "ready",
		Probation: "suspect",
		Draining:  "draining",
		Removed:   "gone",
	} {
		if got := state.String(); got != want {
			t.Errorf("state %d is called %q, want %q", state, got, want)
		}
	}
	if ProtocolHTTP != "http" || ProtocolGRPC != "grpc" {
		t.Errorf("protocols %q and %q", ProtocolHTTP, ProtocolGRPC)
	}
}
