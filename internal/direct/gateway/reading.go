package gateway

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/peers"
)

// idleReading is how often a daemon that has no word on prompts to tell looks whether it
// has: a daemon of a large site wakes 50 times a second less.
const idleReading = 500 * clock.Millisecond

// tellReadings tells the daemons of a mesh about prompts, and returns the time until it is
// to do so again.
func (gateway *Gateway) tellReadings() clock.Millis {
	if !gateway.core.inMesh() {
		return idleReading
	}
	gateway.tellReading()
	return gateway.options.ReadingInterval
}

// inMesh reports whether this daemon tells each other one. What it does not tell is
// forgotten.
func (core *core) inMesh() bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	mesh := core.members.Plan().Mesh
	if !mesh {
		clear(core.sentTokens)
	}
	return mesh
}

// tellReading tells the daemons of a mesh which prompts have begun or ceased to be read
// since it told last. An engine reads one in some ten milliseconds: what the digests say
// of it is over when they come.
func (gateway *Gateway) tellReading() {
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
		gateway.log.Error("news not encoded", "Error", err.Error())
		return
	}
	for _, target := range targets {
		gateway.mesh.SendEncoded(target.Address, encoded)
	}
}

// changedReading returns this daemon's work at the servers where the prompts being read
// have changed since it was called last. The mutex is held.
func (core *core) changedReading() map[string]peers.ServerLoad {
	own := core.work.Own().Loads
	changed := make(map[string]peers.ServerLoad)
	for server, load := range own {
		if load.Reading != core.toldReading[server] {
			changed[server] = peers.ServerLoad{Load: load}
		}
	}
	for server := range core.toldReading {
		if _, ok := own[server]; !ok {
			changed[server] = peers.ServerLoad{}
		}
	}
	for server, sent := range core.sentTokens {
		changed[server] = peers.ServerLoad{Load: own[server], Sent: sent}
	}
	clear(core.sentTokens)
	core.noteTold(changed)
	return changed
}

// noteTold remembers what peers are told. The mutex is held.
func (core *core) noteTold(changed map[string]peers.ServerLoad) {
	for server, work := range changed {
		if work.Reading == 0 {
			delete(core.toldReading, server)
			continue
		}
		core.toldReading[server] = work.Reading
	}
}

// takeWork takes over what a peer has in progress and has sent. The mutex is held.
func (core *core) takeWork(now clock.Millis, from string, news map[string]peers.ServerLoad) {
	loads := make(map[string]inflight.Load, len(news))
	for server, work := range news {
		loads[server] = work.Load
		if work.Sent > 0 {
			core.intake.Add(now, server, work.Sent, core.readRate.TokensPerMS())
		}
	}
	core.work.SetPeerLoads(from, loads)
}
