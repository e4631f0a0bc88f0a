package ownership

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
)

// Fencing numbers count parts of a millisecond of the wall clock, 2^fenceBits of them, plus a drawn number below 2^drawBits. Two daemons that
// claim an engine at the same time get the same number once in 2^drawBits times. Fencing numbers stay below 2^53, so that engines may read them
// as JSON numbers.
const (
	fenceBits = 10
	// drawBits is 19, so that drawn numbers span 512 ms: a daemon that starts again claims nothing for longer than that.
	drawBits = 19
)

// NextFence returns a fencing number above the highest known one. It is derived from the wall clock, so that numbers increase across restarts
// without being stored, and from a number that the caller draws anew for each claim: neither the name of a daemon nor the time of its claim
// tells it apart from all others.
func NextFence(now clock.Millis, draw uint64, highest ident.Fence) ident.Fence {
	base := max(uint64(now)<<fenceBits, uint64(highest)+1)
	return ident.Fence(base + draw&(1<<drawBits-1))
}
