// Package sim is a deterministic simulator that tests gateways under injected faults. A seed
// determines the whole run: the simulated clock, the connections and the bytes on them, backends,
// clients, the discovery service, a Consul agent, the shared usage counter, and the script of faults.
// Each gateway runs the production code: the request lifecycle, the decision engine, HTTP/1.1 attempts
// with their connection pool, the membership table and, for Consul, blocking queries and the catalog.
// After each event the checker verifies the platform's five rules, and that no request is lost and no
// resource leaks. The same seed and script produce the same trace on every machine.
//
// world.go has the clock, the event queue, random numbers and the trace. config.go draws the size of a
// run and faults.go its script. gateway*.go, attempt.go, catalogwatch.go and endpointsources.go
// implement a gateway. backend*.go, clients.go, conn.go, consulagent.go and usage.go simulate its
// environment. rules.go and requestrules.go check the rules. run.go sets up and executes a run, and
// shrink.go minimizes a failing script.
//
// The package reads no system clock, does no I/O and starts no goroutine. Runs share no state, so
// callers may execute many runs concurrently.
package sim
