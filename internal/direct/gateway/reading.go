package gateway

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/peers"
)

// idleReadingInterval is how often a daemon outside a mesh checks whether it is in one. It
// saves a daemon of a large site 50 wake-ups a second.
const idleReadingInterval = 500 * clock.Millisecond

// sendReadingsIfMesh sends the daemons of a mesh changes of prompts being read, and returns the
// time until the next call.
func (gateway *Gateway) sendReadingsIfMesh() clock.Millis {
	if !gateway.core.inMesh() {
		return idleReadingInterval
	}
	gateway.sendReadings()
	return gateway.options.ReadingInterval
}

// inMesh reports whether this daemon is in a mesh. Outside a mesh it drops the counts of sent
// tokens, as they are not sent.
func (core *core) inMesh() bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	mesh := core.members.Plan().Mesh
	if !mesh {
		clear(core.sentTokens)
	}
	return mesh
}

// sendReadings sends the daemons of a mesh the servers where prompts being read (prefilled)
// have changed. An engine reads a prompt in some ten milliseconds, so the regular deltas come
// too late for this.
func (gateway *Gateway) sendReadings() {
	core := gateway.core
	core.mutex.Lock()
	targets := core.members.Plan().Targets
	loads := core.changedReading()
	core.mutex.Unlock()
	if len(loads) == 0 || len(targets) == 0 {
		return
	}
	encoded, err := peers.Encode(peers.Message{Delta: &peers.Delta{Loads: loads}})
	if err != nil {
		gateway.log.Error("cannot encode delta", "Error", err.Error())
		return
	}
	for _, target := range targets {
		gateway.network.SendEncoded(target.Address, encoded)
	}
}

// changedReading returns this daemon's work at the servers where the prompts being read have
// changed, or prompts were sent, since the last call. The mutex must be held.
func (core *core) changedReading() map[string]peers.ServerLoad {
	own := core.work.Own().Loads
	changed := make(map[string]peers.ServerLoad)
	for server, load := range own {
		if load.Reading != core.sentReading[server] {
			changed[server] = peers.ServerLoad{Load: load}
		}
	}
	for server := range core.sentReading {
		if _, ok := own[server]; !ok {
			changed[server] = peers.ServerLoad{}
		}
	}
	for server, sent := range core.sentTokens {
		changed[server] = peers.ServerLoad{Load: own[server], Sent: sent}
	}
	clear(core.sentTokens)
	core.recordSentReading(changed)
	return changed
}

// recordSentReading records the prompt tokens being read as they are sent to peers. The mutex
// must be held.
func (core *core) recordSentReading(changed map[string]peers.ServerLoad) {
	for server, work := range changed {
		if work.Reading == 0 {
			delete(core.sentReading, server)
			continue
		}
		core.sentReading[server] = work.Reading
	}
}

// applyPeerWork applies a peer's work in progress and the prompt tokens that it has sent. The
// mutex must be held.
func (core *core) applyPeerWork(now clock.Millis, from string, received map[string]peers.ServerLoad) {
	loads := make(map[string]inflight.Load, len(received))
	for server, work := range received {
		loads[server] = work.Load
		if work.Sent > 0 {
			core.promptBuckets.Add(now, server, work.Sent, core.readRate.TokensPerMS())
		}
	}
	core.work.SetPeerLoads(from, loads)
}
