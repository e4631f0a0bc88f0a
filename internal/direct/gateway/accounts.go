package gateway

import (
	"net/http"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/quota"
)

// admit identifies the caller's account by its key and charges the request to the account's
// limit before any of the body is read. If the request is refused, admit returns the status and
// reason to answer with; otherwise the status is 0.
func (gateway *Gateway) admit(job *job, config *catalog.Catalog) (int, ending.Reason) {
	if config.Accounts == nil {
		return 0, ""
	}
	job.accountsListed = true
	found, known := config.Accounts.ByKey(job.headers.AccountKey)
	switch {
	case known:
		job.account = *found
	case job.route.Open:
		return 0, ""
	default:
		return gateway.refuseUnknownKey(job)
	}
	if job.account.HasRank {
		job.rank = job.account.Rank
	}
	if job.entry != "" {
		return 0, "" // the daemon that received the request has charged it
	}
	return gateway.chargeAccount(job, competingRank(config, job))
}

// refuseUnknownKey refuses a request whose key is not in the configuration. If this
// configuration may be stale, the caller gets a status that it retries on: another daemon may
// have a configuration with the key, and callers do not retry after a status that says that the
// key is wrong.
func (gateway *Gateway) refuseUnknownKey(job *job) (int, ending.Reason) {
	core := gateway.core
	core.mutex.Lock()
	stale := core.configurationAge(job.progress.head) > core.options.AccountsAge
	core.mutex.Unlock()
	if stale {
		return http.StatusServiceUnavailable, ending.StaleAccounts
	}
	return http.StatusUnauthorized, ending.UnknownKey
}

// configurationAge is the time since the store last answered this daemon or the one that reads
// the store for it, and so confirmed the configuration in force. The mutex must be held.
func (core *core) configurationAge(now clock.Millis) clock.Millis {
	return now - max(core.store.readAt, core.store.readerReadAt)
}

// chargeAccount charges a request to its account's limit, and refuses it if the limit is
// exceeded.
func (gateway *Gateway) chargeAccount(job *job, rank quota.Rank) (int, ending.Reason) {
	core := gateway.core
	cost := job.account.Limit.Cost(job.headers.Tokens())
	core.mutex.Lock()
	decision := core.ledger.Take(job.progress.head, job.account.Name, cost, rank)
	core.markUsageChanged()
	promised := 0.0
	if !decision.Allowed {
		job.retryAfter, promised = core.accountRetryAfter(job, decision)
	}
	core.mutex.Unlock()
	if decision.Allowed {
		job.charged = cost
		return 0, ""
	}
	if decision.Reserved {
		gateway.counters.recordReserveRefusal(job.account.Name)
	}
	gateway.log.Info(ending.MessageAccountOverLimit, "Request", job.headers.Attempt, "Account", job.account.Name, "Units", decision.Cost,
		"LeftUnits", int(decision.Left), "RatePerSecond", int(decision.Rate), "LimitPerSecond", int(job.account.Limit.Rate),
		"DaemonsCounted", decision.Reached, "Daemons", decision.Daemons,
		"Rank", job.rank, "ReserveUnits", int(decision.Reserve), "PromisedUnits", int(promised))
	return http.StatusTooManyRequests, ending.AccountLimit
}

// refundIfNotRun refunds an account's charge for a request that no server can have run.
func (gateway *Gateway) refundIfNotRun(job *job) {
	if job.charged == 0 || job.mayHaveRun > 0 {
		return
	}
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.ledger.Return(core.now(), job.account.Name, job.charged)
}
