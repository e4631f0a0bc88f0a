package node

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/message"
)

// This file compares what a daemon knows of another one's engines with the digest of its updates, and asks for what was missed.

// digestOf returns a digest of the owned engines, with their fencing numbers and
// residency versions.
func digestOf(deltas map[ident.EngineID]message.EngineDelta) uint64 {
	digest := uint64(0)
	for name, delta := range deltas {
		digest ^= digestEngine(name, delta.Fence, delta.Residency)
	}
	return digest
}

func digestEngine(name ident.EngineID, fence ident.Fence, residency uint64) uint64 {
	const mixer = 0x9e3779b97f4a7c15
	return (xxhash.Sum64String(string(name))+uint64(fence))*mixer ^ residency*mixer
}

// checkDigest compares the known state of a daemon's engines with the digest of its
// update, and requests a full update when earlier ones were missed.
func (node *Node) checkDigest(update message.Update) {
	engines := node.updates.enginesOf(update.From)
	if update.Full {
		node.dropMissing(engines, update)
	}
	if engines.digest == update.Digest {
		engines.digestMismatches = 0
		node.confirmViews(engines)
		return
	}
	engines.digestMismatches++
	if engines.digestMismatches >= digestMismatchLimit && node.now-engines.fullRequestedAt >= fullUpdateRequestInterval {
		engines.fullRequestedAt = node.now
		node.send(update.From, message.FullUpdateRequest{From: node.options.Self})
	}
}

// confirmViews marks the views of a daemon's engines as current, because the digest of
// its update matches them.
func (node *Node) confirmViews(engines *peerEngines) {
	for name := range engines.engines {
		if view := node.views.View(name); view != nil && view.ConfirmedAt < node.now {
			view.ConfirmedAt = node.now
			view.Sent = 0
			view.OwnerLost = false
		}
	}
}

// dropMissing removes engines that a full update of their owner no longer lists.
func (node *Node) dropMissing(engines *peerEngines, update message.Update) {
	for name := range engines.engines {
		if !slices.ContainsFunc(update.Engines, func(delta message.EngineDelta) bool { return delta.Engine == name }) {
			engines.remove(name)
			node.views.Drop(name)
		}
	}
}

// fullUpdateRequested replies with a full update.
func (node *Node) fullUpdateRequested(request message.FullUpdateRequest) {
	update := node.updateWithoutEngines()
	update.Full = true
	deltas := map[ident.EngineID]message.EngineDelta{}
	for _, name := range node.ownedInOrder() {
		if delta := node.engineDelta(node.ownerRole.owned[name].owner); delta.Engine != "" {
			deltas[name] = delta
			update.Engines = append(update.Engines, delta)
		}
	}
	slices.SortFunc(update.Engines, func(a, b message.EngineDelta) int { return cmp.Compare(a.Engine, b.Engine) })
	update.Digest = digestOf(deltas)
	node.sendUpdate(request.From, update)
}
