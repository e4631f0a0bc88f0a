package gateway

import (
	"fmt"
	"io"

	"teaselmoor/internal/direct/choose"
	"teaselmoor/internal/direct/peers"
)

// Places of servers and peers as metrics show them, relative to the data centre of this daemon.
const (
	placeLocal   = "local"
	placeRemote  = "remote"
	placeUnknown = "unknown" // a peer that this daemon has dialled as a seed and not discovered yet
)

// addLocality has a query prefer servers in the data centre of this daemon: for engines where
// callers compete, and for short requests to plain services. Both occur only at sites with hubs.
// The mutex must be held.
func (core *core) addLocality(query *choose.Query) {
	query.PreferLocal = query.Short != nil || core.hasCompetingCallers(query.Service)
}

// place returns the place of a peer in a data centre.
func (settings *Settings) place(dataCentre string) string {
	switch dataCentre {
	case "":
		return placeUnknown
	case settings.DataCentre:
		return placeLocal
	default:
		return placeRemote
	}
}

// sentLabels distinguish requests sent to servers.
type sentLabels struct {
	Service, Place string
}

// recordSent counts a request that is sent to a server.
func (counters *counters) recordSent(service string, local bool) {
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	labels := sentLabels{Service: service, Place: placeRemote}
	if local {
		labels.Place = placeLocal
	}
	if _, known := counters.sent[labels]; !known && len(counters.sent) >= maxSeries {
		labels.Service = "other"
	}
	counters.sent[labels]++
}

// writeSent writes the numbers of requests sent. The mutex must be held.
func (counters *counters) writeSent(out io.Writer) {
	for labels, count := range counters.sent {
		_, _ = fmt.Fprintf(out, "teaselmoor_requests_sent_total{service=%q,place=%q} %d\n", labels.Service, labels.Place, count)
	}
}

// writePeerTraffic writes the bytes of messages sent to peers and received from them, by place.
func (gateway *Gateway) writePeerTraffic(out io.Writer) {
	places := make(map[string]peers.Traffic)
	for dataCentre, traffic := range gateway.network.Traffic() {
		place := gateway.settings.place(dataCentre)
		sum := places[place]
		places[place] = peers.Traffic{Sent: sum.Sent + traffic.Sent, Received: sum.Received + traffic.Received}
	}
	for _, place := range []string{placeLocal, placeRemote, placeUnknown} {
		_, _ = fmt.Fprintf(out, "teaselmoor_peer_bytes_total{place=%q,direction=\"sent\"} %d\n", place, places[place].Sent)
		_, _ = fmt.Fprintf(out, "teaselmoor_peer_bytes_total{place=%q,direction=\"received\"} %d\n", place, places[place].Received)
	}
}
