package conformance

import (
	"fmt"
	"strings"
	"testing"

	"pumicecroft/internal/sim"
)

// compareWithWorld compares the simulated world with the real one: each of the suite's outcomes, as
// all gateways had it on sockets, must be the world's too, in verdict, attempts and effects.
func compareWithWorld(t *testing.T, transcript string) {
	t.Helper()
	fleets := map[string][]int{"one backend": {0}, "two of one cell": {0, 0}, "two of two cells": {0, 1}}
	lines := strings.Split(transcript, "\n")
	held := 0
	for i, line := range lines {
		name, ok := strings.CutPrefix(line, "outcome ")
		if !ok {
			continue
		}
		part := strings.Split(name, ", ")
		told, attempts, effects := sim.RunSingleRequest(part[2], fleets[part[1]], part[0])
		want := strings.TrimSpace(lines[i+1])
		if status, rest, failed := strings.Cut(want, ","); failed && strings.HasPrefix(status, "failed ") {
			want = "failed," + rest // the world has no statuses
		}
		if told == "late" {
			told = "failed"
		}
		if got := fmt.Sprintf("%s, %d attempts, %d effects", told, attempts, effects); got != want {
			t.Errorf("%s: on sockets %s, in the world %s", name, want, got)
		}
		held++
	}
	if want := len(sim.BackendActions) * len(fleets) * 3; held != want {
		t.Errorf("%d outcomes were held against the world's, want %d", held, want)
	}
}
