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

// Result is what came of a run. Latencies count from when a request should have been asked. Its tags are the form of the result file.
type Result struct {
	Plan     string                     `json:"Plan"`
	Target   string                     `json:"Target"`
	Seed     uint64                     `json:"Seed"`
	Duration time.Duration              `json:"Took"`
	Partial  bool                       `json:"Partial"` // it was ended early: what is here is good as far as it goes
	Sent     int                        `json:"Asked"`   // by their schedule
	Dropped  int                        `json:"Lost"`    // for which there was no room, as too many waited; they are in All with the timeout
	Retries  int                        `json:"Retries"`
	Good     int                        `json:"Good"`
	Bytes    int64                      `json:"Bytes"`
	Outcomes map[string]int             `json:"By"`      // ends, by status or error
	Kinds    map[string]*LatencySummary `json:"Kinds"`   // by kind
	All      LatencySummary             `json:"All"`     // of all requests, whatever their end
	Served   LatencySummary             `json:"Served"`  // of those that were answered well
	LagP99   time.Duration              `json:"LagP99"`  // how late requests were asked
	Invalid  string                     `json:"Invalid"` // why the run says nothing of its target; empty: it does

	mu         sync.Mutex
	plan       *Plan
	lag        *hdrhistogram.Histogram
	second     struct{ recordSent, recordOutcome, good int }
	lastReport time.Time
}

// Figures are latencies, and of how many requests. Its tags are the form of the result file.
type LatencySummary struct {
	Count     int64         `json:"Count"`
	Beyond    int64         `json:"Beyond"` // above the histogram's range, and in no quantile
	Mean      time.Duration `json:"Mean"`
	P50       time.Duration `json:"P50"`
	P90       time.Duration `json:"P90"`
	P99       time.Duration `json:"P99"`
	P999      time.Duration `json:"P999"`
	Max       time.Duration `json:"Max"`
	Histogram []byte        `json:"Histogram"` // HDR, compressed, in microseconds

	histogram *hdrhistogram.Histogram
}

func newLatencySummary(most time.Duration) LatencySummary {
	return LatencySummary{histogram: hdrhistogram.New(1, max(2, 2*most.Microseconds()), 3)}
}

func (f *LatencySummary) add(d time.Duration) {
	if f.histogram.RecordValue(max(1, d.Microseconds())) != nil {
		f.Beyond++
	}
}

func (f *LatencySummary) summarize() (err error) {
	us := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	f.Count = f.histogram.TotalCount() + f.Beyond
	f.Mean, f.Max = time.Duration(f.histogram.Mean()*1e3), us(f.histogram.Max())
	f.P50, f.P90, f.P99, f.P999 = us(f.histogram.ValueAtQuantile(50)), us(f.histogram.ValueAtQuantile(90)), us(f.histogram.ValueAtQuantile(99)), us(f.histogram.ValueAtQuantile(99.9))
	f.Histogram, err = f.histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return err
}

func newResult(p *Plan, target string) *Result {
	r := &Result{Plan: p.Name, Target: target, Seed: p.Seed, Outcomes: map[string]int{}, Kinds: map[string]*LatencySummary{}, plan: p, lag: hdrhistogram.New(1, time.Hour.Microseconds(), 3), lastReport: time.Now()}
	r.All, r.Served = newLatencySummary(p.Timeout), newLatencySummary(p.Timeout)
	for _, k := range p.Kinds {
		f := newLatencySummary(p.Timeout)
		r.Kinds[k.Name] = &f
	}
	return r
}

func (r *Result) recordSent(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Sent++
	r.second.recordSent++
	_ = r.lag.RecordValue(max(1, lag.Microseconds())) // an hour late is beyond any doubt
}

func (r *Result) recordDropped(s *Request, lag time.Duration) {
	r.recordSent(lag)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Dropped++
	r.Outcomes["no room"]++
	r.All.add(r.plan.Timeout)
	r.Kinds[r.plan.Kinds[s.Kind].Name].add(r.plan.Timeout)
}

func (r *Result) recordRetry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Retries++
}

func (r *Result) recordOutcome(s *Request, took time.Duration, a *reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Outcomes[a.status]++
	r.Bytes += a.bytes
	r.second.recordOutcome++
	r.All.add(took)
	r.Kinds[r.plan.Kinds[s.Kind].Name].add(took)
	if a.good {
		r.Good++
		r.second.good++
		r.Served.add(took)
	}
}

// line is the last second in a line.
func (r *Result) progressLine() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.second
	r.second.recordSent, r.second.recordOutcome, r.second.good = 0, 0, 0
	since := time.Since(r.lastReport).Seconds()
	r.lastReport = time.Now()
	return fmt.Sprintf("asked %.0f/s  ended %.0f/s  good %.0f/s  out %d  lost %d  p50 %v  p99 %v  lag p99 %v", float64(s.recordSent)/since, float64(s.recordOutcome)/since, float64(s.good)/since,
		int64(r.Sent-r.Dropped)-(r.All.histogram.TotalCount()+r.All.Beyond-int64(r.Dropped)), r.Dropped, quantile(r.All.histogram, 50), quantile(r.All.histogram, 99), quantile(r.lag, 99))
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// end settles the figures. A run that could not keep its schedule says nothing of its target: what it measured is itself.
func (r *Result) finish(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Duration = took
	r.LagP99 = quantile(r.lag, 99)
	all := []*LatencySummary{&r.All, &r.Served}
	for _, f := range r.Kinds {
		all = append(all, f)
	}
	for _, f := range all {
		if err := f.summarize(); err != nil {
			r.Invalid = err.Error()
		}
	}
	switch {
	case r.Sent == 0:
		r.Invalid = "nothing was asked"
	case r.LagP99 > r.plan.MaxLag:
		r.Invalid = fmt.Sprintf("it could not keep its schedule: one request in a hundred was asked %v late or more, %v at the most is allowed", r.LagP99, r.plan.MaxLag)
	}
}

// JSON is the result file.
func (r *Result) JSON() ([]byte, error) {
	text, err := json.MarshalIndent(r, "", "  ")
	return append(text, '\n'), err
}

// String is the result for people.
func (r *Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s at %s: %d asked in %.1f s, %d good, %d retries, %d lost\n", r.Plan, r.Target, r.Sent, r.Duration.Seconds(), r.Good, r.Retries, r.Dropped)
	for _, status := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(&b, "  %-16s %d\n", status, r.Outcomes[status])
	}
	show := func(name string, f *LatencySummary) {
		fmt.Fprintf(&b, "  %-16s p50 %v  p90 %v  p99 %v  p99.9 %v  most %v", name, f.P50, f.P90, f.P99, f.P999, f.Max)
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
