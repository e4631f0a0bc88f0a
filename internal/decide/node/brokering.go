package node

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/loads"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/ownership"
)

// brokerOf returns the daemon that grants the region's loads from a weight store.
// Each region has its own broker with a share of the store's rate, because daemons
// of different regions are not connected and a region may become unreachable.
func (node *Node) brokerOf(store string) ident.DaemonID {
	broker, found := ownership.First("store/"+store, node.regionNames)
	if !found {
		return node.options.Self
	}
	return broker
}

// regionRate returns the region's share of a store's rate, in loads per second. The
// share is proportional to the number of the region's engines that load from the
// store.
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

// loadOptions returns the broker options with the load time and interval that
// follow from the store's configured rate.
func (node *Node) loadOptions(name string) loads.Options {
	options := node.options.Loads
	if node.config == nil {
		return options
	}
	if store, known := node.config.Store(name); known {
		options.LoadDuration = clock.Millis(float64(clock.Second) / store.LoadsPerSecond)
		if rate := node.regionRate(store); rate < store.LoadsPerSecond {
			options.Interval = clock.Millis(float64(clock.Second) / rate)
		}
	}
	return options
}

func (node *Node) loadRequested(from ident.DaemonID, request message.LoadRequest) {
	node.sendReplies(node.broker(request.Store).Request(node.now, from, request))
}

func (node *Node) leaseReturned(done message.LoadDone) {
	node.sendReplies(node.broker(done.Store).ReturnLease(node.now, done))
}

func (node *Node) loadGranted(grant message.LoadGrant) {
	owned, known := node.ownerRole.owned[grant.Engine]
	if !known {
		node.send(node.brokerOf(grant.Store), message.LoadDone{
			Store: grant.Store, Engine: grant.Engine, Adapter: grant.Adapter, Unused: true,
		})
		return
	}
	node.updatePermission(grant.Engine, owned)
	node.ownerEffects(owned, owned.owner.LoadGranted(node.now, grant.Adapter))
}

// tickFallback starts loads that the store's broker has not answered, at this
// daemon's share of the region's rate: the rate divided by the number of the
// region's daemons, so that all daemons together stay within it.
func (node *Node) tickFallback() {
	if node.config == nil || node.vms == nil {
		return
	}
	for i := range node.config.Config.WeightStores {
		store := &node.config.Config.WeightStores[i]
		if node.now < node.nextFallbackLoadAt[store.Name] {
			continue
		}
		if engine, adapter, found := node.longestUnanswered(store.Name); found {
			interval := float64(clock.Second) * float64(max(1, len(node.regionNames))) / node.regionRate(store)
			node.nextFallbackLoadAt[store.Name] = node.now + clock.Millis(interval)
			node.loadGranted(message.LoadGrant{Store: store.Name, Engine: engine, Adapter: adapter, Lease: node.options.Loads.Lease})
		}
	}
}

// longestUnanswered returns the load request to a store's broker that has waited
// longest without a reply.
func (node *Node) longestUnanswered(store string) (engine ident.EngineID, adapter ident.Adapter, found bool) {
	oldest := clock.Millis(0)
	for _, name := range node.ownedInOrder() {
		owned := node.ownerRole.owned[name]
		if owned.owner.Engine.Store != store {
			continue
		}
		unanswered, since, silent := owned.owner.LongestUnanswered(node.now, node.options.Loads.BrokerTimeout)
		if silent && (!found || since < oldest) {
			engine, adapter, oldest, found = name, unanswered, since, true
		}
	}
	return engine, adapter, found
}

// loadDecided passes the broker's decision to the engine's owner state machine.
func (node *Node) loadDecided(decision message.LoadDecision) {
	if owned, known := node.ownerRole.owned[decision.Engine]; known {
		node.ownerEffects(owned, owned.owner.LoadDecided(node.now, decision))
	}
}

func (node *Node) sendReplies(replies []loads.Reply) {
	for _, reply := range replies {
		node.send(reply.To, reply.Message)
	}
}
