package node

import (
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/ownership"
)

// homeOf returns the daemon that keeps the record of an idempotency key.
func (node *Node) homeOf(key string) (ident.DaemonID, bool) {
	return ownership.First("key/"+key, node.regionDaemons())
}

func (node *Node) homeBegin(from ident.DaemonID, begin message.HomeBegin) {
	node.send(from, node.home.Begin(node.now, begin))
}
