package conformance

import (
	"fmt"
	"strings"
	"testing"

	"pumicecroft/internal/sim"
)

// compareWithSimulation compares the simulation with real sockets: for each case of testOutcomes the
// simulation must have the same verdict, number of attempts and number of effects as the transcript.
func compareWithSimulation(t *testing.T, transcript string) {
	t.Helper()
	fleets := map[string][]int{"one backend": {0}, "two of one cell": {0, 0}, "two of two cells": {0, 1}}
	lines := strings.Split(transcript, "\n")
	compared := 0
	for i, line := range lines {
		name, ok := strings.CutPrefix(line, "outcome ")
		if !ok {
			continue
		}
		parts := strings.Split(name, ", ")
		outcome, attempts, effects := sim.RunSingleRequest(parts[2], fleets[parts[1]], parts[0])
		want := strings.TrimSpace(lines[i+1])
		if status, rest, failed := strings.Cut(want, ","); failed && strings.HasPrefix(status, "failed ") {
			want = "failed," + rest // the simulation has no statuses
		}
		if outcome == "late" {
			outcome = "failed"
		}
		if got := fmt.Sprintf("%s, %d attempts, %d effects", outcome, attempts, effects); got != want {
			t.Errorf("%s: the simulation has %s, want %s as on sockets", name, got, want)
		}
		compared++
	}
	if want := len(sim.BackendActions) * len(fleets) * 3; compared != want {
		t.Errorf("%d outcomes were compared with the simulation, want %d", compared, want)
	}
}
