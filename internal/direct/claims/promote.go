package claims

import "teaselmoor/internal/base/clock"

// Promoted records that this daemon may claim servers from now on, after a period in
// which it received only some of the claims of other daemons. It then claims nothing for
// Options.Quiet, as a daemon whose claims it did not receive may have sent orders until now.
func (registry *Registry) Promoted(now clock.Millis) {
	registry.started = now
	registry.minStartWait = registry.options.Quiet
	clear(registry.firstContact)
	for _, state := range registry.servers {
		if state.owner != registry.self {
			state.lastOrderAt = now
		}
	}
}

// announceLead is the minimum time between the announcement that a daemon may claim
// servers and its first claim. Within it peers answer with their own claims, possibly
// after a reconnect.
const announceLead = 400 * clock.Millisecond

// Announced records that this daemon begins to announce to its peers that it may claim
// servers, and allows no claims until announceLead later. This delays the first claim of a
// daemon that discovers its peers late in its StartWait or after it.
func (registry *Registry) Announced(now clock.Millis) {
	registry.started = max(registry.started, now+announceLead-registry.options.StartWait)
}
