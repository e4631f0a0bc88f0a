package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
)

// affinitySets caches affinity sets, because ranking a large pool takes longer than
// the rest of a placement decision.
type affinitySets struct {
	size  int
	known map[affinitySetKey][]*config.Engine
}

// affinitySetKey identifies an adapter and a pool. A pool belongs to one
// configuration snapshot and never changes, so the address of its first element
// identifies it.
type affinitySetKey struct {
	adapter ident.Adapter
	pool    **config.Engine
}

// maxAffinitySets is the maximum number of cached affinity sets. When it is reached,
// the cache is cleared.
const maxAffinitySets = 1 << 16

func newAffinitySets(size int) affinitySets {
	return affinitySets{size: max(1, size), known: map[affinitySetKey][]*config.Engine{}}
}

// of returns the affinity set of an adapter in a pool, best first.
func (affinitySets *affinitySets) of(adapter ident.Adapter, pool []*config.Engine) []*config.Engine {
	if len(pool) == 0 {
		return nil
	}
	key := affinitySetKey{adapter: adapter, pool: &pool[0]}
	set, known := affinitySets.known[key]
	if !known {
		if len(affinitySets.known) >= maxAffinitySets {
			clear(affinitySets.known)
		}
		set = topByHash(adapter, pool, affinitySets.size)
		affinitySets.known[key] = set
	}
	return set
}

type scoredEngine struct {
	engine *config.Engine
	score  uint64
}

// topByHash returns the engines of a pool with the highest scores for an adapter, best
// first.
func topByHash(adapter ident.Adapter, pool []*config.Engine, size int) []*config.Engine {
	ranked := make([]scoredEngine, 0, len(pool))
	for _, engine := range pool {
		ranked = append(ranked, scoredEngine{engine: engine, score: score(adapter, engine.Name)})
	}
	slices.SortFunc(ranked, func(a, b scoredEngine) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.engine.Name, b.engine.Name))
	})
	set := make([]*config.Engine, 0, min(size, len(pool)))
	for _, first := range ranked[:min(size, len(ranked))] {
		set = append(set, first.engine)
	}
	return set
}

// score returns the rendezvous hash of an adapter and an engine.
func score(adapter ident.Adapter, engine ident.EngineID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(adapter.Name)
	_, _ = digest.WriteString("@")
	_, _ = digest.WriteString(adapter.Version)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(string(engine))
	return digest.Sum64()
}
