// Package inflight counts the requests in progress at backend servers: this daemon's own
// requests immediately, and those of other daemons as these report them, either directly
// or as aggregated counts from a hub. It does no I/O.
package inflight

import (
	"maps"

	"teaselmoor/internal/direct/platformapi"
)

// Load is the work in progress at a server.
type Load struct {
	Runs    int // requests sent or about to be sent
	Reading int // prompt tokens of requests that have had no event of their answer yet
}

// Use identifies an adapter at a server.
type Use struct {
	Server  string
	Adapter platformapi.Adapter
}

// Sum is the work of several daemons at a server.
type Sum struct {
	Load
	Adapters int // adapters that requests use or wait for
}

// Share holds the requests that one daemon, or a group of them, has in progress.
type Share struct {
	Loads map[string]Load // by server
	Uses  map[Use]int     // requests that use an adapter or wait for it
}

// Clone returns a copy.
func (share Share) Clone() Share {
	return Share{Loads: maps.Clone(share.Loads), Uses: maps.Clone(share.Uses)}
}

func newShare() Share {
	return Share{Loads: make(map[string]Load), Uses: make(map[Use]int)}
}

// Tracker adds up the shares of all daemons. Other daemons are counted either by their own
// shares or by the aggregated counts from a hub, never by both.
type Tracker struct {
	own     Share
	peers   map[string]Share
	loads   map[string]Load // of this daemon and its peers, by server
	uses    serverUses      // of this daemon and its peers
	hubSums map[string]Sum  // of other daemons by server, from a hub
	hubUses serverUses      // of other daemons at servers that this daemon owns, from a hub
}

// serverUses counts the requests that use or wait for an adapter, by server and adapter.
// Each adapter takes an adapter slot of the server. Requests without an adapter are not
// counted.
type serverUses map[string]map[platformapi.Adapter]int

func (serverUses serverUses) add(use Use, count int) {
	if use.Adapter.Name == "" {
		return
	}
	counts, ok := serverUses[use.Server]
	if !ok {
		counts = make(map[platformapi.Adapter]int)
		serverUses[use.Server] = counts
	}
	counts[use.Adapter] += count
	if counts[use.Adapter] == 0 {
		delete(counts, use.Adapter)
	}
	if len(counts) == 0 {
		delete(serverUses, use.Server)
	}
}

// New returns an instance that counts no requests yet.
func New() *Tracker {
	return &Tracker{
		own: newShare(), peers: make(map[string]Share), loads: make(map[string]Load), uses: make(serverUses),
		hubSums: make(map[string]Sum), hubUses: make(serverUses),
	}
}

// Begin counts a request of this daemon and the tokens of its prompt.
func (tracker *Tracker) Begin(use Use, prompt int) {
	tracker.change(use, Load{Runs: 1, Reading: prompt}, 1)
}

// StartReading counts the prompt of a request that was begun without one, when reading starts.
func (tracker *Tracker) StartReading(use Use, prompt int) {
	tracker.change(use, Load{Reading: prompt}, 0)
}

// FirstEvent stops counting the prompt of a request at the first event of its answer.
func (tracker *Tracker) FirstEvent(use Use, prompt int) {
	tracker.change(use, Load{Reading: -prompt}, 0)
}

// End stops counting a request that has ended. Prompt is the number of its prompt tokens that
// are still counted.
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

// AdapterCount returns how many adapters requests use or wait for at a server. It is the larger
// of the directly known number and the hub's, as most adapters are counted in both.
func (tracker *Tracker) AdapterCount(server string) int {
	return max(len(tracker.uses[server]), tracker.hubSums[server].Adapters)
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

// Own returns the requests that this daemon has in progress. They must not be modified.
func (tracker *Tracker) Own() Share {
	return tracker.own
}

// SetPeer replaces the share of another daemon. It returns the uses that have increased, with
// the difference, and those that have ended, with 0.
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
	tracker.addShare(share, 1)
	return changed
}

