package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"pumicecroft/internal/eventqueue"

	"gonum.org/v1/gonum/stat/distuv"
)

// Purposes of random draws. A draw depends on its purpose, and on the number of the call that it is
// for: under another policy or with another setting the same clients send the same calls at the
// same times, and these would take a backend as long. So differences between runs of one seed are
// paired. Numbers stay as they are, as they are part of what a seed means.
const (
	purposeArrivals uint64 = 1
	purposeBursts   uint64 = 2
	purposeService  uint64 = 4
	purposeNetwork  uint64 = 5
	purposeClient   uint64 = 6
	purposePolicy   uint64 = 8
	purposePlan     uint64 = 9
	purposeCounter  uint64 = 10
)

// defaultCutoff is a Pareto distribution's, in means.
const defaultCutoff = 100

// maxQuantile keeps quantiles finite.
const maxQuantile = 1 - 1e-12

// sampler draws from a Distribution.
type sampler struct {
	distribution Distribution
	cutoff       float64 // of Pareto, in means before the cutoff
	scale        float64 // makes the mean after the cutoff the one that was asked for
}

func newSampler(distribution Distribution) sampler {
	s := sampler{distribution: distribution, scale: 1}
	if distribution.Shape == Pareto {
		if s.cutoff = distribution.Cutoff; s.cutoff == 0 {
			s.cutoff = defaultCutoff
		}
		// The mean of min(x, cutoff), for x with the mean 1.
		alpha := distribution.Spread
		least := (alpha - 1) / alpha
		s.scale = 1 / (alpha/(alpha-1)*least - math.Pow(least/s.cutoff, alpha)*s.cutoff/(alpha-1))
	}
	return s
}

// sample gives the quantile of u, from 0 to below 1.
func (s *sampler) sample(u float64) time.Duration {
	x := 1.0
	switch s.distribution.Shape {
	case Exponential:
		x = -math.Log1p(-u)
	case LogNormal:
		sigma := s.distribution.Spread
		x = distuv.LogNormal{Mu: -sigma * sigma / 2, Sigma: sigma}.Quantile(min(u, maxQuantile))
	case Pareto:
		alpha := s.distribution.Spread
		pareto := distuv.Pareto{Xm: (alpha - 1) / alpha, Alpha: alpha}
		x = min(s.cutoff, pareto.Quantile(min(u, maxQuantile))) * s.scale
	}
	return max(1, time.Duration(x*float64(s.distribution.Mean)))
}

// sharePicker picks among shares.
func sharePicker(shares []Share) eventqueue.WeightedPicker {
	weights := make([]float64, len(shares))
	for i, share := range shares {
		weights[i] = share.Weight
	}
	return eventqueue.NewWeightedPicker(weights...)
}

// rateProfile is how the rate of arrivals changes. All streams share it.
type rateProfile struct {
	arrivals   *Arrivals
	burstEdges []time.Duration // beginnings and ends of bursts, in turn
	peak       float64         // the highest rate, as a multiple of Arrivals.Rate
}

func newRateProfile(config *Config, seed uint64) rateProfile {
	arrivals := &config.Arrivals
	profile := rateProfile{arrivals: arrivals, peak: 1 + arrivals.Amplitude}
	if arrivals.BurstFactor <= 0 {
		return profile
	}
	profile.peak *= max(1, arrivals.BurstFactor)
	rng := eventqueue.NewRand(seed, purposeBursts)
	for at := time.Duration(0); at < config.Duration; {
		for _, mean := range [2]time.Duration{arrivals.MeanCalm, arrivals.MeanBurst} {
			at += max(1, time.Duration(rng.ExpFloat64()*float64(mean)))
			profile.burstEdges = append(profile.burstEdges, at)
		}
	}
	return profile
}

// factorAt is the rate at a time, as a multiple of Arrivals.Rate. edge counts the edges of bursts
// that have passed; the caller keeps it between calls with times that don't decrease.
func (p *rateProfile) factorAt(at time.Duration, edge *int) float64 {
	factor := 1.0
	if p.arrivals.Period > 0 {
		factor += p.arrivals.Amplitude * math.Sin(2*math.Pi*at.Seconds()/p.arrivals.Period.Seconds())
	}
	for *edge < len(p.burstEdges) && p.burstEdges[*edge] <= at {
		*edge++
	}
	if *edge%2 == 1 {
		factor *= p.arrivals.BurstFactor
	}
	return factor
}

