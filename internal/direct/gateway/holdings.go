package gateway

import (
	"context"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/topology"
)

// reportsAtOnce bounds the reports that are read at a time: a daemon of a large site
// that starts alone hears most tables from its peers before it has read them.
const reportsAtOnce = 16

// reportAgain is how long after a report could not be read it is read again.
const reportAgain = clock.Second

// learnHoldings reads the reports of servers of which nobody has told yet what they
// hold. Only orders need a claim; what a server holds can be read by anyone. Without it
// the adapters that servers hold are unknown after a loss of all daemons until they are
// claimed and read.
func (gateway *Gateway) learnHoldings(now clock.Millis) {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	for _, member := range core.unknownHoldings(now) {
		core.reportAskedAt[member.ID] = now
		target := member.Server
		gateway.group.Go("holdings "+target.ID, func(ctx context.Context) error {
			gateway.readHoldings(ctx, target)
			return nil
		})
	}
}

// unknownHoldings returns the servers whose reports are to be read now. The mutex is
// held.
func (core *core) unknownHoldings(now clock.Millis) []*fleet.Member {
	if core.catalog == nil || !core.readsReports(now) {
		return nil
	}
	var unread []*fleet.Member
	for _, member := range core.fleet.Members() {
		asked, ok := core.reportAskedAt[member.ID]
		due := core.isEngine(member.Service) && member.HoldingsUnknown() && (!ok || now-asked >= reportAgain)
		if due && !member.Suspect(now) && member.PausedFor(now) == 0 && len(unread) < reportsAtOnce {
			unread = append(unread, member)
		}
	}
	return unread
}

// soloReports is how long a daemon waits for others, or for a hub, before it reads reports
// alone. A hub tells those that have chosen it what it has read.
const soloReports = clock.Second

// readsReports reports whether this daemon reads servers' reports itself. The mutex is
// held.
func (core *core) readsReports(now clock.Millis) bool {
	since := now - core.hubAt
	switch {
	case core.hub != "":
		return false
	case !core.members.Joined():
		return since >= soloReports
	case core.members.Plan().Mesh:
		return since >= meetingTime
	default:
		return core.members.Role() == topology.Candidate || since >= soloReports
	}
}

// meetingTime is how long a daemon that starts waits for others before it takes its site to
// be a small one: daemons of a large site that all start again would each read all reports.
const meetingTime = 300 * clock.Millisecond

func (gateway *Gateway) readHoldings(ctx context.Context, target platformapi.Server) {
	report, err := gateway.servers.ReadReport(ctx, target)
	target.StartedAt = max(report.StartedAt, target.StartedAt)
	gateway.noteLeaving(target, report.Leaving, "report")
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if err != nil {
		core.log.Warn("report not read", "Server", target.ID, "Error", err.Error())
		core.fleet.MarkUnreachable(core.now(), target.ID)
		return
	}
	core.fleet.SetReport(target.ID, target.StartedAt, report.Models)
	core.log.Info("holdings read", "Server", target.ID, "Born", report.StartedAt, "Models", len(report.Models))
	core.notify()
}
