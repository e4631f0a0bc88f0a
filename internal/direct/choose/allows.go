package choose

import "teaselmoor/internal/direct/fleet"

// Allows reports whether a server can run the request at once and may be sent it.
func (query Query) Allows(member *fleet.Member) bool {
	return !member.Draining && ready(member, query) && !query.Excludes(member)
}
