package gateway_test

import (
	"fmt"
	"log/slog"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/claims"
	"teaselmoor/internal/direct/gateway"
	"teaselmoor/internal/direct/membership"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/speed"
	"teaselmoor/internal/direct/topology"
)

// sentMessage is a message that a daemon has sent.
type sentMessage struct {
	to      string
	message peers.Message
}

// fakeNetwork records messages. Peers have their names as addresses.
type fakeNetwork struct {
	sent         []sentMessage
	disconnected map[string]bool
}

func (fakeNetwork *fakeNetwork) ServeHTTP(http.ResponseWriter, *http.Request) {}
func (fakeNetwork *fakeNetwork) ConnectedAddresses() []string                 { return nil }
func (fakeNetwork *fakeNetwork) Retain([]topology.Daemon)                     {}
func (fakeNetwork *fakeNetwork) SendEncoded(string, []byte) bool              { return true }
func (fakeNetwork *fakeNetwork) SetPing(clock.Millis)                         {}

func (fakeNetwork *fakeNetwork) Send(address string, message peers.Message) (bool, error) {
	if !fakeNetwork.disconnected[address] {
		fakeNetwork.sent = append(fakeNetwork.sent, sentMessage{address, message})
	}
	return !fakeNetwork.disconnected[address], nil
}

// storeContent decodes the items "servers/e1" and "config" of a site with callers of two ranks.
type storeContent struct{}

func (storeContent) Prefix() string                     { return "" }
func (storeContent) ServerID(key string) (string, bool) { return "e1", key == "servers/e1" }

func (storeContent) Decode(item platformapi.Item) (platformapi.DecodedItem, error) {
	if item.Key != "config" {
		return platformapi.DecodedItem{Server: &platformapi.Server{ID: "e1", Service: "engines", StartedAt: 1}}, nil
	}
	services := []*catalog.Service{{Name: "engines", Engine: &catalog.Engine{Slots: 12}}}
	var routes []*catalog.Route
	for rank := range 2 {
		routes = append(routes, &catalog.Route{
			Name: fmt.Sprint(rank), Host: "h", Prefix: fmt.Sprintf("/%d/", rank), Kind: catalog.Streaming,
			GapGoal: 300, Rank: rank, Targets: []catalog.Target{{Service: "engines", Weight: 1}},
		})
	}
	return platformapi.DecodedItem{Catalog: catalog.New(1, catalog.Limits{}, services, routes, nil)}, nil
}

// hubSite is a hub with the members m1 and m2. The daemon "owner" of another data centre owns the
// engine e1, and "other" is a hub there.
type hubSite struct {
	t       *testing.T
	hub     *gateway.Gateway
	network *fakeNetwork
	now     clock.Millis
}

func newHubSite(t *testing.T) *hubSite {
	site := &hubSite{t: t, network: &fakeNetwork{disconnected: make(map[string]bool)}, now: 100_000}
	settings := gateway.Settings{Name: "hub", DataCentre: "here", PeerAddress: "hub", Lease: clock.Second}
	site.hub = gateway.New(t.Context(), settings, gateway.DefaultOptions(settings), gateway.Platform{Decoder: storeContent{}}, slog.New(slog.DiscardHandler))
	site.hub.SetPeers(site.network, func() clock.Millis { return site.now })
	for i := range topology.MeshLimit {
		site.update(fmt.Sprint("d", i), "there", "other", topology.Member)
	}
	site.update("m1", "here", "hub", topology.Member)
	site.update("m2", "here", "hub", topology.Member)
	site.update("other", "there", "", topology.Candidate)
	site.update("owner", "there", "", topology.Candidate, claims.Claim{Server: "e1", Fence: 7})
	site.hub.Received("other", peers.Message{Items: &peers.StoreItems{AsOf: 2, Items: []peers.Item{{Key: "config", Revision: 1}, {Key: "servers/e1", Revision: 2}}}})
	site.hub.UpdateSpeeds() // from now on speeds are estimated
	return site
}

// update has a daemon report its role and claims.
func (site *hubSite) update(name, dataCentre, hub string, role topology.Role, owned ...claims.Claim) {
	status := membership.Status{Role: role, Hub: hub, WantsConnection: true, Interval: 500}
	status.Record = membership.Record{Daemon: topology.Daemon{Name: name, Address: name, DataCentre: dataCentre}, Incarnation: 1}
	site.hub.Received(name, peers.Message{Update: &peers.Update{Status: status, Claimed: role.SendsOrders(), Claims: owned}})
}

