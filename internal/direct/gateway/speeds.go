package gateway

import (
	"math"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/speed"
)

// speedInterval is the time between two calls of updateSpeeds. It is shorter than the interval of
// reports, so that an owner publishes a change soon after the report that showed it.
const speedInterval = 250 * clock.Millisecond

// serverSpeeds holds the estimated speeds of engines, and what this daemon has measured.
type serverSpeeds struct {
	table     *speed.Table
	streams   *speed.Collector
	active    bool
	catalog   *catalog.Catalog // that services were derived from
	services  map[string]bool  // with competing ranks
	relayed   []speed.Report   // from this hub's group, to be forwarded to owners
	flushedAt clock.Millis     // when reports were last sent
	fading    int              // estimates that fade because the owners of their servers cannot be reached
}

func newServerSpeeds(self string, options speed.Options) serverSpeeds {
	return serverSpeeds{table: speed.New(options), streams: speed.NewCollector(self)}
}

// speedsSent records which estimates a peer has been sent, or has sent itself.
type speedsSent struct {
	revision int64
	at       clock.Millis
}

// speedFactor returns how fast a server is, as a multiple of the median of its service. It is 1
// where speeds are not estimated. The mutex must be held.
func (core *core) speedFactor(now clock.Millis, server string) float64 {
	if !core.speeds.active {
		return 1
	}
	return core.speeds.table.Factor(now, server)
}

// fastestSpeed returns the highest value that speedFactor returns for any server. The mutex must be
// held.
func (core *core) fastestSpeed(now clock.Millis) float64 {
	if !core.speeds.active {
		return 1
	}
	return core.speeds.table.Fastest(now)
}

// eventInterval returns the time between two events of a stream at a server, in milliseconds. It
// is 0 where it is not known. The mutex must be held.
func (core *core) eventInterval(now clock.Millis, server string) float64 {
	if !core.speeds.active {
		return 0
	}
	return core.speeds.table.Interval(now, server)
}

// streamSpeed measures the intervals between the events of one stream.
type streamSpeed struct {
	core   *core
	server platformapi.Server
	meter  speed.Meter
}

// measureStream returns the measurement of a stream, or nil if it is not needed.
func (gateway *Gateway) measureStream(job *job, to assignment) *streamSpeed {
	core := gateway.core
	if !job.engine || to.peer != "" {
		return nil
	}
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if !core.speeds.active || !core.speeds.services[job.service] {
		return nil
	}
	return &streamSpeed{core: core, server: to.server}
}

// record records how many complete events have arrived. It takes the mutex only once in a sample.
func (streamSpeed *streamSpeed) record(now clock.Millis, events int) {
	if streamSpeed == nil {
		return
	}
	core := streamSpeed.core
	streamSpeed.meter.Event(now, events)
	interval, count, ok := streamSpeed.meter.Sample(now)
	if !ok {
		return
	}
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.speeds.streams.Add(now, speed.Report{Server: streamSpeed.server.ID, Born: streamSpeed.server.StartedAt, Interval: interval, Events: count})
}

// updateSpeeds updates which servers are measured, publishes the estimates of this daemon's
// servers, and sends due reports to the owners of others.
func (gateway *Gateway) updateSpeeds() {
	core := gateway.core
	core.mutex.Lock()
	now := core.now()
	core.updateSpeedServers(now)
	var messages map[string][]speed.Report
	if core.speeds.active {
		if now-core.speeds.flushedAt >= core.options.Speeds.ReportInterval-speedInterval/2 {
			core.speeds.flushedAt = now
			messages = core.dueReports(now)
			core.reviewReached(now)
		}
		core.publishSpeeds(now)
	}
	hub, hasHub := core.members.Peer(core.hub)
	core.mutex.Unlock()
	for address, reports := range messages {
		message := peers.Message{Streams: reports}
		if !gateway.send(address, message) && hasHub && hub.Address != address {
			gateway.send(hub.Address, message)
		}
	}
}

// updateSpeedServers updates the servers that are measured, and whether any are. The mutex must
// be held.
func (core *core) updateSpeedServers(now clock.Millis) {
	speeds := &core.speeds
	if speeds.catalog != core.catalog {
		speeds.catalog, speeds.services = core.catalog, make(map[string]bool)
		for name := range core.catalog.Services {
			speeds.services[name] = core.catalog.CompetingRanks(name)
		}
	}
	var servers []speed.Server
	for _, member := range core.fleet.Members() {
		if speeds.services[member.Service] {
			servers = append(servers, speed.Server{ID: member.ID, Service: member.Service, Born: member.StartedAt})
		}
	}
	speeds.active = core.options.Speeds.Enabled && !core.members.Plan().Mesh && len(servers) > 0
	speeds.table.SetServers(now, servers)
	if core.receivesEstimates(now) {
		speeds.table.Contact(now)
	}
	if !speeds.active {
		speeds.relayed, speeds.fading = nil, 0
	}
}

// receivesEstimates reports whether estimates of other daemons reach this one: from its hub, or, if it
// is a hub itself, from any peer. The mutex must be held.
func (core *core) receivesEstimates(now clock.Millis) bool {
	if core.hub != "" {
		return core.members.Live(now, core.hub)
	}
	for name := range core.members.Peers() {
		if core.members.Live(now, name) {
			return true
		}
	}
	return false
}

