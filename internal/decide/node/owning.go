package node

import (
	"maps"
	"slices"
	"strconv"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/owner"
	"teaselmoor/internal/decide/ownership"
)

// owning is the owner role of a daemon.
type owning struct {
	// order ranks the candidates of each engine that this daemon may come to own.
	order   map[ident.EngineID][]ident.DaemonID
	tenures map[ident.EngineID]*ownership.Tenure
	owned   map[ident.EngineID]*owned
	// former holds machines that no longer own their engine, until the runs that
	// they relay have ended.
	former map[ident.EngineID][]*owned
	// claims holds the highest claim heard of, this daemon's own included.
	claims map[ident.EngineID]ownership.Heard
	// handed holds handovers that have not been taken up.
	handed map[ident.EngineID]message.Handover
	// heirs holds whom this daemon handed engines over to.
	heirs map[ident.EngineID]ident.DaemonID
	// asked holds when the first candidate last asked for an engine of this daemon,
	// asking when this daemon last asked for another's.
	asked  map[ident.EngineID]clock.Millis
	asking map[ident.EngineID]clock.Millis
	// early holds requests passed on by a former owner ahead of its handover.
	early []earlySubmit
	// departing holds when engines were last said to be leaving.
	departing map[ident.EngineID]clock.Millis
	steppedAt clock.Millis
	// confirmAfter is when the last pause ended; older knowledge is void.
	confirmAfter clock.Millis
}

// owned is an engine that this daemon owns, or owned.
type owned struct {
	owner   *owner.Owner
	readAt  clock.Millis // last ReadEngine
	askedAt clock.Millis // when the latest report taken in was asked for
	// yieldUntil is when a handover no longer waits for an order under way.
	yieldUntil clock.Millis
}

func newOwning() owning {
	return owning{
		order:     map[ident.EngineID][]ident.DaemonID{},
		tenures:   map[ident.EngineID]*ownership.Tenure{},
		owned:     map[ident.EngineID]*owned{},
		former:    map[ident.EngineID][]*owned{},
		claims:    map[ident.EngineID]ownership.Heard{},
		handed:    map[ident.EngineID]message.Handover{},
		heirs:     map[ident.EngineID]ident.DaemonID{},
		asked:     map[ident.EngineID]clock.Millis{},
		asking:    map[ident.EngineID]clock.Millis{},
		departing: map[ident.EngineID]clock.Millis{},
	}
}

func versionText(version uint64) string {
	return strconv.FormatUint(version, 10)
}

func (node *Node) ownedInOrder() []ident.EngineID {
	return slices.Sorted(maps.Keys(node.owning.owned))
}

// rankCandidates orders the candidates of each engine of the region anew, after
// a change of the VM list or the configuration.
func (node *Node) rankCandidates() {
	if node.config == nil || node.vms == nil {
		return
	}
	node.dropChanged()
	clear(node.owning.order)
	byCentre := map[string][]ident.DaemonID{}
	for i := range node.config.Config.Engines {
		engine := &node.config.Config.Engines[i]
		if engine.Region != node.options.Region {
			continue
		}
		candidates, known := byCentre[engine.DataCentre]
		if !known {
			candidates = ownership.Candidates(node.vms, engine.DataCentre, engine.Region)
			byCentre[engine.DataCentre] = candidates
		}
		// An owner that is no candidate any more, because the list shows it as
		// leaving, needs the order to know whom to hand over to.
		_, held := node.owning.owned[engine.Name]
		if held || slices.Contains(candidates, node.options.Self) {
			node.owning.order[engine.Name] = ownership.Rank(string(engine.Name), candidates)
		}
	}
	node.reviseOwnership()
}

