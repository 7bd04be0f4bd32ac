package lifecycle

import (
	"time"

	"pumicecroft/decision"
)

// EffectKind says what an Effect asks of the executor.
type EffectKind uint8

// The kinds of effects.
const (
	// StartAttempt asks for attempt Attempt at Backend, to end by Deadline. One call of AttemptEnded must follow.
	StartAttempt EffectKind = iota
	// CancelAttempt asks for that attempt to end now. Its AttemptEnded still follows.
	CancelAttempt
	// Respond is the request's one final answer: Verdict, with RetryAfter or with the response of Attempt.
	Respond
	// ProbeBackend asks Backend for its load. One call of ProbeAnswered must follow.
	ProbeBackend
	// Subscribe asks for updates of the backends.
	Subscribe
	// AddToCounter asks the counter that all gateways share, as CounterAdd says. One call of CounterAnswered must
	// follow.
	AddToCounter
	// SyncSources has all sources take in what has arrived. One call of SourcesSynced with SyncID must follow.
	SyncSources
)

// Verdict is how a request ended.
type Verdict uint8

// The verdicts.
const (
	Served             Verdict = iota // with the response of Attempt
	Rejected                          // trying again is harmless
	Failed                            // it may have executed
	DeadlineExceeded                  // its time was up before there was another answer; it may have executed
	ClientDisconnected                // nobody awaits an answer
	Aborted                           // the Machine was aborted before there was another answer; it may have executed
)

// Effect is one thing that the executor must do. Its Kind says which of the other fields are set.
type Effect struct {
	Kind       EffectKind
	Tag        any                // StartAttempt, CancelAttempt and Respond: what Submit was given
	Request    decision.RequestID // as Tag
	Attempt    int                // StartAttempt, CancelAttempt, and Respond with Served; from 0
	Backend    decision.BackendID
	Deadline   time.Duration       // StartAttempt
	DecidedAt  time.Duration       // StartAttempt
	NotAfter   time.Duration       // StartAttempt: it must not be sent after that; 0: no limit
	TimedOut   bool                // CancelAttempt: the attempt's time is up
	Verdict    Verdict             // Respond
	RetryAfter time.Duration       // Respond with Rejected; 0: no advice
	Reason     decision.Reason     // Respond with Rejected
	CounterAdd decision.CounterAdd // AddToCounter
	SyncID     uint64              // SyncSources
	PausedFor  time.Duration       // SyncSources: how long the process may have been paused
}

// Outcome is how an attempt ended, as its executor saw it.
type Outcome struct {
	Result      decision.Result
	HasUsage    bool
	Usage       float64 // percent; see decision.Outcome
	SettledCost float64 // see decision.Outcome
	LoadReport  []float64
}
