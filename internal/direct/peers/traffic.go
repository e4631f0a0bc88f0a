package peers

import "maps"

// Traffic is the number of bytes of messages, without the headers of frames, pings and handshakes.
type Traffic struct {
	Sent, Received int64
}

// maxTrafficDataCentres bounds the data centres that traffic is counted by, as their names come
// from peers. Further ones count as unknown.
const maxTrafficDataCentres = 64

// Traffic returns the bytes sent to daemons of each data centre and received from them. Those
// of peers whose data centre was not known then are under the empty name.
func (network *Network) Traffic() map[string]Traffic {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return maps.Clone(network.traffic)
}

// recordSent counts a message sent to a peer.
func (network *Network) recordSent(to *peer, bytes int) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.addTraffic(to.dataCentre, Traffic{Sent: int64(bytes)})
}

// recordReceived counts a message received from a daemon of a data centre.
func (network *Network) recordReceived(dataCentre string, bytes int) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.addTraffic(dataCentre, Traffic{Received: int64(bytes)})
}

// addTraffic adds to the traffic of a data centre. The mutex must be held.
func (network *Network) addTraffic(dataCentre string, added Traffic) {
	if _, known := network.traffic[dataCentre]; !known && len(network.traffic) >= maxTrafficDataCentres {
		dataCentre = ""
	}
	sum := network.traffic[dataCentre]
	network.traffic[dataCentre] = Traffic{Sent: sum.Sent + added.Sent, Received: sum.Received + added.Received}
}
