// Package emulator is a discrete-event simulation of a region: up to hundreds of gateways, ten
// thousand backends and a million customers, under load and faults that are determined by a seed.
// It counts what happened to the calls. Package sim checks rules byte by byte in small worlds;
// this package uses one event per message, so that the effect of a change can be measured at large
// scale. Each gateway runs shipped code: the request lifecycle and, unless another policy is to be
// compared with it, the decision engine.
//
// A region is divided into shards; their number depends only on Config. Each shard has its own
// event queue, and a message between actors takes at least Network.MinDelay. All shards can
// therefore run independently for that long, on as many cores as there are: a conservative,
// synchronous time window (Fujimoto, Parallel Discrete Event Simulation, 1990). The result depends
// only on Config and the seed, not on which goroutine runs which shard: events of the same instant
// are ordered by their sender.
//
// region.go has the region and its time windows, shard.go messages and their delivery, gateway.go
// gateways, clients.go the behaviour of clients, backend.go backends, counter.go the shared counter,
// faults.go faults and discovery, arrivals.go random draws, policy.go the policies that the engine
// is compared with, quota.go quota accounting and result.go the counts.
//
// The package is pure: it starts no goroutines and does no I/O. Its caller calls NextWindow, then
// RunShard for each shard, then DeliverTo for each shard, until NextWindow returns false. Calls of
// RunShard may run concurrently, and so may calls of DeliverTo.
package emulator
