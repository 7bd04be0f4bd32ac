//go:build race

package grpcfront

const raceOn = true
