// Package emulator emulates a region: up to hundreds of gateways, ten thousand backends and a
// million customers, under load and failures that a seed decides, and counts what came of it. Where
// package sim looks for broken rules byte by byte in small worlds, this one has one event for a
// message, so that the effect of a change can be seen at large size. At each gateway runs what
// ships: the request lifecycle and, unless another policy is to be compared with it, the decision
// engine.
//
// A region is divided into shards, by its size alone. A shard has its own event queue, and each
// message between actors takes at least Network.MinDelay; so all shards can run for that long
// without hearing of each other, on as many cores as there are (Fujimoto, Parallel Discrete Event
// Simulation, 1990: a conservative, synchronous window). The result depends on Config and seed
// alone, not on who runs the shards: events of one instant are ordered by who sent them.
//
// region.go is the whole and its windows, shard.go messages and their delivery, gateway.go a
// gateway, clients.go what clients do, backend.go a backend, counter.go the shared counter,
// faults.go faults and discovery, arrivals.go random draws, policy.go what the engine is compared
// with, quota.go the account of quotas and result.go what is counted.
//
// The package is pure. Its caller calls NextWindow, then RunShard for each shard, then DeliverTo
// for each shard, until NextWindow gives false. Calls of RunShard may run at once, and so may those
// of DeliverTo.
package emulator
