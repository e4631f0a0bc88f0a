package speed

import (
	"cmp"
	"maps"
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
	factor, interval float64
}

// Factor returns how fast a server is, as a multiple of the median of its service. It is 1 for
// servers without an estimate, for those close to the median, and while fewer than half of the
// service's servers have estimates.
func (table *Table) Factor(now clock.Millis, server string) float64 {
	return table.valueAt(now, server).factor
}

// Interval returns the time between two events of a stream at a server, in milliseconds, or 0 if
// it is not known.
func (table *Table) Interval(now clock.Millis, server string) float64 {
	return table.valueAt(now, server).interval
}

// valueAt returns what is known of a server. It keeps the last one found, as callers need both
// the factor and the interval of each server of a placement.
func (table *Table) valueAt(now clock.Millis, server string) value {
	table.refresh(now)
	if server == table.lastServer {
		return table.lastValue
	}
	found, ok := table.values[server]
	if !ok {
		found.factor = 1
	}
	table.lastServer, table.lastValue = server, found
	return found
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
	table.valuesAt, table.outOfDate, table.slowCount = now, false, 0
	clear(table.values)
	table.lastServer, table.lastValue = "", value{factor: 1}
	for _, servers := range table.services {
		intervals := table.sortBuffer[:0]
		for _, server := range servers {
			if known, ok := table.lookup(server); ok {
				intervals = append(intervals, known.estimate.Interval)
			}
		}
		table.sortBuffer = intervals
		if len(intervals) == 0 {
			continue
		}
		slices.Sort(intervals)
		enough := 2*len(intervals) >= len(servers)
		median := (intervals[(len(intervals)-1)/2] + intervals[len(intervals)/2]) / 2
		for _, server := range servers {
			if known, ok := table.lookup(server); ok {
				table.values[server] = table.valueOf(now, known, median, enough)
			}
		}
	}
}

// valueOf returns the factor and the interval of a server. Both fade together.
func (table *Table) valueOf(now clock.Millis, known *entry, median float64, enough bool) value {
	own := known.estimate.Interval
	factor := min(max(median/own, minFactor), maxFactor)
	if !enough || own >= (1-equalBand)*median && own <= (1+equalBand)*median {
		return value{factor: 1, interval: own}
	}
	if faded := table.faded(now, known); faded > 0 {
		factor += (1 - factor) * faded
		own += (median - own) * faded
	}
	if factor < slowFactor {
		table.slowCount++
	}
	return value{factor: factor, interval: own}
}

// faded returns how far an estimate has faded: from 0, not at all, to 1.
func (table *Table) faded(now clock.Millis, known *entry) float64 {
	since := max(known.heardAt, table.contactAt) + fadeAfter
	if known.estimate.Idle {
		since = min(since, known.heardAt) // it was idle for fadeAfter before it was published
	}
	return min(max(float64(now-since)/float64(fadeTime), 0), 1)
}

// Status describes the estimate of a server.
type Status struct {
	Server string
	Age    clock.Millis // since this daemon learned of the estimate
}

// Slowest returns at most the given number of servers with estimates, the slowest first.
func (table *Table) Slowest(now clock.Millis, most int) []Status {
	table.refresh(now)
	ids := slices.SortedFunc(maps.Keys(table.values), func(a, b string) int {
		return cmp.Or(cmp.Compare(table.values[a].factor, table.values[b].factor), cmp.Compare(table.values[b].interval, table.values[a].interval), cmp.Compare(a, b))
	})
	var statuses []Status
	for _, id := range ids[:min(len(ids), most)] {
		if known, ok := table.lookup(id); ok {
			statuses = append(statuses, Status{Server: id, Age: now - known.heardAt})
		}
	}
	return statuses
}

// Summary describes the factors of all servers with estimates.
type Summary struct {
	Smallest, Median, Largest float64
	Slow                      int // servers with a factor below slowFactor
}

// Summary returns a summary of the factors. Without estimates all factors are 1.
func (table *Table) Summary(now clock.Millis) Summary {
	table.refresh(now)
	if len(table.values) == 0 {
		return Summary{Smallest: 1, Median: 1, Largest: 1}
	}
	factors := make([]float64, 0, len(table.values))
	for _, value := range table.values {
		factors = append(factors, value.factor)
	}
	slices.Sort(factors)
	return Summary{Smallest: factors[0], Median: factors[len(factors)/2], Largest: factors[len(factors)-1], Slow: table.slowCount}
}
