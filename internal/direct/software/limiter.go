package software

import "teaselmoor/internal/base/clock"

const (
	queriesPerSecond = 200.0 // on average; a query is a message to each linked daemon
	queryBurst       = 1000.0
)

// Limiter bounds the queries for origins that a daemon sends, as callers may name attempts that never were.
type Limiter struct {
	used float64 // queries that count at usedAt
	at   clock.Millis
}

// Allow reports whether a query may be sent, and counts it if so.
func (limiter *Limiter) Allow(now clock.Millis) bool {
	limiter.used = max(0, limiter.used-(now-limiter.at).Seconds()*queriesPerSecond)
	limiter.at = now
	if limiter.used+1 > queryBurst {
		return false
	}
	limiter.used++
	return true
}
