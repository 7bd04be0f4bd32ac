//go:build !race

package grpcproxy

const raceOn = false
