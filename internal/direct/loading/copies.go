package loading

import "teaselmoor/internal/base/clock"

// Demand describes the work at the servers that hold or load an adapter.
type Demand struct {
	Backlog clock.Millis // total time that the engines need to read the prompts sent to them
	Uses    int          // requests in progress that use the adapter or wait for it
	Runs    int          // all requests in progress at the servers that Uses is counted at
	Holders int          // servers that hold the adapter
	Loading int          // servers that are loading it or are to load it
}

// MaxCopies is the maximum number of copies of one adapter requested at a time. It is
// bounded as the known load counts are some hundred milliseconds old.
const MaxCopies = 6

// readingShare is the share of the gap goal that reading the prompts at an engine may
// take. The rest is left for prompts of other daemons that are not known yet.
const readingShare = 0.5

// MaxReadingTime returns the longest time that reading the prompts at an engine should take:
// no longer than loading the adapter elsewhere, nor than the streams there may pause.
func MaxReadingTime(loadTime, gapGoal clock.Millis) clock.Millis {
	if gapGoal <= 0 {
		return loadTime
	}
	return min(loadTime, clock.Millis(readingShare*float64(gapGoal)))
}

// CopiesNeeded returns how many more servers should load an adapter, so that the prompts that
// wait for it are read within the goal. If hundreds of daemons place requests by load
// counts a hundred milliseconds old, an adapter that becomes popular has dozens of prompts
// at its first server before any daemon sees that one copy is too few.
func CopiesNeeded(demand Demand, goal clock.Millis) int {
	if demand.Runs == 0 || goal <= 0 {
		return 0
	}
	waiting := demand.Backlog * clock.Millis(demand.Uses) / clock.Millis(demand.Runs)
	return max(0, min(int(waiting/goal)-demand.Holders-demand.Loading, MaxCopies))
}
