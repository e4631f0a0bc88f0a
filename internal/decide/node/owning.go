package node

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/owner"
	"teaselmoor/internal/decide/ownership"
)

// ownerRole is the state of a daemon's owner role.
type ownerRole struct {
	// candidates holds the ranked candidates of each engine that this daemon owns or
	// may own.
	candidates map[ident.EngineID][]ident.DaemonID
	tenures    map[ident.EngineID]*ownership.Tenure
	owned      map[ident.EngineID]*ownedEngine
	// formerlyOwned holds engines that this daemon no longer owns, until the runs
	// that it relays have ended.
	formerlyOwned map[ident.EngineID][]*ownedEngine
	// claims holds the highest known claim to each engine, including this daemon's
	// own.
	claims map[ident.EngineID]ownership.EngineClaim
	// receivedHandovers holds handovers that have not led to a claim yet.
	receivedHandovers map[ident.EngineID]message.Handover
	// successors holds the daemons that engines were handed over to.
	successors map[ident.EngineID]ident.DaemonID
	// handoverRequestedAt holds when the first candidate last asked this daemon for
	// an engine; handoverRequestSentAt holds when this daemon last asked another one
	// for an engine.
	handoverRequestedAt   map[ident.EngineID]clock.Millis
	handoverRequestSentAt map[ident.EngineID]clock.Millis
	// earlySubmits holds requests that were forwarded by a former owner and arrived
	// before its handover.
	earlySubmits []earlySubmit
	// leavingReportedAt holds when a peer last reported an engine as leaving.
	leavingReportedAt map[ident.EngineID]clock.Millis
	lastStepAt        clock.Millis
	// pauseEndedAt is when the last pause ended. Information from before it is not
	// used.
	pauseEndedAt clock.Millis
}

// ownedEngine is an engine that this daemon owns, or owned.
type ownedEngine struct {
	owner         *owner.Owner
	lastReadAt    clock.Millis // last ReadEngine
	reportAskedAt clock.Millis // when the latest processed report was asked for
	// yieldDeadline is when a handover stops waiting for an unload order in progress.
	yieldDeadline clock.Millis
}

func newOwnerRole() ownerRole {
	return ownerRole{
		candidates:            map[ident.EngineID][]ident.DaemonID{},
		tenures:               map[ident.EngineID]*ownership.Tenure{},
		owned:                 map[ident.EngineID]*ownedEngine{},
		formerlyOwned:         map[ident.EngineID][]*ownedEngine{},
		claims:                map[ident.EngineID]ownership.EngineClaim{},
		receivedHandovers:     map[ident.EngineID]message.Handover{},
		successors:            map[ident.EngineID]ident.DaemonID{},
		handoverRequestedAt:   map[ident.EngineID]clock.Millis{},
		handoverRequestSentAt: map[ident.EngineID]clock.Millis{},
		leavingReportedAt:     map[ident.EngineID]clock.Millis{},
	}
}

// versionText formats a number for an audit event.
func versionText(version uint64) string {
	return strconv.FormatUint(version, 10)
}

func (node *Node) ownedInOrder() []ident.EngineID {
	return slices.Sorted(maps.Keys(node.ownerRole.owned))
}

// rankCandidates ranks the candidates of each engine of the region after a change
// of the VM list or the configuration.
func (node *Node) rankCandidates() {
	if node.config == nil || node.vms == nil {
		return
	}
	node.releaseChangedEngines()
	clear(node.ownerRole.candidates)
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
		// An owner that is listed as leaving is no candidate any more, but needs
		// the ranking to find its successor.
		_, owned := node.ownerRole.owned[engine.Name]
		if owned || slices.Contains(candidates, node.options.Self) {
			node.ownerRole.candidates[engine.Name] = ownership.Rank(string(engine.Name), candidates)
		}
	}
	node.reviseOwnership()
}

// releaseChangedEngines releases engines whose configuration entry was removed or
// replaced by another engine, and applies other changes of an entry.
func (node *Node) releaseChangedEngines() {
	for _, name := range node.ownedInOrder() {
		owned := node.ownerRole.owned[name]
		entry, known := node.config.Engine(name)
		if !known || namesOtherEngine(owned.owner.Engine, *entry) {
			node.release(name, "the configuration entry was removed or names another engine")
			continue
		}
		owned.owner.Engine = *entry
	}
	for name := range node.ownerRole.claims {
		if _, known := node.config.Engine(name); !known {
			delete(node.ownerRole.claims, name)
			delete(node.ownerRole.tenures, name)
			delete(node.ownerRole.receivedHandovers, name)
			node.views.Drop(name)
		}
	}
}

