package gateway

import (
	"teaselmoor/internal/direct/peers"
)

// tellWarnings tells peers what they have not been told of contents under which servers
// ended and of limits that servers named. Each daemon passes on what is news to it, so that
// all come to know it whoever hears whom.
func (gateway *Gateway) tellWarnings() {
	core := gateway.core
	core.mutex.Lock()
	now := core.now()
	targets := core.members.Plan().Targets
	news := make([]peers.Warnings, len(targets))
	for i, target := range targets {
		told := core.toldTo(target.Address)
		news[i] = peers.Warnings{Quarantine: core.quarantine.Since(now, told.quarantine), Limits: core.limits.Since(told.limits)}
		told.quarantine, told.limits = core.quarantine.Changes(), core.limits.Changes()
	}
	core.mutex.Unlock()
	for i, warnings := range news {
		if !warnings.Empty() {
			gateway.send(targets[i].Address, peers.Message{Warnings: &warnings})
		}
	}
}

// takeWarnings takes over what a peer knows, and passes on what of it is news.
func (gateway *Gateway) takeWarnings(from string, warnings *peers.Warnings) {
	core := gateway.core
	core.mutex.Lock()
	now := core.now()
	told := newTold()
	if peer, ok := core.members.Peer(from); ok {
		told = core.toldTo(peer.Address)
	}
	allRefused, allLimits := told.quarantine == core.quarantine.Changes(), told.limits == core.limits.Changes()
	refused := core.quarantine.Merge(now, warnings.Quarantine)
	if len(warnings.Limits) > 0 {
		core.limits.SetDaemons(now, core.members.Alive())
	}
	limited := core.limits.Merge(now, warnings.Limits)
	if allRefused { // it knows what it has told
		told.quarantine = core.quarantine.Changes()
	}
	if allLimits {
		told.limits = core.limits.Changes()
	}
	if refused {
		core.notify()
	}
	core.mutex.Unlock()
	if refused || limited {
		gateway.tellWarnings()
	}
}
