package home

import (
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/ownership"
)

// Key is an idempotency key with the data that determines its home.
type Key struct {
	Key    string
	Caller string
	// Region is the caller's region. If it is empty, a hash of the caller's name
	// chooses the region. It must not change for a caller, or daemons of two regions
	// could both act as the key's home.
	Region string
}

// roster holds the live daemons of a VM list, by region.
type roster map[string][]ident.DaemonID

func newRoster(view *members.View) roster {
	listed := roster{}
	for _, daemon := range view.LiveDaemons(func(*members.VM) bool { return true }) {
		vm, _ := view.Daemon(daemon)
		listed[vm.Region] = append(listed[vm.Region], daemon)
	}
	return listed
}

// daemons returns the daemons among which a key's home is chosen.
func (roster roster) daemons(key Key) []ident.DaemonID {
	if len(roster) == 1 || key.Region != "" {
		for region, daemons := range roster {
			if key.Region == "" || key.Region == region {
				return daemons
			}
		}
		return nil
	}
	regions := make([]ident.DaemonID, 0, len(roster))
	for _, region := range slices.Sorted(maps.Keys(roster)) {
		regions = append(regions, ident.DaemonID(region))
	}
	region, _ := ownership.First("key region/"+key.Caller, regions)
	return roster[string(region)]
}

// homeOf returns the daemon that is the key's home.
func (roster roster) homeOf(key Key) (ident.DaemonID, bool) {
	return ownership.First(rankKey(key), roster.daemons(key))
}

func rankKey(key Key) string { return "key/" + key.Key }

// Of returns the daemon that is a key's home according to a VM list.
func Of(view *members.View, key Key) (ident.DaemonID, bool) {
	return newRoster(view).homeOf(key)
}

// rosterHistory holds the rosters of the VM lists that this daemon has read without
// missing one. Versions of the list rise by one, so a missed list is detected.
type rosterHistory struct {
	version uint64
	readAt  clock.Millis // time at which the latest list was read
	periods []rosterPeriod
}

// rosterPeriod is a period during which the roster did not change.
type rosterPeriod struct {
	// since is the time at which the roster was first read.
	since  clock.Millis
	roster roster
}

// latest returns the current roster, or nil if no VM list has been read.
func (rosterHistory *rosterHistory) latest() roster {
	if len(rosterHistory.periods) == 0 {
		return nil
	}
	return rosterHistory.periods[len(rosterHistory.periods)-1].roster
}

// copyTargets returns the first daemons in the key's rank order, leaving out the
// given one.
func (rosterHistory *rosterHistory) copyTargets(key Key, without ident.DaemonID, count int) []ident.DaemonID {
	ranked := ownership.Rank(rankKey(key), rosterHistory.latest().daemons(key))
	ranked = slices.DeleteFunc(ranked, func(daemon ident.DaemonID) bool { return daemon == without })
	return ranked[:min(count, len(ranked))]
}

// update applies a VM list that was read and reports whether the roster changed. A
// list older than one read before is ignored. If a list was missed in between, or
// the roster differs under the same version, the history starts anew.
func (rosterHistory *rosterHistory) update(view *members.View) bool {
	version := view.List.Version
	if len(rosterHistory.periods) > 0 && version < rosterHistory.version {
		return false
	}
	next := newRoster(view)
	same := maps.EqualFunc(rosterHistory.latest(), next, slices.Equal)
	gap := version > rosterHistory.version+1 || version == rosterHistory.version && !same
	if gap || len(rosterHistory.periods) == 0 {
		rosterHistory.periods = []rosterPeriod{{since: view.ReadAt, roster: next}}
	} else if !same {
		rosterHistory.periods = append(rosterHistory.periods, rosterPeriod{since: view.ReadAt, roster: next})
	}
	rosterHistory.version = version
	rosterHistory.readAt = view.ReadAt
	return !same
}

// prune removes the periods that ended before the given time.
func (rosterHistory *rosterHistory) prune(before clock.Millis) {
	for len(rosterHistory.periods) > 1 && rosterHistory.periods[1].since < before {
		rosterHistory.periods = rosterHistory.periods[1:]
	}
}

// mayActAsHome reports whether this daemon is the key's home according to a VM list
// that is recent enough.
func (home *Home) mayActAsHome(now clock.Millis, key Key) bool {
	if len(home.history.periods) == 0 || now-home.history.readAt > home.options.MaxListAge {
		return false
	}
	homeDaemon, found := home.history.latest().homeOf(key)
	return found && homeDaemon == home.self
}

// canVouch reports whether this home would have a record of an earlier attempt under
// the key. By the clock of its home, no attempt is granted earlier than ClockMargin
// before the key's issue time. That clock differs from this one by at most
// ClockMargin, and a home acts on a list that may be out of date by MaxListAge plus
// ListLag. So this daemon must know every list that was current since 2*ClockMargin +
// MaxListAge + ListLag before the issue time, and must be the key's home under each.
func (home *Home) canVouch(now clock.Millis, key Key, issuedAt clock.Millis) bool {
	margin := home.options.ClockMargin
	if issuedAt > now+margin || issuedAt < now-home.options.Retention+2*margin {
		return false
	}
	from := issuedAt - 2*margin - home.options.MaxListAge - home.options.ListLag
	periods := home.history.periods
	if len(periods) == 0 || periods[0].since > from {
		return false
	}
	for i := len(periods) - 1; i >= 0; i-- {
		homeDaemon, found := periods[i].roster.homeOf(key)
		if !found || homeDaemon != home.self {
			return false
		}
		if periods[i].since <= from {
			return true
		}
	}
	return true
}

// CanVouchForNewKeys reports whether this daemon could vouch for a key issued now,
// provided that it is the key's home under every list it has read.
func (home *Home) CanVouchForNewKeys(now clock.Millis) bool {
	needed := 2*home.options.ClockMargin + home.options.MaxListAge + home.options.ListLag
	periods := home.history.periods
	return len(periods) > 0 && periods[0].since <= now-needed && now-home.history.readAt <= home.options.MaxListAge
}

// UpdateVMList applies a VM list that was read. If the roster changed, unfinished
// attempts granted to entries that are no longer listed end as unknown, and the records
// of keys whose home this daemon is or was until now are copied to their next homes.
func (home *Home) UpdateVMList(now clock.Millis, view *members.View) []effect.Effect {
	before := home.history.latest()
	changed := home.history.update(view)
	home.history.prune(now - home.options.Retention - home.options.MaxListAge - home.options.ListLag)
	if !changed || before == nil {
		return home.takeEffects()
	}
	home.endAsUnknown(now, func(record *record) bool {
		_, listed := view.Daemon(record.stream.Daemon)
		return !listed
	})
	for _, record := range home.recordsInOrder() {
		formerHome, _ := before.homeOf(record.key)
		currentHome, _ := home.history.latest().homeOf(record.key)
		if formerHome == home.self || currentHome == home.self {
			home.replicate(now, record)
		}
	}
	return home.takeEffects()
}