func namesOtherEngine(before, after config.Engine) bool {
	return before.Address != after.Address || before.Slots != after.Slots || before.DataCentre != after.DataCentre ||
		before.Region != after.Region || before.ChecksFencing != after.ChecksFencing || before.BaseModel != after.BaseModel
}

// reviseOwnership claims, yields and releases engines according to the current
// configuration, VM list and reports of peers.
func (node *Node) reviseOwnership() {
	if node.config == nil || node.vms == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(node.ownerRole.candidates)) {
		engine, _ := node.config.Engine(name)
		node.revise(engine)
	}
	for _, name := range node.ownedInOrder() {
		if _, candidate := node.ownerRole.candidates[name]; !candidate {
			node.reviseNonCandidate(name)
		}
	}
}

// reviseNonCandidate revises an owned engine that this daemon is no longer a
// candidate for.
func (node *Node) reviseNonCandidate(name ident.EngineID) {
	if engine, known := node.config.Engine(name); known {
		node.revise(engine)
	}
}

func (node *Node) tenure(name ident.EngineID) *ownership.Tenure {
	found, known := node.ownerRole.tenures[name]
	if !known {
		found = ownership.New(node.options.Ownership, node.options.StartedAt+node.options.Ownership.SilenceTimeout)
		node.ownerRole.tenures[name] = found
	}
	return found
}

func (node *Node) revise(engine *config.Engine) {
	tenure := node.tenure(engine.Name)
	first := node.firstCandidate(engine)
	handover, handedOver := node.freshHandover(engine.Name)
	action := tenure.Revise(node.now, ownership.Facts{
		First:             first == node.options.Self,
		ChecksFencing:     engine.ChecksFencing,
		ListFresh:         engine.ChecksFencing || node.vmListFresh(),
		OwnedByLiveDaemon: node.ownedByLiveDaemon(engine),
		ListReadAt:        node.vms.ReadAt,
		HandoverRequested: node.now-node.ownerRole.handoverRequestedAt[engine.Name] < node.options.Ownership.MaxListAge,
		HandedOver:        handedOver,
	})
	switch {
	case action == ownership.Claim:
		node.claim(engine, handover, handedOver)
	case action == ownership.Yield:
		node.beginYield(engine.Name)
	case tenure.State() == ownership.Waiting:
		node.requestHandover(engine.Name)
	}
}

// firstCandidate returns the daemon that should own an engine as far as this daemon
// knows. It skips candidates that reported that they are leaving and, for engines
// that check fencing numbers, silent ones. If this daemon is shutting down, it returns
// itself only if all others are skipped.
func (node *Node) firstCandidate(engine *config.Engine) ident.DaemonID {
	leavingTimeout := node.options.Ownership.MaxListAge
	if engine.ChecksFencing {
		leavingTimeout = 2 * node.options.Ownership.SilenceTimeout // after this time the silence timeout also excludes the daemon
	}
	fallback := ident.DaemonID("")
	for _, candidate := range node.ownerRole.candidates[engine.Name] {
		switch {
		case candidate == node.options.Self && node.draining:
			fallback = candidate
		case candidate == node.options.Self:
			return candidate
		case node.peers.Leaving(node.now, candidate, leavingTimeout):
		case engine.ChecksFencing && node.peers.Silent(node.now, candidate, node.silenceTimeout(candidate)):
		default:
			return candidate
		}
	}
	return fallback
}

// ownedByLiveDaemon reports whether another daemon owns the engine and is not
// silent.
func (node *Node) ownedByLiveDaemon(engine *config.Engine) bool {
	claim, known := node.ownerRole.claims[engine.Name]
	if !known || claim.Owner == node.options.Self {
		return false
	}
	_, listed := node.vms.Daemon(claim.Owner)
	return listed && !node.peers.Silent(node.now, claim.Owner, node.silenceTimeout(claim.Owner))
}

// fenceDraw returns the drawn part of a fencing number. It differs between daemons, their starts and engines.
func (node *Node) fenceDraw(engine ident.EngineID) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d/%s/%d", node.options.Self, node.options.Incarnation, engine, node.now))
}

