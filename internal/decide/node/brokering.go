package node

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/loads"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/ownership"
)

// brokerOf returns the daemon that grants a region's loads from a weight store.
// Each region has a broker of its own with a share of the store's rate: daemons
// of different regions are not connected, and regions lose each other.
func (node *Node) brokerOf(store string) ident.DaemonID {
	broker, found := ownership.First("store/"+store, node.regionNames)
	if !found {
		return node.options.Self
	}
	return broker
}

// regionRate is the region's share of a store's rate, in loads a second: as
// many parts as the region has of the engines that load from it.
func (node *Node) regionRate(store *config.WeightStore) float64 {
	here, all := 0, 0
	for i := range node.config.Config.Engines {
		engine := &node.config.Config.Engines[i]
		if engine.Store != store.Name {
			continue
		}
		all++
		if engine.Region == node.options.Region {
			here++
		}
	}
	return store.LoadsPerSecond * float64(max(1, here)) / float64(max(1, all))
}

func (node *Node) broker(store string) *loads.Broker {
	if node.brokers[store] == nil {
		node.brokers[store] = loads.New(node.loadOptions(store))
	}
	return node.brokers[store]
}

// loadOptions completes the options of a broker with the store's published rate.
func (node *Node) loadOptions(name string) loads.Options {
	options := node.options.Loads
	if node.config == nil {
		return options
	}
	if store, known := node.config.Store(name); known {
		options.Span = clock.Millis(float64(clock.Second) / store.LoadsPerSecond)
		if rate := node.regionRate(store); rate < store.LoadsPerSecond {
			options.Interval = clock.Millis(float64(clock.Second) / rate)
		}
	}
	return options
}

func (node *Node) loadAsk(from ident.DaemonID, ask message.LoadRequest) {
	node.sendReplies(node.broker(ask.Store).Ask(node.now, from, ask))
}

func (node *Node) loadDone(done message.LoadDone) {
	node.sendReplies(node.broker(done.Store).Done(node.now, done))
}

func (node *Node) loadGrant(grant message.LoadGrant) {
	held, known := node.owning.owned[grant.Engine]
	if !known {
		node.send(node.brokerOf(grant.Store), message.LoadDone{
			Store: grant.Store, Engine: grant.Engine, Adapter: grant.Adapter, Unused: true,
		})
		return
	}
	node.permit(grant.Engine, held)
	node.ownerEffects(held, held.owner.Granted(node.now, grant.Adapter))
}

// tickFallback lets the loads begin that the broker of their store does not
// answer for, at this daemon's share of the store's rate: the rate divided by
// the number of daemons, so that all together stay within it.
func (node *Node) tickFallback() {
	if node.config == nil || node.vms == nil {
		return
	}
	for i := range node.config.Config.WeightStores {
		store := &node.config.Config.WeightStores[i]
		if node.now < node.fallback[store.Name] {
			continue
		}
		if engine, adapter, found := node.longestUnanswered(store.Name); found {
			span := float64(clock.Second) * float64(max(1, len(node.regionNames))) / node.regionRate(store)
			node.fallback[store.Name] = node.now + clock.Millis(span)
			node.loadGrant(message.LoadGrant{Store: store.Name, Engine: engine, Adapter: adapter, Lease: node.options.Loads.Lease})
		}
	}
}

// longestUnanswered returns the load from a store that its broker has left
// without reply for longest.
func (node *Node) longestUnanswered(store string) (engine ident.EngineID, adapter ident.Adapter, found bool) {
	oldest := clock.Millis(0)
	for _, name := range node.ownedInOrder() {
		held := node.owning.owned[name]
		if held.owner.Engine.Store != store {
			continue
		}
		candidate, since, silent := held.owner.Unanswered(node.now, node.options.Loads.Silence)
		if silent && (!found || since < oldest) {
			engine, adapter, oldest, found = name, candidate, since, true
		}
	}
	return engine, adapter, found
}

// loadVerdict passes the broker's answer on to the engine's machine.
func (node *Node) loadVerdict(verdict message.LoadDecision) {
	if held, known := node.owning.owned[verdict.Engine]; known {
		node.ownerEffects(held, held.owner.Judged(node.now, verdict))
	}
}

func (node *Node) sendReplies(replies []loads.Reply) {
	for _, reply := range replies {
		node.send(reply.To, reply.Message)
	}
}
