package executor

import (
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/membership"
)

// Response is how an attempt ended and, if there was a response, with what.
type Response struct {
	lifecycle.Outcome
	Body any // of the Transport's own type; it goes to the caller of Serve untouched
}

// Transport makes attempts. Both methods are called without a lock held, by many goroutines at once, and may block.
type Transport interface {
	// RoundTrip makes one attempt and returns when it has ended; it never makes it twice. It must return soon once
	// the attempt is cancelled.
	RoundTrip(attempt *Attempt) Response
	// Probe asks a backend for its load, for timeout at the most.
	Probe(id decision.BackendID, timeout time.Duration) decision.ProbeResult
}

// BackendTransport is a Transport that is told which backends it is to reach.
type BackendTransport interface {
	Transport
	// Apply takes in changes; they hold for every attempt that begins after it returns. It must not block.
	Apply(changes []membership.Change)
	// Close closes all connections. Attempts in flight end by themselves.
	Close()
}

// Payload is what an attempt carries.
type Payload interface {
	// Protocol is the name of the protocol that it is sent over.
	Protocol() string
}

// Counter is a set of numbers that all gateways share. Add must not block: it calls done once, from a goroutine of
// its own, when the call was answered or its time is up.
type Counter interface {
	Add(call decision.CounterAdd, done func(decision.CounterResult))
}
