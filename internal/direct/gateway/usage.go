package gateway

import (
	"context"
	"maps"
	"time"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/quota"
	"teaselmoor/internal/direct/topology"
)

// usageReport records when a daemon last reported the use of accounts, and for which daemons.
type usageReport struct {
	at      clock.Millis
	scope   quota.Scope
	daemons int // number of daemons that the report covers
}

// usageInterval is the longest time between two reports on accounts; a daemon that sends none
// is considered disconnected. Reports are not part of the regular deltas, as a hub of a site with
// thousands of servers sends those less often.
const usageInterval = 250 * clock.Millisecond

// hubUsageSources is the number of daemons whose reports a daemon with a hub adds up.
const hubUsageSources = 4

// accountPruneInterval is the time between two removals of unused accounts.
const accountPruneInterval = clock.Second

// sendUsageLoop sends peers the use of accounts until the context ends: soon after it has
// changed, and otherwise at intervals.
func (gateway *Gateway) sendUsageLoop(ctx context.Context) error {
	timer := time.NewTimer(usageInterval.Duration())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-gateway.core.usageChanged:
		case <-timer.C:
		}
		gateway.sendUsage()
		timer.Reset(usageInterval.Duration())
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(gateway.options.WorkPause.Duration()):
		}
	}
}

// markUsageChanged records that the use of accounts has changed. The mutex must be held.
func (core *core) markUsageChanged() {
	select {
	case core.usageChanged <- struct{}{}:
	default:
	}
}

// sendUsage sends peers the use of accounts that they have not been sent.
func (gateway *Gateway) sendUsage() {
	core := gateway.core
	core.mutex.Lock()
	targets := core.members.Plan().Targets
	reports := make([]*quota.Report, len(targets))
	for i, target := range targets {
		reports[i] = core.unsentUsage(core.now(), target, core.sentTo(target.Address))
	}
	core.mutex.Unlock()
	for i, report := range reports {
		if report != nil {
			gateway.send(targets[i].Address, peers.Message{Delta: &peers.Delta{Usage: report}})
		}
	}
}

// unsentUsage returns the use of accounts that a target has not been sent. The mutex must be
// held.
func (core *core) unsentUsage(now clock.Millis, target topology.Target, sent *sentState) *quota.Report {
	if !core.ledger.Limited() {
		return nil
	}
	report := &quota.Report{Incarnation: core.incarnation}
	sharers := core.members.DaemonCount()
	switch target.Scope {
	case topology.Sums:
		report.Scope, report.Daemons, sharers = quota.Others, core.ledger.Site().Reached, hubUsageSources
	case topology.Group:
		report.Scope, report.Daemons = quota.Group, core.groupSize(now)
	default:
		report.Scope, report.Daemons = quota.Own, 1
	}
	// A receiver that learns at once of the daemons that are counted together splits the limits
	// accordingly at once: after the loss of all daemons this takes a hub and its group three reports.
	due := now-sent.usageAt >= usageInterval || report.Daemons != sent.usageDaemons
	if due {
		sent.usageAt, sent.usageDaemons = now, report.Daemons
		sharers = 0
	}
	report.Readings = core.ledger.UnsentReadings(now, report.Scope, target.Name, sent.usage, sharers)
	if len(report.Readings) == 0 && !due {
		return nil
	}
	return report
}

// groupSize is the number of daemons whose use this daemon reports as a hub. The mutex must be
// held.
func (core *core) groupSize(now clock.Millis) int {
	size := 1
	for name, report := range core.usageReports {
		if report.scope == quota.Own && core.inGroup(name) && now-report.at < quota.SourceTimeout {
			size++
		}
	}
	return size
}

// applyUsage applies a peer's report on the use of accounts. The mutex must be held.
func (core *core) applyUsage(now clock.Millis, from string, report quota.Report) {
	before := core.usageReports[from]
	core.usageReports[from] = usageReport{at: now, scope: report.Scope, daemons: report.Daemons}
	core.ledger.ApplyReport(now, from, report, core.addsUpUsage(from, report.Scope))
	if before.daemons != report.Daemons || before.scope != report.Scope {
		core.updateLimitSite(now)
	}
	if len(report.Readings) > 0 && core.hub == "" && !core.members.Plan().Mesh {
		core.markUsageChanged() // a hub forwards the change
	}
}

// addsUpUsage reports whether this daemon adds up another daemon's reports with a given scope.
// The mutex must be held.
func (core *core) addsUpUsage(from string, scope quota.Scope) bool {
	mesh := core.members.Plan().Mesh
	switch scope {
	case quota.Own:
		return mesh || core.inGroup(from)
	case quota.Group:
		return !mesh && core.hub == ""
	default:
		return from == core.hub
	}
}

// limitSite describes the daemons that share the accounts' limits with this one. The mutex must
// be held.
func (core *core) limitSite(now clock.Millis) quota.Site {
	site := quota.Site{Daemons: core.members.DaemonCount(), Reached: 1, Sources: make(map[string]quota.Source)}
	if !core.members.Joined() {
		site.Daemons = core.options.LoneDaemons
	}
	for name, report := range core.usageReports {
		lostHub := core.hub == "" && name == core.lastHub && report.scope == quota.Others
		if !lostHub && !core.addsUpUsage(name, report.scope) {
			continue
		}
		source := quota.Source{Live: !lostHub && now-report.at < quota.SourceTimeout, LastReportAt: report.at, Daemons: report.daemons}
		site.Sources[name] = source
		if source.Live {
			site.Reached += source.Daemons
		}
	}
	if core.hub != "" && site.Reached > 1 {
		site.Reached-- // the hub's count includes this daemon
	}
	site.Reached = min(site.Reached, site.Daemons)
	return site
}

// updateLimitSite updates which daemons share the accounts' limits, and removes unused accounts
// and the reports of unknown daemons. The mutex must be held.
func (core *core) updateLimitSite(now clock.Millis) {
	if !core.ledger.Limited() {
		return
	}
	site := core.limitSite(now)
	if site.Reached != core.ledger.Site().Reached {
		core.markUsageChanged() // peers are sent the new number of daemons
	}
	core.ledger.SetSite(now, site)
	if now-core.accountsPrunedAt >= accountPruneInterval {
		core.accountsPrunedAt = now
		core.ledger.Prune(now)
	}
	maps.DeleteFunc(core.usageReports, func(name string, _ usageReport) bool {
		_, known := core.members.Peer(name)
		if !known {
			core.ledger.ForgetSource(name)
		}
		return !known
	})
}
