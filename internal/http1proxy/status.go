package http1proxy

import (
	"fmt"
	"slices"

	"pumicecroft/decision"
)

// Statuses say what the statuses of a route's backends mean. What a list names comes before the rules at Result; no status may be in two.
type Statuses struct{ Succeeded, Rejected, Failed []int }

// Validate tells what is wrong with lists.
func (s *Statuses) Validate() error {
	seen := map[int]bool{}
	for _, list := range [][]int{s.Succeeded, s.Rejected, s.Failed} {
		for _, v := range list {
			if v < 200 || v > 999 {
				return fmt.Errorf("%d is no status of an answer", v)
			}
			if seen[v] {
				return fmt.Errorf("status %d is there twice", v)
			}
			seen[v] = true
		}
	}
	return nil
}

// Result is what an answer with a status tells the decision module.
//
//   - Refused, so that it has not run and may go elsewhere: 429, which says so by itself; 503 with Retry-After; 503 and 504 with the platform's
//     proof (Not-Started: 1).
//   - AnsweredErr, so that it may have run: 500, 502, 504, and a 503 that does not say when to come back, as servers send it also when they
//     fail midway.
//   - Answered: all else. A 4xx is the backend's word on the request, and so is a 501, which would be the same elsewhere.
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

// MethodIdempotency is what repeating a request may do, by its method (RFC 9110, 9.2): the ones that are safe or idempotent may be repeated. With a
// key and a class whose backends drop repeats, others are keyed.
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
