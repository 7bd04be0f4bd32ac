package lifecycle

import (
	"time"

	"pumicecroft/decision"
)

// EffectKind is the kind of work that an Effect asks of the executor.
type EffectKind uint8

// The kinds of effects.
const (
	// StartAttempt starts attempt number Attempt at Backend, to end by Deadline. The executor must call AttemptEnded
	// once for it.
	StartAttempt EffectKind = iota
	// CancelAttempt cancels attempt number Attempt at once. AttemptEnded must still be called for it.
	CancelAttempt
	// Respond gives the request its only final answer: Verdict, with RetryAfter or with the response of Attempt.
	Respond
	// ProbeBackend asks Backend for its load. The executor must call ProbeAnswered once.
	ProbeBackend
	// Subscribe asks for endpoint updates.
	Subscribe
	// AddToCounter performs CounterAdd on the counter that all gateways share. The executor must call CounterAnswered
	// once.
	AddToCounter
	// SyncSources makes all endpoint sources apply the updates that have arrived. The executor must call SourcesSynced
	// once with SyncID.
	SyncSources
)

// Verdict is how a request ended.
type Verdict uint8

// The verdicts.
const (
	Served             Verdict = iota // with the response of Attempt
	Rejected                          // the client may safely retry
	Failed                            // the request may have executed
	DeadlineExceeded                  // no answer in time, or a started response timed out; the request may have executed
	ClientDisconnected                // the client is gone, so nobody receives the answer
	Aborted                           // Machine.Abort came before any other answer; the request may have executed
)

// Effect is one operation that the executor must carry out. Kind determines which of the other fields are set; the
// comments name the kinds.
type Effect struct {
	Kind       EffectKind
	Tag        any                 // StartAttempt, CancelAttempt and Respond: the tag passed to Submit
	Request    decision.RequestID  // StartAttempt, CancelAttempt and Respond
	Attempt    int                 // StartAttempt, CancelAttempt, and Respond with Served; counted from 0
	Backend    decision.BackendID  // StartAttempt, CancelAttempt and ProbeBackend
	Deadline   time.Duration       // StartAttempt
	DecidedAt  time.Duration       // StartAttempt: when the engine decided it, or the end of the sync that held it back
	NotAfter   time.Duration       // StartAttempt: the latest time at which it may be sent; 0: no limit
	TimedOut   bool                // CancelAttempt: the attempt reached its deadline
	Verdict    Verdict             // Respond
	RetryAfter time.Duration       // Respond with Rejected; 0: the client is not told when to retry
	Reason     decision.Reason     // Respond with Rejected
	CounterAdd decision.CounterAdd // AddToCounter
	SyncID     uint64              // SyncSources
	PausedFor  time.Duration       // SyncSources: how long the process may have been paused
}

// Outcome is how an attempt ended, as reported by the executor.
type Outcome struct {
	Result      decision.Result
	HasUsage    bool
	Usage       float64 // in percent; see decision.Outcome
	SettledCost float64 // see decision.Outcome
	LoadReport  []float64
}
