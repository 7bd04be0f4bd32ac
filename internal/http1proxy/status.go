package http1proxy

import (
	"fmt"
	"slices"

	"pumicecroft/decision"
)

// Statuses classify the response statuses of backends. The lists take precedence over the default
// rules of Result. A status may be in only one of them.
type Statuses struct{ Succeeded, Rejected, Failed []int }

// Validate returns an error if a list has an invalid status, or if a status is listed twice.
func (s *Statuses) Validate() error {
	seen := map[int]bool{}
	for _, list := range [][]int{s.Succeeded, s.Rejected, s.Failed} {
		for _, status := range list {
			if status < 200 || status > 999 {
				return fmt.Errorf("status %d is not between 200 and 999", status)
			}
			if seen[status] {
				return fmt.Errorf("status %d is there twice", status)
			}
			seen[status] = true
		}
	}
	return nil
}

// Result returns the result of an attempt whose response has the given status. The defaults are:
//
//   - Rejected (the request did not run and may be sent to another backend): 429, which implies it;
//     503 with Retry-After; 503 and 504 with the platform's proof (Not-Started: 1).
//   - ErrorResponse (the request may have run): 500, 502, 504, and a 503 without Retry-After, which
//     servers also send when they fail while they process a request.
//   - Succeeded: all others. A 4xx is a valid response to the request, and so is a 501, which any
//     other backend would also send.
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

// MethodIdempotency returns the idempotency of a request by its method (RFC 9110, 9.2). A request whose
// method is neither safe nor idempotent is idempotent by key if it has an idempotency key and the
// backends deduplicate requests by it.
func MethodIdempotency(method string, hasKey, deduplicates bool) decision.Idempotency {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return decision.Idempotent
	}
	if hasKey && deduplicates {
		return decision.IdempotentByKey
	}
	return decision.NonIdempotent
}