func (node *Node) claim(engine *config.Engine, handover message.Handover, handedOver bool) {
	highest := max(node.ownerRole.claims[engine.Name].Fence, handover.Fence)
	fence := ownership.NextFence(node.now, node.fenceDraw(engine.Name), highest)
	owned := &ownedEngine{owner: owner.New(node.options.Self, *engine, fence, node.options.Owner)}
	node.ownerRole.owned[engine.Name] = owned
	node.ownerRole.claims[engine.Name] = ownership.EngineClaim{
		Owner: node.options.Self, Incarnation: node.options.Incarnation, Fence: fence,
	}
	cause := "first candidate by the VM list, after the hold-down"
	settleTime := node.options.Ownership.HoldDown() + node.options.Ownership.ReportLag
	switch {
	case handedOver:
		cause = "handed over by the former owner"
		settleTime = node.options.Ownership.MaxOrderDelay + node.options.Ownership.ReportLag
	case engine.ChecksFencing:
		cause = "first candidate that is heard from; the engine checks fencing numbers"
	}
	delete(node.ownerRole.receivedHandovers, engine.Name)
	delete(node.ownerRole.successors, engine.Name)
	owned.owner.TakeOver(node.now+settleTime, handover.Runs)
	if engine.ChecksFencing {
		owned.owner.AwaitFence()
	}
	node.emit(effect.Audit{
		At: node.now, Kind: effect.OwnershipClaimed, Object: string(engine.Name),
		Cause: cause, Before: versionText(uint64(highest)), After: versionText(uint64(fence)),
	})
	node.updates.urgent = true
	node.tickOwned(engine.Name, owned)
	node.admitEarlySubmits(engine.Name)
}

// release ends an ownership at once. Runs in progress are still relayed until they
// end.
func (node *Node) release(name ident.EngineID, cause string) {
	node.tenure(name).Withdraw(node.now, false)
	node.endOwnership(name, cause)
}

// releaseToHigherClaim ends an ownership because a claim with a higher fencing number
// exists, and hands the unfinished runs over to the claiming daemon if it is known.
func (node *Node) releaseToHigherClaim(name ident.EngineID, cause string) {
	owned, known := node.ownerRole.owned[name]
	if !known {
		return
	}
	runs := owned.owner.UnfinishedRuns()
	node.tenure(name).Withdraw(node.now, true)
	if claim := node.ownerRole.claims[name]; claim.Owner != node.options.Self {
		node.send(claim.Owner, message.Handover{Engine: name, Fence: owned.owner.Fence, SentAt: node.now, Runs: runs})
	}
	node.endOwnership(name, cause)
}

func (node *Node) endOwnership(name ident.EngineID, cause string) {
	owned := node.ownerRole.owned[name]
	delete(node.ownerRole.owned, name)
	if view := node.views.View(name); view != nil && view.State.Owner == node.options.Self {
		node.views.Drop(name) // its owner is unknown now
	}
	node.ownerEffects(owned, owned.owner.Retire())
	if owned.owner.Busy() {
		node.ownerRole.formerlyOwned[name] = append(node.ownerRole.formerlyOwned[name], owned)
	}
	node.updates.urgent = true
	node.emit(effect.Audit{
		At: node.now, Kind: effect.OwnershipReleased, Object: string(name),
		Cause: cause, Before: versionText(uint64(owned.owner.Fence)),
	})
}

// tickOwned advances the state machine of an owned engine and reads the engine's
// report when due.
func (node *Node) tickOwned(name ident.EngineID, owned *ownedEngine) {
	if node.now-owned.lastReadAt >= node.options.EngineReadInterval {
		owned.lastReadAt = node.now
		node.presentFence(name, owned)
		node.emit(effect.ReadEngine{Engine: name, Fence: owned.owner.Fence, At: node.now})
	}
	node.updatePermission(name, owned)
	node.ownerEffects(owned, owned.owner.SetDraining(node.engineLeaving(name)))
	node.ownerEffects(owned, owned.owner.Tick(node.now))
}

func (node *Node) regionDaemons() []ident.DaemonID {
	if node.vms == nil {
		return nil
	}
	return node.vms.LiveDaemons(func(vm *members.VM) bool { return vm.Region == node.options.Region })
}

// ownerEffects emits an owner's effects. Messages without a receiver go to the
// broker of the engine's weight store.
func (node *Node) ownerEffects(owned *ownedEngine, effects []effect.Effect) {
	for _, next := range effects {
		send, isSend := next.(effect.Send)
		if !isSend {
			node.emit(node.setOrderExpiry(owned, next))
			continue
		}
		to := send.To
		if to == "" {
			to = node.brokerOf(owned.owner.Engine.Store)
		}
		node.send(to, send.Message)
	}
}
