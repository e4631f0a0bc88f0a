package gateway_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/software"
	"teaselmoor/internal/direct/topology"
)

// replicated returns the keys of the origins that the hub sends to other data centres when its replication is due.
func (site *hubSite) replicated() []software.Key {
	site.sent = nil
	site.hub.ReplicateOrigins()
	var keys []software.Key
	for _, sent := range site.sent {
		for _, batch := range sent.message.Origins {
			if sent.to != "m1" {
				keys = append(keys, batch.Keys...)
			}
		}
	}
	return keys
}

// TestOriginsReachNextDataCentreWhateverRolesWere guards against streams that no other data centre knows, as they began while the candidate
// that relays them still saw a mesh, or shared the work with another one.
func TestOriginsReachNextDataCentreWhateverRolesWere(t *testing.T) {
	site := newLoneSite(t)
	site.hub.SeeVersions("engines", "v1", "v2")
	site.update("m1")
	require.True(t, site.hub.InMesh())
	site.hub.Received("m1", peers.Message{Origins: []software.Batch{{Origin: software.Origin{Version: "v1"}, Keys: []software.Key{1, 2, 3, 4}}}})
	require.Empty(t, site.replicated())

	remote := func() {
		for i := range topology.MeshLimit {
			site.update(fmt.Sprint("d", i))
		}
	}
	remote()
	require.False(t, site.hub.InMesh())
	require.Equal(t, []software.Key{2, 4}, site.replicated(), "m1 sends the others")
	require.Empty(t, site.replicated(), "each is sent once")

	site.hub.LinkPeers()
	for ends := site.now + 10*clock.Second; site.now < ends; {
		site.now += 100
		remote()
		site.hub.Tick()
	}
	require.Equal(t, []software.Key{1, 2, 3, 4}, site.replicated(), "m1 is silent")
	require.Empty(t, site.replicated(), "each is sent once")
}
