package gateway

import "teaselmoor/internal/base/clock"

// SetPeers replaces the connections to peers, and the clock, for a test without a network.
func (gateway *Gateway) SetPeers(network peerNetwork, now clock.Source) {
	gateway.network = network
	gateway.core.now = now
}

// UpdateSpeeds makes the periodic call that publishes estimates and sends reports on streams.
func (gateway *Gateway) UpdateSpeeds() { gateway.updateSpeeds() }

// UnconfirmedSpeeds returns the number of estimates that fade because owners cannot be reached.
func (gateway *Gateway) UnconfirmedSpeeds() int { return gateway.core.speeds.fading }
