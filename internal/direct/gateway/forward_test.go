package gateway_test

import (
	"fmt"
	"log/slog"
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

// hubSite is a hub with the members m1 and m2. The daemon "owner" of another data centre owns the
// engine e1. Its hub is "other", as that of d0 to d11. Daemons have their names as addresses.
type hubSite struct {
	gateway.PeerNetwork
	hub  *gateway.Gateway
	now  clock.Millis
	sent []sentMessage
	lost bool   // there are no connections
	gone string // there is no connection to this daemon
}

func (site *hubSite) Retain([]topology.Daemon) {}

func (site *hubSite) Redial(string) {}

func (site *hubSite) Send(address string, message peers.Message) (bool, error) {
	connected := !site.lost && address != site.gone
	if connected {
		site.sent = append(site.sent, sentMessage{address, message})
	}
	return connected, nil
}

func newHubSite(t *testing.T) *hubSite {
	site := newLoneSite(t)
	for i := range topology.MeshLimit {
		site.update(fmt.Sprint("d", i))
	}
	site.pass(500, "m1", "m2", "owner", "other")
	return site
}

// newLoneSite returns a site whose hub knows no other daemon yet.
func newLoneSite(t *testing.T) *hubSite {
	site := &hubSite{now: 100_000}
	settings := gateway.Settings{Name: "hub", DataCentre: "here", PeerAddress: "hub", Lease: clock.Second}
	site.hub = gateway.New(t.Context(), settings, gateway.DefaultOptions(settings), gateway.Platform{}, slog.New(slog.DiscardHandler))
	var routes []*catalog.Route
	for rank := range 2 {
		routes = append(routes, &catalog.Route{Name: fmt.Sprint(rank), Kind: catalog.Streaming, GapGoal: 300, Rank: rank, Targets: []catalog.Target{{Service: "engines", Weight: 1}}})
	}
	config := catalog.New(1, catalog.Limits{}, []*catalog.Service{{Name: "engines", Engine: &catalog.Engine{Slots: 12}}}, routes, nil)
	site.hub.Prepare(site, func() clock.Millis { return site.now }, config, platformapi.Server{ID: "e1", Service: "engines", StartedAt: 1})
	return site
}

// update has a daemon report its role, hub and claims.
func (site *hubSite) update(name string) {
	update := peers.Update{Status: membership.Status{Hub: "other", WantsConnection: true, Interval: 500}}
	update.Record = membership.Record{Daemon: topology.Daemon{Name: name, Address: name, DataCentre: "there"}, Incarnation: 1}
	switch name {
	case "m1", "m2":
		update.DataCentre, update.Hub = "here", "hub"
	case "other":
		update.Role, update.Hub = topology.Candidate, ""
	case "owner":
		update.Role, update.Claimed, update.Claims = topology.Candidate, true, []claims.Claim{{Server: "e1", Fence: 7}}
	}
	site.hub.Received(name, peers.Message{Update: &update})
}

// pass lets time pass in which the given daemons report, and returns the number of estimates that
// fade.
func (site *hubSite) pass(length clock.Millis, reporting ...string) (fading int) {
	for range length / 500 {
		site.now += 500
		for _, name := range reporting {
			site.update(name)
		}
		fading = site.hub.UpdateSpeeds()
	}
	return fading
}

// receive has the hub receive a message, and returns what it sends within a second.
func (site *hubSite) receive(from string, message peers.Message) []sentMessage {
	site.sent = nil
	site.hub.Received(from, message)
	site.pass(1000, "owner", "other")
	return site.sent
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
		site.lost = true
		require.Empty(t, site.receive("m1", message), name)
		site.lost = false
		require.Empty(t, site.receive("d0", peers.Message{}), "%s is not sent later", name)
		if name != "Streams" {
			require.Empty(t, site.receive("m2", message), "%s from another daemon than the one that wrote it", name)
		}
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
	site.sent = nil
	site.hub.Received("m1", report)
	require.Empty(t, site.sent, "the owner may be frozen")
	site.hub.Received("m1", request)
	require.Equal(t, []sentMessage{{"owner", request}}, site.sent)
}

// TestAnswerWithoutConnectionGoesByHub guards against prompts whose daemon gets no answer, as the owner has no connection to it:
// the one on which the request arrived carries messages only to the owner.
func TestAnswerWithoutConnectionGoesByHub(t *testing.T) {
	site := newHubSite(t)
	answer := peers.Message{PromptAnswer: &peers.PromptAnswer{To: "d0", Server: "e1", ID: 7, Granted: true}}
	for gone, way := range map[string]string{"": "d0", "d0": "other"} {
		site.gone, site.sent = gone, nil
		site.hub.AnswerPrompt("e1", "d0", 7, true)
		require.Equal(t, []sentMessage{{way, answer}}, site.sent)
	}
	site.lost, site.sent = true, nil
	site.hub.AnswerPrompt("e1", "d0", 7, true)
	require.Empty(t, site.sent)
}

// TestSilentDaemonsLeaveShortRequestsInPlace guards against short requests that go to another data centre by old load counts, as
// some daemons of a large site are silent for a moment and the others are few enough for a mesh.
func TestSilentDaemonsLeaveShortRequestsInPlace(t *testing.T) {
	site := newHubSite(t)
	site.hub.LinkPeers()
	site.hub.Tick()
	require.False(t, site.hub.InMesh())
	require.True(t, site.hub.PlacesShort())
	tick := func(until clock.Millis) {
		for site.now < until {
			site.now += 100
			for _, name := range []string{"m1", "m2", "owner", "other", "d0", "d1"} {
				site.update(name)
			}
			site.hub.Tick()
		}
	}
	began := site.now
	tick(began + 3*clock.Second)
	require.True(t, site.hub.InMesh())
	require.True(t, site.hub.PlacesShort(), "the others are only silent")
	tick(began + 2*clock.Minute)
	require.True(t, site.hub.InMesh())
	require.False(t, site.hub.PlacesShort(), "the others are gone")
}

// TestUnreachedOwnerSpeedsFade guards against estimates that hold although the hub through which
// they arrive is cut off, and against ones that fade while nothing has changed.
func TestUnreachedOwnerSpeedsFade(t *testing.T) {
	site := newHubSite(t)
	site.hub.Received("other", peers.Message{Warnings: &peers.Warnings{Speeds: []speed.Estimate{{Server: "e1", Born: 1, Fence: 7, Number: 1, Interval: 40}}}})
	require.Zero(t, site.pass(20_000, "owner", "other"))
	require.Zero(t, site.pass(6000, "owner"), "the other hub is silent after 1.5 s")
	require.Equal(t, 1, site.pass(2000, "owner"))
	require.Zero(t, site.pass(1000, "owner", "other"))
	require.Equal(t, 1, site.pass(8000, "other"), "nobody owns the server")
}
