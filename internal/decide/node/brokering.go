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
	held, known := node.owned[grant.Engine]
	if !known {
		node.send(node.brokerOf(grant.Store), message.LoadDone{
			Store: grant.Store, Engine: grant.Engine, Adapter: grant.Adapter, Unused: true,
		})
		return
	}
	node.ownerEffects(held, held.owner.Granted(node.now, grant.Adapter))
}

// loadVerdict passes the broker's answer on to the engine's machine.
func (node *Node) loadVerdict(verdict message.LoadVerdict) {
	if held, known := node.owned[verdict.Engine]; known {
		node.ownerEffects(held, held.owner.Judged(node.now, verdict))
	}
}

func (node *Node) sendReplies(replies []loads.Reply) {
	for _, reply := range replies {
		node.send(reply.To, reply.Message)
	}
}
