// Package sim runs gateways in a simulated world that a seed decides: a clock of its own, a network
// of connections that carry bytes, backends, clients, discovery, a Consul agent and the shared
// counter of usage, with scripted faults. Each gateway runs what ships: the request lifecycle, the
// decision engine, attempts over HTTP/1.1 and their connection pool, the membership table, and for
// Consul its blocking queries and catalog. The platform's five rules, and that nothing is lost or
// kept for good, are checked at each step. The same seed and script give the same trace, whatever
// runs them.
//
// world.go is the clock, the event queue, randomness and the trace; config.go draws a run's size,
// faults.go its script; gateway*.go, attempt.go and endpointsources.go are a gateway; backend*.go,
// clients.go, conn.go and consulagent.go the rest of the world; rules.go and requestrules.go check
// the rules; run.go puts a run together and shrink.go shrinks a failing script.
//
// The package is pure: it reads no clock, opens nothing and starts no goroutine. A run owns all its
// state, so callers may make many runs at once.
package sim