// receive has the hub receive a message, lets it send its reports twice, and returns what it has
// sent.
func (site *hubSite) receive(from string, message peers.Message) []sentMessage {
	site.network.sent = nil
	site.hub.Received(from, message)
	for range 2 {
		site.now += 500
		site.update("owner", "there", "", topology.Candidate, claims.Claim{Server: "e1", Fence: 7})
		site.hub.UpdateSpeeds()
	}
	return site.network.sent
}

// TestHubForwardsOnce guards against messages about prompts and streams that a hub sends to others
// than the owner of the server or the daemon that asked, sends twice, or passes on although another
// hub has forwarded them: two hubs with different views could otherwise send them to and fro.
func TestHubForwardsOnce(t *testing.T) {
	site := newHubSite(t)
	request := peers.Message{PromptRequest: &peers.PromptRequest{From: "m1", Server: "e1", ID: 3, Tokens: 900, Rank: 1, GapGoal: 300, Left: 250}}
	report := peers.Message{PromptRequest: &peers.PromptRequest{From: "m1", Server: "e1", ID: 4, Tokens: 900, GapGoal: 300}}
	withdrawal := peers.Message{PromptWithdrawal: &peers.PromptWithdrawal{From: "m1", Server: "e1", ID: 3}}
	streams := peers.Message{Streams: []speed.Report{{Server: "e1", Born: 1, Interval: 40, Events: 20}}}
	for name, message := range map[string]peers.Message{"Turn": request, "Turn, report": report, "TurnEnd": withdrawal, "Streams": streams} {
		require.Equal(t, []sentMessage{{"owner", message}}, site.receive("m1", message), name)
		for _, from := range []string{"other", "owner", "d0", "unknown"} {
			require.Empty(t, site.receive(from, message), "%s from %s, not in the group", name, from)
		}
		site.network.disconnected["owner"] = true
		require.Empty(t, site.receive("m1", message), "%s: nobody else gets it", name)
		site.network.disconnected["owner"] = false
		require.Empty(t, site.receive("d0", peers.Message{}), "%s: it is not sent later", name)
	}
	for _, message := range []peers.Message{request, report, withdrawal} {
		require.Empty(t, site.receive("m2", message), "from another daemon than the one that wrote it")
	}
	foreign := peers.Message{PromptRequest: &peers.PromptRequest{From: "d0", Server: "e1", ID: 5, Left: 250}}
	require.Empty(t, site.receive("d0", foreign), "d0 has another hub")
	for _, granted := range []bool{false, true} {
		answer := peers.Message{PromptAnswer: &peers.PromptAnswer{To: "m1", Server: "e1", ID: 3, Granted: granted}}
		require.Equal(t, []sentMessage{{"m1", answer}}, site.receive("owner", answer))
		for _, from := range []string{"other", "m1", "m2", "unknown"} {
			require.Empty(t, site.receive(from, answer), "TurnAnswer from %s, not the owner", from)
		}
	}
	site.now += 500
	site.network.sent = nil
	site.hub.Received("m1", report)
	require.Empty(t, site.network.sent, "the owner may be frozen")
	site.hub.Received("m1", request)
	require.Len(t, site.network.sent, 1)
	site.now += 2000
	site.network.sent = nil
	for _, message := range []peers.Message{request, withdrawal, streams} {
		site.hub.Received("m1", message)
		site.now += 500
		site.hub.UpdateSpeeds()
	}
	require.Empty(t, site.network.sent, "no owner is known")
}

// TestUnreachedOwnerSpeedsFade guards against estimates that hold although the hub through which
// they arrive is cut off, and against ones that fade while nothing has changed.
func TestUnreachedOwnerSpeedsFade(t *testing.T) {
	site := newHubSite(t)
	after := func(length clock.Millis, live ...string) int {
		for end := site.now + length; site.now < end; site.now += 500 {
			for _, name := range live {
				if name == "owner" {
					site.update(name, "there", "other", topology.Candidate, claims.Claim{Server: "e1", Fence: 7})
				} else {
					site.update(name, "there", "", topology.Candidate)
				}
			}
			site.hub.UpdateSpeeds()
		}
		return site.hub.UnconfirmedSpeeds()
	}
	site.hub.Received("other", peers.Message{Warnings: &peers.Warnings{Speeds: []speed.Estimate{{Server: "e1", Born: 1, Fence: 7, Number: 1, Interval: 40}}}})
	require.Zero(t, after(20_000, "owner", "other"))
	require.Zero(t, after(6000, "owner"), "the other hub is silent after 1.5 s")
	require.Equal(t, 1, after(2000, "owner"))
	require.Zero(t, after(1000, "owner", "other"))
	require.Equal(t, 1, after(8000, "other"), "nobody owns the server")
}
