package quota

import "teaselmoor/internal/direct/account"

// Rank is the position of a request's rank among the ranks that compete for the units of an
// account. A request with the zero value leaves no reserve.
type Rank struct {
	Position int // 0 is the most urgent
	Ranks    int
}

// maxPositions bounds the positions that are told apart. Later ones share the last one's part of
// the minimum.
const maxPositions = 8

// last returns the last position that is told apart.
func (rank Rank) last() int {
	return min(rank.Ranks, maxPositions) - 1
}

// position returns the position, at most the last one.
func (rank Rank) position() int {
	return min(max(rank.Position, 0), rank.last())
}

// An account is at its limit from the time that its recent use reaches its rate, or leaveLimitShare of
// it while its bucket is all but empty: without a tolerance, the use of an account that gets less than
// it asks for approaches the rate from below. It leaves its limit when its use falls below
// leaveLimitShare of its rate. The use dips while the bucket fills up to the reserve, by half of a
// depth of about one second's units within the time constant of 2 s, and must not end the state by that.
const (
	leaveLimitShare = 0.75
	emptyShare      = 0.1 // of the depth
)

// minShare is the part of the units admitted for more urgent ranks that all less urgent ranks
// together may use without leaving the reserve. Without it they would get nothing while urgent
// requests alone exceed the limit, and their callers would see an outage instead of a slow service.
const minShare = 0.1

// SetReserveShare sets the share of the depth of an account's bucket that the least urgent rank
// leaves to the others while the account is at its limit. With 0 there is no reserve.
func (ledger *Ledger) SetReserveShare(share float64) {
	ledger.reserveShare = share
}

// urgency is the state of an account by which its most urgent requests go first.
type urgency struct {
	atLimit bool
	// minimum holds, by position, the units that this daemon may still admit without a reserve. With
	// float64 a usage takes 512 bytes, and decisions on 10,000 accounts took twice as long: usages of
	// that size share cache sets.
	minimum [maxPositions]float32
}

// reviewUrgency determines whether an account is at its limit. While some daemons are missing, the
// use of the others is compared with their part of the limit.
func (ledger *Ledger) reviewUrgency(usage *usage, limit account.Limit, split split, allRate float64) {
	rate := min(limit.Rate, split.reachableRate())
	used := allRate - ledger.silentRate(usage)
	switch {
	case used >= rate, used >= leaveLimitShare*rate && usage.level <= emptyShare*split.depth:
		usage.urgency.atLimit = true
	case used < leaveLimitShare*rate:
		usage.urgency = urgency{}
	}
}

// reserve returns the units that a request must leave for more urgent ones. An isolated daemon
// keeps none, as its part of the limit may be less than a request.
func (ledger *Ledger) reserve(usage *usage, split split, rank Rank) float64 {
	if ledger.reserveShare <= 0 || rank.Ranks < 2 || !usage.urgency.atLimit || ledger.isolated() {
		return 0
	}
	position := min(max(rank.Position, 0), rank.Ranks-1)
	return ledger.reserveShare * split.depth * float64(position) / float64(rank.Ranks-1)
}

// hasMinimum reports whether a request's rank has units left of its minimum.
func (usage *usage) hasMinimum(rank Rank) bool {
	return usage.urgency.minimum[rank.position()] > 0
}

// countMinimum counts an admitted request: it uses up the minimum of its rank, and adds to that of
// each less urgent one. A debt is at most the request's units, so that a rank that was served well
// does not wait long for its minimum later.
func (ledger *Ledger) countMinimum(usage *usage, limit account.Limit, rank Rank, cost float64) {
	if ledger.reserveShare <= 0 || rank.Ranks < 2 || !usage.urgency.atLimit {
		return
	}
	own, last, units := rank.position(), rank.last(), float32(cost)
	minimum := &usage.urgency.minimum
	minimum[own] = max(minimum[own]-units, -units)
	most := float32(minShare * limit.Rate * rateTimeConstant.Seconds() / float64(max(1, ledger.site.Reached)))
	for position := own + 1; position <= last; position++ {
		minimum[position] = min(minimum[position]+minShare/float32(last)*units, most)
	}
}
