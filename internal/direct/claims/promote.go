package claims

import "teaselmoor/internal/base/clock"

// Promoted notes that this daemon may claim servers from now on, after a time in which
// it heard of claims only in part. It claims nothing before orders that it has not heard
// of are older than the quiet span: the daemon that gave them may run on, unheard.
func (registry *Registry) Promoted(now clock.Millis) {
	registry.started = now
	registry.leastWait = registry.options.Quiet
	clear(registry.first)
	for _, known := range registry.holders {
		if known.owner != registry.self {
			known.orderAt = now
		}
	}
}

// announceLead is the least time between the word that a daemon may claim servers and its
// first claims: others say the same in an update or less, on a connection that may have
// to be made anew.
const announceLead = 400 * clock.Millisecond

// Announced notes that peers are told from now on that this daemon may claim servers. One
// that found its peers late after its start claims later.
func (registry *Registry) Announced(now clock.Millis) {
	registry.started = max(registry.started, now+announceLead-registry.options.StartWait)
}
