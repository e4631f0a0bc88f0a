package speed

import (
	"cmp"
	"math"
	"slices"

	"teaselmoor/internal/base/clock"
)

const (
	// timeConstant is that of the moving average: a slow period of 0.5 s at 2.5 times the usual
	// interval raises it by a third, one of 5 s doubles it after 2.2 s.
	timeConstant = 2 * clock.Second
	// maxStep bounds the time between two reports that counts, so that a single report after a
	// silence does not replace the average.
	maxStep = clock.Second
	// publishedWeight is the weight of the published estimate from which a new owner continues,
	// in reports: that of an average at two reports a second.
	publishedWeight = 4
	// firstEvents is the number of intervals from which a first estimate is published.
	firstEvents = 16
	// minPublishInterval is the time between two estimates of a server, and the time for which a
	// change below maxChange lasts before it is published: if it grows meanwhile, the larger one
	// is published earlier than it could be after the smaller one.
	minPublishInterval = clock.Second
	// minChange and maxChange are the changes of an estimate, as factors, from which it is
	// published with a full and with an empty bucket. Servers that are slow for 0.6 s every 4 s
	// change by up to 1.39 each time: publishing that would use up what larger changes need.
	minChange, maxChange = 1.1, 1.4
	// bucketTime is the time for which the publishing rate may be saved up.
	bucketTime = 8 * clock.Second
	// minDepth lets an owner of few servers publish some of them together.
	minDepth = 4
)

// average is the moving average of the reports on a server that this daemon owns. Reports count
// equally: weighted by the number of intervals, a slow period would count less than a fast one,
// and weighted by their time, samples with a prefill in each interval would count most.
type average struct {
	born        int64
	weight, sum float64
	events      int
	updatedAt   clock.Millis // when the last report arrived, or the server was taken over
	changedAt   clock.Millis // since when it differs from the published estimate; 0: it does not
}

func (average *average) interval() float64 {
	return average.sum / average.weight
}

// bucket is the token bucket of changes that an owner may publish.
type bucket struct {
	used      float64
	depth     float64
	updatedAt clock.Millis
}

// refill sets the rate and adds what it yields until now.
func (bucket *bucket) refill(now clock.Millis, rate float64) {
	bucket.depth = max(minDepth, rate*bucketTime.Seconds())
	bucket.used = max(0, bucket.used-rate*(now-bucket.updatedAt).Seconds())
	bucket.updatedAt = now
}

// threshold returns the logarithm of the change from which an estimate is published now.
func (bucket *bucket) threshold() float64 {
	share := min(1, bucket.used/bucket.depth)
	return math.Log(minChange) + share*(math.Log(maxChange)-math.Log(minChange))
}

// Observe adds a report on a server that this daemon owns. Reports of earlier processes of the
// server are ignored.
func (table *Table) Observe(now clock.Millis, report Report) {
	if report.Interval <= 0 || math.IsInf(report.Interval, 0) || report.Events < 1 || report.Born < table.servers[report.Server].Born {
		return
	}
	own := table.averageOf(now, report.Server, report.Born)
	if report.Born < own.born {
		return
	}
	decay := math.Exp(-float64(min(now-own.updatedAt, maxStep)) / float64(timeConstant))
	own.weight = own.weight*decay + 1
	own.sum = own.sum*decay + report.Interval
	own.events += report.Events
	own.updatedAt = now
}

// averageOf returns the average of a server's process, or of a later one. A new average
// continues from the published estimate, unless that is idle: the server may have changed.
func (table *Table) averageOf(now clock.Millis, server string, born int64) *average {
	known, published := table.lookup(server)
	own, ok := table.averages[server]
	if ok && own.born >= born && !(published && known.estimate.Idle && now-own.updatedAt >= fadeAfter) {
		return own
	}
	own = &average{born: born, updatedAt: now}
	if published && known.estimate.Born >= born {
		own.born = known.estimate.Born
		if !known.estimate.Idle {
			own.weight, own.sum, own.events = publishedWeight, publishedWeight*known.estimate.Interval, firstEvents
		}
	}
	table.averages[server] = own
	return own
}

