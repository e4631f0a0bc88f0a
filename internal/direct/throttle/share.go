package throttle

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/demand"
)

// extraDaemons is how many more daemons share a server's limit than the limit has requests in
// a second. Each of the sharing daemons may send one request at the same moment; the site
// tolerates that excess.
const extraDaemons = 4

// minRate is the lowest rate at which a server is sent requests, in requests a second, even if
// its limit is zero. Without any response no daemon would learn that the server accepts
// requests again.
const minRate = 0.1

// roundingTolerance is how much a level may fall short of a request because of rounding, in requests. A bucket that holds one request loses
// what its rate yields until it is asked again.
const roundingTolerance = 1e-9

// share is a daemon's share of a server's limit: a token bucket that holds one request.
type share struct {
	rate      float64 // requests a second; 0 means that this daemon sends none
	level     float64 // requests that may be sent now, 0 to 1
	updatedAt clock.Millis
}

// refill adds what the rate yields until now.
func (share *share) refill(now clock.Millis) {
	share.level = min(1, share.level+share.rate*(now-share.updatedAt).Seconds())
	share.updatedAt = now
}

// SetDaemons replaces the daemons of the site, and their shares of what all of them may use.
func (limits *Limits) SetDaemons(now clock.Millis, daemons []string, shares demand.Shares) {
	if slices.Equal(daemons, limits.daemons) && shares.Equals(limits.shares) {
		return
	}
	limits.daemons, limits.shares = daemons, shares
	for _, entry := range limits.entries {
		if entry.limit.Limited {
			limits.updateShare(now, entry)
		}
	}
}

// updateShare computes this daemon's share of a limit. Buckets start at different levels, so
// that daemons which learn of a limit together do not send together.
func (limits *Limits) updateShare(now clock.Millis, entry *entry) {
	rate := max(minRate, entry.limit.Rate)
	ranked := limits.shares.Ranked(entry.limit.Server, limits.daemons)
	sharers := min(len(ranked), int(rate)+extraDaemons)
	position := slices.Index(ranked, limits.self)
	if entry.share.updatedAt == 0 {
		entry.share.level = float64(max(0, position)%max(1, sharers)) / float64(max(1, sharers))
		entry.share.updatedAt = now
	}
	entry.share.refill(now)
	entry.share.rate = 0
	if position >= 0 && position < sharers {
		entry.share.rate = rate * limits.shares.Of(limits.self) / limits.sumOfShares(ranked[:sharers])
	}
}

// sumOfShares returns the sum of the shares of daemons.
func (limits *Limits) sumOfShares(daemons []string) float64 {
	sum := 0.0
	for _, daemon := range daemons {
		sum += limits.shares.Of(daemon)
	}
	return sum
}

// Allows reports whether this daemon may send a server a request now.
func (limits *Limits) Allows(now clock.Millis, server string) bool {
	entry, ok := limits.entries[server]
	if !ok || !entry.limit.Limited {
		return true
	}
	entry.share.refill(now)
	return entry.share.rate > 0 && entry.share.level >= 1-roundingTolerance
}

// Take takes a request to a server from the bucket.
func (limits *Limits) Take(now clock.Millis, server string) {
	limits.addToLevel(now, server, -1)
}

// Return gives back a request to a server that was not sent.
func (limits *Limits) Return(now clock.Millis, server string) {
	limits.addToLevel(now, server, 1)
}

// addToLevel adds requests to the bucket of a server, if it has a limit.
func (limits *Limits) addToLevel(now clock.Millis, server string, requests float64) {
	entry, ok := limits.entries[server]
	if !ok || !entry.limit.Limited {
		return
	}
	entry.share.refill(now)
	entry.share.level = min(1, entry.share.level+requests)
}
