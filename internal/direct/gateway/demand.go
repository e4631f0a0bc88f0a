package gateway

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/demand"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/retry"
)

// recordDemand counts a request that this daemon sends to servers itself. The mutex must be held.
func (core *core) recordDemand(now clock.Millis, job *job) {
	if !job.demandCounted {
		job.demandCounted = true
		core.callerDemand.RecordRequest(now)
	}
}

// ownShare returns this daemon's share of what all daemons may use together. The mutex must be held.
func (core *core) ownShare() float64 {
	return core.callerDemand.Shares().Of(core.settings.Name)
}

// rankAt returns how many daemons go before this one at a server, where not all can have a place: those with larger shares,
// and of equal ones by the hash of server and daemon. The mutex must be held.
func (core *core) rankAt(server string) int {
	rank, ok := core.serverRanks[server]
	if !ok {
		rank = slices.Index(core.callerDemand.Shares().Ranked(server, core.sharers), core.settings.Name)
		core.serverRanks[server] = rank
	}
	return rank
}

// updateLoans lends the daemon at which most callers come what this one has not used of its share of the fixed allowance of
// retries, and takes the loans of others. The mutex must be held.
func (core *core) updateLoans(now clock.Millis) {
	used := 0.0
	for _, budget := range core.budgets {
		used = max(used, budget.UsedShare(now))
	}
	var asked demand.Report
	if largest := core.callerDemand.Shares().Largest(); largest != core.settings.Name {
		asked = core.callerDemand.Latest(largest)
	}
	to := retry.Borrower{Daemon: asked.Daemon, Incarnation: asked.Incarnation}
	core.callerDemand.SetLoan(asked, core.retryAllowance.Lend(now, to, used))
	core.retryAllowance.Borrow(core.callerDemand.Borrowed(now, retry.LoanTime))
}

// updateDemand updates the shares of the daemons. The mutex must be held.
func (core *core) updateDemand(now clock.Millis) {
	before := core.callerDemand.Shares().Uneven()
	names := core.members.AliveNames()
	core.updateLoans(now)
	changed := core.callerDemand.Update(now, names)
	if !changed && slices.Equal(names, core.sharers) {
		return
	}
	core.sharers = names
	clear(core.serverRanks)
	core.callerDemand.Retain(func(daemon string) bool { return slices.Contains(names, daemon) })
	if uneven := core.callerDemand.Shares().Uneven(); uneven != before {
		core.log.Info(ending.MessageSharesChanged, "Uneven", uneven, "OwnPercent", int(100*core.ownShare()), "Daemons", len(names))
	}
	if core.serverLimits.LimitedCount() > 0 {
		core.serverLimits.SetDaemons(now, names, core.callerDemand.Shares())
	}
}
