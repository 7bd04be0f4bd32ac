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

// Result is the result of a run. Latencies count from the time at which a request was due. Its tags are the form of the
// result file.
type Result struct {
	Plan     string                     `json:"Plan"`
	Target   string                     `json:"Target"`
	Seed     uint64                     `json:"Seed"`
	Duration time.Duration              `json:"Took"`
	Partial  bool                       `json:"Partial"` // the run was ended early
	Sent     int                        `json:"Asked"`   // requests that were due, with the dropped ones
	Dropped  int                        `json:"Lost"`    // because too many were open; counted in All with the timeout
	Retries  int                        `json:"Retries"`
	Good     int                        `json:"Good"`
	Bytes    int64                      `json:"Bytes"`
	Outcomes map[string]int             `json:"By"`      // requests by final status or error
	Kinds    map[string]*LatencySummary `json:"Kinds"`   // by name of the kind
	All      LatencySummary             `json:"All"`     // of all requests
	Served   LatencySummary             `json:"Served"`  // of the good ones
	LagP99   time.Duration              `json:"LagP99"`  // 99th percentile of how late requests were sent
	Invalid  string                     `json:"Invalid"` // why the run says nothing about its target; empty if it is valid

	mu         sync.Mutex
	plan       *Plan
	lag        *hdrhistogram.Histogram
	second     struct{ sent, ended, good int } // since the last report
	lastReport time.Time
}

// LatencySummary summarizes latencies. Its tags are the form of the result file.
type LatencySummary struct {
	Count     int64         `json:"Count"`
	Beyond    int64         `json:"Beyond"` // above the histogram's range, in no quantile
	Mean      time.Duration `json:"Mean"`
	P50       time.Duration `json:"P50"`
	P90       time.Duration `json:"P90"`
	P99       time.Duration `json:"P99"`
	P999      time.Duration `json:"P999"`
	Max       time.Duration `json:"Max"`
	Histogram []byte        `json:"Histogram"` // compressed HDR histogram, in microseconds

	histogram *hdrhistogram.Histogram
}

// newLatencySummary returns an empty summary for requests with a timeout.
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

// recordSent counts a request that is due, sent with a lag.
func (r *Result) recordSent(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Sent++
	r.second.sent++
	_ = r.lag.RecordValue(max(1, lag.Microseconds())) // the range ends at an hour, which is invalid anyway
}

// recordDropped counts a request that is due and was not sent.
func (r *Result) recordDropped(request *Request, lag time.Duration) {
	r.recordSent(lag)
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

// recordOutcome counts the final outcome of a request.
func (r *Result) recordOutcome(request *Request, latency time.Duration, reply *reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Outcomes[reply.status]++
	r.Bytes += reply.bytes
	r.second.ended++
	r.All.add(latency)
	r.Kinds[r.plan.Kinds[request.Kind].Name].add(latency)
	if reply.good {
		r.Good++
		r.second.good++
		r.Served.add(latency)
	}
}

// progressLine returns the rates since the last report and the latencies so far, as one line.
func (r *Result) progressLine() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.second
	r.second.sent, r.second.ended, r.second.good = 0, 0, 0
	since := time.Since(r.lastReport).Seconds()
	r.lastReport = time.Now()
	ended := r.All.histogram.TotalCount() + r.All.Beyond - int64(r.Dropped)
	open := int64(r.Sent-r.Dropped) - ended
	return fmt.Sprintf("asked %.0f/s  ended %.0f/s  good %.0f/s  out %d  lost %d  p50 %v  p99 %v  lag p99 %v",
		float64(s.sent)/since, float64(s.ended)/since, float64(s.good)/since, open, r.Dropped,
		quantile(r.All.histogram, 50), quantile(r.All.histogram, 99), quantile(r.lag, 99))
}

// quantile returns a quantile, in percent, of a histogram in microseconds.
func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// finish sets the summaries. A run that could not keep its schedule is invalid: it measured itself, not its target.
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
	case r.Sent == 0:
		r.Invalid = "nothing was asked"
	case r.LagP99 > r.plan.MaxLag:
		r.Invalid = fmt.Sprintf("it could not keep its schedule: one request in a hundred was asked %v late or more, "+
			"%v at the most is allowed", r.LagP99, r.plan.MaxLag)
	}
}

// JSON returns the content of the result file.
func (r *Result) JSON() ([]byte, error) {
	text, err := json.MarshalIndent(r, "", "  ")
	return append(text, '\n'), err
}

// String returns the result as text.
func (r *Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s at %s: %d asked in %.1f s, %d good, %d retries, %d lost\n",
		r.Plan, r.Target, r.Sent, r.Duration.Seconds(), r.Good, r.Retries, r.Dropped)
	for _, status := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(&b, "  %-16s %d\n", status, r.Outcomes[status])
	}
	show := func(name string, f *LatencySummary) {
		fmt.Fprintf(&b, "  %-16s p50 %v  p90 %v  p99 %v  p99.9 %v  most %v",
			name, f.P50, f.P90, f.P99, f.P999, f.Max)
		if f.Beyond > 0 {
			fmt.Fprintf(&b, "  (%d beyond)", f.Beyond)
		}
		b.WriteString("\n")
	}
	show("all", &r.All)
	show("good ones", &r.Served)
	if len(r.Kinds) > 1 {
		for _, name := range slices.Sorted(maps.Keys(r.Kinds)) {
			show(name, r.Kinds[name])
		}
	}
	if r.Partial {
		b.WriteString("  it was ended early\n")
	}
	if r.Invalid != "" {
		fmt.Fprintf(&b, "NOT VALID: %s\n", r.Invalid)
	}
	return b.String()
}
