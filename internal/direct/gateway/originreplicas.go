package gateway

import (
	"context"
	"slices"
	"time"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/software"
	"teaselmoor/internal/direct/topology"
)

// sentOrigins is what a replica has been sent of the log of origins.
type sentOrigins struct {
	next   int64 // number of the next record to look at
	filter software.Filter
}

// selectBy sets the records that a replica gets from now on. Those passed over so far are looked at again if that changes: they may be among
// the new ones.
func (sentOrigins *sentOrigins) selectBy(filter software.Filter) {
	if filter != sentOrigins.filter {
		sentOrigins.next, sentOrigins.filter = 0, filter
	}
}

// applyOrigins records the origins that a peer replicates. Those of this daemon's data centre are also published, as it relays them once it
// is a candidate: the peer may have learnt that before.
func (core *core) applyOrigins(from string, batches []software.Batch) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	peer, known := core.members.Peer(from)
	near := known && peer.DataCentre == core.settings.DataCentre
	for _, batch := range batches {
		core.seeProcess(batch.Origin.Process(), "peer "+from)
		for _, key := range batch.Keys {
			if core.origins.records.Put(now, key, batch.Origin) && near {
				core.origins.records.Publish(now, key, "")
			}
		}
	}
}

const (
	// replicationInterval is the time between two messages to a replica, at a site with one daemon in each data
	// centre. It grows with their number, as one hub of a data centre receives the messages of all.
	replicationInterval = 20 * clock.Millisecond
	// maxReplicationInterval bounds it: the origins of the last interval are lost with a daemon.
	maxReplicationInterval = 500 * clock.Millisecond
	// meshReplicationInterval is the interval in a mesh.
	meshReplicationInterval = 50 * clock.Millisecond
	// maxReplicatedOrigins bounds the origins in a message.
	maxReplicatedOrigins = 4096
)

// replicationInterval returns the time until the next messages to replicas. The mutex must be held.
func (core *core) replicationInterval() clock.Millis {
	switch {
	case !core.origins.history.Several(core.now()):
		return maxReplicationInterval
	case core.members.Plan().Mesh:
		return meshReplicationInterval
	}
	near := 1
	for _, daemon := range core.members.AliveDaemons(core.now()) {
		if daemon.DataCentre == core.settings.DataCentre {
			near++
		}
	}
	return min(replicationInterval*clock.Millis(near), maxReplicationInterval)
}

// replicateOriginsLoop replicates origins until the context ends: at intervals, and at once when a service has its second
// version, as no stream was replicated before.
func (gateway *Gateway) replicateOriginsLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-gateway.core.origins.several:
		case <-time.After(gateway.replicateOrigins().Duration()):
		}
	}
}

// replicateOrigins sends replicas the origins that were not yet sent, and returns the time until the next call. While
// each service has had one version only, a stream may go on anywhere and nothing is sent.
func (gateway *Gateway) replicateOrigins() clock.Millis {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if !core.origins.history.Several(core.now()) {
		return core.replicationInterval()
	}
	for _, replica := range core.replicas() {
		sent := &core.sentTo(replica.Address).origins
		sent.selectBy(replica.filter)
		batches, next := core.origins.records.Since(sent.next, maxReplicatedOrigins, sent.filter)
		if len(batches) == 0 || gateway.send(replica.Address, peers.Message{Origins: batches}) {
			sent.next = next
		}
	}
	return core.replicationInterval()
}

// replica is a daemon that holds a copy of this daemon's records, or of some.
type replica struct {
	topology.Daemon
	filter software.Filter
}

// replicas returns this daemon's replicas: in a mesh all others, otherwise the candidates of its data centre. A candidate
// also has one in the next data centre, for a share of the records of its own, so that they outlast it. The mutex must be
// held.
func (core *core) replicas() []replica {
	plan := core.members.Plan()
	next := core.nextDataCentre(plan.Links)
	rank, candidates := 0, 1 // of this daemon among the candidates of its data centre
	var replicas []replica
	var remote []topology.Daemon
	for _, daemon := range plan.Links {
		switch {
		case plan.Mesh || daemon.DataCentre == core.settings.DataCentre:
			replicas = append(replicas, replica{Daemon: daemon, filter: software.Own})
			candidates++
			if daemon.Name < core.settings.Name {
				rank++
			}
		case daemon.DataCentre == next:
			remote = append(remote, daemon)
		}
	}
	if !plan.Mesh && plan.Role == topology.Candidate && len(remote) > 0 {
		replicas = append(replicas, replica{Daemon: remote[rank%len(remote)], filter: software.Share(rank, candidates)})
	}
	return replicas
}

// nextDataCentre returns the data centre of other daemons that follows this daemon's in the order of names, in the
// same region if it has another one. It is empty if there is none. The mutex must be held.
func (core *core) nextDataCentre(daemons []topology.Daemon) string {
	var near, far []string
	for _, daemon := range daemons {
		switch {
		case daemon.DataCentre == core.settings.DataCentre:
		case core.settings.Regions[daemon.DataCentre] == core.settings.Region:
			near = append(near, daemon.DataCentre)
		default:
			far = append(far, daemon.DataCentre)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return ""
	}
	slices.Sort(near)
	for _, dataCentre := range near {
		if dataCentre > core.settings.DataCentre {
			return dataCentre
		}
	}
	return near[0]
}
