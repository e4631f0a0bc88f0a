// Package workload makes request traces for replays: skewed adapter popularity
// that shifts, and arrivals that alternate between calm and burst (a
// two-state Markov-modulated Poisson process). A trace follows from its seed.
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
	// Deadlines is the longest wait for the first token, by class.
	Deadlines [config.ClassCount]clock.Millis
	// Burst and Calm are the rates of the two states, relative to the mean.
	Burst, Calm float64
	// BurstSpan and CalmSpan are the mean lengths of the two states.
	BurstSpan, CalmSpan clock.Millis
	// Shifted is the number of popular adapters replaced at the shift.
	Shifted int
}

// Cantabrica returns the profile of a pension enrolment service: contract
// reviews and notices of medium length, with month-end bursts.
func Cantabrica() Profile {
	return Profile{
		Name: "Cantabrica", Adapters: 3000, Skew: 1.0, UrgentShare: 0.2, MeanTokens: 100,
		Deadlines: [config.ClassCount]clock.Millis{config.Urgent: 10 * clock.Second, config.Routine: 30 * clock.Second},
		Burst:     1.6, Calm: 0.85, BurstSpan: 30 * clock.Second, CalmSpan: 120 * clock.Second, Shifted: 40,
	}
}

// Ramcharan returns the profile of a relining contractor: many small report
// requests on fewer adapters.
func Ramcharan() Profile {
	return Profile{
		Name: "Ramcharan", Adapters: 3000, Skew: 1.2, UrgentShare: 0.1, MeanTokens: 60,
		Deadlines: [config.ClassCount]clock.Millis{config.Urgent: 10 * clock.Second, config.Routine: 30 * clock.Second},
		Burst:     1.4, Calm: 0.9, BurstSpan: 30 * clock.Second, CalmSpan: 120 * clock.Second, Shifted: 20,
	}
}

// Request is one arrival.
type Request struct {
	At      clock.Millis // since the start of the trace
	Adapter int
	Class   config.Class
	Tokens  int
}

// Trace makes the arrivals of a span at a mean rate per second. Popularity
// shifts once, at ShiftAt.
func Trace(profile Profile, seed uint64, rate float64, span clock.Millis) []Request {
	random := rand.New(rand.NewPCG(seed, 1))
	popularity := newPopularity(profile, random)
	arrivals := arrivals{profile: profile, rate: rate, random: random}
	var trace []Request
	shifted := false
	for {
		at := arrivals.next()
		if at >= span {
			return trace
		}
		if !shifted && at >= ShiftAt(span) {
			popularity.shift(profile.Shifted, random)
			shifted = true
		}
		trace = append(trace, Request{
			At: at, Adapter: popularity.draw(random), Class: classOf(profile, random),
			Tokens: 1 + int(random.ExpFloat64()*(profile.MeanTokens-1)),
		})
	}
}

// ShiftAt is the point of a trace's span at which popularity shifts.
func ShiftAt(span clock.Millis) clock.Millis {
	return span / 3
}

func classOf(profile Profile, random *rand.Rand) config.Class {
	if random.Float64() < profile.UrgentShare {
		return config.Urgent
	}
	return config.Routine
}

// popularity draws adapters by rank; byRank names the adapter of each rank.
type popularity struct {
	cumulative []float64
	byRank     []int
}

func newPopularity(profile Profile, random *rand.Rand) *popularity {
	drawn := &popularity{cumulative: make([]float64, profile.Adapters), byRank: random.Perm(profile.Adapters)}
	sum := 0.0
	for i := range drawn.cumulative {
		sum += 1 / math.Pow(float64(i+1), profile.Skew)
		drawn.cumulative[i] = sum
	}
	return drawn
}

func (popularity *popularity) draw(random *rand.Rand) int {
	total := popularity.cumulative[len(popularity.cumulative)-1]
	rank := sort.SearchFloat64s(popularity.cumulative, random.Float64()*total)
	return popularity.byRank[min(rank, len(popularity.byRank)-1)]
}

// shift swaps every other one of the most popular adapters with a random one.
func (popularity *popularity) shift(count int, random *rand.Rand) {
	for i := range count {
		other := random.IntN(len(popularity.byRank))
		at := 2 * i
		popularity.byRank[at], popularity.byRank[other] = popularity.byRank[other], popularity.byRank[at]
	}
}

// arrivals is the two-state process. Times are kept in fractions of a
// millisecond, so that high rates are not rounded away.
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
			arrivals.change()
		}
		factor := arrivals.profile.Calm
		if arrivals.bursting {
			factor = arrivals.profile.Burst
		}
		wait := arrivals.random.ExpFloat64() / (arrivals.rate * factor) * float64(clock.Second)
		if arrivals.now+wait < arrivals.stateEnds {
			arrivals.now += wait
			return clock.Millis(arrivals.now)
		}
		arrivals.now = arrivals.stateEnds
	}
}

// change begins the next state; the first one is calm.
func (arrivals *arrivals) change() {
	arrivals.bursting = !arrivals.bursting && arrivals.stateEnds > 0
	mean := arrivals.profile.CalmSpan
	if arrivals.bursting {
		mean = arrivals.profile.BurstSpan
	}
	arrivals.stateEnds = arrivals.now + arrivals.random.ExpFloat64()*float64(mean)
}

// Flood adds routine requests at a constant mean rate to a trace, whose own
// requests stay as they are.
func Flood(profile Profile, seed uint64, trace []Request, rate float64, span clock.Millis) []Request {
	if rate <= 0 {
		return trace
	}
	profile.UrgentShare, profile.Burst, profile.Calm = 0, 1, 1
	return merge(trace, Trace(profile, seed+floodSeed, rate, span))
}

// floodSeed sets the seeds of floods apart from those of traces.
const floodSeed = 1 << 32

func merge(a, b []Request) []Request {
	merged := make([]Request, 0, len(a)+len(b))
	merged = append(append(merged, a...), b...)
	sort.SliceStable(merged, func(i, j int) bool { return merged[i].At < merged[j].At })
	return merged
}
