package quota

import (
	"teaselmoor/internal/base/clock"
)

// usage is the state of one account as this daemon knows it.
type usage struct {
	number    int64        // identifies this count; a new count of the same account starts from 0
	level     float64      // units left in the bucket; negative when the account is overdrawn
	history   history      // recent snapshots
	urgency   urgency      // which of its requests go first at the limit
	atSplit   snapshot     // state when the daemons that are missing now last sent reports
	updatedAt clock.Millis // when the level was last advanced
	own       total        // admitted by this daemon
	group     total        // admitted by this daemon and the members whose hub it is
	all       total        // admitted by all daemons
	sources   map[string]*sourceUsage
}

// reportedUnits returns the units that all daemons are known to have used, without those
// that silent sources are only assumed to have used.
func (usage *usage) reportedUnits() float64 {
	units := usage.all.units
	for _, reported := range usage.sources {
		units -= reported.assumed
	}
	return units
}

// total is a running total of units and its recent growth.
type total struct {
	units  float64
	recent decayingSum
}

func (total *total) add(now clock.Millis, units float64) {
	total.units += units
	total.recent.add(now, units)
}

// sourceUsage is the usage of an account that one source has reported.
type sourceUsage struct {
	scope     Scope
	number    int64   // identifies the count
	lastTotal float64 // last reported
	assumed   float64 // units taken off the level since the last report, while the source was silent or overdue
	counted   total   // units taken off the level so far
}

// addUnits adds units that a source has used to the totals and takes them off the level.
func (usage *usage) addUnits(reported *sourceUsage, units float64) {
	usage.level -= units
	usage.all.units += units
	reported.counted.units += units
	if reported.scope == Own {
		usage.group.units += units
	}
}

// setRecent applies the recent units that a source reported.
func (usage *usage) setRecent(now clock.Millis, reported *sourceUsage, units float64) {
	change := units - reported.counted.recent.decayed(now)
	reported.counted.recent.add(now, change)
	usage.all.recent.add(now, change)
	if reported.scope == Own {
		usage.group.recent.add(now, change)
	}
}
