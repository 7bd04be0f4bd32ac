package http1proxy

import (
	"fmt"
	"slices"

	"pumicecroft/decision"
)

// Statuses say what backends mean by their statuses. The lists take precedence over the rules at
// Result. No status may be in two of them.
type Statuses struct{ Succeeded, Rejected, Failed []int }

// Validate returns an error if a list has an invalid status, or one that another list has.
func (s *Statuses) Validate() error {
	seen := map[int]bool{}
	for _, list := range [][]int{s.Succeeded, s.Rejected, s.Failed} {
		for _, status := range list {
			if status < 200 || status > 999 {
				return fmt.Errorf("%d is no status of an answer", status)
			}
			if seen[status] {
				return fmt.Errorf("status %d is there twice", status)
			}
			seen[status] = true
		}
	}
	return nil
}

// Result returns what a response with a status tells the decision engine.
//
//   - Rejected, so that the request did not run and may go elsewhere: 429, which says so by itself;
//     503 with Retry-After; 503 and 504 with the platform's proof (Not-Started: 1).
//   - ErrorResponse, so that the request may have run: 500, 502, 504, and a 503 without Retry-After,
//     which servers also send when they fail midway.
//   - Succeeded: all others. A 4xx is the backend's answer to the request, and so is a 501, which
//     would be the same elsewhere.
func (s *Statuses) Result(status int, retryAfter, notStarted bool) decision.Result {
	switch {
	case slices.Contains(s.Succeeded, status):
		return decision.Succeeded
	case slices.Contains(s.Rejected, status):
		return decision.Rejected
	case slices.Contains(s.Failed, status):
		return decision.ErrorResponse
	}
	switch status {
	case 429:
		return decision.Rejected
	case 503:
		if retryAfter || notStarted {
			return decision.Rejected
		}
		return decision.ErrorResponse
	case 504:
		if notStarted {
			return decision.Rejected
		}
		return decision.ErrorResponse
	case 500, 502:
		return decision.ErrorResponse
	}
	return decision.Succeeded
}

// MethodIdempotency returns the idempotency of a request by its method (RFC 9110, 9.2). Requests whose
// method is neither safe nor idempotent are idempotent by key, if they have a key and their backends
// drop repeats by it.
func MethodIdempotency(method string, key, dropsRepeats bool) decision.Idempotency {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return decision.Idempotent
	}
	if key && dropsRepeats {
		return decision.IdempotentByKey
	}
	return decision.NonIdempotent
}
