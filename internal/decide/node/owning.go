package node

import (
	"maps"
	"slices"
	"strconv"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/decide/owner"
	"teaselmoor/internal/decide/ownership"
)

func versionText(version uint64) string {
	return strconv.FormatUint(version, 10)
}

func (node *Node) ownedInOrder() []ident.EngineID {
	return slices.Sorted(maps.Keys(node.owned))
}

// reviseOwnership claims and releases engines after a change of the VM list or
// the configuration.
func (node *Node) reviseOwnership() {
	if node.config == nil || node.vms == nil {
		return
	}
	for i := range node.config.Config.Engines {
		engine := &node.config.Config.Engines[i]
		candidates := ownership.Candidates(node.vms, engine.DataCentre, engine.Region)
		first, found := ownership.First(string(engine.Name), candidates)
		held := node.owned[engine.Name]
		switch {
		case found && first == node.options.Self && held == nil:
			node.claim(engine.Name)
		case held != nil && first != node.options.Self && !held.owner.Busy():
			node.release(engine.Name)
		}
	}
}

func (node *Node) claim(name ident.EngineID) {
	engine, _ := node.config.Engine(name)
	fence := ident.Fence(node.now)
	node.owned[name] = &owned{owner: owner.New(node.options.Self, *engine, fence, node.options.Owner)}
	node.emit(effect.Audit{
		At: node.now, Kind: effect.OwnershipClaimed, Object: string(name),
		Cause: "first in order of the VM list", After: versionText(uint64(fence)),
	})
	node.tickOwned(name, node.owned[name])
}

func (node *Node) release(name ident.EngineID) {
	fence := node.owned[name].owner.Fence
	delete(node.owned, name)
	node.emit(effect.Audit{
		At: node.now, Kind: effect.OwnershipReleased, Object: string(name),
		Cause: "no longer first in order of the VM list", Before: versionText(uint64(fence)),
	})
}

// tickOwned lets an owned engine's machine go on, reads its report and sends
// its state when they are due.
func (node *Node) tickOwned(name ident.EngineID, held *owned) {
	if node.now-held.readAt >= node.options.ReadInterval {
		held.readAt = node.now
		node.emit(effect.ReadEngine{Engine: name, Fence: held.owner.Fence})
	}
	node.ownerEffects(held, held.owner.Tick(node.now))
	if node.now-held.stateAt >= node.options.StateInterval {
		node.announce(held)
	}
}

// announce sends the engine's state to the daemons of its region.
func (node *Node) announce(held *owned) {
	held.stateAt = node.now
	state := held.owner.State(node.now)
	for _, peer := range node.regionDaemons() {
		node.send(peer, state)
	}
}

func (node *Node) regionDaemons() []ident.DaemonID {
	if node.vms == nil {
		return nil
	}
	return node.vms.Daemons(func(vm *members.VM) bool { return vm.Region == node.options.Region })
}

// ownerEffects passes on an owner's effects; messages without an address go to
// the broker of the store that they name.
func (node *Node) ownerEffects(held *owned, effects []effect.Effect) {
	for _, next := range effects {
		sent, isSend := next.(effect.Send)
		if !isSend {
			node.emit(next)
			continue
		}
		to := sent.To
		if to == "" {
			to = node.brokerOf(held.owner.Engine.Store)
		}
		node.send(to, sent.Message)
	}
}

func (node *Node) submitted(from ident.DaemonID, submit message.Submit) {
	held, known := node.owned[submit.Engine]
	if !known {
		node.send(from, message.Ended{
			Stream: submit.Stream, Class: submit.Request.Class,
			Outcome: outcome.Refused(outcome.NotOwner, clock.Second),
		})
		return
	}
	node.ownerEffects(held, held.owner.Submit(node.now, from, submit))
}

func (node *Node) cancelled(cancel message.Cancel) {
	if held, known := node.owned[cancel.Engine]; known {
		node.ownerEffects(held, held.owner.Cancel(node.now, cancel.Stream))
	}
}

func (node *Node) runEnded(event RunEnded) {
	if held, known := node.owned[event.Engine]; known {
		node.ownerEffects(held, held.owner.RunEnded(node.now, event.Result))
	}
}

func (node *Node) loadEnded(event LoadEnded) {
	if held, known := node.owned[event.Engine]; known {
		node.ownerEffects(held, held.owner.Loaded(node.now, event.Adapter, event.Failed))
		node.announce(held)
	}
}

func (node *Node) unloadEnded(event UnloadEnded) {
	if held, known := node.owned[event.Engine]; known {
		node.ownerEffects(held, held.owner.Unloaded(node.now, event.Adapter, event.Failed))
	}
}

func (node *Node) engineReported(event EngineReported) {
	held, known := node.owned[event.Engine]
	if !known {
		return
	}
	first := !held.owner.Known()
	node.ownerEffects(held, held.owner.Reported(node.now, event.Report))
	if first {
		node.announce(held)
	}
}

// engineState takes in an owner's word on its engine.
func (node *Node) engineState(state message.EngineState) {
	node.views.Update(node.now, state)
}
