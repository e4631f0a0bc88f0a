package loading

import "teaselmoor/internal/base/clock"

// Demand is how much work waits at the servers that hold or load an adapter, and how much
// of it for the adapter.
type Demand struct {
	Backlog clock.Millis // until the engines have read the prompts that they have been sent, added up
	Uses    int          // requests in progress that use the adapter or wait for it, at the server looked at
	Runs    int          // all requests in progress there
	Holders int          // servers that hold the adapter
	Loading int          // servers that load it, or were asked to
}

// MostCopies bounds the copies of one adapter that are asked for at a time: what is known
// of the work in progress is some hundred milliseconds old.
const MostCopies = 6

// readingShare is the part of the goal for gaps that the prompts at an engine may take:
// other daemons send some that are not heard of yet.
const readingShare = 0.5

// MaxReadingTime is how long the prompts at an engine should take to be read at most: no
// longer than a load elsewhere, and no longer than the streams there may pause.
func MaxReadingTime(loadTime, gapGoal clock.Millis) clock.Millis {
	if gapGoal <= 0 {
		return loadTime
	}
	return min(loadTime, clock.Millis(readingShare*float64(gapGoal)))
}

// CopiesNeeded returns how many further servers should load an adapter: as many as it takes for
// the prompts that wait for it to be read within the goal. Where hundreds of daemons
// place requests by sums that are a hundred milliseconds old, an adapter that becomes popular
// has dozens of prompts at its first server before any daemon sees that one copy is too few.
func CopiesNeeded(demand Demand, goal clock.Millis) int {
	if demand.Runs == 0 || goal <= 0 {
		return 0
	}
	waiting := demand.Backlog * clock.Millis(demand.Uses) / clock.Millis(demand.Runs)
	return max(0, min(int(waiting/goal)-demand.Holders-demand.Loading, MostCopies))
}
