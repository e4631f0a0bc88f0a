// Package brittle keeps brittle servers from having to turn requests away. A service's servers may
// announce that one of them ends if it turns away more than so many requests a second for want of room,
// and they may let fewer wait at the same time. The package bounds the requests in progress at such a
// server, over all daemons, to what it runs at once, and to less where it has turned requests away.
// Further requests wait at the daemons. The package does no I/O and reads no clock.
package brittle

import (
	"maps"
	"math"

	"teaselmoor/internal/base/clock"
)

// liftDelay is how long after the last announcement an answer without one lifts it: answers may overtake
// each other.
const liftDelay = 500 * clock.Millisecond

// service is a service whose servers are brittle.
type service struct {
	rejections  int // a second that a server survives
	announcedAt clock.Millis
}

// room is how many requests may be in progress at a server that has turned some away.
type room struct {
	requests  float64
	changedAt clock.Millis
}

// Servers holds what one daemon knows of brittle servers.
type Servers struct {
	services map[string]*service
	rooms    map[string]room // by server
}

// New returns a value that knows of no brittle servers.
func New() *Servers {
	return &Servers{services: make(map[string]*service), rooms: make(map[string]room)}
}

// Announced records that a server of a service has announced how many requests a second it survives
// turning away. It reports whether the service was not known to be brittle.
func (servers *Servers) Announced(now clock.Millis, name string, rejections int) bool {
	_, known := servers.services[name]
	servers.services[name] = &service{rejections: rejections, announcedAt: now}
	return !known
}

// NotAnnounced records an answer of a service's server without an announcement. It reports whether the
// service is no longer brittle by that.
func (servers *Servers) NotAnnounced(now clock.Millis, name string) bool {
	known, ok := servers.services[name]
	if !ok || now-known.announcedAt < liftDelay {
		return false
	}
	delete(servers.services, name)
	return true
}

// Brittle reports whether the servers of a service are brittle.
func (servers *Servers) Brittle(name string) bool {
	_, ok := servers.services[name]
	return ok
}

// Count returns the number of services whose servers are brittle.
func (servers *Servers) Count() int {
	return len(servers.services)
}

// Rejected records that a server has turned a request away for want of room, while so many requests, this
// one included, were in progress there.
func (servers *Servers) Rejected(now clock.Millis, server string, inProgress int) {
	requests := float64(max(1, inProgress-1))
	if known, ok := servers.rooms[server]; ok {
		requests = min(requests, known.requests)
	}
	servers.rooms[server] = room{requests: requests, changedAt: now}
}

// Load is the load of one server.
type Load struct {
	Server     string
	Service    string
	Slots      int     // requests that the server runs at once; 0: unknown
	InProgress int     // requests in progress there, over all daemons
	Own        int     // those of this daemon among them
	Daemons    int     // daemons that send it requests
	Share      float64 // of this daemon in what all of them may use
	Rank       int     // of this daemon among them, in an order of the server's own
}

// Full reports whether a server must get no further request now.
func (servers *Servers) Full(now clock.Millis, load Load) bool {
	known, ok := servers.services[load.Service]
	if !ok {
		return false
	}
	if load.Slots > 0 && (load.InProgress >= load.Slots || load.Own >= load.ownShare()) {
		return true
	}
	room, ok := servers.rooms[load.Server]
	return ok && float64(load.InProgress) >= room.requests+float64((now-room.changedAt)/known.raiseInterval(load.Daemons))
}

// ownShare is how many requests this daemon may have in progress at the server: its share of the slots
// that others leave free, and one at least. Other daemons learn of its requests only later, and could use
// the same slots meanwhile.
func (load Load) ownShare() int {
	free := load.Slots - (load.InProgress - load.Own)
	if load.Rank < free {
		return max(1, int(math.Ceil(load.Share*float64(free))))
	}
	return int(load.Share * float64(free))
}

// raiseInterval is the time after which the room of a server that has turned a request away counts as
// one larger. If each of the daemons has one request turned away in that time, the server turns away half
// as many as it survives.
func (service *service) raiseInterval(daemons int) clock.Millis {
	const halfOf = 2
	return max(clock.Second, clock.Second*clock.Millis(halfOf*daemons)/clock.Millis(max(1, service.rejections)))
}

// Retain drops the servers for which kept is false.
func (servers *Servers) Retain(kept func(server string) bool) {
	maps.DeleteFunc(servers.rooms, func(server string, _ room) bool { return !kept(server) })
}
