package load

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the result of a run. Latencies count from the time at which a request was due. The tags are the keys of the
// result file.
type Result struct {
	Plan      string                     `json:"Plan"`
	Target    string                     `json:"Target"`
	Seed      uint64                     `json:"Seed"`
	Duration  time.Duration              `json:"Took"`
	Partial   bool                       `json:"Partial"` // the run was ended before its plan was done
	Scheduled int                        `json:"Asked"`   // requests that were due, including the dropped ones
	Dropped   int                        `json:"Lost"`    // not sent as MaxOpen were in flight; in All as Plan.Timeout
	Retries   int                        `json:"Retries"`
	Good      int                        `json:"Good"`    // requests with a successful response
	Bytes     int64                      `json:"Bytes"`   // length of the bodies of final responses
	Outcomes  map[string]int             `json:"By"`      // requests by final status or error
	Kinds     map[string]*LatencySummary `json:"Kinds"`   // by RequestKind.Name
	All       LatencySummary             `json:"All"`     // of all requests
	Served    LatencySummary             `json:"Served"`  // of the requests that Good counts
	LagP99    time.Duration              `json:"LagP99"`  // 99th percentile of how late requests were sent
	Invalid   string                     `json:"Invalid"` // why the run is invalid; empty if it is valid

	mu          sync.Mutex
	plan        *Plan
	lag         *hdrhistogram.Histogram              // how late requests were sent, in microseconds
	sinceReport struct{ scheduled, ended, good int } // requests since the last progress line
	lastReport  time.Time                            // when that line was written
}

// LatencySummary summarizes latencies. The tags are keys of the result file.
type LatencySummary struct {
	Count     int64         `json:"Count"`  // including Beyond
	Beyond    int64         `json:"Beyond"` // latencies above the histogram's range, which no quantile includes
	Mean      time.Duration `json:"Mean"`
	P50       time.Duration `json:"P50"`
	P90       time.Duration `json:"P90"`
	P99       time.Duration `json:"P99"`
	P999      time.Duration `json:"P999"`
	Max       time.Duration `json:"Max"`
	Histogram []byte        `json:"Histogram"` // compressed HDR histogram, in microseconds

	histogram *hdrhistogram.Histogram
}

// newLatencySummary returns an empty summary. Its histogram ranges up to twice the requests' timeout.
func newLatencySummary(timeout time.Duration) LatencySummary {
	return LatencySummary{histogram: hdrhistogram.New(1, max(2, 2*timeout.Microseconds()), 3)}
}

// add adds a latency.
func (s *LatencySummary) add(latency time.Duration) {
	if s.histogram.RecordValue(max(1, latency.Microseconds())) != nil {
		s.Beyond++
	}
}

// summarize sets the exported fields from the histogram.
func (s *LatencySummary) summarize() (err error) {
	s.Count = s.histogram.TotalCount() + s.Beyond
	s.Mean, s.Max = time.Duration(s.histogram.Mean()*1e3), time.Duration(s.histogram.Max())*time.Microsecond
	s.P50, s.P90 = quantile(s.histogram, 50), quantile(s.histogram, 90)
	s.P99, s.P999 = quantile(s.histogram, 99), quantile(s.histogram, 99.9)
	s.Histogram, err = s.histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return err
}

// newResult returns the empty result of a run.
func newResult(p *Plan, target string) *Result {
	r := &Result{
		Plan: p.Name, Target: target, Seed: p.Seed, Outcomes: map[string]int{}, Kinds: map[string]*LatencySummary{},
		plan: p, lag: hdrhistogram.New(1, time.Hour.Microseconds(), 3), lastReport: time.Now(),
	}
	r.All, r.Served = newLatencySummary(p.Timeout), newLatencySummary(p.Timeout)
	for _, k := range p.Kinds {
		summary := newLatencySummary(p.Timeout)
		r.Kinds[k.Name] = &summary
	}
	return r
}

// recordScheduled counts a request that is due. lag is how late it is sent.
func (r *Result) recordScheduled(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Scheduled++
	r.sinceReport.scheduled++
	_ = r.lag.RecordValue(max(1, lag.Microseconds())) // fails above an hour, which exceeds any MaxLag
}