// SetPeerLoads replaces the loads of another daemon at some servers. The uses of its share
// stay as they are.
func (tracker *Tracker) SetPeerLoads(name string, loads map[string]Load) {
	share, ok := tracker.peers[name]
	if !ok {
		return // the peer's full share has not arrived yet
	}
	share.Loads = maps.Clone(share.Loads) // the map belongs to the caller that passed the share
	for server, load := range loads {
		before := share.Loads[server]
		addLoad(tracker.loads, server, Load{Runs: load.Runs - before.Runs, Reading: load.Reading - before.Reading})
		share.Loads[server] = load
	}
	tracker.peers[name] = share
}

// RemovePeer removes the share of another daemon.
func (tracker *Tracker) RemovePeer(name string) {
	tracker.addShare(tracker.peers[name], -1)
	delete(tracker.peers, name)
}

func (tracker *Tracker) addShare(share Share, sign int) {
	for server, load := range share.Loads {
		addLoad(tracker.loads, server, Load{Runs: sign * load.Runs, Reading: sign * load.Reading})
	}
	for use, uses := range share.Uses {
		tracker.uses.add(use, sign*uses)
	}
}

// Load returns the work of all daemons in progress at a server.
func (tracker *Tracker) Load(server string) Load {
	direct, hub := tracker.loads[server], tracker.hubSums[server]
	return Load{Runs: direct.Runs + hub.Runs, Reading: direct.Reading + hub.Reading}
}

// Uses returns how many requests of all daemons use or wait for an adapter at a server.
func (tracker *Tracker) Uses(use Use) int {
	return tracker.uses[use.Server][use.Adapter] + tracker.hubUses[use.Server][use.Adapter]
}

// UsesAt returns how many requests of all daemons use or wait for each adapter at a server.
func (tracker *Tracker) UsesAt(server string) map[platformapi.Adapter]int {
	uses := maps.Clone(tracker.uses[server])
	if uses == nil {
		uses = make(map[platformapi.Adapter]int)
	}
	for adapter, count := range tracker.hubUses[server] {
		uses[adapter] += count
	}
	return uses
}

// SumsExcept returns the aggregated counts of this daemon and its peers except one, by server.
// Adapters that only the excepted peer uses are counted nevertheless.
func (tracker *Tracker) SumsExcept(except string) map[string]Sum {
	excluded := tracker.peers[except]
	sums := make(map[string]Sum, len(tracker.loads))
	for server, load := range tracker.loads {
		without := excluded.Loads[server]
		sums[server] = Sum{
			Load:     Load{Runs: load.Runs - without.Runs, Reading: load.Reading - without.Reading},
			Adapters: len(tracker.uses[server]),
		}
	}
	return sums
}

// UsesExcept returns how many requests of this daemon and its peers except one use or wait for
// each adapter at a server.
func (tracker *Tracker) UsesExcept(except, server string) map[platformapi.Adapter]int {
	excluded := tracker.peers[except].Uses
	uses := make(map[platformapi.Adapter]int)
	for adapter, count := range tracker.uses[server] {
		if more := count - excluded[Use{Server: server, Adapter: adapter}]; more > 0 {
			uses[adapter] = more
		}
	}
	return uses
}

// SetHubSums replaces the aggregated counts from a hub, and removes the shares of peers,
// which those include.
func (tracker *Tracker) SetHubSums(sums map[string]Sum) {
	for name := range tracker.peers {
		tracker.RemovePeer(name)
	}
	tracker.hubSums = sums
}

// ClearHubSums removes the aggregated counts from a hub, as each daemon reports its own share
// from now on.
func (tracker *Tracker) ClearHubSums() {
	tracker.hubSums = make(map[string]Sum)
	clear(tracker.hubUses)
}

// SetHubUses replaces the uses, from a hub, of adapters by other daemons at a server that this
// daemon owns. It returns the uses that have increased, with the difference, and those that
// have ended, with 0.
func (tracker *Tracker) SetHubUses(server string, uses map[platformapi.Adapter]int) map[Use]int {
	changed := make(map[Use]int)
	before := tracker.hubUses[server]
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
	tracker.hubUses[server] = uses
	return changed
}
