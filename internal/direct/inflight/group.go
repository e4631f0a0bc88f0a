package inflight

import "maps"

// Group returns the requests that this daemon and the named peers have in progress.
func (tracker *Tracker) Group(names []string) Share {
	group := tracker.own.Clone()
	for _, name := range names {
		share := tracker.peers[name]
		for server, load := range share.Loads {
			addLoad(group.Loads, server, load)
		}
		for use, uses := range share.Uses {
			addUse(group, use, uses)
		}
	}
	return group
}

// DeltaFrom returns the delta from an earlier share: the present values of what differs, and
// 0 for what has ended. A server at which only uses differ is included with its load.
func (share Share) DeltaFrom(before Share) Share {
	changes := newShare()
	for server, load := range share.Loads {
		if before.Loads[server] != load {
			changes.Loads[server] = load
		}
	}
	for server := range before.Loads {
		if _, ok := share.Loads[server]; !ok {
			changes.Loads[server] = Load{}
		}
	}
	for use, uses := range share.Uses {
		if before.Uses[use] != uses {
			changes.Uses[use] = uses
			changes.Loads[use.Server] = share.Loads[use.Server]
		}
	}
	for use := range before.Uses {
		if _, ok := share.Uses[use]; !ok {
			changes.Uses[use] = 0
			changes.Loads[use.Server] = share.Loads[use.Server]
		}
	}
	return changes
}

// Empty reports whether a share contains no loads and no uses.
func (share Share) Empty() bool {
	return len(share.Loads) == 0 && len(share.Uses) == 0
}

// ApplyDelta returns the share with a delta applied.
func (share Share) ApplyDelta(changes Share) Share {
	after := share.Clone()
	if after.Loads == nil {
		after = newShare()
	}
	maps.Copy(after.Loads, changes.Loads)
	maps.Copy(after.Uses, changes.Uses)
	maps.DeleteFunc(after.Loads, func(_ string, load Load) bool { return load == Load{} })
	maps.DeleteFunc(after.Uses, func(_ Use, uses int) bool { return uses == 0 })
	return after
}
