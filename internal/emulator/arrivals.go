package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"pumicecroft/internal/eventqueue"

	"gonum.org/v1/gonum/stat/distuv"
)

// Purposes of random draws. A draw is keyed by its purpose and, where it concerns one call, by the
// call's number. Under any policy or setting, the same clients therefore send the same calls at the
// same times, with the same service times (common random numbers), so that runs of the same seed
// can be compared in pairs. The numbers must not change, as results of a seed depend on them.
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

// defaultCutoff is the default of Distribution.Cutoff.
const defaultCutoff = 100

// maxQuantile limits the arguments of quantile functions, so that their results are finite.
const maxQuantile = 1 - 1e-12

// sampler draws from a Distribution.
type sampler struct {
	distribution Distribution
	cutoff       float64 // of Pareto, as a multiple of the mean before the cutoff
	scale        float64 // corrects the mean for the cutoff
}

func newSampler(distribution Distribution) sampler {
	s := sampler{distribution: distribution, scale: 1}
	if distribution.Shape == Pareto {
		if s.cutoff = distribution.Cutoff; s.cutoff == 0 {
			s.cutoff = defaultCutoff
		}
		// The scale is 1 over the mean of min(x, cutoff), where x has the mean 1.
		alpha := distribution.Spread
		least := (alpha - 1) / alpha
		s.scale = 1 / (alpha/(alpha-1)*least - math.Pow(least/s.cutoff, alpha)*s.cutoff/(alpha-1))
	}
	return s
}

// sample returns the quantile u of the distribution, with u from 0 to below 1.
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

// sharePicker returns a picker of indices in shares, by their weights.
func sharePicker(shares []Share) eventqueue.WeightedPicker {
	weights := make([]float64, len(shares))
	for i, share := range shares {
		weights[i] = share.Weight
	}
	return eventqueue.NewWeightedPicker(weights...)
}

// rateProfile describes how the rate of arrivals changes over time. All streams share it.
type rateProfile struct {
	arrivals   *Arrivals
	burstEdges []time.Duration // alternating starts and ends of bursts
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
		for _, mean := range [2]time.Duration{arrivals.MeanBurstGap, arrivals.MeanBurst} {
			at += max(1, time.Duration(rng.ExpFloat64()*float64(mean)))
			profile.burstEdges = append(profile.burstEdges, at)
		}
	}
	return profile
}

// factorAt returns the rate at a time, as a multiple of Arrivals.Rate. edge is the number of burst
// edges before that time; the caller keeps it between calls, whose times must not decrease.
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

// arrivalStream generates one shard's part of the calls: of the regular calls, by thinning a Poisson
// process of the highest rate; of a flood; or of a trace.
type arrivalStream struct {
	config    *Config
	profile   *rateProfile
	flood     *Fault // nil means regular calls
	number    int
	rate      float64 // calls per second, before thinning
	rng       *rand.Rand
	zipf      *rand.Zipf // nil means that all customers are equally popular
	classes   eventqueue.WeightedPicker
	burstEdge int // see rateProfile.factorAt
	at        time.Duration
	count     uint64

	traceIndex int // index in the trace of this stream's next call
	traceStep  int // number of streams that share the trace
}

// noFault makes newArrivalStream return a stream of regular calls.
const noFault = -1

// newArrivalStream returns one of several streams, which differ in number. fault is the index of a
// flood in Config.Faults, or noFault.
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

// next returns the stream's next call, if there is one.
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

// drawCustomer draws the customer of a call.
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

// nextOfTrace fills in next from the trace. It returns false at the trace's end.
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