// dropChanged ends the ownership of engines whose configuration entry is gone or
// names another engine; other changes of an entry are taken over.
func (node *Node) dropChanged() {
	for _, name := range node.ownedInOrder() {
		held := node.owning.owned[name]
		entry, known := node.config.Engine(name)
		if !known || replaced(held.owner.Engine, *entry) {
			node.release(name, "the configuration entry was removed or names another engine")
			continue
		}
		held.owner.Engine = *entry
	}
	for name := range node.owning.claims {
		if _, known := node.config.Engine(name); !known {
			delete(node.owning.claims, name)
			delete(node.owning.tenures, name)
			delete(node.owning.handed, name)
			node.views.Drop(name)
		}
	}
}

func replaced(before, after config.Engine) bool {
	return before.Address != after.Address || before.Slots != after.Slots || before.DataCentre != after.DataCentre ||
		before.Region != after.Region || before.ChecksFencing != after.ChecksFencing || before.BaseModel != after.BaseModel
}

// reviseOwnership claims, yields and releases engines by what is known now.
func (node *Node) reviseOwnership() {
	if node.config == nil || node.vms == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(node.owning.order)) {
		engine, _ := node.config.Engine(name)
		node.revise(engine)
	}
	for _, name := range node.ownedInOrder() {
		if _, candidate := node.owning.order[name]; !candidate {
			node.reviseStranger(name)
		}
	}
}

// reviseStranger revises an owned engine that this daemon is no candidate for
// any more.
func (node *Node) reviseStranger(name ident.EngineID) {
	if engine, known := node.config.Engine(name); known {
		node.revise(engine)
	}
}

func (node *Node) tenure(name ident.EngineID) *ownership.Tenure {
	found, known := node.owning.tenures[name]
	if !known {
		found = ownership.New(node.options.Ownership, node.options.StartedAt+node.options.Ownership.Suspicion)
		node.owning.tenures[name] = found
	}
	return found
}

func (node *Node) revise(engine *config.Engine) {
	tenure := node.tenure(engine.Name)
	first := node.firstCandidate(engine)
	handover, handedOver := node.freshHandover(engine.Name)
	action := tenure.Revise(node.now, ownership.Facts{
		First:         first == node.options.Self,
		ChecksFencing: engine.ChecksFencing,
		Fresh:         engine.ChecksFencing || node.viewFresh(),
		Occupied:      node.occupied(engine),
		ListReadAt:    node.vms.ReadAt,
		Asked:         node.now-node.owning.asked[engine.Name] < node.options.Ownership.ViewAge,
		HandedOver:    handedOver,
	})
	switch {
	case action == ownership.Claim:
		node.claim(engine, handover, handedOver)
	case action == ownership.Yield:
		node.beginYield(engine.Name)
	case tenure.State() == ownership.Waiting:
		node.askHandover(engine.Name)
	}
}

// firstCandidate returns the daemon that should own an engine by what is known
// here: candidates that say that they are leaving are passed over, and for
// engines that check fencing numbers silent ones too.
func (node *Node) firstCandidate(engine *config.Engine) ident.DaemonID {
	leavingSpan := node.options.Ownership.ViewAge
	if engine.ChecksFencing {
		leavingSpan = 2 * node.options.Ownership.Suspicion // silence follows it without a gap
	}
	lastResort := ident.DaemonID("")
	for _, candidate := range node.owning.order[engine.Name] {
		switch {
		case candidate == node.options.Self && node.draining:
			lastResort = candidate
		case candidate == node.options.Self:
			return candidate
		case node.peers.Leaving(node.now, candidate, leavingSpan):
		case engine.ChecksFencing && node.peers.Silent(node.now, candidate, node.suspicion(candidate)):
		default:
			return candidate
		}
	}
	return lastResort
}

// occupied reports whether another daemon owns the engine and is heard from.
func (node *Node) occupied(engine *config.Engine) bool {
	claim, known := node.owning.claims[engine.Name]
	if !known || claim.Owner == node.options.Self {
		return false
	}
	_, listed := node.vms.Daemon(claim.Owner)
	return listed && !node.peers.Silent(node.now, claim.Owner, node.suspicion(claim.Owner))
}

