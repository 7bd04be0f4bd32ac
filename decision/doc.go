// Package decision makes the decisions of one gateway: which requests it forwards, to which
// backend, when an attempt is made again, and when a request is rejected. It holds every customer
// of a shared set of backends to its plan.
//
// A gateway creates one Engine with New and passes it every event, in order, by Handle. It carries
// out the returned actions at once and in order. The Engine is a state machine: it has no clock,
// does no I/O, takes no locks, starts no goroutines and keeps no package state, so the same seed
// and events always give the same actions. It is not safe for concurrent use. All times are
// durations on one monotonic clock whose origin does not matter.
//
// Each rule stands in one file:
//
//	settings.go          what an Engine is configured with: classes, plans, the deployment
//	events.go            what it is told
//	actions.go           what it asks for
//	engine.go            its state, the dispatch of events, and what runs once a second
//	admission.go         the way of a request through the rules below, and its priority tier
//	customers.go         what is known of each customer, and for how long
//	quota.go             a plan's rate and burst
//	usagereports.go      what a customer used over all gateways
//	hardlimit.go         this gateway's share of a plan's hard limit
//	counter.go           what gateways lend each other of a hard limit, over the shared counter
//	retryafter.go        when a rejected client is told to come back
//	endpointupdates.go   changes of the set of backends
//	selection.go         which backend an attempt goes to
//	slowstart.go         how much a backend that has just started is sent
//	outliers.go          silent, slow and unreachable backends; slow attempts that are cancelled
//	attempts.go          the life of an attempt, and what its outcome teaches
//	retries.go           when an attempt is made again, and the final answer without one
//	concurrencylimit.go  how many attempts may be in flight
//	partitions.go        how these are divided between priority tiers
//	partitionsearch.go   the search for the most valuable division
//	pauses.go            what a pause of this process took off the attempts in flight
//	state.go             what a later process of the same gateway is handed
package decision
