// Package recovery determines which state a gateway can rely on after its process was restarted or paused: snapshot.go
// holds the stored format of the decision engine's state, restore.go restores it after a restart, debts.go selects the
// customers for a snapshot, and pause.go detects pauses of the process.
//
// The package is pure: it does no I/O and reads no clock, and of this module it imports only pure packages. Each of its
// values has a single owner; that of the PauseDetector is lifecycle.Machine.
package recovery