func (node *Node) claim(engine *config.Engine, handover message.Handover, handedOver bool) {
	highest := max(node.owning.claims[engine.Name].Fence, handover.Fence)
	fence := ownership.NextFence(node.now, node.options.Self, highest)
	held := &owned{owner: owner.New(node.options.Self, *engine, fence, node.options.Owner)}
	node.owning.owned[engine.Name] = held
	node.owning.claims[engine.Name] = ownership.Heard{
		Owner: node.options.Self, Incarnation: node.options.Incarnation, Fence: fence,
	}
	cause := "first candidate by the VM list, after the hold-down"
	quiet := node.options.Ownership.HoldDown() + node.options.Ownership.ReportLag
	switch {
	case handedOver:
		cause = "handed over by the former owner"
		quiet = node.options.Ownership.OrderSpan + node.options.Ownership.ReportLag
	case engine.ChecksFencing:
		cause = "first candidate that is heard from; the engine checks fencing numbers"
	}
	delete(node.owning.handed, engine.Name)
	delete(node.owning.heirs, engine.Name)
	held.owner.TakeOver(node.now+quiet, handover.Runs)
	if engine.ChecksFencing {
		held.owner.AwaitNumber()
	}
	node.emit(effect.Audit{
		At: node.now, Kind: effect.OwnershipClaimed, Object: string(engine.Name),
		Cause: cause, Before: versionText(uint64(highest)), After: versionText(uint64(fence)),
	})
	node.news.due = true
	node.tickOwned(engine.Name, held)
	node.admitEarly(engine.Name)
}

// release ends an ownership at once. Runs at the engine are relayed to their end.
func (node *Node) release(name ident.EngineID, cause string) {
	node.tenure(name).Withdraw(node.now, false)
	node.retire(name, cause)
}

// outbid ends an ownership because a higher number is known to exist.
func (node *Node) outbid(name ident.EngineID, cause string) {
	held, known := node.owning.owned[name]
	if !known {
		return
	}
	runs := held.owner.HandedRuns()
	node.tenure(name).Withdraw(node.now, true)
	if claim := node.owning.claims[name]; claim.Owner != node.options.Self {
		node.send(claim.Owner, message.Handover{Engine: name, Fence: held.owner.Fence, SentAt: node.now, Runs: runs})
	}
	node.retire(name, cause)
}

func (node *Node) retire(name ident.EngineID, cause string) {
	held := node.owning.owned[name]
	delete(node.owning.owned, name)
	if view := node.views.View(name); view != nil && view.State.Owner == node.options.Self {
		node.views.Drop(name) // nobody is known to own it now
	}
	node.ownerEffects(held, held.owner.Retire())
	if held.owner.Busy() {
		node.owning.former[name] = append(node.owning.former[name], held)
	}
	node.news.due = true
	node.emit(effect.Audit{
		At: node.now, Kind: effect.OwnershipReleased, Object: string(name),
		Cause: cause, Before: versionText(uint64(held.owner.Fence)),
	})
}

// tickOwned lets an owned engine's machine go on and reads its report when due.
func (node *Node) tickOwned(name ident.EngineID, held *owned) {
	if node.now-held.readAt >= node.options.EngineReadInterval {
		held.readAt = node.now
		node.showNumber(name, held)
		node.emit(effect.ReadEngine{Engine: name, Fence: held.owner.Fence, At: node.now})
	}
	node.permit(name, held)
	node.ownerEffects(held, held.owner.SetDraining(node.engineLeaving(name)))
	node.ownerEffects(held, held.owner.Tick(node.now))
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
			node.emit(node.stamp(held, next))
			continue
		}
		to := sent.To
		if to == "" {
			to = node.brokerOf(held.owner.Engine.Store)
		}
		node.send(to, sent.Message)
	}
}
