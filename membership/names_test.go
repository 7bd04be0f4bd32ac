package membership

import "testing"

// The names of states appear in the output of "pumicecroft members", in JSON and in traces, so renaming a constant
// must not change them.
func TestStateAndProtocolNames(t *testing.T) {
	for state, want := range map[State]string{
		Unknown:   "unknown",
		WarmingUp: "cold",
		Ready:     "ready",
		Probation: "suspect",
		Draining:  "draining",
		Removed:   "gone",
	} {
		if got := state.String(); got != want {
			t.Errorf("name of state %d is %q, want %q", state, got, want)
		}
	}
	if ProtocolHTTP != "http" || ProtocolGRPC != "grpc" {
		t.Errorf("protocols are %q and %q, want \"http\" and \"grpc\"", ProtocolHTTP, ProtocolGRPC)
	}
}
