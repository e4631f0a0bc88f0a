package gateway

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/quota"
	"teaselmoor/internal/direct/retryafter"
)

// Refusals are the options for refusals at limits.
type Refusals struct {
	// Schedule has callers refused for an account's limit told different times to return, by the
	// units promised before, and callers whose adapter is not ready the expected time of its load.
	// Without it the former are told when what they lack is refilled, and the latter RetryAfter.
	Schedule bool
	// ReserveShare is the share of the depth of an account's bucket that the least urgent rank
	// leaves to more urgent ones while the account is at its limit. With 0 units go to whichever
	// request comes first.
	ReserveShare float64
}

// DefaultRefusals returns the default options.
func DefaultRefusals() Refusals {
	return Refusals{Schedule: true, ReserveShare: 0.5}
}

// Check reports the first option that is invalid.
func (refusals Refusals) Check() error {
	// With the whole depth as reserve, the least urgent rank would need a full bucket.
	if !(refusals.ReserveShare >= 0 && refusals.ReserveShare < 1) {
		return errors.Errorf("Refusals.ReserveShare is %g, and must be at least 0 and below 1", refusals.ReserveShare)
	}
	return nil
}

// competingRank returns the rank by which a request competes for its account's units. Requests of an
// account with a rank of its own all have the same one, so none of them leaves a reserve.
func competingRank(config *catalog.Catalog, job *job) quota.Rank {
	if job.account.HasRank {
		return quota.Rank{}
	}
	position, ranks := config.RankPosition(job.rank)
	return quota.Rank{Position: position, Ranks: ranks}
}

// accountRetryAfter returns how long a caller refused for its account's limit should wait, and the
// units promised before to callers that go before it. An isolated daemon promises nothing, as the
// retry may reach another daemon. The mutex must be held.
func (core *core) accountRetryAfter(job *job, decision quota.Decision) (clock.Millis, float64) {
	if !core.options.Refusals.Schedule || decision.Isolated() {
		return decision.RetryAfter, 0
	}
	refusal := retryafter.Refusal{
		Rank: job.rank, Units: decision.Cost, Lacking: decision.Lacking, Rate: decision.Rate, Share: decision.Share,
		Spread: xxhash.Sum64String(job.headers.Attempt), Class: callerClass(job),
	}
	return core.promises.Promise(job.progress.head, job.account.Name, refusal)
}

// callerClass tells the refused requests of an account apart by what they ask for. Each attempt of a
// caller has another id, and the body has not been read yet.
func callerClass(job *job) uint64 {
	return xxhash.Sum64String(job.incoming.Host+job.incoming.RequestURI) + uint64(job.headers.Tokens())
}

// Bounds of the time that a caller whose adapter is not ready is told to wait. Callers ignore a time
// longer than callerWaitShare of what they have left.
const (
	minAdapterRetry = 100 * clock.Millisecond
	maxAdapterRetry = 2 * clock.Second
	callerWaitShare = 1.0 / 3
)

// setAdapterRetryAfter sets how long a caller whose adapter is not ready should wait: the time that a
// load on the server is expected to take. Without a known owner of the server nothing is known of its
// loads, and the default applies, as it does at sites without competing callers or limited accounts.
// The mutex must be held.
func (core *core) setAdapterRetryAfter(now clock.Millis, job *job, server *fleet.Member, result *tryResult) {
	if !core.options.Refusals.Schedule || !core.ledger.Limited() && !core.hasCompetingCallers(job.service) {
		return
	}
	if _, owned := core.ownerOf(now, server.ID); !owned {
		return
	}
	if result.reason != ending.AdapterNotReady || job.mayHaveRun > 0 {
		return
	}
	byCaller := clock.Millis(callerWaitShare * float64(job.deadline-now))
	longest := max(minAdapterRetry, min(maxAdapterRetry, byCaller))
	job.retryAfter = retryafter.Spread(core.expectedLoadTime(server), xxhash.Sum64String(job.headers.Attempt), minAdapterRetry, longest)
}

// otherAccounts is the label of accounts beyond maxSeries.
const otherAccounts = "other"

// recordReserveRefusal counts a refusal that kept units for more urgent ranks.
func (counters *counters) recordReserveRefusal(account string) {
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	if _, known := counters.reserveRefusals[account]; !known && len(counters.reserveRefusals) >= maxSeries {
		account = otherAccounts
	}
	counters.reserveRefusals[account]++
}

// recordRetryAfter records the time that a refused caller was told to wait, if any.
func (counters *counters) recordRetryAfter(reason ending.Reason, wait clock.Millis) {
	if wait <= 0 {
		return
	}
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	counters.retryAfter.observe(string(reason), wait)
}

// writeRefusals writes the metrics of refusals. The mutex must be held.
func (counters *counters) writeRefusals(out io.Writer) {
	for _, account := range slices.Sorted(maps.Keys(counters.reserveRefusals)) {
		_, _ = fmt.Fprintf(out, "teaselmoor_account_reserve_refusals_total{account=%q} %d\n", account, counters.reserveRefusals[account])
	}
	counters.retryAfter.write(out, "teaselmoor_retry_after_millis", "reason")
}
