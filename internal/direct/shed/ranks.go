package shed

// maxRanks is the number of ranks that are told apart; the last one stands for all further ones.
const maxRanks = 10

// rankMemory is the number of recent requests that the shares cover.
const rankMemory = 200

// rankShares estimates the shares of the ranks in the requests that arrive at this daemon.
type rankShares struct {
	weights [maxRanks]float64
	total   float64
}

// observe counts a request that has arrived.
func (rankShares *rankShares) observe(rank int) {
	const fade = 1 - 1.0/rankMemory
	for i := range rankShares.weights {
		rankShares.weights[i] *= fade
	}
	rankShares.total = rankShares.total*fade + 1
	rankShares.weights[position(rank)]++
}

// shareOf returns the share of the requests of a rank that are refused, if the given share of all
// requests is. The least urgent ranks are refused first, but no rank more than maxShare.
func (rankShares *rankShares) shareOf(rank int, share, maxShare float64) float64 {
	own := position(rank)
	remaining := share * rankShares.total
	for i := maxRanks - 1; i > own; i-- {
		remaining -= min(remaining, maxShare*rankShares.weights[i])
	}
	if rankShares.weights[own] <= 0 {
		return 0
	}
	return min(maxShare, remaining/rankShares.weights[own])
}

func position(rank int) int {
	return min(max(rank, 0), maxRanks-1)
}
