package loading

import "teaselmoor/internal/base/clock"

// LoadTooLate reports whether an adapter that has not been requested before would be loaded too
// late for a request that waits for maxWait at most. Ahead is the number of loads before it.
// If there are none, the load is tried whatever time it is expected to take: otherwise one
// slow load would have all later requests refused, and no further load would correct the
// estimate.
func LoadTooLate(ahead int, wait, maxWait clock.Millis) bool {
	return ahead > 0 && wait > maxWait
}
