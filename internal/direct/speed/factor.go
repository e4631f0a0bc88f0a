package speed

import (
	"cmp"
	"slices"

	"teaselmoor/internal/base/clock"
)

const (
	// fadeAfter is the time without an update after which a factor fades to 1, so that a server
	// that is avoided is tried again, and fadeTime the time that this takes.
	fadeAfter, fadeTime = 30 * clock.Second, 30 * clock.Second
	// equalBand is the share by which an interval may differ from the median for the server to
	// count as equal to the others.
	equalBand = 0.15
	// minFactor and maxFactor bound the effect of a wrong estimate.
	minFactor, maxFactor = 0.2, 4
	// slowFactor is the factor below which a server counts as slow.
	slowFactor = 0.7
	// Factors are computed at most each minComputeInterval, as they are needed for each server
	// of each placement, and at least each maxComputeInterval, as they fade.
	minComputeInterval, maxComputeInterval = 200 * clock.Millisecond, clock.Second
)

// value is what is known of a server, as of the last computation.
type value struct {
	server           string
	known            bool // there is an estimate
	factor, interval float64
}

// Factor returns how fast a server is, as a multiple of the median of its service. It is 1 for
// servers without an estimate, for those close to the median, and while fewer than half of the
// service's servers have estimates.
func (table *Table) Factor(now clock.Millis, server string) float64 {
	table.refresh(now)
	if at, ok := table.indexOf(server); ok {
		return table.values[at].factor
	}
	return 1
}

// Interval returns the time between two events of a stream at a server, in milliseconds, or 0 if
// it is not known.
func (table *Table) Interval(now clock.Millis, server string) float64 {
	table.refresh(now)
	if at, ok := table.indexOf(server); ok {
		return table.values[at].interval
	}
	return 0
}

// Fastest returns the highest factor of all servers, which is at least 1.
func (table *Table) Fastest(now clock.Millis) float64 {
	table.refresh(now)
	return max(table.fastest, 1)
}

// indexOf returns the index of a server's value. Callers ask for the factor and the interval of a
// server, and go through all servers in order: both are found without a look-up in the map.
func (table *Table) indexOf(server string) (int, bool) {
	if last := table.lastIndex; last < len(table.values) && table.values[last].server == server {
		return last, true
	}
	if next := table.lastIndex + 1; next < len(table.values) && table.values[next].server == server {
		table.lastIndex = next
		return next, true
	}
	at, ok := table.index[server]
	if ok {
		table.lastIndex = at
	}
	return at, ok
}

// refresh computes the factors again if they are due.
func (table *Table) refresh(now clock.Millis) {
	age := now - table.valuesAt
	if age >= maxComputeInterval || table.outOfDate && (age >= minComputeInterval || table.valuesAt == 0) {
		table.compute(now)
	}
}

// compute computes the factors of all servers.
func (table *Table) compute(now clock.Millis) {
	table.valuesAt, table.outOfDate, table.slowCount, table.fastest = now, false, 0, 1
	for _, indexes := range table.services {
		intervals := table.sortBuffer[:0]
		for _, at := range indexes {
			if known, ok := table.lookup(table.values[at].server); ok {
				intervals = append(intervals, known.estimate.Interval)
			}
		}
		table.sortBuffer = intervals
		slices.Sort(intervals)
		enough := 2*len(intervals) >= len(indexes)
		for _, at := range indexes {
			value := &table.values[at]
			value.known, value.factor, value.interval = false, 1, 0
			if known, ok := table.lookup(value.server); ok {
				median := (intervals[(len(intervals)-1)/2] + intervals[len(intervals)/2]) / 2
				value.known = true
				value.factor, value.interval = table.factorOf(now, known, median, enough)
				table.fastest = max(table.fastest, value.factor)
			}
		}
	}
}

// factorOf returns the factor and the interval of a server. Both fade together.
func (table *Table) factorOf(now clock.Millis, known *entry, median float64, enough bool) (factor, own float64) {
	own = known.estimate.Interval
	factor = min(max(median/own, minFactor), maxFactor)
	if !enough || own >= (1-equalBand)*median && own <= (1+equalBand)*median {
		return 1, own
	}
	if faded := table.faded(now, known); faded > 0 {
		factor += (1 - factor) * faded
		own += (median - own) * faded
	}
	if factor < slowFactor {
		table.slowCount++
	}
	return factor, own
}

// faded returns how far an estimate has faded: from 0, not at all, to 1.
func (table *Table) faded(now clock.Millis, known *entry) float64 {
	since := max(known.receivedAt, table.contactAt) + fadeAfter
	if known.estimate.Idle {
		since = min(since, known.receivedAt) // it was idle for fadeAfter before it was published
	}
	return max(fadedShare(now, since, fadeTime), table.unreachedShare(now, known))
}

// unreachedShare returns how far an estimate has faded because its server's owner cannot be reached.
// While the owner could be, the estimate held without a repetition.
func (table *Table) unreachedShare(now clock.Millis, known *entry) float64 {
	if known.unreachedAt == 0 {
		return 0
	}
	fade := table.options.UnreachedFade
	return fadedShare(now, max(known.receivedAt, known.unreachedAt)+fade, fade)
}

// fadedShare returns how far an estimate has faded that fades from a time on: from 0 to 1.
func fadedShare(now, since, fade clock.Millis) float64 {
	return min(max(float64(now-since)/float64(fade), 0), 1)
}

// Status describes the estimate of a server.
type Status struct {
	Server string
	Age    clock.Millis // since this daemon learned of the estimate
}

// Slowest returns at most the given number of servers with estimates, the slowest first.
func (table *Table) Slowest(now clock.Millis, most int) []Status {
	table.refresh(now)
	sorted := table.estimated()
	slices.SortFunc(sorted, func(a, b value) int {
		return cmp.Or(cmp.Compare(a.factor, b.factor), cmp.Compare(b.interval, a.interval), cmp.Compare(a.server, b.server))
	})
	var statuses []Status
	for _, each := range sorted[:min(len(sorted), most)] {
		if known, ok := table.lookup(each.server); ok {
			statuses = append(statuses, Status{Server: each.server, Age: now - known.receivedAt})
		}
	}
	return statuses
}

// estimated returns a copy of the values of the servers with estimates.
func (table *Table) estimated() []value {
	return slices.DeleteFunc(slices.Clone(table.values), func(value value) bool { return !value.known })
}

// Summary describes the factors of all servers with estimates.
type Summary struct {
	Smallest, Median, Largest float64
	Slow                      int // servers with a factor below slowFactor
}

// Summary returns a summary of the factors. Without estimates all factors are 1.
func (table *Table) Summary(now clock.Millis) Summary {
	table.refresh(now)
	var factors []float64
	for _, value := range table.estimated() {
		factors = append(factors, value.factor)
	}
	if len(factors) == 0 {
		return Summary{Smallest: 1, Median: 1, Largest: 1}
	}
	slices.Sort(factors)
	return Summary{Smallest: factors[0], Median: factors[len(factors)/2], Largest: factors[len(factors)-1], Slow: table.slowCount}
}
