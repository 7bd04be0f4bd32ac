package demo

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"pumicecroft/internal/fakes"
)

// record counts a reply.
func (s *deployment) record(r fakes.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range []*Counts{&s.counts, &s.thisSecond} {
		c.Sent++
		switch r.String() {
		case "served":
			c.Served++
		case "refused":
			c.Rejected++
			if r.RetryAfter != "" {
				c.WithRetryAfter++
			}
		case "lost":
			c.Lost++
		default:
			c.Failed++
		}
	}
	if r.Status == http.StatusOK {
		s.latencies = append(s.latencies, r.Latency)
	}
	if r.Status == 0 {
		fmt.Fprintln(s.options.Out, "  lost:", r.Err)
	}
}

// report prints a line a second until ctx ends.
func (s *deployment) report(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	start := time.Now()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		slices.Sort(s.latencies)
		c := s.thisSecond
		fmt.Fprintf(s.options.Out, "%3.0fs asked=%d served=%d refused=%d (with Retry-After %d) failed=%d p50=%v p99=%v\n",
			time.Since(start).Seconds(), c.Sent, c.Served, c.Rejected, c.WithRetryAfter, c.Failed,
			quantile(s.latencies, 0.5), quantile(s.latencies, 0.99))
		s.thisSecond, s.latencies = Counts{}, s.latencies[:0]
		s.mu.Unlock()
	}
}

// quantile returns a quantile of sorted latencies; 0 if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))].Round(100 * time.Microsecond)
}

// reportRules prints how far the other rules were kept, as the backends saw it. s.mu must be held.
func (s *deployment) reportRules() {
	late := 0
	for _, a := range s.ledger.Attempts() {
		if s.drainedBackend != "" && a.Backend == s.drainedBackend && a.At.After(s.drainedAt.Add(s.settings.DrainGrace)) {
			late++
		}
	}
	overloaded := 0
	for _, b := range s.backends {
		if b.Overloaded() {
			overloaded++
		}
	}
	fmt.Fprintf(s.options.Out, "sent to the drained backend after its grace: %d; cold backends that fell: %d; "+
		"lowest store of the flooding customer's hard ceiling: %.1f units (%.1f allowed)\n",
		late, overloaded, s.lowestHardLimitTokens(), -s.settings.Plans[1].HardLimitOverdraft)
}

// lowestHardLimitTokens replays the forwarded tries of the customer over its quota, each of them once, against the
// token bucket of its hard limit, and returns the lowest number of tokens.
func (s *deployment) lowestHardLimitTokens() float64 {
	plan := s.settings.Plans[1]
	tokens, lowest := plan.HardLimitBurst, plan.HardLimitBurst
	var last time.Time
	seen := map[string]bool{}
	for _, a := range s.ledger.Attempts() {
		if !s.floodingIDs[a.ID] || seen[a.ID] {
			continue
		}
		seen[a.ID] = true
		if !last.IsZero() {
			tokens = min(plan.HardLimitBurst, tokens+plan.HardLimitRate*a.At.Sub(last).Seconds())
		}
		last = a.At
		tokens--
		lowest = min(lowest, tokens)
	}
	return lowest
}
