//go:build race

package grpcproxy

const raceEnabled = true
