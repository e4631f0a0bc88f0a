package gateway

import (
	"net/http"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/ending"
)

// admit finds out who calls and takes the request off the account's limit, before
// anything of its body is read. A status other than 0 refuses it.
func (gateway *Gateway) admit(job *job, config *catalog.Catalog) (int, ending.Reason) {
	if config.Accounts == nil {
		return 0, ""
	}
	job.accounts = true
	found, known := config.Accounts.ByKey(job.call.AccountKey)
	switch {
	case known:
		job.account = *found
	case job.route.Open:
		return 0, ""
	default:
		return gateway.unknownKey(job)
	}
	if job.account.HasRank {
		job.rank = job.account.Rank
	}
	return gateway.takeLimit(job)
}

// unknownKey refuses a request whose key is none of the configuration. While that may be
// an old one the caller is told to come back: another daemon may know the key, and a
// caller that is told that its key is wrong does not try again.
func (gateway *Gateway) unknownKey(job *job) (int, ending.Reason) {
	core := gateway.core
	core.mutex.Lock()
	old := core.catalogAge(job.arrived) > core.options.AccountsAge
	core.mutex.Unlock()
	if old {
		return http.StatusServiceUnavailable, ending.OldAccounts
	}
	return http.StatusUnauthorized, ending.UnknownKey
}

// catalogAge is how long ago the store confirmed the configuration in force. The mutex is
// held.
func (core *core) catalogAge(now clock.Millis) clock.Millis {
	return now - max(core.store.readAt, core.store.coveredAt)
}

// takeLimit takes a request off its account's limit.
func (gateway *Gateway) takeLimit(job *job) (int, ending.Reason) {
	core := gateway.core
	cost := job.account.Limit.Cost(job.call.Tokens())
	core.mutex.Lock()
	decision := core.ledger.Take(job.arrived, job.account.Name, cost)
	core.used()
	core.mutex.Unlock()
	if decision.Allowed {
		job.cost = cost
		return 0, ""
	}
	job.comeBack = decision.RetryAfter
	gateway.log.Info(ending.MessageAccountOverLimit, "Request", job.call.Attempt, "Account", job.account.Name, "Units", decision.Cost,
		"LeftUnits", int(decision.Left), "RatePerSecond", int(decision.Rate), "LimitPerSecond", int(job.account.Limit.Rate),
		"DaemonsCounted", decision.Reached, "Daemons", decision.Daemons)
	return http.StatusTooManyRequests, ending.AccountLimit
}

// settle gives an account back what it was charged for a request that no server ran.
func (gateway *Gateway) settle(job *job) {
	if job.cost == 0 || job.sends > 0 {
		return
	}
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.ledger.Return(core.now(), job.account.Name, job.cost)
}
