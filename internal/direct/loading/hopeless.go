package loading

import "teaselmoor/internal/base/clock"

// LoadTooLate reports whether an adapter that nobody has asked for yet comes too late for a
// request that can wait for patience, as others go before it. Where none do it is tried
// whatever its load is expected to take: one that was slow for another reason would have all
// requests refused, and no further load would show that the store is faster.
func LoadTooLate(ahead int, wait, patience clock.Millis) bool {
	return ahead > 0 && wait > patience
}
