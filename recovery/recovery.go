// Package recovery says what a gateway may still rely on after its process was restarted or paused: snapshot.go is
// the stored form of its decisions' state, restore.go what a restart makes of it, debts.go whom a snapshot keeps,
// and pause.go how a pause of the process is noticed.
//
// The package is pure: times are durations on the gateway's own clock, and it imports nothing of this module but what
// is as pure. Each of its values has one owner: lifecycle.Machine has the PauseDetector.
package recovery
