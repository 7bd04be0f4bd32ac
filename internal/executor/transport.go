package executor

import (
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/membership"
)

// Response is the outcome of an attempt and the backend's response, if there was one.
type Response struct {
	lifecycle.Outcome
	Body any // of a type defined by the Transport; passed to the caller of Serve unchanged
}

// Transport makes attempts. Its methods are called concurrently, without a lock held, and may block.
type Transport interface {
	// RoundTrip makes one attempt, without retries, and returns when it has ended. It must return promptly when the
	// attempt is cancelled.
	RoundTrip(attempt *Attempt) Response
	// Probe asks a backend for its load and waits for at most timeout.
	Probe(id decision.BackendID, timeout time.Duration) decision.ProbeResult
}

// BackendTransport is a Transport that is configured with the backends that it can reach.
type BackendTransport interface {
	Transport
	// Apply applies changes to the set of backends. They are in effect for every attempt that starts after Apply has
	// returned. It must not block.
	Apply(changes []membership.Change)
	// Close closes all connections. It does not wait for attempts in flight to end.
	Close()
}

// Payload is the content of an attempt.
type Payload interface {
	// Protocol returns the name of the protocol over which the payload is sent.
	Protocol() string
}

// Counter is a set of numbers that all gateways share. Add must not block. It calls done exactly once, from another
// goroutine, when the call is answered or has timed out.
type Counter interface {
	Add(call decision.CounterAdd, done func(decision.CounterResult))
}
