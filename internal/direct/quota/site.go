package quota

import (
	"maps"

	"teaselmoor/internal/base/clock"
)

// SourceTimeout is how long after its last report a source counts as silent.
const SourceTimeout = 750 * clock.Millisecond

// overdueAfter is how long after its last report a source is assumed to continue at its last
// reported rate.
const overdueAfter = 300 * clock.Millisecond

// Source is a daemon whose reports this daemon adds up.
type Source struct {
	Live         bool         // it sends reports; false once it is silent
	LastReportAt clock.Millis // when its last report arrived
	Daemons      int          // that its last report covered, itself included
}

// Site is what a daemon knows of the daemons that share the limits with it.
type Site struct {
	Daemons int // of the site
	Reached int // of them, those that this daemon counts together with, itself included
	Sources map[string]Source
}

// missing returns the share of the daemons that are not counted together with this one.
func (site Site) missing() float64 {
	if site.Daemons <= 0 {
		return 0
	}
	return max(0, 1-float64(site.Reached)/float64(site.Daemons))
}

// overdue returns the live sources whose next report is overdue.
func (site Site) overdue(now clock.Millis) []string {
	var names []string
	for name, source := range site.Sources {
		if source.Live && now-source.LastReportAt > overdueAfter {
			names = append(names, name)
		}
	}
	return names
}

// splitsLike reports whether limits are split the same way as under another site.
func (site Site) splitsLike(other Site) bool {
	return site.Daemons == other.Daemons && site.Reached == other.Reached &&
		maps.EqualFunc(site.Sources, other.Sources, func(a, b Source) bool { return a.Live == b.Live })
}

// silentShare returns the share of the silent sources' daemons that no live source reports
// for.
func (site Site) silentShare() float64 {
	covered := 0
	for _, source := range site.Sources {
		if !source.Live {
			covered += max(1, source.Daemons)
		}
	}
	if covered == 0 {
		return 0
	}
	return min(1, float64(max(0, site.Daemons-site.Reached))/float64(covered))
}
