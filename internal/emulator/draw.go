package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"pumicecroft/internal/eventqueue"

	"gonum.org/v1/gonum/stat/distuv"
)

// What chance is for. A request's chance hangs on its number and purpose, so that under another policy, or with another
// setting, the same clients ask the same at the same times, and it would take a backend as long: differences between runs of
// one seed are paired.
const (
	purposeArrivals uint64 = iota + 1
	purposeBursts
	_ // numbers stay, so that seeds stay what they are
	purposeService
	purposeNetwork
	purposeClient
	_
	purposePolicy
	purposePlan
	purposeCounter
)

// sampler draws from a Dist by a number from 0 to 1.
type sampler struct {
	distribution Distribution
	cutoff       float64 // seconds
	scale        float64 // so that the mean is as wanted
}

func newSampler(d Distribution) sampler {
	s := sampler{distribution: d, scale: 1}
	if d.Shape == Pareto { // the mean of min(x, cut), for x of the mean 1
		if s.cutoff = d.Cutoff; s.cutoff == 0 {
			s.cutoff = 100
		}
		alpha := d.Spread
		least := (alpha - 1) / alpha
		s.scale = 1 / (alpha/(alpha-1)*least - math.Pow(least/s.cutoff, alpha)*s.cutoff/(alpha-1))
	}
	return s
}

// sample is the time of a number.
func (s *sampler) sample(u float64) time.Duration {
	x := 1.0
	switch s.distribution.Shape {
	case Exponential:
		x = -math.Log1p(-u)
	case LogNormal:
		sigma := s.distribution.Spread
		x = distuv.LogNormal{Mu: -sigma * sigma / 2, Sigma: sigma}.Quantile(min(u, 1-1e-12))
	case Pareto:
		alpha := s.distribution.Spread
		x = min(s.cutoff, distuv.Pareto{Xm: (alpha - 1) / alpha, Alpha: alpha}.Quantile(min(u, 1-1e-12))) * s.scale
	}
	return max(1, time.Duration(x*float64(s.distribution.Mean)))
}

// sharePicker picks among shares.
func sharePicker(shares []Share) eventqueue.WeightedPicker {
	parts := make([]float64, len(shares))
	for i, s := range shares {
		parts[i] = s.Weight
	}
	return eventqueue.NewWeightedPicker(parts...)
}

// rateProfile is how the rate of arrivals moves: the same for all streams.
type rateProfile struct {
	arrivals   *Arrivals
	burstEdges []time.Duration // when bursts begin and end, in turn
	peak       float64         // the highest rate, as a multiple of the mean
}

func newRateProfile(c *Config, seed uint64) rateProfile {
	s := rateProfile{arrivals: &c.Arrivals, peak: 1 + c.Arrivals.Amplitude}
	if s.arrivals.BurstFactor > 0 {
		s.peak *= max(1, s.arrivals.BurstFactor)
		rng := eventqueue.NewRand(seed, purposeBursts)
		for at := time.Duration(0); at < c.Duration; {
			for _, mean := range [2]time.Duration{s.arrivals.MeanCalm, s.arrivals.MeanBurst} {
				at += max(1, time.Duration(rng.ExpFloat64()*float64(mean)))
				s.burstEdges = append(s.burstEdges, at)
			}
		}
	}
	return s
}

// factorAt is the rate at a time as a multiple of the mean; turn is how many turns lie before it.
func (s *rateProfile) factorAt(at time.Duration, turn *int) float64 {
	v := 1.0
	if s.arrivals.Period > 0 {
		v += s.arrivals.Amplitude * math.Sin(2*math.Pi*at.Seconds()/s.arrivals.Period.Seconds())
	}
	for *turn < len(s.burstEdges) && s.burstEdges[*turn] <= at {
		*turn++
	}
	if *turn%2 == 1 {
		v *= s.arrivals.BurstFactor
	}
	return v
}

// call is what a client wants, over all its tries.
type call struct {
	number    uint64
	startedAt time.Duration
	customer  int32
	class     uint8
	cost      float32
}

// arrivalStream is a part of all clients: arrivals at a part of the rate, by thinning of a Poisson process at the highest rate; or a flood's.
type arrivalStream struct {
	config     *Config
	profile    *rateProfile
	flood      *Fault // nil: the usual
	number     int
	rate       float64 // a second, at the highest
	rng        *rand.Rand
	zipf       *rand.Zipf
	classes    eventqueue.WeightedPicker
	burstEdge  int
	at         time.Duration
	count      uint64
	traceIndex int // the next of the trace's that is this stream's
	traceStep  int
}

// newArrivalStream is one of some streams; flood is the number of a fault, or -1.
func newArrivalStream(c *Config, s *rateProfile, seed uint64, number, of, flood int) *arrivalStream {
	st := &arrivalStream{config: c, profile: s, number: number + (flood+1)*of, rng: eventqueue.NewRand(seed, purposeArrivals, uint64(number), uint64(flood+1)),
		classes: sharePicker(c.Clients.Classes), traceIndex: number, traceStep: of}
	if flood >= 0 {
		st.flood = &c.Faults[flood]
		st.at, st.rate = st.flood.At, c.Arrivals.Rate*st.flood.Share/float64(of)
		return st
	}
	st.rate = c.Arrivals.Rate * s.peak / float64(of)
	if c.Clients.ZipfExponent > 0 && c.Clients.Customers > 1 {
		st.zipf = rand.NewZipf(st.rng, c.Clients.ZipfExponent, 1, uint64(c.Clients.Customers-1))
	}
	return st
}

// next is the stream's next call, if there is one.
func (s *arrivalStream) next() (k call, ok bool) {
	s.count++
	k.number = uint64(s.number)<<40 | s.count
	if trace := s.config.Arrivals.Trace; len(trace) > 0 && s.flood == nil {
		if s.traceIndex >= len(trace) || trace[s.traceIndex].At >= s.config.Duration {
			return k, false
		}
		a := trace[s.traceIndex]
		s.traceIndex += s.traceStep
		k.startedAt, k.customer, k.cost = a.At, int32(a.Customer), float32(a.Cost)
		for i, c := range s.config.Settings.Classes {
			if c.Name == a.Class {
				k.class = uint8(i)
			}
		}
		return k, true
	}
	end := s.config.Duration
	if s.flood != nil {
		end = min(end, s.flood.At+s.flood.Duration)
	}
	for again := true; again && s.at < end; {
		s.at += time.Duration(s.rng.ExpFloat64() / s.rate * float64(time.Second))
		again = s.flood == nil && s.rng.Float64()*s.profile.peak >= s.profile.factorAt(s.at, &s.burstEdge)
	}
	k.startedAt, k.cost = s.at, float32(s.config.Clients.Cost)
	switch n := s.config.Clients.Customers; {
	case s.flood != nil:
		k.customer = int32(s.rng.IntN(min(n, int(s.flood.Magnitude))))
	case s.zipf == nil || s.rng.Float64() < s.config.Clients.UniformShare:
		k.customer = int32(s.rng.IntN(n))
	default:
		k.customer = int32(s.zipf.Uint64())
	}
	k.class = s.config.classIndex[s.classes.Pick(s.rng.Float64())]
	return k, s.at < end
}
