package gateway

import (
	"context"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/topology"
)

// maxReportsPerTick bounds the number of reports that one call of readUnknownHoldings starts to
// read. When a single daemon of a large site starts, it receives most tables from its peers
// before it would have read the reports.
const maxReportsPerTick = 16

// reportRetryInterval is the wait before a report that could not be read is read again.
const reportRetryInterval = clock.Second

// readUnknownHoldings reads the reports of servers whose holdings no peer has sent yet. Sending
// orders to a server requires a claim, reading its report does not: otherwise, after a loss of
// all daemons, the adapters on a server would stay unknown until an owner has claimed it and
// read its report.
func (gateway *Gateway) readUnknownHoldings(now clock.Millis) {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	for _, member := range core.unknownHoldings(now) {
		gateway.startReadingHoldings(now, member.Server)
	}
}

// startReadingHoldings has a server's report be read. The mutex must be held.
func (gateway *Gateway) startReadingHoldings(now clock.Millis, target platformapi.Server) {
	gateway.core.reportRequestedAt[target.ID] = now
	gateway.tasks.Go("holdings "+target.ID, func(ctx context.Context) error {
		gateway.readHoldings(ctx, target)
		return nil
	})
}

// unknownHoldings returns the servers whose reports are to be read now. The mutex must be held.
func (core *core) unknownHoldings(now clock.Millis) []*fleet.Member {
	if core.catalog == nil || !core.mayReadReports(now) {
		return nil
	}
	var unknown []*fleet.Member
	for _, member := range core.fleet.Members() {
		lastRequest, ok := core.reportRequestedAt[member.ID]
		due := core.isEngine(member.Service) && member.HoldingsUnknown() && (!ok || now-lastRequest >= reportRetryInterval)
		if due && !member.Suspect(now) && member.PausedFor(now) == 0 && len(unknown) < maxReportsPerTick {
			unknown = append(unknown, member)
		}
	}
	return unknown
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

// readHoldings reads a server's report and applies the holdings in it.
func (gateway *Gateway) readHoldings(ctx context.Context, target platformapi.Server) {
	target, report, ok := gateway.fetchReport(ctx, target)
	if !ok {
		return
	}
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.confirmProcess(target.Process())
	core.seeProcess(target.Process(), "report")
	core.fleet.SetReport(target.ID, target.StartedAt, report.Models)
	recorded := core.recordRuns(core.now(), target, report.Runs)
	core.log.Info("holdings read", "Server", target.ID, "Born", report.StartedAt, "Models", len(report.Models), "Runs", len(report.Runs), "RunsRecorded", recorded)
	core.wakeWaitingRequests()
}

// fetchReport reads a server's report and applies whether the server is leaving. It returns the
// server, with the start time of its process, and the report. If the report cannot be read, it
// marks the server as unreachable and returns false.
func (gateway *Gateway) fetchReport(ctx context.Context, target platformapi.Server) (platformapi.Server, platformapi.Report, bool) {
	report, err := gateway.servers.ReadReport(ctx, target)
	if report.StartedAt > 0 {
		target.StartedAt = report.StartedAt // the entry may be of another process
	}
	gateway.handleLeaving(target, report.Leaving, "report")
	if err != nil {
		core := gateway.core
		core.mutex.Lock()
		defer core.mutex.Unlock()
		core.log.Warn("cannot read server report", "Server", target.ID, "Error", err.Error())
		core.fleet.MarkUnreachable(core.now(), target.ID)
		return target, report, false
	}
	return target, report, true
}
