package demo

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"pumicecroft/internal/fakes"
)

// record adds a reply to the figures.
func (d *deployment) record(r fakes.Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range []*Counts{&d.counts, &d.thisSecond} {
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
		d.latencies = append(d.latencies, r.Latency)
	}
	if r.Status == 0 {
		fmt.Fprintln(d.options.Out, "  lost:", r.Err)
	}
}

// report prints a line of figures each second until ctx ends.
func (d *deployment) report(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	start := time.Now()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		d.mu.Lock()
		slices.Sort(d.latencies)
		c := d.thisSecond
		fmt.Fprintf(d.options.Out,
			"%3.0fs asked=%d served=%d refused=%d (with Retry-After %d) failed=%d p50=%v p99=%v\n",
			time.Since(start).Seconds(), c.Sent, c.Served, c.Rejected, c.WithRetryAfter, c.Failed,
			quantile(d.latencies, 0.5), quantile(d.latencies, 0.99))
		d.thisSecond, d.latencies = Counts{}, d.latencies[:0]
		d.mu.Unlock()
	}
}

// quantile returns the q-quantile of sorted latencies, or 0 if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))].Round(100 * time.Microsecond)
}

// reportInvariants prints figures on drains, slow starts and the hard limit, as measured at the backends. d.mu must be
// held.
func (d *deployment) reportInvariants() {
	late := 0
	for _, a := range d.ledger.Attempts() {
		if d.drainedBackend != "" && a.Backend == d.drainedBackend &&
			a.At.After(d.drainedAt.Add(d.settings.DrainGrace)) {
			late++
		}
	}
	overloaded := 0
	for _, b := range d.backends {
		if b.Overloaded() {
			overloaded++
		}
	}
	fmt.Fprintf(d.options.Out, "attempts at the drained backend after its grace period: %d; "+
		"overloaded cold backends: %d; "+
		"lowest token count of the hard limit of the customer over its quota: %.1f (at least %.1f allowed)\n",
		late, overloaded, d.lowestHardLimitTokens(), -d.settings.Plans[1].HardLimitOverdraft)
}

// lowestHardLimitTokens replays the forwarded requests of the customer over its quota against the token bucket of its
// hard limit, each request once without its retries by the gateway, and returns the lowest number of tokens.
func (d *deployment) lowestHardLimitTokens() float64 {
	plan := d.settings.Plans[1]
	tokens, lowest := plan.HardLimitBurst, plan.HardLimitBurst
	var last time.Time
	seen := map[string]bool{}
	for _, a := range d.ledger.Attempts() {
		if !d.overQuotaIDs[a.ID] || seen[a.ID] {
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
