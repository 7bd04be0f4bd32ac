// Package decision makes the decisions of one gateway: whether a request is forwarded, to which
// backend each attempt is sent, when an attempt is retried, and when a request is rejected. It
// limits every customer of a shared set of backends to its plan.
//
// A gateway creates one Engine with New, passes every event to Handle in order, and carries out the
// returned actions at once and in order. The Engine is a deterministic state machine: it has no
// clock, does no I/O, takes no locks, starts no goroutines and keeps no package-level state, so the
// same seed and events always give the same actions. It is not safe for concurrent use. All times
// are durations on one monotonic clock with an arbitrary origin.
//
// Each rule has its own file:
//
//	settings.go          the configuration of an Engine: classes, plans, the deployment
//	events.go            the Engine's input
//	actions.go           the Engine's output
//	engine.go            the Engine's state, event dispatch, and the tick that runs once a second
//	admission.go         the order in which a request passes the rules below, and its priority tier
//	customers.go         the state kept for each customer, and when it is removed
//	quota.go             a plan's rate and burst
//	usagereports.go      reports of a customer's use over all gateways
//	hardlimit.go         this gateway's share of a plan's hard limit
//	counter.go           hard-limit tokens that gateways exchange through the shared counter
//	retryafter.go        the Retry-After of rejections
//	endpointupdates.go   changes to the set of backends
//	selection.go         which backend an attempt goes to
//	slowstart.go         limits on what is sent to a backend that has just started
//	outliers.go          detection of silent, slow and unreachable backends; cancelling slow attempts
//	attempts.go          the life cycle of an attempt, and the statistics updated by its outcome
//	retries.go           when an attempt is retried, and the final answer if none is
//	concurrencylimit.go  how many attempts may be in flight
//	partitions.go        how the concurrency limit is divided between priority tiers
//	partitionsearch.go   the search for the division with the highest payoff
//	pauses.go            correction of timestamps after this process was paused
//	state.go             the state that a later process of the same gateway restores
package decision
