package sim

import (
	"math/rand/v2"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/lifecycle"
)

// perturbedEngine modifies a decision engine's actions within what its interface allows. Runs then
// cover actions that the engine itself rarely emits: attempts with a timeout, and probes.
type perturbedEngine struct {
	lifecycle.DecisionEngine
	rng            *rand.Rand
	backends       int
	clientsStopped *bool // clients send nothing any more, and no probes are made
}

// Handle passes an event to the engine and modifies the resulting actions.
func (e *perturbedEngine) Handle(now time.Duration, event decision.Event, actions []decision.Action) []decision.Action {
	actions = e.DecisionEngine.Handle(now, event, actions)
	for i, action := range actions {
		if attempt, ok := action.(decision.StartAttempt); ok && e.rng.IntN(3) == 0 {
			attempt.Timeout = randDuration(e.rng, 20*time.Millisecond, 900*time.Millisecond)
			actions[i] = attempt
		}
	}
	if timer, ok := event.(decision.Timer); ok && timer.Token == 0 && !*e.clientsStopped {
		actions = append(actions, decision.Probe{Backend: decision.BackendID(1 + e.rng.IntN(e.backends))})
	}
	return actions
}
