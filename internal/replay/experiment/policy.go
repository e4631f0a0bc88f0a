package experiment

import (
	"math/rand/v2"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/decide/loads"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/owner"
	"teaselmoor/internal/decide/placement"
	"teaselmoor/internal/replay/workload"
)

// Policy is a named set of decision options: the product's, a baseline, or the
// product's with one element changed.
type Policy struct {
	Name string
	// Apply changes the product's options; nil leaves them as they are.
	Apply func(options *node.Options, knowledge Knowledge)
	// PerfectKnowledge gives daemons exact and current knowledge of residency and
	// queues, instead of reports that can be stale.
	PerfectKnowledge bool

	offline bool
}

// Knowledge holds what a policy can use besides the options.
type Knowledge struct {
	// Trace is the whole trace, future requests included; only an offline policy may
	// use it.
	Trace []workload.Request
	// Start is the time at which the trace begins.
	Start clock.Millis
	Seed  uint64
}

// maxStateAge is the age from which a baseline no longer uses an engine's state.
const maxStateAge = 10 * clock.Second

// Product returns the product's own policy, in which each daemon decides by its own,
// possibly stale, view of the engines.
func Product() Policy {
	return Policy{Name: "product"}
}

// Baselines returns the policies that the product is compared with. All have perfect
// knowledge of residency; the last, ResidencyFirst, is the strongest.
func Baselines() []Policy {
	return []Policy{
		{Name: "random", PerfectKnowledge: true, Apply: func(options *node.Options, knowledge Knowledge) {
			applyBaseline(options, func() placement.Policy {
				return placement.Random(rand.New(rand.NewPCG(knowledge.Seed, 3)), maxStateAge)
			})
		}},
		{Name: "least loaded", PerfectKnowledge: true, Apply: func(options *node.Options, _ Knowledge) {
			applyBaseline(options, func() placement.Policy { return placement.LeastLoaded(maxStateAge) })
		}},
		ResidencyFirst(),
	}
}

// ResidencyFirst returns the strongest baseline: placement by residency first with
// perfect knowledge, least recently used eviction, and loads in order of arrival.
func ResidencyFirst() Policy {
	return Policy{Name: "residency first", PerfectKnowledge: true, Apply: func(options *node.Options, _ Knowledge) {
		applyBaseline(options, func() placement.Policy { return placement.ResidencyFirst(maxStateAge) })
	}}
}

func applyBaseline(options *node.Options, policy func() placement.Policy) {
	options.Placement = policy
	options.Owner.Eviction = owner.LeastRecentlyUsed{}
	options.Loads.ArrivalOrder = true
}

// Policies returns every policy: the baselines, the product's, the offline bound and
// the ablations.
func Policies() []Policy {
	return append(append(Baselines(), Product(), Offline()), Ablations()...)
}

// Ablations returns variants of the product's policy, each with one element changed.
func Ablations() []Policy {
	return []Policy{
		{Name: "lru eviction", Apply: func(options *node.Options, _ Knowledge) {
			options.Owner.Eviction = owner.LeastRecentlyUsed{}
		}},
		{Name: "half-life 1 min", Apply: func(options *node.Options, _ Knowledge) {
			options.Owner.HalfLife = clock.Minute
		}},
		{Name: "half-life 20 min", Apply: func(options *node.Options, _ Knowledge) {
			options.Owner.HalfLife = 20 * clock.Minute
		}},
		withLoadOptions("never refuse", func(loads *loads.Options) { loads.NeverRefuse = true }),
		withLoadOptions("arrival order", func(loads *loads.Options) { loads.ArrivalOrder = true }),
		withWeights("set of 1", func(weights *placement.Weights) { weights.AffinitySetSize = 1 }),
		withWeights("set of 2", func(weights *placement.Weights) { weights.AffinitySetSize = 2 }),
		withWeights("set of 3", func(weights *placement.Weights) { weights.AffinitySetSize = 3 }),
		withWeights("batch 0", func(weights *placement.Weights) { weights.BatchGain = 0 }),
		withWeights("batch 1", func(weights *placement.Weights) { weights.BatchGain = 1 }),
		withWeights("batch 4", func(weights *placement.Weights) { weights.BatchGain = 4 }),
		withWeights("batch 16", func(weights *placement.Weights) { weights.BatchGain = 16 }),
		withOwnerOptions("no slot yields", func(owner *owner.Options) { owner.YieldDelay = 0 }),
		withWeights("spare ignored", func(weights *placement.Weights) { weights.SpareCost = 0 }),
	}
}

func withWeights(name string, change func(*placement.Weights)) Policy {
	return Policy{Name: name, Apply: func(options *node.Options, _ Knowledge) { change(&options.Weights) }}
}

func withLoadOptions(name string, change func(*loads.Options)) Policy {
	return Policy{Name: name, Apply: func(options *node.Options, _ Knowledge) { change(&options.Loads) }}
}

func withOwnerOptions(name string, change func(*owner.Options)) Policy {
	return Policy{Name: name, Apply: func(options *node.Options, _ Knowledge) { change(&options.Owner) }}
}
