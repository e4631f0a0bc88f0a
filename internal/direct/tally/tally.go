// Package tally counts the requests in progress at backend servers: a daemon's
// own at once, those of other daemons as they tell. It does no I/O.
package tally

import (
	"maps"

	"teaselmoor/internal/direct/port"
)

// Load is the work in progress at a server.
type Load struct {
	Runs    int // requests sent or about to be sent
	Reading int // prompt tokens of requests that have not had a first event
}

// Use is an adapter at a server.
type Use struct {
	Server  string
	Adapter port.Adapter
}

// Share is what one daemon has in progress.
type Share struct {
	Loads map[string]Load
	Uses  map[Use]int
}

// Clone returns a copy.
func (share Share) Clone() Share {
	return Share{Loads: maps.Clone(share.Loads), Uses: maps.Clone(share.Uses)}
}

func newShare() Share {
	return Share{Loads: make(map[string]Load), Uses: make(map[Use]int)}
}

// Tally adds the shares of all daemons.
type Tally struct {
	own   Share
	peers map[string]Share
	total Share
	// distinct counts the adapters in use at each server, those that requests
	// wait for included: each takes a place there.
	distinct map[string]int
}

// New returns a tally of nothing.
func New() *Tally {
	return &Tally{own: newShare(), peers: make(map[string]Share), total: newShare(), distinct: make(map[string]int)}
}

// Begin counts a request of this daemon.
func (tally *Tally) Begin(use Use, prompt int) {
	tally.change(use, Load{Runs: 1, Reading: prompt}, 1)
}

// First notes the first event of a request's answer.
func (tally *Tally) First(use Use, prompt int) {
	tally.change(use, Load{Reading: -prompt}, 0)
}

// End takes a request off. Prompt is what First has not taken off yet.
func (tally *Tally) End(use Use, prompt int) {
	tally.change(use, Load{Runs: -1, Reading: -prompt}, -1)
}

func (tally *Tally) change(use Use, load Load, uses int) {
	addLoad(tally.own, use.Server, load)
	addLoad(tally.total, use.Server, load)
	if uses != 0 {
		addUse(tally.own, use, uses)
		tally.addTotal(use, uses)
	}
}

func (tally *Tally) addTotal(use Use, uses int) {
	before := tally.total.Uses[use] > 0
	addUse(tally.total, use, uses)
	after := tally.total.Uses[use] > 0
	if before == after || use.Adapter.Name == "" {
		return
	}
	if after {
		tally.distinct[use.Server]++
		return
	}
	tally.distinct[use.Server]--
	if tally.distinct[use.Server] == 0 {
		delete(tally.distinct, use.Server)
	}
}

// Distinct returns how many adapters are in use or waited for at a server.
func (tally *Tally) Distinct(server string) int {
	return tally.distinct[server]
}

func addLoad(share Share, server string, load Load) {
	sum := share.Loads[server]
	sum.Runs += load.Runs
	sum.Reading += load.Reading
	if sum == (Load{}) {
		delete(share.Loads, server)
		return
	}
	share.Loads[server] = sum
}

func addUse(share Share, use Use, uses int) {
	share.Uses[use] += uses
	if share.Uses[use] == 0 {
		delete(share.Uses, use)
	}
}

// Own returns what this daemon has in progress. It must not be changed.
func (tally *Tally) Own() Share {
	return tally.own
}

// Peer replaces the share of another daemon. It returns the uses that are more
// than before, with the difference, and those that have ended, with 0.
func (tally *Tally) Peer(name string, share Share) map[Use]int {
	changed := make(map[Use]int)
	before := tally.peers[name].Uses
	for use, uses := range share.Uses {
		if more := uses - before[use]; more > 0 {
			changed[use] = more
		}
	}
	for use := range before {
		if share.Uses[use] == 0 {
			changed[use] = 0
		}
	}
	tally.Forget(name)
	tally.peers[name] = share
	tally.apply(share, 1)
	return changed
}

// Forget drops the share of a daemon that is gone.
func (tally *Tally) Forget(name string) {
	tally.apply(tally.peers[name], -1)
	delete(tally.peers, name)
}

func (tally *Tally) apply(share Share, sign int) {
	for server, load := range share.Loads {
		addLoad(tally.total, server, Load{Runs: sign * load.Runs, Reading: sign * load.Reading})
	}
	for use, uses := range share.Uses {
		tally.addTotal(use, sign*uses)
	}
}

// Load returns the work in progress at a server, of all daemons.
func (tally *Tally) Load(server string) Load {
	return tally.total.Loads[server]
}

// Uses returns how many requests of all daemons use an adapter at a server.
func (tally *Tally) Uses(use Use) int {
	return tally.total.Uses[use]
}
