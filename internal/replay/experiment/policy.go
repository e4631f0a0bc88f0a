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

// Policy is a named way to decide: the product's, a baseline, or the product's
// with one element changed.
type Policy struct {
	Name string
	// Apply changes the product's options; nil leaves them.
	Apply func(options *node.Options, knowledge Knowledge)
	// Instant gives daemons perfect knowledge of residency and queues.
	Instant bool

	offline bool
}

// Knowledge is what a policy may be built from, besides the options.
type Knowledge struct {
	// Trace is the future; only a clairvoyant policy may use it.
	Trace []workload.Request
	// Start is the point in time at which the trace begins.
	Start clock.Millis
	Seed  uint64
}

// silence is the age from which a baseline does not rely on an engine's state.
const silence = 10 * clock.Second

// Product returns the product's own policy, with each daemon's stale views.
func Product() Policy {
	return Policy{Name: "product"}
}

// Baselines returns the policies that the product is compared with. All have
// perfect knowledge of residency; the last is the strong one.
func Baselines() []Policy {
	return []Policy{
		{Name: "random", Instant: true, Apply: func(options *node.Options, knowledge Knowledge) {
			baseline(options, func() placement.Policy {
				return placement.Random(rand.New(rand.NewPCG(knowledge.Seed, 3)), silence)
			})
		}},
		{Name: "least loaded", Instant: true, Apply: func(options *node.Options, _ Knowledge) {
			baseline(options, func() placement.Policy { return placement.LeastLoaded(silence) })
		}},
		ResidencyFirst(),
	}
}

// ResidencyFirst returns the strong baseline: residency first with perfect
// knowledge, least recently used eviction, loads in order of arrival.
func ResidencyFirst() Policy {
	return Policy{Name: "residency first", Instant: true, Apply: func(options *node.Options, _ Knowledge) {
		baseline(options, func() placement.Policy { return placement.ResidencyFirst(silence) })
	}}
}

func baseline(options *node.Options, policy func() placement.Policy) {
	options.Placement = policy
	options.Owner.Eviction = owner.LeastRecentlyUsed{}
	options.Loads.ArrivalOrder = true
}

// Policies returns every policy: baselines, the product's, and ablations.
func Policies() []Policy {
	return append(append(Baselines(), Product(), Offline()), Ablations()...)
}

// Ablations returns the product's policy with one element changed in each.
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
		brokered("never refuse", func(loads *loads.Options) { loads.NeverRefuse = true }),
		brokered("arrival order", func(loads *loads.Options) { loads.ArrivalOrder = true }),
		weighted("set of 1", func(weights *placement.Weights) { weights.AffinitySetSize = 1 }),
		weighted("set of 2", func(weights *placement.Weights) { weights.AffinitySetSize = 2 }),
		weighted("set of 3", func(weights *placement.Weights) { weights.AffinitySetSize = 3 }),
		weighted("batch 0", func(weights *placement.Weights) { weights.BatchGain = 0 }),
		weighted("batch 1", func(weights *placement.Weights) { weights.BatchGain = 1 }),
		weighted("batch 4", func(weights *placement.Weights) { weights.BatchGain = 4 }),
		weighted("batch 16", func(weights *placement.Weights) { weights.BatchGain = 16 }),
		owned("no slot yields", func(owner *owner.Options) { owner.YieldDelay = 0 }),
		weighted("spare ignored", func(weights *placement.Weights) { weights.SpareCost = 0 }),
	}
}

func weighted(name string, change func(*placement.Weights)) Policy {
	return Policy{Name: name, Apply: func(options *node.Options, _ Knowledge) { change(&options.Weights) }}
}

func brokered(name string, change func(*loads.Options)) Policy {
	return Policy{Name: name, Apply: func(options *node.Options, _ Knowledge) { change(&options.Loads) }}
}

func owned(name string, change func(*owner.Options)) Policy {
	return Policy{Name: name, Apply: func(options *node.Options, _ Knowledge) { change(&options.Owner) }}
}