// recordDropped counts a request that was due and is not sent.
func (r *Result) recordDropped(request *Request, lag time.Duration) {
	r.recordScheduled(lag)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Dropped++
	r.Outcomes["no room"]++
	r.All.add(r.plan.Timeout)
	r.Kinds[r.plan.Kinds[request.Kind].Name].add(r.plan.Timeout)
}

// recordRetry counts a retry.
func (r *Result) recordRetry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Retries++
}

// recordOutcome counts the result of the last try of a request. latency counts from the time at which it was due.
func (r *Result) recordOutcome(request *Request, latency time.Duration, reply *reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Outcomes[reply.status]++
	r.Bytes += reply.bytes
	r.sinceReport.ended++
	r.All.add(latency)
	r.Kinds[r.plan.Kinds[request.Kind].Name].add(latency)
	if reply.good {
		r.Good++
		r.sinceReport.good++
		r.Served.add(latency)
	}
}

// progressLine returns a line with the rates since the last one and the latencies of the whole run so far.
func (r *Result) progressLine() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.sinceReport
	r.sinceReport.scheduled, r.sinceReport.ended, r.sinceReport.good = 0, 0, 0
	since := time.Since(r.lastReport).Seconds()
	r.lastReport = time.Now()
	ended := r.All.histogram.TotalCount() + r.All.Beyond - int64(r.Dropped) // All includes the dropped requests
	open := int64(r.Scheduled-r.Dropped) - ended
	return fmt.Sprintf(
		"due %.0f/s  completed %.0f/s  good %.0f/s  in flight %d  dropped %d  p50 %v  p99 %v  lag p99 %v",
		float64(s.scheduled)/since, float64(s.ended)/since, float64(s.good)/since, open, r.Dropped,
		quantile(r.All.histogram, 50), quantile(r.All.histogram, 99), quantile(r.lag, 99))
}

// quantile returns a quantile of a histogram in microseconds.
func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}

// finish sets the summaries and Invalid. A run that could not keep its schedule is invalid, as it measured the load
// generator instead of the target.
func (r *Result) finish(duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Duration = duration
	r.LagP99 = quantile(r.lag, 99)
	summaries := []*LatencySummary{&r.All, &r.Served}
	for _, s := range r.Kinds {
		summaries = append(summaries, s)
	}
	for _, s := range summaries {
		if err := s.summarize(); err != nil {
			r.Invalid = err.Error()
		}
	}
	switch {
	case r.Scheduled == 0:
		r.Invalid = "no request was due"
	case r.LagP99 > r.plan.MaxLag:
		r.Invalid = fmt.Sprintf("the load generator could not keep its schedule: the 99th percentile of the sending "+
			"lag is %v, at most %v is allowed (most_lag)", r.LagP99, r.plan.MaxLag)
	}
}

// JSON returns the content of the result file, indented.
func (r *Result) JSON() ([]byte, error) {
	text, err := json.MarshalIndent(r, "", "  ")
	return append(text, '\n'), err
}

// String returns the result as text of several lines.
func (r *Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "plan %s, target %s: %d requests in %.1f s, %d good, %d retries, %d dropped\n",
		r.Plan, r.Target, r.Scheduled, r.Duration.Seconds(), r.Good, r.Retries, r.Dropped)
	for _, status := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(&b, "  %-16s %d\n", status, r.Outcomes[status])
	}
	writeSummary := func(name string, s *LatencySummary) {
		fmt.Fprintf(&b, "  %-16s p50 %v  p90 %v  p99 %v  p99.9 %v  max %v",
			name, s.P50, s.P90, s.P99, s.P999, s.Max)
		if s.Beyond > 0 {
			fmt.Fprintf(&b, "  (%d above the histogram's range)", s.Beyond)
		}
		b.WriteString("\n")
	}
	writeSummary("all", &r.All)
	writeSummary("good", &r.Served)
	if len(r.Kinds) > 1 {
		for _, name := range slices.Sorted(maps.Keys(r.Kinds)) {
			writeSummary(name, r.Kinds[name])
		}
	}
	if r.Partial {
		b.WriteString("  the run was ended early\n")
	}
	if r.Invalid != "" {
		fmt.Fprintf(&b, "NOT VALID: %s\n", r.Invalid)
	}
	return b.String()
}
