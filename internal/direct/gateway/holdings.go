package gateway

import (
	"context"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/topology"
)

// maxConcurrentReports bounds the number of reports that are read at a time. When a daemon of a
// large site starts alone, it receives most tables from its peers before it would have read
// them.
const maxConcurrentReports = 16

// reportRetryInterval is the wait before a report that could not be read is read again.
const reportRetryInterval = clock.Second

// readUnknownHoldings reads the reports of servers whose holdings nobody has sent yet. Only
// orders need a claim; any daemon may read what a server holds. Otherwise, after a loss of all
// daemons, the adapters on a server would stay unknown until the server is claimed and read.
func (gateway *Gateway) readUnknownHoldings(now clock.Millis) {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	for _, member := range core.unknownHoldings(now) {
		core.reportRequestedAt[member.ID] = now
		target := member.Server
		gateway.tasks.Go("holdings "+target.ID, func(ctx context.Context) error {
			gateway.readHoldings(ctx, target)
			return nil
		})
	}
}

// unknownHoldings returns the servers whose reports are to be read now. The mutex must be held.
func (core *core) unknownHoldings(now clock.Millis) []*fleet.Member {
	if core.catalog == nil || !core.mayReadReports(now) {
		return nil
	}
	var unread []*fleet.Member
	for _, member := range core.fleet.Members() {
		lastRequest, ok := core.reportRequestedAt[member.ID]
		due := core.isEngine(member.Service) && member.HoldingsUnknown() && (!ok || now-lastRequest >= reportRetryInterval)
		if due && !member.Suspect(now) && member.PausedFor(now) == 0 && len(unread) < maxConcurrentReports {
			unread = append(unread, member)
		}
	}
	return unread
}

// soloReportDelay is how long a daemon waits for other daemons, or for a hub, before it reads
// reports by itself. A hub sends the holdings it has read to the daemons that have chosen it.
const soloReportDelay = clock.Second

// mayReadReports reports whether this daemon reads servers' reports itself. The mutex must be
// held.
func (core *core) mayReadReports(now clock.Millis) bool {
	since := now - core.lastHubAt
	switch {
	case core.hub != "":
		return false
	case !core.members.Joined():
		return since >= soloReportDelay
	case core.members.Plan().Mesh:
		return since >= meshReportDelay
	default:
		return core.members.Role() == topology.Candidate || since >= soloReportDelay
	}
}

// meshReportDelay is how long a starting daemon waits for others before it assumes that its
// site is small enough for a mesh. Without it, the daemons of a large site that restart
// together would each read all reports.
const meshReportDelay = 300 * clock.Millisecond

// readHoldings reads the report of a server that nobody has sent holdings of.
func (gateway *Gateway) readHoldings(ctx context.Context, target platformapi.Server) {
	report, err := gateway.servers.ReadReport(ctx, target)
	target.StartedAt = max(report.StartedAt, target.StartedAt)
	gateway.handleLeaving(target, report.Leaving, "report")
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if err != nil {
		core.log.Warn("cannot read server report", "Server", target.ID, "Error", err.Error())
		core.fleet.MarkUnreachable(core.now(), target.ID)
		return
	}
	core.fleet.SetReport(target.ID, target.StartedAt, report.Models)
	core.log.Info("holdings read", "Server", target.ID, "Born", report.StartedAt, "Models", len(report.Models))
	core.wakeWaitingRequests()
}