// reviewReached has the estimates of servers whose owners cannot be reached fade. The mutex must be
// held.
func (core *core) reviewReached(now clock.Millis) {
	fading := core.speeds.table.SetReached(now, func(server string) bool { return core.receivesFromOwner(now, server) })
	if (fading > 0) != (core.speeds.fading > 0) {
		core.log.Info("server speeds unconfirmed", "Servers", fading, "Hub", core.hub)
	}
	core.speeds.fading = fading
}

// receivesFromOwner reports whether estimates of a server's owner can reach this daemon: from its
// hub, which names only owners that it hears of, or, if this daemon is a hub itself, from the
// owner's hub. The mutex must be held.
func (core *core) receivesFromOwner(now clock.Millis, server string) bool {
	owner, known := core.ownerOf(now, server)
	if !known || owner == core.settings.Name {
		return known
	}
	from := core.hub
	if from == "" {
		from = owner
		if peer, ok := core.members.Peer(owner); ok && peer.Hub != "" && peer.Hub != core.settings.Name {
			from = peer.Hub
		}
	}
	return core.members.Live(now, from)
}

// dueReports passes due reports on this daemon's own servers to the table, and returns the
// others by the address that they are to be sent to. The mutex must be held.
func (core *core) dueReports(now clock.Millis) map[string][]speed.Report {
	speeds := &core.speeds
	interval := core.options.Speeds.ReportInterval
	most := speed.MostReports(interval, speeds.table.ServerCount(), core.members.DaemonCount())
	messages := make(map[string][]speed.Report)
	for _, report := range speeds.streams.Due(now, interval-speedInterval/2, most) {
		if address, ok := core.reportAddress(now, report, true); ok {
			messages[address] = append(messages[address], report)
		}
	}
	for _, report := range speeds.relayed {
		if address, ok := core.reportAddress(now, report, false); ok {
			messages[address] = append(messages[address], report)
		}
	}
	speeds.relayed = nil
	return messages
}

// reportAddress returns the address to which a report is sent: that of the server's owner, or of
// this daemon's hub if the owner is not connected. A report on this daemon's own server is
// passed to the table instead. The mutex must be held.
func (core *core) reportAddress(now clock.Millis, report speed.Report, byHub bool) (string, bool) {
	if _, ok := core.claims.Holds(report.Server); ok {
		core.speeds.table.Observe(now, report)
		return "", false
	}
	owner, known := core.ownerOf(now, report.Server)
	if peer, ok := core.members.Peer(owner); known && ok && core.peerNames[peer.Address] == owner {
		return peer.Address, true
	}
	if peer, ok := core.members.Peer(core.hub); byHub && ok {
		return peer.Address, true
	}
	return "", false
}

// maxRelayedReports bounds the reports that a hub keeps for its next messages to owners: two
// messages of each of 400 daemons in a site of 1,500 servers.
const maxRelayedReports = 1600

// applyStreams passes a peer's reports on this daemon's own servers to the table, and keeps the
// others to forward them to the owners if this daemon is the peer's hub.
func (core *core) applyStreams(from string, reports []speed.Report) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if !core.speeds.active {
		return
	}
	now := core.now()
	for _, report := range reports {
		if _, ok := core.claims.Holds(report.Server); ok {
			core.speeds.table.Observe(now, report)
		} else if core.inGroup(from) && len(core.speeds.relayed) < maxRelayedReports {
			core.speeds.relayed = append(core.speeds.relayed, report)
		}
	}
}

// publishSpeeds publishes the estimates of this daemon's own servers that have changed. They are
// sent with the next warnings. The mutex must be held.
func (core *core) publishSpeeds(now clock.Millis) {
	for _, change := range core.speeds.table.Publish(now, core.claims.Holds) {
		core.log.Info("server speed changed", "Server", change.Server, "Factor", math.Round(core.speedFactor(now, change.Server)*100)/100,
			"IntervalTenths", int(math.Round(change.Interval*10)), "Before", int(math.Round(change.Before*10)), "Idle", change.Idle)
	}
}

// unsentSpeeds returns the estimates that a peer has not been sent, at most once per
// GossipInterval. The mutex must be held.
func (core *core) unsentSpeeds(now clock.Millis, sent *sentState) []speed.Estimate {
	table := core.speeds.table
	if sent.speeds.revision == table.Revision() || now-sent.speeds.at < core.options.Speeds.GossipInterval {
		return nil
	}
	unsent := table.ChangedSince(sent.speeds.revision)
	sent.speeds = speedsSent{revision: table.Revision(), at: now}
	return unsent
}

// mergeSpeeds applies estimates that a peer has sent. They are forwarded with the next warnings.
// The mutex must be held.
func (core *core) mergeSpeeds(now clock.Millis, sent *sentState, estimates []speed.Estimate) {
	before := core.speeds.table.Revision()
	core.speeds.table.Merge(now, estimates)
	if sent.speeds.revision == before {
		sent.speeds.revision = core.speeds.table.Revision()
	}
}
