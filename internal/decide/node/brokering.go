package node

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/loads"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/ownership"
)

// brokerOf returns the daemon that grants loads from a weight store.
func (node *Node) brokerOf(store string) ident.DaemonID {
	if node.vms == nil {
		return node.options.Self
	}
	broker, found := ownership.First("store/"+store, node.vms.Daemons(func(*members.VM) bool { return true }))
	if !found {
		return node.options.Self
	}
	return broker
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
	}
	return options
}

func (node *Node) loadAsk(from ident.DaemonID, ask message.LoadAsk) {
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
			daemons := len(node.vms.Daemons(func(*members.VM) bool { return true }))
			span := float64(clock.Second) * float64(max(1, daemons)) / store.LoadsPerSecond
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
func (node *Node) loadVerdict(verdict message.LoadVerdict) {
	if held, known := node.owning.owned[verdict.Engine]; known {
		node.ownerEffects(held, held.owner.Judged(node.now, verdict))
	}
}

func (node *Node) sendReplies(replies []loads.Reply) {
	for _, reply := range replies {
		node.send(reply.To, reply.Message)
	}
}
