// Package inflight counts the requests in progress at backend servers: a daemon's
// own at once, those of other daemons as they tell, either each by itself or added
// up by a hub. It does no I/O.
package inflight

import (
	"maps"

	"teaselmoor/internal/direct/platformapi"
)

// Load is the work in progress at a server.
type Load struct {
	Runs    int // requests sent or about to be sent
	Reading int // prompt tokens of requests that have not had a first event
}

// Use is an adapter at a server.
type Use struct {
	Server  string
	Adapter platformapi.Adapter
}

// Sum is the work of several daemons at a server.
type Sum struct {
	Load
	Adapters int // in use or waited for
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

// Tracker adds the shares of all daemons.
type Tracker struct {
	own    Share
	peers  map[string]Share
	loads  map[string]Load // own and peers' work, by server
	uses   serverUses      // the same for adapters
	others map[string]Sum  // by server, added up by a hub
	used   serverUses      // the same for uses, at servers that this daemon orders
}

// serverUses counts the requests that use adapters, by server, those that wait for
// one included: each adapter takes a place there. Requests without an adapter are
// not counted.
type serverUses map[string]map[platformapi.Adapter]int

func (uses serverUses) add(use Use, count int) {
	if use.Adapter.Name == "" {
		return
	}
	of, ok := uses[use.Server]
	if !ok {
		of = make(map[platformapi.Adapter]int)
		uses[use.Server] = of
	}
	of[use.Adapter] += count
	if of[use.Adapter] == 0 {
		delete(of, use.Adapter)
	}
	if len(of) == 0 {
		delete(uses, use.Server)
	}
}

// New returns a tally of nothing.
func New() *Tracker {
	return &Tracker{
		own: newShare(), peers: make(map[string]Share), loads: make(map[string]Load), uses: make(serverUses),
		others: make(map[string]Sum), used: make(serverUses),
	}
}

// Begin counts a request of this daemon, and prompt tokens that are to be read for it.
func (tracker *Tracker) Begin(use Use, prompt int) {
	tracker.change(use, Load{Runs: 1, Reading: prompt}, 1)
}

// StartReading counts the prompt of a request that begins to be read.
func (tracker *Tracker) StartReading(use Use, prompt int) {
	tracker.change(use, Load{Reading: prompt}, 0)
}

// FirstEvent notes the first event of a request's answer.
func (tracker *Tracker) FirstEvent(use Use, prompt int) {
	tracker.change(use, Load{Reading: -prompt}, 0)
}

// End takes a request off. Prompt is what First has not taken off yet.
func (tracker *Tracker) End(use Use, prompt int) {
	tracker.change(use, Load{Runs: -1, Reading: -prompt}, -1)
}

func (tracker *Tracker) change(use Use, load Load, uses int) {
	addLoad(tracker.own.Loads, use.Server, load)
	addLoad(tracker.loads, use.Server, load)
	if uses != 0 {
		addUse(tracker.own, use, uses)
		tracker.uses.add(use, uses)
	}
}

// AdapterCount returns how many adapters are in use or waited for at a server. Of the
// own ones and those of a hub's sum most are the same: the larger number counts.
func (tracker *Tracker) AdapterCount(server string) int {
	return max(len(tracker.uses[server]), tracker.others[server].Adapters)
}

func addLoad(loads map[string]Load, server string, load Load) {
	sum := loads[server]
	sum.Runs += load.Runs
	sum.Reading += load.Reading
	if sum == (Load{}) {
		delete(loads, server)
		return
	}
	loads[server] = sum
}

func addUse(share Share, use Use, uses int) {
	share.Uses[use] += uses
	if share.Uses[use] == 0 {
		delete(share.Uses, use)
	}
}

// Own returns what this daemon has in progress. It must not be changed.
func (tracker *Tracker) Own() Share {
	return tracker.own
}

// SetPeer replaces the share of another daemon. It returns the uses that are more
// than before, with the difference, and those that have ended, with 0.
func (tracker *Tracker) SetPeer(name string, share Share) map[Use]int {
	changed := make(map[Use]int)
	before := tracker.peers[name].Uses
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
	tracker.RemovePeer(name)
	tracker.peers[name] = share
	tracker.apply(share, 1)
	return changed
}

// SetPeerLoads replaces what another daemon has in progress at some servers; what uses
// which adapter there is as Peer said.
func (tracker *Tracker) SetPeerLoads(name string, loads map[string]Load) {
	share, ok := tracker.peers[name]
	if !ok {
		return // its whole share comes soon
	}
	share.Loads = maps.Clone(share.Loads) // the map is the caller's of Peer
	for server, load := range loads {
		before := share.Loads[server]
		addLoad(tracker.loads, server, Load{Runs: load.Runs - before.Runs, Reading: load.Reading - before.Reading})
		share.Loads[server] = load
	}
	tracker.peers[name] = share
}

// RemovePeer drops the share of a daemon that is gone.
func (tracker *Tracker) RemovePeer(name string) {
	tracker.apply(tracker.peers[name], -1)
	delete(tracker.peers, name)
}

func (tracker *Tracker) apply(share Share, sign int) {
	for server, load := range share.Loads {
		addLoad(tracker.loads, server, Load{Runs: sign * load.Runs, Reading: sign * load.Reading})
	}
	for use, uses := range share.Uses {
		tracker.uses.add(use, sign*uses)
	}
}

// Load returns the work in progress at a server, of all daemons.
func (tracker *Tracker) Load(server string) Load {
	own, others := tracker.loads[server], tracker.others[server]
	return Load{Runs: own.Runs + others.Runs, Reading: own.Reading + others.Reading}
}

// Uses returns how many requests of all daemons use an adapter at a server.
func (tracker *Tracker) Uses(use Use) int {
	return tracker.uses[use.Server][use.Adapter] + tracker.used[use.Server][use.Adapter]
}

// UsesAt returns how many requests of all daemons use each adapter of a server or wait
// for it there.
func (tracker *Tracker) UsesAt(server string) map[platformapi.Adapter]int {
	uses := maps.Clone(tracker.uses[server])
	if uses == nil {
		uses = make(map[platformapi.Adapter]int)
	}
	for adapter, count := range tracker.used[server] {
		uses[adapter] += count
	}
	return uses
}

// SumsExcept adds up the work of all daemons but one, by server.
func (tracker *Tracker) SumsExcept(but string) map[string]Sum {
	left := tracker.peers[but]
	sums := make(map[string]Sum, len(tracker.loads))
	for server, load := range tracker.loads {
		taken := left.Loads[server]
		sums[server] = Sum{
			Load:     Load{Runs: load.Runs - taken.Runs, Reading: load.Reading - taken.Reading},
			Adapters: len(tracker.uses[server]),
		}
	}
	return sums
}

// UsesExcept returns how many requests of all daemons but one use each adapter of a
// server.
func (tracker *Tracker) UsesExcept(but, server string) map[platformapi.Adapter]int {
	left := tracker.peers[but].Uses
	uses := make(map[platformapi.Adapter]int)
	for adapter, count := range tracker.uses[server] {
		if more := count - left[Use{Server: server, Adapter: adapter}]; more > 0 {
			uses[adapter] = more
		}
	}
	return uses
}

// SetHubSums replaces what a hub has added up; what daemons told themselves counts
// no more.
func (tracker *Tracker) SetHubSums(sums map[string]Sum) {
	for name := range tracker.peers {
		tracker.RemovePeer(name)
	}
	tracker.others = sums
}

// ClearHubSums drops what a hub has added up: each daemon tells itself now.
func (tracker *Tracker) ClearHubSums() {
	tracker.others = make(map[string]Sum)
	clear(tracker.used)
}

// SetHubUses replaces the uses of adapters by other daemons at a server that this one
// orders. It returns the changes as Peer does.
func (tracker *Tracker) SetHubUses(server string, uses map[platformapi.Adapter]int) map[Use]int {
	changed := make(map[Use]int)
	before := tracker.used[server]
	for adapter, count := range uses {
		if more := count - before[adapter]; more > 0 {
			changed[Use{Server: server, Adapter: adapter}] = more
		}
	}
	for adapter := range before {
		if uses[adapter] == 0 {
			changed[Use{Server: server, Adapter: adapter}] = 0
		}
	}
	tracker.used[server] = uses
	return changed
}
