package speed

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"teaselmoor/internal/base/clock"
)

// Report is what a daemon has measured at a server since its last report.
type Report struct {
	Server   string
	Born     int64   // start of the server's process
	Interval float64 // time between two events, in milliseconds
	Events   int     // number of intervals measured
}

const (
	// sampleLifetime is how long a sample waits to be reported. An older one would report the
	// speed of a period that may have ended.
	sampleLifetime = clock.Second
	// combineTime is how long further samples are combined with the first. With a longer time,
	// samples from before a change would hide it.
	combineTime = 500 * clock.Millisecond
	// reportMemory is how long a server without samples is kept.
	reportMemory = clock.Minute
)

// Collector collects the samples of the streams that a daemon relays until they are reported.
type Collector struct {
	servers map[string]*collected
	random  *rand.Rand
}

// collected holds the samples of one server that have not been reported.
type collected struct {
	report     Report
	beganAt    clock.Millis // when the first sample was added
	sampledAt  clock.Millis // when the last sample was added
	reportedAt clock.Millis // 0: not reported yet
}

// NewCollector returns the collector of a daemon, without samples.
func NewCollector(self string) *Collector {
	return &Collector{servers: make(map[string]*collected), random: rand.New(rand.NewPCG(xxhash.Sum64String(self), 0))}
}

// Add adds a sample of one stream.
func (collector *Collector) Add(now clock.Millis, sample Report) {
	known, ok := collector.servers[sample.Server]
	if !ok {
		known = &collected{}
		collector.servers[sample.Server] = known
	}
	if known.report.Events == 0 || known.report.Born != sample.Born || now-known.beganAt > combineTime {
		known.beganAt = now
	} else {
		events := known.report.Events + sample.Events
		sample.Interval += (known.report.Interval - sample.Interval) * float64(known.report.Events) / float64(events)
		sample.Events = events
	}
	known.report, known.sampledAt = sample, now
}

// Due returns at most the given number of reports, none on a server that was reported within the
// given interval. If more are due, they are drawn at random. With an order by the time of the
// last report, streams that had been reported once waited for those that had not, and a change
// showed only when new streams had been measured.
func (collector *Collector) Due(now, interval clock.Millis, most int) []Report {
	maps.DeleteFunc(collector.servers, func(_ string, known *collected) bool {
		return now-known.sampledAt > reportMemory
	})
	var due []*collected
	for _, known := range collector.servers {
		fresh := known.report.Events >= minEvents && now-known.sampledAt <= sampleLifetime
		if fresh && (known.reportedAt == 0 || now-known.reportedAt >= interval) {
			due = append(due, known)
		}
	}
	slices.SortFunc(due, func(a, b *collected) int { return cmp.Compare(a.report.Server, b.report.Server) })
	collector.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	var reports []Report
	for _, known := range due[:min(len(due), most)] {
		reports = append(reports, known.report)
		known.report, known.reportedAt = Report{}, now
	}
	return reports
}

const (
	// serverReports is the number of reports a second on a server that all daemons together
	// send, with which an average follows a change nearly as fast as its time constant allows.
	serverReports = 4
	// siteReports is the number of reports a second that all daemons together send. Each takes
	// 28 bytes, and the owners and hubs of a site with 1,500 servers receive all of them.
	siteReports = 1500
	// maxReports bounds the reports of a daemon in an interval where daemons are few.
	maxReports = 8
)

// MostReports is the number of reports that a daemon sends in an interval. It is the daemon's
// part of what the site needs, so that owners do not receive more where there are more daemons.
func MostReports(interval clock.Millis, servers, daemons int) int {
	needed := float64(min(serverReports*servers, siteReports)) * interval.Seconds()
	return min(max(1, int(math.Round(needed/float64(max(1, daemons))))), maxReports)
}
