package gateway

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/platformapi"
)

// PeerNetwork is embedded by fakes.
type PeerNetwork = peerNetwork

// Prepare sets up a daemon that is not started, for a test without a network or a store.
func (gateway *Gateway) Prepare(network PeerNetwork, now clock.Source, catalog *catalog.Catalog, server platformapi.Server) {
	gateway.network, gateway.core.now, gateway.core.catalog = network, now, catalog
	gateway.core.fleet.Put(server, 1)
}

// UpdateSpeeds makes the periodic call that sends reports on streams, and returns the number of
// estimates that fade as owners cannot be reached.
func (gateway *Gateway) UpdateSpeeds() int {
	gateway.updateSpeeds()
	return gateway.core.speeds.fading
}
