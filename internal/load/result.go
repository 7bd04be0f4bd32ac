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
	Plan    string              `json:"Plan"`
	Target  string              `json:"Target"`
	Seed    uint64              `json:"Seed"`
	Took    time.Duration       `json:"Took"`
	Partial bool                `json:"Partial"` // it was ended early: what is here is good as far as it goes
	Asked   int                 `json:"Asked"`   // by their schedule
	Lost    int                 `json:"Lost"`    // for which there was no room, as too many waited; they are in All with the timeout
	Retries int                 `json:"Retries"`
	Good    int                 `json:"Good"`
	Bytes   int64               `json:"Bytes"`
	By      map[string]int      `json:"By"`      // ends, by status or error
	Kinds   map[string]*Figures `json:"Kinds"`   // by kind
	All     Figures             `json:"All"`     // of all requests, whatever their end
	Served  Figures             `json:"Served"`  // of those that were answered well
	LagP99  time.Duration       `json:"LagP99"`  // how late requests were asked
	Invalid string              `json:"Invalid"` // why the run says nothing of its target; empty: it does

	mu     sync.Mutex
	p      *Plan
	lag    *hdrhistogram.Histogram
	second struct{ asked, ended, good int }
	told   time.Time
}

// Figures are latencies, and of how many requests. Its tags are the form of the result file.
type Figures struct {
	Count     int64         `json:"Count"`
	Beyond    int64         `json:"Beyond"` // above the histogram's range, and in no quantile
	Mean      time.Duration `json:"Mean"`
	P50       time.Duration `json:"P50"`
	P90       time.Duration `json:"P90"`
	P99       time.Duration `json:"P99"`
	P999      time.Duration `json:"P999"`
	Max       time.Duration `json:"Max"`
	Histogram []byte        `json:"Histogram"` // HDR, compressed, in microseconds

	h *hdrhistogram.Histogram
}

func newFigures(most time.Duration) Figures {
	return Figures{h: hdrhistogram.New(1, max(2, 2*most.Microseconds()), 3)}
}

func (f *Figures) add(d time.Duration) {
	if f.h.RecordValue(max(1, d.Microseconds())) != nil {
		f.Beyond++
	}
}

func (f *Figures) settle() (err error) {
	us := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	f.Count = f.h.TotalCount() + f.Beyond
	f.Mean, f.Max = time.Duration(f.h.Mean()*1e3), us(f.h.Max())
	f.P50, f.P90, f.P99, f.P999 = us(f.h.ValueAtQuantile(50)), us(f.h.ValueAtQuantile(90)), us(f.h.ValueAtQuantile(99)), us(f.h.ValueAtQuantile(99.9))
	f.Histogram, err = f.h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return err
}

func newResult(p *Plan, target string) *Result {
	r := &Result{Plan: p.Name, Target: target, Seed: p.Seed, By: map[string]int{}, Kinds: map[string]*Figures{}, p: p, lag: hdrhistogram.New(1, time.Hour.Microseconds(), 3), told: time.Now()}
	r.All, r.Served = newFigures(p.Timeout), newFigures(p.Timeout)
	for _, k := range p.Kinds {
		f := newFigures(p.Timeout)
		r.Kinds[k.Name] = &f
	}
	return r
}

func (r *Result) asked(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Asked++
	r.second.asked++
	_ = r.lag.RecordValue(max(1, lag.Microseconds())) // an hour late is beyond any doubt
}

func (r *Result) lost(s *Shot, lag time.Duration) {
	r.asked(lag)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Lost++
	r.By["no room"]++
	r.All.add(r.p.Timeout)
	r.Kinds[r.p.Kinds[s.Kind].Name].add(r.p.Timeout)
}

func (r *Result) again() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Retries++
}

func (r *Result) ended(s *Shot, took time.Duration, a *reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.By[a.status]++
	r.Bytes += a.bytes
	r.second.ended++
	r.All.add(took)
	r.Kinds[r.p.Kinds[s.Kind].Name].add(took)
	if a.good {
		r.Good++
		r.second.good++
		r.Served.add(took)
	}
}

// line is the last second in a line.
func (r *Result) line() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.second
	r.second.asked, r.second.ended, r.second.good = 0, 0, 0
	since := time.Since(r.told).Seconds()
	r.told = time.Now()
	return fmt.Sprintf("asked %.0f/s  ended %.0f/s  good %.0f/s  out %d  lost %d  p50 %v  p99 %v  lag p99 %v", float64(s.asked)/since, float64(s.ended)/since, float64(s.good)/since,
		int64(r.Asked-r.Lost)-(r.All.h.TotalCount()+r.All.Beyond-int64(r.Lost)), r.Lost, us(r.All.h, 50), us(r.All.h, 99), us(r.lag, 99))
}

func us(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// end settles the figures. A run that could not keep its schedule says nothing of its target: what it measured is itself.
func (r *Result) end(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Took = took
	r.LagP99 = us(r.lag, 99)
	all := []*Figures{&r.All, &r.Served}
	for _, f := range r.Kinds {
		all = append(all, f)
	}
	for _, f := range all {
		if err := f.settle(); err != nil {
			r.Invalid = err.Error()
		}
	}
	switch {
	case r.Asked == 0:
		r.Invalid = "nothing was asked"
	case r.LagP99 > r.p.MostLag:
		r.Invalid = fmt.Sprintf("it could not keep its schedule: one request in a hundred was asked %v late or more, %v at the most is allowed", r.LagP99, r.p.MostLag)
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
	fmt.Fprintf(&b, "%s at %s: %d asked in %.1f s, %d good, %d retries, %d lost\n", r.Plan, r.Target, r.Asked, r.Took.Seconds(), r.Good, r.Retries, r.Lost)
	for _, status := range slices.Sorted(maps.Keys(r.By)) {
		fmt.Fprintf(&b, "  %-16s %d\n", status, r.By[status])
	}
	show := func(name string, f *Figures) {
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
