package quota

import (
	"maps"

	"teaselmoor/internal/base/clock"
)

// SourceTimeout is how long after its last word a source is not heard any more.
const SourceTimeout = 750 * clock.Millisecond

// lateAfter is how long after its last word a source is taken to go on as before.
const lateAfter = 300 * clock.Millisecond

// Source is a daemon whose words count.
type Source struct {
	Live         bool         // it is heard now
	LastReportAt clock.Millis // when it was heard last
	Daemons      int          // that it spoke for then, itself included
}

// Site is what a daemon knows of the daemons that use the limits with it.
type Site struct {
	Daemons int // of the site
	Reached int // of them, that this daemon counts together with, itself included
	Sources map[string]Source
}

// missing is the share of the daemons that are not counted together with this one.
func (site Site) missing() float64 {
	if site.Daemons <= 0 {
		return 0
	}
	return max(0, 1-float64(site.Reached)/float64(site.Daemons))
}

// late returns the sources whose next word is overdue.
func (site Site) late(now clock.Millis) []string {
	var names []string
	for name, source := range site.Sources {
		if source.Live && now-source.LastReportAt > lateAfter {
			names = append(names, name)
		}
	}
	return names
}

// parts reports whether limits are parted as by another site.
func (site Site) parts(other Site) bool {
	return site.Daemons == other.Daemons && site.Reached == other.Reached &&
		maps.EqualFunc(site.Sources, other.Sources, func(a, b Source) bool { return a.Live == b.Live })
}

// silentPart is the part of the silent sources' daemons that nobody else speaks for.
func (site Site) silentPart() float64 {
	spoken := 0
	for _, source := range site.Sources {
		if !source.Live {
			spoken += max(1, source.Daemons)
		}
	}
	if spoken == 0 {
		return 0
	}
	return min(1, float64(max(0, site.Daemons-site.Reached))/float64(spoken))
}
