// Package workload generates request traces for replays. Adapter popularity is
// skewed and shifts once; arrivals alternate between calm and burst (a two-state
// Markov-modulated Poisson process). The same profile, rate, duration and seed give
// the same trace.
package workload

import (
	"math"
	"math/rand/v2"
	"sort"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/control/config"
)

// Profile describes the callers of one deployment.
type Profile struct {
	Name     string
	Adapters int
	// Skew is the Zipf exponent of the adapters' popularity.
	Skew float64
	// UrgentShare is the share of urgent requests, from 0 to 1.
	UrgentShare float64
	// MeanTokens is the mean length of an answer; lengths are geometric.
	MeanTokens float64
	// Deadlines holds the longest wait for the first token, by urgency class.
	Deadlines [config.ClassCount]clock.Millis
	// BurstFactor and CalmFactor are the rates of the two states, relative to the mean.
	BurstFactor, CalmFactor float64
	// BurstDuration and CalmDuration are the mean durations of the two states.
	BurstDuration, CalmDuration clock.Millis
	// ShiftedAdapters is the number of popular adapters that are replaced at the shift
	// of popularity.
	ShiftedAdapters int
}

// Cantabrica returns the profile of a pension enrolment service: contract
// reviews and notices of medium length, with month-end bursts.
func Cantabrica() Profile {
	return Profile{
		Name: "Cantabrica", Adapters: 3000, Skew: 1.0, UrgentShare: 0.2, MeanTokens: 100,
		Deadlines:   [config.ClassCount]clock.Millis{config.Urgent: 10 * clock.Second, config.Routine: 30 * clock.Second},
		BurstFactor: 1.6, CalmFactor: 0.85, BurstDuration: 30 * clock.Second, CalmDuration: 120 * clock.Second, ShiftedAdapters: 40,
	}
}

// Ramcharan returns the profile of a relining contractor: many small report
// requests, which a higher skew concentrates on fewer adapters.
func Ramcharan() Profile {
	return Profile{
		Name: "Ramcharan", Adapters: 3000, Skew: 1.2, UrgentShare: 0.1, MeanTokens: 60,
		Deadlines:   [config.ClassCount]clock.Millis{config.Urgent: 10 * clock.Second, config.Routine: 30 * clock.Second},
		BurstFactor: 1.4, CalmFactor: 0.9, BurstDuration: 30 * clock.Second, CalmDuration: 120 * clock.Second, ShiftedAdapters: 20,
	}
}

// Request is one request of a trace.
type Request struct {
	At      clock.Millis // since the start of the trace
	Adapter int
	Class   config.Class
	Tokens  int
}

// Trace generates the requests of a trace of the given duration, at a mean rate per
// second. Popularity shifts once, at ShiftAt.
func Trace(profile Profile, seed uint64, rate float64, duration clock.Millis) []Request {
	random := rand.New(rand.NewPCG(seed, 1))
	popularity := newPopularity(profile, random)
	arrivals := arrivals{profile: profile, rate: rate, random: random}
	var trace []Request
	shifted := false
	for {
		at := arrivals.next()
		if at >= duration {
			return trace
		}
		if !shifted && at >= ShiftAt(duration) {
			popularity.shift(profile.ShiftedAdapters, random)
			shifted = true
		}
		trace = append(trace, Request{
			At: at, Adapter: popularity.draw(random), Class: classOf(profile, random),
			Tokens: 1 + int(random.ExpFloat64()*(profile.MeanTokens-1)),
		})
	}
}

// ShiftAt returns the time at which popularity shifts in a trace of the given duration.
func ShiftAt(duration clock.Millis) clock.Millis {
	return duration / 3
}

func classOf(profile Profile, random *rand.Rand) config.Class {
	if random.Float64() < profile.UrgentShare {
		return config.Urgent
	}
	return config.Routine
}

// popularity draws adapters by rank; byRank holds the adapter of each rank.
type popularity struct {
	cumulative []float64 // sums of the weights up to each rank
	byRank     []int
}

func newPopularity(profile Profile, random *rand.Rand) *popularity {
	popularity := &popularity{cumulative: make([]float64, profile.Adapters), byRank: random.Perm(profile.Adapters)}
	sum := 0.0
	for i := range popularity.cumulative {
		sum += 1 / math.Pow(float64(i+1), profile.Skew)
		popularity.cumulative[i] = sum
	}
	return popularity
}

func (popularity *popularity) draw(random *rand.Rand) int {
	total := popularity.cumulative[len(popularity.cumulative)-1]
	rank := sort.SearchFloat64s(popularity.cumulative, random.Float64()*total)
	return popularity.byRank[min(rank, len(popularity.byRank)-1)]
}

// shift swaps every second one of the most popular adapters with a random adapter,
// count times.
func (popularity *popularity) shift(count int, random *rand.Rand) {
	for i := range count {
		other := random.IntN(len(popularity.byRank))
		rank := 2 * i
		popularity.byRank[rank], popularity.byRank[other] = popularity.byRank[other], popularity.byRank[rank]
	}
}

// arrivals generates arrival times with the two-state process. It keeps times in
// fractions of a millisecond, as rounding would distort high rates.
type arrivals struct {
	profile   Profile
	rate      float64 // per second
	random    *rand.Rand
	now       float64 // milliseconds
	stateEnds float64
	bursting  bool
}

func (arrivals *arrivals) next() clock.Millis {
	for {
		if arrivals.now >= arrivals.stateEnds {
			arrivals.nextState()
		}
		factor := arrivals.profile.CalmFactor
		if arrivals.bursting {
			factor = arrivals.profile.BurstFactor
		}
		wait := arrivals.random.ExpFloat64() / (arrivals.rate * factor) * float64(clock.Second)
		if arrivals.now+wait < arrivals.stateEnds {
			arrivals.now += wait
			return clock.Millis(arrivals.now)
		}
		arrivals.now = arrivals.stateEnds
	}
}

// nextState switches to the other state; the first state is calm.
func (arrivals *arrivals) nextState() {
	arrivals.bursting = !arrivals.bursting && arrivals.stateEnds > 0
	mean := arrivals.profile.CalmDuration
	if arrivals.bursting {
		mean = arrivals.profile.BurstDuration
	}
	arrivals.stateEnds = arrivals.now + arrivals.random.ExpFloat64()*float64(mean)
}

// Flood returns the trace with routine requests added at a constant mean rate. The
// trace's own requests are unchanged.
func Flood(profile Profile, seed uint64, trace []Request, rate float64, duration clock.Millis) []Request {
	if rate <= 0 {
		return trace
	}
	profile.UrgentShare, profile.BurstFactor, profile.CalmFactor = 0, 1, 1
	return merge(trace, Trace(profile, seed+floodSeed, rate, duration))
}

// floodSeed is added to the seed, so that the added requests don't repeat the random
// numbers of the trace.
const floodSeed = 1 << 32

func merge(a, b []Request) []Request {
	merged := make([]Request, 0, len(a)+len(b))
	merged = append(append(merged, a...), b...)
	sort.SliceStable(merged, func(i, j int) bool { return merged[i].At < merged[j].At })
	return merged
}
