// Package recovery says what a door may still believe of what it knew before it started, or before it stood still. standstill.go
// notices that a process stood still. It is pure: times are durations on the door's own clock, chance comes from its caller, and it
// imports nothing of this module but what is as pure. Its values have one owner each: the core has the Standstill.
package recovery