// Change is an estimate that was published.
type Change struct {
	Estimate
	Before float64 // the interval published before; 0: none
}

// candidate is a change that may be published.
type candidate struct {
	Change
	amount float64 // logarithm of the change as a factor
	first  bool    // of the server's process, or after it was idle
}

// Publish publishes the estimates of this daemon's own servers that have changed, and returns
// them. The parameter owned returns the fencing number of this daemon's claim to a server.
// Changes are limited to this daemon's part of the publishing rate, the largest first; first
// estimates are not, as they are needed at once and only once for each process of a server.
func (table *Table) Publish(now clock.Millis, owned func(server string) (fence int64, ok bool)) []Change {
	var candidates []candidate
	count := 0
	for id := range table.servers {
		fence, ok := owned(id)
		if !ok {
			delete(table.averages, id)
			continue
		}
		count++
		if candidate, ok := table.candidate(now, id, fence); ok {
			candidates = append(candidates, candidate)
		}
	}
	for id := range table.averages {
		if _, ok := table.servers[id]; !ok {
			delete(table.averages, id)
		}
	}
	table.bucket.refill(now, table.options.PublishRate*float64(count)/float64(max(1, len(table.servers))))
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.amount, a.amount), cmp.Compare(a.Server, b.Server))
	})
	var changes []Change
	for _, each := range candidates {
		if !each.first {
			if table.bucket.used+1 > table.bucket.depth || each.amount < table.bucket.threshold() {
				continue
			}
			table.bucket.used++
		}
		table.replace(now, each.Estimate)
		table.averages[each.Server].changedAt = 0
		changes = append(changes, each.Change)
	}
	if len(changes) > 0 {
		table.compute(now) // callers log the new factors
	}
	return changes
}

// candidate returns the change that could be published for a server that this daemon owns.
func (table *Table) candidate(now clock.Millis, server string, fence int64) (candidate, bool) {
	known, published := table.lookup(server)
	born := table.servers[server].Born
	own, ok := table.averages[server]
	if !ok {
		if published && !known.estimate.Idle {
			table.averageOf(now, server, born) // from now on this daemon notices that it is idle
		}
		return candidate{}, false
	}
	next := candidate{Change: Change{Estimate: Estimate{Server: server, Born: own.born, Fence: fence, Number: 1}}}
	if own.events < firstEvents {
		return candidate{}, false
	}
	next.Interval = math.Max(1, math.Round(own.interval()*10)) / 10 // as it is sent to others
	if !published || known.estimate.Born < own.born {
		next.first = true
		return next, true
	}
	if known.estimate.Born > own.born || known.estimate.Fence > fence {
		return candidate{}, false // a later process, or another daemon owns the server
	}
	next.Number, next.Before = known.estimate.Number+1, known.estimate.Interval
	silent := now-own.updatedAt >= fadeAfter
	switch {
	case known.estimate.Idle:
		next.first = true
		return next, !silent
	case silent: // needed only where it makes a difference
		next.Idle, next.Interval, next.amount = true, known.estimate.Interval, math.Log(maxChange)
		return next, table.Factor(now, server) != 1
	}
	next.amount = math.Abs(math.Log(next.Interval / known.estimate.Interval))
	return next, own.hasChanged(now, next.amount) && now-known.receivedAt >= minPublishInterval
}

// hasChanged reports whether a change of an average, as a logarithm, is large enough to be
// published, or has lasted for long enough.
func (average *average) hasChanged(now clock.Millis, amount float64) bool {
	if amount < math.Log(minChange) {
		average.changedAt = 0
		return false
	}
	if average.changedAt == 0 {
		average.changedAt = now
	}
	return amount >= math.Log(maxChange) || now-average.changedAt >= minPublishInterval
}
