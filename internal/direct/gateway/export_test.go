package gateway

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/choose"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/prefill"
)

// PeerNetwork is embedded by fakes.
type PeerNetwork = peerNetwork

// Prepare sets up a daemon that is not started, for a test without a network or a store.
func (gateway *Gateway) Prepare(network PeerNetwork, now clock.Source, catalog *catalog.Catalog, server platformapi.Server) {
	gateway.network, gateway.core.now, gateway.core.catalog = network, now, catalog
	gateway.core.fleet.Put(server, 1)
}

// AnswerPrompt answers a daemon's prompt as the owner of a server does.
func (gateway *Gateway) AnswerPrompt(server, daemon string, id uint64, granted bool) {
	gateway.core.mutex.Lock()
	defer gateway.core.mutex.Unlock()
	gateway.answerPrompt(server, prefill.Request{Daemon: daemon, ID: id}, granted)
}

// LinkPeers has the daemon keep connections to the peers that want one, so that their silence is noticed.
func (gateway *Gateway) LinkPeers() {
	gateway.core.members.Links(gateway.core.now())
}

// Tick lets the daemon notice which peers are silent.
func (gateway *Gateway) Tick() {
	gateway.core.members.Tick(gateway.core.now())
}

// SeeVersions has the daemon see servers of a service with several software versions.
func (gateway *Gateway) SeeVersions(service string, versions ...string) {
	for _, version := range versions {
		gateway.core.origins.seeVersion(gateway.core.now(), service, version)
	}
}

// ReplicateOrigins makes the periodic call that sends origins of streams to replicas.
func (gateway *Gateway) ReplicateOrigins() {
	gateway.replicateOrigins()
}

// PlacesShort reports whether requests with a short goal are placed by average loads.
func (gateway *Gateway) PlacesShort() bool {
	return gateway.core.shortLoads(&job{route: &catalog.Route{Goal: choose.CountsAge}}) != nil
}

// InMesh reports whether the daemon is in a mesh.
func (gateway *Gateway) InMesh() bool {
	return gateway.core.members.Plan().Mesh
}

// UpdateSpeeds makes the periodic call that sends reports on streams, and returns the number of
// estimates that fade as owners cannot be reached.
func (gateway *Gateway) UpdateSpeeds() int {
	gateway.updateSpeeds()
	return gateway.core.speeds.fading
}
