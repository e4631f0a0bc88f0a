// Package ownership decides which daemon owns an engine, that is, may send it orders.
// It uses no consensus protocol: every daemon computes the same ranking of candidates
// from the published VM list. While daemons have different lists, fencing numbers
// prevent two owners if the engine checks them, and waiting times otherwise. What an
// owner orders is decided by package owner.
package ownership

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/members"
)

// Rank returns the daemons ordered by rendezvous hash for a key, best first. Removing
// a daemon moves only the keys that it was first for.
func Rank(key string, daemons []ident.DaemonID) []ident.DaemonID {
	scores := make(map[ident.DaemonID]uint64, len(daemons))
	for _, daemon := range daemons {
		scores[daemon] = score(key, daemon)
	}
	ranked := append([]ident.DaemonID(nil), daemons...)
	sort.Slice(ranked, func(i, j int) bool {
		if scores[ranked[i]] != scores[ranked[j]] {
			return scores[ranked[i]] > scores[ranked[j]]
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}

// First returns the daemon that Rank puts first for a key.
func First(key string, daemons []ident.DaemonID) (ident.DaemonID, bool) {
	var best ident.DaemonID
	var bestScore uint64
	for _, daemon := range daemons {
		daemonScore := score(key, daemon)
		if best == "" || daemonScore > bestScore || daemonScore == bestScore && daemon < best {
			best, bestScore = daemon, daemonScore
		}
	}
	return best, best != ""
}

func score(key string, daemon ident.DaemonID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(string(daemon))
	return digest.Sum64()
}

// Candidates returns the daemons that may own a backend server's engine: the live
// ones of its data centre, or those of its region if the data centre has none.
func Candidates(view *members.View, dataCentre, region string) []ident.DaemonID {
	daemons := view.LiveDaemons(func(vm *members.VM) bool { return vm.DataCentre == dataCentre })
	if len(daemons) > 0 {
		return daemons
	}
	return view.LiveDaemons(func(vm *members.VM) bool { return vm.Region == region })
}
