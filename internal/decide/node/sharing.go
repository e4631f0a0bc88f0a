package node

import (
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
		node.brokers[store] = loads.New(node.options.Loads)
	}
	return node.brokers[store]
}

func (node *Node) loadAsk(from ident.DaemonID, ask message.LoadAsk) {
	node.sendGrants(node.broker(ask.Store).Ask(node.now, from, ask))
}

func (node *Node) loadDone(done message.LoadDone) {
	node.sendGrants(node.broker(done.Store).Done(node.now, done))
}

func (node *Node) loadGrant(grant message.LoadGrant) {
	held, known := node.owning.owned[grant.Engine]
	if !known {
		node.send(node.brokerOf(grant.Store), message.LoadDone{Store: grant.Store, Engine: grant.Engine, Adapter: grant.Adapter})
		return
	}
	node.permit(grant.Engine, held)
	node.ownerEffects(held, held.owner.Granted(node.now, grant.Adapter))
}

func (node *Node) sendGrants(grants []loads.Grant) {
	for _, grant := range grants {
		node.send(grant.To, grant.Grant)
	}
}
