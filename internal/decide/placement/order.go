package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
)

// orders remembers affinity sets, because ranking a large pool takes longer
// than the rest of a decision.
type orders struct {
	size  int
	known map[orderKey][]*config.Engine
}

// orderKey names an adapter and a pool. A pool belongs to one configuration
// snapshot and never changes, so its first element identifies it.
type orderKey struct {
	adapter ident.Adapter
	pool    **config.Engine
}

// ordersLimit is the number of affinity sets remembered; above it all are
// dropped and ranked again when they are needed.
const ordersLimit = 1 << 16

func newOrders(size int) orders {
	return orders{size: max(1, size), known: map[orderKey][]*config.Engine{}}
}

// of returns the affinity set of an adapter in a pool, best first.
func (orders *orders) of(adapter ident.Adapter, pool []*config.Engine) []*config.Engine {
	if len(pool) == 0 {
		return nil
	}
	key := orderKey{adapter: adapter, pool: &pool[0]}
	set, known := orders.known[key]
	if !known {
		if len(orders.known) >= ordersLimit {
			clear(orders.known)
		}
		set = firstByHash(adapter, pool, orders.size)
		orders.known[key] = set
	}
	return set
}

type scored struct {
	engine *config.Engine
	score  uint64
}

func firstByHash(adapter ident.Adapter, pool []*config.Engine, size int) []*config.Engine {
	ranked := make([]scored, 0, len(pool))
	for _, engine := range pool {
		ranked = append(ranked, scored{engine: engine, score: score(adapter, engine.Name)})
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.engine.Name, b.engine.Name))
	})
	set := make([]*config.Engine, 0, min(size, len(pool)))
	for _, first := range ranked[:min(size, len(ranked))] {
		set = append(set, first.engine)
	}
	return set
}

// score ranks the engines for an adapter (rendezvous hash).
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