// arrivalStream is a part of all calls: those of a shard at a share of the rate, by thinning a
// Poisson process at the highest rate; or those of a flood, or of a trace.
type arrivalStream struct {
	config    *Config
	profile   *rateProfile
	flood     *Fault // nil: the usual calls
	number    int
	rate      float64 // calls a second, before thinning
	rng       *rand.Rand
	zipf      *rand.Zipf // nil: customers are alike
	classes   eventqueue.WeightedPicker
	burstEdge int // see rateProfile.factorAt
	at        time.Duration
	count     uint64

	traceIndex int // of the next call of the trace that is this stream's
	traceStep  int
}

// noFault has newArrivalStream make the usual stream.
const noFault = -1

// newArrivalStream makes one of some streams. fault is the index of a flood, or noFault.
func newArrivalStream(config *Config, profile *rateProfile, seed uint64, number, streams, fault int) *arrivalStream {
	stream := &arrivalStream{
		config: config, profile: profile, number: number + (fault+1)*streams,
		rng:     eventqueue.NewRand(seed, purposeArrivals, uint64(number), uint64(fault+1)),
		classes: sharePicker(config.Clients.Classes), traceIndex: number, traceStep: streams,
	}
	if fault != noFault {
		stream.flood = &config.Faults[fault]
		stream.at = stream.flood.At
		stream.rate = config.Arrivals.Rate * stream.flood.Share / float64(streams)
		return stream
	}
	stream.rate = config.Arrivals.Rate * profile.peak / float64(streams)
	if customers := config.Clients.Customers; config.Clients.ZipfExponent > 0 && customers > 1 {
		stream.zipf = rand.NewZipf(stream.rng, config.Clients.ZipfExponent, 1, uint64(customers-1))
	}
	return stream
}

// next gives the stream's next call, if there is one.
func (s *arrivalStream) next() (next call, ok bool) {
	s.count++
	next.number = uint64(s.number)<<40 | s.count
	if len(s.config.Arrivals.Trace) > 0 && s.flood == nil {
		return s.nextOfTrace(next)
	}
	end := s.config.Duration
	if s.flood != nil {
		end = min(end, s.flood.At+s.flood.Duration)
	}
	for rejected := true; rejected && s.at < end; {
		s.at += time.Duration(s.rng.ExpFloat64() / s.rate * float64(time.Second))
		rejected = s.flood == nil && s.rng.Float64()*s.profile.peak >= s.profile.factorAt(s.at, &s.burstEdge)
	}
	next.startedAt, next.cost = s.at, float32(s.config.Clients.Cost)
	next.customer = s.drawCustomer()
	next.class = s.config.classIndex[s.classes.Pick(s.rng.Float64())]
	return next, s.at < end
}

// drawCustomer draws who sends a call.
func (s *arrivalStream) drawCustomer() int32 {
	customers := s.config.Clients.Customers
	switch {
	case s.flood != nil:
		return int32(s.rng.IntN(min(customers, int(s.flood.Magnitude))))
	case s.zipf == nil || s.rng.Float64() < s.config.Clients.UniformShare:
		return int32(s.rng.IntN(customers))
	default:
		return int32(s.zipf.Uint64())
	}
}

// nextOfTrace fills in the stream's next call of the trace.
func (s *arrivalStream) nextOfTrace(next call) (call, bool) {
	trace := s.config.Arrivals.Trace
	if s.traceIndex >= len(trace) || trace[s.traceIndex].At >= s.config.Duration {
		return next, false
	}
	arrival := trace[s.traceIndex]
	s.traceIndex += s.traceStep
	next.startedAt, next.customer, next.cost = arrival.At, int32(arrival.Customer), float32(arrival.Cost)
	for i := range s.config.Settings.Classes {
		if s.config.Settings.Classes[i].Name == arrival.Class {
			next.class = uint8(i)
		}
	}
	return next, true
}
